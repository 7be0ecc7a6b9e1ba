package iscsi

// Task management functions (RFC 7143, 11.5.1) and their responses.
const (
	tmAbortTask    = 1
	tmAbortTaskSet = 2
	tmClearACA     = 3
	tmClearTaskSet = 4
	tmLUNReset     = 5
	tmWarmReset    = 6
	tmColdReset    = 7
	tmReassign     = 8

	tmComplete     = 0
	tmNoTask       = 1
	tmNoLUN        = 2
	tmNoReassign   = 4
	tmNotSupported = 5
)

// handleTaskManagement executes a task management function. Tasks that it aborts get no response of their own.
func (s *session) handleTaskManagement(p *pdu) error {
	lun, ok := p.lun()
	ok = ok && s.hasUnit(lun)
	code, function := byte(tmComplete), p.bhs[1]&0x7f
	abortMatching := func(match func(*scsiTask) bool) {
		for _, task := range s.tasks {
			if match(task) {
				s.abortTask(task)
			}
		}
	}
	switch function {
	case tmAbortTask:
		if task := s.tasks[p.u32(20)]; task == nil || task.lun != lun {
			code = tmNoTask
		} else {
			s.abortTask(task)
		}
	case tmAbortTaskSet, tmClearTaskSet, tmLUNReset:
		if !ok {
			code = tmNoLUN
		} else {
			abortMatching(func(task *scsiTask) bool { return task.lun == lun })
		}
	case tmWarmReset, tmColdReset:
		abortMatching(func(*scsiTask) bool { return true })
	case tmReassign:
		code = tmNoReassign
	default:
		code = tmNotSupported
	}
	r := newPDU(opTaskMgmtResp, p.tag())
	r.bhs[1], r.bhs[2] = flagFinal, code
	s.queuePDU(r, true)
	if function == tmColdReset {
		return errLoggedOut
	}
	return nil
}
