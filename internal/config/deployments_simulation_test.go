package config

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"wheatsaddle/policy"
)

// eachClassAndPlan runs a test for each class and plan of each deployment.
func eachClassAndPlan(t *testing.T, run func(t *testing.T, s deployment, c platformClass, plan platformPlan)) {
	for _, s := range deployments(t) {
		for _, c := range s.platform.Profiles {
			for _, plan := range s.platform.Contracts {
				t.Run(s.name+"/"+c.Name+"/"+plan.Name, func(t *testing.T) { run(t, s, c, plan) })
			}
		}
	}
}

// A request of each class and plan is dispatched immediately, with its client's deadline, and its response completes it.
func TestDeploymentRequestsAreServed(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c platformClass, plan platformPlan) {
		for _, timeout := range []float64{c.Deadline, c.Deadline / 2} {
			sim := newSimulation(t, s, 3).fillBuckets()
			r := sim.submit(c, plan, 1, timeout)
			i := slices.IndexFunc(sim.actions, func(a policy.Action) bool { return a.Kind == policy.Send })
			if len(r.attempts) != 1 || sim.actions[i].Deadline != r.deadline {
				t.Fatalf("dispatched %d times, want once with the client's deadline; actions %+v", len(r.attempts), sim.actions)
			}
			sim.run(sim.now + usualLatencyMs)
			sim.endAttempt(r, 0, policy.OK)
			sim.run(r.deadline + 1)
			if r.final != "served" || len(r.attempts) != 1 {
				t.Errorf("final state %s after %d attempts, want served after 1", r.final, len(r.attempts))
			}
		}
	})
}

// A request with a class or plan of another deployment is rejected.
func TestDeploymentRejectsUnknownNames(t *testing.T) {
	all := deployments(t)
	for i, s := range all {
		other := all[(i+1)%len(all)].platform
		own := s.platform
		for _, x := range []struct {
			class platformClass
			plan  platformPlan
			final string
		}{{own.Profiles[0], own.Contracts[1], ""}, {other.Profiles[0], own.Contracts[1], "rejected"}, {own.Profiles[0], other.Contracts[1], "rejected"}} {
			sim := newSimulation(t, s, 2)
			if r := sim.submit(x.class, x.plan, 0, 0); r.final != x.final {
				t.Errorf("%s: class %s, plan %s: final state %q, want %q", s.name, x.class.Name, x.plan.Name, r.final, x.final)
			}
		}
	}
}

// A request whose attempt may have been executed is retried if the class's effect permits it, and otherwise fails. One whose
// attempt was provably not executed is retried in any class.
func TestDeploymentEffects(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c platformClass, plan platformPlan) {
		for _, status := range []policy.Status{policy.Errored, policy.ConnectionReset, policy.NodeFull, policy.ConnectFailed} {
			sim := newSimulation(t, s, 3).fillBuckets()
			r := sim.submit(c, plan, 1, 0)
			sim.run(sim.now + usualLatencyMs)
			sim.endAttempt(r, 0, status)
			sim.run(sim.now + min(c.LatencyObjective/2, maxRetryDelayMs))
			notExecuted := status == policy.NodeFull || status == policy.ConnectFailed
			if retried := notExecuted || c.Effect != "unsafe"; retried != (len(r.attempts) == 2) {
				t.Fatalf("status %v: %d attempts, final state %q: the retry does not match the class's effect", status, len(r.attempts), r.final)
			}
			if c.Effect == "unsafe" && !notExecuted && r.final != "failed" {
				t.Errorf("status %v: final state %q, want failed", status, r.final)
			}
			if c.Effect == "keyed" && len(r.attempts) == 2 {
				want := 0.0 // the attempt was not executed, so no window is open
				if !notExecuted {
					want = r.attempts[0].sentAt + c.DedupWindow
				}
				if r.attempts[1].startBy != want {
					t.Errorf("status %v: StartBy %v, want %v", status, r.attempts[1].startBy, want)
				}
			}
			sim.run(r.deadline + 1)
			if len(r.attempts) > s.platform.Ceilings.Attempts {
				t.Errorf("%d attempts are more than the settings permit", len(r.attempts))
			}
		}
	})
}

// A request has at most as many attempts as the settings permit, and is then rejected. Idempotent requests are retried after
// errors. Others are retried only if an attempt was not executed, and have fewer attempts, because the node's backoff grows.
func TestDeploymentMaxAttempts(t *testing.T) {
	for _, s := range deployments(t) {
		for _, c := range s.platform.Profiles {
			status, minAttempts := policy.NodeFull, 2
			if c.Effect == "safe" {
				status, minAttempts = policy.Errored, s.platform.Ceilings.Attempts
			}
			sim := newSimulation(t, s, 2).fillBuckets()
			sim.onDispatch = func(r *simRequest, attempt int) {
				sim.schedule(1, func() { sim.endAttempt(r, attempt, status) })
			}
			r := sim.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 0, 0)
			sim.run(r.deadline + 1)
			if len(r.attempts) < minAttempts || len(r.attempts) > s.platform.Ceilings.Attempts || r.final != "rejected" {
				t.Errorf("%s, %s: final state %q after %d attempts of %d, want rejected", s.name, c.Name, r.final, len(r.attempts), s.platform.Ceilings.Attempts)
			}
		}
	}
}

