package policy_test

import (
	"fmt"

	"wheatsaddle/policy"
)

// An instance receives the endpoint list and then a request, and returns the action that sends the request to a node.
func Example() {
	s, err := policy.New(policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 8, SlowStartUnits: 20, MaxAttempts: 3,
		DrainGrace: 1000, ListStalenessBound: 10000, SlowStartShare: 0.2, SlowStartDuration: 10000, OverloadMultiple: 3, OverloadWindow: 2000,
		Classes: []policy.Class{{Name: "read", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1}},
		Plans:   []policy.Plan{{Name: "basic", Rate: 10, ReservedRate: 5, Weight: 1, Price: 1}}}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	s.Step(0, []policy.Event{{Kind: policy.ListReceived, Nodes: []policy.Node{{ID: "node-1", Shard: 0}}}}, nil)
	actions := s.Step(5, []policy.Event{{Kind: policy.RequestArrived, Request: policy.Request{ID: "r1", Class: "read",
		Plan: "basic", Key: "piece", Volume: "vol", Deadline: 2005, Units: 2, Shard: 0, Schedulers: 1}}}, nil)
	for _, a := range actions {
		if a.Kind == policy.Send {
			fmt.Println("send", a.ID, "to", a.Node)
		}
	}
	// Output: send r1 to node-1
}
