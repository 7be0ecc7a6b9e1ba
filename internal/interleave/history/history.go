// Package history records the calls of threads under the checker with their results, and checks with
// porcupine that the history is linearizable: that the calls, made one at a time and each between its
// call and its return, could have given the same results. Calls and returns are steps of their own.
// So schedules are explored in which one call ended before another began, even if the steps within
// the calls commute.
package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"

	il "wheatsaddle/internal/interleave"
)

// History is the history of one run.
type History struct {
	operations []porcupine.Operation
	time       int64
}

func (h *History) nextTime() int64 {
	h.time++
	return h.time
}

// Do makes a call, records it and returns its result.
func (h *History) Do(client int, input any, call func() any) any {
	il.Step(il.Op{Kind: "call", Object: h, Mode: il.Read})
	at := h.nextTime()
	out := call()
	il.Step(il.Op{Kind: "return", Object: h})
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: input, Call: at, Output: out, Return: h.nextTime()})
	return out
}

// Check returns an error if the history is not linearizable under the model.
func (h *History) Check(m porcupine.Model) error {
	if porcupine.CheckOperations(m, h.operations) {
		return nil
	}
	text := "not linearizable:"
	for _, o := range h.operations {
		text += fmt.Sprintf(" %d..%d %v -> %v;", o.Call, o.Return, o.Input, o.Output)
	}
	return fmt.Errorf("%s", text)
}
