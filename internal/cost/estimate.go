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

// Estimator estimates plans with models that are fitted to the latest views.
type Estimator struct {
	settings     Settings
	classIndex   map[string]int
	typeNames    []string
	nodeIndex    map[string]int
	nodeInfos    []nodeInfo
	shardNodes   []map[int][]int // by class: a shard's nodes, those with the largest windows first
	models       [][]nodeModel   // by class and node
	typeModels   [][]nodeModel   // by class and type: of nodes without answers
	viewCount    int
	droppedViews int

	// ShouldContinue, if set, is called between two plans, so that the caller can yield the processor to more urgent
	// work. If it returns false, Estimate fails with a TimeoutError.
	ShouldContinue func() bool

	selectViews func(views []nodestats.View, maxViews int) ([]nodestats.View, int) // latestViews; replaced only by tests
	separation  func(a, b *Answer) float64                                         // standardErrorsBetween; replaced only by tests

	stack      []distribution
	workByType []float64 // milliseconds at nodes of each type, in the current plan
	totals     planTotals
	workError  float64 // standard error of the current plan's work
}

// nodeInfo holds the properties of a node that do not depend on the class.
type nodeInfo struct {
	shard, typ    int
	warmingUp     bool
	window, queue float64
}

// planTotals are sums over the steps of the current plan.
type planTotals struct {
	steps                      int
	units, warmingUpUnits      float64
	basis                      Basis
	trustedMillis, totalMillis float64
}

// New returns an estimator without views.
func New(settings Settings) (*Estimator, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	e := &Estimator{settings: settings, selectViews: latestViews, separation: standardErrorsBetween, classIndex: map[string]int{}, stack: make([]distribution, 0, MaxSteps+MaxDepth)}
	for i, c := range settings.Classes {
		e.classIndex[c] = i
	}
	e.SetViews(nil)
	return e, nil
}

// SetViews fits the models to a complete set of views, which replaces the previous one.
func (e *Estimator) SetViews(views []nodestats.View) {
	selected, dropped := e.selectViews(views, e.settings.MaxViews)
	e.viewCount, e.droppedViews = len(selected), dropped
	nodeIndex, typeIndex := map[string]int{}, map[string]int{"": 0}
	for i := range selected {
		nodeIndex[selected[i].Node], typeIndex[selected[i].Type] = 0, 0
	}
	e.typeNames = slices.Sorted(maps.Keys(typeIndex))
	for i, t := range e.typeNames {
		typeIndex[t] = i
	}
	nodeNames := slices.Sorted(maps.Keys(nodeIndex))
	e.nodeIndex, e.nodeInfos = nodeIndex, make([]nodeInfo, len(nodeNames))
	for i, n := range nodeNames {
		nodeIndex[n] = i
	}
	for i := range selected { // in order of class and node: the last view that has a type wins
		v := &selected[i]
		if p := &e.nodeInfos[nodeIndex[v.Node]]; v.Type != "" || p.typ == 0 {
			*p = nodeInfo{v.Shard, typeIndex[v.Type], v.WarmingUp, v.Window, v.Queue}
		}
	}
	e.workByType = make([]float64, len(e.typeNames))
	n := len(e.settings.Classes)
	e.models, e.typeModels, e.shardNodes = make([][]nodeModel, n), make([][]nodeModel, n), make([]map[int][]int, n)
	for c := range e.settings.Classes {
		var samples []nodeSample
		for i := range selected {
			if k, ok := e.classIndex[selected[i].Class]; ok && k == c {
				samples = append(samples, newNodeSample(&selected[i], e.nodeInfos[nodeIndex[selected[i].Node]].typ))
			}
		}
		models, typeModels := fitModels(e.settings, samples, len(e.typeNames))
		e.typeModels[c], e.models[c] = typeModels, make([]nodeModel, len(nodeNames))
		for i, p := range e.nodeInfos {
			e.models[c][i] = typeModels[p.typ]
			e.models[c][i].setLoad(p.warmingUp, p.window, p.queue)
		}
		for i, sample := range samples {
			e.models[c][nodeIndex[sample.view.Node]] = models[i]
		}
		e.shardNodes[c] = e.widestNodes(e.models[c])
	}
}

