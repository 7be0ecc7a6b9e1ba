// Package costs is the experiment on cost estimates, in virtual time: 8 processes, each of which observes some of the
// answers, and 24 nodes of three kinds of hardware, one of which becomes five times slower. At each decision one
// process gets several plans for one piece of work and three estimates of their costs: from the mean of the fleet, from
// its own answers alone, and from the answers that all processes report, pooled from node to type to fleet. Every plan is
// then executed in the same simulated fleet. This shows which plan is cheapest in hindsight, and whether its end lies within
// the estimated interval.
//
// RunReal is the same with daemon processes and simulated nodes, in real time: estimates come from the admin endpoints and
// plans are executed as requests. The time that the machine adds to each request is measured as well.
package costs

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"wheatsaddle/internal/cost"
)

// Options are the options of the experiment in virtual time.
type Options struct {
	Seeds         []uint64
	Duration      time.Duration // length of one seed; the slow node slows down after half of it
	HalfLife      time.Duration // of the weight of an answer in the short-term statistics
	RoundInterval time.Duration // interval of a process's gossip rounds
	SlowFactor    float64       // factor on the service time of the slow node, once it slows down
}

const (
	warmUp                 = 10 * time.Second // before the first decision
	decisionIntervalMillis = 100.0            // between decisions
	settleMillis           = 5000.0           // after the slowing; the order must be right again by then
	deadline               = 150 * time.Millisecond
	executionsPerPlan      = 80 // executions of a plan whose mean is its cost in hindsight
	plansPerDecision       = 4
	slowNode               = 3 * 2 // a node of the fastest kind, because it has to move furthest in the order
	clearRatio             = 1.25  // smallest ratio of true mean service times for which the order of two nodes is checked
)

// The required bounds.
const (
	minCoverage, maxCoverage = 0.85, 0.95
	maxExcess                = 0.05
	maxExcessRatio           = 0.5 // of the excess of the other two estimators
)

// The estimators that are compared.
const (
	pooled = iota
	fleetMean
	ownOnly
	estimatorCount
)

// EstimatorNames are the names of the estimators.
var EstimatorNames = [estimatorCount]string{"pooled", "fleet mean", "own answers only"}

// Row is the result of one seed. The last row of a report is over all seeds.
type Row struct {
	Seed      uint64 `json:"seed"` // 0: all seeds
	Decisions int    `json:"decisions"`
	// Coverage is the share of the executions that ended within the 90% interval.
	Coverage [estimatorCount]float64 `json:"cover"`
	// Excess is the cost of the plans that were ranked first, relative to that of the cheapest in hindsight, minus 1.
	Excess [estimatorCount]float64 `json:"excess"`
	// SlowingExcess is the same within 5 s after the slowing. RunReal makes no decisions in that time.
	SlowingExcess [estimatorCount]float64 `json:"excess_in_5_s,omitzero"`
	// OrderRightAfter is the time after the slowing until all processes rank the slow node correctly and keep doing so.
	OrderRightAfter float64 `json:"right_after_s"`
	// Alike is the share of decisions in which another plan could not be distinguished from the first.
	Alike float64 `json:"alike"`

	covered    [estimatorCount]int        // number of executions that ended within the interval
	outcomes   int                        // number of executions that are compared with the intervals
	bestCost   [2]float64                 // summed cost of the cheapest plans in hindsight: otherwise, and within 5 s after the slowing
	chosenCost [2][estimatorCount]float64 // summed cost of the plans ranked first, likewise
	alikeCount int
}

// Report is the result of the experiment in virtual time.
type Report struct {
	HalfLife float64  `json:"half_life_s"`
	Every    float64  `json:"every_s"`
	Slow     float64  `json:"slow_times"`
	Rows     []Row    `json:"rows"`
	Missed   []string `json:"missed"`
}

