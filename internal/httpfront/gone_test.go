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
	storage "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// A request is lost whose attempt begins after its client has gone. Each test holds the attempt, or the core, at the named
// place until the server has seen the client go; a request of another client then passes the same way, and is the only one
// that comes to the node.

// disconnectHarness is a front whose connections to its node, and the first bytes written on them, wait to be let go.
type disconnectHarness struct {
	*front
	t       *testing.T
	network string
	dials   *barrier
	writes  *barrier
	quiets  *barrier
	idle    *list.Element // of the dialer's idle connections, as last seen
}

// barrier stops who passes, if it is shut, until it is opened.
type barrier struct {
	shut atomic.Bool
	at   chan bool // one came
	open chan struct{}
}

func newBarrier() *barrier { return &barrier{at: make(chan bool, 1024), open: make(chan struct{})} }

func (h *barrier) pass() {
	if h.shut.Load() {
		h.at <- true
		<-h.open
	}
}

func (h *barrier) letGo() {
	if h.shut.Swap(false) {
		close(h.open)
	}
}

// lateStream is a connection to a node.
type lateStream struct {
	transport.Stream
	of     *disconnectHarness
	closed chan struct{}
}

func (s *lateStream) Write(p []byte) (int, error) {
	s.of.writes.pass()
	return s.Stream.Write(p)
}

func (s *lateStream) SyscallConn() (syscall.RawConn, error) {
	s.of.quiets.pass()
	return s.Stream.SyscallConn()
}

func (s *lateStream) Close() error {
	select {
	case s.closed <- struct{}{}:
	default:
	}
	return s.Stream.Close()
}

func newDisconnectHarness(t *testing.T, network string) (*disconnectHarness, chan struct{}) {
	t.Helper()
	l := &disconnectHarness{t: t, network: network, dials: newBarrier(), writes: newBarrier(), quiets: newBarrier()}
	closed := make(chan struct{}, 64)
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		l.dials.pass()
		nc, why, err := transport.Dial(ctx, a, within)
		if err != nil {
			return nil, why, err
		}
		return &lateStream{nc, l, closed}, why, nil
	}
	where := "127.0.0.1:0"
	if network == "unix" {
		where = filepath.Join(t.TempDir(), "s")
	}
	ln, err := net.Listen(network, where)
	if err != nil {
		t.Fatal(err)
	}
	l.front = newFrontOn(t, ln, d, respondWith(okResponse))
	t.Cleanup(func() { l.dials.letGo(); l.writes.letGo(); l.quiets.letGo() })
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

// ask writes the request of an id.
func ask(nc net.Conn, id int) {
	_, _ = io.WriteString(nc, strings.Replace(good, "9b1f", fmt.Sprintf("%04d", id), 1))
}

// holdCore keeps the core's actor busy until the return is called: what comes meanwhile waits in its mailbox.
func holdCore(t *testing.T, c *core.Core) (release func()) {
	held, let := make(chan bool), make(chan bool)
	c.Submit(&core.Request{Request: policy.Request{Class: "none of the settings"}, Answer: func(core.Answer) { close(held); <-let }})
	<-held
	release = sync.OnceFunc(func() { close(let) })
	t.Cleanup(release)
	return release
}

// allGone waits until the server has seen all clients go and closed their connections.
func allGone(t *testing.T, s *Server) {
	t.Helper()
	waitFor(t, func() bool { return s.ln.Load().OpenCount() == 0 })
}

// onlyNext has another client served, and fails if the node got any other request.
func (l *disconnectHarness) onlyNext(before int64) {
	l.t.Helper()
	nc := l.dial()
	defer nc.Close()
	ask(nc, 7777)
	r := &fasthttp.Response{}
	if err := r.Read(bufio.NewReader(nc)); err != nil || r.StatusCode() != 200 {
		l.t.Fatalf("the next client: %v %d", err, r.StatusCode())
	}
	if n := l.requests.Load() - before; n != 1 {
		l.t.Errorf("%d requests came to the node, want that of the next client alone", n)
	}
	l.empty()
}

// empty waits until the core holds nothing of any request but guards, whose time is yet to come.
func (l *disconnectHarness) empty() {
	l.t.Helper()
	waitFor(l.t, func() bool { x := l.srv.Core.TableSizes(); return x.Requests == 0 && x.Module == 0 })
}

// parked waits until an attempt's end has given its connection back since the last call, or the attempt was written after all.
func (l *disconnectHarness) parked() {
	l.t.Helper()
	written := l.requests.Load()
	waitFor(l.t, func() bool {
		l.dialer.idle.mu.Lock()
		defer l.dialer.idle.mu.Unlock()
		idle := l.dialer.idle.list.Front()
		if idle == nil || idle == l.idle {
			return l.requests.Load() > written
		}
		l.idle = idle
		return true
	})
}

// Both kinds of clients' sockets, with and without more bytes than the server reads ahead: behind those the system tells the
// going on the one kind alone.
func eachClient(t *testing.T, do func(t *testing.T, network, ahead string)) {
	for _, network := range []string{"tcp", "unix"} {
		for name, ahead := range map[string]string{"alone": "", "with bytes behind": strings.Repeat(good, 60)} {
			t.Run(network+" "+name, func(t *testing.T) { do(t, network, ahead) })
		}
	}
}

