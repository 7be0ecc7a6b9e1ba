package gather

import (
	"errors"
	"slices"
)

// Result is the state of a merge; at its end, the result for the client.
type Result struct {
	Done      bool        // no more rows will come
	Whole     bool        // done, and no part is missing, truncated or in conflict as far as the result goes
	Left      bool        // the client disconnected
	Rows      int64       // rows returned
	Bytes     int64       // their bytes
	Truncated string      // the rule that truncated the result: "rows", "top", "bytes" or ""
	Parts     []PartState // the parts that are missing, truncated or in conflict, by ID
	Conflicts int64       // keys whose rows differ
	Named     []Conflict  // the first of them
	Token     string      // continues after the last row; "" if the parts were read to their ends
	Err       error       // *Incomplete, *GroupOver, *RowOver, *RecordBad
}

// PartState is the state of a part that is missing, truncated or in conflict.
type PartState struct {
	ID        string
	Shard     int
	Missing   bool  // no row arrived
	Cut       bool  // its rows are truncated
	Conflict  bool  // its own data is in conflict (Why), or its rows differ from other parts' (Conflicts)
	Conflicts int64 // keys whose rows differ
	Why       error
}

// Conflict is a key whose rows differ.
type Conflict struct {
	Key      string   // the keys by which duplicates are equal, with their values
	Parts    []string // parts with rows of the key
	Withheld bool     // no row was returned, because too few parts agree
}

// Demand is what a part may send.
type Demand struct {
	Part  string
	Stop  bool // the part is no longer needed: end it
	Bytes int  // bytes it may send now; more is a *Full
	Rows  int  // with top: row limit, from the part's start; 0: all rows
	Copy  bool // no copy of it is in progress: start one
	First bool // the merge waits for this part
}

// neededParts returns how many parts must have been read as far as a row.
func (m *Merge) neededParts() int {
	switch m.rules.Complete.Need {
	case "all":
		return len(m.leaves)
	case "at-least":
		return m.rules.Complete.Parts
	}
	return 0
}

// Next returns the next row, once no part can precede it. The row is valid until the next call. ok is false
// if the merge waits for parts (see Want) or has ended (see Result).
func (m *Merge) Next() (row []byte, ok bool) {
	if m.neededParts() > len(m.leaves) {
		m.endIncomplete()
	}
	for !m.done {
		switch m.step() {
		case eventStalled:
			return nil, false
		case eventEnd:
			m.done = true
		case eventLoss:
			for _, l := range m.headLosses(m.pending) {
				m.recordLoss(l)
			}
			if len(m.lost) > len(m.leaves)-m.neededParts() {
				m.tooManyLost = true
			}
			if m.tooManyLost && !m.group.open {
				m.endIncomplete()
			}
		case eventRow:
			row = m.row(m.pending)
			h := &m.heads[m.pending]
			if m.countRow(row, h.key, m.leaves[h.rank].ID, h.occurrence) {
				return row, true
			}
		case eventGroup:
			if m.tooManyLost {
				m.endIncomplete()
			} else if row, ok = m.chooseRow(); !ok {
				m.advancePosition(m.group.key, "", 0)
			} else if m.countRow(row, m.group.key, "", 0) {
				return row, true
			}
		}
	}
	return nil, false
}

func (m *Merge) recordLoss(l loss) {
	if m.lost[l.rank] = l; l.unsorted && m.selfConflicts[l.rank] == nil {
		m.selfConflicts[l.rank] = l.err
	}
}

func (m *Merge) endIncomplete() {
	m.done, m.err = true, &Incomplete{len(m.leaves), len(m.lost), m.neededParts()}
}

// headLosses returns the losses at the head of a stream.
func (m *Merge) headLosses(index int) []loss {
	s, h := m.streams[index], &m.heads[index]
	if h.loss.rank >= 0 {
		return []loss{h.loss}
	}
	var all []loss
	for i, rank := range s.leaves {
		if s.lostLeaves[i] {
			continue
		}
		s.lostLeaves[i] = true
		l := loss{rank, s.records > 0, s.unsorted, s.why}
		if l.err == nil {
			l.err = &Never{m.leaves[rank].ID}
		}
		all = append(all, l)
	}
	return all
}

