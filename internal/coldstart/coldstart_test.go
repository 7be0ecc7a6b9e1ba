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

func set(hosts int, name string, priced bool) Settings {
	return Settings{Hosts: hosts, Name: name, ListPriced: priced, ListMost: 100, ColdUnits: 39, TipSpan: 3 * time.Second,
		ColdSpan: 17 * time.Second, Aim: 400 * ms, Connects: 3}
}

var list = []Node{{ID: "a"}, {ID: "b", Since: 7, At: -time.Hour}, {ID: "c", Since: 9, At: -time.Second}}

// run drives one start by a script of events (nil: time alone), with a Tick where WakeAt asks for one,
// and gives back what was done and when.
type done struct {
	at time.Duration
	a  Action
}

func run(t *testing.T, s *Start, until time.Duration, script map[time.Duration]Event) (all []done) {
	t.Helper()
	wake := time.Duration(-1)
	for now := time.Duration(0); now <= until; now += 10 * ms {
		step := func(e Event) {
			for _, a := range s.Step(now, e) {
				if w, ok := a.(WakeAt); ok {
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
			step(Tick{})
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
func TestWays(t *testing.T) {
	s, _ := New(set(300, "h", true))
	all := run(t, s, 25*time.Second, map[time.Duration]Event{0: Begun{list, []Node{{ID: "b", Since: 7}, {ID: "c", Since: 8}}},
		2500 * ms: ListSpoke{list}, 2600 * ms: Answered{"a"}})
	if use := find[UseHeld](all); len(use) != 1 || use[0].at != 0 {
		t.Errorf("held list in use: %v", use)
	}
	if r := find[Recall](all); len(r) != 1 || r[0].a.(Recall).Node != "b" {
		t.Errorf("recalled: %v", r)
	}
	if w := find[Warm](all); len(w) != 3 {
		t.Errorf("warm: %v", w)
	}
	if c := find[Connect](all); len(c) == 0 || c[len(c)-1].a.(Connect).Node == "a" {
		t.Errorf("connects: %v", c)
	}
	if ready := find[Ready](all); len(ready) != 1 || ready[0].at != readyHeld || s.Phase() != Serving {
		t.Errorf("ready: %v, phase %v", ready, s.Phase())
	}

	// A snapshot that is handed over: before the list it waits for it, after it what still holds is recalled,
	// and connections are opened ahead from then on. A peer's word of a later start keeps one from it.
	for at, want := range map[time.Duration]string{500 * ms: "[b]", 3 * time.Second: "[b]"} {
		s, _ = New(set(300, "h", true))
		all = run(t, s, 25*time.Second, map[time.Duration]Event{0: Begun{HeldList: list}, at: Given{[]Node{{ID: "b", Since: 7}, {ID: "c", Since: 8}, {ID: "x"}}},
			600 * ms: Peer{Node{ID: "c", Since: 9}}, 700 * ms: Peer{Node{ID: "a"}}, 2500 * ms: ListSpoke{list}, 4 * time.Second: Given{[]Node{{ID: "a"}}}})
		var recalled, opened []string
		for _, d := range find[Recall](all) {
			recalled = append(recalled, d.a.(Recall).Node)
		}
		for _, d := range find[Connect](all) {
			if opened = append(opened, d.a.(Connect).Node); d.at < at {
				t.Errorf("opened at %v, given at %v", d.at, at)
			}
		}
		if fmt.Sprint(recalled) != want || slices.Contains(opened, "c") || !slices.Contains(opened, "b") {
			t.Errorf("given at %v: recalled %v, opened %v", at, recalled, opened)
		}
		if w := find[Warm](all); len(w) != 3 || w[0].at != 2500*ms {
			t.Errorf("warm: %v", w)
		}
	}

	s, _ = New(set(300, "h", false)) // pushed: asked at once, nothing is sent before it or a second
	all = run(t, s, time.Second, map[time.Duration]Event{0: Begun{HeldList: list}, 100 * ms: ListRefused{}, 120 * ms: Asked{"a"}})
	if ask := find[AskList](all); len(ask) < 2 || ask[0].at != 0 || ask[1].at > 100*ms+askGap*3/2+10*ms {
		t.Errorf("asked: %v", ask)
	}
	if use := find[UseHeld](all); len(use) != 1 || use[0].at != heldAfter || len(find[Refuse](all)) != 1 {
		t.Errorf("%v", all)
	}

	s, _ = New(set(300, "h", true))
	all = run(t, s, 7*time.Second, map[time.Duration]Event{0: Begun{}})
	if ready := find[Ready](all); len(ready) != 1 || ready[0].at != s.set.ReadyMost() || s.Phase() != Nothing {
		t.Errorf("%v, phase %v", all, s.Phase())
	}
	_, err := New(Settings{Hosts: 3, ColdUnits: math.NaN()})
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
		s, err := New(set(hosts, fmt.Sprintf("sched-%03d", i), priced))
		if err != nil {
			return err
		}
		s.loss = lost
		span = s.set.Spread()
		for _, a := range s.Step(0, Begun{HeldList: list}) {
			if p, ok := a.(ColdPart); ok && p.Node == "a" {
				parts += p.Units
			}
		}
		if s.ask > time.Duration(toldShare*float64(s.set.Told)) {
			return fmt.Errorf("told: the first call comes after %v", s.ask)
		}
		calls[int(s.ask/time.Second)]++
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
	s, err := New(set(rapid.IntRange(1, 2000).Draw(t, "hosts"), rapid.String().Draw(t, "name"), rapid.Bool().Draw(t, "priced")))
	if err != nil {
		return err
	}
	s.loss, s.set.NodesMost = lost, 4
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""})
	nodes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Node {
		return Node{ids.Draw(t, "id"), float64(rapid.IntRange(0, 2).Draw(t, "since")), 0}
	}), 0, 6)
	now, wake, refusedAt := time.Duration(0), time.Duration(0), time.Duration(-1)
	snapshot, listed, heard := map[string][]float64{}, map[string]float64{}, false
	readies, phase := 0, Nothing
	step := func(e Event) error {
		_, wasRefused := e.(ListRefused)
		calling := s.calling
		for _, a := range s.Step(now, e) {
			switch a := a.(type) {
			case Ready:
				readies++
			case WakeAt:
				wake = a.At
			case Refuse:
				if a.RetryAfter < s.set.RetryLeast || a.RetryAfter > s.set.RetryMost {
					return fmt.Errorf("refusals: Retry-After %v", a.RetryAfter)
				}
			case AskList:
				if heard || refusedAt >= 0 && now < refusedAt+askGap/2 {
					return fmt.Errorf("list: asked at %v, refused at %v, heard: %v", now, refusedAt, heard)
				}
			case Recall:
				if start, ok := listed[a.Node]; !ok || !slices.Contains(snapshot[a.Node], start) {
					return fmt.Errorf("restarts: recalled %s", a.Node)
				}
			case Warm:
				if _, ok := e.(ListSpoke); !ok {
					return fmt.Errorf("peers: %s is warm by %T", a.Node, e)
				}
			}
		}
		if wasRefused && calling && !heard {
			refusedAt = now
		}
		switch {
		case readies > 1 || readies == 0 && s.begun && now > s.set.ReadyMost():
			return fmt.Errorf("ready: said %d times by %v", readies, now)
		case s.phase < phase:
			return fmt.Errorf("phases: from %v to %v", phase, s.phase)
		case len(s.nodes) > s.set.NodesMost:
			return fmt.Errorf("bounds: %d nodes", len(s.nodes))
		}
		phase = s.phase
		return nil
	}
	begun := Begun{nodes.Draw(t, "held"), nodes.Draw(t, "snapshot")}
	knows := func(ns []Node) { // the first of a node counts
		for _, n := range slices.Backward(ns) {
			snapshot[n.ID] = []float64{n.Since}
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
			if err := step(Tick{}); err != nil {
				return err
			}
		}
		now = to
		var e Event
		id := ids.Draw(t, "node")
		switch rapid.IntRange(0, 10).Draw(t, "kind") {
		case 0:
			spoke := ListSpoke{nodes.Draw(t, "listed")}
			seen := map[string]bool{}
			spoke.Nodes = slicesDelete(spoke.Nodes, func(n Node) bool { twice := seen[n.ID]; seen[n.ID] = true; return twice })
			for _, n := range spoke.Nodes {
				listed[n.ID] = n.Since
			}
			if err := step(spoke); err != nil {
				return err
			}
			heard = true
			continue
		case 1, 2:
			e = ListRefused{}
		case 3:
			e = NodeFull{id}
		case 4:
			e = ConnectSlow{id}
		case 5:
			e = Answered{id}
		case 6:
			e = Turned{id}
		case 7:
			e = Peer{Node{ID: id, Since: float64(rapid.IntRange(0, 2).Draw(t, "told"))}}
		case 8:
			given := Given{nodes.Draw(t, "given")}
			if e = given; len(s.used) == 0 {
				for _, n := range given.Snapshot { // heard: the one of the list's start counts
					snapshot[n.ID] = append(snapshot[n.ID], n.Since)
				}
				if !heard {
					knows(given.Snapshot)
				}
			}
		default:
			e = Asked{id}
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
