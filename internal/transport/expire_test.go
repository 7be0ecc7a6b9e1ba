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

// longPast is a read deadline in the past.
var longPast = time.Unix(1, 0)

// When the read deadline of a connection without input ends, the server reads net.ErrClosed and closes the connection without
// a response.
func TestSilentConnectionExpires(t *testing.T) {
	for _, was := range []int32{fresh, idle} {
		_, in, out := pair(t, 10)
		in.phase.Store(was)
		in.SetReadDeadline(longPast)
		if n, err := in.Read(make([]byte, 64)); n != 0 || !errors.Is(err, net.ErrClosed) {
			t.Errorf("phase %d: %d, %v", was, n, err)
		}
		_ = in.Close()
		if r := <-readOnce(out); !errors.Is(r.err, io.EOF) {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A request that has arrived when the deadline ends is served, even if the read that timed out did not see it.
func TestRequestAtReadDeadlineIsServed(t *testing.T) {
	for _, was := range []int32{fresh, idle} {
		_, in, out := pair(t, 10)
		in.phase.Store(was)
		_, _ = io.WriteString(out, "request")
		for in.pendingInput() != socketReadable {
			runtime.Gosched()
		}
		in.SetReadDeadline(longPast) // a read ends before it looks
		if r := <-readOnce(in); r.err != nil || r.text != "request" || in.phase.Load() != active {
			t.Errorf("phase %d: %+v, then in phase %d", was, r, in.phase.Load())
		}
		_, _ = io.WriteString(in, "answer")
		if r := <-readOnce(out); r.text != "answer" {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A request that arrives after the last read is not read, and the close resets the connection.
func TestRequestAfterReadDeadlineIsReset(t *testing.T) {
	for _, was := range []int32{fresh, idle} {
		_, in, out := pair(t, 10)
		in.phase.Store(was)
		in.SetReadDeadline(longPast)
		looked := false
		in.onNothingRead = func() {
			looked = true
			_, _ = io.WriteString(out, "request")
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
		_ = in.Close()
		if r := <-readOnce(out); !errors.Is(r.err, syscall.ECONNRESET) {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A connection without a socket expires in the same way.
func TestSilentPipeExpires(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	in := limit(nil, 10).track(ours)
	defer func() { _ = in.Close() }()
	in.SetReadDeadline(longPast)
	if r := <-readOnce(in); !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("%+v", r)
	}
	in.SetReadDeadline(time.Time{})
	go func() { _, _ = io.WriteString(theirs, "request") }()
	if r := <-readOnce(in); !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("a later read gave %+v", r)
	}
}
