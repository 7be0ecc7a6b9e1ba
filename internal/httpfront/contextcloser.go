package httpfront

import (
	"context"
	"errors"
	"net"
	"sync"
)

// contextCloser closes a connection when the context of the attempt on it ends, unless it is detached before. At the deadline a long
// response that is still arriving is passed on, if it may be, and the connection stays open.
type contextCloser struct {
	ctx    context.Context
	socket net.Conn
	stop   func() bool // stops the watch; constant

	mu       sync.Mutex // guards the fields below
	delivery *delivery  // nil: the message is not written yet
	detached bool
	closed   bool
}

// newContextCloser begins to watch a context.
func newContextCloser(ctx context.Context, socket net.Conn) *contextCloser {
	c := &contextCloser{ctx: ctx, socket: socket}
	c.stop = context.AfterFunc(ctx, c.contextEnded)
	return c
}

// setDelivery sets the delivery of the attempt's response.
func (c *contextCloser) setDelivery(d *delivery) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivery = d
}

// detach keeps the connection open when the context ends. It returns false if the context has ended before.
func (c *contextCloser) detach() bool { return c.detachUnless(c.ctx.Err() != nil) }

// detachForPassOn is detach for a response that is passed on, also at the deadline.
func (c *contextCloser) detachForPassOn() bool {
	return c.detachUnless(errors.Is(c.ctx.Err(), context.Canceled))
}

// detachUnless detaches the connection, unless it is too late for that or the connection is closed. It reports whether the connection is
// detached.
func (c *contextCloser) detachUnless(tooLate bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.detached && !c.closed && !tooLate {
		c.detached = true
		c.stop()
	}
	return c.detached
}

// contextEnded passes the response on or closes the connection.
func (c *contextCloser) contextEnded() {
	c.mu.Lock()
	delivery := c.delivery
	c.mu.Unlock()
	if delivery != nil && errors.Is(c.ctx.Err(), context.DeadlineExceeded) {
		delivery.deadlineNear()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.detached {
		c.closed = true
		_ = c.socket.Close()
	}
}
