package policy

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// shardQueue is the line before the node (or nodes) that hold one shard.
type shardQueue struct {
	shard           int
	nodes           []*node
	byClass         [][]*request // by class, in the order of worth
	nextStart       []float64    // by class: virtual time its next turn starts at
	virtualTime     float64
	waitingUnits    float64 // waiting
	lastReadAt      float64 // when a request last named this shard
	readingSince    float64 // ... and the first one, since none had for shardReadWindowMs
	answeredUnits   float64 // units that its nodes answered, fading over shardReadWindowMs
	answeredUnitsAt float64 // when served was last brought up to date
	busy            bool    // is among the busy ones
}

func (s *Scheduler) shardQueue(shard int) *shardQueue {
	l := s.queueByShard[shard]
	if l == nil {
		l = &shardQueue{shard: shard, lastReadAt: math.Inf(-1), byClass: make([][]*request, len(s.classes)), nextStart: make([]float64, len(s.classes))}
		s.queueByShard[shard] = l
		at := sort.Search(len(s.shardQueues), func(i int) bool { return s.shardQueues[i].shard > shard })
		s.shardQueues = slices.Insert(s.shardQueues, at, l)
	}
	return l
}

// markBusy puts a shard queue among the busy ones: only these are looked at in a step, as a list may hold
// a thousand nodes of which a host works with a few.
func (s *Scheduler) markBusy(l *shardQueue) {
	if !l.busy {
		l.busy = true
		s.busyQueues = slices.Insert(s.busyQueues, s.busyIndex(l.shard), l)
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

// updateBusy says that a busy shard queue has neither requests that wait nor any out, and is no longer busy.
func (l *shardQueue) updateBusy() bool {
	l.busy = slices.ContainsFunc(l.byClass, func(q []*request) bool { return len(q) > 0 }) ||
		slices.ContainsFunc(l.nodes, func(n *node) bool { return len(n.inFlight) > 0 })
	return !l.busy
}

func (s *Scheduler) dequeue(r *request) {
	l, i := r.queue, r.class.index
	at := slices.Index(l.byClass[i], r)
	l.byClass[i] = slices.Delete(l.byClass[i], at, at+1)
	l.waitingUnits -= r.units
	r.queued = false
	s.waitingCount--
}

// before orders a class queue: by band, dearer plans, first tries, least use, arrival.
func before(a, b *request) bool {
	return cmp.Or(cmp.Compare(a.band, b.band), cmp.Compare(b.volume.plan.Price, a.volume.plan.Price),
		cmp.Compare(a.usageLevel, b.usageLevel), cmp.Compare(a.sequence, b.sequence)) < 0
}

func (s *Scheduler) enqueue(r *request) {
	l, i := r.queue, r.class.index
	if len(l.byClass[i]) == 0 {
		l.nextStart[i] = math.Max(l.nextStart[i], l.virtualTime)
	}
	if s.now > r.objectiveAt { // late worth lasts to the client's end
		r.band, r.objectiveAt = bandLate, r.deadline-deadlineMarginMs
	}
	at := sort.Search(len(l.byClass[i]), func(k int) bool { return before(r, l.byClass[i][k]) })
	l.byClass[i] = slices.Insert(l.byClass[i], at, r)
	l.waitingUnits += r.units
	r.queued = true
	s.waitingCount++
	s.markBusy(l)
}

// dispatch sends while the window has room: the class whose turn starts first in virtual
// time, charged by units. Exception: late requests wait for those in time.
func (s *Scheduler) dispatch(l *shardQueue) {
	for l.waitingUnits > 0 {
		var best *request
		var to *node
		for i, q := range l.byClass {
			for _, r := range q {
				late := r.band == bandLate
				if late && l.overloaded() || best != nil && (late && best.band != bandLate ||
					late == (best.band == bandLate) && l.nextStart[i] >= l.nextStart[best.class.index]) {
					break
				}
				if !s.ready(r) {
					continue
				}
				if n := s.route(l, r); n != nil {
					best, to = r, n
					break
				}
			}
		}
		if best == nil {
			return
		}
		i := best.class.index
		l.virtualTime = math.Max(l.virtualTime, l.nextStart[i])
		l.nextStart[i] = math.Max(l.nextStart[i], l.virtualTime) + best.units/best.class.weight
		s.dequeue(best)
		s.send(best, to)
	}
}

// sweep fills the windows and reviews what waits, at the shard queues that have work.
func (s *Scheduler) sweep() {
	for l := s.nextBusyQueue(math.MinInt); l != nil; l = s.nextBusyQueue(l.shard + 1) {
		s.checkInFlight(l)
		s.dispatch(l)
		s.shedLoad(l)
	}
	s.busyQueues = slices.DeleteFunc(s.busyQueues, (*shardQueue).updateBusy)
}

// overloaded says that the hosts ask too much of the shard queue's nodes: late work keeps off.
func (l *shardQueue) overloaded() bool {
	for _, n := range l.nodes {
		if n.window >= initialWindow && !n.silent {
			return false
		}
	}
	return len(l.nodes) > 0
}

// serviceRate is the shard queue's units per millisecond, usual latency, and time to the next free place.
func (s *Scheduler) serviceRate(l *shardQueue) (rate, usual, next float64) {
	next = math.Inf(1)
	for _, n := range l.nodes {
		if !s.usable(n) {
			continue
		}
		rate += n.window * s.settings.MeanUnits / s.expectedLatency(n)
		usual = math.Max(usual, s.expectedLatency(n))
		if n.window < 1 && len(n.inFlight) == 0 {
			next = math.Min(next, math.Max(0, n.nextSendAt-s.now))
		} else {
			next = math.Min(next, s.expectedLatency(n)/n.window)
		}
	}
	return math.Max(rate, 1e-6), usual, math.Min(next, 1e6)
}
