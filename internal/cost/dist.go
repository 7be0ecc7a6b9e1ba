package cost

import "math"

// A distribution of a time is held as its first three cumulants and as its quantiles at fixed levels,
// evenly spaced in the logit of the probability: so that the largest of 1,024 still has levels to stand on.
const (
	levelsN  = 41
	levelGap = 0.5
	logitTop = levelGap * (levelsN - 1) / 2
	shapes   = 64  // rows of the table of shapes
	shapeTop = 3.0 // spread over mean of the last row
	mostLog  = 700.0
)

var (
	probs, lnF, lnS, weights [levelsN]float64
	// shape is the standardised lognormal (mean 0, deviation 1) by the spread over mean that it has when it
	// begins at 0; sums and waits are shifted ones of the same skew.
	shape [shapes + 1][levelsN]float64
)

func init() {
	for j := range levelsN {
		z := -logitTop + levelGap*float64(j)
		probs[j] = 1 / (1 + math.Exp(-z))
		lnF[j], lnS[j] = -math.Log1p(math.Exp(-z)), -math.Log1p(math.Exp(z))
	}
	for j := range levelsN {
		low, high := 0.0, 1.0
		if j > 0 {
			low = (probs[j-1] + probs[j]) / 2
		}
		if j < levelsN-1 {
			high = (probs[j] + probs[j+1]) / 2
		}
		weights[j] = high - low
	}
	for r := range shapes + 1 {
		c := shapeTop * float64(r) / shapes
		s := math.Sqrt(math.Log1p(c * c))
		for j, p := range probs {
			z := math.Sqrt2 * math.Erfinv(2*p-1)
			if j > levelsN/2 { // 2p-1 has no digits left near 1
				z = math.Sqrt2 * math.Erfcinv(2*probs[levelsN-1-j])
			}
			if r == 0 {
				shape[r][j] = z
			} else {
				shape[r][j] = math.Expm1(s*z-s*s/2) / c
			}
		}
	}
}

// dist is the time until a step ends.
type dist struct {
	mean, variance, third float64 // cumulants, of the answers' own scatter
	err                   float64 // standard error of the mean; adds up along a chain
	served                float64
	drawn                 bool
	q                     [levelsN]float64 // with the error in it
}

// zero is the time of no step.
func zero() dist { return dist{served: 1} }

// add is then: cumulants of independent times add; the errors may be of one and the same line.
func (d *dist) add(o *dist) {
	d.mean += o.mean
	d.variance += o.variance
	d.third += o.third
	d.err += o.err
	d.served *= o.served
	d.drawn = false
}

// draw fills the quantiles from the cumulants: the shifted lognormal that has them.
func (d *dist) draw() {
	if d.drawn {
		return
	}
	d.drawn = true
	v := d.variance + d.err*d.err
	sd := math.Sqrt(v)
	c := 0.0
	if v > 0 {
		c = spreadOfSkew(max(d.third/(v*sd), 0))
	}
	at := min(c/shapeTop, 1) * shapes
	r := min(int(at), shapes-1)
	f := at - float64(r)
	low, high := &shape[r], &shape[r+1]
	a, b, m := sd*(1-f), sd*f, d.mean
	for j := range d.q {
		q := m + a*low[j] + b*high[j]
		if q < 0 {
			q = 0
		}
		d.q[j] = q
	}
}

// spreadOfSkew solves c^3 + 3c = skew, the spread over mean of the lognormal of that skew, to 1e-6 up to the
// last row of the table: two of Newton's steps from a start that is right at both ends.
func spreadOfSkew(skew float64) float64 {
	if skew >= shapeTop*(shapeTop*shapeTop+3) {
		return shapeTop
	}
	c := skew / (3 + skew/4)
	for range 2 {
		c = (2*c*c*c + skew) / (3*c*c + 3)
	}
	return c
}

// lognormalThird is the third cumulant of a lognormal of that mean and spread over mean.
func lognormalThird(mean, c float64) float64 {
	sd := c * mean
	return sd * sd * sd * c * (c*c + 3)
}

// from takes the cumulants from the quantiles; the error is in these.
func (d *dist) from(least, most float64) {
	var m, v, k float64
	for j, q := range &d.q {
		m += weights[j] * q
	}
	for j, q := range &d.q {
		x := q - m
		v += weights[j] * x * x
		k += weights[j] * x * x * x
	}
	d.mean, d.drawn = min(max(m, least), most), true
	d.variance, d.third = max(v-d.err*d.err, 0), max(k, 0)
}

// logit is the logit of the chance that it has ended at v, linear between the levels.
func (d *dist) logit(v float64) float64 {
	if v < d.q[0] {
		return -math.Inf(1)
	}
	j := 0
	for j < levelsN-1 && d.q[j+1] <= v {
		j++
	}
	if j == levelsN-1 {
		return logitTop
	}
	return -logitTop + levelGap*(float64(j)+(v-d.q[j])/(d.q[j+1]-d.q[j]))
}

// ended is the chance that it has ended at v.
func (d *dist) ended(v float64) float64 { return 1 / (1 + math.Exp(-d.logit(v))) }

// quantile is the time by which it has ended with a chance of that logit.
func (d *dist) quantile(logit float64) float64 {
	at := min(max((logit+logitTop)/levelGap, 0), levelsN-1)
	j := min(int(at), levelsN-2)
	return d.q[j] + (at-float64(j))*(d.q[j+1]-d.q[j])
}

