package nodestats

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"time"
	"unicode/utf8"
)

// A message is: "WO", version, kind, what the kind says, and a CRC-32C of all before it.
const (
	formatVersion = 2 // 1 had one memory
	kindCells     = 1 // origin, incarnation, then cells of it to the end
	kindDigest    = 2 // sender, then origins with the hash of each bucket
	headerSize    = 4
	crcSize       = 4
	digestBuckets = 16      // buckets of an origin's cells in a digest
	countScale    = 64      // a bucket's count is told in such parts
	maxSequence   = 1 << 62 // of an incarnation or sequence: one can always go over it
	maxSum        = 1e36
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func beginMessage(kind byte) []byte {
	return append(make([]byte, 0, minMessageLimit), 'W', 'O', formatVersion, kind)
}

func sealMessage(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func appendName(b []byte, s string) []byte { return append(append(b, byte(len(s))), s...) }

func appendFloat(b []byte, f float64) []byte {
	return binary.LittleEndian.AppendUint64(b, math.Float64bits(f))
}

// decoder reads a message; after the first thing that does not fit bad stays set and all reads are zero.
type decoder struct {
	b       []byte
	problem string
}

// openMessage checks a message's frame.
func openMessage(m []byte, kind byte) (*decoder, error) {
	switch {
	case len(m) < headerSize+crcSize || m[0] != 'W' || m[1] != 'O':
		return nil, &DecodeError{"no frame"}
	case m[2] > formatVersion:
		return nil, &VersionError{m[2], formatVersion}
	case m[2] != formatVersion || m[3] != kind:
		return nil, &DecodeError{"another kind"}
	}
	end := len(m) - crcSize
	if binary.LittleEndian.Uint32(m[end:]) != crc32.Checksum(m[:end], castagnoli) {
		return nil, &DecodeError{"cut or changed on the way"}
	}
	return &decoder{b: m[headerSize:end]}, nil
}

func (r *decoder) fail(what string) {
	if r.problem == "" {
		r.problem = what
	}
	r.b = nil
}

func (r *decoder) take(n int) []byte {
	if n < 0 || n > len(r.b) {
		r.fail("too short")
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *decoder) uint(most uint64) uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 || v > most {
		r.fail("a number too large or cut")
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *decoder) int() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.fail("a number too large or cut")
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *decoder) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *decoder) name() string {
	s := string(r.take(int(r.byte())))
	if !validName(s) && s != "" {
		r.fail("a name that is none")
	}
	return s
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s) }

// float is a finite number from 0 to most.
func (r *decoder) float(most float64) float64 {
	b := r.take(8)
	if b == nil {
		return 0
	}
	f := math.Float64frombits(binary.LittleEndian.Uint64(b))
	if !(f >= 0 && f <= most) {
		r.fail("a figure that cannot be")
		return 0
	}
	return f
}

func (f *classStats) append(b []byte) []byte {
	b = binary.AppendVarint(b, f.startTime)
	for _, m := range [...]*decayedCounts{&f.long, &f.short} {
		for _, v := range m.fields() {
			b = appendFloat(b, *v)
		}
	}
	last := 0
	for i, n := range f.bins {
		if c := min(uint64(math.Round(n*countScale)), 1<<34); c > 0 {
			b = binary.AppendUvarint(b, uint64(i-last))
			b = binary.AppendUvarint(b, c)
			last = i
		}
	}
	return b
}

// plausible says that sums can be those of some observations, rounding apart.
func (s Sums) plausible() bool {
	const slack = 1 + 1e-6
	return s.X*s.X <= s.N*s.XX*slack && s.Y*s.Y <= s.N*s.YY*slack && s.XY*s.XY <= s.XX*s.YY*slack
}

func (r *decoder) classStats(f *classStats) {
	*f = classStats{startTime: r.int()}
	for _, m := range [...]*decayedCounts{&f.long, &f.short} {
		for _, v := range m.fields() {
			*v = r.float(maxSum)
		}
	}
	at, all := 0, 0.0
	for first := true; len(r.b) > 0; first = false {
		step := r.uint(numBins - 1)
		if step == 0 && !first || at+int(step) >= numBins {
			r.fail("buckets out of order")
			return
		}
		at += int(step)
		f.bins[at] = float64(r.uint(1<<34)) / countScale
		all += f.bins[at]
	}
	if !f.long.sums.plausible() || !f.short.sums.plausible() || !f.short.isPartOf(&f.long) || all > f.short.sums.N*1.01+2 {
		r.fail("sums that no observations have")
	}
}

