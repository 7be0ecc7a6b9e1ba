package httpfront

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/transport"
)

// expiringListener accepts connections whose first read deadline ends at once, with a test's steps on both sides of it.
type expiringListener struct {
	net.Listener
	onDeadline   func(server syscall.Conn) // the deadline has ended the wait for the first request
	onFinalCheck func(server syscall.Conn) // ... and the last look for one is taken
}

func (l *expiringListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &expiringConn{Conn: nc, listener: l}, nil
}

type expiringConn struct {
	net.Conn
	listener *expiringListener
	set      bool // the first deadline is
}

// SetReadDeadline implements net.Conn.
func (c *expiringConn) SetReadDeadline(at time.Time) error {
	if !c.set {
		c.set, at = true, time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(at)
}

// SyscallConn implements syscall.Conn.
func (c *expiringConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	return &expiringRaw{RawConn: raw, conn: c}, err
}

type expiringRaw struct {
	syscall.RawConn
	conn    *expiringConn
	expired bool
}

// Read implements syscall.RawConn.
func (r *expiringRaw) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	if r.expired = errors.Is(err, os.ErrDeadlineExceeded); r.expired {
		r.conn.listener.onDeadline(r.conn.Conn.(syscall.Conn))
	}
	return err
}

// Control implements syscall.RawConn.
func (r *expiringRaw) Control(f func(uintptr)) error {
	err := r.RawConn.Control(f)
	if r.expired {
		r.conn.listener.onFinalCheck(r.conn.Conn.(syscall.Conn))
	}
	return err
}

// A request may come in the instant in which the read time of a new connection ends, before or after the last look at
// the connection. What was read is answered, and an answer that is there without a request would be taken for this one's:
// a connection of which nothing was read closes without any.
func TestRequestArrivesAsReadTimeoutEnds(t *testing.T) {
	const none = ""
	for _, x := range []struct {
		name          string
		before, after string // what comes, by the last look
		code          int    // of the answer; 0: there is none
	}{
		{"nothing comes", none, none, 0},
		{"a request before the last look", readyText, none, fasthttp.StatusOK},
		{"half a request before the last look", readyText[:len(readyText)/2], none, fasthttp.StatusRequestTimeout},
		{"a request after the last look", none, readyText, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			bound, err := transport.ListenTCP("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			dialled, crossed := make(chan net.Conn, 1), make(chan bool, 2)
			var client net.Conn
			send := func(server syscall.Conn, text string) {
				_, _ = io.WriteString(client, text)
				for text != none && transport.IsReusable(server) {
					runtime.Gosched() // until it has come
				}
				crossed <- true
			}
			ln := &expiringListener{Listener: bound}
			ln.onDeadline = func(server syscall.Conn) { client = <-dialled; send(server, x.before) }
			ln.onFinalCheck = func(server syscall.Conn) { send(server, x.after) }
			f := newFrontOn(t, ln, dialer(), respondWith(okResponse))
			c := dialFront(t, f.address)
			dialled <- c.Conn
			<-crossed
			if x.code == 0 {
				if b, err := io.ReadAll(c.Reader); len(b) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the client got %q, %v", b, err)
				}
				if len(crossed) == 0 {
					t.Error("no last look was taken")
				}
				return
			}
			c.expectResponse(t, "what came", x.code, x.code != fasthttp.StatusOK)
			if x.code == fasthttp.StatusOK { // the connection is as any other
				_, _ = io.WriteString(c.Conn, readyText)
				c.expectResponse(t, "the next request", fasthttp.StatusOK, false)
			}
		})
	}
}
