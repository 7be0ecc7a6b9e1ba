package httpfront

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// Races on the connections to a node: each test pauses one side until the other one has acted.

// pausableStream is a connection whose socket checks and writes a test can pause. The actor checks the socket when it chooses the
// connection, and the connection's goroutine checks it right before it writes.
type pausableStream struct {
	transport.Stream
	pauser *operationPauser
}

// operationPauser pauses one socket check or write, counted from 1 over all connections of a dialer.
type operationPauser struct {
	mu        sync.Mutex
	count     int
	pauseAt   int                  // number of the operation to pause; 0: none
	paused    chan *pausableStream // receives the connection that is paused
	resume    chan struct{}        // closed to let it continue
	dialCount atomic.Int64         // number of successful dials
}

// SyscallConn implements syscall.Conn.
func (s *pausableStream) SyscallConn() (syscall.RawConn, error) {
	s.pauser.pass(s)
	return s.Stream.SyscallConn()
}

// Write implements net.Conn.
func (s *pausableStream) Write(p []byte) (int, error) {
	s.pauser.pass(s)
	return s.Stream.Write(p)
}

func (o *operationPauser) pass(stream *pausableStream) {
	o.mu.Lock()
	o.count++
	stop := o.count == o.pauseAt
	o.mu.Unlock()
	if stop {
		o.paused <- stream
		<-o.resume
	}
}

// pauseSecond pauses the second operation from now on.
func (o *operationPauser) pauseSecond() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pauseAt = o.count + 2
}

// newPausableDialer returns a dialer whose connections can be paused.
func newPausableDialer() (*Dialer, *operationPauser) {
	pauser := &operationPauser{paused: make(chan *pausableStream, 1), resume: make(chan struct{})}
	d := dialer()
	d.dial = func(ctx context.Context, a address.Addr, wait time.Duration) (transport.Stream, address.Reason, error) {
		s, reason, err := transport.Dial(ctx, a, wait)
		if err != nil {
			return nil, reason, err
		}
		pauser.dialCount.Add(1)
		return &pausableStream{s, pauser}, 0, nil
	}
	return d, pauser
}

// idNode is a node that responds to each request with the request's id and keeps the connections open.
type idNode struct {
	mu       sync.Mutex
	conns    []net.Conn // in the order of their first requests
	arrivals map[string]int
}

func newIDNode(t *testing.T) (*idNode, []address.Addr) {
	s := &idNode{arrivals: map[string]int{}}
	addresses := s.listen(t)
	return s, addresses
}

// listen makes the node accept connections at one more address.
func (s *idNode) listen(t *testing.T) []address.Addr {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
			go s.serve(nc)
		}
	}()
	return addressesOf(ln)
}

func (s *idNode) serve(nc net.Conn) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for first := true; ; first = false {
		var q fasthttp.Request
		if q.Read(br) != nil {
			return
		}
		id := string(q.Header.Peek("X-Request-Id"))
		s.mu.Lock()
		s.arrivals[id]++
		if first {
			s.conns = append(s.conns, nc)
		}
		s.mu.Unlock()
		_, _ = io.WriteString(nc, responseWithBody(id))
	}
}

func (s *idNode) arrivalCount(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[id]
}

// writeUnsolicited writes text to the first connection without a request.
func (s *idNode) writeUnsolicited(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.conns[0], text)
}

// closeFirstConn closes the first connection.
func (s *idNode) closeFirstConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[0].Close()
}

func responseWithBody(id string) string {
	var r fasthttp.Response
	r.SetBodyString(id)
	return r.String()
}

// attemptWithID returns an attempt of a write request with the given id.
func attemptWithID(t *testing.T, id string) (*core.Attempt, chan core.Result) {
	return attemptOf(t, strings.Replace(validRequest, "9b1f03aa5c7e2d41", id, 1), inOneMinute())
}

func expectServed(t *testing.T, p core.NodeClient, id string) {
	t.Helper()
	a, got := attemptWithID(t, id)
	p.Send(a)
	if r := <-got; r.Status != policy.OK || string(r.Payload.(*nodeResponse).body) != id {
		t.Fatalf("attempt %s ended as %v", id, r.Status)
	}
}

