package httpfront

import (
	"context"
	"errors"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/mailbox"
	"wheatsaddle/policy"
)

const nodeMailboxSize = 512 // messages; when it is full sends by the core are rejected

// nodeMessage is one message to a node's actor: the fields of one kind are set.
type nodeMessage struct {
	send, cancel   *core.Attempt
	returned       *conn         // its job is over; it is free, or closed if broken
	resend         *core.Attempt // of returned, which was found unusable before a byte of the attempt was written
	broken         bool
	opened         *conn // its dial has ended; it failed if broken
	evicted        *conn // closed, as another node took its descriptor
	probe          func(core.Result, time.Duration)
	preconnect     func(policy.Status) // result of a connection that no attempt waits for
	close          bool
	addressMessage *addressMessage
}

// node is the actor of one storage node. It owns the connections to the node and the attempts that wait for one; fields
// other than mailbox and draining are the actor's alone.
type node struct {
	dialer      *Dialer
	name        string
	address     address.Addr // the only one; zero where addressPool is set
	host        string
	addressPool *addressPool // set from the first second address on
	mailbox     *mailbox.Queue[nodeMessage]
	draining    atomic.Bool
	idle        []*conn // in the order in which they became idle
	busy        map[*core.Attempt]*conn
	waiting     *connqueue.Queue[*core.Attempt] // attempts that wait for a connection
	scarcity    connqueue.IdleLimiter           // whether the node refuses connections for lack of capacity
	started     time.Time                       // origin of the times given to waiting and scarcity
	connCount   int
	closing     bool
}

// Send implements core.NodeClient.
func (n *node) Send(a *core.Attempt) bool { return n.mailbox.Put(nodeMessage{send: a}) }

// Cancel implements core.NodeClient. It may exceed the mailbox's size, as there is at most one for each send.
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

// run is the actor's loop: it ends once the node is closed, its connections are gone and its mailbox is empty.
func (n *node) run() {
	var wake <-chan time.Time // timer of the addressPool
	var batch []nodeMessage
	due := time.NewTimer(time.Hour)
	defer due.Stop()
	for !n.closing || n.connCount > 0 || n.mailbox.Len() > 0 {
		// Most nodes of a long list have nothing to do at a given time: they set no timer.
		if at, ok := n.nextWake(); ok {
			due.Reset(time.Until(at))
		} else {
			due.Stop()
		}
		select {
		case <-n.mailbox.Wake():
			batch = n.mailbox.Take(batch)
			for _, m := range batch {
				n.handle(m)
				n.serveWaiting()
				if n.addressPool != nil { // the selector settles before the next message
					wake = n.addressPool.applyChanges()
				}
			}
		case <-due.C:
			n.serveWaiting()
			n.closeExpiredIdle()
		case <-wake:
			n.addressPool.selector.Step(address.Event{Kind: address.TimerFired})
		}
		if n.addressPool != nil {
			wake = n.addressPool.applyChanges()
		}
	}
	if n.addressPool != nil {
		n.addressPool.selector.Timer.Stop()
	}
}

// nextWake is when the waiting attempts or the idle connections have to be looked at next.
func (n *node) nextWake() (at time.Time, ok bool) {
	if len(n.idle) > 0 {
		limit := n.idleLimit()
		at, ok = n.idle[0].idleAt.Add(limit+min(limit, idleCheckEvery)/2), true
	}
	if n.addressPool != nil && n.connCount > 0 {
		if next := time.Now().Add(idleCheckEvery); !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	if wait, waits := n.waiting.Next(time.Since(n.started), n.slowDial()); waits {
		if next := n.started.Add(wait); !ok || next.Before(at) {
			at, ok = next, true
		}
	}
	return at, ok
}

// handle handles one message. Where the node has several addresses, its selector decides on sends, cancels and probes.
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
		n.closeAllIdle()
	}
}

// probe asks the node for its load, by an idle or a new connection.
func (n *node) probe(f func(core.Result, time.Duration)) {
	c := n.connForProbe()
	if c == nil {
		go f(core.Result{Status: policy.ConnectFailed}, 0)
		return
	}
	c.jobs <- job{probe: f}
}

// send assigns an attempt an idle connection, or adds it to those that wait.
func (n *node) send(a *core.Attempt) {
	if a.Abandoned() {
		sync.Go(func() { a.Done(core.Result{Status: policy.Abandoned}) })
		return
	}
	if c := n.takeIdle(); c != nil {
		n.assign(a, c)
		return
	}
	n.waiting.Enqueue(time.Since(n.started), a) // serveWaiting opens a connection where it has to
}

// resend sends an attempt by another connection, as nothing of it was written on c.
func (n *node) resend(c *conn, a *core.Attempt) {
	delete(n.busy, a)
	cancelled := errors.Is(c.ctx.Err(), context.Canceled)
	c.stop()
	n.uncountConn()
	switch {
	case cancelled:
		sync.Go(func() { a.Done(core.Result{Status: policy.Cancelled}) })
	case n.addressPool != nil:
		n.addressPool.handle(nodeMessage{send: a})
	default:
		n.send(a)
	}
}

// serveWaiting opens connections for the attempts that have waited long enough for one in use, and ends those that
// have waited too long. Where the node drains or has left, all of them end.
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
	now := time.Since(n.started)
	for a, ok := n.waiting.PopExpired(now); ok; a, ok = n.waiting.PopExpired(now) {
		sync.Go(func() { a.Done(core.Result{Status: policy.ConnectFailed}) })
	}
	for range n.waiting.ConnectsDue(now, len(n.busy), n.slowDial()) {
		if n.openConn(now) {
			continue
		}
		if a, ok := n.waiting.DropLast(now, len(n.busy)); ok {
			sync.Go(func() { a.Done(core.Result{Status: policy.ConnectFailed}) })
		}
	}
}

// setAddresses replaces the node's addresses. A single address needs no selector; the first time there are more, a
// pool with a selector is made, and it stays from then on.
func (n *node) setAddresses(list []address.Addr) {
	if n.addressPool == nil && len(list) == 1 {
		if n.address != list[0] {
			n.address, n.host = list[0], hostOf(list[0], n.name)
			n.closeAllIdle() // those in use finish, and are not used again
		}
		return
	}
	if n.addressPool == nil {
		n.address = address.Addr{}
		n.closeAllIdle()
		n.addressPool = newAddressPool(n)
	}
	n.addressPool.selector.Step(address.Event{Kind: address.AddressesChanged, Addrs: list})
	for a, ok := n.waiting.Pop(); ok; a, ok = n.waiting.Pop() { // the selector decides on them too
		n.addressPool.handle(nodeMessage{send: a})
	}
}

// hostOf is the Host field of a message. A socket file has no host; the node's name stands for it.
func hostOf(a address.Addr, name string) string {
	if a.Kind() == address.Unix {
		return name
	}
	_, host := a.Dial()
	return host
}
