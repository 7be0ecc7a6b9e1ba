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
func (w *testbed) singleReads() (plans []cost.Plan) {
	for n := range w.nodes {
		plans = append(plans, cost.Plan{Name: nodeName(n), Root: cost.Step{Work: &cost.Work{Shard: n, Class: class, Units: (1 + maxUnits) / 2.0, Node: nodeName(n)}}})
	}
	return plans
}

// orderWrong reports whether a process ranks the slow node on the wrong side of a node from which it clearly differs.
func (w *testbed) orderWrong(ctx context.Context, p int) (bool, error) {
	const units = (1 + maxUnits) / 2.0
	r, err := w.estimate(ctx, p, w.singleReads())
	if err != nil {
		return true, err
	}
	estimates := map[string]float64{}
	for _, a := range r.Plans {
		estimates[a.Name] = a.Mean
	}
	s := w.slowNode()
	slow, slowEstimate := w.meanServiceTime(s, units), estimates[nodeName(s)]
	for n := range w.nodes {
		if truth, estimate := w.meanServiceTime(n, units), estimates[nodeName(n)]; truth*clearRatio < slow && estimate >= slowEstimate || truth > clearRatio*slow && estimate <= slowEstimate {
			return true, nil
		}
	}
	return false, nil
}

// watchOrder slows the slow node down, checks the order at each process from then on, and returns the time after the
// slowing at which a wrong order was last seen.
func (w *testbed) watchOrder(ctx context.Context) (time.Duration, error) {
	w.slowed.Store(true)
	slowedAt := time.Now()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	streak := make([]int, w.opt.Processes)
	var all sync.WaitGroup
	for p := range w.opt.Processes {
		all.Go(func() {
			for time.Since(slowedAt) < w.opt.WatchDuration && ctx.Err() == nil {
				wrong, err := w.orderWrong(ctx, p)
				w.mu.Lock()
				if wrong && ctx.Err() == nil {
					w.lastWrongOrder[p], streak[p] = time.Since(slowedAt), 0
					w.err = errors.Join(w.err, err)
				} else {
					streak[p]++
				}
				done := w.err != nil || w.opt.SettledChecks > 0 && slices.Min(streak) >= w.opt.SettledChecks
				w.mu.Unlock()
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
	return slices.Max(w.lastWrongOrder), w.err
}
