package policy

import (
	"fmt"
	"testing"
)

// Late requests must not use the capacity of an overloaded node that requests in time from other schedulers need.
func TestLateRequestAvoidsAnOverloadedNode(t *testing.T) {
	for window, sends := range map[float64]int{initialWindow: 1, minWindow / 2: 0} {
		h := newHarness(t, testSettings())
		h.step(requestArrived("first", "safe", 0, 3000)) // shows the client's timeout for the class
		h.at(1020, attemptEnded("first", 0, OK, true))
		h.s.nodeByID["a"].window.size = window
		late := requestArrived("late", "safe", 0, h.now+500) // 1.5 s old, past its objective of 400 ms
		late.Request.ClientRetry = true
		actions := h.step(late)
		if countActions(actions, Send) != sends || countActions(actions, Reject) != 1-sends {
			t.Errorf("window %v: actions %v", window, actions)
		}
	}
}

// Unreserved requests avoid a slow node, so that it can serve the reserved requests of other schedulers. Reserved
// requests are still sent to it. The latency estimate decays with time.
func TestUnreservedRequestAvoidsASlowNode(t *testing.T) {
	h := newHarness(t, testSettings())
	n := h.s.nodeByID["a"]
	answerSlowly := func() {
		h.step(requestArrived("s", "once", 0, h.now+2000))
		ev := attemptEnded("s", 0, OK, true)
		ev.Latency = 0.7 * h.s.minObjective
		h.at(h.now+1, ev)
	}
	answerSlowly()
	h.volume().reserved.tokens = -100
	if actions := h.step(requestArrived("share", "safe", 0, h.now+2000)); countActions(actions, Reject) != 1 {
		t.Errorf("request in the fair-share band: %v", actions)
	}
	h.volume().reserved.tokens = 9
	if actions := h.step(requestArrived("reserve", "safe", 0, h.now+2000)); countActions(actions, Send) != 1 {
		t.Errorf("request in the reserved band: %v", actions)
	}
	h.at(h.now+2*latencyDecayMs, Event{Kind: TimerFired})
	if h.s.expectedLatency(n) > bandLatencyLimitObjectives[bandFairShare]*h.s.minObjective {
		t.Errorf("the latency estimate did not decay: %v", h.s.expectedLatency(n))
	}
}

// A request that is rejected on arrival is a delay sample above its objective, and a class with more weight has a higher
// latency limit. Otherwise new objects would displace reads that can use only one node.
func TestLatencyLimitFollowsTheClassWeight(t *testing.T) {
	h := newHarness(t, testSettings())
	a, b := h.s.classByName["safe"], h.s.classByName["once"]
	v := h.s.volume("v", h.s.planByName["p"], 1)
	for i := range 4 {
		h.s.rejectOrFail(&request{id: fmt.Sprint("x", i), class: a, volume: v, startedAt: h.now, chargedBand: bandFairShare}, 0, ReasonAttemptFailed)
	}
	b.sampleSum, b.sampleCount = 100, 2
	h.s.adapt()
	requestA, requestB := &request{class: a, band: bandFairShare}, &request{class: b, band: bandFairShare}
	if h.s.latencyLimit(requestA, h.s.now) <= h.s.latencyLimit(requestB, h.s.now) {
		t.Errorf("latency limits %v and %v at weights %v and %v", h.s.latencyLimit(requestA, h.s.now), h.s.latencyLimit(requestB, h.s.now), a.weight, b.weight)
	}
}