// expectNothingLeft checks that a node client has no open connections once it is closed, and that no attempt ended twice.
func expectNothingLeft(t *testing.T, d *Dialer, p core.NodeClient, results ...chan core.Result) {
	t.Helper()
	p.Close()
	waitFor(t, func() bool { return d.open.Load() == 0 })
	for _, got := range results {
		if len(got) > 0 {
			t.Errorf("attempt ended a second time, as %+v", <-got)
		}
	}
}

// clientKinds returns the two kinds of client of one node: with one address, and with several addresses and a selector.
func clientKinds(d *Dialer, to []address.Addr) map[string]func() core.NodeClient {
	withSecond := func() []address.Addr { // with a second address that is not used while the first one works
		other, err := address.Parse("127.0.0.1:1")
		if err != nil {
			panic(err)
		}
		return append(to, other)
	}
	return map[string]func() core.NodeClient{
		"one address":       func() core.NodeClient { return d.Connect("n", to) },
		"several addresses": func() core.NodeClient { return d.Connect("n", withSecond()) },
	}
}

// waitForInput waits until bytes or the end of the connection have arrived.
func waitForInput(t *testing.T, stream *pausableStream) {
	t.Helper()
	waitFor(t, func() bool { return !transport.IsReusable(stream.Stream) })
}

// After the actor chooses an idle connection, and before the first byte of the request, a second response to the
// previous request, garbage or the end of the connection arrives. It is not taken for the response, nothing is written
// to the connection, and the request is sent once, over another connection.
func TestIdleConnectionIsCheckedBeforeWrite(t *testing.T) {
	for event, cause := range map[string]func(s *idNode){
		"second response": func(s *idNode) { s.writeUnsolicited(responseWithBody("first")) },
		"partial line":    func(s *idNode) { s.writeUnsolicited("HTTP/1.1 20") },
		"close":           func(s *idNode) { s.closeFirstConn() },
	} {
		for kind := range clientKinds(nil, nil) {
			t.Run(event+"/"+kind, func(t *testing.T) {
				s, to := newIDNode(t)
				d, pauser := newPausableDialer()
				p := clientKinds(d, to)[kind]()
				expectServed(t, p, "first")
				pauser.pauseSecond() // the first check is the actor's
				a, got := attemptWithID(t, "second")
				p.Send(a)
				stream := <-pauser.paused
				cause(s)
				waitForInput(t, stream)
				close(pauser.resume)
				r := <-got
				if r.Status != policy.OK || string(r.Payload.(*nodeResponse).body) != "second" {
					t.Errorf("attempt ended as %+v", r)
				}
				if s.arrivalCount("second") != 1 || pauser.dialCount.Load() != 2 {
					t.Errorf("request arrived %d times, %d connections were dialled, want 1 and 2", s.arrivalCount("second"), pauser.dialCount.Load())
				}
				expectNothingLeft(t, d, p, got)
			})
		}
	}
}

// The chosen connection becomes unusable, and at the same time the attempt is cancelled or the node drains or is removed.
// The attempt ends once, as one that has not run, and nothing of it is written.
func TestUnusableConnectionWithCancelOrDrain(t *testing.T) {
	for event, x := range map[string]struct {
		do   func(p core.NodeClient, a *core.Attempt)
		want policy.Status
	}{
		"cancelled": {func(p core.NodeClient, a *core.Attempt) { p.Cancel(a) }, policy.Cancelled},
		"drained":   {func(p core.NodeClient, _ *core.Attempt) { p.Drain(true) }, policy.ConnectFailed},
		"removed":   {func(p core.NodeClient, _ *core.Attempt) { p.Drain(true); p.Close() }, policy.ConnectFailed},
	} {
		for kind := range clientKinds(nil, nil) {
			t.Run(event+"/"+kind, func(t *testing.T) {
				s, to := newIDNode(t)
				d, pauser := newPausableDialer()
				p := clientKinds(d, to)[kind]()
				expectServed(t, p, "first")
				pauser.pauseSecond()
				a, got := attemptWithID(t, "second")
				p.Send(a)
				stream := <-pauser.paused
				s.writeUnsolicited(responseWithBody("first"))
				waitForInput(t, stream)
				x.do(p, a)
				close(pauser.resume)
				if r := <-got; r.Status != x.want {
					t.Errorf("attempt ended as %+v", r)
				}
				if s.arrivalCount("second") != 0 {
					t.Error("the attempt was written")
				}
				expectNothingLeft(t, d, p, got)
			})
		}
	}
}

