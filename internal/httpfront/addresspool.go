package httpfront

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// AddressConfig is what the nodes with several addresses share: the settings, which may change while they run, and which
// log lines have been written.
type AddressConfig struct {
	Seed          uint64
	settings      atomic.Pointer[AddressSettings]
	familyMissing [8]sync.Once // by family: the log line that this machine lacks it
}

// AddressSettings are the settings of the selectors, and the header field in which nodes name themselves; "": none.
type AddressSettings struct {
	Selector       address.Settings
	IdentityHeader string
}

// Set changes the settings, also of nodes that are connected.
func (r *AddressConfig) Set(s AddressSettings) { r.settings.Store(&s) }

// current returns the present settings, or the defaults before Set.
func (r *AddressConfig) current() *AddressSettings {
	if s := r.settings.Load(); s != nil {
		return s
	}
	r.settings.CompareAndSwap(nil, &AddressSettings{Selector: address.Defaults()})
	return r.settings.Load()
}

// addressPool is the part of a node's actor that serves a node with several addresses. The address selector decides:
// the pool executes its actions and reports the events to it, and has no rules of its own.
type addressPool struct {
	node            *node
	config          *AddressConfig
	settings        *AddressSettings
	selector        *transport.AddressLoop
	conns           map[address.Conn]*addressConn
	requests        map[address.Req]*connRequest
	byAttempt       map[*core.Attempt]*connRequest
	lastID          address.Req
	removalReported bool // the node's removal was reported to the selector
}

// connRequest is one use of a connection, waiting for one or carried by one: an attempt, a health check or a preconnect.
type connRequest struct {
	req        address.Req
	attempt    *core.Attempt
	probe      func(core.Result, time.Duration)
	preconnect func(policy.Status) // nothing is written: a connection is enough
	ctx        context.Context
	stop       context.CancelFunc
	stopWatch  func() bool
	conn       *addressConn // connection that carries it; nil while it waits
	startedAt  time.Time
}

// newAddressPool returns the pool of a node, with an empty selector.
func newAddressPool(n *node) *addressPool {
	r := n.dialer.Addresses
	if r == nil {
		r = &AddressConfig{}
	}
	p := &addressPool{node: n, config: r, settings: r.current(), conns: map[address.Conn]*addressConn{},
		requests: map[address.Req]*connRequest{}, byAttempt: map[*core.Attempt]*connRequest{}}
	set := p.settings.Selector
	set.MaxConns, set.MaxWaiting = maxNodeConns, nodeMailboxSize
	h := fnv.New64a() // so that each node draws different backoffs
	h.Write([]byte(n.name))
	book, err := address.New(set, r.Seed^h.Sum64())
	if err != nil { // the settings were checked when they were read
		panic("address settings: " + err.Error())
	}
	p.selector = transport.NewAddressLoop(book, p.execute)
	return p
}

// log is the dialer's log, or one that writes nothing.
func (p *addressPool) log() logrus.FieldLogger {
	if p.node.dialer.Log == nil {
		l := logrus.New()
		l.SetLevel(logrus.PanicLevel)
		return l
	}
	return p.node.dialer.Log
}

// handle handles one of the node's messages.
func (p *addressPool) handle(m nodeMessage) {
	switch {
	case m.send != nil:
		w := p.addRequest(&connRequest{attempt: m.send})
		w.ctx, w.stop = context.WithDeadline(context.Background(), m.send.Deadline)
		p.byAttempt[m.send] = w
		p.queueRequest(w, p.node.dialer.idempotent(m.send.Request), m.send.Request.Shard >= 0)
	case m.probe != nil:
		w := p.addRequest(&connRequest{probe: m.probe})
		w.ctx, w.stop = context.WithTimeout(context.Background(), probeTimeout)
		p.queueRequest(w, true, false)
	case m.cancel != nil:
		if w := p.byAttempt[m.cancel]; w != nil {
			w.stop()
		}
	case m.close:
		p.node.closing = true
	case m.addressMessage != nil:
		p.handleMessage(m.addressMessage)
	}
}

