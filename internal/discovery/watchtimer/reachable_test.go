package watchtimer

import (
	"fmt"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/discovery"
)

// faultScenarios are the scenarios of a fleet.
func faultScenarios() map[string]serviceFaults {
	const ms = time.Millisecond
	all := map[string]serviceFaults{}
	for name, r := range map[string]response{"rejected": rejects, "failed": fails, "no connection": drops, "silence": silences} {
		for _, length := range []time.Duration{50 * ms, 700 * ms, 2900 * ms, 4 * time.Second, 8 * time.Second, 25 * time.Second} {
			from := 4100 * ms
			all[fmt.Sprint(name, " for ", length)] = serviceFaults{outages: []outage{{from, from + length, r}}}
			all[fmt.Sprint(name, " at the start for ", length)] = serviceFaults{outages: []outage{{0, length, r}}}
		}
		all["a silent watch, its replacement "+name] = serviceFaults{silentFrom: 4100 * ms, outages: []outage{{6 * time.Second, 9600 * ms, r}}}
		all["a reset, then "+name] = serviceFaults{resets: 4100 * ms, outages: []outage{{4400 * ms, 8 * time.Second, r}}}
		all["rejected, then "+name] = serviceFaults{outages: []outage{{4 * time.Second, 7 * time.Second, rejects}, {7 * time.Second, 11 * time.Second, r}}}
		all[name+" twice"] = serviceFaults{outages: []outage{{4 * time.Second, 7 * time.Second, r}, {7100 * ms, 12 * time.Second, r}}}
	}
	all["silent watches"] = serviceFaults{silentFrom: 4100 * ms}
	all["reset watches"] = serviceFaults{resets: 4100 * ms}
	return all
}

// However calls end (rejected, failed, given up, unanswered), no drain is received later than the staleness bound plus
// the grace, with any number of schedulers. The bound is counted from when the service can be reached again.
func TestDrainsAreReceivedWhenReachable(t *testing.T) {
	const grace, end = 250 * time.Millisecond, 60 * time.Second
	for name, w := range faultScenarios() {
		for _, set := range []Settings{{Pushed: true, DrainGrace: grace}, {DrainGrace: grace}, {DrainGrace: grace, LongPollWait: 5 * time.Second}} {
			for _, schedulers := range []int{1, 3, 30, 350} {
				if set.LongPollWait > 0 && schedulers > 30 {
					continue
				}
				w.latency = 5 * time.Millisecond
				if !set.Pushed {
					w.latency = 200 * time.Millisecond
				}
				f := &fleet{serviceFaults: w}
				f.run(schedulers, set, end)
				if late, at := f.latestDelay(set, end-20*time.Second); late > 0 {
					t.Errorf("%s, pushed %v, wait %v, %d schedulers: a drain at %v is received %v too late", name, set.Pushed, set.LongPollWait, schedulers, at, late)
				}
				for _, s := range f.schedulers {
					if len(s.calls) > MaxOpenCalls {
						t.Errorf("%s: %d calls open", name, len(s.calls))
					}
				}
			}
		}
	}
}

// The answer of an agent arrives also where it takes longer than MaxOpenCalls newer calls.
func TestLateAgentIsReceived(t *testing.T) {
	for _, answer := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond, 2 * time.Second, 2900 * time.Millisecond} {
		f := &fleet{serviceFaults: serviceFaults{latency: answer, outages: []outage{{0, 8 * time.Second, silences}}}}
		f.run(1, Settings{Pushed: true, DrainGrace: 250 * time.Millisecond}, 30*time.Second)
		if at := f.schedulers[0].receivedAt(0); at > 8*time.Second+StalenessBound {
			t.Errorf("an agent that answers after %v is received %v after its return", answer, at-8*time.Second)
		}
	}
}

// fleetCapacity is the assumed capacity of a fleet's service, in calls a second per scheduler, as measured in
// docs/design/coldstart.md.
const fleetCapacity = 0.4

// In the steady part of an outage a fleet calls at most 0.65 times as often as its service can answer, and in no second
// more often than it can. Once the service answers, all schedulers have the list within StalenessBound.
func TestLoadStaysWithinCapacity(t *testing.T) {
	for name, r := range map[string]response{"rejected": rejects, "failed": fails, "silence": silences, "no connection": drops} {
		for _, schedulers := range []int{30, 80, 160, 350, 1000} {
			const from, to, settled = 4 * time.Second, 44 * time.Second, 20 * time.Second
			capacity := max(fleetCapacity*float64(schedulers), FleetCallsPerSecond)
			f := &fleet{serviceFaults: serviceFaults{latency: 20 * time.Millisecond, outages: []outage{{from, to, r}}},
				queue: discovery.NewQueue(time.Duration(float64(time.Second)/capacity), 2*time.Second, 64)}
			f.run(schedulers, Settings{}, 60*time.Second)
			steady, worst, seconds := 0, 0, 0
			for s := (from + settled) / time.Second; s < to/time.Second; s++ {
				steady, worst, seconds = steady+f.calls[s], max(worst, f.calls[s]), seconds+1
			}
			mean := float64(steady) / float64(seconds)
			if mean > 0.65*capacity || float64(worst) > capacity {
				t.Errorf("%s, %d schedulers: %.0f calls a second, %d in the worst, of %.0f", name, schedulers, mean, worst, capacity)
			}
			last := time.Duration(0)
			for _, s := range f.schedulers {
				last = max(last, s.receivedAt(to)-to)
			}
			if last > StalenessBound {
				t.Errorf("%s, %d schedulers: the last has the list %v after the return", name, schedulers, last)
			}
			t.Logf("%s, %d schedulers: %.0f calls a second, %d in the worst, of %.0f; all have the list %v after the return, %d rejected",
				name, schedulers, mean, worst, capacity, last, f.rejected)
		}
	}
}

// A fleet that restarts at one instant gets its lists from a service that cannot answer all at once.
func TestRestartedFleetIsServed(t *testing.T) {
	for _, x := range []struct {
		schedulers, restarted int
		capacity              float64
		within                time.Duration
	}{{80, 56, 14, 11 * time.Second}, {80, 56, 32, 6 * time.Second}, {350, 245, 140, 6 * time.Second}, {350, 350, 140, 11 * time.Second}} {
		f := &fleet{serviceFaults: serviceFaults{latency: 20 * time.Millisecond},
			queue: discovery.NewQueue(time.Duration(float64(time.Second)/x.capacity), 2*time.Second, 64)}
		f.run(x.restarted, Settings{Schedulers: x.schedulers}, 40*time.Second)
		served := 0
		last := time.Duration(0)
		for _, s := range f.schedulers {
			if at := s.receivedAt(0); at <= x.within {
				served++
			} else {
				last = max(last, at)
			}
		}
		t.Logf("%d of %d at %.0f calls a second: %d served within %v, the last at %v, %d rejected", x.restarted, x.schedulers, x.capacity, served, x.within, last, f.rejected)
		if served < x.restarted*9/10 {
			t.Errorf("%d of %d at %.0f calls a second: only %d are served within %v", x.restarted, x.schedulers, x.capacity, served, x.within)
		}
	}
}
