package core

import (
	"time"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/policy"
)

// controlWait is how long an operator's call waits for the actor. It leaves time for the admin endpoint, which must answer
// within 1 s.
const controlWait = 500 * time.Millisecond

// Exclude excludes a node. After it returns, no new attempt is written to the node until Include, even if the endpoint list
// reports the node as up. It returns the state of all exclusions, which the caller stores.
func (c *Core) Exclude(node string) (exclusion.State, error) {
	return c.changeExclusions(func(now float64) ([]string, error) {
		changed, err := c.exclusions.Exclude(now, node)
		if changed {
			return []string{node}, err
		}
		return nil, err
	})
}

// Include ends the exclusion of a node. The decision module applies slow start to the node.
func (c *Core) Include(id string) (exclusion.State, error) {
	return c.changeExclusions(func(now float64) ([]string, error) {
		changed, err := c.exclusions.Include(now, id)
		if changed {
			return []string{id}, err
		}
		return nil, err
	})
}

// LoadExclusions replaces the exclusions by those that another process of the scheduler stored.
func (c *Core) LoadExclusions(state exclusion.State) error {
	_, err := c.changeExclusions(func(now float64) ([]string, error) { return c.exclusions.Load(now, state), nil })
	return err
}

// WasListed reports whether a node with this id was ever listed. It also returns false if the actor is busy or has ended.
func (c *Core) WasListed(id string) bool {
	listed := false
	// On an error, listed stays false.
	_, _ = c.changeExclusions(func(float64) ([]string, error) { listed = c.exclusions.IsListed(id); return nil, nil })
	return listed
}

// changeExclusions runs change in the actor, applies the changed exclusions to the node clients and the decision module,
// and returns the new state. change returns the ids of the nodes that it affects.
func (c *Core) changeExclusions(change func(now float64) ([]string, error)) (exclusion.State, error) {
	type reply struct {
		state exclusion.State
		err   error
	}
	got := make(chan reply, 1)
	m := call(func() {
		now := c.moduleTime(time.Now())
		ids, err := change(now)
		c.applyExclusions(now, ids)
		got <- reply{c.exclusions.State(now), err}
	})
	wait := time.NewTimer(controlWait)
	defer wait.Stop()
	select {
	case c.control <- m:
	case <-wait.C:
		return exclusion.State{}, &BusyError{controlWait}
	case <-c.ended:
		return exclusion.State{}, &BusyError{controlWait}
	}
	select {
	case r := <-got:
		return r.state, r.err
	case <-c.ended:
		return exclusion.State{}, &BusyError{controlWait}
	}
}

// applyExclusions applies a change of the exclusions of the given nodes to their clients and to the decision module. Nodes
// that are not listed are ignored.
func (c *Core) applyExclusions(now float64, ids []string) {
	event := policy.Event{Kind: policy.ListChanged}
	for _, id := range ids {
		n, ok := c.nodes[id]
		if !ok {
			continue
		}
		view := c.exclusions.View(now, n.Node)
		if client := c.clients[id]; client != nil {
			client.Drain(view.State != policy.NodeUp)
		}
		event.Nodes = append(event.Nodes, view)
	}
	if len(event.Nodes) > 0 {
		c.events = append(c.events, event)
	}
	c.countNodes(now)
}
