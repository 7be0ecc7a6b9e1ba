package coldstart

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/interleave/mutant"
)

// fleetViolation starts a whole fleet and returns an error if an invariant of its slots or shares does not hold.
func fleetViolation(schedulers int, priced bool) error {
	requests, units := map[int]int{}, 0.0
	spread := time.Duration(0)
	for i := range schedulers {
		s, err := New(testSettings(schedulers, fmt.Sprintf("sched-%03d", i), priced))
		if err != nil {
			return err
		}
		spread = s.settings.ListRequestSpread()
		for _, a := range s.Step(0, Started{CachedList: testNodes}) {
			if limit, ok := a.(LimitColdNode); ok && limit.Node == "a" {
				units += limit.Units
			}
		}
		if s.nextListRequest > time.Duration(stalenessBoundShare*float64(s.settings.StalenessBound)) {
			return fmt.Errorf("the first list request is sent only after %v, past its share of the staleness bound", s.nextListRequest)
		}
		requests[int(s.nextListRequest/time.Second)]++
	}
	if units > 39*(1+1e-9) {
		return fmt.Errorf("the shares of a cold node sum to %v of 39 units", units)
	}
	for second, n := range requests {
		if seconds := spread.Seconds(); priced && seconds > 2 && float64(n) > 2*float64(schedulers)/seconds {
			return fmt.Errorf("%d list requests in second %d, the mean is %.0f", n, second, float64(schedulers)/seconds)
		}
	}
	return nil
}

// startupModel is a Startup with the state against which its invariants are checked.
type startupModel struct {
	startup      *Startup
	now, timer   time.Duration
	failedAt     time.Duration        // when the last list request failed; negative: none did
	snapshot     map[string][]float64 // start times in the snapshots, by node
	listed       map[string]float64   // start times in the first received list, by node
	received     bool                 // a list was received
	readyReports int
	phase        Phase
}

// step applies an event and returns an error if an invariant does not hold.
func (m *startupModel) step(e Event) error {
	startup := m.startup
	_, failed := e.(ListRequestFailed)
	pending := startup.listRequestPending
	for _, a := range startup.Step(m.now, e) {
		if err := m.checkAction(e, a); err != nil {
			return err
		}
	}
	if failed && pending && !m.received {
		m.failedAt = m.now
	}
	switch {
	case m.readyReports > 1 || m.readyReports == 0 && startup.started && m.now > startup.settings.ReadyDeadline():
		return fmt.Errorf("ready reported %d times by %v", m.readyReports, m.now)
	case startup.phase < m.phase:
		return fmt.Errorf("the phase went from %v to %v", m.phase, startup.phase)
	case len(startup.nodes) > startup.settings.MaxNodes:
		return fmt.Errorf("the state of %d nodes is stored, more than MaxNodes", len(startup.nodes))
	}
	m.phase = startup.phase
	return nil
}

// checkAction returns an error if an action violates an invariant.
func (m *startupModel) checkAction(e Event, a Action) error {
	settings := m.startup.settings
	switch a := a.(type) {
	case ReportReady:
		m.readyReports++
	case SetTimer:
		m.timer = a.At
	case Reject:
		if a.RetryAfter < settings.MinRetryAfter || a.RetryAfter > settings.MaxRetryAfter {
			return fmt.Errorf("rejected with Retry-After %v, which is out of its bounds", a.RetryAfter)
		}
	case RequestList:
		if m.received || m.failedAt >= 0 && m.now < m.failedAt+listRequestInterval/2 {
			return fmt.Errorf("list requested at %v, although the last request failed at %v or the list was received (%v)", m.now, m.failedAt, m.received)
		}
	case Restore:
		if start, ok := m.listed[a.Node]; !ok || !slices.Contains(m.snapshot[a.Node], start) {
			return fmt.Errorf("restored %s, which is not listed or which has restarted", a.Node)
		}
	case LiftColdLimit:
		if _, ok := e.(ListReceived); !ok {
			return fmt.Errorf("limit of %s lifted by %T instead of a received list", a.Node, e)
		}
	}
	return nil
}

// setSnapshot records the nodes of a snapshot that is received before the list. The first entry of each node counts.
func (m *startupModel) setSnapshot(nodes []Node) {
	for _, n := range slices.Backward(nodes) {
		m.snapshot[n.ID] = []float64{n.StartTime}
	}
}

// stepList applies a list. Only the first list is recorded, since the policy alone applies later ones.
func (m *startupModel) stepList(nodes []Node) error {
	seen := map[string]bool{}
	nodes = slices.DeleteFunc(nodes, func(n Node) bool { twice := seen[n.ID]; seen[n.ID] = true; return twice })
	if !m.received {
		for _, n := range nodes {
			m.listed[n.ID] = n.StartTime
		}
	}
	err := m.step(ListReceived{nodes})
	m.received = true
	return err
}

// stepSnapshot applies a snapshot of another process. Once the list was received, the entry with the list's start time
// counts.
func (m *startupModel) stepSnapshot(nodes []Node) error {
	if len(m.startup.snapshotNodes) == 0 {
		for _, n := range nodes {
			m.snapshot[n.ID] = append(m.snapshot[n.ID], n.StartTime)
		}
		if !m.received {
			m.setSnapshot(nodes)
		}
	}
	return m.step(SnapshotReceived{nodes})
}

