package policy

import (
	"fmt"
	"slices"
	"testing"
)

// Classes are added and removed while a request is in flight. The request keeps its class, and later requests follow the
// new settings.
func TestReconfigureWithRequestsInFlight(t *testing.T) {
	h := newHarness(t, testSettings())
	if actions := h.step(requestArrived("old", "safe", 0, 5000)); !wasSent(actions, "old") {
		t.Fatalf("not sent: %v", actions)
	}
	next := testSettings()
	next.MaxAttempts = 1
	next.Classes = []Class{{Name: "once", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: NonIdempotent},
		{Name: "fresh", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 2},
		{Name: "safe-next", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: DedupShard, DedupWindow: 2500}}
	if err := h.s.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if got := h.s.Classes(); !slices.Equal(got, []string{"once", "fresh", "safe-next"}) {
		t.Fatalf("classes %v", got)
	}
	// The request of the removed class still ends by the rules of its class.
	h.now += 10
	actions := h.step(attemptEnded("old", 0, OK, true))
	if countActions(actions, Send) != 0 {
		t.Fatalf("sent again after being served: %v", actions)
	}
	h.now += 10
	if actions := h.step(requestArrived("new", "safe", 0, h.now+3000)); !wasRejected(actions, "new") {
		t.Fatalf("a request of a removed class was not rejected: %v", actions)
	}
	if actions := h.step(requestArrived("f", "fresh", 0, h.now+3000)); !wasSent(actions, "f") {
		t.Fatalf("a request of a new class was not sent: %v", actions)
	}
	// The retired class is removed at the next tick after its last request, and the remaining classes get new indexes.
	h.now += tickIntervalMs
	h.step(Event{Kind: TimerFired, Tag: tickTimer})
	for i, c := range h.s.classes {
		if c.index != i {
			t.Fatalf("class %s at %d has index %d", c.Name, i, c.index)
		}
	}
	if len(h.s.classes) != 3 {
		t.Fatalf("%d classes, want the 3 live ones", len(h.s.classes))
	}
	invalid := next
	invalid.Classes = []Class{{Name: "x", LatencyObjective: 400, Deadline: -5, PriorityWeight: 1}}
	if err := h.s.Reconfigure(invalid); err == nil || !slices.Equal(h.s.Classes(), []string{"once", "fresh", "safe-next"}) {
		t.Fatalf("after invalid settings: error %v, classes %v", err, h.s.Classes())
	}
}

// A class with a changed effect is a new class. The request in flight keeps the old effect, and later requests have the
// new one.
func TestReconfigureToAStricterEffect(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(requestArrived("old", "safe", 0, 5000))
	next := testSettings()
	next.Classes[0].Effect = NonIdempotent
	if err := h.s.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if h.s.requests["old"].class.Effect != Idempotent {
		t.Fatal("the request in flight has the new effect")
	}
	if h.s.classByName["safe"].Effect != NonIdempotent {
		t.Fatal("new requests do not have the new effect")
	}
	if len(h.s.classes) != 3 {
		t.Fatalf("%d classes, want 3 including the retired one", len(h.s.classes))
	}
	// After a connection reset the old request may be retried, because its class is idempotent.
	h.now += 10
	if actions := h.step(attemptEnded("old", 0, ConnectionReset, false)); !wasSent(actions, "old") {
		t.Fatalf("the old request was not retried: %v", actions)
	}
}

// A change of a plan's rate limit keeps the tokens of the buckets, both for a volume with state and for a new one. A bucket
// fills by the old plan until the change and by the new plan afterwards, and never exceeds the burst of the new plan.
func TestReconfigureKeepsTokensOfLimits(t *testing.T) {
	for _, tc := range []struct {
		name       string
		old, next  [2]float64 // limit, burst; 0: none
		spent      int        // units of the known volume, sent 4 s after the scheduler's first request
		known, new int        // units allowed a second after the change
	}{
		{"unchanged", [2]float64{4, 12}, [2]float64{4, 12}, 12, 4, 12},
		{"raised", [2]float64{4, 12}, [2]float64{10, 40}, 12, 10, 22},
		{"lowered", [2]float64{4, 12}, [2]float64{2, 3}, 12, 2, 3},
		{"lowered below a full bucket", [2]float64{4, 12}, [2]float64{1, 3}, 0, 3, 3},
		{"added to a plan without a limit", [2]float64{}, [2]float64{4, 12}, 20, 4, 4},
		{"removed", [2]float64{4, 12}, [2]float64{}, 12, 30, 30},
	} {
		h := newHarness(t, limitedSettings(tc.old[0], tc.old[1]))
		h.sendUnits("known", 1, 0)
		h.sendUnits("other", 1, 1) // the scheduler's first request
		h.at(h.now + 4000)
		if n := h.sendUnits("known", 1, tc.spent); n != tc.spent {
			t.Fatalf("%s: %d units sent before the change, want %d", tc.name, n, tc.spent)
		}
		if tc.spent == 0 {
			h.sendUnits("known", 1, 1) // creates the state of the volume
			h.at(h.now + 250)
		}
		h.reconfigure(limitedSettings(tc.next[0], tc.next[1]))
		h.at(h.now + 1000)
		if n := h.sendUnits("known", 1, 30); n != tc.known {
			t.Errorf("%s: %d units sent of the known volume, want %d", tc.name, n, tc.known)
		}
		if n := h.sendUnits("new", 1, 30); n != tc.new {
			t.Errorf("%s: %d units sent of a new volume, want %d", tc.name, n, tc.new)
		}
	}
}

