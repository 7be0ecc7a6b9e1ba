package transport

import (
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

type readResult struct {
	text string
	err  error
}

// readOnce reads from a connection beside the test.
func readOnce(c net.Conn) <-chan readResult {
	got := make(chan readResult, 1)
	go func() {
		b := make([]byte, 64)
		n, err := c.Read(b)
		got <- readResult{string(b[:n]), err}
	}()
	return got
}

// A connection is not evicted while the first bytes of a request are read and not yet passed to the server.
func TestEvictionSparesConnectionWithFirstRead(t *testing.T) {
	for _, was := range []int32{fresh, idle} {
		_, in, out := pair(t, 10)
		in.phase.Store(was)
		met := false
		in.onFirstRead = func() {
			met = true
			if in.pendingInput() != socketEmpty {
				t.Error("the crossing was not reached: bytes wait still")
			}
			if in.markClosing() {
				t.Error("a connection whose request was taken is closed")
			}
		}
		got := readOnce(in)
		_, _ = io.WriteString(out, "request")
		if r := <-got; r.err != nil || r.text != "request" || !met {
			t.Errorf("phase %d: %+v, crossing reached: %v", was, r, met)
		}
		_, _ = io.WriteString(in, "answer")
		if r := <-readOnce(out); r.text != "answer" {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A request that arrives after eviction inspected the connection is not read, and the close resets the connection.
func TestRequestAfterInspectionIsReset(t *testing.T) {
	_, in, out := pair(t, 10)
	got := readOnce(in)
	looked := false
	in.onNothingRead = func() {
		looked = true
		_, _ = io.WriteString(out, "request")
		for in.pendingInput() != socketReadable {
			runtime.Gosched()
		}
	}
	if !in.markClosing() || !looked {
		t.Fatal("the crossing was not reached")
	}
	if r := <-got; r.text != "" || !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("read %+v", r)
	}
	if in.pendingInput() != socketReadable {
		t.Error("the request was taken")
	}
	_ = in.Close()
	if r := <-readOnce(out); !errors.Is(r.err, syscall.ECONNRESET) {
		t.Errorf("the client got %+v", r)
	}
}

// A connection stays active between its response and the server's next read, as a further request may have been read.
func TestConnIsIdleFromNextRead(t *testing.T) {
	_, in, out := pair(t, 10)
	in.markActive()
	in.ResponseDone()
	if in.evict() {
		t.Fatal("closed with what was read ahead")
	}
	in.SetIdle(false) // it was
	got := readOnce(in)
	_, _ = io.WriteString(out, "more")
	if r := <-got; r.text != "more" || in.phase.Load() != active {
		t.Errorf("%+v in phase %d", r, in.phase.Load())
	}
	in.ResponseDone()
	got = readOnce(in)
	for in.phase.Load() != idle {
		runtime.Gosched()
	}
	// The reader holds firstReadMu while it looks for input. Eviction skips a connection in that moment.
	for deadline := time.Now().Add(5 * time.Second); !in.evict(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("an idle connection was kept")
		}
	}
	if r := <-got; r.err == nil {
		t.Errorf("%+v", r)
	}
}

// HasUnparsed is true for input behind a request until the server waits for the next request.
func TestHasUnparsed(t *testing.T) {
	_, in, out := pair(t, 10)
	_, _ = io.WriteString(out, "onetwo")
	if r := <-readOnce(in); r.text != "onetwo" {
		t.Fatalf("%+v", r)
	}
	in.CountParsed(3)
	if !in.HasUnparsed() {
		t.Error("the second request is not known")
	}
	in.CountParsed(2) // an underestimate
	if !in.HasUnparsed() {
		t.Error("the second request's end is not known")
	}
	in.ResponseDone()
	_, _ = io.WriteString(out, "three")
	if r := <-readOnce(in); r.text != "three" {
		t.Fatalf("%+v", r)
	}
	if in.CountParsed(5); in.HasUnparsed() {
		t.Error("something is ahead of an empty buffer")
	}
}

// lingeringPair is a pair whose server closes after a response.
func lingeringPair(t *testing.T) (*Listener, *Conn, net.Conn) {
	t.Helper()
	l, in, out := pair(t, 10)
	l.linger = time.Hour // none may pass because it is over
	_, _ = io.WriteString(out, "request")
	if r := <-readOnce(in); r.text != "request" {
		t.Fatalf("%+v", r)
	}
	_, _ = io.WriteString(in, "answer")
	return l, in, out
}

func gone(l *Listener) {
	for l.OpenCount() > 0 {
		runtime.Gosched()
	}
}

// A close after a response does not reset the connection, neither over unread bytes nor when bytes arrive after it; those are
// not read.
func TestCloseAfterResponse(t *testing.T) {
	for _, before := range []string{"", "a further request"} {
		l, in, out := lingeringPair(t)
		_, _ = io.WriteString(out, before)
		for before != "" && in.pendingInput() != socketReadable {
			runtime.Gosched()
		}
		_ = in.Close()
		if l.OpenCount() != 1 {
			t.Fatal("the connection does not linger")
		}
		for in.pendingInput() != socketReadable {
			if _, err := io.WriteString(out, "after the close"); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := io.WriteString(out, "and after that"); err != nil { // a reset would have come by now
			t.Fatal(err)
		}
		if b, err := io.ReadAll(out); err != nil || string(b) != "answer" {
			t.Errorf("%q %v", b, err)
		}
		_ = out.Close()
		gone(l)
	}
}

// The remainder of a request that is answered early is discarded, so that a client that sends everything first gets the
// response.
func TestCloseDiscardsRestOfRequest(t *testing.T) {
	l, in, out := lingeringPair(t)
	if err := out.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	in.DiscardInput()
	_ = in.Close()
	if _, err := io.WriteString(out, strings.Repeat("the rest ", 200<<10)); err != nil { // more than the system holds
		t.Fatal(err)
	}
	if b, err := io.ReadAll(out); err != nil || string(b) != "answer" {
		t.Errorf("%q %v", b, err)
	}
	_ = out.Close()
	gone(l)
}

// A lingering connection is closed when a new one needs the capacity.
func TestLingeringConnYieldsCapacity(t *testing.T) {
	l, in, out := lingeringPair(t)
	l.capacity = 1
	_ = in.Close()
	next, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Close() }()
	if _, err := l.Accept(); err != nil || l.OpenCount() != 1 {
		t.Errorf("%v, %d held", err, l.OpenCount())
	}
	if b, err := io.ReadAll(out); err != nil || string(b) != "answer" {
		t.Errorf("%q %v", b, err)
	}
}
