package policy

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A request that was charged to the fair share is not refunded to the reserved rate.
func TestRefundReturnsToTheChargedBand(t *testing.T) {
	r := newHarness(t, testSettings())
	r.step(call("x", "safe", 0, 3000))
	v := r.volume()
	v.reserved.tokens = 0
	r.step(call("y", "safe", 1, 3000))
	v.reserved.tokens = 0
	if q := r.s.requests["y"]; q.chargedBand != bandFairShare {
		t.Fatalf("due %v", q.chargedBand)
	}
	r.s.refund(r.s.requests["y"])
	if v.reserved.tokens != 0 || v.usageLevel != 0 {
		t.Errorf("reserve %v, level %v", v.reserved.tokens, v.usageLevel)
	}
}

// A volume that is named with two plans has the quota of each: neither opens the other's limit, nor draws on it.
func TestVolumeOnTwoPlans(t *testing.T) {
	const burst = 12
	set := testSettings()
	set.Plans = append(set.Plans, Plan{Name: "capped", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1, RateLimit: 4, LimitBurst: burst})
	r := newHarness(t, set)
	r.step(call("opens", "safe", 0, r.now+2000))
	r.step(done("opens", 0, OK, true))
	r.at(r.now + 60e3) // the capped store is full
	asks := func(plan string) (sent int) {
		for range 2 * burst {
			ev := call(fmt.Sprint(plan, r.s.lastSequence), "safe", 0, r.now+2000)
			ev.Request.Plan = plan
			if countActions(r.step(ev), Send) == 1 {
				sent++
				r.step(done(ev.Request.ID, 0, OK, true))
			}
		}
		return sent
	}
	for _, x := range []struct {
		plan string
		want int
	}{{"p", 2 * burst}, {"capped", burst}, {"p", 2 * burst}, {"capped", 0}} {
		if n := asks(x.plan); n != x.want {
			t.Errorf("%s: %d sent, %d may", x.plan, n, x.want)
		}
	}
}

// A volume's rate limit fills from the scheduler's first request of all, not from the volume's own.
func TestRateLimitFillsFromTheFirstRequest(t *testing.T) {
	for _, k := range []struct {
		name         string
		after        float64 // ms since the scheduler's first request
		hosts, wants int
	}{{"at once", 0, 1, 0}, {"a second later", 1000, 1, 4}, {"part of two", 1000, 2, 2}, {"full", 60e3, 1, 12}, {"part of a full one", 60e3, 2, 6}} {
		r := newHarness(t, limitedSettings(4, 12))
		r.at(5000) // nothing has come: nothing fills
		r.countSent("first", 1, 1)
		r.at(5000 + k.after)
		if n := r.countSent("v", k.hosts, 20); n != k.wants {
			t.Errorf("%s: %d sent, %d may", k.name, n, k.wants)
		}
	}
}

// A volume is not evicted before its bucket is full again, however slowly it fills.
func TestVolumeInDebtToItsLimitIsNotEvicted(t *testing.T) {
	r := newHarness(t, limitedSettings(0.1, 12))
	r.countSent("first", 1, 1)
	r.at(r.now + 130e3)
	if n := r.countSent("v", 1, 20); n != 12 {
		t.Fatalf("%d of 12 sent", n)
	}
	r.at(r.now+idleEvictionMs+1, Event{Kind: TimerFired, Tag: tickTimer})
	if n := r.countSent("v", 1, 20); n != 6 {
		t.Errorf("%d sent, 6 may", n)
	}
	r.at(r.now+125e3, Event{Kind: TimerFired, Tag: tickTimer})
	if r.volume() != nil {
		t.Error("kept though its store is full again")
	}
}

// Over any two schedulers and their restarts, a volume draws no more than one store that was full at first.
func TestRateLimitHoldsOverSchedulersAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(0.2, 20).Draw(rt, "limit")
		burst := rapid.Float64Range(4, 40).Draw(rt, "burst")
		set := limitedSettings(limit, burst)
		hosts := []*harness{newHarness(t, set), newHarness(t, set)}
		type store struct{ level, at float64 }
		stores := map[string]*store{}
		now := 2000.0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			now += rapid.SampledFrom([]float64{0, 50, 700, 5000, 61e3}).Draw(rt, "pause")
			h := rapid.IntRange(0, 1).Draw(rt, "host")
			if rapid.IntRange(0, 9).Draw(rt, "restarts") == 0 {
				hosts[h] = newHarness(t, set)
			}
			volume := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(rt, "volume")
			hosts[h].at(now, Event{Kind: TimerFired, Tag: tickTimer})
			sent := hosts[h].countSent(volume, 2, rapid.IntRange(1, 30).Draw(rt, "units"))
			s := stores[volume]
			if s == nil {
				s = &store{burst, now}
				stores[volume] = s
			}
			s.level = math.Min(s.level+limit*(now-s.at)/1000, burst) - float64(sent)
			if s.at = now; s.level < -1e-6 {
				rt.Fatalf("volume %s: %.2f units over its limit", volume, -s.level)
			}
		}
	})
}
