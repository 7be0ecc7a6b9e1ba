package config

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"wheatsaddle/policy"
)

const (
	simSeed           = 7     // of the scheduler and of the random draws
	simStartMs        = 1e6   // the scheduler's time at the start
	bucketFillMs      = 120e3 // time after which every token bucket is full
	timeToleranceMs   = 1e-6  // rounding of floating-point times
	usualLatencyMs    = 20.0  // a node's usual latency
	maxRetryDelayMs   = 500.0 // maximum time until a retry is dispatched; shorter than a node's silence timeout
	unitsOverLimit    = 5     // units requested beyond a volume's limit
	reviewIntervalMs  = 10.0  // interval of the reviews of waiting requests
	reviewToleranceMs = 2 * reviewIntervalMs
)

// simulation runs a policy.Scheduler with a deployment's settings in virtual time and checks each of its actions against the
// settings. It simulates the clients, the nodes and the endpoint list.
type simulation struct {
	t          *testing.T
	deployment deployment
	scheduler  *policy.Scheduler
	now        float64
	events     eventQueue
	seq        int
	requests   map[string]*simRequest
	order      []*simRequest
	nodes      map[string]policy.Node
	drainedAt  map[string]float64 // when a node began to drain or was removed
	arrivals   []float64          // times of arrivals
	retries    []float64          // times of retries
	buckets    map[string]*tokenBucket
	actions    []policy.Action // of the last step
	// onDispatch is called at each dispatch. If it is nil, the test ends the attempts itself.
	onDispatch func(r *simRequest, attempt int)
	coverage   coverage
}

// coverage counts the situations that a test must cover.
type coverage struct {
	retried, rejectedUncertain, failedUncertain, pastWindow map[string]int // by class
	hedges                                                  int
}

type simRequest struct {
	id         string
	class      platformClass
	plan       platformPlan
	volume     string
	units      float64
	schedulers int
	shard      int
	arrivedAt  float64
	deadline   float64
	attempts   []*simAttempt
	final      string // "", served, rejected, failed or, without a response, lost
	finalAt    float64
	retryAfter float64 // Retry-After of a rejection
}

type simAttempt struct {
	node    string
	sentAt  float64
	startBy float64
	open    bool
	status  policy.Status
}

// mayHaveExecuted reports whether the attempt is outstanding or its result does not prove that it was not executed.
func (x *simAttempt) mayHaveExecuted() bool {
	return x.open || !slices.Contains([]policy.Status{policy.NodeFull, policy.ConnectFailed, policy.Abandoned}, x.status)
}

type tokenBucket struct{ level, at float64 }

type simEvent struct {
	at  float64
	seq int
	do  func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// newSimulation starts the scheduler with one node for each shard, in alternating zones.
func newSimulation(t *testing.T, s deployment, shards int) *simulation {
	t.Helper()
	scheduler, err := policy.New(s.conf.Settings, simSeed)
	if err != nil {
		t.Fatalf("%s: the scheduler rejected the settings: %v", s.name, err)
	}
	sim := &simulation{t: t, deployment: s, scheduler: scheduler, now: simStartMs, requests: map[string]*simRequest{}, nodes: map[string]policy.Node{},
		drainedAt: map[string]float64{}, buckets: map[string]*tokenBucket{},
		coverage: coverage{retried: map[string]int{}, rejectedUncertain: map[string]int{}, failedUncertain: map[string]int{}, pastWindow: map[string]int{}}}
	var list []policy.Node
	for i := range shards {
		n := policy.Node{ID: fmt.Sprint("node-", i), Zone: s.platform.Zones[i%len(s.platform.Zones)], Shard: i, Weight: 1}
		list = append(list, n)
		sim.nodes[n.ID] = n
	}
	sim.step(policy.Event{Kind: policy.CachedListLoaded, Nodes: list})
	if requestsList := slices.ContainsFunc(sim.actions, func(a policy.Action) bool { return a.Kind == policy.Subscribe }); requestsList != (s.platform.Mode == "ask") {
		t.Errorf("%s: mode %s, but the list is requested: %v", s.name, s.platform.Mode, requestsList)
	}
	sim.step(policy.Event{Kind: policy.ListReceived, Nodes: list})
	return sim
}

// fillBuckets runs the simulation until the token buckets, which are empty at the start, are full.
func (sim *simulation) fillBuckets() *simulation {
	r := sim.submit(sim.deployment.platform.Profiles[0], sim.deployment.platform.Contracts[len(sim.deployment.platform.Contracts)-1], 0, 0)
	sim.endAttempt(r, 0, policy.OK)
	sim.run(sim.now + bucketFillMs)
	return sim
}

func (sim *simulation) schedule(wait float64, do func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{sim.now + wait, sim.seq, do})
}

