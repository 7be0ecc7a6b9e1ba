package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/policy"
)

// startNode starts a storage node that calls serve for each connection, and closes the connection after that.
func startNode(t *testing.T, serve func(net.Conn)) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer nc.Close()
				serve(nc)
			}()
		}
	}()
	return ln
}

// newEchoNode starts a storage node that responds to each request with the request's body.
func newEchoNode(t *testing.T) net.Listener {
	t.Helper()
	return startNode(t, func(nc net.Conn) {
		br, bw := bufio.NewReader(nc), bufio.NewWriter(nc)
		for {
			var q fasthttp.Request
			if q.Read(br) != nil {
				return
			}
			fmt.Fprintf(bw, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(q.Body()))
			_, _ = bw.Write(q.Body())
			if bw.Flush() != nil {
				return
			}
		}
	})
}

// nodeListAt returns an endpoint list that moves the server's only node to another address.
func nodeListAt(ln net.Listener) core.ListUpdate {
	return core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addressesOf(ln)}}}
}

// putRequest returns a write request with the given body, framed by length or chunked, optionally with
// Expect: 100-continue.
func putRequest(id int, body []byte, chunked, expect bool) (head string, framed []byte) {
	head = strings.Replace(validRequest, "9b1f03aa5c7e2d41", fmt.Sprintf("%016x", id), 1)
	head = strings.TrimSuffix(head, "hello")
	if expect {
		head = strings.Replace(head, "Content-Length: 5\r\n", "Expect: 100-continue\r\nContent-Length: 5\r\n", 1)
	}
	if !chunked {
		return strings.Replace(head, "Content-Length: 5", fmt.Sprintf("Content-Length: %d", len(body)), 1), body
	}
	head = strings.Replace(head, "Content-Length: 5", "Transfer-Encoding: chunked", 1)
	var b bytes.Buffer
	for rest := body; len(rest) > 0; {
		n := min(len(rest), 50000)
		fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	b.WriteString("0\r\n\r\n")
	return head, b.Bytes()
}

// Many long bodies are sent at once, in pieces of random length, and exceed the body memory. Each request either gets
// its body back unchanged, or is rejected at once with Retry-After.
func TestLongBodiesShareBodyMemory(t *testing.T) {
	const size, writes = 2 << 20, 12
	f := newFrontWithMemory(t, memory.NewAccount(9<<20), respondWith(okResponse)) // for three or four bodies at a time
	f.dialer.ConnIdle = time.Minute
	nodes := newEchoNode(t)
	f.srv.Core.UpdateList(nodeListAt(nodes))
	var mu sync.Mutex
	counts := map[int]int{}
	var all sync.WaitGroup
	for i := range writes {
		all.Add(1)
		go func() {
			defer all.Done()
			rng := rand.New(rand.NewPCG(uint64(i), 7))
			body := make([]byte, size)
			for k := range body {
				body[k] = byte(rng.IntN(256))
			}
			head, framed := putRequest(i+1, body, i%2 == 1, i%3 == 0)
			nc, err := net.Dial("tcp", f.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			_, _ = io.WriteString(nc, head)
			br := bufio.NewReader(nc)
			if i%3 == 0 { // wait for 100 Continue
				line, _ := br.ReadString('\n')
				_, _ = br.ReadString('\n')
				if !strings.HasPrefix(line, "HTTP/1.1 100") {
					t.Errorf("request %d: got %q before the body, want 100 Continue", i, line)
					return
				}
			}
			go func() { // in pieces of random length, with pauses
				for rest := framed; len(rest) > 0; {
					n := min(len(rest), 1+rng.IntN(300000))
					if _, err := nc.Write(rest[:n]); err != nil {
						return
					}
					rest = rest[n:]
					time.Sleep(time.Duration(rng.IntN(3)) * time.Millisecond)
				}
			}()
			var r fasthttp.Response
			if err := r.Read(br); err != nil {
				t.Errorf("request %d: no response: %v", i, err)
				return
			}
			mu.Lock()
			counts[r.StatusCode()]++
			mu.Unlock()
			switch {
			case r.StatusCode() == 200 && !bytes.Equal(r.Body(), body):
				t.Errorf("request %d: %d bytes came back, which differ from the %d sent", i, len(r.Body()), size)
			case r.StatusCode() == 503 && len(r.Header.Peek("Retry-After")) == 0:
				t.Errorf("request %d: rejected without Retry-After", i)
			case r.StatusCode() != 200 && r.StatusCode() != 503:
				t.Errorf("request %d: status %d, body %q, want status 200 or 503", i, r.StatusCode(), r.Body())
			}
		}()
	}
	all.Wait()
	if counts[200] == 0 {
		t.Fatalf("no request was served, responses by status: %v", counts)
	}
	waitFor(t, func() bool { return f.srv.Memory.InUse(memory.RequestBody) == 0 }) // after every write was answered
	t.Logf("responses by status: %v", counts)
}

// A body that arrives slowly but steadily, at 64 kB per second in pieces, is read to its end, even if that takes longer than
// readTimeout. A body that stalls is answered with status 408 and the connection is closed.
func TestSlowAndStalledBodies(t *testing.T) {
	f := newFrontWithMemory(t, memory.NewAccount(1<<20), respondWith(okResponse))
	body := bytes.Repeat([]byte("x"), 200<<10)
	head, framed := putRequest(1, body, false, false)
	nc, err := net.Dial("tcp", f.address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_, _ = io.WriteString(nc, head)
	for rest := framed; len(rest) > 0; {
		n := min(len(rest), 6400)
		_, _ = nc.Write(rest[:n])
		rest = rest[n:]
		time.Sleep(100 * time.Millisecond) // 3.2 s in all
	}
	var r fasthttp.Response
	if err := r.Read(bufio.NewReader(nc)); err != nil || r.StatusCode() != 200 {
		t.Fatalf("steady body: status %d, %v", r.StatusCode(), err)
	}
	short, shortFramed := putRequest(2, body[:30], false, false)
	for _, x := range []struct {
		head   string
		framed []byte
		cut    int
	}{{short, shortFramed, 10}, {head, framed, 100 << 10}} { // the body stalls within the part that fasthttp reads, and after it
		stalled, err := net.Dial("tcp", f.address)
		if err != nil {
			t.Fatal(err)
		}
		defer stalled.Close() //nolint:gocritic // all are closed at the end of the test
		_, _ = io.WriteString(stalled, x.head)
		_, _ = stalled.Write(x.framed[:x.cut])
		r.Reset()
		if err := r.Read(bufio.NewReader(stalled)); err != nil || r.StatusCode() != 408 || !r.ConnectionClose() {
			t.Fatalf("body that stalls after %d bytes: status %d, %v", x.cut, r.StatusCode(), err)
		}
	}
}

// A truncated body is an error and is never taken for a complete one, whether it ends within the part that fasthttp reads or
// after it, with Content-Length and chunked.
func TestTruncatedBodiesAreErrors(t *testing.T) {
	got := make(chan int, 1) // length of a body read without error; -1: an error
	srv := &fasthttp.Server{StreamRequestBody: true, ReadBufferSize: maxHeadSize, MaxRequestBodySize: maxRequestBody,
		Handler: func(ctx *fasthttp.RequestCtx) {
			n := -1
			if h, err := readBody(ctx, nil); err == nil {
				n = h.size
			}
			got <- n
		},
		ErrorHandler: func(*fasthttp.RequestCtx, error) { got <- -1 }}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() { _ = srv.Serve(ln) }()
	body := bytes.Repeat([]byte("x"), 200<<10)
	for _, chunked := range []bool{false, true} {
		head, framed := putRequest(1, body, chunked, false)
		for _, cut := range []int{10, 5000, 60 << 10, 100 << 10, len(framed) - 1, len(framed)} {
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.WriteString(nc, head)
			_, _ = nc.Write(framed[:cut])
			_ = nc.(*net.TCPConn).CloseWrite()
			want := -1
			if cut == len(framed) {
				want = len(body)
			}
			if n := <-got; n != want {
				t.Errorf("truncated after %d of %d bytes, chunked %v: read as a body of %d bytes", cut, len(framed), chunked, n)
			}
			nc.Close()
		}
	}
}
