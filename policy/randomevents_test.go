package policy

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"sort"
	"testing"
)

func randomEventSettings(i int) Settings {
	set := testSettings()
	set.Classes = append(set.Classes, Class{Name: "keyed", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Effect: IdempotentByKey,
		DedupScope: DedupScope(i % 3), DedupWindow: 700}, Class{Name: "turns", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Effect: NonIdempotent,
		Ordered: true}, Class{Name: "safeturns", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Ordered: true})
	set.Plans = append(set.Plans, Plan{Name: "capped", Rate: 10, Weight: 1, Price: 1, RateLimit: 20, LimitBurst: 40})
	if i%2 == 1 {
		set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetShare = 1500, 1, 0.01
		set.OrderedKeyBackoff = 80
		set.PollsEndpointList, set.ReportsPeerUsage = true, true
	}
	set.MayHedge = i%3 > 0
	set.MayGossip = i%4 == 2
	set.UsageMeterPeriod = float64(i%3) * 500
	return set
}

const (
	randomSteps       = 3000
	minRandomRequests = 1000
	answerSlackMs     = 910 // a request must be answered this soon after its deadline; steps have gaps
)

// randomEvents makes random legal events for one scheduler and checks its actions.
type randomEvents struct {
	*ruleChecker
	rng    *rand.Rand
	list   []Node
	nodes  map[string]Node
	serial int     // requests so far
	events []Event // of the next step
}

// playRandomEvents drives random legal events and returns all actions; before comes before each step.
func playRandomEvents(t *testing.T, set Settings, seed int64, before func(*Scheduler)) [][]Action {
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := newRandomEvents(t, set, seed)
	for range randomSteps {
		p.advance()
		p.fireTimers()
		p.endAttempts()
		p.disconnectClients()
		for range p.rng.Intn(3) {
			p.arrive()
		}
		p.changeList()
		p.addIgnoredEvents()
		before(s)
		actions := s.Step(p.now, p.events, nil)
		p.check(actions, p.nodes)
		p.history = append(p.history, actions)
		p.events = nil
	}
	if p.serial < minRandomRequests {
		p.fail("only %d requests", p.serial)
	}
	return p.history
}

func newRandomEvents(t *testing.T, set Settings, seed int64) *randomEvents {
	p := &randomEvents{rng: rand.New(rand.NewSource(seed)), nodes: map[string]Node{}}
	p.ruleChecker = &ruleChecker{t: t, set: set, now: 5000, startedAt: 5000,
		requests: map[string]*trackedRequest{}, openAttempts: map[string]*trackedAttempt{},
		notUpSince: map[string]float64{}, keyBackoffUntil: map[string]float64{},
		limitedUnits: map[string]float64{}, byKey: map[string][]string{}}
	for i := range 4 {
		n := Node{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Shard: i}
		p.list, p.nodes[n.ID] = append(p.list, n), n
	}
	p.events = []Event{{Kind: CachedListLoaded, Nodes: p.list}}
	return p
}

// advance moves time, now and then by a gap between batches.
func (p *randomEvents) advance() {
	p.now += float64(p.rng.Intn(6))
	if p.rng.Intn(200) == 0 {
		p.now += float64(p.rng.Intn(900))
	}
}

func (p *randomEvents) fireTimers() {
	sort.SliceStable(p.timers, func(i, k int) bool { return p.timers[i].at < p.timers[k].at })
	for len(p.timers) > 0 && p.timers[0].at <= p.now {
		p.events = append(p.events, Event{Kind: TimerFired, Tag: p.timers[0].tag})
		p.timers = p.timers[1:]
	}
}

// endAttempts ends some of the attempts in flight, and all that are past their deadline.
func (p *randomEvents) endAttempts() {
	keys := make([]string, 0, len(p.openAttempts))
	for k := range p.openAttempts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		a := p.openAttempts[k]
		isLate := p.now >= p.requests[a.id].request.Deadline
		if !isLate && p.rng.Intn(25) > 0 {
			continue
		}
		status := Status(p.rng.Intn(8))
		if isLate {
			status = TimedOut
		}
		delete(p.openAttempts, k)
		p.endAttempt(a, status)
	}
}

