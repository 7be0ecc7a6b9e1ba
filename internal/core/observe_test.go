package core

import (
	"slices"
	"testing"

	"wheatsaddle/policy"
)

// The end of each attempt is reported once, with the start time that the node had at the dispatch.
func TestEachAttemptIsObserved(t *testing.T) {
	type observation struct {
		node, class string
		startTime   int64
		units       float64
		status      policy.Status
	}
	var observations []observation // accessed only in the actor until it has stopped
	core := &fixture{t: t}
	c, err := New(Options{Settings: testSettings(), Seed: 7, Log: nullLog(), NewNodeClient: core.newNodeClient,
		OnAttemptEnded: func(node string, startTime int64, class string, units, latencyMs float64, status policy.Status) {
			if observations = append(observations, observation{node, class, startTime, units, status}); latencyMs < 0 {
				t.Errorf("negative latency: %v ms", latencyMs)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	core.Core = c
	node := newNode("n", 0, policy.NodeUp)
	node.StartTime = 41
	core.updateList(policy.CachedListLoaded, node)
	_, answers := core.submit("a", "read")
	first := <-core.node("n").sent
	node.StartTime = 42
	core.updateList(policy.ListChanged, node)
	first.Done(Result{Status: policy.ConnectionReset})
	(<-core.node("n").sent).Done(Result{Status: policy.OK})
	expectAnswer(t, answers, Served)
	core.OpenRequests()
	c.Stop()
	if want := []observation{{"n", "read", 41, 1, policy.ConnectionReset}, {"n", "read", 42, 1, policy.OK}}; !slices.Equal(observations, want) {
		t.Errorf("observed %+v, want %+v", observations, want)
	}
}
