package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wheatsaddle/policy"
)

// nodeUse is an exponentially decayed count of a node's attempts, as of the time at.
type nodeUse struct{ n, at float64 }

const useHalfLife = 30e3 // half-life of an attempt's weight, in ms

// decayed returns the count at now.
func (u nodeUse) decayed(now float64) float64 { return u.n * math.Exp2((u.at-now)/useHalfLife) }

// recordUse counts an attempt to a listed node. Only a process with a StartLimiter stores what it learned.
func (c *Core) recordUse(node string, now float64) {
	if c.options.StartLimiter != nil {
		c.nodeUses[node] = nodeUse{c.nodeUses[node].decayed(now) + 1, now}
	}
}

// Learned returns what the module has learned, the most used nodes first; false: the actor has ended. It waits for the
// actor.
func (c *Core) Learned() (policy.Learned, bool) {
	type node struct {
		policy.LearnedNode
		use float64
	}
	var nodes []node
	learned, ok := ask(c, func() policy.Learned {
		learned := c.scheduler.Learned()
		now := c.moduleTime(time.Now())
		for _, n := range learned.Nodes {
			nodes = append(nodes, node{n, c.nodeUses[n.ID].decayed(now)})
		}
		return learned
	})
	if !ok {
		return policy.Learned{}, false
	}
	slices.SortStableFunc(nodes, func(a, b node) int { return cmp.Compare(b.use, a.use) })
	for i := range nodes {
		learned.Nodes[i] = nodes[i].LearnedNode
	}
	return learned, true
}

// Restore gives the module what an earlier process learned, after the list updates handed over before. It may wait for
// the mailbox.
func (c *Core) Restore(l policy.Learned) {
	c.post(call(func() {
		c.pendingRestore.Nodes = append(c.pendingRestore.Nodes, l.Nodes...)
		c.pendingRestore.Classes = append(c.pendingRestore.Classes, l.Classes...)
	}))
}

// applyPendingRestore passes on what Restore handed over; it runs after the step of each iteration, when the module has the nodes.
func (c *Core) applyPendingRestore() {
	if len(c.pendingRestore.Nodes)+len(c.pendingRestore.Classes) > 0 {
		c.scheduler.Restore(c.pendingRestore)
		c.pendingRestore = policy.Learned{}
	}
}
