package httpfront

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/memory"
	"wheatsaddle/policy"
)

// Guards against an answer of a stated short length that ends seconds after its time: without memory to buffer it, it is passed on while
// it arrives, but not at its deadline, and what has not come by then is cut off.
func TestShortAnswerWithoutMemoryEndsAtItsDeadline(t *testing.T) {
	const deadline = 600 * time.Millisecond
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n"
	for name, x := range map[string]struct {
		first    string
		passedOn bool
	}{
		"rests after its head": {head, false},
		"rests in its body":    {head + strings.Repeat("x", 20000), true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln := startNode(t, func(nc net.Conn) {
				if _, err := nc.Read(make([]byte, 4096)); err == nil {
					write(nc, 2*deadline, x.first, strings.Repeat("x", 30000-len(x.first)+len(head)))
				}
			})
			d := dialer()
			d.Memory = memory.NewAccount(1 << 20)
			d.Memory.Acquire(memory.Response, 800<<10) // above the ceiling of responses, and below that of connections
			p := d.Connect("n", addressesOf(ln))
			t.Cleanup(p.Close)
			start := time.Now()
			a, results := attempt(t, start.Add(deadline))
			p.Send(a)
			r := <-results
			if !x.passedOn {
				if took := time.Since(start); r.Status != policy.TimedOut || took > 3*deadline/2 {
					t.Errorf("result %+v after %v", r, took)
				}
				return
			}
			rep, _ := r.Payload.(*nodeResponse)
			if r.Status != policy.OK || rep == nil || rep.relay == nil {
				t.Fatalf("result %+v", r)
			}
			defer rep.Release()
			_, err := io.Copy(io.Discard, rep.relay)
			if took := time.Since(start); !errors.Is(err, errBodyTruncated) || took > 3*deadline/2 {
				t.Errorf("the answer ended with %v after %v", err, took)
			}
		})
	}
}
