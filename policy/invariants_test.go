package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

const unitsTolerance = 1e-6 // rounding error of sums that are updated incrementally

// checkInvariants returns an error for the first inconsistent sum, order or reference in the scheduler's state.
func checkInvariants(s *Scheduler) error {
	for _, check := range []func(*Scheduler) error{checkQueues, checkNodes, checkRequests, checkClasses} {
		if err := check(s); err != nil {
			return err
		}
	}
	return nil
}

func checkQueues(s *Scheduler) error {
	waiting := 0
	for _, q := range s.shardQueues {
		units := 0.0
		for i, queue := range q.byClass {
			for k, r := range queue {
				units += r.units
				if !r.queued || r.done || r.queue != q || r.class.index != i || s.requests[r.id] != r {
					return fmt.Errorf("shard %d: %s waits in the wrong queue or state", q.shard, r.id)
				}
				if k > 0 && precedes(r, queue[k-1]) {
					return fmt.Errorf("shard %d: %s is queued behind %s in the wrong order", q.shard, r.id, queue[k-1].id)
				}
			}
		}
		waiting += q.waitingCount()
		if math.Abs(units-q.waitingUnits) > unitsTolerance {
			return fmt.Errorf("shard %d: %v units wait, %v counted", q.shard, units, q.waitingUnits)
		}
		hasWork := q.waitingCount() > 0 || slices.ContainsFunc(q.nodes, func(n *node) bool { return len(n.inFlight) > 0 })
		if q.busy != hasWork || q.busy != slices.Contains(s.busyQueues, q) {
			return fmt.Errorf("shard %d: busy %v, has work %v", q.shard, q.busy, hasWork)
		}
	}
	if waiting != s.waitingCount {
		return fmt.Errorf("%d requests wait, %d counted", waiting, s.waitingCount)
	}
	return nil
}

func checkNodes(s *Scheduler) error {
	for _, n := range s.listedNodes {
		units := 0.0
		for _, r := range n.inFlight {
			units += r.units
			last := r.attempts[len(r.attempts)-1]
			if last.node != n || !last.open || last.writtenOff {
				return fmt.Errorf("node %s: %s counts as in flight, but its last attempt is %+v", n.ID, r.id, last)
			}
		}
		if math.Abs(units-n.inFlightUnits) > unitsTolerance {
			return fmt.Errorf("node %s: %v units in flight, %v counted", n.ID, units, n.inFlightUnits)
		}
		if !(n.window.size > 0 && n.window.size <= maxWindow) || s.nodeByID[n.ID] != n {
			return fmt.Errorf("node %s: window %v", n.ID, n.window.size)
		}
	}
	return nil
}

func checkRequests(s *Scheduler) error {
	for id, r := range s.requests {
		open := 0
		for _, a := range r.attempts {
			if a.open {
				open++
			}
		}
		if open != r.openAttempts || len(r.attempts) > s.settings.MaxAttempts {
			return fmt.Errorf("request %s: %d of %d attempts open, %d counted", id, open, len(r.attempts), r.openAttempts)
		}
		if !r.done && !r.queued && open == 0 {
			return fmt.Errorf("request %s neither waits nor has an open attempt", id)
		}
	}
	return nil
}

func checkClasses(s *Scheduler) error {
	for i, c := range s.classes {
		if c.index != i || s.isLive(c) && c.weight < minClassWeight {
			return fmt.Errorf("class %s: index %d at %d, weight %v", c.Name, c.index, i, c.weight)
		}
	}
	if s.retiredClasses != len(s.classes)-len(s.classByName) {
		return fmt.Errorf("%d classes retired, %d counted", len(s.classes)-len(s.classByName), s.retiredClasses)
	}
	return nil
}

// The sums, orders and references of the state are consistent after every step.
func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	for i := range 16 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			isFirst := true
			playRandomEvents(t, randomEventSettings(i), int64(200+i), func(s *Scheduler) {
				if isFirst {
					isFirst = false
					return
				}
				if err := checkInvariants(s); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}
