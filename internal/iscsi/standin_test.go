package iscsi

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/testkit/rapidtest"
	"wheatsaddle/policy"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// The stages of a command at which the stand-in can cut its connection.
const (
	cutLogin    = "login"    // before the session stands
	cutCommand  = "command"  // the command has come, its data has not
	cutData     = "data"     // some of its data has come
	cutExecuted = "executed" // it has run, its response has not gone out
)

// standin is a storage target that counts what comes and what is executed.
type standin struct {
	t       *testing.T
	ln      net.Listener
	answer  []pair // to the login
	drops   bool   // repeats of a write by their key
	mu      sync.Mutex
	cut     string
	cuts    int // connections still to be cut
	status  byte
	sense   []byte
	hold    chan struct{} // a command waits here before its response
	held    chan struct{} // tells that one does
	disk    map[uint64][]byte
	came    int // command PDUs
	ran     int // executions
	keys    map[string]bool
	aborts  int
	logouts chan struct{}
	pongs   chan struct{}
	last    *standSession
	login   []pair // the last
	logins  int
	refuse  uint16 // status of logins
}

// standSession is one session with the stand-in.
type standSession struct {
	*standin
	conn             net.Conn
	statSN, expCmdSN uint32
}

func newStandin(t *testing.T) *standin {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standin{t: t, ln: ln, disk: map[uint64][]byte{}, keys: map[string]bool{}, held: make(chan struct{}, 64),
		logouts: make(chan struct{}, 64), pongs: make(chan struct{}, 64),
		answer: []pair{{"InitialR2T", "Yes"}, {"ImmediateData", "No"}, {"MaxBurstLength", "16384"},
			{"FirstBurstLength", "8192"}, {"MaxRecvDataSegmentLength", "4096"}}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(nc)
		}
	}()
	return s
}

func (s *standin) counts() (came, ran int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.came, s.ran
}

// loggedInTo is the target name of the last login.
func (s *standin) loggedInTo() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, _ := findValue(s.login, "TargetName")
	return name
}

// cutting says whether the connection is to be cut at this stage.
func (s *standin) cutting(stage string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cut != stage || s.cuts == 0 {
		return false
	}
	s.cuts--
	return true
}

// say sends a PDU with the session's numbers.
func (s *standSession) say(p *pdu, status bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.put32(24, s.statSN)
	if status {
		s.statSN++
	}
	p.put32(28, s.expCmdSN)
	p.put32(32, s.expCmdSN+31)
	_, _ = s.conn.Write(framing{}.append(nil, p))
}

// leave asks for logout, and returns once the initiator has heard of it.
func (s *standin) leave() {
	a := newPDU(opAsync, noTag)
	a.bhs[1], a.bhs[36] = flagFinal, 1
	s.mu.Lock()
	last := s.last
	s.mu.Unlock()
	last.say(a, true)
	n := newPDU(opNopIn, noTag)
	n.bhs[1] = flagFinal
	n.put32(20, 7)
	last.say(n, false)
	<-s.pongs
}

func (s *standin) serve(nc net.Conn) {
	session := &standSession{standin: s, conn: nc}
	defer nc.Close()
	br, frames := bufio.NewReader(nc), framing{maxDataSegment: 8192}
	p, err := frames.read(br)
	if err != nil || session.cutting(cutLogin) {
		return
	}
	session.mu.Lock()
	session.statSN, session.expCmdSN = p.u32(28), p.u32(24)
	session.login, _ = decodeText(p.data)
	session.last = session
	session.logins++
	refuse := session.refuse
	session.mu.Unlock()
	r := newPDU(opLoginResp, p.tag())
	r.bhs[1], r.bhs[15], r.data = p.bhs[1], 1, encodeText(session.answer)
	be.PutUint16(r.bhs[36:], refuse)
	session.say(r, true)
	frames.maxDataSegment = 4096
	for {
		if p, err = frames.read(br); err != nil || refuse != 0 {
			return
		}
		if !p.immediate() && p.op() != opDataOut {
			session.mu.Lock()
			session.expCmdSN++
			session.mu.Unlock()
		}
		switch p.op() {
		case opSCSICommand:
			if !session.command(p, br, frames) {
				return
			}
		case opNopOut:
			if p.tag() == noTag {
				session.pongs <- struct{}{}
			}
		case opTaskMgmtReq:
			session.mu.Lock()
			session.aborts++
			session.mu.Unlock()
			a := newPDU(opTaskMgmtResp, p.tag())
			a.bhs[1] = flagFinal
			session.say(a, true)
		case opLogoutReq:
			a := newPDU(opLogoutResp, p.tag())
			a.bhs[1] = flagFinal
			session.say(a, true)
			session.logouts <- struct{}{}
			return
		}
	}
}

