package address

import (
	"math"
	"slices"
	"time"
)

// race is the way to one more connection: connects to one address after the other, staggered,
// until one comes up.
type race struct {
	attempted   []*entry
	connecting  int // connects under way
	stopped     bool
	nextConnect time.Duration // of the next connect
}

const never = time.Duration(math.MaxInt64)

// connectDelay is the time from one connect of a race to the next.
func (s *Selector) connectDelay() time.Duration {
	if !s.connectMeasured {
		return s.settings.Delay
	}
	return min(max(time.Duration(s.connectMean+4*s.connectDeviation), s.settings.MinDelay), s.settings.MaxDelay)
}

// recordConnectTime takes the time of a connect, smoothed as RFC 6298 section 2 has it.
func (s *Selector) recordConnectTime(took time.Duration) {
	x := float64(took)
	if !s.connectMeasured {
		s.connectMeasured, s.connectMean, s.connectDeviation = true, x, x/2
		return
	}
	s.connectDeviation += (math.Abs(s.connectMean-x) - s.connectDeviation) / 4
	s.connectMean += (x - s.connectMean) / 8
}

// hasConnectToken says whether a connect may start now.
func (s *Selector) hasConnectToken() bool {
	s.tokens = min(s.tokens+(s.now-s.tokensFilledAt).Seconds()*s.settings.ConnectRate, float64(s.settings.ConnectBurst))
	s.tokensFilledAt = s.now
	return s.tokens >= 1
}

// hasFreeSlot says whether one more connection may be opened. The last is for trials and second
// opinions: hung ones must not take the place of the one that shows the way out.
func (s *Selector) hasFreeSlot(trial bool) bool {
	return len(s.freeSlots) > 1 || trial && len(s.freeSlots) > 0
}

// nextTokenAt is when the next one may, if none may now.
func (s *Selector) nextTokenAt() time.Duration {
	return s.now + time.Duration(math.Ceil((1-s.tokens)/s.settings.ConnectRate*1e9))
}

// candidate is the address that a race goes to next, or nil.
func (s *Selector) candidate(r *race) *entry {
	var best *entry
	down := s.allDown()
	for _, e := range s.entries {
		rank := s.rank(e)
		switch {
		case slices.Contains(r.attempted, e) || e.trialConn != nil && s.isTrialOnly(e):
			continue
		case rank == rankDown && !(down && e.state == Down):
			continue
		case best == nil:
			best = e
		case down: // in turn, so that none is starved
			if e.lastConnect < best.lastConnect {
				best = e
			}
		case rank < s.rank(best) || rank == s.rank(best) && e == s.primary:
			best = e
		}
	}
	return best
}

// startRace opens the way to one more connection. Where it may not, wait says whether what
// waits is to wait on.
func (s *Selector) startRace() (started, wait bool) {
	switch {
	case !s.hasFreeSlot(s.allDown()):
		return false, s.connectingCount > 0
	case s.allDown() && (s.now < s.nextDownTrial || s.connectingCount > 0 || s.hasTrial()):
		return false, false
	case s.unprovenCount >= s.maxUnproven:
		return false, true
	}
	if s.allDown() {
		s.nextDownTrial = s.now + s.jitter(s.settings.DownTrialInterval)
	}
	r := &race{}
	if n := len(s.freeRaces); n > 0 {
		r, s.freeRaces = s.freeRaces[n-1], s.freeRaces[:n-1]
	}
	*r = race{attempted: r.attempted[:0], nextConnect: s.now}
	if s.candidate(r) == nil {
		s.freeRaces = append(s.freeRaces, r)
		return false, false
	}
	s.races = append(s.races, r)
	s.advance(r)
	return true, true
}

func (s *Selector) hasTrial() bool {
	for _, e := range s.entries {
		if e.trialConn != nil {
			return true
		}
	}
	return false
}

// advance leads a race on: the next connect if it is due, or its end.
func (s *Selector) advance(r *race) {
	for r.nextConnect <= s.now {
		r.nextConnect = never
		e := s.candidate(r)
		idle := len(s.waiting) == 0 && r.connecting == 0 // nobody waits for it any more
		switch {
		case r.stopped || e == nil || idle || !s.hasFreeSlot(s.isTrialOnly(e)):
			if r.connecting == 0 {
				s.failRace(r)
			}
			return
		case s.allDown() && s.connectingCount > 0:
			return // one at a time; its failure leads on
		case !s.hasConnectToken():
			r.nextConnect = s.nextTokenAt()
			return
		}
		r.attempted = append(r.attempted, e)
		r.connecting++
		s.startConnect(e, r, s.isTrialOnly(e))
		if !s.allDown() {
			r.nextConnect = s.now + s.connectDelay()
		}
	}
}

