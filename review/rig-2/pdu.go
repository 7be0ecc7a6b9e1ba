package main

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"strings"
)

// The opcodes of RFC 7143 that the stand-ins use.
const (
	opNopOut     = 0x00
	opCommand    = 0x01
	opTaskReq    = 0x02
	opLoginReq   = 0x03
	opLogoutReq  = 0x06
	opNopIn      = 0x20
	opResponse   = 0x21
	opTaskResp   = 0x22
	opLoginResp  = 0x23
	opDataIn     = 0x25
	opLogoutResp = 0x26
	opAsync      = 0x32

	noTag     = 0xffffffff
	blockSize = 512
)

// The statuses of SAM-5 that the stand-ins use.
const (
	statusGood           = 0x00
	statusCheckCondition = 0x02
	statusBusy           = 0x08
	statusTaskSetFull    = 0x28
)

var be = binary.BigEndian

// pdu is one PDU without digests.
type pdu struct {
	bhs  [48]byte
	ahs  []byte
	data []byte
}

func newPDU(op byte, tag uint32) *pdu {
	p := &pdu{}
	p.bhs[0], p.bhs[1] = op, 0x80
	p.put(16, tag)
	return p
}

func (p *pdu) op() byte             { return p.bhs[0] & 0x3f }
func (p *pdu) get(at int) uint32    { return be.Uint32(p.bhs[at:]) }
func (p *pdu) put(at int, v uint32) { be.PutUint32(p.bhs[at:], v) }

// key returns the key that an additional header segment of type 60 carries.
func (p *pdu) key() string {
	if len(p.ahs) < 4 || p.ahs[2] != 60 {
		return ""
	}
	n := int(be.Uint16(p.ahs))
	return string(p.ahs[4 : 3+n])
}

func readPDU(r *bufio.Reader) (*pdu, error) {
	p := &pdu{}
	if _, err := io.ReadFull(r, p.bhs[:]); err != nil {
		return nil, err
	}
	p.ahs = make([]byte, 4*int(p.bhs[4]))
	n := int(p.get(4) & 0xffffff)
	p.data = make([]byte, (n+3)&^3)
	if _, err := io.ReadFull(r, p.ahs); err != nil {
		return nil, err
	}
	if _, err := io.ReadFull(r, p.data); err != nil {
		return nil, err
	}
	p.data = p.data[:n]
	return p, nil
}

func writePDU(c net.Conn, p *pdu) error {
	p.bhs[4] = byte(len(p.ahs) / 4)
	p.bhs[5], p.bhs[6], p.bhs[7] = byte(len(p.data)>>16), byte(len(p.data)>>8), byte(len(p.data))
	b := append(append(append([]byte{}, p.bhs[:]...), p.ahs...), p.data...)
	for len(b)%4 != 0 {
		b = append(b, 0)
	}
	_, err := c.Write(b)
	return err
}

// text encodes the keys of a login.
func text(pairs ...string) []byte { return []byte(strings.Join(pairs, "\x00") + "\x00") }
