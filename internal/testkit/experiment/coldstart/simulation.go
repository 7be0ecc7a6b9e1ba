// Package coldstart is an experiment on the start of a fleet of schedulers, for instance after a power cut. All schedulers
// start within a second, while some nodes have restarted too and the list service has a fixed capacity.
//
// Run simulates the fleet in virtual time, with the real decisions of policy and, depending on the mode, internal/coldstart.
// The simulation detects violations of rules that hold over all hosts together. The same seed gives the same run. RunProcesses
// starts processes of the daemon instead.
package coldstart

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"wheatsaddle/policy"
)

// Parameters of the simulation. Times are in milliseconds.
const (
	fleetStart          = 1e5     // time at which the fleet starts
	outageDuration      = 3000.0  // from the power cut to fleetStart
	warmUpDuration      = 3000.0  // normal operation before the power cut
	observationDuration = 12000.0 // from fleetStart to the end of the simulation
	nodeUnitsPerSecond  = 60.0    // of a warm node
	nodeQueueLimit      = 40      // requests in a node
	utilization         = 0.5     // offered load, relative to the capacity of all warm nodes
	connectTimeout      = 250.0
	shardsPerVolume     = 4
	clientRetryDuration = 8000.0  // time for which a client retries a request
	crashDuration       = 2000.0  // from the crash of an overloaded node to its restart
	window              = 10000.0 // time after fleetStart in which requests are counted
)

// simulation simulates one fleet with its nodes, clients and list service.
type simulation struct {
	opt         Options
	scenario    Scenario
	mode        Mode
	settings    policy.Settings
	rng         *rand.Rand
	arrivalRand *rand.Rand // for volumes and arrivals only, so that these don't depend on what the hosts do
	now         float64    // in ms
	events      eventQueue
	seq         int
	hosts       []*host
	nodes       []*node
	nodesByID   map[string]*node
	volumes     []volume
	requests    map[string]*request
	list        listService
	result      Result
}

// node simulates a storage node. StartTime is 0 until it restarts.
type node struct {
	policy.Node
	alive, unreachable, hung bool
	incarnation, inFlight    int
	busyUntil                float64
	attempts                 []*attempt // at the node
	coldLoad                 []sample   // load while cold within OverloadWindow, in requests of mean size
	connects, requests       []sample   // within the last second
}

// sample is an amount at a time.
type sample struct{ at, n float64 }

// volume is a volume that clients use. Its token bucket checks the rate limit over all hosts.
type volume struct {
	id, plan           string
	hosts              []int // that its clients use
	shards             []int
	tokens, refilledAt float64
}

// request is one try of a client at an incarnation of a host.
type request struct {
	host        *host
	incarnation int
	req         policy.Request
	attempts    []*attempt
	answered    bool
	firstSent   float64 // time of the client's first try
	volume      *volume
}

// attempt is an attempt of a host to send a request to a node. Only the first call of end has an effect.
type attempt struct {
	ended bool
	end   func(policy.Status)
}

// event is a function that runs at a time. Events at the same time run in the order in which they were added.
type event struct {
	at  float64
	seq int
	run func()
}

// eventQueue is a heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules a function to run after a delay.
func (sim *simulation) after(wait float64, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + math.Max(wait, 0), sim.seq, run})
}

// recentSum drops the samples before a time and returns the sum of the rest.
func recentSum(samples *[]sample, from float64) (total float64) {
	*samples = slices.DeleteFunc(*samples, func(s sample) bool { return s.at < from })
	for _, s := range *samples {
		total += s.n
	}
	return total
}

// settings returns the settings of the schedulers.
func settings(hosts, nodes int) policy.Settings {
	return policy.Settings{Schedulers: hosts, MeanUnits: 2, MaxUnits: 6, SlowStartUnits: 39, MaxAttempts: 4, MaxRetryAfter: 1000,
		SendsRetryAfter: true, MayCancel: true, MayHedge: true, DrainGrace: 250, ListStalenessBound: 10000, SlowStartShare: 0.24, SlowStartDuration: 17000,
		OverloadMultiple: 3, OverloadWindow: 3000, Shards: nodes,
		Classes: []policy.Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3, LatePriorityWeight: 0.1},
			{Name: "once", LatencyObjective: 500, Deadline: 2000, PriorityWeight: 2, LatePriorityWeight: 0.1, Effect: policy.NonIdempotent}},
		Plans: []policy.Plan{{Name: "open", Rate: 6, ReservedRate: 3, Weight: 1, Price: 1},
			{Name: "capped", Rate: 2, ReservedRate: 1, Weight: 1, Price: 1, RateLimit: 6, LimitBurst: 36}}}
}

