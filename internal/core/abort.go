package core

import "wheatsaddle/policy"

// Abort ends a request early: no further attempt of it begins. Attempts that are claimed go on, because a node may run them whether or not
// they are cancelled. The request is answered once their outcomes are known, and by its deadline at the latest: served if one of them was
// served, rejected if none has run, and failed otherwise. Abort has no effect on a request that is answered. It may block while the mailbox
// is full.
func (c *Core) Abort(r *Request) { c.post(requestAborted{r}) }

// requestAborted carries a request that is to be aborted.
type requestAborted struct{ request *Request }

func (m requestAborted) handle(c *Core, _ float64) {
	if state := c.requests[m.request.ID]; state != nil && state.request == m.request {
		c.abortRequest(state)
	}
}

// abortRequest takes a request from the decision module, so that no further attempt begins.
func (c *Core) abortRequest(state *requestState) {
	if state.answered || state.aborted {
		return
	}
	state.aborted = true
	c.events = append(c.events, policy.Event{Kind: policy.ClientDisconnected, ID: state.request.ID})
	c.answerAborted(state)
	c.forgetEnded(state)
}

// answerAborted answers an aborted request, unless one of its attempts may still run.
func (c *Core) answerAborted(state *requestState) {
	if state.answered || state.mayStillRun() {
		return
	}
	a := Answer{Kind: Rejected, Reason: ReasonAborted}
	if state.mayHaveRun {
		a = Answer{Kind: Failed, Cause: CauseNotServed, Reason: ReasonAborted}
	}
	c.answer(state, a)
}
