package handover

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const maxProcesses = 3

// process is a process of a simulation, with its driver.
type process struct {
	machine      Machine
	pending      [3]Action // that the driver has still to carry out
	pendingCount int
	running      bool // started, and neither ended nor killed
	started      bool // at any time
	fillsLimits  bool // it has accepted, and its module was not notified of a handover
	accepting    bool
	openConns    int
}

// simulation is a set of processes with one lock. It is comparable, so that states can be visited once.
type simulation struct {
	processes [maxProcesses]process
	lockOwner int8 // -1: none
}

// step gives process i an event.
func (w *simulation) step(i int, now time.Duration, e Event) {
	p := &w.processes[i]
	for _, a := range p.machine.Step(now, e) {
		p.pending[p.pendingCount] = a
		p.pendingCount++
	}
}

// outcome is what the outside contributes to the result of an action.
type outcome struct {
	notified  bool // the module confirms in time
	openConns int
}

// perform carries out the first pending action of process i.
func (w *simulation) perform(i int, now time.Duration, result outcome) error {
	p := &w.processes[i]
	a := p.pending[0]
	copy(p.pending[:], p.pending[1:])
	p.pendingCount--
	p.pending[p.pendingCount] = Action{}
	switch a.Kind {
	case TryLock:
		e := Event{Kind: LockBusy}
		if w.lockOwner < 0 {
			w.lockOwner, e.Kind = int8(i), LockAcquired
		}
		w.step(i, now, e)
	case Accept:
		p.accepting, p.fillsLimits, p.openConns = true, true, result.openConns
	case NotifyModule:
		if result.notified {
			p.fillsLimits = false
			w.step(i, now, Event{Kind: ModuleNotified})
		} else {
			w.step(i, now, Event{Kind: ModuleBusy})
		}
	case CloseListener:
		p.accepting = false
		w.step(i, now, Event{Kind: ListenerClosed})
	case ReleaseLock:
		if w.lockOwner != int8(i) {
			return fmt.Errorf("process %d releases a lock that it does not have", i)
		}
		w.lockOwner = -1
	case CloseIdle:
		p.openConns = min(p.openConns, result.openConns)
		w.step(i, now, Event{Kind: ConnectionsCounted, OpenConnections: p.openConns})
	case Finish:
		if p.openConns > 0 && now < p.machine.deadline {
			return fmt.Errorf("process %d ends with %d open connections before its deadline", i, p.openConns)
		}
		w.end(i)
	}
	return nil
}

// end is the end of a process: the kernel releases its lock.
func (w *simulation) end(i int) {
	if w.lockOwner == int8(i) {
		w.lockOwner = -1
	}
	w.processes[i] = process{started: true, machine: w.processes[i].machine}
}

// check returns which invariant does not hold.
func (w *simulation) check() error {
	filling := 0
	for i := range w.processes {
		p := &w.processes[i]
		if !p.running {
			continue
		}
		if err := p.machine.Check(); err != nil {
			return fmt.Errorf("process %d: %w", i, err)
		}
		if p.accepting && w.lockOwner != int8(i) {
			return fmt.Errorf("process %d accepts, and %d has the lock", i, w.lockOwner)
		}
		if p.accepting && p.machine.phase > closingListener {
			return fmt.Errorf("process %d still accepts in phase %d", i, p.machine.phase)
		}
		if p.fillsLimits {
			filling++
		}
		waits := p.machine.next != Never || p.accepting || p.machine.phase == notStarted
		if p.pendingCount == 0 && !waits {
			return fmt.Errorf("process %d is stuck in phase %d", i, p.machine.phase)
		}
	}
	if filling > 1 {
		return fmt.Errorf("%d processes fill limits", filling)
	}
	return nil
}

// exploration visits every state that can be reached.
type exploration struct {
	t             *testing.T
	seen          map[simulation]bool
	next          []simulation
	served, ended int // sets of processes, as bits
}

// explorationTime is the time of all events: each timer may be due at once, or never fire.
const explorationTime = 0

func (x *exploration) add(w simulation, err error) {
	x.t.Helper()
	if err == nil {
		err = w.check()
	}
	if err != nil {
		x.t.Fatalf("%v\n%+v", err, w)
	}
	if !x.seen[w] {
		x.seen[w] = true
		x.next = append(x.next, w)
	}
}

// addEvent adds the state after an event for process i.
func (x *exploration) addEvent(w simulation, i int, e Event) {
	x.t.Helper()
	w.step(i, explorationTime, e)
	x.add(w, nil)
}

