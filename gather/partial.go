package gather

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

// A partial result is a sequence of frames. Each has 4 bytes of length and a letter: H (rules, parts), R (a row), G (a
// group of duplicates), L (a lost part), C (a part in conflict), E (the end). Rows and losses are in the rules' order.
// Offset, truncation, completeness and the choice among duplicates are left to the root.
type partialState struct {
	started, ended   bool
	pendingConflicts []pendingConflict
}

type pendingConflict struct {
	rank int32
	why  error
}

func (p *partialState) addConflict(rank int32, why error) {
	p.pendingConflicts = append(p.pendingConflicts, pendingConflict{rank, why})
}

// Told is the reason that a partial result reported for one of its parts.
type Told struct{ Part, Why string }

func (e *Told) Error() string {
	return fmt.Sprintf("gather: part %q, by a partial result: %s", e.Part, e.Why)
}

// Code implements operr.Coded.
func (*Told) Code() string { return "gather-told" }

// Advice implements operr.Coded.
func (*Told) Advice() string { return "check the part on the process that made the partial result" }

// AppendPartial replaces Next in a merge whose result is a part of another merge. It appends up to rows rows (0: no limit)
// in encoded form, for Add under a Part with Of. done reports that the end is included.
func (m *Merge) AppendPartial(dst []byte, rows int) (out []byte, done bool) {
	state := &m.partial
	if !state.started {
		state.started = true
		at := len(dst)
		dst = append(append(beginFrame(dst, 'H'), 1), m.rules.hash[:]...)
		dst = binary.AppendUvarint(dst, uint64(len(m.leaves)))
		for _, l := range m.leaves {
			dst = appendText(dst, l.ID)
		}
		endFrame(dst, at)
	}
	for n := 0; (rows == 0 || n < rows) && !state.ended && !m.clientDisconnected; n++ {
		ev := m.step()
		for _, c := range state.pendingConflicts {
			at := len(dst)
			dst = binary.AppendUvarint(beginFrame(dst, 'C'), uint64(c.rank))
			dst = appendText(dst, c.why.Error())
			endFrame(dst, at)
		}
		state.pendingConflicts = state.pendingConflicts[:0]
		at := len(dst)
		switch ev {
		case eventStalled:
			return dst, false
		case eventEnd:
			if state.ended = true; m.err != nil {
				m.done = true
				return dst, false
			}
			m.done = true
			dst = beginFrame(dst, 'E')
		case eventLoss:
			n--
			dst = m.appendLoss(dst)
			continue
		case eventRow:
			h := &m.heads[m.pending]
			dst = binary.AppendUvarint(beginFrame(dst, 'R'), uint64(h.rank))
			dst = binary.AppendUvarint(dst, uint64(h.occurrence))
			dst = append(dst, m.row(m.pending)...)
		case eventGroup:
			dst = beginFrame(dst, 'G')
			for i := range m.group.count {
				dst = m.appendCandidate(dst, &m.group.candidates[i])
			}
		}
		endFrame(dst, at)
	}
	return dst, state.ended && m.err == nil
}

func (m *Merge) appendLoss(dst []byte) []byte {
	h := &m.heads[m.pending]
	for _, l := range m.headLosses(m.pending) {
		m.recordLoss(l)
		at := len(dst)
		dst = binary.AppendUvarint(beginFrame(dst, 'L'), uint64(l.rank))
		dst = binary.AppendUvarint(dst, uint64(h.occurrence))
		flags := byte(0)
		if l.truncated {
			flags |= flagTruncated
		}
		if l.unsorted {
			flags |= flagUnsorted
		}
		dst = appendText(append(dst, flags), string(h.key))
		dst = appendText(dst, lossReason(l.err))
		endFrame(dst, at)
	}
	return dst
}

const (
	flagTruncated = 1
	flagUnsorted  = 2
)

// lossReason returns the reason of a loss for a partial result: the error code, or the error text if it depends only on the
// rows. A peer that takes over, whose calls fail with other texts, thus encodes the same bytes. The texts of RecordBad and
// Unsorted, and in a frame C that of Diverged, are therefore part of the encoding.
func lossReason(err error) string {
	var reported *Told
	var c operr.Coded
	switch {
	case errors.As(err, &reported):
		return reported.Why
	case errors.As(err, new(*RecordBad)) || errors.As(err, new(*Unsorted)):
		return err.Error()
	case errors.As(err, &c):
		return c.Code()
	}
	return (*Never)(nil).Code()
}

func (m *Merge) appendCandidate(dst []byte, c *candidate) []byte {
	flag := byte(0)
	if c.conflict {
		flag = 1
	}
	dst = binary.AppendUvarint(append(dst, flag), uint64(c.rank))
	dst = binary.AppendUvarint(dst, uint64(c.occurrence))
	if m.fault == faultOnlyFirstPart { // injected fault: only the first part is encoded
		dst = binary.AppendUvarint(append(dst, 1), uint64(c.rank))
	} else {
		dst = binary.AppendUvarint(dst, uint64(c.partCount()))
		for rank := range m.leaves {
			if c.parts[rank/64]>>(rank%64)&1 == 1 {
				dst = binary.AppendUvarint(dst, uint64(rank))
			}
		}
	}
	return append(binary.AppendUvarint(dst, uint64(len(c.row))), c.row...)
}

