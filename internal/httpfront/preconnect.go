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

// preconnect opens a connection that no attempt waits for yet, where none is idle or being dialled. No idle
// connection of another node is evicted for it. While it is dialled attempts may wait for it, and after that it
// is idle like any other.
func (n *node) preconnect(f func(policy.Status)) {
	for k := len(n.idle); k > 0 && !transport.IsReusable(n.idle[k-1].socket); k = len(n.idle) {
		n.closeIdle(n.idle[k-1])
	}
	if n.draining.Load() || n.closing || n.connCount > len(n.busy) {
		sync.Go(func() { f(policy.Abandoned) })
		return
	}
	if n.addressPool != nil {
		n.addressPool.preconnect(f)
		return
	}
	c := n.newConn(n.dialer.reserveFreePlace)
	if c == nil {
		sync.Go(func() { f(policy.Abandoned) })
		return
	}
	n.startDial(c, time.Since(n.started), f)
}

// startDial dials a connection in its own goroutine, and calls f, if not nil, with the result.
func (n *node) startDial(c *conn, now time.Duration, f func(policy.Status)) {
	c.dialID = n.waiting.ConnectStarted(now)
	sync.Go(func() {
		err := c.ensureUp(context.Background())
		n.mailbox.PutUnbounded(nodeMessage{opened: c, broken: err != nil})
		if f != nil {
			f(dialStatus(err == nil))
		}
		if err == nil {
			c.run()
		}
	})
}

// dialStatus is the status of a dial.
func dialStatus(ok bool) policy.Status {
	if ok {
		return policy.OK
	}
	return policy.ConnectFailed
}

// preconnect has the selector open a connection for a request that is dropped once the connection is up and idle. The
// caller has checked that there is none.
func (p *addressPool) preconnect(f func(policy.Status)) {
	if len(p.requests) > 0 || p.node.dialer.open.Load() >= p.node.dialer.MaxConns { // connections are opened for the requests that wait
		go f(policy.Abandoned)
		return
	}
	w := p.addRequest(&connRequest{preconnect: f})
	w.ctx, w.stop = context.WithTimeout(context.Background(), p.node.dialer.ConnectTimeout)
	p.queueRequest(w, false, false)
}

// endPreconnects ends the preconnect requests: a connection has come up, which the selector learns next.
func (p *addressPool) endPreconnects() {
	for _, w := range p.requests {
		if w.preconnect != nil { // there is one at most
			p.removeRequest(w)
			go w.preconnect(policy.OK)
			p.selector.Step(address.Event{Kind: address.RequestDropped, Req: w.req})
		}
	}
}