// failRace ends a race that brought nothing. One of those that wait ends with it.
func (s *Selector) failRace(r *race) {
	s.endRace(r)
	if len(s.waiting) > len(s.races) {
		s.emit(Action{Kind: Fail, Req: s.waiting[0].req})
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
}

// hastenRaces leads on the races that wait for a connect to an address that has since been blamed.
func (s *Selector) hastenRaces() {
	best := s.bestRank()
	for _, r := range s.races {
		hope := false
		for i := range s.conns {
			c := &s.conns[i]
			hope = hope || c.phase == connecting && c.race == r && s.rank(c.entry) <= best
		}
		if !hope {
			r.nextConnect = min(r.nextConnect, s.now)
		}
	}
}

func (s *Selector) endRace(r *race) {
	if i := slices.Index(s.races, r); i >= 0 {
		s.races = slices.Delete(s.races, i, i+1)
		s.freeRaces = append(s.freeRaces, r)
	}
}

func (s *Selector) dropRaces() {
	s.freeRaces = append(s.freeRaces, s.races...)
	s.races = s.races[:0]
}

// assignWaiting brings what waits and what is idle together, and opens the way to more.
func (s *Selector) assignWaiting() {
	if s.draining || s.closing {
		s.failWaiting(0)
		return
	}
	taken := 0
	for taken < len(s.waiting) {
		c := s.pickConn(s.waiting[taken].idempotent)
		if c == nil {
			break
		}
		s.writeRequest(c, s.waiting[taken])
		taken++
	}
	s.waiting = s.waiting[:copy(s.waiting, s.waiting[taken:])]
	if len(s.waiting) == 0 {
		return
	}
	for _, e := range s.entries { // a trial may suit one that came later
		if c := e.trialConn; c != nil && c.phase == idle {
			if i := slices.IndexFunc(s.waiting, func(w waiter) bool { return w.idempotent }); i >= 0 {
				s.removeIdle(c)
				s.writeRequest(c, s.waiting[i])
				s.waiting = slices.Delete(s.waiting, i, i+1)
			}
		}
	}
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

// pickConn takes an idle connection for a request: of an address under trial, of the primary, of
// another good one, or of one that only refuses new ones.
func (s *Selector) pickConn(safe bool) *conn {
	if s.primary == nil {
		return nil
	}
	for _, e := range s.entries {
		if c := e.trialConn; c != nil && c.phase == idle &&
			(safe || c.anyRequest || s.now-c.since >= s.settings.TrialPatience || s.bestRank() > rankGood) {
			return s.takeIdle(e, c)
		}
	}
	if o := s.secondOpinionAddress(); o != nil {
		if c := s.takeLatestIdle(o); c != nil {
			return c
		}
		if s.nextSecondOpinion <= s.now && s.hasFreeSlot(true) && s.hasConnectToken() {
			s.nextSecondOpinion = s.now + s.settings.TrialInterval
			s.startConnect(o, nil, false)
		}
	}
	if c := s.takeLatestIdle(s.primary); c != nil { // with none better, or its idle ones would be closed
		return c
	}
	var from *entry
	for _, e := range s.entries {
		if len(e.idle) == 0 || e == s.primary || e.trialConn != nil && len(e.idle) == 1 && e.idle[0] == e.trialConn {
			continue
		}
		if s.rank(e) <= s.bestRank() || e.connectsFail {
			from = e
			break
		}
	}
	if from == nil {
		return nil
	}
	s.returnToPrimary(from)
	return s.takeLatestIdle(from)
}

// secondOpinionAddress is the address to be asked for a second opinion on the primary, one request at a time.
func (s *Selector) secondOpinionAddress() *entry {
	if s.primary.doubtedSince == 0 || s.primary.suspectAt > 0 {
		return nil
	}
	var o *entry
	for _, e := range s.entries {
		if e != s.primary && s.rank(e) == rankGood && e.trialConn == nil {
			o = e
			break
		}
	}
	if o == nil {
		return nil
	}
	for i := range s.conns {
		if c := &s.conns[i]; c.entry == o && c.phase == busy && c.since >= s.primary.doubtedSince {
			return nil // asked
		}
	}
	return o
}

// takeLatestIdle takes the connection of an address that was used last.
func (s *Selector) takeLatestIdle(e *entry) *conn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		if c := e.idle[i]; c != e.trialConn {
			return s.takeIdle(e, c)
		}
	}
	return nil
}

func (s *Selector) takeIdle(e *entry, c *conn) *conn {
	if n := len(e.idle) - 1; n >= 0 && e.idle[n] == c {
		e.idle = e.idle[:n]
	} else {
		s.removeIdle(c)
	}
	return c
}

// returnToPrimary opens a connection to the primary where work goes by kept ones of a less preferred
// address: one at a time, so that a return is no burst of connects.
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

func (s *Selector) writeRequest(c *conn, w waiter) {
	c.phase, c.since, c.req, c.idempotent, c.namesShard, c.silenceCounted = busy, s.now, w.req, w.idempotent, w.namesShard, false
	s.nextSilenceCheck = min(s.nextSilenceCheck, s.now+min(s.silenceBound, s.secondOpinionDelay()))
	s.emit(Action{Kind: Write, Conn: c.id, Req: w.req})
}