// command takes one command to its end; false: the connection is to be cut.
func (s *standSession) command(p *pdu, br *bufio.Reader, in framing) bool {
	s.mu.Lock()
	s.came++
	s.mu.Unlock()
	if s.cutting(cutCommand) {
		return false
	}
	b, _ := decodeBlock(p.bhs[32:48])
	size := b.blocks * 512
	var data []byte
	for at := uint32(0); b.write && at < size; {
		n := min(size-at, 16384)
		r := newPDU(opR2T, p.tag())
		r.bhs[1] = flagFinal
		r.put32(20, 99)
		r.put32(40, at)
		r.put32(44, n)
		s.say(r, false)
		for end := at + n; at < end; {
			d, err := in.read(br)
			if err != nil {
				return false
			}
			if d.op() != opDataOut || d.u32(20) != 99 || d.u32(40) != at {
				s.t.Errorf("stand-in: %v at %d, want Data-Out at %d", d, d.u32(40), at)
				return false
			}
			data, at = append(data, d.data...), at+uint32(len(d.data))
			if s.cutting(cutData) {
				return false
			}
		}
	}
	s.mu.Lock()
	status, raw, hold := s.status, s.sense, s.hold
	if key := p.idempotencyKey(); status == statusGood && !(s.drops && key != "" && s.keys[key]) {
		s.ran++ // an execution
		s.keys[key] = true
		for i := uint32(0); b.write && i < b.blocks; i++ {
			s.disk[b.lba+uint64(i)] = data[i*512 : i*512+512]
		}
	}
	if !b.write && status == statusGood {
		for i := uint64(0); i < uint64(b.blocks); i++ {
			block := s.disk[b.lba+i]
			data = append(data, append(block, make([]byte, 512-len(block))...)...)
		}
	}
	s.mu.Unlock()
	if s.cutting(cutExecuted) {
		return false
	}
	respond := func() { s.respond(p.tag(), b.write, data, status, raw) }
	if hold == nil {
		respond()
		return true
	}
	go func() {
		s.held <- struct{}{}
		<-hold
		respond()
	}()
	return true
}

func (s *standSession) respond(tag uint32, write bool, data []byte, status byte, raw []byte) {
	if !write {
		for at, sn := 0, uint32(0); at < len(data); sn++ {
			n := min(len(data)-at, 3000)
			d := newPDU(opDataIn, tag)
			d.data = data[at : at+n]
			d.put32(20, noTag)
			d.put32(36, sn)
			d.put32(40, uint32(at))
			at += n
			s.say(d, false)
		}
	}
	r := newPDU(opSCSIResponse, tag)
	r.bhs[1], r.bhs[3] = flagFinal, status
	if len(raw) > 0 {
		r.data = append([]byte{0, byte(len(raw))}, raw...)
	}
	s.say(r, true)
}

// initiator is a client of the target under test.
type initiator struct {
	t            *testing.T
	nc           net.Conn
	br           *bufio.Reader
	in, out      framing
	p            params
	cmdSN, expSN uint32
	itt          uint32
	responses    map[uint32]int
	isid         string
}

func connect(t *testing.T, address string) *initiator {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &initiator{t: t, nc: nc, br: bufio.NewReader(nc), in: framing{maxDataSegment: 1 << 20}, p: defaultParams(), cmdSN: 1,
		itt: 100, responses: map[uint32]int{}}
}

// login sends one login request and returns the status of its response.
func (c *initiator) login(stages byte, pairs ...pair) uint16 {
	c.t.Helper()
	p := newPDU(opLoginReq, 1)
	p.bhs[0] |= flagImmediate
	p.bhs[1] = flagFinal | stages
	p.put32(24, c.cmdSN)
	copy(p.bhs[8:14], c.isid)
	p.data = encodeText(pairs)
	c.send(p)
	r := c.read()
	text, err := decodeText(r.data)
	if err != nil || r.op() != opLoginResp {
		c.t.Fatalf("login: %v %v", r, err)
	}
	if err := c.p.applyResponse(text); err != nil {
		c.t.Fatal(err)
	}
	if r.bhs[1]&3 == stageFull {
		c.out = framing{headerDigest: c.p.headerDigest, dataDigest: c.p.dataDigest}
		c.in.headerDigest, c.in.dataDigest = c.p.headerDigest, c.p.dataDigest
	}
	return be.Uint16(r.bhs[36:])
}