func newSimulation(opt Options, sc Scenario, mode Mode, seed int64) *simulation {
	sim := &simulation{opt: opt, scenario: sc, mode: mode, settings: settings(opt.Hosts, opt.Nodes), rng: rand.New(rand.NewSource(seed)),
		arrivalRand: rand.New(rand.NewSource(seed + 1e6)), now: fleetStart - outageDuration - warmUpDuration, nodesByID: map[string]*node{}, requests: map[string]*request{}}
	sim.list = listService{sim: sim, capacity: opt.Capacity}
	if sc.ListPushed {
		sim.list.capacity = pushedListCapacity
	}
	for i := range opt.Nodes {
		n := &node{Node: policy.Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1}, alive: true}
		sim.nodes, sim.nodesByID[n.ID] = append(sim.nodes, n), n
	}
	for i := range opt.Hosts * 2 {
		v := volume{id: fmt.Sprint("v", i), plan: []string{"open", "open", "capped"}[i%3], tokens: sim.settings.Plans[1].LimitBurst, refilledAt: sim.now}
		v.hosts = []int{i % opt.Hosts} // each host has at least two volumes
		if h := sim.arrivalRand.Intn(opt.Hosts); h != v.hosts[0] {
			v.hosts = append(v.hosts, h)
		}
		for range shardsPerVolume {
			v.shards = append(v.shards, sim.arrivalRand.Intn(opt.Nodes))
		}
		sim.volumes = append(sim.volumes, v)
	}
	for i := range opt.Hosts {
		h := &host{sim: sim, index: i}
		sim.hosts = append(sim.hosts, h)
		h.startBeforeOutage()
	}
	sim.result.firstServed = make([]float64, opt.Hosts)
	sim.nextArrival()
	sim.after(warmUpDuration, sim.startOutage)
	return sim
}

// startOutage stops hosts and nodes according to the scenario, and schedules their restart.
func (sim *simulation) startOutage() {
	for i, n := range sim.nodes {
		n.unreachable, n.hung = sim.scenario.UnreachableNodeStep > 0 && i%sim.scenario.UnreachableNodeStep == 0, sim.scenario.HungNode && i == 1
		if sim.scenario.RestartedNodeStep > 0 && i%sim.scenario.RestartedNodeStep == 0 {
			sim.crash(n)
			sim.after(outageDuration-1000+1500*sim.rng.Float64(), func() { sim.restart(n) })
		}
	}
	sim.after(outageDuration, func() { sim.result.fleetStarted = true; sim.list.down = sim.scenario.ListOutage > 0 })
	sim.after(outageDuration+sim.scenario.ListOutage, func() { sim.list.down = false })
	for _, h := range sim.hosts {
		if h.index%10 < sim.scenario.KilledPerTen {
			h.kill()
			sim.after(outageDuration+1000*sim.rng.Float64(), h.start)
			if sim.scenario.KillHalfTwice && h.index%2 == 0 {
				sim.after(outageDuration+2000, h.kill)
				sim.after(outageDuration+2500+500*sim.rng.Float64(), h.start)
			}
		}
	}
}

// crash stops a node. Its attempts end with a connection reset.
func (sim *simulation) crash(n *node) {
	n.alive, n.inFlight, n.busyUntil = false, 0, 0
	n.incarnation++
	attempts := n.attempts
	n.attempts = nil
	sim.after(1, func() {
		for _, t := range attempts {
			t.end(policy.ConnectionReset)
		}
	})
}

// restart starts a node, cold. Hosts that are subscribed to the list are informed.
func (sim *simulation) restart(n *node) {
	n.alive, n.StartTime, n.coldLoad = true, sim.now, nil
	for _, h := range sim.hosts {
		h.receiveChange(n.Node)
	}
}