// The time before a change counts with the old rate limit. The burst of the new plan also limits an instance that has
// handed over.
func TestReconfigureCountsTheTimeBeforeTheChange(t *testing.T) {
	for _, tc := range []struct {
		name       string
		handedOver bool
		next       [2]float64
		want       int
	}{{"raised", false, [2]float64{10, 40}, 18}, {"lowered, handed over", true, [2]float64{1, 3}, 3}} {
		h := newHarness(t, limitedSettings(4, 12))
		h.sendUnits("other", 1, 1)
		h.at(h.now + 60e3)
		h.sendUnits("v", 1, 11)
		if !tc.handedOver {
			h.sendUnits("v", 1, 1)
		}
		h.at(h.now + 2000)
		if tc.handedOver {
			h.sendUnits("v", 1, 1) // the bucket fills until the handover
			h.s.HandOver()
		}
		h.reconfigure(limitedSettings(tc.next[0], tc.next[1]))
		h.at(h.now + 1000)
		if n := h.sendUnits("v", 1, 30); n != tc.want {
			t.Errorf("%s: %d units sent, want %d", tc.name, n, tc.want)
		}
	}
}

// The usage of a volume that is too old to count does not count again after a change.
func TestReconfigureRestoresNoOldUsage(t *testing.T) {
	h := newHarness(t, testSettings())
	h.sendUnits("v", 1, 1)
	v := h.s.volumes[volumeKey{"v", "p"}]
	v.usageLevel = 1
	h.at(h.now + usageWindowMs)
	h.reconfigure(testSettings())
	if v.usageLevel > 0 && h.s.now-v.refilledAt < usageWindowMs {
		t.Errorf("usage %v counts again", v.usageLevel)
	}
}

// Repeated changes between two plans never allow more units than the plan with the larger limit. This holds for a volume
// with state and for a new one, with and without time between the changes.
func TestReconfigureAddsNoTokens(t *testing.T) {
	for _, tc := range []struct {
		between          [2]float64 // limit, burst; 0: none
		known, newVolume int        // units allowed after 0.2 s under each of the two limits
	}{{[2]float64{}, 0, 0}, {[2]float64{4, 40}, 1, 12}, {[2]float64{2, 3}, 1, 3}, {[2]float64{10, 40}, 2, 12}} {
		for _, pauseMs := range []float64{0, 10} { // ms between two changes
			h := newHarness(t, limitedSettings(4, 12))
			h.sendUnits("other", 1, 1)
			h.at(h.now + 60e3)
			units, known := 30, 0
			if pauseMs > 0 { // unsent requests would wait and be sent while the bucket fills
				units, known = 12, tc.known
			}
			if n := h.sendUnits("v", 1, units); n != 12 {
				t.Fatalf("%d units sent, want 12", n)
			}
			for range 20 {
				h.reconfigure(limitedSettings(tc.between[0], tc.between[1]))
				h.at(h.now + pauseMs)
				h.reconfigure(limitedSettings(4, 12))
				h.at(h.now + pauseMs)
			}
			h.reconfigure(limitedSettings(50, 200))
			if n := h.sendUnits("v", 1, 30); n != known {
				t.Errorf("limit %v between, changes %v ms apart: %d units sent of the known volume, want %d", tc.between[0], pauseMs, n, known)
			}
			if n := h.sendUnits("unheard", 1, 30); n != tc.newVolume {
				t.Errorf("limit %v between, changes %v ms apart: %d units sent of a new volume, want %d", tc.between[0], pauseMs, n, tc.newVolume)
			}
		}
	}
}

