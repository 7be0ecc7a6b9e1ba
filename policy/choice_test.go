package policy

import (
	"fmt"
	"math"
	"strings"
	"testing"
)

// testSettings has one class of each effect and one plan.
func testSettings() Settings {
	return Settings{Schedulers: 2, MeanUnits: 2, MaxUnits: 8, SlowStartUnits: 20, MaxAttempts: 3, MaxRetryAfter: 1000,
		SendsRetryAfter: true, DrainGrace: 1000, PollWithin: 10000, SlowStartShare: 0.2, SlowStartDuration: 10000, OverloadMultiple: 3,
		OverloadWindow: 2000,
		Classes: []Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1},
			{Name: "once", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: NonIdempotent}},
		Plans: []Plan{{Name: "p", Rate: 10, ReservedRate: 1000, Weight: 1, Price: 1}}}
}

// rig drives one instance and keeps what it did.
type rig struct {
	t    *testing.T
	s    *Scheduler
	now  float64
	acts []Action
}

func newRig(t *testing.T, set Settings) *rig {
	s, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, s: s, now: 1000}
	r.step(Event{Kind: CachedListLoaded, Nodes: []Node{{ID: "a", Shard: 0}, {ID: "b", Shard: 1}}})
	return r
}

func (r *rig) step(evs ...Event) []Action {
	r.acts = r.s.Step(r.now, evs, nil)
	return r.acts
}

func (r *rig) at(now float64, evs ...Event) []Action {
	r.now = now
	return r.step(evs...)
}

func call(id, class string, shard int, notAfter float64) Event {
	return Event{Kind: RequestArrived, Request: Request{ID: id, Class: class, Plan: "p", Key: "k" + id, Volume: "v",
		Deadline: notAfter, Units: 1, Shard: shard, Schedulers: 1}}
}

func done(id string, attempt int, st Status, finished bool) Event {
	return Event{Kind: AttemptEnded, ID: id, Attempt: attempt, Status: st, Latency: 20, Finished: finished}
}

func count(acts []Action, kind ActionKind) (n int) {
	for _, a := range acts {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

func TestNewNamesTheBadField(t *testing.T) {
	for field, spoil := range map[string]func(*Settings){
		"Hosts":            func(s *Settings) { s.Schedulers = 0 },
		"MeanUnits":        func(s *Settings) { s.MeanUnits = math.NaN() },
		"TipSpan":          func(s *Settings) { s.OverloadWindow = math.Inf(1) },
		"MaxAttempts":      func(s *Settings) { s.MaxAttempts = 0 },
		"Classes.Aim":      func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Classes.Deadline": func(s *Settings) { s.Classes[0].Deadline = 1 },
		"Classes":          func(s *Settings) { s.Classes = nil },
		"Plans.LimitBurst": func(s *Settings) { s.Plans[0].RateLimit = 5 },
		"Plans":            func(s *Settings) { s.Plans[0].Name = "" },
	} {
		set := testSettings()
		spoil(&set)
		if _, err := New(set, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v", field, err)
		}
	}
}

func TestOddArrivalsAreRefusedOnce(t *testing.T) {
	for name, ev := range map[string]Event{
		"class":   call("x", "none", 0, 3000),
		"expired": call("x", "safe", 0, 900),
		"units":   {Kind: RequestArrived, Request: Request{ID: "x", Class: "safe", Plan: "p", Deadline: 3000, Units: math.NaN()}},
		"plan":    {Kind: RequestArrived, Request: Request{ID: "x", Class: "safe", Plan: "q", Deadline: 3000, Units: 1}},
	} {
		r := newRig(t, testSettings())
		if acts := r.step(ev); count(acts, Reject) != 1 || count(acts, Send) != 0 {
			t.Errorf("%s: %v", name, acts)
		}
	}
}

func TestUnknownShardIsAnsweredInTime(t *testing.T) {
	r := newRig(t, testSettings())
	r.step(call("x", "safe", 77, 3000))
	refused := 0
	for now := 1010.0; now <= 3000; now += 10 {
		refused += count(r.at(now, Event{Kind: TimerFired, Tag: "sweep"}), Reject)
	}
	if refused != 1 {
		t.Errorf("refused %d times", refused)
	}
}

func TestUnsafeIsResentOnlyOnProof(t *testing.T) {
	for _, c := range []struct {
		status       Status
		sends, fails int
	}{{Errored, 0, 1}, {TimedOut, 0, 1}, {ConnectionReset, 0, 1}, {Cancelled, 0, 1}, {NodeFull, 1, 0}, {ConnectFailed, 1, 0}} {
		r := newRig(t, testSettings())
		r.step(call("x", "once", 0, 3000))
		acts := r.at(1100, done("x", 0, c.status, false))
		acts = append(acts, r.at(1700, Event{Kind: TimerFired, Tag: "sweep"})...)
		if c.sends == 1 { // past the aim the retry ranks last but must still come
			acts = append(acts, r.at(1310, Event{Kind: TimerFired, Tag: "sweep"})...)
		}
		if count(acts, Fail) != c.fails {
			t.Errorf("status %v: %v", c.status, acts)
		}
		if c.sends == 0 && count(acts, Send) != 0 {
			t.Errorf("status %v: sent again", c.status)
		}
	}
}

func TestDrainingNodeGetsNothingNew(t *testing.T) {
	r := newRig(t, testSettings())
	r.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: NodeDraining}}})
	if acts := r.step(call("x", "safe", 0, 3000)); count(acts, Send) != 0 {
		t.Errorf("sent to a draining node: %v", acts)
	}
	// a replacement on the same shard takes what waits
	if acts := r.at(1100, Event{Kind: ListChanged, Nodes: []Node{{ID: "c", Shard: 0}}}); count(acts, Send) != 1 {
		t.Errorf("the replacement got nothing: %v", acts)
	}
}

