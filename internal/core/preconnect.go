package core

import (
	"time"

	"wheatsaddle/policy"
)

// Preconnect opens a connection to a node before it is needed. A failure is reported to Options.StartLimiter like that of
// an attempt. It may wait for the mailbox.
func (c *Core) Preconnect(node string) {
	c.post(call(func() {
		if p := c.usableClient(node); p != nil {
			p.Connect(func(s policy.Status) { c.reportUnrequested(node, s) })
		}
	}))
}

// CheckHealth checks a node's health on behalf of Options.StartLimiter; the module gets the result as of its own check. It
// may wait for the mailbox.
func (c *Core) CheckHealth(node string) {
	c.post(call(func() {
		if p := c.usableClient(node); p != nil {
			p.CheckHealth(func(r Result, took time.Duration) {
				c.post(healthCheckResult{node, r, took})
				c.reportUnrequested(node, r.Status)
			})
		}
	}))
}

// usableClient returns the client of a node that is up and not excluded; nil: there is none.
func (c *Core) usableClient(node string) NodeClient {
	if n, ok := c.nodes[node]; ok && c.exclusions.View(c.moduleTime(time.Now()), n.Node).State == policy.NodeUp {
		return c.clients[node]
	}
	return nil
}

// reportUnrequested reports to Options.StartLimiter that a node could not be reached or was full. A success is not
// reported, as no request was served. Any goroutine may call it.
func (c *Core) reportUnrequested(node string, s policy.Status) {
	if st := c.startLimiter(); st != nil && (s == policy.ConnectFailed || s == policy.NodeFull) {
		st.AttemptEnded(node, s)
	}
}
