// Package sock holds what both fronts need of their listening sockets: a cap on open
// connections, survival of a lack of descriptors, and a watch for a peer's going.
package sock

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const acceptPause = 5 * time.Millisecond

// passing are the accept errors that time heals.
var passing = []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM}

// Listener caps the open connections: at the cap the one that has been idle the longest is
// closed for a newcomer, and while none is idle newcomers stay in the backlog. It does not end for a lack of descriptors, as servers do that take any accept
// error for their end.
type Listener struct {
	net.Listener
	most int
	mu   sync.Mutex
	open map[*Conn]bool
	done chan struct{}
	once sync.Once
}

// Limit wraps a TCP listener.
func Limit(ln net.Listener, most int) *Listener {
	return &Listener{Listener: ln, most: most, open: map[*Conn]bool{}, done: make(chan struct{})}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

func (l *Listener) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) >= l.most
}

// shed closes the connection that has been idle the longest.
func (l *Listener) shed() {
	l.mu.Lock()
	var oldest *Conn
	for c := range l.open {
		if at := c.idle.Load(); at > 0 && (oldest == nil || at < oldest.idle.Load()) {
			oldest = c
		}
	}
	l.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		if l.full() {
			l.shed()
		}
		if !l.full() {
			nc, err := l.Listener.Accept()
			if err == nil {
				c := &Conn{Conn: nc, from: l}
				l.mu.Lock()
				l.open[c] = true
				l.mu.Unlock()
				return c, nil
			}
			if !heals(err) {
				return nil, err
			}
		}
		select {
		case <-l.done:
			return nil, net.ErrClosed
		case <-time.After(acceptPause):
		}
	}
}

func heals(err error) bool {
	for _, p := range passing {
		if errors.Is(err, p) {
			return true
		}
	}
	return false
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	from  *Listener
	idle  atomic.Int64 // since when it carries nothing; 0: it does
	ended chan struct{}
}

// Idle says whether the connection carries a request now.
func (c *Conn) Idle(idle bool) {
	if idle {
		c.idle.Store(time.Now().UnixNano())
	} else {
		c.idle.Store(0)
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.from.mu.Lock()
	delete(c.from.open, c)
	c.from.mu.Unlock()
	return c.Conn.Close()
}

// Watch returns a channel that closes when the other side has gone. It takes no bytes: what
// is sent ahead stays to be read. Nothing may read from the connection until Unwatch.
func (c *Conn) Watch() <-chan struct{} {
	left, ended := make(chan struct{}), make(chan struct{})
	c.ended = ended
	go func() {
		defer close(ended)
		sc, ok := c.Conn.(syscall.Conn)
		if !ok {
			return
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			return
		}
		gone := false
		err = raw.Read(func(fd uintptr) bool {
			state := peek(fd)
			gone = state == closed
			return state != open
		})
		if err == nil && gone {
			close(left)
		}
	}()
	return left
}

// Unwatch ends the watch, so that the connection may be read again.
func (c *Conn) Unwatch() {
	if c.ended == nil {
		return
	}
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-c.ended
	c.ended = nil
	_ = c.SetReadDeadline(time.Time{})
}

type state int

const (
	open    state = iota // nothing to read
	waiting              // bytes wait
	closed
)

func peek(fd uintptr) state {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR):
		return open
	case err != nil || n == 0:
		return closed
	}
	return waiting
}

// Quiet says whether an idle connection still stands and holds nothing to read.
func Quiet(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) { quiet = peek(fd) == open })
	return err == nil && quiet
}
