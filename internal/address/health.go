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
	stateCount
)

var stateNames = [stateCount]string{"untried", "good", "suspect", "down", "wrong", "absent"}

func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprint("state ", uint8(s))
}

// entry is one address of the node.
type entry struct {
	Addr
	state             State
	reason            Reason
	onProbation       bool // good again, but not often enough
	connectsFail      bool // only new connections fail: what stands may be used
	removed           bool // off the list
	conns             int
	idle              []*conn // used last at the end
	trialConn         *conn
	failures          int
	backoffUntil      time.Duration // end of its back-off
	timelyConns       int           // connections in a row whose first answer came in time
	breaksInRow       int           // connections broken since the last answer
	rejectionsInRow   int           // requests turned away since the last that was served
	lastServed        time.Duration
	lastResponse      time.Duration // last answer
	lastConnect       time.Duration // last connect
	usualResponseTime float64       // smoothed time of an answer, ns; 0: none
	doubtedSince      time.Duration // silent for long enough to ask another address, since then; 0: not
	suspectAt         time.Duration // another address has answered meanwhile; suspect if silent at this time
}

const (
	rankGood = iota
	rankProbation
	rankSuspect
	rankBackoffOver // down, but its back-off is over
	rankDown
)

const (
	usualResponseGain = 0.1 // of one answer in the usual time: some ten answers
	relapseFactor     = 4   // a return that lasted fewer holds did not last
	maxBackoffSteps   = 20
	minGrace          = 10 * time.Millisecond
)

func (s *Selector) rank(e *entry) int {
	switch e.state {
	case Untried:
		return rankGood
	case Healthy:
		if e.onProbation {
			return rankProbation
		}
		return rankGood
	case Suspect:
		return rankSuspect
	}
	if s.now >= e.backoffUntil {
		return rankBackoffOver
	}
	return rankDown
}

// unusable says that connections to the address are of no use.
func (e *entry) unusable() bool {
	return (e.state == Suspect || e.state == Down || e.state == WrongNode) && !e.connectsFail
}

// bestRank is the rank of the best address.
func (s *Selector) bestRank() int {
	best := rankDown
	for _, e := range s.entries {
		best = min(best, s.rank(e))
	}
	return best
}

// allDown says that no address is known to be of use.
func (s *Selector) allDown() bool { return s.bestRank() >= rankBackoffOver }

// isTrialOnly says that an address takes one connection at a time, for a trial.
func (s *Selector) isTrialOnly(e *entry) bool {
	r := s.rank(e)
	return r >= rankBackoffOver || r > s.bestRank()
}

func (s *Selector) jitter(d time.Duration) time.Duration {
	return d - time.Duration(s.settings.Jitter*s.rng.Float64()*float64(d))
}

func (s *Selector) backoff(first time.Duration, fails int) time.Duration {
	d := first
	for range min(fails, maxBackoffSteps) - 1 {
		d = min(2*d, max(first, s.settings.MaxBackoff))
	}
	return s.jitter(d)
}

