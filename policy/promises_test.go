package policy

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand"
	"testing"
)

// A simulation of one scheduler with clients that repeat what was rejected, and nodes that count executions and discard repeats by key.
// No request that may not run twice runs twice: neither by the scheduler's attempts nor by the repeats that its answers invite.

const (
	promiseSimulationMs = 20000.0
	maxClientPauseMs    = 160.0 // of a client after a rejection, beyond Retry-After
	maxDelayMs          = 200.0 // of a scheduler that is held up, and the way
	maxClaimDelayMs     = 100.0 // between a Send and the first byte
)

var promiseSeeds = flag.Int64("promise-seeds", 60, "number of random series of TestNoRequestRunsTwiceByAnAnswer")

// promiseEvent is a function that is called at a time.
type promiseEvent struct {
	at       float64
	sequence int
	do       func()
}

type promiseEvents []promiseEvent

func (q promiseEvents) Len() int { return len(q) }
func (q promiseEvents) Less(i, k int) bool {
	return q[i].at < q[k].at || q[i].at == q[k].at && q[i].sequence < q[k].sequence
}
func (q promiseEvents) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *promiseEvents) Push(x any)   { *q = append(*q, x.(promiseEvent)) }
func (q *promiseEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// logicalRequest is what a client wants done, in one or more requests.
type logicalRequest struct {
	name       string
	className  string
	shard      int
	executions int
	tries      int
}

// promiseRequest is one request that the scheduler holds.
type promiseRequest struct {
	*logicalRequest
	class    Class // at its arrival: requests under way keep their class when the settings change
	deadline float64
	attempts int
	open     int
	ended    bool
}

// registration is a key that nodes remember.
type registration struct {
	until float64
	scope DedupScope
	node  Node // that ran the request
}

// isKnownTo reports whether a node remembers the key.
func (r registration) isKnownTo(n Node) bool {
	return r.scope == DedupAll || r.scope == DedupZone && r.node.Zone == n.Zone || r.scope == DedupShard && r.node.Shard == n.Shard
}

type promiseSimulation struct {
	t          *testing.T
	rng        *rand.Rand
	scheduler  *Scheduler
	settings   Settings
	now        float64
	queue      promiseEvents
	sequence   int
	requests   map[string]*promiseRequest
	registered map[string]registration // by key
	logical    []*logicalRequest
	rejections int // of requests that may have run
}

func (p *promiseSimulation) after(delay float64, do func()) {
	p.sequence++
	heap.Push(&p.queue, promiseEvent{p.now + delay, p.sequence, do})
}

func (p *promiseSimulation) random(most float64) float64 { return p.rng.Float64() * most }

func (p *promiseSimulation) class(name string) *Class {
	for i := range p.settings.Classes {
		if p.settings.Classes[i].Name == name {
			return &p.settings.Classes[i]
		}
	}
	p.t.Fatalf("no class %s", name)
	return nil
}

func newPromiseSimulation(t *testing.T, seed int64) *promiseSimulation {
	p := &promiseSimulation{t: t, rng: rand.New(rand.NewSource(seed)), now: 1000, requests: map[string]*promiseRequest{}, registered: map[string]registration{}}
	p.settings = testSettings()
	p.settings.Plans[0].ReservedRate = 1e6
	p.settings.MaxAttempts, p.settings.MayHedge, p.settings.MayCancel = 1+p.rng.Intn(4), p.rng.Intn(2) == 0, p.rng.Intn(2) == 0
	p.settings.SendsRetryAfter, p.settings.MaxRetryAfter = p.rng.Intn(3) > 0, 100+p.random(900)
	p.settings.ClientsKeepKeys = p.rng.Intn(4) > 0
	p.settings.Classes = nil
	for i, effect := range []Effect{IdempotentByKey, IdempotentByKey, NonIdempotent} {
		deadline := 300 + p.random(3000)
		p.settings.Classes = append(p.settings.Classes, Class{Name: fmt.Sprint("c", i), LatencyObjective: deadline * (0.3 + p.random(0.7)), Deadline: deadline,
			PriorityWeight: 1, Effect: effect, DedupScope: DedupScope(p.rng.Intn(3) * i), DedupWindow: 200 + p.random(3000)})
	}
	var err error
	if p.scheduler, err = New(p.settings, seed); err != nil {
		t.Fatal(err)
	}
	var list []Node
	for i := range 4 {
		list = append(list, Node{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Shard: i % 2})
	}
	p.step(Event{Kind: CachedListLoaded, Nodes: list})
	return p
}

// step passes events to the scheduler and carries out its actions.
func (p *promiseSimulation) step(events ...Event) {
	for _, a := range p.scheduler.Step(p.now, events, nil) {
		p.execute(a)
	}
}

func (p *promiseSimulation) execute(a Action) {
	switch r := p.requests[a.ID]; a.Kind {
	case SetTimer:
		p.after(a.Wait, func() { p.step(Event{Kind: TimerFired, Tag: a.Tag}) })
	case Send:
		p.send(r, a)
	case Cancel:
		p.endAttempt(a.ID, a.Attempt, Cancelled)
	case Reject:
		r.ended = true
		p.repeatRejected(r, a)
	case Fail:
		r.ended = true
	}
}

// repeatRejected has the client of a rejected request repeat it.
func (p *promiseSimulation) repeatRejected(r *promiseRequest, a Action) {
	if r.executions > 0 {
		p.rejections++
	}
	const maxTries = 5
	if r.tries < maxTries {
		p.after(a.Wait+p.random(maxClientPauseMs+maxDelayMs), func() { p.arrive(r.logicalRequest) })
	}
}

// send plays an attempt: it is claimed after a while, and its node may run it.
func (p *promiseSimulation) send(r *promiseRequest, a Action) {
	number := r.attempts
	r.attempts++
	r.open++
	n := p.scheduler.nodeByID[a.Node].Node
	p.after(p.random(maxClaimDelayMs), func() {
		isLate := a.StartBy > 0 && p.now >= a.StartBy || p.now >= r.deadline || r.ended
		switch draw := p.rng.Intn(10); {
		case isLate:
			p.endAttempt(a.ID, number, Abandoned)
		case draw < 2:
			p.endAttempt(a.ID, number, []Status{NodeFull, ConnectFailed}[draw])
		default:
			p.runAttempt(r, a.ID, number, n)
		}
	})
}

// runAttempt has a node run an attempt, unless it discards it by its key, and ends it in some way.
func (p *promiseSimulation) runAttempt(r *promiseRequest, id string, number int, n Node) {
	p.execution(r, n)
	draw := p.rng.Intn(10)
	switch {
	case draw < 4:
		p.after(p.random(80), func() { p.endAttempt(id, number, OK) })
	case draw < 8:
		p.after(p.random(400), func() {
			p.endAttempt(id, number, []Status{Errored, ConnectionReset, TimedOut, ConnectionReset}[draw-4])
		})
	default: // it is silent
		p.after(r.deadline-p.now, func() { p.endAttempt(id, number, TimedOut) })
	}
}

// execution counts an execution, unless a node of the group remembers the key.
func (p *promiseSimulation) execution(r *promiseRequest, n Node) {
	l, class := r.logicalRequest, &r.class
	if class.Effect == NonIdempotent { // nodes have no memory of keys for it
		p.count(l)
		return
	}
	if known := p.registered[l.name]; known.until > p.now && known.isKnownTo(n) {
		return
	}
	p.registered[l.name] = registration{p.now + class.DedupWindow, class.DedupScope, n}
	p.count(l)
}

func (p *promiseSimulation) count(l *logicalRequest) {
	if l.executions++; l.executions > 1 {
		p.t.Fatalf("at %.0f ms %s ran %d times; class now %+v", p.now, l.name, l.executions, *p.class(l.className))
	}
}

// endAttempt reports the outcome of an attempt once.
func (p *promiseSimulation) endAttempt(id string, number int, status Status) {
	r := p.requests[id]
	if p.isEnded(id, number) {
		return
	}
	r.open--
	if status == OK {
		r.ended = true
	}
	p.step(Event{Kind: AttemptEnded, ID: id, Attempt: number, Status: status, Latency: 20, Finished: r.ended})
}

// isEnded reports whether the scheduler knows the outcome of an attempt.
func (p *promiseSimulation) isEnded(id string, number int) bool {
	held := p.scheduler.requests[id]
	return held == nil || number >= len(held.attempts) || !held.attempts[number].open
}

// arrive passes a request of a client to the scheduler.
func (p *promiseSimulation) arrive(l *logicalRequest) {
	id := fmt.Sprintf("%s-%d", l.name, l.tries)
	l.tries++
	deadline := p.now + p.class(l.className).Deadline
	p.requests[id] = &promiseRequest{logicalRequest: l, class: *p.class(l.className), deadline: deadline}
	ev := requestArrived(id, l.className, l.shard, deadline)
	if p.settings.ClientsKeepKeys && p.class(l.className).Effect == IdempotentByKey || l.tries > 1 && p.settings.ClientsKeepKeys {
		ev.Request.IdempotencyKey = l.name
	}
	if !p.settings.ClientsKeepKeys { // the front gives each request a key of its own, so that nodes don't recognize a repeat
		l.name = fmt.Sprintf("%s'", l.name)
	}
	p.after(deadline+5-p.now, func() { // core's guard
		if r := p.requests[id]; !r.ended {
			r.ended = true
			p.step(Event{Kind: ClientDisconnected, ID: id})
		}
	})
	p.step(ev)
}

// makeStricter changes a class as new settings may: requests under way keep the old one.
func (p *promiseSimulation) makeStricter() {
	p.settings.Classes = append([]Class(nil), p.settings.Classes...)
	c := &p.settings.Classes[p.rng.Intn(2)]
	switch p.rng.Intn(4) {
	case 0:
		c.DedupWindow *= 0.3 + p.random(0.7)
	case 1:
		c.DedupScope = max(c.DedupScope, DedupShard)
	case 2:
		c.Effect = NonIdempotent
	}
	if err := p.scheduler.Reconfigure(p.settings); err != nil {
		p.t.Fatal(err)
	}
}

func (p *promiseSimulation) run() {
	for i := 0; i < 400; i++ {
		l := &logicalRequest{name: fmt.Sprint("r", i), className: p.settings.Classes[p.rng.Intn(3)].Name, shard: p.rng.Intn(3) - 1}
		p.logical = append(p.logical, l)
		p.after(p.random(promiseSimulationMs), func() { p.arrive(l) })
	}
	if p.rng.Intn(2) == 0 {
		p.after(promiseSimulationMs*0.3, p.makeStricter)
		p.after(promiseSimulationMs*0.6, p.makeStricter)
	}
	for len(p.queue) > 0 && p.now < promiseSimulationMs+10000 {
		next := heap.Pop(&p.queue).(promiseEvent)
		p.now = max(p.now, next.at)
		next.do()
	}
}

// Guards against answers of the decision module that promise that a request did not run, or that a repeat is harmless, while it may have run.
func TestNoRequestRunsTwiceByAnAnswer(t *testing.T) {
	rejections := 0
	for seed := range *promiseSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			p := newPromiseSimulation(t, seed)
			p.run()
			rejections += p.rejections
			if len(p.scheduler.requests) == 0 && len(p.scheduler.openByKey) > 0 {
				t.Errorf("%d keys are left without a request", len(p.scheduler.openByKey))
			}
		})
	}
	if rejections < 100 {
		t.Errorf("only %d requests were rejected that may have run", rejections)
	}
}
