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

const testMax = 2

// model is the box as one call at a time has it: a number is put, 0 takes.
var model = porcupine.Model{
	Init: func() any { return []int(nil) },
	Step: func(state, input, output any) (bool, any) {
		held, in := state.([]int), input.(int)
		switch {
		case in == 0:
			return slices.Equal(output.([]int), held), []int(nil)
		case in < 0: // must
			return true, append(slices.Clip(held), in)
		case output.(bool):
			return len(held) < testMax, append(slices.Clip(held), in)
		}
		return len(held) >= testMax, held
	},
	Equal: func(a, b any) bool { return slices.Equal(a.([]int), b.([]int)) },
}

// Two put, one must, one takes what Wake tells it of: every order.
func TestInterleaveBox(t *testing.T) {
	il.Check(t, il.Options{}, func() il.World {
		b := New[int](testMax)
		var h history.History
		want, got := 0, 0
		put := func(client, n int) func() {
			return func() {
				if h.Do(client, n, func() any { return b.Put(n) }).(bool) {
					want++
				}
			}
		}
		return il.World{
			Threads: []il.Thread{
				{Name: "putter", Run: func() { put(1, 1)(); put(1, 2)() }},
				{Name: "other", Run: put(2, 3)},
				{Name: "taker", Run: func() {
					for range 2 {
						got += len(h.Do(3, 0, func() any { return b.Take(nil) }).([]int))
					}
				}},
			},
			Always: func() error {
				if len(b.messages) > testMax {
					return fmt.Errorf("%d wait, the bound is %d", len(b.messages), testMax)
				}
				return nil
			},
			Check: func() error {
				if got += len(b.Take(nil)); got != want {
					return fmt.Errorf("put %d, taken %d", want, got)
				}
				return h.Check(model)
			},
		}
	})
	mutant.Found(t,
		mutant.Mutant{File: "mailbox.go", Old: "		return false\n	}\n", New: "		return false\n	}\n	b.mu.Unlock()\n	b.mu.Lock()\n",
			Want: "the bound is 2"},
		mutant.Mutant{File: "mailbox.go", Old: "	b.mu.Lock()\n	defer b.mu.Unlock()\n	sync.Writes(&b.messages)", New: "	sync.Writes(&b.messages)",
			Want: "data race: "},
	)
}

// Nobody sleeps on a message: the taker waits on Wake alone until it has all, as an actor does.
func TestInterleaveWake(t *testing.T) {
	il.Check(t, il.Options{}, func() il.World {
		b := New[int](testMax)
		var got []int
		return il.World{
			Threads: []il.Thread{
				{Name: "one", Run: func() { b.PutUnbounded(1); b.PutUnbounded(2) }},
				{Name: "other", Run: func() { b.PutUnbounded(3) }},
				{Name: "taker", Run: func() {
					for len(got) < 3 {
						sync.Recv(b.Wake())
						got = append(got, b.Take(nil)...)
					}
				}},
			},
			Check: func() error {
				if slices.Index(got, 1) > slices.Index(got, 2) || len(got) > 3 {
					return fmt.Errorf("took %v", got)
				}
				if b.Len() != 0 {
					return errors.New("something is left")
				}
				return nil
			},
		}
	})
	mutant.Found(t, mutant.Mutant{File: "mailbox.go", Old: "func (b *Queue[T]) PutUnbounded(m T) {\n	b.mu.Lock()\n	sync.Writes(&b.messages)\n	b.messages = append(b.messages, m)\n	b.mu.Unlock()\n	b.notify()",
		New:  "func (b *Queue[T]) PutUnbounded(m T) {\n	b.notify()\n	b.mu.Lock()\n	sync.Writes(&b.messages)\n	b.messages = append(b.messages, m)\n	b.mu.Unlock()",
		Want: "deadlock: taker at receive"})
}
