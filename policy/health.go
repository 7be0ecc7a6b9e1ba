package policy

import "math"

// learnFromOutcome takes what an outcome says of the node's health.
func (s *Scheduler) learnFromOutcome(n *node, r *request, t *attempt, ev *Event) {
	bad := 0.0
	switch ev.Status {
	case OK:
		if n.silent && s.now-n.silentSince > restartSuspectMs ||
			ev.Latency > restartSuspectMs && s.now-n.lastHeardAt > restartSuspectMs {
			s.beginSlowStart(n, s.now)
		}
		n.silent = false
		n.lastHeardAt, n.backoff, n.lastAnswerTimely = s.now, 0, ev.Latency < nodeLatencyShare*s.minObjective
		if !t.lost { // it told of its own fate, not of the node's
			s.recordLatency(n, ev.Latency, r.units)
		}
		s.recordServed(n, r)
	case Errored:
		bad, n.lastHeardAt, n.silent = 1, s.now, false
	case NodeFull:
		n.lastHeardAt = s.now
		s.narrow(n)
		s.backOffNode(n)
		return
	case ConnectFailed:
		bad = 1
		s.backOffNode(n)
		if s.now-n.lastHeardAt > restartSuspectMs {
			s.beginSlowStart(n, s.now)
		}
	case TimedOut, ConnectionReset:
		bad = 1
		if t.lost {
			return
		}
		s.recordLatency(n, ev.Latency, r.units)
	default:
		return
	}
	n.failureRate += failureRateGain * (bad - n.failureRate)
}

// backOffNode rests a node that took no work, a little longer each time.
func (s *Scheduler) backOffNode(n *node) {
	n.backoff = math.Min(math.Max(2*n.backoff, minBackoffMs), maxBackoffMs)
	n.nextSendAt, n.window = s.now+n.backoff*(0.5+s.rng.Float64()), math.Min(minWindow, n.window)
}

// AvoidedNodes counts the listed nodes that the list gives as up and that this instance keeps work
// from for now: silent ones, and those resting after failures. It decides nothing.
func (s *Scheduler) AvoidedNodes() (n int) {
	for _, x := range s.listedNodes {
		if x.State == NodeUp && (x.silent || x.window < 1 && len(x.inFlight) == 0 && s.now < x.nextSendAt) {
			n++
		}
	}
	return n
}