// addRequest adds a request under a new id.
func (p *addressPool) addRequest(w *connRequest) *connRequest {
	p.lastID++
	w.req, w.startedAt = p.lastID, time.Now()
	p.requests[w.req] = w
	return w
}

// queueRequest asks the selector for a connection for a request. safe: it may be repeated freely; named: it names a shard, so that
// an answer from another node shows as a rejection.
func (p *addressPool) queueRequest(w *connRequest, safe, named bool) {
	p.selector.Step(address.Event{Kind: address.RequestQueued, Req: w.req, Idempotent: safe, NamesShard: named})
	p.watchDeadline(w)
}

// watchDeadline notifies the actor when the context of a waiting request ends.
func (p *addressPool) watchDeadline(w *connRequest) {
	if p.requests[w.req] == w && w.conn == nil {
		w.stopWatch = context.AfterFunc(w.ctx, func() { p.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{expired: w}}) })
	}
}

// handleMessage handles a message from the goroutines of the connections.
func (p *addressPool) handleMessage(m *addressMessage) {
	switch {
	case m.connected != nil:
		if m.connected.ready = p.conns[m.connected.id] == m.connected; m.connected.ready { // otherwise the selector has closed it, and its context is cancelled
			p.endPreconnects()
		}
		p.selector.Step(address.Event{Kind: address.Connected, Conn: m.connected.id})
	case m.failed != nil:
		if p.conns[m.failed.id] == m.failed {
			p.removeConn(m.failed)
			p.logMissingFamily(m.failed.address, m.reason)
		}
		p.selector.Step(address.Event{Kind: address.ConnectFailed, Conn: m.failed.id, Reason: m.reason})
	case m.expired != nil:
		if w := m.expired; p.requests[w.req] == w && w.conn == nil {
			p.endUnsent(w, unsentResult(w.ctx))
			p.selector.Step(address.Event{Kind: address.RequestDropped, Req: w.req})
		}
	case m.returned != nil:
		p.connReturned(m)
	case m.unsent != nil:
		p.resend(m.unsent)
	}
}

// resend takes back the request of a connection that was unusable before the write: it goes by another connection.
func (p *addressPool) resend(t *addressConn) {
	w := t.request
	t.request, w.conn = nil, nil
	if p.conns[t.id] != t { // the selector has closed the connection, and with it the request
		p.endUnsent(w, unsentResult(w.ctx))
		return
	}
	t.cancelRun()
	p.removeConn(t)
	p.selector.Step(address.Event{Kind: address.ConnBroken, Conn: t.id, Reason: address.ReasonUnwritten})
	p.watchDeadline(w)
}

// connReturned takes back a connection whose request is over, and reports the result to the selector.
func (p *addressPool) connReturned(m *addressMessage) {
	t := m.returned
	w := t.request
	t.request, t.lastUsed = nil, time.Now()
	w.conn = nil
	p.removeRequest(w)
	if m.rejected != nil {
		if m.event.Verdict == address.VerdictWrongNode || p.selector.MayBeWrongNode(p.selector.Now(), t.id) {
			m.rejected.Status = policy.Abandoned // another node rejected it: it never ran, and does not show that this node is full
		}
		go w.attempt.Done(*m.rejected)
	}
	if p.conns[t.id] != t {
		return // the selector has closed it
	}
	if e := m.event; e.Kind != address.ResponseReceived || !e.KeepAlive {
		t.cancelRun()
		p.removeConn(t)
	}
	m.event.Conn, m.event.Req = t.id, w.req
	p.selector.Step(m.event)
}

// removeRequest removes a request that has ended.
func (p *addressPool) removeRequest(w *connRequest) {
	if w.stopWatch != nil {
		w.stopWatch()
	}
	w.stop()
	delete(p.requests, w.req)
	if w.attempt != nil {
		delete(p.byAttempt, w.attempt)
	}
}

// endUnsent ends a request of which nothing was written.
func (p *addressPool) endUnsent(w *connRequest, r core.Result) {
	p.removeRequest(w)
	switch {
	case w.probe != nil:
		go w.probe(r, time.Since(w.startedAt))
		return
	case w.preconnect != nil:
		go w.preconnect(r.Status)
		return
	}
	go w.attempt.Done(r) // Done may wait for the core's mailbox
}