// widestNodes returns the nodes of each shard, ordered by window, then by name, and at most MaxNodesPerShard of them.
func (e *Estimator) widestNodes(models []nodeModel) map[int][]int {
	shards := map[int][]int{}
	for i, p := range e.nodeInfos {
		shards[p.shard] = append(shards[p.shard], i)
	}
	for s, nodes := range shards {
		slices.SortStableFunc(nodes, func(a, b int) int { return cmp.Compare(models[b].window, models[a].window) })
		shards[s] = nodes[:min(len(nodes), MaxNodesPerShard)]
	}
	return shards
}

// Estimate returns the estimates of the plans in order of their cost. A deadline of 0 means none.
func (e *Estimator) Estimate(plans []Plan, deadline time.Duration) (Ranking, error) {
	ranking := Ranking{DeadlineMs: toMilliseconds(deadline), Views: e.viewCount, Dropped: e.droppedViews, Plans: make([]Answer, 0, len(plans))}
	switch {
	case len(plans) == 0:
		return ranking, &MalformedPlansError{Problem: "no plans"}
	case len(plans) > MaxPlans:
		return ranking, &LimitError{What: "plans", Max: MaxPlans}
	case deadline < 0 || ranking.DeadlineMs > maxValue:
		return ranking, &ValueError{Key: "deadline_ms", Value: ranking.DeadlineMs, Expected: "0 or more"}
	}
	for i := range plans {
		if i > 0 && e.ShouldContinue != nil && !e.ShouldContinue() {
			return ranking, &TimeoutError{i, len(plans)}
		}
		a, err := e.estimatePlan(&plans[i], i, ranking.DeadlineMs)
		if err != nil {
			return ranking, err
		}
		ranking.Plans = append(ranking.Plans, a)
	}
	slices.SortStableFunc(ranking.Plans, func(a, b Answer) int { return cmp.Compare(a.Cost, b.Cost) })
	for i := range ranking.Plans {
		for j := range ranking.Plans {
			if i != j && e.separation(&ranking.Plans[i], &ranking.Plans[j]) <= e.settings.MinStandardErrors {
				ranking.Plans[i].Alike = append(ranking.Plans[i].Alike, j)
			}
		}
	}
	return ranking, nil
}

// standardErrorsBetween returns the difference in cost of two plans, in standard errors of that difference.
func standardErrorsBetween(a, b *Answer) float64 {
	d := math.Abs(a.Cost - b.Cost)
	if d == 0 {
		return 0
	}
	return d / max(math.Hypot(a.Doubt, b.Doubt), 1e-12*d)
}

// stepPath is the path from a plan's root to a step, for error messages. It is formatted only when an error occurs.
type stepPath struct {
	parent *stepPath
	name   string
	index  int
}

func (p *stepPath) String() string {
	switch {
	case p.parent == nil:
		return p.name
	case p.index < 0:
		return p.parent.String() + "." + p.name
	}
	return fmt.Sprintf("%s.%s.%d", p.parent, p.name, p.index)
}

func (e *Estimator) estimatePlan(p *Plan, index int, deadline float64) (Answer, error) {
	root := &stepPath{name: fmt.Sprintf("plans.%d.root", index)}
	clear(e.workByType)
	e.stack, e.totals, e.workError = e.stack[:0], planTotals{basis: Basis{Origins: math.MaxInt, Answers: math.Inf(1)}}, 0
	var end distribution
	if err := e.estimateStep(&p.Root, root, 1, &end); err != nil {
		return Answer{}, err
	}
	limitDelay := 0.0
	if p.Limit != "" {
		limit, ok := e.settings.Limits[p.Limit]
		if !ok {
			return Answer{}, &UnknownNameError{fmt.Sprintf("plans.%d", index), "limit", p.Limit}
		}
		available := limit.Burst
		if p.Left >= 0 {
			available = p.Left
		}
		if !(available <= maxUnits) {
			return Answer{}, &ValueError{fmt.Sprintf("plans.%d", index), "left", available, "a number of units"}
		}
		limitDelay = max(0, (e.totals.units-available)/limit.PerSecond*1000)
	}
	end.computeQuantiles()
	for j := range end.quantiles {
		end.quantiles[j] += limitDelay
	}
	answer := Answer{Name: p.Name, Mean: end.mean + limitDelay, Served: end.served, Units: e.totals.units, Held: limitDelay, Cold: e.totals.warmingUpUnits,
		Low: end.quantileAt(logit05), P50: end.quantileAt(0), P90: end.quantileAt(logit90), High: end.quantileAt(-logit05), P99: end.quantileAt(logit99),
		Basis: e.totals.basis, Work: []TypeWork{}, Alike: []int{}}
	answer.Chance = end.served
	if deadline > 0 {
		answer.Chance *= end.cdf(deadline)
	}
	work := 0.0
	for t, w := range e.workByType {
		if w > 0 {
			answer.Work = append(answer.Work, TypeWork{e.typeNames[t], w})
			work += w
		}
	}
	if e.totals.totalMillis > 0 {
		answer.Basis.Trust = e.totals.trustedMillis / e.totals.totalMillis
	}
	prices := e.settings.Prices
	failureMillis := deadline
	if deadline == 0 {
		failureMillis = answer.Mean // a failed plan has to be executed again
	}
	answer.Cost = prices.Work*work + prices.End*answer.Mean + prices.Late*(1-answer.Chance)*failureMillis
	answer.Doubt = prices.Work*e.workError + prices.End*end.standardErr
	return answer, nil
}

