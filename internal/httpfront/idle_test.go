package httpfront

import (
	"fmt"
	"net"
	"runtime"
	"testing"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// More nodes than descriptors: each is served in turn, on the place of the longest idle
// connection, and never more are open than may be.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	n := newFakeNode(t, respondWith(okResponse))
	d := dialer()
	d.MaxConns = 3
	var peers []core.NodeClient
	for i := range 9 {
		peers = append(peers, d.Connect(fmt.Sprint("n", i), addressesOf(n.ln)))
	}
	for round := range 3 {
		for i, p := range peers {
			if r := sendOne(t, p); r.Status != policy.OK {
				t.Fatalf("round %d, node %d: %v", round, i, r.Status)
			}
			if open := d.open.Load(); open > d.MaxConns {
				t.Fatalf("%d are open of %d", open, d.MaxConns)
			}
		}
	}
	for _, p := range peers {
		p.Close()
	}
	for d.open.Load() > 0 {
		runtime.Gosched() // until all are counted out
	}
	if d.idle.list.Len() != 0 {
		t.Errorf("%d are still held as idle", d.idle.list.Len())
	}
}

// With all connections in use nothing gives way: the attempt certainly did not run.
func TestBusyConnectionsAreNotEvicted(t *testing.T) {
	n := newFakeNode(t, func(net.Conn) bool { return true }) // takes requests and says nothing
	d := dialer()
	d.MaxConns = 1
	one, other := d.Connect("one", addressesOf(n.ln)), d.Connect("other", addressesOf(n.ln))
	a, got := attempt(t, inOneMinute())
	if !one.Send(a) {
		t.Fatal("not sent")
	}
	for n.requests.Load() == 0 {
		runtime.Gosched()
	}
	if r := sendOne(t, other); r.Status != policy.ConnectFailed {
		t.Fatalf("%v", r.Status)
	}
	one.Cancel(a)
	if r := <-got; r.Status != policy.Cancelled {
		t.Fatalf("%v", r.Status)
	}
}

// A listed node that is not spoken with takes little: room by need, no timer, no connection.
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
	var peers []core.NodeClient
	for i := range nodes {
		peers = append(peers, d.Connect(fmt.Sprint("n", i), addressesOf(n.ln)))
	}
	if each := int64(memoryInUse()-before) / nodes; each > 8<<10 {
		t.Errorf("%d bytes a node", each)
	}
	for _, p := range peers {
		p.Close()
	}
}
