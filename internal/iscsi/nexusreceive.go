package iscsi

import (
	"errors"
	"fmt"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// addReadData stores the data of a Data-In PDU, or only counts them if the command was abandoned.
func (c *command) addReadData(data []byte) {
	c.received, c.dataSN = c.received+uint32(len(data)), c.dataSN+1
	if c.attempt != nil {
		c.readData = append(c.readData, data...)
	}
}

// removeCommand releases the tag of a command that has ended.
func (x *nexus) removeCommand(c *command) {
	if x.commands[c.itt] == c {
		delete(x.commands, c.itt)
		if c.attempt == nil {
			x.abandoned--
		}
	}
}

// handlePDU handles a PDU of the storage target. An error ends the connection.
func (x *nexus) handlePDU(q *pdu) error {
	if m := q.u32(32); q.op() != opReject && int32(m-x.maxCmdSN) > 0 {
		x.maxCmdSN = m
	}
	switch q.op() {
	case opSCSIResponse, opTaskMgmtResp, opLogoutResp, opAsync, opReject, opTextResp:
		x.expStatSN = q.u32(24) + 1
	}
	switch q.op() {
	case opSCSIResponse, opDataIn, opR2T:
		return x.handleCommandPDU(q)
	case opTaskMgmtResp:
		x.handleAbortResponse(q)
	case opNopIn:
		return x.answerPing(q)
	case opAsync:
		if e := q.bhs[36]; e >= 1 && e <= 3 { // the target requests a logout, or drops the connection or the session
			x.peer.logoutRequested = true
			x.peer.reportState(policy.NodeDraining, 0)
		}
	case opReject:
		return x.handleReject(q)
	case opLogoutResp:
		return errLoggedOut
	default:
		return fmt.Errorf("%w: unexpected %v", errProtocol, q)
	}
	return nil
}

// handleCommandPDU handles a PDU that belongs to a command. One that belongs to an aborted command is ignored.
func (x *nexus) handleCommandPDU(q *pdu) error {
	c := x.commands[q.tag()]
	switch {
	case c == nil && (x.handleFlushPDU(q) || x.aborted.ignores(q)):
		return nil
	case c == nil:
		return fmt.Errorf("%w: %v for an unknown command", errProtocol, q)
	case q.op() == opDataIn:
		return x.handleDataIn(c, q)
	case q.op() == opR2T:
		return x.handleR2T(c, q)
	}
	return x.handleResponse(c, q)
}

// handleDataIn takes data of a read, which may carry the status of the command.
func (x *nexus) handleDataIn(c *command, q *pdu) error {
	if c.transfer.block.write || q.u32(36) != c.dataSN || q.u32(40) != c.received ||
		uint64(c.received)+uint64(len(q.data)) > uint64(c.transfer.size) {
		return fmt.Errorf("%w: Data-In out of sequence", errProtocol)
	}
	c.addReadData(q.data)
	if c.attempt != nil && c.dataSN == 1 && c.received < c.transfer.size {
		go c.attempt.ResponseArriving() // may wait for the core's mailbox
	}
	if q.bhs[1]&0x01 == 0 { // without the S bit the PDU carries no status
		return nil
	}
	x.expStatSN = q.u32(24) + 1
	return x.handleResponse(c, q)
}

// handleR2T writes the data that the storage target requests, unless the command was abandoned.
func (x *nexus) handleR2T(c *command, q *pdu) error {
	at, n := q.u32(40), q.u32(44)
	if !c.transfer.block.write || n == 0 || at > c.transfer.size || n > c.transfer.size-at {
		return fmt.Errorf("%w: R2T out of bounds", errProtocol)
	}
	if c.attempt == nil {
		return nil
	}
	c.watchTaking(at + n)
	if _, ok := x.writeFor(c, x.appendDataOut(nil, c, q.u32(20), at, n)); !ok {
		return errors.New("write of Data-Out failed or timed out")
	}
	return nil
}

// handleAbortResponse releases the tag of a command whose abort the storage target confirms. It may go on with the command nevertheless.
func (x *nexus) handleAbortResponse(q *pdu) {
	c := x.commands[q.tag()&^abortTagBit]
	if c == nil || c.attempt != nil {
		return
	}
	x.removeCommand(c)
	c.transfer.effect.attemptAborted()
	x.aborted.add(c)
}

// answerPing answers a NOP-In that requests an answer.
func (x *nexus) answerPing(q *pdu) error {
	ttt := q.u32(20)
	if ttt == noTag {
		return nil
	}
	n := newPDU(opNopOut, noTag)
	n.bhs[0] |= flagImmediate
	n.bhs[1] = flagFinal
	n.put32(20, ttt)
	x.setNumbers(n)
	if _, ok := x.write(framing{}.append(nil, n)); !ok {
		return errors.New("write of NOP-Out failed or timed out")
	}
	return nil
}

// handleReject ends the command whose PDU the storage target rejects.
func (x *nexus) handleReject(q *pdu) error {
	if len(q.data) < bhsLen {
		return fmt.Errorf("%w: Reject without the rejected header", errProtocol)
	}
	tag := be.Uint32(q.data[16:])
	c := x.commands[tag]
	if c == nil {
		x.endFlush(tag, flushRefused)
		return nil
	}
	x.peer.reportResult(c, core.Result{Status: policy.Errored})
	x.removeCommand(c)
	c.transfer.effect.attemptFinished()
	return nil
}

// handleResponse ends a command. Its status decides the result of the attempt, and whether the response
// is passed to the client.
func (x *nexus) handleResponse(c *command, q *pdu) error {
	x.removeCommand(c)
	defer c.transfer.effect.attemptFinished()
	if c.attempt == nil {
		return nil
	}
	if x.requestID != 0 {
		x.peer.portals.recordProgress(x)
	}
	status, rawSense := q.bhs[3], []byte(nil)
	if q.op() == opSCSIResponse && len(q.data) >= 2 {
		if n := int(be.Uint16(q.data)); n <= len(q.data)-2 {
			rawSense = q.data[2 : 2+n]
		}
	}
	r := core.Result{Status: policy.Errored}
	passOn := func() { r.Status, r.Payload = policy.OK, &result{status: status, sense: rawSense, data: c.readData} }
	passOnNotPerformed := func() { // another attempt would end likewise
		passOn()
		r.NotPerformed = true
	}
	switch {
	case q.op() == opSCSIResponse && q.bhs[2] != 0: // iSCSI response "target failure": the command has no status
	case status == statusGood:
		if !c.transfer.block.write && uint32(len(c.readData)) != c.transfer.size {
			break // a short read is not a complete response
		}
		if q.bhs[1]&0x06 != 0 { // residual underflow or overflow: the transfer is incomplete
			break
		}
		if c.transfer.block.write {
			x.recordWrite(c.transfer)
		}
		passOn()
	case status == statusBusy || status == statusTaskSetFull:
		r.Status = policy.NodeFull
	case status == statusConflict:
		passOnNotPerformed()
	case status == statusCheckCondition:
		switch senseKey(rawSense) {
		case senseIllegalRequest, senseDataProtect:
			passOnNotPerformed()
		case senseNotReady, senseUnitAttention:
			r.Status = policy.NodeFull // the sense was reported instead of running the command (SPC-4)
		}
	}
	x.peer.reportResult(c, r)
	return nil
}
