package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// A small simulation of many schedulers and nodes, in virtual time and with a seed. It checks the rules that hold over all
// schedulers together, with bookkeeping of its own.

const (
	simulatedSchedulers = 80
	simulatedNodes      = 60
	warmUnitsPerSecond  = 60.0 // units per second that a warmed up node serves
	maxNodeQueue        = 40   // maximum requests waiting at a node
	simulationMs        = 20e3
	requestsPerSecond   = 1400.0 // enough that nodes in slow start could be overloaded
)

type simulation struct {
	t            *testing.T
	settings     Settings
	rng          *rand.Rand
	now          float64
	events       eventQueue
	sequence     int
	schedulers   []*simulatedScheduler
	nodes        map[string]*simulatedNode
	shard        []*simulatedNode // the node that serves a shard, by shard
	volumes      []simulatedVolume
	requests     map[string]*simulatedRequest
	recentUnits  map[string][]timedUnits // units within the last OverloadWindow, by node in slow start
	limitBuckets map[string]*tokenAccount
	outcomes     map[string]int // number of requests by outcome

	onStep func(h *simulatedScheduler, actions []Action) // called after each step unless nil
}

type simulatedScheduler struct {
	sim         *simulation
	index       int
	incarnation int
	down        bool
	scheduler   *Scheduler
	list        map[string]Node // as last received by the scheduler
	notifiedAt  map[string]float64
	timerLag    float64 // delay of its timers
}

type simulatedNode struct {
	Node
	alive       bool
	incarnation int
	queued      int
	attempts    []*simulatedAttempt // attempts since the node's start
	freeAt      float64             // time at which its queue will be empty
}

type simulatedVolume struct {
	id         string
	plan       string
	schedulers []int
	shards     []int
}

type simulatedRequest struct {
	scheduler   *simulatedScheduler
	incarnation int
	request     Request
	attempts    []*simulatedAttempt
	answered    bool
}

type simulatedAttempt struct {
	ended bool // its outcome was reported
	end   func(Status)
}

type tokenAccount struct{ units, at float64 }

type simulatedEvent struct {
	at  float64
	seq int
	run func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (sim *simulation) after(wait float64, do func()) {
	sim.sequence++
	heap.Push(&sim.events, simulatedEvent{sim.now + wait, sim.sequence, do})
}

func simulationSettings() Settings {
	return Settings{Schedulers: simulatedSchedulers, MeanUnits: 2, MaxUnits: 6, SlowStartUnits: 39, MaxAttempts: 4, MaxRetryAfter: 1000,
		SendsRetryAfter: true, MayCancel: true, MayHedge: true, DrainGrace: 250, ListStalenessBound: 10000, SlowStartShare: 0.24, SlowStartDuration: 17000,
		OverloadMultiple: 3, OverloadWindow: 3000, Shards: simulatedNodes,
		Classes: []Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3, LatePriorityWeight: 0.1},
			{Name: "once", LatencyObjective: 500, Deadline: 2000, PriorityWeight: 2, LatePriorityWeight: 0.1, Effect: NonIdempotent}},
		Plans: []Plan{{Name: "open", Rate: 6, ReservedRate: 6, Weight: 1, Price: 1},
			{Name: "capped", Rate: 2, ReservedRate: 1, Weight: 1, Price: 1, RateLimit: 6, LimitBurst: 36}}}
}

func newSimulation(t *testing.T, seed int64) *simulation {
	return newSimulationWith(t, simulationSettings(), seed, nil)
}

func newSimulationWith(t *testing.T, settings Settings, seed int64, onStep func(*simulatedScheduler, []Action)) *simulation {
	sim := &simulation{onStep: onStep, t: t, settings: settings, rng: rand.New(rand.NewSource(seed)), now: 1e6, nodes: map[string]*simulatedNode{},
		requests: map[string]*simulatedRequest{}, recentUnits: map[string][]timedUnits{}, limitBuckets: map[string]*tokenAccount{}, outcomes: map[string]int{}}
	for i := range simulatedNodes {
		n := &simulatedNode{Node: Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1}, alive: true}
		sim.nodes[n.ID] = n
		sim.shard = append(sim.shard, n)
	}
	for i := range 6 * simulatedNodes {
		volume := simulatedVolume{id: fmt.Sprint("v", i), plan: []string{"open", "open", "capped"}[i%3]}
		for range 1 + sim.rng.Intn(3) {
			volume.schedulers = append(volume.schedulers, sim.rng.Intn(simulatedSchedulers))
			volume.shards = append(volume.shards, sim.rng.Intn(simulatedNodes))
		}
		sim.volumes = append(sim.volumes, volume)
		sim.limitBuckets[volume.id] = &tokenAccount{units: settings.Plans[1].LimitBurst, at: sim.now}
	}
	for i := range simulatedSchedulers {
		scheduler := &simulatedScheduler{sim: sim, index: i, list: map[string]Node{}, notifiedAt: map[string]float64{}}
		for id, n := range sim.nodes {
			scheduler.list[id] = n.Node
		}
		sim.schedulers = append(sim.schedulers, scheduler)
		scheduler.start()
	}
	sim.after(0, sim.arrive)
	return sim
}

