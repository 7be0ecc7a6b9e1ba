package policy

import (
	"fmt"
	"testing"
)

func TestNonIdempotentRequestIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for _, tc := range []struct {
		status       Status
		sends, fails int
	}{{Errored, 0, 1}, {TimedOut, 0, 1}, {ConnectionReset, 0, 1}, {Cancelled, 0, 1}, {NodeFull, 1, 0}, {ConnectFailed, 1, 0}} {
		h := newHarness(t, testSettings())
		h.step(requestArrived("x", "once", 0, 3000))
		actions := h.at(1100, attemptEnded("x", 0, tc.status, false))
		actions = append(actions, h.at(1700, Event{Kind: TimerFired, Tag: sweepTimer})...)
		if tc.sends == 1 { // past the objective the retry is in the last band but must still be sent
			actions = append(actions, h.at(1310, Event{Kind: TimerFired, Tag: sweepTimer})...)
		}
		if countActions(actions, Fail) != tc.fails {
			t.Errorf("status %v: %v", tc.status, actions)
		}
		if tc.sends == 0 && countActions(actions, Send) != 0 {
			t.Errorf("status %v: sent again", tc.status)
		}
	}
}

func TestRetryBudgetHoldsInItsWindow(t *testing.T) {
	settings := testSettings()
	settings.RetryBudgetWindow, settings.RetryBudgetMin, settings.RetryBudgetShare = 5000, 1, 0
	h := newHarness(t, settings)
	h.step(requestArrived("x", "safe", 0, 3000), requestArrived("y", "safe", 0, 3000))
	actions := h.at(1010, attemptEnded("x", 0, Errored, false), attemptEnded("y", 0, Errored, false))
	for now := 1020.0; now < 3000; now += 10 {
		actions = append(actions, h.at(now, Event{Kind: TimerFired, Tag: sweepTimer})...)
	}
	if countActions(actions, Send) != 1 || countActions(actions, Reject) != 1 {
		t.Errorf("with a retry budget of one: %v", actions)
	}
}

func TestRequestsOfAnOrderedKeyRunOneAfterAnother(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Ordered, settings.OrderedKeyBackoff = true, 100
	h := newHarness(t, settings)
	x, y := requestArrived("x", "once", 0, 3000), requestArrived("y", "once", 1, 3000)
	x.Request.Key, y.Request.Key = "k", "k"
	if actions := h.step(x, y); countActions(actions, Send) != 1 || actions[0].ID != "x" {
		t.Fatalf("first step: %v", actions)
	}
	if actions := h.at(1050, attemptEnded("x", 0, ConnectionReset, false)); countActions(actions, Send) != 0 {
		t.Errorf("sent within the backoff: %v", actions)
	}
	if actions := h.at(1160, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(actions, Send) != 1 {
		t.Errorf("not sent after the backoff: %v", actions)
	}
}

// An overtaken attempt is hedged once if its class allows a retry, and not before enough later attempts were answered.
// The first answer serves the request. A late answer to the overtaken attempt is no latency sample of the node.
func TestOvertakenAttemptIsHedged(t *testing.T) {
	for _, tc := range []struct {
		class  string
		answer int // attempt that is answered
		hedges int
	}{{"safe", 0, 1}, {"safe", 1, 1}, {"keyed", 1, 1}, {"once", 0, 0}} {
		settings := testSettings()
		settings.MayHedge, settings.MayCancel = true, true
		settings.Classes = append(settings.Classes, Class{Name: "keyed", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: DedupShard, DedupWindow: 2500})
		h := newHarness(t, settings)
		h.step(requestArrived("slow", tc.class, 0, 3000))
		h.s.nodeByID["a"].latency.ms, h.s.nodeByID["a"].latency.learnedAt = 20, h.now
		countHedges := func(actions []Action) (n int) {
			for _, a := range actions {
				if a.ID == "slow" && a.Kind == Send && a.Node == "a" {
					n++
				} else if a.ID == "slow" && a.Kind != SetTimer {
					t.Errorf("%s: %+v", tc.class, a)
				}
			}
			return n
		}
		sent := 0
		for i := range 4 {
			id := fmt.Sprint("q", i)
			h.at(1000+float64(i)*40, requestArrived(id, "safe", 0, 3000))
			sent += countHedges(h.at(1020+float64(i)*40, attemptEnded(id, 0, OK, true)))
			if i < 2 && sent > 0 {
				t.Errorf("%s: a hedge after %d later answers", tc.class, i+1)
			}
		}
		if sent != tc.hedges {
			t.Errorf("%s: %d hedges", tc.class, sent)
		}
		latencyBefore := h.s.nodeByID["a"].latency.ms
		ev := attemptEnded("slow", tc.answer, OK, true)
		ev.Latency = 160
		h.at(1160, ev)
		if tc.answer == 0 && h.s.nodeByID["a"].latency.ms != latencyBefore {
			t.Errorf("%s: the node's latency estimate changed from %v to %v", tc.class, latencyBefore, h.s.nodeByID["a"].latency.ms)
		}
		if tc.hedges > 0 {
			h.at(1170, attemptEnded("slow", 1-tc.answer, Abandoned, true))
		}
		if len(h.s.requests) != 0 || h.s.waitingCount != 0 || len(h.s.nodeByID["a"].inFlight) != 0 {
			t.Errorf("%s: %d requests left, %d waiting, %d in flight", tc.class, len(h.s.requests), h.s.waitingCount, len(h.s.nodeByID["a"].inFlight))
		}
	}
}

func TestRetryStaysInTheDeduplicationScope(t *testing.T) {
	for _, tc := range []struct {
		name  string
		scope DedupScope
		sends int
	}{{"every node", DedupAll, 1}, {"one zone", DedupZone, 0}, {"one shard", DedupShard, 1}} {
		t.Run(tc.name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes = append(settings.Classes, Class{Name: "keyed", LatencyObjective: 400, Deadline: 2000,
				PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: tc.scope, DedupWindow: 1000})
			h := newHarness(t, settings)
			h.step(Event{Kind: ListReceived, Nodes: []Node{{ID: "a", Zone: "z0"}}})
			if actions := h.step(requestArrived("x", "keyed", 0, 3000)); !wasSent(actions, "x") {
				t.Fatalf("not sent: %v", actions)
			}
			h.step(Event{Kind: ListReceived, Nodes: []Node{{ID: "b", Zone: "z1"}}})
			if actions := h.at(1020, attemptEnded("x", 0, ConnectionReset, false)); countActions(actions, Send) != tc.sends {
				t.Errorf("%d retries at a node of another zone, want %d: %v", countActions(actions, Send), tc.sends, actions)
			}
		})
	}
}
