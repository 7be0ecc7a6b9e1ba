package address

// startTrials opens the trial connections that are due, in addition to the connections that carry requests now.
func (s *Selector) startTrials() {
	if s.allDown() {
		s.startDownTrial()
		return
	}
	afterPrimary := false
	for _, e := range s.entries {
		if e == s.primary {
			afterPrimary = true
			continue
		}
		if afterPrimary && s.rank(s.primary) == rankGood { // the address would not become the primary
			continue
		}
		if s.trialDue(e) {
			s.startTrial(e)
		}
	}
}

// startDownTrial opens a trial connection while all addresses are down. It does nothing while requests wait, since their
// races are trials as well. Without waiting requests, idle connections may still carry the requests.
func (s *Selector) startDownTrial() {
	if len(s.waiting) > 0 || s.now < s.nextDownTrial || s.connectingCount > 0 || s.hasTrial() || !s.hasFreeSlot(true) || !s.hasConnectToken() {
		return
	}
	if e := s.nextCandidate(&race{}); e != nil {
		s.nextDownTrial = s.now + s.jitter(s.settings.DownTrialInterval)
		s.startConnect(e, nil, true)
	}
}

// trialDue reports whether a trial of an address is due. An address that already qualifies as the primary needs no further
// trial until its return is allowed.
func (s *Selector) trialDue(e *entry) bool {
	if e.trialConn != nil || s.now < e.backoffUntil || !s.hasFreeSlot(true) {
		return false
	}
	waitsForReturn := s.now < s.earliestReturn || s.now-e.lastResponse < s.settings.MinReturnDelay
	return !s.qualifiesAsPrimary(e) || !waitsForReturn
}

// startTrial uses an idle connection for the trial if the address only has to show that it still responds. Otherwise it opens
// a connection.
func (s *Selector) startTrial(e *entry) {
	if n := len(e.idle); n > 0 && e.state == Healthy && e.timelyConns >= s.settings.MinReturnConns {
		c := e.idle[n-1]
		e.trialConn, c.trial, c.since = c, true, s.now
	} else if s.hasConnectToken() {
		s.startConnect(e, nil, true)
	}
}

// hasTrial reports whether a trial connection is open or connecting.
func (s *Selector) hasTrial() bool {
	for _, e := range s.entries {
		if e.trialConn != nil {
			return true
		}
	}
	return false
}
