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

// Guards against a decision module that replaces one that panicked, or that of another process, and does not know what may have run.
func TestNewModuleKnowsEarlierRuns(t *testing.T) {
	settings := testSettings()
	former, next := startCore(t, settings), startCore(t, settings)
	runs := []policy.EarlierRun{{Class: "c", Volume: "v", Key: "k", Node: policy.Node{ID: "n"}, Age: 100, KeepFor: 60000}}
	if !former.AddEarlierRuns(runs, time.Minute) {
		t.Fatal("not added")
	}
	former.post(call(func() { former.restart(former.moduleTime(time.Now()), "a fault") }))
	passed, ok := former.EarlierRuns(time.Minute)
	if !ok || len(passed) != len(runs) || passed[0].Key != "k" || passed[0].Age < 100 || passed[0].KeepFor > 60000 {
		t.Fatalf("after the panic: %+v, %v", passed, ok)
	}
	if !next.AddEarlierRuns(passed, time.Minute) {
		t.Fatal("not added")
	}
	if known, _ := next.EarlierRuns(time.Minute); len(known) != len(runs) {
		t.Errorf("the next process knows %+v", known)
	}
}
