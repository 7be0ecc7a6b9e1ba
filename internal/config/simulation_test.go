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
	module     *policy.Scheduler
	now        float64
	events     eventQueue
	seq        int
	requests   map[string]*simRequest
	order      []*simRequest
	nodes      map[string]policy.Node
	drainedAt  map[string]float64 // when a node began to drain
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

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)   { *d = append(*d, x.(simEvent)) }
func (d *eventQueue) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// newSimulation starts the scheduler with one node for each shard, in alternating zones.
func newSimulation(t *testing.T, s deployment, shards int) *simulation {
	t.Helper()
	module, err := policy.New(s.conf.Settings, simSeed)
	if err != nil {
		t.Fatalf("%s: %v", s.name, err)
	}
	p := &simulation{t: t, deployment: s, module: module, now: simStartMs, requests: map[string]*simRequest{}, nodes: map[string]policy.Node{},
		drainedAt: map[string]float64{}, buckets: map[string]*tokenBucket{},
		coverage: coverage{retried: map[string]int{}, rejectedUncertain: map[string]int{}, failedUncertain: map[string]int{}, pastWindow: map[string]int{}}}
	var list []policy.Node
	for i := range shards {
		n := policy.Node{ID: fmt.Sprint("node-", i), Zone: s.platform.Zones[i%len(s.platform.Zones)], Shard: i, Weight: 1}
		list = append(list, n)
		p.nodes[n.ID] = n
	}
	p.step(policy.Event{Kind: policy.CachedListLoaded, Nodes: list})
	if requestsList := slices.ContainsFunc(p.actions, func(a policy.Action) bool { return a.Kind == policy.Subscribe }); requestsList != (s.platform.Mode == "ask") {
		t.Errorf("%s: mode %s, but the list is requested: %v", s.name, s.platform.Mode, requestsList)
	}
	p.step(policy.Event{Kind: policy.ListReceived, Nodes: list})
	return p
}

// fillBuckets runs the simulation until the token buckets, which are empty at the start, are full.
func (p *simulation) fillBuckets() *simulation {
	r := p.submit(p.deployment.platform.Profiles[0], p.deployment.platform.Contracts[len(p.deployment.platform.Contracts)-1], 0, 0)
	p.endAttempt(r, 0, policy.OK)
	p.run(p.now + bucketFillMs)
	return p
}

func (p *simulation) schedule(wait float64, do func()) {
	p.seq++
	heap.Push(&p.events, simEvent{p.now + wait, p.seq, do})
}

// run runs the events up to a time.
func (p *simulation) run(until float64) {
	for len(p.events) > 0 && p.events[0].at <= until {
		d := heap.Pop(&p.events).(simEvent)
		p.now = max(p.now, d.at)
		d.do()
	}
	p.now = max(p.now, until)
}

// step passes events to the scheduler and checks its actions.
func (p *simulation) step(events ...policy.Event) {
	p.t.Helper()
	p.actions = p.module.Step(p.now, events, nil)
	for _, a := range slices.Clone(p.actions) {
		p.check(a)
	}
}

func (p *simulation) fail(format string, args ...any) {
	p.t.Helper()
	p.t.Errorf("%s at %.0f ms: %s", p.deployment.name, p.now-simStartMs, fmt.Sprintf(format, args...))
}

// submit submits a request for a volume of its own; without a timeout it has the class's deadline.
func (p *simulation) submit(c platformClass, plan platformPlan, shard int, timeout float64) *simRequest {
	p.t.Helper()
	return p.submitOf(fmt.Sprint("volume-", len(p.order)), 1, c, plan, shard, timeout)
}

func (p *simulation) submitOf(volume string, schedulers int, c platformClass, plan platformPlan, shard int, timeout float64) *simRequest {
	p.t.Helper()
	if timeout == 0 {
		timeout = c.Deadline
	}
	r := &simRequest{id: fmt.Sprint("request-", len(p.order)), class: c, plan: plan, volume: volume, units: 1, schedulers: schedulers,
		shard: shard, arrivedAt: p.now, deadline: p.now + timeout}
	p.order = append(p.order, r)
	p.requests[r.id] = r
	p.arrivals = append(p.arrivals, p.now)
	p.schedule(timeout, func() { p.timeOut(r) })
	p.schedule(timeout+p.deployment.platform.Rules.AnswerSlack, func() { p.overdue(r) })
	p.step(policy.Event{Kind: policy.RequestArrived, Request: policy.Request{ID: r.id, Class: c.Name, Plan: plan.Name, Key: "key-" + r.id,
		Volume: volume, Deadline: r.deadline, Units: r.units, Shard: shard, Schedulers: schedulers}})
	return r
}

