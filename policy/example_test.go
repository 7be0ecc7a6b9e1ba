package policy_test

import (
	"fmt"

	"wheatsaddle/policy"
)

// One host, one node, one request in and the action out.
func Example() {
	s, err := policy.New(policy.Settings{Hosts: 1, MeanUnits: 2, MostUnits: 8, ColdUnits: 20, MaxAttempts: 3,
		DrainGrace: 1000, AskWithin: 10000, ColdFrom: 0.2, ColdSpan: 10000, TipMultiple: 3, TipSpan: 2000,
		Classes: []policy.Class{{Name: "read", Aim: 400, Deadline: 2000, Worth: 1}},
		Plans:   []policy.Plan{{Name: "basic", Rate: 10, Reserve: 5, Weight: 1, Price: 1}}}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	s.Step(0, []policy.Event{{Kind: policy.ListFull, Nodes: []policy.Node{{ID: "node-1", Shard: 0}}}}, nil)
	actions := s.Step(5, []policy.Event{{Kind: policy.Arrival, Req: policy.Request{ID: "r1", Class: "read",
		Plan: "basic", Key: "piece", Volume: "vol", NotAfter: 2005, Units: 2, Shard: 0, Hosts: 1}}}, nil)
	for _, a := range actions {
		if a.Kind == policy.Send {
			fmt.Println("send", a.ID, "to", a.Node)
		}
	}
	// Output: send r1 to node-1
}