// start starts a new process of the scheduler, which knows only the last list.
func (h *simulatedScheduler) start() {
	settings := h.sim.settings
	settings.Instance = h.index
	s, err := New(settings, int64(1000*h.incarnation+h.index))
	if err != nil {
		h.sim.t.Fatal(err)
	}
	h.scheduler, h.down = s, false
	h.incarnation++
	ev := Event{Kind: CachedListLoaded}
	for i := range simulatedNodes { // in a fixed order
		for _, id := range []string{fmt.Sprint("n", i), fmt.Sprint("m", i)} {
			if n, ok := h.list[id]; ok {
				ev.Nodes = append(ev.Nodes, n)
			}
		}
	}
	h.step(ev)
}

func (h *simulatedScheduler) step(events ...Event) {
	actions := h.scheduler.Step(h.sim.now, events, nil)
	if h.sim.onStep != nil {
		h.sim.onStep(h, actions)
	}
	for _, a := range actions {
		h.perform(a)
	}
}

// deliverLater passes an event to the scheduler after a time, unless the scheduler has restarted.
func (h *simulatedScheduler) deliverLater(wait float64, nextEvent func() (Event, bool)) {
	incarnation := h.incarnation
	h.sim.after(wait, func() {
		if h.incarnation != incarnation {
			return
		}
		if e, ok := nextEvent(); ok {
			h.step(e)
		}
	})
}

func (h *simulatedScheduler) perform(a Action) {
	sim := h.sim
	switch a.Kind {
	case SetTimer:
		h.deliverLater(math.Max(a.Wait, 1)+h.timerLag, func() (Event, bool) { return Event{Kind: TimerFired, Tag: a.Tag}, true })
	case Reject, Fail:
		sim.endRequest(a.ID, []string{Reject: "rejected", Fail: "failed"}[a.Kind])
	case Send:
		sim.send(h, a)
	case Cancel: // the node does not stop its work
		if r := sim.requests[a.ID]; r != nil {
			h.deliverLater(1, func() (Event, bool) { r.attempts[a.Attempt].end(Cancelled); return Event{}, false })
		}
	}
}

// endRequest counts the end of a request, and checks that the request ends only once and in time.
func (sim *simulation) endRequest(id, outcome string) {
	req := sim.requests[id]
	if req == nil || req.answered {
		sim.t.Fatalf("at %.0f: %s is unknown or ended twice: %s", sim.now, id, outcome)
	}
	if sim.now > req.request.Deadline+8 {
		sim.t.Errorf("at %.0f: %s ended %.0f ms after its deadline", sim.now, id, sim.now-req.request.Deadline)
	}
	req.answered = true
	sim.outcomes[outcome]++
}

// speedShare returns the current speed of a node as a share of its full speed.
func (sim *simulation) speedShare(n *simulatedNode) float64 {
	if n.StartTime == 0 {
		return 1
	}
	return math.Min(1, sim.settings.SlowStartShare+(1-sim.settings.SlowStartShare)*(sim.now-n.StartTime)/sim.settings.SlowStartDuration)
}

// send checks an attempt against the rules, and lets the node queue or reject it.
func (sim *simulation) send(h *simulatedScheduler, a Action) {
	r, n := sim.requests[a.ID], sim.nodes[a.Node]
	if r == nil || r.answered || r.scheduler != h || n == nil || n.Shard != r.request.Shard {
		sim.t.Fatalf("at %.0f: %s must not be sent to %s", sim.now, a.ID, a.Node)
	}
	if at, ok := h.notifiedAt[n.ID]; ok && sim.now > at+sim.settings.DrainGrace {
		sim.t.Errorf("at %.0f: sent to %s, which was reported as draining %.0f ms ago", sim.now, n.ID, sim.now-at)
	}
	number, sentAt, incarnation := len(r.attempts), sim.now, n.incarnation
	attempt := &simulatedAttempt{}
	attempt.end = func(status Status) {
		if attempt.ended || h.incarnation != r.incarnation {
			return
		}
		attempt.ended = true
		if status == OK && !r.answered {
			sim.endRequest(a.ID, "served")
		}
		h.step(Event{Kind: AttemptEnded, ID: a.ID, Attempt: number, Node: n.ID, Status: status, Latency: sim.now - sentAt, Finished: r.answered})
	}
	if r.attempts = append(r.attempts, attempt); number == 0 {
		sim.checkRateLimit(r)
	}
	sim.after(math.Min(a.Deadline, r.request.Deadline)-sim.now, func() { attempt.end(TimedOut) })
	switch {
	case !n.alive:
		sim.after(1, func() { attempt.end(ConnectFailed) })
		return
	case n.State == NodeDraining || n.queued >= maxNodeQueue:
		sim.after(1, func() { attempt.end(NodeFull) })
	default:
		n.queued++
		n.freeAt = math.Max(sim.now, n.freeAt) + r.request.Units*1000/warmUnitsPerSecond/sim.speedShare(n)
		sim.after(n.freeAt-sim.now+1, func() {
			if n.incarnation != incarnation {
				return
			}
			n.queued--
			attempt.end(OK)
		})
		n.attempts = append(n.attempts, attempt)
	}
	sim.checkOverload(n, r.request.Units)
}

