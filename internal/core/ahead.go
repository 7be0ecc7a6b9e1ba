package core

import (
	"time"

	"wheatsaddle/choice"
)

// Ahead has a connection to a node opened before it is needed. Where that fails the start hears of it
// as of an attempt's: no request waited for it.
func (c *Core) Ahead(node string) {
	c.post(message{call: func() {
		if p := c.usable(node); p != nil {
			p.Connect(func(s choice.Status) { c.unasked(node, s) })
		}
	}})
}

// Probe asks a node for its load on behalf of the start; the module hears the answer like one that it asked for.
func (c *Core) Probe(node string) {
	c.post(message{call: func() {
		if p := c.usable(node); p != nil {
			p.Probe(func(r Result, took time.Duration) {
				c.post(message{probed: node, result: r, latency: took})
				c.unasked(node, r.Status)
			})
		}
	}})
}

// usable is the peer of a node that may be used; the actor's alone.
func (c *Core) usable(node string) Peer {
	if n, ok := c.nodes[node]; ok && c.book.View(c.clock(time.Now()), n.Node).State == choice.NodeUp {
		return c.peers[node]
	}
	return nil
}

// unasked tells the start what came of what no request waited for: that a node could not be reached, or
// was full. That it could is no service.
func (c *Core) unasked(node string, s choice.Status) {
	if st := c.starting(); st != nil && (s == choice.NoConn || s == choice.Full) {
		st.Ended(node, s)
	}
}
