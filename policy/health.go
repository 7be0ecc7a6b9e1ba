package policy

import "math"

const (
	minBackoffMs    = 50.0  // initial backoff from a node that accepted no work; it doubles
	maxBackoffMs    = 500.0 // limit of the backoff, so that a recovery is noticed soon
	failureRateGain = 0.1   // weight of one outcome in the failure rate
)

// learnFromOutcome updates the health of a node after the end of an attempt.
func (s *Scheduler) learnFromOutcome(r *request, a *attempt, ev *Event) {
	n := a.node
	switch ev.Status {
	case OK:
		latency := ev.Latency
		if a.slowRequest {
			latency = 0
		}
		s.learnFromAnswer(r, a, latency)
		n.recordOutcome(0)
	case Errored:
		n.lastReceivedAt, n.silent = s.now, false
		n.recordOutcome(1)
	case NodeFull:
		n.lastReceivedAt = s.now
		s.narrowWindow(n)
		s.backOffNode(n)
	case ConnectFailed:
		s.backOffNode(n)
		if s.now-n.lastReceivedAt > restartSuspectMs {
			s.beginSlowStart(n, s.now)
		}
		n.recordOutcome(1)
	case TimedOut, ConnectionReset:
		if !a.writtenOff {
			s.recordLatency(n, ev.Latency, r.units)
		}
		if !a.writtenOff || a.transferring {
			n.recordOutcome(1)
		}
	case Cancelled, Abandoned: // these say nothing about the node
	}
}

// learnFromAnswer updates the state of a node after an answer. A node that answers after a long silence
// may have restarted, so it enters slow start. The latency of an attempt that was written off is not
// typical of the node and is ignored.
func (s *Scheduler) learnFromAnswer(r *request, a *attempt, latency float64) {
	n := a.node
	if n.silent && s.now-n.silentSince > restartSuspectMs ||
		latency > restartSuspectMs && s.now-n.lastReceivedAt > restartSuspectMs {
		s.beginSlowStart(n, s.now)
	}
	n.silent, n.lastReceivedAt, n.backoff = false, s.now, 0
	n.slowStart.answeredInTime = latency < nodeLatencyShare*s.minObjective
	if !a.writtenOff {
		s.recordLatency(n, latency, r.units)
	}
	s.recordServed(n, r)
}

// recordOutcome adds an outcome to the smoothed failure rate: 1 for a failure, 0 for a success.
func (n *node) recordOutcome(failure float64) {
	n.failureRate += failureRateGain * (failure - n.failureRate)
}

// backOffNode backs off from a node that accepted no work. The backoff is exponential and randomized.
func (s *Scheduler) backOffNode(n *node) {
	n.backoff = math.Min(math.Max(2*n.backoff, minBackoffMs), maxBackoffMs)
	n.nextSendAt = s.now + n.backoff*(0.5+s.rng.Float64())
	n.window.lowerToMin()
}

// AvoidedNodes counts the nodes that are up according to the list but get no regular work from this
// instance at present: silent nodes, and nodes that it backs off from. It is for status output only.
func (s *Scheduler) AvoidedNodes() (count int) {
	for _, n := range s.listedNodes {
		isBackingOff := n.window.isFractional() && len(n.inFlight) == 0 && s.now < n.nextSendAt
		if n.State == NodeUp && (n.silent || isBackingOff) {
			count++
		}
	}
	return count
}
