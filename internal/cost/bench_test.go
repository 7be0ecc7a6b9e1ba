package cost

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/nodestats"
)

func sixtyFour() []Plan {
	var many []Step
	for i := range 64 {
		many = append(many, read(fmt.Sprintf("n-%02d", i%12), i%12/3, float64(1+i%7)))
	}
	of := &Quorum{2, many[:4]}
	return []Plan{{Name: "then", Root: Step{Then: many}}, {Name: "all", Root: Step{All: many}},
		{Name: "mixed", Root: Step{Then: []Step{{All: many[:30]}, {Any: many[:30]}, {Of: of}}}}}
}

// Three plans of 64 steps: under 100 µs.
func BenchmarkThreePlansOf64(b *testing.B) {
	e := learned(b, fleet())
	plans := sixtyFour()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Estimate(plans, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

// The largest question: 256 plans of 1,024 steps, in the dearest form.
func BenchmarkLargest(b *testing.B) {
	e := learned(b, fleet())
	many := sixtyFour()[0].Root.Then
	var ofs []Step
	for range 60 {
		ofs = append(ofs, Step{Of: &Quorum{8, many[:16]}})
	}
	plans := slices.Repeat([]Plan{{Name: "a", Root: Step{All: ofs}}}, PlansMost)
	for b.Loop() {
		if _, err := e.Estimate(plans, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkLearn1024(b *testing.B) {
	e := learned(b, nil)
	var views []nodestats.View
	for i := range 1024 {
		views = append(views, told(fmt.Sprintf("n-%04d", i), fmt.Sprint("t", i%3), i/3, 40, 10, uint64(i)))
	}
	for b.Loop() {
		e.Learn(views)
	}
}
