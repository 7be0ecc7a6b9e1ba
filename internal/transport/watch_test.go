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

// stuckAfter fails a test that waits for an event that does not happen.
const stuckAfter = 20 * time.Second

// spied is a connection whose watch tells of each look that it took, and may be held before its first.
type spied struct {
	net.Conn
	hold  chan struct{} // closed: the watch runs
	looks chan bool     // the verdict of each
}

func (s *spied) SyscallConn() (syscall.RawConn, error) {
	raw, err := s.Conn.(syscall.Conn).SyscallConn()
	return spiedSocket{raw, s}, err
}

type spiedSocket struct {
	syscall.RawConn
	of *spied
}

func (s spiedSocket) Read(f func(uintptr) bool) error {
	<-s.of.hold
	return s.RawConn.Read(func(fd uintptr) bool {
		gone := f(fd)
		s.of.looks <- gone
		return gone
	})
}

type spyListener struct{ net.Listener }

func (l spyListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &spied{nc, make(chan struct{}), make(chan bool, 1024)}, nil
}

// spiedPair is an accepted connection whose watch is spied on, and its client's end. A socket file's system does not say
// of one that it has gone behind bytes.
func spiedPair(t *testing.T, network string) (*Listener, *Conn, *spied, net.Conn) {
	t.Helper()
	at := "127.0.0.1:0"
	if network == "unix" {
		at = filepath.Join(t.TempDir(), "s")
	}
	ln, err := net.Listen(network, at)
	if err != nil {
		t.Fatal(err)
	}
	l := limit(spyListener{ln}, 10)
	t.Cleanup(func() { _ = l.Close() })
	out, err := net.Dial(network, ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	in := nc.(*Conn)
	t.Cleanup(func() { _ = in.Close() })
	return l, in, in.Conn.(*spied), out
}

func comes(t *testing.T, what string, ch <-chan struct{}) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(stuckAfter):
		t.Fatalf("%s: it is not seen", what)
	}
}

// seen waits until the system, or the watch, has what the other side did.
func seen(t *testing.T, what string, met func() bool) {
	t.Helper()
	for until := time.Now().Add(stuckAfter); !met(); runtime.Gosched() {
		if time.Now().After(until) {
			t.Fatalf("%s: it is not seen", what)
		}
	}
}

// A close, half-close or reset by the client behind unread bytes wakes the watch, also where the kernel does not report the
// state of the connection. The bytes can still be read.
func TestWatchSeesCloseBehindUnreadBytes(t *testing.T) {
	const text = "a request sent ahead"
	for _, network := range []string{"tcp", "unix"} {
		for name, leave := range map[string]func(net.Conn) error{
			"close":      func(nc net.Conn) error { return nc.Close() },
			"half-close": func(nc net.Conn) error { return nc.(interface{ CloseWrite() error }).CloseWrite() },
			"reset": func(nc net.Conn) error {
				if c, ok := nc.(*net.TCPConn); ok {
					_ = c.SetLinger(0)
				}
				return nc.Close()
			},
		} {
			t.Run(network+" "+name, func(t *testing.T) {
				_, in, spy, out := spiedPair(t, network)
				_, _ = io.WriteString(out, text)
				seen(t, "bytes that wait", func() bool { return in.pendingInput() == socketReadable })
				left := in.Watch()
				close(spy.hold)
				if <-spy.looks {
					t.Fatal("gone before it went")
				}
				if err := leave(out); err != nil {
					t.Fatal(err)
				}
				comes(t, "the going", left)
				if !in.PeerClosed() {
					t.Error("it has not gone")
				}
				in.Unwatch()
				if got, _ := io.ReadAll(in); string(got) != text && name != "reset" {
					t.Errorf("read %q", got)
				}
			})
		}
	}
}

