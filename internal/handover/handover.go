// Package handover decides when a process may accept on a clients' socket that it shares with other processes of its
// scheduler, and how it shuts down: after SIGTERM, the accepting process makes way for the next one, and ends when its
// connections are closed. A Machine is the state of one process. The package has no I/O, clock, goroutine or lock of its
// own. The driver carries the actions out and reports the result of each as one event.
//
// Invariants:
//
//   - A process accepts only while it has the lock, or if no lock is available at all.
//   - Of all processes that share a lock, at most one fills limits: from its first accept until its module was notified of
//     the handover.
//   - The lock is released once the module was notified and nothing is accepted any more.
//   - Nothing is accepted after SIGTERM that was not accepted before.
//   - A process ends when no connection is open, or at its deadline after the idle ones were closed. Connections with a
//     request, or with one less than IdleTimeout ago, are not closed before the deadline.
//   - A process that waits for the lock gets it soon after no other process has it.
//
// The package does not ask whether a successor waits, and takes the lock from no process. A stalled process keeps the lock,
// since it would fill its limits once it continues. The kernel releases the lock of a process that has ended.
package handover

import (
	"fmt"
	"math"
	"time"
)

// Never is the time of what is not awaited.
const Never = time.Duration(math.MaxInt64)

// Settings are the intervals of a Machine.
type Settings struct {
	LockPollInterval time.Duration // between attempts to take the lock
	SweepInterval    time.Duration // between sweeps of the open connections
	IdleTimeout      time.Duration // after which a connection without a request is closed
	WarnAfter        time.Duration // a wait for the lock longer than this is reported, once
}

// EventKind is what happened.
type EventKind uint8

// The events. Each but Started, TimerFired and TermReceived is the result of an action.
const (
	Started            EventKind = iota // the process can serve, and accepts nothing yet
	LockAcquired                        // of TryLock
	LockBusy                            // of TryLock: another process has the lock
	LockUnavailable                     // of TryLock: there is no lock
	TimerFired                          // the time of Next has come
	TermReceived                        // SIGTERM: Deadline is when the remaining connections are closed
	ModuleNotified                      // of NotifyModule
	ModuleBusy                          // of NotifyModule: the module has not confirmed in time
	ListenerClosed                      // of CloseListener: nothing is accepted any more
	ConnectionsCounted                  // of CloseIdle: OpenConnections are left
)

// Event is something that happened.
type Event struct {
	Kind            EventKind
	Deadline        time.Duration
	OpenConnections int
}

// ActionKind is what the driver is to do.
type ActionKind uint8

// The actions.
const (
	TryLock       ActionKind = iota // take the lock if it is free
	Accept                          // from now on
	WarnLongWait                    // report a long wait for the lock
	NotifyModule                    // notify the module that another process fills its limits
	CloseListener                   // accept no more; open connections stay, each until its next response
	ReleaseLock
	CloseIdle // close the connections without a request for IdleFor
	Finish    // end the process
)

// Action is something for the driver to do.
type Action struct {
	Kind    ActionKind
	IdleFor time.Duration
}

type phase uint8

// The phases, in their order.
const (
	notStarted phase = iota
	waitingForLock
	serving
	notifyingModule
	closingListener
	draining
	finished
)

// Machine is the state of one process. It must be used by one goroutine at a time.
type Machine struct {
	settings       Settings
	phase          phase
	next           time.Duration // of the next TimerFired
	startedAt      time.Duration
	deadline       time.Duration // of the shutdown
	hasLock        bool
	withoutLock    bool
	accepting      bool
	moduleNotified bool
	warnedLongWait bool
	lastSweep      bool // the last CloseIdle was at the deadline
}

// New returns the state of a process that has accepted nothing.
func New(settings Settings) *Machine {
	return &Machine{settings: settings, next: Never, deadline: Never}
}

// Next is when a TimerFired is due.
func (m *Machine) Next() time.Duration { return m.next }

// Step applies an event and returns what is to be done, in that order. Events that do not fit the phase have no effect.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	switch e.Kind {
	case Started:
		return m.handleStarted(now)
	case LockAcquired:
		return m.handleLockAcquired()
	case LockBusy:
		return m.handleLockBusy(now)
	case LockUnavailable:
		return m.handleLockUnavailable()
	case TimerFired:
		return m.handleTimer(now)
	case TermReceived:
		return m.handleTerm(e.Deadline)
	case ModuleNotified:
		return m.handleModuleNotified()
	case ModuleBusy:
		return m.handleModuleBusy(now)
	case ListenerClosed:
		return m.handleListenerClosed(now)
	case ConnectionsCounted:
		return m.handleConnectionsCounted(now, e.OpenConnections)
	}
	return nil
}

