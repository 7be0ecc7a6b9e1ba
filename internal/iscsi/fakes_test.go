package iscsi

import (
	"bufio"
	"bytes"
	"fmt"
	"math"
	"net"
	"slices"
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

// The stages of a command at which the fake target can close its connection.
const (
	cutLogin    = "login"    // before the login response
	cutCommand  = "command"  // the command was received, its data was not
	cutData     = "data"     // some of its data was received
	cutExecuted = "executed" // it was executed, its response was not sent
)

// fakeTarget is a storage target that counts the commands received and executed.
type fakeTarget struct {
	t             *testing.T
	ln            net.Listener
	loginResponse []pair // keys of the login response
	deduplicates  bool   // whether writes are deduplicated by their key
	mu            sync.Mutex
	cutStage      string // stage at which connections are closed
	cutsLeft      int    // connections still to be closed
	status        byte
	sense         []byte
	restarts      int
	hold          chan struct{} // not nil: the response to a command is delayed until the channel is closed
	holding       chan struct{} // receives a value when a response starts to wait
	dataPause     time.Duration // before each Data-In PDU and each R2T but the first
	pduPause      time.Duration // in the middle of each Data-In PDU
	disk          map[uint64][]byte
	cache         map[uint64][]byte // not nil: writes without FUA are on the disk only after a SYNCHRONIZE CACHE
	flushes       int               // SYNCHRONIZE CACHE commands received
	flushReaction reaction          // to these
	received      int               // command PDUs received
	executed      int               // commands executed
	keys          map[string]bool
	runs          map[string][]time.Time // when a write was executed, by the first bytes of its data
	aborts        int
	logouts       chan struct{}
	pongs         chan struct{}
	lastSession   *fakeTargetSession
	lastTag       uint32 // of the last command
	lastCDB       []byte
	lastLogin     []pair // text of the last login request
	logins        int
	loginStatus   uint16                     // status of login responses
	react         func(command int) reaction // nil: status and sense apply; the first command has the number 1
}

// reaction is what the fake target does with one command whose data it has received.
type reaction struct {
	delay    time.Duration // before all that follows
	executes bool
	ending   ending
	status   byte // if it responds
	sense    []byte
}

// ending is how the fake target ends a command.
type ending int

const (
	responds  ending = iota
	cuts             // it closes the connection
	falls            // it closes the connection and completes no login from then on
	hangs            // it does nothing more for the command
	cutsFirst        // it closes the connection before the delay, and goes on with the command
)

// fakeTargetSession is one session with the fake target.
type fakeTargetSession struct {
	*fakeTarget
	conn             net.Conn
	statSN, expCmdSN uint32
	restartsAtLogin  int // of the target
}

func newFakeTarget(t *testing.T) *fakeTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeTarget{t: t, ln: ln, disk: map[uint64][]byte{}, keys: map[string]bool{}, runs: map[string][]time.Time{}, holding: make(chan struct{}, 64),
		logouts: make(chan struct{}, 64), pongs: make(chan struct{}, 64),
		loginResponse: []pair{{"InitialR2T", "Yes"}, {"ImmediateData", "No"}, {"MaxBurstLength", "16384"},
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

func (s *fakeTarget) counts() (received, executed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received, s.executed
}

// lastLoginTarget returns the target name of the last login.
func (s *fakeTarget) lastLoginTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, _ := findValue(s.lastLogin, "TargetName")
	return name
}

// shouldCut reports whether the connection is to be closed at this stage, and counts it.
func (s *fakeTarget) shouldCut(stage string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutStage != stage || s.cutsLeft == 0 {
		return false
	}
	s.cutsLeft--
	return true
}

// send sends a PDU with the session's sequence numbers. A PDU that carries status advances StatSN.
func (s *fakeTargetSession) send(p *pdu, status bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.put32(24, s.statSN)
	if status {
		s.statSN++
	}
	p.put32(28, s.expCmdSN)
	p.put32(32, s.expCmdSN+31)
	message := framing{}.append(nil, p)
	if half := len(message) / 2; s.pduPause > 0 && p.op() == opDataIn {
		_, _ = s.conn.Write(message[:half])
		time.Sleep(s.pduPause)
		message = message[half:]
	}
	_, _ = s.conn.Write(message)
}

// requestLogout requests a logout and returns once the initiator has received the request.
func (s *fakeTarget) requestLogout() {
	a := newPDU(opAsync, noTag)
	a.bhs[1], a.bhs[36] = flagFinal, 1
	s.mu.Lock()
	session := s.lastSession
	s.mu.Unlock()
	session.send(a, true)
	n := newPDU(opNopIn, noTag)
	n.bhs[1] = flagFinal
	n.put32(20, 7)
	session.send(n, false)
	<-s.pongs
}

func (s *fakeTarget) serve(nc net.Conn) {
	session := &fakeTargetSession{fakeTarget: s, conn: nc}
	defer nc.Close()
	br, frames := bufio.NewReader(nc), framing{maxDataSegment: 8192}
	p, err := frames.read(br)
	if err != nil || session.shouldCut(cutLogin) {
		return
	}
	session.mu.Lock()
	session.statSN, session.expCmdSN = p.u32(28), p.u32(24)
	session.lastLogin, _ = decodeText(p.data)
	session.lastSession, session.restartsAtLogin = session, session.restarts
	session.logins++
	loginStatus := session.loginStatus
	session.mu.Unlock()
	r := newPDU(opLoginResp, p.tag())
	r.bhs[1], r.bhs[15], r.data = p.bhs[1], 1, encodeText(session.loginResponse)
	be.PutUint16(r.bhs[36:], loginStatus)
	session.send(r, true)
	frames.maxDataSegment = 4096
	for {
		if p, err = frames.read(br); err != nil || loginStatus != 0 {
			return
		}
		if !p.immediate() && p.op() != opDataOut {
			session.mu.Lock()
			session.expCmdSN++
			session.mu.Unlock()
		}
		switch p.op() {
		case opSCSICommand:
			if !session.serveCommand(p, br, frames) {
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
			session.send(a, true)
		case opLogoutReq:
			a := newPDU(opLogoutResp, p.tag())
			a.bhs[1] = flagFinal
			session.send(a, true)
			session.logouts <- struct{}{}
			return
		}
	}
}

// serveCommand serves one command. It returns false if the connection is to be closed.
func (s *fakeTargetSession) serveCommand(p *pdu, br *bufio.Reader, frames framing) bool {
	s.mu.Lock()
	s.received++
	s.lastCDB = slices.Clone(p.bhs[32:48])
	number, react := s.received, s.react
	s.mu.Unlock()
	if s.shouldCut(cutCommand) {
		return false
	}
	if f, ok := decodeSync(p.bhs[32:48]); ok {
		return s.serveFlush(p, f)
	}
	b, _ := decodeBlock(p.bhs[32:48])
	size := b.blocks * 512
	data := slices.Clone(p.data) // immediate data
	for at := uint32(len(data)); b.write && at < size; {
		if at > 0 {
			time.Sleep(s.dataPause)
		}
		n := min(size-at, 16384)
		r := newPDU(opR2T, p.tag())
		r.bhs[1] = flagFinal
		r.put32(20, 99)
		r.put32(40, at)
		r.put32(44, n)
		s.send(r, false)
		for end := at + n; at < end; {
			d, err := frames.read(br)
			if err != nil {
				return false
			}
			if d.op() != opDataOut || d.u32(20) != 99 || d.u32(40) != at {
				s.t.Errorf("fake target: received %v with buffer offset %d, want Data-Out with offset %d", d, d.u32(40), at)
				return false
			}
			data, at = append(data, d.data...), at+uint32(len(d.data))
			if s.shouldCut(cutData) {
				return false
			}
		}
	}
	if react != nil {
		go s.play(react(number), p, b, data)
		return true
	}
	s.mu.Lock()
	status, rawSense, hold := s.status, s.sense, s.hold
	s.lastTag = p.tag()
	if status == statusGood {
		data = s.execute(p, b, data)
	}
	s.mu.Unlock()
	if s.shouldCut(cutExecuted) {
		return false
	}
	respond := func() { s.respond(p.tag(), b.write, data, status, rawSense) }
	if hold == nil {
		respond()
		return true
	}
	go func() {
		s.holding <- struct{}{}
		<-hold
		respond()
	}()
	return true
}

// execute executes a command, unless it is a repeat that is dropped, and returns the data of a read. The caller holds the mutex.
func (s *fakeTargetSession) execute(p *pdu, b block, data []byte) []byte {
	if s.restartsAtLogin != s.restarts {
		return data
	}
	if key := p.idempotencyKey(); !(s.deduplicates && key != "" && s.keys[key]) {
		s.executed++
		s.keys[key] = true
		if b.write {
			s.runs[labelOf(data)] = append(s.runs[labelOf(data)], time.Now())
		}
		for i := uint32(0); b.write && i < b.blocks; i++ {
			s.store(b, b.lba+uint64(i), data[i*512:i*512+512])
		}
	}
	if b.write {
		return data
	}
	for i := uint64(0); i < uint64(b.blocks); i++ {
		block, cached := s.cache[b.lba+i]
		if !cached {
			block = s.disk[b.lba+i]
		}
		data = append(data, append(block, make([]byte, 512-len(block))...)...)
	}
	return data
}

// store writes one block of a command to the disk, or to the cache if there is one. The caller holds the mutex.
func (s *fakeTarget) store(command block, lba uint64, data []byte) {
	if s.cache == nil || command.forcesUnitAccess() {
		s.disk[lba] = data
		delete(s.cache, lba)
		return
	}
	s.cache[lba] = data
}

// serveFlush serves a SYNCHRONIZE CACHE. It returns false if the connection is to be closed.
func (s *fakeTargetSession) serveFlush(p *pdu, f block) bool {
	s.mu.Lock()
	s.flushes++
	r := s.flushReaction
	for lba, data := range s.cache {
		if r.status == statusGood && lba >= f.lba && (f.blocks == 0 || lba < f.lba+uint64(f.blocks)) {
			s.disk[lba] = data
			delete(s.cache, lba)
		}
	}
	s.mu.Unlock()
	if r.ending == responds {
		s.respond(p.tag(), true, nil, r.status, r.sense)
	}
	return r.ending != cuts
}

// restart closes the connection and loses the cache and the commands that are not executed. The keys of those that were are kept.
func (s *fakeTarget) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarts++
	clear(s.cache)
	if s.lastSession != nil {
		s.lastSession.conn.Close()
	}
}

// labelOf returns the first bytes of a write's data.
func labelOf(data []byte) string {
	const labelBytes = 32
	return string(bytes.TrimRight(data[:labelBytes], "\x00"))
}

// runsOf returns when the writes with a label were executed.
func (s *fakeTarget) runsOf(label string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs[label])
}

// play does with a command what a reaction says.
func (s *fakeTargetSession) play(r reaction, p *pdu, b block, data []byte) {
	if r.ending == cutsFirst {
		s.conn.Close()
	}
	time.Sleep(r.delay)
	s.mu.Lock()
	if r.executes {
		data = s.execute(p, b, data)
	}
	if r.ending == falls {
		s.cutStage, s.cutsLeft = cutLogin, math.MaxInt
	}
	s.mu.Unlock()
	switch r.ending {
	case responds:
		s.respond(p.tag(), b.write || r.status != statusGood, data, r.status, r.sense)
	case cuts, falls:
		s.conn.Close()
	case hangs, cutsFirst:
	}
}

func (s *fakeTargetSession) respond(tag uint32, write bool, data []byte, status byte, rawSense []byte) {
	if !write {
		for at, sn := 0, uint32(0); at < len(data); sn++ {
			n := min(len(data)-at, 3000)
			d := newPDU(opDataIn, tag)
			d.data = data[at : at+n]
			d.put32(20, noTag)
			d.put32(36, sn)
			d.put32(40, uint32(at))
			if at += n; sn > 0 {
				time.Sleep(s.dataPause)
			}
			s.send(d, false)
		}
	}
	r := newPDU(opSCSIResponse, tag)
	r.bhs[1], r.bhs[3] = flagFinal, status
	if len(rawSense) > 0 {
		r.data = append([]byte{0, byte(len(rawSense))}, rawSense...)
	}
	s.send(r, true)
}

// fakeInitiator is a client of the target under test.
type fakeInitiator struct {
	t                           *testing.T
	conn                        net.Conn
	reader                      *bufio.Reader
	receiveFraming, sendFraming framing
	params                      params
	cmdSN, expStatSN            uint32
	lastITT                     uint32
	responses                   map[uint32]int
	isid                        string
}

func connect(t *testing.T, address string) *fakeInitiator {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &fakeInitiator{t: t, conn: nc, reader: bufio.NewReader(nc), receiveFraming: framing{maxDataSegment: 1 << 20}, params: defaultParams(), cmdSN: 1,
		lastITT: 100, responses: map[uint32]int{}}
}

// login sends one login request and returns the status of its response.
func (c *fakeInitiator) login(stages byte, pairs ...pair) uint16 {
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
		c.t.Fatalf("login: received %v, error %v, want a login response", r, err)
	}
	if err := c.params.applyResponse(text); err != nil {
		c.t.Fatal(err)
	}
	if r.bhs[1]&3 == stageFull {
		c.sendFraming = framing{headerDigest: c.params.headerDigest, dataDigest: c.params.dataDigest}
		c.receiveFraming.headerDigest, c.receiveFraming.dataDigest = c.params.headerDigest, c.params.dataDigest
	}
	return be.Uint16(r.bhs[36:])
}

