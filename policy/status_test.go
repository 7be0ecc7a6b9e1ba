package policy

import (
	"fmt"
	"math"
	"testing"
)

// The status has the window of each node and its share of the requests that wait for its shard, in proportion to the
// windows. A draining node has a window and a share of 0, a removed node is left out, and the limit is kept.
func TestNodeStatuses(t *testing.T) {
	s, err := New(testSettings(), 3)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, s: s, now: 1000}
	h.step(Event{Kind: CachedListLoaded, Nodes: []Node{{ID: "a", StartTime: 7}, {ID: "b"}, {ID: "c", State: NodeDraining}, {ID: "d", Shard: 1}, {ID: "e", Shard: 2}}})
	for i := range 400 {
		h.step(Event{Kind: RequestArrived, Request: Request{ID: fmt.Sprint("q", i), Class: testSettings().Classes[0].Name, Plan: testSettings().Plans[0].Name,
			Volume: "v", Units: 1, Schedulers: 1, Deadline: 1e9}})
	}
	s.nodeByID["a"].window.size, s.nodeByID["b"].window.size, s.nodeByID["e"].State = 30, 10, NodeRemoved
	waiting := 0
	for _, q := range s.queueByShard[0].byClass {
		waiting += len(q)
	}
	all := s.NodeStatuses(9)
	if len(all) != 4 || waiting == 0 {
		t.Fatalf("%d waiting, statuses %+v", waiting, all)
	}
	a, b, c, d := all[0], all[1], all[2], all[3]
	if a.ID != "a" || a.StartTime != 7 || a.Window != 30 || math.Abs(a.Queue-3*b.Queue) > 1e-9 || math.Abs(a.Queue+b.Queue-float64(waiting)) > 1e-9 {
		t.Errorf("%d waiting, nodes of the shard: %+v and %+v", waiting, a, b)
	}
	if c.Window != 0 || c.Queue != 0 || d.Window <= 0 || d.Queue != 0 {
		t.Errorf("draining node %+v, node of another shard %+v", c, d)
	}
	s.nodeByID["a"].window.size, s.nodeByID["b"].window.size = 0, 0
	if all = s.NodeStatuses(2); len(all) != 2 || all[0].Queue != float64(waiting)/2 {
		t.Errorf("with windows of 0: %+v", all)
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
