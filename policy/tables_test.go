package policy

import (
	"fmt"
	"math"
	"testing"
)

// newNames returns a request under names that no other one has.
func newNames(h *harness, i int) Event {
	ev := requestArrived(fmt.Sprint("x", i), "safe", 0, h.now+2000)
	ev.Request.Volume, ev.Request.Key = fmt.Sprint("v", i), fmt.Sprint("k", i)
	return ev
}

// flood sends requests under ever new names, whose clients leave at once, and calls check now and then.
func (h *harness) flood(requests int, check func()) {
	const batch = 100
	for i := 0; i < requests; i += batch {
		for j := range batch {
			h.step(newNames(h, i+j))
			h.step(Event{Kind: ClientDisconnected, ID: fmt.Sprint("x", i+j)})
			h.step(attemptEnded(fmt.Sprint("x", i+j), 0, Cancelled, true))
		}
		h.now += 3
		check()
	}
}

// Guards against tables that grow without end while one client sends requests under ever new names.
func TestTablesAreBoundedUnderNewNames(t *testing.T) {
	settings := testSettings()
	settings.RetryBudgetWindow, settings.RetryBudgetMin, settings.RetryBudgetShare = 5000, 1, 0.1
	h := newHarness(t, settings)
	h.flood(40_000, func() {
		if len(h.s.volumes) > maxVolumes || len(h.s.volumeOrder) != len(h.s.volumes) || h.s.unserved.len() > maxUnservedRequests ||
			len(h.s.retries.requestTimes) > maxCountedRequests || h.s.TableEntries() != len(h.s.volumes)+h.s.unserved.len() {
			t.Fatalf("%d volumes, %d in order, %d unserved requests, %d request times", len(h.s.volumes), len(h.s.volumeOrder),
				h.s.unserved.len(), len(h.s.retries.requestTimes))
		}
	})
	if len(h.s.volumes) < maxVolumes/2 || h.s.unserved.len() < maxUnservedRequests/2 {
		t.Errorf("%d volumes and %d unserved requests: the flood did not fill the tables", len(h.s.volumes), h.s.unserved.len())
	}
}

// A client cannot exceed its volume's rate limit by a flood of other names: its volume's state stays until the limit is full again,
// and volumes without room share one state.
func TestFloodDoesNotLiftRateLimits(t *testing.T) {
	h := newLimitedHarness(t, 10, 5)
	h.step(requestArrived("first", "safe", 0, h.now+2000))
	h.at(h.now+20, attemptEnded("first", 0, OK, true))
	v := h.volume()
	v.limit.tokens = -1e6 // long used up
	began := h.now
	h.flood(3*maxVolumes, func() { v.refilledAt = math.Min(v.refilledAt, began) }) // it is the least recently used one
	if h.volume() != v {
		t.Error("a volume whose limit is used up was evicted")
	}
}

// Volumes for which there is no room, because the others' limits are used up, share one state for each plan.
func TestVolumesWithoutRoomShareOneState(t *testing.T) {
	h := newLimitedHarness(t, 1, 5)
	h.step(requestArrived("first", "safe", 0, h.now+2000))
	for i := len(h.s.volumes); i < maxVolumes; i++ {
		h.s.volume(fmt.Sprint("v", i), &h.s.settings.Plans[0], 1).limit.tokens = -1e6
	}
	a, b := h.s.volume("a", &h.s.settings.Plans[0], 1), h.s.volume("b", &h.s.settings.Plans[0], 1)
	if a != b || len(h.s.volumes) > maxVolumes+len(h.s.settings.Plans) {
		t.Errorf("two volumes without room have a state each, %d volumes", len(h.s.volumes))
	}
	if h.s.volume("v2000", &h.s.settings.Plans[0], 1) == a {
		t.Error("a volume of the table has the shared state")
	}
}

// With many active volumes, the mean usage is at most usageRefreshMs old.
func TestMeanUsageIsRefreshed(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(requestArrived("first", "safe", 0, h.now+2000))
	for i := range 2 * maxFreshUsageVolumes {
		h.s.volume(fmt.Sprint("v", i), &h.s.settings.Plans[0], 1).usageLevel = 1
	}
	_, count := h.s.meanUsage()
	h.s.volume("one more", &h.s.settings.Plans[0], 1).usageLevel = 1
	if _, again := h.s.meanUsage(); again != count {
		t.Errorf("%v active volumes, then %v at the same time", count, again)
	}
	h.s.now += usageRefreshMs
	if _, later := h.s.meanUsage(); later != count+1 {
		t.Errorf("%v active volumes, then %v after a while", count, later)
	}
}

// Guards against any number of queues, where the settings do not tell the number of shards.
func TestShardsWithoutNodesAreBounded(t *testing.T) {
	h := newHarness(t, testSettings())
	rejected := 0
	for i := range 2 * maxEmptyShards {
		id := fmt.Sprint("x", i)
		if wasRejected(h.step(requestArrived(id, "safe", 10+i, h.now+2000)), id) {
			rejected++
		}
		h.step(Event{Kind: ClientDisconnected, ID: id})
	}
	if len(h.s.shardQueues) > 2*maxEmptyShards || rejected < maxEmptyShards-2 {
		t.Errorf("%d queues, %d requests rejected", len(h.s.shardQueues), rejected)
	}
	if !wasSent(h.step(requestArrived("known", "safe", 1, h.now+2000)), "known") {
		t.Error("a request for a shard with a node is not sent")
	}
}
