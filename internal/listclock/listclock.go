// Package listclock owns when the node list is asked for: what was heard when, which call is
// silent, when another is opened beside it, and by when what was missed counts as told. The registry
// drives it; it does not decide what a list means.
//
// A call is one watch: it stays open, says something at least every Beat, and brings each change. Where
// lists are pushed, an agent on the scheduler's own machine answers at once and at no cost, and what it
// has counts as told whether or not a call is open. Where they are not, the service is one for the whole
// fleet and of fixed capacity: calls wait in turn there, and one that waits too long fails and was
// worked on for nothing.
//
// Invariants:
//   - A call that has said nothing for Silent (asked: half a second more) is not believed to stand, and another is opened beside it; it
//     is closed when the other speaks. So no moment is without a call that may bring a change.
//   - Pushed: with no live call, one is opened at once and then every Every, until one speaks. No wait
//     grows and none is drawn: it costs nothing. An unanswered one is kept until newer ones need its
//     place, as an agent that returns may answer those that wait.
//   - A call that is turned away by word (Refused) shows a service that can be overbooked: for turnedFor after
//     it the list counts as asked for, whatever the settings say.
//   - Asked: one call is out at a time, which is given up after Patience. Hosts whose calls are turned
//     away ask at most CallsMost times a second together, in the mean: each one in a row doubles the
//     wait, up to GrowMost times the first, and waits are drawn.
//   - Asked: after a call that stood, the next one is out before Told is over, counted from what was last
//     heard; and where it fell silent one more, beside it, if that is not answered: the bound goes before
//     the spread over the fleet. A call that was turned away moves it off fourfold (the wire's
//     rules.ask-within), so none is repeated for it.
//   - Paced (asked only): until a call first speaks, another says when the list is asked for (Due); a call that
//     came to nothing is told to it (Missed). What was missed since the start counts as told all the same:
//     a call is out before that, Due or not, and that goes before any other wait.
//   - At most Most calls are open.
//   - A call at the address before a move counts until one at the new address speaks.
//   - A call is opened once, closed or ended once, and never heard of after that.
//
// It knows no clock and does no I/O.
package listclock

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Beat is how often a watch says something, where nothing changes: the protocol's figure.
	Beat = 2 * time.Second
	// Silent is when it counts as silent, where lists are pushed: a beat, and more than a busy host is late by.
	Silent = Beat + beatSlack
	// Told is when what the list says counts as told, whether it arrived or not: the protocol's
	// figure, where the settings name no shorter time.
	Told = 6 * time.Second
	// Most bounds the calls that are open.
	Most = 8
	// Patience is for the first word of a call, where lists are asked for.
	Patience = 3 * time.Second
	// CallsMost is what all hosts whose calls are turned away may ask in a second. A list of some tens
	// of nodes costs a service milliseconds; a few tens a second leave it room.
	CallsMost = 40
	// GrowMost bounds the doubling.
	GrowMost = 8

	beatSlack  = 500 * time.Millisecond
	askedSlack = time.Second
	waitTold   = 2 * time.Second // past its wait what a call missed that may wait counts as told
	// A quarter of the drain rule's grace may pass between two calls to the agent: the rest is for the
	// answer, its reading and what is on its way.
	graceShare = 4
	everyLeast = 20 * time.Millisecond
	everyMost  = 100 * time.Millisecond
	turnedFor  = time.Minute
	downAfter  = time.Second // silent for this long past a beat: said to others
	leastWait  = 200 * time.Millisecond
	// Longest mean wait, as a part of Told: after a call that stood, and after one turned away, which
	// moves that time off fourfold (the wire's rules.ask-within).
	standTold, turnedTold = 0.5, 2.5
	turnedTimes           = 4                      // what a call turned away makes of Told
	spread                = 0.5                    // a wait is drawn from 1-spread to 1+spread times itself
	answerLeft            = time.Second            // of Told, for the answer
	repeatLeft            = 500 * time.Millisecond // ... and for that of the one repeat
	never                 = time.Duration(1<<63 - 1)
)

// Settings are a clock's.
type Settings struct {
	Pushed bool          // an agent of this machine answers at once, at no cost
	Hosts  int           // schedulers that ask for the same list; 0: this one
	Told   time.Duration // when what the list says counts as told at the latest; 0 or longer: Told
	Grace  time.Duration // of the drain rule; 0: not known
	Paced  bool          // while nothing was heard yet, another says when to ask
	Wait   time.Duration // a call may wait for so long before it says anything; 0: it beats
	Seed   uint64
}

// Kind is what happened.
type Kind int

// The kinds of events.
const (
	Begin  Kind = iota // the process has started
	Spoke              // a call brought a list or a sign of life
	Ended              // a call's connection has ended, never came up, or was turned away
	Moved              // the list is at another address from now on
	Passed             // time has passed: Wake is over
	Due                // Paced: the list is to be asked for
)

