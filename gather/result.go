package gather

import (
	"errors"
	"slices"
)

// Result is what is known of a merge: at the end what the client may be told, before it the state so far.
type Result struct {
	Done      bool        // no more rows will come
	Whole     bool        // done, and no part is missing, cut or in conflict as far as the result goes
	Left      bool        // the client left
	Rows      int64       // that went out
	Bytes     int64       // of them
	Truncated string      // the rule that ended it: "rows", "top", "bytes" or ""
	Parts     []PartState // the parts that are missing, cut or in conflict, by ID
	Conflicts int64       // keys whose rows differ
	Named     []Conflict  // the first of them
	Token     string      // to go on after the last row; "" where the parts were read to their ends
	Err       error       // *Incomplete, *GroupOver, *RowOver, *RecordBad
}

// PartState is what is wrong with a part.
type PartState struct {
	ID        string
	Shard     int
	Missing   bool  // nothing of it came
	Cut       bool  // it ended before its end
	Conflict  bool  // with itself (Why), or with other parts (Conflicts)
	Conflicts int64 // keys
	Why       error
}

// Conflict is a key whose rows differ.
type Conflict struct {
	Key      string   // the duplicates' keys and their values
	Parts    []string // that have rows of it
	Withheld bool     // no row went out: too few parts agree
}

// Demand is what a part may send.
type Demand struct {
	Part  string
	Stop  bool // the part is not needed any more: end it
	Bytes int  // bytes it may send now; more is a *Full
	Rows  int  // with top: rows from its start it is asked for; 0 is all
	Copy  bool // no copy of it is under way: send one
	First bool // the merge waits for this part
}

// need is how many parts must have been read as far as a row.
func (m *Merge) need() int {
	switch m.r.Complete.Need {
	case "all":
		return len(m.leaves)
	case "at-least":
		return m.r.Complete.Parts
	}
	return 0
}

// Next gives the next row that no part can come before any more. The row is valid until the next call. ok is false
// where the merge waits for parts (see Want) or has ended (see Result).
func (m *Merge) Next() (row []byte, ok bool) {
	if m.need() > len(m.leaves) {
		m.incomplete()
	}
	for !m.done {
		switch m.step() {
		case evStall:
			return nil, false
		case evEnd:
			m.done = true
		case evLoss:
			for _, l := range m.losses(m.pending) {
				m.lose(l)
			}
			if len(m.lost) > len(m.leaves)-m.need() {
				m.short = true
			}
			if m.short && !m.g.open {
				m.incomplete()
			}
		case evRow:
			row = m.row(m.pending)
			h := &m.heads[m.pending]
			if m.count(row, h.key, m.leaves[h.rank].ID, h.run) {
				return row, true
			}
		case evGroup:
			if m.short {
				m.incomplete()
			} else if row, ok = m.decide(); !ok {
				m.pass(m.g.key, "", 0)
			} else if m.count(row, m.g.key, "", 0) {
				return row, true
			}
		}
	}
	return nil, false
}

func (m *Merge) lose(l loss) {
	if m.lost[l.rank] = l; l.torn && m.torn[l.rank] == nil {
		m.torn[l.rank] = l.err
	}
}

func (m *Merge) incomplete() {
	m.done, m.err = true, &Incomplete{len(m.leaves), len(m.lost), m.need()}
}

// losses are the parts that the head of a stream says are lost.
func (m *Merge) losses(w int) []loss {
	s, h := m.streams[w], &m.heads[w]
	if h.loss.rank >= 0 {
		return []loss{h.loss}
	}
	var all []loss
	for i, rank := range s.leaves {
		if s.left[i] {
			continue
		}
		s.left[i] = true
		l := loss{rank, s.records > 0, s.torn, s.why}
		if l.err == nil {
			l.err = &Never{m.leaves[rank].ID}
		}
		all = append(all, l)
	}
	return all
}

// count says whether a row goes out: after the offset and before the limits.
func (m *Merge) count(row, key []byte, part string, run uint32) bool {
	t := &m.r.Truncate
	if m.offset > 0 {
		m.offset--
		m.pass(key, part, run)
		return false
	}
	if t.Bytes > 0 && m.bytes+int64(len(row)) > t.Bytes {
		if m.done = true; m.rows == 0 {
			m.err = &RowOver{int64(len(row)), t.Bytes}
		} else {
			m.cut = "bytes"
		}
		return false
	}
	m.pass(key, part, run)
	m.rows++
	m.bytes += int64(len(row))
	if limit := m.r.limit(); limit > 0 && m.rows == int64(limit) {
		if m.done, m.cut = true, "rows"; t.Top > 0 {
			m.cut = "top"
		}
	}
	return true
}

func (m *Merge) pass(key []byte, part string, run uint32) {
	m.last.key = append(m.last.key[:0], key...)
	m.last.part, m.last.run, m.last.set = part, run, true
	m.consumed++
}

// Leave says that the client has left: no more rows, and Want ends all parts.
func (m *Merge) Leave() {
	if !m.done {
		m.done, m.left = true, true
	}
}

// Want says what each part may send: back-pressure, copies that are needed, and after the end which parts to stop.
// The slice is valid until the next call.
func (m *Merge) Want() []Demand {
	m.demands = m.demands[:0]
	for i, s := range m.streams {
		d := Demand{Part: s.part.ID, Bytes: s.room(), First: m.winner() == i && m.heads[i].kind == kindOpen, Copy: s.live() == 0}
		switch {
		case !s.open():
			continue
		case m.done:
			d = Demand{Part: s.part.ID, Stop: true}
		case s.limit && d.Copy && !d.First: // what it sent is enough so far
			continue
		case m.r.Truncate.Top > 0:
			d.Rows = int(m.given) + m.r.Truncate.Offset + m.r.Truncate.Top
			if m.r.grouped() {
				d.Rows++ // the row after a group ends it
			}
			if s.limit {
				d.Rows = max(d.Rows, 2*int(s.records))
			}
		}
		m.demands = append(m.demands, d)
	}
	return m.demands
}

// Held is what the merge holds now: rows decoded, and bytes that wait or are in a group.
func (m *Merge) Held() (rows, bytes int) {
	rows = 0
	for i, s := range m.streams {
		if m.heads[i].kind == kindRow {
			rows++
		}
		bytes += len(s.buf) - s.off
	}
	if m.g.open {
		rows, bytes = rows+m.g.n, bytes+m.g.bytes
	}
	return rows, bytes
}

// Result is the state of the merge; after the end it does not change.
func (m *Merge) Result() Result {
	r := Result{Done: m.done, Left: m.left, Rows: m.rows, Bytes: m.bytes, Truncated: m.cut, Conflicts: m.counted,
		Named: slices.Clone(m.named), Err: m.err}
	for rank := range m.leaves {
		l, lost := m.lost[int32(rank)]
		why, torn := m.torn[int32(rank)]
		n := m.rowsIn[int32(rank)]
		if lost = lost && m.fault != faultUnnamed; !lost && !torn && n == 0 {
			continue
		}
		p := PartState{ID: m.leaves[rank].ID, Shard: m.leaves[rank].Shard, Missing: lost && !l.cut, Cut: lost && l.cut,
			Conflict: torn || n > 0, Conflicts: n, Why: why}
		if p.Why == nil {
			p.Why = l.err
		}
		r.Parts = append(r.Parts, p)
	}
	r.Whole = r.Done && !r.Left && r.Err == nil && len(r.Parts) == 0 && r.Conflicts == 0
	if r.Truncated != "" || r.Left || !r.Done || errors.As(r.Err, new(*Incomplete)) {
		r.Token = m.token()
	}
	return r
}
