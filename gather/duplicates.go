package gather

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"math/bits"
)

// duplicateGroup is the rows received so far that have the same duplicates' key. Its content depends on the rows and not on
// their order of arrival, so merging two halves of a group gives the whole.
type duplicateGroup struct {
	open       bool
	key        []byte
	candidates []candidate
	count      int
	bytes      int

	maxRows, maxBytes          int
	keyScratch, versionScratch []byte
	partSet                    []uint64
}

// candidate is a row that may be kept.
type candidate struct {
	row, key, version []byte // key: sort key by the whole order
	rank              int32  // the first part with the row, and its position among that part's rows of the key
	occurrence        uint32
	parts             []uint64 // bit set, by rank, of the parts with this row (agree), or with any row that it was chosen from
	conflict          bool     // the rows differed
}

func (g *duplicateGroup) begin(key []byte) {
	g.open, g.count, g.bytes = true, 0, 0
	g.key = append(g.key[:0], key...)
}

// addToGroup adds a stream's head to the group.
func (m *Merge) addToGroup(index int) {
	s, h, g := m.streams[index], &m.heads[index], &m.group
	words := (len(m.leaves) + 63) / 64
	if g.partSet == nil {
		g.partSet = make([]uint64, words)
	}
	row := m.row(index)
	if s.part.Of == nil {
		clear(g.partSet)
		g.partSet[s.rank/64] |= 1 << (s.rank % 64)
		m.addCandidate(s, candidate{row: row, key: s.key, version: s.version, rank: s.rank, occurrence: h.occurrence, parts: g.partSet})
		return
	}
	for len(row) > 0 && m.err == nil {
		c, rest, ok := m.parseCandidate(s, row)
		if row = rest; !ok {
			m.err = &RecordBad{s.part.ID, s.records - 1, "a group that cannot be read"}
			return
		}
		m.addCandidate(s, c)
	}
}

// parseCandidate reads one candidate from a group of a partial result.
func (m *Merge) parseCandidate(s *stream, b []byte) (c candidate, rest []byte, ok bool) {
	g, valid := &m.group, true
	num := func() int {
		n, w := binary.Uvarint(b)
		if w <= 0 || n > 1<<40 {
			valid = false
			return 0
		}
		b = b[w:]
		return int(n)
	}
	leaf := func() int32 {
		if i := num(); valid && i < len(s.leaves) {
			return s.leaves[i]
		}
		valid = false
		return 0
	}
	c.conflict = num() == 1
	c.rank, c.occurrence = leaf(), uint32(num())
	clear(g.partSet)
	for n := num(); n > 0 && valid; n-- {
		l := leaf()
		g.partSet[l/64] |= 1 << (l % 64)
	}
	c.parts = g.partSet
	n := num()
	if !valid || n > len(b) {
		return c, nil, false
	}
	c.row = b[:n]
	var group int
	var why string
	g.keyScratch, group, why = m.decoder.key(g.keyScratch[:0], c.row)
	c.key = g.keyScratch
	return c, b[n:], why == "" && bytes.Equal(c.key[:group], g.key)
}

