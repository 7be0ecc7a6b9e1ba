package address

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// possibleEvents returns the events that may happen next.
func (h *harness) possibleEvents() (events []string) {
	events = append(events, "idempotent request", "non-idempotent request", "100 ms pass", "3 s pass")
	if len(h.connecting) > 0 {
		events = append(events, "connected", "refused", "connect timeout", "no resource")
	}
	if len(h.connecting) > 1 {
		events = append(events, "last connected", "last refused")
	}
	if len(h.busy) > 0 {
		events = append(events, "served", "served, then rests", "rejected", "reset", "unwritten", "cancelled")
	}
	if len(h.resting) > 0 {
		events = append(events, "rest ends", "closed while it rests")
	}
	if !h.draining {
		events = append(events, "drain begins")
	} else {
		events = append(events, "drain ends")
	}
	return append(events, "list changed")
}

var testLists = [][]string{{unixAddr, ipv6Addr, ipv4Addr}, {ipv4Addr, unixAddr}, {ipv6Addr}}

// applyEvent applies an event that possibleEvents returned. Events of connects and of busy connections concern the first of them,
// unless they name the last.
func (h *harness) applyEvent(event string) {
	switch event {
	case "idempotent request":
		h.queueRequest(true)
	case "non-idempotent request":
		h.queueRequest(false)
	case "100 ms pass":
		h.advanceTime(100 * ms)
	case "3 s pass":
		h.advanceTime(3 * time.Second)
	case "connected":
		h.establish(h.connecting[0])
	case "last connected":
		h.establish(h.connecting[len(h.connecting)-1])
	case "refused":
		h.failConnect(h.connecting[0], ReasonRefused)
	case "last refused":
		h.failConnect(h.connecting[len(h.connecting)-1], ReasonRefused)
	case "connect timeout":
		h.failConnect(h.connecting[0], ReasonTimedOut)
	case "no resource":
		h.failConnect(h.connecting[0], ReasonNoResource)
	case "served":
		h.respond(h.busy[0], VerdictServed)
	case "served, then rests":
		h.respondAndRest(h.busy[0])
	case "rest ends":
		h.endRest(h.resting[0], ConnRested)
	case "closed while it rests":
		h.endRest(h.resting[0], IdleConnClosed)
	case "rejected":
		h.respond(h.busy[0], VerdictRejected)
	case "reset":
		h.breakConn(h.busy[0], ReasonReset)
	case "unwritten":
		h.breakConn(h.busy[0], ReasonUnwritten)
	case "cancelled":
		h.cancelRequest(h.requestOn[h.busy[0]])
	case "drain begins":
		h.step(Event{Kind: DrainChanged, Draining: true})
	case "drain ends":
		h.step(Event{Kind: DrainChanged})
	case "list changed":
		h.setAddresses(testLists[(int(h.lastRequest)+len(h.primaryChanges))%len(testLists)]...)
	}
}

// checkRates checks the invariants over time: the number of connects in any duration, and the time between two returns of the primary
// to a more preferred address.
func (h *harness) checkRates(settings Settings) error {
	for i := range h.connects {
		for j := i; j < len(h.connects); j++ {
			duration := h.connects[j] - h.connects[i]
			if bound := float64(settings.ConnectBurst) + settings.ConnectRate*duration.Seconds() + 1e-6; float64(j-i+1) > bound {
				return fmt.Errorf("%d connects in %v, more than ConnectBurst and ConnectRate allow", j-i+1, duration)
			}
		}
	}
	lastReturn := time.Duration(-1)
	rank := func(a Addr) int {
		for i, x := range h.selector.AppendStatus(nil) {
			if x.Addr == a {
				return i
			}
		}
		return -1
	}
	for _, change := range h.primaryChanges {
		if from, to := rank(change.from), rank(change.to); from < 0 || to < 0 || to > from {
			continue // a change to a less preferred address is no return
		}
		if lastReturn >= 0 && change.at-lastReturn < settings.MinReturnDelay {
			return fmt.Errorf("the primary returned at %v and %v, within MinReturnDelay", lastReturn, change.at)
		}
		lastReturn = change.at
	}
	return nil
}

// lowBoundSettings returns settings with low bounds, so that tests reach them.
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
			event := rapid.SampledFrom(h.possibleEvents()).Draw(t, "event")
			if fixed && event == "list changed" {
				continue
			}
			if h.applyEvent(event); h.violation != nil {
				t.Fatal(h.violation)
			}
		}
		if err := h.checkRates(settings); err != nil {
			t.Fatal(err)
		}
		// Nothing waits once all requests are cancelled.
		for _, q := range slices.Sorted(maps.Keys(h.openRequests)) {
			if h.openRequests[q] {
				h.cancelRequest(q)
			}
		}
		if h.violation != nil || h.selector.Waiting() != 0 || len(h.busy) != 0 {
			t.Fatal(h.violation, h.selector.Waiting(), h.busy)
		}
	})
}

