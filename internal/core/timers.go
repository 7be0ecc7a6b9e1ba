package core

import (
	"container/heap"
	"slices"
	"time"

	"wheatsaddle/policy"
)

// guardDelay is how long after a request's deadline its guard timer fires. The timer fails the request if the decision
// module has not answered it by then.
const guardDelay = 5 * time.Millisecond

// passOnGrace is how much later it fires where a long response has begun, which is passed on at the deadline: a process that was held up
// may fire all timers at once.
const passOnGrace = 150 * time.Millisecond

// pendingTimer is a timer of the decision module, the guard timer of a request, or the timer for the cutoff of a draining
// node.
type pendingTimer struct {
	atMs      float64
	tag       string        // of a timer of the decision module
	guarded   *requestState // set for a guard timer
	drainNode string        // set for a cutoff timer
	index     int           // in the heap; negative once the timer has left it
}

// timerHeap implements heap.Interface. The earliest timer comes first.
type timerHeap []*pendingTimer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].atMs < h[j].atMs }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) {
	t := x.(*pendingTimer)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil // the array must not refer to a timer that has left the heap
	*h = old[:len(old)-1]
	last.index = -1
	return last
}

// setTimer adds a timer.
func (c *Core) setTimer(t *pendingTimer) { heap.Push(&c.timers, t) }

// setGuard sets the guard timer of a request.
func (c *Core) setGuard(state *requestState) {
	state.guard = &pendingTimer{atMs: state.request.Deadline + float64(guardDelay.Milliseconds()), guarded: state}
	c.setTimer(state.guard)
}

// removeGuard removes the guard timer of a request that is answered, so that the timer does not keep the request in memory
// until its deadline.
func (c *Core) removeGuard(state *requestState) {
	if state.guard != nil && state.guard.index >= 0 {
		heap.Remove(&c.timers, state.guard.index)
	}
	state.guard = nil
}

// dropTimers removes all timers.
func (c *Core) dropTimers() {
	clear(c.timers)
	c.timers = c.timers[:0]
}

// fireTimers fires the timers that are due, the earliest first.
func (c *Core) fireTimers(now float64) {
	for len(c.timers) > 0 && c.timers[0].atMs <= now {
		t := heap.Pop(&c.timers).(*pendingTimer)
		c.timerLag.Record(c.sinceOrigin(now), c.sinceOrigin(now)-c.sinceOrigin(t.atMs))
		switch {
		case t.drainNode != "":
			c.closeDrained(t.drainNode, now)
		case t.guarded != nil:
			c.failOverdue(t.guarded)
		default:
			c.events = append(c.events, policy.Event{Kind: policy.TimerFired, Tag: t.tag})
		}
	}
}

// closeDrained closes a node's client to new attempts if the node's cutoff has passed. The cutoff is checked because the
// timer may belong to an earlier drain after which the node came up again.
func (c *Core) closeDrained(node string, now float64) {
	client := c.clients[node]
	if client != nil && c.cutoffs[node].passed(c.wallTime(now)) {
		client.Drain(true)
	}
}

// failOverdue fails a request that the decision module has not answered by its deadline, so that the client still gets an
// answer.
func (c *Core) failOverdue(state *requestState) {
	if !state.guardExtended && state.mayBePassedOn() {
		state.guardExtended = true
		state.guard = &pendingTimer{atMs: state.guard.atMs + float64(passOnGrace.Milliseconds()), guarded: state}
		c.setTimer(state.guard)
		return
	}
	c.abort(state, Answer{Kind: Failed, Cause: CauseDeadlineExceeded, Reason: ReasonDeadline})
}

// mayBePassedOn reports whether an attempt is outstanding whose long response has begun.
func (s *requestState) mayBePassedOn() bool {
	return slices.ContainsFunc(s.attempts, func(a *Attempt) bool { return a.endedAtMs <= 0 && a.mayBePassedOn.Load() })
}
