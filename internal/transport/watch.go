package transport

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/interleave/sync/atomic"
)

const (
	// readAheadLimit bounds the bytes read ahead from one watched connection. It is the longest body of the protocol.
	readAheadLimit = 64 << 10
	readAheadStep  = 4 << 10
)

// Watch returns a channel that is closed when the peer has closed or reset the connection. Input that arrives meanwhile is
// available to Read after Unwatch. Until then nothing may read from the connection, and no read deadline applies.
func (c *Conn) Watch() <-chan struct{} {
	peerClosed, ended := make(chan struct{}), make(chan struct{})
	c.watchDone = ended
	_ = c.SetReadDeadline(time.Time{}) // the read deadline of the current request would end the watch
	c.readAhead.watch(true)
	go func() {
		defer close(ended)
		raw := c.raw()
		if raw == nil {
			return
		}
		closed := false
		err := raw.Read(func(fd uintptr) bool {
			closed = c.readAhead.peerClosed(fd)
			if !closed {
				c.readAhead.recordQueue(fd) // further requests, which wait for this one's answer
			}
			return closed
		})
		if err == nil && closed {
			close(peerClosed)
		}
	}()
	return peerClosed
}

// Unwatch ends the watch, so that the connection may be read again.
func (c *Conn) Unwatch() {
	if c.watchDone == nil {
		return
	}
	_ = c.SetReadDeadline(deadlineOver)
	<-c.watchDone
	c.watchDone = nil
	c.readAhead.watch(false)
	_ = c.SetReadDeadline(time.Time{})
}

// PeerClosed reports whether the peer has closed or reset the connection, or the connection is closed on this side. It queries
// the kernel, so it does not depend on when the goroutine of Watch runs. It may be called from any goroutine.
func (c *Conn) PeerClosed() (closed bool) {
	raw := c.raw()
	if raw == nil {
		return false
	}
	err := raw.Control(func(fd uintptr) { closed = c.readAhead.peerClosed(fd) })
	return closed || err != nil
}

// readActive returns the bytes that were read ahead, if any, and otherwise reads from the connection.
func (c *Conn) readActive(p []byte) (int, error) {
	if n := c.readAhead.take(p); n > 0 {
		return n, nil
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.readAhead.arrivals.read(n, time.Now())
	}
	return n, err
}

// readAheadBuffer holds bytes that were read from a watched connection in order to detect an end of file after them.
type readAheadBuffer struct {
	mu      sync.Mutex
	watched bool // between Watch and Unwatch, when nothing else reads
	bytes   []byte
	size    atomic.Int32 // len(bytes)

	arrivals arrivalLog // of the connection's input, also where it is not read ahead
}

func (a *readAheadBuffer) watch(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sync.Writes(&a.watched)
	a.watched = on
}

// peerClosed reports whether the peer has closed the connection, even if unread bytes come before the end of file. Where the
// kernel does not report the state, the bytes of a watched connection are read ahead until the end of file is found.
func (a *readAheadBuffer) peerClosed(fd uintptr) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch inspect(fd) {
	case socketEmpty:
		return false
	case socketClosed:
		return true
	}
	if closed, known := tcpPeerClosed(fd); known {
		return closed
	}
	sync.Reads(&a.watched)
	return a.watched && a.fill(fd)
}

// recordQueue records the bytes that wait in the socket, if any. None of them is read ahead meanwhile.
func (a *readAheadBuffer) recordQueue(fd uintptr) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if inspect(fd) == socketReadable {
		a.arrivals.queued(countInput(fd), time.Now())
	}
}

// fill reads ahead up to readAheadLimit. It reports whether it reached the end of file or an error.
func (a *readAheadBuffer) fill(fd uintptr) bool {
	for len(a.bytes) < readAheadLimit {
		a.bytes = slices.Grow(a.bytes, readAheadStep)
		free := a.bytes[len(a.bytes):min(cap(a.bytes), readAheadLimit)]
		n, _, err := syscall.Recvfrom(int(fd), free, syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil || n == 0:
			return true
		}
		a.arrivals.read(n, time.Now())
		a.bytes = a.bytes[:len(a.bytes)+n]
		a.size.Store(int32(len(a.bytes)))
	}
	return false
}

// putBack puts bytes that were taken or read before the buffered ones.
func (a *readAheadBuffer) putBack(b []byte) {
	if len(b) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes = slices.Concat(b, a.bytes)
	a.size.Store(int32(len(a.bytes)))
}

// take moves buffered bytes to p and returns their number.
func (a *readAheadBuffer) take(p []byte) int {
	if a.size.Load() == 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	n := copy(p, a.bytes)
	if a.bytes = a.bytes[n:]; len(a.bytes) == 0 {
		a.bytes = nil
	}
	a.size.Store(int32(len(a.bytes)))
	return n
}

// tcpi_state, the first byte of TCP_INFO, of a connection that this process has not closed.
const (
	tcpEstablished = 1
	tcpClose       = 7 // reset by the peer
	tcpCloseWait   = 8 // the peer has shut down its sending side
)

// tcpPeerClosed reports whether the peer has closed a connection that may have unread bytes. known is false if the kernel does
// not report the state.
func tcpPeerClosed(fd uintptr) (closed, known bool) {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false, false
	}
	switch byte(info) { // little-endian
	case tcpEstablished:
		return false, true
	case tcpClose, tcpCloseWait:
		return true, true
	}
	return false, false
}
