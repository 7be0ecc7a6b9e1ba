// Package scattergather asks the parts of a gathered read and ends it with one answer. Gather decides: it knows no wire,
// clock or goroutine; time goes in, what to ask and what to call off comes out. Run carries it out.
//
// Invariants:
//
//	S1  One final answer; it does not change, and nothing is asked after it.
//	S2  No part is asked while AtOnce askings of parts are out; one whose bytes wait for room does not count.
//	S3  Nothing is asked once the parts' time (the client's less the share for the merge) is past.
//	S4  A part that may have run is asked again only where the class is safe to repeat.
//	S5  A part is asked at most 1+Again times, and at most moreMost times more where it stopped at a limit, and refusedMost
//	    where it was refused after rows had gone out, each after a longer wait.
//	S6  A refused part is not asked again before its Retry-After.
//	S7  At the final answer each asking has ended or is called off.
//	S8  The rows are those of the flat merge, or the answer names what is missing.
//	S10 An asking names those of its part that failed, were refused or are out, so that it can pass over the nodes that they went to;
//	    those that stopped at a limit are not among them.
//	S9  The final answer comes at the client's deadline at the latest.
package scattergather

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"wheatsaddle/gather"
)

const (
	moreMost  = 20 // askings for more rows: each asks for twice as many
	againMost = 16
	copyMost  = 2 // askings of one part that are out

	refusedMost  = 20 // refusals of a part that do not count as askings
	refusedLeast = 10 * time.Millisecond
	refusedGrows = 6 // how often the wait after them doubles

	framesAtOnce = 64 // rows of a partial result between two looks at its length
)

// Rules of one class of gathered reads.
type Rules struct {
	Merge  *gather.Rules
	Share  float64       // of the client's patience, kept for the merge: at least 0, less than 1
	AtOnce int           // askings out at once
	Again  int           // how often a part is asked again, first asking not counted
	Silent time.Duration // without a byte from the only asking, a second goes out; 0: never
	Safe   bool          // the class is safe to repeat
}

// Ask is one asking of a part.
type Ask struct {
	Part  gather.Part
	Copy  int           // grows from 1 in each part
	Until time.Duration // the part's deadline, from the arrival of the client's request
	Rows  int           // rows from its start; 0 is all
	Peer  string        // of a group: who is asked; "": the process itself
	Past  []int         // copies that failed, were refused or are out, the newest first: another node is to be asked
}

// Action is an asking that goes out, or is called off.
type Action struct {
	Ask
	Off bool
}

// Kind is how a gathered read ended.
type Kind uint8

// The kinds of final answers.
const (
	Served  Kind = iota // Result says whether it is whole, and what is missing
	Short               // it ended early: Result.Err
	Refused             // nothing went out, and what is missing was refused
	Late                // the client's time ended first
	Left                // the client left
	Invalid             // it could not begin: Err
)

// Final is the one final answer.
type Final struct {
	Kind       Kind
	RetryAfter time.Duration // of Refused
	Result     gather.Result
	Limited    bool  // a partial result that stopped at its rows: there may be more
	Err        error // of Invalid
}

type asking struct {
	no   int
	at   int64         // bytes taken
	last time.Duration // when it last said something
	held bool          // some of it waits for room
	due  time.Duration // of a group: its share of the time is over
	more bool          // it was asked for more rows
}

type part struct {
	gather.Part
	live    []asking
	next    int // number of the last asking
	used    int // askings but those for more rows
	more    int
	last    bool // it ended so that no other asking can help
	took    int64
	ran     bool          // an asking may have run
	limited bool          // it stopped at its limit of rows
	over    bool          // it is whole or given up
	notYet  time.Duration // its Retry-After
	refused int           // refusals that did not count as askings
	why     error
	failed  []int   // numbers of askings
	group   *handed // nil: asked by the process itself
}

type fault uint8 // what a test takes away, to see that its loss is found

const (
	faultNone fault = iota
	faultFinal
	faultAtOnce
	faultTime
	faultUnsafe
	faultAgain
	faultRetry
	faultOff
	faultDrop
	faultEnd
	faultPast
)

