package core

import (
	"slices"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// Each attempt's end is told once, with the life of the node that it was sent to.
func TestObserveTellsEachAttempt(t *testing.T) {
	type told struct {
		node, class string
		since       int64
		units       float64
		status      policy.Status
	}
	var all []told // the actor's until it has stopped
	r := &rig{t: t}
	c, err := New(Options{Settings: settings(), Seed: 7, Log: nullLog(), NewNodeClient: r.connect,
		OnAttemptEnded: func(node string, since int64, class string, units, latencyMs float64, status policy.Status) {
			if all = append(all, told{node, class, since, units, status}); latencyMs < 0 {
				t.Errorf("%v ms", latencyMs)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	r.Core = c
	n := node("n", 0, policy.NodeUp)
	n.StartTime = 41
	r.list(policy.CachedListLoaded, n)
	_, got := r.ask("a", "read", time.Minute)
	first := <-r.peer("n").sent
	n.StartTime = 42
	r.list(policy.ListChanged, n)
	first.Done(Result{Status: policy.ConnectionReset})
	(<-r.peer("n").sent).Done(Result{Status: policy.OK})
	one(t, got, Served)
	r.OpenRequests()
	c.Stop()
	if want := []told{{"n", "read", 41, 1, policy.ConnectionReset}, {"n", "read", 42, 1, policy.OK}}; !slices.Equal(all, want) {
		t.Errorf("%+v, want %+v", all, want)
	}
}
