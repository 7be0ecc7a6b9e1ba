package address

import (
	"slices"
)

// assignWaiting writes waiting requests on idle connections and starts races for the remaining ones.
func (s *Selector) assignWaiting() {
	if s.draining || s.closing {
		s.failWaiting(0)
		return
	}
	assigned := 0
	for assigned < len(s.waiting) {
		c := s.pickConn(s.waiting[assigned].idempotent)
		if c == nil {
			break
		}
		s.writeRequest(c, s.waiting[assigned])
		assigned++
	}
	s.waiting = s.waiting[:copy(s.waiting, s.waiting[assigned:])]
	if len(s.waiting) == 0 {
		return
	}
	s.assignTrials()
	for len(s.races) < len(s.waiting) {
		started, wait := s.startRace()
		if !started {
			if !wait {
				s.failWaiting(len(s.races))
			}
			return
		}
	}
}

// assignTrials writes the first waiting idempotent request on each idle trial connection, since the request at the head of
// the queue may not be allowed on a trial.
func (s *Selector) assignTrials() {
	for _, e := range s.entries {
		c := e.trialConn
		if c == nil || c.phase != idle {
			continue
		}
		if i := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.idempotent }); i >= 0 {
			s.removeIdle(c)
			s.writeRequest(c, s.waiting[i])
			s.waiting = slices.Delete(s.waiting, i, i+1)
		}
	}
}

// pickConn takes an idle connection for a request, in this order: a trial connection, one for a cross-check, one of the
// primary, one of another usable address.
func (s *Selector) pickConn(idempotent bool) *conn {
	if s.primary == nil {
		return nil
	}
	for _, e := range s.entries {
		if c := e.trialConn; c != nil && c.phase == idle && s.mayCarry(c, idempotent) {
			return s.takeIdle(e, c)
		}
	}
	if other := s.crossCheckAddress(); other != nil {
		if c := s.takeLatestIdle(other); c != nil {
			return c
		}
		if s.nextCrossCheckConnect <= s.now && s.hasFreeSlot(true) && s.hasConnectToken() {
			s.nextCrossCheckConnect = s.now + s.settings.TrialInterval
			s.startConnect(other, nil, false)
		}
	}
	if c := s.takeLatestIdle(s.primary); c != nil {
		return c
	}
	alternative := s.idleAlternative()
	if alternative == nil {
		return nil
	}
	s.returnToPrimary(alternative)
	return s.takeLatestIdle(alternative)
}

// mayCarry reports whether a trial connection may carry a request. A non-idempotent request may use it only after
// TrialPatience, or if no healthy address could serve it.
func (s *Selector) mayCarry(c *conn, idempotent bool) bool {
	return idempotent || c.anyRequest || s.now-c.since >= s.settings.TrialPatience || s.bestRank() > rankGood
}

// idleAlternative returns the most preferred usable address other than the primary that has an idle connection, or nil.
func (s *Selector) idleAlternative() *entry {
	for _, e := range s.entries {
		if len(e.idle) == 0 || e == s.primary || e.trialConn != nil && len(e.idle) == 1 && e.idle[0] == e.trialConn {
			continue
		}
		if s.rank(e) <= s.bestRank() || e.onlyConnectsFail {
			return e
		}
	}
	return nil
}

// takeLatestIdle takes the most recently used idle connection of an address, or returns nil if there is none.
func (s *Selector) takeLatestIdle(e *entry) *conn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		if c := e.idle[i]; c != e.trialConn {
			return s.takeIdle(e, c)
		}
	}
	return nil
}

// takeIdle removes a connection from the idle ones of its address and returns it.
func (s *Selector) takeIdle(e *entry, c *conn) *conn {
	if n := len(e.idle) - 1; n >= 0 && e.idle[n] == c {
		e.idle = e.idle[:n]
	} else {
		s.removeIdle(c)
	}
	return c
}

// returnToPrimary opens a connection to the primary while idle connections of a less preferred address serve the requests. It
// opens one connection at a time, so that a return causes no burst of connects.
func (s *Selector) returnToPrimary(from *entry) {
	if s.rank(s.primary) != rankGood || s.now < s.nextReturnConnect || !s.hasFreeSlot(false) ||
		slices.Index(s.entries, s.primary) > slices.Index(s.entries, from) {
		return
	}
	for i := range s.conns {
		if c := &s.conns[i]; c.phase == connecting && c.entry == s.primary {
			return
		}
	}
	if s.hasConnectToken() {
		s.nextReturnConnect = s.now + s.settings.TrialInterval
		s.startConnect(s.primary, nil, false)
	}
}

// writeRequest writes a request on a connection.
func (s *Selector) writeRequest(c *conn, w waiter) {
	c.phase, c.since, c.req, c.idempotent, c.namesShard, c.silenceCounted = busy, s.now, w.req, w.idempotent, w.namesShard, false
	s.nextSilenceCheck = min(s.nextSilenceCheck, s.now+min(s.silenceBound, s.crossCheckDelay()))
	s.emit(Action{Kind: Write, Conn: c.id, Req: w.req})
}
