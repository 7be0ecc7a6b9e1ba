package httpfront

import (
	"time"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
)

// unrequestedLogInterval is the minimum interval between logged messages about the unrequested bytes of one node.
const unrequestedLogInterval = time.Second

// maxRestWait is how long an attempt waits for the end of a rest where a connect would be due.
const maxRestWait = 25 * time.Millisecond

// resting reports whether the connection must not carry a request yet.
func (c *conn) resting(now time.Time) bool { return now.Before(c.restUntil) }

// startRest makes a connection rest after a response that has just ended.
func (n *node) startRest(c *conn) {
	if rest := n.reuse.Rest(time.Since(n.started)); rest > 0 {
		c.restUntil, c.restChecked = time.Now().Add(rest), false
	}
}

// nextRestEnd returns when the next rest of an idle connection ends.
func (n *node) nextRestEnd() (at time.Time, ok bool) {
	for _, c := range n.idle {
		if !c.restUntil.IsZero() && !c.restChecked && (!ok || c.restUntil.Before(at)) {
			at, ok = c.restUntil, true
		}
	}
	if n.addressPool != nil {
		if next, rests := n.addressPool.nextRestEnd(); rests && (!ok || next.Before(at)) {
			at, ok = next, true
		}
	}
	return at, ok
}

// endRests checks the connections whose rest has ended, and closes those on which something has arrived.
func (n *node) endRests() {
	now := time.Now()
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		if c.restChecked || c.restUntil.IsZero() || c.resting(now) {
			continue
		}
		c.restChecked = true
		if !transport.IsReusable(c.socket) {
			n.closeUnusable(c)
		}
	}
	if n.addressPool != nil {
		n.addressPool.endRests(now)
	}
}

// assignRested assigns idle connections that need not rest any more to the attempts that wait.
func (n *node) assignRested() {
	for n.waiting.Len() > 0 {
		c := n.takeIdle()
		if c == nil {
			return
		}
		n.makeAvailable(c)
	}
}

// inUse returns how many connections carry an attempt or rest after one. Both will be free without a new connect. It notifies
// the queue of those whose rest ends within maxRestWait.
func (n *node) inUse() int {
	now, resting, freeSoon := time.Now(), 0, 0
	for _, c := range n.idle {
		if c.resting(now) {
			resting++
		}
		if c.resting(now) && !c.resting(now.Add(maxRestWait)) {
			freeSoon++
		}
	}
	n.waiting.SetFreeSoon(freeSoon)
	return len(n.busy) + resting
}

// closeUnusable closes an idle connection that the node has closed or on which it sent unrequested bytes.
func (n *node) closeUnusable(c *conn) {
	c.unrequested = c.unrequested || transport.HasInput(c.socket)
	reason := unusableReason(c)
	n.recordUnrequested(&c.unrequested)
	n.closeIdle(c, reason)
}

// recordUnrequested counts the unrequested bytes that were seen on a connection, and resets the mark.
func (n *node) recordUnrequested(seen *bool) {
	if !*seen {
		return
	}
	*seen = false
	now := time.Since(n.started)
	n.reuse.RecordUnrequested(now)
	n.dialer.unrequested.Add(1)
	if n.dialer.Log == nil || n.unrequestedLoggedAt > 0 && now-n.unrequestedLoggedAt < unrequestedLogInterval {
		return
	}
	n.unrequestedLoggedAt = now
	err := &UnrequestedBytesError{Node: n.name, Connections: n.reuse.Unrequested()}
	n.dialer.Log.WithFields(operr.Fields(err)).Warn("storage node sent bytes that no request asked for, closing the connection")
}
