package core

import (
	"slices"

	"wheatsaddle/policy"
)

// AttemptedNodes lists the nodes that the attempts of a request were dispatched to, in order. A later request for the same
// data may refer to it in Request.AvoidNodes. Only the actor reads and writes it.
type AttemptedNodes struct{ nodes []string }

// nodesToAvoid returns the nodes in up that earlier requests were dispatched to, the latest first. At least one node in up
// is always left to use.
func nodesToAvoid(earlier []*AttemptedNodes, up []string) (avoided []string) {
	for _, attempted := range earlier {
		for _, node := range slices.Backward(attempted.nodes) {
			if len(avoided)+1 < len(up) && slices.Contains(up, node) && !slices.Contains(avoided, node) {
				avoided = append(avoided, node)
			}
		}
	}
	return avoided
}

// admitAvoiding passes the arrival of a request with nodes to avoid to the decision module. For this one step the module
// receives these nodes as excluded. Windows, slow start and limits apply as for any request. If no other node has
// capacity, the request waits and may later be dispatched to an avoided node.
func (c *Core) admitAvoiding(state *requestState, now float64) {
	if state.answered { // also set if the request was cancelled
		return
	}
	arrival := policy.Event{Kind: policy.RequestArrived, Request: state.request.Request}
	exclude, restore := policy.Event{Kind: policy.ListChanged}, policy.Event{Kind: policy.ListChanged}
	for _, id := range c.nodesAvoidedBy(state, now) {
		n := c.exclusions.View(now, c.nodes[id].Node)
		restore.Nodes = append(restore.Nodes, n)
		n.State = policy.NodeExcluded
		exclude.Nodes = append(exclude.Nodes, n)
	}
	if len(exclude.Nodes) == 0 {
		c.events = append(c.events, arrival)
		return
	}
	if c.stepAndExecute(now, []policy.Event{exclude, arrival}) {
		c.stepAndExecute(now, []policy.Event{restore})
	}
}

// nodesAvoidedBy returns the nodes that a request avoids when it arrives. It returns none while another request waits for
// the shard, because the temporary exclusion would also apply to that request. It also returns none while a polled list is
// not current, because the decision module would take the temporary exclusion for a list update and the list for current.
func (c *Core) nodesAvoidedBy(state *requestState, now float64) []string {
	if c.options.Settings.PollsEndpointList && !c.listCurrent {
		return nil
	}
	for _, other := range c.requests {
		if other != state && other.request.Shard == state.request.Shard && !other.answered && other.outstanding == 0 {
			return nil
		}
	}
	var up []string
	for id, n := range c.nodes {
		if n.Shard == state.request.Shard && c.exclusions.View(now, n.Node).State == policy.NodeUp {
			up = append(up, id)
		}
	}
	return nodesToAvoid(state.request.AvoidNodes, up)
}
