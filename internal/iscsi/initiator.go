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
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const (
	peerMailbox   = 1024
	queueMost     = 256 // commands that wait for the session or its command window
	zombieMost    = 256 // given up, but not yet over at the storage target
	stallTimeout  = time.Second
	peerTick      = 500 * time.Millisecond
	peerPingAfter = 5 * time.Second
	peerDeadAfter = 10 * time.Second
	logoutWait    = 2 * time.Second
	redialEvery   = time.Second
)

// Dialer makes the initiators, one actor for each storage target.
type Dialer struct {
	Name           string // of this initiator
	ConnectTimeout time.Duration
	DropsRepeats   bool
	Log            logrus.FieldLogger
	mu             sync.Mutex
	storage        map[string]config.StorageTarget
	news           atomic.Pointer[func(core.ListUpdate)]
	book           atomic.Pointer[address.Settings]
}

// NewDialer knows the storage targets of a configuration.
func NewDialer(conf *config.ISCSI, name string, connect time.Duration, log logrus.FieldLogger) *Dialer {
	d := &Dialer{Name: name, ConnectTimeout: connect, DropsRepeats: conf.DeduplicatesWrites, Log: log}
	d.Update(conf)
	return d
}

// Update takes the storage targets of a configuration that was read again; it comes before
// the core is told of them.
func (d *Dialer) Update(conf *config.ISCSI) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.storage = map[string]config.StorageTarget{}
	for _, s := range conf.Storage {
		d.storage[s.Name] = s
	}
}

func (d *Dialer) lookup(name string) (config.StorageTarget, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.storage[name]
	return s, ok
}

// Addresses sets how portals are tried, from now on.
func (d *Dialer) Addresses(set address.Settings) { d.book.Store(&set) }

// Report sets where a storage target's own word that it goes, or is back, is to be told.
func (d *Dialer) Report(f func(core.ListUpdate)) { d.news.Store(&f) }

// Nodes is the list that a configuration gives.
func Nodes(conf *config.ISCSI) (out []core.Node) {
	for _, s := range conf.Storage {
		out = append(out, core.Node{Node: policy.Node{ID: s.Name, Shard: s.Shard, State: s.State, Weight: 1}, Addresses: s.Addresses})
	}
	return out
}

// Settings are the module's for this front. Where the storage targets do not drop repeats,
// no keyed class may run twice: a write in doubt must not be sent again.
func Settings(set policy.Settings, conf *config.ISCSI) policy.Settings {
	classes := append([]policy.Class(nil), set.Classes...)
	for i := range classes {
		if classes[i].Effect == policy.IdempotentByKey && !conf.DeduplicatesWrites {
			classes[i].Effect = policy.NonIdempotent
		}
	}
	set.Classes, set.MayCheckHealth = classes, false
	return set
}

// Connect starts the actor of one storage target.
func (d *Dialer) Connect(name string, addresses []address.Addr) core.NodeClient {
	conf, _ := d.lookup(name)
	p := &peer{d: d, name: name, target: conf.Target, mail: make(chan mail, peerMailbox), done: make(chan struct{}),
		byTry: map[*core.Attempt]*command{}, old: map[*nexus]bool{}}
	p.readdress(addresses)
	go p.run()
	return p
}

type mail struct {
	send, cancel, late *core.Attempt
	dialed             *link
	pdu                *pdu
	from               *nexus
	err                error // of from, or of the dial
	addresses          []address.Addr
	portal             *portalMail
	close              bool
}

// link is a connection that has logged in.
type link struct {
	nc     net.Conn
	br     *bufio.Reader
	at     address.Addr
	p      params
	window uint32
}

// command is one attempt as a SCSI command.
type command struct {
	try     *core.Attempt // nil: given up, its end is waited for
	job     *transfer
	on      *nexus // once it is written
	itt     uint32
	cmdSN   uint32
	timer   *time.Timer
	data    []byte // of a read
	dataSN  uint32
	written bool // the command PDU went out whole: it may run
}

// peer is the actor of one storage target: one session, and while it moves from one portal to
// another also those before, which finish their commands. A command never moves.
type peer struct {
	d                *Dialer
	name, target     string
	addresses        []address.Addr
	portals          *portals // of a target with several
	mail             chan mail
	done             chan struct{}
	draining         atomic.Bool
	cur              *nexus          // nil: there is none
	old              map[*nexus]bool // that finish
	dialing, closing bool
	leaving          bool // it has asked us to log out
	redial           time.Time
	queue            []*command
	byTry            map[*core.Attempt]*command
}

func (p *peer) put(m mail) bool {
	select {
	case p.mail <- m:
		return true
	default:
		return false
	}
}

// post waits for room; it is for the actor's own helpers.
func (p *peer) post(m mail) {
	select {
	case p.mail <- m:
	case <-p.done:
	}
}

