package requestid

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordSize is the number of bytes of a record.
const recordSize = 48

// recordMagic begins each record, so that the next one is found behind a record that was written only in part.
const recordMagic = 0x77736964

// recordKind tells what a record says of its id.
type recordKind uint32

// The kinds of records.
const (
	recordOwned recordKind = 1 // the process owns the id until a time
	recordFree  recordKind = 2 // it owns the id no longer, as the request has never run
)

// record is one entry of the journal.
type record struct {
	kind    recordKind
	key     Key
	until   time.Duration // on the machine's monotonic clock
	process uint64        // that wrote it
}

// encode returns the record's bytes.
func (r record) encode() []byte {
	b := make([]byte, 0, recordSize)
	b = binary.LittleEndian.AppendUint32(b, recordMagic)
	b = binary.LittleEndian.AppendUint32(b, uint32(r.kind))
	b = binary.LittleEndian.AppendUint64(b, r.key.high)
	b = binary.LittleEndian.AppendUint64(b, r.key.low)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.until))
	b = binary.LittleEndian.AppendUint64(b, r.process)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
}

// decodeRecord decodes the first recordSize bytes of b. It returns false if they are no record.
func decodeRecord(b []byte) (r record, ok bool) {
	const sumAt = recordSize - 8
	if binary.LittleEndian.Uint32(b) != recordMagic || binary.LittleEndian.Uint64(b[sumAt:]) != xxhash.Sum64(b[:sumAt]) {
		return r, false
	}
	r.kind = recordKind(binary.LittleEndian.Uint32(b[4:]))
	r.key = Key{binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:])}
	r.until = time.Duration(binary.LittleEndian.Uint64(b[24:]))
	r.process = binary.LittleEndian.Uint64(b[32:])
	return r, true
}

// decodeRecords calls f with each record in b and returns how many bytes are done with. The rest may be the beginning of a record.
// Bytes that belong to no record are skipped: a process that was killed may have written a part of one.
func decodeRecords(b []byte, f func(record)) (done int) {
	for len(b)-done >= recordSize {
		r, ok := decodeRecord(b[done:])
		if !ok {
			done++
			continue
		}
		f(r)
		done += recordSize
	}
	return done
}
