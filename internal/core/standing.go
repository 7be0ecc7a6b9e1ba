package core

import (
	"time"

	"wheatsaddle/policy"
)

// NodeStanding is this process's window at one listed node and its queue for it.
type NodeStanding struct {
	Node          string
	Since         int64 // since_ms of the node's start that the figures belong to
	Window, Queue float64
}

// Standing returns the figures of at most most listed nodes. It waits at most wait for the actor; false: the actor had no
// time, or has ended.
func (c *Core) Standing(most int, wait time.Duration) ([]NodeStanding, bool) {
	got := make(chan []policy.Standing, 1)
	select {
	case c.control <- message{call: func() { got <- c.scheduler.Standing(most) }}:
	default: // the actor is far behind: the caller's next round asks again
		return nil, false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case all := <-got:
		out := make([]NodeStanding, len(all))
		for i, s := range all {
			out[i] = NodeStanding{s.ID, int64(s.Since), s.Window, s.Queue}
		}
		return out, true
	case <-timer.C:
	case <-c.ended:
	}
	return nil, false
}
