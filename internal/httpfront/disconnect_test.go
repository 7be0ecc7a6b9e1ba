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

// An attempt must not be written after its client has disconnected. Each test blocks the attempt, or the core, at a certain
// point until the server has noticed the disconnect. Then a request of another client takes the same path, and must be the
// only one that reaches the node.

// disconnectHarness is a server whose dials, writes and socket checks on connections to the node can be blocked.
type disconnectHarness struct {
	*frontHarness
	t            *testing.T
	network      string
	dials        *barrier
	writes       *barrier
	socketChecks *barrier
	lastIdle     *list.Element // first of the dialer's idle connections, as last seen
}

// barrier blocks the callers of pass while it is closed.
type barrier struct {
	closed  atomic.Bool
	reached chan bool // receives a value for each blocked caller
	opened  chan struct{}
}

func newBarrier() *barrier {
	return &barrier{reached: make(chan bool, 1024), opened: make(chan struct{})}
}

func (b *barrier) pass() {
	if b.closed.Load() {
		b.reached <- true
		<-b.opened
	}
}

func (b *barrier) release() {
	if b.closed.Swap(false) {
		close(b.opened)
	}
}

// gatedStream is a connection to a node whose writes and socket checks pass barriers.
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
	h := &disconnectHarness{t: t, network: network, dials: newBarrier(), writes: newBarrier(), socketChecks: newBarrier()}
	closed := make(chan struct{}, 64)
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		h.dials.pass()
		nc, reason, err := transport.Dial(ctx, a, within)
		if err != nil {
			return nil, reason, err
		}
		return &gatedStream{nc, h, closed}, reason, nil
	}
	listenAddress := "127.0.0.1:0"
	if network == "unix" {
		listenAddress = filepath.Join(t.TempDir(), "s")
	}
	ln, err := net.Listen(network, listenAddress)
	if err != nil {
		t.Fatal(err)
	}
	h.frontHarness = newFrontOn(t, ln, d, respondWith(okResponse))
	t.Cleanup(func() { h.dials.release(); h.writes.release(); h.socketChecks.release() })
	return h, closed
}

func (h *disconnectHarness) dial() net.Conn {
	h.t.Helper()
	nc, err := net.Dial(h.network, h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { nc.Close() })
	return nc
}

// writeRequest writes a request with the given id.
func writeRequest(nc net.Conn, id int) {
	_, _ = io.WriteString(nc, strings.Replace(validRequest, "9b1f", fmt.Sprintf("%04d", id), 1))
}

// blockCore blocks the core's actor until the returned function is called. Messages wait in its mailbox in the meantime.
func blockCore(t *testing.T, c *core.Core) (release func()) {
	blocked, unblock := make(chan bool), make(chan bool)
	c.Submit(&core.Request{Request: policy.Request{Class: "none of the settings"}, Answer: func(core.Answer) { close(blocked); <-unblock }})
	<-blocked
	release = sync.OnceFunc(func() { close(unblock) })
	t.Cleanup(release)
	return release
}

// waitForDisconnects waits until the server has noticed that all clients disconnected and closed their connections.
func waitForDisconnects(t *testing.T, s *Server) {
	t.Helper()
	waitFor(t, func() bool { return s.ln.Load().OpenCount() == 0 })
}

// checkOnlyNextClientServed sends the request of another client, and fails if the node gets any other request.
func (h *disconnectHarness) checkOnlyNextClientServed(previousRequests int64) {
	h.t.Helper()
	nc := h.dial()
	defer nc.Close()
	writeRequest(nc, 7777)
	r := &fasthttp.Response{}
	if err := r.Read(bufio.NewReader(nc)); err != nil || r.StatusCode() != 200 {
		h.t.Fatalf("next client: %v, status %d", err, r.StatusCode())
	}
	if n := h.requests.Load() - previousRequests; n != 1 {
		h.t.Errorf("%d requests reached the node, want only that of the next client", n)
	}
	h.waitForNoRequests()
}

// waitForNoRequests waits until the core holds no requests. Deduplication records remain until they expire.
func (h *disconnectHarness) waitForNoRequests() {
	h.t.Helper()
	waitFor(h.t, func() bool { x := h.srv.Core.TableSizes(); return x.Requests == 0 && x.Module == 0 })
}

