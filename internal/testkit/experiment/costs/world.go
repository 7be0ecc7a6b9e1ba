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

// The world, in milliseconds: a node has workers that take steps in turn, and a step's service is its
// line's, times the node's own factor, times a lognormal.
const (
	processCount      = 8
	nodeCount         = 24
	nodesPerShard     = 3 // one of each kind
	workers           = 4
	nodeSpread        = 0.15 // of nodes of one kind
	serviceSpread     = 0.5  // spread over mean of a service
	homeShare         = 0.7  // of a process's requests go to its two home shards
	requestsPerSecond = 100.0
	maxUnits          = 8
	class             = "read"
)

var kinds = [nodesPerShard]struct {
	name        string
	level, unit float64
}{{"flash", 2, 0.5}, {"mixed", 4, 1}, {"disk", 7, 1.6}}

type event struct {
	at     float64
	order  int
	action func()
}

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

type node struct {
	kind   int
	factor float64
	freeAt [workers]float64 // when each worker has done what it has
}

func (x *node) meanServiceTime(units float64) float64 {
	return (kinds[x.kind].level + kinds[x.kind].unit*units) * x.factor
}

// process is one scheduler: what it saw alone, and what it shares with the others, in the daemon's own state.
type process struct {
	own, shared *nodestats.State
	recorders   [nodeCount][2]*nodestats.Recorder
}

type world struct {
	now       float64
	seq       int
	events    eventQueue
	rng       *rand.Rand
	gossipRNG *rand.Rand // of the rounds: who asks whom
	nodes     [nodeCount]node
	processes [processCount]process
}

func newWorld(seed uint64, opt Options) (*world, error) {
	w := &world{rng: rand.New(rand.NewPCG(seed, 24)), gossipRNG: rand.New(rand.NewPCG(seed, 25))}
	for i := range w.nodes {
		w.nodes[i] = node{kind: i % nodesPerShard, factor: math.Exp(nodeSpread * w.rng.NormFloat64())}
	}
	settings := nodestats.Defaults()
	settings.HalfLife, settings.ExpireAfter = opt.HalfLife, max(settings.ExpireAfter, opt.HalfLife)
	for p := range processCount {
		x := &w.processes[p]
		for i, s := range []**nodestats.State{&x.own, &x.shared} {
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
		w.schedule(millis(opt.Every)*float64(p)/processCount, func() { w.gossipRound(p, millis(opt.Every), nil) })
	}
	return w, nil
}

// round is what internal/gossip does: the process asks the next of the others, in a drawn order, and each gives the other
// what it lacks.
func (w *world) gossipRound(p int, every float64, peers []int) {
	if len(peers) == 0 {
		peers = w.gossipRNG.Perm(processCount)
	}
	w.processes[p].own.Digest(w.time()) // it looks at its own slots as often
	if q := peers[0]; q != p {
		a, b := w.processes[p].shared, w.processes[q].shared
		w.sendMissing(a, b)
		w.sendMissing(b, a)
	}
	w.schedule(every, func() { w.gossipRound(p, every, peers[1:]) })
}

// give gives b what a holds and b lacks. A failure would be a defect of the state, which has tests of its own.
func (w *world) sendMissing(a, b *nodestats.State) {
	messages, err := a.Diff(w.time(), b.Digest(w.time()))
	for _, m := range messages {
		err = errors.Join(err, b.Merge(w.time(), m))
	}
	if err != nil {
		panic(err)
	}
}

func (w *world) time() time.Duration { return time.Duration(w.now * float64(time.Millisecond)) }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (w *world) arrivalGap() float64 { return w.rng.ExpFloat64() * 1000 / requestsPerSecond }

func (w *world) schedule(wait float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + wait, w.seq, do})
}

// run plays to the given time.
func (w *world) runUntil(until float64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.action()
	}
	w.now = until
}

// out is how long a step that comes now is out at a node: its wait for a worker and its service. One that
// is taken holds the worker; a trial only looks.
func (w *world) responseTime(n int, units float64, occupy bool) float64 {
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

// arrive is a request of one process, the traffic that all lines are learned from.
func (w *world) arrive(p int) {
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

// flat is what "fleet mean" knows: each node has the fleet's answers.
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

// played is what came of a plan once.
type played struct {
	work, end float64
	refused   bool // a step of it; in virtual time none is
}

// play tries a plan in the world as it is, from now on; it takes nothing from anybody, so that every plan of
// a decision, and the traffic, meet the same nodes.
func (w *world) playPlan(root *cost.Step, done func(played)) {
	begin := w.now
	var p played
	w.playStep(root, &p, func(end float64) {
		p.end = end - begin
		done(p)
	})
}

// step calls done with the time of its end, at that time or as soon as it is known.
func (w *world) playStep(s *cost.Step, p *played, done func(end float64)) {
	if s.Work != nil {
		n := 10*int(s.Work.Node[2]-'0') + int(s.Work.Node[3]-'0')
		took := w.responseTime(n, s.Work.Units, false)
		p.work += took
		done(w.now + took)
		return
	}
	if s.Then != nil {
		w.playChain(s.Then, p, done)
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
		w.playStep(&steps[i], p, func(end float64) {
			if ends = append(ends, end); len(ends) == len(steps) {
				slices.Sort(ends)
				done(ends[k-1])
			}
		})
	}
}

func (w *world) playChain(steps []cost.Step, p *played, done func(end float64)) {
	w.playStep(&steps[0], p, func(end float64) {
		if len(steps) == 1 {
			done(end)
			return
		}
		w.schedule(max(end-w.now, 0), func() { w.playChain(steps[1:], p, done) })
	})
}
