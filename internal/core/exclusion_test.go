package core

import (
	"errors"
	"testing"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/policy"
)

// After Exclude returns, nothing is dispatched to the node until Include, even if the list reports the node as up. After
// Include the node is used again.
func TestExclusionHoldsUntilInclude(t *testing.T) {
	core := startCore(t, testSettings())
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	if _, err := core.Exclude("x"); !errors.Is(err, exclusion.ErrUnknownNode) {
		t.Fatalf("exclude an id that was never listed: %v, want ErrUnknownNode", err)
	}
	st, err := core.Exclude("n")
	if err != nil || len(st.Excluded) != 1 {
		t.Fatalf("exclude: %v %v", st, err)
	}
	_, _ = core.Exclude("n") // has no further effect
	if !core.node("n").drained {
		t.Fatal("the node client is not drained when Exclude returns")
	}
	core.updateList(policy.ListReceived, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp)) // reports the excluded node as up
	if !core.node("n").drained {
		t.Fatal("a list update ended the exclusion")
	}
	for i := range 20 {
		_, answers := core.submit(string(rune('a'+i)), "read")
		(<-core.node("m").sent).Done(Result{Status: policy.OK})
		expectAnswer(t, answers, Served)
	}
	if len(core.node("n").sent) > 0 {
		t.Fatal("dispatched to an excluded node")
	}
	if f := core.Counters().Snapshot(); f.AvoidedNodes != 1 || f.Nodes != 2 {
		t.Fatalf("%d of %d nodes are avoided, want 1 of 2", f.AvoidedNodes, f.Nodes)
	}
	st, err = core.Include("n")
	if err != nil || len(st.Excluded) != 0 || st.Included["n"] == 0 {
		t.Fatalf("include: %v %v", st, err)
	}
	if core.node("n").drained {
		t.Fatal("the node client is still drained after Include")
	}
	// The included node is used again: as there are more requests than the window of one node, both nodes get some.
	for i := range 40 {
		core.submit(string(rune('A'+i)), "read")
	}
	core.OpenRequests()
	core.OpenRequests() // returns once the step of the first call has run
	if len(core.node("n").sent) == 0 {
		t.Fatalf("the included node got no attempts, the other one got %d", len(core.node("m").sent))
	}
}

// Exclusions that an earlier process stored apply from the start, before the first list arrives.
func TestStoredExclusionAppliesAtStart(t *testing.T) {
	settings := testSettings()
	core := &fixture{t: t}
	c, err := New(Options{Settings: settings, Seed: 7, Log: nullLog(), NewNodeClient: core.newNodeClient,
		Excluded: exclusion.State{Excluded: map[string]float64{"n": 1}}})
	if err != nil {
		t.Fatal(err)
	}
	core.Core = c
	t.Cleanup(c.Stop)
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp), newNode("m", 0, policy.NodeUp))
	if !core.node("n").drained || core.node("m").drained {
		t.Fatal("the stored exclusion does not apply at the start")
	}
	if !core.WasListed("n") {
		t.Fatal("a node with a stored exclusion counts as never listed")
	}
}
