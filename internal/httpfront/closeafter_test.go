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

// A server that leaves closes each connection with its answer, also one that was asked before; one on which a further
// request waits already with the answer to that. Quiet ones are swept.
func TestCloseAfterResponses(t *testing.T) {
	came, hold := make(chan bool, 2), make(chan bool)
	f := newFront(t, func(nc net.Conn) bool {
		came <- true
		<-hold
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
		nc.SetDeadline(time.Now().Add(10 * time.Second)) // one that stays open fails here
		return client{nc, bufio.NewReader(nc)}
	}
	answered := func(what string, c client, closes bool) {
		t.Helper()
		r := &fasthttp.Response{}
		if err := r.Read(c.Reader); err != nil || r.StatusCode() != 200 || r.ConnectionClose() != closes {
			t.Errorf("%s: %v %d, closes %v", what, err, r.StatusCode(), r.ConnectionClose())
		}
		if !closes {
			return
		}
		if _, err := c.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: %v", what, err)
		}
	}
	const ready = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
	open, ahead, idle, quiet := dial(), dial(), dial(), dial()
	for _, c := range []client{idle, quiet} {
		_, _ = io.WriteString(c, ready)
		answered("before", c, false)
	}
	_, _ = io.WriteString(open, validRequest)
	<-came
	_, _ = io.WriteString(ahead, strings.Replace(validRequest, "9b1f", "0002", 1))
	<-came
	f.srv.CloseAfterResponses()
	_, _ = io.WriteString(ahead, ready)
	f.srv.StopAccepting()
	if n := f.srv.CloseIdle(time.Hour); n != 4 {
		t.Errorf("%d are open", n)
	}
	close(hold)
	answered("open before", open, true)
	answered("a further one waits", ahead, false)
	answered("the further one", ahead, true)
	_, _ = io.WriteString(idle, ready)
	answered("idle", idle, true)
	for f.srv.CloseIdle(0) > 0 { // its answer was read before the server called it idle
		time.Sleep(time.Millisecond)
	}
	if _, err := quiet.ReadByte(); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
	if n := (&Server{}).CloseIdle(0); n != 0 {
		t.Error("a server that does not serve has open ones")
	}
}
