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

// With a request in flight on each allowed connection, the server rejects a request on a further connection at once.
// Left in the listen backlog, the connection would wait until another one ends. Once the requests have ended, the next
// one is served.
func TestConnectionsPastTheCapAreRejected(t *testing.T) {
	release := make(chan bool)
	f := newFront(t, func(nc net.Conn) bool { <-release; return respondWith(okResponse)(nc) })
	sendRequest := func(i int) *bufio.Reader {
		nc, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		_ = nc.SetReadDeadline(time.Now().Add(20 * time.Second)) // expires only if the server does not respond
		_, _ = io.WriteString(nc, strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", i), 1))
		return bufio.NewReader(nc)
	}
	readResponse := func(br *bufio.Reader) *fasthttp.Response {
		r := &fasthttp.Response{}
		if err := r.Read(br); err != nil {
			t.Fatal(err)
		}
		return r
	}
	var open []*bufio.Reader
	for i := range 50 {
		open = append(open, sendRequest(i))
	}
	for f.srv.Core.OpenRequests() < 50 {
		time.Sleep(time.Millisecond)
	}
	for i := range 20 { // more than the server accepts above the cap at a time
		r := readResponse(sendRequest(100 + i))
		if r.StatusCode() != 503 || len(r.Header.Peek("Retry-After")) == 0 || !r.ConnectionClose() {
			t.Fatalf("request above the connection cap: got %s, want status 503 with Retry-After and Connection: close", r)
		}
	}
	close(release)
	for _, br := range open {
		if r := readResponse(br); r.StatusCode() != 200 {
			t.Fatalf("request within the connection cap: status %d", r.StatusCode())
		}
	}
	if r := readResponse(sendRequest(200)); r.StatusCode() != 200 {
		t.Fatalf("request after the others have ended: status %d", r.StatusCode())
	}
}

// A connection above the cap on which no request arrived gets no response, even with a cap of one. A client whose request is
// still in transit would take such a response for its own.
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
	_, _ = io.WriteString(last.Conn, readyText) // accepted after all others
	last.expectResponse(t, "request on the connection after the silent ones", fasthttp.StatusOK, false)
	for i, c := range silent {
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if text, err := io.ReadAll(c.Reader); len(text) > 0 || err != nil {
			t.Errorf("silent connection %d got the response %q, error %v", i, text, err)
		}
	}
}
