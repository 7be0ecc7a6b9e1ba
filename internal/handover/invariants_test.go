package handover

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const maxProcesses = 3

// process is a simulated process with its driver.
type process struct {
	machine      Machine
	pending      [3]Action // actions that the driver has not carried out yet
	pendingCount int
	running      bool // started, and neither ended nor killed
	started      bool // has ever been started
	usesLimits   bool // it has accepted, and its module was not notified of a handover
	accepting    bool
	openConns    int
}

// simulation is a set of processes with one lock. It is comparable, so that each state is visited once.
type simulation struct {
	processes [maxProcesses]process
	lockOwner int8 // -1: none
}

// step applies an event to process i.
func (s *simulation) step(i int, now time.Duration, e Event) {
	p := &s.processes[i]
	for _, a := range p.machine.Step(now, e) {
		p.pending[p.pendingCount] = a
		p.pendingCount++
	}
}

// outcome is the part of an action's result that depends on the environment of the process.
type outcome struct {
	notified  bool // the module confirms in time
	openConns int
}

// perform carries out the first pending action of process i.
func (s *simulation) perform(i int, now time.Duration, result outcome) error {
	p := &s.processes[i]
	a := p.pending[0]
	copy(p.pending[:], p.pending[1:])
	p.pendingCount--
	p.pending[p.pendingCount] = Action{}
	switch a.Kind {
	case TryLock:
		e := Event{Kind: LockBusy}
		if s.lockOwner < 0 {
			s.lockOwner, e.Kind = int8(i), LockAcquired
		}
		s.step(i, now, e)
	case Accept:
		p.accepting, p.usesLimits, p.openConns = true, true, result.openConns
	case NotifyModule:
		if result.notified {
			p.usesLimits = false
			s.step(i, now, Event{Kind: ModuleNotified})
		} else {
			s.step(i, now, Event{Kind: ModuleBusy})
		}
	case CloseListener:
		p.accepting = false
		s.step(i, now, Event{Kind: ListenerClosed})
	case ReleaseLock:
		if s.lockOwner != int8(i) {
			return fmt.Errorf("process %d releases a lock that it does not hold", i)
		}
		s.lockOwner = -1
	case CloseIdle:
		p.openConns = min(p.openConns, result.openConns)
		s.step(i, now, Event{Kind: ConnectionsCounted, OpenConnections: p.openConns})
	case Finish:
		if p.openConns > 0 && now < p.machine.deadline {
			return fmt.Errorf("process %d ends with %d open connections before its deadline", i, p.openConns)
		}
		s.endProcess(i)
	}
	return nil
}

// endProcess is the end of a process: the kernel releases its lock.
func (s *simulation) endProcess(i int) {
	if s.lockOwner == int8(i) {
		s.lockOwner = -1
	}
	s.processes[i] = process{started: true, machine: s.processes[i].machine}
}

// checkInvariants returns an error if an invariant does not hold.
func (s *simulation) checkInvariants() error {
	admitting := 0
	for i := range s.processes {
		p := &s.processes[i]
		if !p.running {
			continue
		}
		if err := p.machine.Check(); err != nil {
			return fmt.Errorf("process %d: %w", i, err)
		}
		if p.accepting && s.lockOwner != int8(i) {
			return fmt.Errorf("process %d accepts connections, but %d holds the lock", i, s.lockOwner)
		}
		if p.accepting && p.machine.phase > closingListener {
			return fmt.Errorf("process %d still accepts connections in phase %d", i, p.machine.phase)
		}
		if p.usesLimits {
			admitting++
		}
		waits := p.machine.next != Never || p.accepting || p.machine.phase == notStarted
		if p.pendingCount == 0 && !waits {
			return fmt.Errorf("process %d is stuck in phase %d: it waits for no action, timer or signal", i, p.machine.phase)
		}
	}
	if admitting > 1 {
		return fmt.Errorf("%d processes admit requests up to their limits", admitting)
	}
	return nil
}

// exploration visits every reachable state.
type exploration struct {
	t                               *testing.T
	seen                            map[simulation]bool
	unvisited                       []simulation
	servedProcesses, endedProcesses int // sets of processes, as bits
}

// explorationTime is the time of all events. Each timer may fire at once or never.
const explorationTime = 0

func (x *exploration) add(state simulation, err error) {
	x.t.Helper()
	if err == nil {
		err = state.checkInvariants()
	}
	if err != nil {
		x.t.Fatalf("%v\nin the state %+v", err, state)
	}
	if !x.seen[state] {
		x.seen[state] = true
		x.unvisited = append(x.unvisited, state)
	}
}

// addEvent adds the state after an event for process i.
func (x *exploration) addEvent(state simulation, i int, e Event) {
	x.t.Helper()
	state.step(i, explorationTime, e)
	x.add(state, nil)
}

