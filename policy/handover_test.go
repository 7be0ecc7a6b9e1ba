package policy

import (
	"fmt"
	"testing"
)

// After the handover a limit's store is spent and no longer refilled, a request that waits for more is rejected, and what
// has no limit is served on. Reconfigure changes nothing of it.
func TestHandOverAddsNoTokens(t *testing.T) {
	r := newLimitedHarness(t, 20, 4)
	served := func(i int) bool {
		id := fmt.Sprint("x", i)
		acts := r.step(call(id, "safe", 0, r.now+2000))
		out := wasSent(acts, id)
		if out {
			r.at(r.now+1, done(id, 0, OK, true))
		} else if !wasRejected(acts, id) {
			t.Fatalf("%s waits: %v", id, acts)
		}
		return out
	}
	if acts := r.step(call("early", "safe", 0, r.now+2000)); wasSent(acts, "early") {
		t.Fatal("served from an empty store")
	}
	r.at(r.now+200, Event{Kind: TimerFired, Tag: sweepTimer}) // the store is full, less one
	r.step(done("early", 0, OK, true))
	wait := call("waits", "safe", 0, r.now+2000)
	wait.Request.Units = 8 // never
	if acts := r.step(wait); wasSent(acts, "waits") || wasRejected(acts, "waits") {
		t.Fatalf("%v", acts)
	}
	r.s.HandOver()
	if acts := r.step(Event{Kind: TimerFired, Tag: sweepTimer}); !wasRejected(acts, "waits") {
		t.Errorf("it waits on: %v", acts)
	}
	if err := r.s.Reconfigure(r.s.settings); err != nil {
		t.Fatal(err)
	}
	n := 0
	for i := range 40 {
		r.now += 500
		if served(i) {
			n++
		}
	}
	if n != 3 {
		t.Errorf("%d units after the handover, the store had 3", n)
	}
	late := call("late", "safe", 0, r.now+2000)
	late.Request.Volume = "other" // one that is seen after it
	if acts := r.step(late); !wasRejected(acts, "late") {
		t.Errorf("%v", acts)
	}
	free := newLimitedHarness(t, 0, 0)
	free.s.HandOver()
	if acts := free.step(call("free", "safe", 0, free.now+2000)); !wasSent(acts, "free") {
		t.Errorf("no limit, and not sent: %v", acts)
	}
}

// Two instances of one scheduler, the second from the first's handover on: together they draw no more than one does.
func TestHandOverKeepsTheLimit(t *testing.T) {
	const rate, burst = 20.0, 10.0
	first, second := newLimitedHarness(t, rate, burst), newLimitedHarness(t, rate, burst)
	drawn, from := 0.0, first.now
	for i := range 4000 {
		now := from + float64(i)
		if i == 2000 {
			first.s.HandOver()
		}
		for k, r := range []*harness{first, second} {
			if k == 1 && i < 2000 {
				continue
			}
			for _, a := range r.at(now, call(fmt.Sprint("x", k, "-", i), "safe", 0, now+2000)) {
				if a.Kind == Send {
					r.at(now, done(a.ID, a.Attempt, OK, true))
					drawn++
				}
			}
		}
		if most := burst + rate*float64(i)/1000 + 1; drawn > most {
			t.Fatalf("%v units after %d ms, %v are allowed", drawn, i, most)
		}
	}
	if drawn < rate*3 {
		t.Errorf("%v units in 4 s", drawn)
	}
}
