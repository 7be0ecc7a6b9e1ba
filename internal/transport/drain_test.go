package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"
)

// serveAll accepts until the listener closes, and answers each connection's request in a goroutine of its own.
func serveAll(l *Listener) (ended chan error) {
	ended = make(chan error, 1)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			go func() {
				b := make([]byte, 64)
				if n, err := nc.Read(b); err == nil {
					_, _ = nc.Write(append([]byte("answer to "), b[:n]...))
				}
				_ = nc.Close()
			}()
		}
	}()
	return ended
}

// queueClients opens count connections that wait in the accept queue, and sends a request on each.
func queueClients(t *testing.T, network, address string, count int) []net.Conn {
	t.Helper()
	var all []net.Conn
	for i := range count {
		nc, err := net.Dial(network, address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = nc.Close() })
		fmt.Fprint(nc, "request ", i)
		all = append(all, nc)
	}
	return all
}

func checkAllAnswered(t *testing.T, clients []net.Conn) {
	t.Helper()
	for i, nc := range clients {
		if b, err := io.ReadAll(nc); err != nil || string(b) != fmt.Sprint("answer to request ", i) {
			t.Errorf("client %d read %q, %v, want the answer to its request", i, b, err)
		}
	}
}

func mustListen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := ListenTCP("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// Connections accepted while the listener stops have splice disabled, like those accepted before.
func TestQueuedConnsDisableSplice(t *testing.T) {
	ln := mustListen(t)
	defer func() { _ = ln.Close() }()
	q := acceptQueueOf(ln)
	if _, err := q.acceptNow(); !errors.Is(err, errQueueEmpty) {
		t.Errorf("acceptNow on an empty queue: error %v", err)
	}
	queueClients(t, "tcp", ln.Addr().String(), 1)
	nc, err := q.acceptNow()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if _, ok := nc.(*noSpliceConn); !ok {
		t.Errorf("accepted connection has the type %T, want one without splice", nc)
	}
}

// Connections queued when StopAccepting is called are served, with free capacity and with a capacity of one.
func TestStopAcceptingServesQueue(t *testing.T) {
	const queued = 20
	for _, capacity := range []int{100, 1} {
		ln := mustListen(t)
		l := limit(ln, capacity)
		l.linger, l.drainLimit = time.Hour, time.Hour
		clients := queueClients(t, "tcp", ln.Addr().String(), queued)
		stopped := make(chan bool)
		go func() {
			l.StopAccepting()
			close(stopped)
		}()
		ended := serveAll(l)
		<-stopped
		checkAllAnswered(t, clients)
		if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
			_ = nc.Close()
			t.Error("a connect succeeded after StopAccepting")
		}
		if len(ended) > 0 {
			t.Error("Accept returned an error before Close")
		}
		_ = l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}

// Queued connections of merged listeners are served while an Accept is pending. Each listener may have accepted one already.
func TestStopAcceptingServesSeveralQueues(t *testing.T) {
	tcp := mustListen(t)
	path := filepath.Join(t.TempDir(), "s")
	file, err := Listen(unixAddr(t, path), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	l := limit(Merge(tcp, file), 100)
	l.drainLimit = time.Hour
	clients := queueClients(t, "tcp", tcp.Addr().String(), 5)
	others := queueClients(t, "unix", path, 5)
	stopped := make(chan bool)
	go func() {
		l.StopAccepting()
		close(stopped)
	}()
	ended := serveAll(l)
	<-stopped
	checkAllAnswered(t, clients)
	checkAllAnswered(t, others)
	_ = l.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// Accept of a merged listener returns once wake has ended the Accept calls of its listeners.
func TestWokenListenersEndAccept(t *testing.T) {
	m := Merge(mustListen(t), mustListen(t)).(*mergedListener)
	defer func() { _ = m.Close() }()
	m.wake()
	if _, err := m.acceptNow(); !errors.Is(err, errQueueEmpty) { // m has received the last result of both listeners
		t.Fatal(err)
	}
	if _, err := m.Accept(); !errors.Is(err, errQueueEmpty) {
		t.Error(err)
	}
}

// A connection queued at a socket shared with other processes is left to them when this process stops.
func TestStopAcceptingLeavesInheritedQueue(t *testing.T) {
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = bound.Close() }()
	f, err := bound.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	inherited, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := ListenInherited(strconv.Itoa(inherited))
	if err != nil {
		t.Fatal(err)
	}
	l := limit(ln, 100)
	clients := queueClients(t, "tcp", bound.Addr().String(), 5)
	l.StopAccepting()
	if n := l.OpenCount(); n != 0 {
		t.Errorf("%d connections were accepted from the shared queue", n)
	}
	next := limit(bound, 100)
	ended := serveAll(next)
	checkAllAnswered(t, clients)
	_ = next.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	_ = l.Close()
}

// If an accept fails for lack of a file descriptor, a connection without a request is evicted.
func TestNoDescriptorEvictsIdle(t *testing.T) {
	l, conn, _ := pair(t, 10)
	conn.startPhase(time.Now().Add(-time.Hour))
	permanent := errors.New("not transient")
	l.Listener = &failingListener{Listener: l.Listener, errs: []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, permanent}}
	if _, err := l.Accept(); !errors.Is(err, permanent) {
		t.Error(err)
	}
	if conn.phase.Load() != closing {
		t.Error("the idle connection was not evicted")
	}
}

// lateListener calls a test's function after the deadline of an accept and before the accept returns.
type lateListener struct {
	*net.TCPListener
	skip       int // number of accepts ended by their deadline before the function runs
	atDeadline func()
}

// Accept implements net.Listener.
func (l *lateListener) Accept() (net.Conn, error) {
	nc, err := l.TCPListener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if l.skip--; l.skip == -1 {
			l.atDeadline()
		}
	}
	return nc, err
}

// A connection that is queued after the deadline of the last accept and before its goroutine continues is served, on the
// listener itself and on an earlier one of merged listeners.
func TestStopAcceptingRechecksQueueAtDeadline(t *testing.T) {
	for _, merged := range []bool{false, true} {
		target := mustListen(t)
		late := &lateListener{TCPListener: target.(noSpliceListener).Listener.(*net.TCPListener)}
		listener := noSpliceListener{late}
		l := limit(listener, 100)
		if merged {
			late.TCPListener = mustListen(t).(noSpliceListener).Listener.(*net.TCPListener)
			late.skip = 1
			l = limit(Merge(target, listener), 100)
		}
		l.drainLimit = time.Hour
		dialed := make(chan net.Conn, 1)
		late.atDeadline = func() {
			nc, err := net.Dial("tcp", target.Addr().String())
			if err != nil {
				t.Error(err)
			} else {
				fmt.Fprint(nc, "request 0")
			}
			dialed <- nc
		}
		stopped := make(chan bool)
		go func() {
			l.StopAccepting()
			close(stopped)
		}()
		client := <-dialed
		ended := serveAll(l)
		<-stopped
		if client != nil {
			t.Cleanup(func() { _ = client.Close() })
			client.SetReadDeadline(time.Now().Add(eventTimeout))
			checkAllAnswered(t, []net.Conn{client})
		}
		_ = l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}
