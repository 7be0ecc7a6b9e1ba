package handover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

var testSettings = Settings{LockPollInterval: 5 * ms, SweepInterval: 20 * ms, IdleTimeout: 500 * ms, WarnAfter: 1000 * ms}

// What goes in, and what comes out, in order.
func TestActionsAndTimers(t *testing.T) {
	type line struct {
		at   time.Duration
		in   Event
		out  []Action
		next time.Duration
	}
	all := func(d ...ActionKind) (acts []Action) {
		for _, x := range d {
			acts = append(acts, Action{Kind: x})
		}
		return acts
	}
	sweep := Action{CloseIdle, testSettings.IdleTimeout}
	term := Event{Kind: TermReceived, Deadline: 900 * ms}
	for name, script := range map[string][]line{
		"alone, then the end": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, Event{Kind: LockAcquired}, all(Accept), Never},
			{100 * ms, term, all(NotifyModule), Never}, {101 * ms, Event{Kind: ModuleNotified}, all(CloseListener), Never},
			{102 * ms, Event{Kind: ListenerClosed}, append(all(ReleaseLock), sweep), Never},
			{103 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 2}, nil, 123 * ms}, {110 * ms, Event{Kind: TimerFired}, nil, 123 * ms}, {123 * ms, Event{Kind: TimerFired}, []Action{sweep}, Never},
			{124 * ms, Event{Kind: ConnectionsCounted}, all(Finish), Never}, {200 * ms, term, nil, Never},
		},
		"beside another, the wait is long": {
			{50 * ms, Event{Kind: Started}, all(TryLock), Never}, {50 * ms, Event{Kind: Started}, nil, Never}, {50 * ms, Event{Kind: LockBusy}, nil, 55 * ms},
			{55 * ms, Event{Kind: TimerFired}, all(TryLock), Never}, {1000 * ms, Event{Kind: LockBusy}, nil, 1005 * ms}, {1005 * ms, Event{Kind: TimerFired}, all(TryLock), Never},
			{1050 * ms, Event{Kind: LockBusy}, all(WarnLongWait), 1055 * ms}, {1055 * ms, Event{Kind: TimerFired}, all(TryLock), Never},
			{1055 * ms, Event{Kind: LockBusy}, nil, 1060 * ms}, {1060 * ms, Event{Kind: TimerFired}, all(TryLock), Never}, {1060 * ms, Event{Kind: LockAcquired}, all(Accept), Never},
		},
		"no lock, after SIGTERM": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, term, all(NotifyModule), Never}, {0, Event{Kind: LockUnavailable}, nil, Never},
		},
		"ended while it waits": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, Event{Kind: LockBusy}, nil, 5 * ms}, {2 * ms, term, all(NotifyModule), Never},
			{2 * ms, Event{Kind: ModuleNotified}, all(CloseListener), Never}, {2 * ms, Event{Kind: ListenerClosed}, []Action{sweep}, Never}, {2 * ms, Event{Kind: ConnectionsCounted}, all(Finish), Never},
			{5 * ms, Event{Kind: TimerFired}, nil, Never},
		},
		"the lock comes after SIGTERM": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, term, all(NotifyModule), Never}, {0, Event{Kind: ModuleNotified}, all(CloseListener), Never},
			{0, Event{Kind: ListenerClosed}, []Action{sweep}, Never}, {0, Event{Kind: LockAcquired}, all(ReleaseLock), Never}, {0, Event{Kind: ConnectionsCounted, OpenConnections: 1}, nil, 20 * ms},
		},
		"no lock": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, Event{Kind: LockUnavailable}, all(Accept), Never}, {0, term, all(NotifyModule), Never},
			{0, Event{Kind: ModuleNotified}, all(CloseListener), Never}, {0, Event{Kind: ListenerClosed}, []Action{sweep}, Never},
		},
		"the module has no time, then it has": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, Event{Kind: LockAcquired}, all(Accept), Never}, {0, term, all(NotifyModule), Never},
			{100 * ms, Event{Kind: ModuleBusy}, nil, 120 * ms}, {120 * ms, Event{Kind: TimerFired}, all(NotifyModule), Never}, {121 * ms, Event{Kind: ModuleNotified}, all(CloseListener), Never},
		},
		"the module never hears": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, Event{Kind: LockAcquired}, all(Accept), Never}, {0, term, all(NotifyModule), Never},
			{900 * ms, Event{Kind: ModuleBusy}, all(CloseListener), Never}, {900 * ms, Event{Kind: ListenerClosed}, []Action{{Kind: CloseIdle}}, Never}, {900 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 3}, all(Finish), Never},
		},
		"connections in use until the time is up": {
			{0, Event{Kind: Started}, all(TryLock), Never}, {0, Event{Kind: LockAcquired}, all(Accept), Never}, {0, term, all(NotifyModule), Never},
			{0, Event{Kind: ModuleNotified}, all(CloseListener), Never}, {0, Event{Kind: ListenerClosed}, append(all(ReleaseLock), sweep), Never},
			{890 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 1}, nil, 900 * ms}, {900 * ms, Event{Kind: TimerFired}, []Action{{Kind: CloseIdle}}, Never}, {900 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 1}, all(Finish), Never},
		},
	} {
		b := New(testSettings)
		for i, l := range script {
			got := b.Step(l.at, l.in)
			if !slices.Equal(got, l.out) || b.Next() != l.next || b.Check() != nil {
				t.Errorf("%s, line %d: %v, next %v, want %v, %v (%v)", name, i, got, b.Next(), l.out, l.next, b.Check())
			}
		}
		if last := script[len(script)-1].out; b.Ended() != (b.phase == finished) || slices.Equal(last, all(Finish)) && !b.Ended() {
			t.Errorf("%s: ended %v", name, b.Ended())
		}
	}
}