// With a retry budget, the number of retries in a burst of errors is exactly the budget; without one, each request has the
// attempts that the settings permit. Configurations have no budgets, so they are taken from the site file.
func TestDeploymentBudgets(t *testing.T) {
	const burst = 40
	budgets := 0
	for _, s := range deployments(t) {
		s = s.withBudget(t)
		rules, c := s.platform.Rules, s.platform.Profiles[0]
		sim := newSimulation(t, s, 2).fillBuckets()
		sim.onDispatch = func(r *simRequest, attempt int) {
			sim.schedule(1, func() { sim.endAttempt(r, attempt, policy.Errored) })
		}
		retries := 0
		for range burst {
			r := sim.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 0, 0)
			sim.run(sim.now + 10)
			retries += len(r.attempts) - 1
		}
		want := burst * (s.platform.Ceilings.Attempts - 1)
		if rules.RetryBudgetWindow > 0 {
			budgets++
			want = int(rules.RetryBudgetMin + rules.RetryBudgetShare*burst) // the whole burst is within one window
		}
		if c.Effect != "safe" || burst*10 > rules.RetryBudgetWindow && rules.RetryBudgetWindow > 0 || retries != want {
			t.Errorf("%s, %s: %d retries, want %d", s.name, c.Name, retries, want)
		}
	}
	if budgets == 0 {
		t.Error("no deployment has a budget")
	}
}

// A request that is idempotent by key and waits for capacity is retried until the end of its deduplication window, and not
// after it, although its client's deadline is later. The first attempt lasts longer than the latency objective, because
// requests that are still waiting at the objective are ended then. An earlier response was slow, so that the attempt is not
// cancelled. Errors of non-idempotent requests show that the node is not silent, and free capacity.
func TestDeploymentDedupWindowsEnd(t *testing.T) {
	const (
		failAt        = 1.05 // share of the objective after which the first attempt fails
		slowLatency   = 0.6  // share of the objective that the earlier response takes; an attempt may take twice as long
		fadeMs        = 8e3  // time after which the slow response has little weight
		initialWindow = 4    // maximum concurrent attempts at a node at first
	)
	reached := 0
	for _, s := range deployments(t) {
		classes, plan := s.platform.Profiles, s.platform.Contracts[len(s.platform.Contracts)-1]
		longestClass := slices.MaxFunc(classes, func(a, b platformClass) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) })
		nonIdempotent := slices.IndexFunc(classes, func(c platformClass) bool { return c.Effect == "unsafe" })
		for _, c := range classes {
			if nonIdempotent < 0 || c.Effect != "keyed" || c.DedupWindow >= 0.9*c.Deadline || c.DedupWindow < 1.2*failAt*c.LatencyObjective {
				continue
			}
			for _, x := range []struct {
				capacityAt float64 // when the node has capacity again, in windows
				attempts   int
			}{{0.95, 2}, {1.01, 1}} {
				sim := newSimulation(t, s, 2).fillBuckets()
				slowRequest := sim.submit(longestClass, plan, 0, 0)
				sim.run(sim.now + slowLatency*c.LatencyObjective)
				sim.endAttempt(slowRequest, 0, policy.OK)
				sim.run(sim.now + fadeMs)
				r := sim.submit(c, plan, 1, 0)
				sentAt := sim.now
				sim.run(sentAt + failAt*c.LatencyObjective/2)
				sim.endAttempt(sim.submit(classes[nonIdempotent], plan, 1, 0), 0, policy.Errored)
				sim.run(sentAt + failAt*c.LatencyObjective - 1)
				var others []*simRequest
				for range initialWindow {
					others = append(others, sim.submit(classes[nonIdempotent], plan, 1, 0))
				}
				sim.run(sentAt + failAt*c.LatencyObjective)
				sim.endAttempt(r, 0, policy.Errored)
				sim.run(sentAt + x.capacityAt*c.DedupWindow)
				if len(r.attempts) != 1 || r.final != "" || len(others[initialWindow-1].attempts) != 1 {
					t.Fatalf("%s, %s: %d attempts, final state %q: the request does not wait", s.name, c.Name, len(r.attempts), r.final)
				}
				sim.endAttempt(others[0], 0, policy.Errored)
				sim.run(sim.now + 5*reviewToleranceMs)
				if len(r.attempts) != x.attempts {
					t.Errorf("%s, %s: %d attempts, want %d: the node had capacity at %.2f of the window", s.name, c.Name, len(r.attempts), x.attempts, x.capacityAt)
				}
				sim.run(r.deadline + 1)
				if x.attempts == 1 && r.final != "failed" {
					t.Errorf("%s, %s: final state %q after the window, want failed", s.name, c.Name, r.final)
				}
				reached++
			}
		}
	}
	if reached == 0 {
		t.Error("no deployment has a class whose window ends between its objective and its deadline")
	}
}

