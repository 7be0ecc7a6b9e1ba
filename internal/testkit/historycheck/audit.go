// Package historycheck is the auditor of a rehearsal with several processes: from the history of who took,
// sent, executed, answered and was told what, it says which rules of the platform were broken.
// It is a pure function; the history is the tests' (internal/testkit/cluster makes one).
//
// The rules, each with its name:
//
//	answer     each request that a scheduler took has one final whole answer, before its client
//	           gives up, of that very request. Excused: its client left; its scheduler was killed, or
//	           it was stopping and nothing had been sent; lateness, where it was stopped by a signal or
//	           the rehearsal itself stood still.
//	unsafe     a request of an unsafe class is executed once at most, and is not sent again
//	           once an attempt of it has come whole to a node that did not turn it away
//	two-out    without second copies no request has two attempts out at once
//	drain      no attempt begins at a node later than Grace after its scheduler was told that the
//	           node drains or is gone; that counts as told AskWithin after it could be had, and
//	           fourfold that after calls that were turned away
//	limit      the schedulers together draw for a volume no more than a store of Burst that fills at Cap
//	           allows, and a tenth or one largest request
//	cold       of a node that started cold no more than N + 3 sqrt(N) + 3 requests of mean work
//	           are asked within ColdFor, and CreditShare of what it has answered
//	late       no attempt begins at a node after its request's final answer, or its client's going
//	stray      nothing comes to a node under an id that no client sent
//
// Limits of time are Slack longer: what is seen at a node is seen after it was done.
package historycheck

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Never is the time of what has not happened.
const Never = time.Duration(math.MaxInt64)

// Taken is a request that a client sent to a scheduler.
type Taken struct {
	ID, Class, Plan, Volume string
	Units                   float64
	Scheduler               int
	At, GivesUp             time.Duration
	Of                      string // of a part of a gathered read: the client's request, whose end is the part's; "": it is a client's
}

// Sent is an attempt as its node saw it. Whole, Ended: Never where that was not.
type Sent struct {
	ID, Node            string
	First, Whole, Ended time.Duration
	Turned              bool // the node said that it did not run
}

// Executed is one execution.
type Executed struct {
	ID, Node string
	At       time.Duration
}

// End is how a request ended for its client.
type End int

// The ends.
const (
	Whole   End = iota // an answer, whole, whatever it says
	Cut                // the connection ended within an answer
	Unheard            // the connection ended, or time did, without a byte of one
	Left               // the client went
)

// Answered is an end of a request.
type Answered struct {
	ID  string
	At  time.Duration
	End End
	Of  string // the request that the answer says it is of; "": it does not say
}

// Word is what the list says of a node.
type Word int

// The words.
const (
	Active Word = iota
	Draining
	Gone
)

// Told is a line of the list as it was written to a scheduler.
type Told struct {
	Scheduler int
	Node      string
	Word      Word
	At        time.Duration
}

// Change is a change of the list at its service.
type Change struct {
	Node string
	Word Word
	At   time.Duration
}

// Span is a time of one scheduler.
type Span struct {
	Scheduler int
	From, To  time.Duration
	Turned    bool // of the list: who asked was turned away
}

// History is what happened. Times count from one instant.
type History struct {
	Taken    []Taken
	Sent     []Sent
	Executed []Executed
	Answered []Answered
	Told     []Told
	Changed  []Change
	Cold     []Change // starts of nodes that are cold; Word has no meaning
	Deaf     []Span   // the list could not be had
	Killed   []Span   // from the kill until it served again
	Ending   []Span   // from SIGTERM until it served again
	Paused   []Span   // stopped by a signal and continued
	Stood    []Span   // the rehearsal's own program had no processor; Scheduler has no meaning
}

// Plan is a plan's limit for one volume.
type Plan struct{ Cap, Burst float64 }

// Rules are the platform's figures.
type Rules struct {
	Unsafe       map[string]bool // by class
	SecondCopies bool
	Grace        time.Duration   // rules.stop-sending-within
	AskWithin    time.Duration   // rules.ask-within; 0: told by the list's line alone
	Plans        map[string]Plan // those with a limit
	MeanUnits    float64         // extra.usual-units
	ColdN        float64         // extra.young-limit; 0: no budget
	ColdFor      time.Duration   // rules.overload-for
	CreditShare  float64         // what a cold node has answered allows so much more; 0: nothing
	Slack        time.Duration
}

// Violation is one broken rule.
type Violation struct {
	Rule string // its name
	ID   string // the request, or ""
	Node string // or ""
	Text string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %q, node %q: %s", v.Rule, v.ID, v.Node, v.Text)
}