// Gather is one gathered read. Not for several goroutines at once.
type Gather struct {
	r        Rules
	m        *gather.Merge
	parts    []*part
	byID     map[string]*part
	deadline time.Duration
	until    time.Duration
	late     bool
	left     bool
	final    *Final
	wake     time.Duration
	actions  []Action
	offs     []Action // since the last Step
	demands  map[string]gather.Demand
	began    bool // rows have gone out
	partial  bool // rows go out encoded, for a merge that this one is a part of
	most     int  // of a partial result: rows after which it ends; 0: none
	rows     int  // of a partial result
	fault    fault
	tree     TreeRules
	treeBad  treeFault
}

// New begins a gathered read whose client waits for patience. Errors: *RulesBad and those of gather.New.
func New(r Rules, patience time.Duration, parts []gather.Part, opts ...gather.Option) (*Gather, error) {
	switch {
	case r.Merge == nil:
		return nil, &RulesBad{"merge", "is missing"}
	case !(r.Share >= 0 && r.Share < 1):
		return nil, &RulesBad{"share", "is not from 0 to less than 1"}
	case r.AtOnce < 1:
		return nil, &RulesBad{"at_once", "is not a positive number"}
	case r.Again < 0 || r.Silent < 0:
		return nil, &RulesBad{"again, silent", "is negative"}
	case r.Again > againMost:
		return nil, &RulesBad{"again", fmt.Sprintf("is over %d", againMost)}
	}
	m, err := gather.New(r.Merge, parts, opts...)
	if err != nil {
		return nil, err
	}
	g := &Gather{r: r, m: m, byID: map[string]*part{}, deadline: patience, demands: map[string]gather.Demand{}}
	g.until = patience - time.Duration(r.Share*float64(patience))
	for _, p := range parts {
		q := &part{Part: p}
		g.parts, g.byID[p.ID] = append(g.parts, q), q
	}
	return g, nil
}

func (p *part) find(no int) int {
	return slices.IndexFunc(p.live, func(a asking) bool { return a.no == no })
}

// Take gives bytes of an asking and says how many were taken: the rest waits for room. Of an asking that is called off
// all is taken, for nothing.
func (g *Gather) Take(now time.Duration, id string, no int, data []byte) int {
	p := g.byID[id]
	i := p.find(no)
	if i < 0 || g.final != nil {
		return len(data)
	}
	a := &p.live[i]
	a.last = now
	if p.over {
		return len(data)
	}
	g.want()
	room := int64(0)
	if d, ok := g.demands[id]; ok {
		room = int64(d.Bytes)
	}
	n := int(min(int64(len(data)), p.took-a.at+room))
	a.held = n < len(data)
	if n == 0 {
		return 0
	}
	if err := g.m.Add(id, no, data[:n]); err != nil {
		g.offs = append(g.offs, Action{Ask: Ask{Part: p.Part, Copy: no}, Off: true})
		p.ran, p.live = true, slices.Delete(p.live, i, i+1) // it differs: gather has named it
		p.failed = append(p.failed, no)
		p.why = err
		return len(data)
	}
	a.at += int64(n)
	p.took = max(p.took, a.at)
	return n
}

// Ended says how an asking ended: nil is whole; *Refusal never ran; *gather.Limited stopped at its rows.
func (g *Gather) Ended(now time.Duration, id string, no int, err error) {
	p := g.byID[id]
	i := p.find(no)
	if g.fault == faultEnd && i < 0 && g.final != nil { // a test's: what comes late changes the answer
		g.final.Kind = Short
	}
	if i < 0 || g.final != nil {
		return
	}
	more := p.live[i].more
	p.live = slices.Delete(p.live, i, i+1)
	if p.over {
		return
	}
	var ref *Refusal
	if errors.As(err, &ref) { // it may have gone to nodes: one that fails in a safe class ends so
		p.failed = append(p.failed, no)
		wait := ref.After
		if g.began && p.refused < refusedMost { // it never ran, and the client has rows of an answer that lacks it
			wait = max(wait, refusedLeast<<min(p.refused, refusedGrows))
			if p.refused++; more {
				p.more--
			} else {
				p.used--
			}
		}
		p.notYet = max(p.notYet, now+wait)
		p.why = err
		return
	}
	p.ran = true
	p.limited = errors.As(err, new(*gather.Limited))
	if err != nil && !p.limited {
		p.failed = append(p.failed, no)
	}
	p.last = hopeless(err)
	g.heard(p, err)
	if bad := g.m.End(id, no, err); bad != nil {
		err = bad
	} else if err == nil {
		p.over = true
	}
	p.why = err
}

