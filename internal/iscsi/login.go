package iscsi

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/taskset"
)

// Login stages and statuses (RFC 7143, 11.12 and 11.13).
const (
	stageSecurity    = 0
	stageOperational = 1
	stageFull        = 3

	loginBadRequest         = 0x0200
	loginAuthFailure        = 0x0201
	loginNotFound           = 0x0203
	loginUnsupportedVersion = 0x0205
	loginMissingParameter   = 0x0207
	loginNoSession          = 0x020a
	loginBusy               = 0x0301

	maxLoginRequests = 16
	maxLoginText     = 32 << 10
)

// loginError is the error of a login that ended with a status other than success.
type loginError struct{ status uint16 }

func (e loginError) Error() string {
	return fmt.Sprintf("login rejected with status 0x%04x", e.status)
}

// login negotiates with the initiator until the full feature phase.
func (s *session) login() error {
	s.reader.setDeadline(time.Now().Add(time.Duration(s.target.conf.LoginTimeout * float64(time.Millisecond))))
	var text []byte
	for round := 0; round < maxLoginRequests; round++ {
		p, err := s.reader.read(s.receiveFraming)
		if err != nil {
			return err
		}
		if p.op() != opLoginReq {
			return fmt.Errorf("%w: %v before login", errProtocol, p)
		}
		if round == 0 {
			s.expCmdSN, s.statSN = p.u32(24), p.u32(28)
			s.maxCmdSN = s.expCmdSN - 1
		}
		r := newPDU(opLoginResp, p.tag())
		copy(r.bhs[8:16], p.bhs[8:16]) // ISID and TSIH
		csg, nsg, transit := p.bhs[1]>>2&3, p.bhs[1]&3, p.final()
		r.bhs[1] = csg << 2
		text = append(text, p.data...)
		status := uint16(0)
		switch {
		case len(text) > maxLoginText || csg != stageSecurity && csg != stageOperational || transit && (nsg <= csg || nsg == 2):
			status = loginBadRequest
		case p.bhs[3] > 0: // Version-min: only version 0 is supported
			status = loginUnsupportedVersion
		case round == 0 && be.Uint16(p.bhs[14:16]) != 0:
			status = loginNoSession
		case p.bhs[1]&0x40 != 0: // C bit: more text follows
		default:
			status, r.data = s.negotiate(text, csg)
			text = nil
			if status == 0 && transit {
				r.bhs[1] |= flagFinal | nsg
			}
		}
		complete := status == 0 && r.bhs[1]&flagFinal != 0 && nsg == stageFull
		if complete && !s.discovery && !s.awaitFormerSessions(p.bhs[8:14]) {
			complete, status = false, loginBusy
		}
		if status != 0 {
			be.PutUint16(r.bhs[36:], status)
			r.bhs[1], r.data = csg<<2, nil
		}
		if complete {
			be.PutUint16(r.bhs[14:], s.target.nextTSIH())
		}
		s.queuePDU(r, true)
		if err := s.flush(); err != nil {
			return err
		}
		if status != 0 {
			return loginError{status}
		}
		if complete {
			if s.targetName == "" && !s.discovery {
				return loginError{loginMissingParameter}
			}
			s.receiveFraming = framing{s.params.headerDigest, s.params.dataDigest, ownMaxSegment}
			s.sendFraming = s.receiveFraming
			s.reader.setDeadline(time.Time{})
			return nil
		}
	}
	return fmt.Errorf("%w: too many login requests", errProtocol)
}

// awaitFormerSessions ends the session that the login reinstates (6.3.5), and waits until the writes of the initiator's sessions that have
// ended can run no more: a login tells an initiator that what it had open has no further effect. It returns false if one may still run.
func (s *session) awaitFormerSessions(isid []byte) bool {
	s.reinstate(isid)
	outcome := make(chan taskset.Outcome, 1)
	s.target.effects.await(taskset.FormerSessions(s.initiatorName, s.targetName, s.nexus), func(o taskset.Outcome) { outcome <- o })
	for {
		select {
		case o := <-outcome:
			if o == taskset.NoEffect {
				return true
			}
			s.target.Events.Record(eventlog.TaskManagement, "login", func() logrus.Fields {
				return logrus.Fields{"initiator": s.initiatorName, "response": loginBusy}
			})
			return false
		case <-time.After(sessionCheckInterval):
			s.target.effects.expire()
		}
	}
}

// reinstate ends the session of the same initiator port with the target.
func (s *session) reinstate(isid []byte) {
	t := s.target
	nexus := fmt.Sprintf("%s %x %s", s.initiatorName, isid, s.targetName)
	t.mu.Lock()
	s.nexus = nexus
	for other := range t.sessions {
		if other != s && other.nexus == nexus {
			other.conn.Close()
		}
	}
	t.mu.Unlock()
}

