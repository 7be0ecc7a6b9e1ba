package httpfront

import (
	"context"
	"errors"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/connreuse"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/mailbox"
	"wheatsaddle/policy"
)

const nodeMailboxSize = 512 // messages; a full mailbox rejects sends by the core

// nodeMessage is one message to a node's actor; only the fields of one kind are set.
type nodeMessage struct {
	send, cancel   *core.Attempt
	returned       *conn         // its job has ended; it is free, or closed if broken is set
	resend         *core.Attempt // attempt to send again, as returned was unusable before a byte of it was written
	broken         bool
	opened         *conn // its dial has ended, and failed if broken is set
	evicted        *conn // closed to free its descriptor for another node
	probe          func(core.Result, time.Duration)
	preconnect     func(policy.Status) // callback for the result of a preconnect
	close          bool
	addressMessage *addressMessage
}

// node is the actor of one storage node. It owns the connections to the node and the attempts that wait for a connection.
// Only the actor accesses the fields other than mailbox, draining and passingOn.
type node struct {
	dialer              *Dialer
	name                string
	address             address.Addr // the only address; zero if addressPool is set
	host                string
	addressPool         *addressPool // set once the node has had more than one address
	mailbox             *mailbox.Queue[nodeMessage]
	draining            atomic.Bool
	passingOn           atomic.Int64 // connections whose response is passed on while it arrives
	idle                []*conn      // in the order in which they became idle
	busy                map[*core.Attempt]*conn
	waiting             *connqueue.Queue[*core.Attempt] // attempts that wait for a connection
	idleLimiter         connqueue.IdleLimiter           // bounds idle connections while the node lacks capacity for connections
	reuse               connreuse.History               // when a connection may carry its next request
	started             time.Time                       // origin of the times passed to waiting and idleLimiter
	connCount           int
	unrequestedLoggedAt time.Duration // when unrequested bytes were last logged; 0: never
	closing             bool
}

// Send implements core.NodeClient.
func (n *node) Send(a *core.Attempt) bool { return n.mailbox.Put(nodeMessage{send: a}) }

// Cancel implements core.NodeClient. It may exceed the size of the mailbox, as there is at most one cancel for each send.
func (n *node) Cancel(a *core.Attempt) { n.mailbox.PutUnbounded(nodeMessage{cancel: a}) }

// CheckHealth implements core.NodeClient.
func (n *node) CheckHealth(f func(core.Result, time.Duration)) bool {
	return n.mailbox.Put(nodeMessage{probe: f})
}

// Drain implements core.NodeClient. It takes effect at once, also for attempts in the mailbox.
func (n *node) Drain(on bool) {
	if n.draining.Swap(on) != on {
		n.mailbox.PutUnbounded(nodeMessage{}) // wakes the actor, which reads draining after each message
	}
}

// SetAddresses implements core.NodeClient.
func (n *node) SetAddresses(addresses []address.Addr) {
	n.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{addresses: addresses}})
}

// Close implements core.NodeClient.
func (n *node) Close() { n.mailbox.PutUnbounded(nodeMessage{close: true}) }

// run is the actor's loop. It returns once the node is closed, its connections are closed and its mailbox is empty.
func (n *node) run() {
	var selectorTimer <-chan time.Time // timer of the address selector
	var batch []nodeMessage
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !n.closing || n.connCount > 0 || n.mailbox.Len() > 0 {
		// Most nodes of a long list are inactive at any time and need no timer.
		if at, ok := n.nextWake(); ok {
			timer.Reset(time.Until(at))
		} else {
			timer.Stop()
		}
		select {
		case <-n.mailbox.Wake():
			batch = n.mailbox.Take(batch)
			for _, m := range batch {
				n.handle(m)
				n.serveWaiting()
				if n.addressPool != nil { // the selector sees all changes before the next message
					selectorTimer = n.addressPool.applyChanges()
				}
			}
			clear(batch) // an idle node must not keep its last attempts in memory
		case <-timer.C:
			n.endRests()
			n.serveWaiting()
			n.closeExpiredIdle()
		case <-selectorTimer:
			n.addressPool.selector.Step(address.Event{Kind: address.TimerFired})
		}
		if n.addressPool != nil {
			selectorTimer = n.addressPool.applyChanges()
		}
	}
	if n.addressPool != nil {
		n.addressPool.selector.Timer.Stop()
	}
}

