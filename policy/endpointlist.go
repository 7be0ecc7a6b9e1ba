package policy

import (
	"math"
	"slices"
	"sort"
)

const (
	minPollBackoffMs  = 300.0  // first wait after a failed call to the list, doubling
	maxPollBackoffMs  = 4000.0 // up to this
	drainingUseShare  = 0.5    // a draining node is used for this share of the grace
	drainingReserveMs = 500.0  // and never in the last part of it, for delays of the list or stalls
)

// listPoller subscribes to the endpoint list, again after a failure.
type listPoller struct {
	subscribed bool
	nextPollAt float64
	backoff    float64
}

// succeeded notes an event of the list's subscription.
func (p *listPoller) succeeded() { p.subscribed, p.backoff = true, minPollBackoffMs }

// failed notes a failed call or a broken subscription; jitter spreads the backoff.
func (p *listPoller) failed(now, jitter float64) {
	p.subscribed, p.backoff = false, math.Min(2*p.backoff, maxPollBackoffMs)
	p.nextPollAt = now + p.backoff*jitter
}

// pollList subscribes to the list if it must be polled, well before the staleness bound.
func (s *Scheduler) pollList() {
	if s.settings.PollsEndpointList && !s.list.subscribed && s.now >= s.list.nextPollAt {
		s.list.nextPollAt = s.now + math.Max(maxPollBackoffMs, s.settings.PollWithin/4*(1+s.rng.Float64()))
		s.emit(Action{Kind: Subscribe})
	}
}

// applyList takes an event of the endpoint list. A node that a complete list lacks is removed; one
// that restarted is in slow start.
func (s *Scheduler) applyList(ev *Event) {
	if ev.Kind == ListFailed {
		s.list.failed(s.now, 0.5+s.rng.Float64())
		return
	}
	isCurrent := s.list.subscribed // otherwise the list may be old, and a node's grace over
	if ev.Kind == CachedListLoaded {
		s.setTimer(tickTimer, tickIntervalMs)
	} else {
		s.list.succeeded()
	}
	listed := map[string]bool{}
	for _, entry := range ev.Nodes {
		listed[entry.ID] = true
		s.applyListEntry(entry, isCurrent)
	}
	for _, n := range s.listedNodes {
		if ev.Kind != ListChanged && !listed[n.ID] {
			n.State = NodeRemoved
		}
	}
	s.assignNodesToShards()
	s.placeWaitingObjects()
	s.pollList()
}

func (s *Scheduler) applyListEntry(entry Node, isCurrent bool) {
	n := s.nodeByID[entry.ID]
	switch {
	case n == nil:
		n = newNode(entry, s.now)
		s.addNode(n)
		if entry.StartTime > 0 {
			s.beginSlowStart(n, entry.StartTime)
		}
	case entry.StartTime > n.StartTime:
		s.beginSlowStart(n, math.Max(entry.StartTime, n.slowStart.startedAt))
		n.silent, n.nextSendAt, n.backoff, n.failureRate = false, 0, 0, 0
	}
	if isCurrent && n.State == NodeUp && entry.State == NodeDraining {
		n.drainingSince = s.now
	}
	n.Node = entry
}

// addNode puts a node in the list, by id.
func (s *Scheduler) addNode(n *node) {
	s.nodeByID[n.ID] = n
	at := sort.Search(len(s.listedNodes), func(i int) bool { return s.listedNodes[i].ID > n.ID })
	s.listedNodes = slices.Insert(s.listedNodes, at, n)
}

// assignNodesToShards sorts the listed nodes into their shard queues, and forgets removed ones once
// nothing is in flight there.
func (s *Scheduler) assignNodesToShards() {
	for _, q := range s.shardQueues {
		q.nodes = q.nodes[:0]
	}
	s.listedNodes = slices.DeleteFunc(s.listedNodes, func(n *node) bool {
		isGone := n.State == NodeRemoved && len(n.inFlight) == 0
		if isGone {
			delete(s.nodeByID, n.ID)
		}
		return isGone
	})
	for _, n := range s.listedNodes {
		if n.State == NodeRemoved {
			continue
		}
		q := s.shardQueue(n.Shard)
		q.nodes = append(q.nodes, n)
		if len(n.inFlight) > 0 { // it may have come from another shard
			s.markBusy(q)
		}
	}
}

// DrainingUseDuration is how long, in milliseconds, a draining node is still used after a standing
// watch reported it: its replacement is listed seconds later, and no other node has its shard. Short
// graces leave no time for it.
func (s Settings) DrainingUseDuration() float64 {
	return math.Max(0, math.Min(drainingUseShare*s.DrainGrace, s.DrainGrace-drainingReserveMs))
}

// usable reports whether a node is up, or drains since recently and has taken all requests since.
// Trade-off: a node that ends before its grace cuts off what was sent last.
func (s *Scheduler) usable(n *node) bool {
	if n.State == NodeDraining {
		return n.backoff == 0 && s.now-n.drainingSince < s.settings.DrainingUseDuration()
	}
	return n.State == NodeUp
}