// removeConn removes a connection from the counts; its goroutine has ended or is about to.
func (p *addressPool) removeConn(t *addressConn) {
	delete(p.conns, t.id)
	p.node.uncountConn()
}

// logMissingFamily logs, once for each address family, that this machine lacks it.
func (p *addressPool) logMissingFamily(a address.Addr, why address.Reason) {
	if why == address.ReasonNoFamily {
		p.config.familyMissing[a.Kind()].Do(func() {
			p.log().WithField("family", a.Kind().String()).Info("this machine has none: such addresses are passed over")
		})
	}
}

// closeExpiredIdle closes the connections idle since before a time.
func (p *addressPool) closeExpiredIdle(before time.Time) {
	for _, t := range p.conns {
		if t.ready && t.request == nil && !t.lastUsed.IsZero() && t.lastUsed.Before(before) {
			p.closeConn(t)
			p.selector.Step(address.Event{Kind: address.IdleConnClosed, Conn: t.id})
		}
	}
}

// applyChanges reports a drain, the node's leaving and new settings to the selector, and returns the channel of its timer. It
// is called after each message.
func (p *addressPool) applyChanges() <-chan time.Time {
	p.selector.SetDraining(p.node.draining.Load())
	if p.node.closing && !p.removalReported {
		p.removalReported = true
		p.selector.Step(address.Event{Kind: address.NodeRemoved})
	}
	if s := p.config.current(); s != p.settings {
		p.settings = s
		p.selector.Adjust(s.Selector)
	}
	return p.selector.ArmTimer()
}

// execute carries out one action of the selector.
func (p *addressPool) execute(a address.Action) {
	switch a.Kind {
	case address.Connect:
		p.connect(a)
	case address.Write:
		p.write(p.conns[a.Conn], p.requests[a.Req])
	case address.Close:
		if t := p.conns[a.Conn]; t != nil {
			p.closeConn(t)
		}
	case address.Fail:
		if w := p.requests[a.Req]; w != nil {
			p.endUnsent(w, unsentResult(w.ctx))
		}
	case address.LogState:
		p.log().WithFields(logrus.Fields{"node": p.node.name, "address": a.Addr.String(), "state": a.State.String(), "why": a.Reason.String()}).
			Info("address")
	}
}

// connect starts a connection that the selector asks for.
func (p *addressPool) connect(a address.Action) {
	t := &addressConn{id: a.Conn, conn: conn{node: p.node, address: a.Addr, host: hostOf(a.Addr, p.node.name), jobs: make(chan job, 1),
		identity: p.settings.IdentityHeader}}
	if !p.node.dialer.reservePlace() {
		p.selector.Step(address.Event{Kind: address.ConnectFailed, Conn: a.Conn, Reason: address.ReasonNoResource})
		return
	}
	p.node.connCount++
	p.conns[t.id] = t
	ctx, quit := context.WithCancel(context.Background())
	t.cancelRun = quit
	go t.run(ctx)
}

// closeConn closes a connection, also one that is being dialled. A request that it carries is cancelled.
func (p *addressPool) closeConn(t *addressConn) {
	t.cancelRun()
	if t.request != nil {
		t.request.stop()
	}
	p.removeConn(t)
}

// write gives a connection its request. Where the connection has become unusable the selector is told that nothing was
// written, and the request goes by another.
func (p *addressPool) write(t *addressConn, w *connRequest) {
	if t == nil || w == nil {
		panic("the book writes what it has been told is over")
	}
	if !t.lastUsed.IsZero() && !transport.IsReusable(t.socket) { // the node has closed it or written to it
		p.closeConn(t)
		p.selector.Step(address.Event{Kind: address.ConnBroken, Conn: t.id, Reason: address.ReasonUnwritten})
		return
	}
	if w.stopWatch != nil {
		w.stopWatch()
		w.stopWatch = nil
	}
	w.conn, t.request = t, w
	t.jobs <- job{attempt: w.attempt, ctx: w.ctx, probe: w.probe}
}
