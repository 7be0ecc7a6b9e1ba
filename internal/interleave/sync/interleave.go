//go:build interleave

package sync

import (
	"context"
	"sync"
	"time"

	"wheatsaddle/internal/interleave/steps"
)

type (
	// Mutex is sync.Mutex, with its operations as steps of the checker.
	Mutex = steps.Mutex
	// RWMutex is sync.RWMutex, with its operations as steps of the checker.
	RWMutex = steps.RWMutex
	// Once is sync.Once, with its operations as steps of the checker.
	Once = steps.Once

	// WaitGroup is sync.WaitGroup; its operations are not steps.
	WaitGroup = sync.WaitGroup
)

// Go is the ordinary Go as a step of the checker.
func Go(f func()) { steps.Go(f) }

// Reads is the ordinary Reads; the checker looks for data races at it. It is not a step.
func Reads[T any](p *T) { steps.Reads(p) }

// Writes is the ordinary Writes; the checker looks for data races at it. It is not a step.
func Writes[T any](p *T) { steps.Writes(p) }

// Step is the ordinary Step as a step of the checker.
func Step(kind, on string) { steps.Step(kind, on) }

// Send is the ordinary Send as a step of the checker.
func Send[T any](ch chan<- T, v T) { steps.Send(ch, v) }

// TrySend is the ordinary TrySend as a step of the checker.
func TrySend[T any](ch chan<- T, v T) bool { return steps.TrySend(ch, v) }

// Recv is the ordinary Recv as a step of the checker.
func Recv[T any](ch <-chan T) (T, bool) { return steps.Recv(ch) }

// TryRecv is the ordinary TryRecv as a step of the checker.
func TryRecv[T any](ch <-chan T) (v T, ok, had bool) { return steps.TryRecv(ch) }

// Either is the ordinary Either as a step of the checker.
func Either[A, B any](a <-chan A, b <-chan B) (A, B, bool) { return steps.Either(a, b) }

// First3 is the ordinary First3 as a step of the checker.
func First3[A, B, C any](a <-chan A, b <-chan B, c <-chan C) (A, B, C, int) {
	return steps.First3(a, b, c)
}

// First4 is the ordinary First4 as a step of the checker.
func First4[A, B, C, D any](a <-chan A, b <-chan B, c <-chan C, d <-chan D) (A, B, C, D, int) {
	return steps.First4(a, b, c, d)
}

// First5 is the ordinary First5 as a step of the checker.
func First5[A, B, C, D, E any](a <-chan A, b <-chan B, c <-chan C, d <-chan D, e <-chan E) (A, B, C, D, E, int) {
	return steps.First5(a, b, c, d, e)
}

// WithCancel is the ordinary WithCancel as a step of the checker.
func WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	return steps.WithCancel(parent)
}

// SendOr is the ordinary SendOr as a step of the checker.
func SendOr[T, D any](ch chan<- T, v T, done <-chan D) bool { return steps.SendOr(ch, v, done) }

// SendOrEither is the ordinary SendOrEither as a step of the checker.
func SendOrEither[T, A, B any](ch chan<- T, v T, a <-chan A, b <-chan B) bool {
	return steps.SendOrEither(ch, v, a, b)
}

// Close is the ordinary Close as a step of the checker.
func Close[T any](ch chan<- T) { steps.Close(ch) }

// Pause is the ordinary Pause as a step of the checker.
func Pause(done <-chan struct{}, d time.Duration) bool { return steps.Pause(done, d) }

// PauseFor is the ordinary PauseFor as a step of the checker.
func PauseFor(kind, on string, d time.Duration) { steps.PauseFor(kind, on, d) }
