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

// pastDeadline is a read deadline in the past.
var pastDeadline = time.Unix(1, 0)

// When the read deadline of a connection without input ends, the server reads net.ErrClosed and closes the connection without
// a response.
func TestSilentConnectionExpires(t *testing.T) {
	for _, phase := range []int32{fresh, idle} {
		_, conn, client := pair(t, 10)
		conn.phase.Store(phase)
		_ = conn.SetReadDeadline(pastDeadline)
		if n, err := conn.Read(make([]byte, 64)); n != 0 || !errors.Is(err, net.ErrClosed) {
			t.Errorf("phase %d: the server read %d bytes, error %v, want net.ErrClosed", phase, n, err)
		}
		_ = conn.Close()
		if r := <-readOnce(client); !errors.Is(r.err, io.EOF) {
			t.Errorf("phase %d: the client read %+v", phase, r)
		}
	}
}

// A request that has arrived when the deadline ends is served, even if the read that timed out did not see it.
func TestRequestAtReadDeadlineIsServed(t *testing.T) {
	for _, phase := range []int32{fresh, idle} {
		_, conn, client := pair(t, 10)
		conn.phase.Store(phase)
		_, _ = io.WriteString(client, "request")
		for conn.pendingInput() != socketReadable {
			runtime.Gosched()
		}
		_ = conn.SetReadDeadline(pastDeadline) // a read times out before it checks for input
		if r := <-readOnce(conn); r.err != nil || r.text != "request" || conn.phase.Load() != active {
			t.Errorf("phase %d: the server read %+v, and the connection is then in phase %d", phase, r, conn.phase.Load())
		}
		_, _ = io.WriteString(conn, "answer")
		if r := <-readOnce(client); r.text != "answer" {
			t.Errorf("phase %d: the client read %+v", phase, r)
		}
	}
}

// A request that arrives after the last read is not read, and the close resets the connection.
func TestRequestAfterReadDeadlineIsReset(t *testing.T) {
	for _, phase := range []int32{fresh, idle} {
		_, conn, client := pair(t, 10)
		conn.phase.Store(phase)
		_ = conn.SetReadDeadline(pastDeadline)
		hookCalled := false
		conn.onNothingRead = func() {
			hookCalled = true
			_, _ = io.WriteString(client, "request")
			for conn.pendingInput() != socketReadable {
				runtime.Gosched()
			}
		}
		if r := <-readOnce(conn); r.text != "" || !errors.Is(r.err, net.ErrClosed) || !hookCalled {
			t.Fatalf("phase %d: the server read %+v, want net.ErrClosed; hook called: %v", phase, r, hookCalled)
		}
		if conn.pendingInput() != socketReadable {
			t.Error("the request that arrived after the last read was read")
		}
		_ = conn.SetReadDeadline(time.Time{})
		if r := <-readOnce(conn); r.text != "" || !errors.Is(r.err, net.ErrClosed) {
			t.Errorf("phase %d: a later read returned %+v", phase, r)
		}
		_ = conn.Close()
		if r := <-readOnce(client); !errors.Is(r.err, syscall.ECONNRESET) {
			t.Errorf("phase %d: the client read %+v", phase, r)
		}
	}
}

// A connection that is not a socket expires in the same way.
func TestSilentPipeExpires(t *testing.T) {
	server, client := net.Pipe()
	defer func() { _ = client.Close() }()
	conn := limit(nil, 10).track(server)
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(pastDeadline)
	if r := <-readOnce(conn); !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("the server read %+v, want net.ErrClosed", r)
	}
	_ = conn.SetReadDeadline(time.Time{})
	go func() { _, _ = io.WriteString(client, "request") }()
	if r := <-readOnce(conn); !errors.Is(r.err, net.ErrClosed) {
		t.Errorf("a later read returned %+v", r)
	}
}
