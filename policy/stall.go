package policy

import "math"

const (
	maxTimerLagMs          = 100.0  // a timer lag of the heartbeat above this is a stall of this scheduler
	minSilenceMs           = 1200.0 // minimum time without an answer until a node with work in flight is silent
	silenceLatencyMultiple = 6.0    // minimum of the same time as a multiple of the node's expected latency
	minNodeStallMs         = 300.0  // a node without an answer for this time is stalled, and no slope is refitted in that interval
	minOvertakingAnswers   = 3.0    // answers to later attempts, after which an attempt may be lost
	lostLatencyMultiple    = 4.0    // minimum age of a lost attempt as a multiple of the expected latency
	minLostAgeMs           = 50.0   // minimum age of a lost attempt
	stuckLatencyMultiple   = 2.0    // an attempt past its objective is stuck at this multiple of the pool's latency
)

// stallDetector detects stalls of this scheduler by the timer lag of its heartbeat.
type stallDetector struct {
	heartbeatDueAt float64
	resumed        bool    // this step is the first one after a stall
	lastEndAt      float64 // end of the last stall
}

// detectStall detects a stall of this scheduler by the lag of the heartbeat timer. The events of this
// step have waited during the stall. So their latencies are not sampled, the silence of nodes counts
// from now, and the age of an arriving request is estimated from the time until its deadline. The same
// handling covers a jump of the clock.
// Trade-off: samples are lost if the driver calls Step late.
func (s *Scheduler) detectStall(events []Event) {
	lag := s.now - s.stall.heartbeatDueAt
	s.stall.resumed = timerFired(events, heartbeatTimer) && lag > maxTimerLagMs
	if s.stall.resumed {
		s.logf("scheduler was stalled for %.0f ms", lag)
		s.stall.lastEndAt = s.now
	}
}

// checkInFlight handles lost attempts, stuck attempts and silent nodes of a shard.
func (s *Scheduler) checkInFlight(q *shardQueue) {
	for _, n := range q.nodes {
		s.writeOffOvertaken(n)
		if len(n.inFlight) == 0 {
			continue
		}
		s.cancelStuck(n)
		s.detectSilence(n)
	}
}

// writeOffOvertaken writes off the attempts at a node for which a message was probably lost or a worker
// of the node is stuck: several later attempts were answered first. The window has capacity for another
// request again, their latency is not sampled, and they are hedged if their class allows it. A large
// request at a node that answers out of order may also be overtaken, so an attempt must have a minimum
// age as well.
func (s *Scheduler) writeOffOvertaken(n *node) {
	for len(n.inFlight) > 0 {
		r := n.inFlight[0]
		age := s.now - r.lastSentAt()
		expected := s.expectedLatency(n) * math.Max(1, r.units/s.settings.MeanUnits)
		if n.overtakingAnswers(r) < minOvertakingAnswers || age < math.Max(minLostAgeMs, lostLatencyMultiple*expected) {
			return
		}
		s.writeOffOldest(n)
	}
}

// cancelStuck cancels the attempts at a node that are past their objective and have been in flight for
// much longer than the usual latency.
func (s *Scheduler) cancelStuck(n *node) {
	if !s.settings.MayCancel {
		return
	}
	for _, r := range n.inFlight {
		age := s.now - r.lastSentAt()
		isStuck := s.now >= r.objectiveAt && age > stuckLatencyMultiple*s.poolLatency.ms && !r.attemptCancelled
		if !isStuck || r.done || r.streaming {
			continue
		}
		r.attemptCancelled, r.beforeCancel = true, s.snapshotLatency(n)
		s.recordLatency(n, age, r.units)
		s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1, OnlyIfSilent: true})
	}
}

// detectSilence detects that a node with work in flight is stalled or silent. It writes off all attempts
// at a silent node. Otherwise they would block the one request that a silent node may have until their
// clients disconnect.
func (s *Scheduler) detectSilence(n *node) {
	silenceMs := s.now - max(n.lastReceivedAt, n.inFlight[0].lastSentAt(), s.stall.lastEndAt)
	s.nodeStalled = s.nodeStalled || silenceMs > minNodeStallMs
	if silenceMs <= math.Max(minSilenceMs, silenceLatencyMultiple*s.expectedLatency(n)) {
		return
	}
	if !n.silent {
		s.logf("node %s silent for %.0f ms: one request at a time", n.ID, silenceMs)
		n.silentSince = s.now - silenceMs
	}
	n.silent = true
	n.window.lowerToMin()
	for len(n.inFlight) > 0 {
		s.writeOffOldest(n)
	}
}

// writeOffOldest writes off the oldest attempt in flight at a node. Where hedging is allowed it queues
// the request for another attempt, and the first answer of either attempt serves the request. This helps
// if a connection no longer delivers data, because its timeout is longer than any objective. The hedge
// is restricted as if the first attempt had run.
// Trade-off: a large request may run twice.
func (s *Scheduler) writeOffOldest(n *node) {
	r := n.inFlight[0]
	n.inFlight, n.inFlightUnits, r.attemptWrittenOff = n.inFlight[1:], n.inFlightUnits-r.units, true
	r.attempts[len(r.attempts)-1].writtenOff = true
	if r.done || r.streaming {
		return
	}
	if s.settings.MayHedge && !r.attemptCancelled && !r.queued {
		if r.mayHaveRunOn == nil {
			r.mayHaveRunOn, r.mayHaveRunSince = n, r.lastSentAt()
		}
		if s.mayRetry(r) {
			s.enqueue(r)
			return
		}
	}
	if r.class.Effect == Idempotent && s.settings.MayCancel {
		s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1, OnlyIfSilent: true})
	}
}

// overtakingAnswers returns the number of answers to attempts that were sent after the last attempt of
// the request. It assumes that all earlier attempts have been answered first.
func (n *node) overtakingAnswers(r *request) float64 {
	return n.answersReceived - r.nodeAnswersAtSend - r.nodeInFlightAtSend
}
