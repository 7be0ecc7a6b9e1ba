package policy

import (
	"fmt"
	"testing"
)

// volume is what is kept of a volume on the first plan; nil: nothing.
func (r *rig) volume(id string) *volume {
	return r.s.volumes[volumeKey{id, r.s.settings.Plans[0].Name}]
}

// A request is the repeat of one of its own volume and class alone.
func TestRepeatsOfTwoVolumes(t *testing.T) {
	for _, x := range []struct {
		class, volume string
		repeat        bool
	}{{"safe", "v", true}, {"safe", "w", false}, {"once", "v", false}} {
		r := newRig(t, testSettings())
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

// A volume that is asked for on two plans has the figures of each: neither opens the other's limit, nor draws on it.
func TestVolumeOnTwoPlans(t *testing.T) {
	const burst = 12
	set := testSettings()
	set.Plans = append(set.Plans, Plan{Name: "capped", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1, RateLimit: 4, LimitBurst: burst})
	r := newRig(t, set)
	r.step(call("opens", "safe", 0, r.now+2000))
	r.step(done("opens", 0, OK, true))
	r.at(r.now + 60e3) // the capped store is full
	asks := func(plan string) (sent int) {
		for range 2 * burst {
			ev := call(fmt.Sprint(plan, r.s.lastSequence), "safe", 0, r.now+2000)
			ev.Request.Plan = plan
			if count(r.step(ev), Send) == 1 {
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