// Run runs all seeds, in parallel.
func Run(opt Options) (*Report, error) {
	rep := &Report{HalfLife: opt.HalfLife.Seconds(), Every: opt.RoundInterval.Seconds(), Slow: opt.SlowFactor}
	var sum Row
	rows := make([]Row, len(opt.Seeds))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range opt.Seeds { // each has its own simulation
		group.Go(func() (err error) {
			rows[i], err = runVirtualSeed(seed, opt)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	for _, r := range rows {
		sum.add(&r)
		r.computeShares()
		rep.Rows = append(rep.Rows, r)
	}
	sum.computeShares()
	rep.Rows = append(rep.Rows, sum)
	for i := range rep.Rows {
		for _, m := range rep.Rows[i].missedBounds() {
			rep.Missed = append(rep.Missed, m.text)
		}
	}
	return rep, nil
}

// add adds the sums of another row.
func (r *Row) add(o *Row) {
	for i := range 2 {
		r.bestCost[i] += o.bestCost[i]
		for k := range estimatorCount {
			r.chosenCost[i][k] += o.chosenCost[i][k]
		}
	}
	for k := range estimatorCount {
		r.covered[k] += o.covered[k]
	}
	r.outcomes, r.Decisions, r.alikeCount = r.outcomes+o.outcomes, r.Decisions+o.Decisions, r.alikeCount+o.alikeCount
	r.OrderRightAfter = max(r.OrderRightAfter, o.OrderRightAfter)
}

// computeShares computes the exported figures from the sums.
func (r *Row) computeShares() {
	for k := range estimatorCount {
		r.Coverage[k] = float64(r.covered[k]) / float64(max(r.outcomes, 1))
		r.Excess[k] = r.chosenCost[0][k]/r.bestCost[0] - 1
		if r.bestCost[1] > 0 {
			r.SlowingExcess[k] = r.chosenCost[1][k]/r.bestCost[1] - 1
		}
	}
	r.Alike = float64(r.alikeCount) / float64(max(r.Decisions, 1))
}

// missedBound is a bound that a row does not meet.
type missedBound struct{ bound, text string }

// missedBounds lists the bounds that the row does not meet.
func (r *Row) missedBounds() (all []missedBound) {
	add := func(bound, form string, args ...any) {
		all = append(all, missedBound{bound, fmt.Sprintf("seed %d: ", r.Seed) + fmt.Sprintf(form, args...)})
	}
	if c := r.Coverage[pooled]; !(c >= minCoverage && c <= maxCoverage) {
		add("interval", "the 90%% interval contains a share of %.3f of the outcomes", c)
	}
	x := r.Excess[pooled]
	if !(x <= maxExcess) {
		add("excess", "excess %.3f: by this share, the plans ranked first cost more than the cheapest", x)
	}
	for k := fleetMean; k < estimatorCount && r.Seed == 0; k++ { // only over all seeds, because it is a ratio of small numbers
		if !(x <= maxExcessRatio*r.Excess[k]) {
			add(EstimatorNames[k], "excess %.4f, that of %s is %.4f", x, EstimatorNames[k], r.Excess[k])
		}
	}
	if !(r.OrderRightAfter*1000 <= settleMillis) {
		add("order", "the order of the nodes is right only %.1f s after the slowing", r.OrderRightAfter)
	}
	return all
}

// decision is a decision whose plans are being executed.
type decision struct {
	firstPlans     [estimatorCount]int       // the plan that each estimator ranks first
	costs          [plansPerDecision]float64 // mean costs of the plans
	executionsLeft int
}

// runVirtualSeed runs one seed in virtual time.
func runVirtualSeed(seed uint64, opt Options) (Row, error) {
	r := Row{Seed: seed}
	w, err := newSimulation(seed, opt)
	if err != nil {
		return r, err
	}
	var estimators [estimatorCount]*cost.Estimator
	for k := range estimators {
		if estimators[k], err = cost.New(cost.Defaults(class)); err != nil {
			return r, err
		}
	}
	end := millis(warmUp + opt.Duration)
	slowedAt := millis(warmUp + opt.Duration/2)
	for t := millis(warmUp); t < end; t += decisionIntervalMillis {
		w.runUntil(t)
		if t >= slowedAt && t < slowedAt+decisionIntervalMillis {
			w.nodes[slowNode].factor *= opt.SlowFactor
		}
		if t > slowedAt {
			if wrong := w.orderWrong(estimators[pooled]); wrong {
				r.OrderRightAfter = (t + decisionIntervalMillis - slowedAt) / 1000
			}
		}
		if err := w.decide(&r, &estimators, t >= slowedAt && t < slowedAt+settleMillis); err != nil {
			return r, err
		}
	}
	w.runUntil(end + 60000) // lets the open steps end
	return r, nil
}

// orderWrong reports whether any process ranks the slow node on the wrong side of a node from which it clearly differs.
func (w *simulation) orderWrong(e *cost.Estimator) bool {
	const units = (1 + maxUnits) / 2.0
	slow := w.nodes[slowNode].meanServiceTime(units)
	for p := range processCount {
		e.SetViews(w.processes[p].sharedState.Views(w.time()))
		slowEstimate, _ := e.MeanMillis(nodeName(slowNode), class, units)
		for n := range w.nodes {
			estimate, _ := e.MeanMillis(nodeName(n), class, units)
			if truth := w.nodes[n].meanServiceTime(units); truth*clearRatio < slow && estimate >= slowEstimate || truth > clearRatio*slow && estimate <= slowEstimate {
				return true
			}
		}
	}
	return false
}

// decide lets a random process rank plans with each estimator, and starts the executions of all plans. The costs are added to
// the row when the last execution ends.
func (w *simulation) decide(r *Row, estimators *[estimatorCount]*cost.Estimator, slowing bool) error {
	p := w.rng.IntN(processCount)
	shared := w.processes[p].sharedState.Views(w.time())
	estimators[pooled].SetViews(shared)
	estimators[fleetMean].SetViews(fleetMeanViews(shared))
	estimators[ownOnly].SetViews(w.processes[p].ownState.Views(w.time()))
	plans := drawPlans(w.rng, nodeCount/nodesPerShard, func(n int, units float64) *cost.Work {
		return &cost.Work{Shard: n / nodesPerShard, Class: class, Units: units, Node: nodeName(n)}
	})
	d := &decision{executionsLeft: plansPerDecision * executionsPerPlan}
	var bounds [estimatorCount][plansPerDecision][2]float64
	for k, e := range estimators {
		got, err := e.Estimate(plans, deadline)
		if err != nil {
			return err
		}
		d.firstPlans[k], bounds[k] = firstAndIntervals(got)
		if k == pooled && len(got.Plans[0].Alike) > 0 {
			r.alikeCount++
		}
	}
	r.Decisions++
	phase := 0
	if slowing {
		phase = 1
	}
	for i := range plans {
		for n := range executionsPerPlan {
			w.executePlan(&plans[i].Root, func(got execution) {
				d.costs[i] += got.cost(millis(deadline)) / executionsPerPlan
				if n == 0 && !slowing {
					r.outcomes++
					for k := range estimatorCount {
						if got.end >= bounds[k][i][0] && got.end <= bounds[k][i][1] {
							r.covered[k]++
						}
					}
				}
				if d.executionsLeft--; d.executionsLeft == 0 {
					r.bestCost[phase] += slices.Min(d.costs[:])
					for k, f := range d.firstPlans {
						r.chosenCost[phase][k] += d.costs[f]
					}
				}
			})
		}
	}
	return nil
}

// firstAndIntervals returns the index of the plan that a ranking puts first, and the interval of each plan.
func firstAndIntervals(got cost.Ranking) (first int, bounds [plansPerDecision][2]float64) {
	for _, a := range got.Plans {
		bounds[a.Name[0]-'a'] = [2]float64{a.Low, a.High}
	}
	return int(got.Plans[0].Name[0] - 'a'), bounds
}

// cost is the cost of an execution, by the prices with which the estimator ranks plans.
func (p *execution) cost(deadline float64) float64 {
	prices := cost.Defaults(class).Prices
	c := prices.Work*p.work + prices.End*p.end
	if p.refused || p.end > deadline {
		c += prices.Late * deadline
	}
	return c
}

// drawPlans draws plans for one piece of work: reads in several groups, each of which has one node of each kind. All plans
// combine the reads in the same way and differ in the nodes.
func drawPlans(rng *rand.Rand, groups int, work func(n int, units float64) *cost.Work) []cost.Plan {
	selected := rng.Perm(groups)[:1+rng.IntN(min(6, groups))]
	units := make([]float64, len(selected))
	for i := range units {
		units[i] = float64(1 + rng.IntN(maxUnits))
	}
	form := rng.IntN(4) // of the reads: 0 concurrent, 1 sequential, 2 concurrent with redundant reads, 3 concurrent until half have ended
	plans := make([]cost.Plan, plansPerDecision)
	for i := range plans {
		var steps []cost.Step
		for j, g := range selected {
			first := rng.IntN(nodesPerShard)
			at := func(n int) cost.Step { return cost.Step{Work: work(g*nodesPerShard+n%nodesPerShard, units[j])} }
			step := at(first)
			if form == 2 { // with a redundant read at another node
				step = cost.Step{Any: []cost.Step{at(first), at(first + 1 + rng.IntN(nodesPerShard-1))}}
			}
			steps = append(steps, step)
		}
		root := cost.Step{All: steps}
		switch {
		case form == 1:
			root = cost.Step{Then: steps}
		case form == 3:
			root = cost.Step{Of: &cost.Quorum{K: (len(steps) + 1) / 2, Steps: steps}}
		}
		plans[i] = cost.Plan{Name: string(rune('a' + i)), Root: root}
	}
	return plans
}

// Print writes the table and the missed bounds.
func (rep *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d processes, %d nodes of %d kinds, one becomes %g times slower; half-life %.1f s, a gossip round every %.2f s; virtual time\n",
		processCount, nodeCount, nodesPerShard, rep.Slow, rep.HalfLife, rep.Every)
	t := table(out)
	fmt.Fprintln(t, "seed\tdecisions\tin the 90%\tfleet mean\town only\t| excess %\tfleet mean\town only\t| in the 5 s %\tfleet mean\town only\t| right after s\talike")
	for _, r := range rep.Rows {
		fmt.Fprintf(t, "%s\t%d\t%.3f\t%.3f\t%.3f\t| %.2f\t%.2f\t%.2f\t| %.2f\t%.2f\t%.2f\t| %.1f\t%.2f\n", r.label(), r.Decisions,
			r.Coverage[pooled], r.Coverage[fleetMean], r.Coverage[ownOnly], 100*r.Excess[pooled], 100*r.Excess[fleetMean], 100*r.Excess[ownOnly],
			100*r.SlowingExcess[pooled], 100*r.SlowingExcess[fleetMean], 100*r.SlowingExcess[ownOnly], math.Round(r.OrderRightAfter*10)/10, r.Alike)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	return printMissed(out, rep.Missed)
}

func table(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// label is the row's name in the table.
func (r *Row) label() string {
	if r.Seed == 0 {
		return "all"
	}
	return fmt.Sprint(r.Seed)
}

func printMissed(out io.Writer, missed []string) error {
	if len(missed) == 0 {
		_, err := fmt.Fprintln(out, "bounds: all met; interval, excess and order for each seed, at most half of the other estimators' excess over all seeds")
		return err
	}
	for _, m := range missed {
		if _, err := fmt.Fprintln(out, "bound missed:", m); err != nil {
			return err
		}
	}
	return nil
}