// countRow reports whether a row is returned: after the offset and within the limits.
func (m *Merge) countRow(row, key []byte, part string, occurrence uint32) bool {
	limits := &m.rules.Truncate
	if m.offset > 0 {
		m.offset--
		m.advancePosition(key, part, occurrence)
		return false
	}
	if limits.Bytes > 0 && m.bytes+int64(len(row)) > limits.Bytes {
		if m.done = true; m.rows == 0 {
			m.err = &RowOver{int64(len(row)), limits.Bytes}
		} else {
			m.truncatedBy = "bytes"
		}
		return false
	}
	m.advancePosition(key, part, occurrence)
	m.rows++
	m.bytes += int64(len(row))
	if limit := m.rules.limit(); limit > 0 && m.rows == int64(limit) {
		if m.done, m.truncatedBy = true, "rows"; limits.Top > 0 {
			m.truncatedBy = "top"
		}
	}
	return true
}

func (m *Merge) advancePosition(key []byte, part string, occurrence uint32) {
	m.lastCounted.key = append(m.lastCounted.key[:0], key...)
	m.lastCounted.part, m.lastCounted.occurrence, m.lastCounted.set = part, occurrence, true
	m.consumed++
}

// Leave records that the client disconnected: there are no more rows, and Want stops all parts.
func (m *Merge) Leave() {
	if !m.done {
		m.done, m.clientDisconnected = true, true
	}
}

// Want returns what each part may send (back-pressure), which copies are needed, and after the end which parts to stop.
// The slice is valid until the next call.
func (m *Merge) Want() []Demand {
	m.demands = m.demands[:0]
	for i, s := range m.streams {
		d := Demand{Part: s.part.ID, Bytes: s.room(), First: m.winner() == i && m.heads[i].kind == headPending, Copy: s.liveCopies() == 0}
		switch {
		case !s.isOpen():
			continue
		case m.done:
			d = Demand{Part: s.part.ID, Stop: true}
		case s.limited && d.Copy && !d.First: // what the part has sent is enough so far
			continue
		case m.rules.Truncate.Top > 0:
			d.Rows = int(m.previousRows) + m.rules.Truncate.Offset + m.rules.Truncate.Top
			if m.rules.grouped() {
				d.Rows++ // a group ends only with the row after it
			}
			if s.limited {
				d.Rows = max(d.Rows, 2*int(s.records))
			}
		}
		m.demands = append(m.demands, d)
	}
	return m.demands
}

// Held returns what the merge buffers now: decoded rows, and the bytes that wait or are in a group.
func (m *Merge) Held() (rows, bytes int) {
	rows = 0
	for i, s := range m.streams {
		if m.heads[i].kind == headRow {
			rows++
		}
		bytes += len(s.buf) - s.start
	}
	if m.group.open {
		rows, bytes = rows+m.group.count, bytes+m.group.bytes
	}
	return rows, bytes
}

// Result returns the state of the merge; after its end the state does not change.
func (m *Merge) Result() Result {
	r := Result{Done: m.done, Left: m.clientDisconnected, Rows: m.rows, Bytes: m.bytes, Truncated: m.truncatedBy, Conflicts: m.conflictCount,
		Named: slices.Clone(m.conflicts), Err: m.err}
	for rank := range m.leaves {
		l, lost := m.lost[int32(rank)]
		why, inConflict := m.selfConflicts[int32(rank)]
		conflicts := m.conflictKeys[int32(rank)]
		if lost = lost && m.fault != faultHideLostParts; !lost && !inConflict && conflicts == 0 {
			continue
		}
		p := PartState{ID: m.leaves[rank].ID, Shard: m.leaves[rank].Shard, Missing: lost && !l.truncated, Cut: lost && l.truncated,
			Conflict: inConflict || conflicts > 0, Conflicts: conflicts, Why: why}
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