// Leave says that the client left.
func (g *Gather) Leave() { g.left = true }

// Next is the next row that may go out. It is valid until the next call.
func (g *Gather) Next() ([]byte, bool) {
	if g.final != nil || g.left {
		return nil, false
	}
	row, ok := g.m.Next()
	g.began = g.began || ok
	return row, ok
}

// Partial makes it the gathering of a partial result, which ends after so many rows; 0: with the last.
func (g *Gather) Partial(rows int) { g.partial, g.most = true, rows }

// Append appends records that may go out, up to a length or a little over it: in the rules' form, or encoded where it is partial.
func (g *Gather) Append(dst []byte, most int) []byte {
	for len(dst) < most && g.final == nil && !g.left {
		if !g.partial {
			row, ok := g.Next()
			if !ok {
				return dst
			}
			dst = g.r.Merge.AppendRow(dst, row)
			continue
		}
		n, at := framesAtOnce, len(dst)
		if g.most > 0 {
			n = min(n, g.most-g.rows)
		}
		if n == 0 {
			return dst
		}
		dst, _ = g.m.AppendPartial(dst, n)
		got := rowsOf(dst[at:])
		g.began = g.began || got > 0
		if g.rows += got; got < n { // it waits for parts, or is at its end
			return dst
		}
	}
	return dst
}

// rowsOf is how many frames of an encoded partial result are rows, or groups of them.
func rowsOf(frames []byte) (n int) {
	for len(frames) > 4 {
		if frames[4] == 'R' || frames[4] == 'G' {
			n++
		}
		frames = frames[4+binary.BigEndian.Uint32(frames):]
	}
	return n
}

// Room is how many bytes of a part may come now.
func (g *Gather) Room(id string) int {
	g.want()
	return g.demands[id].Bytes
}

// Final is the final answer once there is one.
func (g *Gather) Final() (Final, bool) {
	if g.final == nil {
		return Final{}, false
	}
	return *g.final, true
}

// Wake is when Step is due again if nothing happens before.
func (g *Gather) Wake() time.Duration { return g.wake }

func (g *Gather) want() []gather.Demand {
	all := g.m.Want()
	clear(g.demands)
	for _, d := range all {
		g.demands[d.Part] = d
	}
	return all
}

// Step decides what to do now. It is called after Next has no more rows; the slice is valid until the next call.
func (g *Gather) Step(now time.Duration) []Action {
	g.actions = append(g.actions[:0], g.offs...)
	g.offs = g.offs[:0]
	g.wake = g.deadline
	if g.final != nil {
		return nil
	}
	switch {
	case g.left:
		g.m.Leave()
		g.end(Left)
	case g.most > 0 && g.rows >= g.most:
		g.end(Served)
		g.final.Limited = true
	case !slices.ContainsFunc(g.want(), func(d gather.Demand) bool { return !d.Stop }) && g.m.Result().Done:
		g.end(Served)
	case now >= g.deadline && g.fault != faultFinal:
		g.end(Late)
	}
	if g.final != nil {
		return g.actions
	}
	if now < g.until {
		g.wake = g.until
	} else {
		g.late = true
	}
	g.want()
	for _, first := range []bool{true, false} { // what the merge waits for comes before the rest
		for _, p := range g.parts {
			if d, ok := g.demands[p.ID]; !ok && first {
				g.settle(p)
			} else if ok && d.First == first {
				g.part(now, p, d)
			}
		}
	}
	return g.actions
}

// settle calls off what is out for a part that is not wanted any more.
func (g *Gather) settle(p *part) {
	if p.limited && !p.over { // enough so far
		return
	}
	for p.over = true; len(p.live) > 0; {
		g.off(p, 0)
	}
}

