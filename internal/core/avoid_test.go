package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wheatsaddle/policy"
)

func TestNodesToAvoid(t *testing.T) {
	trail := func(nodes ...string) *AttemptedNodes { return &AttemptedNodes{nodes} }
	for _, c := range []struct {
		past []*AttemptedNodes
		up   []string
		want string
	}{
		{[]*AttemptedNodes{trail("a")}, []string{"a", "b"}, "[a]"},
		{[]*AttemptedNodes{trail("a")}, []string{"a"}, "[]"},                                             // no other node has the shard
		{[]*AttemptedNodes{trail("b"), trail("a")}, []string{"a", "b"}, "[b]"},                           // the newest request
		{[]*AttemptedNodes{trail("a", "b"), trail("c")}, []string{"a", "b", "c"}, "[b a]"},               // its last attempt first
		{[]*AttemptedNodes{trail("x"), trail(), trail("a"), trail("a")}, []string{"a", "b", "c"}, "[a]"}, // a removed node, no node, a node twice
	} {
		if got := fmt.Sprint(nodesToAvoid(c.past, c.up)); got != c.want {
			t.Errorf("%v of %v: %s, want %s", c.past, c.up, got, c.want)
		}
	}
}

// avoidCase is a request after earlier ones, and the node that it must go to.
type avoidCase struct {
	name   string
	change func(*fixture)
	past   int // earlier requests that it names
	want   string
	polled bool // the list is polled
}

// avoidCases are the scenarios of TestRequestAvoidsNodes.
func avoidCases() []avoidCase {
	return []avoidCase{
		{name: "no earlier request", want: "a"},
		{name: "one earlier request", past: 1, want: "b"},
		{name: "two earlier requests: the newest counts", past: 2, want: "a"},
		{name: "the other node is excluded", past: 1, want: "a", change: func(r *fixture) { _, _ = r.Exclude("b") }},
		{name: "the other node drains", past: 1, want: "a", change: func(r *fixture) { r.updateList(policy.ListChanged, newNode("b", 0, policy.NodeDraining)) }},
		{name: "the polled list is not current", past: 1, want: "a", polled: true, change: func(r *fixture) { r.updateList(policy.ListFailed) }},
		{name: "the polled list is current", past: 1, want: "b", polled: true},
		{name: "another request waits for the shard", past: 1, want: "a", change: func(r *fixture) {
			r.Submit(&Request{Request: policy.Request{ID: "w", Class: "read", Plan: "capped", Volume: "w", Units: 5, Schedulers: 1},
				ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(Answer) {}})
		}},
	}
}

// A request that names earlier ones is dispatched to another node of the shard; later requests are not affected.
func TestRequestAvoidsNodes(t *testing.T) {
	for _, c := range avoidCases() {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Plans[0].ReservedRate = 0 // without a reserved rate it would be rejected while no node has capacity
			set.PollsEndpointList, set.PollWithin = c.polled, 2000
			set.Plans = append(set.Plans, policy.Plan{Name: "capped", Rate: 1, Weight: 1, Price: 1, RateLimit: 1, LimitBurst: 1})
			r := startCore(t, set)
			r.updateList(policy.ListReceived, newNode("a", 0, policy.NodeUp), newNode("b", 0, policy.NodeUp))
			var trails []*AttemptedNodes
			dispatch := func(id string, earlier []*AttemptedNodes) string {
				node, trail := r.dispatchAvoiding(t, id, earlier)
				trails = slices.Insert(trails, 0, trail)
				return node
			}
			if got := dispatch("1", nil); got != "a" {
				t.Fatalf("the first request went to %s", got)
			}
			if c.past == 2 {
				dispatch("2", trails)
			}
			if c.change != nil {
				c.change(r)
			}
			var avoided []string
			_, _ = r.changeExclusions(func(now float64) ([]string, error) {
				avoided = r.nodesAvoidedBy(&requestState{request: &Request{AvoidNodes: trails[:c.past]}}, now)
				return nil, nil
			})
			if avoids := c.past == 2 || c.want == "b"; avoids != (len(avoided) == 1) {
				t.Errorf("avoided %v", avoided)
			}
			if got := dispatch("3", trails[:c.past]); got != c.want {
				t.Errorf("the request went to %s, want %s", got, c.want)
			}
			if got := dispatch("4", nil); got != "a" {
				t.Errorf("the next, which names no earlier request, went to %s", got)
			}
		})
	}
}

// dispatchAvoiding has a request with nodes to avoid served by a or b, and returns the node and the nodes it went to.
func (r *fixture) dispatchAvoiding(t *testing.T, id string, earlier []*AttemptedNodes) (string, *AttemptedNodes) {
	t.Helper()
	got := make(chan Answer, 8)
	q := &Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1},
		AttemptedNodes: &AttemptedNodes{}, AvoidNodes: earlier,
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(x Answer) { got <- x }}
	r.Submit(q)
	var a *Attempt
	select {
	case a = <-r.node("a").sent:
	case a = <-r.node("b").sent:
	}
	a.Done(Result{Status: policy.OK})
	expectAnswer(t, got, Served)
	return a.Node, q.AttemptedNodes
}
