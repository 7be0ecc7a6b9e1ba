package policy

import "math"

// placeNewObject picks the shard queue for a new object by chance, the odds falling with the third power
// of the expected wait, off silent, failing and too cold nodes: the least wait alone
// brings all hosts that know little to one node. Harm: a lone host meets a longer line.
func (s *Scheduler) placeNewObject(r *request) *shardQueue {
	odds, sum := make([]float64, len(s.shardQueues)), 0.0
	for i, l := range s.shardQueues {
		for _, n := range l.nodes {
			if n.State != NodeUp {
				continue
			}
			wait := (n.inFlightUnits + l.waitingUnits + r.units) / (n.window * s.settings.MeanUnits) * s.expectedLatency(n)
			if n.silent || n.failureRate > highFailureRate || s.now < n.nextSendAt || !s.slowStartAllows(n, r.units) {
				wait += r.class.Deadline
			}
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
	return s.shardQueue(-1)
}

// unplacedRequests lists the new objects that found no node, class by class.
func (s *Scheduler) unplacedRequests() (rs []*request) {
	if l := s.queueByShard[-1]; l != nil {
		for _, q := range l.byClass {
			rs = append(rs, q...)
		}
	}
	return rs
}

// route picks the shard queue's node that may take the request now.
func (s *Scheduler) route(l *shardQueue, r *request) *node {
	var best *node
	for _, n := range l.nodes {
		if !s.usable(n) {
			continue
		}
		if !n.hasCapacity(s.now, r.band) {
			n.windowFilled = true
			continue
		}
		if k := r.mayHaveRunOn; k != nil && r.class.Effect == IdempotentByKey {
			group := r.class.DedupScope
			if group == DedupZone && k.Zone != n.Zone || group == DedupShard && k.Shard != n.Shard {
				continue
			}
		}
		if s.now+minLatencyShareLeft*s.expectedLatency(n) > r.objectiveAt || s.expectedLatency(n) > s.latencyLimit(r, n.latencyLearnedAt) {
			continue
		}
		if s.slowStartAllows(n, r.units) && (best == nil || n.inFlightUnits < best.inFlightUnits) {
			best = n
		}
	}
	return best
}

// latencyLimit is the latency at which a request leaves a node to others: its band's, in step
// with its class's weight and worth, as short queues order nothing between hosts. Of a node
// unheard of for long only the pool's is known: what a surge adds shows when its queue is long.
// So the room there is the smaller. Harm: a fleet at its capacity refuses a little more.
func (s *Scheduler) latencyLimit(r *request, heard float64) float64 {
	step := r.class.weight * float64(len(s.classes)) * math.Sqrt(r.class.PriorityWeight/math.Max(s.meanPriorityWeight, 1e-9))
	step = math.Min(math.Max(step, 1/maxClassFactor), maxClassFactor)
	room := bandLatencyLimit[r.band] * s.minObjective * step
	if r.band == bandReserved {
		return room
	}
	return room + math.Min(0, staleNodeLatencyShare*r.class.LatencyObjective-room)*(1-math.Exp((heard-s.now)/staleLatencyMs))
}