// waitForIdleConn waits until an attempt has returned its connection since the last call, or until the attempt was written.
func (h *disconnectHarness) waitForIdleConn() {
	h.t.Helper()
	written := h.requests.Load()
	waitFor(h.t, func() bool {
		h.dialer.idle.mu.Lock()
		defer h.dialer.idle.mu.Unlock()
		idle := h.dialer.idle.list.Front()
		if idle == nil || idle == h.lastIdle {
			return h.requests.Load() > written
		}
		h.lastIdle = idle
		return true
	})
}

// forEachClientKind runs a test on both kinds of client sockets, with and without more input than the server reads ahead.
// Behind unread input, the kernel reports a disconnect on only one of the kinds.
func forEachClientKind(t *testing.T, do func(t *testing.T, network, extraInput string)) {
	for _, network := range []string{"tcp", "unix"} {
		for name, extraInput := range map[string]string{"request only": "", "with unread input": strings.Repeat(validRequest, 60)} {
			t.Run(network+", "+name, func(t *testing.T) { do(t, network, extraInput) })
		}
	}
}

// The client disconnects while the attempt waits for a dial and the core is too busy to be notified.
func TestDisconnectDuringDial(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, extraInput string) {
		h, _ := newDisconnectHarness(t, network)
		h.dials.closed.Store(true)
		nc := h.dial()
		writeRequest(nc, 1)
		_, _ = io.WriteString(nc, extraInput)
		<-h.dials.reached
		release := blockCore(t, h.srv.Core)
		nc.Close()
		waitForDisconnects(t, h.srv)
		h.dials.release()
		h.waitForIdleConn()
		release()
		h.checkOnlyNextClientServed(0)
	})
}

// The client disconnects while the attempt is in the node's mailbox and the node's actor and the core are busy.
func TestDisconnectWithAttemptInNodeMailbox(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, extraInput string) {
		h, _ := newDisconnectHarness(t, network)
		h.checkOnlyNextClientServed(0) // leaves an idle connection
		h.waitForIdleConn()
		h.socketChecks.closed.Store(true)
		nc := h.dial()
		writeRequest(nc, 1)
		_, _ = io.WriteString(nc, extraInput)
		<-h.socketChecks.reached // the actor checks the connection that it is about to assign
		release := blockCore(t, h.srv.Core)
		nc.Close()
		waitForDisconnects(t, h.srv)
		h.socketChecks.release()
		h.waitForIdleConn()
		release()
		h.checkOnlyNextClientServed(1)
	})
}

// The client disconnects between the start of the attempt and its first byte: the cancel closes the connection, and the byte is
// not written.
func TestDisconnectBeforeFirstByte(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, extraInput string) {
		h, closed := newDisconnectHarness(t, network)
		h.writes.closed.Store(true)
		nc := h.dial()
		writeRequest(nc, 1)
		_, _ = io.WriteString(nc, extraInput)
		<-h.writes.reached
		nc.Close()
		waitFor(t, func() bool { return len(closed) > 0 })
		h.writes.release()
		h.checkOnlyNextClientServed(0)
	})
}

// The client disconnects while the request is queued without an available node. A node becomes available before or after the core
// is notified of the disconnect. The notification alone ends the request.
func TestDisconnectWhileQueued(t *testing.T) {
	forEachClientKind(t, func(t *testing.T, network, extraInput string) {
		for _, notified := range []bool{false, true} {
			h, _ := newDisconnectHarness(t, network)
			list := func(state policy.NodeState) {
				h.srv.Core.UpdateList(core.ListUpdate{Kind: policy.ListChanged, Nodes: []core.Node{{
					Node: policy.Node{ID: "n", Weight: 1, State: state}, Addresses: addressesOf(h.ln)}}})
			}
			list(policy.NodeDraining)
			nc := h.dial()
			writeRequest(nc, 1)
			_, _ = io.WriteString(nc, extraInput)
			waitFor(t, func() bool { return h.srv.Core.OpenRequests() == 1 })
			release := func() {}
			if !notified {
				release = blockCore(t, h.srv.Core)
				list(policy.NodeUp)
			}
			nc.Close()
			waitForDisconnects(t, h.srv)
			if notified {
				h.waitForNoRequests()
				list(policy.NodeUp)
			}
			release()
			h.checkOnlyNextClientServed(0)
		}
	})
}

