package core

import (
	"slices"
	"time"

	"wheatsaddle/policy"
)

// Shards returns, in order, the shards with a node that is up and not excluded; nil once the actor has ended.
func (c *Core) Shards() []int {
	got := make(chan []int, 1)
	c.post(message{call: func() {
		var all []int
		now := c.moduleTime(time.Now())
		for _, n := range c.nodes {
			if v := c.exclusions.View(now, n.Node); v.State == policy.NodeUp && n.Shard >= 0 {
				all = append(all, n.Shard)
			}
		}
		slices.Sort(all)
		got <- slices.Compact(all)
	}})
	select {
	case all := <-got:
		return all
	case <-c.ended:
		return nil
	}
}
