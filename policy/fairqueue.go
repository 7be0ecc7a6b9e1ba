package policy

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

const (
	minUnitsPerMs = 1e-6
	maxNextFreeMs = 1e6
)

// Bands order the requests of one class queue by what a unit still earns.
const (
	bandReserved  = iota // within the volume's reserved rate
	bandFairShare        // within its fair share of the rest
	bandBurst            // beyond that
	bandLate             // past its objective
)

// shardQueue holds the requests that wait for the nodes of one shard: one queue per class, served by
// weighted fair queueing.
type shardQueue struct {
	shard        int
	nodes        []*node
	byClass      [][]*request // by the class's index, in the order of before
	nextStart    []float64    // by class: virtual time at which its next turn starts
	virtualTime  float64
	waitingUnits float64
	busy         bool // is among the scheduler's busy queues

	lastReadAt      float64 // when a request last named this shard
	readingSince    float64 // the first such request after shardReadWindowMs without one
	answeredUnits   float64 // answered by its nodes, decaying over shardReadWindowMs
	answeredUnitsAt float64 // time of answeredUnits
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

// noteRead notes a request that names the shard.
func (q *shardQueue) noteRead(now float64) {
	if now-q.lastReadAt > shardReadWindowMs {
		q.readingSince = now
	}
	q.lastReadAt = now
}

// waitingCount is the number of requests that wait.
func (q *shardQueue) waitingCount() (count int) {
	for _, waiting := range q.byClass {
		count += len(waiting)
	}
	return count
}

// overloaded reports whether the schedulers ask too much of the shard's nodes: late work then waits.
func (q *shardQueue) overloaded() bool {
	for _, n := range q.nodes {
		if n.window.size >= initialWindow && !n.silent {
			return false
		}
	}
	return len(q.nodes) > 0
}

// markBusy puts a shard queue among the busy ones. Only these are visited in a step, as a list may
// have a thousand nodes of which a scheduler works with a few.
func (s *Scheduler) markBusy(q *shardQueue) {
	if !q.busy {
		q.busy = true
		s.busyQueues = slices.Insert(s.busyQueues, s.busyIndex(q.shard), q)
	}
}

func (s *Scheduler) busyIndex(shard int) int {
	return sort.Search(len(s.busyQueues), func(i int) bool { return s.busyQueues[i].shard >= shard })
}

// nextBusyQueue is the first busy shard queue at or after a shard; nil: there is none.
func (s *Scheduler) nextBusyQueue(shard int) *shardQueue {
	if i := s.busyIndex(shard); i < len(s.busyQueues) {
		return s.busyQueues[i]
	}
	return nil
}

// updateBusy updates whether requests of the queue wait or are in flight, and reports whether not.
func (q *shardQueue) updateBusy() (idle bool) {
	q.busy = q.waitingCount() > 0 || slices.ContainsFunc(q.nodes, func(n *node) bool { return len(n.inFlight) > 0 })
	return !q.busy
}

// before orders a class queue: by band, dearer plans, lower use, admission.
func before(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(b.volume.plan.Price, a.volume.plan.Price),
		cmp.Compare(a.usageLevel, b.usageLevel), cmp.Compare(a.sequence, b.sequence)) < 0
}

// enqueue puts a request into its class's queue. A late one keeps its late priority weight until its
// client disconnects.
func (s *Scheduler) enqueue(r *request) {
	q, i := r.queue, r.class.index
	if len(q.byClass[i]) == 0 {
		q.nextStart[i] = math.Max(q.nextStart[i], q.virtualTime)
	}
	if s.now > r.objectiveAt {
		r.band, r.objectiveAt = bandLate, r.deadline-deadlineMarginMs
	}
	at := sort.Search(len(q.byClass[i]), func(k int) bool { return before(r, q.byClass[i][k]) })
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

// sweep fills the windows and reviews what waits, at the shard queues that have work.
func (s *Scheduler) sweep() {
	for q := s.nextBusyQueue(math.MinInt); q != nil; q = s.nextBusyQueue(q.shard + 1) {
		s.checkInFlight(q)
		s.dispatch(q)
		s.shedLoad(q)
	}
	s.busyQueues = slices.DeleteFunc(s.busyQueues, (*shardQueue).updateBusy)
}

// dispatch sends while the windows have room: the class whose turn starts first in virtual time,
// charged by units. Late requests wait for those in time.
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

// nextToSend picks the next request that may be sent, and its node; nil: there is none.
func (s *Scheduler) nextToSend(q *shardQueue) (best *request, to *node) {
	for _, waiting := range q.byClass {
		for _, r := range waiting {
			if r.band == bandLate && q.overloaded() || best != nil && !q.hasEarlierTurn(r, best) {
				break
			}
			if !s.ready(r) {
				continue
			}
			if n := s.route(q, r); n != nil {
				best, to = r, n
				break
			}
		}
	}
	return best, to
}

// hasEarlierTurn reports whether a is sent before b: it is in time and b is late, or both are alike
// and the turn of its class starts earlier.
func (q *shardQueue) hasEarlierTurn(a, b *request) bool {
	aIsLate, bIsLate := a.band == bandLate, b.band == bandLate
	if aIsLate != bIsLate {
		return bIsLate
	}
	return q.nextStart[a.class.index] < q.nextStart[b.class.index]
}

// charge advances virtual time to the turn of a request, and its class's next turn past it.
func (q *shardQueue) charge(r *request) {
	i := r.class.index
	q.virtualTime = math.Max(q.virtualTime, q.nextStart[i])
	q.nextStart[i] = math.Max(q.nextStart[i], q.virtualTime) + r.units/r.class.weight
}

// serviceEstimate is how fast a shard queue's nodes take and answer requests.
type serviceEstimate struct {
	unitsPerMs float64
	latencyMs  float64 // of the slowest node
	nextFreeMs float64 // until the next place in a window is free
}

func (s *Scheduler) estimateService(q *shardQueue) serviceEstimate {
	e := serviceEstimate{nextFreeMs: math.Inf(1)}
	for _, n := range q.nodes {
		if !s.usable(n) {
			continue
		}
		latency := s.expectedLatency(n)
		e.unitsPerMs += n.window.size * s.settings.MeanUnits / latency
		e.latencyMs = math.Max(e.latencyMs, latency)
		if n.window.isFractional() && len(n.inFlight) == 0 {
			e.nextFreeMs = math.Min(e.nextFreeMs, math.Max(0, n.nextSendAt-s.now))
		} else {
			e.nextFreeMs = math.Min(e.nextFreeMs, latency/n.window.size)
		}
	}
	e.unitsPerMs, e.nextFreeMs = math.Max(e.unitsPerMs, minUnitsPerMs), math.Min(e.nextFreeMs, maxNextFreeMs)
	return e
}
