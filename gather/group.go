package gather

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"math/bits"
)

// group is the rows with one duplicates' key, as far as they have come. What it keeps depends on the rows, not on their
// order of arrival; so two halves of a group make the same as the whole.
type group struct {
	open  bool
	key   []byte
	cands []cand
	n     int
	bytes int

	limitRows, limitBytes int
	full, ver             []byte // scratch
	set                   []uint64
}

// cand is a row that may be kept.
type cand struct {
	row, key, ver []byte // key: the whole order's
	rank          int32  // the first part with the row, and where in it
	run           uint32
	parts         []uint64 // the parts with it (agree), or with any row that it was chosen among
	conflict      bool     // they differed
}

func (g *group) begin(key []byte) {
	g.open, g.n, g.bytes = true, 0, 0
	g.key = append(g.key[:0], key...)
}

// fold takes a stream's head into the group.
func (m *Merge) fold(w int) {
	s, h, g := m.streams[w], &m.heads[w], &m.g
	words := (len(m.leaves) + 63) / 64
	if g.set == nil {
		g.set = make([]uint64, words)
	}
	row := m.row(w)
	if s.part.Of == nil {
		clear(g.set)
		g.set[s.rank/64] |= 1 << (s.rank % 64)
		m.candidate(s, cand{row: row, key: s.key, ver: s.ver, rank: s.rank, run: h.run, parts: g.set})
		return
	}
	for len(row) > 0 && m.err == nil {
		c, rest, ok := m.parseCand(s, row)
		if row = rest; !ok {
			m.err = &RecordBad{s.part.ID, s.records - 1, "a group that cannot be read"}
			return
		}
		m.candidate(s, c)
	}
}

// parseCand reads one candidate of a partial result's group.
func (m *Merge) parseCand(s *stream, b []byte) (c cand, rest []byte, ok bool) {
	g, good := &m.g, true
	num := func() int {
		n, w := binary.Uvarint(b)
		if w <= 0 || n > 1<<40 {
			good = false
			return 0
		}
		b = b[w:]
		return int(n)
	}
	leaf := func() int32 {
		if i := num(); good && i < len(s.leaves) {
			return s.leaves[i]
		}
		good = false
		return 0
	}
	c.conflict = num() == 1
	c.rank, c.run = leaf(), uint32(num())
	clear(g.set)
	for n := num(); n > 0 && good; n-- {
		l := leaf()
		g.set[l/64] |= 1 << (l % 64)
	}
	c.parts = g.set
	n := num()
	if !good || n > len(b) {
		return c, nil, false
	}
	c.row = b[:n]
	var group int
	var why string
	g.full, group, why = m.d.key(g.full[:0], c.row)
	c.key = g.full
	return c, b[n:], why == "" && bytes.Equal(c.key[:group], g.key)
}

// candidate holds a row against those that the group has.
func (m *Merge) candidate(s *stream, c cand) {
	g := &m.g
	var why string
	if m.r.Duplicates.Version != nil && s.part.Of != nil {
		if g.ver, why = m.d.version(g.ver[:0], c.row); why != "" {
			m.err = &RecordBad{s.part.ID, s.records - 1, why}
			return
		}
		c.ver = g.ver
	}
	keep := m.r.Duplicates.Keep
	if keep == "agree" {
		for i := range g.n {
			if o := &g.cands[i]; m.same(o.row, c.row) {
				o.join(&c)
				if c.before(o) {
					o.key, o.rank, o.run = append(o.key[:0], c.key...), c.rank, c.run
				}
				return
			}
		}
		g.hold(g.n, &c)
		if over := g.n > g.limitRows || g.bytes > g.limitBytes; over && m.fault == faultGroup { // a test's: it is left out, and nobody told
			g.n--
			g.bytes -= g.cands[g.n].size()
		} else if over {
			m.err = &GroupOver{m.d.name(c.row), g.n, g.bytes, g.limitRows, g.limitBytes}
		}
		return
	}
	if g.n == 0 {
		g.hold(0, &c)
		return
	}
	o := &g.cands[0]
	newer := bytes.Compare(c.ver, o.ver) // 0 but for highest
	switch {
	case newer < 0:
		return
	case newer > 0:
		g.hold(0, &c)
		return
	}
	c.conflict = c.conflict || o.conflict || !m.same(c.row, o.row)
	o.join(&c)
	if o.conflict = c.conflict; c.before(o) != (keep == "last") {
		copy(g.set, o.parts)
		c.parts = g.set
		g.hold(0, &c)
	}
}

// same says whether two rows are one: by their bytes, as a hash or a length may be two rows'.
func (m *Merge) same(a, b []byte) bool {
	return bytes.Equal(a, b) || m.fault == faultContent && len(a) == len(b)
}

func (c *cand) join(o *cand) {
	for i, w := range o.parts {
		c.parts[i] |= w
	}
}

func (c *cand) before(o *cand) bool {
	return cmp.Or(bytes.Compare(c.key, o.key), cmp.Compare(c.rank, o.rank), cmp.Compare(c.run, o.run)) < 0
}

// hold copies a row into the i-th place.
func (g *group) hold(i int, c *cand) {
	if i == len(g.cands) {
		g.cands = append(g.cands, cand{})
	}
	o := &g.cands[i]
	if i == g.n {
		g.n++
	} else {
		g.bytes -= o.size()
	}
	o.row, o.key, o.ver = append(o.row[:0], c.row...), append(o.key[:0], c.key...), append(o.ver[:0], c.ver...)
	o.parts = append(o.parts[:0], c.parts...)
	o.rank, o.run, o.conflict = c.rank, c.run, c.conflict
	g.bytes += o.size()
}

func (c *cand) size() int { return len(c.row) + len(c.key) + len(c.ver) + 8*len(c.parts) }

func (c *cand) count() int {
	n := 0
	for _, w := range c.parts {
		n += bits.OnesCount64(w)
	}
	return n
}

// decide chooses the group's row; ok is false where too few parts agree.
func (m *Merge) decide() (row []byte, ok bool) {
	g := &m.g
	best, first := &g.cands[0], &g.cands[0]
	for i := 1; i < g.n; i++ { // of agree alone
		c := &g.cands[i]
		if d := cmp.Compare(c.count(), best.count()); d > 0 || d == 0 && c.before(best) {
			best = c
		}
		if c.before(first) {
			first = c
		}
	}
	ok = best.count() >= m.r.Duplicates.Parts
	if ok && g.n == 1 && !best.conflict {
		return best.row, true
	}
	clear(g.set)
	for i := range g.n {
		for j, w := range g.cands[i].parts {
			g.set[j] |= w
		}
	}
	var ids []string
	for rank, p := range m.leaves {
		if g.set[rank/64]>>(rank%64)&1 == 1 && m.fault != faultClash {
			m.rowsIn[int32(rank)]++
			ids = append(ids, p.ID)
		}
	}
	if m.counted++; len(m.named) < m.r.Conflicts {
		m.named = append(m.named, Conflict{m.d.name(first.row), ids, !ok})
	}
	return best.row, ok
}
