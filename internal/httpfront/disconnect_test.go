package httpfront

import (
	"bufio"
	"container/list"
	"context"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	fakenode "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// A request is lost whose attempt begins after its client has gone. Each test holds the attempt, or the core, at the named
// place until the server has seen the client go; a request of another client then passes the same way, and is the only one
// that comes to the node.

// disconnectHarness is a front whose connections to its node, and the first bytes written on them, wait to be let go.
type disconnectHarness struct {
	*frontHarness
	t            *testing.T
	network      string
	dials        *barrier
	writes       *barrier
	socketChecks *barrier
	lastIdle     *list.Element // of the dialer's idle connections, as last seen
}

// barrier stops who passes, if it is shut, until it is opened.
type barrier struct {
	closed  atomic.Bool
	reached chan bool // one came
	opened  chan struct{}
}

func newBarrier() *barrier {
	return &barrier{reached: make(chan bool, 1024), opened: make(chan struct{})}
}

func (h *barrier) pass() {
	if h.closed.Load() {
		h.reached <- true
		<-h.opened
	}
}

func (h *barrier) release() {
	if h.closed.Swap(false) {
		close(h.opened)
	}
}

// gatedStream is a connection to a node.
type gatedStream struct {
	transport.Stream
	harness *disconnectHarness
	closed  chan struct{}
}

func (s *gatedStream) Write(p []byte) (int, error) {
	s.harness.writes.pass()
	return s.Stream.Write(p)
}

func (s *gatedStream) SyscallConn() (syscall.RawConn, error) {
	s.harness.socketChecks.pass()
	return s.Stream.SyscallConn()
}

func (s *gatedStream) Close() error {
	select {
	case s.closed <- struct{}{}:
	default:
	}
	return s.Stream.Close()
}

func newDisconnectHarness(t *testing.T, network string) (*disconnectHarness, chan struct{}) {
	t.Helper()
	l := &disconnectHarness{t: t, network: network, dials: newBarrier(), writes: newBarrier(), socketChecks: newBarrier()}
	closed := make(chan struct{}, 64)
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		l.dials.pass()
		nc, why, err := transport.Dial(ctx, a, within)
		if err != nil {
			return nil, why, err
		}
		return &gatedStream{nc, l, closed}, why, nil
	}
	where := "127.0.0.1:0"
	if network == "unix" {
		where = filepath.Join(t.TempDir(), "s")
	}
	ln, err := net.Listen(network, where)
	if err != nil {
		t.Fatal(err)
	}
	l.frontHarness = newFrontOn(t, ln, d, respondWith(okResponse))
	t.Cleanup(func() { l.dials.release(); l.writes.release(); l.socketChecks.release() })
	return l, closed
}

func (l *disconnectHarness) dial() net.Conn {
	l.t.Helper()
	nc, err := net.Dial(l.network, l.address)
	if err != nil {
		l.t.Fatal(err)
	}
	l.t.Cleanup(func() { nc.Close() })
	return nc
}

