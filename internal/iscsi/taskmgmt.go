package iscsi

import (
	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/taskset"
)

// Task management functions (RFC 7143, 11.5.1) and their responses (11.6.1).
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
	tmRejected     = 255
)

// Responses to a logout (RFC 7143, 11.15.1).
const (
	logoutClosed        = 0
	logoutNoRecovery    = 2
	logoutCleanupFailed = 3
)

// maxFunctions is the maximum number of functions of a session that are not answered. A further one fails at once.
const maxFunctions = 64

// function is a task management function or a logout, whose response says that the commands that it covers have no further effect. It is
// answered once that is known, or with a failure.
type function struct {
	id          taskset.FunctionID
	reason      eventlog.Reason
	response    *pdu        // whose code is still to be set
	onNoEffect  byte        // the code if the commands have no further effect
	onFailure   byte        // the code if one of them may still run
	endsSession bool        // the session ends with the response
	tasks       []*scsiTask // the session's tasks that it aborts
}

// functionDecision is the outcome of a function.
type functionDecision struct {
	*function
	outcome taskset.Outcome
}

// handleTaskManagement starts a task management function.
func (s *session) handleTaskManagement(p *pdu) {
	lun, ok := p.lun()
	ok = ok && s.hasUnit(lun)
	r := newPDU(opTaskMgmtResp, p.tag())
	r.bhs[1] = flagFinal
	f := &function{response: r, onNoEffect: tmComplete, onFailure: tmRejected}
	atUnit := func(task *scsiTask) bool { return task.lun == lun }
	switch number := p.bhs[1] & 0x7f; {
	case number == tmAbortTask:
		s.abortOneTask(f, lun, p.u32(20))
	case number == tmAbortTaskSet && ok:
		f.reason = "abort-task-set"
		s.start(f, taskset.SessionUnit(s.id, lun), atUnit)
	case (number == tmClearTaskSet || number == tmLUNReset) && ok:
		f.reason = "unit-reset"
		s.start(f, taskset.Unit(s.targetName, lun), atUnit)
	case number == tmAbortTaskSet || number == tmClearTaskSet || number == tmLUNReset:
		s.respondTo(f, tmNoLUN)
	case number == tmWarmReset || number == tmColdReset:
		f.reason, f.endsSession = "target-reset", number == tmColdReset
		s.start(f, taskset.Target(s.targetName), func(*scsiTask) bool { return true })
	case number == tmReassign:
		s.respondTo(f, tmNoReassign)
	default:
		s.respondTo(f, tmNotSupported)
	}
}

// abortOneTask starts ABORT TASK. A task that has its response already may still have an effect, if that said that it may have run.
func (s *session) abortOneTask(f *function, lun uint16, tag uint32) {
	f.reason = "abort-task"
	isReferred := func(task *scsiTask) bool { return task.initiatorTaskTag == tag && task.lun == lun }
	if task := s.tasks[tag]; task == nil || !isReferred(task) {
		f.onNoEffect = tmNoTask
	}
	s.start(f, taskset.Task(s.id, lun, tag), isReferred)
}

// logOut starts the logout of the session.
func (s *session) logOut(p *pdu) {
	r := newPDU(opLogoutResp, p.tag())
	r.bhs[1] = flagFinal
	f := &function{reason: "logout", response: r, onNoEffect: logoutClosed, onFailure: logoutCleanupFailed, endsSession: true}
	s.start(f, taskset.Session(s.id), func(*scsiTask) bool { return true })
}

// start aborts the tasks that match, and has the function wait for the commands of the scope.
func (s *session) start(f *function, scope taskset.Scope, matches func(*scsiTask) bool) {
	if len(s.functions) >= maxFunctions {
		s.decide(f, taskset.MayStillRun)
		return
	}
	for _, task := range s.tasks {
		if matches(task) && task.abortedBy == nil {
			task.abortedBy = f
			f.tasks = append(f.tasks, task)
			s.stopTask(task)
		}
	}
	f.id = s.target.effects.await(scope, func(outcome taskset.Outcome) { s.decide(f, outcome) })
	s.functions[f.id] = f
}

// decide passes the outcome of a function to the session's goroutine. Any goroutine may call it.
func (s *session) decide(f *function, outcome taskset.Outcome) {
	s.mu.Lock()
	s.decisions = append(s.decisions, functionDecision{f, outcome})
	s.mu.Unlock()
	s.signal()
}

// stopTask makes no further attempt of a task. The outcome of a write that is at a storage target is awaited, as a cancel does not stop it.
func (s *session) stopTask(task *scsiTask) {
	switch {
	case task.request == nil: // its data are still arriving, or it is a SYNCHRONIZE CACHE, which does no harm
	case task.block.write:
		s.target.core.Abort(task.request)
	default:
		s.target.core.Cancel(task.request)
	}
}

// answerFunctions answers the functions that are decided. It returns errLoggedOut if the session ends.
func (s *session) answerFunctions() (err error) {
	for _, d := range takeAll(&s.mu, &s.decisions) {
		delete(s.functions, d.id)
		code := d.onNoEffect
		for _, task := range d.tasks {
			if d.outcome == taskset.NoEffect {
				s.removeTask(task) // it gets no response of its own
			} else {
				s.resumeTask(task)
			}
		}
		if d.outcome != taskset.NoEffect {
			code = d.onFailure
		}
		s.respondTo(d.function, code)
		if d.endsSession {
			err = errLoggedOut
		}
	}
	return err
}

// resumeTask gives a task its response after the function that aborted it has failed. A write that is at a storage target gets it later.
func (s *session) resumeTask(task *scsiTask) {
	if s.tasks[task.initiatorTaskTag] != task {
		return
	}
	task.abortedBy = nil
	switch {
	case task.synchronizing:
		s.finishTask(task, statusCheckCondition, &senseMayRepeat, nil, 0)
	case task.request == nil || task.neverRan:
		s.rejectTask(task, 0)
	case !task.block.write:
		s.finishTask(task, statusCheckCondition, &senseMayRepeat, nil, 0)
	}
}

// holdsAnswer reports whether the answer to an aborted task waits for the function that aborted it: the task has not run, so it gets no
// response of its own if the function succeeds.
func (task *scsiTask) holdsAnswer(a core.Answer) bool {
	if task.abortedBy == nil {
		return false
	}
	task.neverRan = a.Kind == core.Rejected && !a.MayHaveRun
	return task.neverRan || !task.block.write
}

// respondTo sends the response of a function.
func (s *session) respondTo(f *function, code byte) {
	f.response.bhs[2] = code
	s.queuePDU(f.response, true)
	if f.reason == "" {
		return
	}
	s.target.Events.Record(eventlog.TaskManagement, f.reason, func() logrus.Fields {
		return logrus.Fields{"initiator": s.initiatorName, "response": code, "tasks": len(f.tasks)}
	})
}
