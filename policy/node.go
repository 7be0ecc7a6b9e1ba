package policy

import (
	"math"
	"slices"
)

// node is the state of one listed node at this scheduler.
type node struct {
	Node
	window          concurrencyWindow
	latency         latencyEstimator
	slowStart       nodeSlowStart
	inFlight        []*request // in order of sending
	inFlightUnits   float64
	nextSendAt      float64 // earliest time of the next send
	backoff         float64 // last backoff; 0: not backing off
	failureRate     float64 // share of attempts that fail, smoothed
	lastReceivedAt  float64 // time of the last answer or rejection
	silent          bool    // nothing was received for a long time although work was in flight
	silentSince     float64
	answersReceived float64 // since the node was first listed
	drainingSince   float64 // when the active subscription reported the node as draining; negative infinity: never
}

// newNode returns the initial state of a newly listed node.
func newNode(entry Node, now float64) *node {
	return &node{
		Node:           entry,
		window:         concurrencyWindow{size: initialWindow},
		latency:        latencyEstimator{learnedAt: math.Inf(-1)},
		slowStart:      nodeSlowStart{startedAt: math.Inf(-1)},
		lastReceivedAt: now,
		drainingSince:  math.Inf(-1),
	}
}

// removeInFlight counts a request as no longer in flight at the node.
func (n *node) removeInFlight(r *request) {
	if at := slices.Index(n.inFlight, r); at >= 0 {
		n.inFlight = slices.Delete(n.inFlight, at, at+1)
		n.inFlightUnits -= r.units
	}
}

// addInFlight counts a request as in flight at the node.
func (s *Scheduler) addInFlight(r *request, n *node) {
	if s.inSlowStart(n) && !s.mayFollowAnswer(n) {
		s.slowStart.spend(r.units)
	}
	n.slowStart.slotStartAt, n.slowStart.slotFactor, n.slowStart.answeredInTime = s.now, 0.5+s.rng.Float64(), false
	r.attempts = append(r.attempts, attempt{node: n, sentAt: s.now, open: true})
	r.openAttempts++
	r.attemptCancelled, r.attemptWrittenOff = false, false
	r.nodeAnswersAtSend, r.nodeInFlightAtSend = n.answersReceived, float64(len(n.inFlight))
	n.inFlight = append(n.inFlight, r)
	n.window.peakInFlight = max(n.window.peakInFlight, len(n.inFlight))
	n.inFlightUnits += r.units
	n.slowStart.recentSent = append(n.slowStart.recentSent, timedUnits{s.now, r.units})
	if !s.inSlowStart(n) {
		n.slowStart.recentSent = n.slowStart.recentSent[:0]
	}
}