// recordFault takes trouble on an address into its state. What comes from connections that stood
// before it was suspect counts no more, or one incident would be many.
func (s *Selector) recordFault(e *entry, reason Reason, trial bool) {
	if e.removed {
		return
	}
	was := e.state
	connect := reason == ReasonRefused || reason == ReasonTimedOut || reason == ReasonOvertaken || reason == ReasonNoFamily
	if (was == Suspect && reason != ReasonRefused && reason != ReasonTimedOut || was == Down || was == WrongNode) && !trial {
		if connect { // a race's last resort, or one that was under way
			e.backoffUntil = max(e.backoffUntil, s.now+s.backoff(s.settings.Backoff, e.failures))
		}
		return
	}
	wasDown := s.allDown()
	e.failures++
	e.timelyConns, e.reason, e.onProbation, e.doubtedSince, e.suspectAt = 0, reason, true, 0, 0
	switch {
	case reason == ReasonNoFamily:
		e.state, e.backoffUntil = Unsupported, s.now+s.jitter(s.settings.UnsupportedBackoff)
	case reason == ReasonWrongNode:
		e.state, e.backoffUntil = WrongNode, s.now+s.backoff(s.settings.WrongNodeBackoff, e.failures)
	case was == WrongNode || reason == ReasonRejecting && was == Suspect:
		e.backoffUntil = s.now + s.backoff(s.settings.WrongNodeBackoff, e.failures)
	case reason == ReasonRefused || reason == ReasonTimedOut || was == Suspect || was == Down:
		e.state, e.backoffUntil = Down, s.now+s.backoff(s.settings.Backoff, e.failures)
	default:
		e.state, e.backoffUntil = Suspect, s.now+s.backoff(s.settings.Backoff, e.failures)
	}
	e.connectsFail = connect && (was == Healthy || was == Untried || e.connectsFail)
	if e.unusable() && s.rank(e) > s.bestRank() {
		for len(e.idle) > 0 {
			s.closeConn(e.idle[len(e.idle)-1])
		}
	}
	if e.state != was {
		s.emit(Action{Kind: LogState, Addr: e.Addr, State: e.state, Reason: reason})
		s.hastenRaces()
	}
	if !wasDown && s.allDown() {
		s.maxUnproven = 1
		s.nextDownTrial = s.now + s.jitter(s.settings.DownTrialInterval)
	}
	s.choosePrimary()
}

// recordResponse takes what an answer says of its address.
func (s *Selector) recordResponse(e *entry, took time.Duration, v Verdict, named, first, trial, told bool) {
	e.lastResponse, e.breaksInRow, e.doubtedSince, e.suspectAt = s.now, 0, 0, 0
	s.endDoubts(e, s.now-took, took)
	if e.removed {
		return
	}
	switch {
	case v == VerdictWrongNode:
		s.recordFault(e, ReasonWrongNode, true)
		return
	case v == VerdictServed && named:
		e.rejectionsInRow, e.lastServed = 0, s.now
		for _, o := range s.entries {
			if o != e && o.rejectionsInRow >= s.settings.MaxRejections && (o.state == Suspect || o.state == Down) {
				s.recordFault(o, ReasonWrongNode, true) // the node serves, and this one turned all away
			}
		}
	case v == VerdictRejected && named:
		e.rejectionsInRow++
		if trial && (e.state == WrongNode || e.reason == ReasonRejecting) {
			s.recordFault(e, ReasonRejecting, true)
			return
		}
		if e.rejectionsInRow >= s.settings.MaxRejections && s.servesNothing(e) {
			s.recordFault(e, ReasonRejecting, false)
			return
		}
	}
	if took >= s.silenceBound {
		if trial && !told { // else its silence was blamed already
			s.recordFault(e, ReasonSlow, true)
		}
		s.updateUsualResponseTime(e, took)
		return
	}
	s.updateUsualResponseTime(e, took)
	if e.state == WrongNode && !(v == VerdictServed && named) {
		if trial {
			e.backoffUntil = s.now + s.jitter(s.settings.TrialInterval)
		}
		return
	}
	if v == VerdictRejected && (first || e.state != Healthy) {
		if trial {
			e.backoffUntil = s.now + s.jitter(s.settings.TrialInterval)
		}
		return // it stands, but this is no service
	}
	s.recordTimelyResponse(e, first, trial)
}

// servesNothing says that a good address has served nothing for longer than a node that is only
// full would take, and that there is another good one to ask.
func (s *Selector) servesNothing(e *entry) bool {
	span := min(s.settings.RejectionWindow, max(2*minGrace, time.Duration(s.settings.SuspectLatencyFactor*s.bestUsualResponseTime)))
	return s.now-e.lastServed >= span && s.rank(e) == rankGood && s.hasAlternative(e)
}

