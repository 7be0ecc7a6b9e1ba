package costs

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"wheatsaddle/internal/cost"
)

// execute runs a step as requests and returns its work, its end and whether a part was refused. Each request gets a seed
// that is derived from requestSeed and its position in the plan.
func execute(request func(n int, units float64, requestSeed uint64) (float64, bool), s *cost.Step, requestSeed uint64) execution {
	if s.Work != nil {
		took, ok := request(s.Work.Shard, s.Work.Units, requestSeed)
		return execution{took, took, !ok}
	}
	next := func(i int) uint64 { return rand.NewPCG(requestSeed, uint64(i)).Uint64() }
	var sum execution
	for i := range s.Then {
		got := execute(request, &s.Then[i], next(i))
		sum = execution{sum.work + got.work, sum.end + got.end, sum.refused || got.refused}
	}
	if s.Then != nil {
		return sum
	}
	steps, k := s.All, len(s.All)
	switch {
	case s.Any != nil:
		steps, k = s.Any, 1
	case s.Of != nil:
		steps, k = s.Of.Steps, s.Of.K
	}
	got := make([]execution, len(steps))
	var all sync.WaitGroup
	for i := range steps {
		all.Go(func() { got[i] = execute(request, &steps[i], next(i)) })
	}
	all.Wait()
	slices.SortFunc(got, func(a, b execution) int { return cmp.Compare(a.end, b.end) })
	for _, g := range got {
		sum.work, sum.refused = sum.work+g.work, sum.refused || g.refused
	}
	sum.end = got[k-1].end
	return sum
}

// planRuns are the outcomes of a decision's plans, by plan and run.
type planRuns [plansPerDecision][runsByProcess + runsForHindsight]execution

// decidePlans has a process rank plans, and runs all of them through the process. For the cost in hindsight each plan
// is also run directly at the nodes, where no process learns from it.
func (bed *testbed) decidePlans(ctx context.Context, p int, rng *rand.Rand) error {
	var estimators [estimatorCount]*cost.Estimator
	for k := range estimators {
		var err error
		if estimators[k], err = cost.New(cost.Defaults(class)); err != nil {
			return err
		}
	}
	time.Sleep(decisionInterval * time.Duration(p) / time.Duration(bed.opt.Processes)) // so that the processes do not decide at the same time
	next := time.NewTicker(decisionInterval)
	defer next.Stop()
	for range bed.opt.Decisions {
		plans := drawPlans(rng, bed.opt.Groups, func(n int, units float64) *cost.Work {
			return &cost.Work{Shard: n, Class: class, Units: units, Node: nodeName(n)}
		})
		rankings, err := bed.baselineRankings(p, &estimators, plans)
		if err == nil {
			rankings[pooled], err = bed.estimate(ctx, p, plans)
		}
		if err != nil {
			return err
		}
		var requestSeeds [runsByProcess + runsForHindsight]uint64
		for n := range requestSeeds {
			requestSeeds[n] = rng.Uint64()
		}
		best := bed.cheapestByTrueTimes(plans, rng)
		bed.recordDecision(rankings, best, bed.runPlans(p, plans, requestSeeds[:]))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-next.C:
		}
	}
	return nil
}

// runPlans runs each plan once for each seed: the first runs go through the process, the others directly to the nodes.
func (bed *testbed) runPlans(p int, plans []cost.Plan, requestSeeds []uint64) (runs planRuns) {
	var all sync.WaitGroup
	for n := range requestSeeds {
		request := bed.requestFromNode
		if n < runsByProcess {
			request = func(n int, units float64, requestSeed uint64) (float64, bool) {
				return bed.requestFromProcess(p, n, units, requestSeed)
			}
		}
		for i := range plans {
			all.Go(func() { runs[i][n] = execute(request, &plans[i].Root, requestSeeds[n]) })
		}
		if n < runsByProcess {
			all.Wait()
		}
		time.Sleep(runSpacing) // concurrent runs of one plan would queue behind each other
	}
	all.Wait()
	return runs
}

// recordDecision adds one decision to the row: the cost of the plan that each ranking put first, of the cheapest plan
// by the true service times, and of the cheapest in hindsight, and whether the outcomes lay within the intervals.
func (bed *testbed) recordDecision(rankings [estimatorCount]cost.Ranking, best int, runs planRuns) {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	r := &bed.row
	r.Decisions++
	if len(rankings[pooled].Plans[0].Alike) > 0 {
		r.alikeCount++
	}
	var costs [plansPerDecision]float64
	for i := range runs {
		for _, e := range runs[i] {
			costs[i] += e.cost(millis(stretchedDeadline)) / float64(len(runs[i]))
		}
	}
	r.bestCost[0] += slices.Min(costs[:])
	r.knownCost += costs[best]
	for k := range estimatorCount {
		first, bounds := firstAndIntervals(rankings[k])
		r.chosenCost[0][k] += costs[first]
		for i := range runs {
			for _, e := range runs[i][:runsByProcess] {
				if !e.refused && e.end >= bounds[i][0] && e.end <= bounds[i][1] {
					r.covered[k]++
				}
			}
		}
	}
	r.outcomes += plansPerDecision * runsByProcess
}

// cheapestByTrueTimes is the index of the plan that is cheapest by the nodes' true service times, which no estimator knows.
func (bed *testbed) cheapestByTrueTimes(plans []cost.Plan, rng *rand.Rand) int {
	var costs [plansPerDecision]float64
	draw := func(n int, units float64, requestSeed uint64) (float64, bool) {
		return bed.drawServiceTime(n, units, requestSeed), true
	}
	for range executionsPerPlan {
		requestSeed := rng.Uint64()
		for i := range plans {
			got := execute(draw, &plans[i].Root, requestSeed)
			costs[i] += got.cost(millis(stretchedDeadline))
		}
	}
	return slices.Index(costs[:], slices.Min(costs[:]))
}
