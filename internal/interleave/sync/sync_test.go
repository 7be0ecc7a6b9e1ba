//go:build !interleave

package sync_test

import (
	real "sync"
	"testing"

	"wheatsaddle/internal/interleave/sync"
)

// Compiles only if the package's type is an alias of the standard one: an ordinary build has no code of the checker.
var _ *real.Mutex = (*sync.Mutex)(nil)

var counter int

func viaStandardLibrary(mu *real.Mutex, ch chan int) {
	mu.Lock()
	counter++
	mu.Unlock()
	select {
	case ch <- 1:
	default:
	}
	<-ch
}

func viaPackage(mu *sync.Mutex, ch chan int) {
	mu.Lock()
	sync.Writes(&counter)
	counter++
	mu.Unlock()
	sync.TrySend(ch, 1)
	sync.Recv(ch)
}

// BenchmarkOrdinary runs the same work with the standard library and with the package. The times must differ by noise only.
func BenchmarkOrdinary(b *testing.B) {
	var mu real.Mutex
	ch := make(chan int, 1)
	b.Run("standard library", func(b *testing.B) {
		for b.Loop() {
			viaStandardLibrary(&mu, ch)
		}
	})
	b.Run("package", func(b *testing.B) {
		for b.Loop() {
			viaPackage(&mu, ch)
		}
	})
}
