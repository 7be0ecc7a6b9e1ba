package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

const (
	surgeSchedulers          = 150
	surgeNodes               = 75
	surgeWorkers             = 2     // requests that a node serves in parallel
	surgeWorkMs              = 120.0 // mean work of a request
	surgeCalmMs              = 5e3   // duration of the calm time before the surge
	surgeMs                  = 10e3
	surgeEndMs               = 17e3
	surgeSchedulersPerVolume = 3                                       // schedulers through which a volume's requests come
	surgeCapacity            = surgeNodes * surgeWorkers / surgeWorkMs // requests per millisecond
)

// surgeSimulation simulates a calm time and a surge, with many schedulers that each get few answers from a node. The nodes
// serve requests in order, and do not stop the work on cancelled ones.
type surgeSimulation struct {
	t                        *testing.T
	settings                 Settings
	rng                      *rand.Rand
	now                      float64
	loadFactor               float64 // load of the surge as a multiple of the load in the calm time
	events                   eventQueue
	eventSequence            int
	freeAt                   [surgeNodes][surgeWorkers]float64
	schedulers               []*Scheduler
	requests                 map[string]*surgeRequest
	requestSequence          int
	servedInTime, servedLate float64 // requests that were served during the surge
}

type surgeRequest struct {
	objective float64
	arrivedAt float64
	attempts  int
	ended     bool
}

// runSurge returns the requests that were answered in time and late during the surge, as shares of the number that the
// nodes could serve.
func runSurge(t *testing.T, seed int64, loadFactor float64) (inTime, late float64) {
	sim := newSurgeSimulation(t, seed, loadFactor)
	sim.after(0, sim.arrive)
	for len(sim.events) > 0 && sim.events[0].at < surgeEndMs {
		event := heap.Pop(&sim.events).(simulatedEvent)
		sim.now = event.at
		event.run()
	}
	return sim.servedInTime / (surgeMs * surgeCapacity), sim.servedLate / (surgeMs * surgeCapacity)
}

func newSurgeSimulation(t *testing.T, seed int64, loadFactor float64) *surgeSimulation {
	settings := testSettings()
	settings.Schedulers, settings.Shards, settings.MeanUnits, settings.MaxUnits = surgeSchedulers, surgeNodes, 1, 1
	settings.MayCancel, settings.MaxAttempts = true, 3
	settings.Classes = []Class{{Name: "safe", LatencyObjective: 1400, Deadline: 3000, PriorityWeight: 3},
		{Name: "once", LatencyObjective: 1700, Deadline: 3000, PriorityWeight: 2, Effect: NonIdempotent}}
	reservedRate := 400 * surgeCapacity / (surgeSchedulers / surgeSchedulersPerVolume)
	settings.Plans = []Plan{{Name: "p", Rate: 1, ReservedRate: reservedRate, Weight: 1, Price: 1}}
	sim := &surgeSimulation{t: t, settings: settings, rng: rand.New(rand.NewSource(seed)), loadFactor: loadFactor, requests: map[string]*surgeRequest{}}
	var list []Node
	for i := range surgeNodes {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1})
	}
	for i := range surgeSchedulers {
		settings.Instance = i
		s, err := New(settings, seed*1000+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		sim.schedulers = append(sim.schedulers, s)
		sim.step(s, Event{Kind: CachedListLoaded, Nodes: list})
	}
	return sim
}

func (sim *surgeSimulation) isSurge() bool {
	return sim.now > surgeCalmMs && sim.now < surgeCalmMs+surgeMs
}

func (sim *surgeSimulation) after(wait float64, do func()) {
	sim.eventSequence++
	heap.Push(&sim.events, simulatedEvent{sim.now + wait, sim.eventSequence, do})
}

func (sim *surgeSimulation) step(s *Scheduler, events ...Event) {
	for _, a := range s.Step(sim.now, events, nil) {
		switch a.Kind {
		case SetTimer:
			sim.after(math.Max(a.Wait, 1), func() { sim.step(s, Event{Kind: TimerFired, Tag: a.Tag}) })
		case Reject, Fail:
			sim.requests[a.ID].ended = true
		case Send:
			sim.serve(s, a)
		case Cancel:
			sim.after(1, func() {
				sim.step(s, Event{Kind: AttemptEnded, ID: a.ID, Attempt: a.Attempt, Status: Cancelled, Finished: sim.requests[a.ID].ended})
			})
		}
	}
}

// serve assigns an attempt to the worker of the node that is free first.
func (sim *surgeSimulation) serve(s *Scheduler, a Action) {
	r := sim.requests[a.ID]
	attempt, sentAt := r.attempts, sim.now
	r.attempts++
	var index int
	if _, err := fmt.Sscanf(a.Node, "n%d", &index); err != nil {
		sim.t.Fatal(err)
	}
	workers := &sim.freeAt[index]
	worker := 0
	if workers[1] < workers[0] {
		worker = 1
	}
	workers[worker] = math.Max(sim.now, workers[worker]) + sim.rng.ExpFloat64()*surgeWorkMs
	sim.after(workers[worker]-sim.now, func() {
		sim.countServed(r)
		sim.step(s, Event{Kind: AttemptEnded, ID: a.ID, Attempt: attempt, Node: a.Node, Status: OK, Latency: sim.now - sentAt, Finished: true})
	})
}

func (sim *surgeSimulation) countServed(r *surgeRequest) {
	isFirst := !r.ended
	r.ended = true
	if !isFirst || !sim.isSurge() {
		return
	}
	if sim.now-r.arrivedAt <= r.objective {
		sim.servedInTime++
	} else {
		sim.servedLate++
	}
}

func (sim *surgeSimulation) arrive() {
	sim.requestSequence++
	volume, class := sim.rng.Intn(surgeSchedulers/surgeSchedulersPerVolume), sim.settings.Classes[sim.requestSequence%2]
	s := sim.schedulers[surgeSchedulersPerVolume*volume+sim.rng.Intn(surgeSchedulersPerVolume)]
	id := fmt.Sprint("q", sim.requestSequence)
	sim.requests[id] = &surgeRequest{objective: class.LatencyObjective, arrivedAt: sim.now}
	sim.step(s, Event{Kind: RequestArrived, Request: Request{ID: id, Class: class.Name, Plan: "p", Key: "k" + id,
		Volume: fmt.Sprint("v", volume), Deadline: sim.now + class.Deadline, Units: 1, Shard: sim.rng.Intn(surgeNodes),
		Schedulers: surgeSchedulersPerVolume}})
	rate := 0.5 * surgeCapacity
	if sim.isSurge() {
		rate *= sim.loadFactor
	}
	sim.after(sim.rng.ExpFloat64()/rate, sim.arrive)
}

// If each scheduler gets answers from a node more slowly than the node's queue grows, the queue must still stay shorter
// than the latency objectives. Otherwise the nodes would work for disconnected clients during a surge. The nodes must also
// still be used to most of their capacity.
func TestSurgeWithFewAnswersPerScheduler(t *testing.T) {
	for _, tc := range []struct{ times, inTime, late float64 }{{2, 0.80, 0.01}, {4, 0.70, 0.20}} {
		inTime, late := runSurge(t, 1, tc.times)
		t.Logf("%.0f times the calm load: %.17g in time, %.17g late", tc.times, inTime, late)
		if inTime < tc.inTime || late > tc.late {
			t.Errorf("%.0f times the calm load: %.3f of the capacity served in time, %.3f late; want at least %.2f and at most %.2f", tc.times, inTime, late, tc.inTime, tc.late)
		}
	}
}