func TestBudgetHoldsInItsWindow(t *testing.T) {
	set := testSettings()
	set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetShare = 5000, 1, 0
	r := newRig(t, set)
	r.step(call("x", "safe", 0, 3000), call("y", "safe", 0, 3000))
	acts := r.at(1010, done("x", 0, Errored, false), done("y", 0, Errored, false))
	for now := 1020.0; now < 3000; now += 10 {
		acts = append(acts, r.at(now, Event{Kind: TimerFired, Tag: "sweep"})...)
	}
	if count(acts, Send) != 1 || count(acts, Reject) != 1 {
		t.Errorf("budget of one: %v", acts)
	}
}

// A class whose clients leave must not look healthy to the adaptation.
func TestDepartedCountsAtItsAge(t *testing.T) {
	r := newRig(t, testSettings())
	r.step(call("x", "safe", 0, 3000))
	r.at(2500, Event{Kind: ClientDisconnected, ID: "x"})
	if c := r.s.classByName["safe"]; c.sampleCount != 1 || c.sampleSum < 1400 {
		t.Errorf("%v samples, %v ms", c.sampleCount, c.sampleSum)
	}
}

func TestOrderedKeyRunsInTurn(t *testing.T) {
	set := testSettings()
	set.Classes[1].Ordered, set.OrderedKeyBackoff = true, 100
	r := newRig(t, set)
	x, y := call("x", "once", 0, 3000), call("y", "once", 1, 3000)
	x.Request.Key, y.Request.Key = "k", "k"
	if acts := r.step(x, y); count(acts, Send) != 1 || acts[0].ID != "x" {
		t.Fatalf("first: %v", acts)
	}
	if acts := r.at(1050, done("x", 0, ConnectionReset, false)); count(acts, Send) != 0 {
		t.Errorf("sent within the pause: %v", acts)
	}
	if acts := r.at(1160, Event{Kind: TimerFired, Tag: "sweep"}); count(acts, Send) != 1 {
		t.Errorf("not sent after the pause: %v", acts)
	}
}

func TestColdNodeKeepsToItsUnits(t *testing.T) {
	set := testSettings()
	set.SlowStartUnits, set.Schedulers = 6, 2
	r := newRig(t, set)
	r.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "c", Shard: 5, StartTime: 990}}})
	sent := 0
	for i := range 20 {
		sent += count(r.step(call("x"+string(rune('a'+i)), "safe", 5, 3000)), Send)
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d units to a cold node with a part of 3", sent)
	}
}

func TestErrorsNeverWiden(t *testing.T) {
	r := newRig(t, testSettings())
	for i := range 50 {
		id := "e" + string(rune('0'+i))
		r.at(r.now+20, call(id, "once", 0, r.now+2000))
		r.at(r.now+1, done(id, 0, Errored, false))
	}
	if w := r.s.nodeByID["a"].window.size; w > initialWindow {
		t.Errorf("window %v after errors alone", w)
	}
}

// Hung attempts must not hold the window: the node trickles on, and wakes.
func TestSilentNodeKeepsATrickleAndWakes(t *testing.T) {
	r := newRig(t, testSettings())
	var first []Action
	for _, id := range []string{"u", "v", "w", "x"} {
		first = append(first, r.step(call(id, "once", 0, 9000))...)
	}
	if count(first, Send) != 4 {
		t.Fatalf("a window of four: %v", first)
	}
	sends := 0
	for now := 1100.0; now < 6000; now += 10 {
		id := fmt.Sprint("q", now)
		sends += count(r.at(now, call(id, "once", 0, now+2000), Event{Kind: TimerFired, Tag: "sweep"}), Send)
	}
	if sends < 2 || sends > 6 {
		t.Errorf("%d sends to a silent node in 5 s: no trickle", sends)
	}
	n := r.s.nodeByID["a"]
	if len(n.inFlight) == 0 {
		t.Fatal("nothing out to be answered")
	}
	r.step(done(n.inFlight[0].id, 0, OK, true))
	if n.silent {
		t.Error("still silent after an answer")
	}
	if n.slowStart.startedAt != r.now {
		t.Error("back from long silence, yet not taken for cold")
	}
}

