package policy

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

const (
	minUnitsPerMs = 1e-6 // keeps the estimated wait finite if no node is usable
	maxNextFreeMs = 1e6  // the same for the time until a window has capacity
)

// Priority bands of the requests in one class queue, the highest priority first.
const (
	bandReserved  = iota // within the volume's reserved rate
	bandFairShare        // within the volume's fair share of the remaining capacity
	bandBurst            // beyond the fair share
	bandLate             // past the request's objective
)

// shardQueue holds the requests that wait for the nodes of one shard: one queue per class, served by
// weighted fair queueing.
type shardQueue struct {
	shard        int
	nodes        []*node
	byClass      [][]*request // by class index; each class queue is sorted by precedes
	nextStart    []float64    // by class index: virtual start time of the next request of the class
	virtualTime  float64
	waitingUnits float64
	busy         bool // listed in the scheduler's busyQueues

	lastReadAt             float64 // when a request last named this shard
	readsStartedAt         float64 // the first such request after shardReadWindowMs without one
	answeredUnits          float64 // answered by its nodes, decaying over shardReadWindowMs
	answeredUnitsUpdatedAt float64 // time of answeredUnits
}

func (s *Scheduler) shardQueue(shard int) *shardQueue {
	q := s.queueByShard[shard]
	if q == nil {
		q = &shardQueue{shard: shard, lastReadAt: math.Inf(-1),
			byClass: make([][]*request, len(s.classes)), nextStart: make([]float64, len(s.classes))}
		s.queueByShard[shard] = q
		at := sort.Search(len(s.shardQueues), func(i int) bool { return s.shardQueues[i].shard > shard })
		s.shardQueues = slices.Insert(s.shardQueues, at, q)
	}
	return q
}

// recordRead records the arrival of a request that names the shard.
func (q *shardQueue) recordRead(now float64) {
	if now-q.lastReadAt > shardReadWindowMs {
		q.readsStartedAt = now
	}
	q.lastReadAt = now
}

// waitingCount returns the number of waiting requests.
func (q *shardQueue) waitingCount() (count int) {
	for _, waiting := range q.byClass {
		count += len(waiting)
	}
	return count
}

// isOverloaded reports whether each node of the shard is silent or has a window below its initial size.
// This means that the schedulers send more than the nodes can serve. In this case late requests are not
// sent, and shedLoad rejects them.
func (q *shardQueue) isOverloaded() bool {
	for _, n := range q.nodes {
		if n.window.size >= initialWindow && !n.silent {
			return false
		}
	}
	return len(q.nodes) > 0
}

// markBusy adds a shard queue to busyQueues. A step visits only these queues, because a list may have
// a thousand nodes while a scheduler sends requests to only a few of them.
func (s *Scheduler) markBusy(q *shardQueue) {
	if !q.busy {
		q.busy = true
		s.busyQueues = slices.Insert(s.busyQueues, s.busyIndex(q.shard), q)
	}
}

func (s *Scheduler) busyIndex(shard int) int {
	return sort.Search(len(s.busyQueues), func(i int) bool { return s.busyQueues[i].shard >= shard })
}

// nextBusyQueue returns the first busy shard queue at or after a shard, or nil.
func (s *Scheduler) nextBusyQueue(shard int) *shardQueue {
	if i := s.busyIndex(shard); i < len(s.busyQueues) {
		return s.busyQueues[i]
	}
	return nil
}

// updateBusy sets busy to whether requests of the queue wait or are in flight, and returns the opposite.
func (q *shardQueue) updateBusy() (idle bool) {
	q.busy = q.waitingCount() > 0 || slices.ContainsFunc(q.nodes, func(n *node) bool { return len(n.inFlight) > 0 })
	return !q.busy
}

// precedes defines the order of a class queue: by band, higher price of the plan, lower usage of the
// volume, and order of admission.
func precedes(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(b.volume.plan.Price, a.volume.plan.Price),
		cmp.Compare(a.usageRank, b.usageRank), cmp.Compare(a.sequence, b.sequence)) < 0
}

