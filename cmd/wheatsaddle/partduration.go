package main

import (
	"fmt"
	"sync"
	"time"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/cost"
)

const partEstimateLifetime = time.Second // time for which an estimate is cached

// partDurationEstimator estimates how long a part of a gathered read takes at each shard. The estimate of a class is cached
// for partEstimateLifetime.
type partDurationEstimator struct {
	views        viewSource
	settings     cost.Settings
	unitsPerPart float64 // work of one part

	mu      sync.Mutex
	byClass map[string]classEstimate
}

type classEstimate struct {
	computedAt time.Time
	expectedMs map[int]float64 // by shard
}

func newPartDurationEstimator(est *config.SiteEstimate, conf *config.Config, shared viewSource) *partDurationEstimator {
	return &partDurationEstimator{
		views:        shared,
		settings:     costSettings(est, conf),
		unitsPerPart: max(conf.Settings.MeanUnits, 1),
		byClass:      map[string]classEstimate{},
	}
}

// expectedMillis returns the expected duration of a part at each of the shards, in milliseconds; nil: there is no estimate.
// scattergather.Service calls it.
func (x *partDurationEstimator) expectedMillis(class string, shards []int) []float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	current, ok := x.byClass[class]
	if !ok || time.Since(current.computedAt) > partEstimateLifetime {
		current = classEstimate{time.Now(), x.estimate(class)}
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

// estimate returns the expected milliseconds of a part by shard, which are the 90th percentile of an estimate from the
// observed nodes; nil: there is no estimate.
func (x *partDurationEstimator) estimate(class string) map[int]float64 {
	estimator, err := cost.New(x.settings)
	if err != nil {
		return nil
	}
	observed := x.views()
	estimator.SetViews(observed)
	expectedMs, planned := map[int]float64{}, map[int]bool{}
	var plans []cost.Plan // one for each shard, named by its number
	for _, v := range observed {
		if v.Shard < 0 || planned[v.Shard] || len(plans) == cost.MaxPlans {
			continue
		}
		planned[v.Shard] = true
		work := &cost.Work{Shard: v.Shard, Class: class, Units: x.unitsPerPart}
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
