package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// A small simulation of many schedulers and nodes: pure calls, virtual time, a seed. It checks by its own account
// what the rules forbid over all schedulers together.

const (
	simulatedSchedulers = 80
	simulatedNodes      = 60
	warmUnitsPerSecond  = 60.0 // units a second that a warm node serves
	maxNodeQueue        = 40   // requests a node holds
	simulationMs        = 20e3
	requestsPerSecond   = 1400.0 // requests a second: more than a node in slow start bears
)

type simulation struct {
	t          *testing.T
	set        Settings
	rng        *rand.Rand
	now        float64
	events     eventQueue
	sequence   int
	schedulers []*simulatedScheduler
	nodes      map[string]*simulatedNode
	shard      []*simulatedNode // by shard: the node that serves it
	volumes    []simulatedVolume
	requests   map[string]*simulatedRequest
	sent       map[string][]timedUnits // by node in slow start: units within the last OverloadWindow
	limits     map[string]*simulatedBucket
	ends       map[string]int // by what ended requests

	onStep func(h *simulatedScheduler, actions []Action) // nil: nothing looks on
}

type simulatedScheduler struct {
	w           *simulation
	index       int
	incarnation int
	down        bool
	scheduler   *Scheduler
	list        map[string]Node // as last received
	notifiedAt  map[string]float64
	lag         float64 // its timers come later by this
}

type simulatedNode struct {
	Node
	alive       bool
	incarnation int
	queued      int
	out         []*simulatedAttempt // since its start
	freeAt      float64             // when its queue is empty
}

type simulatedVolume struct {
	id    string
	plan  string
	hosts []int
	shard []int
}

type simulatedRequest struct {
	host        *simulatedScheduler
	incarnation int
	req         Request
	attempts    []*simulatedAttempt
	answered    bool
}

type simulatedAttempt struct {
	ended bool // its outcome was reported
	end   func(Status)
}

type simulatedBucket struct{ units, at float64 }

type simulatedEvent struct {
	at  float64
	seq int
	do  func()
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
	return newSimulationOf(t, simulationSettings(), seed, nil)
}

func newSimulationOf(t *testing.T, set Settings, seed int64, onStep func(*simulatedScheduler, []Action)) *simulation {
	w := &simulation{onStep: onStep, t: t, set: set, rng: rand.New(rand.NewSource(seed)), now: 1e6, nodes: map[string]*simulatedNode{},
		requests: map[string]*simulatedRequest{}, sent: map[string][]timedUnits{}, limits: map[string]*simulatedBucket{}, ends: map[string]int{}}
	for i := range simulatedNodes {
		n := &simulatedNode{Node: Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1}, alive: true}
		w.nodes[n.ID] = n
		w.shard = append(w.shard, n)
	}
	for i := range 6 * simulatedNodes {
		v := simulatedVolume{id: fmt.Sprint("v", i), plan: []string{"open", "open", "capped"}[i%3]}
		for range 1 + w.rng.Intn(3) {
			v.hosts = append(v.hosts, w.rng.Intn(simulatedSchedulers))
			v.shard = append(v.shard, w.rng.Intn(simulatedNodes))
		}
		w.volumes = append(w.volumes, v)
		w.limits[v.id] = &simulatedBucket{units: set.Plans[1].LimitBurst, at: w.now}
	}
	for i := range simulatedSchedulers {
		h := &simulatedScheduler{w: w, index: i, list: map[string]Node{}, notifiedAt: map[string]float64{}}
		for id, n := range w.nodes {
			h.list[id] = n.Node
		}
		w.schedulers = append(w.schedulers, h)
		h.start()
	}
	w.after(0, w.arrive)
	return w
}