func (c *initiator) send(p *pdu) {
	c.t.Helper()
	if _, err := c.nc.Write(c.out.append(nil, p)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *initiator) read() *pdu {
	c.t.Helper()
	p, err := c.in.read(c.br)
	if err != nil {
		c.t.Fatalf("read: %v", err)
	}
	switch p.op() {
	case opNopIn, opSCSIResponse, opTaskMgmtResp, opLoginResp, opTextResp, opLogoutResp, opAsync, opReject:
		// each status has the next StatSN, also that of a Reject and a second login request
		if p.op() == opNopIn && p.tag() == noTag {
			break
		}
		if p.u32(24) != c.expSN {
			c.t.Errorf("%v: StatSN %d, expected %d", p, p.u32(24), c.expSN)
		}
		c.expSN++
	}
	if p.op() == opSCSIResponse {
		if c.responses[p.tag()]++; c.responses[p.tag()] > 1 {
			c.t.Errorf("a second response to task 0x%x", p.tag())
		}
	}
	return p
}

// start sends a command without waiting for its end.
func (c *initiator) start(cdb []byte, lun uint16, flags byte, expected uint32) uint32 {
	c.t.Helper()
	c.itt++
	p := newPDU(opSCSICommand, c.itt)
	p.bhs[1] = flagFinal | flags | 1
	encodeLUN(p.bhs[8:], lun)
	p.put32(20, expected)
	p.put32(24, c.cmdSN)
	c.cmdSN++
	copy(p.bhs[32:], cdb)
	c.send(p)
	return c.itt
}

type ended struct {
	status    byte
	key       byte
	qualifier uint16
	flags     byte
	residual  uint32
	data      []byte
	bursts    int
}

// finish follows a command to its response, with data for each R2T.
func (c *initiator) finish(itt uint32, data []byte) (e ended) {
	c.t.Helper()
	for {
		p := c.read()
		if p.tag() != itt {
			c.t.Fatalf("%v while task 0x%x is waited for", p, itt)
		}
		switch p.op() {
		case opDataIn:
			if int(p.u32(40)) != len(e.data) {
				c.t.Fatalf("Data-In at %d, want %d", p.u32(40), len(e.data))
			}
			e.data = append(e.data, p.data...)
		case opR2T:
			e.bursts++
			c.answerR2T(p, data)
		case opSCSIResponse:
			e.status, e.flags, e.residual, e.qualifier = p.bhs[3], p.bhs[1], p.u32(44), be.Uint16(p.bhs[8:])
			if len(p.data) > 2 {
				e.key = senseKey(p.data[2:])
			}
			return e
		default:
			c.t.Fatalf("unexpected %v", p)
		}
	}
}

func (c *initiator) answerR2T(p *pdu, data []byte) {
	c.t.Helper()
	at, end, sn := p.u32(40), p.u32(40)+p.u32(44), uint32(0)
	for ; at < end; sn++ {
		n := min(end-at, 5000)
		d := newPDU(opDataOut, p.tag())
		d.put32(20, p.u32(20))
		d.put32(36, sn)
		d.put32(40, at)
		d.data = data[at : at+n]
		if at += n; at == end {
			d.bhs[1] = flagFinal
		}
		c.send(d)
	}
}

func (c *initiator) write(lba uint64, data []byte) ended {
	c.t.Helper()
	return c.finish(c.startWrite(lba, data), data)
}

func (c *initiator) startWrite(lba uint64, data []byte) uint32 {
	c.t.Helper()
	cdb := block{true, lba, uint32(len(data) / 512)}.cdb()
	return c.start(cdb[:], 0, 0x20, uint32(len(data)))
}

func (c *initiator) readBlocks(lba uint64, blocks uint32) ended {
	c.t.Helper()
	cdb := block{false, lba, blocks}.cdb()
	return c.finish(c.start(cdb[:], 0, 0x40, blocks*512), nil)
}

const targetName = "iqn.2026-12.fj.lautoka:test"

func testSettings(aim float64) policy.Settings {
	return policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 4, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 1000,
		DrainGrace: 250, SlowStartUnits: 100, OverloadWindow: 3000, OverloadMultiple: 3, SlowStartShare: 0.25, SlowStartDuration: 17000,
		Classes: []policy.Class{
			{Name: "balance-read", LatencyObjective: aim, Deadline: 2 * aim, PriorityWeight: 3},
			{Name: "new-record", LatencyObjective: aim, Deadline: 2 * aim, PriorityWeight: 2, Effect: policy.IdempotentByKey, DedupScope: policy.DedupShard, DedupWindow: 1e6}},
		Plans: []policy.Plan{{Name: "basic", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1},
			{Name: "capped", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1, RateLimit: 0.001, LimitBurst: 10}}}
}

