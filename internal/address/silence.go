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

// endDoubts applies a response of another address to those in doubt: it shows that the node does not pause, or no longer. They
// have twice its response time left, since their responses may be on their way if a pause has just ended.
func (s *Selector) endDoubts(by *entry, since, took time.Duration) {
	for _, e := range s.entries {
		if e != by && e.doubtedSince > 0 && e.doubtedSince <= since && e.suspectAt == 0 && e.lastResponse < e.doubtedSince {
			e.suspectAt = s.now + max(minGrace, 2*took)
			s.nextSilenceCheck = min(s.nextSilenceCheck, e.suspectAt)
		}
	}
}

// secondOpinionAddress is the address to be asked for a second opinion on the primary, by one request at a time, or nil.
func (s *Selector) secondOpinionAddress() *entry {
	if s.primary.doubtedSince == 0 || s.primary.suspectAt > 0 {
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
		if c := &s.conns[i]; c.entry == other && c.phase == busy && c.since >= s.primary.doubtedSince {
			return nil // it was asked
		}
	}
	return other
}
