package core

import (
	"slices"

	"wheatsaddle/policy"
)

const (
	// drainCutoffShare sets when the client of a draining node is closed to new attempts. The decision module uses the
	// node for a first part of the grace period. The client is closed after this share of the remaining part, independent
	// of the module.
	drainCutoffShare = 0.4
	// countIntervalMs is the interval at which listed and avoided nodes are counted. Telemetry may lag by 0.5 s.
	countIntervalMs = 100
)

// ListUpdate is an update of the endpoint list. Kind is policy.ListReceived, CachedListLoaded, ListChanged or ListFailed.
type ListUpdate struct {
	Kind    policy.EventKind
	Nodes   []Node
	Version int64 // version of the list after the update; 0 if unknown
}

// UpdateList passes a list update to the actor. It is handled before all messages in the mailbox, so that no request among
// them is dispatched to a node that the update reports as draining. It may block until the actor accepts the update.
func (c *Core) UpdateList(update ListUpdate) {
	select {
	case c.control <- listUpdated{&update}:
	case <-c.ended:
	}
}

// applyListUpdate applies a list update to the node clients and queues it for the decision module. Both receive the nodes
// with the exclusions applied.
func (c *Core) applyListUpdate(update *ListUpdate, now float64) {
	event := policy.Event{Kind: update.Kind}
	seen := map[string]bool{}
	for _, node := range update.Nodes {
		seen[node.ID] = true
		c.exclusions.AddListed(node.ID)
		view := c.exclusions.View(now, node.Node)
		event.Nodes = append(event.Nodes, view)
		if node.State == policy.NodeRemoved {
			c.removeNode(node.ID)
			continue
		}
		c.updateNode(node, view, now)
	}
	c.listCurrent = update.Kind == policy.ListReceived || update.Kind == policy.ListChanged
	if update.Kind == policy.ListReceived || update.Kind == policy.CachedListLoaded {
		for id := range c.clients {
			if !seen[id] {
				c.removeNode(id) // a full list may omit a removed node instead of reporting it as removed
			}
		}
	}
	c.events = append(c.events, event)
	c.countNodes(now)
}

// updateNode applies the entry of a node that is not removed. It creates a client for a new node, and updates the addresses
// of a node that is already listed.
func (c *Core) updateNode(node Node, view policy.Node, now float64) {
	client, listed := c.clients[node.ID]
	if !listed {
		client = c.options.NewNodeClient(node.ID, node.Addresses)
		c.clients[node.ID] = client
		c.cutoffs[node.ID] = &cutoff{}
	} else if !slices.Equal(c.nodes[node.ID].Addresses, node.Addresses) {
		client.SetAddresses(node.Addresses) // the node keeps its client, and in the decision module its window and slow start
	}
	c.updateDrain(client, node, view, now)
	c.nodes[node.ID] = node
}

// updateDrain closes the client of a listed node to new attempts, or opens it again. A node that starts to drain may be
// used for a part of the grace period if the settings permit it and the list is current. In this case the decision module
// stops using the node by itself, and the client is closed a little later, because attempts may still be in its mailbox.
func (c *Core) updateDrain(client NodeClient, node Node, view policy.Node, now float64) {
	previous, listed := c.nodes[node.ID]
	use := c.options.Settings.DrainingUseDuration()
	excluded := view != node.Node // only an exclusion makes the view differ from the list entry
	drainBegins := listed && previous.State == policy.NodeUp && node.State == policy.NodeDraining
	if drainBegins && c.listCurrent && use > 0 && !excluded {
		end := now + use + drainCutoffShare*(c.options.Settings.DrainGrace-use)
		c.cutoffs[node.ID].set(c.wallTime(end))
		c.setTimer(&pendingTimer{atMs: end, drainNode: node.ID})
		return
	}
	stillDraining := listed && previous.State == policy.NodeDraining && view.State != policy.NodeUp
	if stillDraining && !excluded {
		return // the node keeps the cutoff and the timer of this drain
	}
	c.cutoffs[node.ID].clear()
	client.Drain(view.State != policy.NodeUp)
}

// removeNode removes a node that is no longer listed. Its client finishes the outstanding attempts.
func (c *Core) removeNode(id string) {
	client, ok := c.clients[id]
	if !ok {
		return
	}
	client.Drain(true)
	client.Close()
	delete(c.clients, id)
	delete(c.nodes, id)
	delete(c.cutoffs, id)
	delete(c.nodeUses, id)
}

// countNodes updates the counters of listed and of avoided nodes. A node is avoided because of its state, an exclusion or a
// decision of the decision module.
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