// addSuccessors adds the states that process i can lead to.
func (x *exploration) addSuccessors(w simulation, i int) {
	x.t.Helper()
	p := w.processes[i]
	if !p.running {
		if !p.started && (i == 0 || w.processes[i-1].started) {
			w.processes[i] = process{machine: *New(Settings{WarnAfter: 1}), running: true, started: true}
			x.addEvent(w, i, Event{Kind: Started})
		}
		return
	}
	if p.accepting {
		x.served |= 1 << i
	}
	killed := w
	killed.end(i)
	x.add(killed, nil)
	if p.pendingCount > 0 {
		for _, result := range []outcome{{true, 0}, {true, 1}, {false, 0}} {
			next := w
			err := next.perform(i, explorationTime, result)
			if p.pending[0].Kind == Finish {
				x.ended |= 1 << i
			}
			x.add(next, err)
		}
		return
	}
	if p.machine.next != Never {
		x.addEvent(w, i, Event{Kind: TimerFired})
	}
	for _, deadline := range []time.Duration{explorationTime, explorationTime + 1} {
		x.addEvent(w, i, Event{Kind: TermReceived, Deadline: deadline})
	}
}

// Every order of starts, signals, kills and steps of up to three processes, each of which starts once. A stalled process is
// one that does nothing for long.
func TestInvariantsInEveryOrder(t *testing.T) {
	for _, n := range []int{2, 3} {
		x := exploration{t: t, seen: map[simulation]bool{}}
		x.add(simulation{lockOwner: -1}, nil)
		for len(x.next) > 0 {
			w := x.next[len(x.next)-1]
			x.next = x.next[:len(x.next)-1]
			for i := range n {
				x.addSuccessors(w, i)
			}
		}
		if all := 1<<n - 1; x.served != all || x.ended != all {
			t.Errorf("%d processes: served %b, ended %b", n, x.served, x.ended)
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
func (w *timedSimulation) performAll(t *rapid.T) {
	for i := range w.processes {
		for w.processes[i].running && w.processes[i].pendingCount > 0 {
			result := outcome{rapid.Bool().Draw(t, "notified"), rapid.IntRange(0, 2).Draw(t, "open")}
			if err := w.perform(i, w.now, result); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// pass lets time pass, from one timer to the next.
func (w *timedSimulation) pass(t *rapid.T, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now = end
		for i := range w.processes {
			if w.processes[i].running {
				w.now = min(w.now, max(w.processes[i].machine.Next(), w.now-d))
			}
		}
		for i := range w.processes {
			if w.processes[i].running {
				w.step(i, w.now, Event{Kind: TimerFired})
			}
		}
		w.performAll(t)
		w.checkTimes(t)
	}
}

// checkTimes checks that a process ends by its deadline, and that one takes a free lock soon.
func (w *timedSimulation) checkTimes(t *rapid.T) {
	for i := range w.processes {
		p := &w.processes[i]
		if p.running && p.machine.phase >= notifyingModule && w.now > w.deadlines[i] {
			t.Fatalf("process %d runs at %v, its deadline was %v", i, w.now, w.deadlines[i])
		}
		if p.running && p.machine.phase == waitingForLock && w.lockOwner < 0 && p.machine.Next() > w.now+testSettings.LockPollInterval {
			t.Fatalf("process %d tries the free lock only at %v", i, p.machine.Next())
		}
	}
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := timedSimulation{simulation: simulation{lockOwner: -1}}
		drawProcess := func(t *rapid.T) int { return rapid.IntRange(0, maxProcesses-1).Draw(t, "process") }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				w.performAll(t)
				if err := w.check(); err != nil {
					t.Fatal(err)
				}
			},
			"start": func(t *rapid.T) {
				if i := drawProcess(t); !w.processes[i].running {
					w.processes[i] = process{machine: *New(testSettings), running: true}
					w.step(i, w.now, Event{Kind: Started})
				}
			},
			"kill": func(t *rapid.T) { w.end(drawProcess(t)) },
			"term": func(t *rapid.T) {
				if i := drawProcess(t); w.processes[i].running && w.processes[i].machine.phase < notifyingModule {
					w.deadlines[i] = w.now + time.Duration(rapid.IntRange(0, 60).Draw(t, "left"))*ms
					w.step(i, w.now, Event{Kind: TermReceived, Deadline: w.deadlines[i]})
				}
			},
			"time": func(t *rapid.T) {
				w.pass(t, time.Duration(rapid.IntRange(1, 100).Draw(t, "ms"))*ms)
			},
		})
	})
}
