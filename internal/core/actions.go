package core

import (
	"container/heap"
	"time"

	"wheatsaddle/policy"
)

// execute executes one action of the module.
func (c *Core) execute(a *policy.Action, now float64) {
	switch a.Kind {
	case policy.Send:
		c.send(a, now)
	case policy.Reject:
		c.rejectRequest(a)
	case policy.Fail:
		c.failRequest(a, now)
	case policy.Cancel:
		c.cancelAttempt(a)
	case policy.SetTimer:
		heap.Push(&c.timers, pendingTimer{atMs: now + a.Wait, tag: a.Tag})
	case policy.CheckHealth:
		c.checkHealth(a.Node)
	case policy.Subscribe, policy.RequestList:
		if c.options.OnListRequested != nil {
			c.options.OnListRequested()
		}
	case policy.Log:
		c.options.Log.Info(a.Text)
	}
}

// rejectRequest answers a request that the module rejects. While the process starts, the StartLimiter sets Retry-After.
func (c *Core) rejectRequest(a *policy.Action) {
	e := c.requests[a.ID]
	if e == nil {
		return
	}
	wait := time.Duration(a.Wait * float64(time.Millisecond))
	if st := c.startLimiter(); st != nil {
		wait = st.RetryAfter(c.nodeOfShard(e.request.Shard), wait)
	}
	c.answer(e, Answer{Kind: Rejected, RetryAfter: wait})
	c.forgetEnded(e)
}

// failRequest answers a request that the module fails; past its deadline the cause is CauseDeadlineExceeded.
func (c *Core) failRequest(a *policy.Action, now float64) {
	e := c.requests[a.ID]
	if e == nil {
		return
	}
	cause := CauseNotServed
	if now >= e.request.Deadline {
		cause = CauseDeadlineExceeded
	}
	c.answer(e, Answer{Kind: Failed, Cause: cause})
	c.forgetEnded(e)
}

// cancelAttempt cancels an attempt at its node client; an attempt without one has ended already.
func (c *Core) cancelAttempt(a *policy.Action) {
	e := c.requests[a.ID]
	if e == nil || a.Attempt < 0 || a.Attempt >= len(e.attempts) {
		return
	}
	t := e.attempts[a.Attempt]
	if t.client != nil {
		t.client.Cancel(t)
	}
}

// checkHealth checks a node's health. If nothing can be sent, the next step reports that to the module.
func (c *Core) checkHealth(node string) {
	answered := func(r Result, took time.Duration) {
		c.post(healthCheckResult{node, r, took})
	}
	p, ok := c.clients[node]
	if !ok || !p.CheckHealth(answered) {
		c.events = append(c.events, policy.Event{Kind: policy.HealthCheckEnded, Node: node, Status: policy.ConnectFailed})
	}
}
