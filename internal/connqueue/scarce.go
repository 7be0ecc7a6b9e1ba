package connqueue

import "time"

// Figures of scarcity.
const (
	ScarceFor  = 2 * time.Second        // after a first sign
	ScarceMost = 16 * time.Second       // after many
	ScarceIdle = 500 * time.Millisecond // the longest that a connection is kept idle meanwhile
	ScarceKept = 1                      // idle connections meanwhile
	LateRow    = 3                      // connects in a row that come late, or never, are a sign
)

// Scarcity owns how many idle connections are kept to one node, and for how long. A node holds only so many
// of all schedulers together, and no setting tells how many: one that turns away a new connection has
// no room, and what this scheduler holds idle there another may need. So it gives that back, and keeps
// little there for a while.
//
// Invariants:
//   - Without a sign nothing is given back.
//   - A refusal is a sign; so are LateRow late connects, with none begun and in time between. Fewer are not: a
//     network loses a packet now and then, and new connections would be the dearer for it.
//   - After a sign the node is scarce for ScarceFor, twice as long with each that comes while it is
//     scarce or as long again after, ScarceMost at most; then all is as it was before.
//   - Never less than ScarceKept are kept for what comes next, and each for ScarceIdle.
//
// It knows no clock and does no I/O, as Pool. It decides nothing of connections in use.
type Scarcity struct {
	until, span time.Duration
	last        time.Duration // late one
	row         int
}

// Refused notes that the node turned a new connection away.
func (s *Scarcity) Refused(now time.Duration) {
	s.row = 0
	if s.span > 0 && now < s.until+s.span {
		s.span = min(2*s.span, ScarceMost)
	} else {
		s.span = ScarceFor
	}
	s.until = now + s.span
}

// Late notes that one came up late, or never.
func (s *Scarcity) Late(now time.Duration) {
	s.last = now
	if s.row++; s.row >= LateRow {
		s.Refused(now)
	}
}

// Timely notes that one which was begun then came up in time: it says nothing of what came after.
func (s *Scarcity) Timely(begun time.Duration) {
	if begun >= s.last {
		s.row = 0
	}
}

// Keep is how many idle connections may be kept and for how long, where so many for so long are kept else.
func (s *Scarcity) Keep(now time.Duration, usual int, most time.Duration) (int, time.Duration) {
	if now >= s.until {
		return usual, most
	}
	return min(usual, ScarceKept), min(most, ScarceIdle)
}
