package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// runCounter is a storage node that counts executions by request id. Its first connection breaks as configured;
// a retry would be served.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (node *runCounter) countRun(id string) int {
	node.mu.Lock()
	defer node.mu.Unlock()
	node.runs[id]++
	return node.runs[id]
}

// connFault describes how a node's first connection breaks.
type connFault struct {
	closeAfterBytes int    // the node closes after this number of request bytes; -1: it reads the complete request
	rejected        bool   // the node rejects the request without running it
	partialResponse string // what the node sends of the response after running the request, before it closes
	onSecondRequest bool   // the first request on the connection is served, the second one meets the fault
}

// serve serves one connection, with the fault if it is the first one.
func (node *runCounter) serve(nc net.Conn, fault connFault, first bool) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		breaks := first && (!fault.onSecondRequest || n == 1)
		if breaks && fault.closeAfterBytes >= 0 {
			_, _ = io.ReadFull(br, make([]byte, fault.closeAfterBytes))
			return
		}
		var q fasthttp.Request
		if q.Read(br) != nil {
			return
		}
		if breaks && fault.rejected {
			_, _ = io.WriteString(nc, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			first = false
			continue
		}
		node.countRun(string(q.Header.Peek("X-Request-Id")))
		if breaks {
			_, _ = io.WriteString(nc, fault.partialResponse)
			return
		}
		_, _ = io.WriteString(nc, okResponse)
	}
}

// A non-idempotent write whose connection breaks at any point runs at most once. It is retried only if it certainly has not
// run, and fails if it may have run.
func TestNonIdempotentWriteRunsAtMostOnce(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
	for name, x := range map[string]struct {
		fault         connFault
		served        bool // otherwise failed
		eitherOutcome bool // the fault is so early that the write may fail; if so, it has not run and may be retried
	}{
		"complete response":                       {connFault{closeAfterBytes: -1, partialResponse: okResponse}, true, false},
		"closed before the request":               {connFault{closeAfterBytes: 0}, false, true},
		"closed within the request":               {connFault{closeAfterBytes: 40}, false, true},
		"rejected as full":                        {connFault{closeAfterBytes: -1, rejected: true}, true, false},
		"no response":                             {connFault{closeAfterBytes: -1}, false, false},
		"response truncated in its head":          {connFault{closeAfterBytes: -1, partialResponse: okResponse[:20]}, false, false},
		"response truncated in its body":          {connFault{closeAfterBytes: -1, partialResponse: okResponse[:len(okResponse)-1]}, false, false},
		"response truncated in its chunked body":  {connFault{closeAfterBytes: -1, partialResponse: chunked}, false, false},
		"error response":                          {connFault{closeAfterBytes: -1, partialResponse: "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, false, false},
		"no response on a reused connection":      {connFault{closeAfterBytes: -1, onSecondRequest: true}, false, false},
		"reused connection closed within request": {connFault{closeAfterBytes: 40, onSecondRequest: true}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			node := &runCounter{runs: map[string]int{}}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for first := true; ; first = false {
					nc, err := ln.Accept()
					if err != nil {
						return
					}
					go node.serve(nc, x.fault, first)
				}
			}()
			set := testSettings()
			set.MaxAttempts = 4
			set.Classes[1].Effect = policy.NonIdempotent
			log, _ := logtest.NewNullLogger()
			c, err := core.New(core.Options{Settings: set, Seed: 1, NewNodeClient: dialer().Connect, Log: log})
			if err != nil {
				t.Fatal(err)
			}
			defer c.Stop()
			c.UpdateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addressesOf(ln)}}})
			send := func(id string) core.Answer {
				var m fasthttp.Request
				text := strings.Replace(validRequest, "9b1f03aa5c7e2d41", id, 1)
				if err := m.Read(bufio.NewReader(strings.NewReader(text))); err != nil {
					t.Fatal(err)
				}
				r, err := decode(&m, &bounds{maxUnits: 1e6})
				if err != nil {
					t.Fatal(err)
				}
				got := make(chan core.Answer, 4)
				r.ReceivedAt, r.Answer = time.Now(), func(a core.Answer) { got <- a }
				c.Submit(r)
				return <-got
			}
			if x.fault.onSecondRequest {
				if a := send("before"); a.Kind != core.Served {
					t.Fatalf("first request on the connection: %+v", a)
				}
			}
			a := send("once")
			send("after") // once it has its answer, any retry of the write has been sent
			node.mu.Lock()
			defer node.mu.Unlock()
			summary := fmt.Sprintf("write got answer kind %d, cause %q; executions by request id: %v", a.Kind, a.Cause, node.runs)
			switch {
			case node.runs["once"] > 1:
				t.Error(summary)
			case a.Kind == core.Served && node.runs["once"] != 1, a.Kind == core.Rejected:
				t.Error(summary)
			case !x.eitherOutcome && (a.Kind == core.Served) != x.served:
				t.Error(summary)
			}
		})
	}
}

// If the connection is established only after the end of a retry's deduplication window, nothing of the retry is written.
func TestRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	node := &runCounter{runs: map[string]int{}}
	go func() {
		for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
			go node.serve(nc, connFault{}, false)
		}
	}()
	a, got := attempt(t, inOneMinute())
	a.StartBy = time.Now().Add(100 * time.Millisecond)
	d := dialer()
	d.dial = func(ctx context.Context, to address.Addr, wait time.Duration) (transport.Stream, address.Reason, error) {
		time.Sleep(time.Until(a.StartBy) + time.Millisecond)
		return transport.Dial(ctx, to, wait)
	}
	p := d.Connect("n", addressesOf(ln))
	defer p.Close()
	p.Send(a)
	if r := <-got; r.Status != policy.Abandoned {
		t.Errorf("retry ended as %v", r.Status)
	}
	b, got := attempt(t, inOneMinute())
	p.Send(b) // uses the connection that was established late
	if r := <-got; r.Status != policy.OK {
		t.Errorf("next attempt ended as %v", r.Status)
	}
	if n := node.countRun(a.Request.ID) - 1; n != 1 {
		t.Errorf("%d attempts ran, want only the next one", n)
	}
}
