package policy

import (
	"fmt"
	"testing"

	"wheatsaddle/internal/testkit/recorded"
)

// actionWords name the kinds of actions in recordings.
var actionWords = map[ActionKind]string{Send: "send", Reject: "refuse", Fail: "fail", Cancel: "cancel", SetTimer: "timer",
	Subscribe: "subscribe", RequestList: "fetch", CheckHealth: "probe", Gossip: "tell", Log: "log"}

// recordStep writes one step of one instance. Texts of log lines are left out.
func recordStep(script *recorded.Script, instance int, now float64, actions []Action) {
	fields := []any{instance, now}
	for _, a := range actions {
		tag := ""
		if a.Kind == SetTimer {
			tag = script.Tag(a.Tag)
		}
		fields = append(fields, actionWords[a.Kind], a.ID, a.Node, a.Deadline, a.StartBy, a.Attempt, a.Wait, tag)
	}
	script.Add(fields...)
}

// recordState writes what an instance shows of its state.
func recordState(script *recorded.Script, s *Scheduler) {
	fields := []any{s.AvoidedNodes(), s.RequestCount()}
	for _, one := range s.NodeStatuses(1000) {
		fields = append(fields, one.ID, one.StartTime, one.Window, one.Queue)
	}
	learned := s.Learned()
	for _, n := range learned.Nodes {
		fields = append(fields, n.ID, n.StartTime, n.Window, n.Latency, n.BestLatencyPerUnit, n.FailureRate, n.AssumedStart)
	}
	for _, c := range learned.Classes {
		fields = append(fields, c.Name, c.Weight, c.Slope, c.Delay)
	}
	script.Add(fields...)
}

// The decisions under random events are those of the recording.
func TestRecordedDecisionsUnderRandomEvents(t *testing.T) {
	for i := range 16 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			var script recorded.Script
			steps := 0
			history := playRandomEvents(t, randomEventSettings(i), int64(100+i), func(s *Scheduler) {
				if steps++; steps%100 == 50 {
					recordState(&script, s)
				}
			})
			for step, actions := range history {
				recordStep(&script, 0, float64(step), actions)
			}
			script.Check(t, fmt.Sprintf("events-%02d", i))
		})
	}
}

// recordedSettings are those of the small simulation with classes of every effect and a retry budget.
func recordedSettings() Settings {
	set := simulationSettings()
	set.Classes = append(set.Classes,
		Class{Name: "keyed", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: DedupShard, DedupWindow: 700},
		Class{Name: "ordered", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, LatePriorityWeight: 0.2, Effect: NonIdempotent, Ordered: true})
	set.PollsEndpointList, set.OrderedKeyBackoff = true, 80
	set.RetryBudgetWindow, set.RetryBudgetMin, set.RetryBudgetShare = 3000, 3, 0.2
	return set
}

// addFaults adds what the simulation's own days leave out: clients that disconnect, lists that fail, stalls, new settings, restarts
// that recall what was learned, and processes that hand over.
func addFaults(w *simulation) {
	var each func(every float64, do func(h *simulatedScheduler))
	each = func(every float64, do func(h *simulatedScheduler)) {
		w.after(every*(0.5+w.rng.Float64()), func() {
			if h := w.schedulers[w.rng.Intn(len(w.schedulers))]; !h.down {
				do(h)
			}
			each(every, do)
		})
	}
	each(20, func(h *simulatedScheduler) {
		id := fmt.Sprint("q", w.sequence-w.rng.Intn(200))
		if r := w.requests[id]; r != nil && !r.answered && r.host == h && r.incarnation == h.incarnation {
			r.answered = true
			h.step(Event{Kind: ClientDisconnected, ID: id})
		}
	})
	each(100, func(h *simulatedScheduler) { h.step(Event{Kind: ListFailed}) })
	each(70, func(h *simulatedScheduler) { // the whole list again
		ev := Event{Kind: ListReceived}
		for i := range simulatedNodes {
			for _, id := range []string{fmt.Sprint("n", i), fmt.Sprint("m", i)} {
				if n, ok := h.list[id]; ok {
					ev.Nodes = append(ev.Nodes, n)
				}
			}
		}
		h.step(ev)
	})
	each(50, func(h *simulatedScheduler) { // it stalls: its timers come late
		h.lag = 150 + 200*w.rng.Float64()
		w.after(200, func() { h.lag = 0 })
	})
	each(150, func(h *simulatedScheduler) {
		set := w.set
		set.Classes = append([]Class(nil), set.Classes...)
		set.Classes[2].LatencyObjective = []float64{300, 350}[w.rng.Intn(2)]
		if err := h.scheduler.Reconfigure(set); err != nil {
			w.t.Fatal(err)
		}
	})
	each(300, func(h *simulatedScheduler) {
		learned := h.scheduler.Learned()
		for i := range learned.Nodes {
			if w.rng.Intn(4) == 0 {
				learned.Nodes[i].AssumedStart = learned.Nodes[i].StartTime
			}
		}
		h.incarnation++
		h.start()
		h.scheduler.Restore(learned)
	})
	w.after(15e3, func() { w.schedulers[3].scheduler.HandOver() })
}

// The decisions of a small fleet are those of the recording.
func TestRecordedDecisionsOfAFleet(t *testing.T) {
	for day, trouble := range simulationDays {
		t.Run(day, func(t *testing.T) {
			var script recorded.Script
			steps := 0
			w := newSimulationOf(t, recordedSettings(), 11, nil)
			w.onStep = func(h *simulatedScheduler, actions []Action) {
				recordStep(&script, h.index, w.now, actions)
				if steps++; steps%1000 == 0 {
					recordState(&script, h.scheduler)
				}
			}
			trouble(w)
			addFaults(w)
			w.run()
			script.Check(t, "fleet-"+day)
		})
	}
}
