package connqueue

import "time"

// Figures of scarcity.
const (
	MinLimitDuration   = 2 * time.Second        // after a first sign
	MaxLimitDuration   = 16 * time.Second       // after many
	LimitedIdleTimeout = 500 * time.Millisecond // the longest that a connection is kept idle meanwhile
	LimitedIdleConns   = 1                      // idle connections meanwhile
	MaxLateConnects    = 3                      // connects in a row that come late, or never, are a sign
)

// IdleLimiter owns how many idle connections are kept to one node, and for how long. A node holds only so many
// of all schedulers together, and no setting tells how many: one that turns away a new connection has
// no room, and what this scheduler holds idle there another may need. So it gives that back, and keeps
// little there for a while.
//
// Invariants:
//   - Without a sign nothing is given back.
//   - A refusal is a sign; so are MaxLateConnects late connects, with none begun and in time between. Fewer are not: a
//     network loses a packet now and then, and new connections would be the dearer for it.
//   - After a sign the node is scarce for MinLimitDuration, twice as long with each that comes while it is
//     scarce or as long again after, MaxLimitDuration at most; then all is as it was before.
//   - Never less than LimitedIdleConns are kept for what comes next, and each for LimitedIdleTimeout.
//
// It knows no clock and does no I/O, as Pool. It decides nothing of connections in use.
type IdleLimiter struct {
	limitedUntil, limitDuration time.Duration
	lastLateConnect             time.Duration // late one
	lateInRow                   int
}

// ConnectRejected notes that the node turned a new connection away.
func (s *IdleLimiter) ConnectRejected(now time.Duration) {
	s.lateInRow = 0
	if s.limitDuration > 0 && now < s.limitedUntil+s.limitDuration {
		s.limitDuration = min(2*s.limitDuration, MaxLimitDuration)
	} else {
		s.limitDuration = MinLimitDuration
	}
	s.limitedUntil = now + s.limitDuration
}

// ConnectLate notes that one came up late, or never.
func (s *IdleLimiter) ConnectLate(now time.Duration) {
	s.lastLateConnect = now
	if s.lateInRow++; s.lateInRow >= MaxLateConnects {
		s.ConnectRejected(now)
	}
}

// ConnectTimely notes that one which was begun then came up in time: it says nothing of what came after.
func (s *IdleLimiter) ConnectTimely(begun time.Duration) {
	if begun >= s.lastLateConnect {
		s.lateInRow = 0
	}
}

// IdleBounds is how many idle connections may be kept and for how long, where so many for so long are kept else.
func (s *IdleLimiter) IdleBounds(now time.Duration, usual int, most time.Duration) (int, time.Duration) {
	if now >= s.limitedUntil {
		return usual, most
	}
	return min(usual, LimitedIdleConns), min(most, LimitedIdleTimeout)
}