// speed returns the speed of a node relative to that of a warm one.
func (sim *simulation) speed(n *node) float64 {
	if n.StartTime == 0 {
		return 1
	}
	return math.Min(1, sim.settings.SlowStartShare+(1-sim.settings.SlowStartShare)*(sim.now-n.StartTime)/sim.settings.SlowStartDuration)
}

// coldLimit returns the load that a cold node withstands within OverloadWindow, in requests of mean size.
func (sim *simulation) coldLimit(n *node) float64 {
	allowed := sim.settings.SlowStartUnits / sim.settings.MeanUnits * (1 + (1/sim.settings.SlowStartShare-1)*(sim.now-n.StartTime)/sim.settings.SlowStartDuration)
	return allowed + 3*math.Sqrt(allowed) + 3
}

// inWindow reports whether requests are counted now.
func (sim *simulation) inWindow() bool { return sim.now >= fleetStart && sim.now < fleetStart+window }

// send sends an attempt of host h to a node.
func (sim *simulation) send(h *host, a policy.Action) {
	r, n := sim.requests[a.ID], sim.nodesByID[a.Node]
	if r == nil || r.answered || r.host != h || n == nil || n.Shard != r.req.Shard {
		sim.result.addViolation("an attempt that must not be")
		return
	}
	attemptNumber, sentAt, incarnation := len(r.attempts), sim.now, n.incarnation
	t := &attempt{}
	t.end = func(status policy.Status) {
		if t.ended || h.incarnation != r.incarnation {
			return
		}
		t.ended = true
		h.conns[n.Shard].inUse--
		if status == policy.OK && !r.answered {
			sim.finishRequest(a.ID, status, 0)
		}
		h.handleAttemptEnd(n, status, policy.Event{Kind: policy.AttemptEnded, ID: a.ID, Attempt: attemptNumber, Node: n.ID, Status: status, Latency: sim.now - sentAt, Finished: r.answered})
	}
	if r.attempts = append(r.attempts, t); attemptNumber == 0 {
		sim.countLimitedVolume(r)
	}
	h.useConns(n, 1)
	sim.after(math.Min(a.Deadline, r.req.Deadline)-sim.now, func() { t.end(policy.TimedOut) })
	if n.unreachable || !n.alive {
		wait := 1.0
		if n.unreachable {
			wait = connectTimeout
		}
		sim.after(wait, func() { t.end(policy.ConnectFailed) })
		return
	}
	sim.countPeak(&n.requests, &sim.result.RequestPeak)
	switch {
	case n.hung:
	case n.inFlight >= nodeQueueLimit:
		sim.after(1, func() { t.end(policy.NodeFull) })
	default:
		n.inFlight++
		n.busyUntil = math.Max(sim.now, n.busyUntil) + r.req.Units*1000/nodeUnitsPerSecond/sim.speed(n)
		sim.after(n.busyUntil-sim.now+1, func() {
			if n.incarnation == incarnation {
				n.inFlight--
				t.end(policy.OK)
			}
		})
		n.attempts = append(slices.DeleteFunc(n.attempts, func(t *attempt) bool { return t.ended }), t)
	}
	sim.countColdLoad(n, r.req.Units)
}

// countPeak adds a connect or request to the samples of a node and updates the highest number per second in the window.
func (sim *simulation) countPeak(samples *[]sample, peak *float64) {
	if !sim.inWindow() {
		return
	}
	*samples = append(*samples, sample{sim.now, 1})
	*peak = math.Max(*peak, recentSum(samples, sim.now-1000))
}

// countColdLoad adds to the load of a cold node by all hosts. A node whose load exceeds its limit crashes.
func (sim *simulation) countColdLoad(n *node, units float64) {
	if n.StartTime == 0 || sim.now-n.StartTime > sim.settings.SlowStartDuration {
		return
	}
	n.coldLoad = append(n.coldLoad, sample{sim.now, units / sim.settings.MeanUnits})
	load := recentSum(&n.coldLoad, sim.now-sim.settings.OverloadWindow) / sim.coldLimit(n)
	sim.result.MaxColdLoad = math.Max(sim.result.MaxColdLoad, load)
	if load > 1 {
		sim.result.Crashes++
		sim.crash(n)
		sim.after(crashDuration, func() { sim.restart(n) })
	}
}

