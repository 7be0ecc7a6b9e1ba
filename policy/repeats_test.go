package policy

import (
	"fmt"
	"testing"
)

// keyedSettings returns test settings with the class "keyed", whose repeats every node discards for a second.
func keyedSettings() Settings {
	settings := testSettings()
	settings.ClientsKeepKeys = true
	settings.Classes = append(settings.Classes, Class{Name: "keyed", LatencyObjective: 3000, Deadline: 3000, PriorityWeight: 1, Effect: IdempotentByKey,
		DedupScope: DedupAll, DedupWindow: 1000})
	return settings
}

// keyedRequest returns the arrival of a request under an idempotency key.
func keyedRequest(id, key string, deadline float64) Event {
	ev := requestArrived(id, "keyed", 0, deadline)
	ev.Request.IdempotencyKey = key
	return ev
}

// endOf returns the action that ends a request.
func endOf(t *testing.T, actions []Action, id string) Action {
	t.Helper()
	for _, a := range actions {
		if a.ID == id && (a.Kind == Reject || a.Kind == Fail) {
			return a
		}
	}
	t.Fatalf("%s does not end: %v", id, actions)
	return Action{}
}

// endInDoubt sends a request at the present time, ends its only attempt at another time as reset, and returns how the request ends.
func (h *harness) endInDoubt(t *testing.T, ev Event, at float64) Action {
	t.Helper()
	if actions := h.step(ev); !wasSent(actions, ev.Request.ID) {
		t.Fatalf("%s was not sent: %v", ev.Request.ID, actions)
	}
	return endOf(t, h.at(at, attemptEnded(ev.Request.ID, 0, ConnectionReset, false)), ev.Request.ID)
}

// Guards against a rejection whose repeat comes when nodes discard it no more: the request would run a second time.
func TestRejectionEndsBeforeTheDedupWindow(t *testing.T) {
	const window, margin = 1000, 200 // ms; a scheduler that is held up, and the way
	for _, after := range []float64{10, 300, 590, 610, 900, 990, 1010, 2000} {
		settings := keyedSettings()
		settings.MaxAttempts = 1
		h := newHarness(t, settings)
		a := h.endInDoubt(t, keyedRequest("x", "k", 9000), 1000+after)
		repeatAt := after + a.Wait
		switch {
		case a.Kind == Reject && (repeatAt > window-margin || a.RepeatBy < h.now+a.Wait || a.RepeatBy > 1000+window-margin):
			t.Errorf("%v ms after the send: rejected, to be repeated after %v ms, until %v", after, a.Wait, a.RepeatBy)
		case a.Kind == Fail && after < window/2:
			t.Errorf("%v ms after the send: failed, though a repeat would be discarded", after)
		}
	}
}

// A client's repeat of a request that may have run is bound by the window of the first attempt, as the scheduler's own retries are.
func TestRepeatIsBoundByTheFirstAttempt(t *testing.T) {
	settings := keyedSettings()
	settings.MaxAttempts = 1
	h := newHarness(t, settings)
	if a := h.endInDoubt(t, keyedRequest("x", "k", 9000), 1020); a.Kind != Reject {
		t.Fatalf("ended as %+v", a)
	}
	h.s.nodeByID["a"].nextSendAt = 0
	actions := h.at(1200, keyedRequest("repeat", "k", 9000), keyedRequest("other", "j", 9000))
	for _, a := range actions {
		if a.Kind == Send && (a.ID == "repeat" && a.StartBy != 2000 || a.ID == "other" && a.StartBy != 0) {
			t.Errorf("%s must start by %v", a.ID, a.StartBy)
		}
	}
	if !wasSent(actions, "repeat") || !wasSent(actions, "other") {
		t.Fatalf("not sent: %v", actions)
	}
	if a := endOf(t, h.at(1700, attemptEnded("repeat", 0, NodeFull, false)), "repeat"); a.Kind != Fail {
		t.Errorf("the repeat was not run, but the request may have: ended as %+v", a)
	}
	h.at(1710, attemptEnded("other", 0, OK, true))
	actions = h.at(2001, keyedRequest("late", "k", 9000), keyedRequest("new", "i", 9000))
	if a := endOf(t, actions, "late"); a.Kind != Fail || a.Reason != ReasonMayHaveRun || wasSent(actions, "late") {
		t.Errorf("a repeat after the window: %v", actions)
	}
	if len(h.s.requests) != 1 {
		t.Errorf("%d requests are left, want the new one", len(h.s.requests))
	}
}

