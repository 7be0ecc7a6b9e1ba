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
	settings := testSettings()
	settings.Classes = append(settings.Classes, Class{Name: "keyed", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Effect: IdempotentByKey,
		DedupScope: DedupScope(i % 3), DedupWindow: 700}, Class{Name: "turns", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Effect: NonIdempotent,
		Ordered: true}, Class{Name: "safeturns", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Ordered: true})
	settings.Plans = append(settings.Plans, Plan{Name: "capped", Rate: 10, Weight: 1, Price: 1, RateLimit: 20, LimitBurst: 40})
	if i%2 == 1 {
		settings.RetryBudgetWindow, settings.RetryBudgetMin, settings.RetryBudgetShare = 1500, 1, 0.01
		settings.OrderedKeyBackoff = 80
		settings.PollsEndpointList, settings.ReportsPeerUsage = true, true
	}
	settings.MayHedge, settings.ClientsKeepKeys = i%3 > 0, true
	settings.MayGossip = i%4 == 2
	settings.UsageMeterPeriod = float64(i%3) * 500
	return settings
}

const (
	randomSteps       = 3000
	minRandomRequests = 1000
	answerSlackMs     = 910 // maximum time from a request's deadline to its answer; there are gaps between the steps
)

// randomEvents generates random valid events for one scheduler and checks its actions.
type randomEvents struct {
	*ruleChecker
	rng          *rand.Rand
	list         []Node
	nodes        map[string]Node
	requestCount int     // number of requests so far
	events       []Event // events of the next step
}

// playRandomEvents passes random valid events to a scheduler and returns its actions by step. It calls beforeStep
// before each step.
func playRandomEvents(t *testing.T, settings Settings, seed int64, beforeStep func(*Scheduler)) [][]Action {
	s, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	p := newRandomEvents(t, settings, seed)
	for range randomSteps {
		p.advance()
		p.fireTimers()
		p.endAttempts()
		p.disconnectClients()
		for range p.rng.Intn(3) {
			p.addRequest()
		}
		p.changeList()
		p.addIgnoredEvents()
		beforeStep(s)
		actions := s.Step(p.now, p.events, nil)
		p.checkActions(actions, p.nodes)
		p.history = append(p.history, actions)
		p.events = nil
	}
	if p.requestCount < minRandomRequests {
		p.fail("only %d requests generated", p.requestCount)
	}
	return p.history
}

