package address

import (
	"math"
	"slices"
	"time"
)

// race is a series of staggered connects to one address after the other, until one succeeds. It opens one connection.
type race struct {
	attempted   []*entry
	connecting  int           // connects in progress
	stopped     bool          // starts no more connects, for lack of local resources
	nextConnect time.Duration // never: it waits for the result of a connect
}

// never is the due time of a timer that is not set.
const never = time.Duration(math.MaxInt64)

// connectDelay returns the time from one connect of a race to the next.
func (s *Selector) connectDelay() time.Duration {
	if !s.connectMeasured {
		return s.settings.ConnectDelay
	}
	return min(max(time.Duration(s.connectMean+4*s.connectDeviation), s.settings.MinConnectDelay), s.settings.MaxConnectDelay)
}

// recordConnectTime updates the smoothed connect time and its deviation, as RFC 6298 section 2 does for round-trip times.
func (s *Selector) recordConnectTime(took time.Duration) {
	x := float64(took)
	if !s.connectMeasured {
		s.connectMeasured, s.connectMean, s.connectDeviation = true, x, x/2
		return
	}
	s.connectDeviation += (math.Abs(s.connectMean-x) - s.connectDeviation) / 4
	s.connectMean += (x - s.connectMean) / 8
}

// hasConnectToken reports whether a connect may start now.
func (s *Selector) hasConnectToken() bool {
	s.connectTokens = min(s.connectTokens+(s.now-s.connectTokensFilledAt).Seconds()*s.settings.ConnectRate, float64(s.settings.ConnectBurst))
	s.connectTokensFilledAt = s.now
	return s.connectTokens >= 1
}

// hasFreeSlot reports whether one more connection may be opened. The last slot is reserved for trials and cross-checks, so
// that a usable address is found even if all other connections hang.
func (s *Selector) hasFreeSlot(trial bool) bool {
	return len(s.freeSlots) > 1 || trial && len(s.freeSlots) > 0
}

// nextTokenAt returns when the next connect token is available if there is none now.
func (s *Selector) nextTokenAt() time.Duration {
	return s.now + time.Duration(math.Ceil((1-s.connectTokens)/s.settings.ConnectRate*1e9))
}

// nextCandidate returns the address to which a race connects next, or nil.
func (s *Selector) nextCandidate(r *race) *entry {
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
		case down: // the least recently tried address
			if e.lastConnect < best.lastConnect {
				best = e
			}
		case rank < s.rank(best) || rank == s.rank(best) && e == s.primary:
			best = e
		}
	}
	return best
}

// startRace starts a race for one more connection. If no race can start, wait reports whether the waiting requests stay in
// the queue until one of the present connections is free.
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
	if s.nextCandidate(r) == nil {
		s.freeRaces = append(s.freeRaces, r)
		return false, false
	}
	s.races = append(s.races, r)
	s.advanceRace(r)
	return true, true
}

// advanceRace starts the next connect of a race if it is due, or ends the race.
func (s *Selector) advanceRace(r *race) {
	for r.nextConnect <= s.now {
		r.nextConnect = never
		e := s.nextCandidate(r)
		unneeded := len(s.waiting) == 0 && r.connecting == 0
		switch {
		case r.stopped || e == nil || unneeded || !s.hasFreeSlot(s.isTrialOnly(e)):
			if r.connecting == 0 {
				s.failRace(r)
			}
			return
		case s.allDown() && s.connectingCount > 0:
			return // one connect at a time; if it fails, the race continues
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

// failRace ends a race that opened no connection, and fails the first waiting request if too few races are left.
func (s *Selector) failRace(r *race) {
	s.endRace(r)
	if len(s.waiting) > len(s.races) {
		s.emit(Action{Kind: Fail, Req: s.waiting[0].req})
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
}

// expediteRaces makes the next connect of a race due at once if all its pending connects go to addresses that have failed
// since.
func (s *Selector) expediteRaces() {
	best := s.bestRank()
	for _, r := range s.races {
		hasUsableConnect := false
		for i := range s.conns {
			c := &s.conns[i]
			hasUsableConnect = hasUsableConnect || c.phase == connecting && c.race == r && s.rank(c.entry) <= best
		}
		if !hasUsableConnect {
			r.nextConnect = min(r.nextConnect, s.now)
		}
	}
}

// endRace removes a race.
func (s *Selector) endRace(r *race) {
	if i := slices.Index(s.races, r); i >= 0 {
		s.races = slices.Delete(s.races, i, i+1)
		s.freeRaces = append(s.freeRaces, r)
	}
}

// dropRaces removes all races.
func (s *Selector) dropRaces() {
	s.freeRaces = append(s.freeRaces, s.races...)
	s.races = s.races[:0]
}
