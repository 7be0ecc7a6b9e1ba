package core

import (
	"container/heap"
	"time"

	"wheatsaddle/policy"
)

// guardDelay is how long after a request's deadline its guard timer fails it if the module has not answered it.
const guardDelay = 5 * time.Millisecond

// pendingTimer is one timer: of the module (tag), of a request's guard, or of a node's cutoff.
type pendingTimer struct {
	atMs      float64
	tag       string
	guarded   *requestState
	drainNode string // its client is closed to new attempts if its cutoff has passed
}

// timerHeap implements heap.Interface: the earliest timer first.
type timerHeap []pendingTimer

// Len implements heap.Interface.
func (d timerHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d timerHeap) Less(i, j int) bool { return d[i].atMs < d[j].atMs }

// Swap implements heap.Interface.
func (d timerHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *timerHeap) Push(x any) { *d = append(*d, x.(pendingTimer)) }

// Pop implements heap.Interface.
func (d *timerHeap) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// fireTimers fires the timers that are due, in the order of their times.
func (c *Core) fireTimers(now float64) {
	for len(c.timers) > 0 && c.timers[0].atMs <= now {
		t := heap.Pop(&c.timers).(pendingTimer)
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

// closeDrained closes a node's client to new attempts if its cutoff has passed. The timer may belong to an earlier drain
// from which the node has returned, so the cutoff decides and not the timer.
func (c *Core) closeDrained(node string, now float64) {
	p := c.clients[node]
	if p != nil && c.cutoffs[node].passed(c.wallTime(now)) {
		p.Drain(true)
	}
}

// failOverdue fails a request that the module has not answered in time, so that the client still gets its answer.
func (c *Core) failOverdue(e *requestState) {
	c.abort(e, Answer{Kind: Failed, Cause: CauseDeadlineExceeded})
}
