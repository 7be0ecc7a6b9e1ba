package policy

import (
	"fmt"
	"slices"
	"testing"
)

// Classes appear and vanish while requests are in flight. Those keep their class; later ones follow the new
// settings.
func TestReconfigureWithRequestsInFlight(t *testing.T) {
	r := newHarness(t, testSettings())
	if acts := r.step(call("old", "safe", 0, 5000)); !wasSent(acts, "old") {
		t.Fatalf("not sent: %v", acts)
	}
	next := testSettings()
	next.MaxAttempts = 1
	next.Classes = []Class{{Name: "once", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: NonIdempotent},
		{Name: "fresh", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 2},
		{Name: "safe-next", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: DedupShard, DedupWindow: 2500}}
	if err := r.s.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if got := r.s.Classes(); !slices.Equal(got, []string{"once", "fresh", "safe-next"}) {
		t.Fatalf("classes %v", got)
	}
	// The request of the vanished class still ends as its class allows.
	r.now += 10
	acts := r.step(done("old", 0, OK, true))
	if countActions(acts, Send) != 0 {
		t.Fatalf("sent again after being served: %v", acts)
	}
	r.now += 10
	if acts := r.step(call("new", "safe", 0, r.now+3000)); !wasRejected(acts, "new") {
		t.Fatalf("a vanished class was taken: %v", acts)
	}
	if acts := r.step(call("f", "fresh", 0, r.now+3000)); !wasSent(acts, "f") {
		t.Fatalf("a new class was not sent: %v", acts)
	}
	// The retired object goes at the next tick once nothing holds it, and the queues are
	// renumbered.
	r.now += tickIntervalMs
	r.step(Event{Kind: TimerFired, Tag: tickTimer})
	for i, c := range r.s.classes {
		if c.index != i {
			t.Fatalf("class %s at %d has index %d", c.Name, i, c.index)
		}
	}
	if len(r.s.classes) != 3 {
		t.Fatalf("%d class objects, want the 3 live ones", len(r.s.classes))
	}
	bad := next
	bad.Classes = []Class{{Name: "x", LatencyObjective: 400, Deadline: -5, PriorityWeight: 1}}
	if err := r.s.Reconfigure(bad); err == nil || !slices.Equal(r.s.Classes(), []string{"once", "fresh", "safe-next"}) {
		t.Fatalf("an invalid reconfiguration: %v, classes %v", err, r.s.Classes())
	}
}

// A class that changes its effect is a new class: the request in flight keeps the old effect,
// a later one has the new one.
func TestReconfigureToAStricterEffect(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(call("old", "safe", 0, 5000))
	next := testSettings()
	next.Classes[0].Effect = NonIdempotent
	if err := r.s.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if r.s.requests["old"].class.Effect != Idempotent {
		t.Fatal("the request under way took the new effect")
	}
	if r.s.classByName["safe"].Effect != NonIdempotent {
		t.Fatal("new requests do not take the new effect")
	}
	if len(r.s.classes) != 3 {
		t.Fatalf("%d class objects: the old one is held", len(r.s.classes))
	}
	// Reset of the old one: being safe it may go again.
	r.now += 10
	if acts := r.step(done("old", 0, ConnectionReset, false)); !wasSent(acts, "old") {
		t.Fatalf("the old request lost its class's repeats: %v", acts)
	}
}

