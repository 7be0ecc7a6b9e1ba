package coldstart

import "time"

// preconnectNodes returns the ids of the nodes to which a connection is opened in advance: the most used ones of the
// snapshot.
func (s *Startup) preconnectNodes() []string {
	return s.snapshotNodes[:min(s.settings.Preconnects, len(s.snapshotNodes))]
}

// preconnectDue returns when the connection to a node is opened in advance. Each pair of scheduler and node has its own
// slot, so that the schedulers of a fleet do not connect to a node at the same time.
func (s *Startup) preconnectDue(id string) time.Duration {
	from := s.listReceivedAt
	if s.phase == CachedList {
		from = s.cachedListUseAt
	}
	return max(from, s.snapshotReceivedAt) + Slot(preconnectWindow, "connect", s.settings.Name, id)
}

// preconnect opens the connections in advance that are due.
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
