package address

import (
	"fmt"
	"slices"
	"time"
)

const ms = time.Millisecond

// rig drives a book as a driver would, keeps what it said to do, and watches the invariants
// that only its actions show.
type rig struct {
	b        *Selector
	now      time.Duration
	acts     []Action // of the last step
	coming   []Conn   // in the order of their connects
	busy     []Conn
	at       map[Conn]Addr
	carries  map[Conn]Req
	writes   map[Req]int
	failed   map[Req]bool
	open     map[Req]bool // asked for and not over
	seq      Req
	connects []time.Duration
	moves    []move
	said     []string
	err      error
	drained  bool
	closed   bool
	onStep   func(Event) // after each step, for recordings
}

type move struct {
	at   time.Duration
	from Addr
	to   Addr
}

func newRig(set Settings, addrs ...string) *rig {
	b, err := New(set, 7)
	if err != nil {
		panic(err)
	}
	r := &rig{b: b, at: map[Conn]Addr{}, carries: map[Conn]Req{}, writes: map[Req]int{}, failed: map[Req]bool{}, open: map[Req]bool{}}
	r.list(addrs...)
	return r
}

func (r *rig) list(addrs ...string) {
	list, errs := ParseList(addrs)
	if len(errs) > 0 {
		panic(errs)
	}
	r.do(Event{Kind: AddressesChanged, Addrs: list})
}

func (r *rig) fault(form string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf(form, args...)
	}
}

func drop(list []Conn, c Conn) []Conn {
	return slices.DeleteFunc(list, func(o Conn) bool { return o == c })
}

// do takes an event and carries out what follows.
func (r *rig) do(e Event) {
	switch e.Kind {
	case DrainChanged:
		r.drained = e.Draining
	case NodeRemoved:
		r.closed = true
	}
	before := r.b.Primary()
	r.acts = r.b.Step(r.now, e, r.acts[:0])
	for _, a := range r.acts {
		switch a.Kind {
		case Connect:
			if r.drained || r.closed {
				r.fault("connect while it goes")
			}
			if _, twice := r.at[a.Conn]; twice {
				r.fault("connection %d opened twice", a.Conn)
			}
			r.at[a.Conn] = a.Addr
			r.coming = append(r.coming, a.Conn)
			r.connects = append(r.connects, r.now)
		case Write:
			if r.drained || r.closed {
				r.fault("written while it goes")
			}
			if r.carries[a.Conn] != 0 || slices.Contains(r.coming, a.Conn) {
				r.fault("written on a connection in use")
			}
			if r.writes[a.Req]++; r.writes[a.Req] > 1 || !r.open[a.Req] {
				r.fault("request %d written %d times", a.Req, r.writes[a.Req])
			}
			r.carries[a.Conn] = a.Req
			r.busy = append(r.busy, a.Conn)
		case Close:
			r.forget(a.Conn)
		case Fail:
			if r.writes[a.Req] > 0 || !r.open[a.Req] {
				r.fault("request %d failed after it was written or over", a.Req)
			}
			r.failed[a.Req] = true
			delete(r.open, a.Req)
		case LogState:
			r.said = append(r.said, fmt.Sprintf("%v %v: %v", a.Addr, a.State, a.Reason))
		}
	}
	if r.onStep != nil {
		r.onStep(e)
	}
	if to := r.b.Primary(); to != before && e.Kind != AddressesChanged {
		r.moves = append(r.moves, move{r.now, before, to})
		state := map[Addr]State{}
		for _, x := range r.b.Snapshot(nil) {
			state[x.Addr] = x.State
		}
		if state[before] <= Healthy && state[to] > Healthy {
			r.fault("from %v, which is %v, to %v, which is %v", before, state[before], to, state[to])
		}
	}
	if err := r.b.Check(); err != nil {
		r.fault("%w", err)
	}
}

func (r *rig) forget(c Conn) {
	r.coming, r.busy = drop(r.coming, c), drop(r.busy, c)
	delete(r.carries, c)
}

func (r *rig) want(safe bool) Req {
	r.seq++
	r.open[r.seq] = true
	r.do(Event{Kind: RequestQueued, Req: r.seq, Idempotent: safe, NamesShard: true})
	return r.seq
}

func (r *rig) up(c Conn) {
	r.coming = drop(r.coming, c)
	r.do(Event{Kind: Connected, Conn: c})
}

func (r *rig) refuse(c Conn, why Reason) {
	r.forget(c)
	r.do(Event{Kind: ConnectFailed, Conn: c, Reason: why})
}

func (r *rig) answer(c Conn, v Verdict) {
	delete(r.open, r.carries[c])
	r.forget(c)
	r.do(Event{Kind: ResponseReceived, Conn: c, Verdict: v, KeepAlive: true})
}