// A request whose shard has no node waits until its latency objective or, if that is earlier, its deadline, and is rejected.
func TestDeploymentObjectivesAndDeadlines(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c platformClass, plan platformPlan) {
		shardWithoutNode := s.platform.Extra.Shards - 1
		for _, timeout := range []float64{c.Deadline, c.LatencyObjective / 3} {
			sim := newSimulation(t, s, 2).fillBuckets()
			r := sim.submit(c, plan, shardWithoutNode, timeout)
			sim.run(r.deadline + s.platform.Rules.AnswerSlack)
			expectedMs := min(c.LatencyObjective, timeout)
			if elapsedMs := r.finalAt - r.arrivedAt; r.final != "rejected" || elapsedMs > expectedMs+reviewToleranceMs || elapsedMs < expectedMs-reviewToleranceMs {
				t.Errorf("final state %q after %.0f ms, want rejected at the objective of %.0f ms or the deadline of %.0f", r.final, elapsedMs, c.LatencyObjective, timeout)
			}
		}
	})
}

// A waiting request is answered by its deadline, at any phase of the reviews of waiting requests.
func TestDeploymentAnswersBeforeDeadline(t *testing.T) {
	const phases = 20 // in one review interval
	for _, s := range deployments(t) {
		for _, c := range s.platform.Profiles {
			for i := range phases {
				sim := newSimulation(t, s, 2).fillBuckets()
				r := sim.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], s.platform.Extra.Shards-1, c.LatencyObjective/3+float64(i)*reviewIntervalMs/phases)
				sim.run(r.deadline + s.platform.Rules.AnswerSlack) // overdue and checkFinal check the time of the response
				if r.finalAt > r.deadline {
					t.Errorf("%s, %s: %q %.1f ms after its deadline", s.name, c.Name, r.final, r.finalAt-r.deadline)
				}
			}
		}
	}
}

// A volume of a rate-limited plan gets this scheduler's share of its burst immediately, and then its share of the rate. A
// volume of another plan is not limited.
func TestDeploymentLimits(t *testing.T) {
	limited := 0
	for _, s := range deployments(t) {
		for _, plan := range s.platform.Contracts {
			for _, schedulers := range []int{1, 2, 3} {
				sim := newSimulation(t, s, 2).fillBuckets()
				sim.onDispatch = func(r *simRequest, attempt int) { sim.schedule(0, func() { sim.endAttempt(r, attempt, policy.OK) }) }
				requestCount := int(plan.Burst) + unitsOverLimit
				sendAll := func() (sent int) {
					for range requestCount {
						if r := sim.submitOf("flooded", schedulers, s.platform.Profiles[0], plan, 0, 0); len(r.attempts) > 0 {
							sent++
						}
						sim.run(sim.now)
					}
					return sent
				}
				want := requestCount
				if plan.Cap > 0 {
					limited++
					want = int(plan.Burst / float64(schedulers))
				}
				if sent := sendAll(); sent != want {
					t.Errorf("%s, %s over %d schedulers: %d of %d units dispatched at once, want %d", s.name, plan.Name, schedulers, sent, requestCount, want)
				}
				sim.run(sim.now + s.platform.Profiles[0].Deadline + 1) // checkLimit checks the waiting requests against the rate
				if plan.Cap > 0 && sim.buckets["flooded"] == nil {
					t.Errorf("%s, %s: no token bucket was used", s.name, plan.Name)
				}
			}
		}
	}
	if limited == 0 {
		t.Error("no deployment has a plan with a limit")
	}
}