// The chosen connection becomes unusable, and at the same time the node's address changes. The attempt goes to the new
// address, and the connection to the old one is removed from the counts.
func TestUnusableConnectionWithNewAddress(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			s, to := newIDNode(t)
			next := s.listen(t)
			d, pauser := newPausableDialer()
			p := clientKinds(d, to)[kind]()
			expectServed(t, p, "first")
			pauser.pauseSecond()
			a, got := attemptWithID(t, "second")
			p.Send(a)
			stream := <-pauser.paused
			s.writeUnsolicited(responseWithBody("first"))
			waitForInput(t, stream)
			p.SetAddresses(next)
			close(pauser.resume)
			if r := <-got; r.Status != policy.OK || string(r.Payload.(*nodeResponse).body) != "second" || s.arrivalCount("second") != 1 {
				t.Errorf("attempt ended as %+v, arrived %d times", r, s.arrivalCount("second"))
			}
			expectNothingLeft(t, d, p, got)
		})
	}
}

// An attempt whose connection became unusable is cancelled while it waits for the replacement. It ends although the dial
// still hangs.
func TestCancelWhileReplacementConnectionDials(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			s, to := newIDNode(t)
			d, pauser := newPausableDialer()
			d.ConnectTimeout = time.Hour
			dial, dialStarted, resume := d.dial, make(chan bool, 64), make(chan struct{})
			p := clientKinds(d, to)[kind]()
			expectServed(t, p, "first")
			pauser.pauseSecond()
			a, got := attemptWithID(t, "second")
			p.Send(a)
			stream := <-pauser.paused
			// The actor next reads d.dial after it has taken the attempt back.
			d.dial = func(_ context.Context, to address.Addr, wait time.Duration) (transport.Stream, address.Reason, error) {
				dialStarted <- true
				<-resume
				return dial(context.Background(), to, wait)
			}
			s.writeUnsolicited(responseWithBody("first"))
			waitForInput(t, stream)
			close(pauser.resume)
			<-dialStarted
			p.Cancel(a)
			select {
			case r := <-got:
				if r.Status != policy.Cancelled {
					t.Errorf("attempt ended as %+v", r)
				}
			case <-time.After(10 * time.Second): // expires only if the cancel does not end the attempt
				t.Error("cancelled attempt still waits for its dial")
			}
			close(resume)
			expectServed(t, p, "third")
			if s.arrivalCount("second") != 0 {
				t.Error("the attempt was written")
			}
			expectNothingLeft(t, d, p, got)
		})
	}
}

// If the node starts to drain between the actor's choice of a connection and the first byte, nothing is written.
func TestDrainBeforeFirstByte(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			s, to := newIDNode(t)
			d, pauser := newPausableDialer()
			p := clientKinds(d, to)[kind]()
			expectServed(t, p, "first")
			pauser.pauseSecond()
			a, got := attemptWithID(t, "second")
			p.Send(a)
			<-pauser.paused
			p.Drain(true)
			close(pauser.resume)
			if r := <-got; r.Status != policy.ConnectFailed || s.arrivalCount("second") != 0 {
				t.Errorf("attempt ended as %+v, arrived %d times", r, s.arrivalCount("second"))
			}
			p.Drain(false)
			expectServed(t, p, "third")
			p.Drain(true)
			p.Drain(false)
			p.Drain(true) // three changes in a row
			b, got := attemptWithID(t, "fourth")
			p.Send(b)
			if r := <-got; r.Status != policy.ConnectFailed || s.arrivalCount("fourth") != 0 {
				t.Errorf("draining again: attempt ended as %+v, arrived %d times", r, s.arrivalCount("fourth"))
			}
			expectNothingLeft(t, d, p, got)
		})
	}
}

