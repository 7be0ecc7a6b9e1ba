package policy

import (
	"math"
	"slices"
	"sort"
)

const (
	minPollBackoffMs     = 300.0  // initial value of the backoff after a failed call to the list
	maxPollBackoffMs     = 4000.0 // the backoff doubles up to this value
	drainingUseShare     = 0.5    // a draining node is used during this share of its grace period
	drainingReserveMs    = 500.0  // end of the grace period in which it is never used, as margin for stalls and list delays
	maxClockDifferenceMs = 2000.0 // of the wall clocks of two machines, unless one was stepped
)

// listPoller holds the state of the subscription to the endpoint list and of its retries.
type listPoller struct {
	subscribed bool
	nextPollAt float64
	backoff    float64
}

// recordSuccess records that the list was received, and resets the backoff.
func (p *listPoller) recordSuccess() { p.subscribed, p.backoff = true, minPollBackoffMs }

// recordFailure handles a failed call or a broken subscription. The jitter factor spreads the retries
// of different schedulers.
func (p *listPoller) recordFailure(now, jitter float64) {
	p.subscribed, p.backoff = false, math.Min(2*p.backoff, maxPollBackoffMs)
	p.nextPollAt = now + p.backoff*jitter
}

// pollList subscribes to the list if it must be polled and no subscription is active. Retries come well
// within the staleness bound.
func (s *Scheduler) pollList() {
	if s.settings.PollsEndpointList && !s.list.subscribed && s.now >= s.list.nextPollAt {
		s.list.nextPollAt = s.now + math.Max(maxPollBackoffMs, s.settings.ListStalenessBound/4*(1+s.rng.Float64()))
		s.emit(Action{Kind: Subscribe})
	}
}

// applyList applies an event of the endpoint list. A node that is missing from a complete list is
// removed. A node that restarted enters slow start.
func (s *Scheduler) applyList(ev *Event) {
	if ev.Kind == ListFailed {
		s.list.recordFailure(s.now, 0.5+s.rng.Float64())
		return
	}
	isCurrent := s.list.subscribed // without a subscription the list may be old, and a node's grace period may have ended
	if ev.Kind == CachedListLoaded {
		s.setTimer(tickTimer, tickIntervalMs) // passed once after New; each tick sets the timer of the next one
	} else {
		s.list.recordSuccess()
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
			s.beginSlowStart(n, s.pastTime(entry.StartTime))
		}
	case entry.StartTime > n.StartTime:
		s.beginSlowStart(n, math.Max(s.pastTime(entry.StartTime), n.slowStart.startedAt))
		n.silent, n.nextSendAt, n.backoff, n.failureRate = false, 0, 0, 0
	}
	if isCurrent && n.State == NodeUp && entry.State == NodeDraining {
		n.drainingSince = s.now
	}
	n.Node = entry
}

// pastTime returns a time of the list, or now if that is further ahead than clocks of two machines differ: one of them was stepped, and
// the node has started by now.
func (s *Scheduler) pastTime(at float64) float64 {
	if at > s.now+maxClockDifferenceMs {
		return s.now
	}
	return at
}

// addNode inserts a node into the list, which is sorted by id.
func (s *Scheduler) addNode(n *node) {
	s.nodeByID[n.ID] = n
	at := sort.Search(len(s.listedNodes), func(i int) bool { return s.listedNodes[i].ID > n.ID })
	s.listedNodes = slices.Insert(s.listedNodes, at, n)
}

// assignNodesToShards assigns the listed nodes to their shard queues. It deletes removed nodes that
// have nothing in flight.
func (s *Scheduler) assignNodesToShards() {
	for _, q := range s.shardQueues {
		q.nodes = q.nodes[:0]
	}
	s.listedNodes = slices.DeleteFunc(s.listedNodes, func(n *node) bool {
		isUnused := n.State == NodeRemoved && len(n.inFlight) == 0
		if isUnused {
			delete(s.nodeByID, n.ID)
		}
		return isUnused
	})
	for _, n := range s.listedNodes {
		if n.State == NodeRemoved {
			continue
		}
		q := s.shardQueue(n.Shard)
		q.nodes = append(q.nodes, n)
		if len(n.inFlight) > 0 { // the node may have moved here from another shard
			s.markBusy(q)
		}
	}
}

// DrainingUseDuration returns how long, in milliseconds, a draining node is still used after an active
// subscription reported it. The node is used because its replacement is listed only seconds later and
// no other node serves its shard. With a short grace period the result is 0.
func (s Settings) DrainingUseDuration() float64 {
	return math.Max(0, math.Min(drainingUseShare*s.DrainGrace, s.DrainGrace-drainingReserveMs))
}

// isUsable reports whether requests may be sent to a node. That is so if it is up, or if it began to
// drain recently and this scheduler is not backing off from it.
// Trade-off: a node that stops before the end of its grace period aborts the last requests sent to it.
func (s *Scheduler) isUsable(n *node) bool {
	if n.State == NodeDraining {
		return n.backoff == 0 && s.now-n.drainingSince < s.settings.DrainingUseDuration()
	}
	return n.State == NodeUp
}