// path is the whole way: initiator, target, core and module, initiator, stand-in.
type path struct {
	*standin
	target  *Target
	core    *core.Core
	dialer  *Dialer
	address string
}

func newPath(t *testing.T, aim float64, drops bool) *path {
	t.Helper()
	return pathTo(t, aim, drops, newStandin(t))
}

// pathTo is a path to a storage target whose portals the stand-ins are, the most wanted first.
func pathTo(t *testing.T, aim float64, drops bool, portals ...*standin) *path {
	t.Helper()
	s := portals[0]
	var at []string
	for _, x := range portals {
		x.drops = drops
		at = append(at, fmt.Sprintf("%q", x.ln.Addr()))
	}
	set := testSettings(aim)
	conf, err := config.ParseISCSI([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","drops_repeats":%v,"queue_depth":8,
		"storage":[{"name":"st","addresses":[%s],"target":"iqn.st","group":0}],
		"targets":[{"name":%q,"luns":[{"lun":0,"group":0,"volume":"00000000000a0000","plan":"basic","blocks":4096,
			"rules":[{"command":"read","class":"balance-read"},{"command":"write","class":"new-record"}]},
			{"lun":3,"group":0,"volume":"00000000000a0003","plan":"basic","blocks":16,"read_only":true,
			"rules":[{"command":"read","class":"balance-read"}]},
			{"lun":4,"group":0,"volume":"00000000000a0004","plan":"capped","blocks":16,"read_only":true,
			"rules":[{"command":"read","class":"balance-read"}]}]}]}`, drops, strings.Join(at, ","), targetName)), set)
	if err != nil {
		t.Fatal(err)
	}
	var log *logrus.Logger
	log, _ = logtest.NewNullLogger()
	d := NewDialer(conf, "iqn.me", 5*time.Second, log)
	book := address.Defaults() // quick ones, for tests that wait for a back-off
	book.Backoff, book.MaxBackoff, book.MinReturnDelay, book.TrialInterval, book.DownTrialInterval = 50*time.Millisecond, 200*time.Millisecond,
		100*time.Millisecond, 10*time.Millisecond, 20*time.Millisecond
	book.WrongNodeBackoff = 50 * time.Millisecond
	d.Addresses(book)
	set = Settings(set, conf)
	co, err := core.New(core.Options{Settings: set, Seed: 1, NewNodeClient: d.Connect, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(co.Stop)
	d.Report(co.UpdateList)
	co.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: Nodes(conf)})
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &path{standin: s, core: co, dialer: d, target: NewTarget(conf, co, set, log), address: ln.Addr().String()}
	go func() { _ = p.target.Serve(ln) }()
	return p
}

// heldWrite starts a write and returns once it has run at the stand-in, which holds back its
// response until p.hold is closed.
func (p *path) heldWrite(c *initiator) (itt uint32, data []byte) {
	c.t.Helper()
	p.mu.Lock()
	p.hold = make(chan struct{})
	p.mu.Unlock()
	data = pattern(1024)
	itt = c.startWrite(0, data)
	c.answerR2T(c.read(), data)
	<-p.held
	return itt, data
}

// initiator logs in to the path's target.
func (p *path) initiator(t *testing.T, more ...pair) *initiator {
	t.Helper()
	return p.initiatorAs(t, "", more...)
}

// another logs in beside it: with the same ISID it would take its place.
func (p *path) another(t *testing.T) *initiator {
	t.Helper()
	return p.initiatorAs(t, "\x80\x00\x00\x00\x00\x02")
}

func (p *path) initiatorAs(t *testing.T, isid string, more ...pair) *initiator {
	t.Helper()
	c := connect(t, p.address)
	c.isid = isid
	status := c.login(stageOperational<<2|stageFull, append([]pair{{"InitiatorName", "iqn.client"},
		{"TargetName", targetName}, {"MaxRecvDataSegmentLength", "4096"}, {"MaxBurstLength", "16384"}}, more...)...)
	if status != 0 {
		t.Fatalf("login status 0x%04x", status)
	}
	return c
}