// advanceTime advances the time and fires the timers that are due.
func (m *startupModel) advanceTime(d time.Duration) error {
	to := m.now + d
	for m.timer > m.now && m.timer <= to {
		m.now = m.timer
		if err := m.step(TimerFired{}); err != nil {
			return err
		}
	}
	m.now = to
	return nil
}

// stepRandom applies a random event.
func (m *startupModel) stepRandom(t *rapid.T, ids *rapid.Generator[string], nodes *rapid.Generator[[]Node]) error {
	id := ids.Draw(t, "node")
	switch rapid.IntRange(0, 10).Draw(t, "kind") {
	case 0:
		return m.stepList(nodes.Draw(t, "listed"))
	case 1, 2:
		return m.step(ListRequestFailed{})
	case 3:
		return m.step(NodeFull{id})
	case 4:
		return m.step(ConnectFailed{id})
	case 5:
		return m.step(RequestServed{id})
	case 6:
		return m.step(RequestRejected{id})
	case 7:
		return m.step(PeerReported{Node{ID: id, StartTime: float64(rapid.IntRange(0, 2).Draw(t, "reported start"))}})
	case 8:
		return m.stepSnapshot(nodes.Draw(t, "snapshot of another process"))
	}
	return m.step(RequestArrived{id})
}

// randomEventsViolation applies random events and returns an error if an invariant does not hold.
func randomEventsViolation(t *rapid.T) error {
	s, err := New(testSettings(rapid.IntRange(1, 2000).Draw(t, "schedulers"), rapid.String().Draw(t, "name"), rapid.Bool().Draw(t, "priced")))
	if err != nil {
		return err
	}
	s.settings.MaxNodes, s.settings.MinRetryAfter = 4, 120*ms
	ids := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", ""})
	nodes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Node {
		return Node{ids.Draw(t, "id"), float64(rapid.IntRange(0, 2).Draw(t, "start")), 0}
	}), 0, 6)
	m := startupModel{startup: s, failedAt: -1, snapshot: map[string][]float64{}, listed: map[string]float64{}}
	first := Started{nodes.Draw(t, "cached list"), nodes.Draw(t, "snapshot")}
	m.setSnapshot(first.Snapshot)
	err = m.step(first)
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		if err == nil {
			err = m.advanceTime(time.Duration(rapid.IntRange(0, 900).Draw(t, "wait in ms")) * ms)
		}
		if err == nil {
			err = m.stepRandom(t, ids, nodes)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func TestInvariantsOfAStartingFleet(t *testing.T) {
	for _, schedulers := range []int{1, 80, 300, 1000} {
		for _, priced := range []bool{false, true} {
			if err := fleetViolation(schedulers, priced); err != nil {
				t.Errorf("%d schedulers: %v", schedulers, err)
			}
		}
	}
	mutant.AssertDetected(t,
		mutant.Mutant{File: "coldstart.go", Sequential: true, Want: "list requests in second",
			Old: `now + Slot(s.settings.ListRequestSpread(), "list", s.settings.Name)`, New: "now"},
		mutant.Mutant{File: "nodes.go", Sequential: true, Want: "the shares of a cold node sum to",
			Old: "s.settings.SlowStartUnits / float64(s.settings.Schedulers)", New: "s.settings.SlowStartUnits / float64(max(s.settings.Schedulers/2, 1))"},
	)
}

// randomScripts is the number of random scripts. Some mutants violate an invariant only in few of them.
const randomScripts = 3000

// The test runs the same random scripts each time, on which it relies to detect the mutants, and further ones outside of mutants.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	violation := rapid.Custom(randomEventsViolation)
	for seed := range randomScripts {
		if err := violation.Example(seed); err != nil {
			t.Fatalf("random script %d: %v", seed, err)
		}
	}
	if !mutant.Inside() {
		rapid.Check(t, func(t *rapid.T) {
			if err := randomEventsViolation(t); err != nil {
				t.Fatal(err)
			}
		})
	}
	mutant.AssertDetected(t,
		mutant.Mutant{File: "list.go", Sequential: true, Want: "the phase went from",
			Old: "	s.listRequestPending = false\n	if s.phase >= ListKnown {", New: "	s.listRequestPending = false\n	if false {"},
		mutant.Mutant{File: "coldstart.go", Sequential: true, Want: "ready reported",
			Old: "s.readyDue(now) && !s.reportedReady", New: "s.readyDue(now)"},
		mutant.Mutant{File: "admission.go", Sequential: true, Want: "rejected with Retry-After",
			Old: "wait > limit", New: "false"},
		mutant.Mutant{File: "admission.go", Sequential: true, Want: "rejected with Retry-After",
			Old: "max(wait, s.settings.MinRetryAfter)", New: "wait"},
		mutant.Mutant{File: "list.go", Sequential: true, Want: "list requested at",
			Old: "now + s.halfToThreeHalves(backoff)", New: "now + 0*s.halfToThreeHalves(backoff)"},
		mutant.Mutant{File: "list.go", Sequential: true, Want: "which has restarted",
			Old: "sameStart := state.snapshotStartTime == n.StartTime", New: "sameStart := true"},
		mutant.Mutant{File: "nodes.go", Sequential: true, Want: "limit of",
			Old: "	if n.StartTime > state.snapshotStartTime {",
			New: "	if state.assumedCold && s.usesCachedList && state.startTime == n.StartTime {\n		state.assumedCold = false\n		s.emit(LiftColdLimit{n.ID})\n	}\n	if n.StartTime > state.snapshotStartTime {"},
	)
}