func beginFrame(dst []byte, letter byte) []byte { return append(dst, 0, 0, 0, 0, letter) }

func endFrame(dst []byte, at int) { binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-4)) }

func appendText(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// byteReader decodes a frame or a token. malformed is set once the data does not fit.
type byteReader struct {
	b         []byte
	malformed bool
}

func (r *byteReader) uvarint() uint64 {
	n, width := binary.Uvarint(r.b)
	if width <= 0 {
		r.malformed, r.b = true, nil
		return 0
	}
	r.b = r.b[width:]
	return n
}

func (r *byteReader) bytes(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.malformed, r.b = true, nil
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *byteReader) text() []byte { return r.bytes(r.uvarint()) }

func (r *byteReader) leaf(s *stream) (index int, rank int32) {
	if n := r.uvarint(); n < uint64(len(s.leaves)) {
		return int(n), s.leaves[n]
	}
	r.malformed = true
	return 0, s.leaves[0]
}

// readFrame reads one frame of a partial result; ok is true if it sets the head.
func (m *Merge) readFrame(s *stream, h *head, rec []byte) (ok bool, why string) {
	r := &byteReader{b: rec}
	letter := r.bytes(1)
	switch {
	case r.malformed || s.endSeen:
		return false, "a frame that is empty or after the end"
	case (letter[0] == 'H') == s.headerSeen:
		return false, "a head that is missing or comes twice"
	}
	switch letter[0] {
	case 'H':
		if v := r.bytes(1); r.malformed || v[0] != 1 || !bytes.Equal(r.bytes(16), m.rules.hash[:]) {
			return false, "a partial result under other rules"
		}
		s.headerSeen = r.uvarint() == uint64(len(s.leaves))
		for _, l := range s.leaves {
			s.headerSeen = s.headerSeen && string(r.text()) == m.leaves[l].ID
		}
		if !s.headerSeen {
			why = "a partial result of other parts"
		}
		return false, why
	case 'C':
		_, rank := r.leaf(s)
		if text := r.text(); !r.malformed {
			m.recordConflict(rank, &Told{m.leaves[rank].ID, string(text)})
		}
		return false, r.problem()
	case 'E':
		s.endSeen = true
		return false, ""
	case 'L':
		i, rank := r.leaf(s)
		occurrence, flags, key, text := r.uvarint(), r.bytes(1), r.text(), r.text()
		if why = r.problem(); why == "" && len(key) > 0 && (key[0] < absentFirst || key[0] > absentLast) {
			why = "a loss at no key"
		}
		if why != "" {
			return false, why
		}
		s.lostLeaves[i] = true
		h.loss = loss{rank, flags[0]&flagTruncated != 0, flags[0]&flagUnsorted != 0, &Told{m.leaves[rank].ID, string(text)}}
		h.kind, s.nextKey = headLost, append(s.nextKey[:0], key...)
		return true, m.setFrameKey(s, h, len(key), rank, uint32(occurrence))
	case 'R', 'G':
		if (letter[0] == 'G') != m.rules.grouped() {
			return false, "a frame of another kind of rules"
		}
		rank, occurrence, row := s.rank, uint64(0), r.b
		if letter[0] == 'R' {
			_, rank = r.leaf(s)
			occurrence, row = r.uvarint(), r.b
		}
		if h.setRow(s, r.b); letter[0] == 'G' {
			var ok bool
			if row, ok = firstRow(r.b, len(s.leaves)); !ok {
				return false, "a group that cannot be read"
			}
		}
		if r.malformed || occurrence > 1<<32-1 {
			return false, "a frame that cannot be read"
		}
		h.kind = headRow
		var group int
		if s.nextKey, group, why = m.decoder.key(s.nextKey[:0], row); why == "" {
			why = m.setFrameKey(s, h, group, rank, uint32(occurrence))
		}
		return true, why
	}
	return false, "a frame of no known kind"
}

func (r *byteReader) problem() string {
	if r.malformed {
		return "a frame that cannot be read"
	}
	return ""
}

// setFrameKey checks that the key in s.nextKey is not before the previous one and makes it the head's.
func (m *Merge) setFrameKey(s *stream, h *head, group int, rank int32, occurrence uint32) string {
	key, last := s.nextKey, s.key
	if m.rules.grouped() {
		key, last = key[:group], last[:s.groupKeyLen]
	}
	c := bytes.Compare(key, last)
	if c == 0 && !m.rules.grouped() && s.records > 0 {
		c = cmp.Or(cmp.Compare(rank, s.rank), cmp.Compare(occurrence, s.occurrence))
	}
	if c < 0 {
		return "unsorted"
	}
	s.key, s.nextKey, s.groupKeyLen, s.rank, s.occurrence = s.nextKey, s.key, group, rank, occurrence
	s.records++
	h.rank, h.occurrence = rank, occurrence
	m.setKey(h, s.key[:m.headKeyLen(s)])
	return ""
}

// firstRow returns the row of a group's first candidate.
func firstRow(b []byte, leaves int) ([]byte, bool) {
	r := &byteReader{b: b}
	r.uvarint()
	r.uvarint()
	r.uvarint()
	n := r.uvarint()
	if n > uint64(leaves) {
		return nil, false
	}
	for ; n > 0; n-- {
		r.uvarint()
	}
	row := r.text()
	return row, !r.malformed
}
