package policy

import (
	"math"
	"testing"
)

// The learned state of one process is restored by the next one only for nodes of the same incarnation. A slow start from
// an assumed start time is cancelled. Invalid values change nothing.
func TestRestoreAppliesValidState(t *testing.T) {
	settings := testSettings()
	settings.SlowStartDuration, settings.Schedulers = 18000, 40
	list := []Node{{ID: "a", Shard: 0}, {ID: "b", Shard: 1, StartTime: 990}, {ID: "c", Shard: 2}}
	newInstance := func(assumedStart float64) *harness {
		s, err := New(settings, 3)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, s: s, now: 1000}
		cached := append([]Node(nil), list...)
		for i := range cached {
			cached[i].StartTime = math.Max(cached[i].StartTime, assumedStart)
		}
		h.step(Event{Kind: CachedListLoaded, Nodes: cached})
		return h
	}
	h := newInstance(0)
	h.s.nodeByID["a"].window.size, h.s.nodeByID["a"].latency.ms, h.s.nodeByID["a"].latency.learnedAt = 9, 33, 999
	h.s.nodeByID["b"].window.size, h.s.nodeByID["b"].latency.ms, h.s.nodeByID["b"].latency.learnedAt = 7, 44, 999
	h.s.classes[0].weight, h.s.classes[0].delay, h.s.classes[0].slope = 0.6, 20, 5
	l := h.s.Learned()
	if len(l.Nodes) != 2 || l.Nodes[0].Window != 9 || len(l.Classes) != len(settings.Classes) {
		t.Fatalf("learned state: %+v", l)
	}

	next := newInstance(1000)
	if next.s.slowStartAllows(next.s.nodeByID["a"], settings.SlowStartUnits) {
		t.Error("a node with an assumed start time is not in slow start")
	}
	list[1].StartTime = 1500 // b has restarted since
	next.step(Event{Kind: ListReceived, Nodes: list})
	for i := range l.Nodes {
		l.Nodes[i].AssumedStartTime = 1000
	}
	l.Nodes = append(l.Nodes, LearnedNode{ID: "c", Window: math.NaN(), Latency: math.Inf(1), AssumedStartTime: 1000})
	if restored := next.s.Restore(l); restored != 1 {
		t.Errorf("%d nodes restored, want 1", restored)
	}
	a, b, c := next.s.nodeByID["a"], next.s.nodeByID["b"], next.s.nodeByID["c"]
	if a.window.size != 9 || a.latency.ms != 33 || !math.IsInf(a.slowStart.startedAt, -1) {
		t.Errorf("node a after the restore: %+v", a)
	}
	if b.window.size > minWindow || !math.IsInf(b.latency.learnedAt, -1) || b.slowStart.startedAt != 1500 {
		t.Errorf("node b has the learned state of its last incarnation: %+v", b)
	}
	if c.window.size != initialWindow || !math.IsInf(c.slowStart.startedAt, -1) {
		t.Errorf("node c after the restore: %+v", c)
	}
	sum := 0.0
	for _, k := range next.s.classes {
		sum += k.weight
	}
	if next.s.classes[0].delay != 20 || math.Abs(sum-1) > 1e-9 {
		t.Errorf("first class %+v, sum of the weights %v", next.s.classes[0], sum)
	}
}
