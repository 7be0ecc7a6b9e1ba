package discovery

import (
	"maps"
	"slices"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// maxRemovedNodes bounds the removed nodes whose start times are recorded.
const maxRemovedNodes = 4096

// preserveDrainsAndRemovals adjusts a full list whose version is older than the current one. Either its source lags
// behind, or the list's service has restarted its versions; no message tells which. The list and its changes
// are therefore applied, but a draining node stays draining and a removed node stays removed until it has
// restarted (its start time differs) or a later message names it.
func (w *Watcher) preserveDrainsAndRemovals(l *List) {
	w.initNodes()
	l.Nodes = slices.DeleteFunc(l.Nodes, func(n core.Node) bool {
		startTime, removed := w.removedStartTimes[n.ID]
		return removed && startTime == n.StartTime
	})
	for i, n := range l.Nodes {
		if previous, ok := w.nodes[n.ID]; ok && previous.State == policy.NodeDraining && previous.StartTime == n.StartTime {
			l.Nodes[i].State = policy.NodeDraining
		}
	}
}

// initNodes fills the nodes from CachedNodes at first use.
func (w *Watcher) initNodes() {
	if w.nodes != nil {
		return
	}
	w.nodes = map[string]core.Node{}
	for _, n := range w.CachedNodes {
		w.nodes[n.ID] = n
	}
}

// recordRemoval removes a node of the list and records its start time. When there are maxRemovedNodes records, all are
// dropped first, which bounds the memory.
func (w *Watcher) recordRemoval(id string) {
	if n, listed := w.nodes[id]; listed {
		if w.removedStartTimes == nil || len(w.removedStartTimes) >= maxRemovedNodes {
			w.removedStartTimes = map[string]float64{}
		}
		w.removedStartTimes[id] = n.StartTime
		delete(w.nodes, id)
	}
}

// applyList applies a list to the nodes and returns the update for the core. A full list with an invalid entry is
// passed on as changes: nodes that it does not name are removed, except those that an invalid entry may stand for,
// so that an error in one entry does not remove its node.
func (w *Watcher) applyList(l List) core.ListUpdate {
	w.initNodes()
	update := core.ListUpdate{Kind: policy.ListChanged, Nodes: l.Nodes}
	if l.Full {
		listed := map[string]bool{}
		for _, n := range l.Nodes {
			listed[n.ID] = true
		}
		if len(l.InvalidEntries) == 0 {
			update.Kind = policy.ListReceived
		}
		for _, id := range slices.Sorted(maps.Keys(w.nodes)) {
			if listed[id] || l.invalidNames[id] || l.hasUnnamedInvalid {
				continue
			}
			if n := w.nodes[id]; len(l.InvalidEntries) > 0 {
				n.State = policy.NodeRemoved
				update.Nodes = append(update.Nodes, n)
			}
			w.recordRemoval(id)
		}
	}
	for _, n := range update.Nodes {
		if n.State == policy.NodeRemoved {
			w.recordRemoval(n.ID)
		} else {
			w.nodes[n.ID] = n
			delete(w.removedStartTimes, n.ID)
		}
	}
	return update
}
