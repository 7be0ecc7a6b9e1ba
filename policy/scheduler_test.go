package policy

import (
	"fmt"
	"testing"
)

// Memory stays bounded: idle state is evicted.
func TestIdleStateIsEvicted(t *testing.T) {
	set := testSettings()
	set.Classes[1].Ordered, set.OrderedKeyBackoff = true, 100
	r := newHarness(t, set)
	r.step(call("x", "once", 0, 3000))
	r.at(1020, done("x", 0, ConnectionReset, false))
	r.at(1000+2*idleEvictionMs, Event{Kind: TimerFired, Tag: tickTimer})
	if len(r.s.volumes)+len(r.s.volumeOrder)+len(r.s.orderedKeys)+len(r.s.requests)+len(r.s.retries.requestTimes) > 0 {
		t.Errorf("%d volumes, %d keys, %d requests", len(r.s.volumes), len(r.s.orderedKeys), len(r.s.requests))
	}
}

// Over many releases, memory holds only what is alive; and the record of what was
// admitted, for the retry budget, is bounded though no retry is made.
func TestMemoryIsBoundedOverManyReleases(t *testing.T) {
	set := testSettings()
	set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetShare = 5000, 1, 0.1
	r := newHarness(t, set)
	for i := range 3000 {
		id := fmt.Sprint("r", i)
		r.at(r.now+500, Event{Kind: TimerFired, Tag: tickTimer}, Event{Kind: ListReceived, Nodes: []Node{{ID: id, Shard: 0}}},
			call(id, "safe", 0, r.now+2000))
		r.at(r.now+20, done(id, 0, OK, true))
	}
	if len(r.s.nodeByID) > 2 || len(r.s.listedNodes) > 2 || len(r.s.retries.requestTimes) > 20 || len(r.s.unserved) > 20 {
		t.Errorf("%d nodes, %d listed, %d takes, %d unserved", len(r.s.nodeByID), len(r.s.listedNodes), len(r.s.retries.requestTimes),
			len(r.s.unserved))
	}
}

// A step visits the shards that have work, however long the list is.
func TestOnlyBusyQueuesAreVisited(t *testing.T) {
	r, list := newSizedHarness(t, 1024)
	r.step(call("a", "safe", 7, r.now+1500), call("b", "safe", 1000, r.now+1500))
	if len(r.s.busyQueues) != 2 {
		t.Fatalf("%d busy queues with two requests out", len(r.s.busyQueues))
	}
	r.now += 20
	r.step(done("a", 0, OK, true))
	if len(r.s.busyQueues) != 1 || r.s.busyQueues[0].shard != 1000 {
		t.Fatalf("%d busy queues with one request out", len(r.s.busyQueues))
	}
	moved := list[1000]
	moved.Shard = 3 // its work goes with it
	r.step(Event{Kind: ListChanged, Nodes: []Node{moved}})
	if len(r.s.busyQueues) != 1 || r.s.busyQueues[0].shard != 3 {
		t.Fatalf("%d busy queues, not that of the node that moved", len(r.s.busyQueues))
	}
	r.now += 20
	if r.step(done("b", 0, OK, true)); len(r.s.busyQueues) != 0 {
		t.Fatal("a shard queue is busy with nothing out")
	}
}
