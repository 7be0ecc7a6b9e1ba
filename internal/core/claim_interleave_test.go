//go:build interleave

package core

import (
	"errors"
	"testing"

	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
)

// The final answer or the client's disconnect may coincide with a connection that is about to write an attempt. In every
// interleaving, an attempt that was still waiting when its request ended is not claimed afterwards.
func TestInterleaveFinalAnswer(t *testing.T) {
	il.Check(t, il.Options{}, func() il.Program {
		attempts := []*Attempt{{}, {}}
		state := &requestState{attempts: attempts}
		var claimed [2]bool
		abandoned := [2]bool{}
		claim := func(i int) func() { return func() { claimed[i] = attempts[i].Claim() } }
		return il.Program{
			Threads: []il.Thread{{Name: "core", Run: func() {
				state.markAnswered()
				for i, attempt := range attempts {
					abandoned[i] = attempt.Abandoned()
				}
			}}, {Name: "first", Run: claim(0)}, {Name: "second", Run: claim(1)}},
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
	mutant.AssertDetected(t, mutant.Mutant{File: "attempt.go", Old: "	return a.phase.CompareAndSwap(phaseWaiting, phaseClaimed) || a.phase.Load() == phaseClaimed",
		New:  "	if a.phase.Load() == phaseAbandoned {\n		return false\n	}\n	a.phase.Store(phaseClaimed)\n	return true",
		Want: "an attempt was claimed after its request's end"})
}
