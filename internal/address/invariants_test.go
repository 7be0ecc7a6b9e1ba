package address

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// possibleEvents are the events that may happen next.
func (h *harness) possibleEvents() (out []string) {
	out = append(out, "queue", "queue non-idempotent", "short", "long")
	if len(h.connecting) > 0 {
		out = append(out, "connect", "fail", "hang", "no resource")
	}
	if len(h.connecting) > 1 {
		out = append(out, "connect last", "fail last")
	}
	if len(h.busy) > 0 {
		out = append(out, "respond", "reject", "reset", "unwritten", "give up")
	}
	if !h.draining {
		out = append(out, "drain")
	} else {
		out = append(out, "undrain")
	}
	return append(out, "list")
}

var testLists = [][]string{{unixAddr, ipv6Addr, ipv4Addr}, {ipv4Addr, unixAddr}, {ipv6Addr}}

// applyOption applies an event of options.
func (h *harness) applyOption(what string) {
	switch what {
	case "queue":
		h.queueRequest(true)
	case "queue non-idempotent":
		h.queueRequest(false)
	case "short":
		h.advanceTime(100 * ms)
	case "long":
		h.advanceTime(3 * time.Second)
	case "connect":
		h.connectionUp(h.connecting[0])
	case "connect last":
		h.connectionUp(h.connecting[len(h.connecting)-1])
	case "fail":
		h.connectFails(h.connecting[0], ReasonRefused)
	case "fail last":
		h.connectFails(h.connecting[len(h.connecting)-1], ReasonRefused)
	case "hang":
		h.connectFails(h.connecting[0], ReasonTimedOut)
	case "no resource":
		h.connectFails(h.connecting[0], ReasonNoResource)
	case "respond":
		h.respond(h.busy[0], VerdictServed)
	case "reject":
		h.respond(h.busy[0], VerdictRejected)
	case "reset":
		h.breakConn(h.busy[0], ReasonReset)
	case "unwritten":
		h.breakConn(h.busy[0], ReasonUnwritten)
	case "give up":
		h.cancelRequest(h.requestOn[h.busy[0]])
	case "drain":
		h.step(Event{Kind: DrainChanged, Draining: true})
	case "undrain":
		h.step(Event{Kind: DrainChanged})
	case "list":
		h.setAddresses(testLists[(int(h.lastRequest)+len(h.primaryChanges))%len(testLists)]...)
	}
}

// checkRates checks the invariants over time: connects in any duration, and returns.
func (h *harness) checkRates(settings Settings) error {
	for i := range h.connects {
		for j := i; j < len(h.connects); j++ {
			duration := h.connects[j] - h.connects[i]
			if bound := float64(settings.ConnectBurst) + settings.ConnectRate*duration.Seconds() + 1e-6; float64(j-i+1) > bound {
				return fmt.Errorf("%d connects in %v", j-i+1, duration)
			}
		}
	}
	lastReturn := time.Duration(-1)
	rank := func(a Addr) int {
		for i, x := range h.selector.Snapshot(nil) {
			if x.Addr == a {
				return i
			}
		}
		return -1
	}
	for _, change := range h.primaryChanges {
		if from, to := rank(change.from), rank(change.to); from < 0 || to < 0 || to > from {
			continue // to a less preferred address
		}
		if lastReturn >= 0 && change.at-lastReturn < settings.MinReturnDelay {
			return fmt.Errorf("returns at %v and %v", lastReturn, change.at)
		}
		lastReturn = change.at
	}
	return nil
}

// lowBoundSettings have low bounds, so that tests reach them.
func lowBoundSettings() Settings {
	s := Defaults()
	s.MaxConns, s.ConnectBurst, s.ConnectRate, s.MaxWaiting, s.MaxRejections, s.MinReturnConns = 4, 6, 5, 3, 2, 2
	return s
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := lowBoundSettings()
		h := newHarness(settings, threeAddresses...)
		fixed := rapid.Bool().Draw(t, "fixed list")
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			what := rapid.SampledFrom(h.possibleEvents()).Draw(t, "what")
			if fixed && what == "list" {
				continue
			}
			if h.applyOption(what); h.err != nil {
				t.Fatal(h.err)
			}
		}
		if err := h.checkRates(settings); err != nil {
			t.Fatal(err)
		}
		// Nothing waits once the owners of all requests have given up.
		for _, q := range slices.Sorted(maps.Keys(h.openRequests)) {
			if h.openRequests[q] {
				h.cancelRequest(q)
			}
		}
		if h.err != nil || h.selector.Waiting() != 0 || len(h.busy) != 0 {
			t.Fatal(h.err, h.selector.Waiting(), h.busy)
		}
	})
}