// An attempt that many later ones overtook frees its place before its end.
func TestOvertakenAttemptFreesItsPlace(t *testing.T) {
	r := newRig(t, testSettings())
	r.step(call("hung", "once", 0, 3000))
	for i := range 20 {
		id := fmt.Sprint("x", i)
		r.at(r.now+30, call(id, "once", 0, r.now+2000))
		r.at(r.now+10, done(id, 0, OK, true))
	}
	if n := r.s.nodeByID["a"]; len(n.inFlight) != 0 || n.inFlightUnits != 0 {
		t.Errorf("%d out, %v units", len(n.inFlight), n.inFlightUnits)
	}
}

// A class refused early must not look healthy.
// An overtaken attempt gets one copy beside it where its class allows a repeat, neither earlier
// nor elsewhere; the answer that comes first serves, and its lateness is no word on the node.
func TestOvertakenAttemptGetsACopy(t *testing.T) {
	for _, x := range []struct {
		class  string
		answer int // attempt that is served
		copies int
	}{{"safe", 0, 1}, {"safe", 1, 1}, {"keyed", 1, 1}, {"once", 0, 0}} {
		set := testSettings()
		set.MayHedge, set.MayCancel = true, true
		set.Classes = append(set.Classes, Class{Name: "keyed", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: DedupShard, DedupWindow: 2500})
		r := newRig(t, set)
		r.step(call("slow", x.class, 0, 3000))
		r.s.nodeByID["a"].latency.ms, r.s.nodeByID["a"].latency.learnedAt = 20, r.now
		copies := func(acts []Action) (n int) {
			for _, a := range acts {
				if a.ID == "slow" && a.Kind == Send && a.Node == "a" {
					n++
				} else if a.ID == "slow" && a.Kind != SetTimer {
					t.Errorf("%s: %+v", x.class, a)
				}
			}
			return n
		}
		sent := 0
		for i := range 4 {
			id := fmt.Sprint("q", i)
			r.at(1000+float64(i)*40, call(id, "safe", 0, 3000))
			sent += copies(r.at(1020+float64(i)*40, done(id, 0, OK, true)))
			if i < 2 && sent > 0 {
				t.Errorf("%s: a copy after %d later answers", x.class, i+1)
			}
		}
		if sent != x.copies {
			t.Errorf("%s: %d copies", x.class, sent)
		}
		usual := r.s.nodeByID["a"].latency.ms
		ev := done("slow", x.answer, OK, true)
		ev.Latency = 160
		r.at(1160, ev)
		if x.answer == 0 && r.s.nodeByID["a"].latency.ms != usual {
			t.Errorf("%s: the node's usual latency went from %v to %v", x.class, usual, r.s.nodeByID["a"].latency.ms)
		}
		if x.copies > 0 {
			r.at(1170, done("slow", 1-x.answer, Abandoned, true))
		}
		if len(r.s.requests) != 0 || r.s.waitingCount != 0 || len(r.s.nodeByID["a"].inFlight) != 0 {
			t.Errorf("%s: %d requests, %d waiting, %d out", x.class, len(r.s.requests), r.s.waitingCount, len(r.s.nodeByID["a"].inFlight))
		}
	}
}

func TestEarlyRefusalCountsWithTheWaitItWasSpared(t *testing.T) {
	r := newRig(t, testSettings())
	c := r.s.classByName["safe"]
	q := &request{id: "x", class: c, volume: r.s.volume("v", r.s.planByName["p"], 1), startedAt: r.now, chargedBand: bandFairShare}
	r.s.rejectOrFail(q, 900)
	if c.sampleSum != 900 {
		t.Errorf("sample %v", c.sampleSum)
	}
}

// A crowded node takes a host's window below two, and a fleet of many hosts further;
// a host that hears little of the node acts by time, from what it had out.
func TestCrowdedWindowIsSplitAmongHosts(t *testing.T) {
	for hosts, least := range map[int]float64{1: 2, 4: 1, 8: 0.5, 256: 4.0 / 256} {
		set := testSettings()
		set.Schedulers = hosts
		r := newRig(t, set)
		n := r.s.nodeByID["a"]
		for range 40 {
			r.at(r.now+600, Event{Kind: TimerFired})
			r.s.recordLatency(n, 900, 2)
		}
		if n.window.size != least {
			t.Errorf("%v hosts: window %v, want %v", hosts, n.window.size, least)
		}
		if gap := r.s.sendGap(n); gap > 1.5*maxSendGapMs {
			t.Errorf("%v hosts: rest of %v", hosts, gap)
		}
		for range 40 {
			r.at(r.now+600, Event{Kind: TimerFired})
			r.s.recordLatency(n, 30, 2)
		}
		if n.window.size < minWindow {
			t.Errorf("%v hosts: no way back, window %v", hosts, n.window.size)
		}
	}
}

