package httpfront

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	fakenode "wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/policy"
)

// spinUntil waits for a condition.
func spinUntil(cond func() bool) {
	for !cond() {
		runtime.Gosched()
	}
}

// preconnectResult asks for a connection ahead and says what came of it.
func preconnectResult(t *testing.T, p core.NodeClient) policy.Status {
	t.Helper()
	result := make(chan policy.Status, 2)
	if !p.Connect(func(s policy.Status) { result <- s }) {
		t.Fatal("not taken")
	}
	return <-result
}

// newListeningNode is a stand-in node on one or two ports, and a dialer.
func newListeningNode(t *testing.T, ports int, service func(*fasthttp.Request) time.Duration) (n *fakenode.Node, addresses []address.Addr, d *Dialer) {
	n = fakenode.New(fakenode.Options{Name: "n", Service: service})
	t.Cleanup(n.Close)
	for range ports {
		a, err := n.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, a)
	}
	d = dialer()
	d.MaxConns, d.ConnectTimeout = 2, 300*ms
	return n, addresses, d
}

// A connection ahead is one idle connection: the next attempt goes by it, a second one is not opened
// beside it, and it gives way, is closed and counted like any other. Where the node drains or left, a
// descriptor is lacking, or the node is not there, nothing is held. With one address and with several.
func TestPreconnect(t *testing.T) {
	for ports := 1; ports <= 2; ports++ {
		t.Run(fmt.Sprint(ports), func(t *testing.T) {
			n, addresses, d := newListeningNode(t, ports, nil)
			p, other := d.Connect("n", addresses), d.Connect("n", addresses)
			want := func(p core.NodeClient, want policy.Status, accepted int, open int64) {
				t.Helper()
				if got := preconnectResult(t, p); got != want {
					t.Fatalf("ended as %v, want %v", got, want)
				}
				spinUntil(func() bool { return n.Counts().Conns >= accepted && d.open.Load() == open })
				if got := n.Counts().Conns; got != accepted {
					t.Fatalf("%d connections, want %d", got, accepted)
				}
			}
			p.Drain(true)
			want(p, policy.Abandoned, 0, 0)
			p.Drain(false)
			want(p, policy.OK, 1, 1)
			if ports == 1 {
				spinUntil(func() bool { d.idle.mu.Lock(); defer d.idle.mu.Unlock(); return d.idle.list.Len() == 1 })
			}
			want(p, policy.Abandoned, 1, 1)
			(&addressHarness{t: t, node: n, dialer: d, client: p}).expectServed(readText)
			want(p, policy.Abandoned, 1, 1)
			d.MaxConns = 1 // none is to spare, and an idle one does not give way to what nobody needs
			want(other, policy.Abandoned, 1, 1)
			d.MaxConns = 2
			for _, a := range addresses {
				if err := n.Set(a, fakenode.Refused); err != nil {
					t.Fatal(err)
				}
			}
			want(other, policy.ConnectFailed, 1, 1)
			p.Close()
			other.Close()
			spinUntil(func() bool { return d.open.Load() == 0 })
		})
	}
}

// Who wants a connection while one comes up ahead waits for that; all that are in use leave room for one.
func TestAttemptWaitsForPreconnect(t *testing.T) {
	release := make(chan bool)
	n, addresses, d := newListeningNode(t, 1, func(*fasthttp.Request) time.Duration { <-release; return 0 })
	d.FreeConnWait = time.Minute // no connect is late
	p := d.Connect("n", addresses)
	result := make(chan policy.Status, 2)
	p.Connect(func(s policy.Status) { result <- s })
	_, got := (&addressHarness{t: t, node: n, dialer: d, client: p}).send(readText, time.Minute)
	spinUntil(func() bool { return n.Counts().Requests == 1 })
	if s := <-result; s != policy.OK || n.Counts().Conns != 1 {
		t.Errorf("%v, %d connections for one attempt", s, n.Counts().Conns)
	}
	if s := preconnectResult(t, p); s != policy.OK { // beside the one in use
		t.Error(s)
	}
	spinUntil(func() bool { return n.Counts().Conns == 2 })
	close(release)
	if r := <-got; r.Status != policy.OK {
		t.Error(r.Status)
	}
	p.Close()
	spinUntil(func() bool { return d.open.Load() == 0 })
}

// A probe of a node that has no room says so.
func TestProbeOfFullNode(t *testing.T) {
	n := newFakeNode(t, respondWith("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	p := dialer().Connect("n", addressesOf(n.ln))
	got := make(chan core.Result, 1)
	p.CheckHealth(func(r core.Result, _ time.Duration) { got <- r })
	if r := <-got; r.Status != policy.NodeFull {
		t.Errorf("%v", r.Status)
	}
	p.Close()
}