// enqueue inserts a request into the queue of its class. A request past its objective moves to the
// late band, with its deadline as the new objective, because it has its late priority weight until its
// client disconnects.
func (s *Scheduler) enqueue(r *request) {
	q, i := r.queue, r.class.index
	if len(q.byClass[i]) == 0 {
		q.nextStart[i] = math.Max(q.nextStart[i], q.virtualTime)
	}
	if s.now > r.objectiveAt {
		r.band, r.objectiveAt = bandLate, r.deadline-deadlineMarginMs
	}
	at := sort.Search(len(q.byClass[i]), func(k int) bool { return precedes(r, q.byClass[i][k]) })
	q.byClass[i] = slices.Insert(q.byClass[i], at, r)
	q.waitingUnits += r.units
	r.queued = true
	s.waitingCount++
	s.markBusy(q)
}

func (s *Scheduler) dequeue(r *request) {
	q, i := r.queue, r.class.index
	at := slices.Index(q.byClass[i], r)
	q.byClass[i] = slices.Delete(q.byClass[i], at, at+1)
	q.waitingUnits -= r.units
	r.queued = false
	s.waitingCount--
}

// sweep visits the busy shard queues. It checks the attempts in flight, sends requests, and rejects
// those that would wait in vain.
func (s *Scheduler) sweep() {
	for q := s.nextBusyQueue(math.MinInt); q != nil; q = s.nextBusyQueue(q.shard + 1) {
		s.checkInFlight(q)
		s.dispatch(q)
		s.shedLoad(q)
	}
	s.busyQueues = slices.DeleteFunc(s.busyQueues, (*shardQueue).updateBusy)
}

// dispatch sends requests while the windows have capacity. The class with the lowest virtual start time
// is next and is charged by units. Late requests come after those that are in time.
func (s *Scheduler) dispatch(q *shardQueue) {
	for q.waitingUnits > 0 {
		r, n := s.nextToSend(q)
		if r == nil {
			return
		}
		q.charge(r)
		s.dequeue(r)
		s.send(r, n)
	}
}

// nextToSend selects the next request that may be sent and its node. It returns nil if there is none.
func (s *Scheduler) nextToSend(q *shardQueue) (best *request, target *node) {
	for _, waiting := range q.byClass {
		for _, r := range waiting {
			if r.band == bandLate && q.isOverloaded() || best != nil && !q.hasEarlierTurn(r, best) {
				break
			}
			if !s.isReady(r) {
				continue
			}
			if n := s.route(q, r); n != nil {
				best, target = r, n
				break
			}
		}
	}
	return best, target
}

// hasEarlierTurn reports whether a is sent before b. A request in time comes before a late one.
// Otherwise the class with the lower virtual start time comes first.
func (q *shardQueue) hasEarlierTurn(a, b *request) bool {
	aIsLate, bIsLate := a.band == bandLate, b.band == bandLate
	if aIsLate != bIsLate {
		return bIsLate
	}
	return q.nextStart[a.class.index] < q.nextStart[b.class.index]
}

// charge advances the virtual time to the start time of a request, and the next start time of its class
// by the request's units divided by the class weight.
func (q *shardQueue) charge(r *request) {
	i := r.class.index
	q.virtualTime = math.Max(q.virtualTime, q.nextStart[i])
	q.nextStart[i] = math.Max(q.nextStart[i], q.virtualTime) + r.units/r.class.weight
}

// serviceEstimate tells how fast the nodes of a shard accept and answer requests.
type serviceEstimate struct {
	unitsPerMs   float64
	maxLatencyMs float64 // expected latency of the slowest node
	nextFreeMs   float64 // time until a window has capacity for another request
}

func (s *Scheduler) estimateService(q *shardQueue) serviceEstimate {
	estimate := serviceEstimate{nextFreeMs: math.Inf(1)}
	for _, n := range q.nodes {
		if !s.isUsable(n) {
			continue
		}
		latency := s.expectedLatency(n)
		estimate.unitsPerMs += n.window.size * s.settings.MeanUnits / latency
		estimate.maxLatencyMs = math.Max(estimate.maxLatencyMs, latency)
		if n.window.isFractional() && len(n.inFlight) == 0 {
			estimate.nextFreeMs = math.Min(estimate.nextFreeMs, math.Max(0, n.nextSendAt-s.now))
		} else {
			estimate.nextFreeMs = math.Min(estimate.nextFreeMs, latency/n.window.size)
		}
	}
	estimate.unitsPerMs, estimate.nextFreeMs = math.Max(estimate.unitsPerMs, minUnitsPerMs), math.Min(estimate.nextFreeMs, maxNextFreeMs)
	return estimate
}