// Check names every violation, in an order that the history decides.
func Check(r Rules, h History) []Violation {
	c := &check{r: r, h: h, taken: map[string]Taken{}, sent: map[string][]Sent{}, ends: map[string][]Answered{}}
	for _, t := range h.Taken {
		c.taken[t.ID] = t
	}
	for _, s := range h.Sent {
		c.sent[s.ID] = append(c.sent[s.ID], s)
	}
	for _, list := range c.sent {
		slices.SortStableFunc(list, func(a, b Sent) int { return cmp.Compare(a.First, b.First) })
	}
	for _, a := range h.Answered {
		c.ends[a.ID] = append(c.ends[a.ID], a)
	}
	for _, t := range h.Taken {
		if t.Of == "" {
			c.answers(t)
		}
		c.attempts(t)
	}
	c.strays()
	c.drains()
	c.limits()
	c.cold()
	return c.found
}

type check struct {
	r     Rules
	h     History
	taken map[string]Taken
	sent  map[string][]Sent // by id, in order of their first bytes
	ends  map[string][]Answered
	found []Violation
}

func (c *check) say(rule, id, node, form string, args ...any) {
	c.found = append(c.found, Violation{rule, id, node, fmt.Sprintf(form, args...)})
}

// meets says whether a span of the scheduler meets a time.
func meets(all []Span, scheduler int, from, to time.Duration) bool {
	return slices.ContainsFunc(all, func(s Span) bool { return s.Scheduler == scheduler && s.From <= to && from <= s.To })
}

// stood says whether the rehearsal stood still between two times.
func (c *check) stood(from, to time.Duration) bool {
	return slices.ContainsFunc(c.h.Stood, func(s Span) bool { return s.From <= to && from <= s.To })
}

func (c *check) answers(t Taken) {
	ends, sent := c.ends[t.ID], c.sent[t.ID]
	for _, p := range c.h.Taken { // what its parts sent is its own
		if p.Of == t.ID {
			sent = append(slices.Clip(sent), c.sent[p.ID]...)
		}
	}
	if len(ends) != 1 {
		c.say("answer", t.ID, "", "ended %d times", len(ends))
		return
	}
	a := ends[0]
	killed := meets(c.h.Killed, t.Scheduler, t.At, a.At)
	paused := meets(c.h.Paused, t.Scheduler, t.At, a.At)
	stood := c.stood(t.At, a.At)
	unsent := len(sent) == 0 && meets(c.h.Ending, t.Scheduler, t.At, a.At)
	switch {
	case a.End == Left:
	case a.Of != "" && a.Of != t.ID:
		c.say("answer", t.ID, "", "the answer is that of %q", a.Of)
	case a.End == Unheard && paused:
	case a.End != Whole && !killed && !unsent:
		c.say("answer", t.ID, "", "no whole answer by %v (end %d, %d attempts)", a.At, a.End, len(sent))
	case a.End == Whole && a.At-c.r.Slack > t.GivesUp && !paused && !stood:
		c.say("answer", t.ID, "", "answered at %v, its client gave up at %v", a.At, t.GivesUp)
	}
}

func (c *check) attempts(t Taken) {
	sent := c.sent[t.ID]
	ran := 0
	for _, e := range c.h.Executed {
		if e.ID == t.ID {
			ran++
		}
	}
	if c.r.Unsafe[t.Class] && ran > 1 {
		c.say("unsafe", t.ID, "", "executed %d times", ran)
	}
	for i, s := range sent {
		for _, before := range sent[:i] {
			if c.r.Unsafe[t.Class] && before.Whole < s.First && !before.Turned {
				c.say("unsafe", t.ID, s.Node, "sent again at %v, may have run at %s", s.First, before.Node)
			}
			if !c.r.SecondCopies && before.Ended != Never && before.Ended > s.First+c.r.Slack || !c.r.SecondCopies && before.Ended == Never {
				c.say("two-out", t.ID, s.Node, "sent at %v while one was out at %s", s.First, before.Node)
			}
		}
		for _, a := range c.ends[cmp.Or(t.Of, t.ID)] {
			if (a.End == Whole || a.End == Left) && s.First > a.At+c.r.Slack && !c.stood(a.At, min(s.First, a.At+stoodMost)) {
				c.say("late", t.ID, s.Node, "sent at %v, ended at %v", s.First, a.At)
			}
		}
	}
}

func (c *check) strays() {
	for _, s := range c.h.Sent {
		if _, ok := c.taken[s.ID]; !ok && s.ID != "" {
			c.say("stray", s.ID, s.Node, "no client sent it")
		}
	}
	for _, e := range c.h.Executed {
		if _, ok := c.taken[e.ID]; !ok {
			c.say("stray", e.ID, e.Node, "executed, and no client sent it")
		}
	}
}

const (
	turnedFactor = 4               // a call that was turned away moves rules.ask-within off so far ...
	turnedMost   = 6 * time.Second // ... and to this at most, from when the list could be had
)

