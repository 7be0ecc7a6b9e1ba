package core

import (
	"time"

	"wheatsaddle/policy"
)

// StartLimiter limits the load while a process starts, until Done returns true. Its methods are called from several
// goroutines and must not block.
type StartLimiter interface {
	// Done reports whether the start has ended. The other methods are not called after that.
	Done() bool
	// Admit decides whether a new request for the node is rejected at once, and with which Retry-After. The node is "" if
	// the request may go to several nodes.
	Admit(node string) (retryAfter time.Duration, reject bool)
	// RetryAfter returns the Retry-After for a rejection by the decision module, which proposes wait.
	RetryAfter(node string, wait time.Duration) time.Duration
	// AttemptEnded is called at the end of each attempt.
	AttemptEnded(node string, status policy.Status)
}

// startLimiter returns Options.StartLimiter, or nil once it is done. Any goroutine may call it.
func (c *Core) startLimiter() StartLimiter {
	if s := c.options.StartLimiter; s != nil && !s.Done() {
		return s
	}
	return nil
}

// nodeOfShard returns the only listed node of a shard, or "" if there are several or none.
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
