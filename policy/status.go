package policy

// NodeStatus is how one listed node stands with this instance.
type NodeStatus struct {
	ID        string
	StartTime float64 // the start that its figures are of
	Window    float64 // what may be out there; 0: nothing new is sent to it
	Queue     float64 // its part of what waits for its shard
}

// NodeStatus tells how nodes stand, in the order of their ids and at most so many. What waits for a shard is
// shared out over the shard's nodes by their windows, as it will be sent; new objects, which any
// shard may take, are in no node's part. It decides nothing.
func (s *Scheduler) NodeStatuses(most int) []NodeStatus {
	all := make([]NodeStatus, 0, max(0, min(most, len(s.listedNodes))))
	for _, n := range s.listedNodes {
		if len(all) >= most {
			break
		}
		if n.State == NodeRemoved {
			continue
		}
		one := NodeStatus{ID: n.ID, StartTime: n.StartTime}
		if n.State == NodeUp {
			one.Window = n.window
			one.Queue = s.queueByShard[n.Shard].waitingFor(n)
		}
		all = append(all, one)
	}
	return all
}

// waitingFor is what of a shard queue's line is for one of its nodes.
func (l *shardQueue) waitingFor(n *node) float64 {
	waits, windows, up := 0, 0.0, 0
	for _, q := range l.byClass {
		waits += len(q)
	}
	if waits == 0 {
		return 0
	}
	for _, o := range l.nodes {
		if o.State == NodeUp {
			windows += o.window
			up++
		}
	}
	if windows <= 0 {
		return float64(waits) / float64(up)
	}
	return float64(waits) * n.window / windows
}
