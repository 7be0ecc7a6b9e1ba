package iscsi

import (
	"bufio"
	"bytes"
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

const longObjective = 60e3 // ms, a latency objective that no test reaches

// pattern returns n pseudorandom bytes, the same for each n.
func pattern(n int) []byte {
	b := make([]byte, n)
	rand.New(rand.NewSource(int64(n))).Read(b)
	return b
}

func TestWriteAndReadBack(t *testing.T) {
	for _, extraKeys := range [][]pair{nil,
		{{"HeaderDigest", "CRC32C"}, {"DataDigest", "CRC32C,None"}},
		{{"InitialR2T", "No"}, {"ImmediateData", "No"}, {"iSCSIProtocolLevel", "2"}}} {
		env := newTestEnv(t, longObjective, false)
		client := env.initiator(t, extraKeys...)
		data := pattern(40 << 10)
		e := client.write(8, data)
		if e.status != statusGood || e.r2ts != 3 || e.flags&6 != 0 {
			t.Errorf("login keys %v: write ended as %+v", extraKeys, e)
		}
		e = client.readBlocks(8, 80)
		if e.status != statusGood || !bytes.Equal(e.data, data) || e.flags&6 != 0 {
			t.Errorf("login keys %v: read ended with status %d, %d bytes", extraKeys, e.status, len(e.data))
		}
		if received, executed := env.counts(); received != 2 || executed != 2 {
			t.Errorf("storage target: %d commands received, %d executed, want 2 each", received, executed)
		}
	}
}

// Immediate and unsolicited data are accepted, and only the rest is requested by R2T.
func TestUnsolicitedData(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t, pair{"InitialR2T", "No"}, pair{"FirstBurstLength", "8192"})
	data := pattern(10 << 10)
	client.lastITT++
	q := newPDU(opSCSICommand, client.lastITT)
	q.bhs[1] = 0x21 // without the F bit: unsolicited data follows
	q.put32(20, uint32(len(data)))
	q.put32(24, client.cmdSN)
	client.cmdSN++
	cdb := block{write: true, lba: 0, blocks: 20}.cdb()
	copy(q.bhs[32:], cdb[:])
	q.data = data[:4096]
	client.send(q)
	d := newPDU(opDataOut, client.lastITT)
	d.bhs[1] = flagFinal
	d.put32(20, noTag)
	d.put32(40, 4096)
	d.data = data[4096:8192]
	client.send(d)
	if e := client.awaitResponse(client.lastITT, data); e.status != statusGood || e.r2ts != 1 {
		t.Errorf("write ended as %+v", e)
	}
	if e := client.readBlocks(0, 20); !bytes.Equal(e.data, data) {
		t.Error("the data read differs from the data written")
	}
}

// The connection to the storage target drops while a write is in flight. The write gets exactly one
// response, and it is retried only if that cannot execute it twice.
func TestWriteInterruptedByConnectionLoss(t *testing.T) {
	for _, x := range []struct {
		stage                      string
		deduplicates               bool
		cuts                       int
		status, senseKey           byte
		wantReceived, wantExecuted int
	}{
		{cutLogin, false, 1, statusGood, 0, 1, 1}, // never sent, so it may be retried
		{cutCommand, false, 1, statusCheckCondition, senseHardware, 1, 0},
		{cutData, false, 1, statusCheckCondition, senseHardware, 1, 0},
		{cutExecuted, false, 1, statusCheckCondition, senseHardware, 1, 1},
		{cutCommand, true, 1, statusGood, 0, 2, 1},
		{cutData, true, 1, statusGood, 0, 2, 1},
		{cutExecuted, true, 1, statusGood, 0, 2, 1},
		{cutExecuted, true, 9, statusCheckCondition, senseHardware, 4, 1}, // all MaxAttempts attempts fail
	} {
		env := newTestEnv(t, longObjective, x.deduplicates)
		env.cutStage, env.cutsLeft = x.stage, x.cuts
		client := env.initiator(t)
		e := client.write(0, pattern(20<<10))
		received, executed := env.counts()
		if e.status != x.status || e.senseKey != x.senseKey || received != x.wantReceived || executed != x.wantExecuted {
			t.Errorf("%+v: write ended with status 0x%x, sense key %x; %d commands received, %d executed", x, e.status, e.senseKey, received, executed)
		}
		env.mu.Lock()
		env.cutsLeft = 0
		env.mu.Unlock()
		if e := client.readBlocks(0, 1); e.status != statusGood { // also fails if a second response to the write arrives
			t.Errorf("%+v: the next command ended with status 0x%x", x, e.status)
		}
	}
}

