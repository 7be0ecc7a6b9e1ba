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
	left, ended := make(chan struct{}), make(chan struct{})
	c.watchDone = ended
	_ = c.SetReadDeadline(time.Time{}) // that of the request just read would end the watch
	c.ahead.watch(true)
	go func() {
		defer close(ended)
		raw := c.raw()
		if raw == nil {
			return
		}
		gone := false
		err := raw.Read(func(fd uintptr) bool {
			gone = c.ahead.look(fd)
			return gone
		})
		if err == nil && gone {
			close(left)
		}
	}()
	return left
}

// Unwatch ends the watch, so that the connection may be read again.
func (c *Conn) Unwatch() {
	if c.watchDone == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.watchDone
	c.watchDone = nil
	c.ahead.watch(false)
	_ = c.SetReadDeadline(time.Time{})
}

// Gone says whether the other side has gone, or the connection is closed. It pendingInput the system, so it is true from the
// instant at which the system has the close, however late the watch and its channel run. It may be called from any
// goroutine.
func (c *Conn) Gone() (gone bool) {
	raw := c.raw()
	if raw == nil {
		return false
	}
	err := raw.Control(func(fd uintptr) { gone = c.ahead.look(fd) })
	return gone || err != nil
}

// next reads what was read ahead, and then from the connection.
func (c *Conn) next(p []byte) (int, error) {
	if n := c.ahead.take(p); n > 0 {
		return n, nil
	}
	return c.Conn.Read(p)
}

// readAhead holds what was taken from a watched connection to see what comes behind it.
type readAhead struct {
	mu      sync.Mutex
	watched bool // nothing else reads
	bytes   []byte
	held    atomic.Int32 // len(bytes)
}

func (a *readAhead) watch(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	sync.Writes(&a.watched)
	a.watched = on
}

// look says whether the other side has gone, also behind bytes that wait. Where the system does not say that, the bytes
// are read ahead while the connection is watched: their end shows it, and wakes the watch as any system does.
func (a *readAhead) look(fd uintptr) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch inspect(fd) {
	case socketEmpty:
		return false
	case socketClosed:
		return true
	}
	if gone, told := peerGone(fd); told {
		return gone
	}
	sync.Reads(&a.watched)
	return a.watched && a.fill(fd)
}

// fill reads ahead up to the bound; true: to the end.
func (a *readAhead) fill(fd uintptr) bool {
	for len(a.bytes) < readAheadLimit {
		a.bytes = slices.Grow(a.bytes, readAheadStep)
		room := a.bytes[len(a.bytes):min(cap(a.bytes), readAheadLimit)]
		n, _, err := syscall.Recvfrom(int(fd), room, syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return false
		case err != nil || n == 0:
			return true
		}
		a.bytes = a.bytes[:len(a.bytes)+n]
		a.held.Store(int32(len(a.bytes)))
	}
	return false
}

// take gives what is held, from its start.
func (a *readAhead) take(p []byte) int {
	if a.held.Load() == 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	n := copy(p, a.bytes)
	if a.bytes = a.bytes[n:]; len(a.bytes) == 0 {
		a.bytes = nil
	}
	a.held.Store(int32(len(a.bytes)))
	return n
}

// tcpi_state, the first byte of TCP_INFO, of a connection that this side has not closed.
const (
	tcpEstablished = 1
	tcpClose       = 7 // reset by the other side
	tcpCloseWait   = 8 // the other side has ended its sending
)

// peerGone says whether the other side has gone behind bytes that wait; told is false where the system does not say.
func peerGone(fd uintptr) (gone, told bool) {
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
