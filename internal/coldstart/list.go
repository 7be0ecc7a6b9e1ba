package coldstart

import "time"

// handleListReceived applies the first complete list. Later lists are applied by the policy alone.
func (s *Startup) handleListReceived(now time.Duration, e ListReceived) {
	s.listRequestPending = false
	if s.phase >= ListKnown {
		return
	}
	s.phase, s.listReceivedAt, s.listBackoffFactor, s.learningEnds = ListKnown, now, 1, now+learningDuration
	inSnapshot := map[string]bool{}
	for _, id := range s.snapshotNodes { // nodes that are missing from the list get no connection in advance
		inSnapshot[id], s.nodes[id].restorable = true, false
	}
	for _, n := range e.Nodes {
		state := s.nodes[n.ID]
		if state == nil {
			if !s.hasCapacity() {
				continue
			}
			state = &nodeState{}
			s.nodes[n.ID] = state
		}
		s.applyListEntry(now, state, n, inSnapshot[n.ID])
	}
}

// applyListEntry applies the list's entry of a node. Only the received list shows reliably whether the node has restarted.
func (s *Startup) applyListEntry(now time.Duration, state *nodeState, n Node, inSnapshot bool) {
	sameStart := state.snapshotStartTime == n.StartTime
	if state.assumedCold && s.usesCachedList {
		s.emit(LiftColdLimit{n.ID})
	}
	state.restorable = inSnapshot && sameStart
	if state.restorable {
		s.emit(Restore{n.ID})
	}
	if n.StartTime > 0 && now-n.StartedAt < s.settings.SlowStartDuration {
		s.emit(LimitColdNode{n.ID, s.coldNodeUnits(), n.StartedAt})
		s.learningEnds = max(s.learningEnds, min(n.StartedAt, now)+s.settings.SlowStartDuration)
	}
	state.startTime, state.assumedCold, state.listed = n.StartTime, false, true
}

// handleListRequestFailed sets the time of the next list request. If the requests of all schedulers fail at the same time,
// they send at most MaxListRequestsPerSecond requests per second.
func (s *Startup) handleListRequestFailed(now time.Duration) {
	if s.phase >= ListKnown {
		return
	}
	s.listRequestPending = false
	backoff := listRequestInterval
	if s.settings.ListRequestsPriced {
		backoff = max(s.settings.ListRequestSpread(), listRequestInterval) * time.Duration(s.listBackoffFactor)
		s.listBackoffFactor = min(2*s.listBackoffFactor, maxListBackoffFactor)
		backoff = min(backoff, s.settings.StalenessBound)
	}
	s.nextListRequest = now + s.halfToThreeHalves(backoff)
}

// expectedListWait estimates how long it takes until a list can be used to send requests.
func (s *Startup) expectedListWait(now time.Duration) time.Duration {
	at := s.nextListRequest + usualListRequestTime
	if s.listRequestPending {
		at = now + usualListRequestTime
	}
	if s.phase == CachedList {
		at = min(at, s.cachedListUseAt)
	}
	return max(at-now, 0)
}

// halfToThreeHalves returns a random duration between 0.5 and 1.5 times d.
func (s *Startup) halfToThreeHalves(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.rng.Int64N(int64(d)))
}
