package core

import (
	"time"

	"wheatsaddle/internal/exclusion"
	"wheatsaddle/policy"
)

// controlWait is how long an operator's call waits for the actor; the admin endpoint answers within 1 s.
const controlWait = 500 * time.Millisecond

// Exclude excludes a node: after it returns no new attempt is written to the node, also if the list
// has it as up, until Include. It returns the state of all exclusions, which the caller stores.
func (c *Core) Exclude(node string) (exclusion.State, error) {
	return c.changeExclusions(func(now float64) ([]string, error) {
		changed, err := c.exclusions.Exclude(now, node)
		if changed {
			return []string{node}, err
		}
		return nil, err
	})
}

// Include ends an exclusion; the module lets the node warm up.
func (c *Core) Include(id string) (exclusion.State, error) {
	return c.changeExclusions(func(now float64) ([]string, error) {
		changed, err := c.exclusions.Include(now, id)
		if changed {
			return []string{id}, err
		}
		return nil, err
	})
}

// LoadExclusions replaces the exclusions by the state that another process of the scheduler stored.
func (c *Core) LoadExclusions(st exclusion.State) error {
	_, err := c.changeExclusions(func(now float64) ([]string, error) { return c.exclusions.Load(now, st), nil })
	return err
}

// WasListed reports whether a node of this id was ever listed; false also if the actor is busy.
func (c *Core) WasListed(id string) bool {
	listed := false
	// An error leaves the result false.
	_, _ = c.changeExclusions(func(float64) ([]string, error) { listed = c.exclusions.IsListed(id); return nil, nil })
	return listed
}

// changeExclusions runs a change of the exclusions in the actor, applies it to the node clients and the module, and returns
// the new state. change returns the ids of the nodes that it affects.
func (c *Core) changeExclusions(change func(now float64) ([]string, error)) (exclusion.State, error) {
	type reply struct {
		st  exclusion.State
		err error
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
		return r.st, r.err
	case <-c.ended:
		return exclusion.State{}, &BusyError{controlWait}
	}
}

// applyExclusions updates the node clients and the module about the listed nodes whose view may have changed.
func (c *Core) applyExclusions(now float64, ids []string) {
	ev := policy.Event{Kind: policy.ListChanged}
	for _, id := range ids {
		n, ok := c.nodes[id]
		if !ok {
			continue
		}
		view := c.exclusions.View(now, n.Node)
		if p := c.clients[id]; p != nil {
			p.Drain(view.State != policy.NodeUp)
		}
		ev.Nodes = append(ev.Nodes, view)
	}
	if len(ev.Nodes) > 0 {
		c.events = append(c.events, ev)
	}
	c.countNodes(now)
}