func (c *fakeInitiator) send(p *pdu) {
	c.t.Helper()
	if _, err := c.conn.Write(c.sendFraming.append(nil, p)); err != nil {
		c.t.Fatal(err)
	}
}

func (c *fakeInitiator) read() *pdu {
	c.t.Helper()
	p, err := c.receiveFraming.read(c.reader)
	if err != nil {
		c.t.Fatalf("reading a PDU from the target under test: %v", err)
	}
	switch p.op() {
	case opNopIn, opSCSIResponse, opTaskMgmtResp, opLoginResp, opTextResp, opLogoutResp, opAsync, opReject:
		// each PDU that carries status has the next StatSN, also a Reject and a second login response
		if p.op() == opNopIn && p.tag() == noTag {
			break
		}
		if p.u32(24) != c.expStatSN {
			c.t.Errorf("%v has StatSN %d, want %d", p, p.u32(24), c.expStatSN)
		}
		c.expStatSN++
	}
	if p.op() == opSCSIResponse {
		if c.responses[p.tag()]++; c.responses[p.tag()] > 1 {
			c.t.Errorf("received a second response to task 0x%x", p.tag())
		}
	}
	return p
}

// startCommand sends a command and returns its task tag without waiting for the response.
func (c *fakeInitiator) startCommand(cdb []byte, lun uint16, flags byte, expected uint32) uint32 {
	c.t.Helper()
	c.lastITT++
	p := newPDU(opSCSICommand, c.lastITT)
	p.bhs[1] = flagFinal | flags | 1
	encodeLUN(p.bhs[8:], lun)
	p.put32(20, expected)
	p.put32(24, c.cmdSN)
	c.cmdSN++
	copy(p.bhs[32:], cdb)
	c.send(p)
	return c.lastITT
}

