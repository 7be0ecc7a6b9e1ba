package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// badClientLimit is the time within which a client that stops gets an error or a close: 3 s, and the 50 ms by which every
// time limit on sockets is longer.
const badClientLimit = 3050 * time.Millisecond

// newTimedFront starts a server with the read timeout of the daemon.
func newTimedFront(t *testing.T) *frontHarness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newFrontOn(t, ln, dialer(), respondWith(okResponse), func(s *Server) { s.http.ReadTimeout = readTimeout })
}

// putHead returns the head of a write that declares size bytes, or a chunked body if size is negative.
func putHead(size int, extra string) string {
	framing := fmt.Sprintf("Content-Length: %d\r\n", size)
	if size < 0 {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	return strings.TrimSuffix(strings.Replace(validRequest, "Content-Length: 5\r\n", framing+extra, 1), "hello")
}

// Guards against a client that stops in the middle of a request and holds its connection for a time that it chooses itself,
// for example by the length that it declares: 258 s for the first bytes of 8 MiB.
func TestClientThatStopsIsAnsweredInTime(t *testing.T) {
	const long = 8 << 20
	bytesOf := func(n int) string { return strings.Repeat("x", n) }
	expect := "Expect: 100-continue\r\n"
	f := newTimedFront(t)
	for name, sent := range map[string]string{
		"half a head":                  validRequest[:40],
		"head of a short body":         putHead(64<<10, ""),
		"head of a long body":          putHead(long, ""),
		"4 KiB of a long body":         putHead(long, "") + bytesOf(4<<10),
		"last byte of the first piece": putHead(long, "") + bytesOf(8<<10-1),
		"first piece":                  putHead(long, "") + bytesOf(8<<10),
		"9 KiB of a long body":         putHead(long, "") + bytesOf(9<<10),
		"100 KiB of a long body":       putHead(long, "") + bytesOf(100<<10),
		"head of a chunked body":       putHead(-1, ""),
		"half a chunk size":            putHead(-1, "") + "10",
		"half a chunk":                 putHead(-1, "") + "ffff\r\n" + bytesOf(4<<10),
		"a chunk":                      putHead(-1, "") + "5\r\nhello\r\n",
		"half a trailer":               putHead(-1, "") + "5\r\nhello\r\n0\r\nX-Trailer: y",
		"expecting 100":                putHead(long, expect),
		"expecting 100, chunked":       putHead(-1, expect),
		"expecting 100, 10 bytes":      putHead(long, expect) + bytesOf(10),
		"readiness check with a body":  "GET /health/ready HTTP/1.1\r\nHost: x\r\nContent-Length: 8388608\r\n\r\nhello",
		"gathered read with a body":    strings.Replace(putHead(long, "X-Gather: all\r\n"), "PUT", "GET", 1) + bytesOf(4<<10),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dialFront(t, f.address)
			_, _ = io.WriteString(c.Conn, sent)
			stopped := time.Now()
			r := &fasthttp.Response{}
			err := r.Read(c.Reader) // skips 100 Continue
			if took := time.Since(stopped); err != nil || r.StatusCode() != fasthttp.StatusRequestTimeout || took > badClientLimit {
				t.Fatalf("answered with status %d, error %v after %v, want status 408 within %v", r.StatusCode(), err, took, badClientLimit)
			}
			if _, err := c.ReadByte(); err != io.EOF || time.Since(stopped) > badClientLimit { //nolint:errorlint // exactly the end of file
				t.Errorf("read after the response: %v after %v, want EOF", err, time.Since(stopped))
			}
		})
	}
}

// Guards against a client that sends a byte now and then: each byte restarted the timeout, so that it held its connection
// for as long as it liked.
func TestClientThatDripsIsAnsweredInTime(t *testing.T) {
	const interval = 100 * time.Millisecond
	f := newTimedFront(t)
	for name, x := range map[string]struct{ begin, drip string }{
		"first piece": {putHead(8<<20, ""), "x"},
		"later piece": {putHead(8<<20, "") + strings.Repeat("x", 9<<10), "x"},
		"chunks":      {putHead(-1, ""), "1\r\nx\r\n"},
		"trailers":    {putHead(-1, "") + "0\r\n", "X-Trailer: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dialFront(t, f.address)
			_, _ = io.WriteString(c.Conn, x.begin)
			started := time.Now()
			done := make(chan struct{})
			defer close(done)
			go func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(interval):
						_, _ = io.WriteString(c.Conn, x.drip)
					}
				}
			}()
			r := &fasthttp.Response{}
			err := r.Read(c.Reader)
			if took := time.Since(started); err != nil || r.StatusCode() != fasthttp.StatusRequestTimeout || took > badClientLimit+interval {
				t.Errorf("answered with status %d, error %v after %v, want status 408 within %v", r.StatusCode(), err, took, badClientLimit+interval)
			}
		})
	}
}