// A read whose connection drops is retried.
func TestReadRetriedAfterConnectionLoss(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	env.cutStage, env.cutsLeft = cutExecuted, 2
	if e := env.initiator(t).readBlocks(0, 8); e.status != statusGood || len(e.data) != 4096 {
		t.Errorf("read ended as %+v", e)
	}
	if received, _ := env.counts(); received != 3 {
		t.Errorf("%d commands received, want 3", received)
	}
}

// A storage target that requests a logout finishes the write in flight and gets no new command before
// it is up again. A command that waits is then served, or rejected if the target stays down.
func TestDrainWithWriteInFlight(t *testing.T) {
	for _, restarts := range []bool{true, false} {
		env := newTestEnv(t, 4000, false)
		client := env.initiator(t)
		first, data := env.startHeldWrite(client)
		if env.requestLogout(); !restarts {
			env.ln.Close()
		}
		second := client.startWrite(8, data)
		client.answerR2T(client.read(), data)
		close(env.hold)
		if e := client.awaitResponse(first, nil); e.status != statusGood {
			t.Errorf("the write in flight ended as %+v", e)
		}
		<-env.logouts
		want, executions := byte(statusBusy), 1
		if restarts {
			want, executions = statusGood, 2
		}
		if e := client.awaitResponse(second, nil); e.status != want {
			t.Errorf("storage target comes up again: %v; the second write ended as %+v", restarts, e)
		}
		if received, executed := env.counts(); received != executions || executed != executions {
			t.Errorf("storage target comes up again: %v; %d commands received, %d executed", restarts, received, executed)
		}
	}
}

// A storage target that the configuration drains stays drained although it reports that it is up. A target
// that a reload adds is logged in to under its own target name.
func TestReloadOfStorageTargets(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	if e := client.readBlocks(0, 1); e.status != statusGood {
		t.Fatalf("read ended as %+v", e)
	}
	reports := make(chan core.ListUpdate, 8)
	env.dialer.SetListUpdateHandler(func(n core.ListUpdate) { reports <- n })
	conf := *env.target.conf
	conf.Storage = []config.StorageTarget{conf.Storage[0]}
	conf.Storage[0].State = policy.NodeDraining
	env.dialer.Update(&conf)
	peer := &storagePeer{dialer: env.dialer, name: "st"}
	peer.reportState(policy.NodeUp, 1)
	peer.reportState(policy.NodeDraining, 0)
	if n := <-reports; n.Nodes[0].State != policy.NodeDraining || len(reports) > 0 {
		t.Errorf("reported %+v, want only that the target drains", n)
	}
	conf.Storage = []config.StorageTarget{{Name: "new", Addresses: conf.Storage[0].Addresses, Target: "iqn.new", Shard: 0}}
	env.dialer.Update(&conf)
	env.core.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: Nodes(&conf)})
	if e := client.readBlocks(0, 1); e.status != statusGood {
		t.Errorf("read after the reload ended as %+v", e)
	}
	if name := env.lastLoginTarget(); name != "iqn.new" {
		t.Errorf("logged in to the target %q, want the one that the reload added", name)
	}
}

// The SCSI status of the storage target decides the response to the initiator and whether the command is retried.
func TestStatusMapping(t *testing.T) {
	for _, x := range []struct {
		status                   byte
		sense                    []byte
		write                    bool
		want, senseKey           byte
		minReceived, maxReceived int
		wantsQualifier           bool
	}{
		{statusBusy, nil, true, statusBusy, 0, 1, 4, true}, // not executed: rejected with the time after which to retry
		{statusTaskSetFull, nil, false, statusBusy, 0, 1, 4, true},
		{statusConflict, nil, true, statusConflict, 0, 1, 1, false},
		{statusCheckCondition, senseOutOfRange.encodeFixed(), true, statusCheckCondition, senseIllegalRequest, 1, 1, false},
		{statusCheckCondition, senseMayRepeat.encodeFixed(), true, statusCheckCondition, senseHardware, 1, 1, false},
		{statusCheckCondition, sense{senseUnitAttention, 0x2900}.encodeFixed(), true, statusBusy, 0, 1, 4, true},
	} {
		env := newTestEnv(t, 5000, false)
		env.status, env.fakeTarget.sense = x.status, x.sense
		client := env.initiator(t, pair{"iSCSIProtocolLevel", "2"})
		var e outcome
		if x.write {
			e = client.write(0, pattern(512))
		} else {
			e = client.readBlocks(0, 1)
		}
		received, executed := env.counts()
		if e.status != x.want || e.senseKey != x.senseKey || received < x.minReceived || received > x.maxReceived || executed != 0 || (e.qualifier > 0) != x.wantsQualifier {
			t.Errorf("%+v: command ended as %+v; %d commands received, %d executed", x, e, received, executed)
		}
	}
}

