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
	req         Req
	safe, named bool
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
	usualAnswerTime               float64       // time of an answer by the best address, in nanoseconds
	usualKnown                    bool          // usualAnswerTime is set
	silenceBound                  time.Duration // time without a sign of life after which an address is suspect
	nextSilenceCheck              time.Duration // no connection can pass silenceBound before
	nextDownTrial                 time.Duration // next trial while all addresses are down
	earliestReturn                time.Duration // no return to a preferred address before
	returnDelay                   time.Duration // from a change of the primary to a return
	lastReturn                    time.Duration // time of the last return
	nextHomeConnect               time.Duration // next connect that moves idle connections to the primary
	nextSecondOpinion             time.Duration // next connect for a second opinion
}

// New returns the book of a node with no address yet. An error names the setting at fault.
func New(settings Settings, seed uint64) (*Selector, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	b := &Selector{settings: settings, rng: rand.New(rand.NewPCG(seed, 0x61646472657373)), conns: make([]conn, settings.MaxConns),
		nextSilenceCheck: never, maxUnproven: settings.MaxConns, tokens: float64(settings.ConnectBurst), silenceBound: settings.MinSuspectAfter, returnDelay: settings.MinReturnDelay,
		lastReturn: math.MinInt64 / 2, waiting: make([]waiter, 0, 16)}
	for i := settings.MaxConns - 1; i >= 0; i-- {
		b.freeSlots = append(b.freeSlots, i)
	}
	return b, nil
}

// Step applies one event that came at now and appends the actions it leads to.
func (b *Selector) Step(now time.Duration, e Event, actions []Action) []Action {
	b.now, b.actions, b.newDemand = max(b.now, now), actions, false
	switch e.Kind {
	case RequestQueued:
		b.enqueue(e)
	case RequestDropped:
		b.dropRequest(e)
	case Connected:
		b.connected(e.Conn)
	case ConnectFailed:
		b.failed(e.Conn, e.Reason)
	case ResponseReceived:
		b.answered(e)
	case ConnBroken:
		b.broken(e)
	case IdleConnClosed:
		if c := b.connByID(e.Conn); c != nil && c.phase == idle {
			b.removeIdle(c)
			b.releaseConn(c)
		}
	case DrainChanged:
		if b.draining = e.Draining; e.Draining {
			b.stopConnecting()
		}
	case NodeRemoved:
		b.closing = true
		b.stopConnecting()
		for i := range b.conns {
			if c := &b.conns[i]; c.phase == idle {
				b.closeConn(c)
			}
		}
	case DemandContinued:
		b.newDemand = true
	case ProgressSeen:
		if c := b.connByID(e.Conn); c != nil && c.phase == busy {
			c.since, c.silenceCounted = b.now, false
			c.entry.heard, c.entry.breaks, c.entry.doubted, c.entry.refuted = b.now, 0, 0, 0
			b.nextSilenceCheck = min(b.nextSilenceCheck, b.now+b.patience())
		}
	case AddressesChanged:
		b.setAddresses(e.Addrs)
	}
	b.review()
	b.serve()
	if b.newDemand && !b.draining && !b.closing && b.primary != nil {
		b.tryAgain()
	}
	out := b.actions
	b.actions = nil
	return out
}

// Adjust replaces the settings, which must pass Check, except the numbers of connections and of requests. Decisions
// from now on follow the new settings.
func (b *Selector) Adjust(settings Settings) {
	settings.MaxConns, settings.MaxWaiting = b.settings.MaxConns, b.settings.MaxWaiting
	b.settings = settings
	b.tokens = min(b.tokens, float64(settings.ConnectBurst))
	b.silenceBound = min(max(b.silenceBound, settings.MinSuspectAfter), settings.MaxSuspectAfter)
	b.returnDelay = min(max(b.returnDelay, settings.MinReturnDelay), settings.MaxReturnDelay)
	b.nextSilenceCheck = 0
	addrs := make([]Addr, 0, len(b.entries))
	for _, e := range b.entries {
		addrs = append(addrs, e.Addr)
		e.run = min(e.run, settings.MinReturnConns)
	}
	held := b.entries
	b.entries = make([]*entry, 0, len(held))
	for _, i := range Interleave(addrs, settings.Preference) {
		b.entries = append(b.entries, held[i])
	}
}

// emit appends an action to those of the current step.
func (b *Selector) emit(a Action) { b.actions = append(b.actions, a) }

// Next is the time of the next Tick, or a very late one where nothing depends on time.
func (b *Selector) Next() time.Duration {
	next := time.Duration(math.MaxInt64)
	for _, r := range b.races {
		next = min(next, r.next)
	}
	next = min(next, b.nextSilenceCheck)
	if len(b.waiting) > 0 {
		for _, e := range b.entries {
			if c := e.trying; c != nil && c.phase == idle {
				next = min(next, c.since+b.settings.TrialPatience)
			}
		}
	}
	return next
}