func (g *Gather) part(now time.Duration, p *part, d gather.Demand) {
	if g.late && g.fault != faultTime {
		for i := len(p.live) - 1; i >= 0; i-- {
			if !p.live[i].held {
				g.off(p, i)
			}
		}
		if len(p.live) > 0 { // its bytes are here: they wait for the merge alone
			return
		}
		why := p.why
		if why == nil || p.limited {
			why = &OutOfTime{p.ID}
		}
		g.drop(p, why)
		return
	}
	if p.group != nil {
		g.handOn(now, p, d)
		return
	}
	if len(p.live) > 0 {
		a := &p.live[0]
		if g.r.Silent == 0 || len(p.live) >= copyMost || a.held || !g.may(p) || !g.r.Safe {
			return
		}
		if at := max(a.last+g.r.Silent, p.notYet); now < at {
			g.wake = min(g.wake, at)
			return
		}
		g.ask(now, p, d, false)
		return
	}
	more := p.limited && g.r.Safe && p.more < moreMost
	switch {
	case !more && !g.may(p):
		g.drop(p, p.why)
	case p.notYet >= g.until && g.fault != faultRetry:
		g.drop(p, p.why)
	case now < p.notYet && g.fault != faultRetry:
		g.wake = min(g.wake, p.notYet)
	default:
		g.ask(now, p, d, more)
	}
}

// may: the part may be asked once more.
func (g *Gather) may(p *part) bool {
	switch {
	case p.used == 0:
		return true
	case p.last:
		return false
	case p.used > g.r.Again && g.fault != faultAgain:
		return false
	}
	return g.r.Safe || !p.ran || g.fault == faultUnsafe
}

func (g *Gather) ask(now time.Duration, p *part, d gather.Demand, more bool) {
	if g.out() >= g.r.AtOnce && g.fault != faultAtOnce {
		return
	}
	p.next++
	if more {
		p.more++
	} else {
		p.used++
	}
	a := Ask{Part: p.Part, Copy: p.next, Until: g.until}
	if g.fault != faultPast {
		a.Past = slices.Clone(p.failed)
		for _, x := range p.live {
			a.Past = append(a.Past, x.no)
		}
		slices.SortFunc(a.Past, func(a, b int) int { return b - a })
	}
	if g.r.Safe { // else it could not be asked again for more
		a.Rows = d.Rows
	}
	p.live = append(p.live, asking{no: p.next, last: now, more: more})
	if g.r.Silent > 0 {
		g.wake = min(g.wake, now+g.r.Silent)
	}
	g.actions = append(g.actions, Action{Ask: a})
}

// out is how many askings may bring something; groups count by themselves.
func (g *Gather) out() (n int) {
	for _, p := range g.parts {
		if p.group != nil {
			continue
		}
		for _, a := range p.live {
			if !a.held {
				n++
			}
		}
	}
	return n
}

func (g *Gather) off(p *part, i int) {
	if a := p.live[i]; g.fault != faultOff {
		g.actions = append(g.actions, Action{Ask: Ask{Part: p.Part, Copy: a.no}, Off: true})
	}
	p.ran = true
	p.live = slices.Delete(p.live, i, i+1)
}

func (g *Gather) drop(p *part, why error) {
	p.over = true
	if g.fault == faultDrop { // a test's: what is lost passes for the end
		_ = g.m.End(p.ID, p.next+1, nil)
		return
	}
	_ = g.m.Drop(p.ID, why) // the part is known
	g.wake = 0              // rows may go out now
}

// end makes the final answer.
func (g *Gather) end(k Kind) {
	for _, p := range g.parts {
		for len(p.live) > 0 {
			g.off(p, 0)
		}
	}
	f := Final{Kind: k, Result: g.m.Result()}
	if k == Served && f.Result.Err != nil {
		f.Kind = Short
		refused := f.Result.Rows == 0 && errors.As(f.Result.Err, new(*gather.Incomplete))
		for _, s := range f.Result.Parts {
			var ref *Refusal
			if refused = refused && errors.As(s.Why, &ref); refused {
				f.RetryAfter = max(f.RetryAfter, ref.After)
			}
		}
		if refused {
			f.Kind = Refused
		} else {
			f.RetryAfter = 0
		}
	}
	g.final = &f
}
