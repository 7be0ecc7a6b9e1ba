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
	nodeSpeedFactor  float64 // speed of the node as a multiple of the lowest speed that the settings allow
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
		SendsRetryAfter: true, MayCancel: true, MayHedge: true, DrainGrace: 250, ListStalenessBound: 10000, SlowStartShare: 0.24, SlowStartDuration: 12000,
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

func (sim *slowStartSimulation) after(wait float64, do func()) {
	sim.sequence++
	heap.Push(&sim.events, simulatedEvent{sim.now + wait, sim.sequence, do})
}

// start starts a new process of a scheduler, which knows only the list.
func (sim *slowStartSimulation) start(scheduler int) {
	settings := sim.settings
	settings.Instance = scheduler
	sim.incarnations[scheduler]++
	s, err := New(settings, sim.rng.Int63())
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.schedulers[scheduler] = s
	sim.step(scheduler, Event{Kind: CachedListLoaded, Nodes: sim.list})
}

func (sim *slowStartSimulation) step(scheduler int, events ...Event) {
	incarnation := sim.incarnations[scheduler]
	for _, a := range sim.schedulers[scheduler].Step(sim.now, events, nil) {
		switch a.Kind {
		case SetTimer:
			if a.Tag != heartbeatTimer {
				sim.after(math.Max(a.Wait, 1), func() {
					if sim.incarnations[scheduler] == incarnation {
						sim.step(scheduler, Event{Kind: TimerFired, Tag: a.Tag})
					}
				})
			}
		case Reject, Fail:
			r := sim.requests[a.ID]
			r.ended = true
			if sim.faults && r.forSlowStartNode && !r.isRetry && a.Kind == Reject {
				sim.after(a.Wait, func() { sim.arrive(scheduler, 0, r.units, true) })
			}
		case Send:
			sim.send(scheduler, a)
		case Cancel: // the node does not stop its work
			sim.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, a.Attempt}, Cancelled, 1)
		case CheckHealth:
			sim.t.Errorf("scheduler %d sends a health check to %s, which the simulation does not count", scheduler, a.Node)
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
func (sim *slowStartSimulation) endAttempt(a slowStartAttempt, status Status, wait float64) {
	sentAt := sim.now
	sim.after(wait, func() {
		r := sim.requests[a.id]
		if sim.incarnations[a.scheduler] != a.incarnation {
			return
		}
		if status == OK {
			if r.forSlowStartNode && !r.ended && sim.now <= r.objectiveAt {
				sim.servedBySecond[int(sim.now/1000)] += r.units
			}
			r.ended = true
		}
		sim.step(a.scheduler, Event{Kind: AttemptEnded, ID: a.id, Attempt: a.number, Status: status, Latency: sim.now - sentAt, Finished: r.ended})
	})
}

// speed returns the current speed of the node of shard 0 in units per millisecond.
func (sim *slowStartSimulation) speed() float64 {
	minSpeed := sim.slowStartUnits / (sim.overloadMultiple * sim.settings.OverloadWindow * sim.settings.SlowStartShare)
	return sim.nodeSpeedFactor * minSpeed * sim.speedShare()
}

func (sim *slowStartSimulation) speedShare() float64 {
	if sim.slowStartSince == 0 {
		return 1
	}
	return math.Min(1, sim.settings.SlowStartShare+(1-sim.settings.SlowStartShare)*(sim.now-sim.slowStartSince)/sim.settings.SlowStartDuration)
}

func (sim *slowStartSimulation) send(scheduler int, a Action) {
	r, incarnation := sim.requests[a.ID], sim.incarnations[scheduler]
	number := r.attempts
	r.attempts++
	if a.Node != "n0" && a.Node != "m0" {
		sim.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, OK, 5)
		return
	}
	if sim.nodeDown || a.Node == "n0" && sim.slowStartSince > 0 && !sim.nodeSilent {
		sim.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, ConnectFailed, 1)
		return
	}
	if sim.slowStartSince > 0 {
		sim.recordLoad(r.units, sim.notified[scheduler])
	}
	chance := 1.0
	if sim.faults {
		chance = sim.rng.Float64()
	}
	if chance < 0.02 {
		sim.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, ConnectFailed, 1)
		return
	}
	worker := 0
	if sim.freeAt[1] < sim.freeAt[0] {
		worker = 1
	}
	if sim.freeAt[worker]-sim.now > 1500 {
		sim.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, NodeFull, 1)
		return
	}
	sim.freeAt[worker] = math.Max(sim.now, sim.freeAt[worker]) + r.units*(0.5+sim.rng.Float64())*2/sim.speed()
	if chance < 0.05 {
		return // the answer is lost
	}
	sim.endAttempt(slowStartAttempt{scheduler, incarnation, a.ID, number}, OK, sim.freeAt[worker]-sim.now+1)
}