func TestAdaptationMovesWeightToTheWorstClass(t *testing.T) {
	r := newRig(t, testSettings())
	a, b := r.s.classes[0], r.s.classes[1]
	a.sampleSum, a.sampleCount, b.sampleSum, b.sampleCount = 800, 1, 40, 1
	if !r.s.adapt() || a.weight <= 0.5 || math.Abs(a.weight+b.weight-1) > 1e-9 {
		t.Errorf("weights %v %v", a.weight, b.weight)
	}
	// the cap: the donor's predicted delay stays under its aim
	if got := 40 + (0.5-b.weight)*80; got > (1-epsilon)*b.LatencyObjective+1e-9 {
		t.Errorf("donor predicted at %v", got)
	}
}

// Memory stays bounded: what is long past is dropped.
func TestForgetsWhatIsLongPast(t *testing.T) {
	set := testSettings()
	set.Classes[1].Ordered, set.OrderedKeyBackoff = true, 100
	r := newRig(t, set)
	r.step(call("x", "once", 0, 3000))
	r.at(1020, done("x", 0, ConnectionReset, false))
	r.at(1000+2*idleEvictionMs, Event{Kind: TimerFired, Tag: "tick"})
	if len(r.s.volumes)+len(r.s.volumeOrder)+len(r.s.orderedKeys)+len(r.s.requests)+len(r.s.retries.requestTimes) > 0 {
		t.Errorf("%d volumes, %d keys, %d requests", len(r.s.volumes), len(r.s.orderedKeys), len(r.s.requests))
	}
}

// Late work must not take a crowded node from other hosts' work in time.
func TestLateWorkKeepsOffACrowdedNode(t *testing.T) {
	for window, sends := range map[float64]int{initialWindow: 1, minWindow / 2: 0} {
		r := newRig(t, testSettings())
		r.step(call("first", "safe", 0, 3000)) // shows the class's span
		r.at(1020, done("first", 0, OK, true))
		r.s.nodeByID["a"].window.size = window
		late := call("late", "safe", 0, r.now+500) // 1.5 s old, past its aim of 400 ms
		late.Request.ClientRetry = true
		acts := r.step(late)
		if count(acts, Send) != sends || count(acts, Reject) != 1-sends {
			t.Errorf("window %v: %v", window, acts)
		}
	}
}

// The list is subscribed to once, asked again after each failure with a growing
// gap, and never asked per request.
func TestAskModeAsksAgainWithGrowingGaps(t *testing.T) {
	set := testSettings()
	set.PollsEndpointList = true
	r := newRig(t, set)
	if count(r.acts, Subscribe) != 1 {
		t.Fatalf("at the start: %v", r.acts)
	}
	asks := func(span float64) (n int) {
		for end := r.now + span; r.now < end; {
			n += count(r.at(r.now+100, call(fmt.Sprint("c", r.now), "safe", 0, r.now+900),
				Event{Kind: TimerFired, Tag: "tick"}), Subscribe)
		}
		return n
	}
	last := 0.0
	for i := range 4 {
		r.step(Event{Kind: ListFailed})
		from := r.now
		for n := 0; n == 0; {
			n = asks(100)
		}
		if gap := r.now - from; gap > set.PollWithin || i == 3 && gap < last {
			t.Errorf("gap %v after %v", gap, last)
		} else if i == 0 {
			last = gap
		}
	}
	r.step(Event{Kind: ListChanged})
	if n := asks(30000); n != 0 {
		t.Errorf("asked %d times while subscribed", n)
	}
	r.step(Event{Kind: ListFailed}) // the subscription broke
	if n := asks(2 * maxPollBackoffMs); n == 0 {
		t.Error("never asked again")
	}
}

// A node absent from a full list is gone; one that starts anew is cold.
func TestFullListDropsAndRestartChills(t *testing.T) {
	r := newRig(t, testSettings())
	r.step(Event{Kind: ListReceived, Nodes: []Node{{ID: "a", Shard: 0, StartTime: 990}}})
	if n := r.s.nodeByID["b"]; n != nil {
		t.Error("b is still there")
	}
	if n := r.s.nodeByID["a"]; n.slowStart.startedAt != 990 || n.window.size != minWindow {
		t.Errorf("a restarted at %v with window %v", n.slowStart.startedAt, n.window.size)
	}
	if acts := r.step(call("x", "safe", 1, 3000)); count(acts, Send) != 0 {
		t.Errorf("sent to a node that is gone: %v", acts)
	}
}

