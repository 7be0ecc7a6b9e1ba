package core

import (
	"slices"
	"time"

	"wheatsaddle/internal/requestid"
	"wheatsaddle/policy"
)

// idWindow is how long an id stays owned after the deadline of its request. A client that has left may send it again, to this process
// or to the next one of a handover, and the first attempt may still run.
const idWindow = 10 * time.Second

// mayHaveRunStatuses are the statuses of attempts that have run or may have.
var mayHaveRunStatuses = []policy.Status{policy.OK, policy.Errored, policy.TimedOut, policy.ConnectionReset, policy.Cancelled}

// mayHaveRun reports whether an attempt with the result has run or may have.
func mayHaveRun(status policy.Status) bool { return slices.Contains(mayHaveRunStatuses, status) }

// MayReject reports whether it is true that a request which is not admitted never ran: its id is not that of an earlier request that may
// have run, or it may run any number of times. Any goroutine may call it.
func (c *Core) MayReject(r *Request) bool { return c.isIdempotent(r) || !c.options.IDs.Owned(r.ID) }

// isIdempotent reports whether a request may run any number of times.
func (c *Core) isIdempotent(r *Request) bool {
	settings := r.Settings
	if settings == nil {
		settings = c.settings.Load()
	}
	class, ok := settings.Class(r.Class)
	return ok && class.Effect == policy.Idempotent
}

// ownershipLeft returns how long the id of a request stays owned from now.
func (c *Core) ownershipLeft(r *Request) time.Duration {
	deadline := min(r.Timeout, c.longestDeadline()) // a client's own deadline may be many minutes
	return max(0, time.Until(r.ReceivedAt.Add(deadline))) + idWindow
}

// longestDeadline returns the longest deadline of the classes.
func (c *Core) longestDeadline() time.Duration {
	longest := 0.0
	for _, class := range c.settings.Load().Classes {
		longest = max(longest, class.Deadline)
	}
	return time.Duration(longest * float64(time.Millisecond))
}

// publishID shows the other processes of a handover that this one owns the id, before the first attempt. If another process owns it,
// or may not see that, publishID answers the request.
func (c *Core) publishID(state *requestState) {
	if state.published || state.answered {
		return
	}
	switch c.options.IDs.Publish(state.request.ID, c.ownershipLeft(state.request), c.isIdempotent(state.request)) {
	case requestid.OwnedByPeer:
		c.answer(state, Answer{Kind: Failed, Cause: CauseDuplicateID, Reason: reasonOfCause[CauseDuplicateID]})
		return
	case requestid.Unpublished:
		if !c.isIdempotent(state.request) {
			c.answerUnpublished(state)
			return
		}
	case requestid.Unread:
		if !c.isIdempotent(state.request) { // it may have run at the other process, so it is not rejected
			c.answer(state, Answer{Kind: Failed, Cause: CauseNotServed, Reason: ReasonUnpublished})
			return
		}
	case requestid.Published:
	}
	state.published = true
}

// answerUnpublished answers a request that must not run, because another process may not see that this one owns its id. It has not run,
// but may repeat one that has.
func (c *Core) answerUnpublished(state *requestState) {
	a := Answer{Kind: Rejected, RetryAfter: rejectionRetryAfter, Reason: ReasonUnpublished}
	if !c.scheduler.MayRejectArrival(&state.request.Request, c.moduleTime(time.Now()), retryAfterMs) {
		a = Answer{Kind: Failed, Cause: CauseNotServed, Reason: ReasonUnpublished}
	}
	c.answer(state, a)
}

// releaseID ends the claim of a request's id when the request has left the table. An id that may have run stays owned for a while. One
// whose request was rejected, and may run any number of times, is free: its client was told to send it again.
func (c *Core) releaseID(state *requestState) {
	isFree := !state.mayHaveRun && state.outstanding == 0 || state.rejected && c.isIdempotent(state.request)
	if !isFree {
		c.options.IDs.End(state.request.ID, c.ownershipLeft(state.request))
		return
	}
	if state.published {
		c.options.IDs.Withdraw(state.request.ID)
	}
	c.options.IDs.End(state.request.ID, 0)
}
