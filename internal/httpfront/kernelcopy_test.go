package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/testkit/fake/refuser"
	"wheatsaddle/internal/transport"
)

// The kernel refuses to copy data between sockets (such as splice), on client and node connections. Bodies and responses
// of all framings and sizes, buffered, streamed and relayed, still pass unchanged, and no such copy is attempted.
func TestBodiesPassWithoutKernelCopies(t *testing.T) {
	ln, err := refuser.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		nc, err := (&net.Dialer{Timeout: within}).DialContext(ctx, "tcp", a.String())
		if err != nil {
			return nil, address.ReasonRefused, err
		}
		return ln.Wrap(nc), 0, nil
	}
	var response atomic.Pointer[bytes.Buffer]
	f := newFrontOn(t, ln, d, func(nc net.Conn) bool { _, err := nc.Write(response.Load().Bytes()); return err == nil })
	text := bytes.Repeat([]byte("0123456789abcdef"), 20_000)
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	br := bufio.NewReader(nc)
	id := 0
	for _, size := range []int{0, 1, 3000, maxBufferedBody, maxBufferedBody + 1, len(text)} {
		for _, chunked := range []bool{false, true} {
			var b bytes.Buffer
			if _, framed := putRequest(0, text[:size], chunked, false); chunked {
				b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				b.Write(framed)
			} else {
				fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, framed)
			}
			response.Store(&b)
			id++
			head, body := putRequest(id, text[:size], chunked, false)
			_, _ = io.WriteString(nc, head)
			_, _ = nc.Write(body)
			var r fasthttp.Response
			if err := r.Read(br); err != nil || r.StatusCode() != 200 || !bytes.Equal(r.Body(), text[:size]) {
				t.Fatalf("body of %d bytes, chunked %v: error %v, status %d, %d bytes returned", size, chunked, err, r.StatusCode(), len(r.Body()))
			}
			if got := f.last.Load().Body(); !bytes.Equal(got, text[:size]) {
				t.Errorf("body of %d bytes, chunked %v: %d bytes reached the node", size, chunked, len(got))
			}
		}
	}
	if n := ln.Count(); n > 0 {
		t.Errorf("%d kernel copies were attempted", n)
	}
	if _, err := io.Copy(ln.Wrap(nc), io.LimitReader(strings.NewReader("x"), 1)); err == nil || ln.Count() != 1 {
		t.Error("the fake connection does not refuse kernel copies")
	}
}
