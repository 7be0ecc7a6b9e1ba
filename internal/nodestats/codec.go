package nodestats

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"unicode/utf8"
)

// A message consists of "WO", the version, the kind, the fields of that kind, and a CRC-32C of all preceding bytes.
const (
	formatVersion = 2 // version 1 had no long-term statistics
	kindCells     = 1 // the origin, its incarnation, then its cells to the end
	kindDigest    = 2 // the sender, then the summaries of origins to the end
	headerBytes   = 4
	crcBytes      = 4
	maxSequence   = 1 << 62 // of an incarnation or sequence, so that a higher one always exists
	maxSum        = 1e36    // of any decayed sum
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func beginMessage(kind byte) []byte {
	return append(make([]byte, 0, minMessageLimit), 'W', 'O', formatVersion, kind)
}

func sealMessage(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// openMessage checks a message's frame and returns a decoder of its fields.
func openMessage(message []byte, kind byte) (*decoder, error) {
	switch {
	case len(message) < headerBytes+crcBytes || message[0] != 'W' || message[1] != 'O':
		return nil, &DecodeError{"header is missing"}
	case message[2] > formatVersion:
		return nil, &VersionError{message[2], formatVersion}
	case message[2] != formatVersion || message[3] != kind:
		return nil, &DecodeError{"unexpected version or kind"}
	}
	end := len(message) - crcBytes
	if binary.LittleEndian.Uint32(message[end:]) != crc32.Checksum(message[:end], castagnoli) {
		return nil, &DecodeError{"checksum does not match"}
	}
	return &decoder{rest: message[headerBytes:end]}, nil
}

func appendName(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendFloat(b []byte, f float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(f))
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s) }

// decoder reads the fields of a message. After the first invalid field, problem is set, rest is empty, and every read
// returns zero.
type decoder struct {
	rest    []byte
	problem string
}

func (d *decoder) fail(problem string) {
	if d.problem == "" {
		d.problem = problem
	}
	d.rest = nil
}

func (d *decoder) take(n int) []byte {
	if n < 0 || n > len(d.rest) {
		d.fail("message is truncated")
		return nil
	}
	b := d.rest[:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) uint(maxValue uint64) uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || v > maxValue {
		d.fail("a number is too large or incomplete")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) int() int64 {
	v, n := binary.Varint(d.rest)
	if n <= 0 {
		d.fail("a number is too large or incomplete")
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) byte() byte {
	if b := d.take(1); b != nil {
		return b[0]
	}
	return 0
}

// name reads a name, which may be empty.
func (d *decoder) name() string {
	s := string(d.take(int(d.byte())))
	if !validName(s) && s != "" {
		d.fail("a name is too long or not UTF-8")
	}
	return s
}

// float reads a finite number from 0 to maxValue.
func (d *decoder) float(maxValue float64) float64 {
	b := d.take(8)
	if b == nil {
		return 0
	}
	f := math.Float64frombits(binary.LittleEndian.Uint64(b))
	if !(f >= 0 && f <= maxValue) { // also true for NaN
		d.fail("a value is out of range")
		return 0
	}
	return f
}