// told is when a change counts as told to a scheduler.
func (c *check) told(scheduler int, ch Change) time.Duration {
	at := Never
	if c.r.AskWithin > 0 {
		free, within := ch.At, c.r.AskWithin
		for moved := true; moved; {
			moved = false
			for _, s := range c.h.Deaf {
				if s.Scheduler == scheduler && s.From <= free && free < s.To {
					free, moved = s.To, true
					if s.Turned {
						within = max(c.r.AskWithin, min(turnedFactor*c.r.AskWithin, turnedMost))
					}
				}
			}
		}
		if free != Never {
			at = free + within
		}
	}
	for _, t := range c.h.Told {
		if t.Scheduler == scheduler && t.Node == ch.Node && t.Word == ch.Word && t.At >= ch.At {
			at = min(at, t.At)
		}
	}
	for _, list := range [][]Span{c.h.Paused, c.h.Killed} { // what comes meanwhile is read at the end
		for _, s := range list {
			if s.Scheduler == scheduler && s.From <= at && at <= s.To {
				at = s.To
			}
		}
	}
	return at
}

func (c *check) drains() {
	for i, ch := range c.h.Changed {
		if ch.Word == Active {
			continue
		}
		until := Never // it is active again
		for _, next := range c.h.Changed[i+1:] {
			if next.Node == ch.Node && next.Word == Active {
				until = next.At
				break
			}
		}
		due := map[int]time.Duration{}
		for _, s := range c.h.Sent {
			t, ok := c.taken[s.ID]
			if s.Node != ch.Node || !ok || s.First >= until {
				continue
			}
			at, known := due[t.Scheduler]
			if !known {
				at = c.told(t.Scheduler, ch)
				due[t.Scheduler] = at
			}
			if at != Never && s.First > at+c.r.Grace+c.r.Slack {
				c.say("drain", s.ID, s.Node, "scheduler %d sent at %v, told at %v", t.Scheduler, s.First, at)
			}
		}
	}
}

const (
	limitShare = 0.1
	stoodMost  = 500 * time.Millisecond // an attempt that comes so late was not held up by the rehearsal
)

func (c *check) limits() {
	type draw struct {
		id    string
		at    time.Duration
		units float64
	}
	byVolume, plans := map[string][]draw{}, map[string]Plan{}
	var volumes []string
	for _, t := range c.h.Taken {
		p, ok := c.r.Plans[t.Plan]
		if !ok || p.Cap <= 0 || len(c.sent[t.ID]) == 0 {
			continue
		}
		if _, ok := plans[t.Volume]; !ok {
			volumes = append(volumes, t.Volume)
			plans[t.Volume] = p
		}
		byVolume[t.Volume] = append(byVolume[t.Volume], draw{t.ID, c.sent[t.ID][0].First, t.Units})
	}
	for _, v := range volumes {
		all, p := byVolume[v], plans[v]
		slices.SortStableFunc(all, func(a, b draw) int { return cmp.Compare(a.at, b.at) })
		largest := 0.0
		for _, d := range all {
			largest = max(largest, d.units)
		}
		for i := range all {
			sum, worst := 0.0, false
			for _, d := range all[i:] {
				sum += d.units
				allowed := p.Burst + p.Cap*(d.at-all[i].at+c.r.Slack).Seconds()
				if sum > allowed+max(limitShare*allowed, largest)+1e-9 {
					c.say("limit", d.id, "", "volume %s drew %.1f from %v to %v, %.1f are allowed", v, sum, all[i].at, d.at, allowed)
					worst = true
					break
				}
			}
			if worst {
				break // one a volume
			}
		}
	}
}

func (c *check) cold() {
	if c.r.ColdN <= 0 {
		return
	}
	budget := (c.r.ColdN + 3*math.Sqrt(c.r.ColdN) + 3) * cmp.Or(c.r.MeanUnits, 1)
	for _, start := range c.h.Cold {
		var in []Sent
		for _, s := range c.h.Sent {
			if s.Node == start.Node && s.First >= start.At && s.First <= start.At+c.r.ColdFor {
				in = append(in, s)
			}
		}
		slices.SortStableFunc(in, func(a, b Sent) int { return cmp.Compare(a.First, b.First) })
		sum := 0.0
		for _, s := range in {
			sum += c.taken[s.ID].Units
			answered := 0.0
			for _, o := range in {
				if o.Ended < s.First && !o.Turned {
					answered += c.taken[o.ID].Units
				}
			}
			if sum > budget+c.r.CreditShare*answered+1e-9 {
				c.say("cold", s.ID, s.Node, "%.1f units since its start at %v, %.1f are its budget", sum, start.At, budget)
				break
			}
		}
	}
}
