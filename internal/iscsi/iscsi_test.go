package iscsi

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/replay"
	"wheatsaddle/policy"
)

const long = 60e3 // an aim that no test reaches

func pattern(n int) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(int64(n))).Read(b)
	return b
}

func TestWriteAndReadBack(t *testing.T) {
	for _, extra := range [][]pair{nil,
		{{"HeaderDigest", "CRC32C"}, {"DataDigest", "CRC32C,None"}},
		{{"InitialR2T", "No"}, {"ImmediateData", "No"}, {"iSCSIProtocolLevel", "2"}}} {
		p := newPath(t, long, false)
		c := p.initiator(t, extra...)
		data := pattern(40 << 10)
		e := c.write(8, data)
		if e.status != statusGood || e.bursts != 3 || e.flags&6 != 0 {
			t.Errorf("%v: write ended %+v", extra, e)
		}
		e = c.readBlocks(8, 80)
		if e.status != statusGood || !bytes.Equal(e.data, data) || e.flags&6 != 0 {
			t.Errorf("%v: read ended with status %d, %d bytes", extra, e.status, len(e.data))
		}
		if came, ran := p.counts(); came != 2 || ran != 2 {
			t.Errorf("%d commands came, %d ran", came, ran)
		}
	}
}

// Immediate and unsolicited data come before any R2T.
func TestUnsolicitedData(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t, pair{"InitialR2T", "No"}, pair{"FirstBurstLength", "8192"})
	data := pattern(10 << 10)
	c.itt++
	q := newPDU(opSCSICommand, c.itt)
	q.bhs[1] = 0x21 // no F: unsolicited data follows
	q.put32(20, uint32(len(data)))
	q.put32(24, c.cmdSN)
	c.cmdSN++
	cdb := block{true, 0, 20}.cdb()
	copy(q.bhs[32:], cdb[:])
	q.data = data[:4096]
	c.send(q)
	d := newPDU(opDataOut, c.itt)
	d.bhs[1] = flagFinal
	d.put32(20, noTag)
	d.put32(40, 4096)
	d.data = data[4096:8192]
	c.send(d)
	if e := c.finish(c.itt, data); e.status != statusGood || e.bursts != 1 {
		t.Errorf("ended %+v", e)
	}
	if e := c.readBlocks(0, 20); !bytes.Equal(e.data, data) {
		t.Error("other data came back")
	}
}

// The hard case: the connection to the storage target drops while a write is in flight. It
// gets exactly one response, and it is sent again only where that cannot run it twice.
func TestWriteCutMidCommand(t *testing.T) {
	for _, x := range []struct {
		stage              string
		drops              bool
		cuts               int
		status, key        byte
		cameMost, ranExact int
	}{
		{cutLogin, false, 1, statusGood, 0, 1, 1}, // never sent: it may be tried again
		{cutCommand, false, 1, statusCheckCondition, senseHardware, 1, 0},
		{cutData, false, 1, statusCheckCondition, senseHardware, 1, 0},
		{cutExecuted, false, 1, statusCheckCondition, senseHardware, 1, 1},
		{cutCommand, true, 1, statusGood, 0, 2, 1},
		{cutData, true, 1, statusGood, 0, 2, 1},
		{cutExecuted, true, 1, statusGood, 0, 2, 1},
		{cutExecuted, true, 9, statusCheckCondition, senseHardware, 4, 1}, // no more tries than are allowed
	} {
		p := newPath(t, long, x.drops)
		p.cut, p.cuts = x.stage, x.cuts
		c := p.initiator(t)
		e := c.write(0, pattern(20<<10))
		came, ran := p.counts()
		if e.status != x.status || e.key != x.key || came != x.cameMost || ran != x.ranExact {
			t.Errorf("%+v: status 0x%x sense %x, %d came, %d ran", x, e.status, e.key, came, ran)
		}
		p.mu.Lock()
		p.cuts = 0
		p.mu.Unlock()
		if e := c.readBlocks(0, 1); e.status != statusGood { // also: no second response came before it
			t.Errorf("%+v: the next command ended with 0x%x", x, e.status)
		}
	}
}

