package policy

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// Tests of what a node in slow start gets from all schedulers together, none of which knows what another sends.

var slowStartSeeds = flag.Int("coldseeds", 1, "seeds of each fleet in TestColdNodeSumOverTheFleet")

// slowStartCase is one fleet whose shard 0 loses its node and gets a cold one in its place.
type slowStartCase struct {
	name      string
	hosts     int
	coldUnits float64
	multiple  float64 // OverloadMultiple
	strength  float64 // of the node, in that of the weakest which the settings allow
	uneven    bool    // one scheduler has most of the traffic
	popular   bool    // all schedulers work with the node in slow start, and each with few others
	idle      bool    // no traffic on the node in slow start until the burst
	burst     float64 // times the usual traffic
	overload  float64 // times the usual traffic from the node in slow start's start on
	volley    bool    // every scheduler asks at once, in the middle of the cold span
	restarts  bool    // the schedulers restart, one after another, all within the cold span
	forget    bool    // the schedulers start when the node does: no scheduler knows anything
	faults    bool    // lost answers, failed connects, hedges, clients that come again
	large     bool    // one request in five is six times the others
	late      bool    // the list's word takes up to half of the cold span
	many      bool    // the nodes of all other shards start with it, and each scheduler reads all shards
	silent    bool    // the node falls silent and returns under its id, the list says so late
}

// slowStartResult is what came to the node in slow start, and what it carried.
type slowStartResult struct {
	load    float64 // most within a window, as a part of the bound
	sent    int     // requests that came to it
	carried float64 // units served in time, as a part of what was asked and it could do
	until   float64 // seconds until it first carried six tenths of that for a second
}

type slowStartSimulation struct {
	slowStartCase
	t            *testing.T
	set          Settings
	rng          *rand.Rand
	now          float64
	sequence     int
	events       eventQueue
	hosts        []*Scheduler
	notified     []bool
	incarnations []int
	coldSince    float64 // start of the node in slow start; 0: the warm one serves
	gone         bool
	list         []Node
	freeAt       [2]float64
	requests     map[string]*slowStartRequest
	sent         []timedUnits // at the node in slow start
	served       map[int]float64
	asked        map[int]float64
	result       slowStartResult
}

type slowStartRequest struct {
	host, incarnation, attempts int
	objectiveAt, units          float64
	cold                        bool // asks for the node in slow start's shard
	ended                       bool
	isRetry                     bool
}

const (
	warmPhaseMs     = 10e3   // the warm node serves
	outageMs        = 2000.0 // nobody serves
	slowStartShards = 40
)

func newSlowStartSimulation(t *testing.T, c slowStartCase, seed int64) *slowStartSimulation {
	set := Settings{Schedulers: c.hosts, MeanUnits: 2, MaxUnits: 6, SlowStartUnits: c.coldUnits, MaxAttempts: 4, MaxRetryAfter: 1000,
		SendsRetryAfter: true, MayCancel: true, MayHedge: true, DrainGrace: 250, PollWithin: 10000, SlowStartShare: 0.24, SlowStartDuration: 12000,
		OverloadMultiple: c.multiple, OverloadWindow: 3000, Shards: slowStartShards,
		Classes: []Class{{Name: "safe", LatencyObjective: 250, Deadline: 1500, PriorityWeight: 3, LatePriorityWeight: 0.1},
			{Name: "once", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 2, LatePriorityWeight: 0.1, Effect: NonIdempotent}},
		Plans: []Plan{{Name: "p", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1}}}
	w := &slowStartSimulation{slowStartCase: c, t: t, set: set, rng: rand.New(rand.NewSource(seed)), requests: map[string]*slowStartRequest{},
		served: map[int]float64{}, asked: map[int]float64{}, now: 1e6,
		notified: make([]bool, c.hosts), incarnations: make([]int, c.hosts), hosts: make([]*Scheduler, c.hosts)}
	for i := range slowStartShards {
		w.list = append(w.list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1})
	}
	return w
}

func (w *slowStartSimulation) after(wait float64, do func()) {
	w.sequence++
	heap.Push(&w.events, simulatedEvent{w.now + wait, w.sequence, do})
}

