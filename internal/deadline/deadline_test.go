package deadline

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// The invariants of the package comment, against a plain list of all that was seen.
func TestMarginCoversRecentLags(t *testing.T) {
	type seen struct{ at, late time.Duration }
	rapid.Check(t, func(t *rapid.T) {
		var g LagGauge
		var all []seen
		at := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "saw") {
				s := seen{at, time.Duration(rapid.IntRange(0, 200).Draw(t, "late")) * time.Millisecond}
				all = append(all, s)
				g.Record(s.at, s.late)
			}
			patience := time.Duration(rapid.IntRange(1, 4000).Draw(t, "patience")) * time.Millisecond
			got := g.Margin(at, patience)
			if got < MinMargin || got > max(MinMargin, patience/MaxMarginDivisor) {
				t.Fatalf("margin %v of %v", got, patience)
			}
			must, may := MinMargin, MinMargin // of what still counts for sure, and of what may count
			for _, s := range all {
				s.late = min(s.late, MaxLag)
				if at-s.at < Window {
					must = max(must, LagFactor*s.late)
				}
				if at-s.at <= 2*Window {
					may = max(may, LagFactor*s.late)
				}
			}
			if most := max(MinMargin, patience/MaxMarginDivisor); got < min(must, most) || got > min(may, most) {
				t.Fatalf("margin %v, wanted %v to %v of %v", got, must, may, patience)
			}
		}
	})
}
