package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/steppedclock"
)

// Picture is a set of clients and nodes that stretch the daemon's limits.
type Picture int

// The pictures, by the letters of the incident's page.
const (
	Crowds      Picture = iota // (a)
	SlowNodes                  // (b)
	Floods                     // (c)
	LeavingOnes                // (d)
	pictureCount
)

var pictureNames = []string{"crowd", "slow nodes", "flood", "leavers"}

func (p Picture) String() string { return pictureNames[p] }

// RestartKind is how the daemon is restarted.
type RestartKind int

// The kinds of restarts.
const (
	Kill      RestartKind = iota // SIGKILL
	Terminate                    // a series of signals with SIGTERM; SIGKILL at the earliest time that the pages allow
	Upgrade                      // another process on the same socket, then SIGTERM; only with a passed socket
)

var restartNames = []string{"kill", "terminate", "upgrade"}

func (k RestartKind) String() string { return restartNames[k] }

// Restart is one restart of the daemon.
type Restart struct {
	At   time.Duration // since the scenario's start
	Kind RestartKind
	// Before and After are the numbers of SIGHUPs right before and after SIGTERM, which comes twice if Again is set.
	Before, After int
	Again         bool
}

// LinkFault is a fault of the links to one node.
type LinkFault struct {
	At, Duration time.Duration
	Node         int
	Direction    link.Direction
	Fault        link.Fault
}

// Scenario is all that a seed decides.
type Scenario struct {
	Seed         uint64
	Length       time.Duration
	MemoryMB     int
	Deadline     time.Duration // of the classes
	Objective    time.Duration
	Nodes        int      // shards
	Replicas     int      // storage nodes of each shard
	Ceilings     Ceilings // what the settings allow the daemon
	Clients      int      // that keep their connections
	PassedSocket bool
	Pictures     [pictureCount]bool
	Crowd        Crowd
	Flood        FloodKind
	FloodConns   int // connections of the flood
	Restarts     []Restart
	LinkFaults   []LinkFault
	ClockSteps   []steppedclock.Step
	SystemCalls  []SystemCallFault
}

const (
	leastMemoryMB  = 64                      // the least that the pages name
	minRestartGap  = 3 * time.Second         // between two restarts, so that each serves for a while
	firstRestartAt = 2500 * time.Millisecond // after the leavers
	maxCrowdConns  = 420
)

// NewScenario draws a scenario of a length.
func NewScenario(seed uint64, length time.Duration) Scenario {
	rng := rand.New(rand.NewPCG(seed, 0x736f616b))
	deadlines := []time.Duration{450 * time.Millisecond, time.Second, 2400 * time.Millisecond, 4 * time.Second}
	s := Scenario{Seed: seed, Length: length, MemoryMB: leastMemoryMB, Deadline: deadlines[rng.IntN(len(deadlines))], Nodes: 1 + rng.IntN(3),
		Replicas: 1 + rng.IntN(2), Clients: 8 + rng.IntN(17), PassedSocket: rng.IntN(3) == 0}
	s.Objective = s.Deadline * time.Duration(1+rng.IntN(6)) / 10 // site file: objectives of a tenth to some six tenths of the deadlines
	s.drawCeilings(rng)
	calm := rng.IntN(2) == 0 // then each sound answer has to be served
	s.drawPictures(rng, calm)
	s.drawRestarts(rng)
	if !calm && rng.IntN(2) == 0 {
		s.drawLinkFaults(rng)
	}
	if rng.IntN(3) == 0 {
		s.drawClockSteps(rng)
	}
	if !calm && rng.IntN(2) == 0 {
		for range 1 + rng.IntN(3) {
			s.SystemCalls = append(s.SystemCalls, systemCallFaults[rng.IntN(len(systemCallFaults))])
		}
	}
	return s
}

// drawCeilings draws what the settings allow (protocol page: the settings state it): in half of the seeds not hedges, cancels and retries.
func (s *Scenario) drawCeilings(rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		s.Ceilings.MaxAttempts = 2 + rng.IntN(3)
		return
	}
	s.Ceilings = Ceilings{NoHedges: true, NoCancels: rng.IntN(2) == 0, MaxAttempts: 1}
}

