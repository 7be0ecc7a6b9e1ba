package iscsi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"os"
	"sync/atomic"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const (
	mailboxSize          = 1024
	maxQueuedCommands    = 256 // commands that wait for the session or its command window
	maxAbandonedCommands = 256 // abandoned commands that the storage target has not finished yet
	peerCheckInterval    = 500 * time.Millisecond
	peerPingAfterSilence = 5 * time.Second
	peerDeadAfterSilence = 10 * time.Second
	logoutTimeout        = 2 * time.Second
	redialDelay          = time.Second
)

// message is an event for the actor of a storage target.
type message struct {
	send, cancel, expired *core.Attempt // expired: the attempt's deadline has passed
	dialed                *loggedInConn
	pdu                   *pdu
	arriving              *pdu // header of a PDU whose rest has not come within progress.NoticeAfter
	from                  *nexus
	err                   error // read error of the session from; if from is nil, error of the dial
	addresses             []address.Addr
	portalLogin           *portalLogin
	flush                 *flush
	close                 bool
}

// loggedInConn is a connection on which the login has succeeded.
type loggedInConn struct {
	netConn  net.Conn
	reader   *bufio.Reader
	addr     address.Addr
	params   params
	maxCmdSN uint32
}

// command is the SCSI command of one attempt.
type command struct {
	attempt  *core.Attempt // nil: its result was reported; the storage target may still finish it
	transfer *transfer
	nexus    *nexus // nil until it is written
	itt      uint32
	cmdSN    uint32
	timer    *time.Timer
	readData []byte // data received for a read; nil once the command is abandoned
	received uint32 // bytes received for a read
	dataSN   uint32
	written  bool        // the complete command PDU was written, so it may run
	notice   *time.Timer // tells core that the target takes the data slowly; nil: it has not requested a part of them
}

// storagePeer is the actor of one storage target. It has one current session, and after a change of
// portal also earlier sessions, which finish their commands. A command never changes its session.
type storagePeer struct {
	dialer           *Dialer
	name, target     string
	addresses        []address.Addr
	portals          *portalSelector // nil: the target has had only one portal at a time
	mailbox          chan message
	done             chan struct{}
	draining         atomic.Bool
	current          *nexus          // the session for new commands, or nil
	retiring         map[*nexus]bool // earlier sessions that finish their commands
	dialing, closing bool
	logoutRequested  bool // the target has requested a logout or dropped the session
	redialAt         time.Time
	queue            []*command
	flushes          []*flush // that wait for a session
	commands         map[*core.Attempt]*command
}

func (p *storagePeer) tryEnqueue(m message) bool {
	select {
	case p.mailbox <- m:
		return true
	default:
		return false
	}
}

// enqueue waits for space in the mailbox. Only goroutines that may block use it.
func (p *storagePeer) enqueue(m message) {
	select {
	case p.mailbox <- m:
	case <-p.done:
	}
}

// Send implements core.NodeClient.
func (p *storagePeer) Send(a *core.Attempt) bool { return p.tryEnqueue(message{send: a}) }

// Cancel implements core.NodeClient. If the mailbox is full, the command runs until its deadline.
func (p *storagePeer) Cancel(a *core.Attempt) { p.tryEnqueue(message{cancel: a}) }

// CheckHealth implements core.NodeClient. It does nothing because storage targets report no load.
func (p *storagePeer) CheckHealth(func(core.Result, time.Duration)) bool { return false }

// Connect implements core.NodeClient. It does nothing because a target has one session, which commands
// open when they need it.
func (p *storagePeer) Connect(func(policy.Status)) bool { return false }

// Drain implements core.NodeClient. It takes effect at once, also for attempts in the mailbox.
func (p *storagePeer) Drain(on bool) {
	if p.draining.Swap(on) != on {
		p.tryEnqueue(message{}) // wakes the actor, which then reads the flag
	}
}

// SetAddresses implements core.NodeClient. Sessions with a removed portal finish their commands.
func (p *storagePeer) SetAddresses(addresses []address.Addr) {
	if m := (message{addresses: addresses}); !p.tryEnqueue(m) {
		go p.enqueue(m)
	}
}

// Close implements core.NodeClient.
func (p *storagePeer) Close() {
	if !p.tryEnqueue(message{close: true}) {
		go p.enqueue(message{close: true})
	}
}