// If the node starts to drain while one or several dials are in progress, the attempts that wait for them end at once as
// attempts that have not run, and nothing is written when the dials succeed.
func TestDrainDuringSlowDials(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			s, to := newIDNode(t)
			d, pauser := newPausableDialer()
			d.ConnectTimeout = time.Hour // so that only the drain ends the attempts
			dial, dialStarted, resume := d.dial, make(chan bool, 64), make(chan struct{})
			d.dial = func(_ context.Context, a address.Addr, wait time.Duration) (transport.Stream, address.Reason, error) {
				dialStarted <- true
				<-resume // succeeds late, even if it was cancelled
				return dial(context.Background(), a, wait)
			}
			p := clientKinds(d, to)[kind]()
			var results []chan core.Result
			for _, id := range []string{"one", "another"} {
				a, got := attemptWithID(t, id)
				p.Send(a)
				results = append(results, got)
			}
			<-dialStarted
			p.Drain(true)
			for _, got := range results {
				select {
				case r := <-got:
					if r.Status != policy.ConnectFailed {
						t.Errorf("attempt ended as %+v", r)
					}
				case <-time.After(10 * time.Second): // expires only if the drain does not end the attempt
					t.Error("attempt still waits for a dial to a draining node")
				}
			}
			close(resume)
			waitFor(t, func() bool { return pauser.dialCount.Load() > 0 })
			p.Drain(false)
			expectServed(t, p, "after")
			if n := s.arrivalCount("one") + s.arrivalCount("another"); n != 0 {
				t.Errorf("%d attempts were written although the node drained during their dials", n)
			}
			expectNothingLeft(t, d, p, results...)
		})
	}
}

// newLongWrite returns an attempt of a write that is larger than the socket buffers.
func newLongWrite(t *testing.T) (*core.Attempt, chan core.Result, int) {
	const size = 32 << 20
	a, got := attempt(t, time.Now().Add(8*time.Second))
	c := a.Request.Payload.(*nodeRequest)
	c.body = &requestBody{segments: [][]byte{make([]byte, size)}, size: size}
	return a, got, size
}

// newSlowReader returns a node that accepts connections and passes them to the test, which reads from them.
func newSlowReader(t *testing.T) (to []address.Addr, accepted chan *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	accepted = make(chan *net.TCPConn, 64)
	go func() {
		for nc, err := ln.Accept(); err == nil; nc, err = ln.Accept() {
			accepted <- nc.(*net.TCPConn)
		}
	}()
	return addressesOf(ln), accepted
}

// A node reads a retry so slowly that its last byte would be written after the deduplication window. That byte is
// never written, and the attempt ends as one that has not run.
func TestLastByteOfRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			to, accepted := newSlowReader(t)
			d := dialer()
			p := clientKinds(d, to)[kind]()
			a, got, size := newLongWrite(t)
			a.StartBy = time.Now().Add(time.Second)
			p.Send(a)
			nc := <-accepted
			defer nc.Close()
			br := bufio.NewReader(nc)
			if _, err := br.Peek(1); err != nil {
				t.Fatal("the write has not begun: ", err)
			}
			time.Sleep(time.Until(a.StartBy) + time.Millisecond) // the node continues to read only now
			if n, _ := io.Copy(io.Discard, br); n >= int64(size) {
				t.Errorf("%d bytes arrived, want less than the whole request", n)
			}
			if r := <-got; r.Status != policy.Abandoned {
				t.Errorf("attempt ended as %+v", r)
			}
			expectNothingLeft(t, d, p, got)
		})
	}
}

