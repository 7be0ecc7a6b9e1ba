package policy

import "math"

const (
	latencyDecayMs   = 2e3 // what a node showed decays to the pool's latency over this time
	latencyRefreshMs = 2e3 // an estimate of this age yields most of its weight to a new sample
	minLatencyGain   = 0.1 // least weight of one sample
	minLatencyMs     = 1.0
)

// latencyEstimator is a smoothed latency. The older the estimate, the more a new sample counts.
type latencyEstimator struct {
	ms        float64
	learnedAt float64 // negative infinity: nothing was learned
}

// hasSample reports whether the estimator has seen a sample.
func (e *latencyEstimator) hasSample() bool { return !math.IsInf(e.learnedAt, 0) }

// set replaces the estimate.
func (e *latencyEstimator) set(ms, now float64) { e.ms, e.learnedAt = ms, now }

// learn moves the estimate from a base value towards a sample.
func (e *latencyEstimator) learn(base, sample, now float64) {
	gain := math.Max(minLatencyGain, 1-math.Exp((e.learnedAt-now)/latencyRefreshMs))
	e.set(base+gain*(sample-base), now)
}

// decayed is the estimate after it decayed towards a baseline.
func (e *latencyEstimator) decayed(baseline, now float64) float64 {
	return baseline + (e.ms-baseline)*math.Exp((e.learnedAt-now)/latencyDecayMs)
}

// learnLatency takes a latency into the estimates of the node and of the pool of all nodes.
func (s *Scheduler) learnLatency(n *node, sample float64) {
	n.latency.learn(s.expectedLatency(n), sample, s.now)
	s.poolLatency.learn(s.poolLatency.ms, sample, s.now)
}

// expectedLatency is a node's latency as far as known: its own estimate decays towards that of all
// nodes that answer this scheduler, and that decays towards zero.
func (s *Scheduler) expectedLatency(n *node) float64 {
	return math.Max(n.latency.decayed(s.poolLatency.decayed(0, s.now), s.now), minLatencyMs)
}
