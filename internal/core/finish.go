package core

import (
	"time"

	"wheatsaddle/policy"
)

// rejectionRetryAfter is the Retry-After of requests that are refused because the process ends.
const rejectionRetryAfter = 100 * time.Millisecond

// Finish answers all open requests, because the process is about to be killed, and refuses all later arrivals. Requests
// that were never sent are refused, as they may safely be repeated; the others fail.
func (c *Core) Finish() {
	c.post(message{call: func() {
		c.rejectsArrivals = true
		for _, e := range c.requests {
			if e.answered {
				continue
			}
			end := Answer{Kind: Failed, Cause: CauseNotServed}
			if len(e.attempts) == 0 {
				end = Answer{Kind: Rejected, RetryAfter: rejectionRetryAfter}
			}
			c.answer(e, end)
			c.events = append(c.events, policy.Event{Kind: policy.ClientDisconnected, ID: e.request.ID})
			c.forgetEnded(e)
		}
	}})
}

// Stop ends the actor and waits for its end. Open requests fail; those in the mailbox and later ones are refused.
func (c *Core) Stop() {
	close(c.stop)
	<-c.ended
	c.rejectRemaining()
}

// rejectRemaining refuses the arrivals left in the mailbox after the actor has ended. Any goroutine may call it.
func (c *Core) rejectRemaining() {
	for {
		select {
		case m := <-c.mailbox:
			if m.arrival != nil {
				c.Reject(m.arrival, rejectionRetryAfter)
			}
		default:
			return
		}
	}
}