// run runs the events up to a time.
func (sim *simulation) run(until float64) {
	for len(sim.events) > 0 && sim.events[0].at <= until {
		event := heap.Pop(&sim.events).(simEvent)
		sim.now = max(sim.now, event.at)
		event.do()
	}
	sim.now = max(sim.now, until)
}

// step passes events to the scheduler and checks its actions.
func (sim *simulation) step(events ...policy.Event) {
	sim.t.Helper()
	sim.actions = sim.scheduler.Step(sim.now, events, nil)
	for _, a := range slices.Clone(sim.actions) {
		sim.check(a)
	}
}

func (sim *simulation) fail(format string, args ...any) {
	sim.t.Helper()
	sim.t.Errorf("%s at %.0f ms: %s", sim.deployment.name, sim.now-simStartMs, fmt.Sprintf(format, args...))
}

// submit submits a request for a volume of its own; without a timeout it has the class's deadline.
func (sim *simulation) submit(c platformClass, plan platformPlan, shard int, timeout float64) *simRequest {
	sim.t.Helper()
	return sim.submitOf(fmt.Sprint("volume-", len(sim.order)), 1, c, plan, shard, timeout)
}

func (sim *simulation) submitOf(volume string, schedulers int, c platformClass, plan platformPlan, shard int, timeout float64) *simRequest {
	sim.t.Helper()
	if timeout == 0 {
		timeout = c.Deadline
	}
	r := &simRequest{id: fmt.Sprint("request-", len(sim.order)), class: c, plan: plan, volume: volume, units: 1, schedulers: schedulers,
		shard: shard, arrivedAt: sim.now, deadline: sim.now + timeout}
	sim.order = append(sim.order, r)
	sim.requests[r.id] = r
	sim.arrivals = append(sim.arrivals, sim.now)
	sim.schedule(timeout, func() { sim.timeOut(r) })
	sim.schedule(timeout+sim.deployment.platform.Rules.AnswerSlack, func() { sim.overdue(r) })
	sim.step(policy.Event{Kind: policy.RequestArrived, Request: policy.Request{ID: r.id, Class: c.Name, Plan: plan.Name, Key: "key-" + r.id,
		Volume: volume, Deadline: r.deadline, Units: r.units, Shard: shard, Schedulers: schedulers}})
	return r
}

// timeOut ends the outstanding attempts at the client's deadline, like the network code.
func (sim *simulation) timeOut(r *simRequest) {
	for i, x := range r.attempts {
		if x.open {
			sim.endAttempt(r, i, policy.TimedOut)
		}
	}
}

// overdue checks that a request has its final response.
func (sim *simulation) overdue(r *simRequest) {
	sim.t.Helper()
	if r.final == "" {
		sim.fail("%s (%s, %s) has no final response at its client's deadline", r.id, r.class.Name, r.plan.Name)
		r.final = "lost"
	}
}

// endAttempt reports the end of an attempt to the scheduler.
func (sim *simulation) endAttempt(r *simRequest, attempt int, status policy.Status) {
	sim.t.Helper()
	x := r.attempts[attempt]
	if !x.open {
		return
	}
	x.open, x.status = false, status
	if status == policy.OK && r.final == "" {
		r.final, r.finalAt = "served", sim.now
	}
	sim.step(policy.Event{Kind: policy.AttemptEnded, ID: r.id, Attempt: attempt, Node: x.node, Status: status, Latency: sim.now - x.sentAt,
		Finished: r.final != ""})
}