// A change of a plan's limit carries the stores over: of a volume that is known, and of one that is not. It fills by the
// old plan until the change and by the new one from then on, and holds no more than the new one allows.
func TestReconfigureKeepsTokensOfLimits(t *testing.T) {
	for _, x := range []struct {
		what       string
		old, next  [2]float64 // limit, burst; 0: none
		spent      int        // of the known volume, 4 s after the scheduler's first request
		known, new int        // units that a second after the change allows
	}{
		{"unchanged", [2]float64{4, 12}, [2]float64{4, 12}, 12, 4, 12},
		{"raised", [2]float64{4, 12}, [2]float64{10, 40}, 12, 10, 22},
		{"lowered", [2]float64{4, 12}, [2]float64{2, 3}, 12, 2, 3},
		{"lowered under a full store", [2]float64{4, 12}, [2]float64{1, 3}, 0, 3, 3},
		{"given to a plan without", [2]float64{}, [2]float64{4, 12}, 20, 4, 4},
		{"taken away", [2]float64{4, 12}, [2]float64{}, 12, 30, 30},
	} {
		r := newHarness(t, limitedSettings(x.old[0], x.old[1]))
		r.countSent("known", 1, 0)
		r.countSent("other", 1, 1) // the host's first request
		r.at(r.now + 4000)
		if n := r.countSent("known", 1, x.spent); n != x.spent {
			t.Fatalf("%s: %d sent before, %d may", x.what, n, x.spent)
		}
		if x.spent == 0 {
			r.countSent("known", 1, 1) // so that it is known
			r.at(r.now + 250)
		}
		r.reconfigure(limitedSettings(x.next[0], x.next[1]))
		r.at(r.now + 1000)
		if n := r.countSent("known", 1, 30); n != x.known {
			t.Errorf("%s: %d sent of the known volume, %d may", x.what, n, x.known)
		}
		if n := r.countSent("new", 1, 30); n != x.new {
			t.Errorf("%s: %d sent of a new volume, %d may", x.what, n, x.new)
		}
	}
}

// Time that passed before a change counts at the old limit, and an instance that has handed over holds no more than the new
// plan allows either.
func TestReconfigureCountsTheTimeBeforeIt(t *testing.T) {
	for _, x := range []struct {
		what   string
		handed bool
		next   [2]float64
		wants  int
	}{{"raised", false, [2]float64{10, 40}, 18}, {"lowered, handed over", true, [2]float64{1, 3}, 3}} {
		r := newHarness(t, limitedSettings(4, 12))
		r.countSent("other", 1, 1)
		r.at(r.now + 60e3)
		r.countSent("v", 1, 11)
		if !x.handed {
			r.countSent("v", 1, 1)
		}
		r.at(r.now + 2000)
		if x.handed {
			r.countSent("v", 1, 1) // its store has filled until then
			r.s.HandOver()
		}
		r.reconfigure(limitedSettings(x.next[0], x.next[1]))
		r.at(r.now + 1000)
		if n := r.countSent("v", 1, 30); n != x.wants {
			t.Errorf("%s: %d sent, %d may", x.what, n, x.wants)
		}
	}
}

// The use of a volume that no longer counts does not count again for a change.
func TestReconfigureRestoresNoOldUsage(t *testing.T) {
	r := newHarness(t, testSettings())
	r.countSent("v", 1, 1)
	v := r.s.volumes[volumeKey{"v", "p"}]
	v.usageLevel = 1
	r.at(r.now + usageWindowMs)
	r.reconfigure(testSettings())
	if v.usageLevel > 0 && r.s.now-v.refilledAt < usageWindowMs {
		t.Errorf("use %v counts", v.usageLevel)
	}
}

// Changes there and back, however often, give no unit that the plan with the larger limit does not: neither to a volume that is
// known nor to one that is not, whether time passes between the changes or not.
func TestReconfigureAddsNoTokens(t *testing.T) {
	for _, x := range []struct {
		between        [2]float64 // limit, burst; 0: none
		known, unheard int        // units that 0.2 s under each of the two limits allow
	}{{[2]float64{}, 0, 0}, {[2]float64{4, 40}, 1, 12}, {[2]float64{2, 3}, 1, 3}, {[2]float64{10, 40}, 2, 12}} {
		for _, apart := range []float64{0, 10} { // ms between two changes
			r := newHarness(t, limitedSettings(4, 12))
			r.countSent("other", 1, 1)
			r.at(r.now + 60e3)
			asked, known := 30, 0
			if apart > 0 { // what is not sent waits, and would go as the store fills
				asked, known = 12, x.known
			}
			if n := r.countSent("v", 1, asked); n != 12 {
				t.Fatalf("%d sent, 12 may", n)
			}
			for range 20 {
				r.reconfigure(limitedSettings(x.between[0], x.between[1]))
				r.at(r.now + apart)
				r.reconfigure(limitedSettings(4, 12))
				r.at(r.now + apart)
			}
			r.reconfigure(limitedSettings(50, 200))
			if n := r.countSent("v", 1, 30); n != known {
				t.Errorf("limit %v between, %v ms apart: %d sent of the known volume, %d may", x.between[0], apart, n, known)
			}
			if n := r.countSent("unheard", 1, 30); n != x.unheard {
				t.Errorf("limit %v between, %v ms apart: %d sent of a new volume, %d may", x.between[0], apart, n, x.unheard)
			}
		}
	}
}