// Guards against aborting a read at its latency objective while the storage target is still sending its data.
func TestSlowReadDataAreAwaited(t *testing.T) {
	env := newTestEnv(t, 1000, false)
	env.dataPause = 300 * time.Millisecond
	const blocks = 32 // six Data-In PDUs, 1.5 s
	if e := env.initiator(t).readBlocks(0, blocks); e.status != statusGood || len(e.data) != blocks*512 {
		t.Errorf("the read ended with status %d and %d bytes", e.status, len(e.data))
	}
	if received, _ := env.counts(); received != 1 {
		t.Errorf("%d commands received, want 1", received)
	}
}

// Guards against aborting a read at its latency objective while a PDU of its data comes in pieces.
func TestReadDataInPiecesAreAwaited(t *testing.T) {
	env := newTestEnv(t, 1000, false)
	env.pduPause = 1400 * time.Millisecond
	const blocks = 4 // one Data-In PDU
	if e := env.initiator(t).readBlocks(0, blocks); e.status != statusGood || len(e.data) != blocks*512 {
		t.Errorf("the read ended with status %d and %d bytes", e.status, len(e.data))
	}
	if received, _ := env.counts(); received != 1 {
		t.Errorf("%d commands received, want 1", received)
	}
}

// Guards against aborting a write at its latency objective while the storage target takes its data slowly.
func TestSlowlyTakenWriteIsAwaited(t *testing.T) {
	env := newTestEnv(t, 1000, false)
	env.dataPause = 450 * time.Millisecond // four R2T, 1.35 s
	if e := env.initiator(t).write(0, pattern(128*512)); e.status != statusGood {
		t.Errorf("the write ended with status %d, sense %d", e.status, e.senseKey)
	}
	if received, _ := env.counts(); received != 1 {
		t.Errorf("%d commands received, want 1", received)
	}
}

// A command to which the storage target does not respond ends at its deadline, and the initiator sends ABORT TASK for it.
func TestCommandEndsAtDeadline(t *testing.T) {
	env := newTestEnv(t, 1000, false)
	env.hold = make(chan struct{})
	defer close(env.hold)
	if e := env.initiator(t).write(0, pattern(512)); e.status != statusCheckCondition || e.senseKey != senseHardware {
		t.Errorf("write ended as %+v", e)
	}
	if received, _ := env.counts(); received != 1 {
		t.Errorf("%d commands received, want 1", received)
	}
}

// MaxCmdSN never decreases, although immediate commands take places in the task queue.
func TestCommandWindowNeverShrinks(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	ping := func() uint32 {
		q := newPDU(opNopOut, 4242)
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal
		q.put32(20, noTag)
		q.put32(24, client.cmdSN)
		q.data = []byte("ping")
		client.send(q)
		r := client.read()
		if r.op() != opNopIn || string(r.data) != "ping" {
			t.Fatalf("received %v with data %q, want a NOP-In with the ping's data", r, r.data)
		}
		return r.u32(32)
	}
	first := ping()
	cdb := block{write: true, lba: 0, blocks: 1}.cdb()
	for i := range 3 { // immediate write commands, which wait for their data
		q := newPDU(opSCSICommand, uint32(900+i))
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal | 0x21
		q.put32(20, 512)
		q.put32(24, client.cmdSN)
		copy(q.bhs[32:], cdb[:])
		client.send(q)
		if r := client.read(); r.op() != opR2T {
			t.Fatalf("received %v, want an R2T", r)
		}
	}
	if last := ping(); last != first || last != client.cmdSN+7 {
		t.Errorf("MaxCmdSN is %d with immediate commands in the task queue, and was %d before", last, first)
	}
}