// Send implements core.NodeClient.
func (p *peer) Send(a *core.Attempt) bool { return p.put(mail{send: a}) }

// Cancel implements core.NodeClient. With the mailbox full the command runs to its time limit.
func (p *peer) Cancel(a *core.Attempt) { p.put(mail{cancel: a}) }

// CheckHealth implements core.NodeClient: these targets report no load.
func (p *peer) CheckHealth(func(core.Result, time.Duration)) bool { return false }

// Connect implements core.NodeClient: a target has one session, which stands or is being opened.
func (p *peer) Connect(func(policy.Status)) bool { return false }

// Drain implements core.NodeClient: it binds at once, also what waits in the mailbox.
func (p *peer) Drain(on bool) {
	if p.draining.Swap(on) != on {
		p.put(mail{}) // the portals look at it whenever something comes
	}
}

// SetAddresses implements core.NodeClient: sessions to a portal that went finish their commands.
func (p *peer) SetAddresses(addresses []address.Addr) {
	if m := (mail{addresses: addresses}); !p.put(m) {
		go p.post(m)
	}
}

// Close implements core.NodeClient.
func (p *peer) Close() {
	if !p.put(mail{close: true}) {
		go p.post(mail{close: true})
	}
}

func (p *peer) run() {
	defer close(p.done)
	tick := time.NewTicker(peerTick)
	defer tick.Stop()
	var wake <-chan time.Time // of the portals
	for !p.closing || len(p.byTry) > 0 || len(p.mail) > 0 {
		select {
		case m := <-p.mail:
			p.take(m)
		case <-wake:
			p.portals.book.Step(address.Event{Kind: address.TimerFired})
		case now := <-tick.C:
			p.tick(now)
		}
		p.pump()
		if p.portals != nil {
			wake = p.portals.settle()
		}
	}
	for x := range p.old {
		x.bye()
	}
	if p.cur != nil {
		p.cur.bye()
	}
	if p.portals != nil {
		p.portals.end()
	}
}

func (p *peer) take(m mail) {
	switch {
	case m.send != nil:
		p.send(m.send)
	case m.cancel != nil:
		p.giveUp(m.cancel, policy.Cancelled)
	case m.late != nil:
		p.giveUp(m.late, policy.TimedOut)
	case m.dialed != nil:
		p.dialing = false
		if p.portals != nil || m.dialed.at != p.addresses[0] { // it leads to where we no longer go
			m.dialed.nc.Close()
			return
		}
		p.use(newNexus(p, m.dialed))
	case m.portal != nil:
		if p.portals != nil {
			p.portals.hear(m.portal)
		}
	case m.pdu != nil:
		if x := m.from; x.link != nil {
			x.heard, x.pinged = time.Now(), false
			if err := x.hear(m.pdu); err != nil {
				p.d.Log.WithFields(operr.Fields(&Dropped{p.name, err})).Warn("storage target: connection dropped")
				x.down()
			}
			x.finished()
		}
	case m.err != nil:
		if m.from == nil { // the dial failed
			p.dialing = false
			p.redial = time.Now().Add(redialEvery)
			p.failQueue()
		} else {
			m.from.down()
		}
	case m.addresses != nil:
		p.readdress(m.addresses)
	case m.close:
		p.closing = true
	}
}

// readdress takes the portals. One alone needs no book; with the first second one a book is
// made, and stays.
func (p *peer) readdress(list []address.Addr) {
	p.addresses = list
	if p.portals == nil && len(list) == 1 {
		if p.cur != nil && p.cur.link.at != list[0] {
			p.retire()
		}
		return
	}
	if p.portals == nil {
		p.portals = newPortals(p)
		p.retire()
	}
	p.portals.book.Step(address.Event{Kind: address.AddressesChanged, Addrs: list})
}

// retire lets the session finish what it carries; nothing new goes by it.
func (p *peer) retire() {
	if x := p.cur; x != nil {
		p.cur = nil
		p.old[x] = true
		x.finished()
	}
}

// use makes a session the one that new commands go by.
func (p *peer) use(x *nexus) {
	p.retire()
	p.cur = x
	if p.leaving { // it is back after it had asked us to go: it starts anew, and so cold
		p.leaving = false
		p.tell(policy.NodeUp, float64(time.Now().UnixMicro())/1000)
	}
}

// report tells the core how an attempt ended, aside: its mailbox may have to be waited for.
func (p *peer) report(c *command, r core.Result) {
	a := c.try
	if a == nil {
		return
	}
	c.try = nil
	c.timer.Stop()
	delete(p.byTry, a)
	go a.Done(r)
}

