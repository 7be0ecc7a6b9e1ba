package policy

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// Simulates the load that a node in slow start gets from all schedulers together, none of which knows what the others
// send.

var slowStartSeeds = flag.Int("coldseeds", 1, "seeds of each case in TestSlowStartLimitsTheWholeFleet")

// slowStartCase describes a fleet in which the node of shard 0 stops and is replaced by one in slow start.
type slowStartCase struct {
	name             string
	schedulerCount   int
	slowStartUnits   float64
	overloadMultiple float64
	nodeStrength     float64 // speed of the node as a multiple of the lowest speed that the settings allow
	uneven           bool    // one scheduler has most of the traffic
	popular          bool    // all schedulers send requests to the node in slow start, and each to few others
	idleBefore       bool    // almost no traffic to the node in slow start before the burst
	burst            float64 // factor of the usual traffic during a burst
	overload         float64 // factor of the usual traffic from the outage on
	simultaneous     bool    // all schedulers get requests at once, in the middle of the slow start
	restarts         bool    // the schedulers restart one after another during the slow start
	allRestart       bool    // all schedulers restart together with the node, without any learned state
	faults           bool    // answers are lost, connections fail, and clients retry
	largeRequests    bool    // one request in five is six times as large as the others
	listDelayed      bool    // the list reports the node after up to half of the slow start
	manyNodes        bool    // the nodes of all other shards restart as well, and each scheduler reads all shards
	nodeSilent       bool    // the node becomes silent and restarts with the same id, which the list reports later
}

// slowStartResult holds the load of the node in slow start and the share that it served.
type slowStartResult struct {
	maxLoad          float64 // highest load within OverloadWindow, as a share of the limit
	requests         int     // requests that were sent to the node
	servedShare      float64 // units served in time, as a share of the requested units that the node could serve
	firstServedAfter float64 // seconds until the node first served 60 % of that for a second
}

type slowStartSimulation struct {
	slowStartCase
	t                 *testing.T
	settings          Settings
	rng               *rand.Rand
	now               float64
	sequence          int
	events            eventQueue
	schedulers        []*Scheduler
	notified          []bool
	incarnations      []int
	slowStartSince    float64 // start of the node in slow start; 0: the first node is in use
	nodeDown          bool
	list              []Node
	freeAt            [2]float64
	requests          map[string]*slowStartRequest
	recentUnits       []timedUnits // sent to the node in slow start
	servedBySecond    map[int]float64
	requestedBySecond map[int]float64
	result            slowStartResult
}

type slowStartRequest struct {
	scheduler, incarnation, attempts int
	objectiveAt, units               float64
	forSlowStartNode                 bool // the request names the shard of the node in slow start
	ended                            bool
	isRetry                          bool
}

const (
	warmPhaseMs     = 10e3   // the first node is up, without slow start
	outageMs        = 2000.0 // time until the replacement starts
	slowStartShards = 40
)

func newSlowStartSimulation(t *testing.T, c slowStartCase, seed int64) *slowStartSimulation {
	settings := Settings{Schedulers: c.schedulerCount, MeanUnits: 2, MaxUnits: 6, SlowStartUnits: c.slowStartUnits, MaxAttempts: 4, MaxRetryAfter: 1000,
		SendsRetryAfter: true, MayCancel: true, MayHedge: true, DrainGrace: 250, PollWithin: 10000, SlowStartShare: 0.24, SlowStartDuration: 12000,
		OverloadMultiple: c.overloadMultiple, OverloadWindow: 3000, Shards: slowStartShards,
		Classes: []Class{{Name: "safe", LatencyObjective: 250, Deadline: 1500, PriorityWeight: 3, LatePriorityWeight: 0.1},
			{Name: "once", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 2, LatePriorityWeight: 0.1, Effect: NonIdempotent}},
		Plans: []Plan{{Name: "p", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1}}}
	sim := &slowStartSimulation{slowStartCase: c, t: t, settings: settings, rng: rand.New(rand.NewSource(seed)), requests: map[string]*slowStartRequest{},
		servedBySecond: map[int]float64{}, requestedBySecond: map[int]float64{}, now: 1e6,
		notified: make([]bool, c.schedulerCount), incarnations: make([]int, c.schedulerCount), schedulers: make([]*Scheduler, c.schedulerCount)}
	for i := range slowStartShards {
		sim.list = append(sim.list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1})
	}
	return sim
}

func (w *slowStartSimulation) after(wait float64, do func()) {
	w.sequence++
	heap.Push(&w.events, simulatedEvent{w.now + wait, w.sequence, do})
}

