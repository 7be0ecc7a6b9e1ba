package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// One scheduler with little traffic and a node that begins to fail: how many answers it takes until the scheduler
// avoids that node, and what the node still gets. Pure calls, virtual time, seeds. docs/incidents/fewanswers.md
// has the table (go test -v -run TestFailingNodeIsAvoidedWithFewAnswers).

const (
	failingNodeCount     = 8
	failingNodeServiceMs = 60.0
	failingFromMs        = 20e3
	failingForMs         = 20e3
	failingNodeEndMs     = 60e3
)

// failingNodeCase is one way in which a node fails, and the traffic of the scheduler.
type failingNodeCase struct {
	mode          string // how the node fails
	nodesPerShard int
	named         bool    // requests name their shard
	rate          float64 // requests a second
}

type failingNodeRun struct {
	*simulation // its clock and queue of what is due
	s           *Scheduler
	failingNodeCase
	open map[string]*failingNodeRequest
	// Of the time in which the node fails:
	failedAttempts       int     // at the failing node
	attemptsUntilAvoided int     // of those, up to the last one before it is avoided
	avoidedAfter         float64 // time of that one, ms
	attempts, requests   int     // at all nodes
	missed               int     // requests that were not served within their objective
	recoveredAfter       float64 // time from the node's recovery to its first regular attempt, ms
	recent               []bool  // whether each of the last attempts went to the bad node
}

type failingNodeRequest struct {
	req       Request
	arrivedAt float64
	attempts  []func(Status)
	done      bool
}

func (f *failingNodeRun) isFailing() bool {
	return f.now >= failingFromMs && f.now < failingFromMs+failingForMs
}

func (f *failingNodeRun) step(evs ...Event) {
	for _, a := range f.s.Step(1e6+f.now, evs, nil) {
		switch r := f.open[a.ID]; a.Kind {
		case SetTimer:
			f.after(math.Max(a.Wait, 1), func() { f.step(Event{Kind: TimerFired, Tag: a.Tag}) })
		case Reject, Fail:
			f.end(r, false)
		case Send:
			f.send(r, a)
		case Cancel:
			f.after(1, func() { r.attempts[a.Attempt](Cancelled) })
		}
	}
}

func (f *failingNodeRun) end(r *failingNodeRequest, ok bool) {
	r.done = true
	if !ok || f.now > r.arrivedAt+f.set.Classes[0].LatencyObjective {
		if r.arrivedAt >= failingFromMs && r.arrivedAt < failingFromMs+failingForMs {
			f.missed++
		}
	}
}

func (f *failingNodeRun) send(r *failingNodeRequest, a Action) {
	no, sent, over := len(r.attempts), f.now, false
	end := func(status Status) {
		if over {
			return
		}
		over = true
		if status == OK && !r.done {
			f.end(r, true)
		}
		f.step(Event{Kind: AttemptEnded, ID: a.ID, Attempt: no, Node: a.Node, Status: status, Latency: f.now - sent, Finished: r.done})
	}
	r.attempts = append(r.attempts, end)
	f.after(a.Deadline-1e6-f.now, func() { end(TimedOut) })
	if f.named || r.req.Shard < 0 {
		f.count(a.Node == "n0")
	}
	wait := failingNodeServiceMs * (0.5 + f.rng.ExpFloat64()/2)
	if a.Node != "n0" || !f.isFailing() {
		f.after(wait, func() { end(OK) })
		return
	}
	switch f.mode {
	case "fails fast":
		f.after(2, func() { end(Errored) })
	case "slow fivefold":
		f.after(5*wait, func() { end(OK) })
	}
}

// count counts an attempt. The failing node is avoided once at most one of 32 attempts goes there; its fair share is 4.
func (f *failingNodeRun) count(bad bool) {
	f.recent = append(f.recent, bad)
	if len(f.recent) > 32 {
		f.recent = f.recent[1:]
	}
	n := 0
	for _, b := range f.recent {
		if b {
			n++
		}
	}
	regular := n > 1 // fair: 4 of 32
	switch {
	case f.isFailing():
		f.attempts++
		if bad {
			f.failedAttempts++
			if regular {
				f.attemptsUntilAvoided, f.avoidedAfter = f.failedAttempts, f.now-failingFromMs
			}
		}
	case f.now >= failingFromMs+failingForMs && regular && bad && f.recoveredAfter == 0:
		f.recoveredAfter = f.now - failingFromMs - failingForMs
	}
}

