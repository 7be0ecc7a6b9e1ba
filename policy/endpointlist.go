package policy

import (
	"math"
	"slices"
	"sort"
)

// applyList takes the list's word: a node in no full list is gone, one that starts anew is cold.
func (s *Scheduler) applyList(ev *Event) {
	if ev.Kind == ListFailed {
		s.subscribed, s.pollBackoff = false, math.Min(2*s.pollBackoff, maxPollBackoffMs)
		s.nextPollAt = s.now + s.pollBackoff*(0.5+s.rng.Float64())
		return
	}
	stood := s.subscribed // else the list's word may be old, and the grace over
	if ev.Kind == CachedListLoaded {
		s.emit(Action{Kind: SetTimer, Wait: tickIntervalMs, Tag: "tick"})
	} else {
		s.subscribed, s.pollBackoff = true, minPollBackoffMs
	}
	seen := map[string]bool{}
	for _, e := range ev.Nodes {
		seen[e.ID] = true
		s.applyListEntry(e, stood)
	}
	for _, n := range s.listedNodes {
		if ev.Kind != ListChanged && !seen[n.ID] {
			n.State = NodeRemoved
		}
	}
	s.rebuildQueues()
	for _, r := range s.unplacedRequests() {
		s.dequeue(r)
		r.queue = s.placeNewObject(r)
		s.enqueue(r)
	}
	s.pollList()
}

func (s *Scheduler) applyListEntry(e Node, stood bool) {
	n := s.nodeByID[e.ID]
	if n == nil {
		n = &node{window: initialWindow, startedAt: math.Inf(-1), latencyLearnedAt: math.Inf(-1), lastHeardAt: s.now}
		n.Node, n.drainingSince = e, math.Inf(-1)
		s.addNode(n)
		if e.StartTime > 0 {
			s.beginSlowStart(n, e.StartTime)
		}
	} else if e.StartTime > n.StartTime {
		s.beginSlowStart(n, math.Max(e.StartTime, n.startedAt))
		n.silent, n.nextSendAt, n.backoff, n.failureRate = false, 0, 0, 0
	}
	if stood && n.State == NodeUp && e.State == NodeDraining {
		n.drainingSince = s.now
	}
	n.Node = e
}

// DrainingUseDuration is how long a node that drains is used after the word of a watch that stands: the one that
// follows is listed seconds later, and nobody else has its shard. Short graces leave no time for it.
func (s Settings) DrainingUseDuration() float64 {
	return math.Max(0, math.Min(drainingUseShare*s.DrainGrace, s.DrainGrace-drainingReserveMs))
}

// usable says that a node is up, or drains since so little that it may be used and has taken all since.
// Harm: a node that ends faster than its grace cuts off what was sent last.
func (s *Scheduler) usable(n *node) bool {
	return n.State == NodeUp ||
		n.State == NodeDraining && n.backoff == 0 && s.now-n.drainingSince < s.settings.DrainingUseDuration()
}

// pollList subscribes to the list, again after a failure, well before we would be deemed told.
func (s *Scheduler) pollList() {
	if s.settings.PollsEndpointList && !s.subscribed && s.now >= s.nextPollAt {
		s.nextPollAt = s.now + math.Max(maxPollBackoffMs, s.settings.PollWithin/4*(1+s.rng.Float64()))
		s.emit(Action{Kind: Subscribe})
	}
}

// addNode puts a node in the list, by id.
func (s *Scheduler) addNode(n *node) {
	s.nodeByID[n.ID] = n
	at := sort.Search(len(s.listedNodes), func(i int) bool { return s.listedNodes[i].ID > n.ID })
	s.listedNodes = slices.Insert(s.listedNodes, at, n)
}

// rebuildQueues sorts the nodes that are listed into their shard queues, and forgets those that are
// gone once nothing of theirs is out.
func (s *Scheduler) rebuildQueues() {
	for _, l := range s.shardQueues {
		l.nodes = l.nodes[:0]
	}
	s.listedNodes = slices.DeleteFunc(s.listedNodes, func(n *node) bool {
		if n.State == NodeRemoved && len(n.inFlight) == 0 {
			delete(s.nodeByID, n.ID)
			return true
		}
		return false
	})
	for _, n := range s.listedNodes {
		if n.State != NodeRemoved {
			l := s.shardQueue(n.Shard)
			l.nodes = append(l.nodes, n)
			if len(n.inFlight) > 0 { // it may have come from another shard
				s.markBusy(l)
			}
		}
	}
}
