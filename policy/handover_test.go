package policy

import (
	"fmt"
	"testing"
)

// After the handover the bucket of a rate limit is used up and no longer refilled, and a request that would wait for
// tokens is rejected. Volumes without a rate limit are still served. Reconfigure does not change this.
func TestHandOverAddsNoTokens(t *testing.T) {
	h := newLimitedHarness(t, 20, 4)
	isServed := func(i int) bool {
		id := fmt.Sprint("x", i)
		actions := h.step(requestArrived(id, "safe", 0, h.now+2000))
		sent := wasSent(actions, id)
		if sent {
			h.at(h.now+1, attemptEnded(id, 0, OK, true))
		} else if !wasRejected(actions, id) {
			t.Fatalf("%s was neither sent nor rejected: %v", id, actions)
		}
		return sent
	}
	if actions := h.step(requestArrived("early", "safe", 0, h.now+2000)); wasSent(actions, "early") {
		t.Fatal("sent although the bucket is empty")
	}
	h.at(h.now+200, Event{Kind: TimerFired, Tag: sweepTimer}) // the bucket is full except for one token
	h.step(attemptEnded("early", 0, OK, true))
	wait := requestArrived("waits", "safe", 0, h.now+2000)
	wait.Request.Units = 8 // more than the bucket can hold
	if actions := h.step(wait); wasSent(actions, "waits") || wasRejected(actions, "waits") {
		t.Fatalf("the request for 8 units does not wait: %v", actions)
	}
	h.s.HandOver()
	if actions := h.step(Event{Kind: TimerFired, Tag: sweepTimer}); !wasRejected(actions, "waits") {
		t.Errorf("the waiting request was not rejected: %v", actions)
	}
	if err := h.s.Reconfigure(h.s.settings); err != nil {
		t.Fatal(err)
	}
	servedCount := 0
	for i := range 40 {
		h.now += 500
		if isServed(i) {
			servedCount++
		}
	}
	if servedCount != 3 {
		t.Errorf("%d units sent after the handover, but the bucket had 3", servedCount)
	}
	late := requestArrived("late", "safe", 0, h.now+2000)
	late.Request.Volume = "other" // first seen after the handover
	if actions := h.step(late); !wasRejected(actions, "late") {
		t.Errorf("request of a new volume after the handover: %v", actions)
	}
	free := newLimitedHarness(t, 0, 0)
	free.s.HandOver()
	if actions := free.step(requestArrived("free", "safe", 0, free.now+2000)); !wasSent(actions, "free") {
		t.Errorf("request without a rate limit was not sent: %v", actions)
	}
}

// Two processes of one scheduler, of which the second starts at the handover of the first, together send no more units
// than the rate limit allows one of them.
func TestHandOverKeepsTheLimit(t *testing.T) {
	const rate, burst = 20.0, 10.0
	first, second := newLimitedHarness(t, rate, burst), newLimitedHarness(t, rate, burst)
	units, startedAt := 0.0, first.now
	for i := range 4000 {
		now := startedAt + float64(i)
		if i == 2000 {
			first.s.HandOver()
		}
		for k, h := range []*harness{first, second} {
			if k == 1 && i < 2000 {
				continue
			}
			for _, a := range h.at(now, requestArrived(fmt.Sprint("x", k, "-", i), "safe", 0, now+2000)) {
				if a.Kind == Send {
					h.at(now, attemptEnded(a.ID, a.Attempt, OK, true))
					units++
				}
			}
		}
		if maxUnits := burst + rate*float64(i)/1000 + 1; units > maxUnits {
			t.Fatalf("%v units sent after %d ms, but %v are allowed", units, i, maxUnits)
		}
	}
	if units < rate*3 {
		t.Errorf("only %v units sent in 4 s", units)
	}
}

// Guards against a process that replaces another one and repeats what ran there, after nodes have forgotten the run, or rejects it although
// they will have when it is repeated.
func TestRepeatAtTheNextProcessIsBound(t *testing.T) {
	settings := keyedSettings()
	settings.MaxAttempts = 1
	former := newHarness(t, settings)
	if a := former.endInDoubt(t, keyedRequest("ended", "k", 9000), 1020); a.Kind != Reject {
		t.Fatalf("ended as %+v", a)
	}
	former.s.nodeByID["a"].nextSendAt = 0
	if actions := former.at(1030, keyedRequest("open", "j", 9000)); !wasSent(actions, "open") {
		t.Fatalf("not sent: %v", actions)
	}
	former.s.HandOver()
	const runs = 2
	earlier := former.s.EarlierRuns(1200)
	if len(earlier) != runs {
		t.Fatalf("passed on %+v", earlier)
	}
	for _, key := range []string{"k", "j"} {
		next := newHarness(t, settings)
		next.at(1300)
		next.s.AddEarlierRuns(1300, earlier)
		if a := next.endInDoubt(t, keyedRequest("other", "i", 9000), 1310); a.Kind != Reject {
			t.Errorf("a request that is no repeat ended as %+v", a)
		}
		next.s.nodeByID["a"].nextSendAt = 0
		if actions := next.at(1650, keyedRequest("repeat", key, 9000)); !wasSent(actions, "repeat") {
			t.Fatalf("the repeat was not sent: %v", actions)
		}
		if a := endOf(t, next.at(1750, attemptEnded("repeat", 0, ConnectionReset, false)), "repeat"); a.Kind != Fail {
			t.Errorf("key %s: ended as %+v", key, a)
		}
		if actions := next.at(2200, keyedRequest("late", key, 9000)); wasSent(actions, "late") || endOf(t, actions, "late").Kind != Fail {
			t.Errorf("key %s: a repeat after the window: %v", key, actions)
		}
	}
}

// Guards against a rejection of what may have run, whose repeat reaches the next process, which does not know the run.
func TestPossibleRunIsNotRejectedAfterTheHandover(t *testing.T) {
	settings := keyedSettings()
	settings.MaxAttempts = 1
	h := newHarness(t, settings)
	h.step(keyedRequest("x", "k", 9000))
	h.s.HandOver()
	if a := endOf(t, h.at(1020, attemptEnded("x", 0, ConnectionReset, false)), "x"); a.Kind != Fail {
		t.Errorf("may have run: ended as %+v", a)
	}
	h.s.nodeByID["a"].nextSendAt = 0
	h.at(1100, keyedRequest("y", "j", 9000))
	if a := endOf(t, h.at(1120, attemptEnded("y", 0, NodeFull, false)), "y"); a.Kind != Reject {
		t.Errorf("never ran: ended as %+v", a)
	}
}
