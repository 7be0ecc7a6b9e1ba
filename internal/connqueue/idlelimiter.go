package connqueue

import "time"

// Bounds of the limits on idle connections.
const (
	MinLimitDuration   = 2 * time.Second // after the first sign of a shortage of connections
	MaxLimitDuration   = 16 * time.Second
	LimitedIdleTimeout = 500 * time.Millisecond // of idle connections while the limit applies
	LimitedIdleConns   = 1                      // idle connections while the limit applies
	MaxLateConnects    = 3                      // late or failed connects in a row that are a sign of a shortage
)

// IdleLimiter limits how many idle connections to one node are kept, and for how long. A node accepts a bounded number of
// connections from all schedulers together, and no setting contains that bound. When the node rejects a new connection,
// another scheduler may need a connection that this scheduler keeps idle. Almost all idle connections are then closed for a
// while.
//
// Invariants:
//   - Without a sign of a shortage there is no limit.
//   - A rejected connection is a sign of a shortage, and so are MaxLateConnects late connects in a row, with no timely connect
//     started in between. Fewer late connects are no sign, since a network occasionally loses a packet.
//   - After a sign, the limit applies for MinLimitDuration. Each further sign while it applies, or within the same duration
//     afterwards, doubles the duration, up to MaxLimitDuration.
//   - LimitedIdleConns connections may always be kept idle, each for LimitedIdleTimeout.
//
// IdleLimiter has no clock and no I/O, and does not affect connections in use. It must be used by one goroutine at a time.
type IdleLimiter struct {
	limitedUntil    time.Duration
	limitDuration   time.Duration // 0: there was no sign so far
	lastLateConnect time.Duration
	lateInRow       int
}

// ConnectRejected records that the node rejected a new connection.
func (l *IdleLimiter) ConnectRejected(now time.Duration) {
	l.lateInRow = 0
	if l.limitDuration > 0 && now < l.limitedUntil+l.limitDuration {
		l.limitDuration = min(2*l.limitDuration, MaxLimitDuration)
	} else {
		l.limitDuration = MinLimitDuration
	}
	l.limitedUntil = now + l.limitDuration
}

// ConnectLate records that a connect was late or failed.
func (l *IdleLimiter) ConnectLate(now time.Duration) {
	l.lastLateConnect = now
	l.lateInRow++
	if l.lateInRow >= MaxLateConnects {
		l.ConnectRejected(now)
	}
}

// ConnectTimely records that a connect that started at startedAt succeeded in time. It has no effect if a late connect was
// recorded after startedAt.
func (l *IdleLimiter) ConnectTimely(startedAt time.Duration) {
	if startedAt >= l.lastLateConnect {
		l.lateInRow = 0
	}
}

// IdleBounds returns how many idle connections may be kept and for how long. The arguments are the bounds that apply without
// a limit.
func (l *IdleLimiter) IdleBounds(now time.Duration, usualConns int, usualTimeout time.Duration) (conns int, timeout time.Duration) {
	if now >= l.limitedUntil {
		return usualConns, usualTimeout
	}
	return min(usualConns, LimitedIdleConns), min(usualTimeout, LimitedIdleTimeout)
}
