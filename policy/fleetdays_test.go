package policy

import (
	"fmt"
	"testing"
)

// Three days of a fleet, in small: seven in ten schedulers are killed at once and restart, a third of
// the nodes is lost and returns cold, and six in ten nodes are replaced within 7 s. Over all schedulers
// together no node in slow start gets more than it bears, no drained one new work after the grace, no
// limited volume more than its limit, and each request one final answer. Most is served.
func TestFleetKeepsTheRulesOnDaysWithFaults(t *testing.T) {
	for name, trouble := range simulationDays {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 7)
			trouble(w)
			w.run()
			all := w.ends["served"] + w.ends["refused"] + w.ends["failed"]
			t.Logf("%d requests: %v", all, w.ends)
			if w.ends["served"] < all/2 {
				t.Errorf("of %d requests %d were served", all, w.ends["served"])
			}
		})
	}
}

var simulationDays = map[string]func(*simulation){
	"herd": func(w *simulation) {
		w.after(6000, func() {
			for _, i := range w.rng.Perm(simulatedSchedulers)[:simulatedSchedulers*7/10] {
				h := w.schedulers[i]
				h.incarnation, h.down = h.incarnation+1, true // what it held is its clients' to ask for again
				w.after(500+1000*w.rng.Float64(), h.start)
			}
		})
	},
	"zone": func(w *simulation) {
		w.after(5000, func() {
			for i := 0; i < simulatedNodes; i += 3 {
				n := w.shard[i]
				w.stopNode(n)
				w.after(5000, func() { w.startNode(n) })
			}
		})
	},
	"join": func(w *simulation) {
		for i := range simulatedNodes * 6 / 10 {
			old := w.shard[i]
			w.after(4000+7000*float64(i)/simulatedNodes/0.6, func() {
				next := &simulatedNode{Node: Node{ID: fmt.Sprint("m", i), Shard: i, Weight: 1}, alive: true}
				w.nodes[next.ID] = next
				w.startNode(next)
				old.State = NodeDraining
				w.announce(old.Node)
				w.after(1500, func() { old.State = NodeRemoved; w.stopNode(old); w.announce(old.Node) })
			})
		}
	},
}
