package policy

import (
	"fmt"
	"testing"
)

var benchmarkSizes = []int{10, 100, 1024}

// The cost of a decision: one request from its arrival over its send to its outcome.
func BenchmarkDecision(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			r, _ := newSizedHarness(b, n)
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
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			r, _ := newSizedHarness(b, n)
			for i := range 40 {
				r.step(call(fmt.Sprint("w", i), "safe", 0, r.now+1e9))
			}
			b.ReportAllocs()
			for b.Loop() {
				r.step(Event{Kind: TimerFired, Tag: sweepTimer})
			}
		})
	}
}

// The cost of one entry's change of the list.
func BenchmarkListChange(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			r, list := newSizedHarness(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x := list[i%n]
				x.State = NodeState(i / n % 2)
				r.step(Event{Kind: ListChanged, Nodes: []Node{x}})
			}
		})
	}
}
