// Package connqueue decides which attempts wait for which connection to their node, and when another connection is opened.
// A new connection costs the node work and the first request on it time; where the settings price it, it also costs
// priority weight. A short wait for a connection in use is then cheaper. Since a connect may be late, no attempt is bound to
// the connect started for it: it takes the first free connection, and another connect starts beside a late one.
//
// Invariants:
//   - No attempt waits longer than FreeConnWait without a connect started for it; if FreeConnWait is zero, none waits so.
//   - At most one attempt waits for each connection that is in use or connecting, without a connect of its own: the next
//     one would wait for two requests.
//   - Attempts leave the queue in the order of their arrival, each exactly once, unless DropLast or Remove takes them.
//   - For each attempt that needs a connect, at most two are pending: the second once the first is late.
//   - No attempt waits longer than FreeConnWait and ConnectTimeout together. One whose connect failed leaves the queue
//     without a connection, unless another connect is pending for it.
//
// The package has no clock and no I/O: the caller gives the time, and Next says when to call again. It decides neither how
// many connections there may be nor to which node a request goes.
package connqueue

import "time"

// MaxWaitDivisor bounds the wait for a connection in use to this part of the latency objective.
const MaxWaitDivisor = 4

// A connect is late after LateFactor times the usual connect time, and after MinLate at least.
const (
	LateFactor = 4
	MinLate    = 10 * time.Millisecond
)

// MaxFreeConnWait is how long an attempt may wait for a connection in use: the same part of the latency objective as the
// price of a new connection is of a request's priority weight, since a wait of the whole objective costs the whole weight.
func MaxFreeConnWait(price float64, latencyObjective time.Duration) time.Duration {
	return max(0, min(time.Duration(price*float64(latencyObjective)), latencyObjective/MaxWaitDivisor))
}

// Settings are the bounds of the waits in a Queue.
type Settings struct {
	FreeConnWait   time.Duration // for a connection in use, before a connect starts
	ConnectTimeout time.Duration // for a pending connect
}

// Queue holds the attempts that wait for a connection to one node. It must be used by one goroutine at a time.
type Queue[T comparable] struct {
	settings        Settings
	waiters         []waiter[T] // in the order of their arrival
	pendingConnects []pendingConnect
	lastID          int
}

type waiter[T comparable] struct {
	item         T
	connectDueAt time.Duration // when a connect is needed for it
}

type pendingConnect struct {
	id        int
	startedAt time.Duration
}

// New returns an empty queue.
func New[T comparable](settings Settings) *Queue[T] { return &Queue[T]{settings: settings} }

// Enqueue adds an attempt for which no connection is free.
func (q *Queue[T]) Enqueue(now time.Duration, item T) {
	q.waiters = append(q.waiters, waiter[T]{item, now + q.settings.FreeConnWait})
}

// neededConnects is how many connects the waiting attempts need. Each connect serves the attempt it is for and one more,
// which waits for its connection as others do for those in use.
func (q *Queue[T]) neededConnects(now time.Duration, inUse int) int {
	dueWaiters := 0
	for dueWaiters < len(q.waiters) && q.waiters[dueWaiters].connectDueAt <= now {
		dueWaiters++
	}
	return max(dueWaiters, (len(q.waiters)-inUse+1)/2)
}

// ConnectsDue returns how many connects are to start now, where inUse connections are in use and a connect is late after the
// duration late. The caller calls ConnectStarted or DropLast for each.
func (q *Queue[T]) ConnectsDue(now time.Duration, inUse int, lateAfter time.Duration) int {
	needed, timely := q.neededConnects(now, inUse), 0
	for _, connect := range q.pendingConnects {
		if now < connect.startedAt+lateAfter {
			timely++
		}
	}
	return max(0, min(needed-timely, 2*needed-len(q.pendingConnects)))
}

// ConnectStarted notes that a connect has started, and returns its id.
func (q *Queue[T]) ConnectStarted(now time.Duration) (id int) {
	q.lastID++
	q.pendingConnects = append(q.pendingConnects, pendingConnect{q.lastID, now})
	return q.lastID
}

// removePending removes a pending connect and returns how long it has taken.
func (q *Queue[T]) removePending(now time.Duration, id int) time.Duration {
	for i, connect := range q.pendingConnects {
		if connect.id == id {
			q.pendingConnects = append(q.pendingConnects[:i:i], q.pendingConnects[i+1:]...)
			return now - connect.startedAt
		}
	}
	return 0
}

// ConnectSucceeded notes that a connect has succeeded, and returns how long it took. The connection is free: Pop returns the
// attempt that takes it.
func (q *Queue[T]) ConnectSucceeded(now time.Duration, id int) time.Duration {
	return q.removePending(now, id)
}

// DropLast removes and returns the last attempt, if a connect that it needs cannot be started.
func (q *Queue[T]) DropLast(now time.Duration, inUse int) (item T, ok bool) {
	if q.neededConnects(now, inUse) <= len(q.pendingConnects) {
		return item, false
	}
	item = q.waiters[len(q.waiters)-1].item
	q.waiters = q.waiters[:len(q.waiters)-1]
	return item, true
}

// ConnectFailed notes that a connect has failed. It removes and returns the first attempt, if no other connect is pending
// for it.
func (q *Queue[T]) ConnectFailed(now time.Duration, id, inUse int) (item T, ok bool) {
	q.removePending(now, id)
	if q.neededConnects(now, inUse) <= len(q.pendingConnects) {
		return item, false
	}
	return q.Pop()
}

// Pop removes and returns the first attempt, for a connection that is free.
func (q *Queue[T]) Pop() (item T, ok bool) {
	if len(q.waiters) == 0 {
		return item, false
	}
	item = q.waiters[0].item
	q.waiters = q.waiters[1:]
	return item, true
}

// Remove removes an attempt that is cancelled, and reports whether it was waiting.
func (q *Queue[T]) Remove(item T) bool {
	for i, w := range q.waiters {
		if w.item == item {
			q.waiters = append(q.waiters[:i:i], q.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// PopExpired removes and returns an attempt that has waited for too long. The caller repeats it until there is none.
func (q *Queue[T]) PopExpired(now time.Duration) (item T, ok bool) {
	if len(q.waiters) == 0 || now < q.waiters[0].connectDueAt+q.settings.ConnectTimeout {
		return item, false
	}
	return q.Pop()
}

// Next is when PopExpired and ConnectsDue are to be called again; false if no attempt waits.
func (q *Queue[T]) Next(now, lateAfter time.Duration) (at time.Duration, ok bool) {
	if len(q.waiters) == 0 {
		return 0, false
	}
	at = q.waiters[0].connectDueAt + q.settings.ConnectTimeout
	for _, w := range q.waiters {
		if w.connectDueAt > now {
			at = min(at, w.connectDueAt)
			break
		}
	}
	for _, connect := range q.pendingConnects {
		if lateAt := connect.startedAt + lateAfter; lateAt > now {
			at = min(at, lateAt)
		}
	}
	return max(at, now), true
}

// Len is the number of waiting attempts.
func (q *Queue[T]) Len() int { return len(q.waiters) }
