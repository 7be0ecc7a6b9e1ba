package httpfront

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/memory"
	"wheatsaddle/policy"
)

// sendWithoutMemory sends an attempt to a node that answers with pieces at a pause from each other, while there is no memory to buffer a
// response. It returns the attempt's result and the account.
func sendWithoutMemory(t *testing.T, deadline, pause time.Duration, pieces ...string) (<-chan core.Result, *memory.Account) {
	t.Helper()
	ln := startNode(t, func(nc net.Conn) {
		if _, err := nc.Read(make([]byte, 4096)); err == nil {
			write(nc, pause, pieces...)
		}
	})
	d := dialer()
	d.Memory = memory.NewAccount(1 << 20)
	d.Memory.Acquire(memory.Response, heldByOthers) // above the ceiling of responses, and below that of connections
	p := d.Connect("n", addressesOf(ln))
	t.Cleanup(p.Close)
	a, results := attempt(t, time.Now().Add(deadline))
	p.Send(a)
	return results, d.Memory
}

const (
	heldByOthers  = 800 << 10 // bytes
	shortBodySize = 64 << 10  // bytes, the longest body that counts as short
	shortBodyHead = "HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n"
)

// Guards against an answer of a stated short length that is passed on while it arrives, for lack of memory, and ends incomplete or
// seconds late when its node rests: one that is not whole at its deadline is not passed on.
func TestShortAnswerWithoutMemoryIsNotPassedOnIncomplete(t *testing.T) {
	const deadline = 600 * time.Millisecond
	for name, first := range map[string]string{
		"rests after its head": shortBodyHead,
		"rests in its body":    shortBodyHead + strings.Repeat("x", shortBodySize/2),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			rest := strings.Repeat("x", shortBodySize-len(first)+len(shortBodyHead))
			results, _ := sendWithoutMemory(t, deadline, 2*deadline, first, rest)
			r := <-results
			if took := time.Since(start); r.Status != policy.TimedOut || took > 3*deadline/2 {
				t.Errorf("result %+v after %v", r, took)
			}
		})
	}
}

// Guards against a sound answer that is lost for lack of memory: it is served whole, whether it comes at once or in pieces, and whether or
// not there is memory before its end.
func TestShortAnswerWithoutMemoryIsServed(t *testing.T) {
	body := strings.Repeat("x", shortBodySize)
	for name, pieces := range map[string][]string{
		"at once":   {shortBodyHead + body},
		"in pieces": {shortBodyHead, body[:100], body[100:30_000], body[30_000:60_000], body[60_000:]},
	} {
		for _, released := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				results, account := sendWithoutMemory(t, 3*time.Second, 100*time.Millisecond, pieces...)
				if released {
					time.AfterFunc(150*time.Millisecond, func() { account.Release(memory.Response, heldByOthers) })
				}
				r := <-results
				rep, _ := r.Payload.(*nodeResponse)
				if r.Status != policy.OK || rep == nil {
					t.Fatalf("result %+v", r)
				}
				defer rep.Release()
				if rep.relay != nil {
					rep.body, _ = io.ReadAll(rep.relay)
				}
				if !bytes.Equal(rep.body, []byte(body)) {
					t.Errorf("served with %d bytes", len(rep.body))
				}
			})
		}
	}
}

// Guards against a wait for memory that outlasts the node's connection: an answer that its node has cut off ends the attempt at once.
func TestShortAnswerWithoutMemoryEndsWithItsConnection(t *testing.T) {
	start := time.Now()
	results, _ := sendWithoutMemory(t, 3*time.Second, 10*time.Millisecond, shortBodyHead, "cut off")
	r := <-results
	if took := time.Since(start); r.Status != policy.ConnectionReset || took > time.Second {
		t.Errorf("result %+v after %v", r, took)
	}
}
