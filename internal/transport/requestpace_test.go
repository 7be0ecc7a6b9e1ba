package transport

import (
	"testing"
	"time"
)

// Guards against clients that take the processor from others: beyond a burst the requests of a connection have a rate, and those
// beyond it on all connections another one.
func TestRequestsHaveARate(t *testing.T) {
	const seconds, conns = 3, 24
	var shared sharedPace
	var own [conns]tokenBucket
	var dueAt [conns]time.Duration // of the connection's next request
	count := 0
	for now := time.Duration(0); now < seconds*time.Second; now += 100 * time.Microsecond {
		for i := range own {
			if dueAt[i] > now {
				continue
			}
			count++
			if !own[i].tryTake(now) {
				dueAt[i] = now + shared.reserve(now)
			}
		}
	}
	const limit = int(conns*(connRequestBurst+seconds*connRequestRate) + seconds*sharedRequestRate + conns)
	if count > limit || count < limit*9/10 {
		t.Errorf("%d requests on %d connections in %d s, limit %d", count, conns, seconds, limit)
	}
}

// A client that sends one request at a time does not wait, and a pause refills what a burst has used.
func TestSteadyRequestsDoNotWait(t *testing.T) {
	var own tokenBucket
	now := time.Hour
	for i := range 10 * int(connRequestBurst) {
		if now += time.Second / time.Duration(connRequestRate); !own.tryTake(now) {
			t.Fatalf("request %d waits", i)
		}
	}
	now += time.Second
	for i := range int(connRequestBurst) {
		if !own.tryTake(now) {
			t.Fatalf("request %d of the burst waits", i)
		}
	}
	if own.tryTake(now) {
		t.Error("a request beyond the burst does not wait")
	}
	if !own.tryTake(now + time.Second) {
		t.Error("a request after a pause waits")
	}
}
