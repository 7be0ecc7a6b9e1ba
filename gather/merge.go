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

// Part is one part of a read: a shard's rows, or the partial result of several.
type Part struct {
	ID    string
	Shard int
	Of    []string // of a partial result: the IDs of the parts in it
}

type kind uint8

const (
	kindOpen kind = iota // nothing has come after its key yet
	kindLoss             // and nothing will, though the part is not whole
	kindRow
	kindWhole
)

// head is what a stream has next in the order.
type head struct {
	prefix uint64 // of key, so that most comparisons need no more
	key    []byte
	rank   int32
	run    uint32 // which of the part's rows with this key
	kind   kind
	at, n  int // the row in its record
	loss   loss
}

// Merge is one read's merge. It is not for use by several goroutines at once.
type Merge struct {
	r       *Rules
	d       *decoder
	fault   fault
	leaves  []Part // all parts, by ID; their index is their rank
	streams []*stream
	byID    map[string]int
	heads   []head
	tree    []int32
	pending int // the stream whose head went out

	g      group
	from   position // rows up to here went out before
	last   position // of the last row that counted
	offset int      // rows still to be passed over

	given    int64 // rows of earlier pages
	consumed int64
	rows     int64
	bytes    int64
	short    bool // too many parts are lost; it ends with the group
	done     bool
	left     bool
	cut      string
	err      error
	tokens   []byte // the MAC's key
	lost     map[int32]loss
	torn     map[int32]error // parts in conflict with themselves
	rowsIn   map[int32]int64 // parts in conflict with others: keys
	named    []Conflict
	counted  int64
	demands  []Demand

	partial partialState
}

type position struct {
	key  []byte
	part string
	run  uint32
	set  bool
}

type loss struct {
	rank int32
	cut  bool // some of it came
	torn bool // it was not in order
	err  error
}

type fault uint8 // what a test takes away, to see that its loss is found

const (
	faultNone fault = iota
	faultEager
	faultTwice
	faultCounts
	faultLimited
	faultHash
	faultWhole
	faultUnnamed
	faultMemory
	faultDiverge
	faultUnsorted
	faultRank
	faultContent
	faultClash
	faultGroup
)

// Option changes a merge.
type Option func(*options)

type options struct {
	key   []byte
	token string
}

// TokenKey makes the tokens' check a MAC (HMAC-SHA-256) with this key, so that clients cannot make tokens of their own.
// Without it the check finds damage only.
func TokenKey(key []byte) Option { return func(o *options) { o.key = key } }

// From goes on after the page whose Result had this token. The parts are read from their start again.
func From(token string) Option { return func(o *options) { o.token = token } }

// New begins a merge of parts. Errors: *PartsBad, *TokenBad, *TokenRules.
func New(r *Rules, parts []Part, opts ...Option) (*Merge, error) {
	var o options
	for _, f := range opts {
		f(&o)
	}
	m := &Merge{r: r, d: newDecoder(r), byID: map[string]int{}, pending: -1, offset: r.Truncate.Offset, tokens: o.key,
		lost: map[int32]loss{}, torn: map[int32]error{}, rowsIn: map[int32]int64{}}
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
		s.sum.Reset()
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
		s.left = make([]bool, len(of))
		s.rank = s.leaves[0]
	}
	m.g.limitBytes, m.g.limitRows = share, r.Memory.Rows-len(parts)
	if o.token != "" {
		if err := m.resume(o.token); err != nil {
			return nil, err
		}
	}
	m.heads = make([]head, len(parts))
	for i, s := range m.streams {
		m.heads[i].rank = s.rank
	}
	m.plant()
	return m, nil
}

func (m *Merge) rankOf(id string) int {
	i, ok := slices.BinarySearchFunc(m.leaves, id, func(p Part, id string) int { return cmp.Compare(p.ID, id) })
	if !ok {
		return -1
	}
	return i
}

func (m *Merge) stream(part string) (int, error) {
	i, ok := m.byID[part]
	if !ok {
		return 0, &PartsBad{part, "is no part of this merge"}
	}
	return i, nil
}

// Add takes a piece of a part: the next bytes of that copy, in any cutting. A copy begins at the part's start; what
// another copy has brought already is compared and not taken again. Numbers of copies begin at 0 or 1 and grow. Errors: *Full (nothing was taken), *Diverged (the
// copy is set aside), *CopiesOver, *PartsBad. After the end of the merge, or of the part, it takes nothing.
func (m *Merge) Add(part string, copy int, data []byte) error {
	i, err := m.stream(part)
	if err != nil {
		return err
	}
	s := m.streams[i]
	if m.done || s.gone {
		return nil
	}
	c, err := s.copyOf(copy, m.r.Copies)
	if err != nil || c.bad || c.out {
		return err
	}
	if err = s.take(c, data, m.fault); err != nil {
		return m.diverged(s, err)
	}
	m.refresh(i)
	return nil
}

// End says that a copy of a part has ended: whole (nil), or cut (the reason; *Limited where it stopped at the rows it
// was asked for). The part of a cut copy stays open: another copy may bring the rest, until Drop.
func (m *Merge) End(part string, copy int, err error) error {
	i, bad := m.stream(part)
	if bad != nil {
		return bad
	}
	s := m.streams[i]
	if m.done || s.gone {
		return nil
	}
	c, bad := s.copyOf(copy, m.r.Copies)
	if bad != nil {
		return bad
	}
	whole := err == nil || m.fault == faultLimited && errors.As(err, new(*Limited))
	if err != nil {
		s.why, s.limit = err, errors.As(err, new(*Limited))
	}
	if bad = s.endCopy(c, whole); bad != nil {
		return m.diverged(s, bad)
	}
	m.refresh(i)
	return nil
}

