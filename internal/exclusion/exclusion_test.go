package exclusion

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
	"wheatsaddle/policy"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func newSet(t interface{ Fatal(...any) }, settings Settings) *Set {
	s, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func upNode(id string, startTime float64) policy.Node {
	return policy.Node{ID: id, State: policy.NodeUp, Weight: 1, StartTime: startTime}
}

// An excluded node is shown as excluded even if it is listed as up. Once it is included, it is shown as started at the include, for
// SlowStartDuration and unless it started later.
func TestExcludedNodeStaysExcludedUntilIncluded(t *testing.T) {
	s := newSet(t, Defaults)
	if _, err := s.Exclude(0, "s-1"); !errors.Is(err, ErrUnknownNode) {
		t.Fatalf("exclude of a node that was never listed: %v", err)
	}
	if _, err := s.Include(0, "s-1"); !errors.Is(err, ErrUnknownNode) {
		t.Fatalf("include of a node that was never listed: %v", err)
	}
	s.AddListed("s-1", "s-2")
	if changed, err := s.Exclude(1000, "s-1"); !changed || err != nil {
		t.Fatalf("exclude of a listed node: changed %v, error %v", changed, err)
	}
	if changed, err := s.Exclude(1500, "s-1"); changed || err != nil {
		t.Fatalf("repeated exclude: changed %v, error %v; want no change", changed, err)
	}
	if v := s.View(2000, upNode("s-1", 0)); v.State != policy.NodeExcluded {
		t.Fatalf("an excluded node that is listed as up is shown as %v", v.State)
	}
	if v := s.View(2000, upNode("s-2", 0)); v.State != policy.NodeUp {
		t.Fatalf("another node is shown as %v", v.State)
	}
	// A removed node stays removed.
	if v := s.View(2000, policy.Node{ID: "s-1", State: policy.NodeRemoved}); v.State != policy.NodeRemoved {
		t.Fatalf("a removed node is shown as %v", v.State)
	}
	if changed, err := s.Include(5000, "s-2"); changed || err != nil {
		t.Fatalf("include of a node that was not excluded: changed %v, error %v; want no change", changed, err)
	}
	if changed, err := s.Include(6000, "s-1"); !changed || err != nil {
		t.Fatalf("include of an excluded node: changed %v, error %v", changed, err)
	}
	v := s.View(7000, upNode("s-1", 100))
	if v.State != policy.NodeUp || v.StartTime != 6000 {
		t.Fatalf("an included node is shown as %v, started at %v; want up, started at the include", v.State, v.StartTime)
	}
	if v := s.View(7000, upNode("s-1", 6500)); v.StartTime != 6500 {
		t.Fatalf("a node that started at 6500, after the include, is shown as started at %v", v.StartTime)
	}
	if v := s.View(6000+Defaults.SlowStartDuration+1, upNode("s-1", 100)); v.StartTime != 100 {
		t.Fatalf("after the slow start that follows the include, the node is shown as started at %v, want its own start at 100", v.StartTime)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
}

// mustExclude excludes a node at 0, which must not be excluded yet.
func mustExclude(t *testing.T, s *Set, id string) {
	t.Helper()
	if changed, err := s.Exclude(0, id); !changed || err != nil {
		t.Fatalf("exclude of %s: changed %v, error %v", id, changed, err)
	}
}

// An exclude beyond MaxExcluded is rejected. If more than MaxListed nodes are listed, the oldest that is not excluded is dropped.
func TestExcludePastTheBoundChangesNothing(t *testing.T) {
	s := newSet(t, Settings{MaxListed: 3, MaxExcluded: 2, SlowStartDuration: 10})
	s.AddListed("a", "b", "c")
	mustExclude(t, s, "a")
	mustExclude(t, s, "b")
	if _, err := s.Exclude(0, "c"); !errors.Is(err, ErrFull) || s.Excluded("c") {
		t.Fatalf("exclude beyond the bound: error %v, want ErrFull and no change", err)
	}
	s.AddListed("d", "e", "f")
	if !s.IsListed("a") || !s.IsListed("b") {
		t.Fatal("an excluded node is no longer listed, so it cannot be included again")
	}
	if s.IsListed("c") {
		t.Fatal("the oldest node that is not excluded is still listed beyond the bound")
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
}

// A state that is stored and loaded again is the same. Load returns the nodes whose View may change.
func TestLoadRestoresTheStoredState(t *testing.T) {
	first := newSet(t, Defaults)
	first.AddListed("a", "b", "c")
	mustExclude(t, first, "a")
	mustExclude(t, first, "b")
	if changed, err := first.Include(100, "b"); !changed || err != nil {
		t.Fatalf("include of an excluded node: changed %v, error %v", changed, err)
	}
	stored := first.State(150)
	second := newSet(t, Defaults)
	if changed := second.Load(200, stored); fmt.Sprint(changed) != "[a b]" {
		t.Fatalf("loading the stored state changed %v, want a and b", changed)
	}
	if !second.IsListed("a") || !second.Excluded("a") || second.Excluded("b") || second.View(200, upNode("b", 0)).StartTime != 100 {
		t.Fatalf("the loaded state is not the stored one: %+v", second.State(200))
	}
	if changed := second.Load(300, stored); len(changed) != 0 {
		t.Fatalf("loading the same state changed %v", changed)
	}
	if changed := second.Load(300, State{}); fmt.Sprint(changed) != "[a]" || second.Excluded("a") {
		t.Fatalf("loading an empty state changed %v, want a, which is then included", changed)
	}
}

// setModel is a Set with the nodes that must be excluded in it.
type setModel struct {
	*Set
	settings Settings
	excluded map[string]bool
	now      float64 // in milliseconds
}

// randomCall makes a random call for a node.
func (m *setModel) randomCall(t *rapid.T, id string) {
	switch rapid.IntRange(0, 3).Draw(t, "call") {
	case 0:
		m.AddListed(id)
	case 1:
		m.exclude(t, id)
	case 2:
		if _, err := m.Include(m.now, id); err == nil {
			if start := m.View(m.now, upNode(id, 0)).StartTime; m.excluded[id] && start != m.now {
				t.Fatalf("%s included at %v, shown as started at %v", id, m.now, start)
			}
			delete(m.excluded, id)
		}
	case 3:
		loaded := newSet(t, m.settings)
		loaded.Load(m.now, m.State(m.now))
		if fmt.Sprint(loaded.State(m.now)) != fmt.Sprint(m.State(m.now)) {
			t.Fatalf("stored %v, loaded %v", m.State(m.now), loaded.State(m.now))
		}
	}
}

func (m *setModel) exclude(t *rapid.T, id string) {
	listed, before := m.IsListed(id), m.State(m.now)
	_, err := m.Exclude(m.now, id)
	switch {
	case err == nil:
		m.excluded[id] = true
	case !errors.Is(err, ErrUnknownNode) && !errors.Is(err, ErrFull):
		t.Fatalf("exclude: unexpected error %v", err)
	case listed && errors.Is(err, ErrUnknownNode):
		t.Fatalf("the listed node %s is unknown", id)
	case fmt.Sprint(before) != fmt.Sprint(m.State(m.now)):
		t.Fatal("a rejected exclude changed the state")
	}
}

func TestInvariantsUnderRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{MaxListed: rapid.IntRange(1, 6).Draw(t, "max listed"), MaxExcluded: rapid.IntRange(1, 4).Draw(t, "max excluded"), SlowStartDuration: 50}
		m := setModel{Set: newSet(t, settings), settings: settings, excluded: map[string]bool{}}
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += rapid.Float64Range(0, 30).Draw(t, "wait in ms")
			m.randomCall(t, rapid.SampledFrom(ids).Draw(t, fmt.Sprint("id", step)))
			if err := m.Check(); err != nil {
				t.Fatal(err)
			}
			for _, id := range ids {
				if v := m.View(m.now, upNode(id, 0)); m.excluded[id] != (v.State == policy.NodeExcluded) {
					t.Fatalf("node %s: should be excluded %v, but is shown as %v", id, m.excluded[id], v.State)
				}
			}
		}
	})
}