// nextWake returns when the waiting attempts or the idle connections have to be checked next.
func (n *node) nextWake() (at time.Time, ok bool) {
	if len(n.idle) > 0 {
		limit := n.idleLimit()
		at, ok = n.idle[0].idleAt.Add(limit+min(limit, idleCheckInterval)/2), true
	}
	if n.addressPool != nil && n.connCount > 0 {
		if next := time.Now().Add(idleCheckInterval); !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	if next, rests := n.nextRestEnd(); rests && (!ok || next.Before(at)) {
		at, ok = next, true
	}
	if wait, waits := n.waiting.Next(time.Since(n.started), n.secondDialDelay()); waits {
		if next := n.started.Add(wait); !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	return at, ok
}

// handle handles one message. If the node has several addresses, its selector decides on sends, cancels and probes.
func (n *node) handle(m nodeMessage) {
	switch {
	case m.evicted != nil:
		n.connEvicted(m.evicted)
	case m.opened != nil:
		n.dialEnded(m.opened, m.broken)
	case m.resend != nil:
		n.resend(m.returned, m.resend)
	case m.addressMessage != nil && m.addressMessage.addresses != nil:
		n.setAddresses(m.addressMessage.addresses)
	case m.returned != nil && m.returned.address != n.address:
		n.outdatedReturned(m.returned, m.broken)
	case m.preconnect != nil:
		n.preconnect(m.preconnect)
	case m.cancel != nil && n.busy[m.cancel] != nil:
		n.busy[m.cancel].cancel()
	case n.addressPool != nil:
		n.addressPool.handle(m)
	case m.send != nil:
		n.send(m.send)
	case m.cancel != nil:
		if n.waiting.Remove(m.cancel) {
			sync.Go(func() { m.cancel.Done(core.Result{Status: policy.Cancelled}) })
		}
	case m.returned != nil:
		n.connReturned(m.returned, m.broken)
	case m.probe != nil:
		n.probe(m.probe)
	case m.close:
		n.closing = true
		n.closeAllIdle(reasonNodeRemoved)
	}
}

// probe requests the node's load over an idle or a new connection.
func (n *node) probe(f func(core.Result, time.Duration)) {
	c := n.connForProbe()
	if c == nil {
		go f(core.Result{Status: policy.ConnectFailed}, 0)
		return
	}
	c.jobs <- job{probe: f}
}

// send assigns an idle connection to an attempt, or adds the attempt to the waiting ones.
func (n *node) send(a *core.Attempt) {
	if a.Abandoned() {
		sync.Go(func() { a.Done(core.Result{Status: policy.Abandoned}) })
		return
	}
	if c := n.takeIdle(); c != nil {
		n.assign(a, c)
		return
	}
	n.waiting.Enqueue(time.Since(n.started), a) // serveWaiting opens a connection if needed
}

// resend sends an attempt over another connection, as nothing of it was written to c.
func (n *node) resend(c *conn, a *core.Attempt) {
	delete(n.busy, a)
	cancelled := errors.Is(c.ctx.Err(), context.Canceled)
	n.recordUnrequested(&c.unrequested)
	c.stop()
	n.uncountConn(c)
	switch {
	case cancelled:
		sync.Go(func() { a.Done(core.Result{Status: policy.Cancelled}) })
	case n.addressPool != nil:
		n.addressPool.handle(nodeMessage{send: a})
	default:
		n.send(a)
	}
}

// serveWaiting opens connections for the attempts that have waited long enough for a busy connection, and fails those that
// have waited too long. If the node is draining or removed, all of them fail.
func (n *node) serveWaiting() {
	for n.draining.Load() || n.closing {
		a, ok := n.waiting.Pop()
		if !ok {
			return
		}
		sync.Go(func() { a.Done(core.Result{Status: policy.ConnectFailed}) })
	}
	if n.waiting.Len() == 0 {
		return
	}
	n.assignRested()
	now := time.Since(n.started)
	for a, ok := n.waiting.PopExpired(now); ok; a, ok = n.waiting.PopExpired(now) {
		sync.Go(func() { a.Done(core.Result{Status: policy.ConnectFailed}) })
	}
	for range n.waiting.ConnectsDue(now, n.inUse(), n.secondDialDelay()) {
		if n.openConn(now) {
			continue
		}
		if a, ok := n.waiting.DropLast(now, n.inUse()); ok {
			sync.Go(func() { a.Done(core.Result{Status: policy.ConnectFailed}) })
		}
	}
}

// setAddresses replaces the node's addresses. A single address needs no selector. When there are several for the first time,
// it creates a pool with a selector, which the node keeps from then on.
func (n *node) setAddresses(list []address.Addr) {
	if n.addressPool == nil && len(list) == 1 {
		if n.address != list[0] {
			n.address, n.host = list[0], hostHeader(list[0], n.name)
			n.closeAllIdle(reasonAddressChanged) // busy connections finish their attempt and are not reused
		}
		return
	}
	if n.addressPool == nil {
		n.address = address.Addr{}
		n.closeAllIdle(reasonAddressChanged)
		n.addressPool = newAddressPool(n)
	}
	n.addressPool.selector.Step(address.Event{Kind: address.AddressesChanged, Addrs: list})
	for a, ok := n.waiting.Pop(); ok; a, ok = n.waiting.Pop() { // the selector decides on the waiting attempts too
		n.addressPool.handle(nodeMessage{send: a})
	}
}

// hostHeader returns the Host field of a message. For a Unix socket, which has no host, it is the node's name.
func hostHeader(a address.Addr, name string) string {
	if a.Family() == address.Unix {
		return name
	}
	_, host := a.Dial()
	return host
}