// Commands that transfer no blocks, and block commands that fail a check, are answered without the storage target.
func TestLocalCommands(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	runCommand := func(lun uint16, expected uint32, cdb ...byte) outcome {
		t.Helper()
		return client.awaitResponse(client.startCommand(append(cdb, make([]byte, 16)...)[:16], lun, 0x40, expected), nil)
	}
	if e := runCommand(0, 8, scsiReadCapacity10); be.Uint32(e.data) != 4095 || be.Uint32(e.data[4:]) != 512 {
		t.Errorf("READ CAPACITY(10): %x", e.data)
	}
	if e := runCommand(0, 100, scsiReportLUNs, 0, 0, 0, 0, 0, 0, 0, 0, 100); be.Uint32(e.data) != 24 || e.data[17] != 3 || e.residual != 68 {
		t.Errorf("REPORT LUNS: %x, residual %d", e.data, e.residual)
	}
	if e := runCommand(0, 36, scsiInquiry, 0, 0, 0, 36); len(e.data) != 36 || e.data[0] != 0 {
		t.Errorf("INQUIRY: %x", e.data)
	}
	if e := runCommand(9, 36, scsiInquiry, 0, 0, 0, 36); len(e.data) != 36 || e.data[0] != 0x7f {
		t.Errorf("INQUIRY of a LUN that has no logical unit: %x", e.data)
	}
	for _, x := range []struct {
		lun      uint16
		cdb      [16]byte
		senseKey byte
	}{
		{9, block{lba: 0, blocks: 1}.cdb(), senseIllegalRequest},
		{0, block{lba: 4096, blocks: 1}.cdb(), senseIllegalRequest},
		{0, block{lba: 1 << 63, blocks: 1 << 31}.cdb(), senseIllegalRequest},
		{0, block{lba: 0, blocks: 4096}.cdb(), senseIllegalRequest}, // longer than the maximum transfer
		{0, [16]byte{0xfe}, senseIllegalRequest},
	} {
		if e := runCommand(x.lun, 512, x.cdb[:]...); e.status != statusCheckCondition || e.senseKey != x.senseKey {
			t.Errorf("command %x ended as %+v instead of with the sense key of its failed check", x.cdb, e)
		}
	}
	cdb := block{write: true, lba: 0, blocks: 1}.cdb()
	if e := client.awaitResponse(client.startCommand(cdb[:], 3, 0x20, 512), nil); e.senseKey != senseDataProtect {
		t.Errorf("write to a read-only unit ended as %+v", e)
	}
	if received, _ := env.counts(); received != 0 {
		t.Errorf("%d commands reached the storage target", received)
	}
}

// Logins end with the status of RFC 7143, and a discovery session lists the targets.
func TestLogin(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	initiatorName, target := pair{"InitiatorName", "iqn.client"}, pair{"TargetName", targetName}
	for _, x := range []struct {
		stages byte
		want   uint16
		pairs  []pair
	}{
		{stageOperational<<2 | stageFull, 0, []pair{initiatorName, target}},
		{stageSecurity<<2 | stageOperational, 0, []pair{initiatorName, target, {"AuthMethod", "CHAP,None"}}},
		{stageSecurity<<2 | stageOperational, loginAuthFailure, []pair{initiatorName, target, {"AuthMethod", "CHAP"}}},
		{stageOperational<<2 | stageFull, loginMissingParameter, []pair{target}},
		{stageOperational<<2 | stageFull, loginMissingParameter, []pair{initiatorName}},
		{stageOperational<<2 | stageFull, loginNotFound, []pair{initiatorName, {"TargetName", "iqn.other"}}},
		{stageFull<<2 | stageFull, loginBadRequest, []pair{initiatorName, target}},
		{stageOperational<<2 | stageFull, loginBadRequest, []pair{initiatorName, target, {"MaxBurstLength", "none"}}},
	} {
		if status := connect(t, env.address).login(x.stages, x.pairs...); status != x.want {
			t.Errorf("login with %v ended with status 0x%04x, want 0x%04x", x.pairs, status, x.want)
		}
	}
	client := connect(t, env.address)
	client.login(stageOperational<<2|stageFull, initiatorName, pair{"SessionType", "Discovery"})
	q := newPDU(opTextReq, 5)
	q.bhs[1] = flagFinal
	q.put32(20, noTag)
	q.put32(24, client.cmdSN)
	q.data = encodeText([]pair{{"SendTargets", "All"}})
	client.send(q)
	text, err := decodeText(client.read().data)
	if name, _ := findValue(text, "TargetName"); err != nil || name != targetName {
		t.Errorf("SendTargets returned %v, error %v", text, err)
	}
}