// recordLoad adds a request to the load within OverloadWindow if the list has notified its scheduler of the node's start.
// Requests that do not run in the end count as well.
func (sim *slowStartSimulation) recordLoad(units float64, notified bool) {
	if !notified || sim.now-sim.slowStartSince > sim.settings.SlowStartDuration {
		return
	}
	sim.recentUnits = append(sim.recentUnits, timedUnits{sim.now, units})
	sim.result.requests++
	sum := sumUnitsSince(&sim.recentUnits, sim.now-sim.settings.OverloadWindow) / sim.settings.MeanUnits
	capacity := sim.overloadMultiple * sim.speed() * sim.settings.OverloadWindow / sim.settings.MeanUnits
	bound := capacity + 2*math.Sqrt(capacity) + 2
	if sim.slowStartCase.schedulerCount < 30 {
		bound = capacity + 3*math.Sqrt(capacity) + 3
	}
	sim.result.maxLoad = math.Max(sim.result.maxLoad, sum/bound)
}

func (sim *slowStartSimulation) arrive(scheduler, shard int, units float64, isRetry bool) {
	sim.sequence++
	class := sim.settings.Classes[sim.sequence%2]
	id := fmt.Sprint("q", sim.sequence)
	sim.requests[id] = &slowStartRequest{scheduler: scheduler, incarnation: sim.incarnations[scheduler], objectiveAt: sim.now + class.LatencyObjective, units: units, isRetry: isRetry, forSlowStartNode: shard == 0}
	if shard == 0 && !isRetry {
		sim.requestedBySecond[int(sim.now/1000)] += units
	}
	sim.step(scheduler, Event{Kind: RequestArrived, Request: Request{ID: id, Class: class.Name, Plan: "p", Key: id, Volume: fmt.Sprint("v", scheduler%20),
		Deadline: sim.now + class.Deadline, Units: units, Shard: shard, Schedulers: 1}})
}

// pickScheduler selects a random scheduler that sends requests to the node in slow start.
func (sim *slowStartSimulation) pickScheduler() int {
	n := sim.slowStartCase.schedulerCount
	switch {
	case sim.uneven && sim.rng.Float64() < 0.8:
		return 0
	case sim.popular:
		return sim.rng.Intn(n)
	}
	return sim.rng.Intn(max(1, min(n, n/6+2))) // a share of a large fleet
}

func (sim *slowStartSimulation) sendTraffic(start float64) {
	baseRate := 0.8 * sim.nodeSpeedFactor * sim.slowStartUnits / (sim.overloadMultiple * sim.settings.OverloadWindow * sim.settings.SlowStartShare) / sim.settings.MeanUnits
	rate := baseRate
	burstStart := start + sim.settings.SlowStartDuration*0.3
	switch age := sim.now - start; {
	case sim.now > burstStart && sim.now < burstStart+3000 && sim.burst > 0:
		rate *= sim.burst
	case sim.overload > 0 && age > -outageMs:
		rate *= sim.overload
	case sim.idleBefore && age > -outageMs:
		rate /= 100
	}
	sim.arrive(sim.pickScheduler(), 0, sim.drawUnits(), false)
	sim.after(sim.rng.ExpFloat64()/rate, func() { sim.sendTraffic(start) })
}

// drawUnits returns a random request size. Its mean is that of the settings.
func (sim *slowStartSimulation) drawUnits() float64 {
	switch {
	case !sim.largeRequests:
		return float64(1 + sim.rng.Intn(3))
	case sim.rng.Intn(5) == 0:
		return 6
	}
	return 1
}

// readOtherShards adds requests for other shards, so that the schedulers can estimate how many shards they read.
func (sim *slowStartSimulation) readOtherShards(scheduler int) {
	shardCount := slowStartShards / 6
	if sim.popular {
		shardCount = 1
	}
	if sim.manyNodes {
		shardCount = slowStartShards - 1
	}
	sim.arrive(scheduler, 1+(scheduler+sim.rng.Intn(shardCount))%(slowStartShards-1), 1, false)
	sim.after(sim.rng.ExpFloat64()*8000/float64(shardCount), func() { sim.readOtherShards(scheduler) })
}

