package cost

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"wheatsaddle/internal/nodestats"
)

// Estimator holds the lines of the last views.
type Estimator struct {
	set     Settings
	classes map[string]int
	types   []string
	nodes   map[string]int
	place   []place
	shards  []map[int][]int // by class: a shard's nodes, of the widest windows first
	lines   [][]line        // by class and node
	bare    [][]line        // by class and type: what a node without answers has
	views   int
	dropped int

	// Between, if set, is called between plans: whoever estimates beside urgent work gives way there, and
	// ends what takes too long by false.
	Between func() bool

	take  func(views []nodestats.View, most int) ([]nodestats.View, int) // latest; a test breaks these two
	apart func(a, b *Answer) float64

	stack  []dist
	work   []float64 // of the plan under way, by type
	sum    tally
	unsure float64 // of the work
}

// place is what is known of a node in any class.
type place struct {
	shard, typ    int
	cold          bool
	window, queue float64
}

// tally is what a plan adds up beside its end.
type tally struct {
	steps               int
	units, cold         float64
	basis               Basis
	trusted, trustedAll float64
}

// New makes an estimator that knows nothing yet.
func New(set Settings) (*Estimator, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	e := &Estimator{set: set, take: latest, apart: apart, classes: map[string]int{}, stack: make([]dist, 0, StepsMost+DepthMost)}
	for i, c := range set.Classes {
		e.classes[c] = i
	}
	e.Learn(nil)
	return e, nil
}

// Learn takes a snapshot of the views, whole; what it held before is gone.
func (e *Estimator) Learn(views []nodestats.View) {
	kept, dropped := e.take(views, e.set.Views)
	e.views, e.dropped = len(kept), dropped
	names, kinds := map[string]int{}, map[string]int{"": 0}
	for i := range kept {
		names[kept[i].Node], kinds[kept[i].Type] = 0, 0
	}
	e.types = slices.Sorted(maps.Keys(kinds))
	for i, t := range e.types {
		kinds[t] = i
	}
	order := slices.Sorted(maps.Keys(names))
	e.nodes, e.place = names, make([]place, len(order))
	for i, n := range order {
		names[n] = i
	}
	for i := range kept { // in order of class and node: the last to name a type and shard counts
		v := &kept[i]
		if p := &e.place[names[v.Node]]; v.Type != "" || p.typ == 0 {
			*p = place{v.Shard, kinds[v.Type], v.WarmingUp, v.Window, v.Queue}
		}
	}
	e.work = make([]float64, len(e.types))
	n := len(e.set.Classes)
	e.lines, e.bare, e.shards = make([][]line, n), make([][]line, n), make([]map[int][]int, n)
	for c := range e.set.Classes {
		var mine []own
		for i := range kept {
			if k, ok := e.classes[kept[i].Class]; ok && k == c {
				mine = append(mine, centred(&kept[i], e.place[names[kept[i].Node]].typ))
			}
		}
		lines, bare := fit(e.set, mine, len(e.types))
		e.bare[c], e.lines[c] = bare, make([]line, len(order))
		for i, p := range e.place {
			e.lines[c][i] = bare[p.typ]
			e.lines[c][i].stand(p.cold, p.window, p.queue)
		}
		for i, o := range mine {
			e.lines[c][names[o.v.Node]] = lines[i]
		}
		e.shards[c] = e.widest(e.lines[c])
	}
}

// widest gives the nodes of each shard by their windows, then by name, and no more than SpreadMost.
func (e *Estimator) widest(lines []line) map[int][]int {
	shards := map[int][]int{}
	for i, p := range e.place {
		shards[p.shard] = append(shards[p.shard], i)
	}
	for s, nodes := range shards {
		slices.SortStableFunc(nodes, func(a, b int) int { return cmp.Compare(lines[b].window, lines[a].window) })
		shards[s] = nodes[:min(len(nodes), SpreadMost)]
	}
	return shards
}

// Estimate orders the plans by what they would cost; deadline 0: none.
func (e *Estimator) Estimate(plans []Plan, deadline time.Duration) (Ranking, error) {
	r := Ranking{DeadlineMs: millis(deadline), Views: e.views, Dropped: e.dropped, Plans: make([]Answer, 0, len(plans))}
	switch {
	case len(plans) == 0:
		return r, &BadPlans{Why: "no plans"}
	case len(plans) > PlansMost:
		return r, &TooMuch{What: "plans", Most: PlansMost}
	case deadline < 0 || r.DeadlineMs > figureMost:
		return r, &BadFigure{Key: "deadline_ms", Value: r.DeadlineMs, Want: "0 or more"}
	}
	for i := range plans {
		if i > 0 && e.Between != nil && !e.Between() {
			return r, &OutOfTime{i, len(plans)}
		}
		a, err := e.plan(&plans[i], i, r.DeadlineMs)
		if err != nil {
			return r, err
		}
		r.Plans = append(r.Plans, a)
	}
	slices.SortStableFunc(r.Plans, func(a, b Answer) int { return cmp.Compare(a.Cost, b.Cost) })
	for i := range r.Plans {
		for j := range r.Plans {
			if i != j && e.apart(&r.Plans[i], &r.Plans[j]) <= e.set.Doubt {
				r.Plans[i].Alike = append(r.Plans[i].Alike, j)
			}
		}
	}
	return r, nil
}

