package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/internal/deadline"
	"wheatsaddle/policy"
)

// A host whose timers come late gives its requests up so much sooner: with what its answers are then
// late by, they still reach their clients in time.
func TestTimerLagWidensMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCore(t, settings())
		r.updateList(policy.ListReceived, Node{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addrs("10.0.0.1:1")})
		ends := func(id string) time.Duration { // of a request that the module leaves to its end
			got := make(chan time.Duration, 1)
			q := &Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Key: id},
				ReceivedAt: time.Now(), Timeout: 2 * time.Second}
			q.Answer = func(Answer) { got <- q.Timeout - time.Since(q.ReceivedAt) }
			r.Submit(q)
			return <-got // nobody answers the attempt
		}
		if left := ends("first"); left < deadline.MinMargin-10*time.Millisecond || left > deadline.MinMargin+10*time.Millisecond {
			t.Errorf("given up %v before the client does", left)
		}
		for range 4 { // the actor is held up, as by a processor that is another's
			r.post(call(func() { time.Sleep(40 * time.Millisecond) }))
			time.Sleep(200 * time.Millisecond)
		}
		if left := ends("late"); left < 3*20*time.Millisecond {
			t.Errorf("given up %v before the client does, with timers some 40 ms late", left)
		}
		time.Sleep(2*deadline.Window + time.Second)
		if left := ends("after"); left > deadline.MinMargin+10*time.Millisecond {
			t.Errorf("given up %v before the client does, long after", left)
		}
	})
}
