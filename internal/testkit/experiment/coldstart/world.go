// Package coldstart owns an experiment: a fleet of schedulers that starts within a second, in virtual
// time, each with the real decisions (policy, and internal/coldstart where it is on), against nodes of
// which some have restarted too and a list service of fixed capacity. It keeps its own books of what
// the rules forbid over all hosts together. A seed gives the same run.
package coldstart

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"

	"wheatsaddle/policy"
)

// Figures of the world, times in milliseconds.
const (
	zero       = 1e5    // the start of the fleet on the world's clock
	cutAt      = 3000.0 // ... and how long before it the power went
	before     = 3000.0 // of ordinary work before that
	after      = 12000.0
	unitsSec   = 60.0 // units a second of a warm node
	nodeQueue  = 40
	busyShare  = 0.5 // of what all nodes can do is asked for
	connWait   = 250.0
	shardsEach = 4
	patience   = 8000.0 // a client comes again for this long
	fallFor    = 2000.0 // a node that fell is back, cold, after this
	window     = 10000.0
)

type world struct {
	opt   Options
	sc    Scenario
	mode  Mode
	set   policy.Settings
	rng   *rand.Rand // the world's
	draw  *rand.Rand // of arrivals: the same whatever the hosts do
	now   float64
	due   dues
	seq   int
	hosts []*host
	nodes []*node
	index map[string]*node
	vols  []volume
	reqs  map[string]*request
	list  service
	res   Result
}

type node struct {
	policy.Node
	alive, silent, mute bool
	life, held          int
	free                float64
	out                 []*try
	sent                []flow // units, within TipSpan
	opened, got         []flow // connects and requests within a second
}

type flow struct{ at, n float64 }

type volume struct {
	id, plan  string
	hosts     []int
	shards    []int
	store, at float64
}

type request struct {
	host     *host
	life     int
	req      policy.Request
	tries    []*try
	answered bool
	first    float64 // the client's first try
	vol      *volume
}

type try struct {
	over bool
	end  func(policy.Status)
}

type item struct {
	at  float64
	seq int
	do  func()
}

type dues []item

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(item)) }
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

func (w *world) after(wait float64, do func()) {
	w.seq++
	heap.Push(&w.due, item{w.now + math.Max(wait, 0), w.seq, do})
}

// sum drops the flows before a time and adds up the rest.
func sum(fs *[]flow, from float64) (all float64) {
	*fs = slices.DeleteFunc(*fs, func(f flow) bool { return f.at < from })
	for _, f := range *fs {
		all += f.n
	}
	return all
}

func settings(hosts, nodes int) policy.Settings {
	return policy.Settings{Schedulers: hosts, MeanUnits: 2, MaxUnits: 6, SlowStartUnits: 39, MaxAttempts: 4, MaxRetryAfter: 1000,
		SendsRetryAfter: true, MayCancel: true, MayHedge: true, DrainGrace: 250, ListStalenessBound: 10000, SlowStartShare: 0.24, SlowStartDuration: 17000,
		OverloadMultiple: 3, OverloadWindow: 3000, Shards: nodes,
		Classes: []policy.Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3, LatePriorityWeight: 0.1},
			{Name: "once", LatencyObjective: 500, Deadline: 2000, PriorityWeight: 2, LatePriorityWeight: 0.1, Effect: policy.NonIdempotent}},
		Plans: []policy.Plan{{Name: "open", Rate: 6, ReservedRate: 3, Weight: 1, Price: 1},
			{Name: "capped", Rate: 2, ReservedRate: 1, Weight: 1, Price: 1, RateLimit: 6, LimitBurst: 36}}}
}

func newWorld(opt Options, sc Scenario, mode Mode, seed int64) *world {
	w := &world{opt: opt, sc: sc, mode: mode, set: settings(opt.Hosts, opt.Nodes), rng: rand.New(rand.NewSource(seed)),
		draw: rand.New(rand.NewSource(seed + 1e6)), now: zero - cutAt - before, index: map[string]*node{}, reqs: map[string]*request{}}
	w.list = service{w: w, capacity: opt.Capacity}
	if sc.Pushed {
		w.list.capacity = pushCapacity
	}
	for i := range opt.Nodes {
		n := &node{Node: policy.Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1}, alive: true}
		w.nodes, w.index[n.ID] = append(w.nodes, n), n
	}
	for i := range opt.Hosts * 2 {
		v := volume{id: fmt.Sprint("v", i), plan: []string{"open", "open", "capped"}[i%3], store: w.set.Plans[1].LimitBurst, at: w.now}
		v.hosts = []int{i % opt.Hosts} // each host has two at least
		if h := w.draw.Intn(opt.Hosts); h != v.hosts[0] {
			v.hosts = append(v.hosts, h)
		}
		for range shardsEach {
			v.shards = append(v.shards, w.draw.Intn(opt.Nodes))
		}
		w.vols = append(w.vols, v)
	}
	for i := range opt.Hosts {
		h := &host{w: w, no: i}
		w.hosts = append(w.hosts, h)
		h.run()
	}
	w.res.served = make([]float64, opt.Hosts)
	w.arrive()
	w.after(before, w.cut)
	return w
}