// outcome describes the response to a command, with its data and the number of R2Ts before it.
type outcome struct {
	status    byte
	senseKey  byte
	qualifier uint16
	flags     byte
	residual  uint32
	data      []byte
	r2ts      int
}

// awaitResponse receives PDUs until a command's response, and sends data for each R2T.
func (c *fakeInitiator) awaitResponse(itt uint32, data []byte) (e outcome) {
	c.t.Helper()
	for {
		p := c.read()
		if p.tag() != itt {
			c.t.Fatalf("received %v while waiting for task 0x%x", p, itt)
		}
		switch p.op() {
		case opDataIn:
			if int(p.u32(40)) != len(e.data) {
				c.t.Fatalf("Data-In has buffer offset %d, want %d", p.u32(40), len(e.data))
			}
			e.data = append(e.data, p.data...)
		case opR2T:
			e.r2ts++
			c.answerR2T(p, data)
		case opSCSIResponse:
			e.status, e.flags, e.residual, e.qualifier = p.bhs[3], p.bhs[1], p.u32(44), be.Uint16(p.bhs[8:])
			if len(p.data) > 2 {
				e.senseKey = senseKey(p.data[2:])
			}
			return e
		default:
			c.t.Fatalf("received %v while waiting for the response to a command", p)
		}
	}
}

