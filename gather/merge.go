package gather

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"slices"
)

// Part is one part of a read: a shard's rows, or the partial result of several parts.
type Part struct {
	ID    string
	Shard int
	Of    []string // of a partial result: the IDs of the parts in it
}

type headKind uint8

const (
	headPending headKind = iota // nothing after its key has arrived yet
	headLost                    // nothing more will arrive, and the part is incomplete
	headRow
	headEnd
)

// head is the next element of a stream in the order.
type head struct {
	prefix               uint64 // of key, so that most comparisons need no more
	key                  []byte
	rank                 int32
	occurrence           uint32 // index among the part's rows with this key
	kind                 headKind
	rowOffset, rowLength int // position of the row in its record
	loss                 loss
}

// Merge is the merge of one read. It must not be used by several goroutines at once.
type Merge struct {
	rules   *Rules
	decoder *decoder
	fault   fault
	leaves  []Part // all parts, by ID; their index is their rank
	streams []*stream
	byID    map[string]int
	heads   []head
	tree    []int32
	pending int // the stream whose head was returned; -1: none

	group       duplicateGroup
	resumeAfter position // rows up to here were on earlier pages
	lastCounted position // the last row that counted
	offset      int      // rows still to be skipped

	previousRows       int64 // consumed on earlier pages
	consumed           int64 // rows and groups of this page that were returned, skipped by the offset or withheld
	rows               int64
	bytes              int64
	tooManyLost        bool // too many parts are lost; the merge ends with the group
	done               bool
	clientDisconnected bool
	truncatedBy        string
	err                error
	tokenKey           []byte // key of the tokens' MAC
	lost               map[int32]loss
	selfConflicts      map[int32]error // parts whose own data is in conflict
	conflictKeys       map[int32]int64 // for each part in conflict with others, the number of keys
	conflicts          []Conflict
	conflictCount      int64
	demands            []Demand

	partial partialState
}

type position struct {
	key        []byte
	part       string
	occurrence uint32
	set        bool
}

type loss struct {
	rank      int32 // of the lost part; -1: all parts of the stream that are not lost yet
	truncated bool  // some rows arrived
	unsorted  bool  // it was not sorted
	err       error
}

type fault uint8 // a defect that a test injects to verify that its checks find it

const (
	faultNone fault = iota
	faultIgnorePendingParts
	faultCountRepeats
	faultOnlyFirstPart
	faultLimitedIsComplete
	faultComparePrefixOnly
	faultDroppedIsComplete
	faultHideLostParts
	faultIgnoreQuota
	faultIgnoreDivergence
	faultAcceptUnsorted
	faultTiesByArrival
	faultCompareLengths
	faultHideConflicts
	faultDropGroupRow
)

// Option is an option of New.
type Option func(*options)

type options struct {
	key   []byte
	token string
}

// TokenKey makes the checksum of tokens a MAC (HMAC-SHA-256) with this key, so that clients cannot forge tokens. Without it
// the checksum only detects damage.
func TokenKey(key []byte) Option { return func(o *options) { o.key = key } }

// From continues after the page whose Result had this token. The parts are read from their start again.
func From(token string) Option { return func(o *options) { o.token = token } }

// New starts a merge of parts. Its errors are *PartsBad, *TokenBad and *TokenRules.
func New(r *Rules, parts []Part, opts ...Option) (*Merge, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	m := &Merge{rules: r, decoder: newDecoder(r), byID: map[string]int{}, pending: -1, offset: r.Truncate.Offset, tokenKey: o.key,
		lost: map[int32]loss{}, selfConflicts: map[int32]error{}, conflictKeys: map[int32]int64{}}
	share := r.Memory.Bytes / (len(parts) + 1)
	switch {
	case len(parts) == 0:
		return nil, &PartsBad{"", "no parts"}
	case share < 2*r.Records.MaxBytes:
		return nil, &PartsBad{parts[0].ID, fmt.Sprintf("%d parts have %d bytes of memory each, two records are %d", len(parts), share, 2*r.Records.MaxBytes)}
	case r.Memory.Rows < len(parts)+2:
		return nil, &PartsBad{parts[0].ID, fmt.Sprintf("%d parts, memory.rows is %d", len(parts), r.Memory.Rows)}
	}
	for i, p := range parts {
		s := &stream{part: p, quota: share}
		s.digest.Reset()
		if _, twice := m.byID[p.ID]; twice || p.ID == "" {
			return nil, &PartsBad{p.ID, "is given twice, or has no name"}
		}
		m.byID[p.ID] = i
		m.streams = append(m.streams, s)
		if p.Of == nil {
			m.leaves = append(m.leaves, p)
		}
		for _, id := range p.Of {
			m.leaves = append(m.leaves, Part{ID: id, Shard: p.Shard})
		}
	}
	slices.SortFunc(m.leaves, func(a, b Part) int { return cmp.Compare(a.ID, b.ID) })
	for i := 1; i < len(m.leaves); i++ {
		if m.leaves[i].ID == m.leaves[i-1].ID {
			return nil, &PartsBad{m.leaves[i].ID, "is in two parts"}
		}
	}
	for _, s := range m.streams {
		of := slices.Clone(s.part.Of)
		if slices.Sort(of); of == nil {
			of = []string{s.part.ID}
		}
		for _, id := range of {
			s.leaves = append(s.leaves, int32(m.rankOf(id)))
		}
		s.lostLeaves = make([]bool, len(of))
		s.rank = s.leaves[0]
	}
	m.group.maxBytes, m.group.maxRows = share, r.Memory.Rows-len(parts)
	if o.token != "" {
		if err := m.resume(o.token); err != nil {
			return nil, err
		}
	}
	m.heads = make([]head, len(parts))
	for i, s := range m.streams {
		m.heads[i].rank = s.rank
	}
	m.buildTree()
	return m, nil
}

