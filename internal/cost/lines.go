package cost

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"wheatsaddle/internal/nodestats"
)

const (
	spreadWeight = 20.0 // answers at which a node's own spread counts as much as its type's
	badWeight    = 20.0 // ... and its own refusals
	leastMillis  = 1e-6
	leastAnswers = 1e-9
	meanMost     = 1e9 // mean units and milliseconds of a view
	leastScatter = 1e-9
	spreadMost   = 10.0
)

// line is the time of a step at one node, in one class: level at the class's base units, slope per
// unit, spread over mean; the errors are those of the estimate.
type line struct {
	base, level, slope float64
	spread             float64
	levelVar, slopeVar float64
	wait               float64 // answers that wait before it, for each place in the window
	served, answers, z float64
	origins            int
	age                time.Duration
	from               Level
	cold               bool
	typ                int
	window             float64
}

// stand is how a node stands: by Little's law a queue waits its length over the window, in answers' times.
func (l *line) stand(cold bool, window, queue float64) {
	l.cold, l.window, l.wait = cold, window, queue/max(window, 1)
}

// mean is the time of a step of so many units, without its wait.
func (l *line) mean(units float64) float64 {
	return max(l.level+l.slope*(units-l.base), leastMillis)
}

// cell is one node's own figure in one coordinate of the line: its mean, and the weight it carries.
type cell struct {
	typ     int
	w, mean float64
}

// pooled is what one coordinate is shrunk by: Bühlmann and Straub's weights in Jewell's two levels.
type pooled struct {
	within  float64 // s2: variance of one answer
	between float64 // a: of nodes in a type
	types   float64 // tau: of types
	fleet   float64
	typ     []group
}

type group struct{ mean, z, sum float64 }

// pool estimates the structure from the cells. least is the part of the mean by which nodes and types
// differ at least, loose the part where there are too few to tell.
func pool(cells []cell, types int, within, least, loose float64) pooled {
	p := pooled{within: within, typ: make([]group, types)}
	w := make([]float64, types) // weights and means by type, before any shrinkage
	m := make([]float64, types)
	n := make([]int, types)
	sq := make([]float64, types)
	var all, sum float64
	for _, c := range cells {
		w[c.typ] += c.w
		m[c.typ] += c.w * c.mean
		sq[c.typ] += c.w * c.w
		n[c.typ]++
		all, sum = all+c.w, sum+c.w*c.mean
	}
	if all > 0 {
		sum /= all
	}
	var num, den float64
	for _, c := range cells {
		if n[c.typ] > 1 && w[c.typ] > 0 {
			d := c.mean - m[c.typ]/w[c.typ]
			num += c.w * d * d
		}
	}
	for t := range types {
		if n[t] > 1 && w[t] > 0 {
			num -= float64(n[t]-1) * within
			den += w[t] - sq[t]/w[t]
		}
	}
	p.between = variance(num, den, sum, least, loose)
	var q, qq, mean float64
	seen := 0
	for _, c := range cells {
		z := weight(c.w, within, p.between)
		p.typ[c.typ].sum += z
		p.typ[c.typ].mean += z * c.mean
	}
	for t := range p.typ {
		if g := &p.typ[t]; g.sum > 0 {
			g.mean /= g.sum
			q, qq, mean = q+g.sum, qq+g.sum*g.sum, mean+g.sum*g.mean
			seen++
		}
	}
	if q > 0 {
		mean /= q
	}
	num, den = 0, 0
	if seen > 1 {
		for _, g := range p.typ {
			num += g.sum * (g.mean - mean) * (g.mean - mean)
		}
		num -= float64(seen-1) * p.between
		den = q - qq/q
	}
	p.types = variance(num, den, mean, least, loose)
	q = 0
	for t := range p.typ {
		g := &p.typ[t]
		g.z = weight(g.sum, p.between, p.types)
		q += g.z
		p.fleet += g.z * g.mean
	}
	if q > 0 {
		p.fleet /= q
	}
	return p
}

func variance(num, den, mean, least, loose float64) float64 {
	floor := max(least*math.Abs(mean), leastMillis)
	if den <= 0 {
		return max(loose*loose*mean*mean, floor*floor)
	}
	return max(num/den, floor*floor)
}

// weight is the credibility of so much evidence: w / (w + k), with k = within / between.
func weight(w, within, between float64) float64 {
	if w <= 0 {
		return 0
	}
	return w * between / (w*between + within)
}

// at is the credibility estimate of one node, the share its own answers have in it, and its variance.
func (p *pooled) at(c cell) (est, z, err float64) {
	g := p.typ[c.typ]
	z = weight(c.w, p.within, p.between)
	prior := g.z*g.mean + (1-g.z)*p.fleet
	est = z*c.mean + (1-z)*prior
	return est, z, p.between*(1-z) + (1-z)*(1-z)*p.types*(1-g.z)
}