// A repeat that waits until the window has ended is not sent, and fails.
func TestRepeatThatWaitsBeyondTheWindowIsNotSent(t *testing.T) {
	settings := keyedSettings()
	settings.MaxAttempts = 1
	h := newHarness(t, settings)
	h.endInDoubt(t, keyedRequest("x", "k", 9000), 1020)
	h.at(1030, Event{Kind: ListChanged, Nodes: []Node{{ID: "a", State: NodeDraining}}})
	h.at(1900, keyedRequest("repeat", "k", 2600))
	actions := h.at(2100, Event{Kind: ListChanged, Nodes: []Node{{ID: "a", State: NodeUp}}})
	actions = append(actions, h.at(2590, Event{Kind: TimerFired, Tag: sweepTimer})...)
	if a := endOf(t, actions, "repeat"); a.Kind != Fail || wasSent(actions, "repeat") {
		t.Errorf("%v", actions)
	}
}

// A client that has left may come again: its attempts that are outstanding may run.
func TestRepeatAfterADisconnectIsBound(t *testing.T) {
	h := newHarness(t, keyedSettings())
	h.step(keyedRequest("x", "k", 9000))
	h.at(1100, Event{Kind: ClientDisconnected, ID: "x"})
	if a := endOf(t, h.at(2010, keyedRequest("late", "k", 9000)), "late"); a.Kind != Fail {
		t.Errorf("ended as %+v", a)
	}
}

// A repeat may arrive before it is known that the client of the earlier request has left.
func TestRepeatThatOvertakesADisconnectIsBound(t *testing.T) {
	settings := keyedSettings()
	settings.MaxAttempts = 1
	h := newHarness(t, settings)
	h.step(keyedRequest("x", "k", 9000))
	h.at(1200, keyedRequest("repeat", "k", 9000))
	h.at(1210, Event{Kind: ClientDisconnected, ID: "x"})
	if a := endOf(t, h.at(1700, attemptEnded("repeat", 0, ConnectionReset, false)), "repeat"); a.Kind != Fail {
		t.Errorf("0.7 s after the first attempt, with a window of 1 s: ended as %+v", a)
	}
}

// Guards against a rejection under an effect that has become stricter: the repeat is decided by the new one.
func TestRejectionFollowsTheStricterClass(t *testing.T) {
	for name, x := range map[string]struct {
		change func(*Class)
		want   ActionKind
	}{
		"unchanged":    {func(*Class) {}, Reject},
		"unsafe":       {func(c *Class) { c.Effect = NonIdempotent }, Fail},
		"smaller":      {func(c *Class) { c.DedupScope = DedupShard }, Fail},
		"short window": {func(c *Class) { c.DedupWindow = 300 }, Fail},
		"safe":         {func(c *Class) { c.Effect = Idempotent }, Reject},
	} {
		t.Run(name, func(t *testing.T) {
			settings := keyedSettings()
			settings.MaxAttempts = 1
			h := newHarness(t, settings)
			h.step(keyedRequest("x", "k", 9000))
			settings.Classes = append([]Class(nil), settings.Classes...)
			x.change(&settings.Classes[len(settings.Classes)-1])
			if err := h.s.Reconfigure(settings); err != nil {
				t.Fatal(err)
			}
			if a := endOf(t, h.at(1100, attemptEnded("x", 0, ConnectionReset, false)), "x"); a.Kind != x.want {
				t.Errorf("ended as %+v", a)
			}
		})
	}
}

// A safe request that may have run is failed once its class has become unsafe.
func TestRejectionOfASafeRequestAfterItsClassBecameUnsafe(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 1
	h := newHarness(t, settings)
	h.step(requestArrived("x", "safe", 0, 9000))
	settings.Classes = append([]Class(nil), settings.Classes...)
	settings.Classes[0].Effect = NonIdempotent
	if err := h.s.Reconfigure(settings); err != nil {
		t.Fatal(err)
	}
	if a := endOf(t, h.at(1100, attemptEnded("x", 0, ConnectionReset, false)), "x"); a.Kind != Fail {
		t.Errorf("ended as %+v", a)
	}
}

// Possible runs are bounded and forgotten. Without room for one, its request fails.
func TestPossibleRunsAreBounded(t *testing.T) {
	settings := keyedSettings()
	settings.MaxAttempts = 1
	h := newHarness(t, settings)
	for i := range maxPossibleRuns {
		h.s.possibleRuns[requestKey{"keyed", "v", fmt.Sprint(i)}] = possibleRun{keepUntil: 1500}
	}
	if a := h.endInDoubt(t, keyedRequest("x", "k", 9000), 1020); a.Kind != Fail {
		t.Errorf("ended as %+v", a)
	}
	h.s.nodeByID["a"].nextSendAt = 0
	h.at(1600, Event{Kind: TimerFired, Tag: tickTimer})
	if a := h.endInDoubt(t, keyedRequest("y", "l", 9000), 1620); a.Kind != Reject || len(h.s.possibleRuns) != 1 {
		t.Errorf("ended as %+v with %d possible runs", a, len(h.s.possibleRuns))
	}
	h.at(1620+1000+3000+1, Event{Kind: TimerFired, Tag: tickTimer})
	if len(h.s.possibleRuns) != 0 {
		t.Errorf("%d possible runs are left", len(h.s.possibleRuns))
	}
}
