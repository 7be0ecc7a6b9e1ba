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

// Go is a go statement. Under the checker it is a step that starts a thread.
func Go(f func()) { steps.Go(f) }

// Reads declares to the checker that the caller reads a plain variable, so that it detects data races. It is not a step.
func Reads[T any](p *T) { steps.Reads(p) }

// Writes declares to the checker that the caller writes a plain variable, so that it detects data races. It is not a step.
func Writes[T any](p *T) { steps.Writes(p) }

// Step is Step of the ordinary build, as a step of the checker.
func Step(kind, on string) { steps.Step(kind, on) }

// Send is Send of the ordinary build, as a step of the checker.
func Send[T any](ch chan<- T, v T) { steps.Send(ch, v) }

// TrySend is TrySend of the ordinary build, as a step of the checker.
func TrySend[T any](ch chan<- T, v T) bool { return steps.TrySend(ch, v) }

// Recv is Recv of the ordinary build, as a step of the checker.
func Recv[T any](ch <-chan T) (T, bool) { return steps.Recv(ch) }

// TryRecv is TryRecv of the ordinary build, as a step of the checker.
func TryRecv[T any](ch <-chan T) (v T, ok, had bool) { return steps.TryRecv(ch) }

// Either is Either of the ordinary build, as a step of the checker.
func Either[A, B any](a <-chan A, b <-chan B) (A, B, bool) { return steps.Either(a, b) }

// First3 is First3 of the ordinary build, as a step of the checker.
func First3[A, B, C any](a <-chan A, b <-chan B, c <-chan C) (A, B, C, int) {
	return steps.First3(a, b, c)
}

// First4 is First4 of the ordinary build, as a step of the checker.
func First4[A, B, C, D any](a <-chan A, b <-chan B, c <-chan C, d <-chan D) (A, B, C, D, int) {
	return steps.First4(a, b, c, d)
}

// First5 is First5 of the ordinary build, as a step of the checker.
func First5[A, B, C, D, E any](a <-chan A, b <-chan B, c <-chan C, d <-chan D, e <-chan E) (A, B, C, D, E, int) {
	return steps.First5(a, b, c, d, e)
}

// WithCancel is WithCancel of the ordinary build; a call of the cancel function is a step of the checker.
func WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	return steps.WithCancel(parent)
}

// SendOr is SendOr of the ordinary build, as a step of the checker.
func SendOr[T, D any](ch chan<- T, v T, done <-chan D) bool { return steps.SendOr(ch, v, done) }

// SendOrEither is SendOrEither of the ordinary build, as a step of the checker.
func SendOrEither[T, A, B any](ch chan<- T, v T, a <-chan A, b <-chan B) bool {
	return steps.SendOrEither(ch, v, a, b)
}

// Close is Close of the ordinary build, as a step of the checker.
func Close[T any](ch chan<- T) { steps.Close(ch) }

// Pause is Pause of the ordinary build, as a step of the checker.
func Pause(done <-chan struct{}, d time.Duration) bool { return steps.Pause(done, d) }

// PauseFor is PauseFor of the ordinary build, as a step of the checker.
func PauseFor(kind, on string, d time.Duration) { steps.PauseFor(kind, on, d) }
