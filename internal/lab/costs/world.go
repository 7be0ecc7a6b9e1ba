package costs

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wheatsaddle/internal/cost"
	"wheatsaddle/internal/observations"
)

// The world, in milliseconds: a node has workers that take steps in turn, and a step's service is its
// line's, times the node's own factor, times a lognormal.
const (
	processes = 8
	nodeCount = 24
	perShard  = 3 // one of each kind
	workers   = 4
	ownSpread = 0.15 // of nodes of one kind
	scatter   = 0.5  // spread over mean of a service
	homeShare = 0.7  // of a process's requests go to its two home shards
	perSecond = 100.0
	tellAfter = 500.0 // until the others know of an answer
	unitsTop  = 8
	class     = "read"
	slowTimes = 5.0
)

var kinds = [perShard]struct {
	name        string
	level, unit float64
}{{"flash", 2, 0.5}, {"mixed", 4, 1}, {"disk", 7, 1.6}}

type event struct {
	at  float64
	seq int
	do  func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type node struct {
	kind   int
	factor float64
	free   [workers]float64 // when each worker has done what it has
}

func (x *node) mean(units float64) float64 {
	return (kinds[x.kind].level + kinds[x.kind].unit*units) * x.factor
}

// sums are one process's decayed sums of one node.
type sums struct {
	s    observations.Sums
	last float64
}

type world struct {
	now      float64
	seq      int
	events   queue
	rng      *rand.Rand
	nodes    [nodeCount]node
	halfLife float64
	own      [processes][nodeCount]sums // the process's own answers
	shared   [processes][nodeCount]sums // and with them what the others told
}

func newWorld(seed uint64, halfLife time.Duration) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 24)), halfLife: millis(halfLife)}
	for i := range w.nodes {
		w.nodes[i] = node{kind: i % perShard, factor: math.Exp(ownSpread * w.rng.NormFloat64())}
	}
	for p := range processes {
		w.after(w.gap(), func() { w.arrive(p) })
	}
	return w
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (w *world) gap() float64 { return w.rng.ExpFloat64() * 1000 / perSecond }

func (w *world) after(wait float64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + wait, w.seq, do})
}

// run plays to the given time.
func (w *world) run(until float64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

// out is how long a step that comes now is out at a node: its wait for a worker and its service. One that
// is taken holds the worker; a trial only looks.
func (w *world) out(n int, units float64, taken bool) float64 {
	x := &w.nodes[n]
	s := math.Sqrt(math.Log1p(scatter * scatter))
	service := x.mean(units) * math.Exp(s*w.rng.NormFloat64()-s*s/2)
	first := 0
	for i, f := range x.free {
		if f < x.free[first] {
			first = i
		}
	}
	begin := max(w.now, x.free[first])
	if taken {
		x.free[first] = begin + service
	}
	return begin + service - w.now
}

// arrive is a request of one process, the traffic that all lines are learned from.
func (w *world) arrive(p int) {
	w.after(w.gap(), func() { w.arrive(p) })
	shards := nodeCount / perShard
	shard := w.rng.IntN(shards)
	if w.rng.Float64() < homeShare {
		shard = (p + w.rng.IntN(2)) % shards
	}
	n, units := shard*perShard+w.rng.IntN(perShard), float64(1+w.rng.IntN(unitsTop))
	took := w.out(n, units, true)
	w.after(took, func() {
		w.record(&w.own[p][n], units, took)
		w.record(&w.shared[p][n], units, took)
		w.after(tellAfter, func() {
			for o := range processes {
				if o != p {
					w.record(&w.shared[o][n], units, took)
				}
			}
		})
	})
}

func (w *world) decayed(a *sums) observations.Sums {
	f := math.Exp2(-(w.now - a.last) / w.halfLife)
	s := a.s
	return observations.Sums{N: s.N * f, X: s.X * f, Y: s.Y * f, XX: s.XX * f, XY: s.XY * f, YY: s.YY * f}
}

func (w *world) record(a *sums, x, y float64) {
	s := w.decayed(a)
	a.s, a.last = observations.Sums{N: s.N + 1, X: s.X + x, Y: s.Y + y, XX: s.XX + x*x, XY: s.XY + x*y, YY: s.YY + y*y}, w.now
}

func nodeName(n int) string { return fmt.Sprintf("n-%02d", n) }

// views are what a process knows, from the sums given.
func (w *world) views(from *[nodeCount]sums, origins int) []observations.View {
	views := make([]observations.View, nodeCount)
	for n := range views {
		views[n] = observations.View{Key: observations.Key{Node: nodeName(n), Since: 1, Class: class}, Type: kinds[n%perShard].name,
			Shard: n / perShard, Sums: w.decayed(&from[n]), Window: workers, Origins: origins}
	}
	return views
}

// flat is what "fleet mean" knows: each node has the fleet's answers.
func flat(views []observations.View) []observations.View {
	var all observations.Sums
	part := 1 / float64(len(views))
	for _, v := range views {
		s := v.Sums
		all = observations.Sums{N: all.N + s.N*part, X: all.X + s.X*part, Y: all.Y + s.Y*part,
			XX: all.XX + s.XX*part, XY: all.XY + s.XY*part, YY: all.YY + s.YY*part}
	}
	out := slices.Clone(views)
	for i := range out {
		out[i].Sums, out[i].Type = all, ""
	}
	return out
}

// played is what came of a plan once.
type played struct{ work, end float64 }

// play tries a plan in the world as it is, from now on; it takes nothing from anybody, so that every plan of
// a decision, and the traffic, meet the same nodes.
func (w *world) play(root *cost.Step, done func(played)) {
	begin := w.now
	var p played
	w.step(root, &p, func(end float64) {
		p.end = end - begin
		done(p)
	})
}

// step calls done with the time of its end, at that time or as soon as it is known.
func (w *world) step(s *cost.Step, p *played, done func(end float64)) {
	if s.Work != nil {
		var n int
		fmt.Sscanf(s.Work.Node, "n-%d", &n)
		took := w.out(n, s.Work.Units, false)
		p.work += took
		done(w.now + took)
		return
	}
	if s.Then != nil {
		w.chain(s.Then, p, done)
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
		w.step(&steps[i], p, func(end float64) {
			if ends = append(ends, end); len(ends) == len(steps) {
				slices.Sort(ends)
				done(ends[k-1])
			}
		})
	}
}

func (w *world) chain(steps []cost.Step, p *played, done func(end float64)) {
	w.step(&steps[0], p, func(end float64) {
		if len(steps) == 1 {
			done(end)
			return
		}
		w.after(max(end-w.now, 0), func() { w.chain(steps[1:], p, done) })
	})
}
