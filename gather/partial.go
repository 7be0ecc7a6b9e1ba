package gather

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"

	"wheatsaddle/internal/operr"
)

// A partial result is frames, each 4 bytes of length and then a letter: H (rules, parts), R (a row), G (a group of
// duplicates, undecided), L (a part lost here), C (a part in conflict), E (the end). Rows and losses are in the rules'
// order. Nothing is decided in it: offset, truncation, completeness and the choice among duplicates are the root's.
type partialState struct {
	begun, ended bool
	notes        []note
}

type note struct {
	rank int32
	why  error
}

func (p *partialState) conflict(rank int32, why error) { p.notes = append(p.notes, note{rank, why}) }

// Told is the reason that a partial result gave for one of its parts.
type Told struct{ Part, Why string }

func (e *Told) Error() string {
	return fmt.Sprintf("gather: part %q, by a partial result: %s", e.Part, e.Why)
}

// Code implements operr.Coded.
func (*Told) Code() string { return "gather-told" }

// Advice implements operr.Coded.
func (*Told) Advice() string { return "look at the part where the partial result was made" }

// AppendPartial is Next for a merge whose result is a part of another: it appends up to rows rows (0: all that may go)
// in their encoded form, for Add under a Part with Of. done says that the end is in it. It is used instead of Next.
func (m *Merge) AppendPartial(dst []byte, rows int) (out []byte, done bool) {
	p := &m.partial
	if !p.begun {
		p.begun = true
		at := len(dst)
		dst = append(append(frame(dst, 'H'), 1), m.r.hash[:]...)
		dst = binary.AppendUvarint(dst, uint64(len(m.leaves)))
		for _, l := range m.leaves {
			dst = appendText(dst, l.ID)
		}
		seal(dst, at)
	}
	for n := 0; (rows == 0 || n < rows) && !p.ended && !m.left; n++ {
		ev := m.step()
		for _, c := range p.notes {
			at := len(dst)
			dst = binary.AppendUvarint(frame(dst, 'C'), uint64(c.rank))
			dst = appendText(dst, c.why.Error())
			seal(dst, at)
		}
		p.notes = p.notes[:0]
		at := len(dst)
		switch ev {
		case evStall:
			return dst, false
		case evEnd:
			if p.ended = true; m.err != nil {
				m.done = true
				return dst, false
			}
			m.done = true
			dst = frame(dst, 'E')
		case evLoss:
			n--
			dst = m.appendLoss(dst)
			continue
		case evRow:
			h := &m.heads[m.pending]
			dst = binary.AppendUvarint(frame(dst, 'R'), uint64(h.rank))
			dst = binary.AppendUvarint(dst, uint64(h.run))
			dst = append(dst, m.row(m.pending)...)
		case evGroup:
			dst = frame(dst, 'G')
			for i := range m.g.n {
				dst = m.appendCand(dst, &m.g.cands[i])
			}
		}
		seal(dst, at)
	}
	return dst, p.ended && m.err == nil
}

func (m *Merge) appendLoss(dst []byte) []byte {
	h := &m.heads[m.pending]
	for _, l := range m.losses(m.pending) {
		m.lose(l)
		at := len(dst)
		dst = binary.AppendUvarint(frame(dst, 'L'), uint64(l.rank))
		dst = binary.AppendUvarint(dst, uint64(h.run))
		flags := byte(0)
		if l.cut {
			flags |= flagCut
		}
		if l.torn {
			flags |= flagTorn
		}
		dst = appendText(append(dst, flags), string(h.key))
		dst = appendText(dst, reason(l.err))
		seal(dst, at)
	}
	return dst
}

const (
	flagCut  = 1
	flagTorn = 2
)

// reason is what a partial result tells of a loss: the code, or the text where it comes from the rows. So a peer that takes
// over, and whose calls fail in other words, makes the same bytes.
func reason(err error) string {
	var told *Told
	var c operr.Coded
	switch {
	case errors.As(err, &told):
		return told.Why
	case errors.As(err, new(*RecordBad)) || errors.As(err, new(*Unsorted)):
		return err.Error()
	case errors.As(err, &c):
		return c.Code()
	}
	return (*Never)(nil).Code()
}

func (m *Merge) appendCand(dst []byte, c *cand) []byte {
	flag := byte(0)
	if c.conflict {
		flag = 1
	}
	dst = binary.AppendUvarint(append(dst, flag), uint64(c.rank))
	dst = binary.AppendUvarint(dst, uint64(c.run))
	if m.fault == faultCounts { // a test's: only the first part is told
		dst = binary.AppendUvarint(append(dst, 1), uint64(c.rank))
	} else {
		dst = binary.AppendUvarint(dst, uint64(c.count()))
		for rank := range m.leaves {
			if c.parts[rank/64]>>(rank%64)&1 == 1 {
				dst = binary.AppendUvarint(dst, uint64(rank))
			}
		}
	}
	return append(binary.AppendUvarint(dst, uint64(len(c.row))), c.row...)
}

