package address

import (
	"fmt"
	"slices"
	"time"
)

const ms = time.Millisecond

// harness drives a Selector, records its actions and checks the invariants that concern sequences of actions.
type harness struct {
	selector       *Selector
	now            time.Duration
	actions        []Action // of the last step
	connecting     []Conn   // in the order of their connects
	busy           []Conn
	resting        []Conn
	addrOf         map[Conn]Addr
	requestOn      map[Conn]Req
	writes         map[Req]int
	failed         map[Req]bool
	openRequests   map[Req]bool // queued, and neither completed, failed nor cancelled
	lastRequest    Req
	connects       []time.Duration
	primaryChanges []primaryChange
	logged         []string
	violation      error
	draining       bool
	removed        bool
	onStep         func(Event) // after each step, for recordings
}

type primaryChange struct {
	at   time.Duration
	from Addr
	to   Addr
}

func newHarness(settings Settings, addrs ...string) *harness {
	selector, err := New(settings, 7)
	if err != nil {
		panic(err)
	}
	h := &harness{selector: selector, addrOf: map[Conn]Addr{}, requestOn: map[Conn]Req{}, writes: map[Req]int{}, failed: map[Req]bool{}, openRequests: map[Req]bool{}}
	h.setAddresses(addrs...)
	return h
}

func (h *harness) setAddresses(addrs ...string) {
	list, errs := ParseList(addrs)
	if len(errs) > 0 {
		panic(errs)
	}
	h.step(Event{Kind: AddressesChanged, Addrs: list})
}

// recordViolation records the first violation of an invariant.
func (h *harness) recordViolation(format string, args ...any) {
	if h.violation == nil {
		h.violation = fmt.Errorf(format, args...)
	}
}

func deleteConn(list []Conn, c Conn) []Conn {
	return slices.DeleteFunc(list, func(o Conn) bool { return o == c })
}

// step applies an event and carries out the actions.
func (h *harness) step(e Event) {
	switch e.Kind {
	case DrainChanged:
		h.draining = e.Draining
	case NodeRemoved:
		h.removed = true
	}
	before := h.selector.Primary()
	h.actions = h.selector.Step(h.now, e, h.actions[:0])
	for _, a := range h.actions {
		h.apply(a)
	}
	if h.onStep != nil {
		h.onStep(e)
	}
	if to := h.selector.Primary(); to != before && e.Kind != AddressesChanged {
		h.primaryChanges = append(h.primaryChanges, primaryChange{h.now, before, to})
		state := map[Addr]State{}
		for _, x := range h.selector.AppendStatus(nil) {
			state[x.Addr] = x.State
		}
		if state[before] <= Healthy && state[to] > Healthy {
			h.recordViolation("the primary changed from %v, which is %v, to %v, which is %v", before, state[before], to, state[to])
		}
	}
	if err := h.selector.Check(); err != nil {
		h.recordViolation("%w", err)
	}
}

// apply carries out an action and checks the invariants that concern it.
func (h *harness) apply(a Action) {
	switch a.Kind {
	case Connect:
		if h.draining || h.removed {
			h.recordViolation("connect started while the node drains or after it was removed")
		}
		if _, twice := h.addrOf[a.Conn]; twice {
			h.recordViolation("connection id %d used twice", a.Conn)
		}
		h.addrOf[a.Conn] = a.Addr
		h.connecting = append(h.connecting, a.Conn)
		h.connects = append(h.connects, h.now)
	case Write:
		if h.draining || h.removed {
			h.recordViolation("request written while the node drains or after it was removed")
		}
		if h.requestOn[a.Conn] != 0 || slices.Contains(h.connecting, a.Conn) || slices.Contains(h.resting, a.Conn) {
			h.recordViolation("request written on a connection that is in use, connecting or resting")
		}
		if h.writes[a.Req]++; h.writes[a.Req] > 1 || !h.openRequests[a.Req] {
			h.recordViolation("request %d written %d times, or after its end", a.Req, h.writes[a.Req])
		}
		h.requestOn[a.Conn] = a.Req
		h.busy = append(h.busy, a.Conn)
	case Close:
		h.removeConn(a.Conn)
	case Fail:
		if h.writes[a.Req] > 0 || !h.openRequests[a.Req] {
			h.recordViolation("request %d failed after it was written or after its end", a.Req)
		}
		h.failed[a.Req] = true
		delete(h.openRequests, a.Req)
	case LogState:
		h.logged = append(h.logged, fmt.Sprintf("%v %v: %v", a.Addr, a.State, a.Reason))
	}
}

