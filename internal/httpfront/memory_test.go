package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/transport"
)

// standInBytes is what the test's own client and node hold for a connection.
const standInBytes = 14 << 10

// heapAndStacks returns the memory in use after a collection.
func heapAndStacks() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the second one also empties the pools' older halves
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// Guards against memory that peers make the process hold and that the account does not know: for each state of a connection the
// account has at least what is in use.
func TestAccountCoversWhatPeersHold(t *testing.T) {
	const conns = 45 // the server's cap is 50
	longHeadOf := func(text string) string {
		return strings.Replace(text, "Host:", strings.Repeat("a:"+strings.Repeat("y", 60)+"\r\n", 80)+"Host:", 1)
	}
	declared := strings.Replace(validRequest, "Content-Length: 5", "Content-Length: 60000", 1)
	for name, x := range map[string]struct {
		request, response string
		kinds             []memory.Kind // that the state fills
	}{
		"silent":               {"", "", []memory.Kind{memory.ClientConnection}},
		"a part of a head":     {validRequest[:100], "", []memory.Kind{memory.Request}},
		"a head of many lines": {"PUT /x HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 95), "", []memory.Kind{memory.Request}},
		"a part of a body":     {declared + strings.Repeat("x", 50000), "", []memory.Kind{memory.Request, memory.RequestBody}},
		"awaiting a node":      {longHeadOf(validRequest), "", []memory.Kind{memory.Request}},
		"passing on":           {validRequest, longHead + strings.Repeat("x", maxBufferedBody+1), []memory.Kind{memory.Request, memory.Response, memory.NodeConnection}},
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			defer close(hold)
			account := memory.NewAccount(1 << 30)
			f := newFrontWithMemory(t, account, func(nc net.Conn) bool {
				_, _ = io.WriteString(nc, x.response)
				<-hold
				return false
			})
			before, accounted := heapAndStacks(), account.Used()
			for i := range conns {
				nc := dialFront(t, f.address)
				_, _ = io.WriteString(nc.Conn, strings.Replace(x.request, "9b1f03aa5c7e2d41", fmt.Sprintf("%016x", i), 1))
			}
			waitFor(t, func() bool { return f.srv.ln.Load().OpenCount() == conns })
			time.Sleep(300 * time.Millisecond) // until all have reached the state
			inUse, accounted := (heapAndStacks()-before)/conns, (account.Used()-accounted)/conns
			if inUse > accounted+standInBytes {
				t.Errorf("%d bytes in use for each connection, %d accounted for", inUse, accounted)
			}
			for _, kind := range x.kinds {
				if account.InUse(kind) == 0 {
					t.Errorf("nothing accounted for as %v", kind)
				}
			}
			t.Logf("%d bytes in use for each connection, %d accounted for", inUse, accounted)
		})
	}
}

// Guards against requests without an answer, or without an end, where no memory is left: they are rejected at once, and the
// connection serves again when there is memory.
func TestRequestsBeyondMemoryAreRejected(t *testing.T) {
	const holders = 4
	held := transport.HTTPConnMemory
	account := memory.NewAccount(holders*held.Request + (holders+3)*held.Open + held.Request/2)
	f := newFrontWithMemory(t, account, respondWith(okResponse))
	var stopped []frontClient
	for range holders + 2 {
		c := dialFront(t, f.address)
		_, _ = io.WriteString(c.Conn, validRequest[:100])
		stopped = append(stopped, c)
	}
	waitFor(t, func() bool { return account.Denied(memory.Request) > 0 })
	sound := dialFront(t, f.address)
	reader := bufio.NewReader(sound.Conn)
	for i := range 3 {
		start := time.Now()
		_, _ = io.WriteString(sound.Conn, strings.Replace(validRequest, "9b1f03aa5c7e2d41", fmt.Sprintf("%016x", i+1), 1))
		var r fasthttp.Response
		if err := r.Read(reader); err != nil || r.StatusCode() != fasthttp.StatusServiceUnavailable || len(r.Header.Peek("Retry-After")) == 0 {
			t.Fatalf("request %d without memory: status %d, %v", i, r.StatusCode(), err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("request %d was rejected after %v", i, took)
		}
	}
	for _, c := range stopped {
		c.Conn.Close()
	}
	waitFor(t, func() bool { return account.InUse(memory.Request) == 0 })
	_, _ = io.WriteString(sound.Conn, strings.Replace(validRequest, "9b1f03aa5c7e2d41", fmt.Sprintf("%016x", 9), 1))
	var r fasthttp.Response
	if err := r.Read(reader); err != nil || r.StatusCode() != fasthttp.StatusOK {
		t.Errorf("with memory again: status %d, %v", r.StatusCode(), err)
	}
	sound.Conn.Close()
	f.expectMemoryFree(t)
}

// Guards against heads whose parsed fields take many times their length: they get 431, also behind a sound request on the same
// connection.
func TestHeadOfManyFieldsIsRejected(t *testing.T) {
	f := newFront(t, respondWith(okResponse))
	withFields := func(id, fields int) string {
		text := strings.Replace(validRequest, "9b1f03aa5c7e2d41", fmt.Sprintf("%016x", id), 1)
		return strings.Replace(text, "Host:", strings.Repeat("a:b\r\n", fields)+"Host:", 1)
	}
	if r := f.send(t, withFields(1, 80)); r.StatusCode() != fasthttp.StatusOK {
		t.Errorf("80 more fields: status %d", r.StatusCode())
	}
	for name, text := range map[string]string{
		"first":     withFields(2, 1000),
		"unended":   strings.TrimSuffix(withFields(3, 1000), "\r\n\r\nhello"),
		"pipelined": withFields(4, 0) + withFields(5, 1000),
	} {
		c := dialFront(t, f.address)
		_, _ = io.WriteString(c.Conn, text)
		reader := bufio.NewReader(c.Conn)
		var r fasthttp.Response
		err := r.Read(reader)
		if name == "pipelined" && err == nil {
			if r.StatusCode() != fasthttp.StatusOK {
				t.Errorf("the request before: status %d", r.StatusCode())
			}
			r.Reset()
			err = r.Read(reader)
		}
		if err != nil || r.StatusCode() != fasthttp.StatusRequestHeaderFieldsTooLarge || !r.ConnectionClose() {
			t.Errorf("%s: status %d, %v", name, r.StatusCode(), err)
		}
	}
}
