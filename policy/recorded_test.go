package policy

import (
	"fmt"
	"testing"

	"wheatsaddle/internal/testkit/recorded"
)

// actionWords are the names of the action kinds in recordings.
var actionWords = map[ActionKind]string{Send: "send", Reject: "refuse", Fail: "fail", Cancel: "cancel", SetTimer: "timer",
	Subscribe: "subscribe", RequestList: "fetch", CheckHealth: "probe", Gossip: "tell", Log: "log"}

// recordStep adds one step of one instance to the recording. The texts of log lines are omitted.
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

// recordState adds the visible state of an instance to the recording.
func recordState(script *recorded.Script, s *Scheduler) {
	fields := []any{s.AvoidedNodes(), s.RequestCount()}
	for _, status := range s.NodeStatuses(1000) {
		fields = append(fields, status.ID, status.StartTime, status.Window, status.Queue)
	}
	learned := s.Learned()
	for _, n := range learned.Nodes {
		fields = append(fields, n.ID, n.StartTime, n.Window, n.Latency, n.BestLatencyPerUnit, n.FailureRate, n.AssumedStartTime)
	}
	for _, c := range learned.Classes {
		fields = append(fields, c.Name, c.Weight, c.Slope, c.Delay)
	}
	script.Add(fields...)
}

// The decisions under random events must equal the recorded ones.
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

// recordedSettings returns the settings of the small simulation with classes of every effect and a retry budget.
func recordedSettings() Settings {
	settings := simulationSettings()
	settings.Classes = append(settings.Classes,
		Class{Name: "keyed", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, Effect: IdempotentByKey, DedupScope: DedupShard, DedupWindow: 700},
		Class{Name: "ordered", LatencyObjective: 300, Deadline: 1500, PriorityWeight: 1, LatePriorityWeight: 0.2, Effect: NonIdempotent, Ordered: true})
	settings.PollsEndpointList, settings.OrderedKeyBackoff = true, 80
	settings.RetryBudgetWindow, settings.RetryBudgetMin, settings.RetryBudgetShare = 3000, 3, 0.2
	return settings
}

// addMoreFaults adds the events that the scenarios do not have: clients that disconnect, lists that fail, stalls, new
// settings, restarts that restore the learned state, and a handover.
func addMoreFaults(sim *simulation) {
	var repeat func(every float64, do func(scheduler *simulatedScheduler))
	repeat = func(every float64, do func(scheduler *simulatedScheduler)) {
		sim.after(every*(0.5+sim.rng.Float64()), func() {
			if scheduler := sim.schedulers[sim.rng.Intn(len(sim.schedulers))]; !scheduler.down {
				do(scheduler)
			}
			repeat(every, do)
		})
	}
	repeat(20, func(scheduler *simulatedScheduler) {
		id := fmt.Sprint("q", sim.sequence-sim.rng.Intn(200))
		if r := sim.requests[id]; r != nil && !r.answered && r.scheduler == scheduler && r.incarnation == scheduler.incarnation {
			r.answered = true
			scheduler.step(Event{Kind: ClientDisconnected, ID: id})
		}
	})
	repeat(100, func(scheduler *simulatedScheduler) { scheduler.step(Event{Kind: ListFailed}) })
	repeat(70, func(scheduler *simulatedScheduler) { // the complete list again
		ev := Event{Kind: ListReceived}
		for i := range simulatedNodes {
			for _, id := range []string{fmt.Sprint("n", i), fmt.Sprint("m", i)} {
				if n, ok := scheduler.list[id]; ok {
					ev.Nodes = append(ev.Nodes, n)
				}
			}
		}
		scheduler.step(ev)
	})
	repeat(50, func(scheduler *simulatedScheduler) { // a stall, during which its timers fire late
		scheduler.timerLag = 150 + 200*sim.rng.Float64()
		sim.after(200, func() { scheduler.timerLag = 0 })
	})
	repeat(150, func(scheduler *simulatedScheduler) {
		settings := sim.settings
		settings.Classes = append([]Class(nil), settings.Classes...)
		settings.Classes[2].LatencyObjective = []float64{300, 350}[sim.rng.Intn(2)]
		if err := scheduler.scheduler.Reconfigure(settings); err != nil {
			sim.t.Fatal(err)
		}
	})
	repeat(300, func(scheduler *simulatedScheduler) {
		learned := scheduler.scheduler.Learned()
		for i := range learned.Nodes {
			if sim.rng.Intn(4) == 0 {
				learned.Nodes[i].AssumedStartTime = learned.Nodes[i].StartTime
			}
		}
		scheduler.incarnation++
		scheduler.start()
		scheduler.scheduler.Restore(learned)
	})
	sim.after(15e3, func() { sim.schedulers[3].scheduler.HandOver() })
}

// The decisions of a small fleet must equal the recorded ones.
func TestRecordedDecisionsOfAFleet(t *testing.T) {
	for name, addScenario := range simulationScenarios {
		t.Run(name, func(t *testing.T) {
			var script recorded.Script
			steps := 0
			sim := newSimulationWith(t, recordedSettings(), 11, nil)
			sim.onStep = func(h *simulatedScheduler, actions []Action) {
				recordStep(&script, h.index, sim.now, actions)
				if steps++; steps%1000 == 0 {
					recordState(&script, h.scheduler)
				}
			}
			addScenario(sim)
			addMoreFaults(sim)
			sim.run()
			script.Check(t, "fleet-"+name)
		})
	}
}
