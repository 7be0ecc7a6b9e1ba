package coldstart

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

func testSettings(hosts int, name string, priced bool) Settings {
	return Settings{Schedulers: hosts, Name: name, ListCallsPriced: priced, MaxListCallsPerSecond: 100, SlowStartUnits: 39, OverloadWindow: 3 * time.Second,
		SlowStartDuration: 17 * time.Second, LatencyObjective: 400 * ms, Preconnects: 3}
}

var testList = []Node{{ID: "a"}, {ID: "b", StartTime: 7, StartedAt: -time.Hour}, {ID: "c", StartTime: 9, StartedAt: -time.Second}}

// run drives one start by a script of events (nil: time alone), with a Tick where SetTimer asks for one,
// and gives back what was done and when.
type done struct {
	at time.Duration
	a  Action
}

func run(t *testing.T, s *Startup, until time.Duration, script map[time.Duration]Event) (all []done) {
	t.Helper()
	wake := time.Duration(-1)
	for now := time.Duration(0); now <= until; now += 10 * ms {
		step := func(e Event) {
			for _, a := range s.Step(now, e) {
				if w, ok := a.(SetTimer); ok {
					wake = w.At
					continue
				}
				all = append(all, done{now, a})
			}
		}
		if e, ok := script[now]; ok {
			step(e)
		}
		if wake >= 0 && now >= wake {
			wake = -1
			step(TimerFired{})
		}
	}
	return all
}

func find[A Action](all []done) (found []done) {
	for _, d := range all {
		if _, ok := d.a.(A); ok {
			found = append(found, d)
		}
	}
	return found
}

// The ordinary ways: priced with a held list, pushed with one, and with nothing known.
func TestStartWithAndWithoutCachedList(t *testing.T) {
	s, _ := New(testSettings(300, "h", true))
	all := run(t, s, 25*time.Second, map[time.Duration]Event{0: Started{testList, []Node{{ID: "b", StartTime: 7}, {ID: "c", StartTime: 8}}},
		2500 * ms: ListReceived{testList}, 2600 * ms: RequestServed{"a"}})
	if use := find[UseCachedList](all); len(use) != 1 || use[0].at != 0 {
		t.Errorf("held list in use: %v", use)
	}
	if r := find[Restore](all); len(r) != 1 || r[0].a.(Restore).Node != "b" {
		t.Errorf("recalled: %v", r)
	}
	if w := find[LiftColdLimit](all); len(w) != 3 {
		t.Errorf("warm: %v", w)
	}
	if c := find[Connect](all); len(c) == 0 || c[len(c)-1].a.(Connect).Node == "a" {
		t.Errorf("connects: %v", c)
	}
	if ready := find[ReportReady](all); len(ready) != 1 || ready[0].at != readyDelay || s.Phase() != Serving {
		t.Errorf("ready: %v, phase %v", ready, s.Phase())
	}

	// A snapshot that is handed over: before the list it waits for it, after it what still holds is recalled,
	// and connections are opened ahead from then on. A peer's word of a later start keeps one from it.
	for at, want := range map[time.Duration]string{500 * ms: "[b]", 3 * time.Second: "[b]"} {
		s, _ = New(testSettings(300, "h", true))
		all = run(t, s, 25*time.Second, map[time.Duration]Event{0: Started{CachedList: testList}, at: SnapshotReceived{[]Node{{ID: "b", StartTime: 7}, {ID: "c", StartTime: 8}, {ID: "x"}}},
			600 * ms: PeerReported{Node{ID: "c", StartTime: 9}}, 700 * ms: PeerReported{Node{ID: "a"}}, 2500 * ms: ListReceived{testList}, 4 * time.Second: SnapshotReceived{[]Node{{ID: "a"}}}})
		var recalled, opened []string
		for _, d := range find[Restore](all) {
			recalled = append(recalled, d.a.(Restore).Node)
		}
		for _, d := range find[Connect](all) {
			if opened = append(opened, d.a.(Connect).Node); d.at < at {
				t.Errorf("opened at %v, given at %v", d.at, at)
			}
		}
		if fmt.Sprint(recalled) != want || slices.Contains(opened, "c") || !slices.Contains(opened, "b") {
			t.Errorf("given at %v: recalled %v, opened %v", at, recalled, opened)
		}
		if w := find[LiftColdLimit](all); len(w) != 3 || w[0].at != 2500*ms {
			t.Errorf("warm: %v", w)
		}
	}

	s, _ = New(testSettings(300, "h", false)) // pushed: asked at once, nothing is sent before it or a second
	all = run(t, s, time.Second, map[time.Duration]Event{0: Started{CachedList: testList}, 100 * ms: ListRequestFailed{}, 120 * ms: RequestArrived{"a"}})
	if ask := find[RequestList](all); len(ask) < 2 || ask[0].at != 0 || ask[1].at > 100*ms+listRequestInterval*3/2+10*ms {
		t.Errorf("asked: %v", ask)
	}
	if use := find[UseCachedList](all); len(use) != 1 || use[0].at != cachedListDelay || len(find[Reject](all)) != 1 {
		t.Errorf("%v", all)
	}

	s, _ = New(testSettings(300, "h", true))
	all = run(t, s, 7*time.Second, map[time.Duration]Event{0: Started{}})
	if ready := find[ReportReady](all); len(ready) != 1 || ready[0].at != s.settings.ReadyDeadline() || s.Phase() != NoList {
		t.Errorf("%v, phase %v", all, s.Phase())
	}
	_, err := New(Settings{Schedulers: 3, SlowStartUnits: math.NaN()})
	var c operr.Coded
	if !errors.As(err, &c) || c.Code() != "coldstart-setting" {
		t.Error(err)
	}
}

