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

// A connection whose request has been taken, and not yet handed to the server, is not closed.
func TestShedWhileRequestIsTaken(t *testing.T) {
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
		io.WriteString(out, "request")
		if r := <-got; r.err != nil || r.text != "request" || !met {
			t.Errorf("phase %d: %+v, crossing reached: %v", was, r, met)
		}
		io.WriteString(in, "answer")
		if r := <-readOnce(out); r.text != "answer" {
			t.Errorf("phase %d: the client got %+v", was, r)
		}
	}
}

// A request that comes between the look at a connection and its close is not read: the close over it resets the
// connection, by which its client knows.
func TestRequestBetweenLookAndClose(t *testing.T) {
	_, in, out := pair(t, 10)
	got := readOnce(in)
	looked := false
	in.onNothingRead = func() {
		looked = true
		io.WriteString(out, "request")
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
	in.Close()
	if r := <-readOnce(out); !errors.Is(r.err, syscall.ECONNRESET) {
		t.Errorf("the client got %+v", r)
	}
}

// Between the answer and the server's next read a connection is in use: a further request may have been read ahead.
func TestRestsFromNextReadOn(t *testing.T) {
	_, in, out := pair(t, 10)
	in.markActive()
	in.ResponseDone()
	if in.evict() {
		t.Fatal("closed with what was read ahead")
	}
	in.SetIdle(false) // it was
	got := readOnce(in)
	io.WriteString(out, "more")
	if r := <-got; r.text != "more" || in.phase.Load() != active {
		t.Errorf("%+v in phase %d", r, in.phase.Load())
	}
	in.ResponseDone()
	got = readOnce(in)
	for in.phase.Load() != idle {
		runtime.Gosched()
	}
	if !in.evict() {
		t.Error("an idle connection was kept")
	}
	if r := <-got; r.err == nil {
		t.Errorf("%+v", r)
	}
}

// What is read behind a request is known to be ahead, until the server waits for the next request.
func TestAhead(t *testing.T) {
	_, in, out := pair(t, 10)
	io.WriteString(out, "onetwo")
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
	io.WriteString(out, "three")
	if r := <-readOnce(in); r.text != "three" {
		t.Fatalf("%+v", r)
	}
	if in.CountParsed(5); in.HasUnparsed() {
		t.Error("something is ahead of an empty buffer")
	}
}

// lingeringPair is a pair whose server closes behind an answer.
func lingeringPair(t *testing.T) (*Listener, *Conn, net.Conn) {
	t.Helper()
	l, in, out := pair(t, 10)
	l.linger = time.Hour // none may pass because it is over
	io.WriteString(out, "request")
	if r := <-readOnce(in); r.text != "request" {
		t.Fatalf("%+v", r)
	}
	io.WriteString(in, "answer")
	return l, in, out
}

func gone(l *Listener) {
	for l.OpenCount() > 0 {
		runtime.Gosched()
	}
}

// A close behind an answer does not reset the connection, neither over bytes that were not read nor when bytes come
// after it; those are left alone.
func TestCloseBehindAnswer(t *testing.T) {
	for _, before := range []string{"", "a further request"} {
		l, in, out := lingeringPair(t)
		io.WriteString(out, before)
		for before != "" && in.pendingInput() != socketReadable {
			runtime.Gosched()
		}
		in.Close()
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
		out.Close()
		gone(l)
	}
}

// The rest of a request that was answered without it is read, so that its client, who sends all first, comes to the
// answer.
func TestCloseWithinRequest(t *testing.T) {
	l, in, out := lingeringPair(t)
	if err := out.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	in.DiscardInput()
	in.Close()
	if _, err := io.WriteString(out, strings.Repeat("the rest ", 200<<10)); err != nil { // more than the system holds
		t.Fatal(err)
	}
	if b, err := io.ReadAll(out); err != nil || string(b) != "answer" {
		t.Errorf("%q %v", b, err)
	}
	out.Close()
	gone(l)
}

// A connection that lingers gives its place to a newcomer.
func TestLingeringMakesRoom(t *testing.T) {
	l, in, out := lingeringPair(t)
	l.capacity = 1
	in.Close()
	next, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	if _, err := l.Accept(); err != nil || l.OpenCount() != 1 {
		t.Errorf("%v, %d held", err, l.OpenCount())
	}
	if b, err := io.ReadAll(out); err != nil || string(b) != "answer" {
		t.Errorf("%q %v", b, err)
	}
}