func (p *peer) send(a *core.Attempt) {
	c := &command{try: a, job: a.Request.Payload.(*transfer)}
	c.timer = time.AfterFunc(time.Until(a.Deadline), func() { p.post(mail{late: a}) })
	p.byTry[a] = c
	if len(p.queue) >= queueMost {
		p.report(c, core.Result{Status: policy.ConnectFailed})
		return
	}
	p.queue = append(p.queue, c)
}

// pump writes what waits as far as the command window goes. What waits when the target
// drains has not been written and so has not run.
func (p *peer) pump() {
	if len(p.queue) == 0 {
		return
	}
	if p.draining.Load() || p.leaving {
		p.failQueue()
		return
	}
	if p.portals != nil && !p.portals.ready() {
		return
	}
	if p.cur == nil {
		p.dial()
		return
	}
	for len(p.queue) > 0 && p.cur != nil && p.cur.room() {
		c := p.queue[0]
		p.queue = p.queue[1:]
		switch {
		case c.try == nil:
		case c.try.Claim():
			p.cur.start(c)
		default: // its request has been answered while it waited
			p.report(c, core.Result{Status: policy.Abandoned})
		}
	}
	if p.cur != nil {
		p.cur.finished() // all that waited may have been given up
	}
}

func (p *peer) failQueue() {
	for _, c := range p.queue {
		p.report(c, core.Result{Status: policy.ConnectFailed})
	}
	p.queue = p.queue[:0]
}

// dial opens the session where there is one portal.
func (p *peer) dial() {
	if p.dialing || p.portals != nil {
		return
	}
	p.dialing = true
	to := p.addresses[0]
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), p.d.ConnectTimeout)
		defer stop()
		l, _, err := p.login(ctx, to)
		if err != nil {
			p.post(mail{err: err})
			return
		}
		select {
		case p.mail <- mail{dialed: l}:
		case <-p.done:
			l.nc.Close()
		}
	}()
}

// login connects and logs in; why tells of an error what it says of the portal.
func (p *peer) login(ctx context.Context, to address.Addr) (*link, address.Reason, error) {
	nc, why, err := transport.Dial(ctx, to, p.d.ConnectTimeout)
	if err != nil {
		return nil, why, err
	}
	defer context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })()
	l := &link{nc: nc, br: bufio.NewReaderSize(nc, 16<<10), at: to}
	if at, ok := ctx.Deadline(); ok {
		err = nc.SetDeadline(at)
	}
	if err == nil {
		l.p, l.window, err = dialLogin(nc, l.br, p.target, p.d.Name, p.isid())
	}
	if err == nil {
		err = nc.SetDeadline(time.Time{})
	}
	if err != nil {
		nc.Close()
		var no refusedLogin
		switch {
		case errors.As(err, &no) && no.status == loginNotFound: // another target's portal
			why = address.ReasonWrongNode
		case errors.Is(err, os.ErrDeadlineExceeded):
			why = address.ReasonTimedOut
		default:
			why = address.ReasonReset
		}
		return nil, why, fmt.Errorf("login: %w", err)
	}
	return l, 0, nil
}

// isid is new for each session, so that none takes the place of one still being ended.
func (p *peer) isid() uint32 {
	h := fnv.New32a()
	h.Write([]byte(p.name))
	return h.Sum32() ^ rand.Uint32()
}

// tell passes on what a storage target says of itself, as news of the list. One that the
// configuration drains or has dropped is not up, whatever it says.
func (p *peer) tell(state policy.NodeState, since float64) {
	conf, ok := p.d.lookup(p.name)
	if !ok || state == policy.NodeUp && conf.State != policy.NodeUp {
		return
	}
	if f := p.d.news.Load(); f != nil {
		n := core.ListUpdate{Kind: policy.ListChanged, Nodes: []core.Node{{Addresses: conf.Addresses, Node: policy.Node{ID: p.name,
			Shard: conf.Shard, State: state, Weight: 1, StartTime: since}}}}
		go (*f)(n)
	}
}

// giveUp ends the wait for an attempt. What has been written may still run: its tag stays
// taken, ABORT TASK is sent, and no answer to it counts any more.
func (p *peer) giveUp(a *core.Attempt, status policy.Status) {
	c := p.byTry[a]
	if c == nil {
		return
	}
	p.report(c, core.Result{Status: status})
	if x := c.on; c.written && x != nil && x.link != nil {
		x.abort(c)
		x.finished()
	}
}

func (p *peer) tick(now time.Time) {
	if p.cur != nil {
		p.cur.tick(now)
	} else if p.leaving && !p.closing && now.After(p.redial) { // to hear that it is back
		if p.portals != nil {
			p.portals.want()
		} else {
			p.dial()
		}
	}
	for x := range p.old {
		x.tick(now)
	}
	if p.portals != nil {
		p.portals.nudge()
	}
}
