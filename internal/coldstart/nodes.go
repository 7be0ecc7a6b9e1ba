package coldstart

import "time"

// hasCapacity reports whether one more node may be held.
func (s *Startup) hasCapacity() bool { return len(s.nodes) < s.settings.MaxNodes }

// coldNodeUnits is this process's share of what a node can serve that has just started.
func (s *Startup) coldNodeUnits() float64 {
	return s.settings.SlowStartUnits / float64(s.settings.Schedulers)
}

// applySnapshot notes the nodes of a snapshot, the first entry of each. Once the list was received, only nodes of the same
// start time are taken, and restored at once.
func (s *Startup) applySnapshot(snapshot []Node) {
	for _, n := range snapshot {
		x := s.nodes[n.ID]
		if x == nil && s.phase < ListKnown && s.hasCapacity() {
			x = &node{}
			s.nodes[n.ID] = x
		}
		if x == nil || x.restorable || s.phase >= ListKnown && (!x.listed || x.startTime != n.StartTime) {
			continue
		}
		x.snapshotStartTime, x.restorable = n.StartTime, true
		s.snapshotNodes = append(s.snapshotNodes, n.ID)
		if s.phase >= ListKnown {
			s.emit(Restore{n.ID})
		}
	}
}

// snapshotReceived applies another process's snapshot if the process has none of its own.
func (s *Startup) snapshotReceived(now time.Duration, snapshot []Node) {
	if s.started && s.phase < Serving && len(s.snapshotNodes) == 0 {
		s.snapshotReceivedAt = now
		s.applySnapshot(snapshot)
	}
}

// peerReported applies a peer's report of a node's start while the list is not received. After a later start than the
// snapshot's no connection is opened ahead. A report never lifts a limit: with a wrong or malicious one, a cold node would
// count as warmed up.
func (s *Startup) peerReported(n Node) {
	x := s.nodes[n.ID]
	if x == nil || s.phase >= ListKnown {
		return
	}
	if n.StartTime > x.snapshotStartTime {
		x.restorable = false
	}
}

// backOff keeps requests from a node that was full or slow to connect. The backoff doubles each time.
func (s *Startup) backOff(now time.Duration, id string) {
	x := s.nodes[id]
	if x == nil || s.phase == Serving {
		return
	}
	x.backoff = min(max(2*x.backoff, minBackoff), maxBackoff)
	x.backoffUntil = now + s.halfToThreeHalves(x.backoff)
}

// requestServed ends the backoff of the node, and lets the Retry-After of its rejections shrink.
func (s *Startup) requestServed(id string) {
	if x := s.nodes[id]; x != nil {
		x.backoffUntil, x.backoff, x.connected, x.retryAfter = 0, 0, true, x.retryAfter/2
	}
	if s.phase == ListKnown {
		s.phase = Learning
	}
}
