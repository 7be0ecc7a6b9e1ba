package address

import (
	"fmt"
	"slices"
	"time"
)

const ms = time.Millisecond

// harness drives a Selector, records its actions and checks the invariants that show only in them.
type harness struct {
	selector       *Selector
	now            time.Duration
	actions        []Action // of the last step
	connecting     []Conn   // in the order of their connects
	busy           []Conn
	addrOf         map[Conn]Addr
	requestOn      map[Conn]Req
	writes         map[Req]int
	failed         map[Req]bool
	openRequests   map[Req]bool // queued, and not over
	lastRequest    Req
	connects       []time.Duration
	primaryChanges []primaryChange
	logged         []string
	err            error
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
	r := &harness{selector: selector, addrOf: map[Conn]Addr{}, requestOn: map[Conn]Req{}, writes: map[Req]int{}, failed: map[Req]bool{}, openRequests: map[Req]bool{}}
	r.setAddresses(addrs...)
	return r
}

func (h *harness) setAddresses(addrs ...string) {
	list, errs := ParseList(addrs)
	if len(errs) > 0 {
		panic(errs)
	}
	h.step(Event{Kind: AddressesChanged, Addrs: list})
}

func (h *harness) fail(form string, args ...any) {
	if h.err == nil {
		h.err = fmt.Errorf(form, args...)
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
		for _, x := range h.selector.Snapshot(nil) {
			state[x.Addr] = x.State
		}
		if state[before] <= Healthy && state[to] > Healthy {
			h.fail("from %v, which is %v, to %v, which is %v", before, state[before], to, state[to])
		}
	}
	if err := h.selector.Check(); err != nil {
		h.fail("%w", err)
	}
}

// apply carries out an action and checks the invariants of it.
func (h *harness) apply(a Action) {
	switch a.Kind {
	case Connect:
		if h.draining || h.removed {
			h.fail("connect while the node drains or is removed")
		}
		if _, twice := h.addrOf[a.Conn]; twice {
			h.fail("connection %d opened twice", a.Conn)
		}
		h.addrOf[a.Conn] = a.Addr
		h.connecting = append(h.connecting, a.Conn)
		h.connects = append(h.connects, h.now)
	case Write:
		if h.draining || h.removed {
			h.fail("written while the node drains or is removed")
		}
		if h.requestOn[a.Conn] != 0 || slices.Contains(h.connecting, a.Conn) {
			h.fail("written on a connection in use")
		}
		if h.writes[a.Req]++; h.writes[a.Req] > 1 || !h.openRequests[a.Req] {
			h.fail("request %d written %d times", a.Req, h.writes[a.Req])
		}
		h.requestOn[a.Conn] = a.Req
		h.busy = append(h.busy, a.Conn)
	case Close:
		h.removeConn(a.Conn)
	case Fail:
		if h.writes[a.Req] > 0 || !h.openRequests[a.Req] {
			h.fail("request %d failed after it was written or over", a.Req)
		}
		h.failed[a.Req] = true
		delete(h.openRequests, a.Req)
	case LogState:
		h.logged = append(h.logged, fmt.Sprintf("%v %v: %v", a.Addr, a.State, a.Reason))
	}
}

func (h *harness) removeConn(c Conn) {
	h.connecting, h.busy = deleteConn(h.connecting, c), deleteConn(h.busy, c)
	delete(h.requestOn, c)
}

func (h *harness) queueRequest(idempotent bool) Req {
	h.lastRequest++
	h.openRequests[h.lastRequest] = true
	h.step(Event{Kind: RequestQueued, Req: h.lastRequest, Idempotent: idempotent, NamesShard: true})
	return h.lastRequest
}

func (h *harness) connectionUp(c Conn) {
	h.connecting = deleteConn(h.connecting, c)
	h.step(Event{Kind: Connected, Conn: c})
}

func (h *harness) connectFails(c Conn, reason Reason) {
	h.removeConn(c)
	h.step(Event{Kind: ConnectFailed, Conn: c, Reason: reason})
}

func (h *harness) respond(c Conn, verdict Verdict) {
	delete(h.openRequests, h.requestOn[c])
	h.removeConn(c)
	h.step(Event{Kind: ResponseReceived, Conn: c, Verdict: verdict, KeepAlive: true})
}

func (h *harness) breakConn(c Conn, reason Reason) {
	if q := h.requestOn[c]; reason == ReasonUnwritten {
		h.writes[q]--
	} else {
		delete(h.openRequests, q)
	}
	h.removeConn(c)
	h.step(Event{Kind: ConnBroken, Conn: c, Reason: reason})
}

// cancelRequest drops a request.
func (h *harness) cancelRequest(q Req) {
	on := Conn(0)
	for c, x := range h.requestOn {
		if x == q {
			on = c
		}
	}
	delete(h.openRequests, q)
	h.step(Event{Kind: RequestDropped, Req: q, Conn: on})
}

