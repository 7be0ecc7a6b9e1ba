package iscsi

import "fmt"

// SCSI statuses (SAM-5).
const (
	statusGood           = 0x00
	statusCheckCondition = 0x02
	statusBusy           = 0x08
	statusConflict       = 0x18
	statusTaskSetFull    = 0x28
)

// Operation codes (SPC-4, SBC-3).
const (
	scsiTestUnitReady  = 0x00
	scsiRequestSense   = 0x03
	scsiRead6          = 0x08
	scsiWrite6         = 0x0a
	scsiInquiry        = 0x12
	scsiModeSense6     = 0x1a
	scsiReadCapacity10 = 0x25
	scsiRead10         = 0x28
	scsiWrite10        = 0x2a
	scsiSyncCache10    = 0x35
	scsiModeSense10    = 0x5a
	scsiRead16         = 0x88
	scsiWrite16        = 0x8a
	scsiSyncCache16    = 0x91
	scsiServiceIn16    = 0x9e
	scsiReportLUNs     = 0xa0
	scsiRead12         = 0xa8
	scsiWrite12        = 0xaa
)

// Sense keys.
const (
	senseNotReady       = 0x2
	senseHardware       = 0x4
	senseIllegalRequest = 0x5
	senseUnitAttention  = 0x6
	senseDataProtect    = 0x7
	senseAborted        = 0xb
)

// sense is a sense key with its additional sense code and qualifier.
type sense struct {
	key  byte
	code uint16
}

// The sense data that this target reports.
var (
	senseBadOpcode    = sense{senseIllegalRequest, 0x2000}
	senseOutOfRange   = sense{senseIllegalRequest, 0x2100}
	senseBadField     = sense{senseIllegalRequest, 0x2400}
	senseNoLUN        = sense{senseIllegalRequest, 0x2500}
	senseProtected    = sense{senseDataProtect, 0x2700}
	senseDataLength   = sense{senseAborted, 0x4b00} // data phase error
	senseTimeout      = sense{senseAborted, 0x2e02} // command timeout during processing
	senseMayRepeat    = sense{senseAborted, 0x0800} // logical unit communication failure
	senseWriteInDoubt = sense{senseHardware, 0x0800}
	senseWriteLost    = sense{senseHardware, 0x0c00}       // write error
	senseNoSavedPages = sense{senseIllegalRequest, 0x3900} // saving parameters not supported
)

// encodeFixed encodes sense data in the fixed format.
func (s sense) encodeFixed() []byte {
	b := make([]byte, 18)
	b[0], b[2], b[7] = 0x70, s.key, 10
	be.PutUint16(b[12:], s.code)
	return b
}

// senseKey returns the sense key of sense data in fixed or descriptor format, or 0 if there is none.
func senseKey(b []byte) byte {
	switch {
	case len(b) > 2 && b[0]&0x7e == 0x70:
		return b[2] & 0xf
	case len(b) > 1 && b[0]&0x7e == 0x72:
		return b[1] & 0xf
	}
	return 0
}

// Bits in byte 1 of READ and WRITE (10, 12, 16).
const (
	cdbForceUnitAccess = 0x08
	cdbDisablePageOut  = 0x10
	cdbCacheBits       = cdbForceUnitAccess | cdbDisablePageOut
	cdbProtectionShift = 5 // RDPROTECT or WRPROTECT
)

// block is a decoded READ or WRITE.
type block struct {
	write      bool
	lba        uint64
	blocks     uint32
	cacheBits  byte // FUA and DPO, as in byte 1 of the command
	protection byte // RDPROTECT or WRPROTECT
}

// decodeBlock decodes a CDB that transfers blocks. ok is false for any other CDB.
func decodeBlock(cdb []byte) (b block, ok bool) {
	switch cdb[0] {
	case scsiRead6, scsiWrite6:
		b.lba = uint64(be.Uint32(cdb) & 0x1fffff)
		if b.blocks = uint32(cdb[4]); b.blocks == 0 {
			b.blocks = 256
		}
	case scsiRead10, scsiWrite10:
		b.lba, b.blocks = uint64(be.Uint32(cdb[2:])), uint32(be.Uint16(cdb[7:]))
	case scsiRead12, scsiWrite12:
		b.lba, b.blocks = uint64(be.Uint32(cdb[2:])), be.Uint32(cdb[6:])
	case scsiRead16, scsiWrite16:
		b.lba, b.blocks = be.Uint64(cdb[2:]), be.Uint32(cdb[10:])
	default:
		return b, false
	}
	switch cdb[0] {
	case scsiWrite6, scsiWrite10, scsiWrite12, scsiWrite16:
		b.write = true
	}
	if cdb[0] != scsiRead6 && cdb[0] != scsiWrite6 {
		b.cacheBits, b.protection = cdb[1]&cdbCacheBits, cdb[1]>>cdbProtectionShift
	}
	return b, true
}

