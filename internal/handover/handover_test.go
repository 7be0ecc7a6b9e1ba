package handover

import (
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

var testSettings = Settings{LockPollInterval: 5 * ms, SweepInterval: 20 * ms, IdleTimeout: 500 * ms, WarnAfter: 1000 * ms}

// scriptLine is an event with the expected actions and the expected next timer.
type scriptLine struct {
	at      time.Duration
	event   Event
	actions []Action
	next    time.Duration
}

var (
	idleSweep    = Action{CloseIdle, testSettings.IdleTimeout}
	termReceived = Event{Kind: TermReceived, Deadline: 900 * ms}
)

var scripts = map[string][]scriptLine{
	"single process from start to end": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, Event{Kind: LockAcquired}, newActions(Accept), Never},
		{100 * ms, termReceived, newActions(NotifyModule), Never}, {101 * ms, Event{Kind: ModuleNotified}, newActions(CloseListener), Never},
		{102 * ms, Event{Kind: ListenerClosed}, append(newActions(ReleaseLock), idleSweep), Never},
		{103 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 2}, nil, 123 * ms}, {110 * ms, Event{Kind: TimerFired}, nil, 123 * ms}, {123 * ms, Event{Kind: TimerFired}, []Action{idleSweep}, Never},
		{124 * ms, Event{Kind: ConnectionsCounted}, newActions(Finish), Never}, {200 * ms, termReceived, nil, Never},
	},
	"long wait for another process": {
		{50 * ms, Event{Kind: Started}, newActions(TryLock), Never}, {50 * ms, Event{Kind: Started}, nil, Never}, {50 * ms, Event{Kind: LockBusy}, nil, 55 * ms},
		{55 * ms, Event{Kind: TimerFired}, newActions(TryLock), Never}, {1000 * ms, Event{Kind: LockBusy}, nil, 1005 * ms}, {1005 * ms, Event{Kind: TimerFired}, newActions(TryLock), Never},
		{1050 * ms, Event{Kind: LockBusy}, newActions(WarnLongWait), 1055 * ms}, {1055 * ms, Event{Kind: TimerFired}, newActions(TryLock), Never},
		{1055 * ms, Event{Kind: LockBusy}, nil, 1060 * ms}, {1060 * ms, Event{Kind: TimerFired}, newActions(TryLock), Never}, {1060 * ms, Event{Kind: LockAcquired}, newActions(Accept), Never},
	},
	"no lock available, after SIGTERM": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, termReceived, newActions(NotifyModule), Never}, {0, Event{Kind: LockUnavailable}, nil, Never},
	},
	"SIGTERM during the wait for the lock": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, Event{Kind: LockBusy}, nil, 5 * ms}, {2 * ms, termReceived, newActions(NotifyModule), Never},
		{2 * ms, Event{Kind: ModuleNotified}, newActions(CloseListener), Never}, {2 * ms, Event{Kind: ListenerClosed}, []Action{idleSweep}, Never}, {2 * ms, Event{Kind: ConnectionsCounted}, newActions(Finish), Never},
		{5 * ms, Event{Kind: TimerFired}, nil, Never},
	},
	"lock acquired after SIGTERM": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, termReceived, newActions(NotifyModule), Never}, {0, Event{Kind: ModuleNotified}, newActions(CloseListener), Never},
		{0, Event{Kind: ListenerClosed}, []Action{idleSweep}, Never}, {0, Event{Kind: LockAcquired}, newActions(ReleaseLock), Never}, {0, Event{Kind: ConnectionsCounted, OpenConnections: 1}, nil, 20 * ms},
	},
	"no lock available": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, Event{Kind: LockUnavailable}, newActions(Accept), Never}, {0, termReceived, newActions(NotifyModule), Never},
		{0, Event{Kind: ModuleNotified}, newActions(CloseListener), Never}, {0, Event{Kind: ListenerClosed}, []Action{idleSweep}, Never},
	},
	"module busy, then notified": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, Event{Kind: LockAcquired}, newActions(Accept), Never}, {0, termReceived, newActions(NotifyModule), Never},
		{100 * ms, Event{Kind: ModuleBusy}, nil, 120 * ms}, {120 * ms, Event{Kind: TimerFired}, newActions(NotifyModule), Never}, {121 * ms, Event{Kind: ModuleNotified}, newActions(CloseListener), Never},
	},
	"module never notified": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, Event{Kind: LockAcquired}, newActions(Accept), Never}, {0, termReceived, newActions(NotifyModule), Never},
		{900 * ms, Event{Kind: ModuleBusy}, newActions(CloseListener), Never}, {900 * ms, Event{Kind: ListenerClosed}, []Action{{Kind: CloseIdle}}, Never}, {900 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 3}, newActions(Finish), Never},
	},
	"connections in use until the deadline": {
		{0, Event{Kind: Started}, newActions(TryLock), Never}, {0, Event{Kind: LockAcquired}, newActions(Accept), Never}, {0, termReceived, newActions(NotifyModule), Never},
		{0, Event{Kind: ModuleNotified}, newActions(CloseListener), Never}, {0, Event{Kind: ListenerClosed}, append(newActions(ReleaseLock), idleSweep), Never},
		{890 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 1}, nil, 900 * ms}, {900 * ms, Event{Kind: TimerFired}, []Action{{Kind: CloseIdle}}, Never}, {900 * ms, Event{Kind: ConnectionsCounted, OpenConnections: 1}, newActions(Finish), Never},
	},
}

// Each line of a script is an event. The machine must return the line's actions and then wait for its timer. If the last line finishes,
// the machine must have ended.
func TestActionsAndTimers(t *testing.T) {
	for name, script := range scripts {
		m := New(testSettings)
		for i, line := range script {
			got := m.Step(line.at, line.event)
			if !slices.Equal(got, line.actions) || m.Next() != line.next || m.Check() != nil {
				t.Errorf("%s, line %d: actions %v, next timer %v, want %v, %v (check: %v)", name, i, got, m.Next(), line.actions, line.next, m.Check())
			}
		}
		if last := script[len(script)-1].actions; m.Ended() != (m.phase == finished) || slices.Equal(last, newActions(Finish)) && !m.Ended() {
			t.Errorf("%s: Ended is %v, which contradicts the phase or the last actions", name, m.Ended())
		}
	}
}
