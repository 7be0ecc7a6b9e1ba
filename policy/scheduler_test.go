package policy

import (
	"fmt"
	"testing"
)

// Idle state is evicted, so that memory stays bounded.
func TestIdleStateIsEvicted(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Ordered, settings.OrderedKeyBackoff = true, 100
	h := newHarness(t, settings)
	h.step(requestArrived("x", "once", 0, 3000))
	h.at(1020, attemptEnded("x", 0, ConnectionReset, false))
	h.at(1000+2*idleEvictionMs, Event{Kind: TimerFired, Tag: tickTimer})
	if len(h.s.volumes)+len(h.s.volumeOrder)+len(h.s.orderedKeys)+len(h.s.requests)+len(h.s.retries.requestTimes) > 0 {
		t.Errorf("%d volumes, %d keys, %d requests", len(h.s.volumes), len(h.s.orderedKeys), len(h.s.requests))
	}
}

// When nodes are replaced many times, only the listed nodes remain in memory. The request times of the retry budget are
// bounded even if there are no retries.
func TestMemoryIsBoundedOverManyNodeReplacements(t *testing.T) {
	settings := testSettings()
	settings.RetryBudgetWindow, settings.RetryBudgetMin, settings.RetryBudgetShare = 5000, 1, 0.1
	h := newHarness(t, settings)
	for i := range 3000 {
		id := fmt.Sprint("r", i)
		h.at(h.now+500, Event{Kind: TimerFired, Tag: tickTimer}, Event{Kind: ListReceived, Nodes: []Node{{ID: id, Shard: 0}}},
			requestArrived(id, "safe", 0, h.now+2000))
		h.at(h.now+20, attemptEnded(id, 0, OK, true))
	}
	if len(h.s.nodeByID) > 2 || len(h.s.listedNodes) > 2 || len(h.s.retries.requestTimes) > 20 || h.s.unserved.len() > 20 {
		t.Errorf("%d nodes, %d listed, %d request times, %d unserved requests", len(h.s.nodeByID), len(h.s.listedNodes), len(h.s.retries.requestTimes),
			h.s.unserved.len())
	}
}

// A step visits only the shards that have work, even if the list is long.
func TestOnlyBusyQueuesAreVisited(t *testing.T) {
	h, list := newSizedHarness(t, 1024)
	h.step(requestArrived("a", "safe", 7, h.now+1500), requestArrived("b", "safe", 1000, h.now+1500))
	if len(h.s.busyQueues) != 2 {
		t.Fatalf("%d busy queues with two requests in flight", len(h.s.busyQueues))
	}
	h.now += 20
	h.step(attemptEnded("a", 0, OK, true))
	if len(h.s.busyQueues) != 1 || h.s.busyQueues[0].shard != 1000 {
		t.Fatalf("%d busy queues with one request in flight", len(h.s.busyQueues))
	}
	moved := list[1000]
	moved.Shard = 3 // the work in flight moves with the node
	h.step(Event{Kind: ListChanged, Nodes: []Node{moved}})
	if len(h.s.busyQueues) != 1 || h.s.busyQueues[0].shard != 3 {
		t.Fatalf("%d busy queues, want only the new shard of the moved node", len(h.s.busyQueues))
	}
	h.now += 20
	if h.step(attemptEnded("b", 0, OK, true)); len(h.s.busyQueues) != 0 {
		t.Fatal("a shard queue is busy with nothing in flight")
	}
}
