package nodestats

import (
	"bytes"
	"cmp"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Merge merges a message of Diff; messages may arrive in any order and several times. One that cannot be decoded
// changes nothing but a count.
func (s *State) Merge(now time.Duration, message []byte) error {
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
	cells = s.withoutExpired(cells)
	if len(cells) == 0 {
		return nil
	}
	o := s.originFor(now, name, incarnation)
	if o == nil {
		s.counts.OverLimit++
		return nil
	}
	switch {
	case incarnation < o.incarnation:
		s.counts.OutdatedCells += int64(len(cells))
		return nil
	case incarnation != o.incarnation:
		*o = origin{incarnation: incarnation, cells: map[cellID]*cell{}}
	}
	o.lastReceived = now
	for i := range cells {
		s.mergeCell(o, &cells[i], now)
	}
	s.evictOldest(o)
	return nil
}

func (s *State) countRejected(err error) {
	var later *VersionError
	if errors.As(err, &later) {
		s.counts.LaterVersion++
	} else {
		s.counts.Unreadable++
	}
}

// withoutExpired removes and counts the cells that are too old; it reuses the slice.
func (s *State) withoutExpired(cells []wireCell) []wireCell {
	current := cells[:0]
	for _, received := range cells {
		if received.age >= s.settings.ExpireAfter {
			s.counts.ExpiredCells++
			continue
		}
		current = append(current, received)
	}
	return current
}

// mergeCell keeps the cell of the higher sequence; of equal sequences the one with the greater body, and of equal
// bodies the greater age.
func (s *State) mergeCell(o *origin, received *wireCell, now time.Duration) {
	held := o.cells[received.id]
	createdAt := now - received.age
	switch {
	case held == nil && received.seq <= o.expiredSeq, held != nil && received.seq < held.seq:
		s.counts.OutdatedCells++
	case held != nil && received.seq == held.seq && bytes.Compare(received.body, held.body) <= 0:
		if bytes.Equal(received.body, held.body) {
			held.createdAt = min(held.createdAt, createdAt)
		}
		s.counts.DuplicateCells++
	default:
		o.cells[received.id] = newCell(received.id, received.seq, createdAt, received.body)
		s.counts.NewCells++
	}
}

// originFor returns an origin's record and makes it if needed. Of more than MaxOrigins those stay that rank first by
// their names alone, whatever the order of their arrival; nil: the name ranks behind all that are held.
func (s *State) originFor(now time.Duration, name string, incarnation uint64) *origin {
	o := s.remote[name]
	if o != nil {
		return o
	}
	if len(s.remote) >= s.settings.MaxOrigins {
		s.expireCells(now)
	}
	if len(s.remote) >= s.settings.MaxOrigins {
		last := s.lastRanked(name)
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

// lastRanked is the name that ranks last among the origins held and the given one.
func (s *State) lastRanked(name string) string {
	last := name
	for n := range s.remote {
		if compareRank(last, n) < 0 {
			last = n
		}
	}
	return last
}

func compareRank(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// mergeOwnName handles cells under this process's own name. Those of earlier incarnations are outdated. Cells that this
// process never published, of its own or a later incarnation, make it start an incarnation after that: its cells
// then replace them at every holder.
func (s *State) mergeOwnName(incarnation uint64, cells []wireCell) {
	unknown := incarnation > s.incarnation
	for _, received := range cells {
		unknown = unknown || incarnation == s.incarnation && received.seq > s.lastSeq
	}
	switch {
	case !unknown && incarnation < s.incarnation:
		s.counts.OutdatedCells += int64(len(cells))
	case !unknown:
		s.counts.DuplicateCells += int64(len(cells))
	case incarnation >= maxSequence:
		s.counts.IdentityConflicts++
	default:
		s.counts.IdentityConflicts++
		s.incarnation = incarnation + 1
	}
}
