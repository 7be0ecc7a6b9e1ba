package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/transport"
)

const readyText = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"

// frontClient is a client connection with a deadline, after which a missing response fails the test.
type frontClient struct {
	net.Conn
	*bufio.Reader
}

func dialFront(t *testing.T, address string) frontClient {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(20 * time.Second))
	return frontClient{nc, bufio.NewReader(nc)}
}

func (c frontClient) expectResponse(t *testing.T, what string, code int, closes bool) {
	t.Helper()
	r := &fasthttp.Response{}
	if err := r.Read(c.Reader); err != nil || r.StatusCode() != code || r.ConnectionClose() != closes {
		t.Fatalf("%s: error %v, status %d, Connection: close %v", what, err, r.StatusCode(), r.ConnectionClose())
	}
	if !closes {
		return
	}
	if _, err := c.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%s: read after the last response: %v, want EOF", what, err)
	}
}

func requestNumbered(i int) string {
	return strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", i), 1)
}

// pipelinedRequests returns several requests that are sent in one piece, so that the server reads all of them with the first.
func pipelinedRequests(count int) string {
	var b strings.Builder
	for i := range count {
		b.WriteString(requestNumbered(i))
	}
	return b.String()
}

// Pipelined requests that were read together with the one in flight are answered when the server shuts down, when it closes
// connections after responses, and at the connection cap. The last response closes the connection.
func TestPipelinedRequestsAreAnsweredAtClose(t *testing.T) {
	const count = 3
	arrived, release := make(chan bool, count), make(chan bool)
	script := func(nc net.Conn) bool { arrived <- true; <-release; return respondWith(okResponse)(nc) }
	t.Run("shutdown", func(t *testing.T) {
		f := newFront(t, script)
		c := dialFront(t, f.address)
		_, _ = io.WriteString(c, pipelinedRequests(count))
		<-arrived
		shutdownErr := make(chan error, 1)
		go func() { shutdownErr <- f.srv.Shutdown(context.Background()) }()
		t.Log("server stopped accepting:", <-f.served)
		close(release)
		for i := range count {
			c.expectResponse(t, fmt.Sprint("request ", i), 200, i == count-1)
		}
		c.Close()
		if err := <-shutdownErr; err != nil || f.requests.Load() != count {
			t.Errorf("shutdown ended with %v, %d requests reached the node", err, f.requests.Load())
		}
	})
	t.Run("close after responses", func(t *testing.T) {
		f := newFront(t, respondWith(okResponse))
		c := dialFront(t, f.address)
		f.srv.CloseAfterResponses()
		_, _ = io.WriteString(c, pipelinedRequests(count))
		for i := range count {
			c.expectResponse(t, fmt.Sprint("request ", i), 200, i == count-1)
		}
	})
	t.Run("connection cap", func(t *testing.T) {
		release := make(chan bool)
		f := newFront(t, func(nc net.Conn) bool { <-release; return respondWith(okResponse)(nc) })
		for i := range 50 {
			_, _ = io.WriteString(dialFront(t, f.address), requestNumbered(100+i))
		}
		waitFor(t, func() bool { return f.srv.Core.OpenRequests() == 50 })
		c := dialFront(t, f.address)
		_, _ = io.WriteString(c, pipelinedRequests(count))
		for i := range count {
			c.expectResponse(t, fmt.Sprint("request ", i), 503, i == count-1)
		}
		close(release)
	})
}

// CloseIdle between two pipelined requests does not close the connection of the second, which was already read.
func TestCloseIdleBetweenPipelinedRequests(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gate := transport.NewAcceptGate()
	f := newFrontOn(t, gate.Wrap(ln), dialer(), respondWith(okResponse))
	var closeIdleCalls atomic.Int64
	f.srv.http.ConnState = func(nc net.Conn, st fasthttp.ConnState) {
		f.srv.trackState(nc, st)
		if st == fasthttp.StateIdle {
			f.srv.CloseIdle(0)
			closeIdleCalls.Add(1)
		}
	}
	gate.Open()
	c := dialFront(t, f.address)
	_, _ = io.WriteString(c, pipelinedRequests(2))
	c.expectResponse(t, "first pipelined request", 200, false)
	c.expectResponse(t, "second pipelined request", 200, false)
	waitFor(t, func() bool { return closeIdleCalls.Load() == 2 })
}

// holdingListener accepts connections. When armed, it blocks the server right after a read, before it sees the data.
type holdingListener struct {
	net.Listener
	armed    atomic.Bool
	readDone chan bool
	release  chan bool
}

type holdingConn struct {
	net.Conn
	raw      syscall.RawConn
	listener *holdingListener
}

type holdingRawConn struct {
	syscall.RawConn
	listener *holdingListener
}

func (l *holdingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, err := nc.(syscall.Conn).SyscallConn()
	return &holdingConn{nc, raw, l}, err
}

func (c *holdingConn) SyscallConn() (syscall.RawConn, error) {
	return holdingRawConn{c.raw, c.listener}, nil
}