// start starts a process of a scheduler, which knows the list only.
func (w *slowStartSimulation) start(h int) {
	set := w.set
	set.Instance = h
	w.incarnations[h]++
	s, err := New(set, w.rng.Int63())
	if err != nil {
		w.t.Fatal(err)
	}
	w.hosts[h] = s
	w.step(h, Event{Kind: CachedListLoaded, Nodes: w.list})
}

func (w *slowStartSimulation) step(h int, evs ...Event) {
	life := w.incarnations[h]
	for _, a := range w.hosts[h].Step(w.now, evs, nil) {
		switch a.Kind {
		case SetTimer:
			if a.Tag != heartbeatTimer {
				w.after(math.Max(a.Wait, 1), func() {
					if w.incarnations[h] == life {
						w.step(h, Event{Kind: TimerFired, Tag: a.Tag})
					}
				})
			}
		case Reject, Fail:
			r := w.requests[a.ID]
			r.ended = true
			if w.faults && r.cold && !r.isRetry && a.Kind == Reject {
				w.after(a.Wait, func() { w.arrive(h, 0, r.units, true) })
			}
		case Send:
			w.send(h, a)
		case Cancel: // the node works on
			w.endAttempt(slowStartAttempt{h, life, a.ID, a.Attempt}, Cancelled, 1)
		case CheckHealth:
			w.t.Errorf("scheduler %d probes %s: probes are not in the books", h, a.Node)
		}
	}
}

// slowStartAttempt is one attempt of a request, by one process of a scheduler.
type slowStartAttempt struct {
	scheduler, incarnation int
	id                     string
	number                 int
}

// endAttempt ends an attempt after a wait, unless the scheduler has restarted since.
func (w *slowStartSimulation) endAttempt(a slowStartAttempt, status Status, wait float64) {
	sentAt := w.now
	w.after(wait, func() {
		r := w.requests[a.id]
		if w.incarnations[a.scheduler] != a.incarnation {
			return
		}
		if status == OK {
			if r.cold && !r.ended && w.now <= r.objectiveAt {
				w.served[int(w.now/1000)] += r.units
			}
			r.ended = true
		}
		w.step(a.scheduler, Event{Kind: AttemptEnded, ID: a.id, Attempt: a.number, Status: status, Latency: w.now - sentAt, Finished: r.ended})
	})
}

// speed is what the node of shard 0 does, units a millisecond.
func (w *slowStartSimulation) speed() float64 {
	weakest := w.coldUnits / (w.multiple * w.set.OverloadWindow * w.set.SlowStartShare)
	return w.strength * weakest * w.power()
}

func (w *slowStartSimulation) power() float64 {
	if w.coldSince == 0 {
		return 1
	}
	return math.Min(1, w.set.SlowStartShare+(1-w.set.SlowStartShare)*(w.now-w.coldSince)/w.set.SlowStartDuration)
}

func (w *slowStartSimulation) send(h int, a Action) {
	r, life := w.requests[a.ID], w.incarnations[h]
	no := r.attempts
	r.attempts++
	if a.Node != "n0" && a.Node != "m0" {
		w.endAttempt(slowStartAttempt{h, life, a.ID, no}, OK, 5)
		return
	}
	if w.gone || a.Node == "n0" && w.coldSince > 0 && !w.silent {
		w.endAttempt(slowStartAttempt{h, life, a.ID, no}, ConnectFailed, 1)
		return
	}
	if w.coldSince > 0 {
		w.count(r.units, w.notified[h])
	}
	chance := 1.0
	if w.faults {
		chance = w.rng.Float64()
	}
	if chance < 0.02 {
		w.endAttempt(slowStartAttempt{h, life, a.ID, no}, ConnectFailed, 1)
		return
	}
	k := 0
	if w.freeAt[1] < w.freeAt[0] {
		k = 1
	}
	if w.freeAt[k]-w.now > 1500 {
		w.endAttempt(slowStartAttempt{h, life, a.ID, no}, NodeFull, 1)
		return
	}
	w.freeAt[k] = math.Max(w.now, w.freeAt[k]) + r.units*(0.5+w.rng.Float64())*2/w.speed()
	if chance < 0.05 {
		return // its answer is lost
	}
	w.endAttempt(slowStartAttempt{h, life, a.ID, no}, OK, w.freeAt[k]-w.now+1)
}

