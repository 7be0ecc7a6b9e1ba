package address

const stableReturnFactor = 4 // a return that lasted fewer return delays did not last

// choosePrimary sets the primary: it leaves an address that is worse than another at once, and returns to a preferred one
// by the rule of returns.
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

// returnToPreferred makes an address that is preferred to the primary the primary again, once it has served long enough.
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

// qualifiesAsPrimary reports whether an address has had enough timely connections to become the primary.
func (s *Selector) qualifiesAsPrimary(e *entry) bool {
	return e.state == Healthy && !e.onProbation && e.timelyConns >= s.settings.MinReturnConns
}
