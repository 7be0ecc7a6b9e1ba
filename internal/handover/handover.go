// Package handover decides when a process may accept on a clients' socket that it shares with others of its
// scheduler, and how it goes: at SIGTERM the one that accepts makes way for the next, and is gone once it is empty.
// It is the book of one process. It has no I/O, clock, goroutine or lock of its own; the driver carries its actions out
// and tells it what came of them, one event for each.
//
// Invariants, in the words of the tests:
//
//	turn     a process accepts only while it has the lock, or where no lock can be had at all
//	one      of all processes on one lock one at most fills limits: from its first accept until its module was told
//	told     the lock is let go once the module was told that it hands over and nothing accepts any more
//	once     nothing is accepted after SIGTERM that was not accepted before
//	empty    a process goes when no connection is open, or when its time is up and those on which nothing waits were
//	         closed; connections in use, and those asked on a moment ago, are not closed before
//	next     a process that waits has the lock soon after nobody else has it
//
// What it does not do: it asks nobody whether a successor waits, and takes the lock from nobody. A process that stands
// still keeps its turn, as it would spend its limits when it runs on; the kernel lets the lock of a dead one go.
package handover

import (
	"fmt"
	"math"
	"time"
)

// Never is the time of what is not awaited.
const Never = time.Duration(math.MaxInt64)

// Settings are the book's times.
type Settings struct {
	LockPollInterval time.Duration // from one look at the lock to the next
	SweepInterval    time.Duration // from one look at what is open to the next
	IdleTimeout      time.Duration // a connection on which nothing was asked for so long is closed
	WarnAfter        time.Duration // a wait for the lock that lasts so long is told, once
}

// EventKind is what happened.
type EventKind uint8

// The events. Each but Begun, Tick and Term is what came of an action.
const (
	Started            EventKind = iota // the process can serve, and accepts nothing yet
	LockAcquired                        // of Try: the lock is this process's
	LockBusy                            // of Try: another has it
	LockUnavailable                     // of Try: there is none to be had
	TimerFired                          // Next has come
	TermReceived                        // SIGTERM; By is when what is left must close
	ModuleNotified                      // of NotifyModule: it has heard
	ModuleBusy                          // of NotifyModule: it had no time
	ListenerClosed                      // of CloseListener: nothing is accepted any more
	ConnectionsCounted                  // of Sweep: N connections are open
)

// Event is what happened.
type Event struct {
	Kind            EventKind
	Deadline        time.Duration
	OpenConnections int
}

// Kind is what the driver is to do.
type ActionKind uint8

// The actions.
const (
	TryLock       ActionKind = iota // look at the lock, and take it if it is free
	Accept                          // from now on
	WarnLongWait                    // the wait is a long one
	NotifyModule                    // its limits are filled by another process
	CloseListener                   // accept no more; what is open stays open, and each answer closes its connection
	ReleaseLock                     // let the lock go
	CloseIdle                       // close what has been quiet for Quiet and on which nothing waits
	Finish                          // the rest is for the program's end
)

// Action is what the driver is to do.
type Action struct {
	Kind    ActionKind
	IdleFor time.Duration
}

type phase uint8

const (
	notStarted phase = iota
	waitingForLock
	serving
	notifyingModule
	closingListener
	draining
	finished
)

// Machine is one process's.
type Machine struct {
	settings        Settings
	phase           phase
	next            time.Duration
	startedAt       time.Duration
	deadline        time.Duration
	hasLock         bool // the lock is this process's
	lockUnavailable bool // there is no lock
	accepting       bool
	moduleNotified  bool // the module has heard
	warnedLongWait  bool
	lastSweep       bool // the last sweep
}

// New makes the book of a process that has accepted nothing.
func New(s Settings) *Machine { return &Machine{settings: s, next: Never, deadline: Never} }

// Next is when the book is to have a Tick.
func (b *Machine) Next() time.Duration { return b.next }

// Step takes an event and says what is to be done, in that order.
func (b *Machine) Step(now time.Duration, e Event) (acts []Action) {
	do := func(all ...ActionKind) {
		for _, d := range all {
			acts = append(acts, Action{Kind: d})
		}
	}
	sweep := func() {
		a := Action{Kind: CloseIdle, IdleFor: b.settings.IdleTimeout}
		if b.lastSweep = now >= b.deadline; b.lastSweep {
			a.IdleFor = 0
		}
		acts = append(acts, a)
	}
	switch {
	case e.Kind == Started && b.phase == notStarted:
		b.phase, b.startedAt = waitingForLock, now
		do(TryLock)
	case e.Kind == LockAcquired:
		if b.hasLock = b.phase < draining; !b.hasLock { // it came too late: the next one may have it
			do(ReleaseLock)
		}
		if b.phase == waitingForLock {
			b.phase, b.accepting = serving, true
			do(Accept)
		}
	case e.Kind == LockUnavailable && b.phase == waitingForLock:
		b.phase, b.accepting, b.lockUnavailable = serving, true, true
		do(Accept)
	case e.Kind == LockBusy && b.phase == waitingForLock:
		b.next = now + b.settings.LockPollInterval
		if !b.warnedLongWait && now >= b.startedAt+b.settings.WarnAfter {
			b.warnedLongWait = true
			do(WarnLongWait)
		}
	case e.Kind == TermReceived && b.phase < notifyingModule:
		b.phase, b.deadline, b.next = notifyingModule, e.Deadline, Never
		do(NotifyModule)
	case e.Kind == ModuleNotified && b.phase == notifyingModule:
		b.moduleNotified, b.phase = true, closingListener
		do(CloseListener)
	case e.Kind == ModuleBusy && b.phase == notifyingModule:
		if b.next = min(now+b.settings.SweepInterval, b.deadline); now >= b.deadline { // the lock goes with the process
			b.phase, b.next = closingListener, Never
			do(CloseListener)
		}
	case e.Kind == ListenerClosed && b.phase == closingListener:
		b.phase, b.accepting = draining, false
		if b.hasLock && b.moduleNotified {
			b.hasLock = false
			do(ReleaseLock)
		}
		sweep()
	case e.Kind == ConnectionsCounted && b.phase == draining:
		if b.next = min(now+b.settings.SweepInterval, max(b.deadline, now)); e.OpenConnections == 0 || b.lastSweep {
			b.phase, b.next = finished, Never
			do(Finish)
		}
	case e.Kind == TimerFired && now >= b.next:
		b.next = Never // until the action's event
		switch b.phase {
		case waitingForLock:
			do(TryLock)
		case notifyingModule:
			do(NotifyModule)
		case draining:
			sweep()
		}
	}
	return acts
}

// Ended says whether the book has nothing more to do.
func (b *Machine) Ended() bool { return b.phase == finished }

// Check says which invariant does not hold.
func (b *Machine) Check() error {
	switch {
	case b.accepting && !b.hasLock && !b.lockUnavailable:
		return fmt.Errorf("turn: accepts without the lock in phase %d", b.phase)
	case b.phase >= draining && b.hasLock && b.moduleNotified:
		return fmt.Errorf("next: the lock is kept in phase %d", b.phase)
	case b.phase >= draining && b.accepting:
		return fmt.Errorf("once: accepts in phase %d", b.phase)
	case b.phase == finished && b.next != Never:
		return fmt.Errorf("empty: awaits %v and is gone", b.next)
	}
	return nil
}
