package coldstart

import (
	"reflect"
	"testing"
)

// A small run of the simulation: 100 hosts, 20 nodes, 3 seeds. With internal/coldstart no node crashes, the list service stays
// within its capacity, each request has one response and no rate limit is exceeded. Without it, nodes crash and the list
// service is overloaded in the same simulations, which shows that the simulation detects these faults.
func TestSmallVirtualFleet(t *testing.T) {
	opt := Options{Hosts: 100, Nodes: 20, Seeds: 3, Seed: 1, Capacity: 40, Scenarios: []string{"power cut", "power cut, half killed again"}}
	run := func(opt Options) *Report {
		if err := opt.Validate(); err != nil {
			t.Fatal(err)
		}
		rep, err := Run(t.Context(), opt, func(string, Mode) {})
		if err != nil {
			t.Fatal(err)
		}
		return rep
	}
	rep := run(opt)
	for _, problem := range rep.Bounds() {
		t.Error(problem)
	}
	for _, sc := range opt.Scenarios {
		without, with := rep.Row(sc, WithoutColdStart).Figures, rep.Row(sc, WithColdStart).Figures
		if without["falls"].Mean < 1 || without["list/s"].Mean < 2*opt.Capacity {
			t.Errorf("%s: the start without coldstart causes too little overload: %+v", sc, without)
		}
		if with["served"].Mean < without["served"].Mean || with["t100"].Worst > 6 {
			t.Errorf("%s: with coldstart, fewer requests were served or a host served its first one after 6 s: with %+v, without %+v", sc, with, without)
		}
	}
	single := Options{Hosts: 20, Nodes: 10, Seeds: 1, Seed: 5, Capacity: 20, Scenarios: []string{"power cut"}}
	if a, b := run(single), run(single); !reflect.DeepEqual(a, b) {
		t.Errorf("two runs with the same seed differ: %+v, %+v", a, b)
	}
}
