package policy

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"sort"
	"testing"
)

// ruleChecker is the outside bookkeeping of what the rules forbid.
type ruleChecker struct {
	t       *testing.T
	set     Settings
	now     float64
	reqs    map[string]*trackedRequest
	open    map[string]*trackedAttempt
	told    map[string]float64 // when a node was told to drain or to be gone
	takes   []float64
	extras  []float64
	rest    map[string]float64
	spent   map[string]float64 // limited units sent since start, by volume
	born    float64
	lines   map[string][]string
	timers  []dueTimer
	live    []string // unanswered, in order of arrival
	history [][]Action
}

type trackedRequest struct {
	ev       Request
	class    *Class
	sends    int
	outs     int
	answered bool
	gone     bool
	mayRun   []*trackedAttempt
}

type trackedAttempt struct {
	id      string
	attempt int
	node    Node
	sent    float64
}

type dueTimer struct {
	at  float64
	tag string
}

func fuzzSettings(i int) Settings {
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

func (b *ruleChecker) fail(format string, args ...any) {
	b.t.Helper()
	b.t.Fatalf("at %.0f: %s", b.now, fmt.Sprintf(format, args...))
}

func (b *ruleChecker) answered(id string) {
	e := b.reqs[id]
	if e == nil || e.answered {
		b.fail("second or unasked answer for %s", id)
	}
	e.answered = true
}

func (b *ruleChecker) check(acts []Action, nodes map[string]Node) {
	for _, a := range acts {
		switch a.Kind {
		case Send:
			b.send(a, nodes)
		case Reject:
			e := b.reqs[a.ID]
			b.answered(a.ID)
			lone := e.class == nil || e.class.Effect == Idempotent || e.class.Effect == IdempotentByKey && e.class.DedupScope == DedupAll
			if !lone && len(e.mayRun) > 0 {
				b.fail("refused %s, which may have run", a.ID)
			}
			if a.Wait < 0 || a.Wait > b.set.MaxRetryAfter {
				b.fail("hold-off %v", a.Wait)
			}
		case Fail:
			b.answered(a.ID)
		case SetTimer:
			if a.Wait <= 0 {
				b.fail("timer %v", a.Wait)
			}
			b.timers = append(b.timers, dueTimer{b.now + a.Wait, a.Tag})
		case Gossip:
			if !b.set.MayGossip || len(a.Data) > 256 {
				b.fail("message not allowed")
			}
		case CheckHealth, Cancel:
			b.fail("probe or cancel where not allowed")
		}
	}
}

func (b *ruleChecker) send(a Action, nodes map[string]Node) {
	e, n := b.reqs[a.ID], nodes[a.Node]
	if e == nil || e.answered || e.gone {
		b.fail("sent %s after its end", a.ID)
	}
	if n.ID == "" {
		b.fail("sent to unlisted %q", a.Node)
	}
	if at, ok := b.told[a.Node]; ok && b.now > at+b.set.DrainGrace {
		b.fail("sent to %s, told bad at %.0f", a.Node, at)
	}
	if e.sends >= b.set.MaxAttempts || !b.set.MayHedge && e.outs > 0 {
		b.fail("attempt %d of %s with %d out", e.sends, a.ID, e.outs)
	}
	for _, f := range e.mayRun {
		switch {
		case e.class.Effect == NonIdempotent:
			b.fail("unsafe %s sent again", a.ID)
		case e.class.Effect == IdempotentByKey && (b.now > f.sent+e.class.DedupWindow ||
			e.class.DedupScope == DedupZone && f.node.Zone != n.Zone ||
			e.class.DedupScope == DedupShard && f.node.Shard != n.Shard):
			b.fail("keyed %s sent outside its group or window", a.ID)
		}
	}
	if e.sends > 0 && b.set.RetryBudgetWindow > 0 {
		extra, taken := 1.0, 0.0
		for _, t := range b.extras {
			if t >= b.now-b.set.RetryBudgetWindow {
				extra++
			}
		}
		for _, t := range b.takes {
			if t > b.now-b.set.RetryBudgetWindow {
				taken++
			}
		}
		if extra > b.set.RetryBudgetMin+b.set.RetryBudgetShare*taken+1e-9 {
			b.fail("extra attempt %v over the budget", extra)
		}
	}
	if e.sends > 0 {
		b.extras = append(b.extras, b.now)
	}
	if e.class.Ordered && e.ev.Key != "" {
		for _, id := range b.lines[e.ev.Key] {
			if id == a.ID {
				break
			}
			if o := b.reqs[id]; !o.answered && !o.gone || o.outs > 0 {
				b.fail("%s overtakes %s", a.ID, id)
			}
		}
		if e.sends == 0 && b.now < b.rest[e.ev.Key] {
			b.fail("%s sent before its key has rested", a.ID)
		}
	}
	if e.ev.Plan == "capped" && e.sends == 0 {
		b.spent[e.ev.Volume] += e.ev.Units
		part := 1 / float64(e.ev.Schedulers)
		if b.spent[e.ev.Volume] > part*(40+20*(b.now-b.born)/1000)+1e-6 {
			b.fail("limit of %s passed: %v", e.ev.Volume, b.spent[e.ev.Volume])
		}
	}
	b.open[fmt.Sprint(a.ID, "#", e.sends)] = &trackedAttempt{a.ID, e.sends, n, b.now}
	e.sends++
	e.outs++
}

// playRandomEvents drives random legal events and returns all actions; before comes before each step.
func playRandomEvents(t *testing.T, set Settings, seed int64, before func(*Scheduler)) [][]Action {
	rnd := rand.New(rand.NewSource(seed))
	s, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	b := &ruleChecker{t: t, set: set, now: 5000, born: 5000, reqs: map[string]*trackedRequest{}, open: map[string]*trackedAttempt{},
		told: map[string]float64{}, rest: map[string]float64{}, spent: map[string]float64{},
		lines: map[string][]string{}}
	nodes := map[string]Node{}
	var list []Node
	for i := range 4 {
		n := Node{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%2), Shard: i}
		list, nodes[n.ID] = append(list, n), n
	}
	evs := []Event{{Kind: CachedListLoaded, Nodes: list}}
	serial := 0
	for step := range 3000 {
		b.now += float64(rnd.Intn(6))
		if rnd.Intn(200) == 0 {
			b.now += float64(rnd.Intn(900)) // a gap between batches
		}
		sort.SliceStable(b.timers, func(i, k int) bool { return b.timers[i].at < b.timers[k].at })
		for len(b.timers) > 0 && b.timers[0].at <= b.now {
			evs = append(evs, Event{Kind: TimerFired, Tag: b.timers[0].tag})
			b.timers = b.timers[1:]
		}
		keys := make([]string, 0, len(b.open))
		for k := range b.open {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		for _, k := range keys {
			f := b.open[k]
			e := b.reqs[f.id]
			late := b.now >= e.ev.Deadline
			if !late && rnd.Intn(25) > 0 {
				continue
			}
			st := Status(rnd.Intn(8))
			if late {
				st = TimedOut
			}
			delete(b.open, k)
			e.outs--
			if st == OK && !e.answered && !e.gone {
				e.answered = true
			}
			if st == Errored || st == TimedOut || st == ConnectionReset || st == Cancelled {
				e.mayRun = append(e.mayRun, f)
				if st != Errored && e.class.Ordered {
					b.rest[e.ev.Key] = math.Max(b.rest[e.ev.Key], b.now+set.OrderedKeyBackoff)
				}
			}
			evs = append(evs, Event{Kind: AttemptEnded, ID: f.id, Attempt: f.attempt, Node: f.node.ID, Status: st,
				Latency: b.now - f.sent, Finished: e.answered || e.gone, PlanUsage: float64(rnd.Intn(400)),
				PeerUsage: float64(rnd.Intn(9) - 1)})
		}
		live := b.live[:0]
		for _, id := range b.live {
			e := b.reqs[id]
			if !e.answered && !e.gone && (b.now > e.ev.Deadline+910 || rnd.Intn(4000) == 0) {
				if b.now > e.ev.Deadline+910 {
					b.fail("%s lost: no answer", id)
				}
				e.gone = true
				evs = append(evs, Event{Kind: ClientDisconnected, ID: id})
			}
			if !e.answered && !e.gone {
				live = append(live, id)
			}
		}
		b.live = live
		for range rnd.Intn(3) {
			c := &set.Classes[rnd.Intn(len(set.Classes))]
			q := Request{ID: fmt.Sprint("r", serial), Class: c.Name, Plan: set.Plans[rnd.Intn(2)].Name,
				Key: fmt.Sprint("k", rnd.Intn(6)), Deadline: b.now + c.Deadline*(0.3+0.7*rnd.Float64()),
				Units: float64(1 + rnd.Intn(8)), Shard: rnd.Intn(6) - 1, Schedulers: 2}
			v := rnd.Intn(4)
			q.Volume, q.Schedulers = fmt.Sprint(q.Plan, v), 1+v%3
			serial++
			b.reqs[q.ID] = &trackedRequest{ev: q, class: c}
			b.takes = append(b.takes, b.now)
			b.live = append(b.live, q.ID)
			if c.Ordered {
				b.lines[q.Key] = append(b.lines[q.Key], q.ID)
			}
			evs = append(evs, Event{Kind: RequestArrived, Request: q})
		}
		if rnd.Intn(60) == 0 {
			i := rnd.Intn(len(list))
			n := list[i]
			n.State = NodeState(rnd.Intn(3))
			if rnd.Intn(2) == 0 {
				n.State, n.StartTime = NodeUp, b.now
			}
			if n.State == NodeUp {
				delete(b.told, n.ID)
			} else if _, ok := b.told[n.ID]; !ok {
				b.told[n.ID] = b.now
			}
			list[i], nodes[n.ID] = n, n
			evs = append(evs, Event{Kind: ListChanged, Nodes: []Node{n}})
		}
		if rnd.Intn(100) == 0 {
			evs = append(evs, Event{Kind: ListFailed})
		}
		if rnd.Intn(100) == 0 { // what must be passed over
			evs = append(evs, Event{Kind: AttemptEnded, ID: "ghost"}, Event{Kind: ClientDisconnected, ID: "ghost"},
				Event{Kind: TimerFired, Tag: "ghost"}, Event{Kind: GossipReceived, Data: []byte{1, 2}},
				Event{Kind: HealthCheckEnded, Node: "ghost"})
		}
		before(s)
		acts := s.Step(b.now, evs, nil)
		b.check(acts, nodes)
		b.history = append(b.history, acts)
		evs = nil
		if step == 2999 && serial < 1000 {
			b.fail("only %d requests", serial)
		}
	}
	return b.history
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for i := range 16 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			one, two := playRandomEvents(t, fuzzSettings(i), int64(i+1), func(*Scheduler) {}), playRandomEvents(t, fuzzSettings(i), int64(i+1), func(s *Scheduler) {
				for _, l := range s.shardQueues { // the lanes that are passed over would have done nothing
					s.markBusy(l)
				}
			})
			if !reflect.DeepEqual(one, two) {
				t.Error("equal events gave other actions, or a shard queue that is not looked at had something to do")
			}
		})
	}
}
