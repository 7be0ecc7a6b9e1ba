package gossip

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

// SnapshotKind is the kind of a snapshot that a process requests from another one when it starts.
type SnapshotKind byte

// LearnedSnapshot contains what a process has learned about the nodes, in the format of internal/coldstart/snapshot.
const LearnedSnapshot SnapshotKind = 1

const (
	maxSnapshotBytes         = 256 << 10
	snapshotTimeout          = time.Second           // for one member's reply
	maxSnapshotAttempts      = 8                     // members to which a request is sent, one after the other
	memberPollInterval       = 50 * time.Millisecond // while there is no member to send a request to
	maxSnapshotRequestsRound = 4                     // requests answered in a round
	maxSnapshotSends         = 2                     // concurrent snapshots; further requests get an empty reply

	// A request consists of a random number, the kind, and the sender's name. A reply consists of the same number and the
	// snapshot.
	requestNumberBytes = 8
	requestHeaderBytes = requestNumberBytes + 1
)

// snapshotTransfer is the state of this process's own request and of its replies to requests from others.
type snapshotTransfer struct {
	mu       sync.Mutex    // guards the fields up to sending
	expected uint64        // number that a reply must have; 0: no reply is expected
	reply    chan<- []byte // has a capacity of 1
	sending  int           // snapshots being created or sent

	sent     atomic.Int64
	received atomic.Int64
	invalid  atomic.Int64
}

// receive handles a reply. An unexpected reply is dropped and counted.
func (s *snapshotTransfer) receive(m []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tooLong := len(m) > requestNumberBytes+maxSnapshotBytes
	if len(m) < requestNumberBytes || tooLong || s.expected == 0 || binary.BigEndian.Uint64(m) != s.expected {
		s.invalid.Add(1)
		return
	}
	s.reply <- slices.Clone(m[requestNumberBytes:])
	s.expected = 0
}

// expect returns a channel that receives the reply with the number. With 0, no reply is expected from now on.
func (s *snapshotTransfer) expect(number uint64) <-chan []byte {
	reply := make(chan []byte, 1)
	s.mu.Lock()
	s.expected, s.reply = number, reply
	s.mu.Unlock()
	return reply
}

// beginSend reports whether another snapshot may be created and sent. If so, the caller must call endSend afterwards.
func (s *snapshotTransfer) beginSend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sending >= maxSnapshotSends {
		return false
	}
	s.sending++
	return true
}

func (s *snapshotTransfer) endSend() {
	s.mu.Lock()
	s.sending--
	s.mu.Unlock()
}

// RequestSnapshot requests a snapshot from one member after another, in random order, until accept returns no error. It
// reports whether that happened before ctx ended. Snapshots are created on request, so they are at most snapshotTimeout
// old. Only one call at a time is allowed.
func (c *Cluster) RequestSnapshot(ctx context.Context, kind SnapshotKind, accept func([]byte) error) bool {
	defer c.snapshots.expect(0)
	asked := map[string]bool{c.options.Name: true}
	for len(asked) <= maxSnapshotAttempts {
		to, number := c.memberNotAsked(asked)
		if to == nil {
			select {
			case <-time.After(memberPollInterval):
				continue
			case <-ctx.Done():
				return false
			}
		}
		asked[to.Name] = true
		reply := c.requestFrom(ctx, to, kind, number)
		if ctx.Err() != nil && reply == nil {
			return false
		}
		if len(reply) > 0 && c.acceptSnapshot(reply, accept) {
			return true
		}
	}
	return false
}

// requestFrom requests a snapshot from a member and returns its reply, or nil if none arrived in time.
func (c *Cluster) requestFrom(ctx context.Context, to *memberlist.Node, kind SnapshotKind, number uint64) []byte {
	reply := c.snapshots.expect(number)
	request := binary.BigEndian.AppendUint64(make([]byte, 0, requestHeaderBytes+len(c.options.Name)), number)
	request = append(append(request, byte(kind)), c.options.Name...)
	c.send(to, messageSnapshotRequest, request)
	timeout := time.NewTimer(snapshotTimeout)
	defer timeout.Stop()
	select {
	case snapshot := <-reply:
		return snapshot
	case <-timeout.C:
	case <-ctx.Done():
	}
	return nil
}

func (c *Cluster) acceptSnapshot(snapshot []byte, accept func([]byte) error) bool {
	if err := accept(snapshot); err != nil {
		c.snapshots.invalid.Add(1)
		c.logDropped(err)
		return false
	}
	c.snapshots.received.Add(1)
	return true
}

// memberNotAsked selects a random member that has not been asked yet, and a random request number other than 0. It
// returns nil if there is no such member.
func (c *Cluster) memberNotAsked(asked map[string]bool) (to *memberlist.Node, number uint64) {
	remaining := slices.DeleteFunc(c.members.Members(), func(n *memberlist.Node) bool { return asked[n.Name] })
	if len(remaining) == 0 {
		return nil, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return remaining[c.rand.IntN(len(remaining))], c.rand.Uint64() | 1
}

// answerSnapshotRequest replies to a request. A separate goroutine creates and sends the snapshot.
func (c *Cluster) answerSnapshotRequest(m []byte) {
	if len(m) <= requestHeaderBytes {
		c.snapshots.invalid.Add(1)
		return
	}
	number, kind, name := m[:requestNumberBytes], SnapshotKind(m[requestNumberBytes]), string(m[requestHeaderBytes:])
	to := c.otherMember(name)
	if to == nil {
		c.snapshots.invalid.Add(1)
		return
	}
	if c.options.MakeSnapshot == nil {
		return
	}
	c.thisRound.snapshotRequests++
	if c.thisRound.snapshotRequests > maxSnapshotRequestsRound || !c.snapshots.beginSend() {
		c.send(to, messageSnapshotReply, number)
		return
	}
	c.tasks.Add(1)
	go func() {
		defer c.tasks.Done()
		defer c.snapshots.endSend()
		c.sendSnapshot(to, number, kind)
	}()
}

// otherMember returns the member with the name. It returns nil if there is none or if it is this process.
func (c *Cluster) otherMember(name string) *memberlist.Node {
	for _, n := range c.members.Members() {
		if n.Name == name && name != c.options.Name {
			return n
		}
	}
	return nil
}

func (c *Cluster) sendSnapshot(to *memberlist.Node, number []byte, kind SnapshotKind) {
	snapshot := c.options.MakeSnapshot(kind)
	if len(snapshot) > maxSnapshotBytes {
		snapshot = nil
	}
	if len(snapshot) > 0 {
		c.snapshots.sent.Add(1)
	}
	c.send(to, messageSnapshotReply, append(slices.Clone(number), snapshot...))
}
