package httpfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// The deadline that an attempt states to its node is the time remaining at its first byte, however long its dial or its wait
// for a connection took.
func TestSentDeadlineIsRemainingTimeAtFirstByte(t *testing.T) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(pair[0]) }()
	defer func() { _ = syscall.Close(pair[1]) }()
	const timeout, dialTime, serviceTime = 4000 * time.Millisecond, 1500 * time.Millisecond, 700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		sentDeadlines := make(chan int, 2)
		d := dialer()
		d.FreeConnWait = time.Hour // the second attempt waits for the connection of the first
		d.dial = func(context.Context, address.Addr, time.Duration) (transport.Stream, address.Reason, error) {
			time.Sleep(dialTime)
			ours, theirs := net.Pipe()
			go func() {
				defer theirs.Close()
				br := bufio.NewReader(theirs)
				for {
					var q fasthttp.Request
					if q.Header.Read(br) != nil {
						return
					}
					left, err := strconv.Atoi(string(q.Header.Peek("X-Deadline-Ms")))
					if err != nil {
						t.Error(err)
					}
					sentDeadlines <- left
					time.Sleep(serviceTime)
					_, _ = io.WriteString(theirs, okResponse)
				}
			}()
			return memConn{ours, &simulation{idleSockets: pair}}, 0, nil
		}
		to, err := address.Parse("10.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		p := d.Connect("n", []address.Addr{to})
		until := time.Now().Add(timeout)
		var results []chan core.Result
		for range 2 {
			got := make(chan core.Result, 1)
			results = append(results, got)
			p.Send(core.NewAttempt(&core.Request{Payload: &nodeRequest{head: []byte("GET /c HTTP/1.1")}}, until, func(r core.Result) { got <- r }))
		}
		for _, got := range results {
			if r := <-got; r.Status != policy.OK {
				t.Fatalf("attempt ended as %+v", r)
			}
		}
		for i, want := range []time.Duration{timeout - dialTime, timeout - dialTime - serviceTime} {
			if left := <-sentDeadlines; left != int(want.Milliseconds()) {
				t.Errorf("attempt %d stated %d ms remaining, want %d", i, left, want.Milliseconds())
			}
		}
		p.Close()
	})
}
