package iscsi

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wheatsaddle/internal/taskset"
)

// session serves one initiator over one connection, at error recovery level 0. Only the goroutine of run uses its
// fields, except those marked as shared, and the reader and its framing, which readPDUs uses after the login.
type session struct {
	target                      *Target
	conn                        net.Conn
	reader                      *pduReader
	receiveFraming, sendFraming framing
	params                      params
	targetName                  string
	initiatorName               string
	discovery                   bool
	statSN                      uint32
	expCmdSN                    uint32
	maxCmdSN                    uint32
	nexus                       string // initiator, ISID and target; guarded by the target's mu
	lastTransferTag             uint32
	id                          uint64
	tasks                       map[uint32]*scsiTask             // by initiator task tag
	functions                   map[taskset.FunctionID]*function // that are not answered
	writeBuffer                 []byte
	unflushed                   []*bufferShare     // of tasks that have ended, until their responses are written
	mu                          sync.Mutex         // guards answers, syncAnswers and decisions
	answers                     []coreAnswer       // shared: appended by the core, at most one for each task
	syncAnswers                 []syncAnswer       // shared: appended by any goroutine, at most one for each task
	decisions                   []functionDecision // shared: about functions
	wake                        chan struct{}      // shared: signals that answers or decisions has entries
	draining                    atomic.Bool        // shared: the target is shutting down
	finishing                   atomic.Bool        // shared: no command may be started any more
	logoutRequestedAt           time.Time          // when the initiator was asked to log out; zero: not yet
	lastPDUAt                   time.Time
	pingSent                    bool
}

var (
	errLoggedOut = errors.New("logged out")
	errProtocol  = errors.New("protocol error")
)

// newSession returns a session that has yet to log in.
func newSession(t *Target, nc net.Conn) *session {
	return &session{target: t, conn: nc, reader: newPDUReader(nc), params: defaultParams(), receiveFraming: framing{maxDataSegment: 8192},
		id: t.lastSession.Add(1), tasks: map[uint32]*scsiTask{}, functions: map[taskset.FunctionID]*function{}, wake: make(chan struct{}, 1), lastPDUAt: time.Now()}
}

// run performs the login and serves the session until logout, an error, or the end of its connection. Tasks still open
// then are stopped without a response, because the initiator can no longer receive one.
func (s *session) run() error {
	defer s.conn.Close()
	if err := s.login(); err != nil {
		return err
	}
	done := make(chan struct{})
	defer close(done)
	pdus := make(chan *pdu, 4)
	failed := make(chan error, 1)
	go s.readPDUs(pdus, failed, done)
	defer s.end()
	ticker := time.NewTicker(sessionCheckInterval)
	defer ticker.Stop()
	for {
		var err error
		select {
		case p := <-pdus:
			s.lastPDUAt, s.pingSent = time.Now(), false
			err = s.handlePDU(p)
		case err = <-failed:
			if errors.Is(err, errTooLong) || errors.Is(err, errDigest) {
				_ = s.sendReject(nil, rejectInvalid)
				_ = s.flush()
			}
		case <-s.wake:
		case now := <-ticker.C:
			err = s.checkTimeouts(now)
		}
		if err == nil {
			s.sendResponses()
			s.sendSyncResponses()
			s.rejectUnsubmitted()
			err = s.answerFunctions()
		}
		if ferr := s.flush(); err == nil {
			err = ferr
		}
		if err != nil {
			return err
		}
	}
}

// end stops the tasks of a session that has ended, and releases what it holds. An initiator that logs in again is answered once the writes
// of its old session can have no further effect.
func (s *session) end() {
	for _, task := range s.tasks {
		s.stopTask(task)
		s.removeTask(task)
	}
	s.target.effects.sessionEnded(s.id)
	for id := range s.functions {
		s.target.effects.forget(id)
	}
	s.writeBuffer = nil
	s.releaseFlushed()
}

