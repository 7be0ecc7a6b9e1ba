package address

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// moves are what may happen next in a small world, for the machine and the walk alike.
func (r *harness) options() (out []string) {
	out = append(out, "want", "want unsafe", "short", "long")
	if len(r.connecting) > 0 {
		out = append(out, "up", "refuse", "hang", "no resource")
	}
	if len(r.connecting) > 1 {
		out = append(out, "up last", "refuse last")
	}
	if len(r.busy) > 0 {
		out = append(out, "answer", "turned", "reset", "unwritten", "give up")
	}
	if !r.draining {
		out = append(out, "drain")
	} else {
		out = append(out, "undrain")
	}
	return append(out, "list")
}

var lists = [][]string{{unixA, six, four}, {four, unixA}, {six}}

func (r *harness) play(what string) {
	switch what {
	case "want":
		r.queueRequest(true)
	case "want unsafe":
		r.queueRequest(false)
	case "short":
		r.pass(100 * ms)
	case "long":
		r.pass(3 * time.Second)
	case "up":
		r.connectionUp(r.connecting[0])
	case "up last":
		r.connectionUp(r.connecting[len(r.connecting)-1])
	case "refuse":
		r.connectFails(r.connecting[0], ReasonRefused)
	case "refuse last":
		r.connectFails(r.connecting[len(r.connecting)-1], ReasonRefused)
	case "hang":
		r.connectFails(r.connecting[0], ReasonTimedOut)
	case "no resource":
		r.connectFails(r.connecting[0], ReasonNoResource)
	case "answer":
		r.respond(r.busy[0], VerdictServed)
	case "turned":
		r.respond(r.busy[0], VerdictRejected)
	case "reset":
		r.breakConn(r.busy[0], ReasonReset)
	case "unwritten":
		r.breakConn(r.busy[0], ReasonUnwritten)
	case "give up":
		r.giveUp(r.requestOn[r.busy[0]])
	case "drain":
		r.step(Event{Kind: DrainChanged, Draining: true})
	case "undrain":
		r.step(Event{Kind: DrainChanged})
	case "list":
		r.setAddresses(lists[(int(r.lastRequest)+len(r.primaryChanges))%len(lists)]...)
	}
}

// bounded checks the invariants over time: connects in any span, and returns.
func (r *harness) bounded(set Settings) error {
	for i := range r.connects {
		for j := i; j < len(r.connects); j++ {
			span := r.connects[j] - r.connects[i]
			if most := float64(set.ConnectBurst) + set.ConnectRate*span.Seconds() + 1e-6; float64(j-i+1) > most {
				return fmt.Errorf("%d connects in %v", j-i+1, span)
			}
		}
	}
	last := time.Duration(-1)
	rank := func(a Addr) int {
		for i, x := range r.selector.Snapshot(nil) {
			if x.Addr == a {
				return i
			}
		}
		return -1
	}
	for _, m := range r.primaryChanges {
		if from, to := rank(m.from), rank(m.to); from < 0 || to < 0 || to > from {
			continue // a fall
		}
		if last >= 0 && m.at-last < set.MinReturnDelay {
			return fmt.Errorf("moves home at %v and %v", last, m.at)
		}
		last = m.at
	}
	return nil
}

func small() Settings {
	s := Defaults()
	s.MaxConns, s.ConnectBurst, s.ConnectRate, s.MaxWaiting, s.MaxRejections, s.MinReturnConns = 4, 6, 5, 3, 2, 2
	return s
}

// Any events in any order keep the invariants.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := small()
		r := newHarness(set, three...)
		fixed := rapid.Bool().Draw(t, "fixed list")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			what := rapid.SampledFrom(r.options()).Draw(t, "what")
			if fixed && what == "list" {
				continue
			}
			if r.play(what); r.err != nil {
				t.Fatal(r.err)
			}
		}
		if err := r.bounded(set); err != nil {
			t.Fatal(err)
		}
		// All that waits comes to an end once its owners give up.
		for _, q := range slices.Sorted(maps.Keys(r.openRequests)) {
			if r.openRequests[q] {
				r.giveUp(q)
			}
		}
		if r.err != nil || r.selector.Waiting() != 0 || len(r.busy) != 0 {
			t.Fatal(r.err, r.selector.Waiting(), r.busy)
		}
	})
}

// Whatever the faults and their order, once all addresses are good again the most preferred one
// is primary in the end, and while one is good requests are served.
func TestNoneStarved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(Defaults(), three...)
		modes := []string{"ok", "refused", "hang", "silent", "reset", "slow", "wrong"}
		for range rapid.IntRange(1, 6).Draw(t, "spells") {
			for _, a := range three {
				s.mode[a] = rapid.SampledFrom(modes).Draw(t, a)
			}
			s.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*ms, 20*ms, mostly)
		}
		good := rapid.SampledFrom(three).Draw(t, "good one")
		for _, a := range three {
			if s.mode[a] = rapid.SampledFrom([]string{"refused", "hang", "silent"}).Draw(t, "others"); a == good {
				s.mode[a] = "ok"
			}
		}
		s.run(25*time.Second, 20*ms, mostly) // back-offs run out
		s.reset()
		s.run(5*time.Second, 20*ms, mostly)
		if tally := s.outcomeCounts(); tally["served"] < 225 { // trials are caught
			t.Fatalf("one address is good: %v", tally)
		}
		for _, a := range three {
			s.mode[a] = "ok"
		}
		s.run(150*time.Second, 50*ms, mostly)
		if s.err != nil {
			t.Fatal(s.err)
		}
		if p := s.selector.Primary().String(); p != unixA {
			t.Fatalf("primary %s: %+v", p, s.selector.Snapshot(nil))
		}
	})
}