// forcesUnitAccess reports whether a write is acknowledged only once its data are on the medium.
func (b block) forcesUnitAccess() bool { return b.cacheBits&cdbForceUnitAccess != 0 }

// cdb encodes a READ(16) or WRITE(16) command.
func (b block) cdb() (c [16]byte) {
	c[0], c[1] = scsiRead16, b.cacheBits
	if b.write {
		c[0] = scsiWrite16
	}
	be.PutUint64(c[2:], b.lba)
	be.PutUint32(c[10:], b.blocks)
	return c
}

// within reports whether the blocks lie inside a unit of capacity blocks.
func (b block) within(capacity uint64) bool {
	return b.lba <= capacity && uint64(b.blocks) <= capacity-b.lba
}

// answerLocally answers the commands that need no storage target, such as those for a unit's identity and capacity. alloc is the
// command's allocation length.
func (u *unit) answerLocally(cdb []byte, luns []uint16) (data []byte, alloc uint32, failure *sense) {
	switch cdb[0] {
	case scsiTestUnitReady:
		return nil, 0, nil
	case scsiRequestSense:
		return sense{}.encodeFixed(), uint32(cdb[4]), nil
	case scsiInquiry:
		data, ok := u.inquiry(cdb)
		if !ok {
			return nil, 0, &senseBadField
		}
		return data, uint32(be.Uint16(cdb[3:])), nil
	case scsiReadCapacity10:
		b := make([]byte, 8)
		be.PutUint32(b, uint32(min(u.Blocks-1, 0xffffffff)))
		be.PutUint32(b[4:], uint32(u.BlockSize))
		return b, 8, nil
	case scsiServiceIn16:
		if cdb[1]&0x1f != 0x10 { // READ CAPACITY(16)
			return nil, 0, &senseBadField
		}
		b := make([]byte, 32)
		be.PutUint64(b, u.Blocks-1)
		be.PutUint32(b[8:], uint32(u.BlockSize))
		return b, be.Uint32(cdb[10:]), nil
	case scsiReportLUNs:
		b := make([]byte, 8+8*len(luns))
		be.PutUint32(b, uint32(8*len(luns)))
		for i, l := range luns {
			encodeLUN(b[8+8*i:], l)
		}
		return b, be.Uint32(cdb[6:]), nil
	case scsiModeSense6:
		b, failure := u.modeSense6(cdb)
		return b, uint32(cdb[4]), failure
	case scsiModeSense10:
		b, failure := u.modeSense10(cdb)
		return b, uint32(be.Uint16(cdb[7:])), failure
	}
	return nil, 0, &senseBadOpcode
}

func (u *unit) inquiry(cdb []byte) ([]byte, bool) {
	if cdb[1]&1 == 0 {
		if cdb[2] != 0 {
			return nil, false
		}
		b := make([]byte, 36)
		b[2], b[3], b[4], b[7] = 6, 2, 31, 2 // SPC-4, response format 2, command queuing
		copy(b[8:], fmt.Sprintf("%-8.8s%-16s%-4s", u.Vendor, "WHEATSADDLE", "1"))
		return b, true
	}
	page := func(code byte, body []byte) []byte {
		b := append([]byte{0, code, 0, 0}, body...)
		be.PutUint16(b[2:], uint16(len(body)))
		return b
	}
	switch cdb[2] {
	case 0x00:
		return page(0, []byte{0x00, 0x80, 0x83, 0xb0}), true
	case 0x80:
		return page(0x80, []byte(u.Volume)), true
	case 0x83: // device identification with a T10 vendor ID designator
		id := append(fmt.Appendf(nil, "%-8.8s", u.Vendor), u.Volume...)
		return page(0x83, append([]byte{2, 1, 0, byte(len(id))}, id...)), true
	case 0xb0: // block limits
		b := make([]byte, 60)
		be.PutUint32(b[4:], u.MaxTransfer/u.BlockSize)
		return page(0xb0, b), true
	}
	return nil, false
}
