package nodestats

import (
	"math"
	"time"
)

// A slot remembers twice: the long memory forgets longer times more slowly. Long is steady, short is soon right
// after a change; which of them counts is decided by a comparison of the two, in own.go for one process's
// own slot, and in views.go for each origin beside what all saw lately.
const (
	longer     = 4 // half-lives of the short memory in one of the long; Record takes weights to that power
	anewLeast  = 8 // answers in the short memory below which a slot is not compared with itself
	anewApart  = 4 // standard errors between its memories past which a slot begins anew
	anewPause  = 2 // half-lives between two beginnings
	stillApart = 2 // standard errors from what all saw lately past which an origin's long memory does not count
	leastPart  = 1e-9
)

// memory is what was seen, weighted by one half-life.
type memory struct {
	sums                 Sums
	turned, failed, late float64
}

func (m *memory) bad() float64    { return m.turned + m.failed + m.late }
func (m *memory) weight() float64 { return m.sums.N + m.bad() }

func (m *memory) scale(w float64) {
	m.sums = m.sums.Scale(w, 1, 1)
	m.turned *= w
	m.failed *= w
	m.late *= w
}

// clipped is m as it counts in a view.
func (m *memory) clipped(c clipping) memory {
	return memory{m.sums.Scale(c.n, c.x, c.y), m.turned * c.n, m.failed * c.n, m.late * c.n}
}

func (m *memory) add(o memory) {
	m.sums = m.sums.Add(o.sums)
	m.turned += o.turned
	m.failed += o.failed
	m.late += o.late
}

// all are its figures, in the order of a message.
func (m *memory) all() [9]*float64 {
	return [...]*float64{&m.sums.N, &m.sums.X, &m.sums.Y, &m.sums.XX, &m.sums.XY, &m.sums.YY, &m.turned, &m.failed, &m.late}
}

// within says that m can be the short memory where o is the long one, rounding apart: no answer weighs more in it.
func (m *memory) within(o *memory) bool {
	mine, others := m.all(), o.all()
	for i := range mine {
		if *mine[i] > *others[i]*(1+1e-6)+1e-9 {
			return false
		}
	}
	return true
}

// spread is a memory's times about a line of the given slope: where it stands at no units, and its variance.
func (m *memory) spread(slope float64) (level, variance float64) {
	s := &m.sums
	x, y := s.X/s.N, s.Y/s.N
	sxx, sxy, syy := max(s.XX-s.X*x, 0), s.XY-s.X*y, max(s.YY-s.Y*y, 0)
	return y - slope*x, max(syy-2*slope*sxy+slope*slope*sxx, 0) / s.N
}

// slope is that of the times over the units within each of two memories.
func slope(a, b *memory) float64 {
	sxx, sxy, most := 0.0, 0.0, math.Inf(1)
	for _, m := range [...]*memory{a, b} {
		s := &m.sums
		if s.N <= leastPart || s.X <= 0 {
			return 0
		}
		sxx += max(s.XX-s.X*s.X/s.N, 0)
		sxy += s.XY - s.X*s.Y/s.N
		most = min(most, s.Y/s.X)
	}
	if sxx <= leastPart {
		return 0
	}
	return min(max(sxy/sxx, 0), most)
}

// apart is how many standard errors lie between two memories: in the times of the served, and in the share of
// those that were not. The first may be a part of the second, else they are of other answers; a weighted mean
// of N stands on 2 N answers. The larger of the two variances counts, so that neither one long answer nor the
// smaller scatter of a faster node makes a difference.
func apart(a, b *memory, part bool) float64 {
	z := 0.0
	if a.sums.N > leastPart && b.sums.N > leastPart {
		k := slope(a, b)
		la, va := a.spread(k)
		lb, vb := b.spread(k)
		z = over(la-lb, max(va, vb), a.sums.N, b.sums.N, part)
	}
	if na, nb := a.weight(), b.weight(); na > leastPart && nb > leastPart {
		p := (a.bad() + b.bad() + 1) / (na + nb + 2)
		z = max(z, over(a.bad()/na-b.bad()/nb, p*(1-p), na, nb, part))
	}
	return z
}

func over(d, variance, na, nb float64, part bool) float64 {
	if d == 0 {
		return 0
	}
	n := 1/na + 1/nb
	if part {
		n = max(1/na-1/nb, 0)
	}
	return math.Abs(d) / math.Sqrt(max(variance*n/2, 1e-18*d*d))
}

// figures are what one origin says of one class on one node.
type figures struct {
	since       int64
	long, short memory
	bins        [bins]float64 // of the short memory
}

// decay lets time pass over all but the buckets, and gives what is left of the short memory's weight.
func (f *figures) decay(age, halfLife time.Duration) float64 {
	w := decay(age, halfLife*longer)
	short := w * w * w * w
	f.long.scale(w)
	f.short.scale(short)
	return short
}

func (f *figures) scale(age, halfLife time.Duration) {
	w := f.decay(age, halfLife)
	for i := range f.bins {
		f.bins[i] *= w
	}
}

func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
