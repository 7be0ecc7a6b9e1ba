package policy

import (
	"fmt"
	"testing"
)

// Tests of many independent schedulers, as the largest deployments have.

const fleetHosts = 290

// Schedulers that know nothing yet must not all send their new objects to one node.
func TestNewObjectsSpreadOverTheNodesOfAFleet(t *testing.T) {
	var nodes []Node
	for i := range 40 {
		nodes = append(nodes, Node{ID: fmt.Sprint("n", i), Shard: i})
	}
	met := map[string]int{}
	for _, r := range newFleet(t, testSettings(), nodes) {
		for _, a := range r.step(call("x", "once", -1, 3000)) {
			if a.Kind == Send {
				met[a.Node]++
			}
		}
	}
	for id, n := range met {
		if n > 5*fleetHosts/len(nodes) {
			t.Errorf("%d of %d schedulers chose node %s", n, fleetHosts, id)
		}
	}
	if len(met) < len(nodes)/2 {
		t.Errorf("only %d nodes met", len(met))
	}
}

// All schedulers with work for one node that has just come up: together they stay under what
// it always bears, though it answers nothing yet; once it answers, it gets more.
func TestNodeInSlowStartBearsTheWholeFleet(t *testing.T) {
	set := testSettings()
	set.SlowStartDuration = 18000
	rigs := newFleet(t, set, []Node{{ID: "a", Shard: 0, StartTime: 990}, {ID: "b", Shard: 1}})
	sent := map[int]float64{} // units by second
	out := map[string]*harness{}
	total, perHost := 0.0, 0
	run := func(from, to int, answers bool) {
		for now := from; now < to; now += 100 {
			for id, r := range out {
				if answers {
					r.at(float64(now), done(id, 0, OK, true))
					delete(out, id)
				}
			}
			for i, r := range rigs {
				id := fmt.Sprint("q", i, "-", now)
				ev := call(id, "once", 0, float64(now)+2000)
				ev.Request.Units = 2
				for _, a := range r.at(float64(now), ev, Event{Kind: TimerFired, Tag: sweepTimer}) {
					if a.Kind == Send && a.Node == "a" {
						sent[now/1000] += 2
						total += 2
						out[a.ID] = r
						perHost++
					}
				}
			}
		}
	}
	run(1000, 7000, false)
	for sec := 1; sec < 6; sec++ {
		// What it bears grows as its capacity is promised to: evenly, from the cold part.
		bears := set.SlowStartUnits * (1 + (1/set.SlowStartShare-1)*float64(sec)*1000/set.SlowStartDuration)
		if got := sent[sec] + sent[sec+1]; got > 1.8*bears {
			t.Errorf("%v units in the 2 s from %d s, it bears %v", got, sec, bears)
		}
	}
	if first, last := sent[1]+sent[2], sent[5]+sent[6]; total == 0 || last < 1.3*first {
		t.Errorf("%v units in the first 2 s, %v in the 2 s from 5 s: no growth with its age", first, last)
	}
	before := total / 6
	run(7000, 12000, true)
	if after := (total - before*6) / 5; after < before {
		t.Errorf("%v units a second while silent, %v once it answers", before, after)
	}
}

// Schedulers that lose the list together ask again spread out, and none later than allowed.
func TestPollsOfAFleetAreSpread(t *testing.T) {
	set := testSettings()
	set.PollsEndpointList = true
	rigs := newFleet(t, set, []Node{{ID: "a", Shard: 0}})
	for _, r := range rigs {
		r.at(2000, Event{Kind: ListChanged})
		r.step(Event{Kind: ListFailed})
	}
	bySlot, asked := map[int]int{}, map[int]bool{}
	for now := 2000; now < 2000+int(set.PollWithin); now += 10 {
		for i, r := range rigs {
			if asked[i] {
				continue
			}
			if countActions(r.at(float64(now), call(fmt.Sprint(i, "-", now), "none", 0, float64(now)+900),
				Event{Kind: TimerFired, Tag: tickTimer}), Subscribe) > 0 {
				asked[i] = true
				bySlot[now/100]++
			}
		}
	}
	if len(asked) != len(rigs) {
		t.Errorf("%d of %d asked in time", len(asked), len(rigs))
	}
	for slot, n := range bySlot {
		if n > len(rigs)/3 {
			t.Errorf("%d of %d asked in slot %d", n, len(rigs), slot)
		}
	}
}

// Schedulers that start together move their weights at times of their own: in step they would all give
// at once, and the delays at the nodes they share would answer to all of it.
func TestAdaptationsOfAFleetAreSpread(t *testing.T) {
	slots := map[int]int{}
	for _, r := range newFleet(t, testSettings(), []Node{{ID: "a", Shard: 0}}) {
		slots[int(r.s.nextAdaptAt)/100]++
	}
	for slot, n := range slots {
		if n > fleetHosts/4 {
			t.Errorf("%d of %d schedulers adapt within the same 100 ms (%d)", n, fleetHosts, slot)
		}
	}
}