// start starts a process of the scheduler, which has only its last list.
func (h *simulatedScheduler) start() {
	set := h.w.set
	set.Instance = h.index
	s, err := New(set, int64(1000*h.incarnation+h.index))
	if err != nil {
		h.w.t.Fatal(err)
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
	actions := h.scheduler.Step(h.w.now, evs, nil)
	if h.w.onStep != nil {
		h.w.onStep(h, actions)
	}
	for _, a := range actions {
		h.do(a)
	}
}

// later gives the scheduler an event, unless it has restarted since.
func (h *simulatedScheduler) later(wait float64, ev func() (Event, bool)) {
	life := h.incarnation
	h.w.after(wait, func() {
		if h.incarnation != life {
			return
		}
		if e, ok := ev(); ok {
			h.step(e)
		}
	})
}

func (h *simulatedScheduler) do(a Action) {
	w := h.w
	switch a.Kind {
	case SetTimer:
		h.later(math.Max(a.Wait, 1)+h.lag, func() (Event, bool) { return Event{Kind: TimerFired, Tag: a.Tag}, true })
	case Reject, Fail:
		w.final(a.ID, []string{Reject: "refused", Fail: "failed"}[a.Kind])
	case Send:
		w.send(h, a)
	case Cancel: // the node works on
		if r := w.requests[a.ID]; r != nil {
			h.later(1, func() (Event, bool) { r.attempts[a.Attempt].end(Cancelled); return Event{}, false })
		}
	}
}

// answered counts the end of a request; each has exactly one.
func (w *simulation) final(id, how string) {
	r := w.requests[id]
	if r == nil || r.answered {
		w.t.Fatalf("at %.0f: a second end for %s: %s", w.now, id, how)
	}
	if w.now > r.req.Deadline+8 {
		w.t.Errorf("at %.0f: %s ended %.0f ms late", w.now, id, w.now-r.req.Deadline)
	}
	r.answered = true
	w.ends[how]++
}

// power is the share of its full speed that a node has.
func (w *simulation) power(n *simulatedNode) float64 {
	if n.StartTime == 0 {
		return 1
	}
	return math.Min(1, w.set.SlowStartShare+(1-w.set.SlowStartShare)*(w.now-n.StartTime)/w.set.SlowStartDuration)
}

// send checks an attempt against the rules, and has the node serve it in turn, or not.
func (w *simulation) send(h *simulatedScheduler, a Action) {
	r, n := w.requests[a.ID], w.nodes[a.Node]
	if r == nil || r.answered || r.host != h || n == nil || n.Shard != r.req.Shard {
		w.t.Fatalf("at %.0f: sent %s to %s", w.now, a.ID, a.Node)
	}
	if at, ok := h.notifiedAt[n.ID]; ok && w.now > at+w.set.DrainGrace {
		w.t.Errorf("at %.0f: sent to %s, told %.0f ms ago that it drains", w.now, n.ID, w.now-at)
	}
	no, sent, life := len(r.attempts), w.now, n.incarnation
	t := &simulatedAttempt{}
	t.end = func(status Status) {
		if t.ended || h.incarnation != r.incarnation {
			return
		}
		t.ended = true
		if status == OK && !r.answered {
			w.final(a.ID, "served")
		}
		h.step(Event{Kind: AttemptEnded, ID: a.ID, Attempt: no, Node: n.ID, Status: status, Latency: w.now - sent, Finished: r.answered})
	}
	if r.attempts = append(r.attempts, t); no == 0 {
		w.checkRateLimit(r)
	}
	w.after(math.Min(a.Deadline, r.req.Deadline)-w.now, func() { t.end(TimedOut) })
	switch {
	case !n.alive:
		w.after(1, func() { t.end(ConnectFailed) })
		return
	case n.State == NodeDraining || n.queued >= maxNodeQueue:
		w.after(1, func() { t.end(NodeFull) })
	default:
		n.queued++
		n.freeAt = math.Max(w.now, n.freeAt) + r.req.Units*1000/warmUnitsPerSecond/w.power(n)
		w.after(n.freeAt-w.now+1, func() {
			if n.incarnation != life {
				return
			}
			n.queued--
			t.end(OK)
		})
		n.out = append(n.out, t)
	}
	w.checkOverload(n, r.req.Units)
}

// checkOverload counts what a node in slow start got from all schedulers within the span, also what it rejected.
func (w *simulation) checkOverload(n *simulatedNode, units float64) {
	if n.StartTime == 0 || w.now-n.StartTime > w.set.SlowStartDuration {
		return
	}
	w.sent[n.ID] = append(w.sent[n.ID], timedUnits{w.now, units})
	recent := w.sent[n.ID]
	sum := sumUnitsSince(&recent, w.now-w.set.OverloadWindow)
	w.sent[n.ID] = recent
	if bears := w.set.OverloadMultiple * w.power(n) * warmUnitsPerSecond * w.set.OverloadWindow / 1000; sum > bears {
		w.t.Errorf("at %.0f: %s, up for %.0f ms, got %.0f units within %.0f ms; it bears %.0f", w.now, n.ID, w.now-n.StartTime, sum, w.set.OverloadWindow, bears)
	}
}

// checkRateLimit counts a limited volume's first sends over all schedulers.
func (w *simulation) checkRateLimit(r *simulatedRequest) {
	p := w.set.Plans[1]
	if r.req.Plan != p.Name {
		return
	}
	s := w.limits[r.req.Volume]
	s.units = math.Min(s.units+p.RateLimit*(w.now-s.at)/1000, p.LimitBurst) - r.req.Units
	s.at = w.now
	if s.units < -0.1*p.LimitBurst {
		w.t.Errorf("at %.0f: volume %s is %.1f units past its limit", w.now, r.req.Volume, -s.units)
	}
}

func (w *simulation) arrive() {
	w.after(w.rng.ExpFloat64()*1000/requestsPerSecond, w.arrive)
	v := w.volumes[int(float64(len(w.volumes))*w.rng.Float64()*w.rng.Float64())] // some volumes have much more traffic
	h := w.schedulers[v.hosts[w.rng.Intn(len(v.hosts))]]
	if h.down {
		return // what would come through a dead scheduler is lost to its client
	}
	class := w.set.Classes[w.rng.Intn(len(w.set.Classes))]
	w.sequence++
	hosts := map[int]bool{}
	for _, x := range v.hosts {
		hosts[x] = true
	}
	q := Request{ID: fmt.Sprint("q", w.sequence), Class: class.Name, Plan: v.plan, Key: fmt.Sprint("k", w.sequence), Volume: v.id,
		Deadline: w.now + class.Deadline, Units: float64(1 + w.rng.Intn(3)), Shard: v.shard[w.rng.Intn(len(v.shard))], Schedulers: len(hosts)}
	r := &simulatedRequest{host: h, incarnation: h.incarnation, req: q}
	w.requests[q.ID] = r
	h.step(Event{Kind: RequestArrived, Request: q})
	w.after(class.Deadline+9, func() {
		if !r.answered && h.incarnation == r.incarnation {
			w.t.Errorf("%s of class %s has no end", q.ID, q.Class)
		}
		delete(w.requests, q.ID)
	})
}

// announce publishes an entry of the list; each scheduler receives it after a delay of its own.
func (w *simulation) announce(n Node) {
	for _, h := range w.schedulers {
		w.after(300+w.rng.Float64()*2000, func() {
			if old, ok := h.list[n.ID]; ok && (old.State > n.State && n.StartTime == old.StartTime || old.StartTime > n.StartTime) {
				return // older than what it has
			}
			h.list[n.ID] = n // also while it is down: it starts with its last list
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

// stopNode ends a node's process; startNode starts it again, in slow start.
func (w *simulation) stopNode(n *simulatedNode) {
	n.alive, n.queued, n.freeAt = false, 0, 0
	n.incarnation++
	out := n.out
	n.out = nil
	w.after(1, func() {
		for _, t := range out {
			t.end(ConnectionReset)
		}
	})
}

func (w *simulation) startNode(n *simulatedNode) {
	n.alive, n.StartTime = true, w.now
	w.sent[n.ID] = nil
	w.announce(n.Node)
}

func (w *simulation) run() {
	for end := w.now + simulationMs; w.events[0].at < end; {
		d := heap.Pop(&w.events).(simulatedEvent)
		w.now = d.at
		d.do()
	}
}
