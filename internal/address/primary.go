package address

// stableReturnFactor is the number of return delays for which a return to a preferred address must last. If the primary
// changes again earlier, the next return waits twice as long.
const stableReturnFactor = 4

// choosePrimary sets the primary. If another address has a better rank, it becomes the primary at once. A return to a
// preferred address of the same rank is delayed, as described at returnToPreferred.
func (s *Selector) choosePrimary() {
	previous := s.primary
	if previous == nil {
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
	if s.primary == previous {
		s.returnToPreferred()
		return
	}
	if s.now-s.lastReturn < stableReturnFactor*s.returnDelay {
		s.returnDelay = min(2*s.returnDelay, s.settings.MaxReturnDelay)
	} else {
		s.returnDelay = s.settings.MinReturnDelay
	}
	s.earliestReturn = s.now + s.returnDelay
}

// returnToPreferred makes a preferred address the primary again, once the return delay has passed and enough connections of
// the address were timely.
func (s *Selector) returnToPreferred() {
	if s.now < s.earliestReturn || s.rank(s.primary) != rankGood {
		return
	}
	for _, e := range s.entries {
		if e == s.primary {
			return
		}
		if s.qualifiesAsPrimary(e) && s.now-e.lastResponse <= s.settings.MinReturnDelay {
			s.primary, s.lastReturn, s.earliestReturn = e, s.now, s.now+s.returnDelay
			return
		}
	}
}

// qualifiesAsPrimary reports whether an address is healthy and has had enough timely connections to become the primary.
func (s *Selector) qualifiesAsPrimary(e *entry) bool {
	return e.state == Healthy && !e.onProbation && e.timelyConns >= s.settings.MinReturnConns
}
