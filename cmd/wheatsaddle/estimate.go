package main

import (
	"runtime"
	"time"

	"wheatsaddle/internal/admin"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/cost"
	"wheatsaddle/internal/nodestats"
)

// estimateLimit is the longest computation of an estimate: the admin endpoint answers within a second.
const estimateLimit = 600 * time.Millisecond

// viewSource returns the merged node statistics of all processes.
type viewSource func() []nodestats.View

// estimates is the admin endpoint's handler of estimates; nil: the site's file has no section estimate. Each call has its own
// estimator: calls share no state with each other or with the data path.
func estimates(set *config.SiteEstimate, conf *config.Config, shared viewSource) *admin.Estimate {
	if set == nil {
		return nil
	}
	s := costSettings(set, conf)
	return admin.NewEstimate(func(body []byte) ([]byte, error) {
		begin := time.Now()
		plans, deadline, err := cost.ParsePlans(body)
		if err != nil {
			return nil, err
		}
		e, err := cost.New(s)
		if err != nil {
			return nil, err
		}
		e.Between = func() bool {
			runtime.Gosched()
			return time.Since(begin) < estimateLimit
		}
		if shared != nil {
			e.Learn(shared())
		}
		r, err := e.Estimate(plans, deadline)
		if err != nil {
			return nil, err
		}
		return r.JSON()
	}, set.MaxBytes, set.MaxConcurrent)
}

// costSettings are the estimator's settings, with the classes, shards and limits of the configuration.
func costSettings(set *config.SiteEstimate, conf *config.Config) cost.Settings {
	var names []string
	for _, k := range conf.Settings.Classes {
		names = append(names, k.Name)
	}
	s := cost.Defaults(names...)
	s.Shards, s.Prices, s.Doubt, s.Limits = conf.Settings.Shards, set.Prices, set.MinStandardErrors, map[string]cost.Rate{}
	for _, p := range conf.Settings.Plans {
		if p.RateLimit > 0 {
			s.Limits[p.Name] = cost.Rate{PerSecond: p.RateLimit, Burst: p.LimitBurst}
		}
	}
	return s
}