var (
	logit05 = math.Log(0.05 / 0.95)
	logit90 = math.Log(9)
	logit99 = math.Log(99)
)

func (e *Estimator) estimateStep(s *Step, path *stepPath, depth int, end *distribution) error {
	e.totals.steps++
	switch {
	case e.totals.steps > MaxSteps:
		return &LimitError{path.String(), "steps in a plan", MaxSteps}
	case depth > MaxDepth:
		return &LimitError{path.String(), "steps one inside the other", MaxDepth}
	}
	kinds := 0
	for _, isSet := range [...]bool{s.Work != nil, s.Then != nil, s.All != nil, s.Any != nil, s.Of != nil} {
		if isSet {
			kinds++
		}
	}
	if kinds != 1 {
		return &MalformedPlansError{path.String(), "want one of work, then, all, any, of"}
	}
	switch {
	case s.Work != nil:
		return e.estimateWork(s.Work, path, end)
	case s.Then != nil:
		return e.estimateChain(s.Then, path, depth, end)
	case s.Of != nil:
		n, k := len(s.Of.Steps), s.Of.K
		if n > MaxQuorumSteps {
			return &LimitError{path.String(), "steps of one of", MaxQuorumSteps}
		}
		if k < 1 || k > n {
			return &ValueError{path.String(), "of.k", float64(k), fmt.Sprintf("1 to %d, the number of its steps", n)}
		}
		return e.estimateParallel(s.Of.Steps, "of", k, path, depth, end)
	case s.All != nil:
		return e.estimateParallel(s.All, "all", len(s.All), path, depth, end)
	}
	return e.estimateParallel(s.Any, "any", 1, path, depth, end)
}

// push returns a new element of the stack. The stack never exceeds its initial capacity, because each step of a plan
// has at most one element.
func (e *Estimator) push() *distribution {
	e.stack = e.stack[:len(e.stack)+1]
	return &e.stack[len(e.stack)-1]
}

func (e *Estimator) estimateChain(steps []Step, path *stepPath, depth int, end *distribution) error {
	if len(steps) == 0 {
		return &MalformedPlansError{path.String(), "then: no steps"}
	}
	stackBase := len(e.stack)
	next, stepEnd, sum := stepPath{parent: path, name: "then"}, e.push(), zeroTime()
	for i := range steps {
		next.index = i
		if err := e.estimateStep(&steps[i], &next, depth+1, stepEnd); err != nil {
			return err
		}
		sum.add(stepEnd)
	}
	*end = sum
	e.stack = e.stack[:stackBase]
	return nil
}

// estimateParallel estimates steps that start together, until the k-th of them ends.
func (e *Estimator) estimateParallel(steps []Step, name string, k int, path *stepPath, depth int, end *distribution) error {
	if len(steps) == 0 {
		return &MalformedPlansError{path.String(), name + ": no steps"}
	}
	stackBase := len(e.stack)
	next := stepPath{parent: path, name: name}
	for i := range steps {
		next.index = i
		if e.totals.steps >= MaxSteps { // the stack is full
			return &LimitError{next.String(), "steps in a plan", MaxSteps}
		}
		if err := e.estimateStep(&steps[i], &next, depth+1, e.push()); err != nil {
			return err
		}
	}
	*end = kthFastest(e.stack[stackBase:], k)
	e.stack = e.stack[:stackBase]
	return nil
}

