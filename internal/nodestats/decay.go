package nodestats

import (
	"math"
	"time"
)

// Each class on a node has two sets of decayed statistics. The long-term set varies little, and the short-term set
// follows a change quickly. A comparison of the two decides which of them is used: recorder.go compares those of this
// process, and views.go compares each origin's long-term set with the short-term sets of all origins.
const (
	longHalfLives        = 4    // short-term half-lives in one long-term half-life
	resetMinWeight       = 8    // a recorder with fewer short-term outcomes is not reset
	resetDeviation       = 4    // a recorder is reset if its short-term and long-term statistics differ by more than this many standard errors
	resetInterval        = 2    // least number of half-lives between resets of a recorder
	maxLongTermDeviation = 2    // an origin's long-term statistics are not used if they differ by more than this many standard errors from the recent observations of all
	minWeight            = 1e-9 // lower weights are treated as zero
)

// decayedCounts are sums and counts of outcomes, whose weights decay with a half-life.
type decayedCounts struct {
	sums                       Sums
	rejected, failed, timedOut float64
}

func (d *decayedCounts) unserved() float64 { return d.rejected + d.failed + d.timedOut }
func (d *decayedCounts) weight() float64   { return d.sums.N + d.unserved() }

func (d *decayedCounts) scale(w float64) {
	d.sums = d.sums.Scale(w, 1, 1)
	d.rejected *= w
	d.failed *= w
	d.timedOut *= w
}

// clipped returns the counts multiplied by the clip factors, as they are used in a view.
func (d *decayedCounts) clipped(c clipFactors) decayedCounts {
	return decayedCounts{d.sums.Scale(c.weight, c.units, c.times), d.rejected * c.weight, d.failed * c.weight, d.timedOut * c.weight}
}

func (d *decayedCounts) add(o decayedCounts) {
	d.sums = d.sums.Add(o.sums)
	d.rejected += o.rejected
	d.failed += o.failed
	d.timedOut += o.timedOut
}

// fields returns the values in the order in which a message contains them.
func (d *decayedCounts) fields() [9]*float64 {
	return [...]*float64{&d.sums.N, &d.sums.X, &d.sums.Y, &d.sums.XX, &d.sums.XY, &d.sums.YY, &d.rejected, &d.failed, &d.timedOut}
}

// isPartOf reports whether d and long can be the short-term and the long-term counts of the same outcomes. Each outcome
// has at most its long-term weight in the short-term counts, so that no value of d exceeds that of long, apart from
// rounding.
func (d *decayedCounts) isPartOf(long *decayedCounts) bool {
	part, total := d.fields(), long.fields()
	for i := range part {
		if *part[i] > *total[i]*(1+1e-6)+1e-9 {
			return false
		}
	}
	return true
}

// aroundLine fits a line of the given slope to the service times. It returns the line's value at zero units and the
// variance of the times around the line.
func (d *decayedCounts) aroundLine(slope float64) (level, variance float64) {
	s := &d.sums
	x, y := s.X/s.N, s.Y/s.N
	sxx, sxy, syy := max(s.XX-s.X*x, 0), s.XY-s.X*y, max(s.YY-s.Y*y, 0)
	return y - slope*x, max(syy-2*slope*sxy+slope*slope*sxx, 0) / s.N
}

// slope returns the slope of service times over units, pooled over two sets. It is at least 0 and at most the lower mean
// time per unit of the two.
func slope(a, b *decayedCounts) float64 {
	sxx, sxy, maxSlope := 0.0, 0.0, math.Inf(1)
	for _, d := range [...]*decayedCounts{a, b} {
		s := &d.sums
		if s.N <= minWeight || s.X <= 0 {
			return 0
		}
		sxx += max(s.XX-s.X*s.X/s.N, 0)
		sxy += s.XY - s.X*s.Y/s.N
		maxSlope = min(maxSlope, s.Y/s.X)
	}
	if sxx <= minWeight {
		return 0
	}
	return min(max(sxy/sxx, 0), maxSlope)
}

// deviation returns the difference between two sets in standard errors: that of the service times or that of the share
// of unserved outcomes, whichever is larger. If isPart is true, the first set is a part of the second. Otherwise they
// contain different outcomes. It uses the larger variance of the two sets, so that neither a single long service time
// nor the smaller variance of a faster node is taken for a change.
func deviation(a, b *decayedCounts, isPart bool) float64 {
	largest := 0.0
	if a.sums.N > minWeight && b.sums.N > minWeight {
		commonSlope := slope(a, b)
		levelA, varianceA := a.aroundLine(commonSlope)
		levelB, varianceB := b.aroundLine(commonSlope)
		largest = standardErrors(levelA-levelB, max(varianceA, varianceB), a.sums.N, b.sums.N, isPart)
	}
	if na, nb := a.weight(), b.weight(); na > minWeight && nb > minWeight {
		p := (a.unserved() + b.unserved() + 1) / (na + nb + 2)
		largest = max(largest, standardErrors(a.unserved()/na-b.unserved()/nb, p*(1-p), na, nb, isPart))
	}
	return largest
}

// standardErrors returns the difference of two weighted means in standard errors. A decayed mean of weight n is based on
// about 2n outcomes.
func standardErrors(difference, variance, na, nb float64, isPart bool) float64 {
	if difference == 0 {
		return 0
	}
	n := 1/na + 1/nb
	if isPart {
		n = max(1/na-1/nb, 0)
	}
	return math.Abs(difference) / math.Sqrt(max(variance*n/2, 1e-18*difference*difference))
}

// classStats are what one origin reports of one class on one run of a node.
type classStats struct {
	startTime   int64
	long, short decayedCounts
	bins        [numBins]float64 // latency counts, with short-term weights
}

func (c *classStats) longTerm() *decayedCounts  { return &c.long }
func (c *classStats) shortTerm() *decayedCounts { return &c.short }

// decay ages everything but the bins. It returns the decay factor of the short-term weights, which also applies to the
// bins.
func (c *classStats) decay(age, halfLife time.Duration) float64 {
	w := decay(age, halfLife*longHalfLives)
	short := w * w * w * w // w to the power of longHalfLives
	c.long.scale(w)
	c.short.scale(short)
	return short
}

// scale ages all values, including the bins.
func (c *classStats) scale(age, halfLife time.Duration) {
	w := c.decay(age, halfLife)
	for i := range c.bins {
		c.bins[i] *= w
	}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
