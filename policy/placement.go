package policy

import "math"

const (
	staleNodeLatencyShare = 0.3  // latency limit at a node without a recent latency sample, as a share of the objective
	latencyStalenessMs    = 10e3 // time constant with which a latency sample becomes stale
	maxClassFactor        = 2.0  // the class changes a latency limit by this factor at most
	highFailureRate       = 0.15 // new objects avoid nodes above this failure rate
	unplacedShard         = -1   // queue of the new objects that no node can take yet
)

// bandLatencyLimitObjectives is the latency limit of a node by band, as a multiple of the tightest
// latency objective. Above the limit the requests of the band are not sent to the node, so that it can
// serve the reserved requests of all schedulers.
// Trade-off: after one slow answer a node gets no such requests until its latency estimate decays.
var bandLatencyLimitObjectives = [...]float64{bandReserved: 1e9, bandFairShare: 0.65, bandBurst: 0.35, bandLate: 0.3}

// route selects the node of the shard queue that the request is sent to. Of the nodes that may get the
// request now it takes the one with the fewest units in flight. It returns nil if there is none.
func (s *Scheduler) route(q *shardQueue, r *request) *node {
	var best *node
	for _, n := range q.nodes {
		if !s.isUsable(n) {
			continue
		}
		if !n.hasCapacity(s.now, r.band) {
			n.window.wasFull = true
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

// mayRunOn reports whether the deduplication scope allows an attempt at a node. A node outside the scope
// would not discard the repeat of an attempt that may have run.
func (r *request) mayRunOn(n *node) bool {
	ranOn := r.mayHaveRunOn
	if ranOn == nil || r.class.Effect != IdempotentByKey {
		return true
	}
	switch r.class.DedupScope {
	case DedupZone:
		return ranOn.Zone == n.Zone
	case DedupShard:
		return ranOn.Shard == n.Shard
	default:
		return true
	}
}

// isTooSlowFor reports whether the expected latency of a node exceeds the request's limit, or is too
// long to meet the objective.
func (s *Scheduler) isTooSlowFor(r *request, n *node) bool {
	latency := s.expectedLatency(n)
	return s.now+minLatencyShareLeft*latency > r.objectiveAt || latency > s.latencyLimit(r, n.latency.learnedAt)
}

// latencyLimit returns the node latency above which a request is not sent to the node. It is the limit
// of the request's band, scaled by the weight and the priority weight of its class. The scaling gives
// priority between schedulers, because the short queues of one scheduler do not order the requests of
// the others. The limit is lower at a node without a recent latency sample. Only the pool's latency is
// known for such a node, and a surge would show only after the node's queue has become long.
// Trade-off: a fleet at its capacity rejects slightly more requests.
func (s *Scheduler) latencyLimit(r *request, learnedAt float64) float64 {
	priority := math.Sqrt(r.class.PriorityWeight / math.Max(s.meanPriorityWeight, minPriorityWeight))
	factor := r.class.weight * float64(len(s.classes)) * priority
	factor = math.Min(math.Max(factor, 1/maxClassFactor), maxClassFactor)
	limit := bandLatencyLimitObjectives[r.band] * s.minObjective * factor
	if r.band == bandReserved {
		return limit
	}
	staleness := 1 - math.Exp((learnedAt-s.now)/latencyStalenessMs)
	return limit + math.Min(0, staleNodeLatencyShare*r.class.LatencyObjective-limit)*staleness
}

// placeNewObject selects the shard queue for a new object at random. The probability of a node is
// proportional to the inverse cube of its expected wait. It is very low for nodes that are silent, fail
// often, are backing off or are limited by slow start. If schedulers with little information all chose
// the shortest wait, they would choose the same node.
// Trade-off: a single scheduler does not always use the shortest queue.
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

// placementWait returns the expected wait of a new object at a node. A node that should be avoided gets
// the deadline of the class as a penalty.
func (s *Scheduler) placementWait(q *shardQueue, n *node, r *request) float64 {
	units := n.inFlightUnits + q.waitingUnits + r.units
	wait := units / (n.window.size * s.settings.MeanUnits) * s.expectedLatency(n)
	if n.silent || n.failureRate > highFailureRate || s.now < n.nextSendAt || !s.slowStartAllows(n, r.units) {
		wait += r.class.Deadline
	}
	return wait
}

// placeWaitingObjects places the new objects that no node could take before, class by class.
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