// timeOut ends the outstanding attempts at the client's deadline, like the network code.
func (p *simulation) timeOut(r *simRequest) {
	for i, x := range r.attempts {
		if x.open {
			p.endAttempt(r, i, policy.TimedOut)
		}
	}
}

// overdue checks that a request has its final response.
func (p *simulation) overdue(r *simRequest) {
	p.t.Helper()
	if r.final == "" {
		p.fail("%s (%s, %s) has no final response at its client's deadline", r.id, r.class.Name, r.plan.Name)
		r.final = "lost"
	}
}

// endAttempt reports the end of an attempt to the scheduler.
func (p *simulation) endAttempt(r *simRequest, attempt int, status policy.Status) {
	p.t.Helper()
	x := r.attempts[attempt]
	if !x.open {
		return
	}
	x.open, x.status = false, status
	if status == policy.OK && r.final == "" {
		r.final, r.finalAt = "served", p.now
	}
	p.step(policy.Event{Kind: policy.AttemptEnded, ID: r.id, Attempt: attempt, Node: x.node, Status: status, Latency: p.now - x.sentAt,
		Finished: r.final != ""})
}

// check checks one action against the settings.
func (p *simulation) check(a policy.Action) {
	p.t.Helper()
	r := p.requests[a.ID]
	switch a.Kind {
	case policy.SetTimer:
		p.schedule(a.Wait, func() { p.step(policy.Event{Kind: policy.TimerFired, Tag: a.Tag}) })
	case policy.Send:
		p.checkDispatch(r, a)
	case policy.Reject:
		p.checkFinal(r, "rejected")
		r.retryAfter = a.Wait
		if maxRetryAfter := p.deployment.platform.Ceilings.MaxRetryAfter; a.Wait > maxRetryAfter || a.Wait > 0 && !p.deployment.platform.Ceilings.RetryAfter {
			p.fail("%s has Retry-After %.0f ms", r.id, a.Wait)
		}
		if uncertain, _ := r.firstUncertain(); uncertain {
			p.coverage.rejectedUncertain[r.class.Name]++
			if r.class.Effect == "unsafe" || r.class.Effect == "keyed" && r.class.DedupScope != "all" {
				p.fail("%s (%s) is rejected, although it may have been executed", r.id, r.class.Name)
			}
		}
	case policy.Fail:
		p.checkFinal(r, "failed")
		if uncertain, _ := r.firstUncertain(); uncertain {
			p.coverage.failedUncertain[r.class.Name]++
		}
	case policy.Cancel:
		if !p.deployment.platform.Ceilings.MayCancel {
			p.fail("%s is cancelled", r.id)
		}
		p.schedule(0, func() { p.endAttempt(r, a.Attempt, policy.Cancelled) })
	case policy.CheckHealth:
		if !p.deployment.platform.Ceilings.MayCheckHealth {
			p.fail("%s: unexpected health check", a.Node)
		}
	case policy.Gossip:
		if !p.deployment.platform.Ceilings.MayGossip {
			p.fail("unexpected gossip")
		}
	}
}