// cut ends hosts and nodes as the scenario has it, and brings them back.
func (w *world) cut() {
	for i, n := range w.nodes {
		n.silent, n.mute = w.sc.Silent > 0 && i%w.sc.Silent == 0, w.sc.Mute && i == 1
		if w.sc.ColdNodes > 0 && i%w.sc.ColdNodes == 0 {
			w.die(n)
			w.after(cutAt-1000+1500*w.rng.Float64(), func() { w.back(n) })
		}
	}
	w.after(cutAt, func() { w.res.started = true; w.list.down = w.sc.ListDown > 0 })
	w.after(cutAt+w.sc.ListDown, func() { w.list.down = false })
	for _, h := range w.hosts {
		if h.no%10 < w.sc.Killed {
			h.kill()
			w.after(cutAt+1000*w.rng.Float64(), h.start)
			if w.sc.Again && h.no%2 == 0 {
				w.after(cutAt+2000, h.kill)
				w.after(cutAt+2500+500*w.rng.Float64(), h.start)
			}
		}
	}
}

func (w *world) die(n *node) {
	n.alive, n.held, n.free = false, 0, 0
	n.life++
	out := n.out
	n.out = nil
	w.after(1, func() {
		for _, t := range out {
			t.end(policy.ConnectionReset)
		}
	})
}

// back starts a node anew; the hosts whose watch stands hear of it.
func (w *world) back(n *node) {
	n.alive, n.StartTime, n.sent = true, w.now, nil
	for _, h := range w.hosts {
		h.change(n.Node)
	}
}

func (w *world) power(n *node) float64 {
	if n.StartTime == 0 {
		return 1
	}
	return math.Min(1, w.set.SlowStartShare+(1-w.set.SlowStartShare)*(w.now-n.StartTime)/w.set.SlowStartDuration)
}

// bears is how many requests of mean work a cold node stands within TipSpan.
func (w *world) bears(n *node) float64 {
	allowed := w.set.SlowStartUnits / w.set.MeanUnits * (1 + (1/w.set.SlowStartShare-1)*(w.now-n.StartTime)/w.set.SlowStartDuration)
	return allowed + 3*math.Sqrt(allowed) + 3
}

func (w *world) inWindow() bool { return w.now >= zero && w.now < zero+window }

// send takes an attempt to a node; h is the host's life that sent it.
func (w *world) send(h *host, a policy.Action) {
	r, n := w.reqs[a.ID], w.index[a.Node]
	if r == nil || r.answered || r.host != h || n == nil || n.Shard != r.req.Shard {
		w.res.broke("an attempt that must not be")
		return
	}
	no, at, life := len(r.tries), w.now, n.life
	t := &try{}
	t.end = func(status policy.Status) {
		if t.over || h.life != r.life {
			return
		}
		t.over = true
		h.conns[n.Shard].out--
		if status == policy.OK && !r.answered {
			w.final(a.ID, status, 0)
		}
		h.outcome(n, status, policy.Event{Kind: policy.AttemptEnded, ID: a.ID, Attempt: no, Node: n.ID, Status: status, Latency: w.now - at, Finished: r.answered})
	}
	if r.tries = append(r.tries, t); no == 0 {
		w.take(r)
	}
	h.link(n, 1)
	w.after(math.Min(a.Deadline, r.req.Deadline)-w.now, func() { t.end(policy.TimedOut) })
	if n.silent || !n.alive {
		wait := 1.0
		if n.silent {
			wait = connWait
		}
		w.after(wait, func() { t.end(policy.ConnectFailed) })
		return
	}
	w.count(&n.got, &w.res.Firsts)
	switch {
	case n.mute:
	case n.held >= nodeQueue:
		w.after(1, func() { t.end(policy.NodeFull) })
	default:
		n.held++
		n.free = math.Max(w.now, n.free) + r.req.Units*1000/unitsSec/w.power(n)
		w.after(n.free-w.now+1, func() {
			if n.life == life {
				n.held--
				t.end(policy.OK)
			}
		})
		n.out = append(slices.DeleteFunc(n.out, func(t *try) bool { return t.over }), t)
	}
	w.tip(n, r.req.Units)
}

