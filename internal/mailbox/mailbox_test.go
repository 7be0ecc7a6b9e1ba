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
		q := New[int](maxMessages)
		var model, buf []int
		next := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0, 1:
				next++
				if ok := q.Put(next); ok != (len(model) < maxMessages) {
					t.Fatalf("Put returned %v with %d of %d messages queued", ok, len(model), maxMessages)
				} else if ok {
					model = append(model, next)
				}
			case 2:
				next++
				q.PutUnbounded(next)
				model = append(model, next)
			default:
				select {
				case <-q.Wake():
				default:
					if len(model) > 0 {
						t.Fatal("messages are queued, but Wake is not ready")
					}
				}
				buf = q.Take(buf)
				if len(buf) != len(model) {
					t.Fatalf("took %v, want %v", buf, model)
				}
				for i := range buf {
					if buf[i] != model[i] {
						t.Fatalf("took %v, want %v", buf, model)
					}
				}
				model = nil
				if cap(q.messages) > maxIdleCapacity {
					t.Fatalf("an empty queue has capacity for %d messages", cap(q.messages))
				}
			}
			if q.Len() != len(model) {
				t.Fatalf("Len is %d, want %d", q.Len(), len(model))
			}
		}
	})
}

// Many goroutines put messages concurrently. The taker waits only on Wake and receives every message.
func TestConcurrentPutsAreAllTaken(*testing.T) {
	const putters, each = 8, 2000
	q := New[int](1 << 20)
	var wg sync.WaitGroup
	for range putters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
				q.Put(i)
			}
		}()
	}
	got := 0
	var buf []int
	for got < putters*each {
		<-q.Wake()
		buf = q.Take(buf)
		got += len(buf)
	}
	wg.Wait()
}