// clone copies a rig with its book, so that a walk can take each way from one state.
func (r *harness) clone() *harness {
	n := *r
	n.actions, n.connecting, n.busy = nil, slices.Clone(r.connecting), slices.Clone(r.busy)
	n.addrOf, n.requestOn, n.writes = maps.Clone(r.addrOf), maps.Clone(r.requestOn), maps.Clone(r.writes)
	n.failed, n.openRequests = maps.Clone(r.failed), maps.Clone(r.openRequests)
	n.connects, n.primaryChanges, n.logged = slices.Clone(r.connects), slices.Clone(r.primaryChanges), nil
	b := *r.selector
	rng := *r.selector.rng
	b.rng = &rng
	entries, races := map[*entry]*entry{}, map[*race]*race{}
	copyOf := func(e *entry) *entry {
		if e == nil {
			return nil
		}
		if entries[e] == nil {
			c := *e
			entries[e] = &c
		}
		return entries[e]
	}
	b.conns = slices.Clone(r.selector.conns)
	at := func(c *conn) *conn {
		if c == nil {
			return nil
		}
		return &b.conns[int(c.id&0xffff)-1]
	}
	b.entries = nil
	for _, e := range r.selector.entries {
		b.entries = append(b.entries, copyOf(e))
	}
	b.races, b.freeRaces = nil, nil
	for _, x := range r.selector.races {
		c := *x
		c.attempted = nil
		for _, e := range x.attempted {
			c.attempted = append(c.attempted, copyOf(e))
		}
		races[x] = &c
		b.races = append(b.races, &c)
	}
	for i := range b.conns {
		if c := &b.conns[i]; c.phase != none {
			c.entry, c.race = copyOf(c.entry), races[c.race]
		}
	}
	for _, e := range entries {
		e.trialConn = at(e.trialConn)
		idle := e.idle
		e.idle = nil
		for _, c := range idle {
			e.idle = append(e.idle, at(c))
		}
	}
	b.primary = copyOf(r.selector.primary)
	b.freeSlots, b.waiting = slices.Clone(r.selector.freeSlots), slices.Clone(r.selector.waiting)
	n.selector = &b
	return &n
}

// sum is what of a state matters to what may follow: times count from now.
func (r *harness) sum() string {
	b := r.selector
	s := fmt.Sprint(r.draining, len(b.waiting), b.maxUnproven, int(b.connectTokens*4), b.Primary(), len(b.races), b.earliestReturn > r.now, b.nextDownTrial > r.now)
	for _, e := range b.entries {
		s += fmt.Sprint("|", e.Addr, e.state, e.onProbation, e.connectsFail, len(e.idle), e.failures, e.timelyConns, e.rejectionsInRow, e.breaksInRow, e.backoffUntil > r.now, e.trialConn != nil)
	}
	for _, x := range b.races {
		s += fmt.Sprint("/", x.connecting, len(x.attempted), x.stopped, x.nextConnect > r.now)
	}
	for _, c := range append(slices.Clone(r.connecting), r.busy...) {
		x := b.connByID(c)
		s += fmt.Sprint(",", x.entry.Addr, x.phase, x.trial, x.anyRequest, x.unproven, x.silenceCounted, r.now-x.since, x.entry.lastResponse < x.since)
	}
	for _, w := range b.waiting {
		s += fmt.Sprint(w.idempotent)
	}
	return s
}

const walkDepth = 7

// Every order of events for three addresses, to a depth; states that do not differ in what may
// follow are walked once.
func TestWalk(t *testing.T) {
	set := small()
	seen := map[string]bool{}
	level := []*harness{newHarness(set, three...)}
	states, steps := 1, 0
	for depth := range walkDepth {
		var next []*harness
		for _, r := range level {
			for _, what := range r.options() {
				n := r.clone()
				n.play(what)
				steps++
				err := n.err
				if err == nil {
					err = n.bounded(set)
				}
				if err != nil {
					t.Fatalf("depth %d, %s: %v", depth+1, what, err)
				}
				if k := n.sum(); !seen[k] {
					seen[k] = true
					states++
					if depth+1 < walkDepth {
						next = append(next, n)
					}
				}
			}
		}
		level = next
	}
	t.Logf("depth %d: %d states, %d steps", walkDepth, states, steps)
}

// BenchmarkPick is a request by a kept connection and its answer.
func BenchmarkPick(b *testing.B) {
	book, err := New(Defaults(), 1)
	if err != nil {
		b.Fatal(err)
	}
	list, _ := ParseList(three)
	acts := book.Step(0, Event{Kind: AddressesChanged, Addrs: list}, nil)
	acts = book.Step(0, Event{Kind: RequestQueued, Req: 1, Idempotent: true, NamesShard: true}, acts[:0])
	c := acts[0].Conn
	book.Step(0, Event{Kind: Connected, Conn: c}, acts[:0])
	book.Step(ms, Event{Kind: ResponseReceived, Conn: c, KeepAlive: true}, acts[:0])
	now := ms
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		acts = book.Step(now, Event{Kind: RequestQueued, Req: Req(i + 2), Idempotent: true, NamesShard: true}, acts[:0])
		acts = book.Step(now+ms/2, Event{Kind: ResponseReceived, Conn: acts[0].Conn, KeepAlive: true}, acts[:0])
	}
}

// TestPickAllocates: picking an address costs no allocation.
func TestPickAllocates(t *testing.T) {
	r := testing.Benchmark(BenchmarkPick)
	if r.AllocsPerOp() != 0 {
		t.Errorf("%d allocations a request", r.AllocsPerOp())
	}
}
