// Package pool owns which attempts wait a moment for a connection that is in use at their node,
// and which have another opened at once. A new connection costs the node work and the first
// request on it time, and where the settings price it, it costs the deployment worth as well: so
// a short wait for one that is about to be free is the cheaper way.
//
// Invariants:
//   - Nobody waits longer than Wait, nor where Wait is zero.
//   - At most one waits for each connection in use: the next is not free sooner than in two turns.
//   - Who came first goes first; each that waits is given out exactly once, or removed.
//
// It knows no clock and does no I/O: the caller gives the time, and asks when to come again. It does
// not decide how many connections there may be, nor which node a request goes to.
package pool

import "time"

// Share bounds the wait to this part of an aim, however dear a connection is.
const Share = 4

// Wait is how long an attempt may wait for a connection in use: the part of the aim that a new
// connection's price is of a request's worth. Waiting for the whole aim costs the whole worth.
func Wait(price float64, aim time.Duration) time.Duration {
	return max(0, min(time.Duration(price*float64(aim)), aim/Share))
}

// Pool is the line before one node's connections.
type Pool[T comparable] struct {
	wait time.Duration
	line []waiter[T]
}

type waiter[T comparable] struct {
	item  T
	until time.Duration
}

// New makes an empty line.
func New[T comparable](wait time.Duration) *Pool[T] { return &Pool[T]{wait: wait} }

// Want takes an item for which no connection is free while so many are in use; false: open one.
func (p *Pool[T]) Want(now time.Duration, item T, inUse int) (waits bool) {
	if p.wait <= 0 || len(p.line) >= inUse {
		return false
	}
	p.line = append(p.line, waiter[T]{item, now + p.wait})
	return true
}

// Free gives out the first in the line: a connection is free.
func (p *Pool[T]) Free() (item T, ok bool) {
	if len(p.line) == 0 {
		return item, false
	}
	item = p.line[0].item
	p.line = p.line[1:]
	return item, true
}

// Remove takes out an item that is given up; false: it does not wait.
func (p *Pool[T]) Remove(item T) bool {
	for i, w := range p.line {
		if w.item == item {
			p.line = append(p.line[:i:i], p.line[i+1:]...)
			return true
		}
	}
	return false
}

// Due gives out those whose wait is over: each has a connection opened. So has each for which
// there is none in use any more to wait for.
func (p *Pool[T]) Due(now time.Duration, inUse int) (items []T) {
	for len(p.line) > 0 && (p.line[0].until <= now || len(p.line) > inUse) {
		items = append(items, p.line[0].item)
		p.line = p.line[1:]
	}
	return items
}

// Next is when to ask for those due.
func (p *Pool[T]) Next() (at time.Duration, ok bool) {
	if len(p.line) == 0 {
		return 0, false
	}
	return p.line[0].until, true
}

// Len is how many wait.
func (p *Pool[T]) Len() int { return len(p.line) }
