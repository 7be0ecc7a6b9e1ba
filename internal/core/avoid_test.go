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
		{[]*AttemptedNodes{trail("a")}, []string{"a"}, "[]"},                                             // nobody else has the shard
		{[]*AttemptedNodes{trail("b"), trail("a")}, []string{"a", "b"}, "[b]"},                           // the newest
		{[]*AttemptedNodes{trail("a", "b"), trail("c")}, []string{"a", "b", "c"}, "[b a]"},               // the last of its attempts first
		{[]*AttemptedNodes{trail("x"), trail(), trail("a"), trail("a")}, []string{"a", "b", "c"}, "[a]"}, // one that left, none, twice
	} {
		if got := fmt.Sprint(nodesToAvoid(c.past, c.up)); got != c.want {
			t.Errorf("%v of %v: %s, not %s", c.past, c.up, got, c.want)
		}
	}
}

// A request that follows others goes to another node of the shard, and only it does: the module's view is the list's again.
func TestRequestAvoidsNodes(t *testing.T) {
	for _, c := range []struct {
		name   string
		amid   func(*fixture)
		past   int // requests before it that it names
		want   string
		inTurn bool // the list must be asked for
	}{
		{name: "none named", want: "a"},
		{name: "one", past: 1, want: "b"},
		{name: "both: the newest", past: 2, want: "a"},
		{name: "the other is out by hand", past: 1, want: "a", amid: func(r *fixture) { _, _ = r.Exclude("b") }},
		{name: "the other drains", past: 1, want: "a", amid: func(r *fixture) { r.updateList(policy.ListChanged, newNode("b", 0, policy.NodeDraining)) }},
		{name: "the list is not heard", past: 1, want: "a", inTurn: true, amid: func(r *fixture) { r.updateList(policy.ListFailed) }},
		{name: "the list is heard", past: 1, want: "b", inTurn: true},
		{name: "others wait for the shard", past: 1, want: "a", amid: func(r *fixture) {
			r.Submit(&Request{Request: policy.Request{ID: "w", Class: "read", Plan: "capped", Volume: "w", Units: 5, Schedulers: 1},
				ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(Answer) {}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			set := settings()
			set.Plans[0].ReservedRate = 0 // what has none is refused where no node can take it
			set.PollsEndpointList, set.PollWithin = c.inTurn, 2000
			set.Plans = append(set.Plans, policy.Plan{Name: "capped", Rate: 1, Weight: 1, Price: 1, RateLimit: 1, LimitBurst: 1})
			r := startCore(t, set)
			r.updateList(policy.ListReceived, newNode("a", 0, policy.NodeUp), newNode("b", 0, policy.NodeUp))
			var trails []*AttemptedNodes
			goes := func(id string, past []*AttemptedNodes) string {
				got := make(chan Answer, 8)
				q := &Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1}, AttemptedNodes: &AttemptedNodes{}, AvoidNodes: past,
					ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(x Answer) { got <- x }}
				r.Submit(q)
				var a *Attempt
				select {
				case a = <-r.node("a").sent:
				case a = <-r.node("b").sent:
				}
				a.Done(Result{Status: policy.OK})
				expectAnswer(t, got, Served)
				trails = slices.Insert(trails, 0, q.AttemptedNodes)
				return a.Node
			}
			if got := goes("1", nil); got != "a" {
				t.Fatalf("the first went to %s", got)
			}
			if c.past == 2 {
				goes("2", trails)
			}
			if c.amid != nil {
				c.amid(r)
			}
			var away []string
			_, _ = r.changeExclusions(func(now float64) ([]string, error) {
				away = r.nodesAvoidedBy(&requestState{request: &Request{AvoidNodes: trails[:c.past]}}, now)
				return nil, nil
			})
			if passes := c.past == 2 || c.want == "b"; passes != (len(away) == 1) {
				t.Errorf("kept from %v", away)
			}
			if got := goes("3", trails[:c.past]); got != c.want {
				t.Errorf("it went to %s, not %s", got, c.want)
			}
			if got := goes("4", nil); got != "a" {
				t.Errorf("the next, which follows nothing, went to %s", got)
			}
		})
	}
}
