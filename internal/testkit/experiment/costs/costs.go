// Package costs is the experiment on the estimate, in virtual time: 8 processes that each see part of the
// answers, 24 nodes of three kinds of hardware, one of which turns five times slower. At each decision one
// process is offered several plans for one piece of work and three estimates of them: the fleet's mean, its
// own answers alone, and what all told, pooled from node to type to fleet. Every plan is then played in the
// same world, so that it is known which would have been cheapest and whether the interval held.
//
// RunReal is the same with processes of the built daemon and stand-in nodes, in real time: plans are asked of at
// the admin endpoints and carried out as requests. What the machine adds to each is measured beside it.
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

// Options are the experiment's.
type Options struct {
	Seeds    []uint64
	For      time.Duration // of one seed; the node turns slow at half of it
	HalfLife time.Duration // of an answer's weight in the short memory
	Every    time.Duration // between a process's rounds
	Slow     float64       // times that the node is then slower
}

const (
	warmUp                 = 10 * time.Second // before the first decision
	decisionIntervalMillis = 100.0            // ms between decisions
	settleMillis           = 5000.0           // ms within which the order must be right again
	deadline               = 150 * time.Millisecond
	playsPerPlan           = 80 // plays of a plan, for its cost in hindsight
	plansPerDecision       = 4
	slowNode               = 3 * 2 // of the fastest kind: it has the longest way to the end of the order
	clearRatio             = 1.25  // an order counts where the nodes differ by so much in truth
)

// The bounds of the issue.
const (
	minCoverage, maxCoverage = 0.85, 0.95
	maxExcess                = 0.05
	maxExcessRatio           = 0.5 // of the other estimates' excess
)

// The estimates beside each other.
const (
	pooled = iota
	fleetMean
	ownOnly
	estimatorCount
)

// WayNames names the estimates.
var EstimatorNames = [estimatorCount]string{"pooled", "fleet mean", "own answers only"}

// Row is one seed; the last of a report is over all seeds.
type Row struct {
	Seed            uint64                  `json:"seed"` // 0: all
	Decisions       int                     `json:"decisions"`
	Coverage        [estimatorCount]float64 `json:"cover"`                  // share of ends within the 90% interval
	Excess          [estimatorCount]float64 `json:"excess"`                 // cost of what was called cheapest, over the best in hindsight
	SlowingExcess   [estimatorCount]float64 `json:"excess_in_5_s,omitzero"` // ... within 5 s of the slowing; with processes nothing is offered then
	OrderRightAfter float64                 `json:"right_after_s"`          // until the slow node stands right among all at every process, for good
	Alike           float64                 `json:"alike"`                  // share of decisions in which the first was not told apart from the best
	covered         [estimatorCount]int
	outcomes        int
	bestCost        [2]float64 // summed cost in hindsight: settled, turning
	chosenCost      [2][estimatorCount]float64
	alikeCount      int
}

// Report is the result.
type Report struct {
	HalfLife float64  `json:"half_life_s"`
	Every    float64  `json:"every_s"`
	Slow     float64  `json:"slow_times"`
	Rows     []Row    `json:"rows"`
	Missed   []string `json:"missed"`
}

