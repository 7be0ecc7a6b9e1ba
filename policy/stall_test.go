package policy

import (
	"fmt"
	"math"
	"testing"
)

// Attempts that hang must not fill the window: a silent node gets one request at a time until it answers.
func TestSilentNodeGetsOneRequestAtATimeAndRecovers(t *testing.T) {
	r := newHarness(t, testSettings())
	var first []Action
	for _, id := range []string{"u", "v", "w", "x"} {
		first = append(first, r.step(call(id, "once", 0, 9000))...)
	}
	if countActions(first, Send) != 4 {
		t.Fatalf("a window of four: %v", first)
	}
	sends := 0
	for now := 1100.0; now < 6000; now += 10 {
		id := fmt.Sprint("q", now)
		sends += countActions(r.at(now, call(id, "once", 0, now+2000), Event{Kind: TimerFired, Tag: sweepTimer}), Send)
	}
	if sends < 2 || sends > 6 {
		t.Errorf("%d sends to a silent node in 5 s: not one at a time", sends)
	}
	n := r.s.nodeByID["a"]
	if len(n.inFlight) == 0 {
		t.Fatal("nothing in flight to be answered")
	}
	r.step(done(n.inFlight[0].id, 0, OK, true))
	if n.silent {
		t.Error("still silent after an answer")
	}
	if n.slowStart.startedAt != r.now {
		t.Error("back from long silence, yet not in slow start")
	}
}

// An attempt that many later ones overtook frees its place before its end.
func TestOvertakenAttemptFreesItsPlaceInTheWindow(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(call("hung", "once", 0, 3000))
	for i := range 20 {
		id := fmt.Sprint("x", i)
		r.at(r.now+30, call(id, "once", 0, r.now+2000))
		r.at(r.now+10, done(id, 0, OK, true))
	}
	if n := r.s.nodeByID["a"]; len(n.inFlight) != 0 || n.inFlightUnits != 0 {
		t.Errorf("%d out, %v units", len(n.inFlight), n.inFlightUnits)
	}
}

// A scheduler that was stalled neither counts the wait as latency nor takes the node for silent.
func TestOwnStallIsNoSampleOfTheNodes(t *testing.T) {
	r := newHarness(t, testSettings())
	for i := range 8 {
		id := fmt.Sprint("w", i)
		r.at(r.now+50, call(id, "once", 0, r.now+2000), Event{Kind: TimerFired, Tag: heartbeatTimer})
		r.at(r.now+20, done(id, 0, OK, true))
	}
	usual := r.s.expectedLatency(r.s.nodeByID["a"])
	r.at(r.now+30, call("x", "once", 0, r.now+2000), Event{Kind: TimerFired, Tag: heartbeatTimer})
	late := done("x", 0, OK, true)
	late.Latency = 1500
	r.at(r.now+1500, Event{Kind: TimerFired, Tag: heartbeatTimer}, late)
	n := r.s.nodeByID["a"]
	if n.silent || r.s.expectedLatency(n) > usual {
		t.Errorf("silent %v, usual %v before, %v after", n.silent, usual, r.s.expectedLatency(n))
	}
	// the same answer without a stall is a word on the node
	r.at(r.now+100, Event{Kind: TimerFired, Tag: heartbeatTimer})
	r.step(call("y", "once", 0, r.now+2000))
	late = done("y", 0, OK, true)
	late.Latency = 1500
	r.at(r.now+100, late)
	if r.s.expectedLatency(n) <= usual {
		t.Errorf("a slow answer changed nothing: %v", r.s.expectedLatency(n))
	}
}

// A stalled node holds one request of each of many schedulers: what is stuck past its
// objective is cancelled and answered at once, rejected or failed by what its class allows; it counts.
func TestStuckAttemptIsCancelledAtItsObjective(t *testing.T) {
	set := testSettings()
	set.MayCancel = true
	for class, end := range map[string]ActionKind{"safe": Reject, "once": Fail} {
		r := newHarness(t, set)
		r.step(call("x", class, 0, 3000))
		for r.now < 1390 {
			if acts := r.at(r.now+10, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(acts, Cancel) > 0 {
				t.Fatalf("%s: cancelled at %v, objective 1400", class, r.now)
			}
		}
		if acts := r.at(1400, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(acts, Cancel) != 1 {
			t.Fatalf("%s at the objective: %v", class, acts)
		}
		if u := r.s.expectedLatency(r.s.nodeByID["a"]); u < 300 {
			t.Errorf("%s: usual latency %v after 400 ms without an answer", class, u)
		}
		acts := r.at(1402, done("x", 0, Cancelled, false))
		acts = append(acts, r.at(1412, Event{Kind: TimerFired, Tag: sweepTimer})...)
		if countActions(acts, end) != 1 || countActions(acts, Send)+countActions(acts, Cancel) != 0 {
			t.Errorf("%s after the cancellation: %v", class, acts)
		}
	}
}

// A request that waited here, and is in flight for no longer than usual, is not cancelled.
func TestAttemptOfUsualAgeIsNotCancelled(t *testing.T) {
	set := testSettings()
	set.MayCancel = true
	r := newHarness(t, set)
	r.step(call("x", "safe", 0, 3000))
	r.s.poolLatency.ms, r.s.poolLatency.learnedAt = 300, r.now
	if acts := r.at(1401, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(acts, Cancel) > 0 {
		t.Errorf("cancelled: %v", acts)
	}
}

// Nodes that vanish together and come back: no request is lost, the first answer after
// long silence finds a node in slow start, and work flows again within seconds.
func TestServiceRecoversAfterAllNodesRestart(t *testing.T) {
	r := newHarness(t, testSettings())
	served := 0
	outs := map[string]bool{}
	for now := 1010.0; now < 20000; now += 50 {
		answer := now < 3000 || now > 7000
		evs := []Event{{Kind: TimerFired, Tag: sweepTimer}}
		for id := range outs {
			if answer {
				evs = append(evs, done(id, 0, OK, true))
				served++
				delete(outs, id)
			}
		}
		id := fmt.Sprint("m", now)
		evs = append(evs, call(id, "safe", int(now/50)%2, now+2000))
		for _, a := range r.at(now, evs...) {
			if a.Kind == Send {
				outs[a.ID] = true
			}
		}
		if now < 7000 {
			served = 0
		}
	}
	if served < 100 {
		t.Errorf("%d served in the 13 s after the nodes are back", served)
	}
	if n := r.s.nodeByID["a"]; n.silent || math.IsInf(n.slowStart.startedAt, -1) {
		t.Errorf("silent %v, cold at %v", n.silent, n.slowStart.startedAt)
	}
}
