package httpfront

import (
	"context"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// Connect implements core.NodeClient.
func (n *node) Connect(f func(policy.Status)) bool { return n.mailbox.Put(nodeMessage{preconnect: f}) }

// preconnect opens a connection before an attempt needs it, unless one is already idle or being dialled. It evicts no idle
// connection of another node. Attempts may wait for the dial; afterwards the connection is idle like any other.
func (n *node) preconnect(f func(policy.Status)) {
	for k := len(n.idle); k > 0 && !transport.IsReusable(n.idle[k-1].socket); k = len(n.idle) {
		n.closeUnusable(n.idle[k-1])
	}
	if n.draining.Load() || n.closing || n.connCount > len(n.busy) {
		sync.Go(func() { f(policy.Abandoned) })
		return
	}
	if n.addressPool != nil {
		n.addressPool.preconnect(f)
		return
	}
	c := n.newConn(n.dialer.reserveUnusedConn)
	if c == nil {
		sync.Go(func() { f(policy.Abandoned) })
		return
	}
	n.startDial(c, time.Since(n.started), f)
}

// startDial dials a connection in a new goroutine, and calls f, if not nil, with the result.
func (n *node) startDial(c *conn, now time.Duration, f func(policy.Status)) {
	c.dialID = n.waiting.ConnectStarted(now)
	sync.Go(func() {
		err := c.ensureConnected(context.Background())
		n.mailbox.PutUnbounded(nodeMessage{opened: c, broken: err != nil})
		if f != nil {
			f(dialStatus(err == nil))
		}
		if err == nil {
			c.run()
		}
	})
}

// dialStatus returns the status of a dial.
func dialStatus(ok bool) policy.Status {
	if ok {
		return policy.OK
	}
	return policy.ConnectFailed
}

// preconnect makes the selector open a connection for a request that is dropped once the connection is open and idle. The
// caller has checked that no connection is idle or being dialled.
func (p *addressPool) preconnect(f func(policy.Status)) {
	if len(p.requests) > 0 || p.node.dialer.open.Load() >= p.node.dialer.maxConns() { // the selector already opens connections for these requests, or the connection limit is reached
		go f(policy.Abandoned)
		return
	}
	request := p.addRequest(&connRequest{preconnect: f})
	request.ctx, request.stop = context.WithTimeout(context.Background(), p.node.dialer.ConnectTimeout)
	p.queueRequest(request, false, false)
}

// endPreconnects ends the preconnect request when a connection is open, before the selector is notified of the connection.
func (p *addressPool) endPreconnects() {
	for _, request := range p.requests {
		if request.preconnect != nil { // there is at most one
			p.removeRequest(request)
			go request.preconnect(policy.OK)
			p.selector.Step(address.Event{Kind: address.RequestCancelled, Req: request.req})
		}
	}
}
