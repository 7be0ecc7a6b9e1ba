package core

import (
	"time"

	"wheatsaddle/policy"
)

// Preconnect asks a node's peer to open a connection before it is needed. Options.Start is told where that fails, as of
// an attempt.
func (c *Core) Preconnect(node string) {
	c.post(call(func() {
		if p := c.usablePeer(node); p != nil {
			p.Connect(func(s policy.Status) { c.reportUnrequested(node, s) })
		}
	}))
}

// CheckHealth asks a node for its load on behalf of Options.Start; the module gets the answer as if it had asked.
func (c *Core) CheckHealth(node string) {
	c.post(call(func() {
		if p := c.usablePeer(node); p != nil {
			p.CheckHealth(func(r Result, took time.Duration) {
				c.post(healthCheckResult{node, r, took})
				c.reportUnrequested(node, r.Status)
			})
		}
	}))
}

// usablePeer is the peer of a node that is up and not excluded; nil: there is none.
func (c *Core) usablePeer(node string) NodeClient {
	if n, ok := c.nodes[node]; ok && c.exclusions.View(c.moduleTime(time.Now()), n.Node).State == policy.NodeUp {
		return c.peers[node]
	}
	return nil
}

// reportUnrequested tells Options.Start that a node could not be reached or was full. A success is not reported, as
// no request was served. Any goroutine may call it.
func (c *Core) reportUnrequested(node string, s policy.Status) {
	if st := c.startLimiter(); st != nil && (s == policy.ConnectFailed || s == policy.NodeFull) {
		st.AttemptEnded(node, s)
	}
}
