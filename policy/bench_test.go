package policy

import (
	"fmt"
	"testing"
)

// sized is an instance whose list holds so many nodes, each with a shard of its own.
func sized(b testing.TB, nodes int) (*rig, []Node) {
	set := testSettings()
	set.Schedulers, set.Shards = 1024, nodes
	r := &rig{}
	var err error
	if r.s, err = New(set, 1); err != nil {
		b.Fatal(err)
	}
	r.now = 1e6
	list := make([]Node, nodes)
	for i := range list {
		list[i] = Node{ID: fmt.Sprintf("s-%04d", i), Shard: i, Weight: 1}
	}
	r.step(Event{Kind: CachedListLoaded, Nodes: list})
	return r, list
}

var sizes = []int{10, 100, 1024}

// The cost of a decision: one request from its arrival over its send to its outcome.
func BenchmarkDecision(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			r, _ := sized(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("q", i)
				r.step(call(id, "safe", i%n, r.now+1500))
				r.now += 20
				r.step(done(id, 0, OK, true))
			}
		})
	}
}

// The cost of a tick of the timers while requests wait at one shard.
func BenchmarkSweep(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			r, _ := sized(b, n)
			for i := range 40 {
				r.step(call(fmt.Sprint("w", i), "safe", 0, r.now+1e9))
			}
			b.ReportAllocs()
			for b.Loop() {
				r.step(Event{Kind: TimerFired, Tag: "sweep"})
			}
		})
	}
}

// The cost of one entry's change of the list.
func BenchmarkListChange(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			r, list := sized(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x := list[i%n]
				x.State = NodeState(i / n % 2)
				r.step(Event{Kind: ListChanged, Nodes: []Node{x}})
			}
		})
	}
}

// A step looks at the shards that have work, however long the list is.
func TestOnlyBusyLanesAreLookedAt(t *testing.T) {
	r, list := sized(t, 1024)
	r.step(call("a", "safe", 7, r.now+1500), call("b", "safe", 1000, r.now+1500))
	if len(r.s.busyQueues) != 2 {
		t.Fatalf("%d busy lanes with two requests out", len(r.s.busyQueues))
	}
	r.now += 20
	r.step(done("a", 0, OK, true))
	if len(r.s.busyQueues) != 1 || r.s.busyQueues[0].shard != 1000 {
		t.Fatalf("%d busy lanes with one request out", len(r.s.busyQueues))
	}
	moved := list[1000]
	moved.Shard = 3 // its work goes with it
	r.step(Event{Kind: ListChanged, Nodes: []Node{moved}})
	if len(r.s.busyQueues) != 1 || r.s.busyQueues[0].shard != 3 {
		t.Fatalf("%d busy lanes, not that of the node that moved", len(r.s.busyQueues))
	}
	r.now += 20
	if r.step(done("b", 0, OK, true)); len(r.s.busyQueues) != 0 {
		t.Fatal("a shard queue is busy with nothing out")
	}
}