// A malformed PDU gets a Reject or ends the session. Later sessions are served.
func TestMalformedPDUs(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	malformed := func(edit func(*pdu)) *pdu {
		q := newPDU(opSCSICommand, 77)
		q.bhs[1] = flagFinal | 0x21
		q.put32(20, 4096)
		q.put32(24, 1)
		cdb := block{write: true, lba: 0, blocks: 8}.cdb()
		copy(q.bhs[32:], cdb[:])
		edit(q)
		return q
	}
	for name, x := range map[string]struct {
		pdu    *pdu
		reject byte // 0: the session ends without a Reject
	}{
		"unknown opcode":        {malformed(func(q *pdu) { q.bhs[0] = 0x1e | flagImmediate }), rejectUnsupported},
		"SNACK request":         {malformed(func(q *pdu) { q.bhs[0] = opSNACK | flagImmediate }), rejectProtocol},
		"login in full feature": {malformed(func(q *pdu) { q.bhs[0] = opLoginReq | flagImmediate }), rejectProtocol},
		"R and W bits both set": {malformed(func(q *pdu) { q.bhs[1] |= 0x40 }), rejectInvalid},
		"gap in CmdSN":          {malformed(func(q *pdu) { q.put32(24, 3) }), 0},
		"data segment too long": {malformed(func(q *pdu) { q.data = make([]byte, ownMaxSegment+4) }), rejectInvalid},
	} {
		client := env.initiator(t)
		_, _ = client.conn.Write(client.sendFraming.append(nil, x.pdu))
		q, err := client.receiveFraming.read(client.reader)
		if x.reject == 0 && err == nil || x.reject != 0 && (err != nil || q.op() != opReject || q.bhs[2] != x.reject) {
			t.Errorf("%s: received %v, error %v", name, q, err)
		}
	}
	// A Data-Out longer than the R2T requested.
	client := env.initiator(t)
	client.startWrite(0, pattern(4096))
	r2t := client.read()
	d := newPDU(opDataOut, r2t.tag())
	d.put32(20, r2t.u32(20))
	d.data = make([]byte, 8192)
	client.send(d)
	if q := client.read(); q.op() != opReject {
		t.Errorf("received %v, want a Reject", q)
	}
	if _, err := client.receiveFraming.read(client.reader); err == nil {
		t.Error("the session stays open after a Data-Out that is too long")
	}
	// A command whose CmdSN is outside the command window is ignored. The next one, inside the window, is served.
	client = env.initiator(t)
	client.cmdSN += 100
	cdb := block{lba: 0, blocks: 1}.cdb()
	client.startCommand(cdb[:], 0, 0x40, 512)
	client.cmdSN -= 101
	if e := client.readBlocks(0, 1); e.status != statusGood {
		t.Errorf("read inside the command window ended as %+v", e)
	}
	if received, _ := env.counts(); received != 1 {
		t.Errorf("%d commands reached the storage target", received)
	}
}

// A write whose data does not arrive ends at its deadline and never reaches the storage target.
func TestWriteDataTimeout(t *testing.T) {
	env := newTestEnv(t, 100, false)
	client := env.initiator(t)
	itt := client.startWrite(0, pattern(512))
	if q := client.read(); q.op() != opR2T {
		t.Fatalf("received %v, want an R2T", q)
	}
	if e := client.awaitResponse(itt, nil); e.status != statusCheckCondition || e.senseKey != senseAborted {
		t.Errorf("write ended as %+v", e)
	}
	if received, _ := env.counts(); received != 0 {
		t.Errorf("%d commands received", received)
	}
	env.waitUntilBuffersAreFree(t)
}

// A command is rejected before its buffer is allocated if the buffer budget is used up.
func TestBufferBudgetRejectsCommands(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	env.target.buffers.reserved.Store(maxBufferedBytes)
	if e := client.write(0, pattern(512)); e.status != statusBusy {
		t.Errorf("write with the buffer budget used up ended as %+v", e)
	}
	env.target.buffers.reserved.Store(0)
	if e := client.write(0, pattern(512)); e.status != statusGood {
		t.Errorf("write with a free buffer budget ended as %+v", e)
	}
}

