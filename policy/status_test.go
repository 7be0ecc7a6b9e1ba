package policy

import (
	"fmt"
	"math"
	"testing"
)

// A node's window and its part of its shard's line, by windows; nothing of one that drains or has gone; no more
// than asked for. The parts of a line add up to it.
func TestNodeStatuses(t *testing.T) {
	s, err := New(testSettings(), 3)
	if err != nil {
		t.Fatal(err)
	}
	r := &harness{t: t, s: s, now: 1000}
	r.step(Event{Kind: CachedListLoaded, Nodes: []Node{{ID: "a", StartTime: 7}, {ID: "b"}, {ID: "c", State: NodeDraining}, {ID: "d", Shard: 1}, {ID: "e", Shard: 2}}})
	for i := range 400 {
		r.step(Event{Kind: RequestArrived, Request: Request{ID: fmt.Sprint("q", i), Class: testSettings().Classes[0].Name, Plan: testSettings().Plans[0].Name,
			Volume: "v", Units: 1, Schedulers: 1, Deadline: 1e9}})
	}
	s.nodeByID["a"].window.size, s.nodeByID["b"].window.size, s.nodeByID["e"].State = 30, 10, NodeRemoved
	waits := 0
	for _, q := range s.queueByShard[0].byClass {
		waits += len(q)
	}
	all := s.NodeStatuses(9)
	if len(all) != 4 || waits == 0 {
		t.Fatalf("%d waiting, %+v", waits, all)
	}
	a, b, c, d := all[0], all[1], all[2], all[3]
	if a.ID != "a" || a.StartTime != 7 || a.Window != 30 || math.Abs(a.Queue-3*b.Queue) > 1e-9 || math.Abs(a.Queue+b.Queue-float64(waits)) > 1e-9 {
		t.Errorf("%d waiting, %+v %+v", waits, a, b)
	}
	if c.Window != 0 || c.Queue != 0 || d.Window <= 0 || d.Queue != 0 {
		t.Errorf("%+v %+v", c, d)
	}
	s.nodeByID["a"].window.size, s.nodeByID["b"].window.size = 0, 0
	if all = s.NodeStatuses(2); len(all) != 2 || all[0].Queue != float64(waits)/2 {
		t.Errorf("without windows: %+v", all)
	}
}

func BenchmarkNodeStatuses(b *testing.B) {
	s, err := New(testSettings(), 3)
	if err != nil {
		b.Fatal(err)
	}
	list := Event{Kind: CachedListLoaded}
	for i := range 1000 {
		list.Nodes = append(list.Nodes, Node{ID: fmt.Sprintf("n%04d", i), Shard: i / 4})
	}
	s.Step(1000, []Event{list}, nil)
	for b.Loop() {
		s.NodeStatuses(1000)
	}
}
