package httpfront

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

const noLengthHead = "HTTP/1.1 200 OK\r\nVolume-Load: 85\r\n\r\n"

// endings of a response without a length.
const (
	endsClosed = iota
	endsHalfClosed
	endsReset
	endsNever
)

// noLengthScript writes a response of size bytes without a length, and ends it.
func noLengthScript(size, ending int, hold <-chan struct{}) script {
	return func(nc net.Conn) bool {
		_, _ = io.WriteString(nc, noLengthHead)
		for piece := bytes.Repeat([]byte("x"), 1<<20); size > 0; size -= len(piece) {
			if _, err := nc.Write(piece[:min(size, len(piece))]); err != nil {
				return false
			}
		}
		switch ending {
		case endsReset:
			_ = nc.(*net.TCPConn).SetLinger(0)
		case endsHalfClosed:
			_ = nc.(*net.TCPConn).CloseWrite()
			<-hold
		case endsNever:
			<-hold
		}
		return false
	}
}

// Guards against refusing a response with neither length nor chunks: it ends with the connection (RFC 9112, section 6.3). The
// client of one that was reset, or never ends, must not take it for whole.
func TestResponseWithoutLength(t *testing.T) {
	endings := map[string]int{"closed": endsClosed, "half-closed": endsHalfClosed, "reset": endsReset, "never ends": endsNever}
	for _, size := range []int{0, 1, 4 << 10, maxBufferedBody, maxBufferedBody + 1, 1 << 20, 32 << 20} {
		for name, ending := range endings {
			t.Run(fmt.Sprintf("%d bytes, %s", size, name), func(t *testing.T) {
				hold := make(chan struct{})
				t.Cleanup(func() { close(hold) })
				f := newFront(t, noLengthScript(size, ending, hold))
				c := dialFront(t, f.address)
				_, _ = io.WriteString(c.Conn, validRequest)
				r := &fasthttp.Response{}
				err := r.Read(c.Reader)
				whole := err == nil && r.StatusCode() == fasthttp.StatusOK && len(r.Body()) == size
				if wantWhole := ending == endsClosed || ending == endsHalfClosed; whole != wantWhole {
					t.Errorf("status %d, %d bytes, error %v; want a whole response: %v", r.StatusCode(), len(r.Body()), err, wantWhole)
				}
				if err == nil && r.StatusCode() == fasthttp.StatusOK && !whole {
					t.Errorf("a response of %d bytes looks whole with %d", size, len(r.Body()))
				}
			})
		}
	}
}

// A long response without a length is passed on piece by piece and not held in memory.
func TestLongResponseWithoutLengthIsNotHeld(t *testing.T) {
	const size, bound = 32 << 20, 8 << 20
	f := newFront(t, noLengthScript(size, endsClosed, nil))
	c := dialFront(t, f.address)
	before := liveHeap()
	_, _ = io.WriteString(c.Conn, validRequest)
	if line, err := c.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 200") {
		t.Fatalf("response begins with %q, %v", line, err)
	}
	if grown := liveHeap() - before; grown > bound {
		t.Errorf("%d KiB more are in use for a response that is not read, want at most %d", grown>>10, bound>>10)
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(c.Reader, size)); err != nil || n < size {
		t.Errorf("%d bytes, %v", n, err)
	}
	runtime.KeepAlive(f)
}
