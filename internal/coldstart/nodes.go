package coldstart

import "time"

// hasCapacity reports whether the state of one more node may be stored.
func (s *Startup) hasCapacity() bool { return len(s.nodes) < s.settings.MaxNodes }

// coldNodeUnits returns this process's share of the units that a node can serve just after its start.
func (s *Startup) coldNodeUnits() float64 {
	return s.settings.SlowStartUnits / float64(s.settings.Schedulers)
}

// applySnapshot stores the nodes of a snapshot. If a node has several entries, the first one counts. Once the list was
// received, only nodes with the list's start time are accepted, and they are restored at once.
func (s *Startup) applySnapshot(snapshot []Node) {
	for _, n := range snapshot {
		state := s.nodes[n.ID]
		if state == nil && s.phase < ListKnown && s.hasCapacity() {
			state = &nodeState{}
			s.nodes[n.ID] = state
		}
		if state == nil || state.restorable || s.phase >= ListKnown && (!state.listed || state.startTime != n.StartTime) {
			continue
		}
		state.snapshotStartTime, state.restorable = n.StartTime, true
		s.snapshotNodes = append(s.snapshotNodes, n.ID)
		if s.phase >= ListKnown {
			s.emit(Restore{n.ID})
		}
	}
}

// handleSnapshotReceived applies another process's snapshot if this process has none of its own.
func (s *Startup) handleSnapshotReceived(now time.Duration, snapshot []Node) {
	if s.started && s.phase < Serving && len(s.snapshotNodes) == 0 {
		s.snapshotReceivedAt = now
		s.applySnapshot(snapshot)
	}
}

// handlePeerReported applies a peer's report of a node's start until the list is received. If the reported start is later
// than the snapshot's, no connection to the node is opened in advance. A report never lifts a limit, since a wrong or
// malicious report would make a cold node count as warmed up.
func (s *Startup) handlePeerReported(n Node) {
	state := s.nodes[n.ID]
	if state == nil || s.phase >= ListKnown {
		return
	}
	if n.StartTime > state.snapshotStartTime {
		state.restorable = false
	}
}

// backOff starts a backoff of a node that was full or to which a connect failed. Until it ends, no connection to the node is
// opened in advance, and requests that cannot wait for the end are rejected. The backoff doubles each time.
func (s *Startup) backOff(now time.Duration, id string) {
	state := s.nodes[id]
	if state == nil || s.phase == Serving {
		return
	}
	state.backoff = min(max(2*state.backoff, minBackoff), maxBackoff)
	state.backoffUntil = now + s.halfToThreeHalves(state.backoff)
}

// handleRequestServed ends the backoff of the node and halves the Retry-After of its rejections.
func (s *Startup) handleRequestServed(id string) {
	if state := s.nodes[id]; state != nil {
		state.backoffUntil, state.backoff, state.connected, state.retryAfter = 0, 0, true, state.retryAfter/2
	}
	if s.phase == ListKnown {
		s.phase = Learning
	}
}
