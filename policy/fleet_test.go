package policy

import (
	"fmt"
	"testing"
)

// Tests with many independent schedulers, as in the largest deployments.

const fleetSchedulers = 290

// Schedulers without any latency samples must not all send their new objects to the same node.
func TestNewObjectsSpreadOverTheNodesOfAFleet(t *testing.T) {
	var nodes []Node
	for i := range 40 {
		nodes = append(nodes, Node{ID: fmt.Sprint("n", i), Shard: i})
	}
	requestsByNode := map[string]int{}
	for _, h := range newFleet(t, testSettings(), nodes) {
		for _, a := range h.step(requestArrived("x", "once", -1, 3000)) {
			if a.Kind == Send {
				requestsByNode[a.Node]++
			}
		}
	}
	for id, n := range requestsByNode {
		if n > 5*fleetSchedulers/len(nodes) {
			t.Errorf("%d of %d schedulers chose node %s", n, fleetSchedulers, id)
		}
	}
	if len(requestsByNode) < len(nodes)/2 {
		t.Errorf("new objects were sent to only %d nodes", len(requestsByNode))
	}
}

// All schedulers have work for one node that has just started. Together they must not send more than its capacity in
// slow start while it does not answer. Once it answers, it gets more.
func TestFleetDoesNotOverloadNodeInSlowStart(t *testing.T) {
	settings := testSettings()
	settings.SlowStartDuration = 18000
	fleet := newFleet(t, settings, []Node{{ID: "a", Shard: 0, StartTime: 990}, {ID: "b", Shard: 1}})
	unitsBySecond := map[int]float64{} // units sent to the node, by second
	inFlight := map[string]*harness{}
	total, sendCount := 0.0, 0
	run := func(from, to int, answers bool) {
		for now := from; now < to; now += 100 {
			for id, h := range inFlight {
				if answers {
					h.at(float64(now), attemptEnded(id, 0, OK, true))
					delete(inFlight, id)
				}
			}
			for i, h := range fleet {
				id := fmt.Sprint("q", i, "-", now)
				ev := requestArrived(id, "once", 0, float64(now)+2000)
				ev.Request.Units = 2
				for _, a := range h.at(float64(now), ev, Event{Kind: TimerFired, Tag: sweepTimer}) {
					if a.Kind == Send && a.Node == "a" {
						unitsBySecond[now/1000] += 2
						total += 2
						inFlight[a.ID] = h
						sendCount++
					}
				}
			}
		}
	}
	run(1000, 7000, false)
	for sec := 1; sec < 6; sec++ {
		// The capacity grows linearly from SlowStartShare to the full capacity.
		capacity := settings.SlowStartUnits * (1 + (1/settings.SlowStartShare-1)*float64(sec)*1000/settings.SlowStartDuration)
		if got := unitsBySecond[sec] + unitsBySecond[sec+1]; got > 1.8*capacity {
			t.Errorf("%v units in the 2 s from second %d, but the capacity is %v", got, sec, capacity)
		}
	}
	if first, last := unitsBySecond[1]+unitsBySecond[2], unitsBySecond[5]+unitsBySecond[6]; total == 0 || last < 1.3*first {
		t.Errorf("%v units in the first 2 s and %v in the 2 s from second 5: no growth with the node's age", first, last)
	}
	before := total / 6
	run(7000, 12000, true)
	if after := (total - before*6) / 5; after < before {
		t.Errorf("%v units per second while the node is silent, %v while it answers", before, after)
	}
}

// Schedulers whose list subscriptions fail at the same time subscribe again at different times, and all of them within
// the staleness bound.
func TestPollsOfAFleetAreSpread(t *testing.T) {
	settings := testSettings()
	settings.PollsEndpointList = true
	fleet := newFleet(t, settings, []Node{{ID: "a", Shard: 0}})
	for _, h := range fleet {
		h.at(2000, Event{Kind: ListChanged})
		h.step(Event{Kind: ListFailed})
	}
	pollsBySlot, polled := map[int]int{}, map[int]bool{}
	for now := 2000; now < 2000+int(settings.ListStalenessBound); now += 10 {
		for i, h := range fleet {
			if polled[i] {
				continue
			}
			if countActions(h.at(float64(now), requestArrived(fmt.Sprint(i, "-", now), "none", 0, float64(now)+900),
				Event{Kind: TimerFired, Tag: tickTimer}), Subscribe) > 0 {
				polled[i] = true
				pollsBySlot[now/100]++
			}
		}
	}
	if len(polled) != len(fleet) {
		t.Errorf("%d of %d schedulers subscribed again in time", len(polled), len(fleet))
	}
	for slot, n := range pollsBySlot {
		if n > len(fleet)/3 {
			t.Errorf("%d of %d schedulers subscribed again within the same 100 ms (%d)", n, len(fleet), slot)
		}
	}
}

// Schedulers that start together adapt their weights at different times. Otherwise all of them would change their
// weights at once, and the delays at the shared nodes would react to the sum of the changes.
func TestAdaptationsOfAFleetAreSpread(t *testing.T) {
	adaptationsBySlot := map[int]int{}
	for _, h := range newFleet(t, testSettings(), []Node{{ID: "a", Shard: 0}}) {
		adaptationsBySlot[int(h.s.nextAdaptAt)/100]++
	}
	for slot, n := range adaptationsBySlot {
		if n > fleetSchedulers/4 {
			t.Errorf("%d of %d schedulers adapt within the same 100 ms (%d)", n, fleetSchedulers, slot)
		}
	}
}
