package mailbox

import (
	"sync"
	"testing"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// The queue behaves like a slice with a bound. Wake is ready while messages are queued, and an empty queue keeps little
// capacity.
func TestQueueAgainstSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxMessages := rapid.IntRange(1, 40).Draw(t, "maxMessages")
		b := New[int](maxMessages)
		var model, buf []int
		next := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0, 1:
				next++
				if ok := b.Put(next); ok != (len(model) < maxMessages) {
					t.Fatalf("Put returned %v with %d of %d messages queued", ok, len(model), maxMessages)
				} else if ok {
					model = append(model, next)
				}
			case 2:
				next++
				b.PutUnbounded(next)
				model = append(model, next)
			default:
				select {
				case <-b.Wake():
				default:
					if len(model) > 0 {
						t.Fatal("messages are queued, but Wake is not ready")
					}
				}
				buf = b.Take(buf)
				if len(buf) != len(model) {
					t.Fatalf("took %v, want %v", buf, model)
				}
				for i := range buf {
					if buf[i] != model[i] {
						t.Fatalf("took %v, want %v", buf, model)
					}
				}
				model = nil
				if cap(b.messages) > maxIdleCapacity {
					t.Fatalf("an empty queue has capacity for %d messages", cap(b.messages))
				}
			}
			if b.Len() != len(model) {
				t.Fatalf("Len is %d, want %d", b.Len(), len(model))
			}
		}
	})
}

// Many goroutines put messages concurrently. The taker waits only on Wake and receives every message.
func TestConcurrentPutsAreAllTaken(*testing.T) {
	const putters, each = 8, 2000
	b := New[int](1 << 20)
	var wg sync.WaitGroup
	for range putters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				b.Put(i)
			}
		}()
	}
	got := 0
	var buf []int
	for got < putters*each {
		<-b.Wake()
		buf = b.Take(buf)
		got += len(buf)
	}
	wg.Wait()
}
