package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

const (
	surgeSchedulers = 150
	surgeNodes      = 75
	surgeWorkers    = 2     // requests that a node serves in parallel
	surgeWorkMs     = 120.0 // mean work of a request
	surgeCalmMs     = 5e3   // duration of the calm time before the surge
	surgeMs         = 10e3
	surgeEndMs      = 17e3
	surgePerVolume  = 3                                       // schedulers through which a volume's requests come
	surgeCapacity   = surgeNodes * surgeWorkers / surgeWorkMs // requests per millisecond
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
	reservedRate := 400 * surgeCapacity / (surgeSchedulers / surgePerVolume)
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

func (w *surgeSimulation) isSurge() bool { return w.now > surgeCalmMs && w.now < surgeCalmMs+surgeMs }

func (w *surgeSimulation) after(wait float64, do func()) {
	w.eventSequence++
	heap.Push(&w.events, simulatedEvent{w.now + wait, w.eventSequence, do})
}

func (w *surgeSimulation) step(s *Scheduler, events ...Event) {
	for _, a := range s.Step(w.now, events, nil) {
		switch a.Kind {
		case SetTimer:
			w.after(math.Max(a.Wait, 1), func() { w.step(s, Event{Kind: TimerFired, Tag: a.Tag}) })
		case Reject, Fail:
			w.requests[a.ID].ended = true
		case Send:
			w.serve(s, a)
		case Cancel:
			w.after(1, func() {
				w.step(s, Event{Kind: AttemptEnded, ID: a.ID, Attempt: a.Attempt, Status: Cancelled, Finished: w.requests[a.ID].ended})
			})
		}
	}
}

// serve assigns an attempt to the worker of the node that is free first.
func (w *surgeSimulation) serve(s *Scheduler, a Action) {
	r := w.requests[a.ID]
	attempt, sentAt := r.attempts, w.now
	r.attempts++
	var index int
	if _, err := fmt.Sscanf(a.Node, "n%d", &index); err != nil {
		w.t.Fatal(err)
	}
	workers := &w.freeAt[index]
	worker := 0
	if workers[1] < workers[0] {
		worker = 1
	}
	workers[worker] = math.Max(w.now, workers[worker]) + w.rng.ExpFloat64()*surgeWorkMs
	w.after(workers[worker]-w.now, func() {
		w.countServed(r)
		w.step(s, Event{Kind: AttemptEnded, ID: a.ID, Attempt: attempt, Node: a.Node, Status: OK, Latency: w.now - sentAt, Finished: true})
	})
}

func (w *surgeSimulation) countServed(r *surgeRequest) {
	isFirst := !r.ended
	r.ended = true
	if !isFirst || !w.isSurge() {
		return
	}
	if w.now-r.arrivedAt <= r.objective {
		w.servedInTime++
	} else {
		w.servedLate++
	}
}

func (w *surgeSimulation) arrive() {
	w.requestSequence++
	volume, class := w.rng.Intn(surgeSchedulers/surgePerVolume), w.settings.Classes[w.requestSequence%2]
	s := w.schedulers[surgePerVolume*volume+w.rng.Intn(surgePerVolume)]
	id := fmt.Sprint("q", w.requestSequence)
	w.requests[id] = &surgeRequest{objective: class.LatencyObjective, arrivedAt: w.now}
	w.step(s, Event{Kind: RequestArrived, Request: Request{ID: id, Class: class.Name, Plan: "p", Key: "k" + id,
		Volume: fmt.Sprint("v", volume), Deadline: w.now + class.Deadline, Units: 1, Shard: w.rng.Intn(surgeNodes),
		Schedulers: surgePerVolume}})
	rate := 0.5 * surgeCapacity
	if w.isSurge() {
		rate *= w.loadFactor
	}
	w.after(w.rng.ExpFloat64()/rate, w.arrive)
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