// A volume whose plan was renamed or removed goes by the plan that its requests name from then on, with what its store held:
// not by one that no settings know any more.
func TestReconfigureWithoutAPlanInUse(t *testing.T) {
	for _, x := range []struct {
		limit, burst float64
		wants        int // a second after the change
	}{{4, 12, 4}, {10, 12, 10}, {0, 0, 30}} {
		r := newHarness(t, limitedSettings(4, 12))
		r.countSent("other", 1, 1)
		r.at(r.now + 60e3)
		r.countSent("v", 1, 12) // spent
		next := limitedSettings(x.limit, x.burst)
		next.Plans = []Plan{{Name: "else", Rate: 1}, next.Plans[0]}
		next.Plans[1].Name = "renamed"
		r.reconfigure(next)
		sent := 0
		for i := range 2 { // the first request takes the plan up
			for k := range 30 {
				ev := call(fmt.Sprint(i, "-", k), "safe", 0, r.now+100)
				ev.Request.Plan = "renamed"
				for _, a := range r.step(ev) {
					if a.Kind == Send && a.ID == ev.Request.ID {
						sent++
						r.step(done(a.ID, 0, OK, true))
					}
				}
				if i == 0 {
					break
				}
			}
			if i == 0 {
				if x.limit > 0 && sent != 0 {
					t.Errorf("%v: sent with an empty store", x.limit)
				}
				sent = 0
				r.at(r.now + 1000)
			}
		}
		if sent != x.wants {
			t.Errorf("%v: %d sent, %d may", x.limit, sent, x.wants)
		}
	}
}

// A plan that vanishes and comes back has its volumes go by its new definition, with what their stores held.
func TestReconfigureWithAPlanThatComesBack(t *testing.T) {
	r := newHarness(t, limitedSettings(4, 12))
	r.countSent("other", 1, 1)
	r.at(r.now + 60e3)
	r.countSent("v", 1, 12) // spent
	without := testSettings()
	without.Plans[0].Name = "else"
	r.reconfigure(without)
	r.reconfigure(limitedSettings(10, 40))
	if n := r.countSent("v", 1, 1); n != 0 {
		t.Error("sent with an empty store")
	}
	r.at(r.now + 1000)
	if n := r.countSent("v", 1, 30); n != 10 {
		t.Errorf("%d sent, 10 may", n)
	}
}

// A request in flight has no more attempts than the settings allowed when it came, nor than they allow now.
func TestReconfigureOfMaxAttempts(t *testing.T) {
	for _, x := range []struct{ old, next, wants int }{{3, 1, 1}, {1, 3, 1}, {2, 3, 2}} {
		set := testSettings()
		set.MaxAttempts = x.old
		r := newHarness(t, set)
		tries := 0
		if wasSent(r.step(call("a", "safe", 0, 5000)), "a") {
			tries++
		}
		set.MaxAttempts = x.next
		r.reconfigure(set)
		for i := range 5 {
			r.now++
			if wasSent(r.step(done("a", i, Errored, false)), "a") {
				tries++
			}
		}
		if tries != x.wants {
			t.Errorf("%d, then %d allowed: %d attempts", x.old, x.next, tries)
		}
	}
}

// Requests that end in a retired class do not make it borrow weight from the live ones.
func TestRetiredClassBorrowsNoWeight(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(call("old", "safe", 0, 50e3), call("holds", "safe", 0, 50e3))
	next := testSettings()
	next.Classes[0].Name = "renamed"
	r.reconfigure(next)
	retired := r.s.requests["old"].class
	r.now += 1900 // far past its objective
	r.step(done("old", 0, OK, true))
	if retired.sampleCount == 0 {
		t.Fatal("no sample of the retired class: the crossing was not reached")
	}
	r.s.nextAdaptAt = r.now
	r.step(Event{Kind: TimerFired, Tag: tickTimer})
	if retired.delay != 0 || retired.weightChanged {
		t.Errorf("a retired class has delay %v", retired.delay)
	}
	if total := r.s.classByName["renamed"].weight + r.s.classByName["once"].weight; total < 0.999 {
		t.Errorf("the classes that take requests have %v of the weight", total)
	}
}
