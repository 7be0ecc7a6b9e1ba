package core

import (
	"slices"

	"wheatsaddle/policy"
)

// AttemptedNodes lists the nodes that the attempts of a request went to, in order. A later request for the same data names it
// in AvoidNodes. Only the actor reads and writes it.
type AttemptedNodes struct{ nodes []string }

// nodesToAvoid selects from the nodes that are up those of earlier requests, the latest first, as long as at least one
// other remains.
func nodesToAvoid(earlier []*AttemptedNodes, up []string) (avoided []string) {
	for _, t := range earlier {
		for _, n := range slices.Backward(t.nodes) {
			if len(avoided)+1 < len(up) && slices.Contains(up, n) && !slices.Contains(avoided, n) {
				avoided = append(avoided, n)
			}
		}
	}
	return avoided
}

// admitAvoiding passes the module an arrival with nodes to avoid: for the step of the arrival the module sees them as
// excluded. Windows, slow start and limits apply as to any request. If no other node has capacity the request waits,
// and may be dispatched to an avoided node later.
func (c *Core) admitAvoiding(e *requestState, now float64) {
	if e.answered { // or cancelled
		return
	}
	arrival := policy.Event{Kind: policy.RequestArrived, Request: e.request.Request}
	hide, show := policy.Event{Kind: policy.ListChanged}, policy.Event{Kind: policy.ListChanged}
	for _, id := range c.nodesAvoidedBy(e, now) {
		n := c.exclusions.View(now, c.nodes[id].Node)
		show.Nodes = append(show.Nodes, n)
		n.State = policy.NodeExcluded
		hide.Nodes = append(hide.Nodes, n)
	}
	if len(hide.Nodes) == 0 {
		c.events = append(c.events, arrival)
		return
	}
	if c.stepAndExecute(now, []policy.Event{hide, arrival}) {
		c.stepAndExecute(now, []policy.Event{show})
	}
}

// nodesAvoidedBy returns the nodes that a request avoids when it arrives. There are none while another request waits for
// the shard, as the changed view would apply to it too, nor while a polled list is not current, as the module takes any
// change for an update of the list.
func (c *Core) nodesAvoidedBy(e *requestState, now float64) []string {
	if c.options.Settings.PollsEndpointList && !c.listCurrent {
		return nil
	}
	for _, x := range c.requests {
		if x != e && x.request.Shard == e.request.Shard && !x.answered && x.outstanding == 0 {
			return nil
		}
	}
	var up []string
	for id, n := range c.nodes {
		if n.Shard == e.request.Shard && c.exclusions.View(now, n.Node).State == policy.NodeUp {
			up = append(up, id)
		}
	}
	return nodesToAvoid(e.request.AvoidNodes, up)
}