// Run plays the seeds.
func Run(opt Options) (*Report, error) {
	rep := &Report{HalfLife: opt.HalfLife.Seconds(), Every: opt.Every.Seconds(), Slow: opt.Slow}
	var sum Row
	rows := make([]Row, len(opt.Seeds))
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	for i, seed := range opt.Seeds { // each in a world of its own
		group.Go(func() (err error) {
			rows[i], err = playVirtualSeed(seed, opt)
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

// miss is a bound that a row does not meet.
type missedBound struct{ bound, text string }

func (r *Row) missedBounds() (all []missedBound) {
	add := func(bound, form string, args ...any) {
		all = append(all, missedBound{bound, fmt.Sprintf("seed %d: ", r.Seed) + fmt.Sprintf(form, args...)})
	}
	if c := r.Coverage[pooled]; !(c >= minCoverage && c <= maxCoverage) {
		add("interval", "the 90%% interval holds %.3f", c)
	}
	x := r.Excess[pooled]
	if !(x <= maxExcess) {
		add("excess", "excess %.3f", x)
	}
	for k := fleetMean; k < estimatorCount && r.Seed == 0; k++ { // a ratio of small numbers: over all seeds
		if !(x <= maxExcessRatio*r.Excess[k]) {
			add(EstimatorNames[k], "excess %.4f, of %s %.4f", x, EstimatorNames[k], r.Excess[k])
		}
	}
	if !(r.OrderRightAfter*1000 <= settleMillis) {
		add("order", "the order is right after %.1f s", r.OrderRightAfter)
	}
	return all
}

// decision is one choice that is being played.
type decision struct {
	firstPlans [estimatorCount]int // the plan each way calls cheapest
	costs      [plansPerDecision]float64
	playsLeft  int
}

func playVirtualSeed(seed uint64, opt Options) (Row, error) {
	r := Row{Seed: seed}
	w, err := newWorld(seed, opt)
	if err != nil {
		return r, err
	}
	var estimators [estimatorCount]*cost.Estimator
	for k := range estimators {
		if estimators[k], err = cost.New(cost.Defaults(class)); err != nil {
			return r, err
		}
	}
	end := millis(warmUp + opt.For)
	slowedAt := millis(warmUp + opt.For/2)
	for t := millis(warmUp); t < end; t += decisionIntervalMillis {
		w.runUntil(t)
		if t >= slowedAt && t < slowedAt+decisionIntervalMillis {
			w.nodes[slowNode].factor *= opt.Slow
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
	w.runUntil(end + 60000) // what is out ends
	return r, nil
}

// anyWrong says whether at any process the slow node stands on the wrong side of another from which it
// clearly differs.
func (w *world) orderWrong(e *cost.Estimator) bool {
	const units = (1 + maxUnits) / 2.0
	slow := w.nodes[slowNode].meanServiceTime(units)
	for p := range processCount {
		e.SetViews(w.processes[p].shared.Views(w.time()))
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

func (w *world) decide(r *Row, estimators *[estimatorCount]*cost.Estimator, slowing bool) error {
	p := w.rng.IntN(processCount)
	shared := w.processes[p].shared.Views(w.time())
	estimators[pooled].SetViews(shared)
	estimators[fleetMean].SetViews(fleetMeanViews(shared))
	estimators[ownOnly].SetViews(w.processes[p].own.Views(w.time()))
	plans := drawPlans(w.rng, nodeCount/nodesPerShard, func(n int, units float64) *cost.Work {
		return &cost.Work{Shard: n / nodesPerShard, Class: class, Units: units, Node: nodeName(n)}
	})
	d := &decision{playsLeft: plansPerDecision * playsPerPlan}
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
		for n := range playsPerPlan {
			w.playPlan(&plans[i].Root, func(got played) {
				d.costs[i] += got.cost(millis(deadline)) / playsPerPlan
				if n == 0 && !slowing {
					r.outcomes++
					for k := range estimatorCount {
						if got.end >= bounds[k][i][0] && got.end <= bounds[k][i][1] {
							r.covered[k]++
						}
					}
				}
				if d.playsLeft--; d.playsLeft == 0 {
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

// read is the plan that a ranking calls cheapest, and each one's interval.
func firstAndIntervals(got cost.Ranking) (first int, bounds [plansPerDecision][2]float64) {
	for _, a := range got.Plans {
		bounds[a.Name[0]-'a'] = [2]float64{a.Low, a.High}
	}
	return int(got.Plans[0].Name[0] - 'a'), bounds
}

// cost is what the order goes by, of what then came.
func (p *played) cost(deadline float64) float64 {
	prices := cost.Defaults(class).Prices
	c := prices.Work*p.work + prices.End*p.end
	if p.refused || p.end > deadline {
		c += prices.Late * deadline
	}
	return c
}

// offers are ways of one piece of work: reads in some groups of a node of each kind, in one shape, at other
// nodes each.
func drawPlans(rng *rand.Rand, groups int, work func(n int, units float64) *cost.Work) []cost.Plan {
	selected := rng.Perm(groups)[:1+rng.IntN(min(6, groups))]
	units := make([]float64, len(selected))
	for i := range units {
		units[i] = float64(1 + rng.IntN(maxUnits))
	}
	form := rng.IntN(4)
	plans := make([]cost.Plan, plansPerDecision)
	for i := range plans {
		var steps []cost.Step
		for j, g := range selected {
			first := rng.IntN(nodesPerShard)
			at := func(n int) cost.Step { return cost.Step{Work: work(g*nodesPerShard+n%nodesPerShard, units[j])} }
			step := at(first)
			if form == 2 { // a copy beside it
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

// Print writes the table.
func (rep *Report) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d processes, %d nodes of %d kinds, one turns %g times slower; half-life %.1f s, rounds each %.2f s; virtual time\n",
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

func (r *Row) label() string {
	if r.Seed == 0 {
		return "all"
	}
	return fmt.Sprint(r.Seed)
}

func printMissed(out io.Writer, missed []string) error {
	if len(missed) == 0 {
		_, err := fmt.Fprintln(out, "bounds: all met; interval, excess and order at each seed, half of the others' excess over all")
		return err
	}
	for _, m := range missed {
		if _, err := fmt.Fprintln(out, "bound missed:", m); err != nil {
			return err
		}
	}
	return nil
}
