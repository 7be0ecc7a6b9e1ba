package policy

import (
	"fmt"
	"testing"
)

var benchmarkSizes = []int{10, 100, 1024}

// BenchmarkDecision measures the decisions for one request: its arrival, its send and the end of its attempt.
func BenchmarkDecision(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			h, _ := newSizedHarness(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprint("q", i)
				h.step(requestArrived(id, "safe", i%n, h.now+1500))
				h.now += 20
				h.step(attemptEnded(id, 0, OK, true))
			}
		})
	}
}

// BenchmarkSweep measures a sweep while requests wait for one shard.
func BenchmarkSweep(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			h, _ := newSizedHarness(b, n)
			for i := range 40 {
				h.step(requestArrived(fmt.Sprint("w", i), "safe", 0, h.now+1e9))
			}
			b.ReportAllocs()
			for b.Loop() {
				h.step(Event{Kind: TimerFired, Tag: sweepTimer})
			}
		})
	}
}

// BenchmarkListChange measures the change of one entry of the endpoint list.
func BenchmarkListChange(b *testing.B) {
	for _, n := range benchmarkSizes {
		b.Run(fmt.Sprint(n, " nodes"), func(b *testing.B) {
			h, list := newSizedHarness(b, n)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				x := list[i%n]
				x.State = NodeState(i / n % 2)
				h.step(Event{Kind: ListChanged, Nodes: []Node{x}})
			}
		})
	}
}
