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

func newHarness(set Settings, addrs ...string) *harness {
	b, err := New(set, 7)
	if err != nil {
		panic(err)
	}
	r := &harness{selector: b, addrOf: map[Conn]Addr{}, requestOn: map[Conn]Req{}, writes: map[Req]int{}, failed: map[Req]bool{}, openRequests: map[Req]bool{}}
	r.setAddresses(addrs...)
	return r
}

func (r *harness) setAddresses(addrs ...string) {
	list, errs := ParseList(addrs)
	if len(errs) > 0 {
		panic(errs)
	}
	r.step(Event{Kind: AddressesChanged, Addrs: list})
}

func (r *harness) fail(form string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(form, args...)
	}
}

func without(list []Conn, c Conn) []Conn {
	return slices.DeleteFunc(list, func(o Conn) bool { return o == c })
}

// step applies an event and carries out the actions.
func (r *harness) step(e Event) {
	switch e.Kind {
	case DrainChanged:
		r.draining = e.Draining
	case NodeRemoved:
		r.removed = true
	}
	before := r.selector.Primary()
	r.actions = r.selector.Step(r.now, e, r.actions[:0])
	for _, a := range r.actions {
		r.apply(a)
	}
	if r.onStep != nil {
		r.onStep(e)
	}
	if to := r.selector.Primary(); to != before && e.Kind != AddressesChanged {
		r.primaryChanges = append(r.primaryChanges, primaryChange{r.now, before, to})
		state := map[Addr]State{}
		for _, x := range r.selector.Snapshot(nil) {
			state[x.Addr] = x.State
		}
		if state[before] <= Healthy && state[to] > Healthy {
			r.fail("from %v, which is %v, to %v, which is %v", before, state[before], to, state[to])
		}
	}
	if err := r.selector.Check(); err != nil {
		r.fail("%w", err)
	}
}

// apply carries out an action and checks the invariants of it.
func (r *harness) apply(a Action) {
	switch a.Kind {
	case Connect:
		if r.draining || r.removed {
			r.fail("connect while the node drains or is removed")
		}
		if _, twice := r.addrOf[a.Conn]; twice {
			r.fail("connection %d opened twice", a.Conn)
		}
		r.addrOf[a.Conn] = a.Addr
		r.connecting = append(r.connecting, a.Conn)
		r.connects = append(r.connects, r.now)
	case Write:
		if r.draining || r.removed {
			r.fail("written while the node drains or is removed")
		}
		if r.requestOn[a.Conn] != 0 || slices.Contains(r.connecting, a.Conn) {
			r.fail("written on a connection in use")
		}
		if r.writes[a.Req]++; r.writes[a.Req] > 1 || !r.openRequests[a.Req] {
			r.fail("request %d written %d times", a.Req, r.writes[a.Req])
		}
		r.requestOn[a.Conn] = a.Req
		r.busy = append(r.busy, a.Conn)
	case Close:
		r.forget(a.Conn)
	case Fail:
		if r.writes[a.Req] > 0 || !r.openRequests[a.Req] {
			r.fail("request %d failed after it was written or over", a.Req)
		}
		r.failed[a.Req] = true
		delete(r.openRequests, a.Req)
	case LogState:
		r.logged = append(r.logged, fmt.Sprintf("%v %v: %v", a.Addr, a.State, a.Reason))
	}
}

func (r *harness) forget(c Conn) {
	r.connecting, r.busy = without(r.connecting, c), without(r.busy, c)
	delete(r.requestOn, c)
}

func (r *harness) queueRequest(idempotent bool) Req {
	r.lastRequest++
	r.openRequests[r.lastRequest] = true
	r.step(Event{Kind: RequestQueued, Req: r.lastRequest, Idempotent: idempotent, NamesShard: true})
	return r.lastRequest
}

func (r *harness) connectionUp(c Conn) {
	r.connecting = without(r.connecting, c)
	r.step(Event{Kind: Connected, Conn: c})
}

