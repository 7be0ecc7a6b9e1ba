package coldstart

import (
	"math"
	"slices"
	"testing"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/policy"
)

// reportFalseState gives every host false information, and repeats this every 20 ms. The snapshots say of each current start
// of a node that it is warm and takes the full load. Peers report that no node in the cached list has restarted, and send
// snapshots that say the same.
func (sim *simulation) reportFalseState() {
	falseSnapshot := policy.Learned{Classes: []policy.LearnedClass{{Name: "safe", Weight: 1, Slope: 1e9}, {Name: "once", Weight: 1, Slope: 1e9}}}
	for _, n := range sim.nodes {
		falseSnapshot.Nodes = append(falseSnapshot.Nodes, policy.LearnedNode{ID: n.ID, StartTime: n.StartTime, Window: 32, Latency: 1, BestLatencyPerUnit: 0.01})
	}
	for _, h := range sim.hosts {
		h.snapshot = falseSnapshot
		if h.down {
			continue
		}
		for _, n := range h.cachedList {
			h.stepStartup(coldstart.PeerReported{Node: coldstart.Node{ID: n.ID, StartTime: n.StartTime}})
		}
		if h.startup != nil {
			h.stepStartup(coldstart.SnapshotReceived{Snapshot: h.startupNodes(h.cachedList)})
		}
	}
	sim.after(20, sim.reportFalseState)
}

// With false snapshots and peer reports on all hosts, no rule is violated, no cold node gets more load than it withstands and
// no volume exceeds its rate limit. The scenarios are those with the most cold nodes and the least knowledge of the node list.
func TestFalsePeerReports(t *testing.T) {
	opt, seeds := Options{Hosts: 60, Nodes: 12, Capacity: 24}, int64(2)
	changed := 0.0
	for _, name := range []string{"power cut", "power cut, list down 8 s", "power cut, half killed again"} {
		sc := Scenarios[slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })]
		for seed := range seeds {
			sim, honest := newSimulation(opt, sc, WithSnapshot, seed), newSimulation(opt, sc, WithSnapshot, seed)
			sim.after(warmUpDuration+1, sim.reportFalseState)
			result, honestResult := sim.run(), honest.run()
			if result.Crashes > 0 || result.MaxColdLoad > 1 || len(result.Violations) > 0 {
				t.Errorf("%s, seed %d: %.0f node crashes, highest load of a cold node %.2f of its limit; rules violated: %v", name, seed, result.Crashes, result.MaxColdLoad, result.Violations)
			}
			changed += math.Abs(result.Served - honestResult.Served)
			t.Logf("%s, seed %d: highest cold load %.2f (with true reports %.2f), served %.0f (%.0f), rejected %.0f (%.0f)", name, seed, result.MaxColdLoad, honestResult.MaxColdLoad, result.Served, honestResult.Served, result.Rejected, honestResult.Rejected)
		}
	}
	if changed == 0 {
		t.Error("the false reports changed no result")
	}
}
