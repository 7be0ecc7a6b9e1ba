package policy

import "testing"

// A request that waits for a node is answered before its client leaves, however the reviews lie to that time: with
// nothing else going on they are sweepIntervalMs apart.
func TestWaitingEndsBeforeTheClientLeaves(t *testing.T) {
	const step = 0.25 // ms
	for phase := 0.0; phase < sweepIntervalMs; phase += step {
		r := newRig(t, testSettings())
		came := r.now
		left := 200 + phase // under the aim
		r.step(call("x", "safe", 77, came+left))
		answered := 0.0
		for now := came + sweepIntervalMs; answered == 0 && now < came+2*left; now += sweepIntervalMs {
			if count(r.at(now, Event{Kind: TimerFired, Tag: "sweep"}), Reject) > 0 {
				answered = now
			}
		}
		if answered == 0 || answered > came+left {
			t.Errorf("answered %v ms after it came, its client left after %v", answered-came, left)
		}
	}
}