func (p *storagePeer) run() {
	defer close(p.done)
	ticker := time.NewTicker(peerCheckInterval)
	defer ticker.Stop()
	var wake <-chan time.Time // timer of the portal selection
	for !p.closing || len(p.commands) > 0 || len(p.mailbox) > 0 {
		select {
		case m := <-p.mailbox:
			p.handle(m)
		case <-wake:
			p.portals.selector.Step(address.Event{Kind: address.TimerFired})
		case now := <-ticker.C:
			p.checkTimeouts(now)
		}
		p.sendQueued()
		p.sendFlushes()
		if p.portals != nil {
			wake = p.portals.syncSelector()
		}
	}
	p.failFlushes()
	for x := range p.retiring {
		x.logOut()
	}
	if p.current != nil {
		p.current.logOut()
	}
	if p.portals != nil {
		p.portals.shutDown()
	}
}

func (p *storagePeer) handle(m message) {
	switch {
	case m.send != nil:
		p.queueAttempt(m.send)
	case m.cancel != nil:
		p.abandon(m.cancel, policy.Cancelled)
	case m.expired != nil:
		p.abandon(m.expired, policy.TimedOut)
	case m.dialed != nil:
		p.dialing = false
		if p.portals != nil || m.dialed.addr != p.addresses[0] { // the addresses changed meanwhile
			m.dialed.netConn.Close()
			return
		}
		p.makeCurrent(newNexus(p, m.dialed))
	case m.flush != nil:
		p.queueFlush(m.flush)
	case m.portalLogin != nil:
		if p.portals != nil {
			p.portals.handleLogin(m.portalLogin)
		}
	case m.pdu != nil:
		if x := m.from; x.conn != nil {
			x.lastPDUAt, x.pingSent = time.Now(), false
			if err := x.handlePDU(m.pdu); err != nil {
				p.dialer.Log.WithFields(operr.Fields(&ConnectionDroppedError{p.name, err})).Warn("storage target: connection dropped")
				x.disconnect()
			}
			x.releaseIfIdle()
		}
	case m.arriving != nil:
		m.from.noticeArriving(m.arriving)
	case m.err != nil:
		if m.from == nil { // the dial failed
			p.dialing = false
			p.redialAt = time.Now().Add(redialDelay)
			p.failQueue()
		} else {
			m.from.disconnect()
		}
	case m.addresses != nil:
		p.replaceAddresses(m.addresses)
	case m.close:
		p.closing = true
	}
}

// replaceAddresses replaces the portals' addresses. A target with a single portal needs no portal
// selection. It is created when the target first has several, and then kept.
func (p *storagePeer) replaceAddresses(list []address.Addr) {
	p.addresses = list
	if p.portals == nil && len(list) == 1 {
		if p.current != nil && p.current.conn.addr != list[0] {
			p.retireCurrent()
		}
		return
	}
	if p.portals == nil {
		p.portals = newPortalSelector(p)
		p.retireCurrent()
	}
	p.portals.selector.Step(address.Event{Kind: address.AddressesChanged, Addrs: list})
}

// retireCurrent lets the current session finish its commands. New commands no longer use it.
func (p *storagePeer) retireCurrent() {
	if x := p.current; x != nil {
		p.current = nil
		p.retiring[x] = true
		x.releaseIfIdle()
	}
}

// makeCurrent makes a session the one for new commands.
func (p *storagePeer) makeCurrent(x *nexus) {
	p.retireCurrent()
	p.current = x
	if p.logoutRequested { // back after it requested a logout: it has restarted and goes through slow start
		p.logoutRequested = false
		p.reportState(policy.NodeUp, float64(time.Now().UnixMicro())/1000)
	}
}

// reportResult reports the result of a command's attempt to the core. It does so in a new goroutine
// because the core's mailbox may be full.
func (p *storagePeer) reportResult(c *command, r core.Result) {
	a := c.attempt
	if a == nil {
		return
	}
	c.attempt = nil
	c.readData = nil
	c.timer.Stop()
	if c.notice != nil {
		c.notice.Stop()
	}
	delete(p.commands, a)
	go a.Done(r)
}

func (p *storagePeer) queueAttempt(a *core.Attempt) {
	c := &command{attempt: a, transfer: a.Request.Payload.(*transfer)}
	c.timer = time.AfterFunc(time.Until(a.Deadline), func() { p.enqueue(message{expired: a}) })
	p.commands[a] = c
	if len(p.queue) >= maxQueuedCommands {
		p.reportResult(c, core.Result{Status: policy.ConnectFailed})
		return
	}
	p.queue = append(p.queue, c)
}

// sendQueued writes the queued commands that the command window allows. When the target drains, queued
// commands fail; they have not been written and so have not run.
func (p *storagePeer) sendQueued() {
	if len(p.queue) == 0 {
		return
	}
	if p.draining.Load() || p.logoutRequested {
		p.failQueue()
		return
	}
	if p.portals != nil && !p.portals.sessionReady() {
		return
	}
	if p.current == nil {
		p.dial()
		return
	}
	for len(p.queue) > 0 && p.current != nil && p.current.windowOpen() {
		c := takeFirst(&p.queue)
		if c.attempt != nil {
			p.startOrDrop(c)
		}
	}
	if p.current != nil {
		p.current.releaseIfIdle() // all queued commands may have been abandoned
	}
}

