package address

import (
	"fmt"
	"time"
)

// State is what is held of an address.
type State uint8

// The states.
const (
	Untried State = iota
	Healthy
	Suspect     // silent, breaking, or turning all away: it may be the address or the node
	Down        // its connects fail, or its trial did
	WrongNode   // it leads to another node
	Unsupported // this machine lacks its family
	states
)

var stateWords = [states]string{"untried", "good", "suspect", "down", "wrong", "absent"}

func (s State) String() string {
	if s < states {
		return stateWords[s]
	}
	return fmt.Sprint("state ", uint8(s))
}

// entry is one address of the node.
type entry struct {
	Addr
	state   State
	why     Reason
	proving bool // good again, but not often enough
	refuses bool // only new connections fail: what stands may be used
	gone    bool // off the list
	conns   int
	idle    []*conn // used last at the end
	trying  *conn
	fails   int
	until   time.Duration // end of its back-off
	run     int           // connections in a row whose first answer came in time
	breaks  int           // connections broken since the last answer
	turned  int           // requests turned away since the last that was served
	served  time.Duration
	heard   time.Duration // last answer
	tried   time.Duration // last connect
	usual   float64       // smoothed time of an answer, ns; 0: none
	doubted time.Duration // silent for long enough to ask another address, since then; 0: not
	refuted time.Duration // another address has answered meanwhile; suspect if silent at this time
}

const (
	rankGood = iota
	rankProving
	rankSuspect
	rankOver // down, but its back-off is over
	rankDown
)

const (
	usualShare   = 0.1 // of one answer in the usual time: some ten answers
	relapseSpans = 4   // a return that lasted fewer holds did not last
	backoffSteps = 20
	graceLeast   = 10 * time.Millisecond
)

func (b *Selector) rank(e *entry) int {
	switch e.state {
	case Untried:
		return rankGood
	case Healthy:
		if e.proving {
			return rankProving
		}
		return rankGood
	case Suspect:
		return rankSuspect
	}
	if b.now >= e.until {
		return rankOver
	}
	return rankDown
}

// shut says that connections to the address are of no use.
func (e *entry) shut() bool {
	return (e.state == Suspect || e.state == Down || e.state == WrongNode) && !e.refuses
}

// best is the rank of the best address.
func (b *Selector) best() int {
	best := rankDown
	for _, e := range b.entries {
		best = min(best, b.rank(e))
	}
	return best
}

// down says that no address is known to be of use.
func (b *Selector) down() bool { return b.best() >= rankOver }

// guarded says that an address takes one connection at a time, for a trial.
func (b *Selector) guarded(e *entry) bool {
	r := b.rank(e)
	return r >= rankOver || r > b.best()
}

func (b *Selector) jitter(d time.Duration) time.Duration {
	return d - time.Duration(b.settings.Jitter*b.rng.Float64()*float64(d))
}

func (b *Selector) backoff(first time.Duration, fails int) time.Duration {
	d := first
	for range min(fails, backoffSteps) - 1 {
		d = min(2*d, max(first, b.settings.MaxBackoff))
	}
	return b.jitter(d)
}

// blame takes trouble on an address into its state. What comes from connections that stood
// before it was suspect counts no more, or one incident would be many.
func (b *Selector) blame(e *entry, why Reason, trial bool) {
	if e.gone {
		return
	}
	was := e.state
	connect := why == ReasonRefused || why == ReasonTimedOut || why == ReasonOvertaken || why == ReasonNoFamily
	if (was == Suspect && why != ReasonRefused && why != ReasonTimedOut || was == Down || was == WrongNode) && !trial {
		if connect { // a race's last resort, or one that was under way
			e.until = max(e.until, b.now+b.backoff(b.settings.Backoff, e.fails))
		}
		return
	}
	wasDown := b.down()
	e.fails++
	e.run, e.why, e.proving, e.doubted, e.refuted = 0, why, true, 0, 0
	switch {
	case why == ReasonNoFamily:
		e.state, e.until = Unsupported, b.now+b.jitter(b.settings.UnsupportedBackoff)
	case why == ReasonWrongNode:
		e.state, e.until = WrongNode, b.now+b.backoff(b.settings.WrongNodeBackoff, e.fails)
	case was == WrongNode || why == ReasonRejecting && was == Suspect:
		e.until = b.now + b.backoff(b.settings.WrongNodeBackoff, e.fails)
	case why == ReasonRefused || why == ReasonTimedOut || was == Suspect || was == Down:
		e.state, e.until = Down, b.now+b.backoff(b.settings.Backoff, e.fails)
	default:
		e.state, e.until = Suspect, b.now+b.backoff(b.settings.Backoff, e.fails)
	}
	e.refuses = connect && (was == Healthy || was == Untried || e.refuses)
	if e.shut() && b.rank(e) > b.best() {
		for len(e.idle) > 0 {
			b.closeConn(e.idle[len(e.idle)-1])
		}
	}
	if e.state != was {
		b.emit(Action{Kind: LogState, Addr: e.Addr, State: e.state, Reason: why})
		b.hurry()
	}
	if !wasDown && b.down() {
		b.maxUnproven = 1
		b.nextDownTrial = b.now + b.jitter(b.settings.DownTrialInterval)
	}
	b.choose()
}

