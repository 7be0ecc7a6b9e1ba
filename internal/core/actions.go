package core

import (
	"time"

	"wheatsaddle/policy"
)

// execute carries out one action of the decision module.
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
		c.setTimer(&pendingTimer{atMs: now + a.Wait, tag: a.Tag})
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

// rejectRequest answers a request that the decision module rejects. While the process starts, the StartLimiter sets
// Retry-After, but not beyond the time until which the client may repeat the request.
func (c *Core) rejectRequest(a *policy.Action) {
	state := c.requests[a.ID]
	if state == nil {
		return
	}
	wait := time.Duration(a.Wait * float64(time.Millisecond))
	if limiter := c.startLimiter(); limiter != nil {
		wait = limiter.RetryAfter(c.nodeOfShard(state.request.Shard), wait)
	}
	if a.RepeatBy > 0 { // later the repeat would run a second time
		wait = min(wait, time.Until(c.wallTime(a.RepeatBy)))
	}
	c.answer(state, Answer{Kind: Rejected, RetryAfter: wait, Reason: Reason(a.Reason)})
	c.forgetEnded(state)
}

// failRequest answers a request that the decision module fails. The cause is CauseDeadlineExceeded if the request's
// deadline has passed, and CauseNotServed otherwise.
func (c *Core) failRequest(a *policy.Action, now float64) {
	state := c.requests[a.ID]
	if state == nil {
		return
	}
	cause := CauseNotServed
	if now >= state.request.Deadline {
		cause = CauseDeadlineExceeded
	}
	c.answer(state, Answer{Kind: Failed, Cause: cause, Reason: Reason(a.Reason)})
	c.forgetEnded(state)
}

// cancelAttempt cancels an attempt through its node client. An attempt without a node client has already ended. One of an aborted request
// that is claimed is not cancelled, because its outcome is awaited.
func (c *Core) cancelAttempt(a *policy.Action) {
	state := c.requests[a.ID]
	if state == nil || a.Attempt < 0 || a.Attempt >= len(state.attempts) {
		return
	}
	attempt := state.attempts[a.Attempt]
	if a.OnlyIfSilent && attempt.transferring.Load() {
		c.attemptTransferring(attempt) // the notice may still be on its way
		return
	}
	if state.aborted && attempt.phase.Load() == phaseClaimed {
		return
	}
	if attempt.client != nil {
		attempt.client.Cancel(attempt)
	}
}

// checkHealth starts a health check of a node. If none can be sent, the decision module receives a failed check in the
// next step.
func (c *Core) checkHealth(node string) {
	answered := func(r Result, latency time.Duration) {
		c.post(healthCheckResult{node, r, latency})
	}
	client, ok := c.clients[node]
	if !ok || !client.CheckHealth(answered) {
		c.events = append(c.events, policy.Event{Kind: policy.HealthCheckEnded, Node: node, Status: policy.ConnectFailed})
	}
}
