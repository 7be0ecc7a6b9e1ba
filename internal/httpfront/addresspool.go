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

// AddressConfig is the state shared by all nodes with several addresses: the settings, which may change at run time, and the
// record of log lines that are written only once.
type AddressConfig struct {
	Seed         uint64
	settings     atomic.Pointer[AddressSettings]
	familyLogged [8]sync.Once // by address family: whether its absence on this machine was logged
}

// AddressSettings are the settings of the address selectors, and the header field in which nodes name themselves ("" if none).
type AddressSettings struct {
	Selector       address.Settings
	IdentityHeader string
}

// Set changes the settings, including those of connected nodes.
func (r *AddressConfig) Set(s AddressSettings) { r.settings.Store(&s) }

// current returns the current settings, or the defaults before the first Set.
func (r *AddressConfig) current() *AddressSettings {
	if s := r.settings.Load(); s != nil {
		return s
	}
	r.settings.CompareAndSwap(nil, &AddressSettings{Selector: address.Defaults()})
	return r.settings.Load()
}

// addressPool is the part of a node's actor for a node with several addresses. The address selector makes all decisions: the
// pool reports events to it and executes its actions.
type addressPool struct {
	node            *node
	config          *AddressConfig
	settings        *AddressSettings
	selector        *transport.AddressLoop
	conns           map[address.Conn]*addressConn
	requests        map[address.Req]*connRequest
	byAttempt       map[*core.Attempt]*connRequest
	lastID          address.Req
	removalReported bool // the removal of the node was reported to the selector
}

// connRequest is an attempt, a health check or a preconnect that waits for a connection or is carried by one.
type connRequest struct {
	req        address.Req
	attempt    *core.Attempt
	probe      func(core.Result, time.Duration)
	preconnect func(policy.Status) // nothing is written; the request ends when a connection is open
	ctx        context.Context
	stop       context.CancelFunc
	stopWatch  func() bool
	conn       *addressConn // connection that carries it; nil while it waits for one
	startedAt  time.Time
}

// newAddressPool returns the pool of a node, with an empty selector.
func newAddressPool(n *node) *addressPool {
	config := n.dialer.Addresses
	if config == nil {
		config = &AddressConfig{}
	}
	p := &addressPool{node: n, config: config, settings: config.current(), conns: map[address.Conn]*addressConn{},
		requests: map[address.Req]*connRequest{}, byAttempt: map[*core.Attempt]*connRequest{}}
	settings := p.settings.Selector
	settings.MaxConns, settings.MaxWaiting = maxNodeConns, nodeMailboxSize
	h := fnv.New64a() // each node draws different backoffs
	h.Write([]byte(n.name))
	selector, err := address.New(settings, config.Seed^h.Sum64())
	if err != nil { // cannot happen, as the settings were validated when they were read
		panic("create address selector: " + err.Error())
	}
	p.selector = transport.NewAddressLoop(selector, p.execute)
	return p
}

// log returns the dialer's log, or one that discards everything.
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
		request := p.addRequest(&connRequest{attempt: m.send})
		request.ctx, request.stop = context.WithDeadline(context.Background(), m.send.Deadline)
		p.byAttempt[m.send] = request
		p.queueRequest(request, p.node.dialer.idempotent(m.send.Request), m.send.Request.Shard >= 0)
	case m.probe != nil:
		request := p.addRequest(&connRequest{probe: m.probe})
		request.ctx, request.stop = context.WithTimeout(context.Background(), probeTimeout)
		p.queueRequest(request, true, false)
	case m.cancel != nil:
		if request := p.byAttempt[m.cancel]; request != nil {
			request.stop()
		}
	case m.close:
		p.node.closing = true
	case m.addressMessage != nil:
		p.handleMessage(m.addressMessage)
	}
}

// addRequest adds a request under a new id.
func (p *addressPool) addRequest(request *connRequest) *connRequest {
	p.lastID++
	request.req, request.startedAt = p.lastID, time.Now()
	p.requests[request.req] = request
	return request
}

