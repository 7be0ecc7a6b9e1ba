package policy

import "math"

const (
	minBackoffMs    = 50.0  // first backoff from a node that took no work, doubling
	maxBackoffMs    = 500.0 // up to this, so that its recovery is noticed soon
	failureRateGain = 0.1   // weight of one outcome in the failure rate
)

// learnFromOutcome takes what the end of an attempt tells of the node's health.
func (s *Scheduler) learnFromOutcome(r *request, a *attempt, ev *Event) {
	n := a.node
	switch ev.Status {
	case OK:
		s.learnFromAnswer(r, a, ev.Latency)
		n.noteOutcome(0)
	case Errored:
		n.lastReceivedAt, n.silent = s.now, false
		n.noteOutcome(1)
	case NodeFull:
		n.lastReceivedAt = s.now
		s.narrow(n)
		s.backOffNode(n)
	case ConnectFailed:
		s.backOffNode(n)
		if s.now-n.lastReceivedAt > restartSuspectMs {
			s.beginSlowStart(n, s.now)
		}
		n.noteOutcome(1)
	case TimedOut, ConnectionReset:
		if !a.lost {
			s.recordLatency(n, ev.Latency, r.units)
			n.noteOutcome(1)
		}
	case Cancelled, Abandoned: // these tell nothing of the node
	}
}

// learnFromAnswer takes a served attempt. The first answer after a long silence may come from a node
// that restarted. The latency of an attempt that was written off tells of that attempt alone.
func (s *Scheduler) learnFromAnswer(r *request, a *attempt, latency float64) {
	n := a.node
	if n.silent && s.now-n.silentSince > restartSuspectMs ||
		latency > restartSuspectMs && s.now-n.lastReceivedAt > restartSuspectMs {
		s.beginSlowStart(n, s.now)
	}
	n.silent, n.lastReceivedAt, n.backoff = false, s.now, 0
	n.slowStart.answeredInTime = latency < nodeLatencyShare*s.minObjective
	if !a.lost {
		s.recordLatency(n, latency, r.units)
	}
	s.recordServed(n, r)
}

// noteOutcome takes an outcome, 1 for a failure, into the smoothed failure rate.
func (n *node) noteOutcome(failure float64) {
	n.failureRate += failureRateGain * (failure - n.failureRate)
}

// backOffNode backs off from a node that took no work, longer each time and randomized.
func (s *Scheduler) backOffNode(n *node) {
	n.backoff = math.Min(math.Max(2*n.backoff, minBackoffMs), maxBackoffMs)
	n.nextSendAt = s.now + n.backoff*(0.5+s.rng.Float64())
	n.window.lowerToMin()
}

// AvoidedNodes counts the nodes that the list gives as up and that this instance sends nothing to for
// now: silent ones, and those it backs off from. It decides nothing.
func (s *Scheduler) AvoidedNodes() (count int) {
	for _, n := range s.listedNodes {
		isResting := n.window.isFractional() && len(n.inFlight) == 0 && s.now < n.nextSendAt
		if n.State == NodeUp && (n.silent || isResting) {
			count++
		}
	}
	return count
}