func (m *Merge) rankOf(id string) int {
	i, ok := slices.BinarySearchFunc(m.leaves, id, func(p Part, id string) int { return cmp.Compare(p.ID, id) })
	if !ok {
		return -1
	}
	return i
}

func (m *Merge) streamIndex(part string) (int, error) {
	i, ok := m.byID[part]
	if !ok {
		return 0, &PartsBad{part, "is no part of this merge"}
	}
	return i, nil
}

// Add adds the next bytes of a copy of a part, in pieces of any size. A copy begins at the part's start. Bytes that
// another copy has already brought are compared and not added again. Numbers of copies begin at 0 or 1 and grow. The
// errors are *Full (nothing was accepted), *Diverged (the copy is ignored from then on), *CopiesOver and *PartsBad.
// After the end of the merge or a Drop of the part Add ignores the data; for a complete part it only compares the data.
func (m *Merge) Add(part string, copy int, data []byte) error {
	i, err := m.streamIndex(part)
	if err != nil {
		return err
	}
	s := m.streams[i]
	if m.done || s.dropped {
		return nil
	}
	c, err := s.copyOf(copy, m.rules.Copies)
	if err != nil || c.diverged || c.ended {
		return err
	}
	if err = s.add(c, data, m.fault); err != nil {
		return m.recordDivergence(s, err)
	}
	m.refresh(i)
	return nil
}

// End records that a copy of a part has ended: complete (nil), or truncated (the reason; *Limited if it stopped at its
// row limit). The part of a truncated copy stays open until Drop, as another copy may bring the rest.
func (m *Merge) End(part string, copy int, err error) error {
	i, copyErr := m.streamIndex(part)
	if copyErr != nil {
		return copyErr
	}
	s := m.streams[i]
	if m.done || s.dropped {
		return nil
	}
	c, copyErr := s.copyOf(copy, m.rules.Copies)
	if copyErr != nil {
		return copyErr
	}
	complete := err == nil || m.fault == faultLimitedIsComplete && errors.As(err, new(*Limited))
	if err != nil {
		s.why, s.limited = err, errors.As(err, new(*Limited))
	}
	if copyErr = s.endCopy(c, complete); copyErr != nil {
		return m.recordDivergence(s, copyErr)
	}
	m.refresh(i)
	return nil
}

// Drop ends a part for which no copy will bring more. It has no effect on a complete part.
func (m *Merge) Drop(part string, why error) error {
	i, err := m.streamIndex(part)
	if err != nil {
		return err
	}
	s := m.streams[i]
	if m.done || !s.isOpen() {
		return nil
	}
	if s.dropped = true; why != nil {
		s.why = why
	}
	if m.fault == faultDroppedIsComplete { // injected fault: the truncated part is treated as complete
		s.dropped, s.complete, s.endSeen = false, true, true
	}
	m.refresh(i)
	return nil
}

func (m *Merge) recordDivergence(s *stream, err error) error {
	var d *Diverged
	if errors.As(err, &d) && s.part.Of == nil {
		m.recordConflict(s.rank, d)
	} else if errors.As(err, &d) {
		for _, l := range s.leaves {
			m.recordConflict(l, d)
		}
	}
	return err
}

// recordConflict records that a part is in conflict with itself. The first reason is kept.
func (m *Merge) recordConflict(rank int32, why error) {
	if _, known := m.selfConflicts[rank]; !known {
		m.selfConflicts[rank] = why
		m.partial.addConflict(rank, why)
	}
}

// refresh looks for the next record of a stream that had none.
func (m *Merge) refresh(i int) {
	if m.heads[i].kind == headPending {
		m.fillHead(i)
		m.updateTree(i)
	}
}

