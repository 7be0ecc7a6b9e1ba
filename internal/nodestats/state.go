package nodestats

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// cellID names one part of an origin's record: a class on a node, the node's health (no class), the
// version of the list (no node).
type cellID struct{ node, class string }

func (a cellID) compare(b cellID) int {
	return cmp.Or(cmp.Compare(a.node, b.node), cmp.Compare(a.class, b.class))
}

type cell struct {
	seq       uint64
	createdAt time.Duration // on this process's clock
	body      []byte
	hash      uint64 // of id, sequence and body
	bucket    int    // bucket of a digest
}

func newCell(id cellID, seq uint64, born time.Duration, body []byte) *cell {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%q %q %d ", id.node, id.class, seq)
	_, _ = h.Write(body)
	return &cell{seq: seq, createdAt: born, body: body, hash: h.Sum64(), bucket: id.bucket()}
}

// origin is one process's record.
type origin struct {
	incarnation  uint64
	cells        map[cellID]*cell
	expiredSeq   uint64 // no cell up to this sequence is taken any more: later ones have expired
	lastReceived time.Duration
}

// Counts are the figures of a state, from its start.
type Counts struct {
	Messages, Bytes          int64 // merged
	NewCells                 int64 // ... and what was new in them
	DuplicateCells           int64 // cells held already
	OutdatedCells            int64 // cells of an older incarnation or sequence, not taken
	ExpiredCells             int64 // cells too old when they came
	Unreadable, LaterVersion int64 // messages dropped
	OverLimit                int64 // what the bounds left out
	Resets                   int64 // times that an own slot began anew: its node had changed
	Invalid                  int64 // own figures that cannot be
	IdentityConflicts        int64 // times that this process's name came with figures of another life
	Origins, StoredCells     int64 // now: others, and their cells
}

// State is what is known, here and of others. It is not for more than one goroutine.
type State struct {
	Yield       func() // called between the pieces of long work; nil: it is done at once
	settings    Settings
	self        string
	incarnation uint64
	lastSeq     uint64
	localNodes  map[string]*localNode
	localOrder  []string
	listVersion int64
	listSetAt   time.Duration
	hasList     bool
	listDirty   bool
	local       *origin // what was told of the own record
	remote      map[string]*origin
	counts      Counts
	readBuffer  []classStats // room for one key's origins
	lost        string       // tests only: the rule that is left out
}

// New makes an empty state of the process self. Of two lives of one process the later has the higher
// incarnation.
func New(set Settings, self string, incarnation uint64) (*State, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	if !validName(self) {
		return nil, &NameError{self}
	}
	return &State{settings: set, self: self, incarnation: min(incarnation, maxSequence-1), localNodes: map[string]*localNode{},
		local: &origin{cells: map[cellID]*cell{}}, remote: map[string]*origin{}}, nil
}

func (s *State) yield() {
	if s.Yield != nil {
		s.Yield()
	}
}

// Counts are the figures now.
func (s *State) Counts() Counts {
	c := s.counts
	c.Origins = int64(len(s.remote))
	for _, o := range s.remote {
		c.StoredCells += int64(len(o.cells))
	}
	return c
}

// maxCells is how many parts a record may have.
func (s *State) maxCells() int { return s.settings.MaxNodes*(s.settings.MaxClasses+1) + 1 }

// publishChanges makes cells of what changed of the own record.
func (s *State) publishChanges(now time.Duration) {
	s.expireLocal(now)
	s.local.incarnation, s.local.lastReceived = s.incarnation, now
	put := func(id cellID, body []byte) {
		s.lastSeq++
		s.local.cells[id] = newCell(id, s.lastSeq, now, body)
	}
	if s.listDirty {
		put(cellID{}, binary.AppendVarint(nil, s.listVersion))
		s.listDirty = false
	}
	for _, name := range s.localOrder {
		n := s.localNodes[name]
		if n.healthChanged {
			put(cellID{name, ""}, n.health.append(nil, n.startTime))
			n.healthChanged = false
		}
		for _, l := range n.recorders {
			if l.changed {
				l.resetIfChanged(now)
				f := l.statsAt(now)
				put(cellID{name, l.key.Class}, f.append(nil))
				l.changed = false
			}
		}
	}
	s.expireCells(now)
}

// expireCells drops what is too old, and remembers up to which sequence, so that a late copy of something
// earlier is not taken for news.
func (s *State) expireCells(now time.Duration) {
	drop := func(o *origin) {
		for id, c := range o.cells {
			if now-c.createdAt >= s.settings.ExpireAfter {
				o.expiredSeq = max(o.expiredSeq, c.seq)
				delete(o.cells, id)
			}
		}
	}
	drop(s.local)
	s.evictOldest(s.local)
	for name, o := range s.remote {
		drop(o)
		if len(o.cells) == 0 && now-o.lastReceived >= 2*s.settings.ExpireAfter {
			delete(s.remote, name)
		}
	}
}

