package httpfront

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/progress"
	"wheatsaddle/policy"
)

// slowReader is a node that reads the head of a request, and then does what a test tells.
func slowReader(t *testing.T, serve func(nc net.Conn, reader *bufio.Reader)) net.Listener {
	t.Helper()
	return startNode(t, func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetReadBuffer(32 << 10)
		reader := bufio.NewReader(nc)
		for line := ""; line != "\r\n"; {
			var err error
			if line, err = reader.ReadString('\n'); err != nil {
				return
			}
		}
		serve(nc, reader)
	})
}

// writeResult sends a request with a body and returns the attempt's result, and how long it took.
func writeResult(t *testing.T, ln net.Listener, size int, deadline time.Duration) (core.Result, time.Duration, core.NodeClient) {
	t.Helper()
	text := strings.Replace(validRequest, "Content-Length: 5", "Content-Length: "+strconv.Itoa(size), 1)
	a, results := attemptOf(t, strings.TrimSuffix(text, "hello")+strings.Repeat("x", size), time.Now())
	p := dialer().Connect("n", addressesOf(ln))
	t.Cleanup(p.Close)
	start := time.Now() // after the long message was made
	a.Deadline = start.Add(deadline)
	p.Send(a)
	select {
	case r := <-results:
		return r, time.Since(start), p
	case <-time.After(deadline + 5*time.Second):
		t.Fatal("the attempt has no result")
		return core.Result{}, 0, p
	}
}

const longWrite = 16 << 20 // bytes, above what the system buffers

// Guards against a request that is given up, or answered late, where its node rests while it reads, stops reading, or answers before it
// has read all.
func TestNodesMayRestWhileTheyRead(t *testing.T) {
	readAll := func(reader *bufio.Reader, size int) { _, _ = io.CopyN(io.Discard, reader, int64(size)) }
	const short = 1200 * time.Millisecond
	long := progress.MaxSilence + 2*time.Second
	for name, x := range map[string]struct {
		serve    func(nc net.Conn, reader *bufio.Reader)
		deadline time.Duration
		want     policy.Status
		within   time.Duration // 0: the deadline
	}{
		"rests of 0.9 s": {func(nc net.Conn, reader *bufio.Reader) {
			for range 2 {
				time.Sleep(900 * time.Millisecond)
				readAll(reader, longWrite/2)
			}
			_, _ = io.WriteString(nc, okResponse)
		}, long, policy.OK, 0},
		"stops, short deadline": {func(net.Conn, *bufio.Reader) { time.Sleep(2 * long) }, short, policy.Abandoned, short + 300*time.Millisecond},
		"stops, long deadline":  {func(net.Conn, *bufio.Reader) { time.Sleep(2 * long) }, long, policy.Abandoned, progress.MaxSilence + time.Second},
		"answers early and reads on": {func(nc net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(nc, okResponse)
			time.Sleep(100 * time.Millisecond)
			readAll(reader, longWrite)
		}, short, policy.OK, 0},
		"answers early and stops reading": {func(nc net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(nc, okResponse)
			time.Sleep(2 * long)
		}, short, policy.OK, time.Second},
		"an interim response, then reads and answers": {func(nc net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(nc, "HTTP/1.1 100 Continue\r\n\r\n")
			time.Sleep(300 * time.Millisecond)
			readAll(reader, longWrite)
			_, _ = io.WriteString(nc, okResponse)
		}, short, policy.OK, 0},
		"rejects early and closes": {func(nc net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(nc, "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			time.Sleep(200 * time.Millisecond)
		}, short, policy.NodeFull, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, took, _ := writeResult(t, slowReader(t, x.serve), longWrite, x.deadline)
			within := x.within
			if within == 0 {
				within = x.deadline
			}
			if r.Status != x.want || took > within {
				t.Errorf("result %+v after %v, want status %v within %v", r, took, x.want, within)
			}
		})
	}
}

// Guards against a request that waits behind the rest of an earlier one: a connection whose node has answered before it has taken the
// whole request carries no other one.
func TestConnectionWithUndeliveredRequestIsNotReused(t *testing.T) {
	accepted := make(chan net.Conn, 4)
	ln := slowReader(t, func(nc net.Conn, _ *bufio.Reader) {
		accepted <- nc
		_, _ = io.WriteString(nc, okResponse)
		time.Sleep(3 * time.Second)
	})
	const size = 300 << 10 // the system buffers it, and the node does not take it
	r, _, p := writeResult(t, ln, size, time.Second)
	if r.Status != policy.OK {
		t.Fatalf("result %+v", r)
	}
	a, results := attempt(t, time.Now().Add(time.Second))
	p.Send(a)
	if r := <-results; r.Status != policy.OK || len(accepted) != 2 {
		t.Errorf("the next attempt ended with %+v, %d connections", r, len(accepted))
	}
}
