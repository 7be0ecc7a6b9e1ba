package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/internal/deadline"
	"wheatsaddle/policy"
)

// A process with late timers fails its requests earlier by that lag, so that the answers still reach their clients in
// time.
func TestTimerLagWidensMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCore(t, testSettings())
		r.updateList(policy.ListReceived, Node{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addrs("10.0.0.1:1")})
		timeLeft := func(id string) time.Duration { // time left at the answer of a request that gets no result
			got := make(chan time.Duration, 1)
			q := &Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Key: id},
				ReceivedAt: time.Now(), Timeout: 2 * time.Second}
			q.Answer = func(Answer) { got <- q.Timeout - time.Since(q.ReceivedAt) }
			r.Submit(q)
			return <-got // the attempt gets no result
		}
		if left := timeLeft("first"); left < deadline.MinMargin-10*time.Millisecond || left > deadline.MinMargin+10*time.Millisecond {
			t.Errorf("failed %v before the client's deadline", left)
		}
		for range 4 { // the actor is delayed, as by a busy processor
			r.post(call(func() { time.Sleep(40 * time.Millisecond) }))
			time.Sleep(200 * time.Millisecond)
		}
		if left := timeLeft("late"); left < 3*20*time.Millisecond {
			t.Errorf("failed %v before the client's deadline, with timers some 40 ms late", left)
		}
		time.Sleep(2*deadline.Window + time.Second)
		if left := timeLeft("after"); left > deadline.MinMargin+10*time.Millisecond {
			t.Errorf("failed %v before the client's deadline, long after", left)
		}
	})
}
