package core

import (
	"container/heap"
	"slices"

	"wheatsaddle/policy"
)

const (
	// drainGuard is the share of the grace period left after the module's use of a draining node at which the
	// node's client is closed to new attempts, independent of the module.
	drainGuard = 0.4
	// countInterval is the interval in ms at which the nodes that the module avoids are counted; telemetry may lag by
	// 0.5 s.
	countInterval = 100
)

// ListUpdate is an update of the list. Kind is policy.ListReceived, CachedListLoaded, ListChanged or ListFailed.
type ListUpdate struct {
	Kind  policy.EventKind
	Nodes []Node
	Index int64 // version of the list after it; 0: unknown
}

// UpdateList hands over an update of the list. It is handled before all messages in the mailbox, so that none of them
// is dispatched to a node that drains by then. It may wait for the actor.
func (c *Core) UpdateList(n ListUpdate) {
	select {
	case c.control <- listUpdated{&n}:
	case <-c.ended:
	}
}

// applyListUpdate applies an update of the list to the node clients, and then passes it to the module. Both see the
// nodes with the exclusions applied.
func (c *Core) applyListUpdate(n *ListUpdate, now float64) {
	ev := policy.Event{Kind: n.Kind}
	seen := map[string]bool{}
	for _, x := range n.Nodes {
		seen[x.ID] = true
		c.exclusions.AddListed(x.ID)
		view := c.exclusions.View(now, x.Node)
		ev.Nodes = append(ev.Nodes, view)
		if x.State == policy.NodeRemoved {
			c.removeNode(x.ID)
			continue
		}
		c.updateNode(x, view, now)
	}
	c.listCurrent = n.Kind == policy.ListReceived || n.Kind == policy.ListChanged
	if n.Kind == policy.ListReceived || n.Kind == policy.CachedListLoaded {
		for id := range c.clients {
			if !seen[id] {
				c.removeNode(id) // a removal may show only as a missing entry
			}
		}
	}
	c.events = append(c.events, ev)
	c.countNodes(now)
}

// updateNode applies an entry of a node that is not removed: a new node gets a client, a listed one its addresses.
func (c *Core) updateNode(x Node, view policy.Node, now float64) {
	p, listed := c.clients[x.ID]
	if !listed {
		p = c.options.NewNodeClient(x.ID, x.Addresses)
		c.clients[x.ID] = p
		c.cutoffs[x.ID] = &cutoff{}
	} else if !slices.Equal(c.nodes[x.ID].Addresses, x.Addresses) {
		p.SetAddresses(x.Addresses) // the node stays, with its window and slow start
	}
	c.updateDrain(p, x, view, now)
	c.nodes[x.ID] = x
}

// updateDrain closes or opens the client of a listed node. A node that begins to drain may be used for a part of the grace
// period if the settings permit it and the list is current: the module stops by itself then, and the client is closed
// a little later, because of attempts that are still in a mailbox.
func (c *Core) updateDrain(p NodeClient, x Node, view policy.Node, now float64) {
	previous, listed := c.nodes[x.ID]
	use := c.options.Settings.DrainingUseDuration()
	excluded := view != x.Node // an exclusion changes its state
	drainBegins := listed && previous.State == policy.NodeUp && x.State == policy.NodeDraining
	if drainBegins && c.listCurrent && use > 0 && !excluded {
		end := now + use + drainGuard*(c.options.Settings.DrainGrace-use)
		c.cutoffs[x.ID].set(c.wallTime(end))
		heap.Push(&c.timers, pendingTimer{atMs: end, drainNode: x.ID})
		return
	}
	goesOn := listed && previous.State == policy.NodeDraining && view.State != policy.NodeUp
	if goesOn && !excluded {
		return // its cutoff and its timer remain
	}
	c.cutoffs[x.ID].clear()
	p.Drain(view.State != policy.NodeUp)
}

// removeNode removes a node that has left the list; its client finishes the outstanding attempts.
func (c *Core) removeNode(id string) {
	p, ok := c.clients[id]
	if !ok {
		return
	}
	p.Drain(true)
	p.Close()
	delete(c.clients, id)
	delete(c.nodes, id)
	delete(c.cutoffs, id)
	delete(c.nodeUses, id)
}

// countNodes updates the counters of listed nodes and of avoided ones: by their state, by an exclusion, or
// by the module's decision.
func (c *Core) countNodes(now float64) {
	avoided := c.scheduler.AvoidedNodes()
	for _, n := range c.nodes {
		if c.exclusions.View(now, n.Node).State != policy.NodeUp {
			avoided++
		}
	}
	c.counters.nodes.Store(int64(len(c.nodes)))
	c.counters.avoidedNodes.Store(int64(avoided))
}
