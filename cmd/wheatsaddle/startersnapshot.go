package main

import (
	"context"
	"time"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/gossip"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

const (
	snapshotInterval       = 5 * time.Second  // between snapshots; a last one is written by stop
	snapshotRequestTimeout = 10 * time.Second // for a peer's snapshot
)

// loadSnapshot stores a snapshot's contents, and returns its nodes for the state machine.
func (s *starter) loadSnapshot(snap *snapshot.Snapshot) (nodes []coldstart.Node) {
	learned, byID := policy.Learned{}, map[string]policy.LearnedNode{}
	for _, n := range snap.Nodes {
		nodes = append(nodes, coldstart.Node{ID: n.ID, StartTime: n.StartTime})
		if _, duplicate := byID[n.ID]; !duplicate {
			byID[n.ID] = policy.LearnedNode{ID: n.ID, StartTime: n.StartTime, Window: n.Window, Latency: n.Latency, BestLatencyPerUnit: n.BestLatencyPerUnit, FailureRate: n.FailureRate}
		}
	}
	for _, class := range snap.Classes {
		learned.Classes = append(learned.Classes, policy.LearnedClass{Name: class.Name, Weight: class.Weight, Slope: class.Slope, Delay: class.Delay})
	}
	s.mu.Lock()
	s.learned, s.learnedNodes = learned, byID
	s.mu.Unlock()
	return nodes
}

// requestSnapshot requests a snapshot from the other processes if this one has none.
func (s *starter) requestSnapshot(peers *fleet) {
	if s == nil || peers == nil || s.learnedNodes != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), snapshotRequestTimeout)
	s.cancelRequest = cancel
	go func() {
		defer cancel()
		peers.cluster.RequestSnapshot(ctx, gossip.LearnedSnapshot, s.acceptSnapshot)
	}()
}

// acceptSnapshot uses a peer's snapshot, or returns an error if it is not readable.
func (s *starter) acceptSnapshot(text []byte) error {
	snap, err := snapshot.Parse("of a peer", text)
	if err != nil {
		return err
	}
	s.step(coldstart.SnapshotReceived{Snapshot: s.loadSnapshot(snap)})
	return nil
}

// snapshotProvider returns the function that answers a peer's request for a snapshot; nil: the section is off. It returns
// no snapshot before the end of the cold start, when this process has learned less than others.
func (s *starter) snapshotProvider() func(gossip.SnapshotKind) []byte {
	if s == nil {
		return nil
	}
	return func(kind gossip.SnapshotKind) []byte {
		if kind != gossip.LearnedSnapshot || !s.Done() {
			return nil
		}
		snap := s.snapshot()
		if snap == nil {
			return nil
		}
		text, err := snapshot.Encode(snap)
		if err != nil {
			s.log.WithFields(operr.Fields(err)).Warn("snapshot for a peer could not be encoded")
			return nil
		}
		return text
	}
}

// writeSnapshots writes the snapshot at each interval and at the stop, but not before the end of the cold start: until then
// the existing file contains more than this process has learned.
func (s *starter) writeSnapshots() {
	defer sync.Close(s.snapshotsDone)
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for done := false; !done; {
		_, _, ticked := sync.Either(ticker.C, s.stopping)
		done = !ticked
		if s.Done() {
			s.writeSnapshot()
		}
	}
}

func (s *starter) writeSnapshot() {
	if s.path == "" {
		return
	}
	if snap := s.snapshot(); snap != nil {
		if err := snapshot.Write(s.path, snap); err != nil {
			s.log.WithFields(operr.Fields(err)).Warn("snapshot not written")
		}
	}
}

// snapshot returns what the core has learned; nil: nothing.
func (s *starter) snapshot() *snapshot.Snapshot {
	learned, ok := s.core.Learned()
	if !ok || len(learned.Nodes) == 0 {
		return nil
	}
	snap := &snapshot.Snapshot{Made: time.Now()}
	for _, n := range learned.Nodes {
		snap.Nodes = append(snap.Nodes, snapshot.NodeState{ID: n.ID, StartTime: n.StartTime, Window: n.Window, Latency: n.Latency, BestLatencyPerUnit: n.BestLatencyPerUnit, FailureRate: n.FailureRate})
	}
	for _, class := range learned.Classes {
		snap.Classes = append(snap.Classes, snapshot.ClassState{Name: class.Name, Weight: class.Weight, Slope: class.Slope, Delay: class.Delay})
	}
	return snap
}
