package nodestats

import (
	"encoding/binary"
	"math"
	"time"
)

// renewalShare sets the interval at which an unchanged value is published again, so that it does not expire at other
// processes: ExpireAfter/renewalShare.
const renewalShare = 4

// localNode is what this process observes of one run of a node.
type localNode struct {
	startTime     int64
	health        Health
	healthSetAt   time.Duration
	hasHealth     bool
	healthChanged bool // health is to be published
	recorders     []*Recorder
}

// localNodeFor returns the record of a node's run, and creates it if there is capacity. A later run replaces an earlier
// one, and a run from the endpoint list (listed) replaces any other. It returns nil for an earlier run, and if the limit
// of nodes is reached.
func (s *State) localNodeFor(now time.Duration, name string, startTime int64, listed bool) *localNode {
	n := s.localNodes[name]
	if n == nil {
		return s.addLocalNode(now, name, startTime)
	}
	switch {
	case n.startTime == startTime:
		return n
	case startTime > n.startTime || listed:
		for _, r := range n.recorders {
			r.attached = false
		}
		*n = localNode{startTime: startTime}
		return n
	default:
		return nil
	}
}

func (s *State) addLocalNode(now time.Duration, name string, startTime int64) *localNode {
	if len(s.localNodes) >= s.settings.MaxNodes {
		s.expireLocal(now)
		if len(s.localNodes) >= s.settings.MaxNodes {
			return nil
		}
	}
	n := &localNode{startTime: startTime}
	s.localNodes[name] = n
	s.localOrder = append(s.localOrder, name)
	return n
}

// SetNodeHealth sets the state of a node of the endpoint list as this process sees it. If the start time has changed, the
// statistics of the earlier run are dropped.
func (s *State) SetNodeHealth(now time.Duration, node string, startTime int64, health Health) {
	if !validName(node) || health.Type != "" && !validName(health.Type) || !finite(health.Window) || !finite(health.Queue) {
		s.counts.Invalid++
		return
	}
	n := s.localNodeFor(now, node, startTime, true)
	if n == nil {
		s.counts.OverLimit++
		return
	}
	health.Window, health.Queue = min(max(health.Window, 0), maxLoad), min(max(health.Queue, 0), maxLoad)
	// Windows and queues change often. Small changes are not published, to limit the number of messages.
	if nearlyEqual(health.Window, n.health.Window) && nearlyEqual(health.Queue, n.health.Queue) {
		health.Window, health.Queue = n.health.Window, n.health.Queue
	}
	if !n.hasHealth || health != n.health || now-n.healthSetAt > s.settings.ExpireAfter/renewalShare {
		n.healthChanged = true
		n.health, n.healthSetAt, n.hasHealth = health, now, true
	}
}

// nearlyEqual reports whether two loads differ by at most an eighth of the larger or half a request, and are either both
// zero or both nonzero.
func nearlyEqual(a, b float64) bool {
	return math.Abs(a-b) <= max(max(a, b)/8, 0.5) && (a == 0) == (b == 0)
}

// SetListVersion sets the version of the endpoint list that this process uses.
func (s *State) SetListVersion(now time.Duration, version int64) {
	if !s.hasList || version != s.listVersion || now-s.listSetAt > s.settings.ExpireAfter/renewalShare {
		s.listVersion, s.listSetAt, s.hasList, s.listDirty = version, now, true, true
	}
}

// expireLocal drops recorders and nodes that were not used for ExpireAfter.
func (s *State) expireLocal(now time.Duration) {
	remaining := s.localOrder[:0]
	for _, name := range s.localOrder {
		n := s.localNodes[name]
		n.detachExpired(now, s.settings.ExpireAfter)
		if len(n.recorders) == 0 && (!n.hasHealth || now-n.healthSetAt >= s.settings.ExpireAfter) {
			delete(s.localNodes, name)
			continue
		}
		remaining = append(remaining, name)
	}
	s.localOrder = remaining
}

func (n *localNode) detachExpired(now, expireAfter time.Duration) {
	remaining := n.recorders[:0]
	for _, r := range n.recorders {
		r.attached = now-r.lastRecorded < expireAfter
		if r.attached {
			remaining = append(remaining, r)
		}
	}
	clear(n.recorders[len(remaining):])
	n.recorders = remaining
}

// publishChanges creates new cells for the local values that have changed.
func (s *State) publishChanges(now time.Duration) {
	s.expireLocal(now)
	s.local.incarnation, s.local.lastReceived = s.incarnation, now
	if s.listDirty {
		s.publish(now, cellID{}, binary.AppendVarint(nil, s.listVersion))
		s.listDirty = false
	}
	for _, name := range s.localOrder {
		n := s.localNodes[name]
		if n.healthChanged {
			s.publish(now, cellID{node: name}, n.health.encode(n.startTime))
			n.healthChanged = false
		}
		for _, r := range n.recorders {
			if r.changed {
				r.resetIfChanged(now)
				stats := r.statsAt(now)
				s.publish(now, cellID{name, r.key.Class}, stats.encode())
				r.changed = false
			}
		}
	}
	s.expireCells(now)
}

func (s *State) publish(now time.Duration, id cellID, body []byte) {
	s.lastSeq++
	s.local.cells[id] = newCell(id, s.lastSeq, now, body)
}