// judge takes what an answer says of its address.
func (b *Selector) judge(e *entry, took time.Duration, v Verdict, named, first, trial, told bool) {
	e.heard, e.breaks, e.doubted, e.refuted = b.now, 0, 0, 0
	b.refute(e, b.now-took, took)
	if e.gone {
		return
	}
	switch {
	case v == VerdictWrongNode:
		b.blame(e, ReasonWrongNode, true)
		return
	case v == VerdictServed && named:
		e.turned, e.served = 0, b.now
		for _, o := range b.entries {
			if o != e && o.turned >= b.settings.MaxRejections && (o.state == Suspect || o.state == Down) {
				b.blame(o, ReasonWrongNode, true) // the node serves, and this one turned all away
			}
		}
	case v == VerdictRejected && named:
		e.turned++
		if trial && (e.state == WrongNode || e.why == ReasonRejecting) {
			b.blame(e, ReasonRejecting, true)
			return
		}
		if e.turned >= b.settings.MaxRejections && b.unserving(e) {
			b.blame(e, ReasonRejecting, false)
			return
		}
	}
	if took >= b.silenceBound {
		if trial && !told { // else its silence was blamed already
			b.blame(e, ReasonSlow, true)
		}
		b.usually(e, took)
		return
	}
	b.usually(e, took)
	if e.state == WrongNode && !(v == VerdictServed && named) {
		if trial {
			e.until = b.now + b.jitter(b.settings.TrialInterval)
		}
		return
	}
	if v == VerdictRejected && (first || e.state != Healthy) {
		if trial {
			e.until = b.now + b.jitter(b.settings.TrialInterval)
		}
		return // it stands, but this is no service
	}
	b.good(e, first, trial)
}

// unserving says that a good address has served nothing for longer than a node that is only
// full would take, and that there is another good one to ask.
func (b *Selector) unserving(e *entry) bool {
	span := min(b.settings.RejectionWindow, max(2*graceLeast, time.Duration(b.settings.SuspectLatencyFactor*b.usualAnswerTime)))
	return b.now-e.served >= span && b.rank(e) == rankGood && b.another(e)
}

// another says that another address is as good as it was until now.
func (b *Selector) another(e *entry) bool {
	for _, o := range b.entries {
		if o != e && b.rank(o) == rankGood {
			return true
		}
	}
	return false
}

// good takes an answer in time.
func (b *Selector) good(e *entry, first, trial bool) {
	wasDown := b.down()
	switch e.state {
	case Suspect, Down, WrongNode, Unsupported:
		if e.state != Suspect && !trial {
			return // of a connection that stood before; what fails is new ones
		}
		e.state, e.refuses, e.proving = Healthy, false, true
		b.emit(Action{Kind: LogState, Addr: e.Addr, State: Healthy})
	case Untried:
		e.state = Healthy
	}
	if first {
		e.run = min(e.run+1, b.settings.MinReturnConns)
	}
	if e.until = b.now + b.jitter(b.settings.TrialInterval); e.run >= b.settings.MinReturnConns {
		e.proving, e.fails = false, 0
	}
	if wasDown { // there is no other: it serves from now on
		e.proving = false
	}
	if b.maxUnproven < b.settings.MaxConns && first { // as many again for each round of first answers
		b.maxUnproven++
	}
	b.choose()
}

// usually takes a time into what is usual, and moves the bound of silence: it follows the best
// address, so that a slow one does not set its own measure.
func (b *Selector) usually(e *entry, took time.Duration) {
	if e.usual == 0 {
		e.usual = float64(took)
	}
	e.usual += usualShare * (float64(took) - e.usual)
	best, some := 0.0, false
	for _, o := range b.entries {
		if o.usual > 0 && (!some || o.usual < best) {
			best, some = o.usual, true
		}
	}
	b.usualAnswerTime, b.usualKnown = best, some
	was := b.silenceBound
	b.silenceBound = min(max(time.Duration(b.settings.SuspectLatencyFactor*best), b.settings.MinSuspectAfter), b.settings.MaxSuspectAfter)
	if b.silenceBound < was {
		b.nextSilenceCheck = 0
	}
}