// apart is how many standard errors lie between two plans.
func apart(a, b *Answer) float64 {
	d := math.Abs(a.Cost - b.Cost)
	if d == 0 {
		return 0
	}
	return d / max(math.Hypot(a.Doubt, b.Doubt), 1e-12*d)
}

// trail is the way from a plan's root to a step, for errors alone.
type trail struct {
	up   *trail
	name string
	at   int
}

func (t *trail) String() string {
	switch {
	case t.up == nil:
		return t.name
	case t.at < 0:
		return t.up.String() + "." + t.name
	}
	return fmt.Sprintf("%s.%s.%d", t.up, t.name, t.at)
}

func (e *Estimator) plan(p *Plan, index int, deadline float64) (Answer, error) {
	root := &trail{name: fmt.Sprintf("plans.%d.root", index)}
	clear(e.work)
	e.stack, e.sum, e.unsure = e.stack[:0], tally{basis: Basis{Origins: math.MaxInt, Answers: math.Inf(1)}}, 0
	var d dist
	if err := e.step(&p.Root, root, 1, &d); err != nil {
		return Answer{}, err
	}
	held := 0.0
	if p.Limit != "" {
		limit, ok := e.set.Limits[p.Limit]
		if !ok {
			return Answer{}, &UnknownName{fmt.Sprintf("plans.%d", index), "limit", p.Limit}
		}
		left := limit.Burst
		if p.Left >= 0 {
			left = p.Left
		}
		if !(left <= unitsMost) {
			return Answer{}, &BadFigure{fmt.Sprintf("plans.%d", index), "left", left, "a number of units"}
		}
		held = max(0, (e.sum.units-left)/limit.PerSecond*1000)
	}
	d.draw()
	for j := range d.q {
		d.q[j] += held
	}
	a := Answer{Name: p.Name, Mean: d.mean + held, Served: d.served, Units: e.sum.units, Held: held, Cold: e.sum.cold,
		Low: d.quantile(logit05), P50: d.quantile(0), P90: d.quantile(logit90), High: d.quantile(-logit05), P99: d.quantile(logit99),
		Basis: e.sum.basis, Work: []TypeWork{}, Alike: []int{}}
	a.Chance = d.served
	if deadline > 0 {
		a.Chance *= d.ended(deadline)
	}
	work := 0.0
	for t, w := range e.work {
		if w > 0 {
			a.Work = append(a.Work, TypeWork{e.types[t], w})
			work += w
		}
	}
	if e.sum.trustedAll > 0 {
		a.Basis.Trust = e.sum.trusted / e.sum.trustedAll
	}
	price := e.set.Prices
	late := deadline
	if deadline == 0 {
		late = a.Mean // what it takes to do it again
	}
	a.Cost = price.Work*work + price.End*a.Mean + price.Late*(1-a.Chance)*late
	a.Doubt = price.Work*e.unsure + price.End*d.err
	return a, nil
}

var (
	logit05 = math.Log(0.05 / 0.95)
	logit90 = math.Log(9)
	logit99 = math.Log(99)
)

func (e *Estimator) step(s *Step, way *trail, depth int, d *dist) error {
	e.sum.steps++
	switch {
	case e.sum.steps > StepsMost:
		return &TooMuch{way.String(), "steps in a plan", StepsMost}
	case depth > DepthMost:
		return &TooMuch{way.String(), "steps one inside the other", DepthMost}
	}
	set := 0
	for _, is := range [...]bool{s.Work != nil, s.Then != nil, s.All != nil, s.Any != nil, s.Of != nil} {
		if is {
			set++
		}
	}
	if set != 1 {
		return &BadPlans{way.String(), "want one of work, then, all, any, of"}
	}
	switch {
	case s.Work != nil:
		return e.leaf(s.Work, way, d)
	case s.Then != nil:
		return e.chain(s.Then, way, depth, d)
	case s.Of != nil:
		n, k := len(s.Of.Steps), s.Of.K
		if n > QuorumMost {
			return &TooMuch{way.String(), "steps of one of", QuorumMost}
		}
		if k < 1 || k > n {
			return &BadFigure{way.String(), "of.k", float64(k), fmt.Sprintf("1 to %d, the number of its steps", n)}
		}
		return e.together(s.Of.Steps, "of", k, way, depth, d)
	case s.All != nil:
		return e.together(s.All, "all", len(s.All), way, depth, d)
	}
	return e.together(s.Any, "any", 1, way, depth, d)
}

// push is a place on the stack, which never grows past what it was made with: each step of a plan has one at most.
func (e *Estimator) push() *dist {
	e.stack = e.stack[:len(e.stack)+1]
	return &e.stack[len(e.stack)-1]
}

