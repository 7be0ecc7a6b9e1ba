// Package connqueue owns which attempts wait for which connection to their node: one in use that will be
// free, or one that is being opened; and when another is opened. A new connection costs the node
// work and the first request on it time, and where the settings price it, it costs the deployment
// worth as well: so a short wait for one in use is the cheaper way. And a connection may come up late: so
// no attempt is bound to the one opened for it, it takes what comes first, and past a late one another
// is opened.
//
// Invariants:
//   - Nobody waits for one in use alone longer than Wait, nor where Wait is zero: then one is being
//     opened for it.
//   - At most one waits for each connection in use, or about to be, without one being opened: the next
//     is not free sooner than in two turns.
//   - Who came first goes first; each that waits is given out exactly once, or removed.
//   - For each for which one is to be opened, at most two are: the second once the first is late.
//   - Nobody waits longer than Wait and Patience. One whose connection failed is given out as one
//     without, unless another is being opened for it.
//
// It knows no clock and does no I/O: the caller gives the time, and asks when to come again. It does
// not decide how many connections there may be, nor which node a request goes to.
package connqueue

import "time"

// MaxWaitDivisor bounds the wait to this part of an aim, however dear a connection is.
const MaxWaitDivisor = 4

// LateFactor the usual time of a connect makes one late, and MinLate at least.
const (
	LateFactor = 4
	MinLate    = 10 * time.Millisecond
)

// FreeConnWait is how long an attempt may wait for a connection in use: the part of the aim that a new
// connection's price is of a request's worth. Waiting for the whole aim costs the whole worth.
func MaxFreeConnWait(price float64, aim time.Duration) time.Duration {
	return max(0, min(time.Duration(price*float64(aim)), aim/MaxWaitDivisor))
}

// Settings are a pool's.
type Settings struct {
	FreeConnWait   time.Duration // for a connection in use, before one is opened
	ConnectTimeout time.Duration // for one that is being opened
}

// Queue is the line before one node's connections.
type Queue[T comparable] struct {
	settings        Settings
	waiters         []waiter[T]
	pendingConnects []pendingConnect
	lastID          int
}

type waiter[T comparable] struct {
	item         T
	connectDueAt time.Duration // when one is opened for it
}

type pendingConnect struct {
	id        int
	startedAt time.Duration
}

// New makes an empty line.
func New[T comparable](set Settings) *Queue[T] { return &Queue[T]{settings: set} }

// Enqueue puts an item for which no connection is free into the line.
func (p *Queue[T]) Enqueue(now time.Duration, item T) {
	p.waiters = append(p.waiters, waiter[T]{item, now + p.settings.FreeConnWait})
}

// needed is how many connections are to be opened for those that wait, with so many in use: each takes
// one, and one more may wait for it.
func (p *Queue[T]) needed(now time.Duration, inUse int) int {
	due := 0
	for due < len(p.waiters) && p.waiters[due].connectDueAt <= now {
		due++
	}
	return max(due, (len(p.waiters)-inUse+1)/2)
}

// ConnectsDue says how many connections are to be opened now; late is how long one may take. The caller says
// Opening for each.
func (p *Queue[T]) ConnectsDue(now time.Duration, inUse int, late time.Duration) int {
	needed, timely := p.needed(now, inUse), 0
	for _, o := range p.pendingConnects {
		if now < o.startedAt+late {
			timely++
		}
	}
	return max(0, min(needed-timely, 2*needed-len(p.pendingConnects)))
}

// ConnectStarted notes that a connection is being opened, and names it.
func (p *Queue[T]) ConnectStarted(now time.Duration) (id int) {
	p.lastID++
	p.pendingConnects = append(p.pendingConnects, pendingConnect{p.lastID, now})
	return p.lastID
}

// removePending is how long a connection has been opened for; it is no longer.
func (p *Queue[T]) removePending(now time.Duration, id int) time.Duration {
	for i, o := range p.pendingConnects {
		if o.id == id {
			p.pendingConnects = append(p.pendingConnects[:i:i], p.pendingConnects[i+1:]...)
			return now - o.startedAt
		}
	}
	return 0
}

// ConnectSucceeded notes that a connection has come up, and says how long it took. It is free: Free gives out
// whose it is.
func (p *Queue[T]) ConnectSucceeded(now time.Duration, id int) time.Duration {
	return p.removePending(now, id)
}

// DropLast gives out the last in the line, if there is no room for the connection that it needs.
func (p *Queue[T]) DropLast(now time.Duration, inUse int) (item T, ok bool) {
	if p.needed(now, inUse) <= len(p.pendingConnects) {
		return item, false
	}
	item = p.waiters[len(p.waiters)-1].item
	p.waiters = p.waiters[:len(p.waiters)-1]
	return item, true
}

// ConnectFailed notes that a connection did not come up, and gives out the first in the line, if none is
// being opened for it.
func (p *Queue[T]) ConnectFailed(now time.Duration, id, inUse int) (item T, ok bool) {
	p.removePending(now, id)
	if p.needed(now, inUse) <= len(p.pendingConnects) {
		return item, false
	}
	return p.Pop()
}

// Pop gives out the first in the line: a connection is free.
func (p *Queue[T]) Pop() (item T, ok bool) {
	if len(p.waiters) == 0 {
		return item, false
	}
	item = p.waiters[0].item
	p.waiters = p.waiters[1:]
	return item, true
}

// Remove takes out an item that is given up; false: it does not wait.
func (p *Queue[T]) Remove(item T) bool {
	for i, w := range p.waiters {
		if w.item == item {
			p.waiters = append(p.waiters[:i:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// PopExpired gives out one that has waited too long: it goes without. It is to be asked until there is none.
func (p *Queue[T]) PopExpired(now time.Duration) (item T, ok bool) {
	if len(p.waiters) == 0 || now < p.waiters[0].connectDueAt+p.settings.ConnectTimeout {
		return item, false
	}
	return p.Pop()
}

// Next is when to ask Open and Over again.
func (p *Queue[T]) Next(now, late time.Duration) (at time.Duration, ok bool) {
	if len(p.waiters) == 0 {
		return 0, false
	}
	at = p.waiters[0].connectDueAt + p.settings.ConnectTimeout
	for _, w := range p.waiters {
		if w.connectDueAt > now {
			at = min(at, w.connectDueAt)
			break
		}
	}
	for _, o := range p.pendingConnects {
		if next := o.startedAt + late; next > now {
			at = min(at, next)
		}
	}
	return max(at, now), true
}

// Len is how many wait.
func (p *Queue[T]) Len() int { return len(p.waiters) }
