package policy

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// limitedSettings is testSettings with a plan that has a limit.
func limitedSettings(limit, burst float64) Settings {
	set := testSettings()
	set.Plans[0].RateLimit, set.Plans[0].LimitBurst = limit, burst
	return set
}

// asks sends units of a volume, one request each, and says how many went out at once.
func (r *rig) asks(volume string, hosts, units int) (sent int) {
	for range units {
		ev := call(fmt.Sprint(volume, r.s.lastSequence, "-", sent), "safe", 0, r.now+2000)
		ev.Request.Volume, ev.Request.Schedulers = volume, hosts
		for _, a := range r.step(ev) {
			if a.Kind == Send && a.ID == ev.Request.ID {
				sent++
				r.step(done(ev.Request.ID, 0, OK, true))
			}
		}
	}
	return sent
}

// A volume's store counts from the host's first request of all, not from the volume's own.
func TestLimitCountsFromTheFirstRequest(t *testing.T) {
	for _, k := range []struct {
		name         string
		after        float64 // ms since the host's first request
		hosts, wants int
	}{{"at once", 0, 1, 0}, {"a second later", 1000, 1, 4}, {"part of two", 1000, 2, 2}, {"full", 60e3, 1, 12}, {"part of a full one", 60e3, 2, 6}} {
		r := newRig(t, limitedSettings(4, 12))
		r.at(5000) // nothing has come: nothing fills
		r.asks("first", 1, 1)
		r.at(5000 + k.after)
		if n := r.asks("v", k.hosts, 20); n != k.wants {
			t.Errorf("%s: %d sent, %d may", k.name, n, k.wants)
		}
	}
}

// A volume is kept as long as its store is not full again, however slowly it fills.
func TestForgetsNoDebtToALimit(t *testing.T) {
	r := newRig(t, limitedSettings(0.1, 12))
	r.asks("first", 1, 1)
	r.at(r.now + 130e3)
	if n := r.asks("v", 1, 20); n != 12 {
		t.Fatalf("%d of 12 sent", n)
	}
	r.at(r.now+idleEvictionMs+1, Event{Kind: TimerFired, Tag: "tick"})
	if n := r.asks("v", 1, 20); n != 6 {
		t.Errorf("%d sent, 6 may", n)
	}
	r.at(r.now+125e3, Event{Kind: TimerFired, Tag: "tick"})
	if r.volume("v") != nil {
		t.Error("kept though its store is full again")
	}
}

// Over any two hosts and their restarts, a volume draws no more than one store that was full at first.
func TestLimitOverHostsAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Float64Range(0.2, 20).Draw(rt, "limit")
		burst := rapid.Float64Range(4, 40).Draw(rt, "burst")
		set := limitedSettings(limit, burst)
		hosts := []*rig{newRig(t, set), newRig(t, set)}
		type store struct{ level, at float64 }
		stores := map[string]*store{}
		now := 2000.0
		for range rapid.IntRange(5, 60).Draw(rt, "steps") {
			now += rapid.SampledFrom([]float64{0, 50, 700, 5000, 61e3}).Draw(rt, "pause")
			h := rapid.IntRange(0, 1).Draw(rt, "host")
			if rapid.IntRange(0, 9).Draw(rt, "restarts") == 0 {
				hosts[h] = newRig(t, set)
			}
			volume := rapid.SampledFrom([]string{"u", "v", "w"}).Draw(rt, "volume")
			hosts[h].at(now, Event{Kind: TimerFired, Tag: "tick"})
			sent := hosts[h].asks(volume, 2, rapid.IntRange(1, 30).Draw(rt, "units"))
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
