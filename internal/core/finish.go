package core

import "time"

// rejectionRetryAfter is the Retry-After of requests that are rejected because the process stops or the mailbox is full.
const rejectionRetryAfter = 100 * time.Millisecond

// retryAfterMs is the same in the decision module's unit.
const retryAfterMs = float64(rejectionRetryAfter / time.Millisecond)

// Finish answers all open requests and rejects all later ones. It is called when the process is about to be killed.
// Requests without an attempt are rejected, because the client can safely repeat them, unless they repeat one that may
// have run. The others fail. Finish may block while the mailbox is full, and does not wait for the answers.
func (c *Core) Finish() {
	c.post(call(func() {
		c.rejectsArrivals = true
		now := c.moduleTime(time.Now())
		for id, state := range c.requests {
			a := Answer{Kind: Failed, Cause: CauseNotServed, Reason: ReasonStopping}
			if len(state.attempts) == 0 && c.scheduler.MayReject(id, now, retryAfterMs) {
				a = Answer{Kind: Rejected, RetryAfter: rejectionRetryAfter, Reason: ReasonStopping}
			}
			c.abort(state, a)
		}
	}))
}

// rejectStopping answers a request that arrives after Finish.
func (c *Core) rejectStopping(r *Request, now float64) {
	if !c.scheduler.MayRejectArrival(&r.Request, now, retryAfterMs) {
		c.refuse(r, Answer{Kind: Failed, Cause: CauseNotServed, Reason: ReasonStopping})
		return
	}
	c.Reject(r, rejectionRetryAfter, ReasonStopping)
}

// Stop ends the actor and waits for its end. Open requests fail. Requests that are still in the mailbox and later ones are
// rejected.
func (c *Core) Stop() {
	close(c.stop)
	<-c.ended
	c.rejectRemaining()
}

// rejectRemaining rejects the requests that remain in the mailbox after the actor has ended. Any goroutine may call it.
func (c *Core) rejectRemaining() {
	for {
		select {
		case m := <-c.mailbox:
			if m, ok := m.(requestArrived); ok {
				c.Reject(m.request, rejectionRetryAfter, ReasonStopping)
			}
		default:
			return
		}
	}
}
