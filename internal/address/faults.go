package address

import "time"

const (
	maxBackoffSteps  = 20
	minResponseGrace = 10 * time.Millisecond // for a response that may be in flight
)

// isConnectFault reports whether a fault concerns a connect, not an established connection.
func isConnectFault(reason Reason) bool {
	return reason == ReasonRefused || reason == ReasonTimedOut || reason == ReasonOvertaken || reason == ReasonNoFamily
}

// recordFault applies a fault to the state of an address. Faults of connections that were opened before the address became
// suspect have no effect, since otherwise one incident would count several times.
func (s *Selector) recordFault(e *entry, reason Reason, trial bool) {
	if e.removed {
		return
	}
	previousState := e.state
	if !trial && isRepeatedFault(previousState, reason) {
		if isConnectFault(reason) { // from a race that has no better address or that started before the first fault
			e.backoffUntil = max(e.backoffUntil, s.now+s.backoff(s.settings.Backoff, e.failures))
		}
		return
	}
	wasDown := s.allDown()
	e.failures++
	e.timelyConns, e.reason, e.onProbation, e.crossCheckSince, e.suspectAt = 0, reason, true, 0, 0
	s.setFaultState(e, reason)
	e.onlyConnectsFail = isConnectFault(reason) && (previousState == Healthy || previousState == Untried || e.onlyConnectsFail)
	if e.unusable() && s.rank(e) > s.bestRank() {
		for len(e.idle) > 0 {
			s.closeConn(e.idle[len(e.idle)-1])
		}
	}
	if e.state != previousState {
		s.emit(Action{Kind: LogState, Addr: e.Addr, State: e.state, Reason: reason})
		s.expediteRaces()
	}
	if !wasDown && s.allDown() {
		s.maxUnproven = 1
		s.nextDownTrial = s.now + s.jitter(s.settings.DownTrialInterval)
	}
	s.choosePrimary()
}

// isRepeatedFault reports whether a fault does not change an address in this state. A suspect address does become down if a
// connect fails.
func isRepeatedFault(state State, reason Reason) bool {
	return state == Suspect && reason != ReasonRefused && reason != ReasonTimedOut || state == Down || state == WrongNode
}

// setFaultState sets the state and the backoff after a fault.
func (s *Selector) setFaultState(e *entry, reason Reason) {
	switch previousState := e.state; {
	case reason == ReasonNoFamily:
		e.state, e.backoffUntil = Unsupported, s.now+s.jitter(s.settings.UnsupportedBackoff)
	case reason == ReasonWrongNode:
		e.state, e.backoffUntil = WrongNode, s.now+s.backoff(s.settings.WrongNodeBackoff, e.failures)
	case previousState == WrongNode || reason == ReasonRejecting && previousState == Suspect:
		e.backoffUntil = s.now + s.backoff(s.settings.WrongNodeBackoff, e.failures)
	case reason == ReasonRefused || reason == ReasonTimedOut || previousState == Suspect || previousState == Down:
		e.state, e.backoffUntil = Down, s.now+s.backoff(s.settings.Backoff, e.failures)
	default:
		e.state, e.backoffUntil = Suspect, s.now+s.backoff(s.settings.Backoff, e.failures)
	}
}

// servesNothing reports whether a healthy address has served no request for so long that a lack of capacity of the node does
// not explain it, while another healthy address can be used.
func (s *Selector) servesNothing(e *entry) bool {
	window := min(s.settings.RejectionWindow, max(2*minResponseGrace, time.Duration(s.settings.SuspectLatencyFactor*s.bestUsualResponseTime)))
	return s.now-e.lastServed >= window && s.rank(e) == rankGood && s.hasAlternative(e)
}

// jitter shortens a duration by a random part of it, up to the share Settings.Jitter.
func (s *Selector) jitter(d time.Duration) time.Duration {
	return d - time.Duration(s.settings.Jitter*s.rng.Float64()*float64(d))
}

// backoff returns the backoff after a number of failures in a row, with jitter.
func (s *Selector) backoff(first time.Duration, failures int) time.Duration {
	d := first
	for range min(failures, maxBackoffSteps) - 1 {
		d = min(2*d, max(first, s.settings.MaxBackoff))
	}
	return s.jitter(d)
}