func (p *simulation) checkFinal(r *simRequest, final string) {
	p.t.Helper()
	if r.final != "" {
		p.fail("%s is %s, but was already %s", r.id, final, r.final)
	}
	if p.now > r.deadline+p.deployment.platform.Rules.AnswerSlack {
		p.fail("%s is %s %.0f ms after its deadline", r.id, final, p.now-r.deadline)
	}
	r.final, r.finalAt = final, p.now
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

func (p *simulation) checkDispatch(r *simRequest, a policy.Action) {
	p.t.Helper()
	platform := p.deployment.platform
	node := p.nodes[a.Node]
	uncertain, first := r.firstUncertain()
	open := 0
	for _, x := range r.attempts {
		if x.open {
			open++
		}
	}
	if r.final != "" {
		p.fail("%s is dispatched, but was already %s", r.id, r.final)
	}
	if len(r.attempts) >= platform.Ceilings.Attempts {
		p.fail("%s: %d attempts, limit %d", r.id, len(r.attempts)+1, platform.Ceilings.Attempts)
	}
	if open > 1 || open == 1 && !platform.Ceilings.MayHedge {
		p.fail("%s is dispatched with %d outstanding attempts", r.id, open)
	}
	if a.Deadline > r.deadline+timeToleranceMs {
		p.fail("%s is dispatched for %.0f ms, its client has %.0f left", r.id, a.Deadline-p.now, r.deadline-p.now)
	}
	if r.shard >= 0 && node.Shard != r.shard {
		p.fail("%s of shard %d goes to %s", r.id, r.shard, a.Node)
	}
	if since, draining := p.drainedAt[a.Node]; draining && p.now > since+platform.Rules.DrainGrace {
		p.fail("%s goes to %s %.0f ms after its drain began", r.id, a.Node, p.now-since)
	}
	if uncertain {
		p.checkRetry(r, a, first)
	}
	if len(r.attempts) == 0 {
		p.checkLimit(r)
	} else {
		p.checkBudget(r)
		p.coverage.retried[r.class.Name]++
	}
	if open > 0 {
		p.coverage.hedges++
	}
	r.attempts = append(r.attempts, &simAttempt{node: a.Node, sentAt: p.now, startBy: a.StartBy, open: true})
	if attempt := len(r.attempts) - 1; p.onDispatch != nil {
		p.onDispatch(r, attempt)
	}
}

// checkRetry checks that the class's effect permits an attempt after one that may have been executed.
func (p *simulation) checkRetry(r *simRequest, a policy.Action, first *simAttempt) {
	p.t.Helper()
	switch r.class.Effect {
	case "unsafe":
		p.fail("%s (%s) is retried, although it may have been executed", r.id, r.class.Name)
	case "keyed":
		from, to := p.nodes[first.node], p.nodes[a.Node]
		if r.class.DedupScope == "cell" && from.Shard != to.Shard || r.class.DedupScope == "zone" && from.Zone != to.Zone {
			p.fail("%s (%s) is retried outside its %s", r.id, r.class.Name, r.class.DedupScope)
		}
		ends := first.sentAt + r.class.DedupWindow
		if p.now > ends+timeToleranceMs {
			p.fail("%s (%s) is retried %.0f ms after its window", r.id, r.class.Name, p.now-ends)
		}
		if a.StartBy == 0 || a.StartBy > ends+timeToleranceMs {
			p.fail("%s (%s) is retried and may start until %.0f ms, its window ends at %.0f", r.id, r.class.Name, a.StartBy-simStartMs, ends-simStartMs)
		}
	}
}

// checkLimit checks the first attempts of a volume's requests against this scheduler's share of an initially full token bucket.
func (p *simulation) checkLimit(r *simRequest) {
	p.t.Helper()
	if r.plan.Cap == 0 {
		return
	}
	share := 1 / float64(r.schedulers)
	bucket := p.buckets[r.volume]
	if bucket == nil {
		bucket = &tokenBucket{r.plan.Burst * share, p.now}
		p.buckets[r.volume] = bucket
	}
	bucket.level, bucket.at = min(bucket.level+r.plan.Cap*share*(p.now-bucket.at)/1000, r.plan.Burst*share), p.now
	if bucket.level -= r.units; bucket.level < -timeToleranceMs {
		p.fail("%s (%s) is dispatched %.2f units over its volume's limit", r.id, r.plan.Name, -bucket.level)
	}
}

// checkBudget checks that retries stay within the budget.
func (p *simulation) checkBudget(r *simRequest) {
	p.t.Helper()
	rules := p.deployment.platform.Rules
	if rules.RetryBudgetWindow == 0 {
		return
	}
	within := func(times []float64, counts func(age float64) bool) (n float64) {
		for _, at := range times {
			if counts(p.now - at) {
				n++
			}
		}
		return n
	}
	p.retries = append(p.retries, p.now)
	sent := within(p.retries, func(age float64) bool { return age <= rules.RetryBudgetWindow })
	arrived := within(p.arrivals, func(age float64) bool { return age < rules.RetryBudgetWindow })
	if sent > rules.RetryBudgetMin+rules.RetryBudgetShare*arrived {
		p.fail("%s is retry %.0f of %.0f requests", r.id, sent, arrived)
	}
}

// setNodeState changes a node's state in the list.
func (p *simulation) setNodeState(id string, state policy.NodeState) {
	p.t.Helper()
	n := p.nodes[id]
	n.State = state
	p.nodes[id] = n
	delete(p.drainedAt, id)
	if state == policy.NodeDraining || state == policy.NodeRemoved {
		p.drainedAt[id] = p.now
	}
	p.step(policy.Event{Kind: policy.ListChanged, Nodes: []policy.Node{n}})
}

// drawEnd schedules a random end of an attempt: mostly soon and successfully, sometimes not before its deadline.
func (p *simulation) drawEnd(rng *rand.Rand, r *simRequest, attempt int) {
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
	p.schedule(wait, func() { p.endAttempt(r, attempt, status) })
}
