package policy

import (
	"fmt"
	"testing"
)

func TestErrorsDoNotWidenTheWindow(t *testing.T) {
	r := newHarness(t, testSettings())
	for i := range 50 {
		id := "e" + string(rune('0'+i))
		r.at(r.now+20, call(id, "once", 0, r.now+2000))
		r.at(r.now+1, done(id, 0, Errored, false))
	}
	if w := r.s.nodeByID["a"].window.size; w > initialWindow {
		t.Errorf("window %v after errors alone", w)
	}
}

// A crowded node takes a scheduler's window below two, and a fleet of many schedulers further;
// a scheduler that hears little of the node acts by time, from what it had out.
func TestOverloadedWindowIsDividedAmongSchedulers(t *testing.T) {
	for hosts, least := range map[int]float64{1: 2, 4: 1, 8: 0.5, 256: 4.0 / 256} {
		set := testSettings()
		set.Schedulers = hosts
		r := newHarness(t, set)
		n := r.s.nodeByID["a"]
		for range 40 {
			r.at(r.now+600, Event{Kind: TimerFired})
			r.s.recordLatency(n, 900, 2)
		}
		if n.window.size != least {
			t.Errorf("%v schedulers: window %v, want %v", hosts, n.window.size, least)
		}
		if gap := r.s.sendGap(n); gap > 1.5*maxSendGapMs {
			t.Errorf("%v schedulers: rest of %v", hosts, gap)
		}
		for range 40 {
			r.at(r.now+600, Event{Kind: TimerFired})
			r.s.recordLatency(n, 30, 2)
		}
		if n.window.size < minWindow {
			t.Errorf("%v schedulers: no way back, window %v", hosts, n.window.size)
		}
	}
}

// A narrowed window rations shares with rests; what is due goes on, two at a time.
func TestReservedRequestsKeepTheMinimumWindow(t *testing.T) {
	set := testSettings()
	set.Plans[0].ReservedRate = 100
	r := newHarness(t, set)
	n := r.s.nodeByID["a"]
	n.window.size, n.nextSendAt = 0.1, r.now+3000
	for i := range 3 {
		r.step(call(fmt.Sprint("r", i), "safe", 0, 3000))
	}
	if len(n.inFlight) != 2 {
		t.Errorf("%d reserve requests out at a resting node", len(n.inFlight))
	}
	r.at(1010, done("r0", 0, NodeFull, false)) // a full node has said no: it rests from all
	if len(n.inFlight) != 1 {
		t.Errorf("%d out at a full node", len(n.inFlight))
	}
}
