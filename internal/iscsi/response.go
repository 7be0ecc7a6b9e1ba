package iscsi

import (
	"time"

	"wheatsaddle/internal/core"
)

// result is a storage target's response to a command.
type result struct {
	status byte
	sense  []byte
	data   []byte
}

// coreAnswer is the core's answer to a task's request.
type coreAnswer struct {
	task *task
	core.Answer
}

// sendResponses turns the core's answers into responses. Answers to tasks aborted meanwhile are dropped.
func (s *session) sendResponses() {
	s.mu.Lock()
	answers := s.answers
	s.answers = nil
	s.mu.Unlock()
	for _, a := range answers {
		k := a.task
		if s.tasks[k.initiatorTaskTag] != k {
			continue
		}
		switch a.Kind {
		case core.Served:
			r := a.Payload.(*result)
			moved := k.length
			if !k.block.write {
				moved = uint32(len(r.data))
			}
			s.sendResponse(k, r.status, r.sense, r.data, moved, 0)
		case core.Rejected:
			s.refuseTask(k, a.RetryAfter)
		case core.Failed:
			s.finishTask(k, statusCheckCondition, failureSense(a.Cause, k.block.write), nil, 0)
		}
	}
}

// failureSense is the sense of a failed request. A read gets ABORTED COMMAND, which invites a retry. A write that
// may have run gets HARDWARE ERROR, which does not.
func failureSense(cause core.Cause, write bool) *sense {
	switch {
	case cause == core.CauseUnknownClass:
		return &senseNoLUN
	case write:
		return &senseWriteInDoubt
	case cause == core.CauseDeadlineExceeded:
		return &senseTimeout
	}
	return &senseReadLost
}

// refuseTask answers that the command was not run: TASK SET FULL while this initiator has other tasks, else BUSY
// (SAM-5, 5.3.1). The status qualifier carries the time after which to retry.
func (s *session) refuseTask(k *task, wait time.Duration) {
	status := byte(statusBusy)
	if len(s.tasks) > 1 {
		status = statusTaskSetFull
	}
	steps := min((wait+statusQualifierUnit-1)/statusQualifierUnit, maxStatusQualifier)
	s.sendResponse(k, status, nil, nil, 0, uint16(steps))
}

// finishTask sends a task's data and response, with sense if the command failed.
func (s *session) finishTask(k *task, status byte, bad *sense, data []byte, moved uint32) {
	var raw []byte
	if bad != nil {
		raw = bad.fixed()
	}
	s.sendResponse(k, status, raw, data, moved, 0)
}

// sendResponse removes a task and sends its data and its only response, with the residual count where moved differs
// from the expected length.
func (s *session) sendResponse(k *task, status byte, raw, data []byte, moved uint32, qualifier uint16) {
	s.removeTask(k)
	if len(data) > int(k.expectedLength) {
		data = data[:k.expectedLength]
	}
	dataSN := s.sendDataIn(k, data)
	r := newPDU(opSCSIResponse, k.initiatorTaskTag)
	r.bhs[1], r.bhs[3] = flagF, status
	switch {
	case moved > k.expectedLength:
		r.bhs[1] |= 0x04
		r.put32(44, moved-k.expectedLength)
	case moved < k.expectedLength:
		r.bhs[1] |= 0x02
		r.put32(44, k.expectedLength-moved)
	}
	r.put32(36, dataSN+k.r2tSN) // Data-In or R2T PDUs sent
	if s.params.protocolLevel >= 2 {
		be.PutUint16(r.bhs[8:], qualifier) // RFC 7144, 4.2
	}
	if len(raw) > 0 {
		r.data = append([]byte{byte(len(raw) >> 8), byte(len(raw))}, raw...)
	}
	s.queuePDU(r, true)
}

// sendDataIn sends read data in bursts and returns the number of Data-In PDUs.
func (s *session) sendDataIn(k *task, data []byte) (sn uint32) {
	left := s.params.maxBurst
	for at := uint32(0); at < uint32(len(data)); {
		n := min(uint32(len(data))-at, s.params.theirMost, left)
		d := newPDU(opDataIn, k.initiatorTaskTag)
		d.data = data[at : at+n]
		d.put32(20, noTag)
		d.put32(36, sn)
		d.put32(40, at)
		at, left, sn = at+n, left-n, sn+1
		if left == 0 || at == uint32(len(data)) {
			d.bhs[1], left = flagF, s.params.maxBurst
		}
		s.queuePDU(d, false)
	}
	return sn
}