// Of otherwise equal waiting requests, those of the plan with the higher price are dispatched first.
func TestDeploymentPlansAreOrderedByPrice(t *testing.T) {
	for _, s := range deployments(t) {
		c := s.platform.Profiles[0]
		sim := newSimulation(t, s, 2).fillBuckets()
		sim.setNodeState("node-1", policy.NodeExcluded)
		var waiting []*simRequest
		for _, plan := range s.platform.Contracts {
			waiting = append(waiting, sim.submit(c, plan, 1, 0))
		}
		sim.setNodeState("node-1", policy.NodeUp)
		lastPrice := math.Inf(1)
		sent := 0
		for _, a := range sim.actions {
			if a.Kind != policy.Send {
				continue
			}
			price := sim.requests[a.ID].plan.Price
			if price > lastPrice {
				t.Errorf("%s: a request of a plan with price %v was dispatched after one with price %v", s.name, price, lastPrice)
			}
			lastPrice, sent = price, sent+1
		}
		if sent < 2 || waiting[0].plan.Price == waiting[1].plan.Price {
			t.Errorf("%s: %d of %d dispatched immediately, want at least 2, of plans with different prices", s.name, sent, len(waiting))
		}
	}
}

// No request is dispatched to a draining node after the drain grace, or at all if the grace is short.
func TestDeploymentDrains(t *testing.T) {
	for _, s := range deployments(t) {
		for _, c := range s.platform.Profiles {
			sim := newSimulation(t, s, 2).fillBuckets()
			sim.setNodeState("node-1", policy.NodeDraining)
			for range 50 {
				sim.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 1, 0)
				sim.run(sim.now + s.platform.Rules.DrainGrace/25) // checkDispatch checks each dispatch
			}
			r := sim.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 0, 0)
			if len(r.attempts) != 1 {
				t.Errorf("%s, %s: the other node is not used", s.name, c.Name)
			}
		}
	}
}

// In random simulations with all classes and plans, attempts have any outcome at any time, and nodes drain, are removed and
// return. Each action is checked against the settings.
func TestDeploymentRandomSimulations(t *testing.T) {
	const runs, arrivals = 4, 1500
	gaps := []float64{40, 12} // mean ms between arrivals: light load, and load under which requests time out
	for _, s := range deployments(t) {
		total := coverage{retried: map[string]int{}, rejectedUncertain: map[string]int{}, failedUncertain: map[string]int{}, pastWindow: map[string]int{}}
		finals := map[string]int{}
		for run := range runs {
			sim := newSimulation(t, s, 5)
			rng := rand.New(rand.NewPCG(simSeed, uint64(run)))
			sim.onDispatch = func(r *simRequest, attempt int) { sim.drawEnd(rng, r, attempt) }
			for range arrivals {
				sim.run(sim.now + rng.ExpFloat64()*gaps[run%len(gaps)])
				c := s.platform.Profiles[rng.IntN(len(s.platform.Profiles))]
				plan := s.platform.Contracts[rng.IntN(len(s.platform.Contracts))]
				sim.submitOf(fmt.Sprint(plan.Name, rng.IntN(4)), 1+rng.IntN(2), c, plan, rng.IntN(5), c.Deadline*(0.3+0.7*rng.Float64()))
				if rng.IntN(60) == 0 {
					state := []policy.NodeState{policy.NodeUp, policy.NodeDraining, policy.NodeExcluded, policy.NodeRemoved}[rng.IntN(4)]
					id := fmt.Sprint("node-", rng.IntN(5))
					sim.setNodeState(id, state)
					sim.schedule(rng.Float64()*3000, func() { sim.setNodeState(id, policy.NodeUp) })
				}
			}
			sim.run(sim.now + 60e3)
			for _, r := range sim.order {
				finals[r.final]++
				if uncertain, first := r.firstUncertain(); uncertain && r.class.Effect == "keyed" && r.finalAt > first.sentAt+r.class.DedupWindow && r.final != "served" {
					total.pastWindow[r.class.Name]++
				}
			}
			for _, x := range [][2]map[string]int{{total.retried, sim.coverage.retried}, {total.rejectedUncertain, sim.coverage.rejectedUncertain}, {total.failedUncertain, sim.coverage.failedUncertain}} {
				for name, n := range x[1] {
					x[0][name] += n
				}
			}
			total.hedges += sim.coverage.hedges
		}
		t.Logf("%s: %v, %+v", s.name, finals, total)
		for _, c := range s.platform.Profiles {
			if total.retried[c.Name] == 0 {
				t.Errorf("%s: no %s request was retried", s.name, c.Name)
			}
			if c.Effect == "unsafe" && total.failedUncertain[c.Name] == 0 {
				t.Errorf("%s: no %s request failed after an attempt that may have been executed", s.name, c.Name)
			}
			if c.Effect == "keyed" && c.DedupWindow < c.Deadline && total.pastWindow[c.Name] == 0 {
				t.Errorf("%s: no %s request ended after its window", s.name, c.Name)
			}
		}
		if (total.hedges > 0) != s.platform.Ceilings.MayHedge {
			t.Errorf("%s: %d hedges, which does not match the settings", s.name, total.hedges)
		}
		if finals["served"] < runs*arrivals/3 {
			t.Errorf("%s: fewer than a third of the requests were served: %v", s.name, finals)
		}
	}
}
