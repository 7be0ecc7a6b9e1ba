package httpfront

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/progress"
	"wheatsaddle/policy"
)

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// longHead is the head of a response that is longer than what is buffered.
var longHead = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 4*maxBufferedBody)

// relayedResult sends an attempt with a deadline and returns its result, which comes within a limit.
func relayedResult(t *testing.T, serve func(net.Conn), deadline time.Duration) (core.Result, time.Duration) {
	t.Helper()
	ln := startNode(t, func(nc net.Conn) {
		buf := make([]byte, 4096)
		if _, err := nc.Read(buf); err == nil {
			serve(nc)
		}
	})
	p := dialer().Connect("n", addressesOf(ln))
	t.Cleanup(p.Close)
	start := time.Now()
	a, results := attempt(t, start.Add(deadline))
	p.Send(a)
	select {
	case r := <-results:
		return r, time.Since(start)
	case <-time.After(deadline + 5*time.Second):
		t.Fatal("the attempt has no result")
		return core.Result{}, 0
	}
}

// write writes texts with a pause after each.
func write(nc net.Conn, pause time.Duration, texts ...string) {
	for _, text := range texts {
		if _, err := io.WriteString(nc, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// Guards against a long response that is passed on only at its end or never: it is passed on at its first late piece, and at
// the latest when the time of its request is nearly over, with the bytes that have come, whether or not its node rests just then.
func TestLongResponseIsPassedOnWhileItArrives(t *testing.T) {
	piece := strings.Repeat("x", 100)
	chunk := "64\r\n" + piece + "\r\n"
	const deadline = time.Second
	for name, x := range map[string]struct {
		serve func(net.Conn)
		byEnd bool // it is passed on when the time is nearly over, and otherwise long before
	}{
		"steady pieces of a stated length": {func(nc net.Conn) {
			write(nc, 20*time.Millisecond, append([]string{longHead}, strings.Split(strings.Repeat(piece+" ", 20), " ")...)...)
		}, false},
		"chunks": {func(nc net.Conn) {
			write(nc, 2*progress.SlowAfter, chunkedHead, chunk, chunk, chunk)
			time.Sleep(2 * deadline)
		}, false},
		"chunks that stop": {func(nc net.Conn) { write(nc, 2*deadline, chunkedHead+chunk) }, true},
		"a long body that rests": {func(nc net.Conn) {
			write(nc, 2*deadline, longHead+piece)
		}, true},
		"only a head": {func(nc net.Conn) { write(nc, 2*deadline, chunkedHead) }, true},
		"a head in pieces": {func(nc net.Conn) {
			write(nc, 150*time.Millisecond, chunkedHead[:9], chunkedHead[9:20], chunkedHead[20:30], chunkedHead[30:40], chunkedHead[40:], chunk)
			time.Sleep(2 * deadline)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, took := relayedResult(t, x.serve, deadline)
			rep, _ := r.Payload.(*nodeResponse)
			if r.Status != policy.OK || rep == nil || rep.relay == nil {
				t.Fatalf("result %+v after %v", r, took)
			}
			defer rep.Release()
			if took > deadline || took < deadline-10*passOnMargin && x.byEnd {
				t.Errorf("passed on after %v, deadline %v", took, deadline)
			}
			if !x.byEnd {
				got := make([]byte, len(piece))
				if _, err := io.ReadFull(rep.relay, got); err != nil || string(got) != piece {
					t.Errorf("the relay begins with %q, %v", got, err)
				}
			}
		})
	}
}

// Guards against serving a response that is short and incomplete, or long and broken: these are not passed on, so that another attempt
// can replace them. One that stops ends after progress.MaxSilence or at its deadline, and not before: its node may go on.
func TestIncompleteResponseIsNotPassedOn(t *testing.T) {
	const short, long = 1200 * time.Millisecond, progress.MaxSilence + 600*time.Millisecond
	forLong := 2 * long
	for name, x := range map[string]struct {
		serve    func(net.Conn)
		deadline time.Duration
		want     policy.Status
	}{
		"chunks that end too early":        {func(nc net.Conn) { write(nc, 0, chunkedHead+"64\r\nxx") }, short, policy.ConnectionReset},
		"a short body that stops":          {func(nc net.Conn) { write(nc, forLong, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxx") }, long, policy.ConnectionReset},
		"a short body that stops, at once": {func(nc net.Conn) { write(nc, forLong, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nxx") }, short, policy.TimedOut},
		"a long error that stops":          {func(nc net.Conn) { write(nc, forLong, strings.Replace(longHead, "200", "500", 1)) }, short, policy.TimedOut},
		"a head that stops":                {func(nc net.Conn) { write(nc, forLong, chunkedHead[:20]) }, long, policy.ConnectionReset},
		"a head that stops, at once":       {func(nc net.Conn) { write(nc, forLong, chunkedHead[:20]) }, short, policy.TimedOut},
		"a short body, slow pieces": {func(nc net.Conn) {
			write(nc, 100*time.Millisecond, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "a", "b", "c")
		}, short, policy.OK},
		"a short body, rests of 0.9 s": {func(nc net.Conn) {
			write(nc, 900*time.Millisecond, "HTTP/1.1 200 OK\r\nConte", "nt-Length: 3\r\n\r\n", "ab", "c")
		}, 2 * long, policy.OK},
		"a chunked body, at once":    {func(nc net.Conn) { write(nc, short, chunkedHead+"1\r\na\r\n0\r\n\r\n") }, short, policy.OK},
		"no length and an early end": {func(nc net.Conn) { write(nc, 0, "HTTP/1.1 200 OK\r\n\r\nabc") }, short, policy.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, took := relayedResult(t, x.serve, x.deadline)
			if rep, ok := r.Payload.(*nodeResponse); r.Status != x.want || ok && rep.relay != nil {
				t.Errorf("result %+v after %v, want status %v", r, took, x.want)
			}
			if r.Status == policy.ConnectionReset && x.deadline == long && took < progress.MaxSilence {
				t.Errorf("given up after %v", took)
			}
		})
	}
}

// Guards against the body of a node being kept without bound for a client that does not read, and against a node's connection
// that is held once the body is in the buffer.
func TestRelayIsBoundedAndFreesItsSource(t *testing.T) {
	closed := false
	r := newRelay(func() { closed = true }, nil)
	filled := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for space := r.space(); space != nil; space = r.space() {
			filled += len(space)
			r.received(len(space), nil)
		}
	}()
	got := make([]byte, 1000)
	for read := 0; read < 10*maxRelayBuffer; {
		n, err := r.Read(got)
		if err != nil {
			t.Fatal(err)
		}
		read += n
	}
	time.Sleep(10 * time.Millisecond) // the buffer fills, and the source waits
	_ = r.Close()
	<-done
	if filled > 12*maxRelayBuffer || cap(r.buffer) > maxRelayBuffer {
		t.Errorf("%d bytes were taken from the source, the buffer has %d", filled, cap(r.buffer))
	}
	if !closed {
		t.Error("the unfinished source was not closed")
	}
	if _, err := r.Read(got); !errors.Is(err, errRelayClosed) {
		t.Errorf("a read after the close: %v", err)
	}
}
