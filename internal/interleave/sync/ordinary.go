//go:build !interleave

package sync

import (
	"context"
	"sync"
	"time"
)

type (
	// Mutex is sync.Mutex.
	Mutex = sync.Mutex
	// RWMutex is sync.RWMutex.
	RWMutex = sync.RWMutex
	// Once is sync.Once.
	Once = sync.Once

	// WaitGroup is sync.WaitGroup.
	WaitGroup = sync.WaitGroup // not a step under the checker either
)

// Go is a go statement.
func Go(f func()) { go f() }

// Reads declares to the checker that the caller reads a plain variable, which a lock or a happens-before relation guards.
// In an ordinary build it does nothing.
func Reads[T any](*T) {}

// Writes declares to the checker that the caller writes a plain variable. In an ordinary build it does nothing.
func Writes[T any](*T) {}

// Step is a step of the checker on an object outside the process, for example on a file, which is named by its path.
// In an ordinary build it does nothing.
func Step(_, _ string) {}

// Send is ch <- v.
func Send[T any](ch chan<- T, v T) { ch <- v }

// TrySend is a select of ch <- v and default.
func TrySend[T any](ch chan<- T, v T) bool {
	select {
	case ch <- v:
		return true
	default:
		return false
	}
}

// Recv is v, ok := <-ch.
func Recv[T any](ch <-chan T) (T, bool) {
	v, ok := <-ch
	return v, ok
}

// TryRecv is a select of v, ok = <-ch and default; had: a value was received, or the channel is closed.
func TryRecv[T any](ch <-chan T) (v T, ok, had bool) {
	select {
	case v, ok = <-ch:
		return v, ok, true
	default:
		return v, false, false
	}
}

// Either is a select of two receives; first: a received.
func Either[A, B any](a <-chan A, b <-chan B) (va A, vb B, first bool) {
	select {
	case va = <-a:
		return va, vb, true
	case vb = <-b:
		return va, vb, false
	}
}

// First3 is a select of three receives; which is the index, from 0, of the one that received. A nil channel never does.
func First3[A, B, C any](a <-chan A, b <-chan B, c <-chan C) (va A, vb B, vc C, which int) {
	select {
	case va = <-a:
	case vb = <-b:
		which = 1
	case vc = <-c:
		which = 2
	}
	return va, vb, vc, which
}

// First4 is a select of four receives.
func First4[A, B, C, D any](a <-chan A, b <-chan B, c <-chan C, d <-chan D) (va A, vb B, vc C, vd D, which int) {
	select {
	case va = <-a:
	case vb = <-b:
		which = 1
	case vc = <-c:
		which = 2
	case vd = <-d:
		which = 3
	}
	return va, vb, vc, vd, which
}

// First5 is a select of five receives.
func First5[A, B, C, D, E any](a <-chan A, b <-chan B, c <-chan C, d <-chan D, e <-chan E) (va A, vb B, vc C, vd D, ve E, which int) {
	select {
	case va = <-a:
	case vb = <-b:
		which = 1
	case vc = <-c:
		which = 2
	case vd = <-d:
		which = 3
	case ve = <-e:
		which = 4
	}
	return va, vb, vc, vd, ve, which
}

// WithCancel is context.WithCancel; under the checker the call of cancel is a step.
func WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithCancel(parent)
}

// SendOr is a select of ch <- v and <-done; true: v was sent.
func SendOr[T, D any](ch chan<- T, v T, done <-chan D) bool {
	select {
	case ch <- v:
		return true
	case <-done:
		return false
	}
}

// SendOrEither is a select of ch <- v, <-a and <-b; true: v was sent.
func SendOrEither[T, A, B any](ch chan<- T, v T, a <-chan A, b <-chan B) bool {
	select {
	case ch <- v:
		return true
	case <-a:
	case <-b:
	}
	return false
}

// Close is close(ch).
func Close[T any](ch chan<- T) { close(ch) }

// Pause waits before a retry; true: the channel was closed first.
func Pause(done <-chan struct{}, d time.Duration) (ended bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	}
}

// PauseFor waits before a retry; under the checker, until another thread has called Step with the same kind and object.
func PauseFor(_, _ string, d time.Duration) { time.Sleep(d) }
