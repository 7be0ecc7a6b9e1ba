package soak

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/testkit/cluster"
	"wheatsaddle/internal/testkit/steppedclock"
)

// playScenario plays a scenario with a daemon that is built for the test, and fails the test if a rule was broken.
func playScenario(t *testing.T, s Scenario) {
	t.Helper()
	dir := t.TempDir()
	daemon, err := cluster.Build(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	options := RunOptions{Daemon: daemon, Dir: dir, Log: logrus.New()}
	if len(s.ClockSteps) > 0 {
		if options.Stepped, err = steppedclock.Build(t.Context(), dir, "wheatsaddle/cmd/wheatsaddle"); err != nil {
			t.Fatal(err)
		}
	}
	result, err := options.play(t.Context(), s)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", result.Ends)
	report(t, result.Broken)
}

// Guards against clients that send as fast as they are answered and take the processor from others: answers come seconds late, and
// the process is killed with open requests after SIGTERM.
func TestFloodBesideACrowdCostsOthersLittle(t *testing.T) {
	for name, conns := range map[string]int{"one connection": 1, "many connections": 24} {
		t.Run(name, func(t *testing.T) {
			s := Scenario{Seed: 1, Length: 7 * time.Second, MemoryMB: leastMemoryMB, Deadline: 2400 * time.Millisecond, Objective: time.Second, Nodes: 3,
				Clients: 20, Crowd: Crowd{SlowWriters: 100, Stoppers: 100, ManyFields: 100, SlowReaders: 100}, Flood: UnknownPlans, FloodConns: conns,
				Restarts: []Restart{{At: 2500 * time.Millisecond, Kind: Terminate}}}
			s.Pictures[Crowds], s.Pictures[Floods] = true, true
			playScenario(t, s)
		})
	}
}

const (
	soakSeeds = 8 // scenarios of the short soak
	shortSoak = 6 * time.Second
)

// Guards against rules that break only where pictures, faults and restarts come together.
func TestSoak(t *testing.T) {
	for seed := range uint64(soakSeeds) {
		t.Run(fmt.Sprint("seed_", seed+1), func(t *testing.T) {
			s := NewScenario(seed+1, shortSoak)
			t.Log(s)
			playScenario(t, s)
		})
	}
}

// Guards against sound requests that are rejected because of the latency learned of silent nodes, where the objective is a tenth of the
// deadline.
func TestSoakWithLowObjective(t *testing.T) { playScenario(t, NewScenario(26, shortSoak)) }
