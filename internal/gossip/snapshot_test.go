package gossip

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"testing"
	"time"
)

// A process gets a snapshot although datagrams are lost, duplicated and truncated, one member has no snapshot, one sends an
// invalid one and one sends one that is too long. Unexpected replies are dropped and counted.
func TestRequestSnapshot(t *testing.T) {
	snapshot := bytes.Repeat([]byte("learned "), 20<<10) // 160 KiB, which are sent over TCP
	fleet := startFleetWith(t, 6, 0.1, func(i int) func(SnapshotKind) []byte {
		return func(k SnapshotKind) []byte {
			switch {
			case k != LearnedSnapshot || i == 1:
				return nil
			case i == 2:
				return []byte("invalid")
			case i == 3:
				return make([]byte, maxSnapshotBytes+1)
			}
			return snapshot
		}
	})
	cluster := fleet.peers[0]
	await(t, "all are members", func() bool { return cluster.Counts().Members == 6 && fleet.peers[4].Counts().Members == 6 })
	for invalidReceived := false; !invalidReceived; invalidReceived = cluster.Counts().SnapshotsInvalid > 0 { // until the member with the invalid snapshot has replied
		accepted := 0
		await(t, "a snapshot is received", func() bool {
			// RequestSnapshot waits for new members if its requests to all members were lost, so it is called again.
			ctx, stop := context.WithTimeout(t.Context(), 6*snapshotTimeout)
			defer stop()
			return cluster.RequestSnapshot(ctx, LearnedSnapshot, func(b []byte) error {
				if !bytes.Equal(b, snapshot) {
					return errors.New("unexpected snapshot")
				}
				accepted++
				return nil
			})
		})
		if accepted != 1 {
			t.Fatalf("the snapshot was accepted %d times, want once", accepted)
		}
	}
	if cluster.Counts().SnapshotsReceived == 0 || fleet.peers[4].Counts().SnapshotsSent+fleet.peers[5].Counts().SnapshotsSent == 0 {
		t.Errorf("no received or no sent snapshot was counted: %+v", cluster.Counts())
	}
	quick, stop := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer stop()
	if cluster.RequestSnapshot(quick, LearnedSnapshot+1, func([]byte) error { return nil }) {
		t.Error("a snapshot of an unknown kind was received")
	}
	before := cluster.Counts()
	reply := cluster.snapshots.expect(7)
	for _, m := range [][]byte{nil, make([]byte, 8), binary.BigEndian.AppendUint64(nil, 9), append(binary.BigEndian.AppendUint64(nil, 7), make([]byte, maxSnapshotBytes+1)...)} {
		(*delegate)(cluster).NotifyMsg(append([]byte{messageSnapshotReply}, m...))
	}
	(*delegate)(cluster).NotifyMsg(append([]byte{messageSnapshotReply}, append(binary.BigEndian.AppendUint64(nil, 7), 'x')...))
	(*delegate)(cluster).NotifyMsg(append([]byte{messageSnapshotReply}, append(binary.BigEndian.AppendUint64(nil, 7), 'y')...)) // a second reply
	if got := cluster.Counts().SnapshotsInvalid - before.SnapshotsInvalid; got != 5 || string(<-reply) != "x" {
		t.Errorf("%d invalid replies counted, want 5, or the reply was not delivered", got)
	}
}

// Creating a snapshot takes time, so requests above a limit get an empty reply.
func TestSnapshotSendsAreLimited(t *testing.T) {
	release, made := make(chan bool), make(chan bool, 100)
	fleet := startFleetWith(t, 2, 0, func(int) func(SnapshotKind) []byte {
		return func(SnapshotKind) []byte { made <- true; <-release; return []byte("x") }
	})
	sender := fleet.peers[1]
	await(t, "both are members", func() bool { return sender.Counts().Members == 2 && fleet.peers[0].Counts().Members == 2 })
	m := append(binary.BigEndian.AppendUint64(nil, 5), byte(LearnedSnapshot))
	for range 10 * maxSnapshotSends {
		fleet.peers[0].send(sender.members.LocalNode(), messageSnapshotRequest, append(m, "p0"...))
	}
	await(t, "the excess requests got an empty reply", func() bool { return fleet.peers[0].Counts().SnapshotsInvalid >= 8*maxSnapshotSends })
	if n := len(made); n > maxSnapshotSends {
		t.Errorf("%d snapshots created concurrently, more than maxSnapshotSends", n)
	}
	close(release)
}
