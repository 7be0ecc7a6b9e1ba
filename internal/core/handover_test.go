package core

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/policy"
)

// After the handover no token bucket is filled, not even by a decision module that replaces one that panicked. Requests
// that would wait for tokens are rejected. HandOver returns false if the actor is busy, so that the caller retries.
func TestHandOverStopsFillingQuotas(t *testing.T) {
	settings := testSettings()
	for i := range settings.Plans {
		settings.Plans[i].RateLimit, settings.Plans[i].LimitBurst = 1e6, 1e6
	}
	core := startCore(t, settings)
	core.updateList(policy.CachedListLoaded, newNode("n", 0, policy.NodeUp))
	blocked, unblock := make(chan bool), make(chan bool)
	core.post(call(func() { blocked <- true; <-unblock }))
	<-blocked
	if core.HandOver(time.Millisecond) {
		t.Error("HandOver returned true while the actor is busy")
	}
	close(unblock)
	if !core.HandOver(time.Minute) {
		t.Error("HandOver returned false although the actor is not busy")
	}
	expectRejected := func(id string) {
		t.Helper()
		_, answers := core.submit(id, "read")
		select {
		case answer := <-answers:
			if answer.Kind != Rejected {
				t.Errorf("request %s: answer %+v, want a rejection", id, answer)
			}
		case <-core.node("n").sent:
			t.Errorf("request %s was dispatched", id)
		}
	}
	expectRejected("a")
	core.post(call(func() {
		core.scheduler = nil
		core.events = append(core.events, policy.Event{Kind: policy.TimerFired, Tag: "tick"})
	}))
	_, answers := core.submit("panics", "read")
	<-answers
	expectRejected("b")
}

func TestHandOverAfterStopReturnsTrue(t *testing.T) {
	c, err := New(Options{Settings: testSettings(), Log: logrus.New()})
	if err != nil {
		t.Fatal(err)
	}
	c.Stop()
	for range 2 * controlSize { // more than the control channel holds
		if !c.HandOver(time.Minute) {
			t.Fatal("HandOver returned false although the actor has ended")
		}
	}
}