func (r holdingRawConn) Read(f func(uintptr) bool) error {
	err := r.RawConn.Read(f)
	if r.listener.armed.CompareAndSwap(true, false) {
		r.listener.readDone <- true
		<-r.listener.release
	}
	return err
}

// A request is read from an idle connection while the server shuts down, before the server notices the data. It is
// answered.
func TestRequestReadDuringShutdownIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	holder := &holdingListener{Listener: ln, readDone: make(chan bool), release: make(chan bool)}
	f := newFrontOn(t, holder, dialer(), respondWith(okResponse))
	c := dialFront(t, f.address)
	_, _ = io.WriteString(c, readyText)
	c.expectResponse(t, "before the shutdown", 200, false)
	var others []frontClient // all idle connections are closed in one go
	for range 10 {
		other := dialFront(t, f.address)
		_, _ = io.WriteString(other, readyText)
		other.expectResponse(t, "other connection", 200, false)
		others = append(others, other)
	}
	holder.armed.Store(true)
	_, _ = io.WriteString(c, validRequest)
	<-holder.readDone
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- f.srv.Shutdown(context.Background()) }()
	for _, other := range others {
		if _, err := other.ReadByte(); !errors.Is(err, io.EOF) {
			t.Fatalf("idle connection was not closed by the shutdown: %v", err)
		}
	}
	close(holder.release)
	c.expectResponse(t, "request read during the shutdown", 200, true)
	c.Close()
	if err := <-shutdownErr; err != nil {
		t.Error(err)
	}
}

// A request that was partly read when the server shuts down is read to its end and answered, on a new connection and
// on a reused one.
func TestPartialRequestAtShutdownIsAnswered(t *testing.T) {
	for _, used := range []bool{false, true} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		holder := &holdingListener{Listener: ln, readDone: make(chan bool), release: make(chan bool)}
		close(holder.release)
		f := newFrontOn(t, holder, dialer(), respondWith(okResponse))
		c, idle := dialFront(t, f.address), dialFront(t, f.address)
		for _, each := range []frontClient{c, idle} {
			if used || each == idle {
				_, _ = io.WriteString(each, readyText)
				each.expectResponse(t, "before the shutdown", 200, false)
			}
		}
		holder.armed.Store(true)
		_, _ = io.WriteString(c, validRequest[:40])
		<-holder.readDone // the first part was read
		shutdownErr := make(chan error, 1)
		go func() { shutdownErr <- f.srv.Shutdown(context.Background()) }()
		if _, err := idle.ReadByte(); !errors.Is(err, io.EOF) {
			t.Fatalf("idle connection was not closed by the shutdown: %v", err)
		}
		_, _ = io.WriteString(c, validRequest[40:])
		c.expectResponse(t, "request in two pieces", 200, true)
		c.Close()
		idle.Close()
		if err := <-shutdownErr; err != nil {
			t.Error(err)
		}
	}
}

// A client that sends its whole request before it reads gets the rejection of a request whose body is not read, and no
// connection reset.
func TestRejectionWithUnreadBodyIsNotReset(t *testing.T) {
	for what, head := range map[string]string{
		"body too long":  strings.Replace(validRequest, "Length: 5", fmt.Sprint("Length: ", maxRequestBody+1), 1),
		"malformed head": strings.Replace(validRequest, "Tier: basic", "Tier basic", 1),
	} {
		f := newFront(t, respondWith(okResponse))
		c := dialFront(t, f.address)
		if err := c.Conn.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(c, head)
		if _, err := io.WriteString(c, strings.Repeat("the rest ", 200<<10)); err != nil { // more than the socket buffers hold
			t.Fatalf("%s: write of the rest of the request: %v", what, err)
		}
		r := &fasthttp.Response{}
		if err := r.Read(c.Reader); err != nil || r.StatusCode()/100 != 4 || !r.ConnectionClose() {
			t.Errorf("%s: error %v, status %d, want a closing 4xx response", what, err, r.StatusCode())
		}
		if _, err := c.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: read after the response: %v, want EOF", what, err)
		}
	}
}

// Idle clients far above the connection cap, and requests whose clients disconnect at once, prevent neither readiness checks
// and requests from being answered, nor the server from dialling its node.
func TestIdleClientFloodLeavesCapacity(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	for range 300 {
		dialFront(t, f.address)
	}
	probe := func() {
		t.Helper()
		c := dialFront(t, f.address)
		_, _ = io.WriteString(c, readyText)
		c.expectResponse(t, "readiness check", 200, false)
	}
	probe()
	if n := f.conns.Load(); n != 0 {
		t.Fatalf("%d connections to the node before the first request", n)
	}
	served := dialFront(t, f.address)
	_, _ = io.WriteString(served, validRequest)
	served.expectResponse(t, "request beside idle clients", 200, false)
	for i := range 300 {
		c := dialFront(t, f.address)
		_, _ = io.WriteString(c, requestNumbered(i))
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	probe()
	waitFor(t, func() bool { return f.srv.Core.OpenRequests() == 0 })
	served = dialFront(t, f.address)
	_, _ = io.WriteString(served, strings.Replace(validRequest, "9b1f", "ffff", 1))
	served.expectResponse(t, "request after the clients that disconnected", 200, false)
}
