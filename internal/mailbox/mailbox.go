// Package mailbox is the queue of an actor: bounded, and taking memory by what waits in it. A
// scheduler has an actor for each node of a list of some hundreds, of which most are idle at any
// time: a buffered channel would hold room for its bound at each of them.
//
// Invariants:
//   - What was put is taken once, in the order in which it was put.
//   - Put never waits, and never leaves more than the bound in the box.
//   - PutUnbounded takes what must not be lost past the bound: its callers bound themselves (one message
//     for each connection).
//   - Whenever something waits, Wake is ready, or a Take is about to come.
//   - A box that was emptied holds no more than maxIdleCapacity messages' room.
package mailbox

import "wheatsaddle/internal/interleave/sync"

// maxIdleCapacity is how many messages' room an empty box keeps.
const maxIdleCapacity = 16

// Queue is one actor's mailbox; any number put, one takes.
type Queue[T any] struct {
	max      int
	mu       sync.Mutex
	messages []T
	wake     chan struct{}
}

// New makes an empty box for so many messages.
func New[T any](max int) *Queue[T] {
	return &Queue[T]{max: max, wake: make(chan struct{}, 1)}
}

// Put puts a message; false: the box is full, and nothing was put.
func (b *Queue[T]) Put(m T) bool {
	b.mu.Lock()
	if len(b.messages) >= b.max {
		b.mu.Unlock()
		return false
	}
	sync.Writes(&b.messages)
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	b.notify()
	return true
}

// PutUnbounded puts a message whether or not the box is full: for what must not be lost and is bounded
// elsewhere.
func (b *Queue[T]) PutUnbounded(m T) {
	b.mu.Lock()
	sync.Writes(&b.messages)
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	b.notify()
}

func (b *Queue[T]) notify() { sync.TrySend(b.wake, struct{}{}) }

// Wake is ready when something may wait.
func (b *Queue[T]) Wake() <-chan struct{} { return b.wake }

// Take takes all that waits. The list taken last time may be given back to be filled again.
func (b *Queue[T]) Take(last []T) []T {
	if cap(last) > maxIdleCapacity {
		last = nil
	}
	clear(last)
	b.mu.Lock()
	defer b.mu.Unlock()
	sync.Writes(&b.messages)
	got := b.messages
	b.messages = last[:0]
	return got
}

// Len is how many wait.
func (b *Queue[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sync.Reads(&b.messages)
	return len(b.messages)
}
