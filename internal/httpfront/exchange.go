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
	maxRetainedBuffer = 8 << 10  // a larger write buffer is not kept
	writePieceSize    = 64 << 10 // of a write with a time bound; the clock is read before each piece
)

// exchange writes an attempt on the open connection and reads its answer. reuse reports whether the connection may
// carry another; cut, that the attempt's last byte was not written, so that it has not run.
func (c *conn) exchange(j job) (r core.Result, reuse, cut bool) {
	nc := c.socket
	unwatch := context.AfterFunc(j.ctx, func() { nc.Close() })
	first := !c.used
	c.used = true
	if err := c.writeAttempt(j.attempt); err != nil {
		unwatch()
		return c.unwritten(j, first, err), false, true
	}
	j.attempt.MarkWritten()
	if cap(c.buffer) > maxRetainedBuffer {
		c.buffer = nil
	}
	rep, clean, err := c.readAnswer()
	whole := unwatch() // false: the context ended first and the connection is closed
	if err != nil {
		c.response.Reset()
		return c.unanswered(j, first), false, false
	}
	if c.identity != "" {
		c.answeredBy = string(c.response.Header.Peek(c.identity))
	}
	r = decodeReply(&c.response, rep)
	switch {
	case first && r.Status == policy.NodeFull && !clean: // the node rejected the request and closes the connection
		c.capacity = capacityNone
	case first:
		c.capacity = capacityFree
	}
	if rep.relay != nil && r.Payload == nil {
		return r, false, false // not served: its relay was released, and the rest is not read
	}
	if rep.relay == nil {
		c.response.Reset() // a relay resets it at its end
	}
	return r, whole && clean, false
}

// writeAttempt encodes and writes an attempt's message.
func (c *conn) writeAttempt(a *core.Attempt) error {
	made := a.Request.Payload.(*nodeRequest)
	c.buffer = made.encodeHead(c.buffer[:0], c.host, time.Until(a.Deadline))
	rest := made.body
	if len(rest) <= maxBufferedBody { // copying a longer one would take part of the time that the message says is left
		c.buffer = append(c.buffer, rest...)
		rest = nil
	}
	return c.write(rest, a.StartBy)
}

// unwritten is the result of an attempt whose last byte was not written: it has not run.
func (c *conn) unwritten(j job, first bool, err error) core.Result {
	if j.ctx.Err() == nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return core.Result{Status: policy.Abandoned} // its repeat window is over; the node is not at fault
	}
	if first && j.ctx.Err() == nil {
		c.capacity = capacityDoubtful
	}
	return unsentResult(j.ctx)
}

// unanswered is the result of an attempt that was written and has no whole answer: it may have run.
func (c *conn) unanswered(j job, first bool) core.Result {
	switch {
	case errors.Is(j.ctx.Err(), context.Canceled):
		return core.Result{Status: policy.Cancelled}
	case j.ctx.Err() != nil:
		return core.Result{Status: policy.TimedOut}
	}
	if first && !c.timed.inAnswer { // closed without an answer, perhaps for lack of capacity
		c.capacity = capacityDoubtful
	}
	return core.Result{Status: policy.ConnectionReset}
}

// write writes the buffer and then rest; an error says that the last byte was not written. A node recognises a repeat
// only up to a time, which it compares with the arrival of the last byte. So by (zero: no bound) holds for the last
// byte too: where the node reads slowly, what is not written by then is not written at all.
func (c *conn) write(rest []byte, by time.Time) error {
	if by.IsZero() {
		_, err := c.socket.Write(c.buffer)
		if err == nil && len(rest) > 0 {
			_, err = c.socket.Write(rest)
		}
		return err
	}
	if err := c.socket.SetWriteDeadline(by); err != nil {
		return err
	}
	for _, part := range [][]byte{c.buffer, rest} {
		if err := c.writeBefore(by, part); err != nil {
			return err
		}
	}
	_ = c.socket.SetWriteDeadline(time.Time{}) // an error shows at the next use
	return nil
}

// writeBefore writes part in pieces and reads the clock before each: the timer of the write deadline may be late.
func (c *conn) writeBefore(by time.Time, part []byte) error {
	for len(part) > 0 {
		if !time.Now().Before(by) {
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