// Over many releases, memory holds only what is alive; and the record of what was
// taken, for the attempt budget, is bounded though no further attempt is made.
func TestMemoryIsBoundedOverManyReleases(t *testing.T) {
	set := testSettings()
	set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetShare = 5000, 1, 0.1
	r := newRig(t, set)
	for i := range 3000 {
		id := fmt.Sprint("r", i)
		r.at(r.now+500, Event{Kind: TimerFired, Tag: "tick"}, Event{Kind: ListReceived, Nodes: []Node{{ID: id, Shard: 0}}},
			call(id, "safe", 0, r.now+2000))
		r.at(r.now+20, done(id, 0, OK, true))
	}
	if len(r.s.nodeByID) > 2 || len(r.s.listedNodes) > 2 || len(r.s.retries.requestTimes) > 20 || len(r.s.unserved) > 20 {
		t.Errorf("%d nodes, %d listed, %d takes, %d unserved", len(r.s.nodeByID), len(r.s.listedNodes), len(r.s.retries.requestTimes),
			len(r.s.unserved))
	}
}

// A share request of a volume without use is not paid back into the reserve.
func TestRefundGoesWhereTheChargeCameFrom(t *testing.T) {
	r := newRig(t, testSettings())
	r.step(call("x", "safe", 0, 3000))
	v := r.volume("v")
	v.reserved.tokens = 0
	r.step(call("y", "safe", 1, 3000))
	v.reserved.tokens = 0
	if q := r.s.requests["y"]; q.chargedBand != bandFairShare {
		t.Fatalf("due %v", q.chargedBand)
	}
	r.s.refund(r.s.requests["y"])
	if v.reserved.tokens != 0 || v.usageLevel != 0 {
		t.Errorf("reserve %v, level %v", v.reserved.tokens, v.usageLevel)
	}
}

// A host that stood still takes neither the wait for slowness nor the node for silent.
func TestOwnStallIsNoWordOnTheNodes(t *testing.T) {
	r := newRig(t, testSettings())
	for i := range 8 {
		id := fmt.Sprint("w", i)
		r.at(r.now+50, call(id, "once", 0, r.now+2000), Event{Kind: TimerFired, Tag: "beat"})
		r.at(r.now+20, done(id, 0, OK, true))
	}
	usual := r.s.expectedLatency(r.s.nodeByID["a"])
	r.at(r.now+30, call("x", "once", 0, r.now+2000), Event{Kind: TimerFired, Tag: "beat"})
	late := done("x", 0, OK, true)
	late.Latency = 1500
	r.at(r.now+1500, Event{Kind: TimerFired, Tag: "beat"}, late)
	n := r.s.nodeByID["a"]
	if n.silent || r.s.expectedLatency(n) > usual {
		t.Errorf("silent %v, usual %v before, %v after", n.silent, usual, r.s.expectedLatency(n))
	}
	// the same answer without a stall is a word on the node
	r.at(r.now+100, Event{Kind: TimerFired, Tag: "beat"})
	r.step(call("y", "once", 0, r.now+2000))
	late = done("y", 0, OK, true)
	late.Latency = 1500
	r.at(r.now+100, late)
	if r.s.expectedLatency(n) <= usual {
		t.Errorf("a slow answer changed nothing: %v", r.s.expectedLatency(n))
	}
}

// A client's tries are one request: they charge once, count once, and go after others.
func TestRepeatsAreOneRequest(t *testing.T) {
	r := newRig(t, testSettings())
	v := func() float64 { return r.volume("v").reserved.tokens }
	r.step(call("x0", "safe", 0, r.now+100))
	store, c := v(), r.s.classByName["safe"]
	for i := 1; i < 8; i++ {
		r.at(r.now+100, Event{Kind: ClientDisconnected, ID: fmt.Sprint("x", i-1)})
		ev := call(fmt.Sprint("x", i), "safe", 0, r.now+100)
		ev.Request.Key, ev.Request.ClientRetry = "kx0", true
		r.step(ev)
		if q := r.s.requests[ev.Request.ID]; q != nil && (!q.isClientRetry || q.startedAt != 1000) {
			t.Fatalf("try %d: repeat %v, began %v", i, q.isClientRetry, q.startedAt)
		}
	}
	if v() < store-1e-9 || c.sampleCount != 1 {
		t.Errorf("store %v then %v, %v samples", store, v(), c.sampleCount)
	}
}

