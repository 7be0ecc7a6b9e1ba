package iscsi

import (
	"fmt"
	"hash/fnv"
	"math"
	"sync/atomic"
	"time"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/taskset"
	"wheatsaddle/policy"
)

// scsiTask is one SCSI command in progress.
type scsiTask struct {
	initiatorTaskTag  uint32
	lun               uint16
	unit              *unit
	settings          *core.Settings // with which the command was decoded
	block             block
	receivedAt        time.Time
	deadline          time.Duration
	class             string
	length            uint32        // bytes to transfer
	expectedLength    uint32        // the initiator's expected data transfer length
	writeData         []byte        // data of a write
	received          uint32        // bytes of writeData received so far
	lastDataAt        time.Time     // arrival of the command or of the last write data
	dataSN            uint32        // DataSN of the next Data-Out
	targetTransferTag uint32        // of the outstanding R2T; noTag: unsolicited data
	burstLeft         uint32        // bytes still expected in this sequence
	r2tSN             uint32        // R2TSN of the next R2T
	request           *core.Request // nil until submitted
	buffer            *bufferShare  // nil: the command transfers no blocks
	abortedBy         *function     // which has not been answered; nil: the task is not aborted
	neverRan          bool          // of an aborted task: core has answered that no attempt may have run
	synchronizing     bool          // it is a SYNCHRONIZE CACHE, and waits for storage targets
}

// transfer is the payload of a request: the command for a storage target. It is the same for each attempt.
type transfer struct {
	lun   uint16
	block block
	size  uint32
	data  []byte
	key   string
	// initiator is the name of the initiator that sent the command.
	initiator string
	// buffer is the command's share of the buffer budget, which also covers data.
	buffer *bufferShare
	effect *writeEffect // nil: a read
	// mayBeLost is set once an attempt may have put the data into a cache that was lost since. A repeat that a storage target drops does
	// not put them there again.
	mayBeLost atomic.Bool
}

// Release implements core.Releaser. Core calls it when no attempt can use the transfer any more.
func (x *transfer) Release() {
	x.data = nil
	x.buffer.release()
}

// handleCommand starts a task. A command that transfers blocks becomes a request once its write data is complete.
// Any other command is answered here.
func (s *session) handleCommand(p *pdu) error {
	itt := p.tag()
	if itt == noTag || p.bhs[1]&0x60 == 0x60 {
		return s.sendReject(p, rejectInvalid)
	}
	if s.tasks[itt] != nil {
		return s.sendReject(p, 0x07) // task in progress
	}
	task := &scsiTask{initiatorTaskTag: itt, receivedAt: p.readAt, lastDataAt: time.Now(), expectedLength: p.u32(20), targetTransferTag: noTag}
	s.tasks[itt] = task
	cdb := p.bhs[32:48]
	lun, ok := p.lun()
	task.lun = lun
	if task.unit, task.settings = s.target.unit(s.targetName, lun); !ok || task.unit == nil {
		if cdb[0] != scsiReportLUNs && cdb[0] != scsiInquiry {
			s.finishTask(task, statusCheckCondition, &senseNoLUN, nil, 0)
			return nil
		}
		task.unit = &unit{config.Unit{BlockSize: 512, Blocks: 1}}
	}
	if b, ok := decodeSync(cdb); ok {
		s.synchronizeCache(task, b)
		return nil
	}
	b, transfersBlocks := decodeBlock(cdb)
	if !transfersBlocks {
		s.answerLocally(task, cdb)
		return nil
	}
	task.block = b
	size := uint64(b.blocks) * uint64(task.unit.BlockSize)
	rule := task.unit.ruleFor(b.write, size)
	if failure := s.checkTransfer(task, p, rule, size); failure != nil {
		s.finishTask(task, statusCheckCondition, failure, nil, 0)
		return nil
	}
	if size == 0 {
		s.finishTask(task, statusGood, nil, nil, 0)
		return nil
	}
	task.length, task.class, task.deadline = uint32(size), rule.Class, time.Duration(rule.Deadline*float64(time.Millisecond))
	if len(s.tasks) > s.target.conf.QueueDepth || s.logoutExpected(time.Now()) || s.finishing.Load() || !s.target.buffers.reserve(task) {
		s.rejectTask(task, 0)
		return nil
	}
	if !b.write {
		s.submit(task)
		return nil
	}
	s.startWrite(task, p)
	return nil
}

