//go:build interleave

package store

import (
	"fmt"
	"os"
	"testing"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
)

// process changes the book as cmd/wheatsaddle's keeper does: under the lock it takes the other's
// change from the file, applies its own and writes.
func process(dir, id string, at float64, dies int) func() {
	return func() {
		s := InFolder(dir, "n3")
		s.pid = int(at)
		held, err := s.Read() // as it starts, without the lock
		if err != nil {
			il.Fail("%s: at its start: %v", id, err)
		}
		unlock, err := s.Lock()
		if err != nil {
			il.Fail("%s: %v", id, err)
		}
		defer unlock()
		if s.Changed() {
			if held, err = s.Read(); err != nil {
				il.Fail("%s: %v", id, err)
			}
		}
		held.Excluded[id] = at
		if il.Choose(dies) == 1 {
			return // it is killed before it writes: the lock goes with it
		}
		if err := s.Write(held); err != nil {
			il.Fail("%s: %v", id, err)
		}
	}
}

// A handover: the old process and the new one exclude a node each, and a third reads as it starts.
// Both excludes are kept, no file is ever torn, and one that is killed holds nobody up.
func TestInterleaveHandover(t *testing.T) {
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.World {
		dir, err := os.MkdirTemp("", "handover")
		if err != nil {
			t.Fatal(err)
		}
		killed := il.Thread{Name: "killed", Run: process(dir, "s-9", 9, 2)}
		return il.World{
			Threads: []il.Thread{
				{Name: "old", Run: process(dir, "s-1", 1, 1)},
				{Name: "new", Run: process(dir, "s-2", 2, 1)},
				killed,
			},
			Check: func() error {
				got, err := InFolder(dir, "n3").Read()
				if err != nil || got.Excluded["s-1"] != 1 || got.Excluded["s-2"] != 2 {
					return fmt.Errorf("kept: %v %v", got.Excluded, err)
				}
				return nil
			},
			End: func() { os.RemoveAll(dir) },
		}
	})
	mutant.Found(t,
		mutant.Mutant{File: "store.go", Old: "		if err == nil {\n			return func() {", New: "		if true {\n			return func() {", Want: "kept: "},
		mutant.Mutant{File: "store.go", Old: "	return s.lastSeen == nil || !os.SameFile", New: "	if s.lastSeen == nil {\n		return false\n	}\n	return !os.SameFile", Want: "kept: "},
		mutant.Mutant{File: "store.go", Old: "	beside := s.Path + fmt.Sprintf(\".%d~\", cmp.Or(s.pid, os.Getpid()))", New: "	beside := s.Path[:len(s.Path)+cmp.Or(0)]", Want: "torn"},
	)
}
