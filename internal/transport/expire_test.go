package transport

import (
	"errors"
	"io"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// longPast is a read deadline that has ended.
var longPast = time.Unix(1, 0)

// When the read deadline of a connection ends on which nothing has come, it counts as closed: what its server reads is
// net.ErrClosed, upon which the server closes it without an answer.
func TestSilentConnectionExpires(t *testing.T) {
	for _, was := range []int32{fresh, idle} {
		_, in, out := pair(t, 10)
		in.phase.Store(was)
		in.SetReadDeadline(longPast)
		if n, err := in.Read(make([]byte, 64)); n != 0 || !errors.Is(err, net.ErrClosed) {
			t.Errorf("phase %d: %d, %v", was, n, err)
		}
		in.Close()
		if r := <-readOnce(out); r.err != io.EOF {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A request that has come when the deadline ends, and whose bytes the read that it ended did not see, is served.
func TestRequestAsTheDeadlineEnds(t *testing.T) {
	for _, was := range []int32{fresh, idle} {
		_, in, out := pair(t, 10)
		in.phase.Store(was)
		io.WriteString(out, "request")
		for in.pendingInput() != socketReadable {
			runtime.Gosched()
		}
		in.SetReadDeadline(longPast) // a read ends before it looks
		if r := <-readOnce(in); r.err != nil || r.text != "request" || in.phase.Load() != active {
			t.Errorf("phase %d: %+v, then in phase %d", was, r, in.phase.Load())
		}
		io.WriteString(in, "answer")
		if r := <-readOnce(out); r.text != "answer" {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A request that comes after the last look is not read, and the close over it resets the connection, by which its client
// knows.
func TestRequestAfterTheDeadlineEnded(t *testing.T) {
	for _, was := range []int32{fresh, idle} {
		_, in, out := pair(t, 10)
		in.phase.Store(was)
		in.SetReadDeadline(longPast)
		looked := false
		in.onNothingRead = func() {
			looked = true
			io.WriteString(out, "request")
			for in.pendingInput() != socketReadable {
				runtime.Gosched()
			}
		}
		if r := <-readOnce(in); r.text != "" || !errors.Is(r.err, net.ErrClosed) || !looked {
			t.Fatalf("phase %d: %+v, crossing reached: %v", was, r, looked)
		}
		if in.pendingInput() != socketReadable {
			t.Error("the request was taken")
		}
		in.SetReadDeadline(time.Time{})
		if r := <-readOnce(in); r.text != "" || !errors.Is(r.err, net.ErrClosed) {
			t.Errorf("phase %d: a later read gave %+v", was, r)
		}
		in.Close()
		if r := <-readOnce(out); !errors.Is(r.err, syscall.ECONNRESET) {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A connection without a socket expires in the same way.
func TestSilentPipeExpires(t *testing.T) {
	ours, theirs := net.Pipe()
	defer theirs.Close()
	in := limit(nil, 10).track(ours)
	defer in.Close()
	in.SetReadDeadline(longPast)
	if r := <-readOnce(in); !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("%+v", r)
	}
	in.SetReadDeadline(time.Time{})
	go io.WriteString(theirs, "request")
	if r := <-readOnce(in); !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("a later read gave %+v", r)
	}
}