// After a plan was renamed or removed, its volumes use the plan that their new requests name, and no longer the removed one.
// The change adds no tokens to the buckets.
func TestReconfigureRemovesAPlanInUse(t *testing.T) {
	for _, tc := range []struct {
		limit, burst float64
		want         int // units sent a second after the change
	}{{4, 12, 4}, {10, 12, 10}, {0, 0, 30}} {
		h := newHarness(t, limitedSettings(4, 12))
		h.sendUnits("other", 1, 1)
		h.at(h.now + 60e3)
		h.sendUnits("v", 1, 12) // spent
		next := limitedSettings(tc.limit, tc.burst)
		next.Plans = []Plan{{Name: "else", Rate: 1}, next.Plans[0]}
		next.Plans[1].Name = "renamed"
		h.reconfigure(next)
		sent := 0
		for i := range 2 { // the first request of the volume names the new plan
			for k := range 30 {
				ev := requestArrived(fmt.Sprint(i, "-", k), "safe", 0, h.now+100)
				ev.Request.Plan = "renamed"
				for _, a := range h.step(ev) {
					if a.Kind == Send && a.ID == ev.Request.ID {
						sent++
						h.step(attemptEnded(a.ID, 0, OK, true))
					}
				}
				if i == 0 {
					break
				}
			}
			if i == 0 {
				if tc.limit > 0 && sent != 0 {
					t.Errorf("limit %v: sent although the bucket is empty", tc.limit)
				}
				sent = 0
				h.at(h.now + 1000)
			}
		}
		if sent != tc.want {
			t.Errorf("limit %v: %d units sent, want %d", tc.limit, sent, tc.want)
		}
	}
}

// When a plan is removed and added again, its volumes use the new definition and keep the tokens in their buckets.
func TestReconfigureWithPlanAddedAgain(t *testing.T) {
	h := newHarness(t, limitedSettings(4, 12))
	h.sendUnits("other", 1, 1)
	h.at(h.now + 60e3)
	h.sendUnits("v", 1, 12) // spent
	without := testSettings()
	without.Plans[0].Name = "else"
	h.reconfigure(without)
	h.reconfigure(limitedSettings(10, 40))
	if n := h.sendUnits("v", 1, 1); n != 0 {
		t.Error("sent although the bucket is empty")
	}
	h.at(h.now + 1000)
	if n := h.sendUnits("v", 1, 30); n != 10 {
		t.Errorf("%d units sent, want 10", n)
	}
}

// A request in flight gets no more attempts than the settings allowed on its arrival, and no more than they allow now.
func TestRequestInFlightKeepsTheLowerMaxAttempts(t *testing.T) {
	for _, tc := range []struct{ old, next, want int }{{3, 1, 1}, {1, 3, 1}, {2, 3, 2}} {
		settings := testSettings()
		settings.MaxAttempts = tc.old
		h := newHarness(t, settings)
		attempts := 0
		if wasSent(h.step(requestArrived("a", "safe", 0, 5000)), "a") {
			attempts++
		}
		settings.MaxAttempts = tc.next
		h.reconfigure(settings)
		for i := range 5 {
			h.now++
			if wasSent(h.step(attemptEnded("a", i, Errored, false)), "a") {
				attempts++
			}
		}
		if attempts != tc.want {
			t.Errorf("%d attempts allowed, then %d: %d sent", tc.old, tc.next, attempts)
		}
	}
}

// Requests that end in a retired class do not make the class borrow weight from the live classes.
func TestRetiredClassBorrowsNoWeight(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(requestArrived("old", "safe", 0, 50e3), requestArrived("holds", "safe", 0, 50e3))
	next := testSettings()
	next.Classes[0].Name = "renamed"
	h.reconfigure(next)
	retired := h.s.requests["old"].class
	h.now += 1900 // far past its objective
	h.step(attemptEnded("old", 0, OK, true))
	if retired.sampleCount == 0 {
		t.Fatal("the retired class has no sample, so the test does not reach its case")
	}
	h.s.nextAdaptAt = h.now
	h.step(Event{Kind: TimerFired, Tag: tickTimer})
	if retired.delay != 0 || retired.weightChanged {
		t.Errorf("the retired class has a delay of %v", retired.delay)
	}
	if total := h.s.classByName["renamed"].weight + h.s.classByName["once"].weight; total < 0.999 {
		t.Errorf("the live classes have only %v of the weight", total)
	}
}