// hasAlternative says that another address is as good as it was until now.
func (s *Selector) hasAlternative(e *entry) bool {
	for _, o := range s.entries {
		if o != e && s.rank(o) == rankGood {
			return true
		}
	}
	return false
}

// recordTimelyResponse takes an answer in time.
func (s *Selector) recordTimelyResponse(e *entry, first, trial bool) {
	wasDown := s.allDown()
	switch e.state {
	case Suspect, Down, WrongNode, Unsupported:
		if e.state != Suspect && !trial {
			return // of a connection that stood before; what fails is new ones
		}
		e.state, e.connectsFail, e.onProbation = Healthy, false, true
		s.emit(Action{Kind: LogState, Addr: e.Addr, State: Healthy})
	case Untried:
		e.state = Healthy
	}
	if first {
		e.timelyConns = min(e.timelyConns+1, s.settings.MinReturnConns)
	}
	if e.backoffUntil = s.now + s.jitter(s.settings.TrialInterval); e.timelyConns >= s.settings.MinReturnConns {
		e.onProbation, e.failures = false, 0
	}
	if wasDown { // there is no other: it serves from now on
		e.onProbation = false
	}
	if s.maxUnproven < s.settings.MaxConns && first { // as many again for each round of first answers
		s.maxUnproven++
	}
	s.choosePrimary()
}

// updateUsualResponseTime takes a time into what is usual, and moves the bound of silence: it follows the best
// address, so that a slow one does not set its own measure.
func (s *Selector) updateUsualResponseTime(e *entry, took time.Duration) {
	if e.usualResponseTime == 0 {
		e.usualResponseTime = float64(took)
	}
	e.usualResponseTime += usualResponseGain * (float64(took) - e.usualResponseTime)
	best, some := 0.0, false
	for _, o := range s.entries {
		if o.usualResponseTime > 0 && (!some || o.usualResponseTime < best) {
			best, some = o.usualResponseTime, true
		}
	}
	s.bestUsualResponseTime, s.usualResponseMeasured = best, some
	was := s.silenceBound
	s.silenceBound = min(max(time.Duration(s.settings.SuspectLatencyFactor*best), s.settings.MinSuspectAfter), s.settings.MaxSuspectAfter)
	if s.silenceBound < was {
		s.nextSilenceCheck = 0
	}
}

// choosePrimary sets the primary: away from one that is worse than another at once, back to a preferred
// one by the rule of returns.
func (s *Selector) choosePrimary() {
	was := s.primary
	if was == nil {
		for _, e := range s.entries {
			if s.primary == nil || s.rank(e) < s.rank(s.primary) {
				s.primary = e
			}
		}
		if s.primary != nil {
			s.earliestReturn = s.now + s.returnDelay
		}
		return
	}
	for _, e := range s.entries {
		if s.rank(e) < s.rank(s.primary) && s.rank(e) < rankBackoffOver {
			s.primary = e
		}
	}
	if s.primary != was {
		if s.now-s.lastReturn < relapseFactor*s.returnDelay {
			s.returnDelay = min(2*s.returnDelay, s.settings.MaxReturnDelay)
		} else {
			s.returnDelay = s.settings.MinReturnDelay
		}
		s.earliestReturn = s.now + s.returnDelay
		return
	}
	if s.now < s.earliestReturn || s.rank(was) != rankGood {
		return
	}
	for _, e := range s.entries {
		if e == was {
			return
		}
		if e.state == Healthy && !e.onProbation && e.timelyConns >= s.settings.MinReturnConns && s.now-e.lastResponse <= s.settings.MinReturnDelay {
			s.primary, s.lastReturn, s.earliestReturn = e, s.now, s.now+s.returnDelay
			return
		}
	}
}