// start starts a new process of a scheduler, which knows only the list.
func (w *slowStartSimulation) start(scheduler int) {
	settings := w.settings
	settings.Instance = scheduler
	w.incarnations[scheduler]++
	s, err := New(settings, w.rng.Int63())
	if err != nil {
		w.t.Fatal(err)
	}
	w.schedulers[scheduler] = s
	w.step(scheduler, Event{Kind: CachedListLoaded, Nodes: w.list})
}

func (w *slowStartSimulation) step(scheduler int, evs ...Event) {
	incarnation := w.incarnations[scheduler]
	for _, a := range w.schedulers[scheduler].Step(w.now, evs, nil) {
		switch a.Kind {
		case SetTimer:
			if a.Tag != heartbeatTimer {
				w.after(math.Max(a.Wait, 1), func() {
					if w.incarnations[scheduler] == incarnation {
						w.step(scheduler, Event{Kind: TimerFired, Tag: a.Tag})
					}
				})
			}
		case Reject, Fail:
			r := w.requests[a.ID]
			r.ended = true
			if w.faults && r.forSlowStartNode && !r.isRetry && a.Kind == Reject {
				w.after(a.Wait, func() { w.arrive(scheduler, 0, r.units, true) })
			}
		case Send:
			w.send(scheduler, a)
		case Cancel: // the node works on
			w.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, a.Attempt}, Cancelled, 1)
		case CheckHealth:
			w.t.Errorf("scheduler %d sends a health check to %s, which the simulation does not count", scheduler, a.Node)
		}
	}
}

// slowStartAttempt is one attempt of a request by one process of a scheduler.
type slowStartAttempt struct {
	scheduler, incarnation int
	id                     string
	number                 int
}

// endAttempt ends an attempt after a time, unless the scheduler has restarted.
func (w *slowStartSimulation) endAttempt(a slowStartAttempt, status Status, wait float64) {
	sentAt := w.now
	w.after(wait, func() {
		r := w.requests[a.id]
		if w.incarnations[a.scheduler] != a.incarnation {
			return
		}
		if status == OK {
			if r.forSlowStartNode && !r.ended && w.now <= r.objectiveAt {
				w.servedBySecond[int(w.now/1000)] += r.units
			}
			r.ended = true
		}
		w.step(a.scheduler, Event{Kind: AttemptEnded, ID: a.id, Attempt: a.number, Status: status, Latency: w.now - sentAt, Finished: r.ended})
	})
}

// speed returns the current speed of the node of shard 0 in units per millisecond.
func (w *slowStartSimulation) speed() float64 {
	minSpeed := w.slowStartUnits / (w.overloadMultiple * w.settings.OverloadWindow * w.settings.SlowStartShare)
	return w.nodeStrength * minSpeed * w.speedShare()
}

func (w *slowStartSimulation) speedShare() float64 {
	if w.slowStartSince == 0 {
		return 1
	}
	return math.Min(1, w.settings.SlowStartShare+(1-w.settings.SlowStartShare)*(w.now-w.slowStartSince)/w.settings.SlowStartDuration)
}

func (w *slowStartSimulation) send(scheduler int, a Action) {
	r, incarnation := w.requests[a.ID], w.incarnations[scheduler]
	number := r.attempts
	r.attempts++
	if a.Node != "n0" && a.Node != "m0" {
		w.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, OK, 5)
		return
	}
	if w.nodeDown || a.Node == "n0" && w.slowStartSince > 0 && !w.nodeSilent {
		w.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, ConnectFailed, 1)
		return
	}
	if w.slowStartSince > 0 {
		w.recordLoad(r.units, w.notified[scheduler])
	}
	chance := 1.0
	if w.faults {
		chance = w.rng.Float64()
	}
	if chance < 0.02 {
		w.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, ConnectFailed, 1)
		return
	}
	worker := 0
	if w.freeAt[1] < w.freeAt[0] {
		worker = 1
	}
	if w.freeAt[worker]-w.now > 1500 {
		w.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, NodeFull, 1)
		return
	}
	w.freeAt[worker] = math.Max(w.now, w.freeAt[worker]) + r.units*(0.5+w.rng.Float64())*2/w.speed()
	if chance < 0.05 {
		return // the answer is lost
	}
	w.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, OK, w.freeAt[worker]-w.now+1)
}

