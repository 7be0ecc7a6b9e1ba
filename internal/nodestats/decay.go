package nodestats

import (
	"math"
	"time"
)

// A slot remembers twice: the long memory forgets longer times more slowly. Long is steady, short is soon right
// after a change; which of them counts is decided by a comparison of the two, in own.go for one process's
// own slot, and in views.go for each origin beside what all saw lately.
const (
	longHalfLives        = 4 // half-lives of the short memory in one of the long; Record takes weights to that power
	resetMinWeight       = 8 // answers in the short memory below which a slot is not compared with itself
	resetDeviation       = 4 // standard errors between its memories past which a slot begins anew
	resetInterval        = 2 // half-lives between two beginnings
	maxLongTermDeviation = 2 // standard errors from what all saw lately past which an origin's long memory does not count
	minWeight            = 1e-9
)

// decayedCounts is what was seen, weighted by one half-life.
type decayedCounts struct {
	sums                       Sums
	rejected, failed, timedOut float64
}

func (m *decayedCounts) unserved() float64 { return m.rejected + m.failed + m.timedOut }
func (m *decayedCounts) weight() float64   { return m.sums.N + m.unserved() }

func (m *decayedCounts) scale(w float64) {
	m.sums = m.sums.Scale(w, 1, 1)
	m.rejected *= w
	m.failed *= w
	m.timedOut *= w
}

// clipped is m as it counts in a view.
func (m *decayedCounts) clipped(c clipFactors) decayedCounts {
	return decayedCounts{m.sums.Scale(c.weight, c.units, c.times), m.rejected * c.weight, m.failed * c.weight, m.timedOut * c.weight}
}

func (m *decayedCounts) add(o decayedCounts) {
	m.sums = m.sums.Add(o.sums)
	m.rejected += o.rejected
	m.failed += o.failed
	m.timedOut += o.timedOut
}

// fields are its figures, in the order of a message.
func (m *decayedCounts) fields() [9]*float64 {
	return [...]*float64{&m.sums.N, &m.sums.X, &m.sums.Y, &m.sums.XX, &m.sums.XY, &m.sums.YY, &m.rejected, &m.failed, &m.timedOut}
}

// clipFactor says that m can be the short memory where o is the long one, rounding apart: no answer weighs more in it.
func (m *decayedCounts) isPartOf(o *decayedCounts) bool {
	mine, others := m.fields(), o.fields()
	for i := range mine {
		if *mine[i] > *others[i]*(1+1e-6)+1e-9 {
			return false
		}
	}
	return true
}

// digestBuckets is a memory's times about a line of the given slope: where it stands at no units, and its variance.
func (m *decayedCounts) aroundLine(slope float64) (level, variance float64) {
	s := &m.sums
	x, y := s.X/s.N, s.Y/s.N
	sxx, sxy, syy := max(s.XX-s.X*x, 0), s.XY-s.X*y, max(s.YY-s.Y*y, 0)
	return y - slope*x, max(syy-2*slope*sxy+slope*slope*sxx, 0) / s.N
}

// slope is that of the times over the units within each of two memories.
func slope(a, b *decayedCounts) float64 {
	sxx, sxy, most := 0.0, 0.0, math.Inf(1)
	for _, m := range [...]*decayedCounts{a, b} {
		s := &m.sums
		if s.N <= minWeight || s.X <= 0 {
			return 0
		}
		sxx += max(s.XX-s.X*s.X/s.N, 0)
		sxy += s.XY - s.X*s.Y/s.N
		most = min(most, s.Y/s.X)
	}
	if sxx <= minWeight {
		return 0
	}
	return min(max(sxy/sxx, 0), most)
}

// deviation is how many standard errors lie between two memories: in the times of the served, and in the share of
// those that were not. The first may be a part of the second, else they are of other answers; a weighted mean
// of N stands on 2 N answers. The larger of the two variances counts, so that neither one long answer nor the
// smaller scatter of a faster node makes a difference.
func deviation(a, b *decayedCounts, part bool) float64 {
	z := 0.0
	if a.sums.N > minWeight && b.sums.N > minWeight {
		k := slope(a, b)
		la, va := a.aroundLine(k)
		lb, vb := b.aroundLine(k)
		z = standardErrors(la-lb, max(va, vb), a.sums.N, b.sums.N, part)
	}
	if na, nb := a.weight(), b.weight(); na > minWeight && nb > minWeight {
		p := (a.unserved() + b.unserved() + 1) / (na + nb + 2)
		z = max(z, standardErrors(a.unserved()/na-b.unserved()/nb, p*(1-p), na, nb, part))
	}
	return z
}

func standardErrors(d, variance, na, nb float64, part bool) float64 {
	if d == 0 {
		return 0
	}
	n := 1/na + 1/nb
	if part {
		n = max(1/na-1/nb, 0)
	}
	return math.Abs(d) / math.Sqrt(max(variance*n/2, 1e-18*d*d))
}

// classStats are what one origin says of one class on one node.
type classStats struct {
	startTime   int64
	long, short decayedCounts
	bins        [numBins]float64 // of the short memory
}

// decay lets time pass over all but the buckets, and gives what is left of the short memory's weight.
func (f *classStats) decay(age, halfLife time.Duration) float64 {
	w := decay(age, halfLife*longHalfLives)
	short := w * w * w * w
	f.long.scale(w)
	f.short.scale(short)
	return short
}

func (f *classStats) scale(age, halfLife time.Duration) {
	w := f.decay(age, halfLife)
	for i := range f.bins {
		f.bins[i] *= w
	}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