// writeRequest writes the request of an id.
func writeRequest(nc net.Conn, id int) {
	_, _ = io.WriteString(nc, strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", id), 1))
}

// blockCore keeps the core's actor busy until the return is called: what comes meanwhile waits in its mailbox.
func blockCore(t *testing.T, c *core.Core) (release func()) {
	held, let := make(chan bool), make(chan bool)
	c.Submit(&core.Request{Request: policy.Request{Class: "none of the settings"}, Answer: func(core.Answer) { close(held); <-let }})
	<-held
	release = sync.OnceFunc(func() { close(let) })
	t.Cleanup(release)
	return release
}

// waitForDisconnects waits until the server has seen all clients go and closed their connections.
func waitForDisconnects(t *testing.T, s *Server) {
	t.Helper()
	waitFor(t, func() bool { return s.ln.Load().OpenCount() == 0 })
}

// checkOnlyNextClientServed has another client served, and fails if the node got any other request.
func (l *disconnectHarness) checkOnlyNextClientServed(before int64) {
	l.t.Helper()
	nc := l.dial()
	defer nc.Close()
	writeRequest(nc, 7777)
	r := &fasthttp.Response{}
	if err := r.Read(bufio.NewReader(nc)); err != nil || r.StatusCode() != 200 {
		l.t.Fatalf("the next client: %v %d", err, r.StatusCode())
	}
	if n := l.requests.Load() - before; n != 1 {
		l.t.Errorf("%d requests came to the node, want that of the next client alone", n)
	}
	l.waitForNoRequests()
}

// waitForNoRequests waits until the core holds nothing of any request but guards, whose time is yet to come.
func (l *disconnectHarness) waitForNoRequests() {
	l.t.Helper()
	waitFor(l.t, func() bool { x := l.srv.Core.TableSizes(); return x.Requests == 0 && x.Module == 0 })
}

// waitForIdleConn waits until an attempt's end has given its connection back since the last call, or the attempt was written after all.
func (l *disconnectHarness) waitForIdleConn() {
	l.t.Helper()
	written := l.requests.Load()
	waitFor(l.t, func() bool {
		l.dialer.idle.mu.Lock()
		defer l.dialer.idle.mu.Unlock()
		idle := l.dialer.idle.list.Front()
		if idle == nil || idle == l.lastIdle {
			return l.requests.Load() > written
		}
		l.lastIdle = idle
		return true
	})
}

// Both kinds of clients' sockets, with and without more bytes than the server reads ahead: behind those the system tells the
// going on the one kind alone.
func forEachClientKind(t *testing.T, do func(t *testing.T, network, ahead string)) {
	for _, network := range []string{"tcp", "unix"} {
		for name, ahead := range map[string]string{"alone": "", "with bytes behind": strings.Repeat(validRequest, 60)} {
			t.Run(network+" "+name, func(t *testing.T) { do(t, network, ahead) })
		}
	}
}

// The attempt waits for a connection, and the core is too busy to hear of the going.
func TestDisconnectDuringDial(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, ahead string) {
		l, _ := newDisconnectHarness(t, network)
		l.dials.closed.Store(true)
		nc := l.dial()
		writeRequest(nc, 1)
		_, _ = io.WriteString(nc, ahead)
		<-l.dials.reached
		release := blockCore(t, l.srv.Core)
		nc.Close()
		waitForDisconnects(t, l.srv)
		l.dials.release()
		l.waitForIdleConn()
		release()
		l.checkOnlyNextClientServed(0)
	})
}

// The attempt is in its node's mailbox, the node's actor at work and the core too.
func TestDisconnectWithAttemptInNodeMailbox(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, ahead string) {
		l, _ := newDisconnectHarness(t, network)
		l.checkOnlyNextClientServed(0) // its connection is idle now
		l.waitForIdleConn()
		l.socketChecks.closed.Store(true)
		nc := l.dial()
		writeRequest(nc, 1)
		_, _ = io.WriteString(nc, ahead)
		<-l.socketChecks.reached // the actor looks at the connection that it would give
		release := blockCore(t, l.srv.Core)
		nc.Close()
		waitForDisconnects(t, l.srv)
		l.socketChecks.release()
		l.waitForIdleConn()
		release()
		l.checkOnlyNextClientServed(1)
	})
}

// Between the attempt's beginning and its first byte: the cancel closes the connection, and the byte is not written.
func TestDisconnectBeforeFirstByte(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, ahead string) {
		l, closed := newDisconnectHarness(t, network)
		l.writes.closed.Store(true)
		nc := l.dial()
		writeRequest(nc, 1)
		_, _ = io.WriteString(nc, ahead)
		<-l.writes.reached
		nc.Close()
		waitFor(t, func() bool { return len(closed) > 0 })
		l.writes.release()
		l.checkOnlyNextClientServed(0)
	})
}

// The request waits in its queue for a node; one comes after the client has gone, before or after word of the going. The word alone
// ends the request.
func TestDisconnectWhileQueued(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, ahead string) {
		for _, notified := range []bool{false, true} {
			l, _ := newDisconnectHarness(t, network)
			list := func(state policy.NodeState) {
				l.srv.Core.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: []core.Node{{
					Node: policy.Node{ID: "n", Weight: 1, State: state}, Addresses: addressesOf(l.ln)}}})
			}
			list(policy.NodeDraining)
			nc := l.dial()
			writeRequest(nc, 1)
			_, _ = io.WriteString(nc, ahead)
			waitFor(t, func() bool { return l.srv.Core.OpenRequests() == 1 })
			release := func() {}
			if !notified {
				release = blockCore(t, l.srv.Core)
				list(policy.NodeUp)
			}
			nc.Close()
			waitForDisconnects(t, l.srv)
			if notified {
				l.waitForNoRequests()
				list(policy.NodeUp)
			}
			release()
			l.checkOnlyNextClientServed(0)
		}
	})
}