// estimateWork estimates one read or write: at its node, or as a mixture over the nodes of its shard.
func (e *Estimator) estimateWork(w *Work, path *stepPath, end *distribution) error {
	class, ok := e.classIndex[w.Class]
	if !ok {
		return &UnknownNameError{path.String() + ".work", "class", w.Class}
	}
	if !(w.Units > 0 && w.Units <= maxUnits) {
		return &ValueError{path.String() + ".work", "units", w.Units, "above 0 and at most 1e9"}
	}
	e.totals.units += w.Units
	models := e.models[class]
	if w.Node != "" {
		if node, ok := e.nodeIndex[w.Node]; ok && e.nodeInfos[node].shard == w.Shard {
			e.estimateAtNode(&models[node], w.Units, 1, end)
			return nil
		}
	}
	nodes, known := e.shardNodes[class][w.Shard]
	switch {
	case e.settings.Shards > 0 && (w.Shard < 0 || w.Shard >= e.settings.Shards), e.settings.Shards == 0 && !known:
		return &UnknownNameError{path.String() + ".work", "shard", fmt.Sprint(w.Shard)}
	case w.Node != "":
		return &UnknownNameError{path.String() + ".work", fmt.Sprintf("node of shard %d that is called", w.Shard), w.Node}
	case len(nodes) == 0:
		e.estimateAtNode(&e.typeModels[class][0], w.Units, 1, end)
		return nil
	case len(nodes) == 1:
		e.estimateAtNode(&models[nodes[0]], w.Units, 1, end)
		return nil
	}
	totalWindow := 0.0
	for _, n := range nodes {
		totalWindow += max(models[n].window, minMillis)
	}
	var secondMoment, thirdMoment float64 // raw moments of the mixture
	var mixture, nodeEnd distribution
	for _, n := range nodes {
		share := max(models[n].window, minMillis) / totalWindow
		e.estimateAtNode(&models[n], w.Units, share, &nodeEnd)
		mixture.mean += share * nodeEnd.mean
		secondMoment += share * (nodeEnd.variance + nodeEnd.mean*nodeEnd.mean)
		thirdMoment += share * (nodeEnd.thirdCumulant + 3*nodeEnd.variance*nodeEnd.mean + nodeEnd.mean*nodeEnd.mean*nodeEnd.mean)
		mixture.standardErr += share * nodeEnd.standardErr
		mixture.served += share * nodeEnd.served
	}
	end.hasQuantiles = false
	end.mean, end.standardErr, end.served = mixture.mean, mixture.standardErr, min(mixture.served, 1)
	end.variance = max(secondMoment-end.mean*end.mean, 0)
	end.thirdCumulant = max(thirdMoment-3*end.mean*end.variance-end.mean*end.mean*end.mean, 0)
	return nil
}

// estimateAtNode estimates a step at one node. The node contributes to the plan's totals in proportion to share.
func (e *Estimator) estimateAtNode(m *nodeModel, units, share float64, end *distribution) {
	mean := m.meanMillis(units)
	offset := units - m.baseUnits
	standardErr := math.Sqrt(m.baseVariance + m.slopeVariance*offset*offset)
	deviation := m.cv * mean
	end.hasQuantiles = false
	end.mean, end.variance, end.thirdCumulant, end.standardErr, end.served = mean, deviation*deviation, lognormalThirdCumulant(mean, m.cv), standardErr, m.served
	if m.queuePerSlot > 0 {
		waitMillis := m.queuePerSlot * m.baseMillis
		waitDeviation := m.cv * m.baseMillis
		end.mean += waitMillis
		end.variance += m.queuePerSlot * waitDeviation * waitDeviation
		end.standardErr += m.queuePerSlot * math.Sqrt(m.baseVariance)
	}
	basis := &e.totals.basis
	if share > 0.1/MaxNodesPerShard { // a node with a smaller share hardly affects the estimate
		basis.Level, basis.Origins, basis.Answers = max(basis.Level, m.basisLevel), min(basis.Origins, m.origins), min(basis.Answers, m.answers)
		basis.AgeMs = max(basis.AgeMs, toMilliseconds(m.age))
	}
	e.totals.trustedMillis += share * end.mean * m.ownShare
	e.totals.totalMillis += share * end.mean
	e.workByType[m.typ] += share * mean
	e.workError += share * standardErr
	if m.warmingUp {
		e.totals.warmingUpUnits += share * units
	}
}

// MeanMillis returns the mean time of a step of the given units at a node, queueing included. It returns false if the
// node or the class is unknown.
func (e *Estimator) MeanMillis(node, class string, units float64) (mean float64, ok bool) {
	index, ok := e.nodeIndex[node]
	c, known := e.classIndex[class]
	if !ok || !known {
		return 0, false
	}
	model := &e.models[c][index]
	return model.meanMillis(units) + model.queuePerSlot*model.baseMillis, true
}
