package policy

import "math"

const (
	latencyDecayMs   = 2e3 // time constant with which a node's estimate decays to the pool's latency
	latencyRefreshMs = 2e3 // time constant with which the weight of a new sample grows with the age of the estimate
	minLatencyGain   = 0.1 // minimum weight of a sample
	minLatencyMs     = 1.0
)

// latencyEstimator is a smoothed latency. The older the estimate, the higher the weight of a new sample.
type latencyEstimator struct {
	ms        float64
	learnedAt float64 // time of the last sample; negative infinity: there was none
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

// decayed returns the estimate after its decay towards a baseline.
func (e *latencyEstimator) decayed(baseline, now float64) float64 {
	return baseline + (e.ms-baseline)*math.Exp((e.learnedAt-now)/latencyDecayMs)
}

// learnLatency updates the latency estimates of the node and of the pool of all nodes.
func (s *Scheduler) learnLatency(n *node, sample float64) {
	n.latency.learn(s.expectedLatency(n), sample, s.now)
	s.poolLatency.learn(s.poolLatency.ms, sample, s.now)
}

// expectedLatency returns the estimated latency of a node. The node's own estimate decays towards the
// estimate of the pool of all nodes, which itself decays towards zero.
func (s *Scheduler) expectedLatency(n *node) float64 {
	return math.Max(n.latency.decayed(s.poolLatency.decayed(0, s.now), s.now), minLatencyMs)
}

// latencySnapshot is what was known of a node's latency before a sample.
type latencySnapshot struct {
	node, pool latencyEstimator
	window     concurrencyWindow
	takenAt    float64
}

// snapshotLatency returns what is known of a node's latency.
func (s *Scheduler) snapshotLatency(n *node) latencySnapshot {
	return latencySnapshot{node: n.latency, pool: s.poolLatency, window: n.window, takenAt: s.now}
}

// restoreLatency takes back the sample that followed a snapshot, as far as none has come since.
func (s *Scheduler) restoreLatency(n *node, before *latencySnapshot) {
	if n.latency.learnedAt == before.takenAt {
		n.latency, n.window = before.node, before.window
	}
	if s.poolLatency.learnedAt == before.takenAt {
		s.poolLatency = before.pool
	}
}
