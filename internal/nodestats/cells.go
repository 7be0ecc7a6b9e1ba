package nodestats

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// cellID identifies a part of an origin's record: a class on a node, the node's health (empty class), or the version of
// the endpoint list (empty node and class).
type cellID struct{ node, class string }

func (id cellID) compare(other cellID) int {
	return cmp.Or(cmp.Compare(id.node, other.node), cmp.Compare(id.class, other.class))
}

// bucket returns the bucket of a digest that the cell belongs to.
func (id cellID) bucket() int {
	return int((xxhash.Sum64String(id.node) + xxhash.Sum64String(id.class)) % digestBuckets)
}

// cell is one part of an origin's record. A change makes a new cell with a higher sequence.
type cell struct {
	seq       uint64
	createdAt time.Duration // on this process's clock
	body      []byte
	hash      uint64 // of id, sequence and body
	bucket    int    // of a digest
}

func newCell(id cellID, seq uint64, createdAt time.Duration, body []byte) *cell {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%q %q %d ", id.node, id.class, seq) // a hash returns no error
	_, _ = h.Write(body)
	return &cell{seq: seq, createdAt: createdAt, body: body, hash: h.Sum64(), bucket: id.bucket()}
}

// origin is the record of one process.
type origin struct {
	incarnation  uint64
	cells        map[cellID]*cell
	expiredSeq   uint64 // highest sequence that has expired; cells with at most this sequence are not added again
	lastReceived time.Duration
}

// compareCells orders cells by sequence, then by name.
func (o *origin) compareCells(a, b cellID) int {
	return cmp.Or(cmp.Compare(o.cells[a].seq, o.cells[b].seq), a.compare(b))
}

// dropExpired removes the cells of at least the given age, and stores their highest sequence, so that a late copy of an
// earlier cell is not added as a new one.
func (o *origin) dropExpired(now, age time.Duration) {
	for id, c := range o.cells {
		if now-c.createdAt >= age {
			o.expiredSeq = max(o.expiredSeq, c.seq)
			delete(o.cells, id)
		}
	}
}

// expireCells drops expired cells. It also drops other origins without cells that have sent none for twice ExpireAfter.
func (s *State) expireCells(now time.Duration) {
	s.local.dropExpired(now, s.settings.ExpireAfter)
	s.evictOldest(s.local)
	for name, o := range s.remote {
		o.dropExpired(now, s.settings.ExpireAfter)
		if len(o.cells) == 0 && now-o.lastReceived >= 2*s.settings.ExpireAfter {
			delete(s.remote, name)
		}
	}
}

// maxCells returns the maximum number of cells of an origin: classes and health of each node, and the list's version.
func (s *State) maxCells() int { return s.settings.MaxNodes*(s.settings.MaxClasses+1) + 1 }

// evictOldest removes the cells with the lowest sequences until at most maxCells are left.
func (s *State) evictOldest(o *origin) {
	excess := len(o.cells) - s.maxCells()
	if excess <= 0 {
		return
	}
	ids := make([]cellID, 0, len(o.cells))
	for id := range o.cells {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, o.compareCells)
	for _, id := range ids[:excess] {
		delete(o.cells, id)
	}
	s.counts.OverLimit += int64(excess)
}
