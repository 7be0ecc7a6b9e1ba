// Package address decides by which of a storage node's addresses a request goes: which
// connection it is written on, where the next one is opened, which address is tried again and
// when. A Book is the state of one node. It opens no socket and reads no clock: events and the
// time come in by Step, actions go out, and the driver around it does what they say.
//
// Invariants, as Check and the tests word them:
//
//  1. A request is written on one connection at most, and a connection carries one at most. Only
//     a connection that the driver found ended before a byte was written gives its request back.
//  2. Nothing is written and nothing connected while the node drains or has left the list;
//     connections that come up then are closed.
//  3. The connects started in any span are at most the burst and the rate times the span.
//  4. While there is a better address, one that failed, is suspect or wrong has one connection
//     under trial at most; while all are down the whole node has one.
//  5. A connection of an address that went from the list carries nothing new, and what it
//     carries is not cut.
//  6. The primary goes back to a preferred address at most once in MinReturnDelay, and only after
//     MinReturnConns connections on which an answer came in time.
//  7. A preferred address that answers again becomes primary in the end, as long as work comes.
//  8. What waits has a connect, a connection in use or a time that will wake it.
//
// Source: RFC 8305 (Happy Eyeballs v2) sections 4 and 5 for the order and the stagger, RFC 6298
// section 2 for the smoothed connect time, and the circuit breaker's half-open state for trials.
// It sends no health calls, resolves no names and never repeats a request.
package address

import (
	"math"
	"math/rand/v2"
	"time"
)

type waiter struct {
	req                    Req
	idempotent, namesShard bool
}

// Selector is the state of one node's addresses.
type Selector struct {
	settings        Settings
	rng             *rand.Rand
	now             time.Duration
	actions         []Action
	entries         []*entry // in the order of preference
	primary         *entry
	conns           []conn
	freeSlots       []int
	connCount       int // connections, including those that are connecting
	connectingCount int // connections that are connecting
	unprovenCount   int // connections without an answer yet
	maxUnproven     int // bound of unprovenCount
	waiting         []waiter
	races           []*race
	freeRaces       []*race
	draining        bool
	closing         bool
	newDemand       bool // a request came in this step

	tokens         float64 // connects that may start now
	tokensFilledAt time.Duration

	connectMeasured               bool // a connect time was measured
	connectMean, connectDeviation float64
	bestUsualResponseTime         float64       // time of an answer by the best address, in nanoseconds
	usualResponseMeasured         bool          // bestUsualResponseTime is set
	silenceBound                  time.Duration // time without a sign of life after which an address is suspect
	nextSilenceCheck              time.Duration // no connection can pass silenceBound before
	nextDownTrial                 time.Duration // next trial while all addresses are down
	earliestReturn                time.Duration // no return to a preferred address before
	returnDelay                   time.Duration // from a change of the primary to a return
	lastReturn                    time.Duration // time of the last return
	nextReturnConnect             time.Duration // next connect that moves idle connections to the primary
	nextSecondOpinion             time.Duration // next connect for a second opinion
}

// New returns the book of a node with no address yet. An error names the setting at fault.
func New(settings Settings, seed uint64) (*Selector, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	s := &Selector{settings: settings, rng: rand.New(rand.NewPCG(seed, 0x61646472657373)), conns: make([]conn, settings.MaxConns),
		nextSilenceCheck: never, maxUnproven: settings.MaxConns, tokens: float64(settings.ConnectBurst), silenceBound: settings.MinSuspectAfter, returnDelay: settings.MinReturnDelay,
		lastReturn: math.MinInt64 / 2, waiting: make([]waiter, 0, 16)}
	for i := settings.MaxConns - 1; i >= 0; i-- {
		s.freeSlots = append(s.freeSlots, i)
	}
	return s, nil
}

// Step applies one event that came at now and appends the actions it leads to.
func (s *Selector) Step(now time.Duration, e Event, actions []Action) []Action {
	s.now, s.actions, s.newDemand = max(s.now, now), actions, false
	switch e.Kind {
	case RequestQueued:
		s.enqueue(e)
	case RequestDropped:
		s.dropRequest(e)
	case Connected:
		s.connected(e.Conn)
	case ConnectFailed:
		s.connectFailed(e.Conn, e.Reason)
	case ResponseReceived:
		s.responseReceived(e)
	case ConnBroken:
		s.connBroken(e)
	case IdleConnClosed:
		if c := s.connByID(e.Conn); c != nil && c.phase == idle {
			s.removeIdle(c)
			s.releaseConn(c)
		}
	case DrainChanged:
		if s.draining = e.Draining; e.Draining {
			s.stopConnecting()
		}
	case NodeRemoved:
		s.closing = true
		s.stopConnecting()
		for i := range s.conns {
			if c := &s.conns[i]; c.phase == idle {
				s.closeConn(c)
			}
		}
	case DemandContinued:
		s.newDemand = true
	case ProgressSeen:
		if c := s.connByID(e.Conn); c != nil && c.phase == busy {
			c.since, c.silenceCounted = s.now, false
			c.entry.lastResponse, c.entry.breaksInRow, c.entry.doubtedSince, c.entry.suspectAt = s.now, 0, 0, 0
			s.nextSilenceCheck = min(s.nextSilenceCheck, s.now+s.secondOpinionDelay())
		}
	case AddressesChanged:
		s.setAddresses(e.Addrs)
	}
	s.applyTime()
	s.assignWaiting()
	if s.newDemand && !s.draining && !s.closing && s.primary != nil {
		s.startTrials()
	}
	out := s.actions
	s.actions = nil
	return out
}

// Adjust replaces the settings, which must pass Check, except the numbers of connections and of requests. Decisions
// from now on follow the new settings.
func (s *Selector) Adjust(settings Settings) {
	settings.MaxConns, settings.MaxWaiting = s.settings.MaxConns, s.settings.MaxWaiting
	s.settings = settings
	s.tokens = min(s.tokens, float64(settings.ConnectBurst))
	s.silenceBound = min(max(s.silenceBound, settings.MinSuspectAfter), settings.MaxSuspectAfter)
	s.returnDelay = min(max(s.returnDelay, settings.MinReturnDelay), settings.MaxReturnDelay)
	s.nextSilenceCheck = 0
	addrs := make([]Addr, 0, len(s.entries))
	for _, e := range s.entries {
		addrs = append(addrs, e.Addr)
		e.timelyConns = min(e.timelyConns, settings.MinReturnConns)
	}
	held := s.entries
	s.entries = make([]*entry, 0, len(held))
	for _, i := range Interleave(addrs, settings.Preference) {
		s.entries = append(s.entries, held[i])
	}
}

// emit appends an action to those of the current step.
func (s *Selector) emit(a Action) { s.actions = append(s.actions, a) }

// Next is the time of the next Tick, or a very late one where nothing depends on time.
func (s *Selector) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
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
