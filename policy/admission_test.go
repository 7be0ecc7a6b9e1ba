package policy

import (
	"fmt"
	"math"
	"testing"
)

func TestInvalidRequestIsRejectedOnce(t *testing.T) {
	for name, ev := range map[string]Event{
		"class":   requestArrived("x", "none", 0, 3000),
		"expired": requestArrived("x", "safe", 0, 900),
		"units":   {Kind: RequestArrived, Request: Request{ID: "x", Class: "safe", Plan: "p", Deadline: 3000, Units: math.NaN()}},
		"plan":    {Kind: RequestArrived, Request: Request{ID: "x", Class: "safe", Plan: "q", Deadline: 3000, Units: 1}},
	} {
		h := newHarness(t, testSettings())
		if actions := h.step(ev); countActions(actions, Reject) != 1 || countActions(actions, Send) != 0 {
			t.Errorf("invalid request (%s): actions %v", name, actions)
		}
	}
}

func TestRequestOfUnknownShardIsRejectedBeforeItsDeadline(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(requestArrived("x", "safe", 77, 3000))
	rejected := 0
	for now := 1010.0; now <= 3000; now += 10 {
		rejected += countActions(h.at(now, Event{Kind: TimerFired, Tag: sweepTimer}), Reject)
	}
	if rejected != 1 {
		t.Errorf("rejected %d times, want once", rejected)
	}
}

// A request that waits for a node is rejected before its client disconnects, wherever its deadline falls between
// two reviews. Without other events the reviews are sweepIntervalMs apart.
func TestWaitingRequestIsAnsweredBeforeItsDeadline(t *testing.T) {
	const step = 0.25 // ms
	for phase := 0.0; phase < sweepIntervalMs; phase += step {
		h := newHarness(t, testSettings())
		arrivedAt := h.now
		timeout := 200 + phase // below the objective
		h.step(requestArrived("x", "safe", 77, arrivedAt+timeout))
		answeredAt := 0.0
		for now := arrivedAt + sweepIntervalMs; answeredAt == 0 && now < arrivedAt+2*timeout; now += sweepIntervalMs {
			if countActions(h.at(now, Event{Kind: TimerFired, Tag: sweepTimer}), Reject) > 0 {
				answeredAt = now
			}
		}
		if answeredAt == 0 || answeredAt > arrivedAt+timeout {
			t.Errorf("answered %v ms after its arrival, but its client disconnected after %v ms", answeredAt-arrivedAt, timeout)
		}
	}
}

// Requests whose clients disconnect must be delay samples. Otherwise the class would appear to meet its objective.
func TestDisconnectedRequestCountsAtItsAge(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(requestArrived("x", "safe", 0, 3000))
	h.at(2500, Event{Kind: ClientDisconnected, ID: "x"})
	if c := h.s.classByName["safe"]; c.sampleCount != 1 || c.sampleSum < 1400 {
		t.Errorf("%v samples with a sum of %v ms", c.sampleCount, c.sampleSum)
	}
}

// The attempt of a disconnected client is cancelled if the settings allow it.
func TestAttemptOfDisconnectedClientIsCancelled(t *testing.T) {
	settings := testSettings()
	settings.MayCancel = true
	h := newHarness(t, settings)
	h.step(requestArrived("x", "once", 0, 3000))
	if actions := h.at(1100, Event{Kind: ClientDisconnected, ID: "x"}); countActions(actions, Cancel) != 1 {
		t.Errorf("actions after the disconnection: %v", actions)
	}
}

// The delay sample of a rejected request includes the wait that the rejection avoided. Otherwise a class whose
// requests are rejected early would appear to meet its objective.
func TestEarlyRejectionCountsTheAvoidedWait(t *testing.T) {
	h := newHarness(t, testSettings())
	c := h.s.classByName["safe"]
	req := &request{id: "x", class: c, volume: h.s.volume("v", h.s.planByName["p"], 1), startedAt: h.now, chargedBand: bandFairShare}
	h.s.rejectOrFail(req, 900, ReasonNoTime)
	if c.sampleSum != 900 {
		t.Errorf("delay sample %v, want 900", c.sampleSum)
	}
}

// A client's request and its retries are charged to the quota and sampled as one request, and the retries are
// recognized as such.
func TestClientRetriesCountAsOneRequest(t *testing.T) {
	h := newHarness(t, testSettings())
	reservedTokens := func() float64 { return h.volume().reserved.tokens }
	h.step(requestArrived("x0", "safe", 0, h.now+100))
	tokensBefore, c := reservedTokens(), h.s.classByName["safe"]
	for i := 1; i < 8; i++ {
		h.at(h.now+100, Event{Kind: ClientDisconnected, ID: fmt.Sprint("x", i-1)})
		ev := requestArrived(fmt.Sprint("x", i), "safe", 0, h.now+100)
		ev.Request.Key, ev.Request.ClientRetry = "kx0", true
		h.step(ev)
		if req := h.s.requests[ev.Request.ID]; req != nil && (!req.isClientRetry || req.startedAt != 1000) {
			t.Fatalf("attempt %d of the client: recognized as retry: %v, start time %v", i, req.isClientRetry, req.startedAt)
		}
	}
	if reservedTokens() < tokensBefore-1e-9 || c.sampleCount != 1 {
		t.Errorf("reserved tokens %v before and %v after, %v samples", tokensBefore, reservedTokens(), c.sampleCount)
	}
}

// A request is a client retry only of an earlier request of its own volume and class.
func TestClientRetryMatchesVolumeAndClass(t *testing.T) {
	for _, tc := range []struct {
		class, volume string
		isRetry       bool
	}{{"safe", "v", true}, {"safe", "w", false}, {"once", "v", false}} {
		h := newHarness(t, testSettings())
		first := requestArrived("x", "safe", 0, 3000)
		first.Request.Key = "k"
		h.step(first)
		h.at(1200, Event{Kind: ClientDisconnected, ID: "x"})
		next := requestArrived("y", tc.class, 0, 3000)
		next.Request.Key, next.Request.Volume = "k", tc.volume
		if h.step(next); h.s.requests["y"].isClientRetry != tc.isRetry {
			t.Errorf("class %s, volume %s: recognized as retry: %v", tc.class, tc.volume, !tc.isRetry)
		}
	}
}

// A request that waits for a node or for a rate limit is no delay sample, because more weight would not shorten its
// wait.
func TestWaitForNodeOrLimitIsNoSample(t *testing.T) {
	for _, tc := range []struct {
		name           string
		shard          int
		limit, samples float64
	}{{"slow", 0, 0, 1}, {"no node", 7, 0, 0}, {"limit", 0, 1e-3, 0}} {
		settings := testSettings()
		settings.Plans[0].RateLimit, settings.Plans[0].LimitBurst = tc.limit, 8
		h := newHarness(t, settings)
		h.step(requestArrived("x", "once", tc.shard, h.now+2000))
		h.at(h.now+450, attemptEnded("x", 0, OK, true))
		if c := h.s.classByName["once"]; c.sampleCount != tc.samples {
			t.Errorf("%s: %v samples", tc.name, c.sampleCount)
		}
		if len(h.s.requests) != 0 {
			t.Errorf("%s: the request was not answered", tc.name)
		}
	}
}