// A read may run again.
func TestReadCutIsSentAgain(t *testing.T) {
	p := newPath(t, long, false)
	p.cut, p.cuts = cutExecuted, 2
	if e := p.initiator(t).readBlocks(0, 8); e.status != statusGood || len(e.data) != 4096 {
		t.Errorf("ended %+v", e)
	}
	if came, _ := p.counts(); came != 3 {
		t.Errorf("%d came", came)
	}
}

// A storage target that asks for logout finishes the write it has and gets nothing new
// before it is back; what waits for it is served then, or refused, once.
func TestDrainWithWriteInFlight(t *testing.T) {
	for _, back := range []bool{true, false} {
		p := newPath(t, 4000, false)
		c := p.initiator(t)
		first, data := p.heldWrite(c)
		if p.leave(); !back {
			p.ln.Close()
		}
		second := c.startWrite(8, data)
		c.answerR2T(c.read(), data)
		close(p.hold)
		if e := c.finish(first, nil); e.status != statusGood {
			t.Errorf("the write in flight ended %+v", e)
		}
		<-p.logouts
		want, times := byte(statusBusy), 1
		if back {
			want, times = statusGood, 2
		}
		if e := c.finish(second, nil); e.status != want {
			t.Errorf("back %v: the second ended %+v", back, e)
		}
		if came, ran := p.counts(); came != times || ran != times {
			t.Errorf("back %v: %d came, %d ran", back, came, ran)
		}
	}
}

// A storage target that the configuration drains stays drained, though it says it is back;
// one that a reload adds is reached under its own target name.
func TestReload(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	if e := c.readBlocks(0, 1); e.status != statusGood {
		t.Fatalf("ended %+v", e)
	}
	told := make(chan core.ListUpdate, 8)
	p.dialer.Report(func(n core.ListUpdate) { told <- n })
	conf := *p.target.conf
	conf.Storage = []config.StorageTarget{conf.Storage[0]}
	conf.Storage[0].State = policy.NodeDraining
	p.dialer.Update(&conf)
	pe := &storagePeer{dialer: p.dialer, name: "st"}
	pe.reportState(policy.NodeUp, 1)
	pe.reportState(policy.NodeDraining, 0)
	if n := <-told; n.Nodes[0].State != policy.NodeDraining || len(told) > 0 {
		t.Errorf("told %+v", n)
	}
	conf.Storage = []config.StorageTarget{{Name: "new", Addresses: conf.Storage[0].Addresses, Target: "iqn.new", Shard: 0}}
	p.dialer.Update(&conf)
	p.core.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: Nodes(&conf)})
	if e := c.readBlocks(0, 1); e.status != statusGood {
		t.Errorf("ended %+v", e)
	}
	if name := p.loggedInTo(); name != "iqn.new" {
		t.Errorf("logged in to %q", name)
	}
}

func TestStatusMapping(t *testing.T) {
	for _, x := range []struct {
		status         byte
		sense          []byte
		write          bool
		want, key      byte
		leastC, mostC  int
		wantsQualifier bool
	}{
		{statusBusy, nil, true, statusBusy, 0, 1, 4, true}, // not run: refused, with the time to come back
		{statusTaskSetFull, nil, false, statusBusy, 0, 1, 4, true},
		{statusConflict, nil, true, statusConflict, 0, 1, 1, false},
		{statusCheckCondition, senseOutOfRange.encodeFixed(), true, statusCheckCondition, senseIllegalRequest, 1, 1, false},
		{statusCheckCondition, senseReadLost.encodeFixed(), true, statusCheckCondition, senseHardware, 1, 1, false},
		{statusCheckCondition, sense{senseUnitAttention, 0x2900}.encodeFixed(), true, statusBusy, 0, 1, 4, true},
	} {
		p := newPath(t, 5000, false)
		p.status, p.standin.sense = x.status, x.sense
		c := p.initiator(t, pair{"iSCSIProtocolLevel", "2"})
		var e ended
		if x.write {
			e = c.write(0, pattern(512))
		} else {
			e = c.readBlocks(0, 1)
		}
		came, ran := p.counts()
		if e.status != x.want || e.key != x.key || came < x.leastC || came > x.mostC || ran != 0 || (e.qualifier > 0) != x.wantsQualifier {
			t.Errorf("%+v: ended %+v, %d came, %d ran", x, e, came, ran)
		}
	}
}

