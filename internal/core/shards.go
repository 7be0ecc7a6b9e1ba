package core

import (
	"slices"
	"time"

	"wheatsaddle/policy"
)

// Shards returns the sorted numbers of the shards that have a node that is up and not excluded. It returns nil once the
// actor has ended.
func (c *Core) Shards() []int {
	shards, _ := query(c, func() []int {
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