// nextTSIH returns the handle of a new session.
func (t *Target) nextTSIH() uint16 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastTSIH++; t.lastTSIH == 0 {
		t.lastTSIH = 1
	}
	return t.lastTSIH
}

// negotiate returns the status and the response text for the complete text of a login request.
func (s *session) negotiate(text []byte, csg byte) (uint16, []byte) {
	pairs, err := decodeText(text)
	if err != nil {
		return loginBadRequest, nil
	}
	var out []pair
	if s.targetName == "" && !s.discovery { // the first text names the initiator and the target
		name, ok := findValue(pairs, "InitiatorName")
		if !ok || name == "" {
			return loginMissingParameter, nil
		}
		s.initiatorName = name
		if kind, _ := findValue(pairs, "SessionType"); kind == "Discovery" {
			s.discovery = true
		} else {
			name, ok := findValue(pairs, "TargetName")
			if !ok {
				return loginMissingParameter, nil
			}
			if !s.target.hasUnits(name) {
				return loginNotFound, nil
			}
			s.targetName = name
			out = append(out, pair{"TargetPortalGroupTag", portalGroupTag})
		}
	}
	for _, kv := range pairs {
		reply, err := s.params.respond(kv.key, kv.value)
		if err != nil {
			return loginBadRequest, nil
		}
		if kv.key == "AuthMethod" && reply == "Reject" {
			return loginAuthFailure, nil
		}
		if reply != "" {
			out = append(out, pair{kv.key, reply})
		}
	}
	if csg == stageOperational {
		out = append(out, pair{"MaxRecvDataSegmentLength", strconv.Itoa(ownMaxSegment)})
	}
	data := encodeText(out)
	if len(data) > 8192 {
		return loginBadRequest, nil
	}
	return 0, data
}

// initiatorLogin logs in to a storage target as the initiator. It returns the negotiated parameters and the
// target's MaxCmdSN. The session's CmdSN starts at 1.
func initiatorLogin(nc net.Conn, br *bufio.Reader, target, name string, isid uint32) (p params, maxCmdSN uint32, err error) {
	p = defaultParams()
	offer := []pair{
		{"InitiatorName", name}, {"SessionType", "Normal"}, {"TargetName", target},
		{"HeaderDigest", "None"}, {"DataDigest", "None"}, {"InitialR2T", "No"}, {"ImmediateData", "Yes"},
		{"MaxRecvDataSegmentLength", strconv.Itoa(ownMaxSegment)}, {"MaxBurstLength", strconv.Itoa(ownMaxBurst)},
		{"FirstBurstLength", strconv.Itoa(ownFirstBurst)}, {"MaxConnections", "1"}, {"MaxOutstandingR2T", "1"},
		{"DefaultTime2Wait", "0"}, {"DefaultTime2Retain", "0"}, {"ErrorRecoveryLevel", "0"},
		{"DataPDUInOrder", "Yes"}, {"DataSequenceInOrder", "Yes"},
	}
	frames, data := framing{maxDataSegment: 8192}, encodeText(offer)
	for round := 0; round < maxLoginRequests; round++ {
		req := newPDU(opLoginReq, 1)
		req.bhs[0] |= flagImmediate
		req.bhs[1] = flagFinal | stageOperational<<2 | stageFull
		req.bhs[8] = 0x80 // ISID of the type "random"
		be.PutUint32(req.bhs[9:], isid)
		req.put32(24, 1)
		req.put32(28, uint32(round))
		req.data = data
		if _, err = nc.Write(frames.append(nil, req)); err != nil {
			return p, 0, err
		}
		resp, rerr := frames.read(br)
		if rerr != nil {
			return p, 0, rerr
		}
		if resp.op() != opLoginResp {
			return p, 0, fmt.Errorf("%w: %v during login", errProtocol, resp)
		}
		if status := be.Uint16(resp.bhs[36:]); status != 0 {
			return p, 0, loginError{status}
		}
		pairs, terr := decodeText(resp.data)
		if terr != nil {
			return p, 0, terr
		}
		if err := p.applyResponse(pairs); err != nil {
			return p, 0, err
		}
		if resp.final() && resp.bhs[1]&3 == stageFull {
			if p.headerDigest || p.dataDigest {
				return p, 0, errors.New("login: target chose a digest that was not offered")
			}
			return p, resp.u32(32), nil
		}
		data = nil
	}
	return p, 0, fmt.Errorf("%w: too many login requests", errProtocol)
}
