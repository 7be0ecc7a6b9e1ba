package gossip

import (
	"context"
	"time"

	"github.com/hashicorp/memberlist"

	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/operr"
)

// Kinds of messages, as their first byte.
const (
	messageDigest          = 'a' + iota // a digest that requests the receiver's digest
	messageDigestReply                  // a digest that does not
	messageCells                        // cells that a digest lacked
	messageSnapshotRequest              // requests a snapshot
	messageSnapshotReply                // a snapshot, empty if there is none
)

const (
	maxDigestsPerRound = 16   // digests answered; if more processes send theirs, other members answer them in later rounds
	maxDatagram        = 1300 // bytes; longer messages are sent over TCP
)

// roundLoad counts the messages received since the last round, to limit the processor time spent on them.
type roundLoad struct {
	digests, messages, snapshotRequests int
}

// admit counts a message and reports whether it is within a round's limits. The limits protect the data path's share of
// the processor against senders that flood the port.
func (l *roundLoad) admit(isDigest bool, burst int) bool {
	if isDigest {
		l.digests++
	}
	l.messages++
	return l.messages <= 4*burst+4*maxDigestsPerRound && !(isDigest && l.digests > maxDigestsPerRound)
}

func (c *Cluster) run(ctx context.Context) {
	defer c.tasks.Done()
	ticker := time.NewTicker(c.options.Interval)
	defer ticker.Stop()
	c.loop(ctx, ticker.C)
}

// loop handles ticks and messages until ctx ends.
func (c *Cluster) loop(ctx context.Context, tick <-chan time.Time) {
	for {
		switch _, _, m, _, which := sync.First4(tick, c.wake, c.inbox, ctx.Done()); which {
		case 0:
			c.round()
		case 1:
			c.mu.Lock()
			c.drain()
			c.mu.Unlock()
		case 2:
			c.handle(m)
		default:
			return
		}
	}
}

// round sends the digest to the next member.
func (c *Cluster) round() {
	c.rounds.Add(1)
	c.thisRound = roundLoad{}
	others := map[string]*memberlist.Node{}
	for _, n := range c.members.Members() {
		if n.Name != c.options.Name {
			others[n.Name] = n
		}
	}
	c.mu.Lock()
	c.drain()
	if c.options.BeforeRound != nil {
		c.options.BeforeRound(c.options.Since(), c.state)
	}
	digest := c.state.Digest(c.options.Since())
	to := c.nextMember(others)
	c.mu.Unlock()
	if to != nil {
		c.send(to, messageDigest, digest)
	}
}

// nextMember returns the next of the members in random order, each once before any is repeated. It returns nil if there
// is none. The caller holds c.mu.
func (c *Cluster) nextMember(others map[string]*memberlist.Node) (to *memberlist.Node) {
	for range 2 { // the second time with a new order
		for to == nil && len(c.roundOrder) > 0 {
			to = others[c.roundOrder[0]]
			c.roundOrder = c.roundOrder[1:]
		}
		if to == nil {
			for _, n := range c.members.Members() {
				c.roundOrder = append(c.roundOrder, n.Name)
			}
			c.rand.Shuffle(len(c.roundOrder), func(i, j int) {
				c.roundOrder[i], c.roundOrder[j] = c.roundOrder[j], c.roundOrder[i]
			})
		}
	}
	return to
}

func (c *Cluster) send(to *memberlist.Node, kind byte, body []byte) {
	b := append([]byte{kind}, body...)
	var err error
	if len(b) <= maxDatagram {
		err = c.members.SendBestEffort(to, b)
	} else {
		err = c.members.SendReliable(to, b)
	}
	if err != nil {
		c.sendErrors.Add(1)
		return
	}
	c.sent.Add(1)
	c.bytesSent.Add(int64(len(b)))
}

// handle handles a nonempty message from another process.
func (c *Cluster) handle(b []byte) {
	c.received.Add(1)
	c.bytesReceived.Add(int64(len(b)))
	kind, body := b[0], b[1:]
	isDigest := kind == messageDigest || kind == messageDigestReply
	if !c.thisRound.admit(isDigest, c.options.Burst) {
		c.queueOverflows.Add(1)
		return
	}
	switch {
	case isDigest:
		c.answerDigest(body, kind == messageDigest)
	case kind == messageSnapshotRequest:
		c.answerSnapshotRequest(body)
	default: // includes unknown kinds, which the state counts as unreadable
		c.mergeCells(body)
	}
}

func (c *Cluster) mergeCells(message []byte) {
	c.mu.Lock()
	sync.Writes(c.state)
	err := c.state.Merge(c.options.Since(), message)
	c.mu.Unlock()
	c.logDropped(err)
}

// answerDigest sends to the sender of a digest the cells that it lacks and, if requested, this process's digest.
func (c *Cluster) answerDigest(digest []byte, withReply bool) {
	c.mu.Lock()
	sync.Writes(c.state)
	now := c.options.Since()
	c.drain()
	var reply []byte
	cells, err := c.state.Diff(now, digest)
	if err == nil && withReply {
		reply = c.state.Digest(now)
	}
	start := 0
	if n := len(cells); n > c.options.Burst { // starts at a random message, so that each is sent in some round
		start = c.rand.IntN(n)
	}
	c.mu.Unlock()
	if err != nil {
		c.logDropped(err)
		return
	}
	sender, err := nodestats.DigestSender(digest)
	if err != nil || sender == c.options.Name {
		return
	}
	for _, to := range c.members.Members() {
		if to.Name != sender {
			continue
		}
		for i := range min(len(cells), c.options.Burst) {
			c.send(to, messageCells, cells[(start+i)%len(cells)])
		}
		c.deferred.Add(int64(max(0, len(cells)-c.options.Burst)))
		if reply != nil {
			c.send(to, messageDigestReply, reply)
		}
	}
}

// logDropped logs the error for which a message was dropped. It does nothing if the error is nil.
func (c *Cluster) logDropped(err error) {
	if err != nil {
		c.options.Log.WithFields(operr.Fields(err)).Debug("gossip message dropped")
	}
}
