package iscsi

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/choice"
	"wheatsaddle/internal/address"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/sock"
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
	news           atomic.Pointer[func(core.News)]
	book           atomic.Pointer[address.Settings]
}

// NewDialer knows the storage targets of a configuration.
func NewDialer(conf *config.ISCSI, name string, connect time.Duration, log logrus.FieldLogger) *Dialer {
	d := &Dialer{Name: name, ConnectTimeout: connect, DropsRepeats: conf.DropsRepeats, Log: log}
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
func (d *Dialer) Report(f func(core.News)) { d.news.Store(&f) }

// Nodes is the list that a configuration gives.
func Nodes(conf *config.ISCSI) (out []core.Node) {
	for _, s := range conf.Storage {
		out = append(out, core.Node{Node: choice.Node{ID: s.Name, Shard: s.Shard, State: s.State, Weight: 1}, Addresses: s.Addresses})
	}
	return out
}

// Settings are the module's for this front. Where the storage targets do not drop repeats,
// no keyed class may run twice: a write in doubt must not be sent again.
func Settings(set choice.Settings, conf *config.ISCSI) choice.Settings {
	classes := append([]choice.Class(nil), set.Classes...)
	for i := range classes {
		if classes[i].Effect == choice.Keyed && !conf.DropsRepeats {
			classes[i].Effect = choice.Unsafe
		}
	}
	set.Classes, set.MayProbe = classes, false
	return set
}

// Connect starts the actor of one storage target.
func (d *Dialer) Connect(name string, addresses []address.Addr) core.Peer {
	conf, _ := d.lookup(name)
	p := &peer{d: d, name: name, addresses: addresses, target: conf.Target, mail: make(chan mail, peerMailbox),
		done: make(chan struct{}), byTry: map[*core.Attempt]*command{}, byTag: map[uint32]*command{}}
	go p.run()
	return p
}

type mail struct {
	send, cancel, late *core.Attempt
	dialed             *link
	pdu                *pdu
	from               *link
	err                error
	addresses          []address.Addr
	close              bool
}

// link is one connection of a session that a reader goroutine serves.
type link struct {
	nc     net.Conn
	br     *bufio.Reader
	p      params
	window uint32
}

// command is one attempt as a SCSI command.
type command struct {
	try     *core.Attempt // nil: given up, its end is waited for
	job     *transfer
	itt     uint32
	cmdSN   uint32
	timer   *time.Timer
	data    []byte // of a read
	dataSN  uint32
	written bool // the command PDU went out whole: it may run
}

// peer is the actor of one storage target: a session of one connection, many commands.
type peer struct {
	d                     *Dialer
	name, target          string
	addresses             []address.Addr
	mail                  chan mail
	done                  chan struct{}
	draining              atomic.Bool
	link                  *link
	dialing, closing      bool
	leaving               bool // it has asked us to log out
	logout                time.Time
	redial                time.Time
	queue                 []*command
	byTry                 map[*core.Attempt]*command
	byTag                 map[uint32]*command
	zombies               int
	cmdSN, expStatSN, itt uint32
	maxCmdSN              uint32
	heard                 time.Time
	pinged                bool
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

// Send implements core.Peer.
func (p *peer) Send(a *core.Attempt) bool { return p.put(mail{send: a}) }

// Cancel implements core.Peer. With the mailbox full the command runs to its time limit.
func (p *peer) Cancel(a *core.Attempt) { p.put(mail{cancel: a}) }

// Probe implements core.Peer: these targets report no load.
func (p *peer) Probe(func(core.Result, time.Duration)) bool { return false }

// Drain implements core.Peer: it binds at once, also what waits in the mailbox.
func (p *peer) Drain(on bool) { p.draining.Store(on) }

// Readdress implements core.Peer.
func (p *peer) Readdress(addresses []address.Addr) {
	if m := (mail{addresses: addresses}); !p.put(m) {
		go p.post(m)
	}
}

// Close implements core.Peer.
func (p *peer) Close() {
	if !p.put(mail{close: true}) {
		go p.post(mail{close: true})
	}
}

func (p *peer) run() {
	defer close(p.done)
	tick := time.NewTicker(peerTick)
	defer tick.Stop()
	for !p.closing || len(p.byTry) > 0 || len(p.mail) > 0 {
		select {
		case m := <-p.mail:
			p.take(m)
		case now := <-tick.C:
			p.tick(now)
		}
		p.pump()
	}
	if p.link != nil {
		p.sayLogout()
		p.link.nc.Close()
	}
}

func (p *peer) take(m mail) {
	switch {
	case m.send != nil:
		p.send(m.send)
	case m.cancel != nil:
		p.giveUp(m.cancel, choice.Cancelled)
	case m.late != nil:
		p.giveUp(m.late, choice.TimedOut)
	case m.dialed != nil:
		p.up(m.dialed)
	case m.pdu != nil:
		if m.from == p.link {
			p.heard, p.pinged = time.Now(), false
			if err := p.hear(m.pdu); err != nil {
				p.d.Log.WithError(err).Warnf("storage target %s: connection dropped", p.name)
				p.down()
			}
		}
	case m.err != nil:
		if m.from == nil { // the dial failed
			p.dialing = false
			p.redial = time.Now().Add(redialEvery)
			p.failQueue()
		} else if m.from == p.link {
			p.down()
		}
	case m.addresses != nil:
		p.addresses = m.addresses
	case m.close:
		p.closing = true
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
	c := &command{try: a, job: a.Req.Payload.(*transfer)}
	c.timer = time.AfterFunc(time.Until(a.Until), func() { p.post(mail{late: a}) })
	p.byTry[a] = c
	if len(p.queue) >= queueMost {
		p.report(c, core.Result{Status: choice.NoConn})
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
	if p.link == nil {
		p.dial()
		return
	}
	for len(p.queue) > 0 && int32(p.maxCmdSN-p.cmdSN) >= 0 && p.link != nil {
		c := p.queue[0]
		p.queue = p.queue[1:]
		if c.try != nil {
			p.start(c)
		}
	}
}

func (p *peer) failQueue() {
	for _, c := range p.queue {
		p.report(c, core.Result{Status: choice.NoConn})
	}
	p.queue = p.queue[:0]
}

func (p *peer) dial() {
	if p.dialing {
		return
	}
	p.dialing = true
	to := p.addresses[0]
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), p.d.ConnectTimeout)
		defer stop()
		nc, _, err := sock.Dial(ctx, to, p.d.ConnectTimeout)
		if err != nil {
			p.post(mail{err: err})
			return
		}
		l := &link{nc: nc, br: bufio.NewReaderSize(nc, 16<<10)}
		at, _ := ctx.Deadline()
		if err = nc.SetDeadline(at); err == nil {
			l.p, l.window, err = dialLogin(nc, l.br, p.target, p.d.Name, p.isid())
		}
		if err == nil {
			err = nc.SetDeadline(time.Time{})
		}
		if err != nil {
			nc.Close()
			p.post(mail{err: fmt.Errorf("login: %w", err)})
			return
		}
		select {
		case p.mail <- mail{dialed: l}:
		case <-p.done:
			nc.Close()
		}
	}()
}

// isid is new for each session, so that none takes the place of one still being ended.
func (p *peer) isid() uint32 {
	h := fnv.New32a()
	h.Write([]byte(p.name))
	return h.Sum32() ^ rand.Uint32()
}

func (p *peer) up(l *link) {
	p.dialing = false
	p.link, p.cmdSN, p.expStatSN, p.maxCmdSN = l, 1, 0, l.window
	p.heard, p.pinged = time.Now(), false
	go func() {
		in := framing{most: ourSegment}
		for {
			q, err := in.read(l.br)
			if err != nil {
				p.post(mail{err: err, from: l})
				return
			}
			p.post(mail{pdu: q, from: l})
		}
	}()
	if p.leaving { // it is back after it had asked us to go: it starts anew, and so cold
		p.leaving, p.logout = false, time.Time{}
		p.tell(choice.NodeUp, float64(time.Now().UnixMicro())/1000)
	}
}

// tell passes on what a storage target says of itself, as news of the list. One that the
// configuration drains or has dropped is not up, whatever it says.
func (p *peer) tell(state choice.NodeState, since float64) {
	conf, ok := p.d.lookup(p.name)
	if !ok || state == choice.NodeUp && conf.State != choice.NodeUp {
		return
	}
	if f := p.d.news.Load(); f != nil {
		n := core.News{Kind: choice.ListChange, Nodes: []core.Node{{Addresses: p.addresses, Node: choice.Node{ID: p.name,
			Shard: conf.Shard, State: state, Weight: 1, Since: since}}}}
		go (*f)(n)
	}
}

// down ends the connection. What was written may have run: one outcome each, reset.
func (p *peer) down() {
	if p.link == nil {
		return
	}
	p.link.nc.Close()
	p.link = nil
	for tag, c := range p.byTag {
		delete(p.byTag, tag)
		p.report(c, core.Result{Status: choice.Reset})
	}
	p.zombies = 0
	p.redial = time.Now().Add(redialEvery)
}

// write sends bytes; n tells how many went out before an error, which ends the connection.
func (p *peer) write(b []byte) (n int, ok bool) {
	err := p.link.nc.SetWriteDeadline(time.Now().Add(stallTimeout))
	if err == nil {
		n, err = p.link.nc.Write(b)
	}
	return n, err == nil
}

func (p *peer) stamp(q *pdu) {
	q.put32(24, p.cmdSN)
	q.put32(28, p.expStatSN)
}

// start writes a command with the data that may go unsolicited.
func (p *peer) start(c *command) {
	p.itt++
	if p.itt == noTag {
		p.itt = 1
	}
	c.itt = p.itt
	q := newPDU(opSCSICommand, c.itt)
	q.bhs[1] = 0x01 // simple task attribute
	encodeLUN(q.bhs[8:], c.job.lun)
	q.put32(20, c.job.size)
	p.stamp(q)
	c.cmdSN = p.cmdSN
	p.cmdSN++
	cdb := c.job.block.cdb()
	copy(q.bhs[32:], cdb[:])
	var more []byte
	neg := &p.link.p
	if c.job.block.write {
		q.bhs[1] |= 0x20
		first, at := min(c.job.size, neg.firstBurst), uint32(0)
		if neg.immediateData {
			at = min(first, neg.theirMost)
			q.data = c.job.data[:at]
		}
		if !neg.initialR2T && at < first {
			more = p.dataOut(nil, c, noTag, at, first-at)
		} else {
			q.bhs[1] |= flagF
		}
		if p.d.DropsRepeats {
			q.ahs = keyAHS(c.job.key)
		}
	} else {
		q.bhs[1] |= 0x40 | flagF
		c.data = make([]byte, 0, c.job.size)
	}
	b := framing{}.append(nil, q)
	whole := len(b)
	n, ok := p.write(append(b, more...))
	if c.written = n >= whole; !c.written {
		p.report(c, core.Result{Status: choice.NoConn})
	} else {
		p.byTag[c.itt] = c
	}
	if !ok {
		p.down()
	}
}

// dataOut encodes a sequence of Data-Out PDUs.
func (p *peer) dataOut(dst []byte, c *command, ttt, at, n uint32) []byte {
	for sn, end := uint32(0), at+n; at < end; sn++ {
		part := min(end-at, p.link.p.theirMost)
		d := newPDU(opDataOut, c.itt)
		encodeLUN(d.bhs[8:], c.job.lun)
		d.data = c.job.data[at : at+part]
		d.put32(20, ttt)
		d.put32(28, p.expStatSN)
		d.put32(36, sn)
		d.put32(40, at)
		if at += part; at == end {
			d.bhs[1] = flagF
		}
		dst = framing{}.append(dst, d)
	}
	return dst
}

// giveUp ends the wait for an attempt. What has been written may still run: its tag stays
// taken, ABORT TASK is sent, and no answer to it counts any more.
func (p *peer) giveUp(a *core.Attempt, status choice.Status) {
	c := p.byTry[a]
	if c == nil {
		return
	}
	p.report(c, core.Result{Status: status})
	if !c.written || p.link == nil {
		return
	}
	if p.zombies++; p.zombies > zombieMost {
		p.down()
		return
	}
	q := newPDU(opTaskMgmtReq, c.itt|1<<31)
	q.bhs[0] |= immediate
	q.bhs[1] = flagF | tmAbortTask
	encodeLUN(q.bhs[8:], c.job.lun)
	q.put32(20, c.itt)
	p.stamp(q)
	q.put32(32, c.cmdSN)
	if _, ok := p.write(framing{}.append(nil, q)); !ok {
		p.down()
	}
}

// over forgets a command's tag.
func (p *peer) over(c *command) {
	if p.byTag[c.itt] == c {
		delete(p.byTag, c.itt)
		if c.try == nil {
			p.zombies--
		}
	}
}

// hear takes a PDU of the storage target; an error ends the connection.
func (p *peer) hear(q *pdu) error {
	if m := q.u32(32); q.op() != opReject && int32(m-p.maxCmdSN) > 0 {
		p.maxCmdSN = m
	}
	switch q.op() {
	case opSCSIResponse, opTaskMgmtResp, opLogoutResp, opAsync, opReject, opTextResp:
		p.expStatSN = q.u32(24) + 1
	}
	c := p.byTag[q.tag()]
	switch q.op() {
	case opSCSIResponse:
		if c == nil {
			return fmt.Errorf("%w: response to no command", errBroken)
		}
		return p.response(c, q)
	case opDataIn:
		if c == nil {
			return fmt.Errorf("%w: data for no command", errBroken)
		}
		if c.job.block.write || q.u32(36) != c.dataSN || q.u32(40) != uint32(len(c.data)) ||
			uint64(len(c.data))+uint64(len(q.data)) > uint64(c.job.size) {
			return fmt.Errorf("%w: Data-In out of sequence", errBroken)
		}
		c.data, c.dataSN = append(c.data, q.data...), c.dataSN+1
		if q.bhs[1]&0x01 != 0 { // status came with the data
			p.expStatSN = q.u32(24) + 1
			return p.response(c, q)
		}
	case opR2T:
		if c == nil {
			return fmt.Errorf("%w: R2T for no command", errBroken)
		}
		at, n := q.u32(40), q.u32(44)
		if !c.job.block.write || n == 0 || at > c.job.size || n > c.job.size-at {
			return fmt.Errorf("%w: R2T out of bounds", errBroken)
		}
		if c.try == nil {
			return nil // given up: nothing more is sent for it
		}
		if _, ok := p.write(p.dataOut(nil, c, q.u32(20), at, n)); !ok {
			return errors.New("stalled in Data-Out")
		}
	case opTaskMgmtResp:
		if z := p.byTag[q.tag()&^(1<<31)]; z != nil && z.try == nil {
			p.over(z)
		}
	case opNopIn:
		if ttt := q.u32(20); ttt != noTag {
			n := newPDU(opNopOut, noTag)
			n.bhs[0] |= immediate
			n.bhs[1] = flagF
			n.put32(20, ttt)
			p.stamp(n)
			if _, ok := p.write(framing{}.append(nil, n)); !ok {
				return errors.New("stalled in NOP-Out")
			}
		}
	case opAsync:
		if e := q.bhs[36]; e >= 1 && e <= 3 { // it wants us to log out, or drops the session
			p.leaving = true
			p.tell(choice.NodeDraining, 0)
		}
	case opReject:
		if len(q.data) < bhsLen {
			return fmt.Errorf("%w: reject without a header", errBroken)
		}
		if r := p.byTag[be.Uint32(q.data[16:])]; r != nil {
			p.report(r, core.Result{Status: choice.Errored})
			p.over(r)
		}
	case opLogoutResp:
		return errLogout
	default:
		return fmt.Errorf("%w: unexpected %v", errBroken, q)
	}
	return nil
}

// response ends a command: what its status says of whether it ran, and what goes back.
func (p *peer) response(c *command, q *pdu) error {
	p.over(c)
	if c.try == nil {
		return nil
	}
	status, raw := q.bhs[3], []byte(nil)
	if q.op() == opSCSIResponse && len(q.data) >= 2 {
		if n := int(be.Uint16(q.data)); n <= len(q.data)-2 {
			raw = q.data[2 : 2+n]
		}
	}
	r := core.Result{Status: choice.Errored}
	pass := func() { r.Status, r.Payload = choice.OK, &result{status: status, sense: raw, data: c.data} }
	switch {
	case q.op() == opSCSIResponse && q.bhs[2] != 0: // the target failed, not the command
	case status == statusGood:
		if !c.job.block.write && uint32(len(c.data)) != c.job.size {
			break // a short read is no whole answer
		}
		if q.bhs[1]&0x06 != 0 { // a residual: not all of it was moved
			break
		}
		pass()
	case status == statusBusy || status == statusTaskSetFull:
		r.Status = choice.Full
	case status == statusConflict:
		pass()
	case status == statusCheckCondition:
		switch senseKey(raw) {
		case senseIllegalRequest, senseDataProtect:
			pass() // no other try would end otherwise: the client is told as it is
		case senseNotReady, senseUnitAttention:
			r.Status = choice.Full // reported in place of the command, which did not run (SPC-4)
		}
	}
	p.report(c, r)
	return nil
}

func (p *peer) sayLogout() {
	q := newPDU(opLogoutReq, 1<<31)
	q.bhs[0] |= immediate
	q.bhs[1] = flagF // reason 0: close the session
	p.stamp(q)
	p.write(framing{}.append(nil, q))
}

func (p *peer) tick(now time.Time) {
	if p.link == nil {
		if p.leaving && !p.closing && now.After(p.redial) {
			p.dial() // to hear that it is back
		}
		return
	}
	if p.leaving && len(p.byTag) == 0 {
		if p.logout.IsZero() {
			p.logout = now
			p.sayLogout()
		} else if now.Sub(p.logout) > logoutWait {
			p.down()
		}
		return
	}
	switch quiet := now.Sub(p.heard); {
	case quiet > peerDeadAfter:
		p.d.Log.Warnf("storage target %s is silent: connection dropped", p.name)
		p.down()
	case quiet > peerPingAfter && !p.pinged:
		p.pinged = true
		n := newPDU(opNopOut, 1<<31)
		n.bhs[0] |= immediate
		n.bhs[1] = flagF
		n.put32(20, noTag)
		p.stamp(n)
		if _, ok := p.write(framing{}.append(nil, n)); !ok {
			p.down()
		}
	}
}
