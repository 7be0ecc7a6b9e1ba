package policy

import (
	"math"
	"testing"
)

// What one process learned is restored by the next for nodes of the same incarnation only. A slow start
// from an assumed time ends with the list's report. Invalid figures change nothing.
func TestRestoreTakesWhatStillHolds(t *testing.T) {
	set := testSettings()
	set.SlowStartDuration, set.Schedulers = 18000, 40
	list := []Node{{ID: "a", Shard: 0}, {ID: "b", Shard: 1, StartTime: 990}, {ID: "c", Shard: 2}}
	make1 := func(guess float64) *harness {
		s, err := New(set, 3)
		if err != nil {
			t.Fatal(err)
		}
		r := &harness{t: t, s: s, now: 1000}
		held := append([]Node(nil), list...)
		for i := range held {
			held[i].StartTime = math.Max(held[i].StartTime, guess)
		}
		r.step(Event{Kind: CachedListLoaded, Nodes: held})
		return r
	}
	r := make1(0)
	r.s.nodeByID["a"].window.size, r.s.nodeByID["a"].latency.ms, r.s.nodeByID["a"].latency.learnedAt = 9, 33, 999
	r.s.nodeByID["b"].window.size, r.s.nodeByID["b"].latency.ms, r.s.nodeByID["b"].latency.learnedAt = 7, 44, 999
	r.s.classes[0].weight, r.s.classes[0].delay, r.s.classes[0].slope = 0.6, 20, 5
	l := r.s.Learned()
	if len(l.Nodes) != 2 || l.Nodes[0].Window != 9 || len(l.Classes) != len(set.Classes) {
		t.Fatalf("%+v", l)
	}

	next := make1(1000)
	if next.s.slowStartAllows(next.s.nodeByID["a"], set.SlowStartUnits) {
		t.Error("a node of a guessed start counts as warm")
	}
	list[1].StartTime = 1500 // b has started again since
	next.step(Event{Kind: ListReceived, Nodes: list})
	for i := range l.Nodes {
		l.Nodes[i].AssumedStart = 1000
	}
	l.Nodes = append(l.Nodes, LearnedNode{ID: "c", Window: math.NaN(), Latency: math.Inf(1), AssumedStart: 1000})
	if taken := next.s.Restore(l); taken != 1 {
		t.Errorf("%d nodes taken", taken)
	}
	a, b, c := next.s.nodeByID["a"], next.s.nodeByID["b"], next.s.nodeByID["c"]
	if a.window.size != 9 || a.latency.ms != 33 || !math.IsInf(a.slowStart.startedAt, -1) {
		t.Errorf("a: %+v", a)
	}
	if b.window.size > minWindow || !math.IsInf(b.latency.learnedAt, -1) || b.slowStart.startedAt != 1500 {
		t.Errorf("b kept what was learned of its last incarnation: %+v", b)
	}
	if c.window.size != initialWindow || !math.IsInf(c.slowStart.startedAt, -1) {
		t.Errorf("c: %+v", c)
	}
	sum := 0.0
	for _, k := range next.s.classes {
		sum += k.weight
	}
	if next.s.classes[0].delay != 20 || math.Abs(sum-1) > 1e-9 {
		t.Errorf("classes: %+v, sum %v", next.s.classes[0], sum)
	}
}
