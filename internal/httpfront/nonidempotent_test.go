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

// runCounter is a storage node that counts what it runs by the request's id. Its first connection breaks
// as told; a repeat would be served.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *runCounter) record(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	return l.runs[id]
}

// connFault is how a node's first connection breaks.
type connFault struct {
	closeAfterBytes int    // closed after so many bytes of the request; -1: it is read whole
	rejected        bool   // turned away unrun
	partialResponse string // what is sent of an answer once it has run, before the close
	onSecondRequest bool   // a first request on the connection is served, and the break meets the next
}

// serve keeps one connection; what is not broken is served.
func (l *runCounter) serve(nc net.Conn, b connFault, first bool) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for n := 0; ; n++ {
		breaks := first && (!b.onSecondRequest || n == 1)
		if breaks && b.closeAfterBytes >= 0 {
			_, _ = io.ReadFull(br, make([]byte, b.closeAfterBytes))
			return
		}
		var q fasthttp.Request
		if q.Read(br) != nil {
			return
		}
		if breaks && b.rejected {
			_, _ = io.WriteString(nc, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			first = false
			continue
		}
		l.record(string(q.Header.Peek("X-Request-Id")))
		if breaks {
			_, _ = io.WriteString(nc, b.partialResponse)
			return
		}
		_, _ = io.WriteString(nc, okResponse)
	}
}

// A write that must never run twice, whose connection breaks at every place: it runs once at most, goes
// again only where it proves not to have run, and is answered failed where it may have.
func TestNonIdempotentWriteRunsAtMostOnce(t *testing.T) {
	chunked := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
	for name, x := range map[string]struct {
		b       connFault
		served  bool // else failed
		perhaps bool // a break so early that the write may fail: then it has not run and may go again
	}{
		"no break":                {connFault{closeAfterBytes: -1, partialResponse: okResponse}, true, false},
		"closed at once":          {connFault{closeAfterBytes: 0}, false, true},
		"cut in the request":      {connFault{closeAfterBytes: 40}, false, true},
		"full":                    {connFault{closeAfterBytes: -1, rejected: true}, true, false},
		"no answer":               {connFault{closeAfterBytes: -1}, false, false},
		"cut in the head":         {connFault{closeAfterBytes: -1, partialResponse: okResponse[:20]}, false, false},
		"cut in the body":         {connFault{closeAfterBytes: -1, partialResponse: okResponse[:len(okResponse)-1]}, false, false},
		"cut in a chunked body":   {connFault{closeAfterBytes: -1, partialResponse: chunked}, false, false},
		"an error":                {connFault{closeAfterBytes: -1, partialResponse: "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"}, false, false},
		"a reused connection":     {connFault{closeAfterBytes: -1, onSecondRequest: true}, false, false},
		"a reused one, cut early": {connFault{closeAfterBytes: 40, onSecondRequest: true}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := &runCounter{runs: map[string]int{}}
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
					go l.serve(nc, x.b, first)
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
			ask := func(id string) core.Answer {
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
			if x.b.onSecondRequest {
				if a := ask("before"); a.Kind != core.Served {
					t.Fatalf("the request before: %+v", a)
				}
			}
			a := ask("once")
			ask("after") // whatever was to be sent again has been by now
			l.mu.Lock()
			defer l.mu.Unlock()
			said := fmt.Sprintf("answered %d %s, ran %v", a.Kind, a.Cause, l.runs)
			switch {
			case l.runs["once"] > 1:
				t.Error(said)
			case a.Kind == core.Served && l.runs["once"] != 1, a.Kind == core.Rejected:
				t.Error(said)
			case !x.perhaps && (a.Kind == core.Served) != x.served:
				t.Error(said)
			}
		})
	}
}

// A connection that comes up after the time in which a repeat may begin: nothing of it is written.
func TestRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := &runCounter{runs: map[string]int{}}
	go func() {
		for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
			go l.serve(nc, connFault{}, false)
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
		t.Errorf("ended as %v", r.Status)
	}
	b, got := attempt(t, inOneMinute())
	p.Send(b) // on the connection that came late
	if r := <-got; r.Status != policy.OK {
		t.Errorf("the next one ended as %v", r.Status)
	}
	if n := l.record(a.Request.ID) - 1; n != 1 {
		t.Errorf("%d ran, want the next one alone", n)
	}
}
