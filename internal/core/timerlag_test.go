package core

import (
	"testing"
	"testing/synctest"
	"time"

	"wheatsaddle/internal/deadline"
	"wheatsaddle/policy"
)

// A process with late timers fails its requests earlier, so that the answers still reach the clients in time.
func TestTimerLagWidensMargin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := startCore(t, testSettings())
		core.updateList(policy.ListReceived, Node{Node: policy.Node{ID: "n", Weight: 1}, Addresses: addrs("10.0.0.1:1")})
		timeLeft := func(id string) time.Duration { // returns the time that is left at the answer of a request whose attempt gets no result
			got := make(chan time.Duration, 1)
			request := &Request{Request: policy.Request{ID: id, Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1, Key: id},
				ReceivedAt: time.Now(), Timeout: 2 * time.Second}
			request.Answer = func(Answer) { got <- request.Timeout - time.Since(request.ReceivedAt) }
			core.Submit(request)
			return <-got
		}
		if left := timeLeft("first"); left < deadline.MinMargin-10*time.Millisecond || left > deadline.MinMargin+10*time.Millisecond {
			t.Errorf("failed %v before the client's deadline", left)
		}
		for range 4 { // delays the actor as a busy processor would
			core.post(call(func() { time.Sleep(40 * time.Millisecond) }))
			time.Sleep(200 * time.Millisecond)
		}
		if left := timeLeft("late"); left < 3*20*time.Millisecond {
			t.Errorf("failed %v before the client's deadline, with timers some 40 ms late", left)
		}
		time.Sleep(2*deadline.Window + time.Second)
		if left := timeLeft("after"); left > deadline.MinMargin+10*time.Millisecond {
			t.Errorf("failed %v before the client's deadline, although no lag counts any more", left)
		}
	})
}
