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
	// readAheadMost bounds what is read ahead of one watched connection: the longest body of the protocol.
	readAheadLimit = 64 << 10
	readAheadStep  = 4 << 10
)

// Watch returns a channel that closes when the other side has gone. What is sent ahead stays to be read. Nothing may
// read from the connection until Unwatch, and no read deadline holds until then.
func (c *Conn) Watch() <-chan struct{} {
	peerClosed, ended := make(chan struct{}), make(chan struct{})
	c.watchDone = ended
	_ = c.SetReadDeadline(time.Time{}) // that of the request just read would end the watch
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
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.watchDone
	c.watchDone = nil
	c.readAhead.watch(false)
	_ = c.SetReadDeadline(time.Time{})
}

// PeerClosed says whether the other side has gone, or the connection is closed. It asks the system, so it is true from the
// instant at which the system has the close, however late the watch and its channel run. It may be called from any
// goroutine.
func (c *Conn) PeerClosed() (closed bool) {
	raw := c.raw()
	if raw == nil {
		return false
	}
	err := raw.Control(func(fd uintptr) { closed = c.readAhead.peerClosed(fd) })
	return closed || err != nil
}

// next reads what was read ahead, and then from the connection.
func (c *Conn) next(p []byte) (int, error) {
	if n := c.readAhead.take(p); n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// readAheadBuffer holds what was taken from a watched connection to see what comes behind it.
type readAheadBuffer struct {
	mu      sync.Mutex
	watched bool // nothing else reads
	bytes   []byte
	size    atomic.Int32 // len(bytes)
}

func (a *readAheadBuffer) watch(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sync.Writes(&a.watched)
	a.watched = on
}

// peerClosed says whether the other side has gone, also behind bytes that wait. Where the system does not say that, the bytes
// are read ahead while the connection is watched: their end shows it, and wakes the watch as any system does.
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

// fill reads ahead up to the bound; true: to the end.
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
		a.bytes = a.bytes[:len(a.bytes)+n]
		a.size.Store(int32(len(a.bytes)))
	}
	return false
}

// take gives what is held, from its start.
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

// tcpi_state, the first byte of TCP_INFO, of a connection that this side has not closed.
const (
	tcpEstablished = 1
	tcpClose       = 7 // reset by the other side
	tcpCloseWait   = 8 // the other side has ended its sending
)

// tcpPeerClosed says whether the other side has gone behind bytes that wait; told is false where the system does not say.
func tcpPeerClosed(fd uintptr) (closed, known bool) {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return false, false
	}
	switch byte(info) { // of a machine that has the low byte first
	case tcpEstablished:
		return false, true
	case tcpClose, tcpCloseWait:
		return true, true
	}
	return false, false
}