// check checks one action against the settings.
func (sim *simulation) check(a policy.Action) {
	sim.t.Helper()
	r := sim.requests[a.ID]
	switch a.Kind {
	case policy.SetTimer:
		sim.schedule(a.Wait, func() { sim.step(policy.Event{Kind: policy.TimerFired, Tag: a.Tag}) })
	case policy.Send:
		sim.checkDispatch(r, a)
	case policy.Reject:
		sim.checkFinal(r, "rejected")
		r.retryAfter = a.Wait
		if maxRetryAfter := sim.deployment.platform.Ceilings.MaxRetryAfter; a.Wait > maxRetryAfter || a.Wait > 0 && !sim.deployment.platform.Ceilings.RetryAfter {
			sim.fail("%s has Retry-After %.0f ms, which the settings do not permit", r.id, a.Wait)
		}
		if uncertain, _ := r.firstUncertain(); uncertain {
			sim.coverage.rejectedUncertain[r.class.Name]++
			if r.class.Effect == "unsafe" || r.class.Effect == "keyed" && r.class.DedupScope != "all" {
				sim.fail("%s (%s) is rejected, although it may have been executed", r.id, r.class.Name)
			}
		}
	case policy.Fail:
		sim.checkFinal(r, "failed")
		if uncertain, _ := r.firstUncertain(); uncertain {
			sim.coverage.failedUncertain[r.class.Name]++
		}
	case policy.Cancel:
		if !sim.deployment.platform.Ceilings.MayCancel {
			sim.fail("%s is cancelled, which the settings do not permit", r.id)
		}
		sim.schedule(0, func() { sim.endAttempt(r, a.Attempt, policy.Cancelled) })
	case policy.CheckHealth:
		if !sim.deployment.platform.Ceilings.MayCheckHealth {
			sim.fail("%s gets a health check, which the settings do not permit", a.Node)
		}
	case policy.Gossip:
		if !sim.deployment.platform.Ceilings.MayGossip {
			sim.fail("gossip is sent, which the settings do not permit")
		}
	}
}

func (sim *simulation) checkFinal(r *simRequest, final string) {
	sim.t.Helper()
	if r.final != "" {
		sim.fail("%s is %s, but was already %s", r.id, final, r.final)
	}
	if sim.now > r.deadline+sim.deployment.platform.Rules.AnswerSlack {
		sim.fail("%s is %s %.0f ms after its deadline", r.id, final, sim.now-r.deadline)
	}
	r.final, r.finalAt = final, sim.now
}

// firstUncertain returns the first attempt that may have been executed; false: there is none.
func (r *simRequest) firstUncertain() (bool, *simAttempt) {
	for _, x := range r.attempts {
		if x.mayHaveExecuted() {
			return true, x
		}
	}
	return false, nil
}

func (sim *simulation) checkDispatch(r *simRequest, a policy.Action) {
	sim.t.Helper()
	platform := sim.deployment.platform
	node := sim.nodes[a.Node]
	uncertain, first := r.firstUncertain()
	open := 0
	for _, x := range r.attempts {
		if x.open {
			open++
		}
	}
	if r.final != "" {
		sim.fail("%s is dispatched, but was already %s", r.id, r.final)
	}
	if len(r.attempts) >= platform.Ceilings.Attempts {
		sim.fail("%s: %d attempts, limit %d", r.id, len(r.attempts)+1, platform.Ceilings.Attempts)
	}
	if open > 1 || open == 1 && !platform.Ceilings.MayHedge {
		sim.fail("%s is dispatched with %d outstanding attempts", r.id, open)
	}
	if a.Deadline > r.deadline+timeToleranceMs {
		sim.fail("%s is dispatched for %.0f ms, its client has %.0f left", r.id, a.Deadline-sim.now, r.deadline-sim.now)
	}
	if r.shard >= 0 && node.Shard != r.shard {
		sim.fail("%s of shard %d goes to %s", r.id, r.shard, a.Node)
	}
	if since, draining := sim.drainedAt[a.Node]; draining && sim.now > since+platform.Rules.DrainGrace {
		sim.fail("%s goes to %s %.0f ms after its drain began or it was removed", r.id, a.Node, sim.now-since)
	}
	if uncertain {
		sim.checkRetry(r, a, first)
	}
	if len(r.attempts) == 0 {
		sim.checkLimit(r)
	} else {
		sim.checkBudget(r)
		sim.coverage.retried[r.class.Name]++
	}
	if open > 0 {
		sim.coverage.hedges++
	}
	r.attempts = append(r.attempts, &simAttempt{node: a.Node, sentAt: sim.now, startBy: a.StartBy, open: true})
	if attempt := len(r.attempts) - 1; sim.onDispatch != nil {
		sim.onDispatch(r, attempt)
	}
}

