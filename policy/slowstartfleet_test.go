package policy

import (
	"math"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
)

// runSlowStartCases runs the cases in parallel, each with its seed, and returns the results in the same order.
func runSlowStartCases(t *testing.T, cases []slowStartCase, seed func(i int) int64) []slowStartResult {
	results := make([]slowStartResult, len(cases))
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(cases); i = int(next.Add(1)) - 1 {
				results[i] = newSlowStartSimulation(t, cases[i], seed(i)).run()
			}
		})
	}
	workers.Wait()
	return results
}

// All schedulers together send a node in slow start at most N + 2 sqrt(N) + 2 requests of mean size within
// OverloadWindow (with fewer than 30 schedulers: N + 3 sqrt(N) + 3). N is OverloadMultiple times the number that the node
// can serve in that time at its age. Every attempt counts, including retries, hedges and attempts that never ran.
func TestSlowStartLimitsTheWholeFleet(t *testing.T) {
	var cases []slowStartCase
	for _, schedulers := range []int{1, 4, 20, 30, 300} {
		for i, c := range slowStartCases {
			for k, settings := range slowStartSettings {
				c.schedulerCount, c.slowStartUnits, c.overloadMultiple, c.nodeSpeedFactor = schedulers, settings.units, settings.multiple, settings.speedFactor
				if *slowStartSeeds == 1 && (i+schedulers+k)%len(slowStartSettings) != 0 {
					continue // by default each case runs with one of the settings
				}
				for range *slowStartSeeds {
					cases = append(cases, c)
				}
			}
		}
	}
	maxLoad, requests := 0.0, 0
	for i, r := range runSlowStartCases(t, cases, func(i int) int64 { return int64(i%*slowStartSeeds) + 1 }) {
		requests += r.requests
		maxLoad = math.Max(maxLoad, r.maxLoad)
		if r.maxLoad > 1 {
			t.Errorf("seed %d of %+v: load is %.2f of the limit", i%*slowStartSeeds+1, cases[i], r.maxLoad)
		}
	}
	if requests == 0 {
		t.Error("no request was sent to a node in slow start")
	}
	t.Logf("%d nodes in slow start, %d requests, highest load %.2f of the limit", len(cases), requests, maxLoad)
}

// A node in slow start soon serves its share of the requested units, with few and with many schedulers.
func TestNodeInSlowStartServesItsShare(t *testing.T) {
	const seeds = 4
	var cases []slowStartCase
	for _, schedulers := range []int{1, 4, 20, 30, 300} {
		for _, settings := range slowStartSettings[2:] {
			for _, c := range slowStartCases[:2] {
				c.schedulerCount, c.slowStartUnits, c.overloadMultiple, c.nodeSpeedFactor = schedulers, settings.units, settings.multiple, settings.speedFactor
				cases = append(cases, c, c, c, c)
			}
		}
	}
	results := runSlowStartCases(t, cases, func(i int) int64 { return int64(i%seeds) + 1 })
	for i := 0; i < len(cases); i += seeds {
		servedShare, firstServedAfter := 0.0, 0.0
		for _, r := range results[i : i+seeds] {
			servedShare, firstServedAfter = servedShare+r.servedShare/seeds, firstServedAfter+r.firstServedAfter/seeds
		}
		c := cases[i]
		t.Logf("| %d | %.0f units, x%.1f, %.0f | %s | %.2f | %.1f s |", c.schedulerCount, c.slowStartUnits, c.overloadMultiple, c.nodeSpeedFactor, c.name, servedShare, firstServedAfter)
		if servedShare < 0.4 || firstServedAfter > 10 {
			t.Errorf("%+v: served %.2f of its share, and 0.6 of it for a second only after %.1f s", c, servedShare, firstServedAfter)
		}
	}
}