// runFailingNode plays one seed with so many nodes a shard. With one alone half of the requests name their shard, and
// can go to no other; of these nothing is counted but the objectives missed.
func runFailingNode(t *testing.T, c failingNodeCase, seed int64) *failingNodeRun {
	w := &simulation{t: t, rng: rand.New(rand.NewSource(seed))}
	w.set = Settings{Schedulers: 80, MeanUnits: 1, MaxUnits: 1, SlowStartUnits: 39, MaxAttempts: 4, MaxRetryAfter: 1000, SendsRetryAfter: true, MayCancel: true,
		MayHedge: true, DrainGrace: 250, SlowStartShare: 0.24, SlowStartDuration: 17000, OverloadMultiple: 3, OverloadWindow: 3000, Shards: failingNodeCount / c.nodesPerShard,
		Classes: []Class{{Name: "safe", LatencyObjective: 400, Deadline: 2000, PriorityWeight: 3, LatePriorityWeight: 0.1}},
		Plans:   []Plan{{Name: "open", Rate: 100, ReservedRate: 100, Weight: 1, Price: 1}}}
	s, err := New(w.set, seed)
	if err != nil {
		t.Fatal(err)
	}
	f := &failingNodeRun{simulation: w, s: s, failingNodeCase: c, open: map[string]*failingNodeRequest{}}
	var list []Node
	for i := range failingNodeCount {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i / c.nodesPerShard, Weight: 1})
	}
	f.step(Event{Kind: ListReceived, Nodes: list})
	var arrive func()
	arrive = func() {
		w.after(w.rng.ExpFloat64()*1000/c.rate, arrive)
		w.sequence++
		shard := -1
		if c.named || c.nodesPerShard == 1 && w.rng.Intn(2) == 0 {
			shard = w.rng.Intn(w.set.Shards)
		}
		r := &failingNodeRequest{arrivedAt: w.now, req: Request{ID: fmt.Sprint("q", w.sequence), Class: "safe", Plan: "open", Key: fmt.Sprint("k", w.sequence), Volume: "v",
			Deadline: 1e6 + w.now + 2000, Units: 1, Shard: shard, Schedulers: 1}}
		if f.open[r.req.ID] = r; f.isFailing() {
			f.requests++
		}
		f.step(Event{Kind: RequestArrived, Request: r.req})
	}
	w.after(0, arrive)
	w.runUntil(failingNodeEndMs)
	return f
}

// runUntil runs until a time.
func (w *simulation) runUntil(end float64) {
	for w.events[0].at < end {
		d := heap.Pop(&w.events).(simulatedEvent)
		w.now = d.at
		d.do()
	}
}

func TestFailingNodeIsAvoidedWithFewAnswers(t *testing.T) {
	const seeds = 20
	median := func(v []float64) float64 { slices.Sort(v); return v[len(v)/2] }
	for _, kind := range []struct {
		name  string
		each  int
		named bool
		most  map[string]float64 // of its share, as it is today and a little more; docs/incidents/fewanswers.md proposes less
	}{{"new beside named, one node", 1, false, map[string]float64{"fails fast": 150, "hangs": 60, "slow fivefold": 60}},
		{"new, two nodes", 2, false, map[string]float64{"fails fast": 420, "hangs": 120, "slow fivefold": 130}},
		{"named, two nodes", 2, true, map[string]float64{"fails fast": 540, "hangs": 190, "slow fivefold": 210}}} {
		for _, mode := range []string{"fails fast", "hangs", "slow fivefold"} {
			for _, rate := range []float64{2, 5, 20} {
				var until, settled, share, missed, back []float64
				for seed := range int64(seeds) {
					f := runFailingNode(t, failingNodeCase{mode, kind.each, kind.named, rate}, seed)
					until, settled = append(until, float64(f.attemptsUntilAvoided)), append(settled, f.avoidedAfter/1000)
					share = append(share, float64(f.failedAttempts)/float64(f.attempts)*failingNodeCount*100)
					missed = append(missed, float64(f.missed)/float64(f.requests)*100)
					if f.recoveredAfter == 0 {
						f.recoveredAfter = failingNodeEndMs - failingFromMs - failingForMs
					}
					back = append(back, f.recoveredAfter/1000)
				}
				t.Logf("| %s | %s | %.0f | %.0f | %.1f | %.0f%% | %.1f%% | %.1f |", kind.name, mode, rate, median(until), median(settled), median(share),
					median(missed), median(back))
				if median(share) > kind.most[mode] {
					t.Errorf("%s, %s, %.0f a second: the bad node gets %.0f%% of its share", kind.name, mode, rate, median(share))
				}
			}
		}
	}
}