// answerLocally answers a command that transfers no blocks.
func (s *session) answerLocally(task *scsiTask, cdb []byte) {
	data, alloc, failure := task.unit.answerLocally(cdb, s.configuredLUNs())
	if failure != nil {
		s.finishTask(task, statusCheckCondition, failure, nil, 0)
		return
	}
	if !s.hasUnit(task.lun) && cdb[0] == scsiInquiry && len(data) > 0 {
		data[0] = 0x7f // no unit at this LUN
	}
	data = data[:min(len(data), int(alloc))]
	s.finishTask(task, statusGood, nil, data, uint32(len(data)))
}

// checkTransfer checks a block command against its unit, the rule for its size and the negotiated data lengths.
// It returns the sense of the first check that fails, or nil.
func (s *session) checkTransfer(task *scsiTask, p *pdu, rule *config.Rule, size uint64) *sense {
	b := task.block
	switch {
	case !b.within(task.unit.Blocks):
		return &senseOutOfRange
	case b.write && task.unit.ReadOnly:
		return &senseProtected
	case size > uint64(task.unit.MaxTransfer) || rule == nil && size > 0, b.protection != 0: // protection information is not offered
		return &senseBadField
	case b.write && uint64(task.expectedLength) < size, b.write != (p.bhs[1]&0x20 != 0) && size > 0,
		len(p.data) > 0 && (!b.write || !s.params.immediateData || len(p.data) > int(s.params.firstBurst) || uint64(len(p.data)) > size):
		return &senseDataLength
	}
	return nil
}

// startWrite stores a write's immediate data and submits the write if it is complete. Otherwise it waits for the
// unsolicited data that the initiator announced, or requests the rest.
func (s *session) startWrite(task *scsiTask, p *pdu) {
	task.writeData = make([]byte, task.length)
	task.received = uint32(copy(task.writeData, p.data))
	switch {
	case task.received == task.length:
		s.submit(task)
	case !p.final() && !s.params.initialR2T:
		task.burstLeft = min(s.params.firstBurst, task.length) - task.received
	default:
		s.sendR2T(task)
	}
}

// hasUnit reports whether the session's target has a unit with the LUN.
func (s *session) hasUnit(lun uint16) bool {
	u, _ := s.target.unit(s.targetName, lun)
	return u != nil
}

// configuredLUNs returns the LUNs of the session's target, in the order of the configuration.
func (s *session) configuredLUNs() []uint16 {
	var out []uint16
	for _, x := range s.target.conf.Targets {
		if x.Name == s.targetName {
			for _, u := range x.Units {
				out = append(out, u.LUN)
			}
		}
	}
	return out
}

// ruleFor returns the first rule for a transfer of this direction and size, or nil.
func (u *unit) ruleFor(write bool, size uint64) *config.Rule {
	for i := range u.Rules {
		if r := &u.Rules[i]; r.Write == write && float64(size) <= r.MaxBytes {
			return r
		}
	}
	return nil
}

// sendR2T requests the next burst of write data.
func (s *session) sendR2T(task *scsiTask) {
	s.lastTransferTag++
	if s.lastTransferTag == noTag {
		s.lastTransferTag = 1
	}
	task.targetTransferTag, task.dataSN, task.burstLeft = s.lastTransferTag, 0, min(s.params.maxBurst, task.length-task.received)
	r := newPDU(opR2T, task.initiatorTaskTag)
	r.bhs[1] = flagFinal
	encodeLUN(r.bhs[8:], task.lun)
	r.put32(20, task.targetTransferTag)
	r.put32(36, task.r2tSN)
	r.put32(40, task.received)
	r.put32(44, task.burstLeft)
	task.r2tSN++
	s.queuePDU(r, false)
}

