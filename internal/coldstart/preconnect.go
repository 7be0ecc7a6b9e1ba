package coldstart

import "time"

// preconnectNodes are the ids of the nodes to which a connection is opened ahead: the most used of the snapshot.
func (s *Startup) preconnectNodes() []string {
	return s.snapshotNodes[:min(s.settings.Preconnects, len(s.snapshotNodes))]
}

// preconnectDue is when a connection to a node is opened ahead: each pair of scheduler and node has a slot of its own.
func (s *Startup) preconnectDue(id string) time.Duration {
	from := s.listReceivedAt
	if s.phase == CachedList {
		from = s.cachedListUseAt
	}
	return max(from, s.snapshotReceivedAt) + Slot(preconnectWindow, "connect", s.settings.Name, id)
}

// preconnect opens the connections that are due.
func (s *Startup) preconnect(now time.Duration) {
	for _, id := range s.preconnectNodes() {
		state := s.nodes[id]
		if state.connected || now < state.backoffUntil || now < s.preconnectDue(id) || !state.restorable {
			continue
		}
		state.connected = true
		s.emit(Connect{id})
		if s.settings.MayCheckHealth && s.phase >= ListKnown {
			s.emit(CheckHealth{id})
		}
	}
}