// replaceNode replaces the first node by the one in slow start.
func (sim *slowStartSimulation) replaceNode() {
	sim.nodeDown, sim.slowStartSince, sim.freeAt = false, sim.now, [2]float64{}
	n := Node{ID: "m0", Shard: 0, Weight: 1, StartTime: sim.now}
	old := Node{ID: "n0", Shard: 0, Weight: 1, State: NodeRemoved}
	changes := []Node{old, n}
	if sim.nodeSilent {
		n.ID = "n0"
		changes = []Node{n}
	}
	list := append([]Node{n}, sim.list[1:]...)
	if sim.manyNodes {
		for i := range list[1:] {
			list[1+i].StartTime = sim.now
		}
		changes = append(changes, list[1:]...)
	}
	for scheduler := range sim.schedulers {
		maxDelay := 2000.0
		if sim.listDelayed {
			maxDelay = sim.settings.SlowStartDuration / 2
		}
		sim.after(sim.rng.Float64()*maxDelay, func() {
			sim.notified[scheduler] = true
			sim.step(scheduler, Event{Kind: ListChanged, Nodes: changes})
		})
	}
	if sim.restarts { // all of them restart within OverloadWindow, twice
		for i, scheduler := range sim.rng.Perm(len(sim.schedulers)) {
			for _, from := range []float64{2500, 7000} {
				sim.after(from+float64(i)*sim.settings.OverloadWindow/float64(len(sim.schedulers)), func() {
					sim.list, sim.notified[scheduler] = list, true
					sim.start(scheduler)
				})
			}
		}
	}
}

func (sim *slowStartSimulation) run() slowStartResult {
	beginAt := sim.now
	start := beginAt + warmPhaseMs + outageMs
	for scheduler := range sim.schedulers {
		sim.start(scheduler)
		sim.after(sim.rng.Float64()*8000, func() { sim.readOtherShards(scheduler) })
	}
	sim.after(0, func() { sim.sendTraffic(start) })
	sim.after(warmPhaseMs, func() { sim.nodeDown = true })
	sim.after(warmPhaseMs+outageMs, func() {
		if sim.allRestart {
			for scheduler := range sim.schedulers {
				sim.start(scheduler)
			}
		}
		sim.replaceNode()
	})
	if sim.simultaneous {
		sim.after(start+sim.settings.SlowStartDuration*0.6-beginAt, func() {
			for scheduler := range sim.schedulers {
				for range 3 {
					sim.arrive(scheduler, 0, sim.drawUnits(), false)
				}
			}
		})
	}
	for end := start + sim.settings.SlowStartDuration + 4000; sim.events[0].at < end; {
		event := heap.Pop(&sim.events).(simulatedEvent)
		sim.now = event.at
		event.run()
	}
	sim.measureServedShare(start)
	return sim.result
}

// measureServedShare sums the units that the node served and those that it could have served, and finds the time until it
// first served enough of them.
func (sim *slowStartSimulation) measureServedShare(start float64) {
	served, possible := 0.0, 0.0
	sim.result.firstServedAfter = (sim.settings.SlowStartDuration + 4000) / 1000
	for second := int(start / 1000); second < int((start+sim.settings.SlowStartDuration)/1000); second++ {
		sim.now = float64(second)*1000 + 500
		expected := math.Min(sim.requestedBySecond[second], sim.speed()*1000)
		served, possible = served+sim.servedBySecond[second], possible+expected
	}
	for second := int(start / 1000); second < int((start+sim.settings.SlowStartDuration)/1000)+4; second++ {
		sim.now = float64(second)*1000 + 500
		if expected := math.Min(sim.requestedBySecond[second], sim.speed()*1000); expected > 0 && sim.servedBySecond[second] >= 0.6*expected {
			sim.result.firstServedAfter = math.Max(0, float64(second)+1-start/1000)
			break
		}
	}
	sim.result.servedShare = served / math.Max(possible, 1e-9)
}

// slowStartSettings are combinations of SlowStartUnits, OverloadMultiple and the speed of the node as a multiple of the
// lowest speed that the settings allow.
var slowStartSettings = []struct{ units, multiple, speedFactor float64 }{{7, 3, 2}, {27, 2, 1}, {39, 3, 3}, {200, 2, 1}, {300, 2.5, 1}, {400, 3, 2}}

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
