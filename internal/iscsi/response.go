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
	task *scsiTask
	core.Answer
}

// sendResponses turns the core's answers into responses. Answers to tasks that were aborted meanwhile are dropped.
func (s *session) sendResponses() {
	for _, a := range takeAll(&s.mu, &s.answers) {
		task := a.task
		if s.tasks[task.initiatorTaskTag] != task || task.holdsAnswer(a.Answer) {
			continue
		}
		switch a.Kind {
		case core.Served:
			r := a.Payload.(*result)
			transferred := task.length
			if !task.block.write {
				transferred = uint32(len(r.data))
			}
			s.sendResponse(task, r.status, r.sense, r.data, transferred, 0)
		case core.Rejected:
			if a.MayHaveRun { // and may be repeated
				s.finishTask(task, statusCheckCondition, &senseMayRepeat, nil, 0)
				continue
			}
			s.rejectTask(task, a.RetryAfter)
		case core.Failed:
			if a.Cause == core.CauseSettingsChanged { // it has not run, and is decoded anew when the initiator repeats it
				s.rejectTask(task, 0)
				continue
			}
			s.finishTask(task, statusCheckCondition, failureSense(a.Cause, task.block.write), nil, 0)
		}
	}
}

// failureSense returns the sense of a failed request. A read gets ABORTED COMMAND, after which initiators retry. A
// write that may have run gets HARDWARE ERROR, after which they do not. Neither says whether the command was performed.
func failureSense(cause core.Cause, write bool) *sense {
	switch {
	case cause == core.CauseUnknownClass:
		return &senseNoLUN
	case write:
		return &senseWriteInDoubt
	case cause == core.CauseDeadlineExceeded:
		return &senseTimeout
	}
	return &senseMayRepeat
}

// rejectTask responds that the command was not run, nor will be: with TASK SET FULL while this initiator has other tasks, else with
// BUSY (SAM-5, 5.3.1). The status qualifier carries the time after which to retry.
func (s *session) rejectTask(task *scsiTask, wait time.Duration) {
	status := byte(statusBusy)
	if len(s.tasks) > 1 {
		status = statusTaskSetFull
	}
	qualifier := min((wait+statusQualifierUnit-1)/statusQualifierUnit, maxStatusQualifier)
	s.sendResponse(task, status, nil, nil, 0, uint16(qualifier))
}

// finishTask sends a task's data and response, with sense if the command failed.
func (s *session) finishTask(task *scsiTask, status byte, failure *sense, data []byte, transferred uint32) {
	var rawSense []byte
	if failure != nil {
		rawSense = failure.encodeFixed()
	}
	s.sendResponse(task, status, rawSense, data, transferred, 0)
}

// sendResponse removes a task and sends its data and its only response, with the residual count if the number of
// transferred bytes differs from the expected length.
func (s *session) sendResponse(task *scsiTask, status byte, rawSense, data []byte, transferred uint32, qualifier uint16) {
	s.removeTask(task)
	if len(data) > int(task.expectedLength) {
		data = data[:task.expectedLength]
	}
	dataSN := s.sendDataIn(task, data)
	r := newPDU(opSCSIResponse, task.initiatorTaskTag)
	r.bhs[1], r.bhs[3] = flagFinal, status
	switch {
	case transferred > task.expectedLength:
		r.bhs[1] |= 0x04
		r.put32(44, transferred-task.expectedLength)
	case transferred < task.expectedLength:
		r.bhs[1] |= 0x02
		r.put32(44, task.expectedLength-transferred)
	}
	r.put32(36, dataSN+task.r2tSN) // Data-In or R2T PDUs sent
	if s.params.protocolLevel >= 2 {
		be.PutUint16(r.bhs[8:], qualifier) // RFC 7144, 4.2
	}
	if len(rawSense) > 0 {
		r.data = append([]byte{byte(len(rawSense) >> 8), byte(len(rawSense))}, rawSense...)
	}
	s.queuePDU(r, true)
}

// sendDataIn sends read data in bursts and returns the number of Data-In PDUs.
func (s *session) sendDataIn(task *scsiTask, data []byte) (sn uint32) {
	left := s.params.maxBurst
	for at := uint32(0); at < uint32(len(data)); {
		n := min(uint32(len(data))-at, s.params.peerMaxSegment, left)
		d := newPDU(opDataIn, task.initiatorTaskTag)
		d.data = data[at : at+n]
		d.put32(20, noTag)
		d.put32(36, sn)
		d.put32(40, at)
		at, left, sn = at+n, left-n, sn+1
		if left == 0 || at == uint32(len(data)) {
			d.bhs[1], left = flagFinal, s.params.maxBurst
		}
		s.queuePDU(d, false)
	}
	return sn
}
