package policy

import (
	"fmt"
	"testing"
)

func TestErrorsDoNotWidenTheWindow(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 50 {
		id := "e" + string(rune('0'+i))
		h.at(h.now+20, requestArrived(id, "once", 0, h.now+2000))
		h.at(h.now+1, attemptEnded(id, 0, Errored, false))
	}
	if w := h.s.nodeByID["a"].window.size; w > initialWindow {
		t.Errorf("window %v after errors only", w)
	}
}

// At an overloaded node the window of a scheduler falls below 2, and lower in a fleet of many schedulers. At a scheduler
// that gets few answers from the node, the epochs end by time, and the window is reduced from the peak in flight.
func TestOverloadedWindowIsDividedAmongSchedulers(t *testing.T) {
	for schedulers, want := range map[int]float64{1: 2, 4: 1, 8: 0.5, 256: 4.0 / 256} {
		settings := testSettings()
		settings.Schedulers = schedulers
		h := newHarness(t, settings)
		n := h.s.nodeByID["a"]
		for range 40 {
			h.at(h.now+600, Event{Kind: TimerFired})
			h.s.recordLatency(n, 900, 2)
		}
		if n.window.size != want {
			t.Errorf("%v schedulers: window %v, want %v", schedulers, n.window.size, want)
		}
		if gap := h.s.sendGap(n); gap > 1.5*maxSendGapMs {
			t.Errorf("%v schedulers: send gap of %v ms", schedulers, gap)
		}
		for range 40 {
			h.at(h.now+600, Event{Kind: TimerFired})
			h.s.recordLatency(n, 30, 2)
		}
		if n.window.size < minWindow {
			t.Errorf("%v schedulers: window %v did not recover", schedulers, n.window.size)
		}
	}
}

// A small window with send gaps does not restrict reserved requests: two of them may still be in flight.
func TestReservedRequestsKeepTheMinimumWindow(t *testing.T) {
	settings := testSettings()
	settings.Plans[0].ReservedRate = 100
	h := newHarness(t, settings)
	n := h.s.nodeByID["a"]
	n.window.size, n.nextSendAt = 0.1, h.now+3000
	for i := range 3 {
		h.step(requestArrived(fmt.Sprint("r", i), "safe", 0, 3000))
	}
	if len(n.inFlight) != 2 {
		t.Errorf("%d reserved requests in flight during a send gap, want 2", len(n.inFlight))
	}
	h.at(1010, attemptEnded("r0", 0, NodeFull, false)) // after a rejection the backoff applies to all requests
	if len(n.inFlight) != 1 {
		t.Errorf("%d requests in flight at a full node, want 1", len(n.inFlight))
	}
}