// Guards against cutting off a client that is as slow as the operators' pages allow: 2 s for a head, also on a connection
// that has rested, and 64 kB a second for a body, in pieces of any size.
func TestSlowSteadyClientIsServed(t *testing.T) {
	const pieceSize, interval = 6400, 100 * time.Millisecond
	body := bytes.Repeat([]byte("x"), 200<<10)
	length, lengthBody := putRequest(1, body, false, false)
	chunked, chunkedBody := putRequest(2, body, true, false)
	expecting, expectingBody := putRequest(3, body, false, true)
	short, shortBody := putRequest(4, body[:10], false, false)
	f := newTimedFront(t)
	for name, x := range map[string]struct {
		head     string
		body     []byte
		rest     time.Duration // before the first byte
		headTime time.Duration // between the halves of the head
	}{
		"length":                    {length, lengthBody, 0, 0},
		"chunked":                   {chunked, chunkedBody, 0, 0},
		"expecting 100":             {expecting, expectingBody, 0, 0},
		"slow head after a pause":   {short, shortBody, time.Second, 2 * time.Second},
		"slow head of a short body": {strings.Replace(short, "0004", "0005", 1), shortBody, 0, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := dialFront(t, f.address)
			time.Sleep(x.rest)
			_, _ = io.WriteString(c.Conn, x.head[:len(x.head)/2])
			time.Sleep(x.headTime)
			_, _ = io.WriteString(c.Conn, x.head[len(x.head)/2:])
			for rest := x.body; len(rest) > 0; {
				n := min(len(rest), pieceSize)
				_, _ = c.Conn.Write(rest[:n])
				rest = rest[n:]
				time.Sleep(interval)
			}
			r := &fasthttp.Response{}
			if err := r.Read(c.Reader); err != nil || r.StatusCode() != fasthttp.StatusOK {
				t.Errorf("status %d, %v, want 200", r.StatusCode(), err)
			}
		})
	}
}

// overdueListener accepts connections whose write deadline is over as soon as a response was written, as it is for a client
// that rests for longer than the write timeout.
type overdueListener struct{ net.Listener }

func (l overdueListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &overdueConn{TCPConn: nc.(*net.TCPConn)}, nil
}

type overdueConn struct{ *net.TCPConn }

// Write implements net.Conn.
func (c *overdueConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if bytes.HasPrefix(b, []byte("HTTP/1.1 200")) {
		err = c.SetWriteDeadline(time.Unix(1, 0))
	}
	return n, err
}

// Guards against a client that expects 100 Continue on a connection that has rested for longer than the write timeout of its
// previous response: it got a close without an answer.
func TestExpectOnRestedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := newFrontOn(t, overdueListener{ln}, dialer(), respondWith(okResponse))
	c := dialFront(t, f.address)
	_, _ = io.WriteString(c.Conn, readyText)
	c.expectResponse(t, "first request", fasthttp.StatusOK, false)
	_, _ = io.WriteString(c.Conn, putHead(5, "Expect: 100-continue\r\n"))
	line, err := bufio.NewReader(c.Reader).ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Errorf("the request that expects 100 Continue got %q, %v", line, err)
	}
}

// Guards against clients that stop within a request and take all connections until their timeouts end: a sound client's
// request has to get its final answer within its time.
func TestStoppedClientsLeaveCapacity(t *testing.T) {
	const stopped, soundLimit = 100, 2 * time.Second // twice the harness's capacity; the deadline of the site's classes and 0.5 s
	f := newTimedFront(t)
	for range stopped {
		c := dialFront(t, f.address)
		_, _ = io.WriteString(c.Conn, putHead(8<<20, "")+"hello")
	}
	sound := dialFront(t, f.address)
	_, _ = io.WriteString(sound.Conn, validRequest)
	started := time.Now()
	r := &fasthttp.Response{}
	err := r.Read(sound.Reader)
	if took := time.Since(started); err != nil || r.StatusCode() != fasthttp.StatusOK && r.StatusCode() != fasthttp.StatusServiceUnavailable || took > soundLimit {
		t.Errorf("answered with status %d, error %v after %v, want 200 or 503 within %v", r.StatusCode(), err, took, soundLimit)
	}
}

// endlessResponse writes a response that is longer than any socket buffers, until the connection is closed.
func endlessResponse(nc net.Conn) bool {
	const declared = 1 << 40
	if _, err := io.WriteString(nc, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", declared)); err != nil {
		return false
	}
	for piece := make([]byte, 1<<20); ; {
		if _, err := nc.Write(piece); err != nil {
			return false
		}
	}
}

// Guards against a client that requests a long response and reads nothing: it has to be cut off, and the node's connection
// with it, within the timeout of a piece.
func TestClientThatReadsNothingIsCutOff(t *testing.T) {
	const margin = 2 * time.Second
	f := newFront(t, endlessResponse)
	c := dialFront(t, f.address)
	_, _ = io.WriteString(c.Conn, validRequest)
	started := time.Now()
	waitFor(t, func() bool { return f.requests.Load() == 1 })
	select {
	case <-f.ended: // the write to the scheduler has failed
	case <-time.After(responseLimits.StallTimeout + margin):
	}
	if took := time.Since(started); took < responseLimits.StallTimeout || took > responseLimits.StallTimeout+margin {
		t.Errorf("cut off after %v, want %v", took, responseLimits.StallTimeout)
	}
	waitFor(t, func() bool { return f.srv.ConnCounts().Handling == 0 })
}
