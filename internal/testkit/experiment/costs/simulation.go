package costs

import (
	"container/heap"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wheatsaddle/internal/cost"
	"wheatsaddle/internal/nodestats"
)

// The simulated fleet. Times are milliseconds. A node has workers that process steps in order of arrival. The service time of
// a step is a linear function of its units, by the kind of the node, times the factor of the node, times a lognormal value.
const (
	processCount      = 8
	nodeCount         = 24
	nodesPerShard     = 3     // one of each kind
	workers           = 4     // of a node
	nodeSpread        = 0.15  // standard deviation of the logarithm of the factors of nodes
	serviceSpread     = 0.5   // standard deviation of a service time, relative to its mean
	homeShare         = 0.7   // share of a process's requests that goes to its two home shards; the others go to any shard
	requestsPerSecond = 100.0 // of each process
	maxUnits          = 8
	class             = "read"
)

// kinds are the kinds of nodes; the mean service time is level plus unit for each unit of the request.
var kinds = [nodesPerShard]struct {
	name        string
	level, unit float64
}{{"flash", 2, 0.5}, {"mixed", 4, 1}, {"disk", 7, 1.6}}

// event is an action at a time; order is the order of events at the same time.
type event struct {
	at     float64
	order  int
	action func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// node is one simulated storage node.
type node struct {
	kind   int
	factor float64
	freeAt [workers]float64 // time at which each worker has finished its steps
}

// meanServiceTime is the true mean service time of a request of so many units.
func (x *node) meanServiceTime(units float64) float64 {
	return (kinds[x.kind].level + kinds[x.kind].unit*units) * x.factor
}

// process is one scheduler: the state from its own answers, and the state that it exchanges with the others. Both use the
// daemon's implementation.
type process struct {
	ownState, sharedState *nodestats.State
	recorders             [nodeCount][2]*nodestats.Recorder
}

// simulation is the simulated fleet and its event loop.
type simulation struct {
	now       float64
	seq       int
	events    eventQueue
	rng       *rand.Rand
	gossipRNG *rand.Rand // order in which processes contact each other
	nodes     [nodeCount]node
	processes [processCount]process
}

// newSimulation draws the factors of the nodes and schedules the first request and the first gossip round of each process.
func newSimulation(seed uint64, opt Options) (*simulation, error) {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 24)), gossipRNG: rand.New(rand.NewPCG(seed, 25))}
	for i := range w.nodes {
		w.nodes[i] = node{kind: i % nodesPerShard, factor: math.Exp(nodeSpread * w.rng.NormFloat64())}
	}
	settings := nodestats.Defaults()
	settings.HalfLife, settings.ExpireAfter = opt.HalfLife, max(settings.ExpireAfter, opt.HalfLife)
	for p := range processCount {
		x := &w.processes[p]
		for i, s := range []**nodestats.State{&x.ownState, &x.sharedState} {
			var err error
			if *s, err = nodestats.New(settings, fmt.Sprint("p", p), 1); err != nil {
				return nil, err
			}
			for n := range nodeCount {
				(*s).SetNodeHealth(0, nodeName(n), 1, nodestats.Health{Type: kinds[n%nodesPerShard].name, Shard: n / nodesPerShard, Window: workers})
				x.recorders[n][i] = (*s).Recorder(0, nodestats.Key{Node: nodeName(n), StartTime: 1, Class: class})
			}
		}
		w.schedule(w.arrivalGap(), func() { w.arrive(p) })
		w.schedule(millis(opt.RoundInterval)*float64(p)/processCount, func() { w.gossipRound(p, millis(opt.RoundInterval), nil) })
	}
	return w, nil
}

// gossipRound is a round of a process, like those of internal/gossip: the process contacts the next of the others, in a
// random order, and each sends the other what it lacks.
func (w *simulation) gossipRound(p int, every float64, peers []int) {
	if len(peers) == 0 {
		peers = w.gossipRNG.Perm(processCount)
	}
	w.processes[p].ownState.Digest(w.time()) // publishes new answers as often as the shared state does
	if q := peers[0]; q != p {
		a, b := w.processes[p].sharedState, w.processes[q].sharedState
		w.sendMissing(a, b)
		w.sendMissing(b, a)
	}
	w.schedule(every, func() { w.gossipRound(p, every, peers[1:]) })
}

// sendMissing sends b what a holds and b lacks. An error would be a defect of nodestats, which has its own tests.
func (w *simulation) sendMissing(a, b *nodestats.State) {
	messages, err := a.Diff(w.time(), b.Digest(w.time()))
	for _, m := range messages {
		err = errors.Join(err, b.Merge(w.time(), m))
	}
	if err != nil {
		panic(err)
	}
}

