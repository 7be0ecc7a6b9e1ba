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
					nc.Write(append([]byte("answer to "), b[:n]...))
				}
				nc.Close()
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
		t.Cleanup(func() { nc.Close() })
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

// What is accepted while the listener stops has Read and Write alone, as what is accepted before.
func TestQueueGivesPlain(t *testing.T) {
	ln := mustListen(t)
	defer ln.Close()
	q := acceptQueueOf(ln)
	if _, err := q.acceptNow(); err != errQueueEmpty {
		t.Errorf("of an empty queue: %v", err)
	}
	waitInQueue(t, "tcp", ln.Addr().String(), 1)
	nc, err := q.acceptNow()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if _, ok := nc.(*noSpliceConn); !ok {
		t.Errorf("a %T", nc)
	}
}

// Connections that wait in the system's queue when the program stops accepting are served: at a cap with room and at one
// that has none but for what ends.
func TestStopAcceptingServesQueue(t *testing.T) {
	const waits = 20
	for _, most := range []int{100, 1} {
		ln := mustListen(t)
		l := limit(ln, most)
		l.linger, l.drainLimit = time.Hour, time.Hour
		clients := waitInQueue(t, "tcp", ln.Addr().String(), waits)
		stopped := make(chan bool)
		go func() {
			l.StopAccepting()
			close(stopped)
		}()
		ended := answerAll(l)
		<-stopped
		allAnswered(t, clients)
		if nc, err := net.Dial("tcp", ln.Addr().String()); err == nil {
			nc.Close()
			t.Error("it accepts on")
		}
		if len(ended) > 0 {
			t.Error("Accept did not wait for Close")
		}
		l.Close()
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Error(err)
		}
	}
}

// The same while an Accept waits, and of several listeners, each of which may have accepted one ahead.
func TestStopAcceptingServesSeveralQueues(t *testing.T) {
	four := mustListen(t)
	path := filepath.Join(t.TempDir(), "s")
	file, err := Listen(unixAddr(t, path), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	l := limit(Merge(four, file), 100)
	l.drainLimit = time.Hour
	clients := waitInQueue(t, "tcp", four.Addr().String(), 5)
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
	l.Close()
	<-ended
}

// An Accept of several listeners does not wait for those that were woken.
func TestWokenListenersEndAccept(t *testing.T) {
	m := Merge(mustListen(t), mustListen(t)).(*mergedListener)
	defer m.Close()
	m.wake()
	if _, err := m.acceptNow(); err != errQueueEmpty { // it has taken what the two said at their end
		t.Fatal(err)
	}
	if _, err := m.Accept(); err != errQueueEmpty {
		t.Error(err)
	}
}

// A connection in a socket that others hold too is theirs when this process stops.
func TestStopAcceptingLeavesPassedQueue(t *testing.T) {
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer bound.Close()
	f, err := bound.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
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
	next.Close()
	<-ended
	l.Close()
}

// Where an accept finds no descriptor, connections on which nothing is asked give theirs.
func TestNoDescriptorShedsIdle(t *testing.T) {
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

// lateListener has a step of a test between the end of an accept's deadline and its return.
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

// A connection that comes up after the deadline of the last accept, before its goroutine runs on, is served too: on the
// listener itself, and on another with which it is merged and whose turn was before.
func TestStopAcceptingLooksAgainAtTheDeadline(t *testing.T) {
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
			defer client.Close()
			client.SetReadDeadline(time.Now().Add(stuckAfter))
			allAnswered(t, []net.Conn{client})
		}
		l.Close()
		<-ended
	}
}
