package core

import (
	"time"

	"wheatsaddle/policy"
)

// Preconnect asks a node's peer to open a connection before it is needed. Options.Start is told where that fails, as of
// an attempt.
func (c *Core) Preconnect(node string) {
	c.post(message{call: func() {
		if p := c.usablePeer(node); p != nil {
			p.Connect(func(s policy.Status) { c.reportUnrequested(node, s) })
		}
	}})
}

// Probe asks a node for its load on behalf of Options.Start; the module gets the answer as if it had asked.
func (c *Core) Probe(node string) {
	c.post(message{call: func() {
		if p := c.usablePeer(node); p != nil {
			p.Probe(func(r Result, took time.Duration) {
				c.post(message{probedNode: node, result: r, latency: took})
				c.reportUnrequested(node, r.Status)
			})
		}
	}})
}

// usablePeer is the peer of a node that is up and not excluded; nil: there is none.
func (c *Core) usablePeer(node string) Peer {
	if n, ok := c.nodes[node]; ok && c.exclusions.View(c.moduleTime(time.Now()), n.Node).State == policy.NodeUp {
		return c.peers[node]
	}
	return nil
}

// reportUnrequested tells Options.Start that a node could not be reached or was full. A success is not reported, as
// no request was served. Any goroutine may call it.
func (c *Core) reportUnrequested(node string, s policy.Status) {
	if st := c.starting(); st != nil && (s == policy.NoConn || s == policy.Full) {
		st.Ended(node, s)
	}
}
