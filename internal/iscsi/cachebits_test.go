package iscsi

import (
	"fmt"
	"testing"
)

// Guards against GOOD for a write with FUA that the storage target has in a cache only, because the bit is not passed on.
func TestCacheBitsReachTheStorageTarget(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	for _, opcode := range []byte{scsiRead10, scsiRead12, scsiRead16, scsiWrite10, scsiWrite12, scsiWrite16} {
		for _, bits := range []byte{0, cdbForceUnitAccess, cdbDisablePageOut, cdbForceUnitAccess | cdbDisablePageOut} {
			t.Run(fmt.Sprintf("opcode 0x%x, bits 0x%x", opcode, bits), func(t *testing.T) {
				b, _ := decodeBlock([]byte{opcode, bits, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
				cdb := make([]byte, 16)
				cdb[0], cdb[1] = opcode, bits
				switch opcode {
				case scsiRead10, scsiWrite10:
					cdb[8] = 1
				case scsiRead12, scsiWrite12:
					cdb[9] = 1
				default:
					cdb[13] = 1
				}
				flags := byte(0x40)
				if b.write {
					flags = 0x20
				}
				e := client.awaitResponse(client.startCommand(cdb, 0, flags, 512), pattern(512))
				env.mu.Lock()
				got := env.lastCDB[1]
				env.mu.Unlock()
				if e.status != statusGood || got != bits {
					t.Errorf("ended with status 0x%x, and the storage target got the bits 0x%x", e.status, got)
				}
			})
		}
	}
}

// Units offer no protection information: a command that asks for its check is not performed without it.
func TestProtectionChecksAreNotOffered(t *testing.T) {
	env := newTestEnv(t, longObjective, false)
	client := env.initiator(t)
	cdb := block{blocks: 1}.cdb()
	cdb[1] = 1 << cdbProtectionShift
	if e := client.awaitResponse(client.startCommand(cdb[:], 0, 0x40, 512), nil); e.senseKey != senseIllegalRequest {
		t.Errorf("a read with RDPROTECT ended as %+v", e)
	}
	if received, _ := env.counts(); received != 0 {
		t.Errorf("%d commands reached the storage target", received)
	}
}