// count adds a request of a scheduler that was notified of the start to the window, also one that does
// not run in the end.
func (w *slowStartSimulation) count(units float64, told bool) {
	if !told || w.now-w.coldSince > w.set.SlowStartDuration {
		return
	}
	w.sent = append(w.sent, timedUnits{w.now, units})
	w.result.sent++
	sum := sumUnitsSince(&w.sent, w.now-w.set.OverloadWindow) / w.set.MeanUnits
	n := w.multiple * w.speed() * w.set.OverloadWindow / w.set.MeanUnits
	bound := n + 2*math.Sqrt(n) + 2
	if w.slowStartCase.hosts < 30 {
		bound = n + 3*math.Sqrt(n) + 3
	}
	w.result.load = math.Max(w.result.load, sum/bound)
}

func (w *slowStartSimulation) arrive(h, shard int, units float64, again bool) {
	w.sequence++
	k := w.set.Classes[w.sequence%2]
	id := fmt.Sprint("q", w.sequence)
	w.requests[id] = &slowStartRequest{host: h, incarnation: w.incarnations[h], objectiveAt: w.now + k.LatencyObjective, units: units, isRetry: again, cold: shard == 0}
	if shard == 0 && !again {
		w.asked[int(w.now/1000)] += units
	}
	w.step(h, Event{Kind: RequestArrived, Request: Request{ID: id, Class: k.Name, Plan: "p", Key: id, Volume: fmt.Sprint("v", h%20),
		Deadline: w.now + k.Deadline, Units: units, Shard: shard, Schedulers: 1}})
}

// sharer draws a scheduler that works with the node in slow start.
func (w *slowStartSimulation) sharer() int {
	n := w.slowStartCase.hosts
	switch {
	case w.uneven && w.rng.Float64() < 0.8:
		return 0
	case w.popular:
		return w.rng.Intn(n)
	}
	return w.rng.Intn(max(1, min(n, n/6+2))) // a part of a large fleet
}

func (w *slowStartSimulation) traffic(start float64) {
	usual := 0.8 * w.strength * w.coldUnits / (w.multiple * w.set.OverloadWindow * w.set.SlowStartShare) / w.set.MeanUnits
	rate := usual
	begun := start + w.set.SlowStartDuration*0.3
	switch age := w.now - start; {
	case w.now > begun && w.now < begun+3000 && w.burst > 0:
		rate *= w.burst
	case w.overload > 0 && age > -outageMs:
		rate *= w.overload
	case w.idle && age > -outageMs:
		rate /= 100
	}
	w.arrive(w.sharer(), 0, w.units(), false)
	w.after(w.rng.ExpFloat64()/rate, func() { w.traffic(start) })
}

// units draws the size of a request; the mean is the settings' own.
func (w *slowStartSimulation) units() float64 {
	switch {
	case !w.large:
		return float64(1 + w.rng.Intn(3))
	case w.rng.Intn(5) == 0:
		return 6
	}
	return 1
}

// others names other shards, so that the schedulers learn how many they work with.
func (w *slowStartSimulation) others(h int) {
	few := slowStartShards / 6
	if w.popular {
		few = 1
	}
	if w.many {
		few = slowStartShards - 1
	}
	w.arrive(h, 1+(h+w.rng.Intn(few))%(slowStartShards-1), 1, false)
	w.after(w.rng.ExpFloat64()*8000/float64(few), func() { w.others(h) })
}

// swap puts the node in slow start into the place of the warm one.
func (w *slowStartSimulation) swap() {
	w.gone, w.coldSince, w.freeAt = false, w.now, [2]float64{}
	n := Node{ID: "m0", Shard: 0, Weight: 1, StartTime: w.now}
	old := Node{ID: "n0", Shard: 0, Weight: 1, State: NodeRemoved}
	changes := []Node{old, n}
	if w.silent {
		n.ID = "n0"
		changes = []Node{n}
	}
	list := append([]Node{n}, w.list[1:]...)
	if w.many {
		for i := range list[1:] {
			list[1+i].StartTime = w.now
		}
		changes = append(changes, list[1:]...)
	}
	for h := range w.hosts {
		most := 2000.0
		if w.late {
			most = w.set.SlowStartDuration / 2
		}
		w.after(w.rng.Float64()*most, func() {
			w.notified[h] = true
			w.step(h, Event{Kind: ListChanged, Nodes: changes})
		})
	}
	if w.restarts { // all within one span, twice
		for i, h := range w.rng.Perm(len(w.hosts)) {
			for _, from := range []float64{2500, 7000} {
				w.after(from+float64(i)*w.set.OverloadWindow/float64(len(w.hosts)), func() {
					w.list, w.notified[h] = list, true
					w.start(h)
				})
			}
		}
	}
}

