package deadline

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// The margin stays within the bounds that follow from the list of all recorded lags.
func TestMarginCoversRecentLags(t *testing.T) {
	type sample struct{ at, lag time.Duration }
	rapid.Check(t, func(t *rapid.T) {
		var gauge LagGauge
		var samples []sample
		now := time.Duration(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "record") {
				lag := time.Duration(rapid.IntRange(0, 200).Draw(t, "lag")) * time.Millisecond
				samples = append(samples, sample{now, min(lag, MaxLag)})
				gauge.Record(now, lag)
			}
			timeout := time.Duration(rapid.IntRange(1, 4000).Draw(t, "client timeout")) * time.Millisecond
			got := gauge.Margin(now, timeout)
			bound := max(MinMargin, timeout/MaxMarginDivisor)
			if got < MinMargin || got > bound {
				t.Fatalf("margin %v for the client timeout %v is out of bounds", got, timeout)
			}
			minWanted, maxWanted := MinMargin, MinMargin // bounds by the lags that must count and by those that may count
			for _, s := range samples {
				if now-s.at < Window {
					minWanted = max(minWanted, LagFactor*s.lag)
				}
				if now-s.at <= 2*Window {
					maxWanted = max(maxWanted, LagFactor*s.lag)
				}
			}
			if got < min(minWanted, bound) || got > min(maxWanted, bound) {
				t.Fatalf("margin %v, want %v to %v for the client timeout %v", got, minWanted, maxWanted, timeout)
			}
		}
	})
}