// signal wakes the session's goroutine. It does not block.
func (s *session) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// rejectUnsubmitted rejects the tasks that wait for write data, if no command may be started any more, and ends those that wait for a
// SYNCHRONIZE CACHE.
func (s *session) rejectUnsubmitted() {
	if !s.finishing.Load() {
		return
	}
	for _, task := range s.tasks {
		switch {
		case task.awaitsData():
			s.rejectTask(task, 0)
		case task.synchronizing && task.abortedBy == nil:
			s.finishTask(task, statusCheckCondition, &senseMayRepeat, nil, 0)
		}
	}
}

// readPDUs reads PDUs until done. A read error ends the session, because error recovery level 0 has no means to
// resynchronize the stream.
func (s *session) readPDUs(pdus chan<- *pdu, failed chan<- error, done <-chan struct{}) {
	for {
		p, err := s.reader.read(s.receiveFraming)
		if err != nil {
			failed <- err
			return
		}
		p.readAt = time.Now()
		select {
		case pdus <- p:
		case <-done:
			return
		}
	}
}

// flush writes the queued PDUs.
func (s *session) flush() error {
	defer s.releaseFlushed()
	if len(s.writeBuffer) == 0 {
		return nil
	}
	_, err := writePaced(s.conn, s.writeBuffer, initiatorWriteLimits)
	if s.writeBuffer = s.writeBuffer[:0]; cap(s.writeBuffer) > maxRetainedBuffer {
		s.writeBuffer = nil
	}
	return err
}

// releaseFlushed releases the buffers of the tasks whose responses are no longer in the write buffer.
func (s *session) releaseFlushed() {
	for i, share := range s.unflushed {
		share.release()
		s.unflushed[i] = nil
	}
	s.unflushed = s.unflushed[:0]
}

// queuePDU queues a PDU with the current command window. A PDU that carries status consumes a StatSN.
func (s *session) queuePDU(p *pdu, status bool) {
	if p.op() != opDataIn { // this target's Data-In PDUs never carry status
		p.put32(24, s.statSN)
	}
	if status {
		s.statSN++
	}
	p.put32(28, s.expCmdSN)
	p.put32(32, s.advanceMaxCmdSN())
	s.writeBuffer = s.sendFraming.append(s.writeBuffer, p)
}

// advanceMaxCmdSN returns MaxCmdSN, raised to the capacity left in the task queue. It never decreases: an offered
// window remains valid although immediate commands may have taken places in the queue since.
func (s *session) advanceMaxCmdSN() uint32 {
	if last := s.expCmdSN + uint32(max(0, s.target.conf.QueueDepth-len(s.tasks))) - 1; int32(last-s.maxCmdSN) > 0 {
		s.maxCmdSN = last
	}
	return s.maxCmdSN
}

// sendReject queues a Reject with the header of a PDU that cannot be served.
func (s *session) sendReject(p *pdu, reason byte) error {
	r := newPDU(opReject, noTag)
	r.bhs[1], r.bhs[2] = flagFinal, reason
	if p != nil {
		r.data = p.bhs[:]
	}
	s.queuePDU(r, true)
	return nil
}

// checkTimeouts handles the timeouts of a task's write data, of the logout at shutdown, and of an initiator that sends nothing.
func (s *session) checkTimeouts(now time.Time) error {
	s.target.effects.expire()
	for _, task := range s.tasks {
		if task.dataTimedOut(now) {
			s.finishTask(task, statusCheckCondition, &senseTimeout, nil, 0)
		}
	}
	if s.draining.Load() {
		if s.logoutRequestedAt.IsZero() {
			s.logoutRequestedAt = now
			a := newPDU(opAsync, noTag)
			a.bhs[1], a.bhs[36] = flagFinal, 1 // the target requests logout
			be.PutUint16(a.bhs[42:], 2)        // within this many seconds
			s.queuePDU(a, true)
		} else if len(s.tasks) == 0 && len(s.functions) == 0 && s.logoutExpected(now) {
			return errLoggedOut
		}
	}
	switch silence := now.Sub(s.lastPDUAt); {
	case silence > deadAfterSilence:
		return errors.New("the initiator stopped responding")
	case silence > pingAfterSilence && !s.pingSent:
		s.pingSent = true
		s.lastTransferTag++
		n := newPDU(opNopIn, noTag)
		n.bhs[1] = flagFinal
		n.put32(20, s.lastTransferTag)
		s.queuePDU(n, false)
	}
	return nil
}