// Drop gives a part up: no copy will bring more. Of a part that is whole it changes nothing.
func (m *Merge) Drop(part string, why error) error {
	i, err := m.stream(part)
	if err != nil {
		return err
	}
	s := m.streams[i]
	if m.done || !s.open() {
		return nil
	}
	if s.gone = true; why != nil {
		s.why = why
	}
	if m.fault == faultWhole { // a test's: the cut passes for the end
		s.gone, s.whole, s.ended = false, true, true
	}
	m.refresh(i)
	return nil
}

func (m *Merge) diverged(s *stream, err error) error {
	var d *Diverged
	if errors.As(err, &d) && s.part.Of == nil {
		m.conflicted(s.rank, d)
	} else if errors.As(err, &d) {
		for _, l := range s.leaves {
			m.conflicted(l, d)
		}
	}
	return err
}

// conflicted names a part in conflict with itself; the first reason stands.
func (m *Merge) conflicted(rank int32, why error) {
	if _, known := m.torn[rank]; !known {
		m.torn[rank] = why
		m.partial.conflict(rank, why)
	}
}

// refresh looks for the next record of a stream that had none.
func (m *Merge) refresh(i int) {
	if m.heads[i].kind == kindOpen {
		m.fill(i)
		m.grow(i)
	}
}

// fill sets a stream's head to its next record, or to what stands in its place.
func (m *Merge) fill(i int) {
	s, h := m.streams[i], &m.heads[i]
	for {
		rec, ok, why := s.record(m.r)
		if why == "" && ok {
			if s.part.Of != nil {
				if ok, why = m.frame(s, h, rec); why == "" && !ok {
					continue
				}
			} else {
				why = m.leaf(s, h, rec)
			}
			if why == "" {
				return
			}
		}
		if why == "" && s.part.Of != nil && s.whole && !s.ended {
			why = "a partial result without its end"
		}
		if why != "" {
			s.whole, s.gone = false, true
			if why == "unsorted" {
				s.why, s.torn = &Unsorted{s.part.ID, s.records}, true
			} else {
				s.why = &RecordBad{s.part.ID, s.records, why}
			}
		}
		break
	}
	h.rank, h.run = s.rank, s.run
	if s.records > 0 {
		h.run++
	}
	m.setKey(h, s.key[:m.cutKey(s)])
	switch {
	case s.whole:
		h.kind, h.prefix = kindWhole, 1<<64-1
	case s.gone:
		h.kind = kindLoss
		h.loss = loss{rank: -1, err: s.why}
	case m.fault == faultEager: // a test's: an open part holds nobody up
		h.kind, h.prefix = kindOpen, 1<<64-1
	default:
		h.kind = kindOpen
	}
}

func (m *Merge) cutKey(s *stream) int {
	if m.r.grouped() {
		return s.group
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

// leaf reads a row of a part and holds it against the one before.
func (m *Merge) leaf(s *stream, h *head, rec []byte) (why string) {
	var group int
	if s.spare, group, why = m.d.key(s.spare[:0], rec); why != "" {
		return why
	}
	if m.r.Duplicates.Version != nil {
		if s.ver, why = m.d.version(s.ver[:0], rec); why != "" {
			return why
		}
	}
	c := bytes.Compare(s.spare, s.key)
	if c < 0 && m.fault != faultUnsorted {
		return "unsorted"
	}
	switch {
	case c == 0 && s.run == math.MaxUint32-1:
		return "2^32 rows of one key"
	case c == 0:
		s.run++
	default:
		s.run = 0
	}
	s.key, s.spare, s.group = s.spare, s.key, group
	s.records++
	h.kind, h.rank, h.run = kindRow, s.rank, s.run
	h.place(s, rec)
	m.setKey(h, s.key[:m.cutKey(s)])
	return ""
}

type event uint8

const (
	evStall event = iota
	evEnd
	evLoss  // m.pending's head is a loss
	evRow   // m.pending's head is the next row
	evGroup // m.g is the next group
)

// step takes the next of the order, as far as no part can come before it.
func (m *Merge) step() event {
	for {
		if m.pending >= 0 {
			m.advance(m.pending)
			m.pending = -1
		}
		w := m.winner()
		h := &m.heads[w]
		if m.g.open && (h.kind == kindWhole || h.prefix == 1<<64-1 || !bytes.Equal(h.key, m.g.key)) {
			if m.g.open = false; m.g.n == 0 && !m.short {
				continue
			}
			return evGroup
		}
		switch h.kind {
		case kindOpen:
			return evStall
		case kindWhole:
			return evEnd
		case kindLoss:
			if m.r.grouped() && !m.g.open && len(h.key) > 0 { // all that were lost in one group are named
				m.g.begin(h.key)
			}
			m.pending = w
			return evLoss
		}
		switch {
		case m.passed(h):
		case !m.r.grouped():
			m.pending = w
			return evRow
		default:
			if !m.g.open {
				m.g.begin(h.key)
			}
			if m.fold(w); m.err != nil {
				m.g.open = false
				return evEnd
			}
		}
		m.pending = w
	}
}

// passed: the row went out on a page before this one.
func (m *Merge) passed(h *head) bool {
	if !m.from.set {
		return false
	}
	c := bytes.Compare(h.key, m.from.key)
	if c != 0 || m.r.grouped() {
		return c <= 0
	}
	if c = cmp.Compare(m.leaves[h.rank].ID, m.from.part); c != 0 {
		return c < 0
	}
	return h.run <= m.from.run
}

func (m *Merge) advance(i int) {
	if h := &m.heads[i]; h.kind == kindLoss && h.loss.rank < 0 { // the stream's own
		h.kind, h.prefix, h.key = kindWhole, 1<<64-1, nil
	} else {
		m.fill(i)
	}
	m.grow(i)
}