func (w *slowStartSimulation) run() slowStartResult {
	begin := w.now
	start := begin + warmPhaseMs + outageMs
	for h := range w.hosts {
		w.start(h)
		w.after(w.rng.Float64()*8000, func() { w.others(h) })
	}
	w.after(0, func() { w.traffic(start) })
	w.after(warmPhaseMs, func() { w.gone = true })
	w.after(warmPhaseMs+outageMs, func() {
		if w.forget {
			for h := range w.hosts {
				w.start(h)
			}
		}
		w.swap()
	})
	if w.volley {
		w.after(start+w.set.SlowStartDuration*0.6-begin, func() {
			for h := range w.hosts {
				for range 3 {
					w.arrive(h, 0, w.units(), false)
				}
			}
		})
	}
	for end := start + w.set.SlowStartDuration + 4000; w.events[0].at < end; {
		d := heap.Pop(&w.events).(simulatedEvent)
		w.now = d.at
		d.do()
	}
	w.carry(start)
	return w.result
}

// carry sums what the node carried of what was asked and it could do, and when it first did.
func (w *slowStartSimulation) carry(start float64) {
	served, could := 0.0, 0.0
	w.result.until = (w.set.SlowStartDuration + 4000) / 1000
	for sec := int(start / 1000); sec < int((start+w.set.SlowStartDuration)/1000); sec++ {
		w.now = float64(sec)*1000 + 500
		least := math.Min(w.asked[sec], w.speed()*1000)
		served, could = served+w.served[sec], could+least
	}
	for sec := int(start / 1000); sec < int((start+w.set.SlowStartDuration)/1000)+4; sec++ {
		w.now = float64(sec)*1000 + 500
		if least := math.Min(w.asked[sec], w.speed()*1000); least > 0 && w.served[sec] >= 0.6*least {
			w.result.until = math.Max(0, float64(sec)+1-start/1000)
			break
		}
	}
	w.result.carried = served / math.Max(could, 1e-9)
}

// coldSettings are the units that a node which has just come up bears, the multiple of its capacity that
// they are, and how strong the node is: as weak as the settings allow, or as common ones are.
var coldSettings = []struct{ units, multiple, strength float64 }{{7, 3, 2}, {27, 2, 1}, {39, 3, 3}, {200, 2, 1}, {300, 2.5, 1}, {400, 3, 2}}

var coldCases = []slowStartCase{
	{name: "even"},
	{name: "uneven", uneven: true},
	{name: "popular", popular: true},
	{name: "burst", burst: 4},
	{name: "idle, then a burst", idle: true, burst: 10, popular: true},
	{name: "volley", volley: true},
	{name: "idle, then a volley", idle: true, volley: true},
	{name: "overload", overload: 5},
	{name: "popular overload", popular: true, overload: 5},
	{name: "large requests", large: true, popular: true, overload: 3},
	{name: "restarts", restarts: true, faults: true, overload: 3},
	{name: "popular restarts", restarts: true, popular: true, faults: true, overload: 3},
	{name: "all start", forget: true, overload: 3},
	{name: "all start, popular", forget: true, popular: true, overload: 5},
	{name: "all start, then a volley", forget: true, popular: true, idle: true, volley: true},
	{name: "told late", late: true, popular: true, overload: 3},
	{name: "faults", faults: true, burst: 3},
	{name: "silent", silent: true, faults: true, overload: 3},
	{name: "many", many: true, popular: true},
	{name: "many, then a burst", many: true, popular: true, burst: 4},
	{name: "many, overload", many: true, popular: true, overload: 3},
	{name: "many, all start", many: true, popular: true, forget: true, overload: 3},
	{name: "many, restarts", many: true, popular: true, restarts: true, faults: true, overload: 3},
}
