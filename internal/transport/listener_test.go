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

// pair returns a listener of the given capacity with one open connection, and the client's end of it.
func pair(t *testing.T, capacity int) (*Listener, *Conn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := limit(ln, capacity) // without periodic eviction
	t.Cleanup(func() { _ = l.Close() })
	conn, client := acceptOne(t, l)
	return l, conn, client
}

// acceptOne connects to the listener and returns the accepted connection and the client's end of it.
func acceptOne(t *testing.T, l *Listener) (*Conn, net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return in.(*Conn), client
}

// Unwatch ends a watch without and with input, which stays readable, and a watch ends when the peer closes.
func TestWatchEndsAtUnwatchOrPeerClose(t *testing.T) {
	_, conn, client := pair(t, 10)
	conn.Watch()
	conn.Unwatch() // without input
	conn.Watch()
	_, _ = io.WriteString(client, "hello") // is not lost and does not end the watch
	conn.Unwatch()
	b := make([]byte, 5)
	if _, err := io.ReadFull(conn, b); err != nil || string(b) != "hello" {
		t.Errorf("input that arrived during the watch was read as %q, %v", b, err)
	}
	peerClosed := conn.Watch()
	_, _ = io.WriteString(client, "bytes that are not read before the close")
	_ = client.Close()
	<-peerClosed
	conn.Unwatch()
	if IsReusable(conn.Conn.(*net.TCPConn)) {
		t.Error("IsReusable is true for a connection that the peer closed")
	}
}

// At the capacity new connections wait in the accept queue until an open one is closed or idle.
func TestConnectionsBeyondCapacityWait(t *testing.T) {
	l, conn, _ := pair(t, 1)
	next, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = next.Close() }()
	got := make(chan error, 1)
	conn.markActive() // a request is being served
	go func() { _, err := l.Accept(); got <- err }()
	if !l.atCapacity() || len(got) > 0 {
		t.Error("a connection was accepted beyond the capacity")
	}
	conn.SetIdle(true)
	if err := <-got; err != nil {
		t.Error(err)
	}
	if _, err := conn.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection was not evicted")
	}
	_ = conn.Close()
	go func() { _, err := l.Accept(); got <- err }()
	_ = l.Close()
	if err := <-got; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: error %v, want net.ErrClosed", err)
	}
}

// Only connections without a request are evicted, silent ones before idle ones. When many have had a request, idle ones are
// evicted also below the capacity, because their clients may have reached their own connection limits.
func TestEvictionOrder(t *testing.T) {
	l, active, client := pair(t, 5)
	_, _ = io.WriteString(client, "GET")
	conns := []*Conn{active}
	for range 4 {
		conn, _ := acceptOne(t, l)
		conns = append(conns, conn)
	}
	requesting, other, idleConn, silent := conns[1], conns[2], conns[3], conns[4]
	requesting.markActive()
	other.markActive()
	idleConn.markActive()
	idleConn.SetIdle(true)
	for active.pendingInput() != socketReadable {
		runtime.Gosched() // until the bytes have arrived
	}
	evicted := func(c *Conn) bool { return c.phase.Load() == closing }
	now := time.Now()
	if l.evictForCapacity(now.Add(-time.Hour)); evicted(silent) || evicted(idleConn) {
		t.Error("a connection was evicted before it had been silent or idle for evictableAfter")
	}
	idleConn.startPhase(now.Add(time.Hour)) // as if it had just become idle
	if l.evictForCapacity(now.Add(time.Second)); !evicted(silent) || evicted(idleConn) {
		t.Error("at the capacity the silent connection was not evicted, or the idle one was evicted before it")
	}
	idleConn.startPhase(now)
	if l.evictForCapacity(now.Add(time.Second)); !evicted(idleConn) {
		t.Error("the idle connection was not evicted although most connections have had a request")
	}
	for _, c := range []*Conn{silent, idleConn} {
		if n, err := c.Read(make([]byte, 1)); n > 0 || err == nil {
			t.Error("an evicted connection could be read")
		}
	}
	l.evictForCapacity(now.Add(time.Hour))
	b := make([]byte, 3)
	if n, err := active.Read(b); err != nil || string(b[:n]) != "GET" || evicted(requesting) || evicted(other) {
		t.Errorf("a connection with a request was closed: %q %v", b[:n], err)
	}
	// A connection with a request is not evicted, and an evicted connection does not become active.
	if requesting.evict() || idleConn.markActive() {
		t.Error("an active connection was evicted, or an evicted one became active")
	}
}

// Idle connections are evicted also if no new one arrives, because their clients may have reached their own connection limits.
func TestPeriodicEviction(t *testing.T) {
	l, conn, client := pair(t, 2)
	conn.markActive()
	conn.SetIdle(true)
	go l.evictPeriodically()
	if _, err := client.Read(make([]byte, 1)); err == nil {
		t.Error("the idle connection was not closed")
	}
}

// failingListener is a fake listener whose Accept returns the given errors in order.
type failingListener struct {
	net.Listener
	errs []error
}

func (f *failingListener) Accept() (net.Conn, error) {
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

// Accept is retried after an error for lack of file descriptors, and returns other errors, which end the server.
func TestAcceptRetriesWithoutDescriptor(t *testing.T) {
	permanent := errors.New("not transient")
	f := &failingListener{errs: []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, syscall.ENFILE, permanent}}
	if _, err := Limit(f, 1).Accept(); !errors.Is(err, permanent) {
		t.Errorf("Accept returned %v, want the permanent error", err)
	}
}

// CloseIdle closes connections that were idle for long enough, and none that is active or was active recently.
func TestCloseIdle(t *testing.T) {
	l, conn, client := pair(t, 10)
	if n := l.CloseIdle(time.Hour); n != 1 || conn.HasPendingInput() {
		t.Errorf("%d connections open before any input, want 1 without pending input", n)
	}
	_, _ = io.WriteString(client, "x")
	for !conn.HasPendingInput() {
		runtime.Gosched()
	}
	if n := l.CloseIdle(0); n != 1 {
		t.Errorf("CloseIdle of a connection with unread bytes: %d connections stay open, want 1", n)
	}
	b := make([]byte, 1)
	if _, err := conn.Read(b); err != nil {
		t.Fatal(err)
	}
	if n := l.CloseIdle(0); n != 1 {
		t.Errorf("CloseIdle of an active connection: %d connections stay open, want 1", n)
	}
	conn.SetIdle(true)
	if n := l.CloseIdle(time.Hour); n != 1 {
		t.Errorf("CloseIdle of a connection that has just become idle: %d connections stay open, want 1", n)
	}
	if n := l.CloseIdle(0); n != 0 {
		t.Errorf("%d idle connections stay open", n)
	}
	if _, err := client.Read(b); !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}

// Guards against a process that keeps the sockets that another process of its scheduler needs: after the capacity was lowered, idle
// connections beyond it are closed together, and those with a request stay.
func TestLowerCapacityEvictsIdleConnections(t *testing.T) {
	l, busy, _ := pair(t, 20)
	busy.SetIdle(false)
	for range 9 {
		acceptOne(t, l)
	}
	l.SetCapacity(4)
	l.evictForCapacity(time.Now().Add(time.Second))
	if open := l.OpenCount(); open != 4 {
		t.Errorf("%d connections are open at a capacity of 4", open)
	}
	l.SetCapacity(0)
	l.evictForCapacity(time.Now().Add(time.Second))
	if open := l.OpenCount(); open != 1 {
		t.Errorf("%d connections are open, want the one with a request", open)
	}
}
