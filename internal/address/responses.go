package address

import "time"

const usualResponseGain = 0.1 // weight of one response in the usual response time

// response is a complete response with the properties of its request and connection.
type response struct {
	verdict        Verdict
	took           time.Duration
	namesShard     bool // the request names a shard
	first          bool // the first response on its connection
	trial          bool
	silenceCounted bool // the silence before the response was recorded as a fault
}

// servedShard reports whether the response shows that the address leads to the right node.
func (r response) servedShard() bool { return r.verdict == VerdictServed && r.namesShard }

// recordResponse applies a response to the state of its address.
func (s *Selector) recordResponse(e *entry, r response) {
	e.lastResponse, e.breaksInRow, e.crossCheckSince, e.suspectAt = s.now, 0, 0, 0
	s.applyCrossCheck(e, s.now-r.took, r.took)
	if e.removed || s.recordVerdict(e, r) {
		return
	}
	if r.took >= s.silenceBound {
		if r.trial && !r.silenceCounted {
			s.recordFault(e, ReasonSlow, true)
		}
		s.updateUsualResponseTime(e, r.took)
		return
	}
	s.updateUsualResponseTime(e, r.took)
	if e.state == WrongNode && !r.servedShard() || r.verdict == VerdictRejected && (r.first || e.state != Healthy) {
		if r.trial { // the address responds, but that does not show that it serves requests
			e.backoffUntil = s.now + s.jitter(s.settings.TrialInterval)
		}
		return
	}
	s.recordTimelyResponse(e, r.first, r.trial)
}

// recordVerdict applies the verdict of a response. It reports whether the verdict is a fault of the address.
func (s *Selector) recordVerdict(e *entry, r response) (fault bool) {
	switch {
	case r.verdict == VerdictWrongNode:
		s.recordFault(e, ReasonWrongNode, true)
		return true
	case r.servedShard():
		e.rejectionsInRow, e.lastServed = 0, s.now
		for _, other := range s.entries { // the node serves, so an address that rejects everything leads to another node
			if other != e && other.rejectionsInRow >= s.settings.MaxRejections && (other.state == Suspect || other.state == Down) {
				s.recordFault(other, ReasonWrongNode, true)
			}
		}
	case r.verdict == VerdictRejected && r.namesShard:
		e.rejectionsInRow++
		if r.trial && (e.state == WrongNode || e.reason == ReasonRejecting) {
			s.recordFault(e, ReasonRejecting, true)
			return true
		}
		if e.rejectionsInRow >= s.settings.MaxRejections && s.servesNothing(e) {
			s.recordFault(e, ReasonRejecting, false)
			return true
		}
	}
	return false
}

// recordTimelyResponse applies a timely response which shows that the address serves requests.
func (s *Selector) recordTimelyResponse(e *entry, first, trial bool) {
	wasDown := s.allDown()
	switch e.state {
	case Suspect, Down, WrongNode, Unsupported:
		if e.state != Suspect && !trial {
			return // the response came on an earlier connection, and only new connects fail
		}
		e.state, e.onlyConnectsFail, e.onProbation = Healthy, false, true
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
	if wasDown { // no other address can serve
		e.onProbation = false
	}
	if s.maxUnproven < s.settings.MaxConns && first { // doubles with each round of first responses
		s.maxUnproven++
	}
	s.choosePrimary()
}

// updateUsualResponseTime updates the smoothed response time of an address and silenceBound. The bound follows the fastest
// address, so that a slow address does not raise its own bound.
func (s *Selector) updateUsualResponseTime(e *entry, took time.Duration) {
	if e.usualResponseTime == 0 {
		e.usualResponseTime = float64(took)
	}
	e.usualResponseTime += usualResponseGain * (float64(took) - e.usualResponseTime)
	best, measured := 0.0, false
	for _, o := range s.entries {
		if o.usualResponseTime > 0 && (!measured || o.usualResponseTime < best) {
			best, measured = o.usualResponseTime, true
		}
	}
	s.bestUsualResponseTime, s.usualResponseMeasured = best, measured
	previousBound := s.silenceBound
	s.silenceBound = min(max(time.Duration(s.settings.SuspectLatencyFactor*best), s.settings.MinSuspectAfter), s.settings.MaxSuspectAfter)
	if s.silenceBound < previousBound {
		s.nextSilenceCheck = 0
	}
}
