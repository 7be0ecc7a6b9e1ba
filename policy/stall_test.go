package policy

import (
	"fmt"
	"math"
	"testing"
)

// Attempts that hang must not fill the window of a silent node. It gets one request at a time until it answers.
func TestSilentNodeGetsOneRequestAtATimeAndRecovers(t *testing.T) {
	h := newHarness(t, testSettings())
	var first []Action
	for _, id := range []string{"u", "v", "w", "x"} {
		first = append(first, h.step(requestArrived(id, "once", 0, 9000))...)
	}
	if countActions(first, Send) != 4 {
		t.Fatalf("want 4 sends, the initial window: %v", first)
	}
	sends := 0
	for now := 1100.0; now < 6000; now += 10 {
		id := fmt.Sprint("q", now)
		sends += countActions(h.at(now, requestArrived(id, "once", 0, now+2000), Event{Kind: TimerFired, Tag: sweepTimer}), Send)
	}
	if sends < 2 || sends > 6 {
		t.Errorf("%d sends to a silent node in 5 s, so not one at a time", sends)
	}
	n := h.s.nodeByID["a"]
	if len(n.inFlight) == 0 {
		t.Fatal("no attempt in flight that could be answered")
	}
	h.step(attemptEnded(n.inFlight[0].id, 0, OK, true))
	if n.silent {
		t.Error("the node is still silent after an answer")
	}
	if n.slowStart.startedAt != h.now {
		t.Error("the node is not in slow start after a long silence")
	}
}

// An attempt that many later ones overtook no longer counts against the window, even before it ends.
func TestOvertakenAttemptFreesWindowCapacity(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(requestArrived("hung", "once", 0, 3000))
	for i := range 20 {
		id := fmt.Sprint("x", i)
		h.at(h.now+30, requestArrived(id, "once", 0, h.now+2000))
		h.at(h.now+10, attemptEnded(id, 0, OK, true))
	}
	if n := h.s.nodeByID["a"]; len(n.inFlight) != 0 || n.inFlightUnits != 0 {
		t.Errorf("%d requests and %v units in flight", len(n.inFlight), n.inFlightUnits)
	}
}

// After a stall of its own, a scheduler neither counts the wait as latency nor considers the node silent.
func TestOwnStallIsNoLatencySample(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 8 {
		id := fmt.Sprint("w", i)
		h.at(h.now+50, requestArrived(id, "once", 0, h.now+2000), Event{Kind: TimerFired, Tag: heartbeatTimer})
		h.at(h.now+20, attemptEnded(id, 0, OK, true))
	}
	latencyBefore := h.s.expectedLatency(h.s.nodeByID["a"])
	h.at(h.now+30, requestArrived("x", "once", 0, h.now+2000), Event{Kind: TimerFired, Tag: heartbeatTimer})
	lateAnswer := attemptEnded("x", 0, OK, true)
	lateAnswer.Latency = 1500
	h.at(h.now+1500, Event{Kind: TimerFired, Tag: heartbeatTimer}, lateAnswer)
	n := h.s.nodeByID["a"]
	if n.silent || h.s.expectedLatency(n) > latencyBefore {
		t.Errorf("silent %v, expected latency %v before and %v after", n.silent, latencyBefore, h.s.expectedLatency(n))
	}
	// Without a stall, the same answer is a latency sample.
	h.at(h.now+100, Event{Kind: TimerFired, Tag: heartbeatTimer})
	h.step(requestArrived("y", "once", 0, h.now+2000))
	lateAnswer = attemptEnded("y", 0, OK, true)
	lateAnswer.Latency = 1500
	h.at(h.now+100, lateAnswer)
	if h.s.expectedLatency(n) <= latencyBefore {
		t.Errorf("a slow answer did not raise the expected latency: %v", h.s.expectedLatency(n))
	}
}

// A request that is stuck at a stalled node past its objective is cancelled, and rejected or failed at once depending on
// its class. Its age is a latency sample of the node.
func TestStuckAttemptIsCancelledAtItsObjective(t *testing.T) {
	settings := testSettings()
	settings.MayCancel = true
	for class, end := range map[string]ActionKind{"safe": Reject, "once": Fail} {
		h := newHarness(t, settings)
		h.step(requestArrived("x", class, 0, 3000))
		for h.now < 1390 {
			if actions := h.at(h.now+10, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(actions, Cancel) > 0 {
				t.Fatalf("%s: cancelled at %v, objective 1400", class, h.now)
			}
		}
		if actions := h.at(1400, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(actions, Cancel) != 1 {
			t.Fatalf("%s: actions at the objective: %v", class, actions)
		}
		if latency := h.s.expectedLatency(h.s.nodeByID["a"]); latency < 300 {
			t.Errorf("%s: expected latency %v after 400 ms without an answer", class, latency)
		}
		actions := h.at(1402, attemptEnded("x", 0, Cancelled, false))
		actions = append(actions, h.at(1412, Event{Kind: TimerFired, Tag: sweepTimer})...)
		if countActions(actions, end) != 1 || countActions(actions, Send)+countActions(actions, Cancel) != 0 {
			t.Errorf("%s: actions after the cancellation: %v", class, actions)
		}
	}
}

// A request past its objective is not cancelled if its attempt has been in flight no longer than usual.
func TestAttemptOfUsualAgeIsNotCancelled(t *testing.T) {
	settings := testSettings()
	settings.MayCancel = true
	h := newHarness(t, settings)
	h.step(requestArrived("x", "safe", 0, 3000))
	h.s.poolLatency.ms, h.s.poolLatency.learnedAt = 300, h.now
	if actions := h.at(1401, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(actions, Cancel) > 0 {
		t.Errorf("cancelled: %v", actions)
	}
}

// After all nodes were silent and answer again, they are in slow start, and requests are served again within seconds.
func TestServiceRecoversAfterAllNodesRestart(t *testing.T) {
	h := newHarness(t, testSettings())
	served := 0
	inFlight := map[string]bool{}
	for now := 1010.0; now < 20000; now += 50 {
		nodesAnswer := now < 3000 || now > 7000
		events := []Event{{Kind: TimerFired, Tag: sweepTimer}}
		for id := range inFlight {
			if nodesAnswer {
				events = append(events, attemptEnded(id, 0, OK, true))
				served++
				delete(inFlight, id)
			}
		}
		id := fmt.Sprint("m", now)
		events = append(events, requestArrived(id, "safe", int(now/50)%2, now+2000))
		for _, a := range h.at(now, events...) {
			if a.Kind == Send {
				inFlight[a.ID] = true
			}
		}
		if now < 7000 {
			served = 0
		}
	}
	if served < 100 {
		t.Errorf("only %d requests served in the 13 s after the nodes answer again", served)
	}
	if n := h.s.nodeByID["a"]; n.silent || math.IsInf(n.slowStart.startedAt, -1) {
		t.Errorf("silent %v, slow start from %v", n.silent, n.slowStart.startedAt)
	}
}
