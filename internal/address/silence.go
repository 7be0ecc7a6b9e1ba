package address

import (
	"slices"
	"time"
)

// checkSilence records a fault for each connection that has been silent for too long, and finds the addresses of which a
// second opinion is needed.
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

// crossCheckDelay is the silence after which another address is asked.
func (s *Selector) crossCheckDelay() time.Duration {
	if !s.usualResponseMeasured {
		return s.silenceBound
	}
	return max(s.settings.SecondOpinionAfter, time.Duration(s.settings.SuspectLatencyFactor*s.bestUsualResponseTime))
}

// applyCrossCheck applies a response of another address to those in doubt: it shows that the node does not pause, or no longer. They
// have twice its response time left, since their responses may be on their way if a pause has just ended.
func (s *Selector) applyCrossCheck(responder *entry, since, took time.Duration) {
	for _, e := range s.entries {
		if e != responder && e.crossCheckSince > 0 && e.crossCheckSince <= since && e.suspectAt == 0 && e.lastResponse < e.crossCheckSince {
			e.suspectAt = s.now + max(minSilenceGrace, 2*took)
			s.nextSilenceCheck = min(s.nextSilenceCheck, e.suspectAt)
		}
	}
}

// crossCheckAddress is the address to be asked for a second opinion on the primary, by one request at a time, or nil.
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
			return nil // it was asked
		}
	}
	return other
}
