package coldstart

import (
	"math"
	"slices"
	"testing"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/policy"
)

// lie has every host believe what it is handed over: of each node of the start that the list will give, that it
// serves at once and bears as much as any may; and every process say that no node has started anew.
func (w *world) lie() {
	lies := policy.Learned{Classes: []policy.LearnedClass{{Name: "safe", Weight: 1, Slope: 1e9}, {Name: "once", Weight: 1, Slope: 1e9}}}
	for _, n := range w.nodes {
		lies.Nodes = append(lies.Nodes, policy.LearnedNode{ID: n.ID, StartTime: n.StartTime, Window: 32, Latency: 1, BestLatencyPerUnit: 0.01})
	}
	for _, h := range w.hosts {
		h.learned = lies
		if h.down {
			continue
		}
		for _, n := range h.held {
			h.hear(coldstart.PeerReported{Node: coldstart.Node{ID: n.ID, StartTime: n.StartTime}})
		}
		if h.begin != nil {
			h.hear(coldstart.SnapshotReceived{Snapshot: h.nodes(h.held)})
		}
	}
	w.after(20, w.lie)
}

// With every peer lying no rule is broken, no cold node gets more than it bears, and no volume more than its
// limit: in the scenarios in which most is cold, and least of the list is known.
func TestLyingPeersBreakNoRule(t *testing.T) {
	opt, seeds := Options{Hosts: 60, Nodes: 12, Capacity: 24}, int64(2)
	changed := 0.0
	for _, name := range []string{"power cut", "power cut, list down 8 s", "power cut, half killed again"} {
		sc := Scenarios[slices.IndexFunc(Scenarios, func(s Scenario) bool { return s.Name == name })]
		for seed := range seeds {
			w, honest := newWorld(opt, sc, Snapshot, seed), newWorld(opt, sc, Snapshot, seed)
			w.after(before+1, w.lie)
			r, h := w.run(), honest.run()
			if r.Falls > 0 || r.Worst > 1 || len(r.Broken) > 0 {
				t.Errorf("%s, seed %d: %.0f nodes fell, one got %.2f of what it bears; %v", name, seed, r.Falls, r.Worst, r.Broken)
			}
			changed += math.Abs(r.Served - h.Served)
			t.Logf("%s, seed %d: worst %.2f (honest %.2f), served %.0f (%.0f), refused %.0f (%.0f)", name, seed, r.Worst, h.Worst, r.Served, h.Served, r.Refused, h.Refused)
		}
	}
	if changed == 0 {
		t.Error("the lies changed nothing")
	}
}
