package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wheatsaddle/policy"
)

func TestNodesToAvoid(t *testing.T) {
	nodes := func(nodes ...string) *AttemptedNodes { return &AttemptedNodes{nodes} }
	for _, tc := range []struct {
		earlier []*AttemptedNodes
		up      []string
		want    string
	}{
		{[]*AttemptedNodes{nodes("a")}, []string{"a", "b"}, "[a]"},
		{[]*AttemptedNodes{nodes("a")}, []string{"a"}, "[]"},                                             // there is no other node
		{[]*AttemptedNodes{nodes("b"), nodes("a")}, []string{"a", "b"}, "[b]"},                           // the node of the newest request is avoided first
		{[]*AttemptedNodes{nodes("a", "b"), nodes("c")}, []string{"a", "b", "c"}, "[b a]"},               // the node of its last attempt is avoided first
		{[]*AttemptedNodes{nodes("x"), nodes(), nodes("a"), nodes("a")}, []string{"a", "b", "c"}, "[a]"}, // a removed node, a request without attempts, the same node twice
	} {
		if got := fmt.Sprint(nodesToAvoid(tc.earlier, tc.up)); got != tc.want {
			t.Errorf("earlier requests at %v, nodes up %v: avoided %s, want %s", tc.earlier, tc.up, got, tc.want)
		}
	}
}

// avoidCase is a request that refers to earlier ones, and the node that it must be dispatched to.
type avoidCase struct {
	name            string
	prepare         func(*fixture)
	earlierRequests int // number of earlier requests whose nodes it avoids
	wantNode        string
	polled          bool // whether the endpoint list is polled
}

// avoidCases are the scenarios of TestRequestAvoidsNodes.
func avoidCases() []avoidCase {
	return []avoidCase{
		{name: "no earlier request", wantNode: "a"},
		{name: "one earlier request", earlierRequests: 1, wantNode: "b"},
		{name: "two earlier requests: the newest counts", earlierRequests: 2, wantNode: "a"},
		{name: "the other node is excluded", earlierRequests: 1, wantNode: "a", prepare: func(core *fixture) { _, _ = core.Exclude("b") }},
		{name: "the other node drains", earlierRequests: 1, wantNode: "a", prepare: func(core *fixture) { core.updateList(policy.ListChanged, newNode("b", 0, policy.NodeDraining)) }},
		{name: "the polled list is not current", earlierRequests: 1, wantNode: "a", polled: true, prepare: func(core *fixture) { core.updateList(policy.ListFailed) }},
		{name: "the polled list is current", earlierRequests: 1, wantNode: "b", polled: true},
		{name: "another request waits for the shard", earlierRequests: 1, wantNode: "a", prepare: func(core *fixture) {
			core.Submit(&Request{Request: policy.Request{ID: "w", Class: "read", Plan: "capped", Volume: "w", Units: 5, Schedulers: 1},
				ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(Answer) {}})
		}},
	}
}

// A request that refers to earlier ones is dispatched to another node of the shard. Later requests are not affected.
func TestRequestAvoidsNodes(t *testing.T) {
	for _, tc := range avoidCases() {
		t.Run(tc.name, func(t *testing.T) {
			settings := testSettings()
			settings.Plans[0].ReservedRate = 0 // without a reserved rate, a request is rejected while no node has capacity
			settings.PollsEndpointList, settings.ListStalenessBound = tc.polled, 2000
			settings.Plans = append(settings.Plans, policy.Plan{Name: "capped", Rate: 1, Weight: 1, Price: 1, RateLimit: 1, LimitBurst: 1})
			core := startCore(t, settings)
			core.updateList(policy.ListReceived, newNode("a", 0, policy.NodeUp), newNode("b", 0, policy.NodeUp))
			var earlierNodes []*AttemptedNodes
			dispatch := func(id string, earlier []*AttemptedNodes) string {
				node, attempted := core.dispatchAvoiding(t, id, earlier)
				earlierNodes = slices.Insert(earlierNodes, 0, attempted)
				return node
			}
			if got := dispatch("1", nil); got != "a" {
				t.Fatalf("the first request went to %s, want a", got)
			}
			if tc.earlierRequests == 2 {
				dispatch("2", earlierNodes)
			}
			if tc.prepare != nil {
				tc.prepare(core)
			}
			var avoided []string
			_, _ = core.changeExclusions(func(now float64) ([]string, error) {
				avoided = core.nodesAvoidedBy(&requestState{request: &Request{AvoidNodes: earlierNodes[:tc.earlierRequests]}}, now)
				return nil, nil
			})
			if avoids := tc.earlierRequests == 2 || tc.wantNode == "b"; avoids != (len(avoided) == 1) {
				t.Errorf("wrong number of avoided nodes: %v", avoided)
			}
			if got := dispatch("3", earlierNodes[:tc.earlierRequests]); got != tc.wantNode {
				t.Errorf("the request went to %s, want %s", got, tc.wantNode)
			}
			if got := dispatch("4", nil); got != "a" {
				t.Errorf("the next request, which avoids no nodes, went to %s, want a", got)
			}
		})
	}
}

// dispatchAvoiding submits a request that avoids the nodes of earlier requests, serves it at node a or b, and returns this
// node and the request's attempted nodes.
func (f *fixture) dispatchAvoiding(t *testing.T, id string, earlier []*AttemptedNodes) (string, *AttemptedNodes) {
	t.Helper()
	answers := make(chan Answer, 8)
	request := &Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1},
		AttemptedNodes: &AttemptedNodes{}, AvoidNodes: earlier,
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(x Answer) { answers <- x }}
	f.Submit(request)
	var attempt *Attempt
	select {
	case attempt = <-f.node("a").sent:
	case attempt = <-f.node("b").sent:
	}
	attempt.Done(Result{Status: policy.OK})
	expectAnswer(t, answers, Served)
	return attempt.Node, request.AttemptedNodes
}