// A world of processes with one lock: what each driver still has to do, in every order.
const maxProcesses = 3

type process struct {
	machine      Machine
	pending      [3]Action
	pendingCount int
	running      bool // started, and neither ended nor killed
	started      bool // started once
	fillsLimits  bool // its module fills limits, and it has accepted
	accepting    bool
	openConns    int // connections
}

type simulation struct {
	processes [maxProcesses]process
	lockOwner int8 // of the lock; -1: nobody
}

// step gives process i an event.
func (w *simulation) step(i int, now time.Duration, e Event) {
	p := &w.processes[i]
	for _, a := range p.machine.Step(now, e) {
		p.pending[p.pendingCount] = a
		p.pendingCount++
	}
}

// perform does process i's first action; lucky and open are what the outside decides.
func (w *simulation) perform(i int, now time.Duration, lucky bool, open int) error {
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
		p.accepting, p.fillsLimits, p.openConns = true, true, open
	case NotifyModule:
		if lucky {
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
			return fmt.Errorf("process %d lets go what it has not", i)
		}
		w.lockOwner = -1
	case CloseIdle:
		p.openConns = min(p.openConns, open)
		w.step(i, now, Event{Kind: ConnectionsCounted, OpenConnections: p.openConns})
	case Finish:
		if p.openConns > 0 && now < p.machine.deadline {
			return fmt.Errorf("empty: process %d ends with %d connections open before its time", i, p.openConns)
		}
		w.end(i)
	}
	return nil
}

// end is the process's end: the kernel lets the lock go, and whatever it held of it.
func (w *simulation) end(i int) {
	if w.lockOwner == int8(i) {
		w.lockOwner = -1
	}
	w.processes[i] = process{started: true, machine: w.processes[i].machine}
}

func (w *simulation) check() error {
	fills := 0
	for i := range w.processes {
		p := &w.processes[i]
		if !p.running {
			continue
		}
		if err := p.machine.Check(); err != nil {
			return fmt.Errorf("process %d: %w", i, err)
		}
		if p.accepting && w.lockOwner != int8(i) {
			return fmt.Errorf("turn: process %d accepts, the lock is %d's", i, w.lockOwner)
		}
		if p.accepting && p.machine.phase > closingListener {
			return fmt.Errorf("once: process %d", i)
		}
		if p.fillsLimits {
			fills++
		}
	}
	if fills > 1 {
		return fmt.Errorf("one: %d processes fill limits", fills)
	}
	// Nobody is stuck: who has nothing to do, and has not ended, awaits a time, a signal, or accepts.
	for i := range w.processes {
		if p := &w.processes[i]; p.running && p.pendingCount == 0 && p.machine.next == Never && !p.accepting && p.machine.phase != notStarted {
			return fmt.Errorf("next: process %d stands still in phase %d", i, p.machine.phase)
		}
	}
	return nil
}