// The client disconnects after part of the body: the core never sees the request, whether fasthttp was reading the first part of
// the body or the server the rest. A request with an unknown plan shows this, as the core would count it as failed.
func TestDisconnectDuringRequestBody(t *testing.T) {
	edit := func(header, body string) string {
		return strings.NewReplacer("Content-Length: 5", header, "hello", body).Replace(validRequest)
	}
	bufferedPart := strings.Repeat("x", maxBufferedBody)
	for what, text := range map[string]string{
		"short body":                  validRequest[:len(validRequest)-2],
		"body of the buffered size":   edit(fmt.Sprint("Content-Length: ", maxBufferedBody), bufferedPart[1:]),
		"body over the buffered size": edit(fmt.Sprint("Content-Length: ", 4*maxBufferedBody), bufferedPart),
		"chunked body":                edit("Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(bufferedPart), bufferedPart)),
	} {
		for _, plan := range []string{"basic", "none"} {
			for _, network := range []string{"tcp", "unix"} {
				t.Run(fmt.Sprint(what, ", plan ", plan, ", ", network), func(t *testing.T) {
					h, _ := newDisconnectHarness(t, network)
					nc := h.dial()
					_, _ = io.WriteString(nc, strings.Replace(text, "Tier: basic", "Tier: "+plan, 1))
					waitFor(t, func() bool { return h.srv.ln.Load() != nil && h.srv.ln.Load().OpenCount() == 1 })
					nc.Close()
					waitForDisconnects(t, h.srv)
					h.checkOnlyNextClientServed(0)
					if n := h.srv.Core.Counters().Snapshot().Failed["new-record"]; n != 0 {
						t.Errorf("core counted %d failed requests, want 0", n)
					}
				})
			}
		}
	}
}

// Many clients disconnect at once while the core is busy and their attempts wait for connections.
func TestManyClientsDisconnectAtOnce(t *testing.T) {
	const clients = 40
	h, _ := newDisconnectHarness(t, "tcp")
	h.dials.closed.Store(true)
	var conns []net.Conn
	for i := range clients {
		nc := h.dial()
		writeRequest(nc, i)
		conns = append(conns, nc)
	}
	waitFor(t, func() bool { return h.srv.Core.OpenRequests() == clients })
	<-h.dials.reached
	release := blockCore(t, h.srv.Core)
	for _, nc := range conns {
		nc.Close()
	}
	waitForDisconnects(t, h.srv)
	h.dials.release()
	h.waitForIdleConn()
	release()
	h.checkOnlyNextClientServed(0)
}

// The parts of a gathered read are attempts like others: the client's disconnect cancels them before they are written.
func TestDisconnectFromGatheredRead(t *testing.T) {
	dialBarrier := newBarrier()
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, within time.Duration) (transport.Stream, address.Reason, error) {
		dialBarrier.pass()
		return transport.Dial(ctx, a, within)
	}
	h := newGatherHarnessOn(t, d, completeRules, fakenode.Rows{Seed: 3, RowsPerShard: 10})
	t.Cleanup(dialBarrier.release)
	dialBarrier.closed.Store(true)
	nc := h.dial()
	h.writeRequest(nc, "GET", "balance-read/x", "basic", time.Minute, gatherAll)
	const maxConcurrentParts = 3 // as in the harness's rules
	for range maxConcurrentParts {
		<-dialBarrier.reached
	}
	release := blockCore(t, h.core)
	nc.Close()
	waitForDisconnects(t, h.srv)
	dialBarrier.release()
	requestCount := func() (n int) {
		for _, x := range h.nodes {
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
	if g := h.read("balance-read", "basic", time.Minute, gatherAll); g.code != 200 || g.err != nil {
		t.Fatalf("next read: status %d, %v", g.code, g.err)
	}
	if n := requestCount(); n != gatherShards {
		t.Errorf("%d requests reached the nodes, want only the %d of the next read", n, gatherShards)
	}
	h.waitForNoReads()
}
