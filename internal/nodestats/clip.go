package nodestats

import (
	"cmp"
	"math"
	"slices"
)

const (
	minOriginsToClip   = 3  // two origins have no majority
	minVoteWeight      = 1  // origins with less weight are not included in medians
	minReferenceWeight = 16 // lower bound of the median weight that is used for clipping
)

// clipFactors are the factors by which one origin's weight, units and times are multiplied.
type clipFactors struct{ weight, units, times float64 }

// clipAll returns the factors for the origins of one key. With at least three origins, the weight of each is limited to
// clip times the median weight. The root mean squares of its units and of its times are brought within a factor of clip
// of the weighted medians over the origins. In these medians no origin weighs more than the median weight.
func clipAll(origins []classStats, clip float64, counts func(*classStats) *decayedCounts) []clipFactors {
	factors := make([]clipFactors, len(origins))
	var weights []float64
	for i := range origins {
		factors[i] = clipFactors{1, 1, 1}
		if w := counts(&origins[i]).weight(); w >= minVoteWeight {
			weights = append(weights, w)
		}
	}
	if len(weights) < minOriginsToClip {
		return factors
	}
	slices.Sort(weights)
	reference := max(weights[(len(weights)-1)/2], minReferenceWeight)
	var units, times []vote
	for i := range origins {
		d := counts(&origins[i])
		factors[i].weight = min(1, clip*reference/max(d.weight(), 1e-9))
		if d.weight() >= minVoteWeight && d.sums.N > 0 {
			n := min(d.sums.N, reference)
			units = append(units, vote{rms(d.sums.XX, d.sums.N), n})
			times = append(times, vote{rms(d.sums.YY, d.sums.N), n})
		}
	}
	medianUnits, medianTime := median(units), median(times)
	for i := range origins {
		if d := counts(&origins[i]); d.sums.N > 0 {
			factors[i].units = clipFactor(rms(d.sums.XX, d.sums.N), medianUnits, clip)
			factors[i].times = clipFactor(rms(d.sums.YY, d.sums.N), medianTime, clip)
		}
	}
	return factors
}

// vote is a value in a weighted median.
type vote struct{ value, weight float64 }

func rms(squares, n float64) float64 { return math.Sqrt(squares / n) }

// median returns the lowest value that at least half of the weight does not exceed.
func median(votes []vote) float64 {
	slices.SortFunc(votes, func(a, b vote) int { return cmp.Or(cmp.Compare(a.value, b.value), cmp.Compare(a.weight, b.weight)) })
	total, sum := 0.0, 0.0
	for _, v := range votes {
		total += v.weight
	}
	for _, v := range votes {
		sum += v.weight
		if sum >= total/2 {
			return v.value
		}
	}
	return 0
}

// clipFactor returns the factor that brings v within a factor of clip of m.
func clipFactor(v, m, clip float64) float64 {
	switch {
	case v <= 0 || m <= 0:
		return 1
	case v > m*clip:
		return m * clip / v
	case v < m/clip:
		return m / clip / v
	}
	return 1
}

// clippedMean returns the mean of the values. With at least three values, each is limited to clip times the median or
// clip, whichever is greater. It sorts the values.
func clippedMean(values []float64, clip float64) float64 {
	slices.Sort(values)
	limit := math.Inf(1)
	if len(values) >= minOriginsToClip {
		limit = clip * max(values[(len(values)-1)/2], 1)
	}
	sum := 0.0
	for _, v := range values {
		sum += min(v, limit)
	}
	return sum / float64(len(values))
}
