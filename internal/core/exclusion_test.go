package core

import (
	"errors"
	"testing"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/policy"
)

// From the return of Exclude nothing is dispatched to the node, also if the list has it as up, until one Include; then
// it is used again.
func TestExclusionHoldsUntilInclude(t *testing.T) {
	r := startCore(t, testSettings())
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	if _, err := r.Exclude("x"); !errors.Is(err, exclusion.ErrUnknownNode) {
		t.Fatalf("an id never listed: %v", err)
	}
	st, err := r.Exclude("n")
	if err != nil || len(st.Excluded) != 1 {
		t.Fatalf("exclude: %v %v", st, err)
	}
	_, _ = r.Exclude("n") // has no further effect
	if !r.node("n").drained {
		t.Fatal("the node client does not drain when Exclude returns")
	}
	r.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp)) // the list has it as up
	if !r.node("n").drained {
		t.Fatal("a list undid the exclusion")
	}
	for i := range 20 {
		_, got := r.submit(string(rune('a'+i)), "read")
		(<-r.node("m").sent).Done(Result{Status: policy.OK})
		expectAnswer(t, got, Served)
	}
	if len(r.node("n").sent) > 0 {
		t.Fatal("dispatched to an excluded node")
	}
	if f := r.Counters().Snapshot(); f.AvoidedNodes != 1 || f.Nodes != 2 {
		t.Fatalf("avoided %d of %d", f.AvoidedNodes, f.Nodes)
	}
	st, err = r.Include("n")
	if err != nil || len(st.Excluded) != 0 || st.Included["n"] == 0 {
		t.Fatalf("include: %v %v", st, err)
	}
	if r.node("n").drained {
		t.Fatal("still drained after the include")
	}
	// The node warms up and is used again: with more requests than one node's window, both nodes get some.
	for i := range 40 {
		r.submit(string(rune('A'+i)), "read")
	}
	r.OpenRequests()
	r.OpenRequests() // the step of the first call has run
	if len(r.node("n").sent) == 0 {
		t.Fatalf("an included node got no work; the other has %d", len(r.node("m").sent))
	}
}

// Exclusions that an earlier process stored apply from the start, before any list.
func TestStoredExclusionAppliesAtStart(t *testing.T) {
	set := testSettings()
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
		t.Fatal("the stored exclusion does not apply at the start")
	}
	if !r.WasListed("n") {
		t.Fatal("a stored id counts as never listed")
	}
}