// handleDataOut adds write data to its task and submits the task once it is complete.
func (s *session) handleDataOut(p *pdu) error {
	task := s.tasks[p.tag()]
	if task == nil || task.request != nil || !task.block.write || task.abortedBy != nil {
		return nil // the command was already answered or aborted
	}
	n := uint32(len(p.data))
	if p.u32(20) != task.targetTransferTag || p.u32(36) != task.dataSN || p.u32(40) != task.received || n > task.burstLeft {
		// Order and lengths were negotiated; error recovery level 0 cannot repair a sequence.
		_ = s.sendReject(p, rejectProtocol)
		return fmt.Errorf("%w: Data-Out out of sequence", errProtocol)
	}
	copy(task.writeData[task.received:], p.data)
	task.lastDataAt = time.Now()
	task.received, task.burstLeft, task.dataSN = task.received+n, task.burstLeft-n, task.dataSN+1
	switch {
	case task.received == task.length:
		s.submit(task)
	case p.final() && (task.burstLeft == 0 || task.targetTransferTag == noTag):
		s.sendR2T(task)
	case p.final():
		s.finishTask(task, statusCheckCondition, &senseDataLength, nil, 0)
	}
	return nil
}

// awaitsData reports whether a task's write data are still arriving.
func (task *scsiTask) awaitsData() bool {
	return task.request == nil && task.abortedBy == nil && !task.synchronizing
}

// dataTimedOut reports whether the write data of a task that is not submitted yet have stopped arriving, or are too late.
func (task *scsiTask) dataTimedOut(now time.Time) bool {
	return task.awaitsData() && (now.Sub(task.receivedAt) > task.deadline || now.Sub(task.lastDataAt) > pduLimits.StallTimeout)
}

// submit submits the task's request to the core. Its deadline counts from the arrival of the command.
func (s *session) submit(task *scsiTask) {
	u := task.unit
	n := s.target.lastRequestNumber.Add(1)
	id := fmt.Sprintf("iscsi-%x-%x", s.target.startedAt, n)
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", u.Volume, task.block.lba)
	units := math.Max(1, math.Ceil(float64(task.length)/u.UnitBytes))
	if task.settings.MaxUnits > 0 {
		units = math.Min(units, task.settings.MaxUnits)
	}
	payload := &transfer{lun: u.StorageLUN, block: task.block, size: task.length, data: task.writeData, key: id, initiator: s.initiatorName,
		buffer: task.buffer.share()}
	if task.block.write {
		payload.effect = s.target.effects.begin(taskset.Command{Session: s.id, Initiator: s.initiatorName, Nexus: s.nexus, Target: s.targetName,
			LUN: task.lun, Tag: task.initiatorTaskTag})
	}
	task.request = &core.Request{
		Request: policy.Request{ID: id, Class: task.class, Plan: u.Plan, Key: fmt.Sprintf("%016x", h.Sum64()), Volume: u.Volume,
			Units: units, Shard: u.Shard, Schedulers: u.Schedulers},
		Settings:   task.settings,
		ReceivedAt: task.receivedAt, Timeout: task.deadline,
		Payload: payload,
		Ended:   payload.effect.ended,
	}
	task.writeData = nil // belongs to the transfer
	task.request.Answer = func(a core.Answer) {
		s.mu.Lock()
		s.answers = append(s.answers, coreAnswer{task, a})
		s.mu.Unlock()
		s.signal()
	}
	if conn, ok := s.conn.(interface{ PeerClosed() bool }); ok {
		task.request.ClientDisconnected = conn.PeerClosed // no attempt begins once the initiator has closed
	}
	s.target.core.Submit(task.request)
}

// removeTask removes a task, unless its tag belongs to another task. Its share of the buffer budget is released with the next
// flush, because the response may still wait in the write buffer.
func (s *session) removeTask(task *scsiTask) {
	if s.tasks[task.initiatorTaskTag] == task {
		delete(s.tasks, task.initiatorTaskTag)
		s.unflushed = append(s.unflushed, task.buffer)
	}
}
