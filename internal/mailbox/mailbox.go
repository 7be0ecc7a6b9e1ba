// Package mailbox is the bounded queue of an actor, with memory for the waiting messages only. A scheduler has an actor for
// each of some hundreds of nodes, of which most are idle: a buffered channel would hold memory for its bound at each.
//
// Invariants:
//   - Each message is taken once, in the order in which the messages were put.
//   - Put never waits, and leaves no more messages than the bound in the queue.
//   - PutUnbounded accepts messages beyond the bound. Its callers bound themselves, for example to one message for each
//     connection.
//   - While a message waits, Wake is ready or a Take is about to be called.
//   - An emptied queue has capacity for at most maxIdleCapacity messages.
package mailbox

import "wheatsaddle/internal/interleave/sync"

// maxIdleCapacity is the number of messages for which an empty queue keeps memory.
const maxIdleCapacity = 16

// Queue is one actor's mailbox: any goroutine puts, one takes.
type Queue[T any] struct {
	max      int
	mu       sync.Mutex // guards messages
	messages []T
	wake     chan struct{}
}

// New makes an empty queue for at most maxMessages messages.
func New[T any](maxMessages int) *Queue[T] {
	return &Queue[T]{max: maxMessages, wake: make(chan struct{}, 1)}
}

// Put adds a message; false: the queue is full, and nothing was added.
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

// PutUnbounded adds a message also to a full queue, for messages that must not be lost and are bounded by their callers.
func (b *Queue[T]) PutUnbounded(m T) {
	b.mu.Lock()
	sync.Writes(&b.messages)
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	b.notify()
}

// notify makes Wake ready.
func (b *Queue[T]) notify() { sync.TrySend(b.wake, struct{}{}) }

// Wake is ready when a message may wait.
func (b *Queue[T]) Wake() <-chan struct{} { return b.wake }

// Take takes all waiting messages. The slice that it returned before may be passed back for reuse.
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

// Len returns the number of waiting messages.
func (b *Queue[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sync.Reads(&b.messages)
	return len(b.messages)
}
