package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// readBuffered copies bytes that Watch read ahead to p and returns their number. If there are any, the connection becomes
// active.
func (c *Conn) readBuffered(p []byte) int {
	c.firstReadMu.Lock()
	defer c.firstReadMu.Unlock()
	n := c.readAhead.take(p)
	if n > 0 {
		c.markActive()
	}
	return n
}

// awaitRequest waits for the first bytes of a request, until the read deadline.
func (c *Conn) awaitRequest(p []byte) (n int, err error) {
	raw := c.raw()
	if raw == nil {
		return c.readWithoutSocket(p)
	}
	waitErr := raw.Read(func(fd uintptr) bool {
		n, err = c.readRequestStart(fd, p)
		return !errors.Is(err, syscall.EAGAIN)
	})
	if errors.Is(waitErr, os.ErrDeadlineExceeded) {
		waitErr = raw.Control(func(fd uintptr) { n, err = c.readAtDeadline(fd, p) })
	}
	switch {
	case waitErr != nil:
		return 0, waitErr
	case errors.Is(err, net.ErrClosed):
		return 0, err
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: c.RemoteAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	}
	c.readAhead.arrivals.read(n, time.Now())
	return n, nil
}

// readRequestStart reads the first bytes of a request, or returns syscall.EAGAIN if there are none. The read and the change
// to active are atomic with respect to markClosing, so nothing was read from a connection that is evicted.
func (c *Conn) readRequestStart(fd uintptr, p []byte) (int, error) {
	c.firstReadMu.Lock()
	defer c.firstReadMu.Unlock()
	if c.phase.Load() == closing {
		return 0, net.ErrClosed
	}
	n, err := readAvailable(fd, p)
	if errors.Is(err, syscall.EAGAIN) {
		return 0, err
	}
	if c.onFirstRead != nil {
		c.onFirstRead()
	}
	if n > 0 {
		c.markActive()
	}
	return n, err
}

// readAtDeadline reads once more when the read deadline has ended the wait for a request. A request that has arrived is served.
// Otherwise the connection becomes closing and the error is net.ErrClosed, not a timeout: the server would respond to a
// timeout, and a client whose request arrives at that moment would take that response for the one to its request.
func (c *Conn) readAtDeadline(fd uintptr, p []byte) (int, error) {
	n, err := c.readRequestStart(fd, p)
	if !errors.Is(err, syscall.EAGAIN) {
		return n, err
	}
	if c.onNothingRead != nil {
		c.onNothingRead()
	}
	return 0, c.markExpired()
}

// markExpired makes the connection closing because no request began in time, and returns the error for the server.
func (c *Conn) markExpired() error {
	c.SetCloseReason(reasonExpired)
	_ = c.phase.CompareAndSwap(fresh, closing) || c.phase.CompareAndSwap(idle, closing)
	return net.ErrClosed
}

// readWithoutSocket is awaitRequest for a connection that is not a socket, whose pending input cannot be inspected.
func (c *Conn) readWithoutSocket(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		return 0, c.markExpired()
	}
	if n > 0 {
		c.readAhead.arrivals.read(n, time.Now())
	}
	if n > 0 && !c.markActive() {
		return 0, net.ErrClosed
	}
	return n, err
}