// recordLoad adds a request to the load within OverloadWindow if the list has notified its scheduler of the node's start.
// Requests that do not run in the end count as well.
func (w *slowStartSimulation) recordLoad(units float64, notified bool) {
	if !notified || w.now-w.slowStartSince > w.settings.SlowStartDuration {
		return
	}
	w.recentUnits = append(w.recentUnits, timedUnits{w.now, units})
	w.result.requests++
	sum := sumUnitsSince(&w.recentUnits, w.now-w.settings.OverloadWindow) / w.settings.MeanUnits
	capacity := w.overloadMultiple * w.speed() * w.settings.OverloadWindow / w.settings.MeanUnits
	bound := capacity + 2*math.Sqrt(capacity) + 2
	if w.slowStartCase.schedulerCount < 30 {
		bound = capacity + 3*math.Sqrt(capacity) + 3
	}
	w.result.maxLoad = math.Max(w.result.maxLoad, sum/bound)
}

func (w *slowStartSimulation) arrive(scheduler, shard int, units float64, isRetry bool) {
	w.sequence++
	class := w.settings.Classes[w.sequence%2]
	id := fmt.Sprint("q", w.sequence)
	w.requests[id] = &slowStartRequest{scheduler: scheduler, incarnation: w.incarnations[scheduler], objectiveAt: w.now + class.LatencyObjective, units: units, isRetry: isRetry, forSlowStartNode: shard == 0}
	if shard == 0 && !isRetry {
		w.requestedBySecond[int(w.now/1000)] += units
	}
	w.step(scheduler, Event{Kind: RequestArrived, Request: Request{ID: id, Class: class.Name, Plan: "p", Key: id, Volume: fmt.Sprint("v", scheduler%20),
		Deadline: w.now + class.Deadline, Units: units, Shard: shard, Schedulers: 1}})
}

// pickScheduler selects a random scheduler that sends requests to the node in slow start.
func (w *slowStartSimulation) pickScheduler() int {
	n := w.slowStartCase.schedulerCount
	switch {
	case w.uneven && w.rng.Float64() < 0.8:
		return 0
	case w.popular:
		return w.rng.Intn(n)
	}
	return w.rng.Intn(max(1, min(n, n/6+2))) // a share of a large fleet
}

func (w *slowStartSimulation) sendTraffic(start float64) {
	baseRate := 0.8 * w.nodeStrength * w.slowStartUnits / (w.overloadMultiple * w.settings.OverloadWindow * w.settings.SlowStartShare) / w.settings.MeanUnits
	rate := baseRate
	burstStart := start + w.settings.SlowStartDuration*0.3
	switch age := w.now - start; {
	case w.now > burstStart && w.now < burstStart+3000 && w.burst > 0:
		rate *= w.burst
	case w.overload > 0 && age > -outageMs:
		rate *= w.overload
	case w.idleBefore && age > -outageMs:
		rate /= 100
	}
	w.arrive(w.pickScheduler(), 0, w.drawUnits(), false)
	w.after(w.rng.ExpFloat64()/rate, func() { w.sendTraffic(start) })
}

// drawUnits returns a random request size. Its mean is that of the settings.
func (w *slowStartSimulation) drawUnits() float64 {
	switch {
	case !w.largeRequests:
		return float64(1 + w.rng.Intn(3))
	case w.rng.Intn(5) == 0:
		return 6
	}
	return 1
}

// readOtherShards adds requests for other shards, so that the schedulers can estimate how many shards they read.
func (w *slowStartSimulation) readOtherShards(scheduler int) {
	shardCount := slowStartShards / 6
	if w.popular {
		shardCount = 1
	}
	if w.manyNodes {
		shardCount = slowStartShards - 1
	}
	w.arrive(scheduler, 1+(scheduler+w.rng.Intn(shardCount))%(slowStartShards-1), 1, false)
	w.after(w.rng.ExpFloat64()*8000/float64(shardCount), func() { w.readOtherShards(scheduler) })
}

// replaceNode replaces the first node by the one in slow start.
func (w *slowStartSimulation) replaceNode() {
	w.nodeDown, w.slowStartSince, w.freeAt = false, w.now, [2]float64{}
	n := Node{ID: "m0", Shard: 0, Weight: 1, StartTime: w.now}
	old := Node{ID: "n0", Shard: 0, Weight: 1, State: NodeRemoved}
	changes := []Node{old, n}
	if w.nodeSilent {
		n.ID = "n0"
		changes = []Node{n}
	}
	list := append([]Node{n}, w.list[1:]...)
	if w.manyNodes {
		for i := range list[1:] {
			list[1+i].StartTime = w.now
		}
		changes = append(changes, list[1:]...)
	}
	for scheduler := range w.schedulers {
		maxDelay := 2000.0
		if w.listDelayed {
			maxDelay = w.settings.SlowStartDuration / 2
		}
		w.after(w.rng.Float64()*maxDelay, func() {
			w.notified[scheduler] = true
			w.step(scheduler, Event{Kind: ListChanged, Nodes: changes})
		})
	}
	if w.restarts { // all of them restart within OverloadWindow, twice
		for i, scheduler := range w.rng.Perm(len(w.schedulers)) {
			for _, from := range []float64{2500, 7000} {
				w.after(from+float64(i)*w.settings.OverloadWindow/float64(len(w.schedulers)), func() {
					w.list, w.notified[scheduler] = list, true
					w.start(scheduler)
				})
			}
		}
	}
}