// Every order of starts, signals, kills and steps of up to three processes, each started once. Stopped processes are the
// orders in which one does nothing for long.
func TestInvariantsInEveryOrder(t *testing.T) {
	const now = 0 // times are equal: every wait may be over at once, or never
	for _, n := range []int{2, 3} {
		seen := map[simulation]bool{}
		first := simulation{lockOwner: -1}
		line := []simulation{first}
		seen[first] = true
		served, ended := 0, 0
		for len(line) > 0 {
			w := line[len(line)-1]
			line = line[:len(line)-1]
			add := func(next simulation, err error) {
				if err == nil {
					err = next.check()
				}
				if err != nil {
					t.Fatalf("%v\n%+v", err, next)
				}
				if !seen[next] {
					seen[next] = true
					line = append(line, next)
				}
			}
			for i := range n {
				p := w.processes[i]
				if !p.running {
					if next := w; !p.started && (i == 0 || w.processes[i-1].started) {
						next.processes[i] = process{machine: *New(Settings{WarnAfter: 1}), running: true, started: true}
						next.step(i, now, Event{Kind: Started})
						add(next, nil)
					}
					continue
				}
				if p.accepting {
					served |= 1 << i
				}
				next := w
				next.end(i) // kill -9
				add(next, nil)
				if p.pendingCount > 0 {
					for _, out := range []struct {
						lucky bool
						open  int
					}{{true, 0}, {true, 1}, {false, 0}} {
						next, known := w, w.processes[i].pending[0].Kind
						err := next.perform(i, now, out.lucky, out.open)
						if known == Finish {
							ended |= 1 << i
						}
						add(next, err)
					}
					continue
				}
				if p.machine.next != Never {
					next = w
					next.step(i, now, Event{Kind: TimerFired})
					add(next, nil)
				}
				for _, by := range []time.Duration{now, 1} {
					next = w
					next.step(i, now, Event{Kind: TermReceived, Deadline: by})
					add(next, nil)
				}
			}
		}
		if all := 1<<n - 1; served != all || ended != all {
			t.Errorf("%d processes: served %b, ended %b", n, served, ended)
		}
		t.Logf("%d processes: %d states", n, len(seen))
	}
}

// The same with times: a process whose lock came free has it within Try, one after SIGTERM is gone by its time.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, now := simulation{lockOwner: -1}, time.Duration(0)
		var termed [maxProcesses]time.Duration
		i := func() int { return rapid.IntRange(0, maxProcesses-1).Draw(t, "process") }
		settle := func() {
			for k := range w.processes {
				for w.processes[k].running && w.processes[k].pendingCount > 0 {
					if err := w.perform(k, now, rapid.Bool().Draw(t, "heard"), rapid.IntRange(0, 2).Draw(t, "open")); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				settle()
				if err := w.check(); err != nil {
					t.Fatal(err)
				}
			},
			"start": func(t *rapid.T) {
				if k := i(); !w.processes[k].running {
					w.processes[k] = process{machine: *New(testSettings), running: true}
					w.step(k, now, Event{Kind: Started})
				}
			},
			"kill": func(*rapid.T) { w.end(i()) },
			"term": func(t *rapid.T) {
				if k := i(); w.processes[k].running && w.processes[k].machine.phase < notifyingModule {
					termed[k] = now + time.Duration(rapid.IntRange(0, 60).Draw(t, "left"))*ms
					w.step(k, now, Event{Kind: TermReceived, Deadline: termed[k]})
				}
			},
			"time": func(t *rapid.T) {
				span := time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * ms
				for end := now + span; now < end; { // from one awaited time to the next
					now = end
					for k := range w.processes {
						if w.processes[k].running {
							now = min(now, max(w.processes[k].machine.Next(), now-span))
						}
					}
					for k := range w.processes {
						if w.processes[k].running {
							w.step(k, now, Event{Kind: TimerFired})
						}
					}
					settle()
					for k := range w.processes {
						if p := &w.processes[k]; p.running && p.machine.phase >= notifyingModule && now > termed[k] {
							t.Fatalf("empty: process %d is up at %v, its time was %v", k, now, termed[k])
						}
						if p := &w.processes[k]; p.running && p.machine.phase == waitingForLock && w.lockOwner < 0 && p.machine.Next() > now+testSettings.LockPollInterval {
							t.Fatalf("next: process %d looks again at %v", k, p.machine.Next())
						}
					}
				}
			},
		})
	})
}
