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

// Addresses is what the nodes with several addresses share: the settings, which may change while they run, and which
// log lines have been written.
type AddressConfig struct {
	Seed          uint64
	set           atomic.Pointer[AddressSettings]
	familyMissing [8]sync.Once // by family: the log line that this machine lacks it
}

// AddressSettings are the settings of the books, and the header field in which nodes name themselves; "": none.
type AddressSettings struct {
	Selector       address.Settings
	IdentityHeader string
}

// Set changes the settings, also of nodes that are connected.
func (r *AddressConfig) Set(s AddressSettings) { r.set.Store(&s) }

// settings returns the present settings, or the defaults before Set.
func (r *AddressConfig) settings() *AddressSettings {
	if s := r.set.Load(); s != nil {
		return s
	}
	r.set.CompareAndSwap(nil, &AddressSettings{Selector: address.Defaults()})
	return r.set.Load()
}

// paths is the part of a node's actor that serves a node with several addresses. The book of addresses decides:
// paths executes the book's actions and reports the events to it, and has no rules of its own.
type paths struct {
	node        *node
	routes      *AddressConfig
	set         *AddressSettings
	book        *transport.AddressLoop
	conns       map[address.Conn]*path
	works       map[address.Req]*work
	byAttempt   map[*core.Attempt]*work
	lastRequest address.Req
	closed      bool // the book was told that the node has left
}

// work is what waits for a connection or is carried by one: an attempt, a probe, or a preconnect.
type work struct {
	req        address.Req
	attempt    *core.Attempt
	probe      func(core.Result, time.Duration)
	preconnect func(policy.Status) // nothing is written: a connection is enough
	ctx        context.Context
	stop       context.CancelFunc
	stopWatch  func() bool
	path       *path // that carries it; nil: it waits
	startedAt  time.Time
}

// newPaths makes the paths of a node, with an empty book.
func newPaths(n *node) *paths {
	r := n.dialer.Addresses
	if r == nil {
		r = &AddressConfig{}
	}
	p := &paths{node: n, routes: r, set: r.settings(), conns: map[address.Conn]*path{},
		works: map[address.Req]*work{}, byAttempt: map[*core.Attempt]*work{}}
	set := p.set.Selector
	set.MaxConns, set.MaxWaiting = maxNodeConns, nodeMailboxSize
	h := fnv.New64a() // so that each node draws different back-offs
	h.Write([]byte(n.name))
	book, err := address.New(set, r.Seed^h.Sum64())
	if err != nil { // the settings were checked when they were read
		panic("address settings: " + err.Error())
	}
	p.book = transport.NewAddressLoop(book, p.execute)
	return p
}

// log is the dialer's log, or one that writes nothing.
func (p *paths) log() logrus.FieldLogger {
	if p.node.dialer.Log == nil {
		l := logrus.New()
		l.SetLevel(logrus.PanicLevel)
		return l
	}
	return p.node.dialer.Log
}

// handle handles one of the node's messages.
func (p *paths) handle(m nodeMessage) {
	switch {
	case m.send != nil:
		w := p.addWork(&work{attempt: m.send})
		w.ctx, w.stop = context.WithDeadline(context.Background(), m.send.Deadline)
		p.byAttempt[m.send] = w
		p.request(w, p.node.dialer.idempotent(m.send.Request), m.send.Request.Shard >= 0)
	case m.probe != nil:
		w := p.addWork(&work{probe: m.probe})
		w.ctx, w.stop = context.WithTimeout(context.Background(), probeTimeout)
		p.request(w, true, false)
	case m.cancel != nil:
		if w := p.byAttempt[m.cancel]; w != nil {
			w.stop()
		}
	case m.close:
		p.node.closing = true
	case m.path != nil:
		p.handlePath(m.path)
	}
}

// addWork adds a work under a new id.
func (p *paths) addWork(w *work) *work {
	p.lastRequest++
	w.req, w.startedAt = p.lastRequest, time.Now()
	p.works[w.req] = w
	return w
}

// request asks the book for a connection for a work. safe: it may be repeated freely; named: it names a shard, so that
// an answer from another node shows as a rejection.
func (p *paths) request(w *work, safe, named bool) {
	p.book.Step(address.Event{Kind: address.RequestQueued, Req: w.req, Idempotent: safe, NamesShard: named})
	p.watchDeadline(w)
}

// watchDeadline has the actor told when the context of a waiting work ends.
func (p *paths) watchDeadline(w *work) {
	if p.works[w.req] == w && w.path == nil {
		w.stopWatch = context.AfterFunc(w.ctx, func() { p.node.mailbox.PutUnbounded(nodeMessage{path: &pathMessage{expired: w}}) })
	}
}

// handlePath handles a message from the goroutines of the paths.
func (p *paths) handlePath(m *pathMessage) {
	switch {
	case m.connected != nil:
		if m.connected.ready = p.conns[m.connected.id] == m.connected; m.connected.ready { // otherwise the book has closed it, and its context is cancelled
			p.endPreconnects()
		}
		p.book.Step(address.Event{Kind: address.Connected, Conn: m.connected.id})
	case m.failed != nil:
		if p.conns[m.failed.id] == m.failed {
			p.removePath(m.failed)
			p.logMissingFamily(m.failed.address, m.why)
		}
		p.book.Step(address.Event{Kind: address.ConnectFailed, Conn: m.failed.id, Reason: m.why})
	case m.expired != nil:
		if w := m.expired; p.works[w.req] == w && w.path == nil {
			p.endUnsent(w, unsentResult(w.ctx, policy.ConnectFailed))
			p.book.Step(address.Event{Kind: address.RequestDropped, Req: w.req})
		}
	case m.returned != nil:
		p.connReturned(m)
	case m.unsent != nil:
		p.resend(m.unsent)
	}
}

