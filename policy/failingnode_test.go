package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// Simulates one scheduler with little traffic and a node that begins to fail. It measures how many answers the
// scheduler needs until it avoids the node, and which share of the attempts the node still gets. The simulation runs in
// virtual time with fixed seeds. docs/incidents/fewanswers.md has the table of results, which
// go test -v -run TestFailingNodeIsAvoidedWithFewAnswers prints.

const (
	failingNodeCount     = 8
	failingNodeServiceMs = 60.0
	failingFromMs        = 20e3
	failingForMs         = 20e3
	failingNodeEndMs     = 60e3
)

// failingNodeCase describes how the node fails and the traffic of the scheduler.
type failingNodeCase struct {
	mode              string // how the node fails
	nodesPerShard     int
	namesShard        bool // requests name their shard
	requestsPerSecond float64
}

type failingNodeRun struct {
	*simulation // provides the clock and the event queue
	scheduler   *Scheduler
	failingNodeCase
	open map[string]*failingNodeRequest
	// Measured while the node fails:
	failedAttempts       int     // attempts at the failing node
	attemptsUntilAvoided int     // those up to the last regular attempt
	avoidedAfter         float64 // time from the start of the failure to that attempt, ms
	attempts, requests   int     // attempts at all nodes, and requests
	missedObjectives     int     // requests that were not served within their objective
	recoveredAfter       float64 // time from the node's recovery to its first regular attempt, ms; 0: there was none
	recent               []bool  // for each of the last attempts, whether it went to the failing node
}

type failingNodeRequest struct {
	request   Request
	arrivedAt float64
	attempts  []func(Status)
	done      bool
}

func (f *failingNodeRun) isFailing() bool {
	return f.now >= failingFromMs && f.now < failingFromMs+failingForMs
}

func (f *failingNodeRun) step(events ...Event) {
	for _, a := range f.scheduler.Step(1e6+f.now, events, nil) {
		switch r := f.open[a.ID]; a.Kind {
		case SetTimer:
			f.after(math.Max(a.Wait, 1), func() { f.step(Event{Kind: TimerFired, Tag: a.Tag}) })
		case Reject, Fail:
			f.endRequest(r, false)
		case Send:
			f.send(r, a)
		case Cancel:
			f.after(1, func() { r.attempts[a.Attempt](Cancelled) })
		}
	}
}

func (f *failingNodeRun) endRequest(r *failingNodeRequest, served bool) {
	r.done = true
	if !served || f.now > r.arrivedAt+f.settings.Classes[0].LatencyObjective {
		if r.arrivedAt >= failingFromMs && r.arrivedAt < failingFromMs+failingForMs {
			f.missedObjectives++
		}
	}
}

func (f *failingNodeRun) send(r *failingNodeRequest, a Action) {
	number, sentAt, ended := len(r.attempts), f.now, false
	endAttempt := func(status Status) {
		if ended {
			return
		}
		ended = true
		if status == OK && !r.done {
			f.endRequest(r, true)
		}
		f.step(Event{Kind: AttemptEnded, ID: a.ID, Attempt: number, Node: a.Node, Status: status, Latency: f.now - sentAt, Finished: r.done})
	}
	r.attempts = append(r.attempts, endAttempt)
	f.after(a.Deadline-1e6-f.now, func() { endAttempt(TimedOut) })
	if f.namesShard || r.request.Shard < 0 {
		f.recordAttempt(a.Node == "n0")
	}
	wait := failingNodeServiceMs * (0.5 + f.rng.ExpFloat64()/2)
	if a.Node != "n0" || !f.isFailing() {
		f.after(wait, func() { endAttempt(OK) })
		return
	}
	switch f.mode {
	case "fails fast":
		f.after(2, func() { endAttempt(Errored) })
	case "slow fivefold":
		f.after(5*wait, func() { endAttempt(OK) })
	}
}

// recordAttempt counts an attempt. An attempt at the failing node is regular if at least one more of the last 32 attempts
// went to that node. The node's fair share is 4 of 32. Without regular attempts the node counts as avoided.
func (f *failingNodeRun) recordAttempt(atFailingNode bool) {
	f.recent = append(f.recent, atFailingNode)
	if len(f.recent) > 32 {
		f.recent = f.recent[1:]
	}
	countAtFailingNode := 0
	for _, b := range f.recent {
		if b {
			countAtFailingNode++
		}
	}
	isRegular := countAtFailingNode > 1 // the fair share is 4 of 32
	switch {
	case f.isFailing():
		f.attempts++
		if atFailingNode {
			f.failedAttempts++
			if isRegular {
				f.attemptsUntilAvoided, f.avoidedAfter = f.failedAttempts, f.now-failingFromMs
			}
		}
	case f.now >= failingFromMs+failingForMs && isRegular && atFailingNode && f.recoveredAfter == 0:
		f.recoveredAfter = f.now - failingFromMs - failingForMs
	}
}

