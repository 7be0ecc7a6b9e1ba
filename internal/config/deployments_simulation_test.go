package config

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"wheatsaddle/policy"
)

const (
	simSeed           = 7     // of the module and of the random draws
	simStartMs        = 1e6   // the module's time at the start
	bucketFillMs      = 120e3 // time after which every token bucket is full
	timeToleranceMs   = 1e-6  // rounding of floating-point times
	usualLatencyMs    = 20.0  // a node's usual latency
	maxRetryDelayMs   = 500.0 // time in which retries are dispatched, before any node counts as silent
	unitsOverLimit    = 5     // units requested beyond a volume's limit
	reviewIntervalMs  = 10.0  // interval of the reviews of waiting requests
	reviewToleranceMs = 2 * reviewIntervalMs
)

// simulation runs the module with a deployment's settings in virtual time and checks each of its actions against the
// settings. It stands for the clients, the nodes and the list.
type simulation struct {
	t          *testing.T
	deployment deployment
	module     *policy.Scheduler
	now        float64
	due        eventQueue
	seq        int
	requests   map[string]*simRequest
	order      []*simRequest
	nodes      map[string]policy.Node
	drainedAt  map[string]float64 // when a node began to drain
	arrivals   []float64          // times of arrivals
	retries    []float64          // times of retries
	buckets    map[string]*tokenBucket
	actions    []policy.Action // of the last step
	// onDispatch is called at each dispatch; nil: the test ends the attempts itself.
	onDispatch func(r *simRequest, attempt int)
	coverage   coverage
}

// coverage counts the situations that a test must reach.
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
	final      string // "", served, refused, failed, gone
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

// mayHaveExecuted: it is out, or its end proves nothing.
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

// newSimulation starts the module with one node for each shard, in alternating zones.
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
	if asks := slices.ContainsFunc(p.actions, func(a policy.Action) bool { return a.Kind == policy.Subscribe }); asks != (s.platform.Mode == "ask") {
		t.Errorf("%s: mode %s, and the list is requested: %v", s.name, s.platform.Mode, asks)
	}
	p.step(policy.Event{Kind: policy.ListReceived, Nodes: list})
	return p
}

// fillBuckets lets the token buckets fill, which are empty at the start.
func (p *simulation) fillBuckets() *simulation {
	r := p.submit(p.deployment.platform.Profiles[0], p.deployment.platform.Contracts[len(p.deployment.platform.Contracts)-1], 0, 0)
	p.endAttempt(r, 0, policy.OK)
	p.run(p.now + bucketFillMs)
	return p
}

func (p *simulation) schedule(wait float64, do func()) {
	p.seq++
	heap.Push(&p.due, simEvent{p.now + wait, p.seq, do})
}

// run runs the events up to a time.
func (p *simulation) run(until float64) {
	for len(p.due) > 0 && p.due[0].at <= until {
		d := heap.Pop(&p.due).(simEvent)
		p.now = max(p.now, d.at)
		d.do()
	}
	p.now = max(p.now, until)
}

// step gives the module events and checks its actions.
func (p *simulation) step(events ...policy.Event) {
	p.t.Helper()
	p.actions = p.module.Step(p.now, events, nil)
	for _, a := range slices.Clone(p.actions) {
		p.check(a)
	}
}