// count adds to what a node meets within a second, and keeps the worst of the fleet's start.
func (w *world) count(fs *[]flow, worst *float64) {
	if !w.inWindow() {
		return
	}
	*fs = append(*fs, flow{w.now, 1})
	*worst = math.Max(*worst, sum(fs, w.now-1000))
}

// tip counts what a cold node got from all hosts; past what it bears it falls.
func (w *world) tip(n *node, units float64) {
	if n.StartTime == 0 || w.now-n.StartTime > w.set.SlowStartDuration {
		return
	}
	n.sent = append(n.sent, flow{w.now, units / w.set.MeanUnits})
	part := sum(&n.sent, w.now-w.set.OverloadWindow) / w.bears(n)
	w.res.Worst = math.Max(w.res.Worst, part)
	if part > 1 {
		w.res.Falls++
		w.die(n)
		w.after(fallFor, func() { w.back(n) })
	}
}

// take counts a limited volume's first sends over all hosts.
func (w *world) take(r *request) {
	if p := w.set.Plans[1]; r.req.Plan == p.Name {
		v := r.vol
		v.store = math.Min(v.store+p.RateLimit*(w.now-v.at)/1000, p.LimitBurst) - r.req.Units
		if v.at = w.now; v.store < -0.1*p.LimitBurst {
			w.res.broke("a volume past its limit")
		}
	}
}

// final takes a request's end: each has one. A client that was refused comes again when told.
func (w *world) final(id string, status policy.Status, wait float64) {
	r := w.reqs[id]
	if r == nil || r.answered {
		w.res.broke("a second answer")
		return
	}
	if w.now > r.req.Deadline+8 {
		w.res.broke("a late answer")
	}
	r.answered = true
	switch {
	case status == policy.OK:
		if w.inWindow() {
			w.res.Served++
		}
		if h := r.host; w.now >= zero && w.res.served[h.no] == 0 {
			w.res.served[h.no] = w.now - zero
		}
	case status == policy.NodeFull: // refused
		if w.inWindow() {
			w.res.Refused++
		}
		w.after(math.Max(wait, 50)*(1+0.2*w.rng.Float64()), func() { w.ask(r.vol, r.host, r.req, r.first) })
	default:
		if w.inWindow() {
			w.res.Failed++
		}
	}
}

func (w *world) arrive() {
	rate := busyShare * float64(w.opt.Nodes) * unitsSec / w.set.MeanUnits / 1000
	w.after(w.draw.ExpFloat64()/rate, w.arrive)
	v := &w.vols[w.draw.Intn(len(w.vols))]
	h := w.hosts[v.hosts[w.draw.Intn(len(v.hosts))]]
	q := policy.Request{Class: w.set.Classes[w.draw.Intn(2)].Name, Plan: v.plan, Volume: v.id, Units: float64(1 + w.draw.Intn(3)),
		Shard: v.shards[w.draw.Intn(len(v.shards))], Schedulers: len(v.hosts)}
	if w.inWindow() {
		w.res.Requests++
	}
	w.ask(v, h, q, w.now)
}

// ask is one try of a client; one that finds its host down connects again a little later.
func (w *world) ask(v *volume, h *host, q policy.Request, first float64) {
	if w.now-first > patience {
		return
	}
	if h.down {
		w.after(200+200*w.rng.Float64(), func() { w.ask(v, h, q, first) })
		return
	}
	w.seq++
	q.ClientRetry = q.ID != ""
	if q.Key == "" {
		q.Key = fmt.Sprint("k", w.seq)
	}
	q.ID, q.Deadline = fmt.Sprint("q", w.seq), w.now+2000
	r := &request{host: h, life: h.life, req: q, first: first, vol: v}
	w.reqs[q.ID] = r
	h.take(r)
	w.after(2009, func() {
		if !r.answered && h.life == r.life {
			w.res.broke("no answer")
		}
		delete(w.reqs, q.ID)
	})
}

func (w *world) run() *Result {
	for end := zero + after; w.due[0].at < end; {
		d := heap.Pop(&w.due).(item)
		w.now = d.at
		d.do()
	}
	return w.res.close()
}
