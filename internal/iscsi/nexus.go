package iscsi

import (
	"bufio"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/progress"
	"wheatsaddle/policy"
)

// abortTagBit tells the tag of an ABORT TASK from that of its command, and is set in the tags of all requests that are no commands.
const abortTagBit = 1 << 31

// simpleTaskAttribute is the ATTR field of a SCSI command.
const simpleTaskAttribute = 0x01

// nexus is one session with the storage target through one of its portals. It has one connection
// and many commands. A command that was written on it is finished by its response on the same
// nexus or by the end of the nexus.
type nexus struct {
	peer                      *storagePeer
	conn                      *loggedInConn // nil: the session has ended
	commands                  map[uint32]*command
	flushes                   map[uint32]*flush
	abandoned                 int
	aborted                   abortedCommands
	cmdSN, expStatSN, lastITT uint32
	maxCmdSN                  uint32
	lastPDUAt                 time.Time
	pingSent                  bool
	logoutSentAt              time.Time
	connID                    address.Conn // in the portal selection; 0: not part of it
	requestID                 address.Req  // in the portal selection, while commands are in flight; 0: none
	answered                  bool         // a command was answered during the request
}

// newNexus returns a nexus on a connection that has logged in and starts to read from it.
func newNexus(p *storagePeer, l *loggedInConn) *nexus {
	p.dialer.Memory.Acquire(memory.BlockSession, sessionBytes) // bounded by the portals of the mapping
	x := &nexus{peer: p, conn: l, commands: map[uint32]*command{}, flushes: map[uint32]*flush{}, cmdSN: 1, maxCmdSN: l.maxCmdSN, lastPDUAt: time.Now()}
	go func() {
		in := framing{maxDataSegment: ownMaxSegment}
		for {
			q, err := x.readPDU(in, l.reader)
			if err != nil {
				p.enqueue(message{err: err, from: x})
				return
			}
			p.enqueue(message{pdu: q, from: x})
		}
	}()
	return x
}

// readPDU reads one PDU. If its rest does not come soon after its header, the actor is notified.
func (x *nexus) readPDU(in framing, reader *bufio.Reader) (*pdu, error) {
	header, err := reader.Peek(bhsLen)
	if err != nil {
		return nil, err
	}
	begun := &pdu{}
	copy(begun.bhs[:], header)
	notice := time.AfterFunc(progress.NoticeAfter, func() { x.peer.enqueue(message{arriving: begun, from: x}) })
	defer notice.Stop()
	return in.read(reader)
}

// noticeArriving tells core that the data of a command arrive slowly.
func (x *nexus) noticeArriving(header *pdu) {
	c := x.commands[header.tag()]
	if c != nil && c.attempt != nil && (header.op() == opDataIn || header.op() == opSCSIResponse) {
		c.attempt.SetTransferring(true)
		go c.attempt.ResponseArriving() // may wait for the core's mailbox
	}
}

// watchTaking tells core that the target takes the data of a command slowly, unless it has requested all of them soon.
func (c *command) watchTaking(requested uint32) {
	attempt := c.attempt
	if requested >= c.transfer.size {
		if c.notice != nil {
			c.notice.Stop()
		}
		return
	}
	attempt.SetTransferring(true)
	if c.notice == nil {
		c.notice = time.AfterFunc(progress.NoticeAfter, attempt.RequestTransferring)
	}
}

// writeFor writes b for a command. If the target takes it slowly, core is told.
func (x *nexus) writeFor(c *command, b []byte) (n int, ok bool) {
	if attempt := c.attempt; attempt != nil {
		notice := time.AfterFunc(progress.NoticeAfter, attempt.RequestTransferring)
		defer notice.Stop()
	}
	return x.write(b)
}

// windowOpen reports whether the command window allows one more command.
func (x *nexus) windowOpen() bool { return x.conn != nil && int32(x.maxCmdSN-x.cmdSN) >= 0 }

// hasLiveCommands reports whether commands are in flight that were not abandoned.
func (x *nexus) hasLiveCommands() bool { return len(x.commands) > x.abandoned || len(x.flushes) > 0 }

// releaseIfIdle ends the portal selection's request if no command is in flight except abandoned
// ones, and then also the session if another has replaced it.
func (x *nexus) releaseIfIdle() {
	if x.conn == nil || x.hasLiveCommands() {
		return
	}
	if x.requestID != 0 {
		x.peer.portals.finishRequest(x)
	}
	if x.peer.retiring[x] {
		x.logOut()
	}
}

// logOut sends a logout and ends the session.
func (x *nexus) logOut() {
	if x.conn != nil {
		x.sendLogout()
		x.disconnect()
	}
}

// disconnect closes the connection. Each command that was written may have run, so its attempt ends with
// ConnectionReset.
func (x *nexus) disconnect() {
	if x.conn == nil {
		return
	}
	x.conn.netConn.Close()
	x.conn = nil
	x.peer.dialer.Memory.Release(memory.BlockSession, sessionBytes)
	if x.peer.current == x {
		x.peer.current = nil
		x.peer.redialAt = time.Now().Add(redialDelay)
	}
	delete(x.peer.retiring, x)
	for tag, c := range x.commands {
		delete(x.commands, tag)
		c.transfer.effect.attemptLost()
		x.noteCacheLoss(c.transfer)
		x.peer.reportResult(c, core.Result{Status: policy.ConnectionReset})
	}
	x.abandoned = 0
	x.aborted.connectionEnded()
	if x.connID != 0 {
		x.peer.portals.recordSessionEnd(x)
	}
	if !x.peer.hasSession() {
		x.peer.dialer.recordNoSession(x.peer.name)
	}
	for tag := range x.flushes {
		x.endFlush(tag, flushUnconfirmed)
	}
}

