package address

import (
	"math"
	"slices"
)

// enqueue adds a request to those that wait for a connection, or fails it if too many are waiting.
func (s *Selector) enqueue(e Event) {
	if len(s.waiting) >= s.settings.MaxWaiting {
		s.emit(Action{Kind: Fail, Req: e.Req})
		return
	}
	s.newDemand = true
	s.waiting = append(s.waiting, waiter{e.Req, e.Idempotent, e.NamesShard})
}

// cancelRequest removes a request that its owner has cancelled. If it was written, its connection is closed. If that ends a
// trial without a result, the trial may be repeated after TrialInterval.
func (s *Selector) cancelRequest(e Event) {
	c := s.connByID(e.Conn)
	if c == nil || c.phase != busy || c.req != e.Req {
		s.waiting = slices.DeleteFunc(s.waiting, func(w waiter) bool { return w.req == e.Req })
		return
	}
	addressEntry, trial, silenceCounted := c.entry, c.trial, c.silenceCounted
	silent := s.now-c.since >= s.silenceBound && addressEntry.lastResponse <= c.since
	s.closeConn(c)
	switch {
	case silent && !silenceCounted:
		s.recordFault(addressEntry, ReasonSilent, trial)
	case trial && !silenceCounted:
		addressEntry.backoffUntil = s.now + s.jitter(s.settings.TrialInterval)
	}
}

// handleConnected handles an established connection. It wins its race, and the race's other connections are closed.
func (s *Selector) handleConnected(id Conn) {
	c := s.connByID(id)
	if c == nil || c.phase != connecting {
		s.emit(Action{Kind: Close, Conn: id}) // its slot has been released
		return
	}
	s.recordConnectTime(s.now - c.since)
	if r := c.race; r != nil {
		if !c.trial && c.entry.unusable() && s.rank(c.entry) > s.bestRank() { // the address had a fault while it connected
			s.closeConn(c)
			r.connecting--
			r.nextConnect = s.now
			return
		}
		c.race = nil
		c.anyRequest = c.trial // the race had no other address left, so any request may use the connection
		for i := range s.conns {
			if o := &s.conns[i]; o.phase == connecting && o.race == r {
				slower, trial, overtaken := o.entry, o.trial, o.since < c.since
				s.closeConn(o)
				if overtaken {
					s.recordFault(slower, ReasonOvertaken, trial)
				}
			}
		}
		s.endRace(r)
	}
	s.connectingCount--
	s.makeIdle(c)
}

// handleConnectFailed handles a failed connect. A lack of local resources is no fault of the address.
func (s *Selector) handleConnectFailed(id Conn, reason Reason) {
	c := s.connByID(id)
	if c == nil || c.phase != connecting {
		return
	}
	addressEntry, r, trial := c.entry, c.race, c.trial
	s.releaseConn(c)
	if reason == ReasonNoResource {
		addressEntry.backoffUntil = max(addressEntry.backoffUntil, s.now+s.jitter(s.settings.TrialInterval))
	} else {
		s.recordFault(addressEntry, reason, trial)
	}
	if r != nil {
		r.connecting--
		r.stopped = r.stopped || reason == ReasonNoResource
		r.nextConnect = s.now
		s.advanceRace(r)
	}
}

// handleResponse applies a complete response to the state of its address, and keeps or closes the connection.
func (s *Selector) handleResponse(e Event) {
	c := s.connByID(e.Conn)
	if c == nil || c.phase != busy {
		return
	}
	addressEntry := c.entry
	r := response{verdict: e.Verdict, took: s.now - c.since, namesShard: c.namesShard, first: c.unproven, trial: c.trial, silenceCounted: c.silenceCounted}
	if c.unproven {
		c.unproven = false
		s.unprovenCount--
	}
	c.trial, c.anyRequest, c.req = false, false, 0
	if addressEntry.trialConn == c {
		addressEntry.trialConn = nil
	}
	s.recordResponse(addressEntry, r)
	switch {
	case !e.KeepAlive:
		s.releaseConn(c)
	case e.Resting && !addressEntry.removed && !s.closing:
		c.phase, c.since = resting, s.now
	default:
		s.keepConn(c)
	}
}

