package policy

import (
	"fmt"
	"slices"
	"testing"
)

// arriving returns the event that a long response has begun to arrive after a latency.
func arriving(id string, latency float64) Event {
	return Event{Kind: ResponseArriving, ID: id, Latency: latency}
}

// Guards against cancelling an attempt at its objective although its response is arriving, and against counting the time of
// the transfer as the node's latency.
func TestArrivingResponseIsNeitherCancelledNorLatency(t *testing.T) {
	settings := testSettings()
	settings.MayCancel, settings.MayHedge = true, true
	for _, class := range []string{"safe", "once"} {
		h := newHarness(t, settings)
		var actions []Action
		for i := range int(initialWindow) {
			id := fmt.Sprint("long-", i)
			h.step(requestArrived(id, class, 0, h.now+2000))
			h.at(h.now+10, arriving(id, 10))
		}
		for h.now < 2900 {
			actions = append(actions, h.at(h.now+10, Event{Kind: TimerFired, Tag: sweepTimer})...)
		}
		n := h.s.nodeByID["a"]
		if countActions(actions, Cancel)+countActions(actions, Send)+countActions(actions, Reject)+countActions(actions, Fail) > 0 {
			t.Errorf("%s: while the responses arrive: %v", class, actions)
		}
		if len(n.inFlight) > 0 || n.silent {
			t.Errorf("%s: %d attempts count as in flight, silent is %v", class, len(n.inFlight), n.silent)
		}
		if !wasSent(h.step(requestArrived("small", class, 0, h.now+2000)), "small") {
			t.Errorf("%s: another request has to wait", class)
		}
		if latency := h.s.expectedLatency(n); latency > 11 {
			t.Errorf("%s: the node's expected latency is %v ms", class, latency)
		}
		h.step(attemptEnded("long-0", 0, OK, true))
		if h.s.requests["long-0"] != nil {
			t.Errorf("%s: a served request is kept", class)
		}
	}
}

// Guards against a request that waits for a response which never ends: where hedges are allowed, the pause queues another
// attempt and the first one stays open. A reset before anything was passed on is retried like any other.
func TestPausedResponseIsHedgedAndAResetRetried(t *testing.T) {
	settings := testSettings()
	settings.MayCancel, settings.MayHedge = true, true
	h := newHarness(t, settings)
	for _, class := range []string{"safe", "once"} {
		h.step(requestArrived("paused-"+class, class, 0, h.now+2000), requestArrived("reset-"+class, class, 0, h.now+2000))
		h.at(h.now+10, arriving("paused-"+class, 10), arriving("reset-"+class, 10))
		actions := h.at(h.now+10, Event{Kind: TransferPaused, ID: "paused-" + class}, attemptEnded("reset-"+class, 0, ConnectionReset, false))
		mayRepeat := class == "safe"
		if wasSent(actions, "paused-"+class) != mayRepeat || wasSent(actions, "reset-"+class) != mayRepeat || countActions(actions, Cancel) > 0 {
			t.Errorf("class %s: %v", class, actions)
		}
	}
	actions := h.at(h.now+10, attemptEnded("paused-safe", 0, OK, true))
	if r := h.s.requests["paused-safe"]; r == nil || !r.done || countActions(actions, Fail)+countActions(actions, Reject) > 0 {
		t.Errorf("the first attempt's response did not end the request: %v", actions)
	}
}

// Guards against a slowly read request counting as a node that says nothing: its attempt is not cancelled, not in flight, and neither its
// time nor its end at the deadline counts against the node, so that small requests are sent to it as before.
func TestSlowlyReadRequestCostsOthersNothing(t *testing.T) {
	settings := testSettings()
	settings.MayCancel = true
	for _, class := range []string{"safe", "once"} {
		h := newHarness(t, settings)
		var actions []Action
		for i := range int(initialWindow) {
			id := fmt.Sprint("long-", i)
			h.step(requestArrived(id, class, 0, 2000))
			h.at(h.now+10, Event{Kind: AttemptTransferring, ID: id})
		}
		for h.now < 1998 {
			actions = append(actions, h.at(min(h.now+10, 1998), Event{Kind: TimerFired, Tag: sweepTimer})...)
		}
		n := h.s.nodeByID["a"]
		for i := range int(initialWindow) {
			h.at(h.now, Event{Kind: AttemptEnded, ID: fmt.Sprint("long-", i), Status: Abandoned, Latency: 900})
		}
		if countActions(actions, Cancel)+countActions(actions, Send)+countActions(actions, Reject)+countActions(actions, Fail) > 0 {
			t.Errorf("%s: while the request is read: %v", class, actions)
		}
		if len(n.inFlight) > 0 || n.silent || n.backoff > 0 || n.failureRate > 0 {
			t.Errorf("%s: %d in flight, silent %v, backoff %v, failure rate %v", class, len(n.inFlight), n.silent, n.backoff, n.failureRate)
		}
		if latency := h.s.expectedLatency(n); latency > minLatencyMs {
			t.Errorf("%s: the node's expected latency is %v ms", class, latency)
		}
		if !wasSent(h.step(requestArrived("small", class, 0, h.now+1000)), "small") {
			t.Errorf("%s: another request has to wait", class)
		}
	}
}

// Guards against a request that is rejected after a cancel for its age which was void, since its node had begun to answer: the attempt
// goes on, and a reset of it is retried.
func TestVoidCancelLeavesTheAttemptOpen(t *testing.T) {
	settings := testSettings()
	settings.MayCancel = true
	h := newHarness(t, settings)
	h.step(requestArrived("r", "safe", 0, h.now+2000))
	var cancels []Action
	for h.now < 1600 {
		cancels = append(cancels, h.at(h.now+10, Event{Kind: TimerFired, Tag: sweepTimer})...)
	}
	if countActions(cancels, Cancel) != 1 || !cancels[slices.IndexFunc(cancels, func(a Action) bool { return a.Kind == Cancel })].OnlyIfSilent {
		t.Fatalf("past the objective: %v", cancels)
	}
	h.step(Event{Kind: AttemptTransferring, ID: "r"})
	if actions := h.at(h.now+10, attemptEnded("r", 0, ConnectionReset, false)); !wasSent(actions, "r") {
		t.Errorf("after a reset: %v", actions)
	}
}

// Guards against a node that counts as one that answers late, since it took long to read a request that it then served.
func TestServedSlowlyReadRequestIsNoLateAnswer(t *testing.T) {
	h := newHarness(t, testSettings())
	n := h.s.nodeByID["a"]
	before := h.s.expectedLatency(n)
	h.step(requestArrived("r", "safe", 0, h.now+2000))
	h.at(h.now+10, Event{Kind: AttemptTransferring, ID: "r"})
	h.at(h.now+1900, Event{Kind: AttemptEnded, ID: "r", Status: OK, Latency: 1910, Finished: true})
	if latency := h.s.expectedLatency(n); latency > max(before, minLatencyMs) {
		t.Errorf("the node's expected latency is %v ms, %v ms before", latency, before)
	}
	if !n.slowStart.answeredInTime {
		t.Error("the node counts as one that answers late")
	}
}
