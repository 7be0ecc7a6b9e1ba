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

// readOnce reads from a connection in a new goroutine.
func readOnce(c net.Conn) <-chan readResult {
	got := make(chan readResult, 1)
	go func() {
		b := make([]byte, 64)
		n, err := c.Read(b)
		got <- readResult{string(b[:n]), err}
	}()
	return got
}

// A connection is not evicted between the read of a request's first bytes and their return to the server.
func TestEvictionSparesConnectionWithFirstRead(t *testing.T) {
	for _, phase := range []int32{fresh, idle} {
		_, conn, client := pair(t, 10)
		conn.phase.Store(phase)
		hookCalled := false
		conn.onFirstRead = func() {
			hookCalled = true
			if conn.pendingInput() != socketEmpty {
				t.Error("the bytes are still unread, so the race was not reproduced")
			}
			if conn.markClosing() {
				t.Error("a connection was closed after bytes of a request were read")
			}
		}
		got := readOnce(conn)
		_, _ = io.WriteString(client, "request")
		if r := <-got; r.err != nil || r.text != "request" || !hookCalled {
			t.Errorf("phase %d: the server read %+v, hook called: %v", phase, r, hookCalled)
		}
		_, _ = io.WriteString(conn, "answer")
		if r := <-readOnce(client); r.text != "answer" {
			t.Errorf("phase %d: the client read %+v", phase, r)
		}
	}
}

// A request that arrives after eviction inspected the connection is not read, and the close resets the connection.
func TestRequestAfterInspectionIsReset(t *testing.T) {
	_, conn, client := pair(t, 10)
	got := readOnce(conn)
	hookCalled := false
	conn.onNothingRead = func() {
		hookCalled = true
		_, _ = io.WriteString(client, "request")
		for conn.pendingInput() != socketReadable {
			runtime.Gosched()
		}
	}
	if !conn.markClosing() || !hookCalled {
		t.Fatal("the connection was not marked closing after the check for input")
	}
	if r := <-got; r.text != "" || !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("the server read %+v, want net.ErrClosed", r)
	}
	if conn.pendingInput() != socketReadable {
		t.Error("the request that arrived after the inspection was read")
	}
	_ = conn.Close()
	if r := <-readOnce(client); !errors.Is(r.err, syscall.ECONNRESET) {
		t.Errorf("the client read %+v", r)
	}
}

// A connection stays active between its response and the server's next read, because the server may already have read a further
// request.
func TestConnIsIdleFromNextRead(t *testing.T) {
	_, conn, client := pair(t, 10)
	conn.markActive()
	conn.ResponseDone()
	if conn.evict() {
		t.Fatal("the connection was evicted before the server's next read")
	}
	conn.SetIdle(false) // the server had read a further request
	got := readOnce(conn)
	_, _ = io.WriteString(client, "more")
	if r := <-got; r.text != "more" || conn.phase.Load() != active {
		t.Errorf("the server read %+v, and the connection is in phase %d", r, conn.phase.Load())
	}
	conn.ResponseDone()
	got = readOnce(conn)
	for conn.phase.Load() != idle {
		runtime.Gosched()
	}
	// The reader holds firstReadMu while it checks for input. Eviction skips the connection at that moment.
	for deadline := time.Now().Add(5 * time.Second); !conn.evict(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatal("an idle connection was not evicted")
		}
	}
	if r := <-got; r.err == nil {
		t.Errorf("read on the evicted connection returned %+v", r)
	}
}

// HasUnparsed is true for input after a request until the server waits for the next request.
func TestHasUnparsed(t *testing.T) {
	_, conn, client := pair(t, 10)
	_, _ = io.WriteString(client, "onetwo")
	if r := <-readOnce(conn); r.text != "onetwo" {
		t.Fatalf("the server read %+v, want both requests", r)
	}
	conn.CountParsed(3)
	if !conn.HasUnparsed() {
		t.Error("HasUnparsed is false with an unparsed second request")
	}
	conn.CountParsed(2) // less than the size of the second request
	if !conn.HasUnparsed() {
		t.Error("HasUnparsed is false with a partly counted second request")
	}
	conn.ResponseDone()
	_, _ = io.WriteString(client, "three")
	if r := <-readOnce(conn); r.text != "three" {
		t.Fatalf("the server read %+v, want the third request", r)
	}
	if conn.CountParsed(5); conn.HasUnparsed() {
		t.Error("HasUnparsed is true with all input parsed")
	}
}

// lingeringPair returns a connection that lingers after a response, with the response already written.
func lingeringPair(t *testing.T) (*Listener, *Conn, net.Conn) {
	t.Helper()
	l, conn, client := pair(t, 10)
	l.linger = time.Hour // long, so that no test passes because the linger time has ended
	_, _ = io.WriteString(client, "request")
	if r := <-readOnce(conn); r.text != "request" {
		t.Fatalf("the server read %+v", r)
	}
	_, _ = io.WriteString(conn, "answer")
	return l, conn, client
}

func waitAllClosed(l *Listener) {
	for l.OpenCount() > 0 {
		runtime.Gosched()
	}
}

// A close after a response does not reset the connection, neither with unread bytes nor when bytes arrive after it. Those bytes
// are not read.
func TestCloseAfterResponse(t *testing.T) {
	for _, unread := range []string{"", "a further request"} {
		l, conn, client := lingeringPair(t)
		_, _ = io.WriteString(client, unread)
		for unread != "" && conn.pendingInput() != socketReadable {
			runtime.Gosched()
		}
		_ = conn.Close()
		if l.OpenCount() != 1 {
			t.Fatal("the connection does not linger")
		}
		for conn.pendingInput() != socketReadable {
			if _, err := io.WriteString(client, "after the close"); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := io.WriteString(client, "and after that"); err != nil { // a reset would have arrived by now
			t.Fatal(err)
		}
		if b, err := io.ReadAll(client); err != nil || string(b) != "answer" {
			t.Errorf("the client read %q, %v", b, err)
		}
		_ = client.Close()
		waitAllClosed(l)
	}
}

// The remainder of a request that is answered early is discarded, so that a client that sends everything first gets the
// response.
func TestCloseDiscardsRestOfRequest(t *testing.T) {
	l, conn, client := lingeringPair(t)
	if err := client.(*net.TCPConn).SetWriteBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	conn.DiscardInput()
	_ = conn.Close()
	if _, err := io.WriteString(client, strings.Repeat("the rest ", 200<<10)); err != nil { // more than fits in the socket buffers
		t.Fatal(err)
	}
	if b, err := io.ReadAll(client); err != nil || string(b) != "answer" {
		t.Errorf("the client read %q, %v", b, err)
	}
	_ = client.Close()
	waitAllClosed(l)
}

// A lingering connection is closed when a new one needs the capacity.
func TestLingeringConnYieldsCapacity(t *testing.T) {
	l, conn, client := lingeringPair(t)
	l.capacity = 1
	_ = conn.Close()
	next, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Close() }()
	if _, err := l.Accept(); err != nil || l.OpenCount() != 1 {
		t.Errorf("Accept: error %v, %d connections open, want 1", err, l.OpenCount())
	}
	if b, err := io.ReadAll(client); err != nil || string(b) != "answer" {
		t.Errorf("the client read %q, %v", b, err)
	}
}