// runFailingNode runs a case with one seed. With one node per shard, half of the requests name their shard and cannot
// go to another node. Of these, only the missed objectives are counted.
func runFailingNode(t *testing.T, c failingNodeCase, seed int64) *failingNodeRun {
	sim := &simulation{t: t, rng: rand.New(rand.NewSource(seed))}
	sim.settings = Settings{Schedulers: 80, MeanUnits: 1, MaxUnits: 1, SlowStartUnits: 39, MaxAttempts: 4, MaxRetryAfter: 1000, SendsRetryAfter: true, MayCancel: true,
		MayHedge: true, DrainGrace: 250, SlowStartShare: 0.24, SlowStartDuration: 17000, OverloadMultiple: 3, OverloadWindow: 3000, Shards: failingNodeCount / c.nodesPerShard,
		Classes: []Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3, LatePriorityWeight: 0.1}},
		Plans:   []Plan{{Name: "open", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}}}
	s, err := New(sim.settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	run := &failingNodeRun{simulation: sim, scheduler: s, failingNodeCase: c, open: map[string]*failingNodeRequest{}}
	var list []Node
	for i := range failingNodeCount {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i / c.nodesPerShard, Weight: 1})
	}
	run.step(Event{Kind: ListReceived, Nodes: list})
	var arrive func()
	arrive = func() {
		sim.after(sim.rng.ExpFloat64()*1000/c.requestsPerSecond, arrive)
		sim.sequence++
		shard := -1
		if c.namesShard || c.nodesPerShard == 1 && sim.rng.Intn(2) == 0 {
			shard = sim.rng.Intn(sim.settings.Shards)
		}
		req := &failingNodeRequest{arrivedAt: sim.now, request: Request{ID: fmt.Sprint("q", sim.sequence), Class: "safe", Plan: "open", Key: fmt.Sprint("k", sim.sequence), Volume: "v",
			Deadline: 1e6 + sim.now + 2000, Units: 1, Shard: shard, Schedulers: 1}}
		if run.open[req.request.ID] = req; run.isFailing() {
			run.requests++
		}
		run.step(Event{Kind: RequestArrived, Request: req.request})
	}
	sim.after(0, arrive)
	sim.runUntil(failingNodeEndMs)
	return run
}

// runUntil runs the simulation until a time.
func (sim *simulation) runUntil(end float64) {
	for sim.events[0].at < end {
		event := heap.Pop(&sim.events).(simulatedEvent)
		sim.now = event.at
		event.run()
	}
}

func TestFailingNodeIsAvoidedWithFewAnswers(t *testing.T) {
	const seeds = 20
	median := func(v []float64) float64 { slices.Sort(v); return v[len(v)/2] }
	for _, tc := range []struct {
		name          string
		nodesPerShard int
		namesShard    bool
		// Limits by mode for the attempts at the failing node, in percent of its fair share. They are slightly above the
		// present results. docs/incidents/fewanswers.md proposes lower limits.
		maxShare map[string]float64
	}{{"new beside named, one node", 1, false, map[string]float64{"fails fast": 150, "hangs": 60, "slow fivefold": 60}},
		{"new, two nodes", 2, false, map[string]float64{"fails fast": 420, "hangs": 120, "slow fivefold": 130}},
		{"named, two nodes", 2, true, map[string]float64{"fails fast": 540, "hangs": 190, "slow fivefold": 210}}} {
		for _, mode := range []string{"fails fast", "hangs", "slow fivefold"} {
			for _, rate := range []float64{2, 5, 20} {
				var attemptsUntilAvoided, avoidedAfter, shareOfAttempts, missedObjectives, recoveredAfter []float64
				for seed := range int64(seeds) {
					run := runFailingNode(t, failingNodeCase{mode, tc.nodesPerShard, tc.namesShard, rate}, seed)
					attemptsUntilAvoided, avoidedAfter = append(attemptsUntilAvoided, float64(run.attemptsUntilAvoided)), append(avoidedAfter, run.avoidedAfter/1000)
					shareOfAttempts = append(shareOfAttempts, float64(run.failedAttempts)/float64(run.attempts)*failingNodeCount*100)
					missedObjectives = append(missedObjectives, float64(run.missedObjectives)/float64(run.requests)*100)
					if run.recoveredAfter == 0 {
						run.recoveredAfter = failingNodeEndMs - failingFromMs - failingForMs
					}
					recoveredAfter = append(recoveredAfter, run.recoveredAfter/1000)
				}
				t.Logf("| %s | %s | %.0f | %.0f | %.1f | %.0f%% | %.1f%% | %.1f |", tc.name, mode, rate, median(attemptsUntilAvoided), median(avoidedAfter), median(shareOfAttempts),
					median(missedObjectives), median(recoveredAfter))
				if median(shareOfAttempts) > tc.maxShare[mode] {
					t.Errorf("%s, %s, %.0f requests per second: the failing node gets %.0f%% of its fair share", tc.name, mode, rate, median(shareOfAttempts))
				}
			}
		}
	}
}