// A storage target that says nothing: the command ends by its deadline, and is aborted there.
func TestDeadline(t *testing.T) {
	p := newPath(t, 1000, false)
	p.hold = make(chan struct{})
	defer close(p.hold)
	if e := p.initiator(t).write(0, pattern(512)); e.status != statusCheckCondition || e.key != senseHardware {
		t.Errorf("ended %+v", e)
	}
	if came, _ := p.counts(); came != 1 {
		t.Errorf("%d came", came)
	}
}

// An aborted task has no response, and the storage target is told.
func TestAbortTask(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	itt, _ := p.heldWrite(c)
	abort := func(of uint32) byte {
		q := newPDU(opTaskMgmtReq, 9000+of)
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal | tmAbortTask
		q.put32(20, of)
		q.put32(24, c.cmdSN)
		c.send(q)
		r := c.read()
		if r.op() != opTaskMgmtResp {
			t.Fatalf("%v", r)
		}
		return r.bhs[2]
	}
	if code := abort(itt); code != tmComplete {
		t.Errorf("abort: %d", code)
	}
	if code := abort(itt); code != tmNoTask {
		t.Errorf("abort of no task: %d", code)
	}
	close(p.hold)
	if e := c.readBlocks(0, 1); e.status != statusGood {
		t.Errorf("next ended %+v", e)
	}
	if c.responses[itt] != 0 {
		t.Error("an aborted task had a response")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.aborts != 1 {
		t.Errorf("%d aborts at the storage target", p.aborts)
	}
}

// An initiator port that logs in again ends its old session: the write in flight there is
// called off, and the new session is served.
func TestSessionReinstatement(t *testing.T) {
	p := newPath(t, long, false)
	old := p.initiator(t)
	itt, _ := p.heldWrite(old)
	c := p.initiator(t)
	if _, err := old.in.read(old.br); err == nil {
		t.Error("the old session goes on")
	}
	close(p.hold)
	if e := c.readBlocks(0, 1); e.status != statusGood || old.responses[itt] != 0 {
		t.Errorf("ended %+v, %d responses in the old session", e, old.responses[itt])
	}
	if n := p.core.OpenRequests(); n != 0 {
		t.Errorf("%d requests open", n)
	}
}

// What the command window offered once stands, though immediate commands take places in it.
func TestWindowNeverFalls(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	ping := func() uint32 {
		q := newPDU(opNopOut, 4242)
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal
		q.put32(20, noTag)
		q.put32(24, c.cmdSN)
		q.data = []byte("ping")
		c.send(q)
		r := c.read()
		if r.op() != opNopIn || string(r.data) != "ping" {
			t.Fatalf("%v %q", r, r.data)
		}
		return r.u32(32)
	}
	first := ping()
	cdb := block{true, 0, 1}.cdb()
	for i := range 3 { // immediate writes that wait for their data
		q := newPDU(opSCSICommand, uint32(900+i))
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal | 0x21
		q.put32(20, 512)
		q.put32(24, c.cmdSN)
		copy(q.bhs[32:], cdb[:])
		c.send(q)
		if r := c.read(); r.op() != opR2T {
			t.Fatalf("%v", r)
		}
	}
	if last := ping(); last != first || last != c.cmdSN+7 {
		t.Errorf("MaxCmdSN %d, before %d", last, first)
	}
}

func TestLocalCommands(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	run := func(lun uint16, expected uint32, cdb ...byte) ended {
		t.Helper()
		return c.finish(c.start(append(cdb, make([]byte, 16)...)[:16], lun, 0x40, expected), nil)
	}
	if e := run(0, 8, scsiReadCapacity10); be.Uint32(e.data) != 4095 || be.Uint32(e.data[4:]) != 512 {
		t.Errorf("READ CAPACITY(10): %x", e.data)
	}
	if e := run(0, 100, scsiReportLUNs, 0, 0, 0, 0, 0, 0, 0, 0, 100); be.Uint32(e.data) != 24 || e.data[17] != 3 || e.residual != 68 {
		t.Errorf("REPORT LUNS: %x, residual %d", e.data, e.residual)
	}
	if e := run(0, 36, scsiInquiry, 0, 0, 0, 36); len(e.data) != 36 || e.data[0] != 0 {
		t.Errorf("INQUIRY: %x", e.data)
	}
	if e := run(9, 36, scsiInquiry, 0, 0, 0, 36); len(e.data) != 36 || e.data[0] != 0x7f {
		t.Errorf("INQUIRY of no unit: %x", e.data)
	}
	for _, x := range []struct {
		lun uint16
		cdb [16]byte
		key byte
	}{
		{9, block{false, 0, 1}.cdb(), senseIllegalRequest},
		{0, block{false, 4096, 1}.cdb(), senseIllegalRequest},
		{0, block{false, 1 << 63, 1 << 31}.cdb(), senseIllegalRequest},
		{0, block{false, 0, 4096}.cdb(), senseIllegalRequest}, // over the longest transfer
		{0, [16]byte{0xfe}, senseIllegalRequest},
	} {
		if e := run(x.lun, 512, x.cdb[:]...); e.status != statusCheckCondition || e.key != x.key {
			t.Errorf("%x: ended %+v", x.cdb, e)
		}
	}
	cdb := block{true, 0, 1}.cdb()
	if e := c.finish(c.start(cdb[:], 3, 0x20, 512), nil); e.key != senseDataProtect {
		t.Errorf("write to a protected unit: %+v", e)
	}
	if came, _ := p.counts(); came != 0 {
		t.Errorf("%d commands reached the storage target", came)
	}
}

func TestLogin(t *testing.T) {
	p := newPath(t, long, false)
	me, to := pair{"InitiatorName", "iqn.client"}, pair{"TargetName", targetName}
	for _, x := range []struct {
		stages byte
		want   uint16
		pairs  []pair
	}{
		{stageOperational<<2 | stageFull, 0, []pair{me, to}},
		{stageSecurity<<2 | stageOperational, 0, []pair{me, to, {"AuthMethod", "CHAP,None"}}},
		{stageSecurity<<2 | stageOperational, loginAuthFailure, []pair{me, to, {"AuthMethod", "CHAP"}}},
		{stageOperational<<2 | stageFull, loginMissingParameter, []pair{to}},
		{stageOperational<<2 | stageFull, loginMissingParameter, []pair{me}},
		{stageOperational<<2 | stageFull, loginNotFound, []pair{me, {"TargetName", "iqn.other"}}},
		{stageFull<<2 | stageFull, loginBadRequest, []pair{me, to}},
		{stageOperational<<2 | stageFull, loginBadRequest, []pair{me, to, {"MaxBurstLength", "none"}}},
	} {
		if status := connect(t, p.address).login(x.stages, x.pairs...); status != x.want {
			t.Errorf("%v: status 0x%04x, want 0x%04x", x.pairs, status, x.want)
		}
	}
	c := connect(t, p.address)
	c.login(stageOperational<<2|stageFull, me, pair{"SessionType", "Discovery"})
	q := newPDU(opTextReq, 5)
	q.bhs[1] = flagFinal
	q.put32(20, noTag)
	q.put32(24, c.cmdSN)
	q.data = encodeText([]pair{{"SendTargets", "All"}})
	c.send(q)
	text, err := decodeText(c.read().data)
	if name, _ := findValue(text, "TargetName"); err != nil || name != targetName {
		t.Errorf("SendTargets: %v %v", text, err)
	}
}

// What is malformed gets a Reject or a close; the next session is served as ever.
func TestMalformed(t *testing.T) {
	p := newPath(t, long, false)
	bad := func(edit func(*pdu)) *pdu {
		q := newPDU(opSCSICommand, 77)
		q.bhs[1] = flagFinal | 0x21
		q.put32(20, 4096)
		q.put32(24, 1)
		cdb := block{true, 0, 8}.cdb()
		copy(q.bhs[32:], cdb[:])
		edit(q)
		return q
	}
	for name, x := range map[string]struct {
		pdu    *pdu
		reject byte // 0: a close without one
	}{
		"opcode":    {bad(func(q *pdu) { q.bhs[0] = 0x1e | flagImmediate }), rejectUnsupported},
		"snack":     {bad(func(q *pdu) { q.bhs[0] = opSNACK | flagImmediate }), rejectProtocol},
		"login":     {bad(func(q *pdu) { q.bhs[0] = opLoginReq | flagImmediate }), rejectProtocol},
		"both ways": {bad(func(q *pdu) { q.bhs[1] |= 0x40 }), rejectInvalid},
		"gap":       {bad(func(q *pdu) { q.put32(24, 3) }), 0},
		"too long":  {bad(func(q *pdu) { q.data = make([]byte, ownMaxSegment+4) }), rejectInvalid},
	} {
		c := p.initiator(t)
		_, _ = c.nc.Write(c.out.append(nil, x.pdu))
		q, err := c.in.read(c.br)
		if x.reject == 0 && err == nil || x.reject != 0 && (err != nil || q.op() != opReject || q.bhs[2] != x.reject) {
			t.Errorf("%s: %v %v", name, q, err)
		}
	}
	// Data-Out past what the R2T asked for
	c := p.initiator(t)
	c.startWrite(0, pattern(4096))
	r2t := c.read()
	d := newPDU(opDataOut, r2t.tag())
	d.put32(20, r2t.u32(20))
	d.data = make([]byte, 8192)
	c.send(d)
	if q := c.read(); q.op() != opReject {
		t.Errorf("%v", q)
	}
	if _, err := c.in.read(c.br); err == nil {
		t.Error("the session goes on")
	}
	// a command past the window is ignored; one inside is served
	c = p.initiator(t)
	c.cmdSN += 100
	cdb := block{false, 0, 1}.cdb()
	c.start(cdb[:], 0, 0x40, 512)
	c.cmdSN -= 101
	if e := c.readBlocks(0, 1); e.status != statusGood {
		t.Errorf("ended %+v", e)
	}
	if came, _ := p.counts(); came != 1 {
		t.Errorf("%d commands reached the storage target", came)
	}
}

// Logout ends the session with what was at work in it; recovery is not for level 0.
func TestLogout(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	itt, _ := p.heldWrite(c)
	logout := func(reason byte) *pdu {
		q := newPDU(opLogoutReq, 50)
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal | reason
		q.put32(24, c.cmdSN)
		c.send(q)
		return c.read()
	}
	if r := logout(2); r.op() != opLogoutResp || r.bhs[2] != 2 {
		t.Errorf("for recovery: %v, response %d", r, r.bhs[2])
	}
	if r := logout(0); r.op() != opLogoutResp || r.bhs[2] != 0 {
		t.Errorf("%v, response %d", r, r.bhs[2])
	}
	if _, err := c.in.read(c.br); !errors.Is(err, io.EOF) || c.responses[itt] != 0 {
		t.Errorf("%v, %d responses", err, c.responses[itt])
	}
	close(p.hold)
	if n := p.core.OpenRequests(); n != 0 {
		t.Errorf("%d requests open", n)
	}
}

// A write whose data does not come ends by its deadline and never reaches the storage target.
func TestDataOutStalls(t *testing.T) {
	p := newPath(t, 100, false)
	c := p.initiator(t)
	itt := c.startWrite(0, pattern(512))
	if q := c.read(); q.op() != opR2T {
		t.Fatalf("%v", q)
	}
	if e := c.finish(itt, nil); e.status != statusCheckCondition || e.key != senseAborted {
		t.Errorf("ended %+v", e)
	}
	if came, _ := p.counts(); came != 0 || p.target.bufferedBytes.Load() != 0 {
		t.Errorf("%d came, %d bytes still held", came, p.target.bufferedBytes.Load())
	}
}

// With the budget of data used up a command is refused before anything is allocated.
func TestBufferBudget(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	p.target.bufferedBytes.Store(maxBufferedBytes)
	if e := c.write(0, pattern(512)); e.status != statusBusy {
		t.Errorf("ended %+v", e)
	}
	p.target.bufferedBytes.Store(0)
	if e := c.write(0, pattern(512)); e.status != statusGood {
		t.Errorf("ended %+v", e)
	}
}

// The limit of a plan binds commands as it binds requests: with nothing in its store a volume's
// command is refused and never sent, while another volume's is served.
func TestPlanLimit(t *testing.T) {
	p := newPath(t, 1000, false)
	c := p.initiator(t)
	cdb := block{false, 0, 1}.cdb()
	if e := c.finish(c.start(cdb[:], 4, 0x40, 512), nil); e.status != statusBusy {
		t.Errorf("past its limit: %+v", e)
	}
	if e := c.readBlocks(0, 1); e.status != statusGood {
		t.Errorf("another volume: %+v", e)
	}
	if came, _ := p.counts(); came != 1 {
		t.Errorf("%d came", came)
	}
}

// A digest that does not fit ends the session: at level 0 nothing repairs it.
func TestDigestError(t *testing.T) {
	p := newPath(t, long, false)
	for _, at := range []int{5, bhsLen + 4 + 1} { // in the header, in the data
		c := p.initiator(t, pair{"HeaderDigest", "CRC32C"}, pair{"DataDigest", "CRC32C"})
		q := newPDU(opNopOut, 7)
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal
		q.data = []byte("ping")
		wire := c.out.append(nil, q)
		wire[at] ^= 0x10
		if at < bhsLen {
			wire = append(wire, make([]byte, 1<<13)...) // the length is what was changed
		}
		_, _ = c.nc.Write(wire)
		if r := c.read(); r.op() != opReject {
			t.Errorf("%v", r)
		}
		if _, err := c.in.read(c.br); err == nil {
			t.Error("the session goes on")
		}
	}
}

// Shutdown asks for logout, answers what was taken, and only then closes.
func TestShutdown(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	itt, _ := p.heldWrite(c)
	done := make(chan struct{})
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), time.Minute)
		defer stop()
		p.target.Shutdown(ctx)
		close(done)
	}()
	if q := c.read(); q.op() != opAsync || q.bhs[36] != 1 {
		t.Errorf("%v", q)
	}
	close(p.hold)
	if e := c.finish(itt, nil); e.status != statusGood {
		t.Errorf("ended %+v", e)
	}
	<-done
	if _, err := c.in.read(c.br); !errors.Is(err, io.EOF) {
		t.Errorf("%v", err)
	}
}

