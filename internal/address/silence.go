package address

import (
	"slices"
	"time"
)

// checkSilence records a fault for each connection that has been silent for too long, and starts a cross-check of addresses
// that have been silent for longer than usual.
func (s *Selector) checkSilence() {
	s.nextSilenceCheck = never
	for i := range s.conns {
		c := &s.conns[i]
		if c.phase != busy || c.silenceCounted || c.entry.lastResponse > c.since {
			continue
		}
		checkAt := c.since + s.silenceBound
		if e := c.entry; e.suspectAt > 0 {
			checkAt = min(checkAt, e.suspectAt)
		} else if e.crossCheckSince == 0 && s.rank(e) == rankGood && s.hasAlternative(e) {
			if crossCheckAt := c.since + s.crossCheckDelay(); crossCheckAt > s.now {
				checkAt = min(checkAt, crossCheckAt)
			} else {
				e.crossCheckSince = s.now
			}
		}
		if checkAt > s.now {
			s.nextSilenceCheck = min(s.nextSilenceCheck, checkAt)
			continue
		}
		c.silenceCounted = true
		s.recordFault(c.entry, ReasonSilent, c.trial)
	}
}

// crossCheckDelay returns the duration of silence after which a request by another address cross-checks the silent one.
func (s *Selector) crossCheckDelay() time.Duration {
	if !s.usualResponseMeasured {
		return s.silenceBound
	}
	return max(s.settings.CrossCheckAfter, time.Duration(s.settings.SuspectLatencyFactor*s.bestUsualResponseTime))
}

// applyCrossCheck applies a response of one address to the cross-checks of the others. It shows that the node as a whole does
// not stall, or has stalled and continues. If the stall has just ended, the responses by the other addresses may be in flight,
// so these addresses get twice the response time before they are suspect.
func (s *Selector) applyCrossCheck(responder *entry, since, took time.Duration) {
	for _, e := range s.entries {
		if e != responder && e.crossCheckSince > 0 && e.crossCheckSince <= since && e.suspectAt == 0 && e.lastResponse < e.crossCheckSince {
			e.suspectAt = s.now + max(minResponseGrace, 2*took)
			s.nextSilenceCheck = min(s.nextSilenceCheck, e.suspectAt)
		}
	}
}

// crossCheckAddress returns the address that cross-checks the silent primary with one request at a time, or nil.
func (s *Selector) crossCheckAddress() *entry {
	if s.primary.crossCheckSince == 0 || s.primary.suspectAt > 0 {
		return nil
	}
	i := slices.IndexFunc(s.entries, func(e *entry) bool {
		return e != s.primary && s.rank(e) == rankGood && e.trialConn == nil
	})
	if i < 0 {
		return nil
	}
	other := s.entries[i]
	for i := range s.conns {
		if c := &s.conns[i]; c.entry == other && c.phase == busy && c.since >= s.primary.crossCheckSince {
			return nil // a request has already been sent
		}
	}
	return other
}
