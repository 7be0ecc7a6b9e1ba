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

// expiringListener accepts connections whose first read deadline expires at once, and calls the test's hooks after that.
type expiringListener struct {
	net.Listener
	onDeadline   func(server syscall.Conn) // called when the deadline has ended the wait for the first request
	onFinalCheck func(server syscall.Conn) // called after the final check for a request
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
	listener    *expiringListener
	deadlineSet bool // the first deadline was set
}

// SetReadDeadline implements net.Conn.
func (c *expiringConn) SetReadDeadline(at time.Time) error {
	if !c.deadlineSet {
		c.deadlineSet, at = true, time.Unix(1, 0)
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

// A request may arrive just as the read timeout of a new connection expires, before or after the final check of the
// connection. A request that was read is answered. A connection from which nothing was read is closed without a response,
// as a client whose request is in transit would take that response for its own.
func TestRequestArrivesAsReadTimeoutEnds(t *testing.T) {
	const none = ""
	for _, x := range []struct {
		name          string
		before, after string // input that arrives before and after the final check
		code          int    // status of the response; 0: no response
	}{
		{"no input", none, none, 0},
		{"request before the final check", readyText, none, fasthttp.StatusOK},
		{"half a request before the final check", readyText[:len(readyText)/2], none, fasthttp.StatusRequestTimeout},
		{"request after the final check", none, readyText, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			bound, err := transport.ListenTCP("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			dialled, hookDone := make(chan net.Conn, 1), make(chan bool, 2)
			var client net.Conn
			send := func(server syscall.Conn, text string) {
				_, _ = io.WriteString(client, text)
				for text != none && transport.IsReusable(server) {
					runtime.Gosched() // until it has arrived
				}
				hookDone <- true
			}
			ln := &expiringListener{Listener: bound}
			ln.onDeadline = func(server syscall.Conn) { client = <-dialled; send(server, x.before) }
			ln.onFinalCheck = func(server syscall.Conn) { send(server, x.after) }
			shortHeadTimeout := func(s *Server) { s.http.ReadTimeout = 200 * time.Millisecond } // of the half request
			f := newFrontOn(t, ln, dialer(), respondWith(okResponse), shortHeadTimeout)
			c := dialFront(t, f.address)
			dialled <- c.Conn
			<-hookDone
			if x.code == 0 {
				if b, err := io.ReadAll(c.Reader); len(b) > 0 || err != nil && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("the client got %q, error %v, want no response", b, err)
				}
				if len(hookDone) == 0 {
					t.Error("the final check was not made")
				}
				return
			}
			c.expectResponse(t, "input before the final check", x.code, x.code != fasthttp.StatusOK)
			if x.code == fasthttp.StatusOK { // the connection is still usable
				_, _ = io.WriteString(c.Conn, readyText)
				c.expectResponse(t, "next request on the connection", fasthttp.StatusOK, false)
			}
		})
	}
}