func (c *fakeInitiator) answerR2T(p *pdu, data []byte) {
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

func (c *fakeInitiator) write(lba uint64, data []byte) outcome {
	c.t.Helper()
	return c.awaitResponse(c.startWrite(lba, data), data)
}

func (c *fakeInitiator) startWrite(lba uint64, data []byte) uint32 {
	c.t.Helper()
	cdb := block{write: true, lba: lba, blocks: uint32(len(data) / 512)}.cdb()
	return c.startCommand(cdb[:], 0, 0x20, uint32(len(data)))
}

func (c *fakeInitiator) readBlocks(lba uint64, blocks uint32) outcome {
	c.t.Helper()
	cdb := block{lba: lba, blocks: blocks}.cdb()
	return c.awaitResponse(c.startCommand(cdb[:], 0, 0x40, blocks*512), nil)
}

const targetName = "iqn.2026-12.fj.lautoka:test"

// testSettings returns settings with the given latency objective in ms. Deadlines are twice as long.
func testSettings(objective float64) policy.Settings {
	return policy.Settings{Schedulers: 1, MeanUnits: 2, MaxUnits: 6, MaxAttempts: 4, MayCancel: true, SendsRetryAfter: true, MaxRetryAfter: 1000,
		DrainGrace: 250, SlowStartUnits: 100, OverloadWindow: 3000, OverloadMultiple: 3, SlowStartShare: 0.25, SlowStartDuration: 17000,
		Classes: []policy.Class{
			{Name: "balance-read", LatencyObjective: objective, Deadline: 2 * objective, PriorityWeight: 3},
			{Name: "new-record", LatencyObjective: objective, Deadline: 2 * objective, PriorityWeight: 2, Effect: policy.IdempotentByKey, DedupScope: policy.DedupShard, DedupWindow: 1e6}},
		Plans: []policy.Plan{{Name: "basic", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1},
			{Name: "capped", Rate: 1000, ReservedRate: 1000, Weight: 1, Price: 1, RateLimit: 0.001, LimitBurst: 10}}}
}

// testEnv connects fake initiators through the target, core and initiators under test to a fake storage target.
type testEnv struct {
	*fakeTarget
	target  *Target
	core    *core.Core
	dialer  *Dialer
	address string
}

func newTestEnv(t *testing.T, objective float64, deduplicates bool) *testEnv {
	t.Helper()
	return newTestEnvWithPortals(t, objective, deduplicates, newFakeTarget(t))
}

// newTestEnvWithPortals returns an environment with one storage target, whose portals are the given fake targets, the most
// preferred first.
func newTestEnvWithPortals(t *testing.T, objective float64, deduplicates bool, portals ...*fakeTarget) *testEnv {
	t.Helper()
	return newTestEnvWithSettings(t, testSettings(objective), deduplicates, portals...)
}

// newTestEnvWithSettings returns the same with the given settings of the platform.
func newTestEnvWithSettings(t *testing.T, set policy.Settings, deduplicates bool, portals ...*fakeTarget) *testEnv {
	t.Helper()
	target := portals[0]
	var addresses []string
	for _, portal := range portals {
		portal.deduplicates = deduplicates
		addresses = append(addresses, fmt.Sprintf("%q", portal.ln.Addr()))
	}
	conf, err := config.ParseISCSI([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:0","drops_repeats":%v,"queue_depth":8,
		"storage":[{"name":"st","addresses":[%s],"target":"iqn.st","group":0}],
		"targets":[{"name":%q,"luns":[{"lun":0,"group":0,"volume":"00000000000a0000","plan":"basic","blocks":4096,
			"rules":[{"command":"read","class":"balance-read"},{"command":"write","class":"new-record"}]},
			{"lun":3,"group":0,"volume":"00000000000a0003","plan":"basic","blocks":16,"read_only":true,
			"rules":[{"command":"read","class":"balance-read"}]},
			{"lun":4,"group":0,"volume":"00000000000a0004","plan":"capped","blocks":16,"read_only":true,
			"rules":[{"command":"read","class":"balance-read"}]}]}]}`, deduplicates, strings.Join(addresses, ","), targetName)), set)
	if err != nil {
		t.Fatal(err)
	}
	var log *logrus.Logger
	log, _ = logtest.NewNullLogger()
	dialer := NewDialer(conf, "iqn.me", 5*time.Second, log)
	settings := address.Defaults() // short delays, for tests that wait for a backoff
	settings.Backoff, settings.MaxBackoff, settings.MinReturnDelay, settings.TrialInterval, settings.DownTrialInterval = 50*time.Millisecond, 200*time.Millisecond,
		100*time.Millisecond, 10*time.Millisecond, 20*time.Millisecond
	settings.WrongNodeBackoff = 50 * time.Millisecond
	dialer.SetAddressSettings(settings)
	set = AdaptSettings(set, conf)
	scheduler, err := core.New(core.Options{Settings: set, Seed: 1, NewNodeClient: dialer.NewNodeClient, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(scheduler.Stop)
	dialer.SetListUpdateHandler(scheduler.UpdateList)
	scheduler.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: Nodes(conf)})
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	env := &testEnv{fakeTarget: target, core: scheduler, dialer: dialer, target: NewTarget(conf, scheduler, dialer, log), address: ln.Addr().String()}
	go func() { _ = env.target.Serve(ln) }()
	return env
}

// startHeldWrite starts a write and returns once the fake target has executed it. The fake target delays the
// response until env.hold is closed.
func (env *testEnv) startHeldWrite(c *fakeInitiator) (itt uint32, data []byte) {
	c.t.Helper()
	env.mu.Lock()
	env.hold = make(chan struct{})
	env.mu.Unlock()
	data = pattern(1024)
	itt = c.startWrite(0, data)
	c.answerR2T(c.read(), data)
	<-env.holding
	return itt, data
}

// initiator logs in to the target under test.
func (env *testEnv) initiator(t *testing.T, more ...pair) *fakeInitiator {
	t.Helper()
	return env.initiatorAs(t, "", more...)
}

// otherInitiator logs in with another ISID. With the same one it would reinstate the session of initiator.
func (env *testEnv) otherInitiator(t *testing.T) *fakeInitiator {
	t.Helper()
	return env.initiatorAs(t, "\x80\x00\x00\x00\x00\x02")
}

func (env *testEnv) initiatorAs(t *testing.T, isid string, more ...pair) *fakeInitiator {
	t.Helper()
	c := connect(t, env.address)
	c.isid = isid
	status := c.login(stageOperational<<2|stageFull, append([]pair{{"InitiatorName", "iqn.client"},
		{"TargetName", targetName}, {"MaxRecvDataSegmentLength", "4096"}, {"MaxBurstLength", "16384"}}, more...)...)
	if status != 0 {
		t.Fatalf("login to the target under test ended with status 0x%04x", status)
	}
	return c
}
