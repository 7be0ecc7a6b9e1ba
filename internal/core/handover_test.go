package core

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/policy"
)

// After the handover no limit is filled, also not by the module that follows one that panicked: what waits for it is
// refused. An actor that has no time is to be told again, one that has ended fills nothing.
func TestHandOverStopsFillingQuotas(t *testing.T) {
	set := settings()
	for i := range set.Plans {
		set.Plans[i].RateLimit, set.Plans[i].LimitBurst = 1e6, 1e6
	}
	r := startCore(t, set)
	r.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	busy, free := make(chan bool), make(chan bool)
	r.post(call(func() { busy <- true; <-free }))
	<-busy
	if r.HandOver(time.Millisecond) {
		t.Error("heard by an actor that has no time")
	}
	close(free)
	if !r.HandOver(time.Minute) {
		t.Error("not heard")
	}
	refused := func(id string) {
		t.Helper()
		_, got := r.submit(id, "read", time.Minute)
		select {
		case a := <-got:
			if a.Kind != Rejected {
				t.Errorf("%s: %+v", id, a)
			}
		case <-r.node("n").sent:
			t.Errorf("%s is sent", id)
		}
	}
	refused("a")
	r.post(call(func() {
		r.scheduler = nil
		r.events = append(r.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
	}))
	_, got := r.submit("panics", "read", time.Minute)
	<-got
	refused("b")
}

func TestHandOverAfterStop(t *testing.T) {
	c, err := New(Options{Settings: settings(), Log: logrus.New()})
	if err != nil {
		t.Fatal(err)
	}
	c.Stop()
	for range 2 * controlSize { // also once its mailbox is full
		if !c.HandOver(time.Minute) {
			t.Fatal("an actor that has ended is asked on")
		}
	}
}
