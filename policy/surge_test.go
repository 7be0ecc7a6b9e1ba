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
	surgeWorkers    = 2     // requests that a node serves at once
	surgeWorkMs     = 120.0 // mean work of a request
	surgeCalmMs     = 5e3   // the surge comes after this
	surgeMs         = 10e3
	surgeEndMs      = 17e3
	surgePerVolume  = 3                                       // schedulers through which a volume's requests come
	surgeCapacity   = surgeNodes * surgeWorkers / surgeWorkMs // requests a millisecond
)

// surgeSimulation is a fleet of schedulers that each hear little of any node: a calm time, then a surge.
// The nodes serve in turn, and work on what was cancelled.
type surgeSimulation struct {
	t            *testing.T
	set          Settings
	rng          *rand.Rand
	now          float64
	times        float64 // load of the surge, in that of the calm time
	events       eventQueue
	scheduled    int
	freeAt       [surgeNodes][surgeWorkers]float64
	schedulers   []*Scheduler
	requests     map[string]*surgeRequest
	arrived      int
	timely, late float64 // requests that were served in the surge
}

type surgeRequest struct {
	objective float64
	arrivedAt float64
	attempts  int
	ended     bool
}

// runSurge returns the shares of what the nodes could do in the surge that were answered in time, and
// late.
func runSurge(t *testing.T, seed int64, times float64) (timely, late float64) {
	w := newSurge(t, seed, times)
	w.after(0, w.arrive)
	for len(w.events) > 0 && w.events[0].at < surgeEndMs {
		event := heap.Pop(&w.events).(simulatedEvent)
		w.now = event.at
		event.do()
	}
	return w.timely / (surgeMs * surgeCapacity), w.late / (surgeMs * surgeCapacity)
}

func newSurge(t *testing.T, seed int64, times float64) *surgeSimulation {
	set := testSettings()
	set.Schedulers, set.Shards, set.MeanUnits, set.MaxUnits = surgeSchedulers, surgeNodes, 1, 1
	set.MayCancel, set.MaxAttempts = true, 3
	set.Classes = []Class{{Name: "safe", LatencyObjective: 1400, Deadline: 3000, PriorityWeight: 3},
		{Name: "once", LatencyObjective: 1700, Deadline: 3000, PriorityWeight: 2, Effect: NonIdempotent}}
	reservedRate := 400 * surgeCapacity / (surgeSchedulers / surgePerVolume)
	set.Plans = []Plan{{Name: "p", Rate: 1, ReservedRate: reservedRate, Weight: 1, Price: 1}}
	w := &surgeSimulation{t: t, set: set, rng: rand.New(rand.NewSource(seed)), times: times, requests: map[string]*surgeRequest{}}
	var list []Node
	for i := range surgeNodes {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1})
	}
	for i := range surgeSchedulers {
		set.Instance = i
		s, err := New(set, seed*1000+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		w.schedulers = append(w.schedulers, s)
		w.step(s, Event{Kind: CachedListLoaded, Nodes: list})
	}
	return w
}

func (w *surgeSimulation) isSurge() bool { return w.now > surgeCalmMs && w.now < surgeCalmMs+surgeMs }

func (w *surgeSimulation) after(wait float64, do func()) {
	w.scheduled++
	heap.Push(&w.events, simulatedEvent{w.now + wait, w.scheduled, do})
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

// serve has the node's first free worker do the work of an attempt.
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
		w.timely++
	} else {
		w.late++
	}
}

func (w *surgeSimulation) arrive() {
	w.arrived++
	volume, class := w.rng.Intn(surgeSchedulers/surgePerVolume), w.set.Classes[w.arrived%2]
	s := w.schedulers[surgePerVolume*volume+w.rng.Intn(surgePerVolume)]
	id := fmt.Sprint("q", w.arrived)
	w.requests[id] = &surgeRequest{objective: class.LatencyObjective, arrivedAt: w.now}
	w.step(s, Event{Kind: RequestArrived, Request: Request{ID: id, Class: class.Name, Plan: "p", Key: "k" + id,
		Volume: fmt.Sprint("v", volume), Deadline: w.now + class.Deadline, Units: 1, Shard: w.rng.Intn(surgeNodes),
		Schedulers: surgePerVolume}})
	rate := 0.5 * surgeCapacity
	if w.isSurge() {
		rate *= w.times
	}
	w.after(w.rng.ExpFloat64()/rate, w.arrive)
}

// Where each scheduler hears of a node less often than its queue grows, the queue must not become as long
// as the requests' objectives: in a surge the nodes would work for clients that have disconnected. At
// their capacity the nodes are still used.
func TestSurgeOverSparseSchedulers(t *testing.T) {
	for _, c := range []struct{ times, timely, late float64 }{{2, 0.80, 0.01}, {4, 0.70, 0.20}} {
		timely, late := runSurge(t, 1, c.times)
		t.Logf("%.0f times the calm load: %.17g in time, %.17g late", c.times, timely, late)
		if timely < c.timely || late > c.late {
			t.Errorf("%.0f times the calm load: %.3f in time, %.3f late of what the nodes can do; want %.2f and %.2f", c.times, timely, late, c.timely, c.late)
		}
	}
}
