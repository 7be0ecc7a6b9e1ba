package httpfront

import (
	"context"
	"slices"
	"time"

	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const (
	// maxNodeConns is the number of connections to one node, above any concurrency window of the core. Those on which a response
	// is passed on are not counted: clients that read slowly hold these, and others must not wait for them.
	maxNodeConns        = 64
	idleTimeoutFraction = 0.6 // of the node's own idle timeout, so that the node does not close first
	idleCheckInterval   = time.Second
)

// idleBounds returns how many connections may be idle, and for how long. Both are lower while the node lacks capacity.
func (n *node) idleBounds() (int, time.Duration) {
	return n.idleLimiter.IdleBounds(time.Since(n.started), maxNodeConns, time.Duration(idleTimeoutFraction*float64(n.dialer.ConnIdle)))
}

// idleLimit returns how long a connection may be idle.
func (n *node) idleLimit() time.Duration {
	_, limit := n.idleBounds()
	return limit
}

// recordCapacity records, once for each connection, what it showed about the node's capacity for more connections.
func (n *node) recordCapacity(c *conn) {
	hint := c.capacity
	c.capacity = capacityUnknown
	switch now := time.Since(n.started); {
	case hint == capacityNone:
		n.idleLimiter.ConnectRejected(now)
	case hint == capacityUncertain || hint == capacityFree && c.slowDial:
		n.idleLimiter.ConnectLate(now)
	case hint == capacityFree:
		n.idleLimiter.ConnectTimely(c.dialStarted)
	}
	n.closeSurplusIdle()
}

// closeSurplusIdle closes idle connections above the bound. Those for which attempts wait are no surplus.
func (n *node) closeSurplusIdle() {
	for maxIdle, _ := n.idleBounds(); len(n.idle)-n.waiting.Len() > maxIdle; {
		n.closeIdle(n.idle[0], reasonIdleSurplus)
	}
}

// closeExpiredIdle closes the connections that have been idle for longer than idleLimit.
func (n *node) closeExpiredIdle() {
	cutoff := time.Now().Add(-n.idleLimit())
	for len(n.idle) > 0 && n.idle[0].idleAt.Before(cutoff) {
		n.closeIdle(n.idle[0], reasonIdleExpired)
	}
	if n.addressPool != nil {
		n.addressPool.closeExpiredIdle(cutoff)
	}
}

// uncountConn removes a connection from the counts and records its close.
func (n *node) uncountConn(c *conn) {
	n.recordClose(c, attemptID(c.attempt))
	n.connCount--
	n.dialer.open.Add(-1)
	n.dialer.Memory.Release(memory.NodeConnection, nodeConnBytes)
}

// attemptID returns the request id of an attempt, "" for none.
func attemptID(a *core.Attempt) string {
	if a == nil || a.Request == nil {
		return ""
	}
	return a.Request.ID
}

// closeAllIdle closes all idle connections.
func (n *node) closeAllIdle(reason eventlog.Reason) {
	for len(n.idle) > 0 {
		n.closeIdle(n.idle[0], reason)
	}
}

// connEvicted removes an idle connection that another node has evicted. Its descriptor now counts for that node.
func (n *node) connEvicted(c *conn) {
	n.idle = slices.DeleteFunc(n.idle, func(o *conn) bool { return o == c })
	sync.Close(c.jobs)
	n.connCount--
	c.closeReason.set(reasonEvicted)
	n.recordClose(c, "")
}

// connReturned takes back a connection after its job.
func (n *node) connReturned(c *conn, broken bool) {
	delete(n.busy, c.attempt)
	if c.stop != nil {
		c.stop()
	}
	n.recordCapacity(c)
	n.recordUnrequested(&c.unrequested)
	if broken {
		n.uncountConn(c)
		c.attempt = nil
		return
	}
	c.attempt = nil
	n.startRest(c)
	n.makeAvailable(c)
}

// outdatedReturned takes back a connection to an address that the node no longer has. It is not reused.
func (n *node) outdatedReturned(c *conn, broken bool) {
	delete(n.busy, c.attempt)
	if c.stop != nil {
		c.stop()
	}
	n.recordUnrequested(&c.unrequested)
	if !broken {
		c.closeReason.set(reasonAddressChanged)
		sync.Close(c.jobs)
	}
	n.uncountConn(c)
	c.attempt = nil
}

// closeIdle closes an idle connection.
func (n *node) closeIdle(c *conn, reason eventlog.Reason) {
	n.idle = slices.DeleteFunc(n.idle, func(o *conn) bool { return o == c })
	if n.dialer.idle.remove(c) { // otherwise it was evicted, and the message about that is in the mailbox
		c.closeReason.set(reason)
		sync.Close(c.jobs)
		n.uncountConn(c)
	}
}

// makeAvailable assigns a free connection to the first waiting attempt. If none waits, or the connection has to rest, it
// becomes idle.
func (n *node) makeAvailable(c *conn) {
	for !c.resting(time.Now()) {
		a, ok := n.waiting.Pop()
		switch {
		case ok && a.Abandoned():
			sync.Go(func() { a.Done(core.Result{Status: policy.Abandoned}) })
			continue
		case ok:
			n.assign(a, c)
			return
		}
		break
	}
	c.idleAt = time.Now()
	n.idle = append(n.idle, c)
	n.dialer.idle.put(c)
	if n.closing {
		n.closeIdle(c, reasonNodeRemoved)
	}
	n.closeSurplusIdle()
}

// dialEnded handles the end of a dial.
func (n *node) dialEnded(c *conn, failed bool) {
	now := time.Since(n.started)
	switch {
	case c.address != n.address: // the address was replaced in the meantime: another connection is opened
		n.waiting.ConnectSucceeded(now, c.dialID)
		if !failed {
			c.closeReason.set(reasonAddressChanged)
		}
		n.uncountConn(c)
		if !failed {
			sync.Close(c.jobs)
		}
	case failed:
		n.uncountConn(c)
		n.recordCapacity(c)
		if a, ok := n.waiting.ConnectFailed(now, c.dialID, n.inUse()); ok {
			sync.Go(func() { a.Done(core.Result{Status: policy.ConnectFailed}) })
		}
	default:
		duration := n.waiting.ConnectSucceeded(now, c.dialID)
		n.dialer.dialEstimate.record(duration)
		c.slowDial = duration > n.dialer.ConnectTimeout/2
		if n.waiting.Len() == 0 && len(n.idle) > 0 {
			sync.Close(c.jobs) // it was dialled because another dial was slow, and one idle connection is enough
			c.closeReason.set(reasonSpareDial)
			n.uncountConn(c)
			return
		}
		n.makeAvailable(c)
	}
}

// secondDialDelay returns how long a dial may take before a second one is started in parallel.
func (n *node) secondDialDelay() time.Duration {
	return max(connqueue.MinLateConnectTime, connqueue.LateConnectFactor*n.dialer.dialEstimate.value(), n.dialer.FreeConnWait)
}

// takeIdle takes the most recently used idle connection that is still open and need not rest, or returns nil if there is none.
func (n *node) takeIdle() *conn {
	now := time.Now()
	for i := len(n.idle) - 1; i >= 0; i-- {
		c := n.idle[i]
		switch {
		case c.resting(now):
		case !transport.IsReusable(c.socket): // the node has closed it or written to it
			n.closeUnusable(c)
		default:
			n.idle = slices.Delete(n.idle, i, i+1)
			if n.dialer.idle.remove(c) {
				return c
			}
		}
	}
	return nil
}

// openConn starts the dial of another connection. It returns false if the connection limits allow none.
func (n *node) openConn(now time.Duration) bool {
	c := n.newConn(n.dialer.reserveConn)
	if c == nil {
		return false
	}
	n.startDial(c, now, nil)
	return true
}

// newConn returns a connection that is counted and not yet dialled, or nil if the connection limits allow none. reserve
// counts it in the dialer's total.
func (n *node) newConn(reserve func() bool) *conn {
	if n.connCount-int(n.passingOn.Load()) >= maxNodeConns || !reserve() {
		return nil
	}
	n.connCount++
	return &conn{node: n, address: n.address, host: n.host, jobs: make(chan job, 1), dialStarted: time.Since(n.started)}
}

// connForProbe takes an idle connection or starts a new one. It returns nil if the connection limits allow none.
func (n *node) connForProbe() *conn {
	c := n.takeIdle()
	if c == nil {
		if c = n.newConn(n.dialer.reserveConn); c != nil {
			sync.Go(c.run)
		}
	}
	return c
}

// assign assigns an attempt to a connection.
func (n *node) assign(a *core.Attempt, c *conn) {
	c.attempt = a
	n.busy[a] = c
	c.ctx, c.stop = context.WithDeadline(context.Background(), a.Deadline)
	sync.Send(c.jobs, job{attempt: a, ctx: c.ctx})
}
