package address

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// options are the events that may happen next.
func (r *harness) options() (out []string) {
	out = append(out, "queue", "queue non-idempotent", "short", "long")
	if len(r.connecting) > 0 {
		out = append(out, "connect", "fail", "hang", "no resource")
	}
	if len(r.connecting) > 1 {
		out = append(out, "connect last", "fail last")
	}
	if len(r.busy) > 0 {
		out = append(out, "respond", "reject", "reset", "unwritten", "give up")
	}
	if !r.draining {
		out = append(out, "drain")
	} else {
		out = append(out, "undrain")
	}
	return append(out, "list")
}

var lists = [][]string{{unixA, six, four}, {four, unixA}, {six}}

// play applies an event of options.
func (r *harness) play(what string) {
	switch what {
	case "queue":
		r.queueRequest(true)
	case "queue non-idempotent":
		r.queueRequest(false)
	case "short":
		r.pass(100 * ms)
	case "long":
		r.pass(3 * time.Second)
	case "connect":
		r.connectionUp(r.connecting[0])
	case "connect last":
		r.connectionUp(r.connecting[len(r.connecting)-1])
	case "fail":
		r.connectFails(r.connecting[0], ReasonRefused)
	case "fail last":
		r.connectFails(r.connecting[len(r.connecting)-1], ReasonRefused)
	case "hang":
		r.connectFails(r.connecting[0], ReasonTimedOut)
	case "no resource":
		r.connectFails(r.connecting[0], ReasonNoResource)
	case "respond":
		r.respond(r.busy[0], VerdictServed)
	case "reject":
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

// bounded checks the invariants over time: connects in any duration, and returns.
func (r *harness) bounded(set Settings) error {
	for i := range r.connects {
		for j := i; j < len(r.connects); j++ {
			duration := r.connects[j] - r.connects[i]
			if bound := float64(set.ConnectBurst) + set.ConnectRate*duration.Seconds() + 1e-6; float64(j-i+1) > bound {
				return fmt.Errorf("%d connects in %v", j-i+1, duration)
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
			continue // to a less preferred address
		}
		if last >= 0 && m.at-last < set.MinReturnDelay {
			return fmt.Errorf("returns at %v and %v", last, m.at)
		}
		last = m.at
	}
	return nil
}

// smallSettings have low bounds, so that tests reach them.
func smallSettings() Settings {
	s := Defaults()
	s.MaxConns, s.ConnectBurst, s.ConnectRate, s.MaxWaiting, s.MaxRejections, s.MinReturnConns = 4, 6, 5, 3, 2, 2
	return s
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := smallSettings()
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
		// Nothing waits once the owners of all requests have given up.
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

// While one address is usable, requests are served, whatever the faults before. Once all are, the most preferred one becomes
// the primary.
func TestUsableAddressIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(Defaults(), three...)
		modes := []string{"ok", "refused", "hang", "silent", "reset", "slow", "wrong"}
		for range rapid.IntRange(1, 6).Draw(t, "periods") {
			for _, a := range three {
				s.mode[a] = rapid.SampledFrom(modes).Draw(t, a)
			}
			s.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*ms, 20*ms, mostly)
		}
		usable := rapid.SampledFrom(three).Draw(t, "usable")
		for _, a := range three {
			if s.mode[a] = rapid.SampledFrom([]string{"refused", "hang", "silent"}).Draw(t, "others"); a == usable {
				s.mode[a] = "ok"
			}
		}
		s.run(25*time.Second, 20*ms, mostly) // backoffs end
		s.reset()
		s.run(5*time.Second, 20*ms, mostly)
		if tally := s.outcomeCounts(); tally["served"] < 225 { // trials fail
			t.Fatalf("one address is usable: %v", tally)
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

// clone copies the harness with its selector, so that different events can follow the same state.
func (r *harness) clone() *harness {
	n := *r
	n.actions, n.connecting, n.busy = nil, slices.Clone(r.connecting), slices.Clone(r.busy)
	n.addrOf, n.requestOn, n.writes = maps.Clone(r.addrOf), maps.Clone(r.requestOn), maps.Clone(r.writes)
	n.failed, n.openRequests = maps.Clone(r.failed), maps.Clone(r.openRequests)
	n.connects, n.primaryChanges, n.logged = slices.Clone(r.connects), slices.Clone(r.primaryChanges), nil
	selector := *r.selector
	rng := *r.selector.rng
	selector.rng = &rng
	entries, races := map[*entry]*entry{}, map[*race]*race{}
	clonedEntry := func(e *entry) *entry {
		if e == nil {
			return nil
		}
		if entries[e] == nil {
			c := *e
			entries[e] = &c
		}
		return entries[e]
	}
	selector.conns = slices.Clone(r.selector.conns)
	at := func(c *conn) *conn {
		if c == nil {
			return nil
		}
		return &selector.conns[int(c.id&0xffff)-1]
	}
	selector.entries = nil
	for _, e := range r.selector.entries {
		selector.entries = append(selector.entries, clonedEntry(e))
	}
	selector.races, selector.freeRaces = nil, nil
	for _, x := range r.selector.races {
		c := *x
		c.attempted = nil
		for _, e := range x.attempted {
			c.attempted = append(c.attempted, clonedEntry(e))
		}
		races[x] = &c
		selector.races = append(selector.races, &c)
	}
	for i := range selector.conns {
		if c := &selector.conns[i]; c.phase != none {
			c.entry, c.race = clonedEntry(c.entry), races[c.race]
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
	selector.primary = clonedEntry(r.selector.primary)
	selector.freeSlots, selector.waiting = slices.Clone(r.selector.freeSlots), slices.Clone(r.selector.waiting)
	n.selector = &selector
	return &n
}

// digest is the part of the state that later events depend on. Times are relative to now.
func (r *harness) digest() string {
	selector := r.selector
	s := fmt.Sprint(r.draining, len(selector.waiting), selector.maxUnproven, int(selector.connectTokens*4), selector.Primary(), len(selector.races), selector.earliestReturn > r.now, selector.nextDownTrial > r.now)
	for _, e := range selector.entries {
		s += fmt.Sprint("|", e.Addr, e.state, e.onProbation, e.connectsFail, len(e.idle), e.failures, e.timelyConns, e.rejectionsInRow, e.breaksInRow, e.backoffUntil > r.now, e.trialConn != nil)
	}
	for _, x := range selector.races {
		s += fmt.Sprint("/", x.connecting, len(x.attempted), x.stopped, x.nextConnect > r.now)
	}
	for _, c := range append(slices.Clone(r.connecting), r.busy...) {
		x := selector.connByID(c)
		s += fmt.Sprint(",", x.entry.Addr, x.phase, x.trial, x.anyRequest, x.unproven, x.silenceCounted, r.now-x.since, x.entry.lastResponse < x.since)
	}
	for _, w := range selector.waiting {
		s += fmt.Sprint(w.idempotent)
	}
	return s
}

const walkDepth = 7 // events

// Every order of walkDepth events for three addresses. States of the same digest are continued once.
func TestInvariantsInEveryOrder(t *testing.T) {
	set := smallSettings()
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
				if k := n.digest(); !seen[k] {
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

// BenchmarkPick is a request by an idle connection, and its response.
func BenchmarkPick(b *testing.B) {
	selector, err := New(Defaults(), 1)
	if err != nil {
		b.Fatal(err)
	}
	list, _ := ParseList(three)
	actions := selector.Step(0, Event{Kind: AddressesChanged, Addrs: list}, nil)
	actions = selector.Step(0, Event{Kind: RequestQueued, Req: 1, Idempotent: true, NamesShard: true}, actions[:0])
	c := actions[0].Conn
	selector.Step(0, Event{Kind: Connected, Conn: c}, actions[:0])
	selector.Step(ms, Event{Kind: ResponseReceived, Conn: c, KeepAlive: true}, actions[:0])
	now := ms
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		actions = selector.Step(now, Event{Kind: RequestQueued, Req: Req(i + 2), Idempotent: true, NamesShard: true}, actions[:0])
		actions = selector.Step(now+ms/2, Event{Kind: ResponseReceived, Conn: actions[0].Conn, KeepAlive: true}, actions[:0])
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	r := testing.Benchmark(BenchmarkPick)
	if r.AllocsPerOp() != 0 {
		t.Errorf("%d allocations a request", r.AllocsPerOp())
	}
}