// The bytes read ahead of a watched connection are bounded, and are read in order before later ones.
func TestReadAheadIsReadInOrder(t *testing.T) {
	for _, size := range []int{1, readAheadStep, readAheadLimit - 1, readAheadLimit, readAheadLimit + 5000} {
		_, in, spy, out := spiedPair(t, "unix")
		close(spy.hold)
		text := []byte(strings.Repeat("0123456789abcdef!", size/17+1)[:size])
		go func() { _, _ = out.Write(text) }()
		for range 3 { // watched again, it goes on where it stopped
			in.Watch()
			seen(t, "what is read ahead", func() bool { return int(in.readAhead.size.Load()) == min(size, readAheadLimit) })
			if in.PeerClosed() {
				t.Fatal("gone before it went")
			}
			in.Unwatch()
		}
		_, _ = io.WriteString(out, "more")
		_ = out.Close()
		got, err := io.ReadAll(in)
		if want := string(text) + "more"; err != nil || string(got) != want {
			t.Errorf("of %d and 4 bytes %d were read as sent: %v", size, len(got), err)
		}
		if in.readAhead.size.Load() != 0 || in.readAhead.bytes != nil {
			t.Error("what was read is held")
		}
	}
}

// A connection with bytes read ahead is not closed as idle.
func TestReadAheadCountsAsRequest(t *testing.T) {
	l, in, spy, out := spiedPair(t, "unix")
	close(spy.hold)
	in.markActive()
	in.Watch()
	_, _ = io.WriteString(out, "x")
	seen(t, "what is read ahead", func() bool { return in.readAhead.size.Load() == 1 })
	in.Unwatch()
	in.SetIdle(true)
	if n := l.CloseIdle(0); n != 1 || !in.HasPendingInput() {
		t.Errorf("closed over what was read ahead: %d open, asked %v", n, in.HasPendingInput())
	}
	if _, err := in.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	in.SetIdle(true)
	if n := l.CloseIdle(0); n != 0 || in.HasPendingInput() {
		t.Errorf("%d open, asked %v", n, in.HasPendingInput())
	}
}

// The read deadline of the request does not end the watch.
func TestWatchOutlastsReadDeadline(t *testing.T) {
	_, in, spy, out := spiedPair(t, "tcp")
	close(spy.hold)
	in.SetReadDeadline(time.Unix(1, 0)) // long past
	left, ended := in.Watch(), in.watchDone
	if gone := <-firstOf(spy.looks, ended); gone {
		t.Fatal("gone before it went")
	}
	_ = out.Close()
	comes(t, "the going", left)
	in.Unwatch()
}

// firstOf gives the first verdict, or true where the watch ended without one.
func firstOf(looks <-chan bool, ended <-chan struct{}) <-chan bool {
	got := make(chan bool, 1)
	go func() {
		select {
		case gone := <-looks:
			got <- gone
		case <-ended:
			got <- true
		}
	}()
	return got
}

// PeerClosed is true as soon as the kernel has the close, also before the goroutine of Watch has run.
func TestPeerClosedBeforeWatchRuns(t *testing.T) {
	for _, network := range []string{"tcp", "unix"} {
		for _, ahead := range []string{"", "bytes that wait"} {
			_, in, spy, out := spiedPair(t, network)
			left := in.Watch() // held: it takes no look
			_, _ = io.WriteString(out, ahead)
			seen(t, ahead, func() bool { return ahead == "" || in.pendingInput() == socketReadable })
			if in.PeerClosed() {
				t.Fatalf("%s, %q: gone before it went", network, ahead)
			}
			_ = out.Close()
			seen(t, network+", the going behind "+strconv.Quote(ahead), in.PeerClosed)
			if len(spy.looks) > 0 {
				t.Fatal("the watch ran: the crossing was not reached")
			}
			close(spy.hold)
			comes(t, "the going", left)
			in.Unwatch()
			_ = in.Close()
			if !in.PeerClosed() {
				t.Error("a connection that is closed stands")
			}
		}
	}
}
