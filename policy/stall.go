package policy

import "math"

const (
	maxTimerLagMs          = 100.0  // a heartbeat that is later than this shows a stall of this scheduler
	minSilenceMs           = 1200.0 // a node with work in flight is silent after this time without an answer
	silenceLatencyMultiple = 6.0    // or after this multiple of its expected latency, if longer
	minNodeStallMs         = 300.0  // a node this quiet is stalled: no slope is refitted across it
	minOvertakingAnswers   = 3.0    // answers to later attempts after which an attempt may be lost
	lostLatencyMultiple    = 4.0    // and it is in flight for this multiple of the expected latency
	minLostAgeMs           = 50.0   // and for at least this long
	stuckLatencyMultiple   = 2.0    // an attempt past its objective is stuck after this multiple of the pool's latency
)

// stallDetector notices, by late heartbeats, that this scheduler itself was stalled.
type stallDetector struct {
	heartbeatDueAt float64
	resumed        bool // this step is the first one after a stall
	lastEndAt      float64
}

// detectStall notices a stall of this scheduler by a timer far past due. What arrives in this step
// waited here: its times are no samples, silence counts from now, and the age of a request follows
// from the time it has left. This covers a clock that jumps.
// Trade-off: a driver that calls late costs samples.
func (s *Scheduler) detectStall(events []Event) {
	lag := s.now - s.stall.heartbeatDueAt
	s.stall.resumed = timerFired(events, heartbeatTimer) && lag > maxTimerLagMs
	if s.stall.resumed {
		s.logf("scheduler was stalled for %.0f ms", lag)
		s.stall.lastEndAt = s.now
	}
}

// checkInFlight looks for lost, stuck and silent attempts at the nodes of a shard.
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

// writeOffOvertaken writes off attempts that many later ones overtook, as a message was dropped or
// a worker is stuck. Their place in the window is free again, they tell nothing of the node's
// latency, and they are hedged where their class allows it. Large work at a node that answers out
// of order looks alike, so an attempt must be old as well.
func (s *Scheduler) writeOffOvertaken(n *node) {
	for len(n.inFlight) > 0 {
		r := n.inFlight[0]
		age := s.now - r.lastSentAt()
		expected := s.expectedLatency(n) * math.Max(1, r.units/s.settings.MeanUnits)
		if n.overtakenBy(r) < minOvertakingAnswers || age < math.Max(minLostAgeMs, lostLatencyMultiple*expected) {
			return
		}
		s.writeOffOldest(n)
	}
}

// cancelStuck cancels attempts past their objective that are in flight for longer than is usual.
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
		r.attemptCancelled = true
		s.recordLatency(n, age, r.units)
		s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1})
	}
}

// detectSilence notices that a node with work in flight is stalled or silent. All attempts at a
// silent node are written off: they would hold its only place until their clients disconnect.
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

// writeOffOldest writes off the oldest attempt in flight at a node. Where hedging is allowed another
// attempt goes out beside it, and either answer serves: a connection may have fallen silent, and
// its time-out is past any objective. The hedge is restricted as if the first attempt had run.
// Trade-off: large work may run twice.
func (s *Scheduler) writeOffOldest(n *node) {
	r := n.inFlight[0]
	n.inFlight, n.inFlightUnits, r.attemptLost = n.inFlight[1:], n.inFlightUnits-r.units, true
	r.attempts[len(r.attempts)-1].lost = true
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
		s.emit(Action{Kind: Cancel, ID: r.id, Attempt: len(r.attempts) - 1})
	}
}

// overtakenBy counts the answers to attempts sent after this one.
func (n *node) overtakenBy(r *request) float64 {
	return n.answerCount - r.nodeAnswersAtSend - r.inFlightAtSend
}