func (p *randomEvents) endAttempt(a *trackedAttempt, status Status) {
	r := p.requests[a.id]
	r.inFlight--
	if status == OK && !r.answered && !r.gone {
		r.answered = true
	}
	if status == Errored || status == TimedOut || status == ConnectionReset || status == Cancelled {
		r.mayRun = append(r.mayRun, a)
		if key := r.request.Key; status != Errored && r.class.Ordered {
			p.keyBackoffUntil[key] = math.Max(p.keyBackoffUntil[key], p.now+p.set.OrderedKeyBackoff)
		}
	}
	p.events = append(p.events, Event{Kind: AttemptEnded, ID: a.id, Attempt: a.attempt, Node: a.node.ID, Status: status,
		Latency: p.now - a.sent, Finished: r.answered || r.gone, PlanUsage: float64(p.rng.Intn(400)),
		PeerUsage: float64(p.rng.Intn(9) - 1)})
}

// disconnectClients disconnects a few clients, and checks that no request is left without an answer.
func (p *randomEvents) disconnectClients() {
	unanswered := p.unanswered[:0]
	for _, id := range p.unanswered {
		r := p.requests[id]
		isOverdue := p.now > r.request.Deadline+answerSlackMs
		if !r.answered && !r.gone && (isOverdue || p.rng.Intn(4000) == 0) {
			if isOverdue {
				p.fail("%s lost: no answer", id)
			}
			r.gone = true
			p.events = append(p.events, Event{Kind: ClientDisconnected, ID: id})
		}
		if !r.answered && !r.gone {
			unanswered = append(unanswered, id)
		}
	}
	p.unanswered = unanswered
}

func (p *randomEvents) arrive() {
	c := &p.set.Classes[p.rng.Intn(len(p.set.Classes))]
	q := Request{ID: fmt.Sprint("r", p.serial), Class: c.Name, Plan: p.set.Plans[p.rng.Intn(2)].Name,
		Key: fmt.Sprint("k", p.rng.Intn(6)), Deadline: p.now + c.Deadline*(0.3+0.7*p.rng.Float64()),
		Units: float64(1 + p.rng.Intn(8)), Shard: p.rng.Intn(6) - 1}
	v := p.rng.Intn(4)
	q.Volume, q.Schedulers = fmt.Sprint(q.Plan, v), 1+v%3
	p.serial++
	p.requests[q.ID] = &trackedRequest{request: q, class: c}
	p.requestTimes = append(p.requestTimes, p.now)
	p.unanswered = append(p.unanswered, q.ID)
	if c.Ordered {
		p.byKey[q.Key] = append(p.byKey[q.Key], q.ID)
	}
	p.events = append(p.events, Event{Kind: RequestArrived, Request: q})
}

// changeList changes one entry of the list now and then, or has the list fail.
func (p *randomEvents) changeList() {
	if p.rng.Intn(60) == 0 {
		i := p.rng.Intn(len(p.list))
		n := p.list[i]
		n.State = NodeState(p.rng.Intn(3))
		if p.rng.Intn(2) == 0 {
			n.State, n.StartTime = NodeUp, p.now
		}
		if n.State == NodeUp {
			delete(p.notUpSince, n.ID)
		} else if _, ok := p.notUpSince[n.ID]; !ok {
			p.notUpSince[n.ID] = p.now
		}
		p.list[i], p.nodes[n.ID] = n, n
		p.events = append(p.events, Event{Kind: ListChanged, Nodes: []Node{n}})
	}
	if p.rng.Intn(100) == 0 {
		p.events = append(p.events, Event{Kind: ListFailed})
	}
}

// addIgnoredEvents adds events that must be ignored.
func (p *randomEvents) addIgnoredEvents() {
	if p.rng.Intn(100) > 0 {
		return
	}
	p.events = append(p.events, Event{Kind: AttemptEnded, ID: "ghost"}, Event{Kind: ClientDisconnected, ID: "ghost"},
		Event{Kind: TimerFired, Tag: "ghost"}, Event{Kind: GossipReceived, Data: []byte{1, 2}},
		Event{Kind: HealthCheckEnded, Node: "ghost"})
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for i := range 16 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			one, two := playRandomEvents(t, randomEventSettings(i), int64(i+1), func(*Scheduler) {}), playRandomEvents(t, randomEventSettings(i), int64(i+1), func(s *Scheduler) {
				for _, l := range s.shardQueues { // the queues that are not visited would have done nothing
					s.markBusy(l)
				}
			})
			if !reflect.DeepEqual(one, two) {
				t.Error("equal events gave other actions, or a shard queue that is not visited had something to do")
			}
		})
	}
}
