// Package iscsi is a front that speaks iSCSI over TCP (RFC 7143) on both sides: a target for
// the clients, and an initiator for each storage target. It supports only error recovery level 0
// and one connection per session. There is no authentication.
package iscsi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"
)

// Opcodes (RFC 7143, 11.2.1.2).
const (
	opNopOut      = 0x00
	opSCSICommand = 0x01
	opTaskMgmtReq = 0x02
	opLoginReq    = 0x03
	opTextReq     = 0x04
	opDataOut     = 0x05
	opLogoutReq   = 0x06
	opSNACK       = 0x10

	opNopIn        = 0x20
	opSCSIResponse = 0x21
	opTaskMgmtResp = 0x22
	opLoginResp    = 0x23
	opTextResp     = 0x24
	opDataIn       = 0x25
	opLogoutResp   = 0x26
	opR2T          = 0x31
	opAsync        = 0x32
	opReject       = 0x3f
)

// Reject reasons (11.17.1).
const (
	rejectProtocol    = 0x04
	rejectUnsupported = 0x05
	rejectInvalid     = 0x09
)

const (
	bhsLen        = 48
	flagFinal     = 0x80
	noTag         = 0xffffffff
	flagImmediate = 0x40
	// ahsIdempotencyKey is the AHS type of a write's idempotency key for storage targets that deduplicate
	// writes. It is one of the types reserved for extensions (60 to 63).
	ahsIdempotencyKey = 60
)

var be = binary.BigEndian
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// pdu is one protocol data unit: the basic header segment as on the wire, the additional
// header segments, and the data segment without its padding.
type pdu struct {
	bhs  [bhsLen]byte
	ahs  []byte
	data []byte
	// readAt is when a PDU of an initiator was read. It may have waited for its session since.
	readAt time.Time
}

var (
	errTooLong = errors.New("data segment longer than negotiated")
	errDigest  = errors.New("digest error")
)

func newPDU(op byte, tag uint32) *pdu {
	p := &pdu{}
	p.bhs[0] = op
	p.put32(16, tag)
	return p
}

func (p *pdu) op() byte               { return p.bhs[0] & 0x3f }
func (p *pdu) immediate() bool        { return p.bhs[0]&flagImmediate != 0 }
func (p *pdu) final() bool            { return p.bhs[1]&flagFinal != 0 }
func (p *pdu) tag() uint32            { return p.u32(16) }
func (p *pdu) u32(at int) uint32      { return be.Uint32(p.bhs[at:]) }
func (p *pdu) put32(at int, v uint32) { be.PutUint32(p.bhs[at:], v) }
func (p *pdu) lun() (uint16, bool)    { return decodeLUN(p.bhs[8:16]) }
func (p *pdu) String() string         { return fmt.Sprintf("PDU 0x%02x tag 0x%x", p.op(), p.tag()) }

// framing holds what a connection has negotiated for reading or writing PDUs.
type framing struct {
	headerDigest, dataDigest bool
	maxDataSegment           uint32 // longest data segment accepted by read
}

// read reads one PDU. It checks the length against its bound before it allocates a buffer.
func (f framing) read(br *bufio.Reader) (*pdu, error) {
	p := &pdu{}
	if _, err := io.ReadFull(br, p.bhs[:]); err != nil {
		return nil, err
	}
	length := be.Uint32(p.bhs[4:8]) & 0xffffff
	if length > f.maxDataSegment {
		return p, fmt.Errorf("%w: %d bytes", errTooLong, length)
	}
	sum := crc32.Checksum(p.bhs[:], castagnoli)
	if n := int(p.bhs[4]) * 4; n > 0 {
		p.ahs = make([]byte, n)
		if _, err := io.ReadFull(br, p.ahs); err != nil {
			return nil, unexpectedEOF(err)
		}
		sum = crc32.Update(sum, castagnoli, p.ahs)
	}
	if f.headerDigest {
		if err := checkDigest(br, sum); err != nil {
			return p, err
		}
	}
	if length == 0 {
		return p, nil
	}
	p.data = make([]byte, (length+3)&^3)
	if _, err := io.ReadFull(br, p.data); err != nil {
		return nil, unexpectedEOF(err)
	}
	if f.dataDigest {
		if err := checkDigest(br, crc32.Checksum(p.data, castagnoli)); err != nil {
			return p, err
		}
	}
	p.data = p.data[:length]
	return p, nil
}

// unexpectedEOF replaces io.EOF within a PDU by io.ErrUnexpectedEOF. Only between two PDUs an end of file is expected.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// checkDigest reads a digest and compares it with the computed one.
func checkDigest(br *bufio.Reader, sum uint32) error {
	var b [4]byte
	if _, err := io.ReadFull(br, b[:]); err != nil {
		return unexpectedEOF(err)
	}
	if binary.LittleEndian.Uint32(b[:]) != sum {
		return errDigest
	}
	return nil
}

// append appends the encoded PDU with its padding and digests to dst.
func (f framing) append(dst []byte, p *pdu) []byte {
	p.bhs[4] = byte(len(p.ahs) / 4)
	p.bhs[5], p.bhs[6], p.bhs[7] = byte(len(p.data)>>16), byte(len(p.data)>>8), byte(len(p.data))
	start := len(dst)
	dst = append(append(dst, p.bhs[:]...), p.ahs...)
	if f.headerDigest {
		dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
	}
	if len(p.data) == 0 {
		return dst
	}
	start = len(dst)
	dst = append(dst, p.data...)
	for len(dst[start:])%4 != 0 {
		dst = append(dst, 0)
	}
	if f.dataDigest {
		dst = binary.LittleEndian.AppendUint32(dst, crc32.Checksum(dst[start:], castagnoli))
	}
	return dst
}

// decodeLUN decodes a single-level LUN with peripheral or flat space addressing (SAM-5, 4.7).
func decodeLUN(b []byte) (uint16, bool) {
	for _, x := range b[2:8] {
		if x != 0 {
			return 0, false
		}
	}
	switch v := be.Uint16(b); v >> 14 {
	case 0:
		return v, v < 256
	case 1:
		return v & 0x3fff, true
	}
	return 0, false
}

func encodeLUN(b []byte, lun uint16) {
	if lun >= 256 {
		lun |= 0x4000
	}
	be.PutUint16(b, lun)
}

// idempotencyKeyAHS returns the additional header segment that carries an idempotency key.
func idempotencyKeyAHS(key string) []byte {
	b := make([]byte, (3+1+len(key)+3)&^3)
	be.PutUint16(b, uint16(1+len(key))) // length of what follows the type: a reserved byte and the key
	b[2] = ahsIdempotencyKey
	copy(b[4:], key)
	return b
}

// idempotencyKey returns the idempotency key in the additional header segments, or "".
func (p *pdu) idempotencyKey() string {
	for b := p.ahs; len(b) >= 4; {
		n := int(be.Uint16(b))
		if n < 1 || 3+n > len(b) {
			return ""
		}
		if b[2] == ahsIdempotencyKey {
			return string(b[4 : 3+n])
		}
		b = b[min(len(b), (3+n+3)&^3):]
	}
	return ""
}
