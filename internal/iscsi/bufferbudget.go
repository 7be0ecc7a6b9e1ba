package iscsi

import (
	"sync/atomic"

	"wheatsaddle/internal/memory"
)

const (
	// maxBufferedBytes is the maximum number of bytes of write and read data that all sessions may reserve in total.
	maxBufferedBytes = 32 << 20
	// dataCopies is how often the data of a command may be in memory: received from two attempts, and encoded for the initiator.
	dataCopies = 3
	// sessionBytes is the memory of a session without the data of its commands: a PDU, the buffers and the goroutines.
	sessionBytes = 112 << 10
)

// bufferBudget limits the memory for the data of all commands. Any goroutine may use it.
type bufferBudget struct {
	reserved atomic.Int64
	account  *memory.Account // nil: only maxBufferedBytes limits it
}

// reserve reserves the bytes that a task transfers, if they are available. It is called before a buffer is allocated, so that
// initiators cannot exhaust the memory.
func (b *bufferBudget) reserve(task *scsiTask) bool {
	size := int64(task.length)
	if b.reserved.Add(size) > maxBufferedBytes {
		b.reserved.Add(-size)
		return false
	}
	if !b.account.TryAcquire(memory.BlockData, dataCopies*size) {
		b.reserved.Add(-size)
		return false
	}
	task.buffer = &bufferShare{budget: b, size: size}
	task.buffer.holders.Store(1)
	return true
}

// bufferShare is the part of the budget that one command has reserved. Several holders may refer to the command's data; the
// share is returned when the last of them releases it. A nil share is valid and empty.
type bufferShare struct {
	budget  *bufferBudget
	size    int64
	holders atomic.Int32
}

// share adds a holder and returns the share.
func (s *bufferShare) share() *bufferShare {
	s.holders.Add(1)
	return s
}

// release removes a holder.
func (s *bufferShare) release() {
	if s != nil && s.holders.Add(-1) == 0 {
		s.budget.reserved.Add(-s.size)
		s.budget.account.Release(memory.BlockData, dataCopies*s.size)
	}
}
