//go:build interleave

package sync

import (
	"context"
	"sync"
	"time"

	"wheatsaddle/internal/interleave/steps"
)

type (
	Mutex   = steps.Mutex
	RWMutex = steps.RWMutex
	Once    = steps.Once

	WaitGroup = sync.WaitGroup
)

func Go(f func())                                          { steps.Go(f) }
func Reads[T any](p *T)                                    { steps.Reads(p) }
func Writes[T any](p *T)                                   { steps.Writes(p) }
func Point(kind, on string)                                { steps.Point(kind, on) }
func Send[T any](ch chan<- T, v T)                         { steps.Send(ch, v) }
func TrySend[T any](ch chan<- T, v T) bool                 { return steps.TrySend(ch, v) }
func Recv[T any](ch <-chan T) (T, bool)                    { return steps.Recv(ch) }
func TryRecv[T any](ch <-chan T) (v T, ok, had bool)       { return steps.TryRecv(ch) }
func Either[A, B any](a <-chan A, b <-chan B) (A, B, bool) { return steps.Either(a, b) }
func First3[A, B, C any](a <-chan A, b <-chan B, c <-chan C) (A, B, C, int) {
	return steps.First3(a, b, c)
}
func First4[A, B, C, D any](a <-chan A, b <-chan B, c <-chan C, d <-chan D) (A, B, C, D, int) {
	return steps.First4(a, b, c, d)
}
func First5[A, B, C, D, E any](a <-chan A, b <-chan B, c <-chan C, d <-chan D, e <-chan E) (A, B, C, D, E, int) {
	return steps.First5(a, b, c, d, e)
}
func WithCancel(parent context.Context) (context.Context, context.CancelFunc) {
	return steps.WithCancel(parent)
}
func SendOr[T, D any](ch chan<- T, v T, done <-chan D) bool { return steps.SendOr(ch, v, done) }
func SendOrEither[T, A, B any](ch chan<- T, v T, a <-chan A, b <-chan B) bool {
	return steps.SendOrEither(ch, v, a, b)
}
func Close[T any](ch chan<- T)                         { steps.Close(ch) }
func Pause(done <-chan struct{}, d time.Duration) bool { return steps.Pause(done, d) }
func PauseFor(kind, on string, d time.Duration)        { steps.PauseFor(kind, on, d) }
