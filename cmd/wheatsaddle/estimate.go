package main

import (
	"runtime"
	"time"

	"wheatsaddle/internal/admin"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/cost"
	"wheatsaddle/internal/nodestats"
)

// estimateTimeout limits the computation of an estimate, because the admin endpoint must answer within a second.
const estimateTimeout = 600 * time.Millisecond

// viewSource returns the merged node statistics of all processes.
type viewSource func() []nodestats.View

// newEstimateHandler returns the admin endpoint's handler of estimates; nil: the site's file has no section estimate. Each
// call has its own estimator, so calls share no state with each other or with the data path.
func newEstimateHandler(set *config.SiteEstimate, conf *config.Config, shared viewSource) *admin.Estimate {
	if set == nil {
		return nil
	}
	settings := costSettings(set, conf)
	return admin.NewEstimate(func(body []byte) ([]byte, error) {
		startedAt := time.Now()
		plans, deadline, err := cost.ParsePlans(body)
		if err != nil {
			return nil, err
		}
		estimator, err := cost.New(settings)
		if err != nil {
			return nil, err
		}
		estimator.ShouldContinue = func() bool {
			runtime.Gosched()
			return time.Since(startedAt) < estimateTimeout
		}
		if shared != nil {
			estimator.SetViews(shared())
		}
		result, err := estimator.Estimate(plans, deadline)
		if err != nil {
			return nil, err
		}
		return result.JSON()
	}, set.MaxBytes, set.MaxConcurrent)
}

// costSettings returns the estimator's settings, with the classes, shards and rate limits of the configuration.
func costSettings(set *config.SiteEstimate, conf *config.Config) cost.Settings {
	var names []string
	for _, k := range conf.Settings.Classes {
		names = append(names, k.Name)
	}
	s := cost.Defaults(names...)
	s.Shards, s.Prices, s.MinStandardErrors, s.Limits = conf.Settings.Shards, set.Prices, set.MinStandardErrors, map[string]cost.Rate{}
	for _, p := range conf.Settings.Plans {
		if p.RateLimit > 0 {
			s.Limits[p.Name] = cost.Rate{PerSecond: p.RateLimit, Burst: p.LimitBurst}
		}
	}
	return s
}