func (h *harness) removeConn(c Conn) {
	h.connecting, h.busy, h.resting = deleteConn(h.connecting, c), deleteConn(h.busy, c), deleteConn(h.resting, c)
	delete(h.requestOn, c)
}

func (h *harness) queueRequest(idempotent bool) Req {
	h.lastRequest++
	h.openRequests[h.lastRequest] = true
	h.step(Event{Kind: RequestQueued, Req: h.lastRequest, Idempotent: idempotent, NamesShard: true})
	return h.lastRequest
}

func (h *harness) establish(c Conn) {
	h.connecting = deleteConn(h.connecting, c)
	h.step(Event{Kind: Connected, Conn: c})
}

func (h *harness) failConnect(c Conn, reason Reason) {
	h.removeConn(c)
	h.step(Event{Kind: ConnectFailed, Conn: c, Reason: reason})
}

func (h *harness) respond(c Conn, verdict Verdict) {
	delete(h.openRequests, h.requestOn[c])
	h.removeConn(c)
	h.step(Event{Kind: ResponseReceived, Conn: c, Verdict: verdict, KeepAlive: true})
}

// respondAndRest serves the request on a connection, which then rests.
func (h *harness) respondAndRest(c Conn) {
	delete(h.openRequests, h.requestOn[c])
	h.removeConn(c)
	h.resting = append(h.resting, c)
	h.step(Event{Kind: ResponseReceived, Conn: c, Verdict: VerdictServed, KeepAlive: true, Resting: true})
}

// endRest ends the rest of a connection with the given event.
func (h *harness) endRest(c Conn, kind EventKind) {
	h.removeConn(c)
	h.step(Event{Kind: kind, Conn: c})
}

// breakConn breaks a connection. With ReasonUnwritten, its request is queued again and may be written once more.
func (h *harness) breakConn(c Conn, reason Reason) {
	if q := h.requestOn[c]; reason == ReasonUnwritten {
		h.writes[q]--
	} else {
		delete(h.openRequests, q)
	}
	h.removeConn(c)
	h.step(Event{Kind: ConnBroken, Conn: c, Reason: reason})
}

// cancelRequest cancels a request, whether it waits or is in flight.
func (h *harness) cancelRequest(q Req) {
	on := Conn(0)
	for c, x := range h.requestOn {
		if x == q {
			on = c
		}
	}
	delete(h.openRequests, q)
	h.step(Event{Kind: RequestCancelled, Req: q, Conn: on})
}

func (h *harness) advanceTime(d time.Duration) {
	h.now += d
	h.step(Event{Kind: TimerFired})
}

// lastAction returns the connection of the last action of a kind, and its address.
func (h *harness) lastAction(kind ActionKind) (Conn, string) {
	for i := len(h.actions) - 1; i >= 0; i-- {
		if a := h.actions[i]; a.Kind == kind {
			return a.Conn, h.addrOf[a.Conn].String()
		}
	}
	return 0, ""
}

