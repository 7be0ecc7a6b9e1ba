package watchtimer

import (
	"fmt"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/discovery"
)

// faultScenarios returns faults of a list service by name.
func faultScenarios() map[string]serviceFaults {
	const ms = time.Millisecond
	scenarios := map[string]serviceFaults{}
	for name, response := range map[string]response{"rejected": rejects, "failed": fails, "no connection": drops, "silence": silences} {
		for _, length := range []time.Duration{50 * ms, 700 * ms, 2900 * ms, 4 * time.Second, 8 * time.Second, 25 * time.Second} {
			from := 4100 * ms
			scenarios[fmt.Sprint(name, " for ", length)] = serviceFaults{outages: []outage{{from, from + length, response}}}
			scenarios[fmt.Sprint(name, " at the start for ", length)] = serviceFaults{outages: []outage{{0, length, response}}}
		}
		scenarios["a silent watch, its replacement "+name] = serviceFaults{silentFrom: 4100 * ms, outages: []outage{{6 * time.Second, 9600 * ms, response}}}
		scenarios["a reset, then "+name] = serviceFaults{resetAt: 4100 * ms, outages: []outage{{4400 * ms, 8 * time.Second, response}}}
		scenarios["rejected, then "+name] = serviceFaults{outages: []outage{{4 * time.Second, 7 * time.Second, rejects}, {7 * time.Second, 11 * time.Second, response}}}
		scenarios[name+" twice"] = serviceFaults{outages: []outage{{4 * time.Second, 7 * time.Second, response}, {7100 * ms, 12 * time.Second, response}}}
	}
	scenarios["silent watches"] = serviceFaults{silentFrom: 4100 * ms}
	scenarios["reset watches"] = serviceFaults{resetAt: 4100 * ms}
	return scenarios
}

// No drain is received later than the staleness bound plus the grace period, whether calls are rejected, fail, are closed
// or stay unanswered, and with any number of schedulers. The bound counts from when the service can be reached again.
func TestDrainsAreReceivedWhenReachable(t *testing.T) {
	const grace, end = 250 * time.Millisecond, 60 * time.Second
	for name, faults := range faultScenarios() {
		for _, settings := range []Settings{{Pushed: true, DrainGrace: grace}, {DrainGrace: grace}, {DrainGrace: grace, LongPollWait: 5 * time.Second}} {
			for _, schedulers := range []int{1, 3, 30, 350} {
				if settings.LongPollWait > 0 && schedulers > 30 {
					continue
				}
				faults.latency = 5 * time.Millisecond
				if !settings.Pushed {
					faults.latency = 200 * time.Millisecond
				}
				fleet := &fleet{serviceFaults: faults}
				fleet.run(schedulers, settings, end)
				if late, at := fleet.worstDelay(settings, end-20*time.Second); late > 0 {
					t.Errorf("%s, pushed %v, wait %v, %d schedulers: a drain at %v is received %v too late", name, settings.Pushed, settings.LongPollWait, schedulers, at, late)
				}
				for _, s := range fleet.schedulers {
					if len(s.calls) > MaxOpenCalls {
						t.Errorf("%s: %d calls open, more than MaxOpenCalls", name, len(s.calls))
					}
				}
			}
		}
	}
}

// The answer of a slow agent is received even if MaxOpenCalls newer calls are made before it arrives.
func TestSlowAgentAnswerIsReceived(t *testing.T) {
	for _, latency := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond} {
		fleet := &fleet{serviceFaults: serviceFaults{latency: latency, outages: []outage{{0, 8 * time.Second, silences}}}}
		fleet.run(1, Settings{Pushed: true, DrainGrace: 250 * time.Millisecond}, 30*time.Second)
		if at := fleet.schedulers[0].receivedAt(0); at > 8*time.Second+StalenessBound {
			t.Errorf("the list of an agent that answers after %v is received only %v after the outage", latency, at-8*time.Second)
		}
	}
}

// serviceCapacityPerScheduler is the capacity of a fleet's list service, in calls a second per scheduler. See
// docs/design/coldstart.md.
const serviceCapacityPerScheduler = 0.4

// In the steady state of an outage, the call rate of a fleet is at most 0.65 times the capacity of its list service, and
// within the capacity in each second. After the outage, all schedulers receive the list within StalenessBound.
func TestLoadStaysWithinCapacity(t *testing.T) {
	for name, response := range map[string]response{"rejected": rejects, "failed": fails, "silence": silences, "no connection": drops} {
		for _, schedulers := range []int{30, 80, 160, 350, 1000} {
			const from, to, settled = 4 * time.Second, 44 * time.Second, 20 * time.Second
			capacity := max(serviceCapacityPerScheduler*float64(schedulers), FleetCallsPerSecond)
			fleet := &fleet{serviceFaults: serviceFaults{latency: 20 * time.Millisecond, outages: []outage{{from, to, response}}},
				queue: discovery.NewQueue(time.Duration(float64(time.Second)/capacity), 2*time.Second, 64)}
			fleet.run(schedulers, Settings{}, 60*time.Second)
			steady, worst, seconds := 0, 0, 0
			for s := (from + settled) / time.Second; s < to/time.Second; s++ {
				steady, worst, seconds = steady+fleet.callsBySecond[s], max(worst, fleet.callsBySecond[s]), seconds+1
			}
			mean := float64(steady) / float64(seconds)
			if mean > 0.65*capacity || float64(worst) > capacity {
				t.Errorf("%s, %d schedulers: too many calls in the outage: %.0f a second, up to %d in one second, capacity %.0f", name, schedulers, mean, worst, capacity)
			}
			last := time.Duration(0)
			for _, s := range fleet.schedulers {
				last = max(last, s.receivedAt(to)-to)
			}
			if last > StalenessBound {
				t.Errorf("%s, %d schedulers: the last one receives the list %v after the outage", name, schedulers, last)
			}
			t.Logf("%s, %d schedulers: %.0f calls a second, at most %d in one second, capacity %.0f; the last one receives the list %v after the outage, %d calls rejected",
				name, schedulers, mean, worst, capacity, last, fleet.rejected)
		}
	}
}

// A fleet whose schedulers restart at the same instant receives its lists from a service that cannot answer all calls at
// once.
func TestRestartedFleetIsServed(t *testing.T) {
	for _, tc := range []struct {
		schedulers, restarted int
		capacity              float64
		within                time.Duration
	}{{80, 56, 14, 11 * time.Second}, {80, 56, 32, 6 * time.Second}, {350, 245, 140, 6 * time.Second}, {350, 350, 140, 11 * time.Second}} {
		fleet := &fleet{serviceFaults: serviceFaults{latency: 20 * time.Millisecond},
			queue: discovery.NewQueue(time.Duration(float64(time.Second)/tc.capacity), 2*time.Second, 64)}
		fleet.run(tc.restarted, Settings{Schedulers: tc.schedulers}, 40*time.Second)
		served := 0
		last := time.Duration(0)
		for _, s := range fleet.schedulers {
			if at := s.receivedAt(0); at <= tc.within {
				served++
			} else {
				last = max(last, at)
			}
		}
		t.Logf("%d of %d at %.0f calls a second: %d served within %v, the last at %v, %d rejected", tc.restarted, tc.schedulers, tc.capacity, served, tc.within, last, fleet.rejected)
		if served < tc.restarted*9/10 {
			t.Errorf("%d of %d at %.0f calls a second: only %d are served within %v", tc.restarted, tc.schedulers, tc.capacity, served, tc.within)
		}
	}
}
