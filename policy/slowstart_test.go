package policy

import (
	"fmt"
	"testing"
)

func TestSlowStartLimitsUnits(t *testing.T) {
	settings := testSettings()
	settings.SlowStartUnits, settings.Schedulers = 6, 2
	h := newHarness(t, settings)
	h.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "c", Shard: 5, StartTime: 990}}})
	sent := 0
	for i := range 20 {
		sent += countActions(h.step(requestArrived("x"+string(rune('a'+i)), "safe", 5, 3000)), Send)
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d units sent to a node in slow start, but the share is 3", sent)
	}
}

// If the last answer of a node in slow start came in time, the scheduler keeps one request in flight there, and no more.
// This ends when an answer takes too long.
func TestSlowStartFollowsAnswersInTime(t *testing.T) {
	settings := testSettings()
	settings.Schedulers = fleetSchedulers
	h := newHarness(t, settings)
	n := h.s.nodeByID["a"]
	h.s.beginSlowStart(n, h.now)
	h.s.slowStart.renewAt, h.s.slowStart.remaining = h.now+10e3, 1 // an allowance for one request, without a renewal during the test
	if actions := h.step(requestArrived("x", "safe", 0, 3000)); countActions(actions, Send) != 1 {
		t.Fatalf("the first request was not sent: %v", actions)
	}
	if actions := h.at(1010, requestArrived("y", "safe", 0, 3000)); countActions(actions, Send) != 0 {
		t.Fatalf("a second request was sent without an answer: %v", actions)
	}
	if actions := h.at(1020, attemptEnded("x", 0, OK, true)); countActions(actions, Send) != 1 {
		t.Errorf("nothing sent after an answer in time: %v", actions)
	}
	if actions := h.at(1030, requestArrived("z", "safe", 0, 3000)); countActions(actions, Send) != 0 {
		t.Errorf("two requests in flight at a node in slow start: %v", actions)
	}
	if h.at(1300, Event{Kind: TimerFired, Tag: sweepTimer}); n.slowStart.answeredInTime {
		t.Error("the last answer still counts as in time with a request in flight for 280 ms")
	}
}

// A scheduler may use its allowance for all nodes in slow start at the nodes that requests name, with one request to
// each. If each node had a separate share of less than one request, nodes that a scheduler reads rarely would stay idle.
// Unused allowance is not saved.
func TestSlowStartAllowanceGoesToTheNodesAskedFor(t *testing.T) {
	const nodes = 200
	settings := testSettings()
	settings.Schedulers, settings.Shards = fleetSchedulers, nodes
	var list []Node
	for i := range nodes {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1, StartTime: 1000})
	}
	window, now := settings.OverloadWindow, 1000+2*settings.OverloadWindow
	sendRequests := func(s *Scheduler, now float64, shards int) (sent int) {
		var events []Event
		for i := range nodes {
			events = append(events, requestArrived(fmt.Sprint("r", now, "-", i), "once", i%shards, now+1000))
		}
		return countActions(s.Step(now, events, nil), Send)
	}
	sentToAll, sentToOne := 0, 0
	for seed := range int64(20) {
		for _, shards := range []int{nodes, 1} {
			s, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(1000, []Event{{Kind: CachedListLoaded, Nodes: list}}, nil)
			n := sendRequests(s, now, shards)
			if shards == 1 {
				sentToOne += n
				continue
			}
			sentToAll += n
			share := s.slowStartShare(s.nodeByID["n0"])
			if maxSent := nodes * share; float64(n) > maxSent+1 {
				t.Errorf("%d requests sent at once after an idle time, but the allowance is %.1f", n, maxSent)
			}
			if n := sendRequests(s, now+window/2, shards); n > 0 {
				t.Errorf("%d more requests sent within the same window", n)
			}
			if n := sendRequests(s, now+window, shards); n == 0 {
				t.Error("nothing sent in the next window")
			}
		}
	}
	if sentToOne > 20 {
		t.Errorf("%d requests sent to one node by 20 schedulers", sentToOne)
	}
	if sentToAll < 10*sentToOne || sentToOne == 0 {
		t.Errorf("%d requests sent to %d nodes, %d to a single node", sentToAll, nodes, sentToOne)
	}
}

// Guards against a slow start that lasts for an hour because this machine's wall clock was stepped back before the process started:
// a node has started by the time at which it is listed.
func TestSlowStartEndsThoughTheNodesClockIsAhead(t *testing.T) {
	settings := testSettings()
	settings.SlowStartDuration, settings.SlowStartShare, settings.SlowStartUnits = 17_000, 0.25, 10
	h := newHarness(t, settings)
	const hourMs = 3_600_000
	h.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "new", Shard: 0, StartTime: h.now + hourMs}, {ID: "b", Shard: 1, StartTime: h.now + hourMs}}})
	h.now += settings.SlowStartDuration + 1
	for _, id := range []string{"new", "b"} {
		if n := h.s.nodeByID[id]; h.s.capacityShare(n, h.now) < 1 {
			t.Errorf("node %s still has a share of %v after its slow start", id, h.s.capacityShare(n, h.now))
		}
	}
}
