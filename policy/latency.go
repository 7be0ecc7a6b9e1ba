package policy

import "math"

// learnLatency takes a latency into the node's usual and the pool's; the older those, the more.
func (s *Scheduler) learnLatency(n *node, latency float64) {
	part := func(at float64) float64 { return math.Max(minLatencyGain, 1-math.Exp((at-s.now)/latencyFreshMs)) }
	n.typicalLatency = s.expectedLatency(n) + part(n.latencyLearnedAt)*(latency-s.expectedLatency(n))
	s.poolLatency += part(s.poolLatencyAt) * (latency - s.poolLatency)
	n.latencyLearnedAt, s.poolLatencyAt = s.now, s.now
}

// expectedLatency is a node's latency as far as known: what it showed, healing with age towards
// that of all the nodes this host hears from, and that towards nothing.
func (s *Scheduler) expectedLatency(n *node) float64 {
	pool := s.poolLatency * math.Exp((s.poolLatencyAt-s.now)/latencyDecayMs)
	return math.Max(pool+(n.typicalLatency-pool)*math.Exp((n.latencyLearnedAt-s.now)/latencyDecayMs), 1)
}
