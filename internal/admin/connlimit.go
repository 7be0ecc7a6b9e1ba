package admin

import (
	"net"
	"slices"
	"sync"
)

// limitedListener keeps at most max connections open. A new connection beyond that closes the oldest one, which most likely
// belongs to a client that never completes its request.
type limitedListener struct {
	net.Listener
	max int

	mu   sync.Mutex // guards open
	open []*limitedConn
}

// limitedConn is a connection of a limitedListener.
type limitedConn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once
}

// limitConns limits the open connections of a listener.
func limitConns(ln net.Listener, maxOpen int) *limitedListener {
	return &limitedListener{Listener: ln, max: maxOpen}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &limitedConn{Conn: nc, listener: l}
	l.mu.Lock()
	var oldest *limitedConn
	if len(l.open) >= l.max {
		oldest = l.open[0]
	}
	l.open = append(l.open, c)
	l.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // the connection's handler sees the error
	}
	return c, nil
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.open = slices.DeleteFunc(c.listener.open, func(o *limitedConn) bool { return o == c })
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
