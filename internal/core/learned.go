package core

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wheatsaddle/policy"
)

// StartLimiter limits the load while a process starts, until Over. Its methods are called from several
// goroutines and must not block.
type StartLimiter interface {
	// Done says whether the start has ended; the other methods are not called after that.
	Done() bool
	// Admit decides on an arrival for a node ("" for any): whether it is refused at once, and for how long.
	Admit(node string) (retry time.Duration, refuse bool)
	// RetryAfter returns the wait to be told to the client for a refusal by the module.
	RetryAfter(node string, wait time.Duration) time.Duration
	// EndedError is called at the end of each attempt.
	AttemptEnded(node string, status policy.Status)
}

// startLimiter returns Options.Start until it is over, then nil.
func (c *Core) startLimiter() StartLimiter {
	if s := c.options.StartLimiter; s != nil && !s.Done() {
		return s
	}
	return nil
}

// nodeOfShard is the only listed node of a shard; "": there are several or none.
func (c *Core) nodeOfShard(shard int) (id string) {
	for _, n := range c.nodes {
		if n.Shard == shard {
			if id != "" {
				return ""
			}
			id = n.ID
		}
	}
	return id
}

// nodeUse is an exponentially decayed count of a node's attempts, as of the time at.
type nodeUse struct{ n, at float64 }

const useHalfLife = 30e3 // half-life of an attempt's weight, in ms

// decayed is the count at now.
func (u nodeUse) decayed(now float64) float64 { return u.n * math.Exp2((u.at-now)/useHalfLife) }

// recordUse counts an attempt to a listed node; only a process with a Starting stores what it learned.
func (c *Core) recordUse(node string, now float64) {
	if c.options.StartLimiter != nil {
		c.nodeUses[node] = nodeUse{c.nodeUses[node].decayed(now) + 1, now}
	}
}

// Learned returns what the module has learned, the nodes used most first; false: the actor has ended.
func (c *Core) Learned() (policy.Learned, bool) {
	type newNode struct {
		policy.LearnedNode
		use float64
	}
	var l policy.Learned
	var nodes []newNode
	done := make(chan struct{})
	c.post(message{call: func() {
		l = c.scheduler.Learned()
		now := c.moduleTime(time.Now())
		for _, n := range l.Nodes {
			nodes = append(nodes, newNode{n, c.nodeUses[n.ID].decayed(now)})
		}
		close(done)
	}})
	select {
	case <-done:
	case <-c.ended:
		return policy.Learned{}, false
	}
	slices.SortStableFunc(nodes, func(a, b newNode) int { return cmp.Compare(b.use, a.use) })
	for i := range nodes {
		l.Nodes[i] = nodes[i].LearnedNode
	}
	return l, true
}

// Restore gives the module what an earlier process learned, after the list updates handed over before.
func (c *Core) Restore(l policy.Learned) {
	c.post(message{call: func() {
		c.pendingRestore.Nodes = append(c.pendingRestore.Nodes, l.Nodes...)
		c.pendingRestore.Classes = append(c.pendingRestore.Classes, l.Classes...)
	}})
}

// applyPendingRestore passes on what Recall handed over; it runs after each turn's step, when the module knows the nodes.
func (c *Core) applyPendingRestore() {
	if len(c.pendingRestore.Nodes)+len(c.pendingRestore.Classes) > 0 {
		c.scheduler.Restore(c.pendingRestore)
		c.pendingRestore = policy.Learned{}
	}
}
