package core

import (
	"slices"
	"time"

	"wheatsaddle/policy"
)

// Shards returns, in order, the shards with a node that is up and not excluded; nil once the actor has ended.
func (c *Core) Shards() []int {
	shards, _ := ask(c, func() []int {
		var shards []int
		now := c.moduleTime(time.Now())
		for _, n := range c.nodes {
			if v := c.exclusions.View(now, n.Node); v.State == policy.NodeUp && n.Shard >= 0 {
				shards = append(shards, n.Shard)
			}
		}
		slices.Sort(shards)
		return slices.Compact(shards)
	})
	return shards
}
