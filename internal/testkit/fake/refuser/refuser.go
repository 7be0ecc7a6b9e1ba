// Package refuser has connections on which every copy past the process fails as a refused splice or
// sendfile does, and counts each try. Reads and writes are those of the socket. For tests.
package refuser

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// Tries counts the copies that were refused.
type Tries struct{ n atomic.Int64 }

// Count is how many there were.
func (t *Tries) Count() int64 { return t.n.Load() }

// Conn refuses. It is what a TCP connection is otherwise, for whoever looks at its type.
type Conn struct {
	*net.TCPConn
	tries *Tries
}

// Of makes a connection of the system refuse.
func (t *Tries) Of(nc net.Conn) *Conn { return &Conn{nc.(*net.TCPConn), t} }

// ReadFrom implements io.ReaderFrom, as refused.
func (c *Conn) ReadFrom(io.Reader) (int64, error) { c.tries.n.Add(1); return 0, syscall.ENOSYS }

// WriteTo implements io.WriterTo, as refused.
func (c *Conn) WriteTo(io.Writer) (int64, error) { c.tries.n.Add(1); return 0, syscall.EINVAL }

// Listener gives out such connections.
type Listener struct {
	net.Listener
	*Tries
}

// Listen listens on loopback.
func Listen() (*Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{ln, &Tries{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Of(nc), nil
}