// Digest is what is held, by origin, in one message.
func (s *State) Digest(now time.Duration) []byte {
	s.publishChanges(now)
	b := appendName(beginMessage(kindDigest), s.self)
	for _, name := range s.originNames() {
		sum := s.origin(name).summary()
		b = sum.append(b, name)
	}
	return sealMessage(b)
}

// originNames are the origins held, this process too, in order.
func (s *State) originNames() []string {
	names := append(make([]string, 0, len(s.remote)+1), s.self)
	for name := range s.remote {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (s *State) origin(name string) *origin {
	if name == s.self {
		return s.local
	}
	return s.remote[name]
}

func (id cellID) bucket() int {
	return int((xxhash.Sum64String(id.node) + xxhash.Sum64String(id.class)) % digestBuckets)
}

func (o *origin) summary() originSummary {
	sum := originSummary{incarnation: o.incarnation}
	for _, c := range o.cells {
		sum.buckets[c.bucket] ^= uint32(c.hash)
	}
	return sum
}

// Diff is what the maker of a digest lacks, or holds otherwise, as messages under Bytes each, newest first
// within an origin.
func (s *State) Diff(now time.Duration, digest []byte) ([][]byte, error) {
	_, theirs, err := decodeDigest(digest)
	if err != nil {
		s.countRejected(err)
		return nil, err
	}
	s.publishChanges(now)
	var out [][]byte
	for _, name := range s.originNames() {
		o := s.origin(name)
		t, known := theirs[name]
		if known && t.incarnation > o.incarnation {
			continue
		}
		ours, whole := o.summary(), !known || t.incarnation < o.incarnation
		var ids []cellID
		for id, c := range o.cells {
			if whole || ours.buckets[c.bucket] != t.buckets[c.bucket] {
				ids = append(ids, id)
			}
		}
		out = append(out, o.encodeCells(now, name, ids, s.settings.MaxMessageBytes)...)
		s.yield()
	}
	return out, nil
}

// MatchesDigest says that the maker of a digest holds what this process holds, ages apart.
func (s *State) MatchesDigest(now time.Duration, digest []byte) bool {
	_, theirs, err := decodeDigest(digest)
	if err != nil {
		return false
	}
	s.publishChanges(now)
	nothing := [digestBuckets]uint32{}
	for _, name := range s.originNames() {
		t, known := theirs[name]
		delete(theirs, name)
		ours := s.origin(name).summary()
		if ours.buckets != t.buckets || known && ours.buckets != nothing && ours.incarnation != t.incarnation {
			return false
		}
	}
	for _, t := range theirs {
		if t.buckets != nothing {
			return false
		}
	}
	return true
}

// encodeCells writes cells of one origin into messages.
func (o *origin) encodeCells(now time.Duration, name string, ids []cellID, most int) [][]byte {
	slices.SortFunc(ids, func(a, b cellID) int { return -o.compareCells(a, b) })
	var out [][]byte
	var b, entry []byte
	for _, id := range ids {
		c := o.cells[id]
		t := wireCell{id: id, seq: c.seq, age: now - c.createdAt, body: c.body}
		entry = t.append(entry[:0])
		if b != nil && len(b)+len(entry)+crcSize > most {
			out, b = append(out, sealMessage(b)), nil
		}
		if b == nil {
			b = binary.AppendUvarint(appendName(beginMessage(kindCells), name), o.incarnation)
		}
		b = append(b, entry...)
	}
	if b != nil {
		out = append(out, sealMessage(b))
	}
	return out
}

// compareCells sorts a record's cells: by sequence, then by name.
func (o *origin) compareCells(a, b cellID) int {
	return cmp.Or(cmp.Compare(o.cells[a].seq, o.cells[b].seq), a.compare(b))
}

func (s *State) countRejected(err error) {
	if _, later := err.(*VersionError); later {
		s.counts.LaterVersion++
	} else {
		s.counts.Unreadable++
	}
}

// Merge takes a message of Diff, in any order and as often as it comes. One that cannot be read changes nothing
// but a count.
func (s *State) Merge(now time.Duration, message []byte) error {
	if len(message) > maxMessageBytes {
		err := &DecodeError{"too long"}
		s.countRejected(err)
		return err
	}
	name, incarnation, cells, err := decodeCells(message)
	if err != nil {
		s.countRejected(err)
		return err
	}
	s.counts.Messages++
	s.counts.Bytes += int64(len(message))
	if name == s.self {
		s.mergeOwnName(incarnation, cells)
		return nil
	}
	fresh := cells[:0]
	for _, t := range cells {
		if t.age >= s.settings.ExpireAfter {
			s.counts.ExpiredCells++
			continue
		}
		fresh = append(fresh, t)
	}
	if len(fresh) == 0 {
		return nil
	}
	o := s.originFor(now, name, incarnation)
	if o == nil {
		s.counts.OverLimit++
		return nil
	}
	switch {
	case incarnation < o.incarnation && s.lost != "incarnation":
		s.counts.OutdatedCells += int64(len(fresh))
		return nil
	case incarnation != o.incarnation:
		*o = origin{incarnation: incarnation, cells: map[cellID]*cell{}}
	}
	o.lastReceived = now
	for _, t := range fresh {
		s.mergeCell(o, &t, now)
	}
	s.evictOldest(o)
	return nil
}

// mergeCell joins one cell: the higher sequence stays; of one sequence the greater body and the greater age.
func (s *State) mergeCell(o *origin, t *wireCell, now time.Duration) {
	c := o.cells[t.id]
	born := now - t.age
	switch {
	case c == nil && t.seq <= o.expiredSeq && s.lost != "floor", c != nil && t.seq < c.seq && s.lost != "sequence":
		s.counts.OutdatedCells++
	case c != nil && t.seq == c.seq && bytes.Compare(t.body, c.body) <= 0 && s.lost != "tie":
		if bytes.Equal(t.body, c.body) {
			c.createdAt = min(c.createdAt, born)
		}
		s.counts.DuplicateCells++
	default:
		o.cells[t.id] = newCell(t.id, t.seq, born, t.body)
		s.counts.NewCells++
	}
}

// evictOldest keeps the newest cells of a record, as many as it may have.
func (s *State) evictOldest(o *origin) {
	over := len(o.cells) - s.maxCells()
	if over <= 0 || s.lost == "cells" {
		return
	}
	ids := make([]cellID, 0, len(o.cells))
	for id := range o.cells {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, o.compareCells)
	for _, id := range ids[:over] {
		delete(o.cells, id)
	}
	s.counts.OverLimit += int64(over)
}

// originFor finds an origin's record, or makes one. Of more origins than may be held those stay that come
// first in an order of their names alone: so the same ones stay in whatever order they come.
func (s *State) originFor(now time.Duration, name string, incarnation uint64) *origin {
	o := s.remote[name]
	if o != nil {
		return o
	}
	if len(s.remote) >= s.settings.MaxOrigins {
		s.expireCells(now)
	}
	if len(s.remote) >= s.settings.MaxOrigins && s.lost != "origins" {
		last := name
		for n := range s.remote {
			if compareRank(last, n) < 0 {
				last = n
			}
		}
		if last == name {
			return nil
		}
		delete(s.remote, last)
		s.counts.OverLimit++
	}
	o = &origin{incarnation: incarnation, cells: map[cellID]*cell{}, lastReceived: now}
	s.remote[name] = o
	return o
}

func compareRank(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// mergeOwnName is this process's own name from others. Its earlier lives count as older; figures that it never
// told under a life it might have make it begin a later one, which every holder takes over them.
func (s *State) mergeOwnName(incarnation uint64, cells []wireCell) {
	foreign := incarnation > s.incarnation
	for _, t := range cells {
		foreign = foreign || incarnation == s.incarnation && t.seq > s.lastSeq
	}
	switch {
	case !foreign && incarnation < s.incarnation:
		s.counts.OutdatedCells += int64(len(cells))
	case !foreign:
		s.counts.DuplicateCells += int64(len(cells))
	case incarnation >= maxSequence || s.lost == "refute":
		s.counts.IdentityConflicts++
	default:
		s.counts.IdentityConflicts++
		s.incarnation = incarnation + 1
	}
}

// Check says which invariant does not hold.
func (s *State) Check() error {
	if len(s.remote) > s.settings.MaxOrigins || len(s.localNodes) > s.settings.MaxNodes || len(s.localNodes) != len(s.localOrder) {
		return fmt.Errorf("%d origins, %d nodes", len(s.remote), len(s.localNodes))
	}
	for _, name := range s.originNames() {
		o := s.origin(name)
		if len(o.cells) > s.maxCells() {
			return fmt.Errorf("%s has %d cells", name, len(o.cells))
		}
		for id, c := range o.cells {
			if what := id.check(c.body); what != "" {
				return fmt.Errorf("%s %v: %s", name, id, what)
			}
			if name == s.self && c.seq > s.lastSeq {
				return fmt.Errorf("own cell %v is of sequence %d, past %d", id, c.seq, s.lastSeq)
			}
		}
	}
	for name, n := range s.localNodes {
		if len(n.recorders) > s.settings.MaxClasses {
			return fmt.Errorf("%s has %d classes", name, len(n.recorders))
		}
	}
	return nil
}
