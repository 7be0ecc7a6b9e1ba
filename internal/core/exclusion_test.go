package core

import (
	"errors"
	"testing"
	"time"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/policy"
)

// From the yes of an exclude nothing new goes to the node, whatever the list says, until one
// include; then it is used again.
func TestExclusionHoldsUntilInclude(t *testing.T) {
	r := startCore(t, settings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	if _, err := r.Exclude("x"); !errors.Is(err, exclusion.ErrUnknown) {
		t.Fatalf("an id never listed: %v", err)
	}
	st, err := r.Exclude("n")
	if err != nil || len(st.Excluded) != 1 {
		t.Fatalf("exclude: %v %v", st, err)
	}
	r.Exclude("n") // a repeat is one
	if !r.node("n").drained {
		t.Fatal("the peer does not drain from the yes")
	}
	r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp)) // discovery says up
	if !r.node("n").drained {
		t.Fatal("a list undid the exclude")
	}
	for i := range 20 {
		_, got := r.submit(string(rune('a'+i)), "read", time.Minute)
		(<-r.node("m").sent).Done(Result{Status: policy.OK})
		expectAnswer(t, got, Served)
	}
	if len(r.node("n").sent) > 0 {
		t.Fatal("sent to an excluded node")
	}
	if f := r.Counters().Snapshot(); f.AvoidedNodes != 1 || f.Nodes != 2 {
		t.Fatalf("skipped %d of %d", f.AvoidedNodes, f.Nodes)
	}
	st, err = r.Include("n")
	if err != nil || len(st.Excluded) != 0 || st.Included["n"] == 0 {
		t.Fatalf("include: %v %v", st, err)
	}
	if r.node("n").drained {
		t.Fatal("still drained after the include")
	}
	// The node comes back cold and is used again: with more work than one node's window, both
	// nodes get some.
	for i := range 40 {
		r.submit(string(rune('A'+i)), "read", time.Minute)
	}
	r.OpenRequests()
	r.OpenRequests() // the step that took the first call has ended
	if len(r.node("n").sent) == 0 {
		t.Fatalf("an included node got no work; the other has %d", len(r.node("m").sent))
	}
}

// The book that a process before left binds from the start, before any list.
func TestStoredExclusionAppliesAtStart(t *testing.T) {
	set := settings()
	r := &fixture{t: t}
	c, err := New(Options{Settings: set, Seed: 7, Log: nullLog(), NewNodeClient: r.newNodeClient,
		Excluded: exclusion.State{Excluded: map[string]float64{"n": 1}}})
	if err != nil {
		t.Fatal(err)
	}
	r.Core = c
	t.Cleanup(c.Stop)
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	if !r.node("n").drained || r.node("m").drained {
		t.Fatal("the kept exclude does not bind at the start")
	}
	if !r.WasListed("n") {
		t.Fatal("a kept id cannot be included")
	}
}