const maxLoad = 1e9

func (h Health) append(b []byte, since int64) []byte {
	b = binary.AppendVarint(b, since)
	b = appendName(b, h.Type)
	b = binary.AppendVarint(b, int64(h.Shard))
	cold := byte(0)
	if h.WarmingUp {
		cold = 1
	}
	return appendFloat(appendFloat(append(b, cold), h.Window), h.Queue)
}

func (r *decoder) health() (since int64, h Health) {
	since = r.int()
	h = Health{Type: r.name(), Shard: int(r.int()), WarmingUp: r.byte() != 0}
	h.Window, h.Queue = r.float(maxLoad), r.float(maxLoad)
	if len(r.b) > 0 {
		r.fail("more than a node's health")
	}
	return since, h
}

// check says whether a cell's body is one.
func (id cellID) check(body []byte) string {
	r := &decoder{b: body}
	switch {
	case id.node == "" && id.class == "":
		if r.int(); len(r.b) > 0 {
			r.fail("more than a version")
		}
	case id.node == "":
		r.fail("a class of no node")
	case id.class == "":
		r.health()
	default:
		var f classStats
		r.classStats(&f)
	}
	return r.problem
}

// healthSetAt is one cell in a message.
type wireCell struct {
	id   cellID
	seq  uint64
	age  time.Duration
	body []byte
}

func (t *wireCell) append(b []byte) []byte {
	b = binary.AppendUvarint(b, t.seq)
	b = binary.AppendUvarint(b, uint64((max(t.age, 0)+time.Millisecond-1)/time.Millisecond))
	b = appendName(appendName(b, t.id.node), t.id.class)
	return append(binary.AppendUvarint(b, uint64(len(t.body))), t.body...)
}

// decodeCells reads a whole message or nothing of it.
func decodeCells(m []byte) (origin string, incarnation uint64, cells []wireCell, err error) {
	r, err := openMessage(m, kindCells)
	if err != nil {
		return "", 0, nil, err
	}
	origin, incarnation = r.name(), r.uint(maxSequence)
	if origin == "" {
		r.fail("no origin")
	}
	for len(r.b) > 0 {
		t := wireCell{seq: r.uint(maxSequence), age: time.Duration(r.uint(1<<40)) * time.Millisecond}
		t.id = cellID{r.name(), r.name()}
		t.body = r.take(int(r.uint(maxMessageBytes)))
		if r.problem == "" {
			r.problem = t.id.check(t.body)
		}
		if r.problem != "" {
			break
		}
		cells = append(cells, t)
	}
	if r.problem != "" {
		return "", 0, nil, &DecodeError{r.problem}
	}
	for i := range cells {
		cells[i].body = slices.Clone(cells[i].body) // the message is the caller's
	}
	return origin, incarnation, cells, nil
}

// originSummary is what a digest says of one origin.
type originSummary struct {
	incarnation uint64
	buckets     [digestBuckets]uint32
}

func (s *originSummary) append(b []byte, name string) []byte {
	b = binary.AppendUvarint(appendName(b, name), s.incarnation)
	for _, v := range s.buckets {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}

func decodeDigest(m []byte) (sender string, all map[string]originSummary, err error) {
	r, err := openMessage(m, kindDigest)
	if err != nil {
		return "", nil, err
	}
	sender, all = r.name(), map[string]originSummary{}
	if sender == "" {
		r.fail("no sender")
	}
	for len(r.b) > 0 {
		name, s := r.name(), originSummary{incarnation: r.uint(maxSequence)}
		if b := r.take(4 * digestBuckets); b != nil {
			for i := range s.buckets {
				s.buckets[i] = binary.LittleEndian.Uint32(b[4*i:])
			}
		}
		if _, twice := all[name]; twice || name == "" {
			r.fail("an origin twice or without a name")
		}
		all[name] = s
	}
	if r.problem != "" {
		return "", nil, &DecodeError{r.problem}
	}
	return sender, all, nil
}

// DigestSender is the process that made a digest.
func DigestSender(digest []byte) (string, error) {
	s, _, err := decodeDigest(digest)
	return s, err
}
