package transport

import (
	"io"
	"net"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// eventTimeout is the time after which a test fails that waits for an event.
const eventTimeout = 20 * time.Second

// observedConn is a connection that records each check of its watch. The test decides when the watch starts.
type observedConn struct {
	net.Conn
	start  chan struct{} // closed by the test to start the watch
	checks chan bool     // the result of each check: whether the peer has closed
}

func (s *observedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := s.Conn.(syscall.Conn).SyscallConn()
	return observedSocket{raw, s}, err
}

type observedSocket struct {
	syscall.RawConn
	conn *observedConn
}

func (s observedSocket) Read(f func(uintptr) bool) error {
	<-s.conn.start
	return s.RawConn.Read(func(fd uintptr) bool {
		peerClosed := f(fd)
		s.conn.checks <- peerClosed
		return peerClosed
	})
}

// observedListener wraps accepted connections as observed ones.
type observedListener struct{ net.Listener }

func (l observedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &observedConn{nc, make(chan struct{}), make(chan bool, 1024)}, nil
}

// observedPair returns an accepted connection whose watch is observed, and its client's end. For the network "unix" the kernel does
// not report a peer's close behind unread bytes.
func observedPair(t *testing.T, network string) (*Listener, *Conn, *observedConn, net.Conn) {
	t.Helper()
	at := "127.0.0.1:0"
	if network == "unix" {
		at = filepath.Join(t.TempDir(), "s")
	}
	ln, err := net.Listen(network, at)
	if err != nil {
		t.Fatal(err)
	}
	l := limit(observedListener{ln}, 10)
	t.Cleanup(func() { _ = l.Close() })
	client, err := net.Dial(network, ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn := nc.(*Conn)
	t.Cleanup(func() { _ = conn.Close() })
	return l, conn, conn.Conn.(*observedConn), client
}

// waitClosed waits until a channel is closed.
func waitClosed(t *testing.T, what string, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(eventTimeout):
		t.Fatalf("%s was not detected in time", what)
	}
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: condition was not met in time", what)
		}
	}
}

// A close, half-close or reset by the client after unread bytes ends the watch, also where the kernel does not report the
// state of the connection. The bytes can still be read, except after a reset.
func TestWatchDetectsCloseAfterUnreadBytes(t *testing.T) {
	const text = "a request sent ahead"
	for _, network := range []string{"tcp", "unix"} {
		for name, disconnect := range map[string]func(net.Conn) error{
			"close":      func(nc net.Conn) error { return nc.Close() },
			"half-close": func(nc net.Conn) error { return nc.(interface{ CloseWrite() error }).CloseWrite() },
			"reset": func(nc net.Conn) error {
				if c, ok := nc.(*net.TCPConn); ok {
					_ = c.SetLinger(0)
				}
				return nc.Close()
			},
		} {
			t.Run(network+", "+name, func(t *testing.T) {
				_, conn, observed, client := observedPair(t, network)
				_, _ = io.WriteString(client, text)
				waitUntil(t, "unread bytes", func() bool { return conn.pendingInput() == socketReadable })
				peerClosed := conn.Watch()
				close(observed.start)
				if <-observed.checks {
					t.Fatal("the watch reported a close before the client closed")
				}
				if err := disconnect(client); err != nil {
					t.Fatal(err)
				}
				waitClosed(t, "the client's close", peerClosed)
				if !conn.PeerClosed() {
					t.Error("PeerClosed is false after the close")
				}
				conn.Unwatch()
				if got, _ := io.ReadAll(conn); string(got) != text && name != "reset" {
					t.Errorf("the bytes before the close were read as %q", got)
				}
			})
		}
	}
}