// A write over 64 KiB whose connection is reset after a part of it has arrived has not run, as its last byte was never
// written. If the reset follows the whole write, it may have run.
func TestLongWriteIsReset(t *testing.T) {
	for name, x := range map[string]struct {
		whole bool
		want  policy.Status
	}{"reset after a part of the write": {false, policy.ConnectFailed}, "reset after the whole write": {true, policy.ConnectionReset}} {
		t.Run(name, func(t *testing.T) {
			to, accepted := newSlowReader(t)
			d := dialer()
			p := d.Connect("n", to)
			a, got, size := newLongWrite(t)
			p.Send(a)
			nc := <-accepted
			br := bufio.NewReader(nc)
			readSize := int64(128 << 10)
			if x.whole {
				for line := ""; line != "\r\n"; {
					var err error
					if line, err = br.ReadString('\n'); err != nil {
						t.Fatal(err)
					}
				}
				readSize = int64(size)
			}
			if n, err := io.CopyN(io.Discard, br, readSize); err != nil {
				t.Fatalf("node read %d bytes of the write: %v", n, err)
			}
			_ = nc.SetLinger(0)
			nc.Close()
			if r := <-got; r.Status != x.want {
				t.Errorf("attempt ended as %+v", r)
			}
			expectNothingLeft(t, d, p, got)
		})
	}
}

// The framing of a response determines where it ends and whether the connection is reused. The end of the connection ends only
// a response with neither length nor chunks, and a reset ends none.
func TestResponseFraming(t *testing.T) {
	edit := func(old, new string) string { return strings.Replace(okResponse, old, new, 1) }
	chunked := edit("Content-Length: 3", "Transfer-Encoding: chunked")
	chunked = chunked[:len(chunked)-len("abc")]
	const (
		stays = iota
		ends
		resets
	)
	for name, x := range map[string]struct {
		text       string
		afterwards int
		want       policy.Status
		reused     bool
	}{
		"no length, stays open":                {edit("Content-Length: 3\r\n", ""), stays, policy.ConnectionReset, false},
		"no length, closed":                    {edit("Content-Length: 3\r\n", ""), ends, policy.OK, false},
		"no length, reset":                     {edit("Content-Length: 3\r\n", ""), resets, policy.ConnectionReset, false},
		"no length, Connection: close, closed": {edit("Content-Length: 3", "Connection: close"), ends, policy.OK, false},
		"HTTP/1.0 response":                    {edit("HTTP/1.1", "HTTP/1.0"), stays, policy.ConnectionReset, false},
		"length and Connection: close":         {edit("Content-Length: 3", "Content-Length: 3\r\nConnection: close"), stays, policy.OK, false},
		"truncated head, reset":                {okResponse[:40], resets, policy.ConnectionReset, false},
		"truncated body, reset":                {okResponse[:len(okResponse)-1], resets, policy.ConnectionReset, false},
		"chunks and trailers":                  {chunked + "3\r\nabc\r\n0\r\nX-After: 1\r\n\r\n", stays, policy.OK, true},
		"chunks without the last one, closed":  {chunked + "3\r\nabc\r\n", ends, policy.ConnectionReset, false},
		"chunks, then garbage":                 {chunked + "3\r\nabc\r\n0\r\n\r\nwhat", stays, policy.OK, false},
		"chunks, then a second response":       {chunked + "3\r\nabc\r\n0\r\n\r\n" + edit("abc", "xyz"), stays, policy.OK, false},
		"more bytes than the length":           {okResponse + "d", stays, policy.OK, false},
		"interim response only":                {"HTTP/1.1 100 Continue\r\n\r\n", ends, policy.ConnectionReset, false},
	} {
		t.Run(name, func(t *testing.T) {
			n := newFakeNode(t, func(nc net.Conn) bool {
				_, _ = io.WriteString(nc, x.text)
				if x.afterwards == resets {
					_ = nc.(*net.TCPConn).SetLinger(0)
				}
				return x.afterwards == stays
			})
			d := dialer()
			p := d.Connect("n", addressesOf(n.ln))
			r := sendOne(t, p)
			if r.Status != x.want || r.Status == policy.OK && string(r.Payload.(*nodeResponse).body) != "abc" {
				t.Errorf("attempt ended as %+v, want status %d", r, x.want)
			}
			sendOne(t, p)
			if reused := n.conns.Load() == 1; reused != x.reused {
				t.Errorf("%d connections were opened for two attempts; reuse of the first one is wrong", n.conns.Load())
			}
			expectNothingLeft(t, d, p)
		})
	}
}