// choose sets the primary: away from one that is worse than another at once, back to a preferred
// one by the rule of returns.
func (b *Selector) choose() {
	was := b.primary
	if was == nil {
		for _, e := range b.entries {
			if b.primary == nil || b.rank(e) < b.rank(b.primary) {
				b.primary = e
			}
		}
		if b.primary != nil {
			b.earliestReturn = b.now + b.returnDelay
		}
		return
	}
	for _, e := range b.entries {
		if b.rank(e) < b.rank(b.primary) && b.rank(e) < rankOver {
			b.primary = e
		}
	}
	if b.primary != was {
		if b.now-b.lastReturn < relapseSpans*b.returnDelay {
			b.returnDelay = min(2*b.returnDelay, b.settings.MaxReturnDelay)
		} else {
			b.returnDelay = b.settings.MinReturnDelay
		}
		b.earliestReturn = b.now + b.returnDelay
		return
	}
	if b.now < b.earliestReturn || b.rank(was) != rankGood {
		return
	}
	for _, e := range b.entries {
		if e == was {
			return
		}
		if e.state == Healthy && !e.proving && e.run >= b.settings.MinReturnConns && b.now-e.heard <= b.settings.MinReturnDelay {
			b.primary, b.lastReturn, b.earliestReturn = e, b.now, b.now+b.returnDelay
			return
		}
	}
}

// listen looks for connections that have been silent for too long.
func (b *Selector) listen() {
	b.nextSilenceCheck = never
	for i := range b.conns {
		c := &b.conns[i]
		if c.phase != busy || c.silenceCounted || c.entry.heard > c.since {
			continue
		}
		at := c.since + b.silenceBound
		if e := c.entry; e.refuted > 0 {
			at = min(at, e.refuted)
		} else if e.doubted == 0 && b.rank(e) == rankGood && b.another(e) {
			if ask := c.since + b.patience(); ask > b.now {
				at = min(at, ask)
			} else {
				e.doubted = b.now
			}
		}
		if at > b.now {
			b.nextSilenceCheck = min(b.nextSilenceCheck, at)
			continue
		}
		c.silenceCounted = true
		b.blame(c.entry, ReasonSilent, c.trial)
	}
}

// patience is the silence after which another address is asked.
func (b *Selector) patience() time.Duration {
	if !b.usualKnown {
		return b.silenceBound
	}
	return max(b.settings.SecondOpinionAfter, time.Duration(b.settings.SuspectLatencyFactor*b.usualAnswerTime))
}

// refute takes an answer as word against the addresses in doubt: the node does not pause, or no
// more. They get twice its time, as theirs may be on their way from the end of a pause.
func (b *Selector) refute(by *entry, since, took time.Duration) {
	for _, e := range b.entries {
		if e != by && e.doubted > 0 && e.doubted <= since && e.refuted == 0 && e.heard < e.doubted {
			e.refuted = b.now + max(graceLeast, 2*took)
			b.nextSilenceCheck = min(b.nextSilenceCheck, e.refuted)
		}
	}
}

// review looks for what only time shows: silence, races to be led on, and returns.
func (b *Selector) review() {
	if b.now >= b.nextSilenceCheck {
		b.listen()
	}
	for i := 0; i < len(b.races); i++ {
		r := b.races[i]
		if r.live == 0 && r.next == never {
			r.next = b.now // it stood aside for a connect that is over
		}
		n := len(b.races)
		b.advance(r)
		i -= n - len(b.races)
	}
	if b.primary != nil && b.now >= b.earliestReturn {
		b.choose()
	}
}

// tryAgain opens the trial connections that are due, beside the way that requests go now.
func (b *Selector) tryAgain() {
	if b.down() {
		// The walks of what waits are the trials; with none, a kept connection still serves.
		if len(b.waiting) == 0 && b.now >= b.nextDownTrial && b.connectingCount == 0 && !b.tryingAny() && len(b.freeSlots) > 0 && b.token() {
			if e := b.candidate(&race{}); e != nil {
				b.nextDownTrial = b.now + b.jitter(b.settings.DownTrialInterval)
				b.startConnect(e, nil, true)
			}
		}
		return
	}
	lost := b.rank(b.primary) > rankGood // then every other may be better
	before := true
	for _, e := range b.entries {
		if e == b.primary {
			before = false
			continue
		}
		if (!before && !lost) || e.trying != nil || b.now < e.until || len(b.freeSlots) == 0 {
			continue
		}
		if e.state == Healthy && !e.proving && e.run >= b.settings.MinReturnConns && (b.now < b.earliestReturn || b.now-e.heard < b.settings.MinReturnDelay) {
			continue // it has shown enough
		}
		if n := len(e.idle); n > 0 && e.state == Healthy && e.run >= b.settings.MinReturnConns {
			e.trying, e.idle[n-1].trial = e.idle[n-1], true // one that stands will do: it only has to show that it still is
			e.idle[n-1].since = b.now
		} else if b.token() {
			b.startConnect(e, nil, true)
		}
	}
}