// checkSilence looks for connections that have been silent for too long.
func (s *Selector) checkSilence() {
	s.nextSilenceCheck = never
	for i := range s.conns {
		c := &s.conns[i]
		if c.phase != busy || c.silenceCounted || c.entry.lastResponse > c.since {
			continue
		}
		at := c.since + s.silenceBound
		if e := c.entry; e.suspectAt > 0 {
			at = min(at, e.suspectAt)
		} else if e.doubtedSince == 0 && s.rank(e) == rankGood && s.hasAlternative(e) {
			if ask := c.since + s.secondOpinionDelay(); ask > s.now {
				at = min(at, ask)
			} else {
				e.doubtedSince = s.now
			}
		}
		if at > s.now {
			s.nextSilenceCheck = min(s.nextSilenceCheck, at)
			continue
		}
		c.silenceCounted = true
		s.recordFault(c.entry, ReasonSilent, c.trial)
	}
}

// secondOpinionDelay is the silence after which another address is asked.
func (s *Selector) secondOpinionDelay() time.Duration {
	if !s.usualResponseMeasured {
		return s.silenceBound
	}
	return max(s.settings.SecondOpinionAfter, time.Duration(s.settings.SuspectLatencyFactor*s.bestUsualResponseTime))
}

// endDoubts takes an answer as word against the addresses in doubt: the node does not pause, or no
// more. They get twice its time, as theirs may be on their way from the end of a pause.
func (s *Selector) endDoubts(by *entry, since, took time.Duration) {
	for _, e := range s.entries {
		if e != by && e.doubtedSince > 0 && e.doubtedSince <= since && e.suspectAt == 0 && e.lastResponse < e.doubtedSince {
			e.suspectAt = s.now + max(minGrace, 2*took)
			s.nextSilenceCheck = min(s.nextSilenceCheck, e.suspectAt)
		}
	}
}

// applyTime looks for what only time shows: silence, races to be led on, and returns.
func (s *Selector) applyTime() {
	if s.now >= s.nextSilenceCheck {
		s.checkSilence()
	}
	for i := 0; i < len(s.races); i++ {
		r := s.races[i]
		if r.connecting == 0 && r.nextConnect == never {
			r.nextConnect = s.now // it stood aside for a connect that is over
		}
		n := len(s.races)
		s.advance(r)
		i -= n - len(s.races)
	}
	if s.primary != nil && s.now >= s.earliestReturn {
		s.choosePrimary()
	}
}

// startTrials opens the trial connections that are due, beside the way that requests go now.
func (s *Selector) startTrials() {
	if s.allDown() {
		// The walks of what waits are the trials; with none, a kept connection still serves.
		if len(s.waiting) == 0 && s.now >= s.nextDownTrial && s.connectingCount == 0 && !s.hasTrial() && len(s.freeSlots) > 0 && s.hasConnectToken() {
			if e := s.candidate(&race{}); e != nil {
				s.nextDownTrial = s.now + s.jitter(s.settings.DownTrialInterval)
				s.startConnect(e, nil, true)
			}
		}
		return
	}
	lost := s.rank(s.primary) > rankGood // then every other may be better
	before := true
	for _, e := range s.entries {
		if e == s.primary {
			before = false
			continue
		}
		if (!before && !lost) || e.trialConn != nil || s.now < e.backoffUntil || len(s.freeSlots) == 0 {
			continue
		}
		if e.state == Healthy && !e.onProbation && e.timelyConns >= s.settings.MinReturnConns && (s.now < s.earliestReturn || s.now-e.lastResponse < s.settings.MinReturnDelay) {
			continue // it has shown enough
		}
		if n := len(e.idle); n > 0 && e.state == Healthy && e.timelyConns >= s.settings.MinReturnConns {
			e.trialConn, e.idle[n-1].trial = e.idle[n-1], true // one that stands will do: it only has to show that it still is
			e.idle[n-1].since = s.now
		} else if s.hasConnectToken() {
			s.startConnect(e, nil, true)
		}
	}
}
