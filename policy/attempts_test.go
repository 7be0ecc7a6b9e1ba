package policy

import (
	"fmt"
	"testing"
)

func TestNonIdempotentRequestIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for _, c := range []struct {
		status       Status
		sends, fails int
	}{{Errored, 0, 1}, {TimedOut, 0, 1}, {ConnectionReset, 0, 1}, {Cancelled, 0, 1}, {NodeFull, 1, 0}, {ConnectFailed, 1, 0}} {
		r := newHarness(t, testSettings())
		r.step(call("x", "once", 0, 3000))
		acts := r.at(1100, done("x", 0, c.status, false))
		acts = append(acts, r.at(1700, Event{Kind: TimerFired, Tag: sweepTimer})...)
		if c.sends == 1 { // past the objective the retry ranks last but must still come
			acts = append(acts, r.at(1310, Event{Kind: TimerFired, Tag: sweepTimer})...)
		}
		if countActions(acts, Fail) != c.fails {
			t.Errorf("status %v: %v", c.status, acts)
		}
		if c.sends == 0 && countActions(acts, Send) != 0 {
			t.Errorf("status %v: sent again", c.status)
		}
	}
}

func TestRetryBudgetHoldsInItsWindow(t *testing.T) {
	set := testSettings()
	set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetShare = 5000, 1, 0
	r := newHarness(t, set)
	r.step(call("x", "safe", 0, 3000), call("y", "safe", 0, 3000))
	acts := r.at(1010, done("x", 0, Errored, false), done("y", 0, Errored, false))
	for now := 1020.0; now < 3000; now += 10 {
		acts = append(acts, r.at(now, Event{Kind: TimerFired, Tag: sweepTimer})...)
	}
	if countActions(acts, Send) != 1 || countActions(acts, Reject) != 1 {
		t.Errorf("budget of one: %v", acts)
	}
}

func TestOrderedKeyRunsOneAfterAnother(t *testing.T) {
	set := testSettings()
	set.Classes[1].Ordered, set.OrderedKeyBackoff = true, 100
	r := newHarness(t, set)
	x, y := call("x", "once", 0, 3000), call("y", "once", 1, 3000)
	x.Request.Key, y.Request.Key = "k", "k"
	if acts := r.step(x, y); countActions(acts, Send) != 1 || acts[0].ID != "x" {
		t.Fatalf("first: %v", acts)
	}
	if acts := r.at(1050, done("x", 0, ConnectionReset, false)); countActions(acts, Send) != 0 {
		t.Errorf("sent within the pause: %v", acts)
	}
	if acts := r.at(1160, Event{Kind: TimerFired, Tag: sweepTimer}); countActions(acts, Send) != 1 {
		t.Errorf("not sent after the pause: %v", acts)
	}
}

// An overtaken attempt is hedged once where its class allows a retry, neither earlier nor elsewhere.
// The first answer serves the request, and a late one is no sample of the node.
func TestOvertakenAttemptIsHedged(t *testing.T) {
	for _, x := range []struct {
		class  string
		answer int // attempt that is served
		copies int
	}{{"safe", 0, 1}, {"safe", 1, 1}, {"keyed", 1, 1}, {"once", 0, 0}} {
		set := testSettings()
		set.MayHedge, set.MayCancel = true, true
		set.Classes = append(set.Classes, Class{Name: "keyed", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: DedupShard, DedupWindow: 2500})
		r := newHarness(t, set)
		r.step(call("slow", x.class, 0, 3000))
		r.s.nodeByID["a"].latency.ms, r.s.nodeByID["a"].latency.learnedAt = 20, r.now
		copies := func(acts []Action) (n int) {
			for _, a := range acts {
				if a.ID == "slow" && a.Kind == Send && a.Node == "a" {
					n++
				} else if a.ID == "slow" && a.Kind != SetTimer {
					t.Errorf("%s: %+v", x.class, a)
				}
			}
			return n
		}
		sent := 0
		for i := range 4 {
			id := fmt.Sprint("q", i)
			r.at(1000+float64(i)*40, call(id, "safe", 0, 3000))
			sent += copies(r.at(1020+float64(i)*40, done(id, 0, OK, true)))
			if i < 2 && sent > 0 {
				t.Errorf("%s: a hedge after %d later answers", x.class, i+1)
			}
		}
		if sent != x.copies {
			t.Errorf("%s: %d hedges", x.class, sent)
		}
		usual := r.s.nodeByID["a"].latency.ms
		ev := done("slow", x.answer, OK, true)
		ev.Latency = 160
		r.at(1160, ev)
		if x.answer == 0 && r.s.nodeByID["a"].latency.ms != usual {
			t.Errorf("%s: the node's usual latency went from %v to %v", x.class, usual, r.s.nodeByID["a"].latency.ms)
		}
		if x.copies > 0 {
			r.at(1170, done("slow", 1-x.answer, Abandoned, true))
		}
		if len(r.s.requests) != 0 || r.s.waitingCount != 0 || len(r.s.nodeByID["a"].inFlight) != 0 {
			t.Errorf("%s: %d requests, %d waiting, %d out", x.class, len(r.s.requests), r.s.waitingCount, len(r.s.nodeByID["a"].inFlight))
		}
	}
}

func TestRetryStaysInTheDeduplicationScope(t *testing.T) {
	for _, c := range []struct {
		name  string
		scope DedupScope
		sends int
	}{{"every node", DedupAll, 1}, {"one zone", DedupZone, 0}, {"one shard", DedupShard, 1}} {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Classes = append(set.Classes, Class{Name: "keyed", LatencyObjective: 400, Deadline: 2000,
				PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: c.scope, DedupWindow: 1000})
			r := newHarness(t, set)
			r.step(Event{Kind: ListReceived, Nodes: []Node{{ID: "a", Zone: "z0"}}})
			if acts := r.step(call("x", "keyed", 0, 3000)); !wasSent(acts, "x") {
				t.Fatalf("not sent: %v", acts)
			}
			r.step(Event{Kind: ListReceived, Nodes: []Node{{ID: "b", Zone: "z1"}}})
			if acts := r.at(1020, done("x", 0, ConnectionReset, false)); countActions(acts, Send) != c.sends {
				t.Errorf("%d retries in the other zone, want %d: %v", countActions(acts, Send), c.sends, acts)
			}
		})
	}
}