func (s *Scenario) drawPictures(rng *rand.Rand, calm bool) {
	if calm {
		s.Pictures[[]Picture{SlowNodes, LeavingOnes}[rng.IntN(2)]] = true
		return
	}
	s.Pictures[rng.IntN(int(pictureCount))] = true
	s.Pictures[rng.IntN(int(pictureCount))] = true
	s.Flood, s.FloodConns = FloodKind(rng.IntN(int(MixedFlood)+1)), 1
	size := maxCrowdConns/2 + rng.IntN(maxCrowdConns/2)
	parts := []*int{&s.Crowd.SlowWriters, &s.Crowd.Stoppers, &s.Crowd.ManyFields, &s.Crowd.SlowReaders}
	if kind := rng.IntN(len(parts) + 1); kind < len(parts) {
		*parts[kind] = size
		return
	}
	for _, part := range parts {
		*part = size / len(parts)
	}
}

func (s *Scenario) drawRestarts(rng *rand.Rand) {
	for at := firstRestartAt; at < s.Length; at += minRestartGap + s.Deadline + time.Duration(rng.IntN(1000))*time.Millisecond {
		r := Restart{At: at, Kind: RestartKind(rng.IntN(3)), Before: rng.IntN(3), After: rng.IntN(3), Again: rng.IntN(2) == 0}
		if r.Kind != Kill { // a passed socket has another process before the old one is told to end
			r.Kind = Terminate
			if s.PassedSocket {
				r.Kind = Upgrade
			}
		}
		s.Restarts = append(s.Restarts, r)
	}
}

func (s *Scenario) drawLinkFaults(rng *rand.Rand) {
	faults := []link.Fault{
		{Delay: 20 * time.Millisecond, Jitter: 30 * time.Millisecond},
		{ResetAfter: 20_000},
		{ResetAfter: 150_000},
		{Silent: true},
		{Cut: true},
		{HalfOpen: true},
		{BytesPerSecond: 100_000},
		{Loss: 0.1},
	}
	directions := []link.Direction{link.Forward, link.Backward, link.Both}
	for at := 500 * time.Millisecond; at < s.Length; at += time.Duration(500+rng.IntN(1500)) * time.Millisecond {
		s.LinkFaults = append(s.LinkFaults, LinkFault{At: at, Duration: time.Duration(200+rng.IntN(800)) * time.Millisecond, Node: rng.IntN(s.Nodes * s.Replicas),
			Direction: directions[rng.IntN(len(directions))], Fault: faults[rng.IntN(len(faults))]})
	}
}

// drawClockSteps draws steps of the wall clock. Their times count from the start of each process.
func (s *Scenario) drawClockSteps(rng *rand.Rand) {
	offsets := []time.Duration{-time.Hour, -5 * time.Second, 5 * time.Second, time.Hour}
	for at := time.Second; at < s.Length; at += time.Duration(1000+rng.IntN(3000)) * time.Millisecond {
		s.ClockSteps = append(s.ClockSteps, steppedclock.Step{After: at, Offset: offsets[rng.IntN(len(offsets))]})
	}
}

// String describes the scenario in one line.
func (s Scenario) String() string {
	var parts []string
	for p, played := range s.Pictures {
		if played {
			parts = append(parts, Picture(p).String())
		}
	}
	if s.Pictures[Floods] {
		parts = append(parts, "of "+s.Flood.String())
	}
	for _, r := range s.Restarts {
		parts = append(parts, r.Kind.String())
	}
	if s.PassedSocket {
		parts = append(parts, "passed socket")
	}
	if len(s.LinkFaults) > 0 {
		parts = append(parts, fmt.Sprint(len(s.LinkFaults), " link faults"))
	}
	if len(s.ClockSteps) > 0 {
		parts = append(parts, fmt.Sprint(len(s.ClockSteps), " clock steps"))
	}
	for _, f := range s.SystemCalls {
		parts = append(parts, f.String())
	}
	return fmt.Sprintf("seed %d, deadline %v, objective %v, %d shards of %d, %v: %s", s.Seed, s.Deadline, s.Objective, s.Nodes, s.Replicas, s.Ceilings, strings.Join(parts, ", "))
}

// isCalm reports whether nothing but the traffic and the restarts strains the daemon.
func (s Scenario) isCalm() bool {
	return !s.cutsConnections() && len(s.SystemCalls) == 0 && !s.Pictures[Crowds] && !s.Pictures[Floods]
}

// hasLinkFaults reports whether nodes are reached through fault proxies.
func (s Scenario) hasLinkFaults() bool { return len(s.LinkFaults) > 0 }

// cutsConnections reports whether a fault of the scenario may end connections that the daemon has not ended.
func (s Scenario) cutsConnections() bool {
	return s.hasLinkFaults() || s.breaksClients()
}

// breaksClients reports whether a fault may end a client's connection: the daemon is told that it is broken, and the client is not.
func (s Scenario) breaksClients() bool {
	return slices.ContainsFunc(s.SystemCalls, SystemCallFault.cutsConnections)
}