// keepConn makes a connection without a request idle, or closes it if its address must not be used.
func (s *Selector) keepConn(c *conn) {
	if c.entry.removed || s.closing || c.entry.unusable() && s.rank(c.entry) > s.bestRank() {
		s.closeConn(c)
		return
	}
	s.makeIdle(c)
}

// handleConnRested handles the end of the rest after a response.
func (s *Selector) handleConnRested(id Conn) {
	if c := s.connByID(id); c != nil && c.phase == resting {
		s.keepConn(c)
	}
}

// handleConnBroken handles a connection that was closed or reset while it carried a request. If no byte of the request was
// written, the request is queued again at the head. Otherwise the driver has reported the failure to the request's owner.
func (s *Selector) handleConnBroken(e Event) {
	c := s.connByID(e.Conn)
	if c == nil || c.phase != busy {
		return
	}
	addressEntry, unproven, trial := c.entry, c.unproven, c.trial
	if e.Reason == ReasonUnwritten {
		s.waiting = slices.Insert(s.waiting, 0, waiter{c.req, c.idempotent, c.namesShard})
		s.newDemand = true
	}
	s.releaseConn(c)
	if addressEntry.removed {
		return
	}
	// The peer may have closed a reused connection because it was idle, so a single break of one is no fault.
	if addressEntry.breaksInRow++; unproven || addressEntry.breaksInRow > 1 {
		if e.Reason != ReasonUnwritten || unproven {
			s.recordFault(addressEntry, ReasonReset, trial)
		}
	} else if trial {
		addressEntry.backoffUntil = s.now + s.jitter(s.settings.TrialInterval)
	}
}

// handleIdleConnClosed removes an idle or resting connection that was closed.
func (s *Selector) handleIdleConnClosed(id Conn) {
	if c := s.connByID(id); c != nil && (c.phase == idle || c.phase == resting) {
		s.removeIdle(c)
		s.releaseConn(c)
	}
}

// handleProgress handles data received on a connection while its request is in progress.
func (s *Selector) handleProgress(id Conn) {
	c := s.connByID(id)
	if c == nil || c.phase != busy {
		return
	}
	c.since, c.silenceCounted = s.now, false
	c.entry.lastResponse, c.entry.breaksInRow, c.entry.crossCheckSince, c.entry.suspectAt = s.now, 0, 0, 0
	s.nextSilenceCheck = min(s.nextSilenceCheck, s.now+s.crossCheckDelay())
}

// handleNodeRemoved closes all idle and connecting connections. Busy ones finish their requests.
func (s *Selector) handleNodeRemoved() {
	s.closing = true
	s.stopConnecting()
	for i := range s.conns {
		if c := &s.conns[i]; c.phase == idle || c.phase == resting {
			s.closeConn(c)
		}
	}
}

// setAddresses replaces the addresses. Addresses that remain keep their state. Busy connections of removed addresses finish
// their requests.
func (s *Selector) setAddresses(addrs []Addr) {
	old := map[Addr]*entry{}
	for _, e := range s.entries {
		old[e.Addr] = e
	}
	next := make([]*entry, 0, len(addrs))
	for _, i := range Interleave(addrs, s.settings.Preference) {
		e := old[addrs[i]]
		if e == nil {
			e = &entry{Addr: addrs[i], lastResponse: math.MinInt64 / 2, lastConnect: math.MinInt64 / 2}
		}
		delete(old, addrs[i])
		next = append(next, e)
	}
	s.entries = next
	for _, e := range old {
		e.removed = true
	}
	for i := range s.conns { // in the order of the slots, so that the same events give the same actions
		if c := &s.conns[i]; c.phase != unused && c.entry.removed && c.phase != busy {
			r := c.race
			s.closeConn(c)
			if r != nil {
				r.connecting--
				r.nextConnect = s.now
			}
		}
	}
	if s.primary != nil && s.primary.removed {
		s.primary = nil
	}
	s.choosePrimary()
	for _, r := range slices.Clone(s.races) {
		s.advanceRace(r)
	}
}
