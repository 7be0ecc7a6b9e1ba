//go:build interleave

package httpfront

import (
	"context"
	"errors"
	"testing"
	"time"

	"wheatsaddle/internal/address"
	il "wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// A preconnect runs concurrently with an attempt and a drain: both end, nothing is written after the drain, the attempt
// opens no second connection, and every connection is removed from the counts.
func TestInterleavePreconnect(t *testing.T) {
	fd := idleSocket(t)
	a, _ := attempt(t, inOneMinute())
	il.Check(t, il.Options{Bounded: true, Preemptions: 1}, func() il.Program {
		n, draining, attempts, results := newSingleConnNode(fd, a.Request, time.Hour, 1)
		n.dialer.MaxConns = 2
		dials, dial := 0, n.dialer.dial
		n.dialer.dial = func(ctx context.Context, a address.Addr, wait time.Duration) (transport.Stream, address.Reason, error) {
			dials++
			return dial(ctx, a, wait)
		}
		result := make(chan policy.Status, 1)
		return il.Program{
			Threads: []il.Thread{
				{Name: "actor", Run: n.runWithoutTimers},
				{Name: "core", Run: func() {
					n.Connect(func(s policy.Status) { sync.Send(result, s) })
					n.Send(attempts[0])
					if s, _ := sync.Recv(result); s != policy.OK && s != policy.Abandoned {
						il.Fail("preconnect ended with %v", s)
					}
					if s, _ := sync.Recv(results); s != policy.OK && s != policy.ConnectFailed {
						il.Fail("attempt ended with %v", s)
					}
					n.Close()
				}},
				{Name: "list", Run: func() { n.Drain(true); *draining = true }},
			},
			Check: func() error {
				if dials > 1 {
					return errors.New("a second connection was opened during a preconnect")
				}
				return n.checkNothingLeft()
			},
		}
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "preconnect.go", Old: "	if n.draining.Load() || n.closing || n.connCount > len(n.busy) {\n		sync.Go(func() { f(policy.Abandoned) })\n		return",
			New: "	if n.draining.Load() || n.closing || n.connCount > len(n.busy) {\n		return", Want: "deadlock"},
		mutant.Mutant{File: "preconnect.go", Old: "	c.dialID = n.waiting.ConnectStarted(now)", New: "	if c.dialID = 0; f == nil {\n		c.dialID = n.waiting.ConnectStarted(now)\n	}",
			Want: "a second connection"},
	)
}
