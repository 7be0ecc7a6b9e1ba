package policy

import (
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

// runSlowStartCases plays cases side by side, a seed each, and gives the results in the same order.
func runSlowStartCases(t *testing.T, cases []slowStartCase, seed func(i int) int64) []slowStartResult {
	results := make([]slowStartResult, len(cases))
	var next atomic.Int64
	var all sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(cases); i = int(next.Add(1)) - 1 {
				results[i] = newSlowStartSimulation(t, cases[i], seed(i)).run()
			}
		})
	}
	all.Wait()
	return results
}

// Over all schedulers together a node in slow start gets at most N + 2 sqrt(N) + 2 requests of mean work (of fewer
// than 30 schedulers: N + 3 sqrt(N) + 3) within OverloadWindow, N being OverloadMultiple times what it can do in that
// time at its age. Every attempt counts, also a second one, a hedge, and one that never ran.
func TestSlowStartLimitsTheWholeFleet(t *testing.T) {
	var cases []slowStartCase
	for _, hosts := range []int{1, 4, 20, 30, 300} {
		for i, c := range coldCases {
			for k, set := range coldSettings {
				c.hosts, c.coldUnits, c.multiple, c.strength = hosts, set.units, set.multiple, set.strength
				if *slowStartSeeds == 1 && (i+hosts+k)%len(coldSettings) != 0 {
					continue // each case with one of the settings
				}
				for range *slowStartSeeds {
					cases = append(cases, c)
				}
			}
		}
	}
	worst, sent := 0.0, 0
	for i, r := range runSlowStartCases(t, cases, func(i int) int64 { return int64(i%*slowStartSeeds) + 1 }) {
		sent += r.sent
		worst = math.Max(worst, r.load)
		if r.load > 1 {
			t.Errorf("seed %d of %+v: %.2f of what the node bears", i%*slowStartSeeds+1, cases[i], r.load)
		}
	}
	if sent == 0 {
		t.Error("nothing came to a node in slow start")
	}
	t.Logf("%d nodes in slow start, %d requests; the most was %.2f of what a node bears", len(cases), sent, worst)
}

// A node in slow start soon carries its share of what is asked, however many schedulers ask.
func TestNodeInSlowStartCarriesItsShare(t *testing.T) {
	const seeds = 4
	var cases []slowStartCase
	for _, hosts := range []int{1, 4, 20, 30, 300} {
		for _, set := range coldSettings[2:] {
			for _, c := range coldCases[:2] {
				c.hosts, c.coldUnits, c.multiple, c.strength = hosts, set.units, set.multiple, set.strength
				cases = append(cases, c, c, c, c)
			}
		}
	}
	results := runSlowStartCases(t, cases, func(i int) int64 { return int64(i%seeds) + 1 })
	for i := 0; i < len(cases); i += seeds {
		carried, until := 0.0, 0.0
		for _, r := range results[i : i+seeds] {
			carried, until = carried+r.carried/seeds, until+r.until/seeds
		}
		c := cases[i]
		t.Logf("| %d | %.0f units, x%.1f, %.0f | %s | %.2f | %.1f s |", c.hosts, c.coldUnits, c.multiple, c.strength, c.name, carried, until)
		if carried < 0.4 || until > 10 {
			t.Errorf("%+v: carried %.2f, its share first after %.1f s", c, carried, until)
		}
	}
}
