package httpfront

import (
	"sync/atomic"

	"wheatsaddle/internal/core"
)

// pendingAnswer receives the final answer to a request. Core delivers it once; the server's goroutine waits for it, or
// abandons it when the client has disconnected.
type pendingAnswer struct {
	answers   chan core.Answer
	abandoned atomic.Bool
}

// newPendingAnswer returns a pendingAnswer without an answer.
func newPendingAnswer() *pendingAnswer {
	return &pendingAnswer{answers: make(chan core.Answer, 1)}
}

// deliver is the Answer of the request. It does not block.
func (p *pendingAnswer) deliver(a core.Answer) {
	p.answers <- a
	if p.abandoned.Load() {
		p.release()
	}
}

// abandon releases the answer, also one that is delivered later.
func (p *pendingAnswer) abandon() {
	p.abandoned.Store(true)
	p.release()
}

// release releases an answer that nobody writes.
func (p *pendingAnswer) release() {
	select {
	case a := <-p.answers:
		if response, ok := a.Payload.(*nodeResponse); ok {
			response.Release()
		}
	default:
	}
}
