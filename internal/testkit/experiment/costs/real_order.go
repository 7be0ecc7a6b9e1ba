package costs

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"wheatsaddle/internal/cost"
)

// singleReads are plans of one read of mean size, one for each node.
func (bed *testbed) singleReads() (plans []cost.Plan) {
	for n := range bed.nodes {
		plans = append(plans, cost.Plan{Name: nodeName(n), Root: cost.Step{Work: &cost.Work{Shard: n, Class: class, Units: (1 + maxUnits) / 2.0, Node: nodeName(n)}}})
	}
	return plans
}

// orderWrong reports whether a process ranks the slow node on the wrong side of a node from which it clearly differs.
func (bed *testbed) orderWrong(ctx context.Context, p int) (bool, error) {
	const units = (1 + maxUnits) / 2.0
	r, err := bed.estimate(ctx, p, bed.singleReads())
	if err != nil {
		return true, err
	}
	estimates := map[string]float64{}
	for _, a := range r.Plans {
		estimates[a.Name] = a.Mean
	}
	s := bed.slowNode()
	slow, slowEstimate := bed.meanServiceTime(s, units), estimates[nodeName(s)]
	for n := range bed.nodes {
		if truth, estimate := bed.meanServiceTime(n, units), estimates[nodeName(n)]; truth*clearRatio < slow && estimate >= slowEstimate || truth > clearRatio*slow && estimate <= slowEstimate {
			return true, nil
		}
	}
	return false, nil
}

// watchOrder slows the slow node down, checks the order at each process from then on, and returns the time after the
// slowing at which a wrong order was last seen.
func (bed *testbed) watchOrder(ctx context.Context) (time.Duration, error) {
	bed.slowed.Store(true)
	slowedAt := time.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	streak := make([]int, bed.opt.Processes)
	var all sync.WaitGroup
	for p := range bed.opt.Processes {
		all.Go(func() {
			for time.Since(slowedAt) < bed.opt.WatchDuration && ctx.Err() == nil {
				wrong, err := bed.orderWrong(ctx, p)
				bed.mu.Lock()
				if wrong && ctx.Err() == nil {
					bed.lastWrongOrder[p], streak[p] = time.Since(slowedAt), 0
					bed.err = errors.Join(bed.err, err)
				} else {
					streak[p]++
				}
				done := bed.err != nil || bed.opt.SettledChecks > 0 && slices.Min(streak) >= bed.opt.SettledChecks
				bed.mu.Unlock()
				if done {
					stop()
				}
				select {
				case <-ctx.Done():
				case <-time.After(orderCheckInterval):
				}
			}
		})
	}
	all.Wait()
	return slices.Max(bed.lastWrongOrder), bed.err
}
