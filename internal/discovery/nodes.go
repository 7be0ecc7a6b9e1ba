package discovery

import (
	"maps"
	"slices"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// maxRemovedNodes is the maximum number of removed nodes whose start times are recorded.
const maxRemovedNodes = 4096

// preserveDrainsAndRemovals adjusts a full list whose version is older than the current one. Either its source lags
// behind, or the list service has restarted its version numbers, and no message tells which. The list and the changes after
// it are therefore applied, but a draining node stays draining and a removed node stays removed. This ends when the node
// has restarted, which shows as a different start time, or when a later message names it.
func (w *Watcher) preserveDrainsAndRemovals(list *List) {
	w.initNodes()
	list.Nodes = slices.DeleteFunc(list.Nodes, func(node core.Node) bool {
		startTime, removed := w.removedStartTimes[node.ID]
		return removed && startTime == node.StartTime
	})
	for i, node := range list.Nodes {
		if previous, ok := w.nodes[node.ID]; ok && previous.State == policy.NodeDraining && previous.StartTime == node.StartTime {
			list.Nodes[i].State = policy.NodeDraining
		}
	}
}

// initNodes initializes nodes from CachedNodes at the first use.
func (w *Watcher) initNodes() {
	if w.nodes != nil {
		return
	}
	w.nodes = map[string]core.Node{}
	for _, n := range w.CachedNodes {
		w.nodes[n.ID] = n
	}
}

// recordRemoval removes a node from the list and records its start time. If there are already maxRemovedNodes records, all
// of them are dropped first to bound the memory.
func (w *Watcher) recordRemoval(id string) {
	if n, listed := w.nodes[id]; listed {
		if w.removedStartTimes == nil || len(w.removedStartTimes) >= maxRemovedNodes {
			w.removedStartTimes = map[string]float64{}
		}
		w.removedStartTimes[id] = n.StartTime
		delete(w.nodes, id)
	}
}

// applyList applies a list to the nodes and returns the update for the core. A full list with an invalid entry is passed on
// as a change that removes the nodes missing from the list. A node that the invalid entry may belong to is not removed, so
// that an error in one entry does not remove its node.
func (w *Watcher) applyList(list List) core.ListUpdate {
	w.initNodes()
	update := core.ListUpdate{Kind: policy.ListChanged, Nodes: list.Nodes}
	if list.Full {
		listed := map[string]bool{}
		for _, node := range list.Nodes {
			listed[node.ID] = true
		}
		if len(list.InvalidEntries) == 0 {
			update.Kind = policy.ListReceived
		}
		for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
			if listed[id] || list.invalidNames[id] || list.hasUnnamedInvalid {
				continue
			}
			if node := w.nodes[id]; len(list.InvalidEntries) > 0 {
				node.State = policy.NodeRemoved
				update.Nodes = append(update.Nodes, node)
			}
			w.recordRemoval(id)
		}
	}
	for _, node := range update.Nodes {
		if node.State == policy.NodeRemoved {
			w.recordRemoval(node.ID)
		} else {
			w.nodes[node.ID] = node
			delete(w.removedStartTimes, node.ID)
		}
	}
	return update
}
