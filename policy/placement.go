package policy

import "math"

const (
	staleNodeLatencyShare = 0.3  // of the objective: latency limit at a node unheard of for long
	staleLatencyMs        = 10e3 // a node unheard of for this long counts as such
	maxClassFactor        = 2.0  // a class's weight changes its latency limits by this factor at most
	highFailureRate       = 0.15 // new objects avoid nodes past this failure rate
	unplacedShard         = -1   // queue of the new objects that found no node
)

// bandLatencyLimit is the latency of a node, in tightest objectives, above which a band leaves the
// node to the reserved work of all schedulers.
// Trade-off: one slow answer sends work away until the estimate decays.
var bandLatencyLimit = [...]float64{bandReserved: 1e9, bandFairShare: 0.65, bandBurst: 0.35, bandLate: 0.3}

// route picks the shard queue's node that may take the request now: of those allowed, the one with
// the least units in flight.
func (s *Scheduler) route(q *shardQueue, r *request) *node {
	var best *node
	for _, n := range q.nodes {
		if !s.usable(n) {
			continue
		}
		if !n.hasCapacity(s.now, r.band) {
			n.window.filled = true
			continue
		}
		if !r.mayRunOn(n) || s.isTooSlowFor(r, n) {
			continue
		}
		if s.slowStartAllows(n, r.units) && (best == nil || n.inFlightUnits < best.inFlightUnits) {
			best = n
		}
	}
	return best
}

// mayRunOn reports whether a node discards repeats of an attempt of the request that may have run.
func (r *request) mayRunOn(n *node) bool {
	ran := r.mayHaveRunOn
	if ran == nil || r.class.Effect != IdempotentByKey {
		return true
	}
	switch r.class.DedupScope {
	case DedupZone:
		return ran.Zone == n.Zone
	case DedupShard:
		return ran.Shard == n.Shard
	default:
		return true
	}
}

// isTooSlowFor reports whether a node's expected latency is past the request's limit, or leaves no
// chance to meet the objective.
func (s *Scheduler) isTooSlowFor(r *request, n *node) bool {
	latency := s.expectedLatency(n)
	return s.now+minLatencyShareLeft*latency > r.objectiveAt || latency > s.latencyLimit(r, n.latency.learnedAt)
}

// latencyLimit is the latency at which a request leaves a node to others: that of its band, scaled by
// its class's weight and priority weight, as short queues order nothing between schedulers. Of a
// node unheard of for long only the pool's latency is known, and what a surge adds shows when its
// queue is long already, so the limit there is lower.
// Trade-off: a fleet at its capacity rejects slightly more.
func (s *Scheduler) latencyLimit(r *request, learnedAt float64) float64 {
	priority := math.Sqrt(r.class.PriorityWeight / math.Max(s.meanPriorityWeight, minPriorityWeight))
	factor := r.class.weight * float64(len(s.classes)) * priority
	factor = math.Min(math.Max(factor, 1/maxClassFactor), maxClassFactor)
	limit := bandLatencyLimit[r.band] * s.minObjective * factor
	if r.band == bandReserved {
		return limit
	}
	staleness := 1 - math.Exp((learnedAt-s.now)/staleLatencyMs)
	return limit + math.Min(0, staleNodeLatencyShare*r.class.LatencyObjective-limit)*staleness
}

// placeNewObject picks the shard queue for a new object by chance. The odds fall with the third power
// of the expected wait, and away from silent, failing and too cold nodes. The shortest wait alone
// would bring all schedulers that know little to one node.
// Trade-off: a lone scheduler meets a longer queue.
func (s *Scheduler) placeNewObject(r *request) *shardQueue {
	odds, sum := make([]float64, len(s.shardQueues)), 0.0
	for i, q := range s.shardQueues {
		for _, n := range q.nodes {
			if n.State != NodeUp {
				continue
			}
			wait := s.placementWait(q, n, r)
			odds[i] += 1 / (wait * wait * wait)
		}
		sum += odds[i]
	}
	at := s.rng.Float64() * sum
	for i, o := range odds {
		if at -= o; at < 0 && o > 0 {
			return s.shardQueues[i]
		}
	}
	return s.shardQueue(unplacedShard)
}

// placementWait is the expected wait of a new object at a node, plus its deadline at a node to avoid.
func (s *Scheduler) placementWait(q *shardQueue, n *node, r *request) float64 {
	units := n.inFlightUnits + q.waitingUnits + r.units
	wait := units / (n.window.size * s.settings.MeanUnits) * s.expectedLatency(n)
	if n.silent || n.failureRate > highFailureRate || s.now < n.nextSendAt || !s.slowStartAllows(n, r.units) {
		wait += r.class.Deadline
	}
	return wait
}

// placeWaitingObjects tries again to place the new objects that found no node, class by class.
func (s *Scheduler) placeWaitingObjects() {
	q := s.queueByShard[unplacedShard]
	if q == nil {
		return
	}
	var unplaced []*request
	for _, waiting := range q.byClass {
		unplaced = append(unplaced, waiting...)
	}
	for _, r := range unplaced {
		s.dequeue(r)
		r.queue = s.placeNewObject(r)
		s.enqueue(r)
	}
}
