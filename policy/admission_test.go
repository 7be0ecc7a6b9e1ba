package policy

import (
	"fmt"
	"math"
	"testing"
)

func TestInvalidRequestIsRejectedOnce(t *testing.T) {
	for name, ev := range map[string]Event{
		"class":   call("x", "none", 0, 3000),
		"expired": call("x", "safe", 0, 900),
		"units":   {Kind: RequestArrived, Request: Request{ID: "x", Class: "safe", Plan: "p", Deadline: 3000, Units: math.NaN()}},
		"plan":    {Kind: RequestArrived, Request: Request{ID: "x", Class: "safe", Plan: "q", Deadline: 3000, Units: 1}},
	} {
		r := newHarness(t, testSettings())
		if acts := r.step(ev); countActions(acts, Reject) != 1 || countActions(acts, Send) != 0 {
			t.Errorf("%s: %v", name, acts)
		}
	}
}

func TestRequestOfUnknownShardIsRejectedBeforeItsDeadline(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(call("x", "safe", 77, 3000))
	refused := 0
	for now := 1010.0; now <= 3000; now += 10 {
		refused += countActions(r.at(now, Event{Kind: TimerFired, Tag: sweepTimer}), Reject)
	}
	if refused != 1 {
		t.Errorf("rejected %d times", refused)
	}
}

// A request that waits for a node is answered before its client disconnects, whenever its last review is: with
// nothing else going on reviews are sweepIntervalMs apart.
func TestWaitingRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	const step = 0.25 // ms
	for phase := 0.0; phase < sweepIntervalMs; phase += step {
		r := newHarness(t, testSettings())
		came := r.now
		left := 200 + phase // under the objective
		r.step(call("x", "safe", 77, came+left))
		answered := 0.0
		for now := came + sweepIntervalMs; answered == 0 && now < came+2*left; now += sweepIntervalMs {
			if countActions(r.at(now, Event{Kind: TimerFired, Tag: sweepTimer}), Reject) > 0 {
				answered = now
			}
		}
		if answered == 0 || answered > came+left {
			t.Errorf("answered %v ms after it came, its client left after %v", answered-came, left)
		}
	}
}

// A class whose clients disconnect must not look healthy to the adaptation.
func TestDisconnectedRequestCountsAtItsAge(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(call("x", "safe", 0, 3000))
	r.at(2500, Event{Kind: ClientDisconnected, ID: "x"})
	if c := r.s.classByName["safe"]; c.sampleCount != 1 || c.sampleSum < 1400 {
		t.Errorf("%v samples, %v ms", c.sampleCount, c.sampleSum)
	}
}

// A disconnected client's work is cancelled, where that is allowed.
func TestAttemptOfDisconnectedClientIsCancelled(t *testing.T) {
	set := testSettings()
	set.MayCancel = true
	r := newHarness(t, set)
	r.step(call("x", "once", 0, 3000))
	if acts := r.at(1100, Event{Kind: ClientDisconnected, ID: "x"}); countActions(acts, Cancel) != 1 {
		t.Errorf("%v", acts)
	}
}

// A class whose requests are rejected early must not look healthy.
func TestEarlyRejectionCountsWithTheWaitItWasSpared(t *testing.T) {
	r := newHarness(t, testSettings())
	c := r.s.classByName["safe"]
	q := &request{id: "x", class: c, volume: r.s.volume("v", r.s.planByName["p"], 1), startedAt: r.now, chargedBand: bandFairShare}
	r.s.rejectOrFail(q, 900)
	if c.sampleSum != 900 {
		t.Errorf("sample %v", c.sampleSum)
	}
}

// A client's retries are one request: they are charged once, counted once, and go after others.
func TestClientRetriesCountAsOneRequest(t *testing.T) {
	r := newHarness(t, testSettings())
	v := func() float64 { return r.volume().reserved.tokens }
	r.step(call("x0", "safe", 0, r.now+100))
	store, c := v(), r.s.classByName["safe"]
	for i := 1; i < 8; i++ {
		r.at(r.now+100, Event{Kind: ClientDisconnected, ID: fmt.Sprint("x", i-1)})
		ev := call(fmt.Sprint("x", i), "safe", 0, r.now+100)
		ev.Request.Key, ev.Request.ClientRetry = "kx0", true
		r.step(ev)
		if q := r.s.requests[ev.Request.ID]; q != nil && (!q.isClientRetry || q.startedAt != 1000) {
			t.Fatalf("try %d: repeat %v, began %v", i, q.isClientRetry, q.startedAt)
		}
	}
	if v() < store-1e-9 || c.sampleCount != 1 {
		t.Errorf("store %v then %v, %v samples", store, v(), c.sampleCount)
	}
}

// A request counts as a retry of one of its own volume and class only.
func TestClientRetryIsOfItsOwnVolumeAndClass(t *testing.T) {
	for _, x := range []struct {
		class, volume string
		repeat        bool
	}{{"safe", "v", true}, {"safe", "w", false}, {"once", "v", false}} {
		r := newHarness(t, testSettings())
		first := call("x", "safe", 0, 3000)
		first.Request.Key = "k"
		r.step(first)
		r.at(1200, Event{Kind: ClientDisconnected, ID: "x"})
		next := call("y", x.class, 0, 3000)
		next.Request.Key, next.Request.Volume = "k", x.volume
		if r.step(next); r.s.requests["y"].isClientRetry != x.repeat {
			t.Errorf("%s of %s: a repeat: %v", x.class, x.volume, !x.repeat)
		}
	}
}

// A wait that no weight shortens, for a node or for a rate limit, changes no weight.
func TestWaitForNodeOrLimitIsNoSample(t *testing.T) {
	for _, k := range []struct {
		name          string
		shard         int
		limit, counts float64
	}{{"slow", 0, 0, 1}, {"no node", 7, 0, 0}, {"limit", 0, 1e-3, 0}} {
		set := testSettings()
		set.Plans[0].RateLimit, set.Plans[0].LimitBurst = k.limit, 8
		r := newHarness(t, set)
		r.step(call("x", "once", k.shard, r.now+2000))
		r.at(r.now+450, done("x", 0, OK, true))
		if c := r.s.classByName["once"]; c.sampleCount != k.counts {
			t.Errorf("%s: %v samples", k.name, c.sampleCount)
		}
		if len(r.s.requests) != 0 {
			t.Errorf("%s: not answered", k.name)
		}
	}
}