func (h *harness) countActions(k ActionKind) (n int) {
	for _, a := range h.actions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

// simulation simulates a node over time. Each of its addresses behaves according to its mode:
//
//	ok (or none)   connects take 0.2 ms, and requests are served after responseTime
//	refused        connects are refused at once
//	hang           connects time out after 250 ms
//	slow connect   connects take 150 ms
//	silent         requests get no response, and their clients cancel them after 1.5 s
//	reset          the connection is reset 1 ms after a request
//	slow           requests are served after 400 ms
//	rejects        requests are rejected after 1 ms
type simulation struct {
	*harness
	modes        map[string]string // by address
	scheduled    []scheduledCall
	responseTime time.Duration
	connectsTo   map[string]int // by address
	outcomes     map[Req]string // served, rejected, reset, cancelled or failed
	sentTo       map[Req]string // addresses
}

type scheduledCall struct {
	at time.Duration
	do func()
}

func newSimulation(settings Settings, addrs ...string) *simulation {
	return &simulation{harness: newHarness(settings, addrs...), modes: map[string]string{}, responseTime: 5 * ms, connectsTo: map[string]int{},
		outcomes: map[Req]string{}, sentTo: map[Req]string{}}
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.scheduled = append(s.scheduled, scheduledCall{s.now + d, do})
}

// respondToActions schedules the responses of the addresses to the actions of the last step.
func (s *simulation) respondToActions() {
	for _, a := range slices.Clone(s.actions) {
		switch a.Kind {
		case Connect:
			s.respondToConnect(a.Conn)
		case Write:
			s.respondToWrite(a.Conn, a.Req)
		case Fail:
			s.outcomes[a.Req] = "failed"
		}
	}
	s.actions = s.actions[:0]
}

func (s *simulation) respondToConnect(c Conn) {
	to := s.addrOf[c].String()
	s.connectsTo[to]++
	switch s.modes[to] {
	case "refused":
		s.schedule(0, func() { s.ifConnecting(c, func() { s.failConnect(c, ReasonRefused) }) })
	case "hang":
		s.schedule(250*ms, func() { s.ifConnecting(c, func() { s.failConnect(c, ReasonTimedOut) }) })
	case "slow connect":
		s.schedule(150*ms, func() { s.ifConnecting(c, func() { s.establish(c) }) })
	default:
		s.schedule(ms/5, func() { s.ifConnecting(c, func() { s.establish(c) }) })
	}
}

func (s *simulation) respondToWrite(c Conn, q Req) {
	to := s.addrOf[c].String()
	s.sentTo[q] = to
	respondAfter := func(d time.Duration, outcome string, do func()) {
		s.schedule(d, func() {
			if s.requestOn[c] == q {
				s.outcomes[q] = outcome
				do()
			}
		})
	}
	switch s.modes[to] {
	case "silent":
		respondAfter(1500*ms, "cancelled", func() { s.cancelRequest(q) })
	case "reset":
		respondAfter(ms, "reset", func() { s.breakConn(c, ReasonReset) })
	case "slow":
		respondAfter(400*ms, "served", func() { s.respond(c, VerdictServed) })
	case "rejects":
		respondAfter(ms, "rejected", func() { s.respond(c, VerdictRejected) })
	default:
		respondAfter(s.responseTime, "served", func() { s.respond(c, VerdictServed) })
	}
}

func (s *simulation) ifConnecting(c Conn, action func()) {
	if slices.Contains(s.connecting, c) {
		action()
	}
}

// run simulates a period of the given duration with one request per interval. The function idempotent reports whether the
// request with the given number is idempotent.
func (s *simulation) run(duration, interval time.Duration, idempotent func(int) bool) {
	end := s.now + duration
	nextRequest := s.now
	for requests := 0; s.now < end; {
		nextEvent := min(end, s.selector.Next(), nextRequest)
		for _, call := range s.scheduled {
			nextEvent = min(nextEvent, call.at)
		}
		s.now = max(s.now, nextEvent)
		if s.now >= end {
			return
		}
		fired := false
		for i, call := range s.scheduled {
			if call.at <= s.now {
				s.scheduled = slices.Delete(s.scheduled, i, i+1)
				call.do()
				s.respondToActions()
				fired = true
				break
			}
		}
		if fired {
			continue
		}
		if s.now >= nextRequest {
			requests++
			s.queueRequest(idempotent(requests))
			nextRequest += interval
		} else {
			s.step(Event{Kind: TimerFired})
		}
		s.respondToActions()
	}
}

func (s *simulation) outcomeCounts() map[string]int {
	counts := map[string]int{}
	for _, outcome := range s.outcomes {
		counts[outcome]++
	}
	return counts
}

func allIdempotent(int) bool         { return true }
func twoThirdsIdempotent(n int) bool { return n%3 != 0 }
func (s *simulation) resetCounts()   { clear(s.outcomes); clear(s.connectsTo); s.connects = nil }
