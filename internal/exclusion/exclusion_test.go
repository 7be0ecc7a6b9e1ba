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

func newSet(t interface{ Fatal(...any) }, s Settings) *Set {
	b, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func up(id string, since float64) policy.Node {
	return policy.Node{ID: id, State: policy.NodeUp, Weight: 1, StartTime: since}
}

// The ordinary way and each hard case, in one script.
func TestExcludeAndInclude(t *testing.T) {
	b := newSet(t, Defaults)
	if _, err := b.Exclude(0, "s-1"); !errors.Is(err, ErrUnknownNode) {
		t.Fatalf("an id never listed: %v", err)
	}
	if _, err := b.Include(0, "s-1"); !errors.Is(err, ErrUnknownNode) {
		t.Fatalf("an id never listed, put back: %v", err)
	}
	b.AddListed("s-1", "s-2")
	if changed, err := b.Exclude(1000, "s-1"); !changed || err != nil {
		t.Fatalf("exclude: %v %v", changed, err)
	}
	if changed, err := b.Exclude(1500, "s-1"); changed || err != nil {
		t.Fatalf("a repeated exclude changed something: %v %v", changed, err)
	}
	if v := b.View(2000, up("s-1", 0)); v.State != policy.NodeExcluded {
		t.Fatalf("excluded, listed as up, shown as %v", v.State)
	}
	if v := b.View(2000, up("s-2", 0)); v.State != policy.NodeUp {
		t.Fatalf("another node is shown as %v", v.State)
	}
	// Gone stays gone: a node that left is no node to drain.
	if v := b.View(2000, policy.Node{ID: "s-1", State: policy.NodeRemoved}); v.State != policy.NodeRemoved {
		t.Fatalf("gone, shown as %v", v.State)
	}
	if changed, err := b.Include(5000, "s-2"); changed || err != nil {
		t.Fatalf("including one that was never out: %v %v", changed, err)
	}
	if changed, err := b.Include(6000, "s-1"); !changed || err != nil {
		t.Fatalf("include: %v %v", changed, err)
	}
	v := b.View(7000, up("s-1", 100))
	if v.State != policy.NodeUp || v.StartTime != 6000 {
		t.Fatalf("included, shown as %v since %v; want up since the include", v.State, v.StartTime)
	}
	if v := b.View(7000, up("s-1", 6500)); v.StartTime != 6500 {
		t.Fatalf("a start after the include is shown as %v", v.StartTime)
	}
	if v := b.View(6000+Defaults.SlowStartDuration+1, up("s-1", 100)); v.StartTime != 100 {
		t.Fatalf("past the cold span, since %v", v.StartTime)
	}
	if err := b.Check(); err != nil {
		t.Fatal(err)
	}
}

// A no changes nothing: past the bound an exclude is refused, and the book is as it was.
func TestExcludePastTheBoundChangesNothing(t *testing.T) {
	b := newSet(t, Settings{MaxListed: 3, MaxExcluded: 2, SlowStartDuration: 10})
	b.AddListed("a", "b", "c")
	b.Exclude(0, "a")
	b.Exclude(0, "b")
	if _, err := b.Exclude(0, "c"); !errors.Is(err, ErrFull) || b.Excluded("c") {
		t.Fatalf("past the bound: %v", err)
	}
	b.AddListed("d", "e", "f")
	if !b.IsListed("a") || !b.IsListed("b") {
		t.Fatal("an excluded id was forgotten as listed: it could never be included")
	}
	if b.IsListed("c") {
		t.Fatal("the oldest id that is not out was kept past the bound")
	}
	if err := b.Check(); err != nil {
		t.Fatal(err)
	}
}

// What is stored and loaded again is the same book; a load says which views may change.
func TestLoadRestoresTheStoredState(t *testing.T) {
	b := newSet(t, Defaults)
	b.AddListed("a", "b", "c")
	b.Exclude(0, "a")
	b.Exclude(0, "b")
	b.Include(100, "b")
	kept := b.State(150)
	c := newSet(t, Defaults)
	if changed := c.Load(200, kept); fmt.Sprint(changed) != "[a b]" {
		t.Fatalf("changed %v", changed)
	}
	if !c.IsListed("a") || !c.Excluded("a") || c.Excluded("b") || c.View(200, up("b", 0)).StartTime != 100 {
		t.Fatalf("loaded: %+v", c.State(200))
	}
	if changed := c.Load(300, kept); len(changed) != 0 {
		t.Fatalf("loading the same book changed %v", changed)
	}
	if changed := c.Load(300, State{}); fmt.Sprint(changed) != "[a]" || c.Excluded("a") {
		t.Fatalf("an empty book: changed %v", changed)
	}
}

// rapid: random calls and lists, Check and the invariants after each.
func TestInvariantsUnderRandomCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{MaxListed: rapid.IntRange(1, 6).Draw(t, "listed"), MaxExcluded: rapid.IntRange(1, 4).Draw(t, "excluded"), SlowStartDuration: 50}
		b := newSet(t, s)
		ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		out := map[string]bool{} // the model: what is excluded
		now := 0.0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 30).Draw(t, "wait")
			id := rapid.SampledFrom(ids).Draw(t, fmt.Sprint("id", step))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				b.AddListed(id)
			case 1:
				known, before := b.IsListed(id), b.State(now)
				_, err := b.Exclude(now, id)
				switch {
				case err == nil:
					out[id] = true
				case !errors.Is(err, ErrUnknownNode) && !errors.Is(err, ErrFull):
					t.Fatalf("exclude: %v", err)
				case known && errors.Is(err, ErrUnknownNode), fmt.Sprint(before) != fmt.Sprint(b.State(now)):
					t.Fatalf("a no changed the book, or a known id was unknown")
				}
			case 2:
				if _, err := b.Include(now, id); err == nil {
					if out[id] && b.View(now, up(id, 0)).StartTime != now {
						t.Fatalf("%s included at %v, shown since %v", id, now, b.View(now, up(id, 0)).StartTime)
					}
					delete(out, id)
				}
			case 3:
				c := newSet(t, s)
				c.Load(now, b.State(now))
				if fmt.Sprint(c.State(now)) != fmt.Sprint(b.State(now)) {
					t.Fatalf("stored %v, loaded %v", b.State(now), c.State(now))
				}
			}
			if err := b.Check(); err != nil {
				t.Fatal(err)
			}
			for _, x := range ids {
				if v := b.View(now, up(x, 0)); out[x] != (v.State == policy.NodeExcluded) {
					t.Fatalf("%s: out %v, shown %v", x, out[x], v.State)
				}
			}
		}
	})
}