// checkOverload checks the units that a node in slow start got from all schedulers within OverloadWindow, including those
// of rejected requests.
func (sim *simulation) checkOverload(n *simulatedNode, units float64) {
	if n.StartTime == 0 || sim.now-n.StartTime > sim.settings.SlowStartDuration {
		return
	}
	sim.recentUnits[n.ID] = append(sim.recentUnits[n.ID], timedUnits{sim.now, units})
	recent := sim.recentUnits[n.ID]
	sum := sumUnitsSince(&recent, sim.now-sim.settings.OverloadWindow)
	sim.recentUnits[n.ID] = recent
	if capacity := sim.settings.OverloadMultiple * sim.speedShare(n) * warmUnitsPerSecond * sim.settings.OverloadWindow / 1000; sum > capacity {
		sim.t.Errorf("at %.0f: node %s, started %.0f ms ago, got %.0f units within %.0f ms, but its limit is %.0f", sim.now, n.ID, sim.now-n.StartTime, sum, sim.settings.OverloadWindow, capacity)
	}
}

// checkRateLimit checks the first sends of a volume with a rate limit over all schedulers.
func (sim *simulation) checkRateLimit(r *simulatedRequest) {
	p := sim.settings.Plans[1]
	if r.request.Plan != p.Name {
		return
	}
	bucket := sim.limitBuckets[r.request.Volume]
	bucket.units = math.Min(bucket.units+p.RateLimit*(sim.now-bucket.at)/1000, p.LimitBurst) - r.request.Units
	bucket.at = sim.now
	if bucket.units < -0.1*p.LimitBurst {
		sim.t.Errorf("at %.0f: volume %s exceeds its rate limit by %.1f units", sim.now, r.request.Volume, -bucket.units)
	}
}

func (sim *simulation) arrive() {
	sim.after(sim.rng.ExpFloat64()*1000/requestsPerSecond, sim.arrive)
	volume := sim.volumes[int(float64(len(sim.volumes))*sim.rng.Float64()*sim.rng.Float64())] // some volumes have much more traffic
	scheduler := sim.schedulers[volume.schedulers[sim.rng.Intn(len(volume.schedulers))]]
	if scheduler.down {
		return // a request to a scheduler that is down is lost
	}
	class := sim.settings.Classes[sim.rng.Intn(len(sim.settings.Classes))]
	sim.sequence++
	schedulers := map[int]bool{}
	for _, x := range volume.schedulers {
		schedulers[x] = true
	}
	req := Request{ID: fmt.Sprint("q", sim.sequence), Class: class.Name, Plan: volume.plan, Key: fmt.Sprint("k", sim.sequence), Volume: volume.id,
		Deadline: sim.now + class.Deadline, Units: float64(1 + sim.rng.Intn(3)), Shard: volume.shards[sim.rng.Intn(len(volume.shards))], Schedulers: len(schedulers)}
	tracked := &simulatedRequest{scheduler: scheduler, incarnation: scheduler.incarnation, request: req}
	sim.requests[req.ID] = tracked
	scheduler.step(Event{Kind: RequestArrived, Request: req})
	sim.after(class.Deadline+9, func() {
		if !tracked.answered && scheduler.incarnation == tracked.incarnation {
			sim.t.Errorf("%s of class %s was not ended", req.ID, req.Class)
		}
		delete(sim.requests, req.ID)
	})
}

// announce publishes a list entry. Each scheduler receives it after a random delay.
func (sim *simulation) announce(n Node) {
	for _, h := range sim.schedulers {
		sim.after(300+sim.rng.Float64()*2000, func() {
			if known, ok := h.list[n.ID]; ok && (known.State > n.State && n.StartTime == known.StartTime || known.StartTime > n.StartTime) {
				return // older than the known entry
			}
			h.list[n.ID] = n // also while the scheduler is down, because it restarts with this list
			if n.State == NodeUp {
				delete(h.notifiedAt, n.ID)
			} else if _, ok := h.notifiedAt[n.ID]; !ok {
				h.notifiedAt[n.ID] = sim.now
			}
			if !h.down {
				h.step(Event{Kind: ListChanged, Nodes: []Node{n}})
			}
		})
	}
}

// stopNode stops a node and resets its connections.
func (sim *simulation) stopNode(n *simulatedNode) {
	n.alive, n.queued, n.freeAt = false, 0, 0
	n.incarnation++
	attempts := n.attempts
	n.attempts = nil
	sim.after(1, func() {
		for _, attempt := range attempts {
			attempt.end(ConnectionReset)
		}
	})
}

func (sim *simulation) startNode(n *simulatedNode) {
	n.alive, n.StartTime = true, sim.now
	sim.recentUnits[n.ID] = nil
	sim.announce(n.Node)
}

func (sim *simulation) run() {
	for end := sim.now + simulationMs; sim.events[0].at < end; {
		event := heap.Pop(&sim.events).(simulatedEvent)
		sim.now = event.at
		event.run()
	}
}
