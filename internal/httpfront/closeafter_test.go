package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// After CloseAfterResponses the server closes each connection with its response, including the response to a request in
// flight. If a further request already waits on the connection, it is answered first. CloseIdle closes the idle ones.
func TestCloseAfterResponses(t *testing.T) {
	arrived, release := make(chan bool, 2), make(chan bool)
	f := newFront(t, func(nc net.Conn) bool {
		arrived <- true
		<-release
		return respondWith(okResponse)(nc)
	})
	type client struct {
		net.Conn
		*bufio.Reader
	}
	dial := func() client {
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		nc.SetDeadline(time.Now().Add(10 * time.Second)) // fails the read if the connection stays open
		return client{nc, bufio.NewReader(nc)}
	}
	expectResponse := func(what string, c client, closes bool) {
		t.Helper()
		r := &fasthttp.Response{}
		if err := r.Read(c.Reader); err != nil || r.StatusCode() != 200 || r.ConnectionClose() != closes {
			t.Errorf("%s: error %v, status %d, Connection: close %v", what, err, r.StatusCode(), r.ConnectionClose())
		}
		if !closes {
			return
		}
		if _, err := c.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: read after the response: %v, want EOF", what, err)
		}
	}
	const ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	inFlight, pipelined, idle, neverUsedAgain := dial(), dial(), dial(), dial()
	for _, c := range []client{idle, neverUsedAgain} {
		_, _ = io.WriteString(c, ready)
		expectResponse("before the change", c, false)
	}
	_, _ = io.WriteString(inFlight, validRequest)
	<-arrived
	_, _ = io.WriteString(pipelined, strings.Replace(validRequest, "9b1f", "0002", 1))
	<-arrived
	f.srv.CloseAfterResponses()
	_, _ = io.WriteString(pipelined, ready)
	f.srv.StopAccepting()
	if n := f.srv.CloseIdle(time.Hour); n != 4 {
		t.Errorf("%d connections are open, want 4", n)
	}
	close(release)
	expectResponse("request in flight before", inFlight, true)
	expectResponse("request with another one behind it", pipelined, false)
	expectResponse("second request on the connection", pipelined, true)
	_, _ = io.WriteString(idle, ready)
	expectResponse("request on an idle connection", idle, true)
	for f.srv.CloseIdle(0) > 0 { // the client may read a response before the server marks the connection idle
		time.Sleep(time.Millisecond)
	}
	if _, err := neverUsedAgain.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("read on the idle connection: %v, want EOF", err)
	}
	if n := (&Server{}).CloseIdle(0); n != 0 {
		t.Error("a server that does not serve reports open connections")
	}
}
