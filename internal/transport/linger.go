package transport

import (
	"syscall"
	"time"

	"wheatsaddle/internal/interleave/sync"
)

const (
	lingerTimeout      = 500 * time.Millisecond  // for the other side's close
	discardReadTimeout = 2500 * time.Millisecond // ... and for more of a request that has had its answer
	discardLimit       = 4 << 20                 // bytes of it
	discardBufferSize  = 16 << 10
)

// DiscardInput marks the remaining input as the rest of a request that is answered early. Close then reads and discards it
// for a while, as a client may read the response only after it has sent the whole request.
func (c *Conn) DiscardInput() { c.discardInput = true }

// closeWrite ends the sending behind what was written; false: the socket cannot do that any more.
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

// linger closes the socket when the other side has closed, or after a while. A close over unread bytes, or bytes that
// come after a close, reset the connection, and a reset may take what was written and not read yet with it. A further
// request that comes meanwhile is not read: its client sees the end and sends it again elsewhere.
func (c *Conn) linger() {
	defer c.closeSocket()
	raw := c.raw()
	if raw == nil || c.Conn.SetReadDeadline(time.Now().Add(c.listener.linger)) != nil {
		return
	}
	remaining := discardLimit
	_ = raw.Read(func(fd uintptr) bool {
		if c.discardInput {
			_ = c.Conn.SetReadDeadline(time.Now().Add(discardReadTimeout))
			if !discard(fd, &remaining) {
				return true
			}
		}
		s := inspect(fd)
		closed, _ := tcpPeerClosed(fd)
		return s == socketClosed || s == socketReadable && closed
	})
}

// discard reads what has come; false: it is too much.
func discard(fd uintptr, remaining *int) bool {
	var b [discardBufferSize]byte
	for *remaining > 0 {
		n, err := readAvailable(fd, b[:])
		if err != nil || n == 0 {
			return true
		}
		*remaining -= n
	}
	return false
}

// closeLingering closes the connections that linger, for whoever needs their places.
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
		c.closeSocket()
	}
}