// queueRequest asks the selector for a connection for a request. namesShard says that the request names a shard, so that another
// node would reject it.
func (p *addressPool) queueRequest(request *connRequest, idempotent, namesShard bool) {
	p.selector.Step(address.Event{Kind: address.RequestQueued, Req: request.req, Idempotent: idempotent, NamesShard: namesShard})
	p.watchDeadline(request)
}

// watchDeadline notifies the actor when the context of a waiting request ends.
func (p *addressPool) watchDeadline(request *connRequest) {
	if p.requests[request.req] == request && request.conn == nil {
		request.stopWatch = context.AfterFunc(request.ctx, func() { p.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{expired: request}}) })
	}
}

// handleMessage handles a message from the goroutines of the connections.
func (p *addressPool) handleMessage(m *addressMessage) {
	switch {
	case m.connected != nil:
		if m.connected.ready = p.conns[m.connected.id] == m.connected; m.connected.ready { // otherwise the selector has closed the connection and cancelled its context
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
		if request := m.expired; p.requests[request.req] == request && request.conn == nil {
			p.endUnsent(request, unsentResult(request.ctx))
			p.selector.Step(address.Event{Kind: address.RequestCancelled, Req: request.req})
		}
	case m.returned != nil:
		p.connReturned(m)
	case m.unsent != nil:
		p.resend(m.unsent)
	}
}

// resend takes back the request of a connection that was unusable before the write, and sends it over another one.
func (p *addressPool) resend(t *addressConn) {
	request := t.request
	t.request, request.conn = nil, nil
	if p.conns[t.id] != t { // the selector has closed the connection, which ends the request
		p.endUnsent(request, unsentResult(request.ctx))
		return
	}
	p.node.recordUnrequested(&t.unrequested)
	t.cancelRun()
	p.removeConn(t)
	p.selector.Step(address.Event{Kind: address.ConnBroken, Conn: t.id, Reason: address.ReasonUnwritten})
	p.watchDeadline(request)
}

// connReturned takes back a connection whose request has ended, and reports the result to the selector.
func (p *addressPool) connReturned(m *addressMessage) {
	t := m.returned
	request := t.request
	t.request, t.lastUsed = nil, time.Now()
	request.conn = nil
	p.removeRequest(request)
	if m.rejected != nil {
		if m.event.Verdict == address.VerdictWrongNode || p.selector.MayBeWrongNode(p.selector.Now(), t.id) {
			m.rejected.Status = policy.Abandoned // another node rejected it, or may have: it has not run, and does not show that this node is full
		}
		go request.attempt.Done(*m.rejected)
	}
	if p.conns[t.id] != t {
		return // the selector has closed the connection
	}
	p.node.recordUnrequested(&t.unrequested)
	if e := m.event; e.Kind != address.ResponseReceived || !e.KeepAlive {
		t.cancelRun()
		p.removeConn(t)
	} else {
		p.node.startRest(&t.conn)
		m.event.Resting = t.resting(time.Now())
	}
	m.event.Conn, m.event.Req = t.id, request.req
	p.selector.Step(m.event)
}

// removeRequest removes a request that has ended.
func (p *addressPool) removeRequest(request *connRequest) {
	if request.stopWatch != nil {
		request.stopWatch()
	}
	request.stop()
	delete(p.requests, request.req)
	if request.attempt != nil {
		delete(p.byAttempt, request.attempt)
	}
}

// endUnsent ends a request of which nothing was written.
func (p *addressPool) endUnsent(request *connRequest, r core.Result) {
	p.removeRequest(request)
	switch {
	case request.probe != nil:
		go request.probe(r, time.Since(request.startedAt))
		return
	case request.preconnect != nil:
		go request.preconnect(r.Status)
		return
	}
	go request.attempt.Done(r) // Done may wait for the core's mailbox
}

// removeConn removes a connection from the counts; its goroutine has ended or is about to end.
func (p *addressPool) removeConn(t *addressConn) {
	delete(p.conns, t.id)
	p.node.uncountConn(&t.conn)
}

// logMissingFamily logs, once for each address family, that it is not available on this machine.
func (p *addressPool) logMissingFamily(a address.Addr, reason address.Reason) {
	if reason == address.ReasonNoFamily {
		p.config.familyLogged[a.Family()].Do(func() {
			p.log().WithField("family", a.Family().String()).Info("address family is not available on this machine; skipping its addresses")
		})
	}
}

// closeExpiredIdle closes the connections that have been idle since before the given time.
func (p *addressPool) closeExpiredIdle(before time.Time) {
	for _, t := range p.conns {
		if t.ready && t.request == nil && !t.lastUsed.IsZero() && t.lastUsed.Before(before) {
			p.closeConn(t)
			p.selector.Step(address.Event{Kind: address.IdleConnClosed, Conn: t.id})
		}
	}
}

// nextRestEnd returns when the next rest of a connection ends.
func (p *addressPool) nextRestEnd() (at time.Time, ok bool) {
	for _, t := range p.conns {
		if t.awaitsRestEnd() && (!ok || t.restUntil.Before(at)) {
			at, ok = t.restUntil, true
		}
	}
	return at, ok
}

// awaitsRestEnd reports whether the selector has not been notified of the end of the connection's rest.
func (t *addressConn) awaitsRestEnd() bool {
	return t.request == nil && !t.restUntil.IsZero() && !t.restChecked
}

// endRests notifies the selector of the connections whose rest has ended, and closes those on which something has arrived.
func (p *addressPool) endRests(now time.Time) {
	for _, t := range p.conns {
		if !t.awaitsRestEnd() || t.resting(now) {
			continue
		}
		t.restChecked = true
		event := address.Event{Kind: address.ConnRested, Conn: t.id}
		if !transport.IsReusable(t.socket) {
			t.unrequested = transport.HasInput(t.socket)
			p.node.recordUnrequested(&t.unrequested)
			p.closeConn(t)
			event.Kind = address.IdleConnClosed
		}
		p.selector.Step(event)
	}
}

// applyChanges reports a drain, the removal of the node and new settings to the selector, and returns the channel of its timer.
// It is called after each message.
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
		if request := p.requests[a.Req]; request != nil {
			p.endUnsent(request, unsentResult(request.ctx))
		}
	case address.LogState:
		p.log().WithFields(logrus.Fields{"node": p.node.name, "address": a.Addr.String(), "state": a.State.String(), "why": a.Reason.String()}).
			Info("address")
	}
}

