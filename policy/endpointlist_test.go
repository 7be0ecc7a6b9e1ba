package policy

import (
	"fmt"
	"testing"
)

func TestDrainingNodeGetsNoNewRequest(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: NodeDraining}}})
	if acts := r.step(call("x", "safe", 0, 3000)); countActions(acts, Send) != 0 {
		t.Errorf("sent to a draining node: %v", acts)
	}
	// a replacement on the same shard takes what waits
	if acts := r.at(1100, Event{Kind: ListChanged, Nodes: []Node{{ID: "c", Shard: 0}}}); countActions(acts, Send) != 1 {
		t.Errorf("the replacement got nothing: %v", acts)
	}
}

// When a standing watch reports that a node drains, a scheduler uses it for a part of the grace while it
// takes work, as no other node has its shard yet: not where the report may be old, nor after a rejection.
func TestDrainingNodeIsUsedForPartOfItsGrace(t *testing.T) {
	drains := Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: NodeDraining}}}
	sends := func(r *harness, id string, now float64) int {
		return countActions(r.at(now, call(id, "safe", 0, now+2000)), Send)
	}
	r := newHarness(t, testSettings())
	r.step(Event{Kind: ListChanged}) // the watch stands
	r.step(drains)
	if sends(r, "x", 1100) != 1 || sends(r, "y", 1000+r.s.settings.DrainingUseDuration()) != 0 {
		t.Error("within its part of the grace: not sent, or sent past it")
	}
	r = newHarness(t, testSettings())
	r.step(Event{Kind: ListChanged})
	r.step(drains)
	r.at(1100, drains) // reported again: the grace counts from the first report
	if sends(r, "x", 1050+r.s.settings.DrainingUseDuration()) != 0 {
		t.Error("a second report restarted the grace")
	}
	r = newHarness(t, testSettings())
	r.step(Event{Kind: ListChanged})
	r.step(Event{Kind: ListFailed})
	r.step(drains)
	if sends(r, "x", 1010) != 0 {
		t.Error("sent though the list may be old")
	}
	r = newHarness(t, testSettings())
	r.step(Event{Kind: ListChanged})
	r.step(drains)
	sends(r, "x", 1010)
	if acts := r.at(1020, done("x", 0, NodeFull, false)); countActions(acts, Send) != 0 || sends(r, "y", 1200) != 0 {
		t.Error("sent again to a draining node that takes nothing more")
	}
	for _, k := range []struct {
		name  string
		grace float64
		state NodeState
	}{{"a grace that leaves no time", 250, NodeDraining}, {"out by hand", 1000, NodeExcluded}} {
		set := testSettings()
		set.DrainGrace = k.grace
		r = newHarness(t, set)
		r.step(Event{Kind: ListChanged})
		r.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: k.state}}})
		if sends(r, "x", 1001) != 0 {
			t.Error("used: " + k.name)
		}
	}
}

// The list is subscribed to once, asked again after each failure with a growing
// gap, and never asked per request.
func TestListIsPolledAgainWithGrowingBackoff(t *testing.T) {
	set := testSettings()
	set.PollsEndpointList = true
	r := newHarness(t, set)
	if countActions(r.actions, Subscribe) != 1 {
		t.Fatalf("at the start: %v", r.actions)
	}
	asks := func(span float64) (n int) {
		for end := r.now + span; r.now < end; {
			n += countActions(r.at(r.now+100, call(fmt.Sprint("c", r.now), "safe", 0, r.now+900),
				Event{Kind: TimerFired, Tag: tickTimer}), Subscribe)
		}
		return n
	}
	last := 0.0
	for i := range 4 {
		r.step(Event{Kind: ListFailed})
		from := r.now
		for n := 0; n == 0; {
			n = asks(100)
		}
		if gap := r.now - from; gap > set.PollWithin || i == 3 && gap < last {
			t.Errorf("gap %v after %v", gap, last)
		} else if i == 0 {
			last = gap
		}
	}
	r.step(Event{Kind: ListChanged})
	if n := asks(30000); n != 0 {
		t.Errorf("asked %d times while subscribed", n)
	}
	r.step(Event{Kind: ListFailed}) // the subscription broke
	if n := asks(2 * maxPollBackoffMs); n == 0 {
		t.Error("never asked again")
	}
}

// A node that a complete list lacks is removed; one that restarted is in slow start.
func TestCompleteListRemovesNodesAndRestartBeginsSlowStart(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(Event{Kind: ListReceived, Nodes: []Node{{ID: "a", Shard: 0, StartTime: 990}}})
	if n := r.s.nodeByID["b"]; n != nil {
		t.Error("b is still there")
	}
	if n := r.s.nodeByID["a"]; n.slowStart.startedAt != 990 || n.window.size != minWindow {
		t.Errorf("a restarted at %v with window %v", n.slowStart.startedAt, n.window.size)
	}
	if acts := r.step(call("x", "safe", 1, 3000)); countActions(acts, Send) != 0 {
		t.Errorf("sent to a node that is gone: %v", acts)
	}
}

// Invalid figures, empty and huge lists, and outdated gossip lose no request.
func TestInvalidListsAndFiguresLoseNoRequest(t *testing.T) {
	huge := Event{Kind: ListReceived}
	for i := range 4000 {
		huge.Nodes = append(huge.Nodes, Node{ID: fmt.Sprint("h", i/2), Shard: i % 50}) // each twice
	}
	r := newHarness(t, testSettings())
	r.step(Event{Kind: GossipReceived, From: -7, Data: []byte("?")}, Event{Kind: GossipReceived, From: 1e6})
	ends := map[string]int{}
	note := func(acts []Action) {
		for _, a := range acts {
			if a.Kind == Reject || a.Kind == Fail {
				ends[a.ID]++
			}
		}
	}
	for i, list := range []Event{{Kind: ListReceived}, huge, {Kind: ListReceived}, {Kind: ListReceived, Nodes: []Node{{ID: "z", Shard: 3}}}} {
		for j, hosts := range []int{0, -5, 1 << 30} {
			ev := call(fmt.Sprint("o", i, j), "once", 90+j, r.now+1500)
			ev.Request.Schedulers = hosts
			note(r.step(list, ev))
		}
		note(r.at(r.now+7000, Event{Kind: TimerFired, Tag: tickTimer})) // seconds without a step
	}
	if len(ends) != 12 {
		t.Errorf("%d of 12 answered", len(ends))
	}
	for id, n := range ends {
		if n != 1 {
			t.Errorf("%s answered %d times", id, n)
		}
	}
}
