package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// runSurge plays a fleet of schedulers that each hear little of any node: a calm time, then so many times
// as much for a while. The nodes serve two at once, in turn, and work on what was cancelled. It gives
// the shares of what the nodes could do in the surge that were answered in time, and late.
func runSurge(t *testing.T, seed int64, times float64) (timely, late float64) {
	const hosts, nodes, servers, meanWork = 150, 75, 2, 120.0
	const calm, span, end = 5e3, 10e3, 17e3
	set := testSettings()
	set.Schedulers, set.MeanUnits, set.MaxUnits, set.MayCancel, set.Shards, set.MaxAttempts = hosts, 1, 1, true, nodes, 3
	set.Classes = []Class{{Name: "safe", LatencyObjective: 1400, Deadline: 3000, PriorityWeight: 3}, {Name: "once", LatencyObjective: 1700, Deadline: 3000, PriorityWeight: 2, Effect: NonIdempotent}}
	full := nodes * servers / meanWork // requests a ms
	set.Plans = []Plan{{Name: "p", Rate: 1, ReservedRate: 400 * full / (hosts / 3), Weight: 1, Price: 1}}
	rng := rand.New(rand.NewSource(seed))
	var due eventQueue
	now, seq := 0.0, 0
	after := func(wait float64, do func()) {
		seq++
		heap.Push(&due, simulatedEvent{now + wait, seq, do})
	}
	free := make([][servers]float64, nodes)
	type one struct {
		host  *Scheduler
		aim   float64
		begun float64
		tries int
		ended bool
	}
	reqs := map[string]*one{}
	var scheds []*Scheduler
	var step func(s *Scheduler, evs ...Event)
	step = func(s *Scheduler, evs ...Event) {
		for _, a := range s.Step(now, evs, nil) {
			switch a.Kind {
			case SetTimer:
				after(math.Max(a.Wait, 1), func() { step(s, Event{Kind: TimerFired, Tag: a.Tag}) })
			case Reject, Fail:
				reqs[a.ID].ended = true
			case Send:
				r, no := reqs[a.ID], reqs[a.ID].tries
				r.tries++
				var at int
				if _, err := fmt.Sscanf(a.Node, "n%d", &at); err != nil {
					t.Fatal(err)
				}
				k := 0
				if free[at][1] < free[at][0] {
					k = 1
				}
				free[at][k] = math.Max(now, free[at][k]) + rng.ExpFloat64()*meanWork
				sent := now
				after(free[at][k]-now, func() {
					fin := !r.ended
					if r.ended = true; fin && now > calm && now < calm+span {
						if now-r.begun <= r.aim {
							timely++
						} else {
							late++
						}
					}
					step(s, Event{Kind: AttemptEnded, ID: a.ID, Attempt: no, Node: a.Node, Status: OK, Latency: now - sent, Finished: true})
				})
			case Cancel:
				id, no := a.ID, a.Attempt
				after(1, func() {
					step(s, Event{Kind: AttemptEnded, ID: id, Attempt: no, Status: Cancelled, Finished: reqs[id].ended})
				})
			}
		}
	}
	var list []Node
	for i := range nodes {
		list = append(list, Node{ID: fmt.Sprint("n", i), Shard: i, Weight: 1})
	}
	for i := range hosts {
		set.Instance = i
		s, err := New(set, seed*1000+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		scheds = append(scheds, s)
		step(s, Event{Kind: CachedListLoaded, Nodes: list})
	}
	var arrive func()
	n := 0
	arrive = func() {
		n++
		vol, k := rng.Intn(hosts/3), set.Classes[n%2]
		s := scheds[3*vol+rng.Intn(3)] // each volume comes through three schedulers
		id := fmt.Sprint("q", n)
		reqs[id] = &one{host: s, aim: k.LatencyObjective, begun: now}
		step(s, Event{Kind: RequestArrived, Request: Request{ID: id, Class: k.Name, Plan: "p", Key: "k" + id, Volume: fmt.Sprint("v", vol),
			Deadline: now + k.Deadline, Units: 1, Shard: rng.Intn(nodes), Schedulers: 3}})
		rate := 0.5 * full
		if now > calm && now < calm+span {
			rate *= times
		}
		after(rng.ExpFloat64()/rate, arrive)
	}
	after(0, arrive)
	for len(due) > 0 && due[0].at < end {
		d := heap.Pop(&due).(simulatedEvent)
		now = d.at
		d.do()
	}
	return timely / (span * full), late / (span * full)
}

// Where each scheduler hears of a node less often than its line grows, the line must not become as long as the
// requests' objectives: in a surge the nodes then work for clients that have disconnected. At their capacity they are still used.
func TestSurgeOverSparseSchedulers(t *testing.T) {
	for _, c := range []struct{ times, timely, late float64 }{{2, 0.80, 0.01}, {4, 0.70, 0.20}} {
		if timely, late := runSurge(t, 1, c.times); timely < c.timely || late > c.late {
			t.Errorf("%.0f times the calm load: %.3f in time, %.3f late of what the nodes can do; want %.2f and %.2f", c.times, timely, late, c.timely, c.late)
		}
	}
}
