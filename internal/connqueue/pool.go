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

// Wait is how long an attempt may wait for a connection in use: the part of the aim that a new
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
	set   Settings
	line  []waiter[T]
	opens []opening
	ids   int
}

type waiter[T comparable] struct {
	item  T
	until time.Duration // when one is opened for it
}

type opening struct {
	id int
	at time.Duration
}

// New makes an empty line.
func New[T comparable](set Settings) *Queue[T] { return &Queue[T]{set: set} }

// Enqueue puts an item for which no connection is free into the line.
func (p *Queue[T]) Enqueue(now time.Duration, item T) {
	p.line = append(p.line, waiter[T]{item, now + p.set.FreeConnWait})
}

// needed is how many connections are to be opened for those that wait, with so many in use: each takes
// one, and one more may wait for it.
func (p *Queue[T]) needed(now time.Duration, inUse int) int {
	due := 0
	for due < len(p.line) && p.line[due].until <= now {
		due++
	}
	return max(due, (len(p.line)-inUse+1)/2)
}

// ConnectsDue says how many connections are to be opened now; late is how long one may take. The caller says
// Opening for each.
func (p *Queue[T]) ConnectsDue(now time.Duration, inUse int, late time.Duration) int {
	needed, timely := p.needed(now, inUse), 0
	for _, o := range p.opens {
		if now < o.at+late {
			timely++
		}
	}
	return max(0, min(needed-timely, 2*needed-len(p.opens)))
}

// ConnectStarted notes that a connection is being opened, and names it.
func (p *Queue[T]) ConnectStarted(now time.Duration) (id int) {
	p.ids++
	p.opens = append(p.opens, opening{p.ids, now})
	return p.ids
}

// took is how long a connection has been opened for; it is no longer.
func (p *Queue[T]) took(now time.Duration, id int) time.Duration {
	for i, o := range p.opens {
		if o.id == id {
			p.opens = append(p.opens[:i:i], p.opens[i+1:]...)
			return now - o.at
		}
	}
	return 0
}

// ConnectSucceeded notes that a connection has come up, and says how long it took. It is free: Free gives out
// whose it is.
func (p *Queue[T]) ConnectSucceeded(now time.Duration, id int) time.Duration { return p.took(now, id) }

// DropLast gives out the last in the line, if there is no room for the connection that it needs.
func (p *Queue[T]) DropLast(now time.Duration, inUse int) (item T, ok bool) {
	if p.needed(now, inUse) <= len(p.opens) {
		return item, false
	}
	item = p.line[len(p.line)-1].item
	p.line = p.line[:len(p.line)-1]
	return item, true
}

// ConnectFailed notes that a connection did not come up, and gives out the first in the line, if none is
// being opened for it.
func (p *Queue[T]) ConnectFailed(now time.Duration, id, inUse int) (item T, ok bool) {
	p.took(now, id)
	if p.needed(now, inUse) <= len(p.opens) {
		return item, false
	}
	return p.Pop()
}

// Pop gives out the first in the line: a connection is free.
func (p *Queue[T]) Pop() (item T, ok bool) {
	if len(p.line) == 0 {
		return item, false
	}
	item = p.line[0].item
	p.line = p.line[1:]
	return item, true
}

// Remove takes out an item that is given up; false: it does not wait.
func (p *Queue[T]) Remove(item T) bool {
	for i, w := range p.line {
		if w.item == item {
			p.line = append(p.line[:i:i], p.line[i+1:]...)
			return true
		}
	}
	return false
}

// PopExpired gives out one that has waited too long: it goes without. It is to be asked until there is none.
func (p *Queue[T]) PopExpired(now time.Duration) (item T, ok bool) {
	if len(p.line) == 0 || now < p.line[0].until+p.set.ConnectTimeout {
		return item, false
	}
	return p.Pop()
}

// Next is when to ask Open and Over again.
func (p *Queue[T]) Next(now, late time.Duration) (at time.Duration, ok bool) {
	if len(p.line) == 0 {
		return 0, false
	}
	at = p.line[0].until + p.set.ConnectTimeout
	for _, w := range p.line {
		if w.until > now {
			at = min(at, w.until)
			break
		}
	}
	for _, o := range p.opens {
		if next := o.at + late; next > now {
			at = min(at, next)
		}
	}
	return max(at, now), true
}

// Len is how many wait.
func (p *Queue[T]) Len() int { return len(p.line) }
