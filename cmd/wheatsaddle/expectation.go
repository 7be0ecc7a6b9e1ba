package main

import (
	"fmt"
	"sync"
	"time"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/cost"
)

const expectationLifetime = time.Second // after which an estimate is computed again

// expectation estimates how long a part of a gathered read takes at each shard. Each class is estimated at most once in an
// expectationLifetime.
type expectation struct {
	views viewSource
	set   cost.Settings
	units float64 // work of one part

	mu      sync.Mutex
	byClass map[string]classExpectation
}

type classExpectation struct {
	made       time.Time
	expectedMs map[int]float64 // by shard
}

func newExpectation(est *config.SiteEstimate, conf *config.Config, shared viewSource) *expectation {
	return &expectation{
		views:   shared,
		set:     costSettings(est, conf),
		units:   max(conf.Settings.MeanUnits, 1),
		byClass: map[string]classExpectation{},
	}
}

// of returns the expected milliseconds for each of the shards; nil: nothing is known. It is the Expect of a
// scattergather.Service.
func (x *expectation) of(class string, shards []int) []float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	current, ok := x.byClass[class]
	if !ok || time.Since(current.made) > expectationLifetime {
		current = classExpectation{time.Now(), x.estimate(class)}
		x.byClass[class] = current
	}
	if len(current.expectedMs) == 0 {
		return nil
	}
	expected := make([]float64, len(shards))
	for i, shard := range shards {
		expected[i] = current.expectedMs[shard]
	}
	return expected
}

// estimate returns the expected milliseconds of a read by shard, from observed nodes; nil: there is no estimate.
func (x *expectation) estimate(class string) map[int]float64 {
	estimator, err := cost.New(x.set)
	if err != nil {
		return nil
	}
	observed := x.views()
	estimator.Learn(observed)
	expectedMs, planned := map[int]float64{}, map[int]bool{}
	var plans []cost.Plan // one for each shard, named by its number
	for _, v := range observed {
		if v.Shard < 0 || planned[v.Shard] || len(plans) == cost.PlansMost {
			continue
		}
		planned[v.Shard] = true
		work := &cost.Work{Shard: v.Shard, Class: class, Units: x.units}
		plans = append(plans, cost.Plan{Name: fmt.Sprint(v.Shard), Root: cost.Step{Work: work}})
	}
	result, err := estimator.Estimate(plans, 0)
	if err != nil {
		return nil
	}
	for _, p := range result.Plans {
		var shard int
		if _, err := fmt.Sscan(p.Name, &shard); err == nil {
			expectedMs[shard] = p.P90
		}
	}
	return expectedMs
}