func drawPDU(rt *rapid.T) *pdu {
	p := &pdu{ahs: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(rt, "ahs"), data: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "data")}
	p.ahs = p.ahs[:len(p.ahs)&^3]
	copy(p.bhs[:], rapid.SliceOfN(rapid.Byte(), bhsLen, bhsLen).Draw(rt, "bhs"))
	return p
}

// Whole PDUs come back as they went; cut ones are errors; garbage never panics.
func TestParsers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := framing{rapid.Bool().Draw(rt, "hd"), rapid.Bool().Draw(rt, "dd"), 512}
		p := drawPDU(rt)
		wire := f.append(nil, p)
		got, err := f.read(bufio.NewReader(bytes.NewReader(wire)))
		if err != nil || got.bhs != p.bhs || !bytes.Equal(got.data, p.data) || !bytes.Equal(got.ahs, p.ahs) {
			rt.Fatalf("%v: %+v from %+v", err, got, p)
		}
		cutAt := rapid.IntRange(0, len(wire)-1).Draw(rt, "cut")
		if _, err := f.read(bufio.NewReader(bytes.NewReader(wire[:cutAt]))); err == nil {
			rt.Fatalf("cut at %d of %d passed", cutAt, len(wire))
		}
		key := rapid.StringN(1, 40, 60).Draw(rt, "key")
		if k := (&pdu{ahs: idempotencyKeyAHS(key)}).idempotencyKey(); k != key {
			rt.Fatalf("key %q came back as %q", key, k)
		}
		noise := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "noise")
		_, _ = f.read(bufio.NewReader(bytes.NewReader(noise)))
		_ = (&pdu{ahs: noise}).idempotencyKey()
		if pairs, err := decodeText(noise); err == nil {
			q := defaultParams()
			_ = q.applyResponse(pairs)
		}
		if len(noise) >= 16 {
			if b, ok := decodeBlock(noise); ok && b.blocks > 0 {
				_ = b.within(100)
			}
			u := &unit{}
			u.Blocks = 1
			u.BlockSize = 512
			_, _, _ = u.answerLocally(noise, nil)
		}
		_ = senseKey(noise)
	})
}

