package watchtimer

import (
	"testing"
	"time"
)

// After a pulled watch falls silent, two replacements are opened at random times before the staleness bound of the changes
// that it missed has passed. These are two calls of each scheduler within 3 s. After that, each scheduler makes a call at
// least once in StalenessBound less the answer reserve, however its calls end. A fleet keeps to FleetCallsPerSecond if the
// bound permits it.
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
	steadyCalls := 0
	callsBySecond := map[int]int{}
	for number := range schedulers {
		timer := New(Settings{Schedulers: schedulers, Seed: uint64(number)})
		timer.Step(0, Event{Kind: Started})
		timer.Step(0, Event{Kind: MessageReceived, Call: 1})
		if rejected {
			timer.Step(0, Event{Kind: CallEnded, Call: 1})
		}
		opened := []time.Duration{}
		for timer.NextTimer() < time.Minute {
			now := timer.NextTimer()
			for _, a := range timer.Step(now, Event{Kind: TimerFired}) {
				if a.Kind == OpenCall && rejected {
					timer.Step(now, Event{Kind: CallEnded, Call: a.Call})
				}
				if a.Kind == OpenCall {
					opened = append(opened, now)
					callsBySecond[int(now/time.Second)]++
					if now > 30*time.Second {
						steadyCalls++
					}
				}
			}
		}
		if !rejected && (len(opened) < 2 || opened[0] > StalenessBound-maxAnswerReserve || opened[1] > StalenessBound-maxRepeatReserve/2) {
			t.Fatalf("scheduler %d of %d called at %v, want two calls before %v", number, schedulers, opened, StalenessBound)
		}
		for i, at := range opened[1:] {
			if at-opened[i] > StalenessBound-maxAnswerReserve {
				t.Fatalf("scheduler %d of %d called at %v, and the next time only at %v", number, schedulers, opened[i], at)
			}
		}
	}
	// The time of the call after one that timed out is drawn from what remains of StalenessBound.
	minInterval := StalenessBound - maxAnswerReserve - maxAnswerReserve/deadlineJitterDivisor
	maxCallsPerSecond := max(FleetCallsPerSecond, float64(schedulers)/((ResponseTimeout+minInterval)/2).Seconds())
	if float64(steadyCalls) > 30*maxCallsPerSecond {
		t.Errorf("%d schedulers make %d calls in the second half minute of an outage", schedulers, steadyCalls)
	}
	for s, n := range callsBySecond {
		if n > max(5*schedulers/4, 2*FleetCallsPerSecond) {
			t.Errorf("%d schedulers make %d calls in second %d", schedulers, n, s)
		}
	}
}
