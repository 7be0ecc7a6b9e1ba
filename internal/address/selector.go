// Package address decides which of a storage node's addresses serves a request: on which connection the request is written,
// to which address the next connection is opened, and when an address with a fault is tried again. A Selector holds the
// state of one node. It has no sockets and no clock: the driver passes events and the time to Step, and carries out the
// returned actions.
//
// Invariants:
//
//  1. A request is written on at most one connection, and a connection carries at most one request. A request is queued
//     again only if the driver found its connection closed before a byte was written.
//  2. While the node drains, or after it was removed from the list, nothing is written and no connect starts. Connections
//     that are established during that time are closed.
//  3. In any period, the number of connects started is at most the burst plus the rate times the length of the period.
//  4. While there is a better address, an address that is down, suspect or leads to another node has at most one new
//     connection, for a trial. While all addresses are down, the whole node has at most one.
//  5. A connection to an address that was removed from the list carries no new request. The request in flight on it is not
//     interrupted.
//  6. The primary returns to a preferred address at most once in MinReturnDelay, and only after MinReturnConns connections
//     whose first response was timely.
//  7. A preferred address that has recovered eventually becomes the primary again, provided that requests keep arriving.
//  8. While a request waits, a connect is in progress, a connection is in use or rests, or a timer is set.
//
// The order and the stagger of connects follow RFC 8305 (Happy Eyeballs v2) sections 4 and 5, the smoothed connect time
// follows RFC 6298 section 2, and trials correspond to the half-open state of a circuit breaker. The package sends no health
// checks, resolves no names and never repeats a request.
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
	newDemand bool     // the current step needs a connection, so trials may start
	draining  bool
	closing   bool // the node was removed from the list

	entries         []*entry // in the order of preference
	primary         *entry   // nil: there is no address
	conns           []conn
	freeSlots       []int // of conns
	connCount       int   // connections, including those that are connecting
	connectingCount int
	unprovenCount   int // connections without a response so far
	maxUnproven     int // bound of unprovenCount: 1 once all addresses are down, then 1 more with each timely first response
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
	silenceBound          time.Duration // time without data after which an address is suspect
	nextSilenceCheck      time.Duration // before this time no connection can exceed a bound of silence

	nextDownTrial         time.Duration // next trial while all addresses are down
	nextReturnConnect     time.Duration // next connect to the primary while idle connections of other addresses serve
	nextCrossCheckConnect time.Duration // next connect for a cross-check
	earliestReturn        time.Duration // of the primary to a preferred address
	returnDelay           time.Duration // from a change of the primary to the earliest return
	lastReturn            time.Duration
}

// New returns the state of a node without addresses. The error is a *SettingError.
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

// Step applies one event that happened at now, and appends the resulting actions.
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
	case RequestCancelled:
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
	case ConnRested:
		s.handleConnRested(e.Conn)
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

// Next returns when a TimerFired is due, or the largest time.Duration if no timer is needed.
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

// applyTime handles what is due at the present time: checks for silence, the next connects of races, and returns of the
// primary.
func (s *Selector) applyTime() {
	if s.now >= s.nextSilenceCheck {
		s.checkSilence()
	}
	for i := 0; i < len(s.races); i++ {
		r := s.races[i]
		if r.connecting == 0 && r.nextConnect == never {
			r.nextConnect = s.now // the connect it waited for is over
		}
		n := len(s.races)
		s.advanceRace(r)
		i -= n - len(s.races)
	}
	if s.primary != nil && s.now >= s.earliestReturn {
		s.choosePrimary()
	}
}