// addSuccessors adds all states that the next event or action of process i can lead to.
func (x *exploration) addSuccessors(state simulation, i int) {
	x.t.Helper()
	p := state.processes[i]
	if !p.running {
		if !p.started && (i == 0 || state.processes[i-1].started) {
			state.processes[i] = process{machine: *New(Settings{WarnAfter: 1}), running: true, started: true}
			x.addEvent(state, i, Event{Kind: Started})
		}
		return
	}
	if p.accepting {
		x.servedProcesses |= 1 << i
	}
	killed := state
	killed.endProcess(i)
	x.add(killed, nil)
	if p.pendingCount > 0 {
		for _, result := range []outcome{{true, 0}, {true, 1}, {false, 0}} {
			next := state
			err := next.perform(i, explorationTime, result)
			if p.pending[0].Kind == Finish {
				x.endedProcesses |= 1 << i
			}
			x.add(next, err)
		}
		return
	}
	if p.machine.next != Never {
		x.addEvent(state, i, Event{Kind: TimerFired})
	}
	for _, deadline := range []time.Duration{explorationTime, explorationTime + 1} {
		x.addEvent(state, i, Event{Kind: TermReceived, Deadline: deadline})
	}
}

// The test visits every order of starts, signals, kills and steps of up to three processes, each of which starts once. This
// includes stalls, since a process may be left out of any number of steps.
func TestInvariantsInEveryOrder(t *testing.T) {
	for _, n := range []int{2, 3} {
		x := exploration{t: t, seen: map[simulation]bool{}}
		x.add(simulation{lockOwner: -1}, nil)
		for len(x.unvisited) > 0 {
			state := x.unvisited[len(x.unvisited)-1]
			x.unvisited = x.unvisited[:len(x.unvisited)-1]
			for i := range n {
				x.addSuccessors(state, i)
			}
		}
		if all := 1<<n - 1; x.servedProcesses != all || x.endedProcesses != all {
			t.Errorf("%d processes: not all of them served (bits %b) and ended (bits %b) in some order", n, x.servedProcesses, x.endedProcesses)
		}
		t.Logf("%d processes: %d states", n, len(x.seen))
	}
}

// timedSimulation is a simulation in which time passes.
type timedSimulation struct {
	simulation
	now       time.Duration
	deadlines [maxProcesses]time.Duration
}

// performAll carries out all pending actions.
func (s *timedSimulation) performAll(t *rapid.T) {
	for i := range s.processes {
		for s.processes[i].running && s.processes[i].pendingCount > 0 {
			result := outcome{rapid.Bool().Draw(t, "notified"), rapid.IntRange(0, 2).Draw(t, "open connections")}
			if err := s.perform(i, s.now, result); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// advanceTime advances the time, from one timer to the next.
func (s *timedSimulation) advanceTime(t *rapid.T, d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now = end
		for i := range s.processes {
			if s.processes[i].running {
				s.now = min(s.now, max(s.processes[i].machine.Next(), s.now-d))
			}
		}
		for i := range s.processes {
			if s.processes[i].running {
				s.step(i, s.now, Event{Kind: TimerFired})
			}
		}
		s.performAll(t)
		s.checkTimes(t)
	}
}

// checkTimes checks that a process ends by its deadline, and that a waiting process soon tries to acquire a free lock.
func (s *timedSimulation) checkTimes(t *rapid.T) {
	for i := range s.processes {
		p := &s.processes[i]
		if p.running && p.machine.phase >= notifyingModule && s.now > s.deadlines[i] {
			t.Fatalf("process %d still runs at %v, its deadline was %v", i, s.now, s.deadlines[i])
		}
		if p.running && p.machine.phase == waitingForLock && s.lockOwner < 0 && p.machine.Next() > s.now+testSettings.LockPollInterval {
			t.Fatalf("process %d tries to acquire the free lock only at %v", i, p.machine.Next())
		}
	}
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := timedSimulation{simulation: simulation{lockOwner: -1}}
		drawProcess := func(t *rapid.T) int { return rapid.IntRange(0, maxProcesses-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				s.performAll(t)
				if err := s.checkInvariants(); err != nil {
					t.Fatal(err)
				}
			},
			"start": func(t *rapid.T) {
				if i := drawProcess(t); !s.processes[i].running {
					s.processes[i] = process{machine: *New(testSettings), running: true}
					s.step(i, s.now, Event{Kind: Started})
				}
			},
			"kill": func(t *rapid.T) { s.endProcess(drawProcess(t)) },
			"SIGTERM": func(t *rapid.T) {
				if i := drawProcess(t); s.processes[i].running && s.processes[i].machine.phase < notifyingModule {
					s.deadlines[i] = s.now + time.Duration(rapid.IntRange(0, 60).Draw(t, "ms until the deadline"))*ms
					s.step(i, s.now, Event{Kind: TermReceived, Deadline: s.deadlines[i]})
				}
			},
			"advance time": func(t *rapid.T) {
				s.advanceTime(t, time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*ms)
			},
		})
	})
}