// checkRetry checks that the class's effect permits an attempt after one that may have been executed.
func (sim *simulation) checkRetry(r *simRequest, a policy.Action, first *simAttempt) {
	sim.t.Helper()
	switch r.class.Effect {
	case "unsafe":
		sim.fail("%s (%s) is retried, although it may have been executed", r.id, r.class.Name)
	case "keyed":
		from, to := sim.nodes[first.node], sim.nodes[a.Node]
		if r.class.DedupScope == "cell" && from.Shard != to.Shard || r.class.DedupScope == "zone" && from.Zone != to.Zone {
			sim.fail("%s (%s) is retried outside its %s", r.id, r.class.Name, r.class.DedupScope)
		}
		ends := first.sentAt + r.class.DedupWindow
		if sim.now > ends+timeToleranceMs {
			sim.fail("%s (%s) is retried %.0f ms after its window", r.id, r.class.Name, sim.now-ends)
		}
		if a.StartBy == 0 || a.StartBy > ends+timeToleranceMs {
			sim.fail("%s (%s) is retried and may start until %.0f ms, its window ends at %.0f", r.id, r.class.Name, a.StartBy-simStartMs, ends-simStartMs)
		}
	}
}

// checkLimit checks the first attempts of a volume's requests against this scheduler's share of an initially full token bucket.
func (sim *simulation) checkLimit(r *simRequest) {
	sim.t.Helper()
	if r.plan.Cap == 0 {
		return
	}
	share := 1 / float64(r.schedulers)
	bucket := sim.buckets[r.volume]
	if bucket == nil {
		bucket = &tokenBucket{r.plan.Burst * share, sim.now}
		sim.buckets[r.volume] = bucket
	}
	bucket.level, bucket.at = min(bucket.level+r.plan.Cap*share*(sim.now-bucket.at)/1000, r.plan.Burst*share), sim.now
	if bucket.level -= r.units; bucket.level < -timeToleranceMs {
		sim.fail("%s (%s) is dispatched %.2f units over its volume's limit", r.id, r.plan.Name, -bucket.level)
	}
}

// checkBudget checks that retries stay within the budget.
func (sim *simulation) checkBudget(r *simRequest) {
	sim.t.Helper()
	rules := sim.deployment.platform.Rules
	if rules.RetryBudgetWindow == 0 {
		return
	}
	within := func(times []float64, counts func(age float64) bool) (n float64) {
		for _, at := range times {
			if counts(sim.now - at) {
				n++
			}
		}
		return n
	}
	sim.retries = append(sim.retries, sim.now)
	sent := within(sim.retries, func(age float64) bool { return age <= rules.RetryBudgetWindow })
	arrived := within(sim.arrivals, func(age float64) bool { return age < rules.RetryBudgetWindow })
	if sent > rules.RetryBudgetMin+rules.RetryBudgetShare*arrived {
		sim.fail("%s is retry %.0f within the budget's window, for %.0f requests", r.id, sent, arrived)
	}
}

// setNodeState changes a node's state in the list.
func (sim *simulation) setNodeState(id string, state policy.NodeState) {
	sim.t.Helper()
	n := sim.nodes[id]
	n.State = state
	sim.nodes[id] = n
	delete(sim.drainedAt, id)
	if state == policy.NodeDraining || state == policy.NodeRemoved {
		sim.drainedAt[id] = sim.now
	}
	sim.step(policy.Event{Kind: policy.ListChanged, Nodes: []policy.Node{n}})
}

// drawEnd schedules a random end of an attempt: mostly soon and successfully, sometimes not before its deadline.
func (sim *simulation) drawEnd(rng *rand.Rand, r *simRequest, attempt int) {
	wait := usualLatencyMs * (0.5 + rng.ExpFloat64())
	status := policy.OK
	if attempt > 0 && rng.IntN(4) == 0 {
		return
	}
	switch rng.IntN(20) {
	case 0:
		return
	case 1:
		status = policy.ConnectionReset
	case 2:
		status, wait = policy.Errored, rng.Float64()*r.class.Deadline
	case 3:
		status, wait = policy.NodeFull, 1
	case 4:
		status, wait = policy.ConnectFailed, 200*rng.Float64()
	case 5:
		wait = rng.Float64() * r.class.LatencyObjective
	}
	sim.schedule(wait, func() { sim.endAttempt(r, attempt, status) })
}
