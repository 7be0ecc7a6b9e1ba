package httpfront

import (
	"context"
	"errors"
	"os"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/policy"
)

const (
	maxRetainedBuffer = 2 << 10  // bytes; a larger write buffer is released after the write
	writePieceSize    = 64 << 10 // piece of a write with a deadline; the clock is read before each piece
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
	if err := c.writeAttempt(j.attempt); err != nil {
		closer.detach()
		return exchangeEnd{result: c.writeErrorResult(j, first, err), unsent: true}
	}
	j.attempt.MarkWritten()
	d := newDelivery(c.node, j, closer)
	closer.setDelivery(d)
	rep, reusable, err := c.readResponse(first, d)
	if d.end() {
		return c.passedOnEnd(reusable, err)
	}
	connOpen := closer.detach() // false: the context ended first and the connection is closed
	if err != nil {
		if rep != nil {
			rep.Release()
		}
		c.response.Reset()
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

// writeAttempt encodes and writes an attempt's message.
func (c *conn) writeAttempt(a *core.Attempt) error {
	message := a.Request.Payload.(*nodeRequest)
	c.buffer = message.encodeHead(c.buffer[:0], c.host, time.Until(a.Deadline))
	var rest [][]byte
	if message.bodySize() > 0 {
		rest = message.body.segments
	}
	copied := c.node.dialer.Memory.NewShare(memory.NodeConnection)
	if message.bodySize() <= maxBufferedBody && copied.Grow(int64(message.bodySize())) { // copying a longer body would use up part of the remaining time stated in the head
		defer copied.Release()
		for _, segment := range rest {
			c.buffer = append(c.buffer, segment...)
		}
		rest = nil
	}
	err := c.write(rest, a.StartBy)
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
	return err
}

// writeErrorResult returns the result of an attempt whose last byte was not written: it has not run.
func (c *conn) writeErrorResult(j job, first bool, err error) core.Result {
	c.closeReason.set(readErrorReason(j.ctx, err))
	if j.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return core.Result{Status: policy.Abandoned} // its deduplication window has ended; this is no fault of the node
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

// write writes the buffer and then rest; after an error the last byte was not written. A node deduplicates a retry only
// within a time window, and the arrival of the last byte counts. The deadline (zero: none) therefore applies to the last
// byte too: if the node reads slowly, bytes that remain at the deadline are never written.
func (c *conn) write(rest [][]byte, deadline time.Time) error {
	if deadline.IsZero() {
		_, err := c.socket.Write(c.buffer)
		for i := 0; i < len(rest) && err == nil; i++ {
			_, err = c.socket.Write(rest[i])
		}
		return err
	}
	if err := c.socket.SetWriteDeadline(deadline); err != nil {
		return err
	}
	err := c.writeBefore(deadline, c.buffer)
	for i := 0; i < len(rest) && err == nil; i++ {
		err = c.writeBefore(deadline, rest[i])
	}
	if err != nil {
		return err
	}
	_ = c.socket.SetWriteDeadline(time.Time{}) // an error shows up at the next use of the connection
	return nil
}

// writeBefore writes part in pieces and reads the clock before each, as the timer of the write deadline may fire late.
func (c *conn) writeBefore(deadline time.Time, part []byte) error {
	for len(part) > 0 {
		if !time.Now().Before(deadline) {
			return os.ErrDeadlineExceeded
		}
		n, err := c.socket.Write(part[:min(len(part), writePieceSize)])
		if err != nil {
			return err
		}
		part = part[n:]
	}
	return nil
}
