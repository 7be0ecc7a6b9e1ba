package httpfront

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// minMemoryStep is the minimum number of bytes acquired at a time for a chunked body.
const minMemoryStep = 256 << 10

// MemoryBudget limits the memory of all request bodies over 64 KiB. A share is acquired before the body is allocated, and
// comes back when nothing refers to the body any more. Any goroutine may call the methods.
type MemoryBudget struct {
	size  int64
	free  *semaphore.Weighted
	inUse atomic.Int64
}

// NewMemoryBudget returns a budget of size bytes, all of them free.
func NewMemoryBudget(size int64) *MemoryBudget {
	return &MemoryBudget{size: size, free: semaphore.NewWeighted(size)}
}

// Size returns the number of bytes of the budget.
func (b *MemoryBudget) Size() int64 { return b.size }

// InUse returns the number of acquired bytes.
func (b *MemoryBudget) InUse() int64 { return b.inUse.Load() }

// tryAcquire acquires n bytes if they are free.
func (b *MemoryBudget) tryAcquire(n int64) bool {
	if !b.free.TryAcquire(n) {
		return false
	}
	b.inUse.Add(n)
	return true
}

// release returns n bytes.
func (b *MemoryBudget) release(n int64) {
	b.inUse.Add(-n)
	b.free.Release(n)
}

// bodyMemory is the share of the budget that one body has acquired. One goroutine at a time may use it.
type bodyMemory struct {
	budget   *MemoryBudget // nil: no limit
	size     int           // Content-Length; negative: chunked
	acquired int64
}

// grow acquires the additional memory for a buffer of size bytes. A buffer of up to maxBufferedBody needs none.
func (m *bodyMemory) grow(size int64) error {
	if size <= maxBufferedBody || size <= m.acquired || m.budget == nil {
		return nil
	}
	more := max(size-m.acquired, minMemoryStep)
	if m.size > 0 {
		more = size - m.acquired // all of it at once
	}
	if !m.budget.tryAcquire(more) {
		return errNoBodyMemory
	}
	m.acquired += more
	return nil
}

// release returns all acquired memory. Further calls do nothing.
func (m *bodyMemory) release() {
	if m.budget != nil && m.acquired > 0 {
		m.budget.release(m.acquired)
		m.acquired = 0
	}
}