func frame(dst []byte, letter byte) []byte { return append(dst, 0, 0, 0, 0, letter) }

func seal(dst []byte, at int) { binary.BigEndian.PutUint32(dst[at:], uint32(len(dst)-at-4)) }

func appendText(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// reader takes a frame or a token apart; bad once it does not fit.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) num() uint64 {
	n, w := binary.Uvarint(r.b)
	if w <= 0 {
		r.bad, r.b = true, nil
		return 0
	}
	r.b = r.b[w:]
	return n
}

func (r *reader) bytes(n uint64) []byte {
	if n > uint64(len(r.b)) {
		r.bad, r.b = true, nil
		return nil
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) text() []byte { return r.bytes(r.num()) }

func (r *reader) leaf(s *stream) (index int, rank int32) {
	if n := r.num(); n < uint64(len(s.leaves)) {
		return int(n), s.leaves[n]
	}
	r.bad = true
	return 0, s.leaves[0]
}

// frame reads one frame of a partial result; ok where it is a head.
func (m *Merge) frame(s *stream, h *head, rec []byte) (ok bool, why string) {
	r := &reader{b: rec}
	letter := r.bytes(1)
	switch {
	case r.bad || s.ended:
		return false, "a frame that is empty or after the end"
	case (letter[0] == 'H') == s.header:
		return false, "a head that is missing or comes twice"
	}
	switch letter[0] {
	case 'H':
		if v := r.bytes(1); r.bad || v[0] != 1 || !bytes.Equal(r.bytes(16), m.r.hash[:]) {
			return false, "a partial result under other rules"
		}
		s.header = r.num() == uint64(len(s.leaves))
		for _, l := range s.leaves {
			s.header = s.header && string(r.text()) == m.leaves[l].ID
		}
		if !s.header {
			why = "a partial result of other parts"
		}
		return false, why
	case 'C':
		_, rank := r.leaf(s)
		if text := r.text(); !r.bad {
			m.conflicted(rank, &Told{m.leaves[rank].ID, string(text)})
		}
		return false, r.why()
	case 'E':
		s.ended = true
		return false, ""
	case 'L':
		i, rank := r.leaf(s)
		run, flags, key, text := r.num(), r.bytes(1), r.text(), r.text()
		if why = r.why(); why == "" && len(key) > 0 && (key[0] < absentFirst || key[0] > absentLast) {
			why = "a loss at no key"
		}
		if why != "" {
			return false, why
		}
		s.left[i] = true
		h.loss = loss{rank, flags[0]&flagCut != 0, flags[0]&flagTorn != 0, &Told{m.leaves[rank].ID, string(text)}}
		h.kind, s.spare = kindLoss, append(s.spare[:0], key...)
		return true, m.framed(s, h, len(key), rank, uint32(run))
	case 'R', 'G':
		if (letter[0] == 'G') != m.r.grouped() {
			return false, "a frame of another kind of rules"
		}
		rank, run, row := s.rank, uint64(0), r.b
		if letter[0] == 'R' {
			_, rank = r.leaf(s)
			run, row = r.num(), r.b
		}
		if h.place(s, r.b); letter[0] == 'G' {
			var ok bool
			if row, ok = firstRow(r.b, len(s.leaves)); !ok {
				return false, "a group that cannot be read"
			}
		}
		if r.bad || run > 1<<32-1 {
			return false, "a frame that cannot be read"
		}
		h.kind = kindRow
		var group int
		if s.spare, group, why = m.d.key(s.spare[:0], row); why == "" {
			why = m.framed(s, h, group, rank, uint32(run))
		}
		return true, why
	}
	return false, "a frame of no known kind"
}

func (r *reader) why() string {
	if r.bad {
		return "a frame that cannot be read"
	}
	return ""
}

// framed holds the key in s.spare against the last one and makes it the head's.
func (m *Merge) framed(s *stream, h *head, group int, rank int32, run uint32) string {
	key, last := s.spare, s.key
	if m.r.grouped() {
		key, last = key[:group], last[:s.group]
	}
	c := bytes.Compare(key, last)
	if c == 0 && !m.r.grouped() && s.records > 0 {
		c = cmp.Or(cmp.Compare(rank, s.rank), cmp.Compare(run, s.run))
	}
	if c < 0 {
		return "unsorted"
	}
	s.key, s.spare, s.group, s.rank, s.run = s.spare, s.key, group, rank, run
	s.records++
	h.rank, h.run = rank, run
	m.setKey(h, s.key[:m.cutKey(s)])
	return ""
}

// firstRow finds the row of a group's first candidate.
func firstRow(b []byte, leaves int) ([]byte, bool) {
	r := &reader{b: b}
	r.num()
	r.num()
	r.num()
	n := r.num()
	if n > uint64(leaves) {
		return nil, false
	}
	for ; n > 0; n-- {
		r.num()
	}
	row := r.text()
	return row, !r.bad
}
