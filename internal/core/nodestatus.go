package core

import (
	"time"

	"wheatsaddle/policy"
)

// NodeStatus holds this process's concurrency window and queue length for one listed node.
type NodeStatus struct {
	Node          string
	StartTime     int64 // Unix ms at which the node that the values belong to started
	Window, Queue float64
}

// NodeStatuses returns the status of at most maxNodes listed nodes. It waits at most timeout for the actor, and returns
// false if the actor was busy or has ended.
func (c *Core) NodeStatuses(maxNodes int, timeout time.Duration) ([]NodeStatus, bool) {
	got := make(chan []policy.NodeStatus, 1)
	select {
	case c.control <- call(func() { got <- c.scheduler.NodeStatuses(maxNodes) }):
	default: // many calls are queued already, so the actor would not answer in time
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