// addCandidate compares a row with the candidates of the group and keeps it if the rules choose it.
func (m *Merge) addCandidate(s *stream, c candidate) {
	g := &m.group
	var why string
	if m.rules.Duplicates.Version != nil && s.part.Of != nil {
		if g.versionScratch, why = m.decoder.version(g.versionScratch[:0], c.row); why != "" {
			m.err = &RecordBad{s.part.ID, s.records - 1, why}
			return
		}
		c.version = g.versionScratch
	}
	keep := m.rules.Duplicates.Keep
	if keep == "agree" {
		for i := range g.count {
			if kept := &g.candidates[i]; m.sameRow(kept.row, c.row) {
				kept.addParts(&c)
				if c.before(kept) {
					kept.key, kept.rank, kept.occurrence = append(kept.key[:0], c.key...), c.rank, c.occurrence
				}
				return
			}
		}
		g.store(g.count, &c)
		if over := g.count > g.maxRows || g.bytes > g.maxBytes; over && m.fault == faultDropGroupRow { // injected fault: the row is left out without an error
			g.count--
			g.bytes -= g.candidates[g.count].size()
		} else if over {
			m.err = &GroupOver{m.decoder.describeKey(c.row), g.count, g.bytes, g.maxRows, g.maxBytes}
		}
		return
	}
	if g.count == 0 {
		g.store(0, &c)
		return
	}
	kept := &g.candidates[0]
	newer := bytes.Compare(c.version, kept.version) // 0 unless the rules keep the highest
	switch {
	case newer < 0:
		return
	case newer > 0:
		g.store(0, &c)
		return
	}
	c.conflict = c.conflict || kept.conflict || !m.sameRow(c.row, kept.row)
	kept.addParts(&c)
	if kept.conflict = c.conflict; c.before(kept) != (keep == "last") {
		copy(g.partSet, kept.parts)
		c.parts = g.partSet
		g.store(0, &c)
	}
}

// sameRow reports whether two rows are equal. It compares all bytes, because different rows can have the same hash or length.
func (m *Merge) sameRow(a, b []byte) bool {
	return bytes.Equal(a, b) || m.fault == faultCompareLengths && len(a) == len(b)
}

func (c *candidate) addParts(o *candidate) {
	for i, w := range o.parts {
		c.parts[i] |= w
	}
}

func (c *candidate) before(o *candidate) bool {
	return cmp.Or(bytes.Compare(c.key, o.key), cmp.Compare(c.rank, o.rank), cmp.Compare(c.occurrence, o.occurrence)) < 0
}

// store copies a row into candidate i.
func (g *duplicateGroup) store(i int, c *candidate) {
	if i == len(g.candidates) {
		g.candidates = append(g.candidates, candidate{})
	}
	o := &g.candidates[i]
	if i == g.count {
		g.count++
	} else {
		g.bytes -= o.size()
	}
	o.row, o.key, o.version = append(o.row[:0], c.row...), append(o.key[:0], c.key...), append(o.version[:0], c.version...)
	o.parts = append(o.parts[:0], c.parts...)
	o.rank, o.occurrence, o.conflict = c.rank, c.occurrence, c.conflict
	g.bytes += o.size()
}

func (c *candidate) size() int { return len(c.row) + len(c.key) + len(c.version) + 8*len(c.parts) }

func (c *candidate) partCount() int {
	n := 0
	for _, w := range c.parts {
		n += bits.OnesCount64(w)
	}
	return n
}

// chooseRow returns the group's row; agreed is false if too few parts agree.
func (m *Merge) chooseRow() (row []byte, agreed bool) {
	g := &m.group
	best, first := &g.candidates[0], &g.candidates[0]
	for i := 1; i < g.count; i++ { // agree is the only rule with several candidates
		c := &g.candidates[i]
		if d := cmp.Compare(c.partCount(), best.partCount()); d > 0 || d == 0 && c.before(best) {
			best = c
		}
		if c.before(first) {
			first = c
		}
	}
	agreed = best.partCount() >= m.rules.Duplicates.Parts
	if agreed && g.count == 1 && !best.conflict {
		return best.row, true
	}
	clear(g.partSet)
	for i := range g.count {
		for j, w := range g.candidates[i].parts {
			g.partSet[j] |= w
		}
	}
	var ids []string
	for rank, p := range m.leaves {
		if g.partSet[rank/64]>>(rank%64)&1 == 1 && m.fault != faultHideConflicts {
			m.conflictKeys[int32(rank)]++
			ids = append(ids, p.ID)
		}
	}
	if m.conflictCount++; len(m.conflicts) < m.rules.Conflicts {
		m.conflicts = append(m.conflicts, Conflict{m.decoder.describeKey(first.row), ids, !agreed})
	}
	return best.row, agreed
}
