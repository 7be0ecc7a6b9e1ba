// Package history keeps what threads under the checker called and what came back, and asks porcupine
// whether some order of one call at a time, each between its call and its return, explains it.
// Calls and returns are steps: an order in which one call ended before another began is walked
// though their steps commute.
package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	il "wheatsaddle/internal/interleave"
)

// History is of one run.
type History struct {
	ops  []porcupine.Operation
	time int64
}

func (h *History) tick() int64 {
	h.time++
	return h.time
}

// Do makes a call and keeps it.
func (h *History) Do(client int, input any, call func() any) any {
	il.Step(il.Op{Kind: "call", On: h, Mode: il.Read})
	at := h.tick()
	out := call()
	il.Step(il.Op{Kind: "return", On: h})
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: input, Call: at, Output: out, Return: h.tick()})
	return out
}

// Check says whether the model explains the history.
func (h *History) Check(m porcupine.Model) error {
	if porcupine.CheckOperations(m, h.ops) {
		return nil
	}
	text := "not linearizable:"
	for _, o := range h.ops {
		text += fmt.Sprintf(" %d..%d %v -> %v;", o.Call, o.Return, o.Input, o.Output)
	}
	return fmt.Errorf("%s", text)
}
