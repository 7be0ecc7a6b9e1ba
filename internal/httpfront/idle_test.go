package httpfront

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// There are more nodes than allowed connections. Each node is served in turn by evicting the longest idle connection, and
// the limit is never exceeded.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	n := newFakeNode(t, respondWith(okResponse))
	d := dialer()
	d.MaxConns = 3
	var clients []core.NodeClient
	for i := range 9 {
		clients = append(clients, d.Connect(fmt.Sprint("n", i), addressesOf(n.ln)))
	}
	for round := range 3 {
		for i, p := range clients {
			if r := sendOne(t, p); r.Status != policy.OK {
				t.Fatalf("round %d, node %d: attempt ended as %v", round, i, r.Status)
			}
			if open := d.open.Load(); open > d.MaxConns {
				t.Fatalf("%d connections are open, at most %d are allowed", open, d.MaxConns)
			}
		}
	}
	for _, p := range clients {
		p.Close()
	}
	for d.open.Load() > 0 {
		runtime.Gosched() // until all are removed from the count
	}
	if d.idle.list.Len() != 0 {
		t.Errorf("%d closed connections are still listed as idle", d.idle.list.Len())
	}
}

// A busy connection is not evicted: an attempt on another node ends as one that has not run.
func TestBusyConnectionsAreNotEvicted(t *testing.T) {
	n := newFakeNode(t, func(net.Conn) bool { return true }) // accepts requests and does not respond
	d := dialer()
	d.MaxConns = 1
	one, other := d.Connect("one", addressesOf(n.ln)), d.Connect("other", addressesOf(n.ln))
	a, got := attempt(t, inOneMinute())
	if !one.Send(a) {
		t.Fatal("attempt was not accepted")
	}
	for n.requests.Load() == 0 {
		runtime.Gosched()
	}
	if r := sendOne(t, other); r.Status != policy.ConnectFailed {
		t.Fatalf("attempt at the connection limit ended as %v", r.Status)
	}
	one.Cancel(a)
	if r := <-got; r.Status != policy.Cancelled {
		t.Fatalf("cancelled attempt ended as %v", r.Status)
	}
}

// A listed node without requests takes little memory: it has no timer and no connection, and allocates buffers on demand.
func TestUnusedNodesTakeLittleMemory(t *testing.T) {
	const nodes = 1024
	n := newFakeNode(t, respondWith(okResponse))
	d := dialer()
	memoryInUse := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := memoryInUse()
	var clients []core.NodeClient
	for i := range nodes {
		clients = append(clients, d.Connect(fmt.Sprint("n", i), addressesOf(n.ln)))
	}
	if each := int64(memoryInUse()-before) / nodes; each > 8<<10 {
		t.Errorf("a node without requests takes %d bytes, want at most 8 KiB", each)
	}
	for _, p := range clients {
		p.Close()
	}
}

// Guards against a process that keeps the sockets that another process of its scheduler needs: a lower limit closes idle connections
// at once, and a higher one does not exceed the process's own.
func TestLowerConnLimitClosesIdleConnections(t *testing.T) {
	n := newFakeNode(t, respondWith(okResponse))
	d := dialer()
	d.MaxConns = 6
	var clients []core.NodeClient
	for i := range 6 {
		clients = append(clients, d.Connect(fmt.Sprint("n", i), addressesOf(n.ln)))
		if r := sendOne(t, clients[i]); r.Status != policy.OK {
			t.Fatalf("node %d: attempt ended as %v", i, r.Status)
		}
	}
	waitFor(t, func() bool { d.SetMaxConns(2); return d.OpenConns() == 2 })
	for i, p := range clients {
		if r := sendOne(t, p); r.Status != policy.OK || d.OpenConns() > 2 {
			t.Errorf("node %d: attempt ended as %v, %d connections are open", i, r.Status, d.OpenConns())
		}
	}
	if d.SetMaxConns(100); d.maxConns() != d.MaxConns {
		t.Errorf("limit %d, want %d", d.maxConns(), d.MaxConns)
	}
	for _, p := range clients {
		p.Close()
	}
	waitFor(t, func() bool { return d.OpenConns() == 0 })
}