// connect starts a connection that the selector requests.
func (p *addressPool) connect(a address.Action) {
	t := &addressConn{id: a.Conn, conn: conn{node: p.node, address: a.Addr, host: hostHeader(a.Addr, p.node.name), jobs: make(chan job, 1),
		identity: p.settings.IdentityHeader}}
	if !p.node.dialer.reserveConn() {
		p.selector.Step(address.Event{Kind: address.ConnectFailed, Conn: a.Conn, Reason: address.ReasonNoResource})
		return
	}
	p.node.connCount++
	p.conns[t.id] = t
	ctx, cancel := context.WithCancel(context.Background())
	t.cancelRun = cancel
	go t.run(ctx)
}

// closeConn closes a connection or cancels its dial. A request that it carries is cancelled.
func (p *addressPool) closeConn(t *addressConn) {
	t.cancelRun()
	if t.request != nil {
		t.request.stop()
	}
	if t.closeReason.get() == "" {
		t.closeReason.set(reasonSelector)
	}
	p.removeConn(t)
}

// write assigns a request to a connection. If the connection has become unusable, the selector is notified that nothing was
// written, and the request goes over another one.
func (p *addressPool) write(t *addressConn, request *connRequest) {
	if t == nil || request == nil {
		panic("address selector wrote a request or connection that has ended")
	}
	if !t.lastUsed.IsZero() && !transport.IsReusable(t.socket) { // the node has closed it or written to it
		t.unrequested = transport.HasInput(t.socket)
		t.closeReason.set(unusableReason(&t.conn))
		p.node.recordUnrequested(&t.unrequested)
		p.closeConn(t)
		p.selector.Step(address.Event{Kind: address.ConnBroken, Conn: t.id, Reason: address.ReasonUnwritten})
		return
	}
	if request.stopWatch != nil {
		request.stopWatch()
		request.stopWatch = nil
	}
	request.conn, t.request = t, request
	t.jobs <- job{attempt: request.attempt, ctx: request.ctx, probe: request.probe}
}