// abortCommand sends ABORT TASK for a command that was abandoned. The session ends if the target leaves
// more than maxAbandonedCommands unfinished.
func (x *nexus) abortCommand(c *command) {
	if x.abandoned++; x.abandoned > maxAbandonedCommands {
		x.disconnect()
		return
	}
	q := newPDU(opTaskMgmtReq, c.itt|abortTagBit)
	q.bhs[0] |= flagImmediate
	q.bhs[1] = flagFinal | tmAbortTask
	encodeLUN(q.bhs[8:], c.transfer.lun)
	q.put32(20, c.itt)
	x.setNumbers(q)
	q.put32(32, c.cmdSN)
	if _, ok := x.write(framing{}.append(nil, q)); !ok {
		x.disconnect()
	}
}

// write writes b to the connection. After an error, n is the number of bytes written, and the caller must
// end the connection.
func (x *nexus) write(b []byte) (n int, ok bool) {
	n, err := writePaced(x.conn.netConn, b, peerWriteLimits)
	return n, err == nil
}

// setNumbers sets the CmdSN and ExpStatSN of a PDU.
func (x *nexus) setNumbers(q *pdu) {
	q.put32(24, x.cmdSN)
	q.put32(28, x.expStatSN)
}

// nextTag returns the tag of the next command.
func (x *nexus) nextTag() uint32 {
	x.lastITT++
	if x.lastITT == noTag {
		x.lastITT = 1
	}
	return x.lastITT
}

// startCommand writes a command with its immediate and unsolicited data.
func (x *nexus) startCommand(c *command) {
	c.nexus = x
	c.itt = x.nextTag()
	q := newPDU(opSCSICommand, c.itt)
	q.bhs[1] = simpleTaskAttribute
	encodeLUN(q.bhs[8:], c.transfer.lun)
	q.put32(20, c.transfer.size)
	x.setNumbers(q)
	c.cmdSN = x.cmdSN
	x.cmdSN++
	cdb := c.transfer.block.cdb()
	copy(q.bhs[32:], cdb[:])
	var dataOut []byte
	negotiated := &x.conn.params
	if c.transfer.block.write {
		q.bhs[1] |= 0x20
		first, at := min(c.transfer.size, negotiated.firstBurst), uint32(0)
		if negotiated.immediateData {
			at = min(first, negotiated.peerMaxSegment)
			q.data = c.transfer.data[:at]
		}
		if !negotiated.initialR2T && at < first {
			dataOut = x.appendDataOut(nil, c, noTag, at, first-at)
		} else {
			q.bhs[1] |= flagFinal
		}
		if x.peer.dialer.DeduplicatesWrites {
			q.ahs = idempotencyKeyAHS(c.transfer.key)
		}
	} else {
		q.bhs[1] |= 0x40 | flagFinal
		c.readData = make([]byte, 0, c.transfer.size)
	}
	b := framing{}.append(nil, q)
	commandLength := len(b)
	n, ok := x.writeFor(c, append(b, dataOut...))
	if c.written = n >= commandLength; !c.written {
		c.transfer.effect.attemptFinished()
		x.peer.reportResult(c, core.Result{Status: policy.ConnectFailed})
	} else {
		x.commands[c.itt] = c
		if x.peer.dialer.DeduplicatesWrites && c.transfer.block.write {
			x.recordWrite(c.transfer) // it may be in this cache only, if another storage target drops the repeat
		}
	}
	if !ok {
		x.disconnect()
	}
}

// appendDataOut appends a sequence of encoded Data-Out PDUs to dst.
func (x *nexus) appendDataOut(dst []byte, c *command, ttt, at, n uint32) []byte {
	for sn, end := uint32(0), at+n; at < end; sn++ {
		part := min(end-at, x.conn.params.peerMaxSegment)
		d := newPDU(opDataOut, c.itt)
		encodeLUN(d.bhs[8:], c.transfer.lun)
		d.data = c.transfer.data[at : at+part]
		d.put32(20, ttt)
		d.put32(28, x.expStatSN)
		d.put32(36, sn)
		d.put32(40, at)
		if at += part; at == end {
			d.bhs[1] = flagFinal
		}
		dst = framing{}.append(dst, d)
	}
	return dst
}

func (x *nexus) sendLogout() {
	q := newPDU(opLogoutReq, abortTagBit)
	q.bhs[0] |= flagImmediate
	q.bhs[1] = flagFinal // reason 0: close the session
	x.setNumbers(q)
	x.write(framing{}.append(nil, q))
}

func (x *nexus) checkTimeouts(now time.Time) {
	if x.conn == nil {
		return
	}
	if x.peer.logoutRequested && len(x.commands) == 0 && len(x.flushes) == 0 {
		if x.logoutSentAt.IsZero() {
			x.logoutSentAt = now
			x.sendLogout()
		} else if now.Sub(x.logoutSentAt) > logoutTimeout {
			x.disconnect()
		}
		return
	}
	switch silence := now.Sub(x.lastPDUAt); {
	case silence > peerDeadAfterSilence:
		x.peer.dialer.Log.WithFields(operr.Fields(&ConnectionDroppedError{x.peer.name, errTargetSilent})).Warn("storage target: connection dropped")
		x.disconnect()
	case silence > peerPingAfterSilence && !x.pingSent:
		x.pingSent = true
		n := newPDU(opNopOut, abortTagBit)
		n.bhs[0] |= flagImmediate
		n.bhs[1] = flagFinal
		n.put32(20, noTag)
		x.setNumbers(n)
		if _, ok := x.write(framing{}.append(nil, n)); !ok {
			x.disconnect()
		}
	}
}
