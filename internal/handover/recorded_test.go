package handover

import (
	"math/rand"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/recorded"
)

// recordedActions are the recording's words for the actions.
var recordedActions = map[ActionKind]string{TryLock: "try", Accept: "accept", WarnLongWait: "warn", NotifyModule: "notify",
	CloseListener: "close", ReleaseLock: "release", CloseIdle: "sweep", Finish: "finish"}

// recordedEvents are the events in the order in which scripts draw them.
var recordedEvents = []EventKind{Started, LockAcquired, LockBusy, LockUnavailable, TimerFired, TermReceived, ModuleNotified, ModuleBusy,
	ListenerClosed, ConnectionsCounted}

// resultEvent draws an event that a driver may send after an action, or returns false if none follows.
func resultEvent(rng *rand.Rand, kind ActionKind) (Event, bool) {
	switch kind {
	case TryLock:
		return Event{Kind: []EventKind{LockAcquired, LockBusy, LockBusy, LockBusy, LockUnavailable}[rng.Intn(5)]}, true
	case NotifyModule:
		return Event{Kind: []EventKind{ModuleNotified, ModuleBusy, ModuleBusy}[rng.Intn(3)]}, true
	case CloseListener:
		return Event{Kind: ListenerClosed}, true
	case CloseIdle:
		return Event{Kind: ConnectionsCounted, OpenConnections: rng.Intn(4)}, true
	}
	return Event{}, false
}

// The decisions of many processes equal those of the recording. The events are those that a driver sends, and some further
// ones at arbitrary times.
func TestRecordedDecisions(t *testing.T) {
	var script recorded.Script
	for i := range 400 {
		rng := rand.New(rand.NewSource(int64(i)))
		machine := New(Settings{LockPollInterval: 5 * ms, SweepInterval: 20 * ms, IdleTimeout: 50 * ms, WarnAfter: 30 * ms})
		now := time.Duration(0)
		pending := []Event{{Kind: Started}}
		for range 60 {
			var e Event
			switch n := rng.Intn(12); {
			case n == 0:
				e = Event{Kind: TermReceived, Deadline: now + time.Duration(rng.Intn(100))*ms}
			case n == 1 && i%2 == 1:
				e = Event{Kind: recordedEvents[rng.Intn(len(recordedEvents))], Deadline: now + 30*ms, OpenConnections: rng.Intn(2)}
			case n < 8 && len(pending) > 0:
				e, pending = pending[0], pending[1:]
			default:
				e = Event{Kind: TimerFired}
				now += time.Duration(rng.Intn(15)) * ms
				if machine.Next() != Never && rng.Intn(2) == 0 {
					now = max(now, machine.Next())
				}
			}
			fields := []any{i, int64(now), int(e.Kind)}
			for _, a := range machine.Step(now, e) {
				fields = append(fields, recordedActions[a.Kind], int64(a.IdleFor))
				if follow, ok := resultEvent(rng, a.Kind); ok {
					pending = append(pending, follow)
				}
			}
			script.Add(append(fields, int64(machine.Next()), machine.Ended(), machine.Check() == nil)...)
		}
	}
	script.Check(t, "events")
}
