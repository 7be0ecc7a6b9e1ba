package httpfront

import (
	"context"
	"slices"
	"time"

	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const (
	maxNodeConns   = 64  // connections to one node; above any window of the module
	idleShare      = 0.6 // of the node's own idle limit, so that it is not the node that closes
	idleCheckEvery = time.Second
)

// idleBounds is how many connections are kept idle, and for how long. Both are less where the node lacks capacity.
func (n *node) idleBounds() (int, time.Duration) {
	return n.scarcity.IdleBounds(time.Since(n.started), maxNodeConns, time.Duration(idleShare*float64(n.dialer.ConnIdle)))
}

// idleLimit is how long a connection is kept idle.
func (n *node) idleLimit() time.Duration {
	_, limit := n.idleBounds()
	return limit
}

// recordCapacity records, once for each connection, what it showed of the node's capacity for more.
func (n *node) recordCapacity(c *conn) {
	hint := c.capacity
	c.capacity = capacityUnknown
	switch now := time.Since(n.started); {
	case hint == capacityNone:
		n.scarcity.ConnectRejected(now)
	case hint == capacityDoubtful || hint == capacityFree && c.slowDial:
		n.scarcity.ConnectLate(now)
	case hint == capacityFree:
		n.scarcity.ConnectTimely(c.dialStarted)
	}
	n.closeSurplusIdle()
}

// closeSurplusIdle closes idle connections beyond the number that is kept.
func (n *node) closeSurplusIdle() {
	for maxIdle, _ := n.idleBounds(); len(n.idle) > maxIdle; {
		n.closeIdle(n.idle[0])
	}
}

// closeExpiredIdle closes the connections that have been idle for longer than idleLimit.
func (n *node) closeExpiredIdle() {
	old := time.Now().Add(-n.idleLimit())
	for len(n.idle) > 0 && n.idle[0].idleAt.Before(old) {
		n.closeIdle(n.idle[0])
	}
	if n.addressPool != nil {
		n.addressPool.closeExpiredIdle(old)
	}
}

// uncountConn removes one connection from the counts.
func (n *node) uncountConn() {
	n.connCount--
	n.dialer.open.Add(-1)
}

// closeAllIdle closes all idle connections.
func (n *node) closeAllIdle() {
	for len(n.idle) > 0 {
		n.closeIdle(n.idle[0])
	}
}

// connEvicted removes an idle connection that another node evicted. Its descriptor counts for that node.
func (n *node) connEvicted(c *conn) {
	n.idle = slices.DeleteFunc(n.idle, func(o *conn) bool { return o == c })
	sync.Close(c.jobs)
	n.connCount--
}

// connReturned takes back a connection after its job.
func (n *node) connReturned(c *conn, broken bool) {
	delete(n.busy, c.attempt)
	c.attempt = nil
	if c.stop != nil {
		c.stop()
	}
	n.recordCapacity(c)
	if broken {
		n.uncountConn()
		return
	}
	n.makeAvailable(c)
}

// outdatedReturned takes back a connection to an address that the node no longer has: it is not used again.
func (n *node) outdatedReturned(c *conn, broken bool) {
	delete(n.busy, c.attempt)
	if c.stop != nil {
		c.stop()
	}
	if !broken {
		sync.Close(c.jobs)
	}
	n.uncountConn()
}

// closeIdle closes an idle connection.
func (n *node) closeIdle(c *conn) {
	n.idle = slices.DeleteFunc(n.idle, func(o *conn) bool { return o == c })
	if n.dialer.idle.remove(c) { // otherwise it was evicted, and that message is in the mailbox
		sync.Close(c.jobs)
		n.uncountConn()
	}
}

// makeAvailable assigns a free connection to the first waiting attempt; where none waits it becomes idle.
func (n *node) makeAvailable(c *conn) {
	for {
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
		n.closeIdle(c)
	}
	n.closeSurplusIdle()
}

// dialEnded handles the end of a dial.
func (n *node) dialEnded(c *conn, failed bool) {
	now := time.Since(n.started)
	switch {
	case c.address != n.address: // the address was replaced meanwhile: another connection is opened
		n.waiting.ConnectSucceeded(now, c.dialID)
		n.uncountConn()
		if !failed {
			sync.Close(c.jobs)
		}
	case failed:
		n.uncountConn()
		n.recordCapacity(c)
		if a, ok := n.waiting.ConnectFailed(now, c.dialID, len(n.busy)); ok {
			sync.Go(func() { a.Done(core.Result{Status: policy.ConnectFailed}) })
		}
	default:
		took := n.waiting.ConnectSucceeded(now, c.dialID)
		n.dialer.dialEstimate.record(took)
		c.slowDial = took > n.dialer.ConnectTimeout/2
		if n.waiting.Len() == 0 && len(n.idle) > 0 {
			sync.Close(c.jobs) // it was opened beside a slow one: one idle connection is enough
			n.uncountConn()
			return
		}
		n.makeAvailable(c)
	}
}

// slowDial is how long a dial may take before another is started beside it.
func (n *node) slowDial() time.Duration {
	return max(connqueue.MinLate, connqueue.LateFactor*n.dialer.dialEstimate.value(), n.dialer.FreeConnWait)
}

// takeIdle takes the last used idle connection that is still open; nil: there is none.
func (n *node) takeIdle() *conn {
	for len(n.idle) > 0 {
		c := n.idle[len(n.idle)-1]
		if transport.IsReusable(c.socket) { // the node has neither closed it nor written to it
			n.idle = n.idle[:len(n.idle)-1]
			if n.dialer.idle.remove(c) {
				return c
			}
			continue
		}
		n.closeIdle(c)
	}
	return nil
}

// openConn starts the dial of another connection; false: the bounds on connections allow none.
func (n *node) openConn(now time.Duration) bool {
	c := n.newConn(n.dialer.reservePlace)
	if c == nil {
		return false
	}
	n.startDial(c, now, nil)
	return true
}

// newConn makes a connection that is counted and not yet dialled; nil: the bounds on connections allow none. place
// takes its place among the dialer's.
func (n *node) newConn(place func() bool) *conn {
	if n.connCount >= maxNodeConns || !place() {
		return nil
	}
	n.connCount++
	return &conn{node: n, address: n.address, host: n.host, jobs: make(chan job, 1), dialStarted: time.Since(n.started)}
}

// connForProbe takes an idle connection or makes a new one; nil: the bounds on connections allow none.
func (n *node) connForProbe() *conn {
	c := n.takeIdle()
	if c == nil {
		if c = n.newConn(n.dialer.reservePlace); c != nil {
			sync.Go(c.run)
		}
	}
	return c
}

// assign gives a connection an attempt to carry.
func (n *node) assign(a *core.Attempt, c *conn) {
	c.attempt = a
	n.busy[a] = c
	c.ctx, c.stop = context.WithDeadline(context.Background(), a.Deadline)
	sync.Send(c.jobs, job{attempt: a, ctx: c.ctx})
}