// Event is one thing that happened.
type Event struct {
	Kind Kind
	Call int // of Spoke and Ended
	// Refused, of Ended: the service answered that it will not.
	Refused bool
}

// Do is what is to be done.
type Do int

// The kinds of actions.
const (
	Open   Do = iota // a call at the present address
	Close            // a call
	Down             // no call stands: said once until one speaks
	Missed           // Paced: a call came to nothing
)

// Action is one thing to do.
type Action struct {
	Do   Do
	Call int
}

type call struct {
	id     int
	opened time.Duration
	heard  time.Duration
	spoke  bool
	moves  int // of the address it is at
	silent bool
}

// Clock is the memory of one scheduler.
type Clock struct {
	set    Settings
	rng    *rand.Rand
	now    time.Duration
	calls  []call // open, the oldest first
	ids    int
	moves  int
	heard  time.Duration // the last word of any call
	repeat time.Duration // when a call that replaces a silent one is repeated, if not answered
	turned time.Duration // until then a call was turned away of late; 0: none
	next   time.Duration // when another call is opened; never: not before something happens
	factor int
	down   bool
	out    []Action
}

// New makes the clock of one scheduler.
func New(set Settings) *Clock {
	if set.Told <= 0 || set.Told > Told {
		set.Told = Told
	}
	if set.Wait > 0 {
		set.Told = max(set.Told, set.Wait+waitTold)
	}
	set.Hosts = max(set.Hosts, 1)
	return &Clock{set: set, rng: rand.New(rand.NewPCG(set.Seed, 0x6c697374)), next: never, repeat: never, factor: 1}
}

// Every is the time between two calls to an agent that does not answer.
func (c *Clock) Every() time.Duration {
	return min(max(c.set.Grace/graceShare, everyLeast), everyMost)
}

// pushed says that asking costs nothing, as far as known.
func (c *Clock) pushed() bool { return c.set.Pushed && c.now >= c.turned }

// silence is how long a call may say nothing.
func (c *Clock) silence() time.Duration {
	if c.pushed() {
		return max(Beat, c.set.Wait) + beatSlack
	}
	return max(Beat, c.set.Wait) + askedSlack // the service may be busy, and another call makes it more so
}

// Step takes one event and returns what is to be done.
func (c *Clock) Step(now time.Duration, e Event) []Action {
	c.now, c.out = max(now, c.now), nil
	i := c.find(e.Call)
	switch e.Kind {
	case Begin:
		if c.heard = c.now; c.paced() {
			c.next = c.bound()
		} else {
			c.open()
		}
	case Due:
		if c.paced() && !c.calling() {
			c.open()
		}
	case Moved:
		c.moved()
	case Spoke:
		if i >= 0 {
			c.spoke(i)
		}
	case Ended:
		if e.Refused {
			c.turned, c.repeat = c.now+turnedFor, never
		}
		if i >= 0 {
			c.ended(i)
		}
	}
	c.look()
	return c.out
}

// Wake is when Passed is due.
func (c *Clock) Wake() time.Duration {
	at := c.next
	if !c.pushed() {
		at = min(at, c.repeat)
	}
	for i := range c.calls {
		k := &c.calls[i]
		switch {
		case k.spoke && !k.silent:
			at = min(at, k.heard+c.silence())
		case k.spoke && !c.down:
			at = min(at, k.heard+c.silence()+downAfter)
		case !k.spoke && !c.pushed():
			at = min(at, k.opened+c.first())
		}
	}
	return max(at, c.now)
}

// Live says whether a call stands that is not silent.
func (c *Clock) Live() bool { return slices.ContainsFunc(c.calls, call.live) }

func (k call) live() bool { return k.spoke && !k.silent }

func (c *Clock) find(id int) int {
	return slices.IndexFunc(c.calls, func(k call) bool { return k.id == id })
}

func (c *Clock) act(do Do, id int) { c.out = append(c.out, Action{do, id}) }

// first is how long the first word of a call is waited for, where lists are asked for.
func (c *Clock) first() time.Duration { return Patience + c.set.Wait }

// open opens a call, in the place of the oldest that is not believed to stand if there is no other.
func (c *Clock) open() {
	if len(c.calls) >= Most {
		if i := slices.IndexFunc(c.calls, func(k call) bool { return !k.live() }); i >= 0 {
			c.close(i)
		} else {
			c.close(0)
		}
	}
	c.ids++
	c.calls = append(c.calls, call{id: c.ids, opened: c.now, heard: c.now, moves: c.moves})
	c.act(Open, c.ids)
	c.next = never
	if c.pushed() {
		c.next = c.now + c.Every()
	}
}

func (c *Clock) close(i int) {
	c.act(Close, c.calls[i].id)
	c.calls = slices.Delete(c.calls, i, i+1)
}

