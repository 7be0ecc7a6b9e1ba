package core

import (
	"time"

	"wheatsaddle/policy"
)

// Preconnect opens a connection to a node before it is needed. A failure is reported to Options.StartLimiter like the
// failure of an attempt. It may block while the mailbox is full.
func (c *Core) Preconnect(node string) {
	c.post(call(func() {
		if client := c.usableClient(node); client != nil {
			client.Connect(func(s policy.Status) { c.reportToStartLimiter(node, s) })
		}
	}))
}

// CheckHealth checks a node's health on behalf of Options.StartLimiter. The decision module receives the result like that
// of a health check of its own. It may block while the mailbox is full.
func (c *Core) CheckHealth(node string) {
	c.post(call(func() {
		if client := c.usableClient(node); client != nil {
			client.CheckHealth(func(r Result, latency time.Duration) {
				c.post(healthCheckResult{node, r, latency})
				c.reportToStartLimiter(node, r.Status)
			})
		}
	}))
}

// usableClient returns the client of a node, or nil if the node is not listed, not up or excluded.
func (c *Core) usableClient(node string) NodeClient {
	if n, ok := c.nodes[node]; ok && c.exclusions.View(c.moduleTime(time.Now()), n.Node).State == policy.NodeUp {
		return c.clients[node]
	}
	return nil
}

// reportToStartLimiter reports the status of a preconnect or health check to Options.StartLimiter if the node could not be
// reached or was full. A success is not reported, because no request was served. Any goroutine may call it.
func (c *Core) reportToStartLimiter(node string, status policy.Status) {
	if limiter := c.startLimiter(); limiter != nil && (status == policy.ConnectFailed || status == policy.NodeFull) {
		limiter.AttemptEnded(node, status)
	}
}