// A wait that no share shortens, for a node to come or for a limit, steers no weight.
func TestSomeWaitsSteerNoWeight(t *testing.T) {
	for _, k := range []struct {
		name          string
		shard         int
		limit, counts float64
	}{{"slow", 0, 0, 1}, {"no node", 7, 0, 0}, {"limit", 0, 1e-3, 0}} {
		set := testSettings()
		set.Plans[0].RateLimit, set.Plans[0].LimitBurst = k.limit, 8
		r := newRig(t, set)
		r.step(call("x", "once", k.shard, r.now+2000))
		r.at(r.now+450, done("x", 0, OK, true))
		if c := r.s.classByName["once"]; c.sampleCount != k.counts {
			t.Errorf("%s: %v samples", k.name, c.sampleCount)
		}
		if len(r.s.requests) != 0 {
			t.Errorf("%s: not answered", k.name)
		}
	}
}

// A departed client's work is called off, where that is allowed.
func TestDepartedWorkIsCalledOff(t *testing.T) {
	set := testSettings()
	set.MayCancel = true
	r := newRig(t, set)
	r.step(call("x", "once", 0, 3000))
	if acts := r.at(1100, Event{Kind: ClientDisconnected, ID: "x"}); count(acts, Cancel) != 1 {
		t.Errorf("%v", acts)
	}
}

// Share work leaves a slow node to others' reserves, reserve work does not, and what the
// node showed heals with time.
func TestBandsLeaveASlowNode(t *testing.T) {
	r := newRig(t, testSettings())
	n := r.s.nodeByID["a"]
	slow := func() {
		r.step(call("s", "once", 0, r.now+2000))
		ev := done("s", 0, OK, true)
		ev.Latency = 0.7 * r.s.minObjective
		r.at(r.now+1, ev)
	}
	slow()
	r.volume("v").reserved.tokens = -100
	if acts := r.step(call("share", "safe", 0, r.now+2000)); count(acts, Reject) != 1 {
		t.Errorf("share work: %v", acts)
	}
	r.volume("v").reserved.tokens = 9
	if acts := r.step(call("reserve", "safe", 0, r.now+2000)); count(acts, Send) != 1 {
		t.Errorf("reserve work: %v", acts)
	}
	r.at(r.now+2*latencyDecayMs, Event{Kind: TimerFired})
	if r.s.expectedLatency(n) > bandLatencyLimit[bandFairShare]*r.s.minObjective {
		t.Errorf("no way back: %v", r.s.expectedLatency(n))
	}
}

// Nodes that vanish together and come back: no request is lost, the first answer after
// long silence finds a cold node, and work flows again within seconds.
func TestMassRestartComesBack(t *testing.T) {
	r := newRig(t, testSettings())
	served, answer := 0, true
	outs := map[string]bool{}
	for now := 1010.0; now < 20000; now += 50 {
		answer = now < 3000 || now > 7000
		evs := []Event{{Kind: TimerFired, Tag: "sweep"}}
		for id := range outs {
			if answer {
				evs = append(evs, done(id, 0, OK, true))
				served++
				delete(outs, id)
			}
		}
		id := fmt.Sprint("m", now)
		evs = append(evs, call(id, "safe", int(now/50)%2, now+2000))
		for _, a := range r.at(now, evs...) {
			if a.Kind == Send {
				outs[a.ID] = true
			}
		}
		if now < 7000 {
			served = 0
		}
	}
	if served < 100 {
		t.Errorf("%d served in the 13 s after the nodes are back", served)
	}
	if n := r.s.nodeByID["a"]; n.silent || math.IsInf(n.slowStart.startedAt, -1) {
		t.Errorf("silent %v, cold at %v", n.silent, n.slowStart.startedAt)
	}
}

// Absurd figures, empty and huge lists, and old peer messages lose no request.
func TestOddWorldsKeepTheirAnswers(t *testing.T) {
	huge := Event{Kind: ListReceived}
	for i := range 4000 {
		huge.Nodes = append(huge.Nodes, Node{ID: fmt.Sprint("h", i/2), Shard: i % 50}) // each twice
	}
	r := newRig(t, testSettings())
	r.step(Event{Kind: GossipReceived, From: -7, Data: []byte("?")}, Event{Kind: GossipReceived, From: 1e6})
	ends := map[string]int{}
	note := func(acts []Action) {
		for _, a := range acts {
			if a.Kind == Reject || a.Kind == Fail {
				ends[a.ID]++
			}
		}
	}
	for i, list := range []Event{{Kind: ListReceived}, huge, {Kind: ListReceived}, {Kind: ListReceived, Nodes: []Node{{ID: "z", Shard: 3}}}} {
		for j, hosts := range []int{0, -5, 1 << 30} {
			ev := call(fmt.Sprint("o", i, j), "once", 90+j, r.now+1500)
			ev.Request.Schedulers = hosts
			note(r.step(list, ev))
		}
		note(r.at(r.now+7000, Event{Kind: TimerFired, Tag: "tick"})) // seconds without a step
	}
	if len(ends) != 12 {
		t.Errorf("%d of 12 answered", len(ends))
	}
	for id, n := range ends {
		if n != 1 {
			t.Errorf("%s answered %d times", id, n)
		}
	}
}

