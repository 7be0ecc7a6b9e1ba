package transport

import (
	realsync "sync"
	"syscall"
	"time"

	"wheatsaddle/internal/datarate"
	"wheatsaddle/internal/interleave/sync"
)

const (
	lingerTimeout     = 500 * time.Millisecond // wait for the peer's close
	discardLimit      = 4 << 20                // bytes discarded of a request that was answered early
	discardBufferSize = 16 << 10
)

// discardBuffers are shared by the connections, as none waits while it uses one.
var discardBuffers = realsync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// discardLimits bound the waits for more bytes of a request that was answered early.
var discardLimits = datarate.Limits{StallTimeout: 2500 * time.Millisecond, MinBytesPerSecond: 32 << 10}

// DiscardInput marks the remaining input as the remainder of a request that is answered early. Close then reads and discards it
// for a while, because a client may read the response only after it has sent the whole request.
func (c *Conn) DiscardInput() { c.discardInput = true }

// closeWrite shuts down the sending side after the written bytes. It reports whether that succeeded.
func (c *Conn) closeWrite() bool {
	raw := c.raw()
	if raw == nil {
		return false
	}
	err := raw.Control(func(fd uintptr) {
		if syscall.Shutdown(int(fd), syscall.SHUT_WR) != nil {
			raw = nil
		}
	})
	return err == nil && raw != nil
}

// linger closes the socket when the peer has closed, or after the listener's linger time. After DiscardInput it closes the
// socket once the input is slower than discardLimits allow, or discardLimit is used up. Closing a socket with unread input,
// or receiving input after a close, resets the connection, and the peer may then lose a response that it has not read yet. A
// further request that arrives meanwhile is not read. Its client sees the end of file and may retry elsewhere.
func (c *Conn) linger() {
	defer func() { _ = c.closeSocket() }()
	raw := c.raw()
	if raw == nil || c.Conn.SetReadDeadline(time.Now().Add(c.listener.linger)) != nil {
		return
	}
	remaining := discardLimit
	transfer, waitStart := datarate.NewTransfer(discardLimits), time.Now()
	_ = raw.Read(func(fd uintptr) bool {
		if c.discardInput {
			before := remaining
			if !discard(fd, &remaining) {
				return true
			}
			now := time.Now()
			transfer.Record(now.Sub(waitStart), before-remaining)
			waitStart = now
			_ = c.Conn.SetReadDeadline(now.Add(transfer.Allowance()))
		}
		s := inspect(fd)
		closed, _ := tcpPeerClosed(fd)
		return s == socketClosed || s == socketReadable && closed
	})
}

// discard reads and drops the available input. It returns false once remaining is used up.
func discard(fd uintptr, remaining *int) bool {
	buffer := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(buffer)
	for *remaining > 0 {
		n, err := readAvailable(fd, buffer[:])
		if err != nil || n == 0 {
			return true
		}
		*remaining -= n
	}
	return false
}

// closeLingering closes the lingering connections to free capacity for new ones.
func (l *Listener) closeLingering() {
	var all []*Conn
	l.mu.Lock()
	sync.Reads(&l.open)
	for _, c := range l.open {
		if c.phase.Load() == lingering {
			all = append(all, c)
		}
	}
	l.mu.Unlock()
	for _, c := range all {
		_ = c.closeSocket() // the response was already written
	}
}