// fleet says what is wrong with the slots and parts of a fleet of that size with the rule lost.
func fleet(hosts int, priced bool, lost loss) error {
	calls, parts := map[int]int{}, 0.0
	span := time.Duration(0)
	for i := range hosts {
		s, err := New(testSettings(hosts, fmt.Sprintf("sched-%03d", i), priced))
		if err != nil {
			return err
		}
		s.loss = lost
		span = s.settings.ListCallSpread()
		for _, a := range s.Step(0, Started{CachedList: testList}) {
			if p, ok := a.(LimitColdNode); ok && p.Node == "a" {
				parts += p.Units
			}
		}
		if s.nextListRequest > time.Duration(stalenessBoundShare*float64(s.settings.StalenessBound)) {
			return fmt.Errorf("told: the first call comes after %v", s.nextListRequest)
		}
		calls[int(s.nextListRequest/time.Second)]++
	}
	if parts > 39*(1+1e-9) {
		return fmt.Errorf("parts: they sum to %v of 39", parts)
	}
	for sec, n := range calls {
		if seconds := span.Seconds(); priced && seconds > 2 && float64(n) > 2*float64(hosts)/seconds {
			return fmt.Errorf("list: %d calls in second %d, in the mean %.0f", n, sec, float64(hosts)/seconds)
		}
	}
	return nil
}

