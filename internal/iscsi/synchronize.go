package iscsi

import (
	"time"

	"wheatsaddle/internal/writecache"
)

// syncAnswer is the outcome of a task's SYNCHRONIZE CACHE.
type syncAnswer struct {
	task    *scsiTask
	outcome syncOutcome
}

// decodeSync decodes a SYNCHRONIZE CACHE. ok is false for any other CDB. The IMMED bit is not decoded: the response always waits for the
// storage targets.
func decodeSync(cdb []byte) (b block, ok bool) {
	switch cdb[0] {
	case scsiSyncCache10:
		return block{lba: uint64(be.Uint32(cdb[2:])), blocks: uint32(be.Uint16(cdb[7:]))}, true
	case scsiSyncCache16:
		return block{lba: be.Uint64(cdb[2:]), blocks: be.Uint32(cdb[10:])}, true
	}
	return b, false
}

// blockRange returns the range of the block addresses.
func (b block) blockRange() writecache.Range {
	return writecache.Range{From: b.lba, To: b.lba + uint64(b.blocks)}
}

// synchronizeCache starts a task that has the storage targets write a range to their media.
func (s *session) synchronizeCache(task *scsiTask, b block) {
	u := task.unit
	switch {
	case !b.within(u.Blocks):
		s.finishTask(task, statusCheckCondition, &senseOutOfRange, nil, 0)
		return
	case u.maxDeadline() == 0: // no class for the unit's commands, so it has no writes either
		s.finishTask(task, statusGood, nil, nil, 0)
		return
	case len(s.tasks) > s.target.conf.QueueDepth || s.logoutExpected(time.Now()) || s.finishing.Load():
		s.rejectTask(task, 0)
		return
	}
	task.synchronizing = true
	end := b.blockRange().To
	if b.blocks == 0 || end == u.Blocks {
		end = writecache.EndOfUnit
	}
	s.target.storage.synchronize(&cacheSync{initiator: s.initiatorName, shard: u.Shard, lun: u.StorageLUN, lba: b.lba, blocks: b.blocks, end: end,
		deadline: task.receivedAt.Add(u.maxDeadline()), done: func(outcome syncOutcome) {
			s.mu.Lock()
			s.syncAnswers = append(s.syncAnswers, syncAnswer{task, outcome})
			s.mu.Unlock()
			s.signal()
		}})
}

// maxDeadline returns the longest deadline of the unit's commands.
func (u *unit) maxDeadline() (longest time.Duration) {
	for _, r := range u.Rules {
		longest = max(longest, time.Duration(r.Deadline*float64(time.Millisecond)))
	}
	return longest
}

// sendSyncResponses responds to the SYNCHRONIZE CACHEs that have ended. Those that were aborted meanwhile get no response here.
func (s *session) sendSyncResponses() {
	for _, a := range takeAll(&s.mu, &s.syncAnswers) {
		if s.tasks[a.task.initiatorTaskTag] != a.task || a.task.abortedBy != nil {
			continue
		}
		switch a.outcome {
		case syncConfirmed:
			s.finishTask(a.task, statusGood, nil, nil, 0)
		case syncMayHaveLost:
			s.finishTask(a.task, statusCheckCondition, &senseWriteLost, nil, 0)
		default:
			s.finishTask(a.task, statusCheckCondition, &senseMayRepeat, nil, 0)
		}
	}
}