// A part of a body has come: nothing of the request is known to the core, whether the server's library reads its first bytes or
// the front the rest. The core would count a request of a plan that it does not know.
func TestDisconnectDuringRequestBody(t *testing.T) {
	with := func(header, body string) string {
		return strings.NewReplacer("Content-Length: 5", header, "hello", body).Replace(validRequest)
	}
	of := strings.Repeat("x", maxBufferedBody)
	for what, text := range map[string]string{
		"short":   validRequest[:len(validRequest)-2],
		"long":    with(fmt.Sprint("Content-Length: ", maxBufferedBody), of[1:]),
		"longer":  with(fmt.Sprint("Content-Length: ", 4*maxBufferedBody), of),
		"chunked": with("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(of), of)),
	} {
		for _, plan := range []string{"basic", "none"} {
			for _, network := range []string{"tcp", "unix"} {
				t.Run(fmt.Sprint(what, " ", plan, " ", network), func(t *testing.T) {
					l, _ := newDisconnectHarness(t, network)
					nc := l.dial()
					_, _ = io.WriteString(nc, strings.Replace(text, "Tier: basic", "Tier: "+plan, 1))
					waitFor(t, func() bool { return l.srv.ln.Load() != nil && l.srv.ln.Load().OpenCount() == 1 })
					nc.Close()
					waitForDisconnects(t, l.srv)
					l.checkOnlyNextClientServed(0)
					if n := l.srv.Core.Counters().Snapshot().Failed["new-record"]; n != 0 {
						t.Errorf("the core counted %d requests", n)
					}
				})
			}
		}
	}
}

// Many go at once while the core is busy and their attempts wait.
func TestManyClientsDisconnectAtOnce(t *testing.T) {
	const clients = 40
	l, _ := newDisconnectHarness(t, "tcp")
	l.dials.closed.Store(true)
	var conns []net.Conn
	for i := range clients {
		nc := l.dial()
		writeRequest(nc, i)
		conns = append(conns, nc)
	}
	waitFor(t, func() bool { return l.srv.Core.OpenRequests() == clients })
	<-l.dials.reached
	release := blockCore(t, l.srv.Core)
	for _, nc := range conns {
		nc.Close()
	}
	waitForDisconnects(t, l.srv)
	l.dials.release()
	l.waitForIdleConn()
	release()
	l.checkOnlyNextClientServed(0)
}

// The parts of a gathered read are attempts like others.
func TestDisconnectFromGatheredRead(t *testing.T) {
	dials := newBarrier()
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		dials.pass()
		return transport.Dial(ctx, a, within)
	}
	w := newGatherHarnessOn(t, d, completeRules, fakenode.Rows{Seed: 3, Count: 10})
	t.Cleanup(dials.release)
	dials.closed.Store(true)
	nc := w.dial()
	w.writeRequest(nc, "GET", "balance-read/x", "basic", time.Minute, gatherAll)
	const maxConcurrentParts = 3 // of the rules
	for range maxConcurrentParts {
		<-dials.reached
	}
	release := blockCore(t, w.core)
	nc.Close()
	waitForDisconnects(t, w.srv)
	dials.release()
	requestCount := func() (n int) {
		for _, x := range w.nodes {
			n += x.Counts().Requests
		}
		return n
	}
	waitFor(t, func() bool {
		d.idle.mu.Lock()
		defer d.idle.mu.Unlock()
		return d.idle.list.Len() == maxConcurrentParts || requestCount() > 0
	})
	release()
	if g := w.read("balance-read", "basic", time.Minute, gatherAll); g.code != 200 || g.err != nil {
		t.Fatalf("the next read: %d %v", g.code, g.err)
	}
	if n := requestCount(); n != gatherShards {
		t.Errorf("%d requests came to the nodes, want the %d of the next read", n, gatherShards)
	}
	w.waitForNoReads()
}