// A plan's rate limit applies to commands as to other requests. A command of a volume whose token bucket is
// empty is rejected and never sent, while one of another volume is served.
func TestPlanRateLimitAppliesToCommands(t *testing.T) {
	env := newTestEnv(t, 1000, false)
	client := env.initiator(t)
	cdb := block{lba: 0, blocks: 1}.cdb()
	if e := client.awaitResponse(client.startCommand(cdb[:], 4, 0x40, 512), nil); e.status != statusBusy {
		t.Errorf("command beyond the rate limit of its volume ended as %+v", e)
	}
	if e := client.readBlocks(0, 1); e.status != statusGood {
		t.Errorf("command of another volume ended as %+v", e)
	}
	if received, _ := env.counts(); received != 1 {
		t.Errorf("%d commands received, want 1", received)
	}
}

// A digest error ends the session, because error recovery level 0 cannot recover from it.
func TestDigestErrorEndsSession(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	for _, at := range []int{5, bhsLen + 4 + 1} { // in the header, in the data
		client := env.initiator(t, pair{"HeaderDigest", "CRC32C"}, pair{"DataDigest", "CRC32C"})
		q := newPDU(opNopOut, 7)
		q.bhs[0] |= flagImmediate
		q.bhs[1] = flagFinal
		q.data = []byte("ping")
		wire := client.sendFraming.append(nil, q)
		wire[at] ^= 0x10
		if at < bhsLen {
			wire = append(wire, make([]byte, 1<<13)...) // the changed byte belongs to the length of the data, which is now longer
		}
		_, _ = client.conn.Write(wire)
		if r := client.read(); r.op() != opReject {
			t.Errorf("received %v, want a Reject", r)
		}
		if _, err := client.receiveFraming.read(client.reader); err == nil {
			t.Error("the session stays open after a digest error")
		}
	}
}

// StopAccepting requests a logout. The accepted commands get their responses, and only then the sessions are closed.
func TestStopAccepting(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	itt, _ := env.startHeldWrite(client)
	env.target.StopAccepting()
	if q := client.read(); q.op() != opAsync || q.bhs[36] != 1 {
		t.Errorf("received %v, want an asynchronous message that requests a logout", q)
	}
	close(env.hold)
	if e := client.awaitResponse(itt, nil); e.status != statusGood {
		t.Errorf("write ended as %+v", e)
	}
	if _, err := client.receiveFraming.read(client.reader); !errors.Is(err, io.EOF) {
		t.Errorf("reading a PDU after the last response returned error %v, want EOF", err)
	}
	for deadline := time.Now().Add(time.Minute); env.target.OpenSessions() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d sessions are open", env.target.OpenSessions())
		}
	}
}

// Guards against a command that waits until its session can handle it, and is then sent after its time.
func TestCommandThatWaitsForItsSessionIsNotSentAfterItsTime(t *testing.T) {
	const objective = 150
	env := newTestEnv(t, objective, false)
	client := env.initiator(t)
	env.target.mu.Lock()
	var s *session
	for s = range env.target.sessions {
	}
	env.target.mu.Unlock()
	s.mu.Lock() // the session's goroutine waits after the next PDU
	nop := newPDU(opNopOut, 77)
	nop.bhs[0] |= flagImmediate
	nop.bhs[1] = flagFinal
	nop.put32(20, noTag)
	nop.put32(24, client.cmdSN)
	client.send(nop)
	read, write := block{lba: 0, blocks: 1}.cdb(), block{lba: 0, blocks: 1, write: true}.cdb()
	itts := []uint32{client.startCommand(read[:], 0, 0x40, 512), client.startCommand(write[:], 0, 0x20, 512)}
	time.Sleep(3 * objective * time.Millisecond) // the deadline is two objectives
	s.mu.Unlock()
	if p := client.read(); p.op() != opNopIn {
		t.Fatalf("received %v", p)
	}
	data := make([]byte, 512)
	statuses := map[uint32]byte{}
	for len(statuses) < len(itts) {
		switch p := client.read(); p.op() {
		case opR2T:
			client.answerR2T(p, data)
		case opSCSIResponse:
			statuses[p.tag()] = p.bhs[3]
		}
	}
	for _, itt := range itts {
		if status := statuses[itt]; status == statusGood {
			t.Errorf("command %d ended as GOOD after its time", itt)
		}
	}
	if received, _ := env.counts(); received != 0 {
		t.Errorf("%d commands were sent after their time", received)
	}
}

