// Package connqueue decides which attempts wait for which connection to their node, and when another connection is opened.
// A new connection costs the node work and delays the first request on it. If the settings price it, it also costs priority
// weight, and a short wait for a connection in use can be cheaper. Since a connect may be late, an attempt is not bound to
// the connect that was started for it: it uses the first free connection, and another connect is started in addition to a
// late one.
//
// Invariants:
//   - No attempt waits longer than FreeConnWait without a connect started for it, unless it waits for a connection that will
//     be free soon (SetFreeSoon). If FreeConnWait is zero, a connect is started at once for the others.
//   - For each connection that is in use or connecting, at most one attempt waits without a connect of its own, since a
//     second one would have to wait for two requests.
//   - Attempts leave the queue in order of arrival, each exactly once, unless they are removed by DropLast or Remove.
//   - For each attempt that needs a connect, at most two connects are pending. The second one starts once the first is late.
//   - No attempt waits longer than FreeConnWait and ConnectTimeout together. An attempt whose connect failed leaves the queue
//     without a connection, unless another connect is pending for it.
//
// The package has no clock and no I/O: the caller passes the time, and Next returns when to call again. It does not decide
// how many connections there may be or which node serves a request.
package connqueue

import "time"

// MaxWaitDivisor bounds the wait for a connection in use to the latency objective divided by this number.
const MaxWaitDivisor = 4

// A connect is late after LateConnectFactor times the usual connect time, but not before MinLateConnectTime.
const (
	LateConnectFactor  = 4
	MinLateConnectTime = 10 * time.Millisecond
)

// MaxFreeConnWait returns how long an attempt may wait for a connection in use. The price of a new connection is a fraction of
// a request's priority weight. The wait is the same fraction of the latency objective, since a wait for the entire objective
// costs the entire weight.
func MaxFreeConnWait(price float64, latencyObjective time.Duration) time.Duration {
	return max(0, min(time.Duration(price*float64(latencyObjective)), latencyObjective/MaxWaitDivisor))
}

// Settings are the bounds of the waits in a Queue.
type Settings struct {
	FreeConnWait   time.Duration // wait for a connection in use before a connect starts
	ConnectTimeout time.Duration // wait for a pending connect
}

// Queue holds the attempts that wait for a connection to one node. It must be used by one goroutine at a time.
type Queue[T comparable] struct {
	settings        Settings
	waiters         []waiter[T] // in the order of their arrival
	pendingConnects []pendingConnect
	lastID          int
	freeSoon        int // connections that will be free soon without a connect
}

type waiter[T comparable] struct {
	item         T
	connectDueAt time.Duration // when a connect is due for it
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

// neededConnects returns how many connects the waiting attempts need. Each connect serves the attempt for which it was started
// and a second one, which waits for the new connection like others wait for the connections in use.
func (q *Queue[T]) neededConnects(now time.Duration, inUse int) int {
	dueWaiters := 0
	for dueWaiters < len(q.waiters) && q.waiters[dueWaiters].connectDueAt <= now {
		dueWaiters++
	}
	return max(dueWaiters-q.freeSoon, (len(q.waiters)-inUse+1)/2)
}

// SetFreeSoon sets how many of the connections in use will be free soon at a known time, so that as many attempts wait for
// them although a connect is due.
func (q *Queue[T]) SetFreeSoon(n int) { q.freeSoon = n }

// ConnectsDue returns how many connects are to start now, if inUse connections are in use and a connect is late after the
// duration lateAfter. The caller calls ConnectStarted or DropLast for each of them.
func (q *Queue[T]) ConnectsDue(now time.Duration, inUse int, lateAfter time.Duration) int {
	needed, timely := q.neededConnects(now, inUse), 0
	for _, connect := range q.pendingConnects {
		if now < connect.startedAt+lateAfter {
			timely++
		}
	}
	return max(0, min(needed-timely, 2*needed-len(q.pendingConnects)))
}

// ConnectStarted records that a connect has started, and returns its id.
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

// ConnectSucceeded records that a connect has succeeded, and returns how long it took. The connection is free, and Pop returns
// the attempt that is to use it.
func (q *Queue[T]) ConnectSucceeded(now time.Duration, id int) time.Duration {
	return q.removePending(now, id)
}

// DropLast removes and returns the last attempt if fewer connects are pending than needed. The caller uses it when a connect
// cannot be started.
func (q *Queue[T]) DropLast(now time.Duration, inUse int) (item T, ok bool) {
	if q.neededConnects(now, inUse) <= len(q.pendingConnects) {
		return item, false
	}
	last := len(q.waiters) - 1
	item = q.waiters[last].item
	q.waiters[last] = waiter[T]{} // the array must not refer to it
	q.waiters = q.waiters[:last]
	return item, true
}

// ConnectFailed records that a connect has failed. It removes and returns the first attempt if no other connect is pending
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
	q.waiters[0] = waiter[T]{} // the array must not refer to it
	q.waiters = q.waiters[1:]
	return item, true
}

// Remove removes a cancelled attempt, and reports whether it was waiting.
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

// Next returns when PopExpired and ConnectsDue are to be called again, or false if no attempt waits.
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

// Len returns the number of waiting attempts.
func (q *Queue[T]) Len() int { return len(q.waiters) }
