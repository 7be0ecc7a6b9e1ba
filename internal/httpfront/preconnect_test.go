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

// spinUntil waits for a condition without sleeping.
func spinUntil(cond func() bool) {
	for !cond() {
		runtime.Gosched()
	}
}

// preconnectResult requests a preconnect, which opens a connection before any attempt needs it, and returns its result.
func preconnectResult(t *testing.T, p core.NodeClient) policy.Status {
	t.Helper()
	result := make(chan policy.Status, 2)
	if !p.Connect(func(s policy.Status) { result <- s }) {
		t.Fatal("preconnect was not accepted")
	}
	return <-result
}

// newListeningNode returns a fake node on the given number of ports, and a dialer.
func newListeningNode(t *testing.T, ports int, service func(*fasthttp.Request) time.Duration) (n *fakenode.Node, addresses []address.Addr, d *Dialer) {
	n = fakenode.New(fakenode.Options{Name: "n", ServiceTime: service})
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

// A preconnect opens one idle connection, which the next attempt uses and which is evicted, closed and counted like any
// other. No connection is opened if one is idle, the node drains or no connection is left, and none remains if the node
// refuses it. This holds for one address and for several.
func TestPreconnect(t *testing.T) {
	for ports := 1; ports <= 2; ports++ {
		t.Run(fmt.Sprint(ports), func(t *testing.T) {
			n, addresses, d := newListeningNode(t, ports, nil)
			p, other := d.Connect("n", addresses), d.Connect("n", addresses)
			want := func(p core.NodeClient, want policy.Status, accepted int, open int64) {
				t.Helper()
				if got := preconnectResult(t, p); got != want {
					t.Fatalf("preconnect ended as %v, want %v", got, want)
				}
				spinUntil(func() bool { return n.Counts().Conns >= accepted && d.open.Load() == open })
				if got := n.Counts().Conns; got != accepted {
					t.Fatalf("the node accepted %d connections, want %d", got, accepted)
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
			(&addressHarness{t: t, node: n, dialer: d, client: p}).expectServed(readRequestFormat)
			want(p, policy.Abandoned, 1, 1)
			d.MaxConns = 1 // at the limit, a preconnect does not evict an idle connection
			want(other, policy.Abandoned, 1, 1)
			d.MaxConns = 2
			for _, a := range addresses {
				if err := n.SetFault(a, fakenode.Refused); err != nil {
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

// An attempt waits for a preconnect whose dial is in progress. Busy connections do not prevent a preconnect.
func TestAttemptWaitsForPreconnect(t *testing.T) {
	release := make(chan bool)
	n, addresses, d := newListeningNode(t, 1, func(*fasthttp.Request) time.Duration { <-release; return 0 })
	d.FreeConnWait = time.Minute // no second dial is started for a slow one
	p := d.Connect("n", addresses)
	result := make(chan policy.Status, 2)
	p.Connect(func(s policy.Status) { result <- s })
	_, got := (&addressHarness{t: t, node: n, dialer: d, client: p}).send(readRequestFormat, time.Minute)
	spinUntil(func() bool { return n.Counts().Requests == 1 })
	if s := <-result; s != policy.OK || n.Counts().Conns != 1 {
		t.Errorf("preconnect ended as %v, %d connections for one attempt", s, n.Counts().Conns)
	}
	if s := preconnectResult(t, p); s != policy.OK { // in addition to the busy one
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

// A probe that the node rejects for lack of capacity ends as NodeFull.
func TestProbeOfFullNode(t *testing.T) {
	n := newFakeNode(t, respondWith("HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
	p := dialer().Connect("n", addressesOf(n.ln))
	got := make(chan core.Result, 1)
	p.CheckHealth(func(r core.Result, _ time.Duration) { got <- r })
	if r := <-got; r.Status != policy.NodeFull {
		t.Errorf("probe ended as %v", r.Status)
	}
	p.Close()
}
