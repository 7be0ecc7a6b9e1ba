package core

import (
	"slices"
	"testing"

	"wheatsaddle/policy"
)

// Each attempt's end is reported once, with the start time of the node that it was dispatched to.
func TestEachAttemptIsObserved(t *testing.T) {
	type observation struct {
		node, class string
		since       int64
		units       float64
		status      policy.Status
	}
	var all []observation // the actor's until it has stopped
	r := &fixture{t: t}
	c, err := New(Options{Settings: testSettings(), Seed: 7, Log: nullLog(), NewNodeClient: r.newNodeClient,
		OnAttemptEnded: func(node string, since int64, class string, units, latencyMs float64, status policy.Status) {
			if all = append(all, observation{node, class, since, units, status}); latencyMs < 0 {
				t.Errorf("%v ms", latencyMs)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	r.Core = c
	n := newNode("n", 0, policy.NodeUp)
	n.StartTime = 41
	r.updateList(policy.CachedListLoaded, n)
	_, got := r.submit("a", "read")
	first := <-r.node("n").sent
	n.StartTime = 42
	r.updateList(policy.ListChanged, n)
	first.Done(Result{Status: policy.ConnectionReset})
	(<-r.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
	r.OpenRequests()
	c.Stop()
	if want := []observation{{"n", "read", 41, 1, policy.ConnectionReset}, {"n", "read", 42, 1, policy.OK}}; !slices.Equal(all, want) {
		t.Errorf("%+v, want %+v", all, want)
	}
}