func (w *simulation) time() time.Duration { return time.Duration(w.now * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// arrivalGap draws the time to the next request of a process.
func (w *simulation) arrivalGap() float64 { return w.rng.ExpFloat64() * 1000 / requestsPerSecond }

// schedule runs an action after a time.
func (w *simulation) schedule(wait float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + wait, w.seq, do})
}

// runUntil runs all events up to the given time.
func (w *simulation) runUntil(until float64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
	w.now = until
}

// responseTime is the time of a step that arrives at a node now: the wait for a worker and the service time. The step
// occupies the worker only if occupy is set; a trial execution does not.
func (w *simulation) responseTime(n int, units float64, occupy bool) float64 {
	x := &w.nodes[n]
	s := math.Sqrt(math.Log1p(serviceSpread * serviceSpread))
	service := x.meanServiceTime(units) * math.Exp(s*w.rng.NormFloat64()-s*s/2)
	first := 0
	for i, f := range x.freeAt {
		if f < x.freeAt[first] {
			first = i
		}
	}
	begin := max(w.now, x.freeAt[first])
	if occupy {
		x.freeAt[first] = begin + service
	}
	return begin + service - w.now
}

// arrive sends one request of a process. The estimators learn from this traffic.
func (w *simulation) arrive(p int) {
	w.schedule(w.arrivalGap(), func() { w.arrive(p) })
	shards := nodeCount / nodesPerShard
	shard := w.rng.IntN(shards)
	if w.rng.Float64() < homeShare {
		shard = (p + w.rng.IntN(2)) % shards
	}
	n, units := shard*nodesPerShard+w.rng.IntN(nodesPerShard), float64(1+w.rng.IntN(maxUnits))
	took := w.responseTime(n, units, true)
	w.schedule(took, func() {
		for _, l := range w.processes[p].recorders[n] {
			l.Record(w.time(), units, took, nodestats.Served)
		}
	})
}

func nodeName(n int) string { return fmt.Sprintf("n-%02d", n) }

// fleetMeanViews are the views of the estimator "fleet mean": each node has the mean of the fleet's observations.
func fleetMeanViews(views []nodestats.View) []nodestats.View {
	var all nodestats.Sums
	n := 0.0
	for _, v := range views {
		if v.Class != "" {
			all = all.Add(v.Sums)
			n++
		}
	}
	out := slices.Clone(views)
	for i := range out {
		if out[i].Type = ""; out[i].Class != "" {
			out[i].Sums = all.Scale(1/n, 1, 1)
		}
	}
	return out
}

// execution is the outcome of one execution of a plan, in milliseconds: the sum of the times of its steps, and the time from
// its beginning to its end.
type execution struct {
	work, end float64
	refused   bool // a step was refused; none is in virtual time
}

// executePlan executes a plan from now on without occupying workers, so that all plans of a decision, and the traffic, find the
// nodes in the same state.
func (w *simulation) executePlan(root *cost.Step, done func(execution)) {
	begin := w.now
	var p execution
	w.executeStep(root, &p, func(end float64) {
		p.end = end - begin
		done(p)
	})
}

// executeStep executes a step and calls done with the time of its end, at that time or as soon as the time is known.
func (w *simulation) executeStep(s *cost.Step, p *execution, done func(end float64)) {
	if s.Work != nil {
		n := 10*int(s.Work.Node[2]-'0') + int(s.Work.Node[3]-'0')
		took := w.responseTime(n, s.Work.Units, false)
		p.work += took
		done(w.now + took)
		return
	}
	if s.Then != nil {
		w.executeSequence(s.Then, p, done)
		return
	}
	steps, k := s.All, len(s.All)
	switch {
	case s.Any != nil:
		steps, k = s.Any, 1
	case s.Of != nil:
		steps, k = s.Of.Steps, s.Of.K
	}
	var ends []float64
	for i := range steps {
		w.executeStep(&steps[i], p, func(end float64) {
			if ends = append(ends, end); len(ends) == len(steps) {
				slices.Sort(ends)
				done(ends[k-1])
			}
		})
	}
}

// executeSequence executes steps one after the other.
func (w *simulation) executeSequence(steps []cost.Step, p *execution, done func(end float64)) {
	w.executeStep(&steps[0], p, func(end float64) {
		if len(steps) == 1 {
			done(end)
			return
		}
		w.schedule(max(end-w.now, 0), func() { w.executeSequence(steps[1:], p, done) })
	})
}
