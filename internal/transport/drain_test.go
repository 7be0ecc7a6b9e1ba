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

// answerAll accepts until the listener closes, and answers each connection's request in its own time.
func answerAll(l *Listener) (ended chan error) {
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

// waitInQueue connects and sends a request, with nobody accepting yet.
func waitInQueue(t *testing.T, network, address string, count int) []net.Conn {
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

func allAnswered(t *testing.T, clients []net.Conn) {
	t.Helper()
	for i, nc := range clients {
		if b, err := io.ReadAll(nc); err != nil || string(b) != fmt.Sprint("answer to request ", i) {
			t.Errorf("client %d: %q %v", i, b, err)
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

// Connections accepted while the listener stops are without splice, as those accepted before.
func TestQueuedConnsDisableSplice(t *testing.T) {
	ln := mustListen(t)
	defer func() { _ = ln.Close() }()
	q := acceptQueueOf(ln)
	if _, err := q.acceptNow(); !errors.Is(err, errQueueEmpty) {
		t.Errorf("of an empty queue: %v", err)
	}
	waitInQueue(t, "tcp", ln.Addr().String(), 1)
	nc, err := q.acceptNow()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if _, ok := nc.(*noSpliceConn); !ok {
		t.Errorf("a %T", nc)
	}
}

// Connections queued when StopAccepting is called are served, with free capacity and with a capacity of one.
func TestStopAcceptingServesQueue(t *testing.T) {
	const queued = 20
	for _, capacity := range []int{100, 1} {
		ln := mustListen(t)
		l := limit(ln, capacity)
		l.linger, l.drainLimit = time.Hour, time.Hour
		clients := waitInQueue(t, "tcp", ln.Addr().String(), queued)
		stopped := make(chan bool)
		go func() {
			l.StopAccepting()
			close(stopped)
		}()
		ended := answerAll(l)
		<-stopped
		allAnswered(t, clients)
		if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
			_ = nc.Close()
			t.Error("it accepts on")
		}
		if len(ended) > 0 {
			t.Error("Accept did not wait for Close")
		}
		_ = l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}

// Queued connections of merged listeners are served while an Accept waits; each listener may have accepted one already.
func TestStopAcceptingServesSeveralQueues(t *testing.T) {
	tcp := mustListen(t)
	path := filepath.Join(t.TempDir(), "s")
	file, err := Listen(unixAddr(t, path), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	l := limit(Merge(tcp, file), 100)
	l.drainLimit = time.Hour
	clients := waitInQueue(t, "tcp", tcp.Addr().String(), 5)
	others := waitInQueue(t, "unix", path, 5)
	stopped := make(chan bool)
	go func() {
		l.StopAccepting()
		close(stopped)
	}()
	ended := answerAll(l)
	<-stopped
	allAnswered(t, clients)
	allAnswered(t, others)
	_ = l.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
}

// Accept of a merged listener does not wait for listeners that were woken.
func TestWokenListenersEndAccept(t *testing.T) {
	m := Merge(mustListen(t), mustListen(t)).(*mergedListener)
	defer func() { _ = m.Close() }()
	m.wake()
	if _, err := m.acceptNow(); !errors.Is(err, errQueueEmpty) { // it has taken what the two said at their end
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
	own, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := ListenInherited(strconv.Itoa(own))
	if err != nil {
		t.Fatal(err)
	}
	l := limit(ln, 100)
	clients := waitInQueue(t, "tcp", bound.Addr().String(), 5)
	l.StopAccepting()
	if n := l.OpenCount(); n != 0 {
		t.Errorf("%d were taken from the next process", n)
	}
	next := limit(bound, 100)
	ended := answerAll(next)
	allAnswered(t, clients)
	_ = next.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Error(err)
	}
	_ = l.Close()
}

// If an accept finds no descriptor, a connection without a request is evicted.
func TestNoDescriptorEvictsIdle(t *testing.T) {
	l, in, _ := pair(t, 10)
	in.phaseStart.Store(0)
	end := errors.New("the end")
	l.Listener = &failing{Listener: l.Listener, errs: []error{&net.OpError{Op: "accept", Err: syscall.EMFILE}, end}}
	if _, err := l.Accept(); !errors.Is(err, end) {
		t.Error(err)
	}
	if in.phase.Load() != closing {
		t.Error("the idle connection was kept")
	}
}

// lateListener runs a test's step between the end of an accept's deadline and its return.
type lateListener struct {
	*net.TCPListener
	skip       int // ends of an accept by its deadline before the step: that of the merged listener's own
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
// listener itself and on an earlier one that it is merged with.
func TestStopAcceptingRechecksQueueAtDeadline(t *testing.T) {
	for _, merges := range []bool{false, true} {
		to := mustListen(t)
		ln := &lateListener{TCPListener: to.(noSpliceListener).Listener.(*net.TCPListener)}
		all := noSpliceListener{ln}
		l := limit(all, 100)
		if merges {
			ln.TCPListener = mustListen(t).(noSpliceListener).Listener.(*net.TCPListener)
			ln.skip = 1
			l = limit(Merge(to, all), 100)
		}
		l.drainLimit = time.Hour
		crossed := make(chan net.Conn, 1)
		ln.atDeadline = func() {
			nc, err := net.Dial("tcp", to.Addr().String())
			if err != nil {
				t.Error(err)
			} else {
				fmt.Fprint(nc, "request 0")
			}
			crossed <- nc
		}
		stopped := make(chan bool)
		go func() {
			l.StopAccepting()
			close(stopped)
		}()
		client := <-crossed
		ended := answerAll(l)
		<-stopped
		if client != nil {
			t.Cleanup(func() { _ = client.Close() })
			client.SetReadDeadline(time.Now().Add(stuckAfter))
			allAnswered(t, []net.Conn{client})
		}
		_ = l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}
