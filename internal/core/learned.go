package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wheatsaddle/policy"
)

// nodeUse is an exponentially decayed count of the attempts at a node, as of atMs.
type nodeUse struct{ count, atMs float64 }

const useHalfLifeMs = 30e3 // half-life of the weight of an attempt

// decayed returns the count at now.
func (u nodeUse) decayed(now float64) float64 { return u.count * math.Exp2((u.atMs-now)/useHalfLifeMs) }

// recordUse counts an attempt at a listed node. It does so only with a StartLimiter, because a process without one does not
// store what it has learned.
func (c *Core) recordUse(node string, now float64) {
	if c.options.StartLimiter != nil {
		c.nodeUses[node] = nodeUse{c.nodeUses[node].decayed(now) + 1, now}
	}
}

// Learned returns what the decision module has learned, with the most used nodes first. It returns false if the actor has
// ended. It waits for the actor.
func (c *Core) Learned() (policy.Learned, bool) {
	type node struct {
		policy.LearnedNode
		use float64
	}
	var nodes []node
	learned, ok := query(c, func() policy.Learned {
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

// Restore passes what an earlier process learned to the decision module, after the list updates that were passed to the
// core before. It may block while the mailbox is full.
func (c *Core) Restore(l policy.Learned) {
	c.post(call(func() {
		c.pendingRestore.Nodes = append(c.pendingRestore.Nodes, l.Nodes...)
		c.pendingRestore.Classes = append(c.pendingRestore.Classes, l.Classes...)
	}))
}

// applyPendingRestore passes the data of Restore to the decision module. It runs after the step of each iteration, when the
// module already has the nodes of the list.
func (c *Core) applyPendingRestore() {
	if len(c.pendingRestore.Nodes)+len(c.pendingRestore.Classes) > 0 {
		c.scheduler.Restore(c.pendingRestore)
		c.pendingRestore = policy.Learned{}
	}
}
