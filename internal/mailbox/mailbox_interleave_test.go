//go:build interleave

package mailbox

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/anishathalye/porcupine"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/history"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/interleave/sync"
)

const testBound = 2 // of the queue

// model is the sequential specification of the queue. A positive input is a Put, a negative one a PutUnbounded, and 0 a
// Take.
var model = porcupine.Model{
	Init: func() any { return []int(nil) },
	Step: func(state, input, output any) (bool, any) {
		queued, in := state.([]int), input.(int)
		switch {
		case in == 0:
			return slices.Equal(output.([]int), queued), []int(nil)
		case in < 0: // PutUnbounded
			return true, append(slices.Clip(queued), in)
		case output.(bool):
			return len(queued) < testBound, append(slices.Clip(queued), in)
		}
		return len(queued) >= testBound, queued
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]int), b.([]int)) },
}

// Two threads put messages and a third takes them. In every interleaving the calls are linearizable and the bound holds.
func TestInterleaveQueue(t *testing.T) {
	il.Check(t, il.Options{}, func() il.Program {
		q := New[int](testBound)
		var h history.History
		want, got := 0, 0
		put := func(client, n int) func() {
			return func() {
				if h.Do(client, n, func() any { return q.Put(n) }).(bool) {
					want++
				}
			}
		}
		return il.Program{
			Threads: []il.Thread{
				{Name: "putter", Run: func() { put(1, 1)(); put(1, 2)() }},
				{Name: "other-putter", Run: put(2, 3)},
				{Name: "taker", Run: func() {
					for range 2 {
						got += len(h.Do(3, 0, func() any { return q.Take(nil) }).([]int))
					}
				}},
			},
			Invariant: func() error {
				if len(q.messages) > testBound {
					return fmt.Errorf("%d messages are queued, the bound is %d", len(q.messages), testBound)
				}
				return nil
			},
			Check: func() error {
				if got += len(q.Take(nil)); got != want {
					return fmt.Errorf("%d messages were put, but %d taken", want, got)
				}
				return h.Check(model)
			},
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "mailbox.go", Old: "		return false\n	}\n", New: "		return false\n	}\n	b.mu.Unlock()\n	b.mu.Lock()\n",
			Want: "the bound is 2"},
		mutant.Mutant{File: "mailbox.go", Old: "	b.mu.Lock()\n	defer b.mu.Unlock()\n	sync.Writes(&b.messages)", New: "	sync.Writes(&b.messages)",
			Want: "data race: "},
	)
}

// No message is left in the queue if the taker waits only on Wake, as an actor does.
func TestInterleaveWake(t *testing.T) {
	il.Check(t, il.Options{}, func() il.Program {
		q := New[int](testBound)
		var got []int
		return il.Program{
			Threads: []il.Thread{
				{Name: "putter", Run: func() { q.PutUnbounded(1); q.PutUnbounded(2) }},
				{Name: "other-putter", Run: func() { q.PutUnbounded(3) }},
				{Name: "taker", Run: func() {
					for len(got) < 3 {
						sync.Recv(q.Wake())
						got = append(got, q.Take(nil)...)
					}
				}},
			},
			Check: func() error {
				if slices.Index(got, 1) > slices.Index(got, 2) || len(got) > 3 {
					return fmt.Errorf("took %v, want 1, 2 and 3, with 1 before 2", got)
				}
				if q.Len() != 0 {
					return errors.New("messages are left in the queue")
				}
				return nil
			},
		}
	})
	mutant.AssertDetected(t, mutant.Mutant{File: "mailbox.go", Old: "func (b *Queue[T]) PutUnbounded(m T) {\n	b.mu.Lock()\n	sync.Writes(&b.messages)\n	b.messages = append(b.messages, m)\n	b.mu.Unlock()\n	b.notify()",
		New:  "func (b *Queue[T]) PutUnbounded(m T) {\n	b.notify()\n	b.mu.Lock()\n	sync.Writes(&b.messages)\n	b.messages = append(b.messages, m)\n	b.mu.Unlock()",
		Want: "deadlock: taker at receive"})
}
