//go:build interleave

package store

import (
	"fmt"
	"os"
	"testing"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
)

// changeState returns a thread that changes the stored state as the daemon does: while it holds the lock, it reads another
// process's change, excludes the node id and writes the result. If killChoices is 2, the thread may also end like a killed process
// before it writes; if it is 1, it does not.
func changeState(dir, id string, excludedAt float64, killChoices int) func() {
	return func() {
		s := InDirectory(dir, "n3")
		s.pid = int(excludedAt)
		state, err := s.Read() // at the start, without the lock
		if err != nil {
			il.Fail("%s: read at the start: %v", id, err)
		}
		unlock, err := s.Lock()
		if err != nil {
			il.Fail("%s: lock: %v", id, err)
		}
		defer unlock()
		if s.Changed() {
			if state, err = s.Read(); err != nil {
				il.Fail("%s: read of the other process's change: %v", id, err)
			}
		}
		state.Excluded[id] = excludedAt
		if il.Choose(killChoices) == 1 {
			return // the process is killed before it writes, which releases the lock
		}
		if err := s.Write(state); err != nil {
			il.Fail("%s: write: %v", id, err)
		}
	}
}

// During a handover, the old and the new process exclude one node each, and a third process may be killed before it writes.
// Both exclusions are stored, no reader finds an incomplete file, and a killed process does not block the others.
func TestInterleaveHandover(t *testing.T) {
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
		dir, err := os.MkdirTemp("", "handover")
		if err != nil {
			t.Fatal(err)
		}
		killed := il.Thread{Name: "killed", Run: changeState(dir, "s-9", 9, 2)}
		return il.Program{
			Threads: []il.Thread{
				{Name: "old", Run: changeState(dir, "s-1", 1, 1)},
				{Name: "new", Run: changeState(dir, "s-2", 2, 1)},
				killed,
			},
			Check: func() error {
				got, err := InDirectory(dir, "n3").Read()
				if err != nil {
					return fmt.Errorf("stored: %w", err)
				}
				if got.Excluded["s-1"] != 1 || got.Excluded["s-2"] != 2 {
					return fmt.Errorf("stored: %v, want both s-1 and s-2", got.Excluded)
				}
				return nil
			},
			Cleanup: func() {
				if err := os.RemoveAll(dir); err != nil {
					t.Error(err)
				}
			},
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "store.go", Old: "		if err == nil {\n			return func() {", New: "		if true {\n			return func() {", Want: "stored: "},
		mutant.Mutant{File: "store.go", Old: "	return s.lastSeen == nil || !os.SameFile", New: "	if s.lastSeen == nil {\n		return false\n	}\n	return !os.SameFile", Want: "stored: "},
		mutant.Mutant{File: "store.go", Old: "	tempPath := s.Path + fmt.Sprintf(\".%d~\", cmp.Or(s.pid, os.Getpid()))", New: "	tempPath := s.Path[:len(s.Path)+cmp.Or(0)]", Want: "torn"},
	)
}
