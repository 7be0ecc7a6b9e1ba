package nodestats

import (
	"bytes"
	"cmp"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Merge merges a message that Diff returned. Messages may arrive in any order and repeatedly. A message that cannot be
// decoded is only counted.
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

// withoutExpired removes and counts the cells that are too old. It reuses the slice.
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

// mergeCell selects the cell with the higher sequence, then with the greater body. If both are equal, the cell gets the
// greater of the two ages.
func (s *State) mergeCell(o *origin, received *wireCell, now time.Duration) {
	stored := o.cells[received.id]
	createdAt := now - received.age
	switch {
	case stored == nil && received.seq <= o.expiredSeq, stored != nil && received.seq < stored.seq:
		s.counts.OutdatedCells++
	case stored != nil && received.seq == stored.seq && bytes.Compare(received.body, stored.body) <= 0:
		if bytes.Equal(received.body, stored.body) {
			stored.createdAt = min(stored.createdAt, createdAt)
		}
		s.counts.DuplicateCells++
	default:
		o.cells[received.id] = newCell(received.id, received.seq, createdAt, received.body)
		s.counts.NewCells++
	}
}

// originFor returns an origin's record, and creates it if needed. If there are more than MaxOrigins, those with the
// lowest ranks are stored. The rank depends only on the name, so that the order of arrival does not matter. originFor
// returns nil if the name ranks last.
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

// lastRanked returns the name that ranks last among the stored origins and the given one.
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

// mergeOwnName handles cells under this process's own name. Those of earlier incarnations are outdated. If cells of the
// current or a later incarnation were not published by this process, it starts an incarnation after theirs. Its cells
// then replace the unknown ones at all processes.
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
