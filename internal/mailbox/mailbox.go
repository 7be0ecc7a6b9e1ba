// Package mailbox provides the bounded message queue of an actor. It allocates memory only for queued messages. A scheduler
// has an actor for each of some hundreds of nodes, most of which are idle, and a buffered channel would allocate its full
// capacity for each of them.
//
// Invariants:
//   - Each message is taken once, and messages are taken in the order in which they were put.
//   - Put never blocks, and adds no message to a queue that holds as many messages as the bound.
//   - PutUnbounded accepts messages beyond the bound. Its callers limit their number themselves, for example to one message
//     per connection.
//   - While a message is queued, Wake is ready or a call of Take is about to follow.
//   - An emptied queue has capacity for at most maxIdleCapacity messages.
package mailbox

import "wheatsaddle/internal/interleave/sync"

// maxIdleCapacity is the maximum number of messages for which an empty queue keeps memory allocated.
const maxIdleCapacity = 16

// Queue is the mailbox of an actor. Any goroutine may put messages, and only one may take them.
type Queue[T any] struct {
	max      int
	mu       sync.Mutex // guards messages
	messages []T
	wake     chan struct{}
}

// New returns an empty queue for at most maxMessages messages.
func New[T any](maxMessages int) *Queue[T] {
	return &Queue[T]{max: maxMessages, wake: make(chan struct{}, 1)}
}

// Put adds a message. It returns false and adds nothing if the queue is full.
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

// PutUnbounded adds a message even if the queue is full. It is for messages that must not be lost and whose number is
// limited by the callers.
func (b *Queue[T]) PutUnbounded(m T) {
	b.mu.Lock()
	sync.Writes(&b.messages)
	b.messages = append(b.messages, m)
	b.mu.Unlock()
	b.notify()
}

// notify makes Wake ready.
func (b *Queue[T]) notify() { sync.TrySend(b.wake, struct{}{}) }

// Wake returns a channel that is ready when messages may be queued.
func (b *Queue[T]) Wake() <-chan struct{} { return b.wake }

// Take removes and returns all queued messages. The slice that the previous call returned may be passed for reuse.
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

// Len returns the number of queued messages.
func (b *Queue[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sync.Reads(&b.messages)
	return len(b.messages)
}