// newActions returns actions of the given kinds.
func newActions(kinds ...ActionKind) (actions []Action) {
	for _, kind := range kinds {
		actions = append(actions, Action{Kind: kind})
	}
	return actions
}

func (m *Machine) handleStarted(now time.Duration) []Action {
	if m.phase != notStarted {
		return nil
	}
	m.phase, m.startedAt = waitingForLock, now
	return newActions(TryLock)
}

func (m *Machine) handleLockAcquired() []Action {
	if m.phase >= draining { // too late: the next process may have it
		m.hasLock = false
		return newActions(ReleaseLock)
	}
	m.hasLock = true
	if m.phase != waitingForLock {
		return nil
	}
	m.phase, m.accepting = serving, true
	return newActions(Accept)
}

func (m *Machine) handleLockUnavailable() []Action {
	if m.phase != waitingForLock {
		return nil
	}
	m.phase, m.accepting, m.withoutLock = serving, true, true
	return newActions(Accept)
}

func (m *Machine) handleLockBusy(now time.Duration) []Action {
	if m.phase != waitingForLock {
		return nil
	}
	m.next = now + m.settings.LockPollInterval
	if m.warnedLongWait || now < m.startedAt+m.settings.WarnAfter {
		return nil
	}
	m.warnedLongWait = true
	return newActions(WarnLongWait)
}

func (m *Machine) handleTerm(deadline time.Duration) []Action {
	if m.phase >= notifyingModule {
		return nil
	}
	m.phase, m.deadline, m.next = notifyingModule, deadline, Never
	return newActions(NotifyModule)
}

func (m *Machine) handleModuleNotified() []Action {
	if m.phase != notifyingModule {
		return nil
	}
	m.moduleNotified, m.phase = true, closingListener
	return newActions(CloseListener)
}

// handleModuleBusy retries until the deadline. Then the listener is closed all the same, and the lock is kept until the process
// ends.
func (m *Machine) handleModuleBusy(now time.Duration) []Action {
	if m.phase != notifyingModule {
		return nil
	}
	if now >= m.deadline {
		m.phase, m.next = closingListener, Never
		return newActions(CloseListener)
	}
	m.next = min(now+m.settings.SweepInterval, m.deadline)
	return nil
}

func (m *Machine) handleListenerClosed(now time.Duration) []Action {
	if m.phase != closingListener {
		return nil
	}
	m.phase, m.accepting = draining, false
	var actions []Action
	if m.hasLock && m.moduleNotified {
		m.hasLock = false
		actions = newActions(ReleaseLock)
	}
	return append(actions, m.sweep(now))
}

func (m *Machine) handleConnectionsCounted(now time.Duration, open int) []Action {
	if m.phase != draining {
		return nil
	}
	if open == 0 || m.lastSweep {
		m.phase, m.next = finished, Never
		return newActions(Finish)
	}
	m.next = min(now+m.settings.SweepInterval, max(m.deadline, now))
	return nil
}

func (m *Machine) handleTimer(now time.Duration) []Action {
	if now < m.next {
		return nil
	}
	m.next = Never // until the result of the action
	switch m.phase {
	case waitingForLock:
		return newActions(TryLock)
	case notifyingModule:
		return newActions(NotifyModule)
	case draining:
		return []Action{m.sweep(now)}
	}
	return nil
}

// sweep closes the idle connections, at the deadline also those that had a request a moment ago.
func (m *Machine) sweep(now time.Duration) Action {
	m.lastSweep = now >= m.deadline
	if m.lastSweep {
		return Action{Kind: CloseIdle}
	}
	return Action{Kind: CloseIdle, IdleFor: m.settings.IdleTimeout}
}

// Ended reports whether nothing is left to do.
func (m *Machine) Ended() bool { return m.phase == finished }

// Check returns which invariant does not hold. It is for tests, after any Step.
func (m *Machine) Check() error {
	switch {
	case m.accepting && !m.hasLock && !m.withoutLock:
		return fmt.Errorf("accepts without the lock in phase %d", m.phase)
	case m.phase >= draining && m.hasLock && m.moduleNotified:
		return fmt.Errorf("still has the lock in phase %d", m.phase)
	case m.phase >= draining && m.accepting:
		return fmt.Errorf("accepts in phase %d", m.phase)
	case m.phase == finished && m.next != Never:
		return fmt.Errorf("has finished, and a timer is set at %v", m.next)
	}
	return nil
}