func (e *Estimator) chain(steps []Step, way *trail, depth int, d *dist) error {
	if len(steps) == 0 {
		return &BadPlans{way.String(), "then: no steps"}
	}
	from := len(e.stack)
	next, o, sum := trail{up: way, name: "then"}, e.push(), zero()
	for i := range steps {
		next.at = i
		if err := e.step(&steps[i], &next, depth+1, o); err != nil {
			return err
		}
		sum.add(o)
	}
	*d = sum
	e.stack = e.stack[:from]
	return nil
}

// together is what begins at once and ends with the k-th.
func (e *Estimator) together(steps []Step, name string, k int, way *trail, depth int, d *dist) error {
	if len(steps) == 0 {
		return &BadPlans{way.String(), name + ": no steps"}
	}
	from := len(e.stack)
	next := trail{up: way, name: name}
	for i := range steps {
		next.at = i
		if e.sum.steps >= StepsMost { // beyond the stack
			return &TooMuch{next.String(), "steps in a plan", StepsMost}
		}
		if err := e.step(&steps[i], &next, depth+1, e.push()); err != nil {
			return err
		}
	}
	*d = kth(e.stack[from:], k)
	e.stack = e.stack[:from]
	return nil
}

// leaf is one read or write: at its node, or shared out over those of its shard.
func (e *Estimator) leaf(w *Work, way *trail, d *dist) error {
	class, ok := e.classes[w.Class]
	if !ok {
		return &UnknownName{way.String() + ".work", "class", w.Class}
	}
	if !(w.Units > 0 && w.Units <= unitsMost) {
		return &BadFigure{way.String() + ".work", "units", w.Units, "above 0 and at most 1e9"}
	}
	e.sum.units += w.Units
	lines := e.lines[class]
	if w.Node != "" {
		if at, ok := e.nodes[w.Node]; ok && e.place[at].shard == w.Shard {
			e.visit(&lines[at], w.Units, 1, d)
			return nil
		}
	}
	nodes, known := e.shards[class][w.Shard]
	switch {
	case e.set.Shards > 0 && (w.Shard < 0 || w.Shard >= e.set.Shards), e.set.Shards == 0 && !known:
		return &UnknownName{way.String() + ".work", "shard", fmt.Sprint(w.Shard)}
	case w.Node != "":
		return &UnknownName{way.String() + ".work", fmt.Sprintf("node of shard %d that is called", w.Shard), w.Node}
	case len(nodes) == 0:
		e.visit(&e.bare[class][0], w.Units, 1, d)
		return nil
	case len(nodes) == 1:
		e.visit(&lines[nodes[0]], w.Units, 1, d)
		return nil
	}
	total := 0.0
	for _, n := range nodes {
		total += max(lines[n].window, leastMillis)
	}
	var square, cube float64 // raw moments of the mixture
	var out, one dist
	for _, n := range nodes {
		part := max(lines[n].window, leastMillis) / total
		e.visit(&lines[n], w.Units, part, &one)
		out.mean += part * one.mean
		square += part * (one.variance + one.mean*one.mean)
		cube += part * (one.third + 3*one.variance*one.mean + one.mean*one.mean*one.mean)
		out.err += part * one.err
		out.served += part * one.served
	}
	d.drawn = false
	d.mean, d.err, d.served = out.mean, out.err, min(out.served, 1)
	d.variance = max(square-d.mean*d.mean, 0)
	d.third = max(cube-3*d.mean*d.variance-d.mean*d.mean*d.mean, 0)
	return nil
}

// visit is a step at one node, of which the plan makes a part.
func (e *Estimator) visit(l *line, units, part float64, d *dist) {
	m := l.mean(units)
	far := units - l.base
	err := math.Sqrt(l.levelVar + l.slopeVar*far*far)
	sd := l.spread * m
	d.drawn = false
	d.mean, d.variance, d.third, d.err, d.served = m, sd*sd, lognormalThird(m, l.spread), err, l.served
	if l.wait > 0 {
		waits := l.wait * l.level
		s := l.spread * l.level
		d.mean += waits
		d.variance += l.wait * s * s
		d.err += l.wait * math.Sqrt(l.levelVar)
	}
	b := &e.sum.basis
	if part > 0.1/SpreadMost {
		b.Level, b.Origins, b.Answers = max(b.Level, l.from), min(b.Origins, l.origins), min(b.Answers, l.answers)
		b.AgeMs = max(b.AgeMs, millis(l.age))
	}
	e.sum.trusted += part * d.mean * l.z
	e.sum.trustedAll += part * d.mean
	e.work[l.typ] += part * m
	e.unsure += part * err
	if l.cold {
		e.sum.cold += part * units
	}
}

// Node is the estimate of one node: the mean of a step of so many units, wait included.
func (e *Estimator) Node(node, class string, units float64) (mean float64, ok bool) {
	at, ok := e.nodes[node]
	c, known := e.classes[class]
	if !ok || !known {
		return 0, false
	}
	l := &e.lines[c][at]
	return l.mean(units) + l.wait*l.level, true
}