func (r *harness) connectFails(c Conn, reason Reason) {
	r.forget(c)
	r.step(Event{Kind: ConnectFailed, Conn: c, Reason: reason})
}

func (r *harness) respond(c Conn, v Verdict) {
	delete(r.openRequests, r.requestOn[c])
	r.forget(c)
	r.step(Event{Kind: ResponseReceived, Conn: c, Verdict: v, KeepAlive: true})
}

func (r *harness) breakConn(c Conn, reason Reason) {
	if q := r.requestOn[c]; reason == ReasonUnwritten {
		r.writes[q]--
	} else {
		delete(r.openRequests, q)
	}
	r.forget(c)
	r.step(Event{Kind: ConnBroken, Conn: c, Reason: reason})
}

// giveUp drops a request.
func (r *harness) giveUp(q Req) {
	on := Conn(0)
	for c, x := range r.requestOn {
		if x == q {
			on = c
		}
	}
	delete(r.openRequests, q)
	r.step(Event{Kind: RequestDropped, Req: q, Conn: on})
}

func (r *harness) pass(d time.Duration) {
	r.now += d
	r.step(Event{Kind: TimerFired})
}

// lastAction is the connection of the last action of a kind, and its address.
func (r *harness) lastAction(k ActionKind) (Conn, string) {
	for i := len(r.actions) - 1; i >= 0; i-- {
		if a := r.actions[i]; a.Kind == k {
			return a.Conn, r.addrOf[a.Conn].String()
		}
	}
	return 0, ""
}

func (r *harness) count(k ActionKind) (n int) {
	for _, a := range r.actions {
		if a.Kind == k {
			n++
		}
	}
	return n
}

// simulation is a node each of whose addresses behaves in a given way, for runs over time.
type simulation struct {
	*harness
	mode         map[string]string // by address: ok, refused, hang, silent, reset, slow, wrong, late
	pending      []pendingEvent
	responseTime time.Duration
	connectsTo   map[string]int
	outcome      map[Req]string
	sentTo       map[Req]string
}

type pendingEvent struct {
	at time.Duration
	do func()
}

func newSimulation(set Settings, addrs ...string) *simulation {
	return &simulation{harness: newHarness(set, addrs...), mode: map[string]string{}, responseTime: 5 * ms, connectsTo: map[string]int{},
		outcome: map[Req]string{}, sentTo: map[Req]string{}}
}

func (s *simulation) later(d time.Duration, do func()) {
	s.pending = append(s.pending, pendingEvent{s.now + d, do})
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
	switch s.mode[to] {
	case "refused":
		s.later(0, func() { s.ifConnecting(c, func() { s.connectFails(c, ReasonRefused) }) })
	case "hang":
		s.later(250*ms, func() { s.ifConnecting(c, func() { s.connectFails(c, ReasonTimedOut) }) })
	case "late":
		s.later(150*ms, func() { s.ifConnecting(c, func() { s.connectionUp(c) }) })
	default:
		s.later(ms/5, func() { s.ifConnecting(c, func() { s.connectionUp(c) }) })
	}
}

func (s *simulation) respondToWrite(c Conn, q Req) {
	to := s.addrOf[c].String()
	s.sentTo[q] = to
	end := func(d time.Duration, outcome string, do func()) {
		s.later(d, func() {
			if s.requestOn[c] == q {
				s.outcome[q] = outcome
				do()
			}
		})
	}
	switch s.mode[to] {
	case "silent":
		end(1500*ms, "late", func() { s.giveUp(q) })
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
		for _, m := range s.pending {
			at = min(at, m.at)
		}
		s.now = max(s.now, at)
		if s.now >= end {
			return
		}
		fired := false
		for i, m := range s.pending {
			if m.at <= s.now {
				s.pending = slices.Delete(s.pending, i, i+1)
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
	t := map[string]int{}
	for _, how := range s.outcome {
		t[how]++
	}
	return t
}

func always(int) bool        { return true }
func mostly(n int) bool      { return n%3 != 0 }
func (s *simulation) reset() { clear(s.outcome); clear(s.connectsTo); s.connects = nil }
