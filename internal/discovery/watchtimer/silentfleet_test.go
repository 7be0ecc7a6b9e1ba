package watchtimer

import (
	"testing"
	"time"
)

// A polled watch that falls silent is replaced twice before the staleness bound of what it missed ends: two calls of
// each scheduler within 3 s, at random times. After that each scheduler calls at least once in StalenessBound less the
// answer reserve, however its calls end, and a fleet keeps to FleetCallsPerSecond where the bound permits.
func TestPolledCallsMeetBoundAndSpread(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		for _, schedulers := range []int{4, 80, 350} {
			runSilentFleet(t, schedulers, rejected)
		}
	}
}

// runSilentFleet runs schedulers that receive one message and then none. If rejected is set, the watch ends and each
// call is rejected.
func runSilentFleet(t *testing.T, schedulers int, rejected bool) {
	calls := 0
	seconds := map[int]int{}
	for number := range schedulers {
		c := New(Settings{Schedulers: schedulers, Seed: uint64(number)})
		c.Step(0, Event{Kind: Started})
		c.Step(0, Event{Kind: MessageReceived, Call: 1})
		if rejected {
			c.Step(0, Event{Kind: CallEnded, Call: 1})
		}
		opened := []time.Duration{}
		for c.NextTimer() < time.Minute {
			now := c.NextTimer()
			for _, a := range c.Step(now, Event{Kind: TimerFired}) {
				if a.Kind == OpenCall && rejected {
					c.Step(now, Event{Kind: CallEnded, Call: a.Call})
				}
				if a.Kind == OpenCall {
					opened = append(opened, now)
					seconds[int(now/time.Second)]++
					if now > 30*time.Second {
						calls++
					}
				}
			}
		}
		if !rejected && (len(opened) < 2 || opened[0] > StalenessBound-maxAnswerReserve || opened[1] > StalenessBound-maxRepeatReserve/2) {
			t.Fatalf("scheduler %d of %d called at %v, want two calls before %v", number, schedulers, opened, StalenessBound)
		}
		for i, at := range opened[1:] {
			if at-opened[i] > StalenessBound-maxAnswerReserve {
				t.Fatalf("scheduler %d of %d called at %v, and then only at %v", number, schedulers, opened[i], at)
			}
		}
	}
	// The call after one that is given up is drawn from the time that remains of StalenessBound.
	minInterval := StalenessBound - maxAnswerReserve - maxAnswerReserve/deadlineJitterDivisor
	maxCallsPerSecond := max(FleetCallsPerSecond, float64(schedulers)/((ResponseTimeout+minInterval)/2).Seconds())
	if float64(calls) > 30*maxCallsPerSecond {
		t.Errorf("%d schedulers call %d times in the second half minute of an outage", schedulers, calls)
	}
	for s, n := range seconds {
		if n > max(5*schedulers/4, 2*FleetCallsPerSecond) {
			t.Errorf("%d schedulers call %d times in second %d", schedulers, n, s)
		}
	}
}
