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
	req         Request
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

func (d eventQueue) Len() int { return len(d) }
func (d eventQueue) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d eventQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *eventQueue) Push(x any)   { *d = append(*d, x.(simulatedEvent)) }
func (d *eventQueue) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

func (w *simulation) after(wait float64, do func()) {
	w.sequence++
	heap.Push(&w.events, simulatedEvent{w.now + wait, w.sequence, do})
}

func simulationSettings() Settings {
	return Settings{Schedulers: simulatedSchedulers, MeanUnits: 2, MaxUnits: 6, SlowStartUnits: 39, MaxAttempts: 4, MaxRetryAfter: 1000,
		SendsRetryAfter: true, MayCancel: true, MayHedge: true, DrainGrace: 250, PollWithin: 10000, SlowStartShare: 0.24, SlowStartDuration: 17000,
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

func (h *simulatedScheduler) step(evs ...Event) {
	actions := h.scheduler.Step(h.sim.now, evs, nil)
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
	w := h.sim
	switch a.Kind {
	case SetTimer:
		h.deliverLater(math.Max(a.Wait, 1)+h.timerLag, func() (Event, bool) { return Event{Kind: TimerFired, Tag: a.Tag}, true })
	case Reject, Fail:
		w.endRequest(a.ID, []string{Reject: "rejected", Fail: "failed"}[a.Kind])
	case Send:
		w.send(h, a)
	case Cancel: // the node does not stop its work
		if r := w.requests[a.ID]; r != nil {
			h.deliverLater(1, func() (Event, bool) { r.attempts[a.Attempt].end(Cancelled); return Event{}, false })
		}
	}
}

// endRequest counts the end of a request, and checks that the request ends only once and in time.
func (w *simulation) endRequest(id, outcome string) {
	r := w.requests[id]
	if r == nil || r.answered {
		w.t.Fatalf("at %.0f: %s is unknown or ended twice: %s", w.now, id, outcome)
	}
	if w.now > r.req.Deadline+8 {
		w.t.Errorf("at %.0f: %s ended %.0f ms after its deadline", w.now, id, w.now-r.req.Deadline)
	}
	r.answered = true
	w.outcomes[outcome]++
}

// speedShare returns the current speed of a node as a share of its full speed.
func (w *simulation) speedShare(n *simulatedNode) float64 {
	if n.StartTime == 0 {
		return 1
	}
	return math.Min(1, w.settings.SlowStartShare+(1-w.settings.SlowStartShare)*(w.now-n.StartTime)/w.settings.SlowStartDuration)
}

// send checks an attempt against the rules, and lets the node queue or reject it.
func (w *simulation) send(h *simulatedScheduler, a Action) {
	r, n := w.requests[a.ID], w.nodes[a.Node]
	if r == nil || r.answered || r.scheduler != h || n == nil || n.Shard != r.req.Shard {
		w.t.Fatalf("at %.0f: %s must not be sent to %s", w.now, a.ID, a.Node)
	}
	if at, ok := h.notifiedAt[n.ID]; ok && w.now > at+w.settings.DrainGrace {
		w.t.Errorf("at %.0f: sent to %s, which was reported as draining %.0f ms ago", w.now, n.ID, w.now-at)
	}
	number, sent, incarnation := len(r.attempts), w.now, n.incarnation
	attempt := &simulatedAttempt{}
	attempt.end = func(status Status) {
		if attempt.ended || h.incarnation != r.incarnation {
			return
		}
		attempt.ended = true
		if status == OK && !r.answered {
			w.endRequest(a.ID, "served")
		}
		h.step(Event{Kind: AttemptEnded, ID: a.ID, Attempt: number, Node: n.ID, Status: status, Latency: w.now - sent, Finished: r.answered})
	}
	if r.attempts = append(r.attempts, attempt); number == 0 {
		w.checkRateLimit(r)
	}
	w.after(math.Min(a.Deadline, r.req.Deadline)-w.now, func() { attempt.end(TimedOut) })
	switch {
	case !n.alive:
		w.after(1, func() { attempt.end(ConnectFailed) })
		return
	case n.State == NodeDraining || n.queued >= maxNodeQueue:
		w.after(1, func() { attempt.end(NodeFull) })
	default:
		n.queued++
		n.freeAt = math.Max(w.now, n.freeAt) + r.req.Units*1000/warmUnitsPerSecond/w.speedShare(n)
		w.after(n.freeAt-w.now+1, func() {
			if n.incarnation != incarnation {
				return
			}
			n.queued--
			attempt.end(OK)
		})
		n.attempts = append(n.attempts, attempt)
	}
	w.checkOverload(n, r.req.Units)
}

// checkOverload checks the units that a node in slow start got from all schedulers within OverloadWindow, including those
// of rejected requests.
func (w *simulation) checkOverload(n *simulatedNode, units float64) {
	if n.StartTime == 0 || w.now-n.StartTime > w.settings.SlowStartDuration {
		return
	}
	w.recentUnits[n.ID] = append(w.recentUnits[n.ID], timedUnits{w.now, units})
	recent := w.recentUnits[n.ID]
	sum := sumUnitsSince(&recent, w.now-w.settings.OverloadWindow)
	w.recentUnits[n.ID] = recent
	if capacity := w.settings.OverloadMultiple * w.speedShare(n) * warmUnitsPerSecond * w.settings.OverloadWindow / 1000; sum > capacity {
		w.t.Errorf("at %.0f: node %s, started %.0f ms ago, got %.0f units within %.0f ms, but its limit is %.0f", w.now, n.ID, w.now-n.StartTime, sum, w.settings.OverloadWindow, capacity)
	}
}

// checkRateLimit checks the first sends of a volume with a rate limit over all schedulers.
func (w *simulation) checkRateLimit(r *simulatedRequest) {
	p := w.settings.Plans[1]
	if r.req.Plan != p.Name {
		return
	}
	s := w.limitBuckets[r.req.Volume]
	s.units = math.Min(s.units+p.RateLimit*(w.now-s.at)/1000, p.LimitBurst) - r.req.Units
	s.at = w.now
	if s.units < -0.1*p.LimitBurst {
		w.t.Errorf("at %.0f: volume %s exceeds its rate limit by %.1f units", w.now, r.req.Volume, -s.units)
	}
}

func (w *simulation) arrive() {
	w.after(w.rng.ExpFloat64()*1000/requestsPerSecond, w.arrive)
	volume := w.volumes[int(float64(len(w.volumes))*w.rng.Float64()*w.rng.Float64())] // some volumes have much more traffic
	scheduler := w.schedulers[volume.schedulers[w.rng.Intn(len(volume.schedulers))]]
	if scheduler.down {
		return // a request to a scheduler that is down is lost
	}
	class := w.settings.Classes[w.rng.Intn(len(w.settings.Classes))]
	w.sequence++
	schedulers := map[int]bool{}
	for _, x := range volume.schedulers {
		schedulers[x] = true
	}
	req := Request{ID: fmt.Sprint("q", w.sequence), Class: class.Name, Plan: volume.plan, Key: fmt.Sprint("k", w.sequence), Volume: volume.id,
		Deadline: w.now + class.Deadline, Units: float64(1 + w.rng.Intn(3)), Shard: volume.shards[w.rng.Intn(len(volume.shards))], Schedulers: len(schedulers)}
	r := &simulatedRequest{scheduler: scheduler, incarnation: scheduler.incarnation, req: req}
	w.requests[req.ID] = r
	scheduler.step(Event{Kind: RequestArrived, Request: req})
	w.after(class.Deadline+9, func() {
		if !r.answered && scheduler.incarnation == r.incarnation {
			w.t.Errorf("%s of class %s was not ended", req.ID, req.Class)
		}
		delete(w.requests, req.ID)
	})
}

// announce publishes a list entry. Each scheduler receives it after a random delay.
func (w *simulation) announce(n Node) {
	for _, h := range w.schedulers {
		w.after(300+w.rng.Float64()*2000, func() {
			if known, ok := h.list[n.ID]; ok && (known.State > n.State && n.StartTime == known.StartTime || known.StartTime > n.StartTime) {
				return // older than the known entry
			}
			h.list[n.ID] = n // also while the scheduler is down, because it restarts with this list
			if n.State == NodeUp {
				delete(h.notifiedAt, n.ID)
			} else if _, ok := h.notifiedAt[n.ID]; !ok {
				h.notifiedAt[n.ID] = w.now
			}
			if !h.down {
				h.step(Event{Kind: ListChanged, Nodes: []Node{n}})
			}
		})
	}
}

// stopNode stops a node and resets its connections.
func (w *simulation) stopNode(n *simulatedNode) {
	n.alive, n.queued, n.freeAt = false, 0, 0
	n.incarnation++
	attempts := n.attempts
	n.attempts = nil
	w.after(1, func() {
		for _, attempt := range attempts {
			attempt.end(ConnectionReset)
		}
	})
}

func (w *simulation) startNode(n *simulatedNode) {
	n.alive, n.StartTime = true, w.now
	w.recentUnits[n.ID] = nil
	w.announce(n.Node)
}

func (w *simulation) run() {
	for end := w.now + simulationMs; w.events[0].at < end; {
		event := heap.Pop(&w.events).(simulatedEvent)
		w.now = event.at
		event.run()
	}
}
