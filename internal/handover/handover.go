// Package handover decides when a process may accept connections on a clients' socket that it shares with other processes of
// its scheduler, and how it shuts down. After SIGTERM, the accepting process hands the socket over to the next one and ends
// once its connections are closed. A Machine is the state of one process. The package has no I/O, clock, goroutine or lock of
// its own. The driver carries out the actions and reports the result of each as one event.
//
// Invariants:
//
//   - A process accepts connections only while it holds the lock, or if no lock is available at all.
//   - Of all processes that share a lock, at most one admits requests up to the full limits. It does so from its first accept
//     until its module was notified of the handover.
//   - The lock is released once the module was notified and the listener is closed.
//   - A process that did not accept connections before SIGTERM does not start to accept afterwards.
//   - A process ends when no connection is open, or at its deadline after the idle connections were closed. Connections with
//     a request in flight, or whose last request ended less than IdleTimeout ago, are not closed before the deadline.
//   - A process that waits for the lock acquires it soon after no other process holds it.
//
// The package does not check whether a successor waits, and never takes the lock away from a process. A stalled process keeps
// the lock, since it will admit requests up to its limits once it continues. The kernel releases the lock of a process that
// has ended.
package handover

import (
	"fmt"
	"math"
	"time"
)

// Never is the due time of a timer that is not set.
const Never = time.Duration(math.MaxInt64)

// Settings are the intervals of a Machine.
type Settings struct {
	LockPollInterval time.Duration // between attempts to take the lock
	SweepInterval    time.Duration // between sweeps of the open connections, and between attempts to notify the module
	IdleTimeout      time.Duration // after which an idle connection is closed during the shutdown
	WarnAfter        time.Duration // after which a wait for the lock is reported once
}

// EventKind is the kind of an Event.
type EventKind uint8

// The events. All except Started, TimerFired and TermReceived are results of actions.
const (
	Started            EventKind = iota // the process can serve, but does not accept connections yet
	LockAcquired                        // result of TryLock
	LockBusy                            // result of TryLock: another process holds the lock
	LockUnavailable                     // result of TryLock: the lock file cannot be used
	TimerFired                          // the timer of Next has expired
	TermReceived                        // SIGTERM was received; the remaining connections are closed at Deadline
	ModuleNotified                      // result of NotifyModule
	ModuleBusy                          // result of NotifyModule: the module has not confirmed in time
	ListenerClosed                      // result of CloseListener: no further connection is accepted
	ConnectionsCounted                  // result of CloseIdle: OpenConnections remain open
)

// Event is something that happened.
type Event struct {
	Kind            EventKind
	Deadline        time.Duration
	OpenConnections int
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The actions.
const (
	TryLock       ActionKind = iota // acquire the lock if it is free
	Accept                          // start to accept connections
	WarnLongWait                    // report a long wait for the lock
	NotifyModule                    // notify the module that another process takes over its limits
	CloseListener                   // accept no more connections; open ones are closed after their next response
	ReleaseLock
	CloseIdle // close the connections that have been idle for IdleFor
	Finish    // end the process
)

// Action is an action for the driver to carry out.
type Action struct {
	Kind    ActionKind
	IdleFor time.Duration
}

type phase uint8

// The phases, in order.
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
	next           time.Duration // when the next TimerFired is due
	startedAt      time.Duration
	deadline       time.Duration // of the shutdown
	hasLock        bool
	withoutLock    bool
	accepting      bool
	moduleNotified bool
	warnedLongWait bool
	lastSweep      bool // the last CloseIdle was at the deadline
}

// New returns the state of a process that has not accepted any connection.
func New(settings Settings) *Machine {
	return &Machine{settings: settings, next: Never, deadline: Never}
}

// Next returns when the next TimerFired is due.
func (m *Machine) Next() time.Duration { return m.next }

// Step applies an event and returns the actions to carry out, in order. Events that do not fit the phase have no effect.
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
	if m.phase >= draining { // this process no longer accepts, so the next one may acquire the lock
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

// handleModuleBusy retries the notification until the deadline. At the deadline, the listener is closed without a
// notification, and the lock is kept until the process ends.
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
	m.next = Never // the result of the action sets the next timer
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

// sweep returns the action that closes the idle connections. At the deadline, these include connections whose last request
// has just ended.
func (m *Machine) sweep(now time.Duration) Action {
	m.lastSweep = now >= m.deadline
	if m.lastSweep {
		return Action{Kind: CloseIdle}
	}
	return Action{Kind: CloseIdle, IdleFor: m.settings.IdleTimeout}
}

// Ended reports whether the process has finished.
func (m *Machine) Ended() bool { return m.phase == finished }

// Check returns an error if an invariant does not hold. Tests call it after any Step.
func (m *Machine) Check() error {
	switch {
	case m.accepting && !m.hasLock && !m.withoutLock:
		return fmt.Errorf("accepts connections without the lock in phase %d", m.phase)
	case m.phase >= draining && m.hasLock && m.moduleNotified:
		return fmt.Errorf("still holds the lock in phase %d", m.phase)
	case m.phase >= draining && m.accepting:
		return fmt.Errorf("accepts connections in phase %d", m.phase)
	case m.phase == finished && m.next != Never:
		return fmt.Errorf("has finished, but a timer is set at %v", m.next)
	}
	return nil
}
