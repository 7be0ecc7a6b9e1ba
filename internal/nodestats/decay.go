package nodestats

import (
	"math"
	"time"
)

// Each class on a node has two sets of decayed statistics. The long-term one is steady; the short-term one is right soon
// after a change. A comparison of the two decides which counts: for this process's own observations in recorder.go, and
// for each origin against the recent observations of all in views.go.
const (
	longHalfLives        = 4    // short-term half-lives in one long-term half-life
	resetMinWeight       = 8    // short-term outcomes below which a recorder is not reset
	resetDeviation       = 4    // standard errors between short-term and long-term statistics above which a recorder is reset
	resetInterval        = 2    // half-lives between resets of a recorder, at least
	maxLongTermDeviation = 2    // standard errors from all recent observations above which an origin's long-term statistics do not count
	minWeight            = 1e-9 // weight that counts as none
)

// decayedCounts are outcomes weighted by one half-life.
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

// clipped returns the counts as they enter a view.
func (d *decayedCounts) clipped(c clipFactors) decayedCounts {
	return decayedCounts{d.sums.Scale(c.weight, c.units, c.times), d.rejected * c.weight, d.failed * c.weight, d.timedOut * c.weight}
}

func (d *decayedCounts) add(o decayedCounts) {
	d.sums = d.sums.Add(o.sums)
	d.rejected += o.rejected
	d.failed += o.failed
	d.timedOut += o.timedOut
}

// fields returns the values in the order of a message.
func (d *decayedCounts) fields() [9]*float64 {
	return [...]*float64{&d.sums.N, &d.sums.X, &d.sums.Y, &d.sums.XX, &d.sums.XY, &d.sums.YY, &d.rejected, &d.failed, &d.timedOut}
}

// isPartOf reports whether d can be the short-term counts beside the long-term counts of the same outcomes: no outcome
// weighs more in them, apart from rounding.
func (d *decayedCounts) isPartOf(long *decayedCounts) bool {
	part, total := d.fields(), long.fields()
	for i := range part {
		if *part[i] > *total[i]*(1+1e-6)+1e-9 {
			return false
		}
	}
	return true
}

// aroundLine returns the level, at no units, of a line of the given slope through the service times, and the times'
// variance around it.
func (d *decayedCounts) aroundLine(slope float64) (level, variance float64) {
	s := &d.sums
	x, y := s.X/s.N, s.Y/s.N
	sxx, sxy, syy := max(s.XX-s.X*x, 0), s.XY-s.X*y, max(s.YY-s.Y*y, 0)
	return y - slope*x, max(syy-2*slope*sxy+slope*slope*sxx, 0) / s.N
}

// slope is the pooled slope of service times over units within each of two sets, from 0 to the lower mean per unit.
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

// deviation is the number of standard errors between two sets: in the service times, or in the share of outcomes that
// were not served, whichever is larger. With isPart the first is a part of the second, else they are of different
// outcomes. The larger variance of the two counts, so that neither one long service time nor the smaller variance of a
// faster node makes a difference.
func deviation(a, b *decayedCounts, isPart bool) float64 {
	z := 0.0
	if a.sums.N > minWeight && b.sums.N > minWeight {
		k := slope(a, b)
		levelA, varianceA := a.aroundLine(k)
		levelB, varianceB := b.aroundLine(k)
		z = standardErrors(levelA-levelB, max(varianceA, varianceB), a.sums.N, b.sums.N, isPart)
	}
	if na, nb := a.weight(), b.weight(); na > minWeight && nb > minWeight {
		p := (a.unserved() + b.unserved() + 1) / (na + nb + 2)
		z = max(z, standardErrors(a.unserved()/na-b.unserved()/nb, p*(1-p), na, nb, isPart))
	}
	return z
}

// standardErrors is a difference of two weighted means in standard errors. A decayed mean of weight n rests on about 2n
// outcomes.
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

// decay ages all but the bins, and returns the factor that the short-term weights, also those of the bins, decay by.
func (c *classStats) decay(age, halfLife time.Duration) float64 {
	w := decay(age, halfLife*longHalfLives)
	short := w * w * w * w // w to the power of longHalfLives
	c.long.scale(w)
	c.short.scale(short)
	return short
}

// scale ages all values.
func (c *classStats) scale(age, halfLife time.Duration) {
	w := c.decay(age, halfLife)
	for i := range c.bins {
		c.bins[i] *= w
	}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
