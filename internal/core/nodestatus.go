package core

import (
	"time"

	"wheatsaddle/policy"
)

// NodeStatus is this process's concurrency window at one listed node and its queue for it.
type NodeStatus struct {
	Node          string
	StartTime     int64 // start time of the node, in Unix ms, that the figures belong to
	Window, Queue float64
}

// NodeStatuses returns the figures of at most maxNodes listed nodes. It waits at most timeout for the actor; false: the
// actor was busy, or has ended.
func (c *Core) NodeStatuses(maxNodes int, timeout time.Duration) ([]NodeStatus, bool) {
	got := make(chan []policy.NodeStatus, 1)
	select {
	case c.control <- call(func() { got <- c.scheduler.NodeStatuses(maxNodes) }):
	default: // the actor is far behind
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
