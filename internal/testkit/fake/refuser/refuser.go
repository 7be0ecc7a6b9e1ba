// Package refuser provides connections for tests on which every zero-copy transfer (io.ReaderFrom, io.WriterTo) fails
// like an unsupported splice or sendfile, and counts these transfers. Reads and writes go to the socket.
package refuser

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// FailedTransfers counts the zero-copy transfers that failed.
type FailedTransfers struct{ n atomic.Int64 }

// Count returns the number of failed transfers.
func (f *FailedTransfers) Count() int64 { return f.n.Load() }

// Conn is a TCP connection whose zero-copy transfers fail. It embeds *net.TCPConn, so that it has all other methods of a
// TCP connection, for code that checks for them.
type Conn struct {
	*net.TCPConn
	counter *FailedTransfers
}

// Wrap makes the zero-copy transfers of a TCP connection fail.
func (f *FailedTransfers) Wrap(nc net.Conn) *Conn { return &Conn{nc.(*net.TCPConn), f} }

// ReadFrom implements io.ReaderFrom and always fails.
func (c *Conn) ReadFrom(io.Reader) (int64, error) { c.counter.n.Add(1); return 0, syscall.ENOSYS }

// WriteTo implements io.WriterTo and always fails.
func (c *Conn) WriteTo(io.Writer) (int64, error) { c.counter.n.Add(1); return 0, syscall.EINVAL }

// Listener accepts connections whose zero-copy transfers fail.
type Listener struct {
	net.Listener
	*FailedTransfers
}

// Listen opens a Listener on any loopback port.
func Listen() (*Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Listener{ln, &FailedTransfers{}}, nil
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.Wrap(nc), nil
}