// What is refused at no age counts past its aim, and a class with more weight keeps its
// place at a slow node for longer: else new objects crowd out reads that have one node.
func TestRoomsFollowTheClassWeights(t *testing.T) {
	r := newRig(t, testSettings())
	a, b := r.s.classByName["safe"], r.s.classByName["once"]
	v := r.s.volume("v", r.s.planByName["p"], 1)
	for i := range 4 {
		r.s.rejectOrFail(&request{id: fmt.Sprint("x", i), class: a, volume: v, startedAt: r.now, chargedBand: bandFairShare}, 0)
	}
	b.sampleSum, b.sampleCount = 100, 2
	r.s.adapt()
	qa, qb := &request{class: a, band: bandFairShare}, &request{class: b, band: bandFairShare}
	if r.s.latencyLimit(qa, r.s.now) <= r.s.latencyLimit(qb, r.s.now) {
		t.Errorf("rooms %v and %v at weights %v and %v", r.s.latencyLimit(qa, r.s.now), r.s.latencyLimit(qb, r.s.now), a.weight, b.weight)
	}
}

// A node that stands still holds one request of each of many hosts: what is stuck past its
// aim is called off and answered at once, refused or failed by what its class allows; it counts.
func TestStuckWorkIsCalledOffAtItsAim(t *testing.T) {
	set := testSettings()
	set.MayCancel = true
	for class, end := range map[string]ActionKind{"safe": Reject, "once": Fail} {
		r := newRig(t, set)
		r.step(call("x", class, 0, 3000))
		for r.now < 1390 {
			if acts := r.at(r.now+10, Event{Kind: TimerFired, Tag: "sweep"}); count(acts, Cancel) > 0 {
				t.Fatalf("%s: called off at %v, aim 1400", class, r.now)
			}
		}
		if acts := r.at(1400, Event{Kind: TimerFired, Tag: "sweep"}); count(acts, Cancel) != 1 {
			t.Fatalf("%s at the aim: %v", class, acts)
		}
		if u := r.s.expectedLatency(r.s.nodeByID["a"]); u < 300 {
			t.Errorf("%s: usual latency %v after 400 ms without an answer", class, u)
		}
		acts := r.at(1402, done("x", 0, Cancelled, false))
		acts = append(acts, r.at(1412, Event{Kind: TimerFired, Tag: "sweep"})...)
		if count(acts, end) != 1 || count(acts, Send)+count(acts, Cancel) != 0 {
			t.Errorf("%s after the call off: %v", class, acts)
		}
	}
}

// Work that waited with us, and is out for no longer than usual, is left to come late.
func TestWorkOutForTheUsualTimeIsNotCalledOff(t *testing.T) {
	set := testSettings()
	set.MayCancel = true
	r := newRig(t, set)
	r.step(call("x", "safe", 0, 3000))
	r.s.poolLatency.ms, r.s.poolLatency.learnedAt = 300, r.now
	if acts := r.at(1401, Event{Kind: TimerFired, Tag: "sweep"}); count(acts, Cancel) > 0 {
		t.Errorf("called off: %v", acts)
	}
}

// A host whose last answer from a cold node came in good time keeps one request out there,
// and no more; an answer that stays out too long ends that.
func TestColdNodeFollowsGoodAnswers(t *testing.T) {
	set := testSettings()
	set.Schedulers = fleetHosts
	r := newRig(t, set)
	n := r.s.nodeByID["a"]
	r.s.beginSlowStart(n, r.now)
	r.s.slowStart.dueAt, r.s.slowStart.left = r.now+10e3, 1 // an allowance for one request, none in the next span
	if acts := r.step(call("x", "safe", 0, 3000)); count(acts, Send) != 1 {
		t.Fatalf("no first turn: %v", acts)
	}
	if acts := r.at(1010, call("y", "safe", 0, 3000)); count(acts, Send) != 0 {
		t.Fatalf("sent without an answer: %v", acts)
	}
	if acts := r.at(1020, done("x", 0, OK, true)); count(acts, Send) != 1 {
		t.Errorf("nothing sent after a good answer: %v", acts)
	}
	if acts := r.at(1030, call("z", "safe", 0, 3000)); count(acts, Send) != 0 {
		t.Errorf("two out at a cold node: %v", acts)
	}
	if r.at(1300, Event{Kind: TimerFired, Tag: "sweep"}); n.slowStart.answeredInTime {
		t.Error("still good with an answer out for 280 ms")
	}
}