// Random PDUs after a login end the session or are answered; the target stays up.
func TestGarbageSessions(t *testing.T) {
	p := newPath(t, long, false)
	rapid.Check(t, func(rt *rapid.T) {
		c := p.initiator(t)
		for range rapid.IntRange(1, 5).Draw(rt, "n") {
			q := drawPDU(rt)
			if rapid.Bool().Draw(rt, "near") {
				q.put32(24, c.cmdSN)
				q.bhs[0] = byte(rapid.SampledFrom([]int{opNopOut, opTaskMgmtReq, opTextReq, opDataOut, opSNACK, opLogoutReq}).Draw(rt, "op"))
			}
			if q.op() == opSCSICommand {
				q.bhs[32] = scsiTestUnitReady // so that none reaches the storage target
			}
			_, _ = c.nc.Write(c.out.append(nil, q))
		}
		c.nc.Close()
	})
	if e := p.initiator(t).readBlocks(0, 1); e.status != statusGood {
		t.Errorf("ended %+v", e)
	}
}

// A recorded access log as load: each entry is a READ or WRITE of its size.
func TestReplayedLog(t *testing.T) {
	p := newPath(t, long, false)
	c := p.initiator(t)
	in, err := os.Open("../replay/testdata/access.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	rec, err := replay.Read(in, replay.Mapping{Deadline: time.Minute, UnitBytes: 4096})
	if err != nil || len(rec.Entries) == 0 {
		t.Fatal(err)
	}
	for i, e := range rec.Entries {
		blocks, lba := max(1, (min(e.Bytes, 48<<10)+511)/512), uint64(i)*128
		var got ended
		if e.Write {
			got = c.write(lba, pattern(blocks*512))
		} else {
			got = c.readBlocks(lba, uint32(blocks))
		}
		if got.status != statusGood {
			t.Errorf("line %d ended %+v", e.Line, got)
		}
	}
	if came, ran := p.counts(); came != len(rec.Entries) || ran != came {
		t.Errorf("%d came, %d ran of %d", came, ran, len(rec.Entries))
	}
}