func (h *harness) advanceTime(d time.Duration) {
	h.now += d
	h.step(Event{Kind: TimerFired})
}

// lastAction is the connection of the last action of a kind, and its address.
func (h *harness) lastAction(k ActionKind) (Conn, string) {
	for i := len(h.actions) - 1; i >= 0; i-- {
		if a := h.actions[i]; a.Kind == k {
			return a.Conn, h.addrOf[a.Conn].String()
		}
	}
	return 0, ""
}

func (h *harness) count(k ActionKind) (n int) {
	for _, a := range h.actions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

// simulation is a node each of whose addresses behaves in a given way, for runs over time.
type simulation struct {
	*harness
	modes        map[string]string // by address: ok, refused, hang, silent, reset, slow, wrong, late
	scheduled    []scheduledCall
	responseTime time.Duration
	connectsTo   map[string]int
	outcome      map[Req]string
	sentTo       map[Req]string
}

type scheduledCall struct {
	at time.Duration
	do func()
}

func newSimulation(set Settings, addrs ...string) *simulation {
	return &simulation{harness: newHarness(set, addrs...), modes: map[string]string{}, responseTime: 5 * ms, connectsTo: map[string]int{},
		outcome: map[Req]string{}, sentTo: map[Req]string{}}
}

func (s *simulation) schedule(d time.Duration, do func()) {
	s.scheduled = append(s.scheduled, scheduledCall{s.now + d, do})
}

// respondToActions lets the addresses respond to the actions of the last step.
func (s *simulation) respondToActions() {
	for _, a := range slices.Clone(s.actions) {
		switch a.Kind {
		case Connect:
			s.respondToConnect(a.Conn)
		case Write:
			s.respondToWrite(a.Conn, a.Req)
		case Fail:
			s.outcome[a.Req] = "failed"
		}
	}
	s.actions = s.actions[:0]
}

func (s *simulation) respondToConnect(c Conn) {
	to := s.addrOf[c].String()
	s.connectsTo[to]++
	switch s.modes[to] {
	case "refused":
		s.schedule(0, func() { s.ifConnecting(c, func() { s.connectFails(c, ReasonRefused) }) })
	case "hang":
		s.schedule(250*ms, func() { s.ifConnecting(c, func() { s.connectFails(c, ReasonTimedOut) }) })
	case "late":
		s.schedule(150*ms, func() { s.ifConnecting(c, func() { s.connectionUp(c) }) })
	default:
		s.schedule(ms/5, func() { s.ifConnecting(c, func() { s.connectionUp(c) }) })
	}
}

func (s *simulation) respondToWrite(c Conn, q Req) {
	to := s.addrOf[c].String()
	s.sentTo[q] = to
	end := func(d time.Duration, outcome string, do func()) {
		s.schedule(d, func() {
			if s.requestOn[c] == q {
				s.outcome[q] = outcome
				do()
			}
		})
	}
	switch s.modes[to] {
	case "silent":
		end(1500*ms, "late", func() { s.cancelRequest(q) })
	case "reset":
		end(ms, "reset", func() { s.breakConn(c, ReasonReset) })
	case "slow":
		end(400*ms, "served", func() { s.respond(c, VerdictServed) })
	case "wrong":
		end(ms, "rejected", func() { s.respond(c, VerdictRejected) })
	default:
		end(s.responseTime, "served", func() { s.respond(c, VerdictServed) })
	}
}

func (s *simulation) ifConnecting(c Conn, do func()) {
	if slices.Contains(s.connecting, c) {
		do()
	}
}

// run plays for a duration, with a request at each interval. Idempotent tells which of them are, by their number.
func (s *simulation) run(d, interval time.Duration, idempotent func(int) bool) {
	end := s.now + d
	next := s.now
	for n := 0; s.now < end; {
		at := min(end, s.selector.Next(), next)
		for _, m := range s.scheduled {
			at = min(at, m.at)
		}
		s.now = max(s.now, at)
		if s.now >= end {
			return
		}
		fired := false
		for i, m := range s.scheduled {
			if m.at <= s.now {
				s.scheduled = slices.Delete(s.scheduled, i, i+1)
				m.do()
				s.respondToActions()
				fired = true
				break
			}
		}
		if fired {
			continue
		}
		if s.now >= next {
			n++
			s.queueRequest(idempotent(n))
			next += interval
		} else {
			s.step(Event{Kind: TimerFired})
		}
		s.respondToActions()
	}
}

func (s *simulation) outcomeCounts() map[string]int {
	counts := map[string]int{}
	for _, outcome := range s.outcome {
		counts[outcome]++
	}
	return counts
}

func allIdempotent(int) bool         { return true }
func twoThirdsIdempotent(n int) bool { return n%3 != 0 }
func (s *simulation) resetCounts()   { clear(s.outcome); clear(s.connectsTo); s.connects = nil }
