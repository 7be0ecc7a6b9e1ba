package policy

import (
	"fmt"
	"testing"
)

// Late requests must not take an overloaded node from other schedulers' requests in time.
func TestLateRequestAvoidsAnOverloadedNode(t *testing.T) {
	for window, sends := range map[float64]int{initialWindow: 1, minWindow / 2: 0} {
		r := newHarness(t, testSettings())
		r.step(call("first", "safe", 0, 3000)) // shows the class's span
		r.at(1020, done("first", 0, OK, true))
		r.s.nodeByID["a"].window.size = window
		late := call("late", "safe", 0, r.now+500) // 1.5 s old, past its aim of 400 ms
		late.Request.ClientRetry = true
		acts := r.step(late)
		if countActions(acts, Send) != sends || countActions(acts, Reject) != 1-sends {
			t.Errorf("window %v: %v", window, acts)
		}
	}
}

// Unreserved requests leave a slow node to the reserved ones of other schedulers; reserved ones do not. The
// estimate decays with time.
func TestUnreservedRequestLeavesASlowNode(t *testing.T) {
	r := newHarness(t, testSettings())
	n := r.s.nodeByID["a"]
	slow := func() {
		r.step(call("s", "once", 0, r.now+2000))
		ev := done("s", 0, OK, true)
		ev.Latency = 0.7 * r.s.minObjective
		r.at(r.now+1, ev)
	}
	slow()
	r.volume().reserved.tokens = -100
	if acts := r.step(call("share", "safe", 0, r.now+2000)); countActions(acts, Reject) != 1 {
		t.Errorf("share work: %v", acts)
	}
	r.volume().reserved.tokens = 9
	if acts := r.step(call("reserve", "safe", 0, r.now+2000)); countActions(acts, Send) != 1 {
		t.Errorf("reserve work: %v", acts)
	}
	r.at(r.now+2*latencyDecayMs, Event{Kind: TimerFired})
	if r.s.expectedLatency(n) > bandLatencyLimitObjectives[bandFairShare]*r.s.minObjective {
		t.Errorf("no way back: %v", r.s.expectedLatency(n))
	}
}

// What is rejected at no age counts past its objective, and a class with more weight keeps its
// place at a slow node for longer: else new objects crowd out reads that have one node.
func TestLatencyLimitFollowsTheClassWeight(t *testing.T) {
	r := newHarness(t, testSettings())
	a, b := r.s.classByName["safe"], r.s.classByName["once"]
	v := r.s.volume("v", r.s.planByName["p"], 1)
	for i := range 4 {
		r.s.rejectOrFail(&request{id: fmt.Sprint("x", i), class: a, volume: v, startedAt: r.now, chargedBand: bandFairShare}, 0)
	}
	b.sampleSum, b.sampleCount = 100, 2
	r.s.adapt()
	qa, qb := &request{class: a, band: bandFairShare}, &request{class: b, band: bandFairShare}
	if r.s.latencyLimit(qa, r.s.now) <= r.s.latencyLimit(qb, r.s.now) {
		t.Errorf("rooms %v and %v at weights %v and %v", r.s.latencyLimit(qa, r.s.now), r.s.latencyLimit(qb, r.s.now), a.weight, b.weight)
	}
}
