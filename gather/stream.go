package gather

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// stream is one part as it arrives: its copies' bytes are one sequence, of which what is not yet merged waits in buf.
type stream struct {
	part   Part
	leaves []int32 // ranks of the parts in it: one, or those of a partial result
	quota  int

	buf  []byte
	off  int   // of the head's record in buf
	end  int   // of its end
	scan int   // no record ends before here
	took int64 // bytes accepted since the part's start

	sum    xxhash.Digest // of them
	copies []copyState
	past   int   // copies up to this number may have been forgotten
	whole  bool  // it ended, and took is its length
	gone   bool  // it was given up, or cannot be read
	why    error // the reason
	torn   bool  // it is not in order
	limit  bool  // a copy stopped at the rows it was asked for

	key, spare []byte // of the last record, and room for the next one's
	ver        []byte // of the last record, for highest
	group      int
	rank       int32
	run        uint32
	records    int64
	header     bool   // of a partial result, seen
	ended      bool   // its end, seen
	left       []bool // of a partial result: leaves already lost
}

type copyState struct {
	id       int
	at       int64 // bytes of it so far
	sum      xxhash.Digest
	mark     int64  // where it is compared next
	want     uint64 // with this
	out, bad bool
}

func (s *stream) open() bool { return !s.whole && !s.gone }

func (s *stream) room() int { return s.quota - (len(s.buf) - s.off) }

func (s *stream) copyOf(id, limit int) (*copyState, error) {
	for i := range s.copies {
		if s.copies[i].id == id {
			return &s.copies[i], nil
		}
	}
	if s.past > 0 && id <= s.past {
		return nil, &CopiesOver{s.part.ID, limit}
	}
	if len(s.copies) == limit { // the oldest that has ended gives way
		i := slices.IndexFunc(s.copies, func(c copyState) bool { return c.out || c.bad })
		if i < 0 {
			return nil, &CopiesOver{s.part.ID, limit}
		}
		s.past = max(s.past, s.copies[i].id)
		s.copies = slices.Delete(s.copies, i, i+1)
	}
	c := copyState{id: id, mark: s.took, want: s.sum.Sum64()}
	c.sum.Reset()
	s.copies = append(s.copies, c)
	return &s.copies[len(s.copies)-1], nil
}

// take gives a copy's next bytes: what another copy has brought already is compared with it, the rest is new.
func (s *stream) take(c *copyState, data []byte, fault fault) error {
	if fault == faultTwice { // a test's: what comes again counts again
		s.push(data)
		return nil
	}
	if fresh := c.at + int64(len(data)) - s.took; !s.whole && fresh > 0 && fresh > int64(s.room()) && fault != faultMemory {
		return &Full{s.part.ID, int(fresh), s.room()}
	}
	for {
		if c.at < c.mark {
			n := min(int64(len(data)), c.mark-c.at)
			_, _ = c.sum.Write(data[:n])
			if c.at += n; c.at < c.mark {
				return nil
			}
			data = data[n:]
		}
		if c.sum.Sum64() != c.want && fault != faultDiverge {
			c.bad = true
			return &Diverged{s.part.ID, c.id, c.mark}
		}
		if c.mark == s.took {
			break
		}
		c.mark, c.want = s.took, s.sum.Sum64()
	}
	switch {
	case len(data) == 0:
		return nil
	case s.whole: // longer than the whole
		c.bad = true
		return &Diverged{s.part.ID, c.id, c.at + int64(len(data))}
	}
	s.push(data)
	c.at, c.mark, c.sum, c.want = s.took, s.took, s.sum, s.sum.Sum64()
	return nil
}

func (s *stream) push(data []byte) {
	if need := len(s.buf) - s.off + len(data); need > cap(s.buf) {
		grown := make([]byte, len(s.buf)-s.off, max(need, min(s.quota, 2*need)))
		copy(grown, s.buf[s.off:])
		s.rebase(grown)
	} else if len(s.buf)+len(data) > cap(s.buf) {
		n := copy(s.buf, s.buf[s.off:])
		s.rebase(s.buf[:n])
	}
	s.buf = append(s.buf, data...)
	s.took += int64(len(data))
	_, _ = s.sum.Write(data)
}

func (s *stream) rebase(buf []byte) {
	s.end, s.scan = s.end-s.off, max(s.scan-s.off, 0)
	s.buf, s.off = buf, 0
}

// end says that a copy ended where it is now.
func (s *stream) endCopy(c *copyState, whole bool) error {
	if c.out || c.bad {
		return nil
	}
	c.out = true
	if !whole {
		return nil
	}
	if c.at < s.took { // shorter than what another copy brought
		c.bad = true
		return &Diverged{s.part.ID, c.id, s.took}
	}
	s.whole = true
	return nil
}

func (s *stream) live() int {
	n := 0
	for _, c := range s.copies {
		if !c.out && !c.bad {
			n++
		}
	}
	return n
}

// record finds the next whole record after the head; ok is false where it has not all come.
func (s *stream) record(r *Rules) (rec []byte, ok bool, why string) {
	s.off, s.scan = s.end, max(s.scan, s.end)
	limit := r.Records.MaxBytes
	if s.part.Of != nil || r.Records.Form == "length-prefixed" {
		if s.part.Of != nil {
			limit = s.quota - 4
		}
		rest := s.buf[s.off:]
		if len(rest) < 4 {
			if s.whole && len(rest) > 0 {
				why = "ends in the middle of a record"
			}
			return nil, false, why
		}
		n := binary.BigEndian.Uint32(rest)
		switch {
		case uint64(n) > uint64(limit):
			return nil, false, fmt.Sprintf("%d bytes, the limit is %d", n, limit)
		case len(rest)-4 < int(n):
			if s.whole {
				why = "ends in the middle of a record"
			}
			return nil, false, why
		}
		s.end = s.off + 4 + int(n)
		return rest[4 : 4+n], true, ""
	}
	for {
		i := bytes.IndexByte(s.buf[s.scan:], '\n')
		if i < 0 {
			s.scan = len(s.buf)
			rec = s.buf[s.off:]
			switch {
			case len(rec) > limit:
				return nil, false, fmt.Sprintf("over %d bytes", limit)
			case !s.whole || len(rec) == 0:
				return nil, false, ""
			}
			s.end = len(s.buf)
			return rec, true, ""
		}
		rec = s.buf[s.off : s.scan+i]
		s.scan += i + 1
		s.end = s.scan
		switch {
		case len(rec) > limit:
			return nil, false, fmt.Sprintf("over %d bytes", limit)
		case len(rec) == 0 || len(rec) == 1 && rec[0] == '\r': // an empty line
			s.off = s.end
			continue
		}
		return rec, true, ""
	}
}
