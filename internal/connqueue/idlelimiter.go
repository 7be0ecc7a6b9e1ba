package connqueue

import "time"

// Bounds of the limits on idle connections.
const (
	MinLimitDuration   = 2 * time.Second // after the first sign
	MaxLimitDuration   = 16 * time.Second
	LimitedIdleTimeout = 500 * time.Millisecond // of an idle connection while the limit lasts
	LimitedIdleConns   = 1                      // idle connections while the limit lasts
	MaxLateConnects    = 3                      // late or failed connects in a row that are a sign
)

// IdleLimiter limits how many idle connections to one node are kept, and for how long. A node accepts a bounded number of
// connections from all schedulers together, and no setting gives the number. When it rejects a new connection, another
// scheduler may need one that this scheduler keeps idle, so for a while nearly all of them are closed.
//
// Invariants:
//   - Without a sign there is no limit.
//   - A rejected connection is a sign, and so are MaxLateConnects late connects with no timely connect started in between.
//     Fewer are none, since a network loses a packet now and then.
//   - After a sign, the limit lasts for MinLimitDuration. Each sign while it lasts, or within the same duration after it,
//     doubles the duration, up to MaxLimitDuration.
//   - LimitedIdleConns connections may always be kept idle, each for LimitedIdleTimeout.
//
// It has no clock and no I/O, and decides nothing about connections in use. It must be used by one goroutine at a time.
type IdleLimiter struct {
	limitedUntil    time.Duration
	limitDuration   time.Duration // 0: there was no sign yet
	lastLateConnect time.Duration
	lateInRow       int
}

// ConnectRejected notes that the node rejected a new connection.
func (l *IdleLimiter) ConnectRejected(now time.Duration) {
	l.lateInRow = 0
	if l.limitDuration > 0 && now < l.limitedUntil+l.limitDuration {
		l.limitDuration = min(2*l.limitDuration, MaxLimitDuration)
	} else {
		l.limitDuration = MinLimitDuration
	}
	l.limitedUntil = now + l.limitDuration
}

// ConnectLate notes that a connect was late, or failed.
func (l *IdleLimiter) ConnectLate(now time.Duration) {
	l.lastLateConnect = now
	l.lateInRow++
	if l.lateInRow >= MaxLateConnects {
		l.ConnectRejected(now)
	}
}

// ConnectTimely notes that a connect started at startedAt succeeded in time. It has no effect if a late connect was noted
// since it started.
func (l *IdleLimiter) ConnectTimely(startedAt time.Duration) {
	if startedAt >= l.lastLateConnect {
		l.lateInRow = 0
	}
}

// IdleBounds returns how many idle connections may be kept and for how long. The arguments are the bounds without a limit.
func (l *IdleLimiter) IdleBounds(now time.Duration, usualConns int, usualTimeout time.Duration) (conns int, timeout time.Duration) {
	if now >= l.limitedUntil {
		return usualConns, usualTimeout
	}
	return min(usualConns, LimitedIdleConns), min(usualTimeout, LimitedIdleTimeout)
}