// writeRecorder records the lengths of the writes on a connection. A write that continues one which has reached its deadline is not
// recorded again: the node took longer than progress.SlowAfter for it. It must be the rest of that write, no more and no less.
type writeRecorder struct {
	transport.Stream
	t         *testing.T
	mu        *sync.Mutex
	lengths   *[]int
	remaining *int // bytes of a write that has reached its deadline
}

// Write implements net.Conn.
func (s writeRecorder) Write(p []byte) (int, error) {
	s.mu.Lock()
	switch {
	case *s.remaining == 0:
		*s.lengths = append(*s.lengths, len(p))
	case *s.remaining != len(p):
		s.t.Errorf("a write of %d bytes continues one of which %d remain", len(p), *s.remaining)
	}
	s.mu.Unlock()
	n, err := s.Stream.Write(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	*s.remaining = 0
	if errors.Is(err, os.ErrDeadlineExceeded) {
		*s.remaining = len(p) - n
	}
	return n, err
}

// The head of a long write is sent before its body is copied, so that the stated remaining time and the check for a drain
// apply to the first byte. A body of up to 64 KiB is sent together with the head.
func TestLongWriteSendsHeadFirst(t *testing.T) {
	for size, writes := range map[int]int{maxBufferedBody: 1, maxBufferedBody + 1: 2, 8 << 20: 2} {
		n := newFakeNode(t, respondWith(okResponse))
		d := dialer()
		var mu sync.Mutex
		var lengths []int
		remaining := 0
		d.dial = func(ctx context.Context, a address.Addr, wait time.Duration) (transport.Stream, address.Reason, error) {
			s, why, err := transport.Dial(ctx, a, wait)
			return writeRecorder{s, t, &mu, &lengths, &remaining}, why, err
		}
		p := d.Connect("n", addressesOf(n.ln))
		body := strings.Repeat("x", size)
		text := strings.Replace(validRequest, "Content-Length: 5", "Content-Length: "+strconv.Itoa(size), 1)
		a, got := attemptOf(t, strings.TrimSuffix(text, "hello")+body, inOneMinute())
		p.Send(a)
		if r := <-got; r.Status != policy.OK {
			t.Errorf("body of %d bytes: attempt ended as %+v", size, r)
		}
		if arrived := n.last.Load().Body(); string(arrived) != body {
			t.Errorf("the body arrived with %d bytes, of %d sent, or changed", len(arrived), size)
		}
		mu.Lock()
		if len(lengths) != writes || writes > 1 && lengths[0] > maxHeadSize {
			t.Errorf("body of %d bytes: request written in pieces of %v bytes", size, lengths)
		}
		mu.Unlock()
		expectNothingLeft(t, d, p, got)
	}
}

// A dial fails after its address has been replaced. This does not count against the new address, and the waiting attempt
// goes there.
func TestDialToReplacedAddressFails(t *testing.T) {
	for kind := range clientKinds(nil, nil) {
		t.Run(kind, func(t *testing.T) {
			s, old := newIDNode(t)
			next := s.listen(t)
			d, _ := newPausableDialer()
			d.ConnectTimeout = time.Hour
			dial, dialStarted, resume := d.dial, make(chan bool, 64), make(chan struct{})
			d.dial = func(ctx context.Context, to address.Addr, wait time.Duration) (transport.Stream, address.Reason, error) {
				if to != old[0] {
					return dial(ctx, to, wait)
				}
				dialStarted <- true
				<-resume
				return nil, address.ReasonRefused, syscall.ECONNREFUSED
			}
			p := clientKinds(d, old)[kind]()
			a, got := attemptWithID(t, "first")
			p.Send(a)
			<-dialStarted
			p.SetAddresses(next)
			close(resume)
			if r := <-got; r.Status != policy.OK || s.arrivalCount("first") != 1 {
				t.Errorf("attempt ended as %+v, arrived %d times", r, s.arrivalCount("first"))
			}
			expectNothingLeft(t, d, p, got)
		})
	}
}