// startOrDrop writes a queued command, unless its request was answered meanwhile.
func (p *storagePeer) startOrDrop(c *command) {
	c.transfer.effect.attemptBegan() // before the claim, so that no effect is missed
	if c.attempt.Claim() {
		p.current.startCommand(c)
		return
	}
	c.transfer.effect.attemptFinished()
	p.reportResult(c, core.Result{Status: policy.Abandoned})
}

func (p *storagePeer) failQueue() {
	for _, c := range p.queue {
		p.reportResult(c, core.Result{Status: policy.ConnectFailed})
	}
	p.queue = nil
	p.failFlushes()
}

// dial opens the session with a target that has a single portal.
func (p *storagePeer) dial() {
	if p.dialing || p.portals != nil {
		return
	}
	p.dialing = true
	to := p.addresses[0]
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), p.dialer.ConnectTimeout)
		defer stop()
		l, _, err := p.login(ctx, to)
		if err != nil {
			p.enqueue(message{err: err})
			return
		}
		select {
		case p.mailbox <- message{dialed: l}:
		case <-p.done:
			l.netConn.Close()
		}
	}()
}

// login connects and logs in. With an error it returns the reason that the portal selection records.
func (p *storagePeer) login(ctx context.Context, to address.Addr) (*loggedInConn, address.Reason, error) {
	nc, reason, err := transport.Dial(ctx, to, p.dialer.ConnectTimeout)
	if err != nil {
		return nil, reason, err
	}
	defer context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })()
	l := &loggedInConn{netConn: nc, reader: bufio.NewReaderSize(nc, 16<<10), addr: to}
	if at, ok := ctx.Deadline(); ok {
		err = nc.SetDeadline(at)
	}
	if err == nil {
		l.params, l.maxCmdSN, err = initiatorLogin(nc, l.reader, p.target, p.dialer.Name, p.newISID())
	}
	if err == nil {
		err = nc.SetDeadline(time.Time{})
	}
	if err != nil {
		nc.Close()
		var rejected loginError
		switch {
		case errors.As(err, &rejected) && rejected.status == loginNotFound: // the portal belongs to another target
			reason = address.ReasonWrongNode
		case errors.Is(err, os.ErrDeadlineExceeded):
			reason = address.ReasonTimedOut
		default:
			reason = address.ReasonReset
		}
		return nil, reason, fmt.Errorf("login: %w", err)
	}
	return l, 0, nil
}

// newISID returns a new ISID for each session, so that a new session does not reinstate one that is still
// finishing its commands.
func (p *storagePeer) newISID() uint32 {
	h := fnv.New32a()
	h.Write([]byte(p.name))
	return h.Sum32() ^ rand.Uint32()
}

// reportState passes on a state that a storage target reported, as an update of the endpoint list. A target
// that the configuration drains or no longer contains is not reported as up.
func (p *storagePeer) reportState(state policy.NodeState, since float64) {
	conf, ok := p.dialer.storageTarget(p.name)
	if !ok || state == policy.NodeUp && conf.State != policy.NodeUp {
		return
	}
	if f := p.dialer.listUpdateHandler.Load(); f != nil {
		n := core.ListUpdate{Kind: policy.ListChanged, Nodes: []core.Node{{Addresses: conf.Addresses, Node: policy.Node{ID: p.name,
			Shard: conf.Shard, State: state, Weight: 1, StartTime: since}}}}
		go (*f)(n)
	}
}

// abandon ends an attempt with the given status. A command that was written may still run: its tag
// stays in use, ABORT TASK is sent, and its response is ignored. One that was not written never ran.
func (p *storagePeer) abandon(a *core.Attempt, status policy.Status) {
	c := p.commands[a]
	if c == nil {
		return
	}
	if !c.written {
		status = policy.Abandoned
	}
	p.reportResult(c, core.Result{Status: status})
	if x := c.nexus; c.written && x != nil && x.conn != nil {
		x.abortCommand(c)
		x.releaseIfIdle()
	}
}

func (p *storagePeer) checkTimeouts(now time.Time) {
	if p.current != nil {
		p.current.checkTimeouts(now)
	} else if p.logoutRequested && !p.closing && now.After(p.redialAt) { // to find out whether the target is up again
		if p.portals != nil {
			p.portals.requestSession()
		} else {
			p.dial()
		}
	}
	for x := range p.retiring {
		x.checkTimeouts(now)
	}
	if p.portals != nil {
		p.portals.retryPreferred()
	}
}
