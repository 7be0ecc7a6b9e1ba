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
	"wheatsaddle/internal/memory"
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
			f := newFrontWithMemory(t, memory.NewAccount(budget), x.do)
			before := liveHeap()
			for i := range requests {
				c := dialFront(t, f.address)
				putLongBody(c, i+1, x.chunked)
				c.expectResponse(t, fmt.Sprintf("request %d", i), x.code, false)
				c.Conn.Close()
			}
			f.expectMemoryFree(t)
			f.last.Store(nil) // the fake node's copy
			if grown := liveHeap() - before; grown > budget {
				t.Errorf("%d KiB more are in use after %d bodies of %d KiB, want at most the budget of %d KiB", grown>>10, requests, testBodySize>>10, budget>>10)
			}
		})
	}
}

// newFrontWithMemory starts a server whose connections, requests and bodies share an account, as do its connections to nodes.
func newFrontWithMemory(t *testing.T, account *memory.Account, do script) *frontHarness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := dialer()
	d.Memory = account
	return newFrontOn(t, ln, d, do, func(s *Server) { s.Memory = account })
}

// expectMemoryFree waits until the account is free but for connections to nodes.
func (f *frontHarness) expectMemoryFree(t *testing.T) {
	t.Helper()
	waitFor(t, func() bool { return f.srv.Memory.Used() == f.srv.Memory.InUse(memory.NodeConnection) })
}

// Guards against a share of the budget that comes back while the body is still in use: a client disconnects while its body is
// being written to a node that does not read it.
func TestBodyShareIsHeldWhileBodyIsWritten(t *testing.T) {
	release := make(chan bool)
	f := newFrontWithMemory(t, memory.NewAccount(32<<20), respondWith(okResponse))
	node := newUnreadNode(t, release)
	f.srv.Core.UpdateList(nodeListAt(node))
	c := dialFront(t, f.address)
	head, framed := putRequest(1, make([]byte, 16<<20), false, false)
	_, _ = io.WriteString(c.Conn, head)
	_, _ = c.Conn.Write(framed)
	waitFor(t, func() bool { return f.srv.Core.TableSizes().Requests == 1 })
	if got := f.srv.Memory.InUse(memory.RequestBody); got != 16<<20 {
		t.Errorf("%d bytes in use while the body is written, want %d", got, 16<<20)
	}
	c.Conn.Close() // the attempt is cancelled, and the share comes back with its end
	f.expectMemoryFree(t)
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

// The account has all of a body's segments, not only the bytes that have arrived, and nothing of what is only declared.
func TestBodyAcquiresItsSegments(t *testing.T) {
	for _, declared := range []int{-1, 8 << 20} {
		account := memory.NewAccount(maxRequestBody)
		body := newRequestBody(account, declared)
		for body.size < 4<<20 {
			space, err := body.space()
			if err != nil {
				t.Fatal(err)
			}
			body.received(len(space))
			allocated := 0
			for _, segment := range body.segments {
				allocated += cap(segment)
			}
			if account.InUse(memory.RequestBody) != int64(allocated) || allocated > body.size {
				t.Fatalf("segments of %d bytes for %d bytes have acquired %d", allocated, body.size, account.InUse(memory.RequestBody))
			}
		}
		if body.release(); account.Used() != 0 {
			t.Errorf("%d bytes in use after the release", account.Used())
		}
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
