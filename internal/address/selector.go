// Package address decides by which of a storage node's addresses a request goes: on which connection it is written, where
// the next connection is opened, which address is tried again and when. A Selector is the state of one node. It has no
// sockets and no clock: events and the time come in by Step, actions go out, and the driver around it carries them out.
//
// Invariants:
//
//  1. A request is written on one connection at most, and a connection carries one at most. Only a connection that the
//     driver found ended before a byte was written gives its request back.
//  2. While the node drains, or after it has left the list, nothing is written and no connect starts. Connections that are
//     established then are closed.
//  3. The connects started in any duration are at most the burst plus the rate times the duration.
//  4. While there is a better address, one that is down, suspect or leads to another node has one connection at most, for a
//     trial. While all are down, the whole node has one.
//  5. A connection of an address that was removed from the list carries no new request. The request on it is not cut off.
//  6. The primary returns to a preferred address at most once in MinReturnDelay, and only after MinReturnConns connections
//     whose first response came in time.
//  7. A preferred address that responds again becomes the primary in the end, as long as requests come.
//  8. While a request waits, a connect is under way, a connection is in use, or a timer is set.
//
// Source: RFC 8305 (Happy Eyeballs v2) sections 4 and 5 for the order and the stagger, RFC 6298 section 2 for the smoothed
// connect time, and the circuit breaker's half-open state for trials. The package sends no health checks, resolves no names
// and never repeats a request.
package address

import (
	"math"
	"math/rand/v2"
	"time"
)

// waiter is a request that waits for a connection.
type waiter struct {
	req        Req
	idempotent bool
	namesShard bool
}

// Selector is the state of one node's addresses. It must be used by one goroutine at a time.
type Selector struct {
	settings  Settings
	rng       *rand.Rand
	now       time.Duration
	actions   []Action // of the current step
	newDemand bool     // in the current step, so that trials may start
	draining  bool
	closing   bool // the node has left the list

	entries         []*entry // in the order of preference
	primary         *entry   // nil: there is no address
	conns           []conn
	freeSlots       []int // of conns
	connCount       int   // connections, including those that are connecting
	connectingCount int
	unprovenCount   int // connections without a response yet
	maxUnproven     int // bound of unprovenCount
	waiting         []waiter
	races           []*race
	freeRaces       []*race // for reuse

	connectTokens         float64 // connects that may start now
	connectTokensFilledAt time.Duration
	connectMeasured       bool    // a connect time was measured
	connectMean           float64 // smoothed connect time, in nanoseconds
	connectDeviation      float64 // its smoothed deviation, in nanoseconds

	usualResponseMeasured bool
	bestUsualResponseTime float64       // of the fastest address, in nanoseconds
	silenceBound          time.Duration // time without a sign of life after which an address is suspect
	nextSilenceCheck      time.Duration // before it, no connection can have been silent for too long

	nextDownTrial         time.Duration // next trial while all addresses are down
	nextReturnConnect     time.Duration // next connect that takes requests from idle connections back to the primary
	nextCrossCheckConnect time.Duration // next connect for a second opinion
	earliestReturn        time.Duration // of the primary to a preferred address
	returnDelay           time.Duration // from a change of the primary to a return
	lastReturn            time.Duration
}

// New returns the state of a node without an address. An error is a *SettingError.
func New(settings Settings, seed uint64) (*Selector, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	s := &Selector{
		settings:         settings,
		rng:              rand.New(rand.NewPCG(seed, 0x61646472657373)),
		conns:            make([]conn, settings.MaxConns),
		maxUnproven:      settings.MaxConns,
		waiting:          make([]waiter, 0, 16),
		connectTokens:    float64(settings.ConnectBurst),
		silenceBound:     settings.MinSuspectAfter,
		nextSilenceCheck: never,
		returnDelay:      settings.MinReturnDelay,
		lastReturn:       math.MinInt64 / 2,
	}
	for i := settings.MaxConns - 1; i >= 0; i-- {
		s.freeSlots = append(s.freeSlots, i)
	}
	return s, nil
}

// Step applies one event that happened at now, and appends the actions that follow from it.
func (s *Selector) Step(now time.Duration, e Event, actions []Action) []Action {
	s.now, s.actions, s.newDemand = max(s.now, now), actions, false
	s.apply(e)
	s.applyTime()
	s.assignWaiting()
	if s.newDemand && !s.draining && !s.closing && s.primary != nil {
		s.startTrials()
	}
	out := s.actions
	s.actions = nil
	return out
}

func (s *Selector) apply(e Event) {
	switch e.Kind {
	case RequestQueued:
		s.enqueue(e)
	case RequestDropped:
		s.cancelRequest(e)
	case Connected:
		s.handleConnected(e.Conn)
	case ConnectFailed:
		s.handleConnectFailed(e.Conn, e.Reason)
	case ResponseReceived:
		s.handleResponse(e)
	case ConnBroken:
		s.handleConnBroken(e)
	case IdleConnClosed:
		s.handleIdleConnClosed(e.Conn)
	case DrainChanged:
		s.draining = e.Draining
		if s.draining {
			s.stopConnecting()
		}
	case NodeRemoved:
		s.handleNodeRemoved()
	case DemandContinued:
		s.newDemand = true
	case ProgressSeen:
		s.handleProgress(e.Conn)
	case AddressesChanged:
		s.setAddresses(e.Addrs)
	}
}

// Adjust replaces the settings, which must pass Check. The bounds of connections and of waiting requests stay.
func (s *Selector) Adjust(settings Settings) {
	settings.MaxConns, settings.MaxWaiting = s.settings.MaxConns, s.settings.MaxWaiting
	s.settings = settings
	s.connectTokens = min(s.connectTokens, float64(settings.ConnectBurst))
	s.silenceBound = min(max(s.silenceBound, settings.MinSuspectAfter), settings.MaxSuspectAfter)
	s.returnDelay = min(max(s.returnDelay, settings.MinReturnDelay), settings.MaxReturnDelay)
	s.nextSilenceCheck = 0
	addrs := make([]Addr, 0, len(s.entries))
	for _, e := range s.entries {
		addrs = append(addrs, e.Addr)
		e.timelyConns = min(e.timelyConns, settings.MinReturnConns)
	}
	old := s.entries
	s.entries = make([]*entry, 0, len(old))
	for _, i := range Interleave(addrs, settings.Preference) {
		s.entries = append(s.entries, old[i])
	}
}

// emit appends an action to those of the current step.
func (s *Selector) emit(a Action) { s.actions = append(s.actions, a) }

// Next is when a TimerFired is due, or the largest time.Duration if nothing depends on time.
func (s *Selector) Next() time.Duration {
	next := never
	for _, r := range s.races {
		next = min(next, r.nextConnect)
	}
	next = min(next, s.nextSilenceCheck)
	if len(s.waiting) > 0 {
		for _, e := range s.entries {
			if c := e.trialConn; c != nil && c.phase == idle {
				next = min(next, c.since+s.settings.TrialPatience)
			}
		}
	}
	return next
}

// applyTime does what is due by time: silent connections, the next connects of races, and returns of the primary.
func (s *Selector) applyTime() {
	if s.now >= s.nextSilenceCheck {
		s.checkSilence()
	}
	for i := 0; i < len(s.races); i++ {
		r := s.races[i]
		if r.connecting == 0 && r.nextConnect == never {
			r.nextConnect = s.now // it waited for a connect that is over
		}
		n := len(s.races)
		s.advanceRace(r)
		i -= n - len(s.races)
	}
	if s.primary != nil && s.now >= s.earliestReturn {
		s.choosePrimary()
	}
}
