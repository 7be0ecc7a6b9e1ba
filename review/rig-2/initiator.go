package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"
)

// initiator is a client of the iSCSI front: one session, one command at a time.
type initiator struct {
	conn      net.Conn
	reader    *bufio.Reader
	cmdSN     uint32
	expStatSN uint32
	tag       uint32
}

// login connects to the front and logs in to a target.
func login(address, target string) (*initiator, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	i := &initiator{conn: c, reader: bufio.NewReader(c), cmdSN: 1}
	p := newPDU(opLoginReq|0x40, 1)
	p.bhs[1] = 0x80 | 1<<2 | 3
	p.bhs[8] = 0x80
	p.put(24, i.cmdSN)
	p.data = text("InitiatorName=iqn.2026-12.example:app", "SessionType=Normal", "TargetName="+target, "HeaderDigest=None",
		"DataDigest=None", "InitialR2T=No", "ImmediateData=Yes", "MaxRecvDataSegmentLength=65536", "FirstBurstLength=65536")
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if err := writePDU(c, p); err != nil {
		return nil, err
	}
	r, err := readPDU(i.reader)
	if err != nil {
		return nil, err
	}
	if r.op() != opLoginResp || r.bhs[36] != 0 {
		return nil, fmt.Errorf("login: PDU %#x, status %#x%02x", r.op(), r.bhs[36], r.bhs[37])
	}
	i.expStatSN = r.get(24) + 1
	return i, nil
}

// answer is the final answer to a command.
type answer struct {
	status byte
	sense  byte // sense key; 0: none
	data   []byte
}

func (a answer) String() string {
	switch a.status {
	case statusGood:
		return "GOOD"
	case statusBusy:
		return "BUSY"
	case statusTaskSetFull:
		return "TASK SET FULL"
	case statusCheckCondition:
		return fmt.Sprintf("CHECK CONDITION, sense key %#x", a.sense)
	}
	return fmt.Sprintf("status %#x", a.status)
}

// command sends one command and waits for its answer.
func (i *initiator) command(cdb [16]byte, out []byte, in uint32, patience time.Duration) (a answer, err error) {
	i.tag++
	p := newPDU(opCommand, i.tag)
	p.bhs[1] |= 1
	if out != nil {
		p.bhs[1] |= 0x20
		p.put(20, uint32(len(out)))
	} else if in > 0 {
		p.bhs[1] |= 0x40
		p.put(20, in)
	}
	p.put(24, i.cmdSN)
	p.put(28, i.expStatSN)
	i.cmdSN++
	copy(p.bhs[32:], cdb[:])
	p.data = out
	_ = i.conn.SetDeadline(time.Now().Add(patience))
	if err := writePDU(i.conn, p); err != nil {
		return a, err
	}
	for {
		r, err := readPDU(i.reader)
		if err != nil {
			return a, err
		}
		switch r.op() {
		case opDataIn:
			a.data = append(a.data, r.data...)
		case opResponse:
			i.expStatSN = r.get(24) + 1
			a.status = r.bhs[3]
			if len(r.data) > 4 {
				a.sense = r.data[4] & 0xf
			}
			return a, nil
		case opNopIn:
			n := newPDU(opNopOut|0x40, noTag)
			n.put(20, r.get(20))
			n.put(24, i.cmdSN)
			n.put(28, i.expStatSN)
			if err := writePDU(i.conn, n); err != nil {
				return a, err
			}
		default:
			return a, errors.New("initiator: unexpected PDU " + fmt.Sprintf("%#x", r.op()))
		}
	}
}

// cdb10 encodes a command of 10 bytes; flags is its second byte.
func cdb10(code, flags byte, lba uint32, blocks uint16) (c [16]byte) {
	c[0], c[1] = code, flags
	be.PutUint32(c[2:], lba)
	be.PutUint16(c[7:], blocks)
	return c
}

// The commands of SBC that an initiator sends, and their bit "force unit access".
const (
	read10      = 0x28
	write10     = 0x2a
	syncCache10 = 0x35
	fua         = 0x08
)
