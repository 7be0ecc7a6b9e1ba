//go:build interleave

package sync

import (
	"time"

	"wheatsaddle/internal/interleave/steps"
)

type (
	Mutex   = steps.Mutex
	RWMutex = steps.RWMutex
	Once    = steps.Once
)

func Go(f func())                                           { steps.Go(f) }
func Reads[T any](p *T)                                     { steps.Reads(p) }
func Writes[T any](p *T)                                    { steps.Writes(p) }
func Point(kind, on string)                                 { steps.Point(kind, on) }
func Send[T any](ch chan<- T, v T)                          { steps.Send(ch, v) }
func TrySend[T any](ch chan<- T, v T) bool                  { return steps.TrySend(ch, v) }
func Recv[T any](ch <-chan T) (T, bool)                     { return steps.Recv(ch) }
func TryRecv[T any](ch <-chan T) (v T, ok, had bool)        { return steps.TryRecv(ch) }
func Either[A, B any](a <-chan A, b <-chan B) (A, B, bool)  { return steps.Either(a, b) }
func SendOr[T, D any](ch chan<- T, v T, done <-chan D) bool { return steps.SendOr(ch, v, done) }
func Close[T any](ch chan<- T)                              { steps.Close(ch) }
func Pause(done <-chan struct{}, d time.Duration) bool      { return steps.Pause(done, d) }
func PauseFor(kind, on string, d time.Duration)             { steps.PauseFor(kind, on, d) }
