package iscsi

import (
	"fmt"
	"hash/fnv"
	"math"
	"time"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// task is one SCSI command in progress.
type task struct {
	initiatorTaskTag  uint32
	lun               uint16
	unit              *unit
	block             block
	receivedAt        time.Time
	deadline          time.Duration
	class             string
	length            uint32        // bytes to transfer
	expectedLength    uint32        // the initiator's expected data transfer length
	writeData         []byte        // of a write
	received          uint32        // bytes of writeData so far
	dataSN            uint32        // of the next Data-Out
	targetTransferTag uint32        // of the outstanding R2T; noTag: unsolicited data
	burstLeft         uint32        // bytes still due in this sequence
	r2tSN             uint32        // of the next R2T
	request           *core.Request // set once submitted
	reservedBytes     int64         // of the target's buffer budget
}

// transfer is the payload of a request, as the storage nodes' connections need it. It is the same for each attempt.
type transfer struct {
	lun   uint16
	block block
	size  uint32
	data  []byte
	key   string
}

// handleCommand starts a task. A command that transfers blocks becomes a request once its write data is complete;
// any other is answered here.
func (s *session) handleCommand(p *pdu) error {
	itt := p.tag()
	if itt == noTag || p.bhs[1]&0x60 == 0x60 {
		return s.sendReject(p, rejectInvalid)
	}
	if s.tasks[itt] != nil {
		return s.sendReject(p, 0x07) // task in progress
	}
	k := &task{initiatorTaskTag: itt, receivedAt: time.Now(), expectedLength: p.u32(20), targetTransferTag: noTag}
	s.tasks[itt] = k
	cdb := p.bhs[32:48]
	lun, ok := p.lun()
	k.lun = lun
	if k.unit = s.units[lun]; !ok || k.unit == nil {
		if cdb[0] != scsiReportLUNs && cdb[0] != scsiInquiry {
			s.finishTask(k, statusCheckCondition, &senseNoLUN, nil, 0)
			return nil
		}
		k.unit = &unit{config.Unit{BlockSize: 512, Blocks: 1}}
	}
	b, transfersBlocks := decodeBlock(cdb)
	if !transfersBlocks {
		s.answerLocally(k, cdb)
		return nil
	}
	k.block = b
	size := uint64(b.blocks) * uint64(k.unit.BlockSize)
	rule := k.unit.ruleFor(b.write, size)
	if bad := s.checkTransfer(k, p, rule, size); bad != nil {
		s.finishTask(k, statusCheckCondition, bad, nil, 0)
		return nil
	}
	if size == 0 {
		s.finishTask(k, statusGood, nil, nil, 0)
		return nil
	}
	k.length, k.class, k.deadline = uint32(size), rule.Class, time.Duration(rule.Deadline*float64(time.Millisecond))
	if len(s.tasks) > s.target.conf.QueueDepth || s.logoutExpected(time.Now()) || !s.target.reserveBuffer(k) {
		s.refuseTask(k, 0)
		return nil
	}
	if !b.write {
		s.submit(k)
		return nil
	}
	s.startWrite(k, p)
	return nil
}

// answerLocally answers a command that transfers no blocks.
func (s *session) answerLocally(k *task, cdb []byte) {
	data, alloc, bad := k.unit.local(cdb, s.configuredLUNs())
	if bad != nil {
		s.finishTask(k, statusCheckCondition, bad, nil, 0)
		return
	}
	if s.units[k.lun] == nil && cdb[0] == scsiInquiry && len(data) > 0 {
		data[0] = 0x7f // no unit at this LUN
	}
	data = data[:min(len(data), int(alloc))]
	s.finishTask(k, statusGood, nil, data, uint32(len(data)))
}

// checkTransfer checks a block command against its unit, the rule for its size and the negotiated data lengths.
// It returns the sense of the first fault, or nil.
func (s *session) checkTransfer(k *task, p *pdu, rule *config.Rule, size uint64) *sense {
	b := k.block
	switch {
	case !b.within(k.unit.Blocks):
		return &senseOutOfRange
	case b.write && k.unit.ReadOnly:
		return &senseProtected
	case size > uint64(k.unit.MaxTransfer) || rule == nil && size > 0:
		return &senseBadField
	case b.write && uint64(k.expectedLength) < size, b.write != (p.bhs[1]&0x20 != 0) && size > 0,
		len(p.data) > 0 && (!b.write || !s.params.immediateData || len(p.data) > int(s.params.firstBurst) || uint64(len(p.data)) > size):
		return &senseDataLength
	}
	return nil
}

// startWrite takes a write's immediate data, and submits the write if it is complete. Otherwise it waits for the
// unsolicited data that the initiator announced, or requests the rest.
func (s *session) startWrite(k *task, p *pdu) {
	k.writeData = make([]byte, k.length)
	k.received = uint32(copy(k.writeData, p.data))
	switch {
	case k.received == k.length:
		s.submit(k)
	case !p.final() && !s.params.initialR2T:
		k.burstLeft = min(s.params.firstBurst, k.length) - k.received
	default:
		s.sendR2T(k)
	}
}

// configuredLUNs are the LUNs of the session's target, in the order of the configuration.
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

// ruleFor is the first rule for a transfer of this direction and size, or nil.
func (u *unit) ruleFor(write bool, size uint64) *config.Rule {
	for i := range u.Rules {
		if r := &u.Rules[i]; r.Write == write && float64(size) <= r.MaxBytes {
			return r
		}
	}
	return nil
}

// sendR2T requests the next burst of write data.
func (s *session) sendR2T(k *task) {
	s.lastTransferTag++
	if s.lastTransferTag == noTag {
		s.lastTransferTag = 1
	}
	k.targetTransferTag, k.dataSN, k.burstLeft = s.lastTransferTag, 0, min(s.params.maxBurst, k.length-k.received)
	r := newPDU(opR2T, k.initiatorTaskTag)
	r.bhs[1] = flagF
	encodeLUN(r.bhs[8:], k.lun)
	r.put32(20, k.targetTransferTag)
	r.put32(36, k.r2tSN)
	r.put32(40, k.received)
	r.put32(44, k.burstLeft)
	k.r2tSN++
	s.queuePDU(r, false)
}

// handleDataOut adds write data to its task and submits the task once it is complete.
func (s *session) handleDataOut(p *pdu) error {
	k := s.tasks[p.tag()]
	if k == nil || k.request != nil || !k.block.write {
		return nil // the command already has its response
	}
	n := uint32(len(p.data))
	if p.u32(20) != k.targetTransferTag || p.u32(36) != k.dataSN || p.u32(40) != k.received || n > k.burstLeft {
		// Order and lengths were negotiated; error recovery level 0 cannot repair a sequence.
		_ = s.sendReject(p, rejectProtocol)
		return fmt.Errorf("%w: Data-Out out of sequence", errBroken)
	}
	copy(k.writeData[k.received:], p.data)
	k.received, k.burstLeft, k.dataSN = k.received+n, k.burstLeft-n, k.dataSN+1
	switch {
	case k.received == k.length:
		s.submit(k)
	case p.final() && (k.burstLeft == 0 || k.targetTransferTag == noTag):
		s.sendR2T(k)
	case p.final():
		s.finishTask(k, statusCheckCondition, &senseDataLength, nil, 0)
	}
	return nil
}

// submit gives the task's request to the core. Its deadline counts from the arrival of the command.
func (s *session) submit(k *task) {
	u := k.unit
	n := s.target.lastRequestNumber.Add(1)
	id := fmt.Sprintf("iscsi-%x-%x", s.target.startedAt, n)
	h := fnv.New64a()
	fmt.Fprintf(h, "%s/%d", u.Volume, k.block.lba)
	units := math.Max(1, math.Ceil(float64(k.length)/u.UnitBytes))
	if s.target.settings.MaxUnits > 0 {
		units = math.Min(units, s.target.settings.MaxUnits)
	}
	k.request = &core.Request{
		Request: policy.Request{ID: id, Class: k.class, Plan: u.Plan, Key: fmt.Sprintf("%016x", h.Sum64()), Volume: u.Volume,
			Units: units, Shard: u.Shard, Schedulers: u.Schedulers},
		ReceivedAt: k.receivedAt, Timeout: k.deadline,
		Payload: &transfer{lun: u.StorageLUN, block: k.block, size: k.length, data: k.writeData, key: id},
	}
	k.request.Answer = func(a core.Answer) {
		s.mu.Lock()
		s.answers = append(s.answers, coreAnswer{k, a})
		s.mu.Unlock()
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.target.core.Submit(k.request)
}

// abortTask withdraws a task's request and removes the task without a response.
func (s *session) abortTask(k *task) {
	if k.request != nil {
		s.target.core.Cancel(k.request)
	}
	s.removeTask(k)
}

// removeTask removes a task, unless its tag is in use by another, and releases its buffer budget.
func (s *session) removeTask(k *task) {
	if s.tasks[k.initiatorTaskTag] == k {
		delete(s.tasks, k.initiatorTaskTag)
		s.target.bufferedBytes.Add(-k.reservedBytes)
	}
}
