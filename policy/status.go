package policy

// NodeStatus is what this instance thinks of one listed node.
type NodeStatus struct {
	ID        string
	StartTime float64 // the incarnation that the figures are of
	Window    float64 // requests that may be in flight there; 0: nothing new is sent to it
	Queue     float64 // its share of the requests that wait for its shard
}

// NodeStatuses returns the status of nodes, in the order of their ids and at most so many. What waits
// for a shard is divided among the shard's nodes by their windows; new objects, which any shard may
// take, count for no node. It decides nothing.
func (s *Scheduler) NodeStatuses(limit int) []NodeStatus {
	statuses := make([]NodeStatus, 0, max(0, min(limit, len(s.listedNodes))))
	for _, n := range s.listedNodes {
		if len(statuses) >= limit {
			break
		}
		if n.State == NodeRemoved {
			continue
		}
		status := NodeStatus{ID: n.ID, StartTime: n.StartTime}
		if n.State == NodeUp {
			status.Window = n.window.size
			status.Queue = s.queueByShard[n.Shard].waitingFor(n)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// waitingFor is the share of the waiting requests that is expected to go to one of the nodes.
func (q *shardQueue) waitingFor(n *node) float64 {
	waiting := float64(q.waitingCount())
	if waiting == 0 {
		return 0
	}
	windows, nodesUp := 0.0, 0
	for _, other := range q.nodes {
		if other.State == NodeUp {
			windows += other.window.size
			nodesUp++
		}
	}
	if windows <= 0 {
		return waiting / float64(nodesUp)
	}
	return waiting * n.window.size / windows
}