// The bytes read ahead of a watched connection are bounded, and are read in order before later ones.
func TestReadAheadIsReadInOrder(t *testing.T) {
	for _, size := range []int{1, readAheadStep, readAheadLimit - 1, readAheadLimit, readAheadLimit + 5000} {
		_, conn, observed, client := observedPair(t, "unix")
		close(observed.start)
		text := []byte(strings.Repeat("0123456789abcdef!", size/17+1)[:size])
		go func() { _, _ = client.Write(text) }()
		for range 3 { // a further watch continues where the last one stopped
			conn.Watch()
			waitUntil(t, "bytes read ahead", func() bool { return int(conn.readAhead.size.Load()) == min(size, readAheadLimit) })
			if conn.PeerClosed() {
				t.Fatal("PeerClosed is true before the client closed")
			}
			conn.Unwatch()
		}
		_, _ = io.WriteString(client, "more")
		_ = client.Close()
		got, err := io.ReadAll(conn)
		if want := string(text) + "more"; err != nil || string(got) != want {
			t.Errorf("the client sent %d and 4 bytes; the server read %d bytes, or bytes that differ: error %v", size, len(got), err)
		}
		if conn.readAhead.size.Load() != 0 || conn.readAhead.bytes != nil {
			t.Error("the read-ahead buffer is not empty after all bytes were read")
		}
	}
}

// A connection with bytes read ahead is not closed as idle.
func TestReadAheadCountsAsRequest(t *testing.T) {
	l, conn, observed, client := observedPair(t, "unix")
	close(observed.start)
	conn.markActive()
	conn.Watch()
	_, _ = io.WriteString(client, "x")
	waitUntil(t, "bytes read ahead", func() bool { return conn.readAhead.size.Load() == 1 })
	conn.Unwatch()
	conn.SetIdle(true)
	if n := l.CloseIdle(0); n != 1 || !conn.HasPendingInput() {
		t.Errorf("%d connections open, pending input %v; want 1 with the byte that was read ahead", n, conn.HasPendingInput())
	}
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	conn.SetIdle(true)
	if n := l.CloseIdle(0); n != 0 || conn.HasPendingInput() {
		t.Errorf("%d connections open, pending input %v; want none", n, conn.HasPendingInput())
	}
}

// The read deadline of the request does not end the watch.
func TestWatchOutlastsReadDeadline(t *testing.T) {
	_, conn, observed, client := observedPair(t, "tcp")
	close(observed.start)
	_ = conn.SetReadDeadline(time.Unix(1, 0)) // in the past
	peerClosed, ended := conn.Watch(), conn.watchDone
	if closed := <-firstCheck(observed.checks, ended); closed {
		t.Fatal("the watch ended before the client closed")
	}
	_ = client.Close()
	waitClosed(t, "the client's close", peerClosed)
	conn.Unwatch()
}

// firstCheck returns a channel for the result of the watch's first check, or for true if the watch ended without one.
func firstCheck(checks <-chan bool, ended <-chan struct{}) <-chan bool {
	got := make(chan bool, 1)
	go func() {
		select {
		case closed := <-checks:
			got <- closed
		case <-ended:
			got <- true
		}
	}()
	return got
}

// PeerClosed is true as soon as the kernel has received the close, also before the goroutine of Watch has run.
func TestPeerClosedBeforeWatchRuns(t *testing.T) {
	for _, network := range []string{"tcp", "unix"} {
		for _, unread := range []string{"", "unread bytes"} {
			_, conn, observed, client := observedPair(t, network)
			peerClosed := conn.Watch() // does not run before the channel start is closed
			_, _ = io.WriteString(client, unread)
			waitUntil(t, unread, func() bool { return unread == "" || conn.pendingInput() == socketReadable })
			if conn.PeerClosed() {
				t.Fatalf("%s, %q: PeerClosed is true before the client closed", network, unread)
			}
			_ = client.Close()
			waitUntil(t, network+", the client's close after "+strconv.Quote(unread), conn.PeerClosed)
			if len(observed.checks) > 0 {
				t.Fatal("the watch ran before PeerClosed was checked")
			}
			close(observed.start)
			waitClosed(t, "the client's close", peerClosed)
			conn.Unwatch()
			_ = conn.Close()
			if !conn.PeerClosed() {
				t.Error("PeerClosed is false for a connection that is closed on this side")
			}
		}
	}
}
