package httpfront

import (
	"context"
	"errors"
	"os"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

const (
	maxRetainedBuffer = 8 << 10  // a larger write buffer is released after the write
	writePieceSize    = 64 << 10 // piece of a write with a deadline; the clock is read before each piece
)

// exchange writes an attempt to the open connection and reads the response. reuse reports whether the connection may
// carry another attempt; unsent reports that the last byte was not written, so the attempt has not run.
func (c *conn) exchange(j job) (r core.Result, reuse, unsent bool) {
	nc := c.socket
	unwatch := context.AfterFunc(j.ctx, func() { nc.Close() })
	first := !c.used
	c.used = true
	if err := c.writeAttempt(j.attempt); err != nil {
		unwatch()
		r = c.writeErrorResult(j, first, err)
		c.closeReason.set(readErrorReason(j.ctx, err))
		r.Reason = c.closeReason.get()
		return r, false, true
	}
	j.attempt.MarkWritten()
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
	rep, reusable, err := c.readResponse(first)
	connOpen := unwatch() // false: the context ended first and the connection is closed
	if err != nil {
		c.response.Reset()
		r = c.readErrorResult(j, first)
		c.closeReason.set(readErrorReason(j.ctx, err))
		r.Reason = c.closeReason.get()
		return r, false, false
	}
	if c.identity != "" {
		c.answeredBy = string(c.response.Header.Peek(c.identity))
	}
	r = decodeResponse(&c.response, rep)
	switch {
	case first && r.Status == policy.NodeFull && !reusable: // the node rejected the request and closes the connection
		c.capacity = capacityNone
	case first:
		c.capacity = capacityFree
	}
	if !reusable {
		c.closeReason.set(reasonLastResponse)
	}
	if c.unrequested {
		c.closeReason.set(reasonUnrequested)
	}
	if !connOpen {
		c.closeReason.set(readErrorReason(j.ctx, nil))
	}
	if rep.relay != nil && r.Payload == nil {
		return r, false, false // not served: its relay was released, and the rest of the body is not read
	}
	if rep.relay == nil {
		c.response.Reset() // a relay resets it when it ends
	}
	return r, connOpen && reusable, false
}

// writeAttempt encodes and writes an attempt's message.
func (c *conn) writeAttempt(a *core.Attempt) error {
	message := a.Request.Payload.(*nodeRequest)
	c.buffer = message.encodeHead(c.buffer[:0], c.host, time.Until(a.Deadline))
	rest := message.body
	if len(rest) <= maxBufferedBody { // copying a longer body would use up part of the remaining time stated in the head
		c.buffer = append(c.buffer, rest...)
		rest = nil
	}
	return c.write(rest, a.StartBy)
}

// writeErrorResult returns the result of an attempt whose last byte was not written: it has not run.
func (c *conn) writeErrorResult(j job, first bool, err error) core.Result {
	if j.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return core.Result{Status: policy.Abandoned} // its deduplication window has ended; this is no fault of the node
	}
	if first && j.ctx.Err() == nil {
		c.capacity = capacityUncertain
	}
	return unsentResult(j.ctx)
}

// readErrorResult returns the result of an attempt that was written and got no complete response: it may have run.
func (c *conn) readErrorResult(j job, first bool) core.Result {
	switch {
	case errors.Is(j.ctx.Err(), context.Canceled):
		return core.Result{Status: policy.Cancelled}
	case j.ctx.Err() != nil:
		return core.Result{Status: policy.TimedOut}
	}
	if first && !c.timedReader.inResponse { // closed without a response, possibly for lack of capacity
		c.capacity = capacityUncertain
	}
	return core.Result{Status: policy.ConnectionReset}
}

// write writes the buffer and then rest; after an error the last byte was not written. A node deduplicates a retry only
// within a time window, and the arrival of the last byte counts. The deadline (zero: none) therefore applies to the last
// byte too: if the node reads slowly, bytes that remain at the deadline are never written.
func (c *conn) write(rest []byte, deadline time.Time) error {
	if deadline.IsZero() {
		_, err := c.socket.Write(c.buffer)
		if err == nil && len(rest) > 0 {
			_, err = c.socket.Write(rest)
		}
		return err
	}
	if err := c.socket.SetWriteDeadline(deadline); err != nil {
		return err
	}
	for _, part := range [][]byte{c.buffer, rest} {
		if err := c.writeBefore(deadline, part); err != nil {
			return err
		}
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
