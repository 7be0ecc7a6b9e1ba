package policy

// NodeStatus is the status of one listed node at this instance.
type NodeStatus struct {
	ID        string
	StartTime float64 // identifies the incarnation of the node
	Window    float64 // requests that may be in flight at the node; 0: it gets no new requests
	Queue     float64 // its share of the requests that wait for its shard
}

// NodeStatuses returns the status of at most limit nodes, in order of their ids. The requests that wait
// for a shard are divided among the shard's nodes in proportion to their windows. New objects without a
// shard count for no node. The result is for status output only.
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

// waitingFor returns the share of the waiting requests that is expected to go to a node of the queue.
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