// resend takes back the work of a connection that was unusable before the write: it goes by another connection.
func (p *paths) resend(t *path) {
	w := t.work
	t.work, w.path = nil, nil
	if p.conns[t.id] != t { // the book has closed the connection, and with it the work
		p.endUnsent(w, unsentResult(w.ctx, policy.ConnectFailed))
		return
	}
	t.cancelRun()
	p.removePath(t)
	p.book.Step(address.Event{Kind: address.ConnBroken, Conn: t.id, Reason: address.ReasonUnwritten})
	p.watchDeadline(w)
}

// connReturned takes back a connection whose work is over, and reports the result to the book.
func (p *paths) connReturned(m *pathMessage) {
	t := m.returned
	w := t.work
	t.work, t.lastUsed = nil, time.Now()
	w.path = nil
	p.removeWork(w)
	if m.rejected != nil {
		if m.event.Verdict == address.VerdictWrongNode || p.book.MayBeWrongNode(p.book.Now(), t.id) {
			m.rejected.Status = policy.Abandoned // another node rejected it: it never ran, and does not show that this node is full
		}
		go w.attempt.Done(*m.rejected)
	}
	if p.conns[t.id] != t {
		return // the book has closed it
	}
	if e := m.event; e.Kind != address.ResponseReceived || !e.KeepAlive {
		t.cancelRun()
		p.removePath(t)
	}
	m.event.Conn, m.event.Req = t.id, w.req
	p.book.Step(m.event)
}

// removeWork removes a work that is over.
func (p *paths) removeWork(w *work) {
	if w.stopWatch != nil {
		w.stopWatch()
	}
	w.stop()
	delete(p.works, w.req)
	if w.attempt != nil {
		delete(p.byAttempt, w.attempt)
	}
}

// endUnsent ends a work that was never written.
func (p *paths) endUnsent(w *work, r core.Result) {
	p.removeWork(w)
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

// removePath removes a connection from the counts; its goroutine has ended or is about to.
func (p *paths) removePath(t *path) {
	delete(p.conns, t.id)
	p.node.discount()
}

// logMissingFamily logs, once for each address family, that this machine lacks it.
func (p *paths) logMissingFamily(a address.Addr, why address.Reason) {
	if why == address.ReasonNoFamily {
		p.routes.familyMissing[a.Kind()].Do(func() {
			p.log().WithField("family", a.Kind().String()).Info("this machine has none: such addresses are passed over")
		})
	}
}

// closeExpiredIdle closes the connections idle since before a time.
func (p *paths) closeExpiredIdle(before time.Time) {
	for _, t := range p.conns {
		if t.ready && t.work == nil && !t.lastUsed.IsZero() && t.lastUsed.Before(before) {
			p.closePath(t)
			p.book.Step(address.Event{Kind: address.IdleConnClosed, Conn: t.id})
		}
	}
}

// settle reports a drain, the node's leaving and new settings to the book, and returns the channel of its timer. It
// is called after each message.
func (p *paths) settle() <-chan time.Time {
	p.book.SetDraining(p.node.draining.Load())
	if p.node.closing && !p.closed {
		p.closed = true
		p.book.Step(address.Event{Kind: address.NodeRemoved})
	}
	if s := p.routes.settings(); s != p.set {
		p.set = s
		p.book.Adjust(s.Selector)
	}
	return p.book.ArmTimer()
}

// execute executes one action of the book.
func (p *paths) execute(a address.Action) {
	switch a.Kind {
	case address.Connect:
		p.connect(a)
	case address.Write:
		p.write(p.conns[a.Conn], p.works[a.Req])
	case address.Close:
		if t := p.conns[a.Conn]; t != nil {
			p.closePath(t)
		}
	case address.Fail:
		if w := p.works[a.Req]; w != nil {
			p.endUnsent(w, unsentResult(w.ctx, policy.ConnectFailed))
		}
	case address.LogState:
		p.log().WithFields(logrus.Fields{"node": p.node.name, "address": a.Addr.String(), "state": a.State.String(), "why": a.Reason.String()}).
			Info("address")
	}
}

// connect starts a connection that the book wants.
func (p *paths) connect(a address.Action) {
	t := &path{id: a.Conn, conn: conn{node: p.node, address: a.Addr, host: hostOf(a.Addr, p.node.name), jobs: make(chan job, 1),
		identity: p.set.IdentityHeader}}
	if !p.node.dialer.place() {
		p.book.Step(address.Event{Kind: address.ConnectFailed, Conn: a.Conn, Reason: address.ReasonNoResource})
		return
	}
	p.node.connCount++
	p.conns[t.id] = t
	ctx, quit := context.WithCancel(context.Background())
	t.cancelRun = quit
	go t.run(ctx)
}

// closePath closes a connection, also one that is being dialled or carries a work, which is cancelled.
func (p *paths) closePath(t *path) {
	t.cancelRun()
	if t.work != nil {
		t.work.stop()
	}
	p.removePath(t)
}

// write gives a connection its work. Where the connection has become unusable the book is told that nothing was
// written, and the work goes by another.
func (p *paths) write(t *path, w *work) {
	if t == nil || w == nil {
		panic("the book writes what it has been told is over")
	}
	if !t.lastUsed.IsZero() && !transport.IsReusable(t.socket) { // the node has closed it or written to it
		p.closePath(t)
		p.book.Step(address.Event{Kind: address.ConnBroken, Conn: t.id, Reason: address.ReasonUnwritten})
		return
	}
	if w.stopWatch != nil {
		w.stopWatch()
		w.stopWatch = nil
	}
	w.path, t.work = t, w
	t.jobs <- job{attempt: w.attempt, ctx: w.ctx, probe: w.probe}
}