// moved closes what never spoke at the old address, and opens a call at the new one beside the rest.
func (c *Clock) moved() {
	c.moves++
	for i := len(c.calls) - 1; i >= 0; i-- {
		if !c.calls[i].spoke {
			c.close(i)
		}
	}
	c.factor = 1
	c.open()
}

// spoke takes a word. A call at the present address ends all others; one at an address before
// ends those that are older.
func (c *Clock) spoke(i int) {
	k := &c.calls[i]
	k.spoke, k.silent, k.heard, c.heard = true, false, c.now, c.now
	c.repeat = never
	c.down, c.set.Paced = false, false
	id, here := k.id, k.moves == c.moves
	for j := len(c.calls) - 1; j >= 0; j-- {
		if o := c.calls[j]; o.id != id && (here || o.moves < c.moves && o.id < id) {
			c.close(j)
		}
	}
	if here {
		c.factor, c.next = 1, never
	}
}

// ended takes the end of a call.
func (c *Clock) ended(i int) {
	k := c.calls[i]
	c.calls = slices.Delete(c.calls, i, i+1)
	if !c.Live() && !c.down && (k.live() || len(c.calls) == 0) {
		c.down = true
		c.act(Down, 0)
	}
	switch {
	case k.moves < c.moves: // the calls at the new address have a time of their own
	case c.pushed():
		c.next = min(c.next, max(c.now, k.opened+c.Every()))
	case !c.calling() && c.next == never:
		c.again(k.spoke)
	}
}

// calling says whether a call at the present address is out that has not spoken, or one that stands.
func (c *Clock) calling() bool {
	return slices.ContainsFunc(c.calls, func(k call) bool { return k.moves == c.moves && (!k.spoke || !k.silent) })
}

// paced says that another says when the list is asked for.
func (c *Clock) paced() bool { return c.set.Paced && !c.pushed() }

// again sets the next call after one that ended, and had spoken or not.
func (c *Clock) again(stood bool) {
	if !c.paced() {
		c.next = c.now + c.wait(stood)
		return
	}
	c.next = c.bound()
	c.act(Missed, 0)
}

// bound is when the list is asked for at the latest where another sets the pace. A repeat is drawn: a
// fleet's would else be made at one instant. Once all that may be counts as told there is no hurry.
func (c *Clock) bound() time.Duration {
	told := c.set.Told
	if c.now < c.turned {
		told *= turnedTimes
	}
	left := c.heard + told - answerLeft - c.now
	switch {
	case c.ids == 0:
		return c.now + max(left, 0)
	case left > leastWait:
		late := min(left, answerLeft)
		return c.now + left - time.Duration(float64(late)*c.rng.Float64())
	}
	return c.now + time.Duration(turnedTold*(1+spread)*float64(c.set.Told))
}

// wait draws the time before the list is asked for again.
func (c *Clock) wait(stood bool) time.Duration {
	w := max(leastWait, time.Duration(c.set.Hosts)*time.Second/CallsMost) * time.Duration(c.factor)
	most, left := turnedTold, never
	if stood {
		most, left = standTold, c.heard+c.set.Told-answerLeft-c.now
	}
	c.factor = min(2*c.factor, GrowMost)
	w = min(w, time.Duration(most*float64(c.set.Told)))
	w = time.Duration(float64(w) * (1 - spread + 2*spread*c.rng.Float64()))
	if w > left { // drawn, not cut: calls that end at one instant would else be repeated at one
		w = time.Duration(float64(max(left, 0)) * c.rng.Float64())
	}
	return w
}

// look opens and gives up what time has come for.
func (c *Clock) look() {
	for i := range c.calls {
		k := &c.calls[i]
		if !k.spoke {
			continue
		}
		if !k.silent && c.now >= k.heard+c.silence() {
			k.silent = true
			if !c.Live() && k.moves == c.moves {
				c.next = min(c.next, c.now)
				if !c.pushed() {
					c.next = c.now + c.wait(true)
					c.repeat = k.heard + c.set.Told - repeatLeft - time.Duration(c.rng.Float64()*float64(answerLeft))
					c.repeat = max(c.repeat, c.next+repeatLeft/2)
				}
			}
		}
		if k.silent && !c.down && !c.Live() && c.now >= k.heard+c.silence()+downAfter {
			c.down = true
			c.act(Down, 0)
		}
	}
	if !c.pushed() {
		for i := len(c.calls) - 1; i >= 0; i-- {
			if k := c.calls[i]; !k.spoke && c.now >= k.opened+c.first() {
				c.close(i)
				if !c.calling() {
					c.again(false)
				}
			}
		}
	}
	if c.now >= c.next {
		c.open()
	} else if c.now >= c.repeat && !c.pushed() {
		c.repeat = never
		c.open()
	}
}