// logoutExpected reports whether the initiator was asked to log out and has had time to receive that request.
func (s *session) logoutExpected(now time.Time) bool {
	return !s.logoutRequestedAt.IsZero() && now.Sub(s.logoutRequestedAt) > 2*sessionCheckInterval
}

// acceptCmdSN checks a PDU's CmdSN against the command window. ok is false for a PDU to be ignored.
func (s *session) acceptCmdSN(p *pdu) (ok bool, err error) {
	sn := p.u32(24)
	if p.immediate() {
		return true, nil
	}
	if int32(sn-s.expCmdSN) < 0 || int32(sn-s.advanceMaxCmdSN()) > 0 {
		return false, nil // outside the window: ignored (4.2.2.1)
	}
	if sn != s.expCmdSN {
		return false, fmt.Errorf("%w: CmdSN %d, expected %d", errProtocol, sn, s.expCmdSN)
	}
	s.expCmdSN++
	return true, nil
}

// handlePDU serves one PDU of the initiator in the full feature phase.
func (s *session) handlePDU(p *pdu) error {
	switch p.op() {
	case opDataOut:
		return s.handleDataOut(p)
	case opNopOut, opSCSICommand, opTaskMgmtReq, opTextReq, opLogoutReq:
		if ok, err := s.acceptCmdSN(p); !ok || err != nil {
			return err
		}
	}
	if s.discovery && (p.op() == opSCSICommand || p.op() == opTaskMgmtReq) {
		return s.sendReject(p, rejectProtocol)
	}
	switch p.op() {
	case opNopOut:
		if p.tag() == noTag {
			return nil
		}
		r := newPDU(opNopIn, p.tag())
		r.bhs[1] = flagFinal
		r.put32(20, noTag)
		r.data = p.data[:min(len(p.data), int(s.params.peerMaxSegment))]
		s.queuePDU(r, true)
	case opSCSICommand:
		return s.handleCommand(p)
	case opTaskMgmtReq:
		s.handleTaskManagement(p)
	case opTextReq:
		return s.handleText(p)
	case opLogoutReq:
		if reason := p.bhs[1] & 0x7f; reason == 2 { // logout for recovery, which error recovery level 0 does not support
			r := newPDU(opLogoutResp, p.tag())
			r.bhs[1], r.bhs[2] = flagFinal, logoutNoRecovery
			s.queuePDU(r, true)
			return nil
		}
		s.logOut(p)
	case opLoginReq, opSNACK:
		return s.sendReject(p, rejectProtocol)
	default:
		return s.sendReject(p, rejectUnsupported)
	}
	return nil
}

// handleText answers SendTargets, and any other key with NotUnderstood.
func (s *session) handleText(p *pdu) error {
	pairs, err := decodeText(p.data)
	if err != nil || !p.final() || p.bhs[1]&0x40 != 0 {
		return s.sendReject(p, rejectProtocol)
	}
	var out []pair
	for _, kv := range pairs {
		if kv.key != "SendTargets" {
			out = append(out, pair{kv.key, "NotUnderstood"})
			continue
		}
		for _, x := range s.target.conf.Targets {
			if kv.value == "All" && s.discovery || kv.value == x.Name || kv.value == "" && x.Name == s.targetName {
				out = append(out, pair{"TargetName", x.Name},
					pair{"TargetAddress", s.conn.LocalAddr().String() + "," + portalGroupTag})
			}
		}
	}
	r := newPDU(opTextResp, p.tag())
	r.bhs[1] = flagFinal
	r.put32(20, noTag)
	if r.data = encodeText(out); len(r.data) > int(s.params.peerMaxSegment) {
		return s.sendReject(p, rejectProtocol)
	}
	s.queuePDU(r, true)
	return nil
}