func drawPDU(rt *rapid.T) *pdu {
	p := &pdu{ahs: rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(rt, "ahs"), data: rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "data")}
	p.ahs = p.ahs[:len(p.ahs)&^3]
	copy(p.bhs[:], rapid.SliceOfN(rapid.Byte(), bhsLen, bhsLen).Draw(rt, "bhs"))
	return p
}

// A complete PDU is decoded as it was encoded, a truncated one is an error, and random bytes cause no panic.
func TestParsers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := framing{rapid.Bool().Draw(rt, "hd"), rapid.Bool().Draw(rt, "dd"), 512}
		p := drawPDU(rt)
		wire := f.append(nil, p)
		got, err := f.read(bufio.NewReader(bytes.NewReader(wire)))
		if err != nil || got.bhs != p.bhs || !bytes.Equal(got.data, p.data) || !bytes.Equal(got.ahs, p.ahs) {
			rt.Fatalf("error %v: decoded %+v, which was encoded from %+v", err, got, p)
		}
		cutAt := rapid.IntRange(0, len(wire)-1).Draw(rt, "cut")
		if _, err := f.read(bufio.NewReader(bytes.NewReader(wire[:cutAt]))); err == nil {
			rt.Fatalf("a PDU truncated to %d of %d bytes was decoded", cutAt, len(wire))
		}
		key := rapid.StringN(1, 40, 60).Draw(rt, "key")
		if k := (&pdu{ahs: idempotencyKeyAHS(key)}).idempotencyKey(); k != key {
			rt.Fatalf("key %q was decoded as %q", key, k)
		}
		randomBytes := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(rt, "noise")
		_, _ = f.read(bufio.NewReader(bytes.NewReader(randomBytes)))
		_ = (&pdu{ahs: randomBytes}).idempotencyKey()
		if pairs, err := decodeText(randomBytes); err == nil {
			q := defaultParams()
			_ = q.applyResponse(pairs)
		}
		if len(randomBytes) >= 16 {
			if b, ok := decodeBlock(randomBytes); ok && b.blocks > 0 {
				_ = b.within(100)
			}
			u := &unit{}
			u.Blocks = 1
			u.BlockSize = 512
			_, _, _ = u.answerLocally(randomBytes, nil)
		}
		_ = senseKey(randomBytes)
	})
}

// Random PDUs after a login are answered or end their session, and the target still serves other sessions.
func TestGarbageSessions(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	rapid.Check(t, func(rt *rapid.T) {
		client := env.initiator(t)
		for range rapid.IntRange(1, 5).Draw(rt, "n") {
			q := drawPDU(rt)
			if rapid.Bool().Draw(rt, "near") {
				q.put32(24, client.cmdSN)
				q.bhs[0] = byte(rapid.SampledFrom([]int{opNopOut, opTaskMgmtReq, opTextReq, opDataOut, opSNACK, opLogoutReq}).Draw(rt, "op"))
			}
			if q.op() == opSCSICommand {
				q.bhs[32] = scsiTestUnitReady // never sent to the storage target
			}
			_, _ = client.conn.Write(client.sendFraming.append(nil, q))
		}
		client.conn.Close()
	})
	if e := env.initiator(t).readBlocks(0, 1); e.status != statusGood {
		t.Errorf("read after the random sessions ended as %+v", e)
	}
}

// Each entry of a recorded access log is replayed as a READ or WRITE of its size, up to 48 KiB, and is served.
func TestReplayedLog(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	in, err := os.Open("../replay/testdata/access.log")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = in.Close() }()
	recording, err := replay.Read(in, replay.Mapping{Deadline: time.Minute, UnitBytes: 4096})
	if err != nil || len(recording.Entries) == 0 {
		t.Fatal(err)
	}
	for i, e := range recording.Entries {
		blocks, lba := max(1, (min(e.Bytes, 48<<10)+511)/512), uint64(i)*128
		var got outcome
		if e.Write {
			got = client.write(lba, pattern(blocks*512))
		} else {
			got = client.readBlocks(lba, uint32(blocks))
		}
		if got.status != statusGood {
			t.Errorf("command of line %d of the log ended as %+v", e.Line, got)
		}
	}
	if received, executed := env.counts(); received != len(recording.Entries) || executed != received {
		t.Errorf("%d commands received, %d executed, the log has %d entries", received, executed, len(recording.Entries))
	}
}