// countLimitedVolume takes the units of a request from the tokens of its volume, if that has a rate limit. It counts only the
// first attempt of each request, over all hosts, and tolerates a tenth of the burst.
func (sim *simulation) countLimitedVolume(r *request) {
	if p := sim.settings.Plans[1]; r.req.Plan == p.Name {
		v := r.volume
		v.tokens = math.Min(v.tokens+p.RateLimit*(sim.now-v.refilledAt)/1000, p.LimitBurst) - r.req.Units
		if v.refilledAt = sim.now; v.tokens < -0.1*p.LimitBurst {
			sim.result.addViolation("a volume past its limit")
		}
	}
}

// finishRequest handles the only response to a request. A client whose request was rejected retries after wait.
func (sim *simulation) finishRequest(id string, status policy.Status, wait float64) {
	r := sim.requests[id]
	if r == nil || r.answered {
		sim.result.addViolation("a second answer")
		return
	}
	if sim.now > r.req.Deadline+8 {
		sim.result.addViolation("a late answer")
	}
	r.answered = true
	switch {
	case status == policy.OK:
		if sim.inWindow() {
			sim.result.Served++
		}
		if h := r.host; sim.now >= fleetStart && sim.result.firstServed[h.index] == 0 {
			sim.result.firstServed[h.index] = sim.now - fleetStart
		}
	case status == policy.NodeFull: // rejected
		if sim.inWindow() {
			sim.result.Rejected++
		}
		sim.after(math.Max(wait, 50)*(1+0.2*sim.rng.Float64()), func() { sim.sendFromClient(r.volume, r.host, r.req, r.firstSent) })
	default:
		if sim.inWindow() {
			sim.result.Failed++
		}
	}
}

// nextArrival sends a new request from a client and schedules the next one.
func (sim *simulation) nextArrival() {
	rate := utilization * float64(sim.opt.Nodes) * nodeUnitsPerSecond / sim.settings.MeanUnits / 1000
	sim.after(sim.arrivalRand.ExpFloat64()/rate, sim.nextArrival)
	v := &sim.volumes[sim.arrivalRand.Intn(len(sim.volumes))]
	h := sim.hosts[v.hosts[sim.arrivalRand.Intn(len(v.hosts))]]
	req := policy.Request{Class: sim.settings.Classes[sim.arrivalRand.Intn(2)].Name, Plan: v.plan, Volume: v.id, Units: float64(1 + sim.arrivalRand.Intn(3)),
		Shard: v.shards[sim.arrivalRand.Intn(len(v.shards))], Schedulers: len(v.hosts)}
	if sim.inWindow() {
		sim.result.Requests++
	}
	sim.sendFromClient(v, h, req, sim.now)
}

// sendFromClient sends a client's request to a host, first or again. If the host is down, the client retries after 200 to
// 400 ms.
func (sim *simulation) sendFromClient(v *volume, h *host, req policy.Request, firstSent float64) {
	if sim.now-firstSent > clientRetryDuration {
		return
	}
	if h.down {
		sim.after(200+200*sim.rng.Float64(), func() { sim.sendFromClient(v, h, req, firstSent) })
		return
	}
	sim.seq++
	req.ClientRetry = req.ID != ""
	if req.Key == "" {
		req.Key = fmt.Sprint("k", sim.seq)
	}
	req.ID, req.Deadline = fmt.Sprint("q", sim.seq), sim.now+2000
	r := &request{host: h, incarnation: h.incarnation, req: req, firstSent: firstSent, volume: v}
	sim.requests[req.ID] = r
	h.handleRequest(r)
	sim.after(2009, func() {
		if !r.answered && h.incarnation == r.incarnation {
			sim.result.addViolation("no answer")
		}
		delete(sim.requests, req.ID)
	})
}

func (sim *simulation) run() *Result {
	for end := fleetStart + observationDuration; sim.events[0].at < end; {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.at
		next.run()
	}
	return sim.result.finish()
}
