package cost

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/nodestats"
)

// plansOf64Steps returns three plans of 64 steps: in sequence, concurrent, and of all kinds.
func plansOf64Steps() []Plan {
	var reads []Step
	for i := range 64 {
		reads = append(reads, readStep(fmt.Sprintf("n-%02d", i%12), i%12/3, float64(1+i%7)))
	}
	quorum := &Quorum{2, reads[:4]}
	return []Plan{{Name: "then", Root: Step{Then: reads}}, {Name: "all", Root: Step{All: reads}},
		{Name: "mixed", Root: Step{Then: []Step{{All: reads[:30]}, {Any: reads[:30]}, {Of: quorum}}}}}
}

// BenchmarkThreePlansOf64 measures an estimate of three plans of 64 steps, which should take less than 100 µs.
func BenchmarkThreePlansOf64(b *testing.B) {
	e := newEstimator(b, fleetViews())
	plans := plansOf64Steps()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Estimate(plans, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLargestInput measures the largest input, 256 plans of 1,024 steps, in the form that takes the most time.
func BenchmarkLargestInput(b *testing.B) {
	e := newEstimator(b, fleetViews())
	reads := plansOf64Steps()[0].Root.Then
	var quorums []Step
	for range 60 {
		quorums = append(quorums, Step{Of: &Quorum{8, reads[:16]}})
	}
	plans := slices.Repeat([]Plan{{Name: "a", Root: Step{All: quorums}}}, MaxPlans)
	for b.Loop() {
		if _, err := e.Estimate(plans, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSetViews1024 measures the models' computation from the views of 1,024 nodes.
func BenchmarkSetViews1024(b *testing.B) {
	e := newEstimator(b, nil)
	var views []nodestats.View
	for i := range 1024 {
		views = append(views, viewOfNode(fmt.Sprintf("n-%04d", i), fmt.Sprint("t", i%3), i/3, 40, 10, uint64(i)))
	}
	for b.Loop() {
		e.SetViews(views)
	}
}
