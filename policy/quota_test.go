package policy

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A request that was charged to the fair share is not refunded to the reserved rate.
func TestRefundReturnsToTheChargedBand(t *testing.T) {
	h := newHarness(t, testSettings())
	h.step(requestArrived("x", "safe", 0, 3000))
	v := h.volume()
	v.reserved.tokens = 0
	h.step(requestArrived("y", "safe", 1, 3000))
	v.reserved.tokens = 0
	if req := h.s.requests["y"]; req.chargedBand != bandFairShare {
		t.Fatalf("charged to band %v", req.chargedBand)
	}
	h.s.refund(h.s.requests["y"])
	if v.reserved.tokens != 0 || v.usageLevel != 0 {
		t.Errorf("reserved tokens %v, usage level %v", v.reserved.tokens, v.usageLevel)
	}
}

// A volume that requests name with two plans has a separate quota on each plan.
func TestVolumeOnTwoPlans(t *testing.T) {
	const burst = 12
	settings := testSettings()
	settings.Plans = append(settings.Plans, Plan{Name: "capped", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1, RateLimit: 4, LimitBurst: burst})
	h := newHarness(t, settings)
	h.step(requestArrived("opens", "safe", 0, h.now+2000))
	h.step(attemptEnded("opens", 0, OK, true))
	h.at(h.now + 60e3) // the bucket of the capped plan is full
	sendRequests := func(plan string) (sent int) {
		for range 2 * burst {
			ev := requestArrived(fmt.Sprint(plan, h.s.lastSequence), "safe", 0, h.now+2000)
			ev.Request.Plan = plan
			if countActions(h.step(ev), Send) == 1 {
				sent++
				h.step(attemptEnded(ev.Request.ID, 0, OK, true))
			}
		}
		return sent
	}
	for _, tc := range []struct {
		plan string
		want int
	}{{"p", 2 * burst}, {"capped", burst}, {"p", 2 * burst}, {"capped", 0}} {
		if n := sendRequests(tc.plan); n != tc.want {
			t.Errorf("%s: %d units sent, want %d", tc.plan, n, tc.want)
		}
	}
}

// The bucket of a volume's rate limit fills from the scheduler's first request of any volume on.
func TestRateLimitFillsFromTheFirstRequest(t *testing.T) {
	for _, tc := range []struct {
		name             string
		after            float64 // ms since the scheduler's first request
		schedulers, want int
	}{{"at once", 0, 1, 0}, {"a second later", 1000, 1, 4}, {"share of two schedulers", 1000, 2, 2}, {"full", 60e3, 1, 12}, {"full share of two schedulers", 60e3, 2, 6}} {
		h := newHarness(t, limitedSettings(4, 12))
		h.at(5000) // the bucket does not fill before the first request
		h.sendUnits("first", 1, 1)
		h.at(5000 + tc.after)
		if n := h.sendUnits("v", tc.schedulers, 20); n != tc.want {
			t.Errorf("%s: %d units sent, want %d", tc.name, n, tc.want)
		}
	}
}

// A volume is not evicted before its bucket is full again, even if it fills slowly.
func TestVolumeWithPartlyFullLimitIsNotEvicted(t *testing.T) {
	h := newHarness(t, limitedSettings(0.1, 12))
	h.sendUnits("first", 1, 1)
	h.at(h.now + 130e3)
	if n := h.sendUnits("v", 1, 20); n != 12 {
		t.Fatalf("%d of 12 units sent", n)
	}
	h.at(h.now+idleEvictionMs+1, Event{Kind: TimerFired, Tag: tickTimer})
	if n := h.sendUnits("v", 1, 20); n != 6 {
		t.Errorf("%d units sent, want 6", n)
	}
	h.at(h.now+125e3, Event{Kind: TimerFired, Tag: tickTimer})
	if h.volume() != nil {
		t.Error("the volume was not evicted although its bucket is full again")
	}
}

// With two schedulers and any restarts of them, a volume gets no more units than a single bucket that was full at first
// would allow.
func TestRateLimitHoldsOverSchedulersAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(0.2, 20).Draw(rt, "limit")
		burst := rapid.Float64Range(4, 40).Draw(rt, "burst")
		settings := limitedSettings(limit, burst)
		schedulers := []*harness{newHarness(t, settings), newHarness(t, settings)}
		type bucket struct{ level, at float64 }
		buckets := map[string]*bucket{}
		now := 2000.0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			now += rapid.SampledFrom([]float64{0, 50, 700, 5000, 61e3}).Draw(rt, "pause")
			index := rapid.IntRange(0, 1).Draw(rt, "host")
			if rapid.IntRange(0, 9).Draw(rt, "restarts") == 0 {
				schedulers[index] = newHarness(t, settings)
			}
			volume := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(rt, "volume")
			schedulers[index].at(now, Event{Kind: TimerFired, Tag: tickTimer})
			sent := schedulers[index].sendUnits(volume, 2, rapid.IntRange(1, 30).Draw(rt, "units"))
			b := buckets[volume]
			if b == nil {
				b = &bucket{burst, now}
				buckets[volume] = b
			}
			b.level = math.Min(b.level+limit*(now-b.at)/1000, burst) - float64(sent)
			if b.at = now; b.level < -1e-6 {
				rt.Fatalf("volume %s: %.2f units over its limit", volume, -b.level)
			}
		}
	})
}
