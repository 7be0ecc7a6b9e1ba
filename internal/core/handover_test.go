package core

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/policy"
)

// After the handover no token bucket is filled, also not by a module that replaces one that panicked: requests that wait
// for one are rejected. HandOver reports that a busy actor was not notified, so that the caller tries again.
func TestHandOverStopsFillingQuotas(t *testing.T) {
	set := testSettings()
	for i := range set.Plans {
		set.Plans[i].RateLimit, set.Plans[i].LimitBurst = 1e6, 1e6
	}
	r := startCore(t, set)
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	busy, free := make(chan bool), make(chan bool)
	r.post(call(func() { busy <- true; <-free }))
	<-busy
	if r.HandOver(time.Millisecond) {
		t.Error("reported as notified while the actor is busy")
	}
	close(free)
	if !r.HandOver(time.Minute) {
		t.Error("not notified")
	}
	expectRejected := func(id string) {
		t.Helper()
		_, got := r.submit(id, "read")
		select {
		case a := <-got:
			if a.Kind != Rejected {
				t.Errorf("%s: %+v", id, a)
			}
		case <-r.node("n").sent:
			t.Errorf("%s is dispatched", id)
		}
	}
	expectRejected("a")
	r.post(call(func() {
		r.scheduler = nil
		r.events = append(r.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
	}))
	_, got := r.submit("panics", "read")
	<-got
	expectRejected("b")
}

func TestHandOverAfterStop(t *testing.T) {
	c, err := New(Options{Settings: testSettings(), Log: logrus.New()})
	if err != nil {
		t.Fatal(err)
	}
	c.Stop()
	for range 2 * controlSize { // also once its channel is full
		if !c.HandOver(time.Minute) {
			t.Fatal("not notified, although the actor has ended")
		}
	}
}
