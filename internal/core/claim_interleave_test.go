//go:build interleave

package core

import (
	"errors"
	"testing"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
)

// The final answer (or the client's going) against the connection that is about to write: an attempt
// that was found waiting at the end of its request is never begun, in any order of their steps.
func TestInterleaveFinalAnswer(t *testing.T) {
	il.Check(t, il.Options{}, func() il.World {
		attempts := []*Attempt{{}, {}}
		e := &requestState{attempts: attempts}
		var claimed [2]bool
		abandoned := [2]bool{}
		carry := func(i int) func() { return func() { claimed[i] = attempts[i].Claim() } }
		return il.World{
			Threads: []il.Thread{{Name: "core", Run: func() {
				e.markAnswered()
				for i, a := range attempts {
					abandoned[i] = a.Abandoned()
				}
			}}, {Name: "first", Run: carry(0)}, {Name: "second", Run: carry(1)}},
			Check: func() error {
				for i := range attempts {
					if claimed[i] == abandoned[i] {
						return errors.New("an attempt was claimed after its request's end, or neither claimed nor abandoned")
					}
				}
				return nil
			},
		}
	})
	mutant.Found(t, mutant.Mutant{File: "attempt.go", Old: "	return a.phase.CompareAndSwap(phaseWaiting, phaseClaimed) || a.phase.Load() == phaseClaimed",
		New:  "	if a.phase.Load() == phaseAbandoned {\n		return false\n	}\n	a.phase.Store(phaseClaimed)\n	return true",
		Want: "an attempt was claimed after its request's end"})
}
