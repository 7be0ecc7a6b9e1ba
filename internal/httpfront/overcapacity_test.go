package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// With a request open on each of the connections that it may have, the front answers one more at
// once with a refusal: the machine has let it in, and in the backlog it would wait for another's
// end. When one has ended, the next is served.
func TestConnectionsPastTheCapAreRejected(t *testing.T) {
	hold := make(chan bool)
	f := newFront(t, func(nc net.Conn) bool { <-hold; return respondWith(okResponse)(nc) })
	ask := func(i int) *bufio.Reader {
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second)) // only a front that does not answer meets it
		_, _ = io.WriteString(nc, strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", i), 1))
		return bufio.NewReader(nc)
	}
	read := func(br *bufio.Reader) *fasthttp.Response {
		r := &fasthttp.Response{}
		if err := r.Read(br); err != nil {
			t.Fatal(err)
		}
		return r
	}
	var open []*bufio.Reader
	for i := range 50 {
		open = append(open, ask(i))
	}
	for f.srv.Core.OpenRequests() < 50 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 { // more than are taken past the cap at a time
		r := read(ask(100 + i))
		if r.StatusCode() != 503 || len(r.Header.Peek("Retry-After")) == 0 || !r.ConnectionClose() {
			t.Fatalf("past the cap: %s", r)
		}
	}
	close(hold)
	for _, br := range open {
		if r := read(br); r.StatusCode() != 200 {
			t.Fatalf("within the cap: %d", r.StatusCode())
		}
	}
	if r := read(ask(200)); r.StatusCode() != 200 {
		t.Fatalf("after: %d", r.StatusCode())
	}
}

// A connection on which nothing was asked gets no answer, however few the server may have: a request that is on its way would
// take it for its own.
func TestSilentConnectionsPastTheCapGetNoResponse(t *testing.T) {
	ln, err := transport.ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	log, _ := logtest.NewNullLogger()
	const conns = 1
	srv := NewServer(nil, policy.Settings{}, conns, log)
	go func() { _ = srv.Serve(ln, conns) }()
	var silent []frontClient
	for range conns + overflowConns - 1 {
		silent = append(silent, dialFront(t, ln.Addr().String()))
	}
	last := dialFront(t, ln.Addr().String())
	_, _ = io.WriteString(last.Conn, readyText) // accepted behind all others
	last.expectResponse(t, "a request behind silent connections", fasthttp.StatusOK, false)
	for i, c := range silent {
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(c.Reader); len(text) > 0 || err != nil {
			t.Errorf("silent connection %d got %q, %v", i, text, err)
		}
	}
}
