package policy

import (
	"fmt"
	"testing"
)

func TestDrainingNodeGetsNoNewRequest(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: NodeDraining}}})
	if actions := h.step(requestArrived("x", "safe", 0, 3000)); countActions(actions, Send) != 0 {
		t.Errorf("sent to a draining node: %v", actions)
	}
	// A replacement node on the same shard gets the waiting request.
	if actions := h.at(1100, Event{Kind: ListChanged, Nodes: []Node{{ID: "c", Shard: 0}}}); countActions(actions, Send) != 1 {
		t.Errorf("nothing sent to the replacement node: %v", actions)
	}
}

// After an active subscription reports that a node drains, the scheduler still uses it for a part of its grace period,
// because no other node has its shard yet. It does not use the node if the report may be old or after a rejection.
func TestDrainingNodeIsUsedForPartOfItsGrace(t *testing.T) {
	nodeDrains := Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: NodeDraining}}}
	countSends := func(h *harness, id string, now float64) int {
		return countActions(h.at(now, requestArrived(id, "safe", 0, now+2000)), Send)
	}
	h := newHarness(t, testSettings())
	h.step(Event{Kind: ListChanged}) // makes the subscription active
	h.step(nodeDrains)
	if countSends(h, "x", 1100) != 1 || countSends(h, "y", 1000+h.s.settings.DrainingUseDuration()) != 0 {
		t.Error("not sent within the allowed part of the grace period, or sent after it")
	}
	h = newHarness(t, testSettings())
	h.step(Event{Kind: ListChanged})
	h.step(nodeDrains)
	h.at(1100, nodeDrains) // the grace period counts from the first report
	if countSends(h, "x", 1050+h.s.settings.DrainingUseDuration()) != 0 {
		t.Error("a second report restarted the grace period")
	}
	h = newHarness(t, testSettings())
	h.step(Event{Kind: ListChanged})
	h.step(Event{Kind: ListFailed})
	h.step(nodeDrains)
	if countSends(h, "x", 1010) != 0 {
		t.Error("sent although the list may be old")
	}
	h = newHarness(t, testSettings())
	h.step(Event{Kind: ListChanged})
	h.step(nodeDrains)
	countSends(h, "x", 1010)
	if actions := h.at(1020, attemptEnded("x", 0, NodeFull, false)); countActions(actions, Send) != 0 || countSends(h, "y", 1200) != 0 {
		t.Error("sent again to a draining node after it rejected a request")
	}
	for _, tc := range []struct {
		name  string
		grace float64
		state NodeState
	}{{"draining node with a short grace period", 250, NodeDraining}, {"excluded node", 1000, NodeExcluded}} {
		settings := testSettings()
		settings.DrainGrace = tc.grace
		h = newHarness(t, settings)
		h.step(Event{Kind: ListChanged})
		h.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: tc.state}}})
		if countSends(h, "x", 1001) != 0 {
			t.Error("sent to " + tc.name)
		}
	}
}

// The scheduler subscribes to the list once, and again after each failure with a growing backoff, and not for every
// request.
func TestListIsPolledAgainWithGrowingBackoff(t *testing.T) {
	settings := testSettings()
	settings.PollsEndpointList = true
	h := newHarness(t, settings)
	if countActions(h.actions, Subscribe) != 1 {
		t.Fatalf("actions of the first step: %v", h.actions)
	}
	countSubscribes := func(duration float64) (n int) {
		for end := h.now + duration; h.now < end; {
			n += countActions(h.at(h.now+100, requestArrived(fmt.Sprint("c", h.now), "safe", 0, h.now+900),
				Event{Kind: TimerFired, Tag: tickTimer}), Subscribe)
		}
		return n
	}
	firstGap := 0.0
	for i := range 4 {
		h.step(Event{Kind: ListFailed})
		from := h.now
		for n := 0; n == 0; {
			n = countSubscribes(100)
		}
		if gap := h.now - from; gap > settings.ListStalenessBound || i == 3 && gap < firstGap {
			t.Errorf("retry after %v ms, the first one after %v ms", gap, firstGap)
		} else if i == 0 {
			firstGap = gap
		}
	}
	h.step(Event{Kind: ListChanged})
	if n := countSubscribes(30000); n != 0 {
		t.Errorf("subscribed %d more times while the subscription is active", n)
	}
	h.step(Event{Kind: ListFailed}) // the subscription ends
	if n := countSubscribes(2 * maxPollBackoffMs); n == 0 {
		t.Error("not subscribed again after the subscription ended")
	}
}

// A node that is missing from a complete list is removed, and a node that restarted enters slow start.
func TestCompleteListRemovesNodesAndRestartBeginsSlowStart(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(Event{Kind: ListReceived, Nodes: []Node{{ID: "a", Shard: 0, StartTime: 990}}})
	if n := h.s.nodeByID["b"]; n != nil {
		t.Error("node b was not removed")
	}
	if n := h.s.nodeByID["a"]; n.slowStart.startedAt != 990 || n.window.size != minWindow {
		t.Errorf("node a: slow start from %v with window %v", n.slowStart.startedAt, n.window.size)
	}
	if actions := h.step(requestArrived("x", "safe", 1, 3000)); countActions(actions, Send) != 0 {
		t.Errorf("sent to a removed node: %v", actions)
	}
}

// No request is lost because of invalid values, empty or huge lists, or unexpected gossip.
func TestInvalidListsAndValuesLoseNoRequest(t *testing.T) {
	huge := Event{Kind: ListReceived}
	for i := range 4000 {
		huge.Nodes = append(huge.Nodes, Node{ID: fmt.Sprint("h", i/2), Shard: i % 50}) // each node is listed twice
	}
	h := newHarness(t, testSettings())
	h.step(Event{Kind: GossipReceived, From: -7, Data: []byte("?")}, Event{Kind: GossipReceived, From: 1e6})
	answers := map[string]int{}
	countAnswers := func(actions []Action) {
		for _, a := range actions {
			if a.Kind == Reject || a.Kind == Fail {
				answers[a.ID]++
			}
		}
	}
	for i, list := range []Event{{Kind: ListReceived}, huge, {Kind: ListReceived}, {Kind: ListReceived, Nodes: []Node{{ID: "z", Shard: 3}}}} {
		for j, schedulers := range []int{0, -5, 1 << 30} {
			ev := requestArrived(fmt.Sprint("o", i, j), "once", 90+j, h.now+1500)
			ev.Request.Schedulers = schedulers
			countAnswers(h.step(list, ev))
		}
		countAnswers(h.at(h.now+7000, Event{Kind: TimerFired, Tag: tickTimer})) // after seconds without a step
	}
	if len(answers) != 12 {
		t.Errorf("%d of 12 requests answered", len(answers))
	}
	for id, n := range answers {
		if n != 1 {
			t.Errorf("%s answered %d times", id, n)
		}
	}
}