func (w *slowStartSimulation) run() slowStartResult {
	beginAt := w.now
	start := beginAt + warmPhaseMs + outageMs
	for scheduler := range w.schedulers {
		w.start(scheduler)
		w.after(w.rng.Float64()*8000, func() { w.readOtherShards(scheduler) })
	}
	w.after(0, func() { w.sendTraffic(start) })
	w.after(warmPhaseMs, func() { w.nodeDown = true })
	w.after(warmPhaseMs+outageMs, func() {
		if w.allRestart {
			for scheduler := range w.schedulers {
				w.start(scheduler)
			}
		}
		w.replaceNode()
	})
	if w.simultaneous {
		w.after(start+w.settings.SlowStartDuration*0.6-beginAt, func() {
			for scheduler := range w.schedulers {
				for range 3 {
					w.arrive(scheduler, 0, w.drawUnits(), false)
				}
			}
		})
	}
	for end := start + w.settings.SlowStartDuration + 4000; w.events[0].at < end; {
		event := heap.Pop(&w.events).(simulatedEvent)
		w.now = event.at
		event.run()
	}
	w.measureServedShare(start)
	return w.result
}

// measureServedShare sums the units that the node served and those that it could have served, and finds the time until it
// first served enough of them.
func (w *slowStartSimulation) measureServedShare(start float64) {
	served, possible := 0.0, 0.0
	w.result.firstServedAfter = (w.settings.SlowStartDuration + 4000) / 1000
	for second := int(start / 1000); second < int((start+w.settings.SlowStartDuration)/1000); second++ {
		w.now = float64(second)*1000 + 500
		expected := math.Min(w.requestedBySecond[second], w.speed()*1000)
		served, possible = served+w.servedBySecond[second], possible+expected
	}
	for second := int(start / 1000); second < int((start+w.settings.SlowStartDuration)/1000)+4; second++ {
		w.now = float64(second)*1000 + 500
		if expected := math.Min(w.requestedBySecond[second], w.speed()*1000); expected > 0 && w.servedBySecond[second] >= 0.6*expected {
			w.result.firstServedAfter = math.Max(0, float64(second)+1-start/1000)
			break
		}
	}
	w.result.servedShare = served / math.Max(possible, 1e-9)
}

// slowStartSettings are combinations of SlowStartUnits, OverloadMultiple and the speed of the node as a multiple of the
// lowest speed that the settings allow.
var slowStartSettings = []struct{ units, multiple, strength float64 }{{7, 3, 2}, {27, 2, 1}, {39, 3, 3}, {200, 2, 1}, {300, 2.5, 1}, {400, 3, 2}}

var slowStartCases = []slowStartCase{
	{name: "even"},
	{name: "uneven", uneven: true},
	{name: "popular", popular: true},
	{name: "burst", burst: 4},
	{name: "idle, then a burst", idleBefore: true, burst: 10, popular: true},
	{name: "simultaneous requests", simultaneous: true},
	{name: "idle, then simultaneous requests", idleBefore: true, simultaneous: true},
	{name: "overload", overload: 5},
	{name: "popular overload", popular: true, overload: 5},
	{name: "large requests", largeRequests: true, popular: true, overload: 3},
	{name: "restarts", restarts: true, faults: true, overload: 3},
	{name: "popular restarts", restarts: true, popular: true, faults: true, overload: 3},
	{name: "all restart", allRestart: true, overload: 3},
	{name: "all restart, popular", allRestart: true, popular: true, overload: 5},
	{name: "all restart, then simultaneous requests", allRestart: true, popular: true, idleBefore: true, simultaneous: true},
	{name: "list delayed", listDelayed: true, popular: true, overload: 3},
	{name: "faults", faults: true, burst: 3},
	{name: "silent node", nodeSilent: true, faults: true, overload: 3},
	{name: "many nodes", manyNodes: true, popular: true},
	{name: "many nodes, then a burst", manyNodes: true, popular: true, burst: 4},
	{name: "many nodes, overload", manyNodes: true, popular: true, overload: 3},
	{name: "many nodes, all restart", manyNodes: true, popular: true, allRestart: true, overload: 3},
	{name: "many nodes, restarts", manyNodes: true, popular: true, restarts: true, faults: true, overload: 3},
}
