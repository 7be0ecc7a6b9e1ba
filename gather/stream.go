package gather

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// stream is one part as it arrives. The bytes of its copies are one sequence; bytes that are not merged yet wait in buf.
type stream struct {
	part   Part
	leaves []int32 // ranks of the parts in it: one, or those of a partial result
	quota  int

	buf      []byte
	start    int   // start of the head's record in buf
	end      int   // end of the head's record in buf
	scanned  int   // no record ends before this offset
	received int64 // bytes accepted since the part's start

	digest        xxhash.Digest // of the received bytes
	copies        []copyState
	lastForgotten int   // copies up to this number may have been forgotten
	complete      bool  // it ended, and received is its length
	dropped       bool  // no more will arrive, or it cannot be read
	why           error // reason of its end
	unsorted      bool  // it is not sorted
	limited       bool  // a copy stopped at its row limit

	key, nextKey []byte // of the last record, and the buffer for the next
	version      []byte // of the last record, if the rules keep the highest
	groupKeyLen  int
	rank         int32
	occurrence   uint32
	records      int64
	headerSeen   bool   // of a partial result
	endSeen      bool   // of a partial result
	lostLeaves   []bool // of a partial result: the leaves already lost
}

type copyState struct {
	id              int
	received        int64 // bytes of this copy so far
	digest          xxhash.Digest
	compareAt       int64  // the offset of its next comparison
	wantSum         uint64 // the digest expected there
	ended, diverged bool
}

func (s *stream) isOpen() bool { return !s.complete && !s.dropped }

func (s *stream) room() int { return s.quota - (len(s.buf) - s.start) }

func (s *stream) copyOf(id, limit int) (*copyState, error) {
	for i := range s.copies {
		if s.copies[i].id == id {
			return &s.copies[i], nil
		}
	}
	if s.lastForgotten > 0 && id <= s.lastForgotten {
		return nil, &CopiesOver{s.part.ID, limit}
	}
	if len(s.copies) == limit { // the oldest copy that has ended is forgotten
		i := slices.IndexFunc(s.copies, func(c copyState) bool { return c.ended || c.diverged })
		if i < 0 {
			return nil, &CopiesOver{s.part.ID, limit}
		}
		s.lastForgotten = max(s.lastForgotten, s.copies[i].id)
		s.copies = slices.Delete(s.copies, i, i+1)
	}
	c := copyState{id: id, compareAt: s.received, wantSum: s.digest.Sum64()}
	c.digest.Reset()
	s.copies = append(s.copies, c)
	return &s.copies[len(s.copies)-1], nil
}

// add adds a copy's next bytes. Bytes that another copy has already brought are compared, the rest is new.
func (s *stream) add(c *copyState, data []byte, fault fault) error {
	if fault == faultCountRepeats { // injected fault: repeated bytes are added again
		s.appendNew(data)
		return nil
	}
	if fresh := c.received + int64(len(data)) - s.received; !s.complete && fresh > 0 && fresh > int64(s.room()) && fault != faultIgnoreQuota {
		return &Full{s.part.ID, int(fresh), s.room()}
	}
	for {
		if c.received < c.compareAt {
			n := min(int64(len(data)), c.compareAt-c.received)
			_, _ = c.digest.Write(data[:n])
			if c.received += n; c.received < c.compareAt {
				return nil
			}
			data = data[n:]
		}
		if c.digest.Sum64() != c.wantSum && fault != faultIgnoreDivergence {
			c.diverged = true
			return &Diverged{s.part.ID, c.id, c.compareAt}
		}
		if c.compareAt == s.received {
			break
		}
		c.compareAt, c.wantSum = s.received, s.digest.Sum64()
	}
	switch {
	case len(data) == 0:
		return nil
	case s.complete: // longer than the complete part
		c.diverged = true
		return &Diverged{s.part.ID, c.id, c.received + int64(len(data))}
	}
	s.appendNew(data)
	c.received, c.compareAt, c.digest, c.wantSum = s.received, s.received, s.digest, s.digest.Sum64()
	return nil
}

func (s *stream) appendNew(data []byte) {
	if need := len(s.buf) - s.start + len(data); need > cap(s.buf) {
		grown := make([]byte, len(s.buf)-s.start, max(need, min(s.quota, 2*need)))
		copy(grown, s.buf[s.start:])
		s.rebase(grown)
	} else if len(s.buf)+len(data) > cap(s.buf) {
		n := copy(s.buf, s.buf[s.start:])
		s.rebase(s.buf[:n])
	}
	s.buf = append(s.buf, data...)
	s.received += int64(len(data))
	_, _ = s.digest.Write(data)
}

func (s *stream) rebase(buf []byte) {
	s.end, s.scanned = s.end-s.start, max(s.scanned-s.start, 0)
	s.buf, s.start = buf, 0
}

// endCopy records that a copy ended at its current length.
func (s *stream) endCopy(c *copyState, complete bool) error {
	if c.ended || c.diverged {
		return nil
	}
	c.ended = true
	if !complete {
		return nil
	}
	if c.received < s.received { // shorter than what another copy brought
		c.diverged = true
		return &Diverged{s.part.ID, c.id, s.received}
	}
	s.complete = true
	return nil
}

func (s *stream) liveCopies() int {
	n := 0
	for _, c := range s.copies {
		if !c.ended && !c.diverged {
			n++
		}
	}
	return n
}

// nextRecord returns the next complete record after the head; ok is false if it has not arrived completely.
func (s *stream) nextRecord(r *Rules) (rec []byte, ok bool, why string) {
	s.start, s.scanned = s.end, max(s.scanned, s.end)
	limit := r.Records.MaxBytes
	if s.part.Of != nil || r.Records.Form == "length-prefixed" {
		if s.part.Of != nil {
			limit = s.quota - 4
		}
		rest := s.buf[s.start:]
		if len(rest) < 4 {
			if s.complete && len(rest) > 0 {
				why = "ends in the middle of a record"
			}
			return nil, false, why
		}
		n := binary.BigEndian.Uint32(rest)
		switch {
		case uint64(n) > uint64(limit):
			return nil, false, fmt.Sprintf("%d bytes, the limit is %d", n, limit)
		case len(rest)-4 < int(n):
			if s.complete {
				why = "ends in the middle of a record"
			}
			return nil, false, why
		}
		s.end = s.start + 4 + int(n)
		return rest[4 : 4+n], true, ""
	}
	for {
		i := bytes.IndexByte(s.buf[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(s.buf)
			rec = s.buf[s.start:]
			switch {
			case len(rec) > limit:
				return nil, false, fmt.Sprintf("over %d bytes", limit)
			case !s.complete || len(rec) == 0:
				return nil, false, ""
			}
			s.end = len(s.buf)
			return rec, true, ""
		}
		rec = s.buf[s.start : s.scanned+i]
		s.scanned += i + 1
		s.end = s.scanned
		switch {
		case len(rec) > limit:
			return nil, false, fmt.Sprintf("over %d bytes", limit)
		case len(rec) == 0 || len(rec) == 1 && rec[0] == '\r': // an empty line
			s.start = s.end
			continue
		}
		return rec, true, ""
	}
}