// fillHead sets a stream's head to its next record. Without one the head becomes the end or the loss of the stream, or pending.
func (m *Merge) fillHead(i int) {
	s, h := m.streams[i], &m.heads[i]
	for {
		rec, ok, why := s.nextRecord(m.rules)
		if why == "" && ok {
			if s.part.Of != nil {
				if ok, why = m.readFrame(s, h, rec); why == "" && !ok {
					continue
				}
			} else {
				why = m.readRow(s, h, rec)
			}
			if why == "" {
				return
			}
		}
		if why == "" && s.part.Of != nil && s.complete && !s.endSeen {
			why = "a partial result without its end"
		}
		if why != "" {
			s.complete, s.dropped = false, true
			if why == "unsorted" {
				s.why, s.unsorted = &Unsorted{s.part.ID, s.records}, true
			} else {
				s.why = &RecordBad{s.part.ID, s.records, why}
			}
		}
		break
	}
	h.rank, h.occurrence = s.rank, s.occurrence
	if s.records > 0 {
		h.occurrence++
	}
	m.setKey(h, s.key[:m.headKeyLen(s)])
	switch {
	case s.complete:
		h.kind, h.prefix = headEnd, 1<<64-1
	case s.dropped:
		h.kind = headLost
		h.loss = loss{rank: -1, err: s.why}
	case m.fault == faultIgnorePendingParts: // injected fault: an open part does not hold back rows
		h.kind, h.prefix = headPending, 1<<64-1
	default:
		h.kind = headPending
	}
}

func (m *Merge) headKeyLen(s *stream) int {
	if m.rules.grouped() {
		return s.groupKeyLen
	}
	return len(s.key)
}

func (m *Merge) setKey(h *head, key []byte) {
	h.key = key
	if len(key) >= 8 {
		h.prefix = binary.BigEndian.Uint64(key)
		return
	}
	var b [8]byte
	copy(b[:], key)
	h.prefix = binary.BigEndian.Uint64(b[:])
}

// readRow reads a row of a part and checks that it is not before the previous one.
func (m *Merge) readRow(s *stream, h *head, rec []byte) (why string) {
	var group int
	if s.nextKey, group, why = m.decoder.key(s.nextKey[:0], rec); why != "" {
		return why
	}
	if m.rules.Duplicates.Version != nil {
		if s.version, why = m.decoder.version(s.version[:0], rec); why != "" {
			return why
		}
	}
	c := bytes.Compare(s.nextKey, s.key)
	if c < 0 && m.fault != faultAcceptUnsorted {
		return "unsorted"
	}
	switch {
	case c == 0 && s.occurrence == math.MaxUint32-1:
		return "2^32 rows of one key"
	case c == 0:
		s.occurrence++
	default:
		s.occurrence = 0
	}
	s.key, s.nextKey, s.groupKeyLen = s.nextKey, s.key, group
	s.records++
	h.kind, h.rank, h.occurrence = headRow, s.rank, s.occurrence
	h.setRow(s, rec)
	m.setKey(h, s.key[:m.headKeyLen(s)])
	return ""
}

type event uint8

const (
	eventStalled event = iota
	eventEnd
	eventLoss  // the head of stream m.pending is a loss
	eventRow   // the head of stream m.pending is the next row
	eventGroup // m.group is the next group
)

// step returns the next event in the order, or eventStalled while a part may still precede it.
func (m *Merge) step() event {
	for {
		if m.pending >= 0 {
			m.advance(m.pending)
			m.pending = -1
		}
		index := m.winner()
		h := &m.heads[index]
		if m.group.open && (h.kind == headEnd || h.prefix == 1<<64-1 || !bytes.Equal(h.key, m.group.key)) {
			if m.group.open = false; m.group.count == 0 && !m.tooManyLost {
				continue
			}
			return eventGroup
		}
		switch h.kind {
		case headPending:
			return eventStalled
		case headEnd:
			return eventEnd
		case headLost:
			if m.rules.grouped() && !m.group.open && len(h.key) > 0 { // opens the group, so that all parts lost in it are named
				m.group.begin(h.key)
			}
			m.pending = index
			return eventLoss
		}
		switch {
		case m.alreadySent(h):
		case !m.rules.grouped():
			m.pending = index
			return eventRow
		default:
			if !m.group.open {
				m.group.begin(h.key)
			}
			if m.addToGroup(index); m.err != nil {
				m.group.open = false
				return eventEnd
			}
		}
		m.pending = index
	}
}

// alreadySent reports whether the row was on an earlier page.
func (m *Merge) alreadySent(h *head) bool {
	if !m.resumeAfter.set {
		return false
	}
	c := bytes.Compare(h.key, m.resumeAfter.key)
	if c != 0 || m.rules.grouped() {
		return c <= 0
	}
	if c = cmp.Compare(m.leaves[h.rank].ID, m.resumeAfter.part); c != 0 {
		return c < 0
	}
	return h.occurrence <= m.resumeAfter.occurrence
}

func (m *Merge) advance(i int) {
	if h := &m.heads[i]; h.kind == headLost && h.loss.rank < 0 { // the loss of the stream itself
		h.kind, h.prefix, h.key = headEnd, 1<<64-1, nil
	} else {
		m.fillHead(i)
	}
	m.updateTree(i)
}