// The attempt waits for a connection, and the core is too busy to hear of the going.
func TestGoneWhileAConnectionComesUp(t *testing.T) {
	eachClient(t, func(t *testing.T, network, ahead string) {
		l, _ := newDisconnectHarness(t, network)
		l.dials.shut.Store(true)
		nc := l.dial()
		ask(nc, 1)
		_, _ = io.WriteString(nc, ahead)
		<-l.dials.at
		release := holdCore(t, l.srv.Core)
		nc.Close()
		allGone(t, l.srv)
		l.dials.letGo()
		l.parked()
		release()
		l.onlyNext(0)
	})
}

// The attempt is in its node's mailbox, the node's actor at work and the core too.
func TestGoneInTheNodesMailbox(t *testing.T) {
	eachClient(t, func(t *testing.T, network, ahead string) {
		l, _ := newDisconnectHarness(t, network)
		l.onlyNext(0) // its connection is idle now
		l.parked()
		l.quiets.shut.Store(true)
		nc := l.dial()
		ask(nc, 1)
		_, _ = io.WriteString(nc, ahead)
		<-l.quiets.at // the actor looks at the connection that it would give
		release := holdCore(t, l.srv.Core)
		nc.Close()
		allGone(t, l.srv)
		l.quiets.letGo()
		l.parked()
		release()
		l.onlyNext(1)
	})
}

// Between the attempt's beginning and its first byte: the cancel closes the connection, and the byte is not written.
func TestGoneBeforeTheFirstByte(t *testing.T) {
	eachClient(t, func(t *testing.T, network, ahead string) {
		l, closed := newDisconnectHarness(t, network)
		l.writes.shut.Store(true)
		nc := l.dial()
		ask(nc, 1)
		_, _ = io.WriteString(nc, ahead)
		<-l.writes.at
		nc.Close()
		waitFor(t, func() bool { return len(closed) > 0 })
		l.writes.letGo()
		l.onlyNext(0)
	})
}

// The request waits in its queue for a node; one comes after the client has gone, before or after word of the going. The word alone
// ends the request.
func TestGoneWhileQueued(t *testing.T) {
	eachClient(t, func(t *testing.T, network, ahead string) {
		for _, heard := range []bool{false, true} {
			l, _ := newDisconnectHarness(t, network)
			list := func(state policy.NodeState) {
				l.srv.Core.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: []core.Node{{
					Node: policy.Node{ID: "n", Weight: 1, State: state}, Addresses: at(l.ln)}}})
			}
			list(policy.NodeDraining)
			nc := l.dial()
			ask(nc, 1)
			_, _ = io.WriteString(nc, ahead)
			waitFor(t, func() bool { return l.srv.Core.OpenRequests() == 1 })
			release := func() {}
			if !heard {
				release = holdCore(t, l.srv.Core)
				list(policy.NodeUp)
			}
			nc.Close()
			allGone(t, l.srv)
			if heard {
				l.empty()
				list(policy.NodeUp)
			}
			release()
			l.onlyNext(0)
		}
	})
}

// A part of a body has come: nothing of the request is known to the core, whether the server's library reads its first bytes or
// the front the rest. The core would count a request of a plan that it does not know.
func TestGoneWhileItsBodyArrives(t *testing.T) {
	with := func(header, body string) string {
		return strings.NewReplacer("Content-Length: 5", header, "hello", body).Replace(good)
	}
	of := strings.Repeat("x", maxBufferedBody)
	for what, text := range map[string]string{
		"short":   good[:len(good)-2],
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
					allGone(t, l.srv)
					l.onlyNext(0)
					if n := l.srv.Core.Counters().Snapshot().Failed["new-record"]; n != 0 {
						t.Errorf("the core counted %d requests", n)
					}
				})
			}
		}
	}
}

// Many go at once while the core is busy and their attempts wait.
func TestManyGoAtOnce(t *testing.T) {
	const clients = 40
	l, _ := newDisconnectHarness(t, "tcp")
	l.dials.shut.Store(true)
	var conns []net.Conn
	for i := range clients {
		nc := l.dial()
		ask(nc, i)
		conns = append(conns, nc)
	}
	waitFor(t, func() bool { return l.srv.Core.OpenRequests() == clients })
	<-l.dials.at
	release := holdCore(t, l.srv.Core)
	for _, nc := range conns {
		nc.Close()
	}
	allGone(t, l.srv)
	l.dials.letGo()
	l.parked()
	release()
	l.onlyNext(0)
}

// The parts of a gathered read are attempts like others.
func TestGoneFromAGatheredRead(t *testing.T) {
	dials := newBarrier()
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		dials.pass()
		return transport.Dial(ctx, a, within)
	}
	w := newGatherHarnessOn(t, d, wholeRules, storage.Rows{Seed: 3, Count: 10})
	t.Cleanup(dials.letGo)
	dials.shut.Store(true)
	nc := w.dial()
	w.ask(nc, "GET", "balance-read/x", "basic", time.Minute, all)
	const atOnce = 3 // of the rules
	for range atOnce {
		<-dials.at
	}
	release := holdCore(t, w.core)
	nc.Close()
	allGone(t, w.srv)
	dials.letGo()
	asked := func() (n int) {
		for _, x := range w.nodes {
			n += x.Counts().Requests
		}
		return n
	}
	waitFor(t, func() bool {
		d.idle.mu.Lock()
		defer d.idle.mu.Unlock()
		return d.idle.list.Len() == atOnce || asked() > 0
	})
	release()
	if g := w.read("balance-read", "basic", time.Minute, all); g.code != 200 || g.err != nil {
		t.Fatalf("the next read: %d %v", g.code, g.err)
	}
	if n := asked(); n != gatherShards {
		t.Errorf("%d requests came to the nodes, want the %d of the next read", n, gatherShards)
	}
	w.quiet()
}