func (r *rig) breaks(c Conn, why Reason) {
	if q := r.carries[c]; why == ReasonUnwritten {
		r.writes[q]--
	} else {
		delete(r.open, q)
	}
	r.forget(c)
	r.do(Event{Kind: ConnBroken, Conn: c, Reason: why})
}

// giveUp ends a request as its owner does.
func (r *rig) giveUp(q Req) {
	on := Conn(0)
	for c, x := range r.carries {
		if x == q {
			on = c
		}
	}
	delete(r.open, q)
	r.do(Event{Kind: RequestDropped, Req: q, Conn: on})
}

func (r *rig) wait(d time.Duration) {
	r.now += d
	r.do(Event{Kind: TimerFired})
}

// last is the connection of the last action of a kind, and its address.
func (r *rig) last(k ActionKind) (Conn, string) {
	for i := len(r.acts) - 1; i >= 0; i-- {
		if a := r.acts[i]; a.Kind == k {
			return a.Conn, r.at[a.Conn].String()
		}
	}
	return 0, ""
}

func (r *rig) count(k ActionKind) (n int) {
	for _, a := range r.acts {
		if a.Kind == k {
			n++
		}
	}
	return n
}

// sim is a node whose addresses behave in a way each, for runs over time.
type sim struct {
	*rig
	mode  map[string]string // by address: ok, refused, hang, silent, reset, slow, wrong, late
	mail  []sent
	took  time.Duration // of an answer
	conns map[string]int
	done  map[Req]string
	lost  map[Req]time.Duration
	went  map[Req]string
}

type sent struct {
	at time.Duration
	do func()
}

func newSim(set Settings, addrs ...string) *sim {
	return &sim{rig: newRig(set, addrs...), mode: map[string]string{}, took: 5 * ms, conns: map[string]int{},
		done: map[Req]string{}, lost: map[Req]time.Duration{}, went: map[Req]string{}}
}

func (s *sim) later(d time.Duration, do func()) { s.mail = append(s.mail, sent{s.now + d, do}) }

// obey lets the addresses act on the last step's actions.
func (s *sim) obey() {
	for _, a := range slices.Clone(s.acts) {
		c, q := a.Conn, a.Req
		to := s.at[c].String()
		switch a.Kind {
		case Connect:
			s.conns[to]++
			switch s.mode[to] {
			case "refused":
				s.later(0, func() { s.ifComing(c, func() { s.refuse(c, ReasonRefused) }) })
			case "hang":
				s.later(250*ms, func() { s.ifComing(c, func() { s.refuse(c, ReasonTimedOut) }) })
			case "late":
				s.later(150*ms, func() { s.ifComing(c, func() { s.up(c) }) })
			default:
				s.later(ms/5, func() { s.ifComing(c, func() { s.up(c) }) })
			}
		case Write:
			s.went[q] = to
			end := func(d time.Duration, how string, do func()) {
				s.later(d, func() {
					if s.carries[c] == q {
						s.done[q] = how
						do()
					}
				})
			}
			switch s.mode[to] {
			case "silent":
				end(1500*ms, "late", func() { s.giveUp(q) })
			case "reset":
				end(ms, "reset", func() { s.breaks(c, ReasonReset) })
			case "slow":
				end(400*ms, "served", func() { s.answer(c, VerdictServed) })
			case "wrong":
				end(ms, "turned", func() { s.answer(c, VerdictRejected) })
			default:
				end(s.took, "served", func() { s.answer(c, VerdictServed) })
			}
		case Fail:
			s.done[q] = "failed"
		}
	}
	s.acts = s.acts[:0]
}

func (s *sim) ifComing(c Conn, do func()) {
	if slices.Contains(s.coming, c) {
		do()
	}
}

// run plays for a while with a request every so often; the class is safe for all but each
// third.
func (s *sim) run(d, every time.Duration, safe func(int) bool) {
	end := s.now + d
	next := s.now
	for n := 0; s.now < end; {
		at := min(end, s.b.Next(), next)
		for _, m := range s.mail {
			at = min(at, m.at)
		}
		s.now = max(s.now, at)
		if s.now >= end {
			return
		}
		fired := false
		for i, m := range s.mail {
			if m.at <= s.now {
				s.mail = slices.Delete(s.mail, i, i+1)
				m.do()
				s.obey()
				fired = true
				break
			}
		}
		if fired {
			continue
		}
		if s.now >= next {
			n++
			s.want(safe(n))
			next += every
		} else {
			s.do(Event{Kind: TimerFired})
		}
		s.obey()
	}
}

func (s *sim) tally() map[string]int {
	t := map[string]int{}
	for _, how := range s.done {
		t[how]++
	}
	return t
}

func always(int) bool   { return true }
func mostly(n int) bool { return n%3 != 0 }
func (s *sim) reset()   { clear(s.done); clear(s.conns); s.connects = nil }