// What all cold nodes bear from a host goes to those that it is asked for, one request to each: parts of a request would
// else leave a fleet's cold nodes idle, each of which a host reads seldom. Nothing is saved for later.
func TestColdAllowanceGoesWhereItIsAskedFor(t *testing.T) {
	const nodes = 200
	set := testSettings()
	set.Schedulers, set.Shards = fleetHosts, nodes
	var list []Node
	for i := range nodes {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1, StartTime: 1000})
	}
	span, now := set.OverloadWindow, 1000+2*set.OverloadWindow
	ask := func(s *Scheduler, now float64, shards int) (sent int) {
		var calls []Event
		for i := range nodes {
			calls = append(calls, call(fmt.Sprint("r", now, "-", i), "once", i%shards, now+1000))
		}
		return count(s.Step(now, calls, nil), Send)
	}
	all, one := 0, 0
	for seed := range int64(20) {
		for _, shards := range []int{nodes, 1} {
			s, err := New(set, seed)
			if err != nil {
				t.Fatal(err)
			}
			s.Step(1000, []Event{{Kind: CachedListLoaded, Nodes: list}}, nil)
			n := ask(s, now, shards)
			if shards == 1 {
				one += n
				continue
			}
			all += n
			part := s.slowStartShare(s.nodeByID["n0"])
			if most := nodes * part; float64(n) > most+1 {
				t.Errorf("%d sent at once, %.1f may be after an idle time", n, most)
			}
			if n := ask(s, now+span/2, shards); n > 0 {
				t.Errorf("%d more sent within the span", n)
			}
			if n := ask(s, now+span, shards); n == 0 {
				t.Error("nothing sent in the next span")
			}
		}
	}
	if one > 20 {
		t.Errorf("%d sent to one node by 20 hosts", one)
	}
	if all < 10*one || one == 0 {
		t.Errorf("%d sent to %d nodes, %d to one", all, nodes, one)
	}
}

// A narrowed window rations shares with rests; what is due goes on, two at a time.
func TestReservesKeepTheLeastWindow(t *testing.T) {
	set := testSettings()
	set.Plans[0].ReservedRate = 100
	r := newRig(t, set)
	n := r.s.nodeByID["a"]
	n.window.size, n.nextSendAt = 0.1, r.now+3000
	for i := range 3 {
		r.step(call(fmt.Sprint("r", i), "safe", 0, 3000))
	}
	if len(n.inFlight) != 2 {
		t.Errorf("%d reserve requests out at a resting node", len(n.inFlight))
	}
	r.at(1010, done("r0", 0, NodeFull, false)) // a full node has said no: it rests from all
	if len(n.inFlight) != 1 {
		t.Errorf("%d out at a full node", len(n.inFlight))
	}
}

// Told by a watch that stands that a node drains, a host uses it for a part of the grace while it
// takes work: nobody else has its shard yet. Not where the word may be old, and not past a "full".
func TestDrainingNodeIsUsedForPartOfTheGrace(t *testing.T) {
	drains := Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: NodeDraining}}}
	sends := func(r *rig, id string, now float64) int {
		return count(r.at(now, call(id, "safe", 0, now+2000)), Send)
	}
	r := newRig(t, testSettings())
	r.step(Event{Kind: ListChanged}) // the watch stands
	r.step(drains)
	if sends(r, "x", 1100) != 1 || sends(r, "y", 1000+r.s.settings.DrainingUseDuration()) != 0 {
		t.Error("within its part of the grace: not sent, or sent past it")
	}
	r = newRig(t, testSettings())
	r.step(Event{Kind: ListChanged})
	r.step(drains)
	r.at(1100, drains) // told again: the grace counts from the first word
	if sends(r, "x", 1050+r.s.settings.DrainingUseDuration()) != 0 {
		t.Error("a second word began the grace anew")
	}
	r = newRig(t, testSettings())
	r.step(Event{Kind: ListChanged})
	r.step(Event{Kind: ListFailed})
	r.step(drains)
	if sends(r, "x", 1010) != 0 {
		t.Error("sent on the word of a list that may be old")
	}
	r = newRig(t, testSettings())
	r.step(Event{Kind: ListChanged})
	r.step(drains)
	sends(r, "x", 1010)
	if acts := r.at(1020, done("x", 0, NodeFull, false)); count(acts, Send) != 0 || sends(r, "y", 1200) != 0 {
		t.Error("sent again to a draining node that takes nothing more")
	}
	for _, k := range []struct {
		name  string
		grace float64
		state NodeState
	}{{"a grace that leaves no time", 250, NodeDraining}, {"out by hand", 1000, NodeExcluded}} {
		set := testSettings()
		set.DrainGrace = k.grace
		r = newRig(t, set)
		r.step(Event{Kind: ListChanged})
		r.step(Event{Kind: ListChanged, Nodes: []Node{{ID: "a", Shard: 0, State: k.state}}})
		if sends(r, "x", 1001) != 0 {
			t.Error("used: " + k.name)
		}
	}
}
