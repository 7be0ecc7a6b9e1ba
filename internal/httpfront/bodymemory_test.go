package httpfront

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"weak"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

const testBodySize = 1 << 20

// putLongBody writes a request with a body of testBodySize on the connection.
func putLongBody(c frontClient, id int, chunked bool) {
	head, framed := putRequest(id, bytes.Repeat([]byte("x"), testBodySize), chunked, false)
	_, _ = io.WriteString(c.Conn, head)
	_, _ = c.Conn.Write(framed)
}

// liveHeap returns the bytes of the heap that are reachable.
func liveHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the second one also empties the pools' older halves
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against bodies that stay in memory until their deadline, a minute here, while their share of the budget is used
// again: 32 MiB went through a budget of 4 MiB and all of them stayed.
func TestBodiesOfEndedRequestsAreFree(t *testing.T) {
	const requests, budget = 32, 4 << 20
	refusal := "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n"
	for name, x := range map[string]struct {
		do      script
		code    int
		chunked bool
	}{
		"served":          {respondWith(okResponse), fasthttp.StatusOK, false},
		"served, chunked": {respondWith(okResponse), fasthttp.StatusOK, true},
		"failed":          {respondWith(refusal), fasthttp.StatusBadRequest, false},
		"reset":           {func(net.Conn) bool { return false }, fasthttp.StatusBadGateway, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFront(t, x.do)
			f.srv.BodyMemory = NewMemoryBudget(budget)
			before := liveHeap()
			for i := range requests {
				c := dialFront(t, f.address)
				putLongBody(c, i+1, x.chunked)
				c.expectResponse(t, fmt.Sprintf("request %d", i), x.code, false)
				c.Conn.Close()
			}
			f.expectBodyMemoryFree(t)
			f.last.Store(nil) // the fake node's copy
			if grown := liveHeap() - before; grown > budget {
				t.Errorf("%d KiB more are in use after %d bodies of %d KiB, want at most the budget of %d KiB", grown>>10, requests, testBodySize>>10, budget>>10)
			}
		})
	}
}

// expectBodyMemoryFree waits until the whole budget is free.
func (f *frontHarness) expectBodyMemoryFree(t *testing.T) {
	t.Helper()
	waitFor(t, func() bool { return f.srv.BodyMemory.InUse() == 0 })
}

// Guards against a share of the budget that comes back while the body is still in use: a client disconnects while its body is
// being written to a node that does not read it.
func TestBodyShareIsHeldWhileBodyIsWritten(t *testing.T) {
	release := make(chan bool)
	f := newFront(t, respondWith(okResponse))
	f.srv.BodyMemory = NewMemoryBudget(32 << 20)
	node := newUnreadNode(t, release)
	f.srv.Core.UpdateList(nodeListAt(node))
	c := dialFront(t, f.address)
	head, framed := putRequest(1, make([]byte, 16<<20), false, false)
	_, _ = io.WriteString(c.Conn, head)
	_, _ = c.Conn.Write(framed)
	waitFor(t, func() bool { return f.srv.Core.TableSizes().Requests == 1 })
	if got := f.srv.BodyMemory.InUse(); got != 16<<20 {
		t.Errorf("%d bytes in use while the body is written, want %d", got, 16<<20)
	}
	c.Conn.Close() // the attempt is cancelled, and the share comes back with its end
	f.expectBodyMemoryFree(t)
	if left := f.srv.Core.TableSizes(); left.Requests != 0 {
		t.Errorf("the share came back while an attempt was outstanding: %+v", left)
	}
	close(release)
}

// newUnreadNode starts a storage node that accepts connections and reads nothing until release is closed.
func newUnreadNode(t *testing.T, release <-chan bool) net.Listener {
	t.Helper()
	return startNode(t, func(net.Conn) { <-release })
}

// The budget covers the whole buffer of a chunked body, not only the bytes that have arrived.
func TestChunkedBodyAcquiresItsBuffer(t *testing.T) {
	budget := NewMemoryBudget(maxRequestBody)
	memory := &bodyMemory{budget: budget, size: -1}
	var body []byte
	for len(body) < 4<<20 {
		grown, err := extendBody(body, memory)
		if err != nil {
			t.Fatal(err)
		}
		if size := int64(cap(grown)); size > maxBufferedBody && budget.InUse() < size {
			t.Fatalf("a buffer of %d bytes has acquired %d", size, budget.InUse())
		}
		body = grown[:cap(grown)]
	}
	if memory.release(); budget.InUse() != 0 {
		t.Errorf("%d bytes in use after the release", budget.InUse())
	}
}

// sendAndForget has a node carry an attempt and returns a weak pointer to it.
func sendAndForget(t *testing.T, p core.NodeClient, id int) weak.Pointer[core.Attempt] {
	a, got := attemptOf(t, strings.Replace(validRequest, "9b1f03aa5c7e2d41", fmt.Sprintf("%016x", id), 1), inOneMinute())
	p.Send(a)
	if r := <-got; r.Status != policy.OK {
		t.Fatalf("attempt ended with status %d", r.Status)
	}
	return weak.Make(a)
}

// Guards against a storage node's actor that keeps its last attempts in memory until its next message: with many nodes that
// are seldom used, each kept the bodies of its last batch.
func TestIdleNodeKeepsNoAttempt(t *testing.T) {
	const attempts = 5
	n := newFakeNode(t, respondWith(okResponse))
	p := dialer().Connect("n", addressesOf(n.ln))
	defer p.Close()
	var ended []weak.Pointer[core.Attempt]
	for i := range attempts {
		ended = append(ended, sendAndForget(t, p, i+1))
	}
	waitFor(t, func() bool {
		runtime.GC()
		for _, a := range ended {
			if a.Value() != nil {
				return false
			}
		}
		return true
	})
}

// The budget counts what is acquired and refuses what is not free.
func TestMemoryBudget(t *testing.T) {
	b := NewMemoryBudget(100)
	if !b.tryAcquire(60) || b.tryAcquire(41) || b.InUse() != 60 || b.Size() != 100 {
		t.Errorf("%d of %d bytes in use, want 60 of 100", b.InUse(), b.Size())
	}
	if b.release(60); !b.tryAcquire(100) {
		t.Error("released bytes are not free")
	}
}
