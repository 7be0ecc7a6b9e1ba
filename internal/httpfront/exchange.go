package httpfront

import (
	"context"
	"errors"
	"os"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// exchangeEnd is how the exchange of one message and its response ended.
type exchangeEnd struct {
	result   core.Result // of the attempt; not set if passedOn is set
	passedOn bool        // core has the result: the response was passed on while it arrived
	unsent   bool        // the last byte was not written, so the attempt has not run
	reuse    bool        // the connection may carry another attempt
}

// exchange writes an attempt to the open connection and reads the response to its end.
func (c *conn) exchange(j job) exchangeEnd {
	closer := newContextCloser(j.ctx, c.socket)
	first := !c.used
	c.used = true
	w := c.newRequestWrite(j, closer)
	d := w.delivery
	if err := w.run(); err != nil && !errors.Is(err, errRespondedEarly) {
		d.end()
		closer.detach()
		return exchangeEnd{result: c.writeErrorResult(j, first, err), unsent: true}
	}
	closer.setDelivery(d)
	rep, reusable, err := c.readResponse(first, d)
	reusable = w.finish() && reusable
	if d.end() {
		return c.passedOnEnd(reusable, err)
	}
	connOpen := closer.detach() // false: the context ended first and the connection is closed
	if err != nil {
		if rep != nil {
			rep.Release()
		}
		c.response.Reset()
		if !w.written() { // without its last byte the attempt has not run
			return exchangeEnd{result: c.writeErrorResult(j, first, err), unsent: true}
		}
		return exchangeEnd{result: c.readErrorResult(j, first, err)}
	}
	c.recordIdentity()
	result := decodeResponse(&c.response, rep)
	switch {
	case first && result.Status == policy.NodeFull && !reusable: // the node rejected the request and closes the connection
		c.capacity = capacityNone
	case first:
		c.capacity = capacityFree
	}
	c.response.Reset()
	c.recordUnusable(j.ctx, reusable, connOpen)
	return exchangeEnd{result: result, reuse: connOpen && reusable}
}

// recordIdentity records the name that the node gives itself in the response.
func (c *conn) recordIdentity() {
	if c.identity != "" {
		c.answeredBy = string(c.response.Header.Peek(c.identity))
	}
}

// passedOnEnd returns the end of an exchange whose response was passed on while it arrived.
func (c *conn) passedOnEnd(reusable bool, err error) exchangeEnd {
	c.response.Reset()
	c.capacity = capacityFree
	if err != nil {
		c.closeReason.set(reasonRelayUnfinished)
		c.socket.Close() // the rest of the body is not read, so the connection cannot be used again
		return exchangeEnd{passedOn: true}
	}
	c.recordUnusable(context.Background(), reusable, true)
	return exchangeEnd{passedOn: true, reuse: reusable}
}

// recordUnusable sets the reason for the close of a connection that cannot be used again after a complete response.
func (c *conn) recordUnusable(ctx context.Context, reusable, connOpen bool) {
	switch {
	case !connOpen:
		c.closeReason.set(readErrorReason(ctx, nil))
	case c.unrequested:
		c.closeReason.set(reasonUnrequested)
	case !reusable:
		c.closeReason.set(reasonLastResponse)
	}
}

// writeErrorResult returns the result of an attempt whose last byte was not written: it has not run.
func (c *conn) writeErrorResult(j job, first bool, err error) core.Result {
	c.closeReason.set(readErrorReason(j.ctx, err))
	windowEnded := j.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) // that of its deduplication
	timeEnded := errors.Is(j.ctx.Err(), context.DeadlineExceeded)
	if windowEnded || timeEnded || errors.Is(err, errRequestStalled) { // a node that reads slowly is no failing node
		return core.Result{Status: policy.Abandoned, Reason: c.closeReason.get()}
	}
	if first && j.ctx.Err() == nil {
		c.capacity = capacityUncertain
	}
	r := unsentResult(j.ctx)
	r.Reason = c.closeReason.get()
	return r
}

// readErrorResult returns the result of an attempt that was written and got no complete response: it may have run.
func (c *conn) readErrorResult(j job, first bool, err error) core.Result {
	reason := readErrorReason(j.ctx, err)
	c.closeReason.set(reason)
	switch {
	case errors.Is(j.ctx.Err(), context.Canceled):
		return core.Result{Status: policy.Cancelled, Reason: reason}
	case j.ctx.Err() != nil:
		return core.Result{Status: policy.TimedOut, Reason: reason}
	}
	if first && !c.timedReader.inResponse { // closed without a response, possibly for lack of capacity
		c.capacity = capacityUncertain
	}
	return core.Result{Status: policy.ConnectionReset, Reason: reason}
}