// follow plays random events and says which invariant broke.
func follow(t *rapid.T, lost loss) error {
	s, err := New(testSettings(rapid.IntRange(1, 2000).Draw(t, "hosts"), rapid.String().Draw(t, "name"), rapid.Bool().Draw(t, "priced")))
	if err != nil {
		return err
	}
	s.loss, s.settings.MaxNodes = lost, 4
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""})
	nodes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Node {
		return Node{ids.Draw(t, "id"), float64(rapid.IntRange(0, 2).Draw(t, "since")), 0}
	}), 0, 6)
	now, wake, refusedAt := time.Duration(0), time.Duration(0), time.Duration(-1)
	snapshot, listed, heard := map[string][]float64{}, map[string]float64{}, false
	readies, phase := 0, NoList
	step := func(e Event) error {
		_, wasRefused := e.(ListRequestFailed)
		calling := s.listRequestPending
		for _, a := range s.Step(now, e) {
			switch a := a.(type) {
			case ReportReady:
				readies++
			case SetTimer:
				wake = a.At
			case Reject:
				if a.RetryAfter < s.settings.MinRetryAfter || a.RetryAfter > s.settings.MaxRetryAfter {
					return fmt.Errorf("refusals: Retry-After %v", a.RetryAfter)
				}
			case RequestList:
				if heard || refusedAt >= 0 && now < refusedAt+listRequestInterval/2 {
					return fmt.Errorf("list: asked at %v, refused at %v, heard: %v", now, refusedAt, heard)
				}
			case Restore:
				if start, ok := listed[a.Node]; !ok || !slices.Contains(snapshot[a.Node], start) {
					return fmt.Errorf("restarts: recalled %s", a.Node)
				}
			case LiftColdLimit:
				if _, ok := e.(ListReceived); !ok {
					return fmt.Errorf("peers: %s is warm by %T", a.Node, e)
				}
			}
		}
		if wasRefused && calling && !heard {
			refusedAt = now
		}
		switch {
		case readies > 1 || readies == 0 && s.started && now > s.settings.ReadyDeadline():
			return fmt.Errorf("ready: said %d times by %v", readies, now)
		case s.phase < phase:
			return fmt.Errorf("phases: from %v to %v", phase, s.phase)
		case len(s.nodes) > s.settings.MaxNodes:
			return fmt.Errorf("bounds: %d nodes", len(s.nodes))
		}
		phase = s.phase
		return nil
	}
	begun := Started{nodes.Draw(t, "held"), nodes.Draw(t, "snapshot")}
	knows := func(ns []Node) { // the first of a node counts
		for _, n := range slices.Backward(ns) {
			snapshot[n.ID] = []float64{n.StartTime}
		}
	}
	knows(begun.Snapshot)
	if err := step(begun); err != nil {
		return err
	}
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		to := now + time.Duration(rapid.IntRange(0, 900).Draw(t, "wait"))*ms
		for wake > now && wake <= to { // Ticks come when they are asked for
			now = wake
			if err := step(TimerFired{}); err != nil {
				return err
			}
		}
		now = to
		var e Event
		id := ids.Draw(t, "node")
		switch rapid.IntRange(0, 10).Draw(t, "kind") {
		case 0:
			spoke := ListReceived{nodes.Draw(t, "listed")}
			seen := map[string]bool{}
			spoke.Nodes = slicesDelete(spoke.Nodes, func(n Node) bool { twice := seen[n.ID]; seen[n.ID] = true; return twice })
			for _, n := range spoke.Nodes {
				listed[n.ID] = n.StartTime
			}
			if err := step(spoke); err != nil {
				return err
			}
			heard = true
			continue
		case 1, 2:
			e = ListRequestFailed{}
		case 3:
			e = NodeFull{id}
		case 4:
			e = ConnectFailed{id}
		case 5:
			e = RequestServed{id}
		case 6:
			e = RequestRejected{id}
		case 7:
			e = PeerReported{Node{ID: id, StartTime: float64(rapid.IntRange(0, 2).Draw(t, "told"))}}
		case 8:
			given := SnapshotReceived{nodes.Draw(t, "given")}
			if e = given; len(s.snapshotNodes) == 0 {
				for _, n := range given.Snapshot { // heard: the one of the list's start counts
					snapshot[n.ID] = append(snapshot[n.ID], n.StartTime)
				}
				if !heard {
					knows(given.Snapshot)
				}
			}
		default:
			e = RequestArrived{id}
		}
		if err := step(e); err != nil {
			return err
		}
	}
	return nil
}

func slicesDelete(ns []Node, drop func(Node) bool) (kept []Node) {
	for _, n := range ns {
		if !drop(n) {
			kept = append(kept, n)
		}
	}
	return kept
}

func TestInvariants(t *testing.T) {
	for _, hosts := range []int{1, 80, 300, 1000} {
		for _, priced := range []bool{false, true} {
			if err := fleet(hosts, priced, ""); err != nil {
				t.Errorf("%d hosts: %v", hosts, err)
			}
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := follow(t, ""); err != nil {
			t.Fatal(err)
		}
	})
}

// Each rule's loss is found by the line of its own.
func TestLossesAreFound(t *testing.T) {
	for _, rule := range []string{"phases", "ready", "refusals", "list", "restarts", "peers"} {
		found := ""
		gen := rapid.Custom(func(t *rapid.T) string {
			if err := follow(t, loss(rule)); err != nil {
				return err.Error()
			}
			return ""
		})
		for seed := 0; seed < 3000 && found == ""; seed++ {
			found = gen.Example(seed)
		}
		if len(found) < len(rule) || found[:len(rule)] != rule {
			t.Errorf("%s: found %q", rule, found)
		}
	}
	for rule, want := range map[loss]string{"slots": "list", "parts": "parts"} {
		if err := fleet(1000, true, rule); err == nil || err.Error()[:len(want)] != want {
			t.Errorf("%s: found %v", rule, err)
		}
	}
}
