package iscsi

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"
)

// Login stages and status (RFC 7143, 11.12 and 11.13).
const (
	stageSecurity    = 0
	stageOperational = 1
	stageFull        = 3

	loginBadRequest = 0x0200
	loginAuth       = 0x0201
	loginNotFound   = 0x0203
	loginVersion    = 0x0205
	loginMissing    = 0x0207
	loginNoSession  = 0x020a
	loginBusy       = 0x0301

	loginRounds   = 16
	loginTextMost = 32 << 10
)

// refusedLogin is a login that ended with a status.
type refusedLogin struct{ status uint16 }

func (e refusedLogin) Error() string {
	return fmt.Sprintf("login refused with status 0x%04x", e.status)
}

// login leads a new connection to the full feature phase.
func (s *session) login() error {
	if err := s.conn.SetReadDeadline(time.Now().Add(time.Duration(s.target.conf.LoginTimeout * float64(time.Millisecond)))); err != nil {
		return err
	}
	var text []byte
	for round := 0; round < loginRounds; round++ {
		p, err := s.receiveFraming.read(s.reader)
		if err != nil {
			return err
		}
		if p.op() != opLoginReq {
			return fmt.Errorf("%w: %v before login", errBroken, p)
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
		case len(text) > loginTextMost || csg != stageSecurity && csg != stageOperational || transit && (nsg <= csg || nsg == 2):
			status = loginBadRequest
		case p.bhs[3] > 0: // the least version asked for
			status = loginVersion
		case round == 0 && be.Uint16(p.bhs[14:16]) != 0:
			status = loginNoSession
		case p.bhs[1]&0x40 != 0: // more text follows
		default:
			status, r.data = s.negotiate(text, csg)
			text = nil
			if status == 0 && transit {
				r.bhs[1] |= flagF | nsg
			}
		}
		last := status == 0 && r.bhs[1]&flagF != 0 && nsg == stageFull
		if status != 0 {
			be.PutUint16(r.bhs[36:], status)
			r.bhs[1], r.data = csg<<2, nil
		}
		if last {
			s.target.mu.Lock()
			if s.target.lastTSIH++; s.target.lastTSIH == 0 {
				s.target.lastTSIH = 1
			}
			be.PutUint16(r.bhs[14:], s.target.lastTSIH)
			s.nexus = fmt.Sprintf("%s %x %s", s.initiatorName, p.bhs[8:14], s.targetName)
			for o := range s.target.sessions {
				// Session reinstatement (6.3.5): the same initiator port is back, so the old
				// session ends and what it had at work is called off.
				if o != s && !s.discovery && o.nexus == s.nexus {
					o.conn.Close()
				}
			}
			s.target.mu.Unlock()
		}
		s.queuePDU(r, true)
		if err := s.flush(); err != nil {
			return err
		}
		if status != 0 {
			return refusedLogin{status}
		}
		if last {
			if s.units == nil && !s.discovery {
				return refusedLogin{loginMissing}
			}
			s.receiveFraming = framing{s.params.headerDigest, s.params.dataDigest, ourSegment}
			s.sendFraming = s.receiveFraming
			return s.conn.SetReadDeadline(time.Time{})
		}
	}
	return fmt.Errorf("%w: login goes on for too long", errBroken)
}

// negotiate answers the text of one login request.
func (s *session) negotiate(text []byte, csg byte) (uint16, []byte) {
	pairs, err := decodeText(text)
	if err != nil {
		return loginBadRequest, nil
	}
	var out []pair
	if s.units == nil && !s.discovery { // the first text names both sides
		name, ok := find(pairs, "InitiatorName")
		if !ok || name == "" {
			return loginMissing, nil
		}
		s.initiatorName = name
		if kind, _ := find(pairs, "SessionType"); kind == "Discovery" {
			s.discovery = true
		} else {
			name, ok := find(pairs, "TargetName")
			if !ok {
				return loginMissing, nil
			}
			if s.units = s.target.units[name]; s.units == nil {
				return loginNotFound, nil
			}
			s.targetName = name
			out = append(out, pair{"TargetPortalGroupTag", portalGroupTag})
		}
	}
	for _, kv := range pairs {
		reply, err := s.params.answer(kv.key, kv.value)
		if err != nil {
			return loginBadRequest, nil
		}
		if kv.key == "AuthMethod" && reply == "Reject" {
			return loginAuth, nil
		}
		if reply != "" {
			out = append(out, pair{kv.key, reply})
		}
	}
	if csg == stageOperational {
		out = append(out, pair{"MaxRecvDataSegmentLength", strconv.Itoa(ourSegment)})
	}
	data := encodeText(out)
	if len(data) > 8192 {
		return loginBadRequest, nil
	}
	return 0, data
}

// dialLogin opens a session with a storage target, as the initiator. The session's numbers
// start at one.
func dialLogin(nc net.Conn, br *bufio.Reader, target, name string, isid uint32) (p params, window uint32, err error) {
	p = defaults()
	offer := []pair{
		{"InitiatorName", name}, {"SessionType", "Normal"}, {"TargetName", target},
		{"HeaderDigest", "None"}, {"DataDigest", "None"}, {"InitialR2T", "No"}, {"ImmediateData", "Yes"},
		{"MaxRecvDataSegmentLength", strconv.Itoa(ourSegment)}, {"MaxBurstLength", strconv.Itoa(ourMaxBurst)},
		{"FirstBurstLength", strconv.Itoa(ourFirstBurst)}, {"MaxConnections", "1"}, {"MaxOutstandingR2T", "1"},
		{"DefaultTime2Wait", "0"}, {"DefaultTime2Retain", "0"}, {"ErrorRecoveryLevel", "0"},
		{"DataPDUInOrder", "Yes"}, {"DataSequenceInOrder", "Yes"},
	}
	plain, data := framing{most: 8192}, encodeText(offer)
	for round := 0; round < loginRounds; round++ {
		r := newPDU(opLoginReq, 1)
		r.bhs[0] |= immediate
		r.bhs[1] = flagF | stageOperational<<2 | stageFull
		r.bhs[8] = 0x80 // ISID: a random one
		be.PutUint32(r.bhs[9:], isid)
		r.put32(24, 1)
		r.put32(28, uint32(round))
		r.data = data
		if _, err = nc.Write(plain.append(nil, r)); err != nil {
			return p, 0, err
		}
		a, rerr := plain.read(br)
		if rerr != nil {
			return p, 0, rerr
		}
		if a.op() != opLoginResp {
			return p, 0, fmt.Errorf("%w: %v in login", errBroken, a)
		}
		if status := be.Uint16(a.bhs[36:]); status != 0 {
			return p, 0, refusedLogin{status}
		}
		pairs, terr := decodeText(a.data)
		if terr != nil {
			return p, 0, terr
		}
		if err := p.adopt(pairs); err != nil {
			return p, 0, err
		}
		if a.final() && a.bhs[1]&3 == stageFull {
			if p.headerDigest || p.dataDigest {
				return p, 0, errors.New("login: a digest that was not offered")
			}
			return p, a.u32(32), nil
		}
		data = nil
	}
	return p, 0, fmt.Errorf("%w: login goes on for too long", errBroken)
}
