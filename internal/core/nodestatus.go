package core

import (
	"time"

	"wheatsaddle/policy"
)

// NodeStatus is this process's window at one listed node and its queue for it.
type NodeStatus struct {
	Node          string
	StartTime     int64 // since_ms of the node's start that the figures belong to
	Window, Queue float64
}

// NodeStatuses returns the figures of at most most listed nodes. It waits at most wait for the actor; false: the actor had no
// time, or has ended.
func (c *Core) NodeStatuses(maxNodes int, timeout time.Duration) ([]NodeStatus, bool) {
	got := make(chan []policy.NodeStatus, 1)
	select {
	case c.control <- call(func() { got <- c.scheduler.NodeStatuses(maxNodes) }):
	default: // the actor is far behind: the caller's next round asks again
		return nil, false
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case all := <-got:
		out := make([]NodeStatus, len(all))
		for i, s := range all {
			out[i] = NodeStatus{s.ID, int64(s.StartTime), s.Window, s.Queue}
		}
		return out, true
	case <-timer.C:
	case <-c.ended:
	}
	return nil, false
}