// While one address is usable, requests are served, whatever the faults before. Once all are, the most preferred one becomes
// the primary.
func TestUsableAddressIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(Defaults(), threeAddresses...)
		allModes := []string{"ok", "refused", "hang", "silent", "reset", "slow", "wrong"}
		for range rapid.IntRange(1, 6).Draw(t, "periods") {
			for _, a := range threeAddresses {
				s.modes[a] = rapid.SampledFrom(allModes).Draw(t, a)
			}
			s.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*ms, 20*ms, twoThirdsIdempotent)
		}
		usable := rapid.SampledFrom(threeAddresses).Draw(t, "usable")
		for _, a := range threeAddresses {
			if s.modes[a] = rapid.SampledFrom([]string{"refused", "hang", "silent"}).Draw(t, "others"); a == usable {
				s.modes[a] = "ok"
			}
		}
		s.run(25*time.Second, 20*ms, twoThirdsIdempotent) // backoffs end
		s.resetCounts()
		s.run(5*time.Second, 20*ms, twoThirdsIdempotent)
		if counts := s.outcomeCounts(); counts["served"] < 225 { // trials fail
			t.Fatalf("one address is usable: %v", counts)
		}
		for _, a := range threeAddresses {
			s.modes[a] = "ok"
		}
		s.run(150*time.Second, 50*ms, twoThirdsIdempotent)
		if s.err != nil {
			t.Fatal(s.err)
		}
		if p := s.selector.Primary().String(); p != unixAddr {
			t.Fatalf("primary %s: %+v", p, s.selector.Snapshot(nil))
		}
	})
}

// clone copies the harness with its selector, so that different events can follow the same state.
func (h *harness) clone() *harness {
	cloned := *h
	cloned.actions, cloned.connecting, cloned.busy = nil, slices.Clone(h.connecting), slices.Clone(h.busy)
	cloned.addrOf, cloned.requestOn, cloned.writes = maps.Clone(h.addrOf), maps.Clone(h.requestOn), maps.Clone(h.writes)
	cloned.failed, cloned.openRequests = maps.Clone(h.failed), maps.Clone(h.openRequests)
	cloned.connects, cloned.primaryChanges, cloned.logged = slices.Clone(h.connects), slices.Clone(h.primaryChanges), nil
	selector := *h.selector
	rng := *h.selector.rng
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
	selector.conns = slices.Clone(h.selector.conns)
	at := func(c *conn) *conn {
		if c == nil {
			return nil
		}
		return &selector.conns[int(c.id&0xffff)-1]
	}
	selector.entries = nil
	for _, e := range h.selector.entries {
		selector.entries = append(selector.entries, clonedEntry(e))
	}
	selector.races, selector.freeRaces = nil, nil
	for _, x := range h.selector.races {
		c := *x
		c.attempted = nil
		for _, e := range x.attempted {
			c.attempted = append(c.attempted, clonedEntry(e))
		}
		races[x] = &c
		selector.races = append(selector.races, &c)
	}
	for i := range selector.conns {
		if c := &selector.conns[i]; c.phase != unused {
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
	selector.primary = clonedEntry(h.selector.primary)
	selector.freeSlots, selector.waiting = slices.Clone(h.selector.freeSlots), slices.Clone(h.selector.waiting)
	cloned.selector = &selector
	return &cloned
}

// digest is the part of the state that later events depend on. Times are relative to now.
func (h *harness) digest() string {
	selector := h.selector
	text := fmt.Sprint(h.draining, len(selector.waiting), selector.maxUnproven, int(selector.connectTokens*4), selector.Primary(), len(selector.races), selector.earliestReturn > h.now, selector.nextDownTrial > h.now)
	for _, e := range selector.entries {
		text += fmt.Sprint("|", e.Addr, e.state, e.onProbation, e.connectsFail, len(e.idle), e.failures, e.timelyConns, e.rejectionsInRow, e.breaksInRow, e.backoffUntil > h.now, e.trialConn != nil)
	}
	for _, x := range selector.races {
		text += fmt.Sprint("/", x.connecting, len(x.attempted), x.stopped, x.nextConnect > h.now)
	}
	for _, c := range append(slices.Clone(h.connecting), h.busy...) {
		x := selector.connByID(c)
		text += fmt.Sprint(",", x.entry.Addr, x.phase, x.trial, x.anyRequest, x.unproven, x.silenceCounted, h.now-x.since, x.entry.lastResponse < x.since)
	}
	for _, w := range selector.waiting {
		text += fmt.Sprint(w.idempotent)
	}
	return text
}

const explorationDepth = 7 // events

// Every order of explorationDepth events for three addresses. States of the same digest are continued once.
func TestInvariantsInEveryEventOrder(t *testing.T) {
	settings := lowBoundSettings()
	seen := map[string]bool{}
	level := []*harness{newHarness(settings, threeAddresses...)}
	states, steps := 1, 0
	for depth := range explorationDepth {
		var next []*harness
		for _, r := range level {
			for _, what := range r.possibleEvents() {
				n := r.clone()
				n.applyOption(what)
				steps++
				err := n.err
				if err == nil {
					err = n.checkRates(settings)
				}
				if err != nil {
					t.Fatalf("depth %d, %s: %v", depth+1, what, err)
				}
				if k := n.digest(); !seen[k] {
					seen[k] = true
					states++
					if depth+1 < explorationDepth {
						next = append(next, n)
					}
				}
			}
		}
		level = next
	}
	t.Logf("depth %d: %d states, %d steps", explorationDepth, states, steps)
}

// BenchmarkPick is a request by an idle connection, and its response.
func BenchmarkPick(b *testing.B) {
	selector, err := New(Defaults(), 1)
	if err != nil {
		b.Fatal(err)
	}
	list, _ := ParseList(threeAddresses)
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