// own is a view with its sums about their means.
type own struct {
	v             *nodestats.View
	typ           int
	n, x, y       float64
	sxx, sxy, syy float64
}

func centred(v *nodestats.View, typ int) own {
	s := v.Sums
	o := own{v: v, typ: typ, n: s.N}
	if s.N <= 0 {
		return o
	}
	o.x, o.y = s.X/s.N, s.Y/s.N
	o.sxx, o.sxy, o.syy = max(s.XX-s.X*o.x, 0), s.XY-s.X*o.y, max(s.YY-s.Y*o.y, 0)
	if o.sxx < leastScatter*max(s.XX, 1) {
		o.sxx, o.sxy = 0, 0
	}
	if most := math.Sqrt(o.sxx * o.syy); math.Abs(o.sxy) > most {
		o.sxy = math.Copysign(most, o.sxy)
	}
	return o
}

// fit is one class: a line for each of the views, and one (the last) for each type without any.
func fit(set Settings, views []own, types int) (lines []line, bare []line) {
	var n, x, rest, dof float64
	cells := make([]cell, 0, len(views))
	for _, o := range views {
		n, x = n+o.n, x+o.n*o.x
		if o.sxx > 0 && o.n > 2 {
			rest += max(o.syy-o.sxy*o.sxy/o.sxx, 0)
			dof += o.n - 2
			cells = append(cells, cell{o.typ, o.sxx, o.sxy / o.sxx})
		}
	}
	base, prior := 0.0, set.Prior
	if n > 0 {
		base = x / n
	}
	slopes := pool(cells, types, ratio(rest, dof), prior.Least, prior.Spread)
	if len(cells) == 0 {
		slopes = supposed(prior.PerUnit, types, prior)
	}
	slope := func(o own) (float64, float64) {
		c := cell{typ: o.typ}
		if o.sxx > 0 && o.n > 2 {
			c.w, c.mean = o.sxx, o.sxy/o.sxx
		}
		b, _, e := slopes.at(c)
		return b, e
	}
	rest, dof, cells = 0, 0, cells[:0]
	for _, o := range views {
		if o.n <= 0 {
			continue
		}
		b, _ := slope(o)
		if o.n > 1 {
			rest += max(o.syy-2*b*o.sxy+b*b*o.sxx, 0)
			dof += o.n - 1
		}
		cells = append(cells, cell{o.typ, o.n, o.y + b*(base-o.x)})
	}
	within := ratio(rest, dof)
	if dof <= 0 && n > 0 {
		y := 0.0
		for _, o := range views {
			y += o.n * o.y / n
		}
		within = prior.Spread * prior.Spread * y * y
	}
	heights := pool(cells, types, within, prior.Least, prior.Spread)
	if len(cells) == 0 {
		heights = supposed(prior.Millis+prior.PerUnit*base, types, prior)
	}
	spreads := spreadsOf(set, views, types, slope)
	served := servedOf(set, views, types)
	top := FromFleet
	if len(cells) == 0 {
		top = FromSettings
	}
	draw := func(o own) line {
		l := line{base: base, typ: o.typ, from: top, spread: spreads(o), served: served(o), answers: o.n}
		c := cell{typ: o.typ}
		b, be := slope(o)
		if o.n > 0 {
			c.w, c.mean = o.n, o.y+b*(base-o.x)
		}
		l.level, l.z, l.levelVar = heights.at(c)
		l.level = max(l.level, leastMillis)
		l.slope, l.slopeVar = max(b, 0), be
		if base > 0 {
			l.slope = min(l.slope, l.level/base)
		}
		switch g := heights.typ[o.typ]; {
		case top == FromSettings:
		case l.z >= 0.5:
			l.from = FromNode
		case g.z >= 0.5:
			l.from = FromType
		}
		if v := o.v; v != nil {
			l.origins, l.age = v.Origins, v.Age
			l.stand(v.WarmingUp, v.Window, v.Queue)
		}
		return l
	}
	for _, o := range views {
		lines = append(lines, draw(o))
	}
	for t := range types {
		bare = append(bare, draw(own{typ: t}))
	}
	return lines, bare
}

func ratio(a, b float64) float64 {
	if b <= 0 {
		return 0
	}
	return a / b
}

// supposed is the structure before any answer.
func supposed(mean float64, types int, p Prior) pooled {
	v := max(p.Spread*mean, leastMillis)
	return pooled{between: v * v, types: v * v, fleet: mean, typ: make([]group, types)}
}