func newRandomEvents(t *testing.T, settings Settings, seed int64) *randomEvents {
	p := &randomEvents{rng: rand.New(rand.NewSource(seed)), nodes: map[string]Node{}}
	p.ruleChecker = &ruleChecker{t: t, settings: settings, now: 5000, startedAt: 5000,
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

// advance advances the time, sometimes by a long gap between two steps.
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

// endAttempts ends some of the attempts in flight, and all attempts that are past their deadline.
func (p *randomEvents) endAttempts() {
	keys := make([]string, 0, len(p.openAttempts))
	for key := range p.openAttempts {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		a := p.openAttempts[key]
		isLate := p.now >= p.requests[a.id].request.Deadline
		if !isLate && p.rng.Intn(25) > 0 {
			continue
		}
		status := Status(p.rng.Intn(8))
		if isLate {
			status = TimedOut
		}
		delete(p.openAttempts, key)
		p.endAttempt(a, status)
	}
}

func (p *randomEvents) endAttempt(a *trackedAttempt, status Status) {
	r := p.requests[a.id]
	r.inFlight--
	if status == OK && !r.answered && !r.disconnected {
		r.answered = true
	}
	if status == Errored || status == TimedOut || status == ConnectionReset || status == Cancelled {
		r.mayHaveRun = append(r.mayHaveRun, a)
		if key := r.request.Key; status != Errored && r.class.Ordered {
			p.keyBackoffUntil[key] = math.Max(p.keyBackoffUntil[key], p.now+p.settings.OrderedKeyBackoff)
		}
	}
	p.events = append(p.events, Event{Kind: AttemptEnded, ID: a.id, Attempt: a.attempt, Node: a.node.ID, Status: status,
		Latency: p.now - a.sentAt, Finished: r.answered || r.disconnected, PlanUsage: float64(p.rng.Intn(400)),
		PeerUsage: float64(p.rng.Intn(9) - 1)})
}

// disconnectClients disconnects a few clients, and checks that every other request is answered in time.
func (p *randomEvents) disconnectClients() {
	unanswered := p.unanswered[:0]
	for _, id := range p.unanswered {
		r := p.requests[id]
		isOverdue := p.now > r.request.Deadline+answerSlackMs
		if !r.answered && !r.disconnected && (isOverdue || p.rng.Intn(4000) == 0) {
			if isOverdue {
				p.fail("request %s has no answer", id)
			}
			r.disconnected = true
			p.events = append(p.events, Event{Kind: ClientDisconnected, ID: id})
		}
		if !r.answered && !r.disconnected {
			unanswered = append(unanswered, id)
		}
	}
	p.unanswered = unanswered
}

func (p *randomEvents) addRequest() {
	c := &p.settings.Classes[p.rng.Intn(len(p.settings.Classes))]
	req := Request{ID: fmt.Sprint("r", p.requestCount), Class: c.Name, Plan: p.settings.Plans[p.rng.Intn(2)].Name,
		Key: fmt.Sprint("k", p.rng.Intn(6)), Deadline: p.now + c.Deadline*(0.3+0.7*p.rng.Float64()),
		Units: float64(1 + p.rng.Intn(8)), Shard: p.rng.Intn(6) - 1}
	v := p.rng.Intn(4)
	req.Volume, req.Schedulers = fmt.Sprint(req.Plan, v), 1+v%3
	p.requestCount++
	p.requests[req.ID] = &trackedRequest{request: req, class: c}
	p.requestTimes = append(p.requestTimes, p.now)
	p.unanswered = append(p.unanswered, req.ID)
	if c.Ordered {
		p.byKey[req.Key] = append(p.byKey[req.Key], req.ID)
	}
	p.events = append(p.events, Event{Kind: RequestArrived, Request: req})
}

// changeList sometimes changes one entry of the list, and sometimes lets the list fail.
func (p *randomEvents) changeList() {
	if p.rng.Intn(60) == 0 {
		i := p.rng.Intn(len(p.list))
		entry := p.list[i]
		entry.State = NodeState(p.rng.Intn(3))
		if p.rng.Intn(2) == 0 {
			entry.State, entry.StartTime = NodeUp, p.now
		}
		if entry.State == NodeUp {
			delete(p.notUpSince, entry.ID)
		} else if _, ok := p.notUpSince[entry.ID]; !ok {
			p.notUpSince[entry.ID] = p.now
		}
		p.list[i], p.nodes[entry.ID] = entry, entry
		p.events = append(p.events, Event{Kind: ListChanged, Nodes: []Node{entry}})
	}
	if p.rng.Intn(100) == 0 {
		p.events = append(p.events, Event{Kind: ListFailed})
	}
}

// addIgnoredEvents sometimes adds events that the scheduler must ignore.
func (p *randomEvents) addIgnoredEvents() {
	if p.rng.Intn(100) > 0 {
		return
	}
	p.events = append(p.events, Event{Kind: AttemptEnded, ID: "ghost"}, Event{Kind: ClientDisconnected, ID: "ghost"},
		Event{Kind: TimerFired, Tag: "ghost"}, Event{Kind: GossipReceived, Data: []byte{1, 2}},
		Event{Kind: HealthCheckEnded, Node: "ghost"})
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for i := range 32 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			settings := randomEventSettings(i)
			settings.ClientsKeepKeys = i < 16
			first, second := playRandomEvents(t, settings, int64(i+1), func(*Scheduler) {}), playRandomEvents(t, settings, int64(i+1), func(s *Scheduler) {
				for _, q := range s.shardQueues { // visiting the other queues must not change anything
					s.markBusy(q)
				}
			})
			if !reflect.DeepEqual(first, second) {
				t.Error("the same events led to different actions, or a shard queue that is not busy had work to do")
			}
		})
	}
}