// sum adds to into[g] what table says of d at each of the ascending points.
func (d *dist) sum(points []float64, table *[levelsN]float64, before float64, into []float64) {
	into = into[:len(points)]
	g := 0
	for ; g < len(points) && points[g] < d.q[0]; g++ {
		into[g] += before
	}
	for j := 0; j < levelsN-1 && g < len(points); j++ {
		next := d.q[j+1]
		if points[g] >= next {
			continue
		}
		rise := (table[j+1] - table[j]) / (next - d.q[j])
		start := table[j] - rise*d.q[j]
		for ; g < len(points) && points[g] < next; g++ {
			into[g] += start + rise*points[g]
		}
	}
	for ; g < len(points); g++ {
		into[g] += table[levelsN-1]
	}
}

// invert reads quantiles off a distribution given as logits (rising) at points (rising).
func invert(points, logits []float64, q *[levelsN]float64) {
	g := 0
	for j := range q {
		z := -logitTop + levelGap*float64(j)
		for g < len(points)-1 && logits[g] < z {
			g++
		}
		switch {
		case g == 0 || logits[g] <= z && g == len(points)-1 || logits[g] <= logits[g-1]:
			q[j] = points[g]
		default:
			f := min(max((z-logits[g-1])/(logits[g]-logits[g-1]), 0), 1)
			q[j] = points[g-1] + f*(points[g]-points[g-1])
		}
	}
}

// above and below are the envelopes of the quantiles.
func above(ds []dist, q *[levelsN]float64) {
	*q = ds[0].q
	for i := 1; i < len(ds); i++ {
		for j, v := range &ds[i].q {
			if v > q[j] {
				q[j] = v
			}
		}
	}
}

func below(ds []dist, q *[levelsN]float64) {
	*q = ds[0].q
	for i := 1; i < len(ds); i++ {
		for j, v := range &ds[i].q {
			if v < q[j] {
				q[j] = v
			}
		}
	}
}

func larger(a, b float64) float64 {
	if a > b {
		return a
	}
	return b
}

func smaller(a, b float64) float64 {
	if a < b {
		return a
	}
	return b
}

// all is the slowest of independent times: their distribution functions multiply.
func all(ds []dist) dist { return extreme(ds, true) }

// any is the fastest: what is left of each multiplies.
func fastest(ds []dist) dist { return extreme(ds, false) }

func extreme(ds []dist, last bool) dist {
	if len(ds) == 1 {
		ds[0].draw()
		return ds[0]
	}
	var logs, edge [levelsN]float64
	out := zero()
	least, most, miss := 0.0, math.Inf(1), 1.0
	for i := range ds {
		d := &ds[i]
		d.draw()
		out.err = max(out.err, d.err)
		out.served *= d.served
		miss *= 1 - d.served
		least, most = max(least, d.mean), min(most, d.mean)
	}
	if last {
		above(ds, &edge)
	} else {
		below(ds, &edge)
		out.served = 1 - miss
	}
	for i := range ds {
		if last {
			ds[i].sum(edge[:], &lnF, -mostLog, logs[:])
		} else {
			ds[i].sum(edge[:], &lnS, 0, logs[:])
		}
	}
	run := math.Inf(-1)
	for j, l := range logs {
		l = max(min(l, -1e-300), -mostLog)
		z := l - math.Log(-math.Expm1(l))
		if !last {
			z = -z
		}
		run = larger(run, z)
		logs[j] = run
	}
	invert(edge[:], logs[:], &out.q)
	for j := range out.q {
		if last {
			out.q[j] = larger(out.q[j], edge[j])
		} else {
			out.q[j] = smaller(out.q[j], edge[j])
		}
	}
	if last {
		out.from(least, math.Inf(1))
	} else {
		out.from(0, most)
	}
	return out
}

// kth is the k-th of independent times: at each point the number that have ended is counted out.
func kth(ds []dist, k int) dist {
	if k == len(ds) {
		return all(ds)
	}
	if k == 1 {
		return fastest(ds)
	}
	var low, high [levelsN]float64
	out := zero()
	chances := make([]float64, len(ds))
	for i := range ds {
		d := &ds[i]
		d.draw()
		out.err = max(out.err, d.err)
		chances[i] = d.served
	}
	out.served = atLeast(chances, k)
	below(ds, &low)
	above(ds, &high)
	points := make([]float64, 0, levelsN+1)
	for a, b := 0, 0; a < levelsN || b < levelsN; { // every other of both envelopes
		if b >= levelsN || a < levelsN && low[a] <= high[b] {
			points = append(points, low[a])
			a += 2
		} else {
			points = append(points, high[b])
			b += 2
		}
	}
	logits := make([]float64, len(points))
	run := math.Inf(-1)
	ended := make([]float64, len(ds)*len(points))
	for i := range ds {
		ds[i].sum(points, &probs, 0, ended[i*len(points):(i+1)*len(points)])
	}
	for g := range points {
		for i := range ds {
			chances[i] = ended[i*len(points)+g]
		}
		p := min(max(atLeast(chances, k), 1e-300), 1)
		run = larger(run, math.Log(p/max(1-p, 1e-16)))
		logits[g] = run
	}
	invert(points, logits, &out.q)
	first, last := fastest(ds), all(ds)
	for j := range out.q {
		out.q[j] = min(max(out.q[j], first.q[j]), last.q[j])
	}
	out.from(first.mean, last.mean)
	return out
}

// atLeast is the chance that k or more of independent events come about.
func atLeast(p []float64, k int) float64 {
	var n [QuorumMost + 1]float64 // n[i]: chance of i so far; the last stands for k or more
	n[0] = 1
	for _, x := range p {
		n[k] += n[k-1] * x
		for i := k - 1; i > 0; i-- {
			n[i] += (n[i-1] - n[i]) * x
		}
		n[0] -= n[0] * x
	}
	return min(max(n[k], 0), 1)
}