// While one address is usable, requests are served, whatever faults preceded. Once all addresses are usable, the most
// preferred one becomes the primary.
func TestUsableAddressIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(Defaults(), threeAddresses...)
		allModes := []string{"ok", "refused", "hang", "silent", "reset", "slow", "rejects"}
		for range rapid.IntRange(1, 6).Draw(t, "periods") {
			for _, a := range threeAddresses {
				s.modes[a] = rapid.SampledFrom(allModes).Draw(t, a)
			}
			s.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "duration in ms"))*ms, 20*ms, twoThirdsIdempotent)
		}
		usable := rapid.SampledFrom(threeAddresses).Draw(t, "usable")
		for _, a := range threeAddresses {
			if s.modes[a] = rapid.SampledFrom([]string{"refused", "hang", "silent"}).Draw(t, "mode of the others"); a == usable {
				s.modes[a] = "ok"
			}
		}
		s.run(25*time.Second, 20*ms, twoThirdsIdempotent) // until the backoffs have ended
		s.resetCounts()
		s.run(5*time.Second, 20*ms, twoThirdsIdempotent)
		if counts := s.outcomeCounts(); counts["served"] < 225 { // of 250; the requests of trials fail
			t.Fatalf("outcomes while one address is usable: %v, want at least 225 served", counts)
		}
		for _, a := range threeAddresses {
			s.modes[a] = "ok"
		}
		s.run(150*time.Second, 50*ms, twoThirdsIdempotent)
		if s.violation != nil {
			t.Fatal(s.violation)
		}
		if p := s.selector.Primary().String(); p != unixAddr {
			t.Fatalf("the primary is %s, although all addresses are usable: %+v", p, s.selector.AppendStatus(nil))
		}
	})
}

// clone copies the harness with its selector, so that different events can be applied to the same state.
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
	clonedConn := func(c *conn) *conn {
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
		e.trialConn = clonedConn(e.trialConn)
		idle := e.idle
		e.idle = nil
		for _, c := range idle {
			e.idle = append(e.idle, clonedConn(c))
		}
	}
	selector.primary = clonedEntry(h.selector.primary)
	selector.freeSlots, selector.waiting = slices.Clone(h.selector.freeSlots), slices.Clone(h.selector.waiting)
	cloned.selector = &selector
	return &cloned
}

// digest returns the part of the state that affects later events. Times are relative to now.
func (h *harness) digest() string {
	selector := h.selector
	text := fmt.Sprint(h.draining, len(selector.waiting), selector.maxUnproven, int(selector.connectTokens*4), selector.Primary(), len(selector.races), selector.earliestReturn > h.now, selector.nextDownTrial > h.now)
	for _, e := range selector.entries {
		text += fmt.Sprint("|", e.Addr, e.state, e.onProbation, e.onlyConnectsFail, len(e.idle), e.failures, e.timelyConns, e.rejectionsInRow, e.breaksInRow, e.backoffUntil > h.now, e.trialConn != nil)
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

// The test applies every sequence of explorationDepth events to three addresses. Of several states with the same digest, it
// continues only one.
func TestInvariantsInEveryOrder(t *testing.T) {
	settings := lowBoundSettings()
	seen := map[string]bool{}
	level := []*harness{newHarness(settings, threeAddresses...)}
	states, steps := 1, 0
	for depth := range explorationDepth {
		var nextLevel []*harness
		for _, h := range level {
			for _, event := range h.possibleEvents() {
				next := h.clone()
				next.applyEvent(event)
				steps++
				err := next.violation
				if err == nil {
					err = next.checkRates(settings)
				}
				if err != nil {
					t.Fatalf("depth %d, %s: %v", depth+1, event, err)
				}
				if k := next.digest(); !seen[k] {
					seen[k] = true
					states++
					if depth+1 < explorationDepth {
						nextLevel = append(nextLevel, next)
					}
				}
			}
		}
		level = nextLevel
	}
	t.Logf("depth %d: %d states, %d steps", explorationDepth, states, steps)
}

// BenchmarkPick measures a request on an idle connection with its response.
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
		t.Errorf("%d allocations per request, want 0", r.AllocsPerOp())
	}
}