func (p *simulation) fail(form string, args ...any) {
	p.t.Helper()
	p.t.Errorf("%s at %.0f ms: %s", p.deployment.name, p.now-simStartMs, fmt.Sprintf(form, args...))
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

// overdue checks that a request has its final answer.
func (p *simulation) overdue(r *simRequest) {
	p.t.Helper()
	if r.final == "" {
		p.fail("%s (%s, %s) has no final answer at its client's deadline", r.id, r.class.Name, r.plan.Name)
		r.final = "lost"
	}
}

// endAttempt reports the end of an attempt to the module.
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
		if most := p.deployment.platform.Ceilings.MaxRetryAfter; a.Wait > most || a.Wait > 0 && !p.deployment.platform.Ceilings.RetryAfter {
			p.fail("%s has Retry-After %.0f ms", r.id, a.Wait)
		}
		if doubt, _ := r.firstUncertain(); doubt {
			p.coverage.rejectedUncertain[r.class.Name]++
			if r.class.Effect == "unsafe" || r.class.Effect == "keyed" && r.class.DedupScope != "all" {
				p.fail("%s (%s) is rejected, and may have been executed", r.id, r.class.Name)
			}
		}
	case policy.Fail:
		p.checkFinal(r, "failed")
		if doubt, _ := r.firstUncertain(); doubt {
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
		p.fail("%s is %s, and was %s", r.id, final, r.final)
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
	told := p.deployment.platform
	n := p.nodes[a.Node]
	doubt, first := r.firstUncertain()
	open := 0
	for _, x := range r.attempts {
		if x.open {
			open++
		}
	}
	if r.final != "" {
		p.fail("%s is dispatched, and was %s", r.id, r.final)
	}
	if len(r.attempts) >= told.Ceilings.Attempts {
		p.fail("%s: %d attempts, limit %d", r.id, len(r.attempts)+1, told.Ceilings.Attempts)
	}
	if open > 1 || open == 1 && !told.Ceilings.MayHedge {
		p.fail("%s is dispatched beside %d outstanding attempts", r.id, open)
	}
	if a.Deadline > r.deadline+timeToleranceMs {
		p.fail("%s is dispatched for %.0f ms, its client has %.0f left", r.id, a.Deadline-p.now, r.deadline-p.now)
	}
	if r.shard >= 0 && n.Shard != r.shard {
		p.fail("%s of shard %d goes to %s", r.id, r.shard, a.Node)
	}
	if since, draining := p.drainedAt[a.Node]; draining && p.now > since+told.Rules.DrainGrace {
		p.fail("%s goes to %s %.0f ms after its drain began", r.id, a.Node, p.now-since)
	}
	if doubt {
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

// checkRetry checks an attempt after one that may have been executed against the class's effect.
func (p *simulation) checkRetry(r *simRequest, a policy.Action, first *simAttempt) {
	p.t.Helper()
	switch r.class.Effect {
	case "unsafe":
		p.fail("%s (%s) is retried, and may have been executed", r.id, r.class.Name)
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

// checkLimit checks a volume's first attempts against this scheduler's share of a token bucket that was full at first.
func (p *simulation) checkLimit(r *simRequest) {
	p.t.Helper()
	if r.plan.Cap == 0 {
		return
	}
	part := 1 / float64(r.schedulers)
	s := p.buckets[r.volume]
	if s == nil {
		s = &tokenBucket{r.plan.Burst * part, p.now}
		p.buckets[r.volume] = s
	}
	s.level, s.at = min(s.level+r.plan.Cap*part*(p.now-s.at)/1000, r.plan.Burst*part), p.now
	if s.level -= r.units; s.level < -timeToleranceMs {
		p.fail("%s (%s) is dispatched %.2f units over its volume's limit", r.id, r.plan.Name, -s.level)
	}
}

// checkBudget checks that retries stay within the budget.
func (p *simulation) checkBudget(r *simRequest) {
	p.t.Helper()
	rules := p.deployment.platform.Rules
	if rules.RetryBudgetWindow == 0 {
		return
	}
	within := func(times []float64, here func(age float64) bool) (n float64) {
		for _, at := range times {
			if here(p.now - at) {
				n++
			}
		}
		return n
	}
	p.retries = append(p.retries, p.now)
	sent := within(p.retries, func(age float64) bool { return age <= rules.RetryBudgetWindow })
	taken := within(p.arrivals, func(age float64) bool { return age < rules.RetryBudgetWindow })
	if sent > rules.RetryBudgetMin+rules.RetryBudgetShare*taken {
		p.fail("%s is retry %.0f of %.0f requests", r.id, sent, taken)
	}
}

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

// A request of each class and plan is dispatched at once, with its client's deadline, and a response ends it.
func TestDeploymentRequestsAreServed(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c platformClass, plan platformPlan) {
		for _, left := range []float64{c.Deadline, c.Deadline / 2} {
			p := newSimulation(t, s, 3).fillBuckets()
			r := p.submit(c, plan, 1, left)
			i := slices.IndexFunc(p.actions, func(a policy.Action) bool { return a.Kind == policy.Send })
			if len(r.attempts) != 1 || p.actions[i].Deadline != r.deadline {
				t.Fatalf("sent %d times, %+v", len(r.attempts), p.actions)
			}
			p.run(p.now + usualLatencyMs)
			p.endAttempt(r, 0, policy.OK)
			p.run(r.deadline + 1)
			if r.final != "served" || len(r.attempts) != 1 {
				t.Errorf("%s after %d attempts", r.final, len(r.attempts))
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
			p := newSimulation(t, s, 2)
			if r := p.submit(x.class, x.plan, 0, 0); r.final != x.final {
				t.Errorf("%s: %s, %s: %q, want %q", s.name, x.class.Name, x.plan.Name, r.final, x.final)
			}
		}
	}
}

// An attempt that may have been executed is retried if the class's effect permits it, and otherwise the request fails. One
// that was never executed is retried in any class.
func TestDeploymentEffects(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c platformClass, plan platformPlan) {
		for _, status := range []policy.Status{policy.Errored, policy.ConnectionReset, policy.NodeFull, policy.ConnectFailed} {
			p := newSimulation(t, s, 3).fillBuckets()
			r := p.submit(c, plan, 1, 0)
			p.run(p.now + usualLatencyMs)
			p.endAttempt(r, 0, status)
			p.run(p.now + min(c.LatencyObjective/2, maxRetryDelayMs))
			proved := status == policy.NodeFull || status == policy.ConnectFailed
			if again := proved || c.Effect != "unsafe"; again != (len(r.attempts) == 2) {
				t.Fatalf("status %v: %d attempts, then %q", status, len(r.attempts), r.final)
			}
			if c.Effect == "unsafe" && !proved && r.final != "failed" {
				t.Errorf("status %v: %q", status, r.final)
			}
			if c.Effect == "keyed" && len(r.attempts) == 2 {
				want := 0.0 // it was never executed: no window is open
				if !proved {
					want = r.attempts[0].sentAt + c.DedupWindow
				}
				if r.attempts[1].startBy != want {
					t.Errorf("status %v: StartBy %v, want %v", status, r.attempts[1].startBy, want)
				}
			}
			p.run(r.deadline + 1)
			if len(r.attempts) > s.platform.Ceilings.Attempts {
				t.Errorf("%d attempts", len(r.attempts))
			}
		}
	})
}

// A request has as many attempts as the settings permit: idempotent ones after errors, others after proof that they were
// not executed, between which the node's backoff grows.
func TestDeploymentMaxAttempts(t *testing.T) {
	for _, s := range deployments(t) {
		for _, c := range s.platform.Profiles {
			status, least := policy.NodeFull, 2
			if c.Effect == "safe" {
				status, least = policy.Errored, s.platform.Ceilings.Attempts
			}
			p := newSimulation(t, s, 2).fillBuckets()
			p.onDispatch = func(r *simRequest, attempt int) {
				p.schedule(1, func() { p.endAttempt(r, attempt, status) })
			}
			r := p.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 0, 0)
			p.run(r.deadline + 1)
			if len(r.attempts) < least || len(r.attempts) > s.platform.Ceilings.Attempts || r.final != "rejected" {
				t.Errorf("%s, %s: %q after %d attempts of %d", s.name, c.Name, r.final, len(r.attempts), s.platform.Ceilings.Attempts)
			}
		}
	}
}

// With a retry budget, a burst of errors spends exactly the budget; without one each request has the attempts that the
// settings permit. Configurations have no budgets, so they are taken from the site file.
func TestDeploymentBudgets(t *testing.T) {
	const burst = 40
	budgets := 0
	for _, s := range deployments(t) {
		s = s.withBudget(t)
		rules, c := s.platform.Rules, s.platform.Profiles[0]
		p := newSimulation(t, s, 2).fillBuckets()
		p.onDispatch = func(r *simRequest, attempt int) {
			p.schedule(1, func() { p.endAttempt(r, attempt, policy.Errored) })
		}
		further := 0
		for range burst {
			r := p.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 0, 0)
			p.run(p.now + 10)
			further += len(r.attempts) - 1
		}
		want := burst * (s.platform.Ceilings.Attempts - 1)
		if rules.RetryBudgetWindow > 0 {
			budgets++
			want = int(rules.RetryBudgetMin + rules.RetryBudgetShare*burst) // all within one window
		}
		if c.Effect != "safe" || burst*10 > rules.RetryBudgetWindow && rules.RetryBudgetWindow > 0 || further != want {
			t.Errorf("%s, %s: %d retries, want %d", s.name, c.Name, further, want)
		}
	}
	if budgets == 0 {
		t.Error("no deployment has a budget")
	}
}

// A request that is idempotent by key and waits for capacity is retried up to the end of its deduplication window, and
// not past it, although its client has time. Its first attempt lasts beyond the latency objective, as requests that wait
// at the objective are ended then. Responses before were slow, so that no attempt is cancelled yet, and the errors of
// non-idempotent requests show that the node is not silent, and free capacity.
func TestDeploymentDedupWindowsEnd(t *testing.T) {
	const (
		late  = 1.05 // of the objective: when the first attempt fails
		slow  = 0.6  // of the objective: latency before; an attempt gets twice that
		faded = 8e3  // ms after which slow responses have little weight
		room  = 4    // concurrent attempts at a node at first
	)
	reached := 0
	for _, s := range deployments(t) {
		classes, last := s.platform.Profiles, s.platform.Contracts[len(s.platform.Contracts)-1]
		patient := slices.MaxFunc(classes, func(a, b platformClass) int { return cmp.Compare(a.LatencyObjective, b.LatencyObjective) })
		once := slices.IndexFunc(classes, func(c platformClass) bool { return c.Effect == "unsafe" })
		for _, c := range classes {
			if once < 0 || c.Effect != "keyed" || c.DedupWindow >= 0.9*c.Deadline || c.DedupWindow < 1.2*late*c.LatencyObjective {
				continue
			}
			for _, x := range []struct {
				back float64 // when the node has capacity again, in windows
				sent int
			}{{0.95, 2}, {1.01, 1}} {
				p := newSimulation(t, s, 2).fillBuckets()
				before := p.submit(patient, last, 0, 0)
				p.run(p.now + slow*c.LatencyObjective)
				p.endAttempt(before, 0, policy.OK)
				p.run(p.now + faded)
				r := p.submit(c, last, 1, 0)
				sent := p.now
				p.run(sent + late*c.LatencyObjective/2)
				p.endAttempt(p.submit(classes[once], last, 1, 0), 0, policy.Errored)
				p.run(sent + late*c.LatencyObjective - 1)
				var others []*simRequest
				for range room {
					others = append(others, p.submit(classes[once], last, 1, 0))
				}
				p.run(sent + late*c.LatencyObjective)
				p.endAttempt(r, 0, policy.Errored)
				p.run(sent + x.back*c.DedupWindow)
				if len(r.attempts) != 1 || r.final != "" || len(others[room-1].attempts) != 1 {
					t.Fatalf("%s, %s: %d attempts, %q: the request does not wait", s.name, c.Name, len(r.attempts), r.final)
				}
				p.endAttempt(others[0], 0, policy.Errored)
				p.run(p.now + 5*reviewToleranceMs)
				if len(r.attempts) != x.sent {
					t.Errorf("%s, %s: %d attempts, want %d: the node had capacity at %.2f of the window", s.name, c.Name, len(r.attempts), x.sent, x.back)
				}
				p.run(r.deadline + 1)
				if x.sent == 1 && r.final != "failed" {
					t.Errorf("%s, %s: %q", s.name, c.Name, r.final)
				}
				reached++
			}
		}
	}
	if reached == 0 {
		t.Error("no deployment has a class whose window ends between its objective and its deadline")
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

// A request whose shard has no node waits until its latency objective and is rejected then, before its deadline.
func TestDeploymentObjectivesAndDeadlines(t *testing.T) {
	eachClassAndPlan(t, func(t *testing.T, s deployment, c platformClass, plan platformPlan) {
		nobody := s.platform.Extra.Shards - 1
		for _, left := range []float64{c.Deadline, c.LatencyObjective / 3} {
			p := newSimulation(t, s, 2).fillBuckets()
			r := p.submit(c, plan, nobody, left)
			p.run(r.deadline + s.platform.Rules.AnswerSlack)
			ends := min(c.LatencyObjective, left)
			if took := r.finalAt - r.arrivedAt; r.final != "rejected" || took > ends+reviewToleranceMs || took < ends-reviewToleranceMs {
				t.Errorf("%q after %.0f ms; objective %.0f ms, deadline %.0f", r.final, took, c.LatencyObjective, left)
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
				p := newSimulation(t, s, 2).fillBuckets()
				r := p.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], s.platform.Extra.Shards-1, c.LatencyObjective/3+float64(i)*reviewIntervalMs/phases)
				p.run(r.deadline + s.platform.Rules.AnswerSlack) // overdue and checkFinal check the answer
				if r.finalAt > r.deadline {
					t.Errorf("%s, %s: %q %.1f ms after its deadline", s.name, c.Name, r.final, r.finalAt-r.deadline)
				}
			}
		}
	}
}

// A volume of a limited plan gets this scheduler's share of its burst at once, and then its share of the rate; one of
// another plan is not limited.
func TestDeploymentLimits(t *testing.T) {
	limited := 0
	for _, s := range deployments(t) {
		for _, plan := range s.platform.Contracts {
			for _, hosts := range []int{1, 2, 3} {
				p := newSimulation(t, s, 2).fillBuckets()
				p.onDispatch = func(r *simRequest, attempt int) { p.schedule(0, func() { p.endAttempt(r, attempt, policy.OK) }) }
				asks := int(plan.Burst) + unitsOverLimit
				flood := func() (sent int) {
					for range asks {
						if r := p.submitOf("flooded", hosts, s.platform.Profiles[0], plan, 0, 0); len(r.attempts) > 0 {
							sent++
						}
						p.run(p.now)
					}
					return sent
				}
				want := asks
				if plan.Cap > 0 {
					limited++
					want = int(plan.Burst / float64(hosts))
				}
				if sent := flood(); sent != want {
					t.Errorf("%s, %s over %d schedulers: %d of %d units dispatched at once, want %d", s.name, plan.Name, hosts, sent, asks, want)
				}
				p.run(p.now + s.platform.Profiles[0].Deadline + 1) // checkLimit checks the waiting ones against the rate
				if plan.Cap > 0 && p.buckets["flooded"] == nil {
					t.Errorf("%s, %s: no token bucket was used", s.name, plan.Name)
				}
			}
		}
	}
	if limited == 0 {
		t.Error("no deployment has a plan with a limit")
	}
}

// Of requests that wait alike, those of the plan with the higher price are dispatched first.
func TestDeploymentPlansAreOrderedByPrice(t *testing.T) {
	for _, s := range deployments(t) {
		c := s.platform.Profiles[0]
		p := newSimulation(t, s, 2).fillBuckets()
		p.setNodeState("node-1", policy.NodeExcluded)
		var waiting []*simRequest
		for _, plan := range s.platform.Contracts {
			waiting = append(waiting, p.submit(c, plan, 1, 0))
		}
		p.setNodeState("node-1", policy.NodeUp)
		last := math.Inf(1)
		sent := 0
		for _, a := range p.actions {
			if a.Kind != policy.Send {
				continue
			}
			price := p.requests[a.ID].plan.Price
			if price > last {
				t.Errorf("%s: a plan of price %v after one of %v", s.name, price, last)
			}
			last, sent = price, sent+1
		}
		if sent < 2 || waiting[0].plan.Price == waiting[1].plan.Price {
			t.Errorf("%s: %d of %d dispatched at once", s.name, sent, len(waiting))
		}
	}
}

// Nothing is dispatched to a draining node after the grace, and nothing at all if the grace is short.
func TestDeploymentDrains(t *testing.T) {
	for _, s := range deployments(t) {
		for _, c := range s.platform.Profiles {
			p := newSimulation(t, s, 2).fillBuckets()
			p.setNodeState("node-1", policy.NodeDraining)
			for range 50 {
				p.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 1, 0)
				p.run(p.now + s.platform.Rules.DrainGrace/25) // checkDispatch checks each dispatch
			}
			r := p.submit(c, s.platform.Contracts[len(s.platform.Contracts)-1], 0, 0)
			if len(r.attempts) != 1 {
				t.Errorf("%s, %s: the other node is not used", s.name, c.Name)
			}
		}
	}
}

// Random days with all classes and plans, every outcome at any time, and nodes that drain, vanish and return. Each action
// is checked against the settings.
func TestDeploymentRandomDays(t *testing.T) {
	const days, arrivals = 4, 1500
	gaps := []float64{40, 12} // mean ms between arrivals: a light day, and one on which requests time out
	for _, s := range deployments(t) {
		total := coverage{retried: map[string]int{}, rejectedUncertain: map[string]int{}, failedUncertain: map[string]int{}, pastWindow: map[string]int{}}
		finals := map[string]int{}
		for day := range days {
			p := newSimulation(t, s, 5)
			rng := rand.New(rand.NewPCG(simSeed, uint64(day)))
			p.onDispatch = func(r *simRequest, attempt int) { p.drawEnd(rng, r, attempt) }
			for range arrivals {
				p.run(p.now + rng.ExpFloat64()*gaps[day%len(gaps)])
				c := s.platform.Profiles[rng.IntN(len(s.platform.Profiles))]
				plan := s.platform.Contracts[rng.IntN(len(s.platform.Contracts))]
				p.submitOf(fmt.Sprint(plan.Name, rng.IntN(4)), 1+rng.IntN(2), c, plan, rng.IntN(5), c.Deadline*(0.3+0.7*rng.Float64()))
				if rng.IntN(60) == 0 {
					state := []policy.NodeState{policy.NodeUp, policy.NodeDraining, policy.NodeExcluded, policy.NodeRemoved}[rng.IntN(4)]
					id := fmt.Sprint("node-", rng.IntN(5))
					p.setNodeState(id, state)
					p.schedule(rng.Float64()*3000, func() { p.setNodeState(id, policy.NodeUp) })
				}
			}
			p.run(p.now + 60e3)
			for _, r := range p.order {
				finals[r.final]++
				if doubt, first := r.firstUncertain(); doubt && r.class.Effect == "keyed" && r.finalAt > first.sentAt+r.class.DedupWindow && r.final != "served" {
					total.pastWindow[r.class.Name]++
				}
			}
			for _, x := range [][2]map[string]int{{total.retried, p.coverage.retried}, {total.rejectedUncertain, p.coverage.rejectedUncertain}, {total.failedUncertain, p.coverage.failedUncertain}} {
				for name, n := range x[1] {
					x[0][name] += n
				}
			}
			total.hedges += p.coverage.hedges
		}
		t.Logf("%s: %v, %+v", s.name, finals, total)
		for _, c := range s.platform.Profiles {
			if total.retried[c.Name] == 0 {
				t.Errorf("%s: no %s was retried", s.name, c.Name)
			}
			if c.Effect == "unsafe" && total.failedUncertain[c.Name] == 0 {
				t.Errorf("%s: no %s failed after an attempt that may have been executed", s.name, c.Name)
			}
			if c.Effect == "keyed" && c.DedupWindow < c.Deadline && total.pastWindow[c.Name] == 0 {
				t.Errorf("%s: no %s outlasted its window", s.name, c.Name)
			}
		}
		if (total.hedges > 0) != s.platform.Ceilings.MayHedge {
			t.Errorf("%s: %d hedges", s.name, total.hedges)
		}
		if finals["served"] < days*arrivals/3 {
			t.Errorf("%s: %v", s.name, finals)
		}
	}
}

// drawEnd draws how and when an attempt ends: mostly soon and successfully, sometimes at its deadline.
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
