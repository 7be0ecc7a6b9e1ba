//go:build !interleave

package sync_test

import (
	real "sync"
	"testing"

	"wheatsaddle/internal/interleave/sync"
)

// The alias is the type itself: an ordinary build has nothing of the checker.
var _ *real.Mutex = (*sync.Mutex)(nil)

var n int

func language(mu *real.Mutex, ch chan int) {
	mu.Lock()
	n++
	mu.Unlock()
	select {
	case ch <- 1:
	default:
	}
	<-ch
}

func aliased(mu *sync.Mutex, ch chan int) {
	mu.Lock()
	sync.Writes(&n)
	n++
	mu.Unlock()
	sync.TrySend(ch, 1)
	sync.Recv(ch)
}

// The same work by the language and by the package; the figures are the same but for noise.
func BenchmarkOrdinary(b *testing.B) {
	var mu real.Mutex
	ch := make(chan int, 1)
	b.Run("language", func(b *testing.B) {
		for b.Loop() {
			language(&mu, ch)
		}
	})
	b.Run("package", func(b *testing.B) {
		for b.Loop() {
			aliased(&mu, ch)
		}
	})
}
