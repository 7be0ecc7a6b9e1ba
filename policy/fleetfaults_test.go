package policy

import (
	"fmt"
	"testing"
)

// Simulates a small fleet in three fault scenarios: 70 % of the schedulers are killed at once and restart, a third of
// the nodes fails and restarts, or 60 % of the nodes are replaced within 7 s. The simulation checks over all schedulers
// together that no node in slow start gets more than its capacity, no draining node gets new work after its grace
// period, no volume exceeds its rate limit, and each request ends exactly once. Most requests must be served.
func TestFleetKeepsTheRulesUnderFaults(t *testing.T) {
	for name, addScenario := range simulationScenarios {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 7)
			addScenario(sim)
			sim.run()
			total := sim.outcomes["served"] + sim.outcomes["rejected"] + sim.outcomes["failed"]
			t.Logf("%d requests: %v", total, sim.outcomes)
			if sim.outcomes["served"] < total/2 {
				t.Errorf("of %d requests only %d were served", total, sim.outcomes["served"])
			}
		})
	}
}

var simulationScenarios = map[string]func(*simulation){
	"herd": func(sim *simulation) {
		sim.after(6000, func() {
			for _, i := range sim.rng.Perm(simulatedSchedulers)[:simulatedSchedulers*7/10] {
				h := sim.schedulers[i]
				h.incarnation, h.down = h.incarnation+1, true // its requests are lost, and their clients may retry
				sim.after(500+1000*sim.rng.Float64(), h.start)
			}
		})
	},
	"zone": func(sim *simulation) {
		sim.after(5000, func() {
			for i := 0; i < simulatedNodes; i += 3 {
				n := sim.shard[i]
				sim.stopNode(n)
				sim.after(5000, func() { sim.startNode(n) })
			}
		})
	},
	"join": func(sim *simulation) {
		for i := range simulatedNodes * 6 / 10 {
			old := sim.shard[i]
			sim.after(4000+7000*float64(i)/simulatedNodes/0.6, func() {
				next := &simulatedNode{Node: Node{ID: fmt.Sprint("m", i), Shard: i, Weight: 1}, alive: true}
				sim.nodes[next.ID] = next
				sim.startNode(next)
				old.State = NodeDraining
				sim.announce(old.Node)
				sim.after(1500, func() { old.State = NodeRemoved; sim.stopNode(old); sim.announce(old.Node) })
			})
		}
	},
}