// spreadsOf gives the spread over mean of one answer: squares pooled by degrees of freedom.
func spreadsOf(set Settings, views []own, types int, slope func(own) (float64, float64)) func(own) float64 {
	square := func(o own) (float64, float64) {
		b, _ := slope(o)
		at := o.y*o.y + b*b*ratio(o.sxx, o.n)
		if o.n <= 1 || at <= 0 {
			return 0, 0
		}
		return max(o.syy-2*b*o.sxy+b*b*o.sxx, 0) / (o.n - 1) / at, o.n - 1
	}
	sum, dof := make([]float64, types), make([]float64, types)
	var all, n float64
	for _, o := range views {
		s, d := square(o)
		sum[o.typ] += s * d
		dof[o.typ] += d
		all, n = all+s*d, n+d
	}
	towards := func(own, d, prior float64) float64 { return (own*d + prior*spreadWeight) / (d + spreadWeight) }
	fleet := towards(ratio(all, n), n, set.Prior.Spread*set.Prior.Spread)
	return func(o own) float64 {
		s, d := square(o)
		typ := towards(ratio(sum[o.typ], dof[o.typ]), dof[o.typ], fleet)
		return min(math.Sqrt(towards(s, d, typ)), spreadMost)
	}
}

// servedOf gives the chance that a step is served: refusals pooled by counts.
func servedOf(set Settings, views []own, types int) func(own) float64 {
	count := func(o own) (float64, float64) {
		if o.v == nil {
			return 0, 0
		}
		bad := o.v.Rejected + o.v.Failed + o.v.TimedOut // none of them is in the sums
		return bad, bad + o.n
	}
	bad, all := make([]float64, types), make([]float64, types)
	var fleetBad, fleetAll float64
	for _, o := range views {
		b, n := count(o)
		bad[o.typ] += b
		all[o.typ] += n
		fleetBad, fleetAll = fleetBad+b, fleetAll+n
	}
	towards := func(b, n, prior float64) float64 { return (b + badWeight*prior) / (n + badWeight) }
	fleet := towards(fleetBad, fleetAll, set.Prior.Refused)
	return func(o own) float64 {
		b, n := count(o)
		return 1 - min(max(towards(b, n, towards(bad[o.typ], all[o.typ], fleet)), 0), 1)
	}
}

// sound says whether a view can be.
func sound(v *nodestats.View) bool {
	s := v.Sums
	for _, f := range [...]float64{s.N, s.X, s.Y, s.XX, s.XY, s.YY, v.Rejected, v.Failed, v.TimedOut, v.Window, v.Queue} {
		if !finite(f) || f < 0 {
			return false
		}
	}
	if s.N > 0 && (s.N < leastAnswers || s.X > meanMost*s.N || s.Y > meanMost*s.N) {
		return false
	}
	return v.Node != "" && v.Origins >= 0 && v.Age >= 0 && v.Shard >= 0
}

// before orders views by key, and views of one key by all they hold, so that the order they come
// in decides nothing: only the last start of a node counts, and of two views of one key the later in this order.
func before(a, b nodestats.View) int {
	s, t := a.Sums, b.Sums
	return cmp.Or(strings.Compare(a.Class, b.Class), strings.Compare(a.Node, b.Node), cmp.Compare(a.StartTime, b.StartTime),
		cmp.Compare(s.N, t.N), cmp.Compare(s.X, t.X), cmp.Compare(s.Y, t.Y), cmp.Compare(s.XX, t.XX), cmp.Compare(s.XY, t.XY),
		cmp.Compare(s.YY, t.YY), cmp.Compare(a.Rejected, b.Rejected), cmp.Compare(a.Failed, b.Failed), cmp.Compare(a.TimedOut, b.TimedOut), cmp.Compare(a.Window, b.Window),
		cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Origins, b.Origins), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Shard, b.Shard),
		strings.Compare(a.Type, b.Type))
}

// latest keeps, of sound and sorted views, the last of each class and node.
func latest(views []nodestats.View, most int) (kept []nodestats.View, dropped int) {
	for i := range views {
		if sound(&views[i]) {
			kept = append(kept, views[i])
		}
	}
	slices.SortStableFunc(kept, before)
	start := map[string]int64{}
	for _, v := range kept {
		if at, known := start[v.Node]; !known || v.StartTime > at {
			start[v.Node] = v.StartTime
		}
	}
	n := 0
	for i := range kept {
		if kept[i].StartTime < start[kept[i].Node] {
			continue
		}
		if i+1 < len(kept) && kept[i].Class == kept[i+1].Class && kept[i].Node == kept[i+1].Node {
			continue
		}
		kept[n] = kept[i]
		n++
	}
	return kept[:min(n, most)], len(views) - min(n, most)
}
