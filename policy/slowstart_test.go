package policy

import (
	"fmt"
	"testing"
)

func TestSlowStartLimitsUnits(t *testing.T) {
	set := testSettings()
	set.SlowStartUnits, set.Schedulers = 6, 2
	r := newHarness(t, set)
	r.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "c", Shard: 5, StartTime: 990}}})
	sent := 0
	for i := range 20 {
		sent += countActions(r.step(call("x"+string(rune('a'+i)), "safe", 5, 3000)), Send)
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d units to a node in slow start with a part of 3", sent)
	}
}

// A scheduler whose last answer from a node in slow start came in time keeps one request out there,
// and no more; an answer that stays out too long ends that.
func TestSlowStartFollowsAnswersInTime(t *testing.T) {
	set := testSettings()
	set.Schedulers = fleetHosts
	r := newHarness(t, set)
	n := r.s.nodeByID["a"]
	r.s.beginSlowStart(n, r.now)
	r.s.slowStart.renewAt, r.s.slowStart.remaining = r.now+10e3, 1 // an allowance for one request, none in the next span
	if acts := r.step(call("x", "safe", 0, 3000)); countActions(acts, Send) != 1 {
		t.Fatalf("no first turn: %v", acts)
	}
	if acts := r.at(1010, call("y", "safe", 0, 3000)); countActions(acts, Send) != 0 {
		t.Fatalf("sent without an answer: %v", acts)
	}
	if acts := r.at(1020, done("x", 0, OK, true)); countActions(acts, Send) != 1 {
		t.Errorf("nothing sent after a good answer: %v", acts)
	}
	if acts := r.at(1030, call("z", "safe", 0, 3000)); countActions(acts, Send) != 0 {
		t.Errorf("two out at a node in slow start: %v", acts)
	}
	if r.at(1300, Event{Kind: TimerFired, Tag: sweepTimer}); n.slowStart.answeredInTime {
		t.Error("still good with an answer out for 280 ms")
	}
}

// What all nodes in slow start bear from a scheduler goes to those that it is asked for, one request to each: parts of a request would
// else leave a fleet's nodes in slow start idle, each of which a scheduler reads seldom. Nothing is saved for later.
func TestSlowStartAllowanceGoesToTheNodesAskedFor(t *testing.T) {
	const nodes = 200
	set := testSettings()
	set.Schedulers, set.Shards = fleetHosts, nodes
	var list []Node
	for i := range nodes {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1, StartTime: 1000})
	}
	span, now := set.OverloadWindow, 1000+2*set.OverloadWindow
	ask := func(s *Scheduler, now float64, shards int) (sent int) {
		var calls []Event
		for i := range nodes {
			calls = append(calls, call(fmt.Sprint("r", now, "-", i), "once", i%shards, now+1000))
		}
		return countActions(s.Step(now, calls, nil), Send)
	}
	all, one := 0, 0
	for seed := range int64(20) {
		for _, shards := range []int{nodes, 1} {
			s, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(1000, []Event{{Kind: CachedListLoaded, Nodes: list}}, nil)
			n := ask(s, now, shards)
			if shards == 1 {
				one += n
				continue
			}
			all += n
			part := s.slowStartShare(s.nodeByID["n0"])
			if most := nodes * part; float64(n) > most+1 {
				t.Errorf("%d sent at once, %.1f may be after an idle time", n, most)
			}
			if n := ask(s, now+span/2, shards); n > 0 {
				t.Errorf("%d more sent within the span", n)
			}
			if n := ask(s, now+span, shards); n == 0 {
				t.Error("nothing sent in the next span")
			}
		}
	}
	if one > 20 {
		t.Errorf("%d sent to one node by 20 schedulers", one)
	}
	if all < 10*one || one == 0 {
		t.Errorf("%d sent to %d nodes, %d to one", all, nodes, one)
	}
}
