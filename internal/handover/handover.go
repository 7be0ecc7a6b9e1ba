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

// ActionKind is what the driver is to do.
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
	fresh phase = iota
	waiting
	serving
	telling
	shutting
	emptying
	gone
)

// Machine is one process's.
type Machine struct {
	set     Settings
	phase   phase
	next    time.Duration
	begun   time.Duration
	by      time.Duration
	locked  bool // the lock is this process's
	none    bool // there is no lock
	accepts bool
	told    bool // the module has heard
	warned  bool
	last    bool // the last sweep
}

// New makes the book of a process that has accepted nothing.
func New(s Settings) *Machine { return &Machine{set: s, next: Never, by: Never} }

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
		a := Action{Kind: CloseIdle, IdleFor: b.set.IdleTimeout}
		if b.last = now >= b.by; b.last {
			a.IdleFor = 0
		}
		acts = append(acts, a)
	}
	switch {
	case e.Kind == Started && b.phase == fresh:
		b.phase, b.begun = waiting, now
		do(TryLock)
	case e.Kind == LockAcquired:
		if b.locked = b.phase < emptying; !b.locked { // it came too late: the next one may have it
			do(ReleaseLock)
		}
		if b.phase == waiting {
			b.phase, b.accepts = serving, true
			do(Accept)
		}
	case e.Kind == LockUnavailable && b.phase == waiting:
		b.phase, b.accepts, b.none = serving, true, true
		do(Accept)
	case e.Kind == LockBusy && b.phase == waiting:
		b.next = now + b.set.LockPollInterval
		if !b.warned && now >= b.begun+b.set.WarnAfter {
			b.warned = true
			do(WarnLongWait)
		}
	case e.Kind == TermReceived && b.phase < telling:
		b.phase, b.by, b.next = telling, e.Deadline, Never
		do(NotifyModule)
	case e.Kind == ModuleNotified && b.phase == telling:
		b.told, b.phase = true, shutting
		do(CloseListener)
	case e.Kind == ModuleBusy && b.phase == telling:
		if b.next = min(now+b.set.SweepInterval, b.by); now >= b.by { // the lock goes with the process
			b.phase, b.next = shutting, Never
			do(CloseListener)
		}
	case e.Kind == ListenerClosed && b.phase == shutting:
		b.phase, b.accepts = emptying, false
		if b.locked && b.told {
			b.locked = false
			do(ReleaseLock)
		}
		sweep()
	case e.Kind == ConnectionsCounted && b.phase == emptying:
		if b.next = min(now+b.set.SweepInterval, max(b.by, now)); e.OpenConnections == 0 || b.last {
			b.phase, b.next = gone, Never
			do(Finish)
		}
	case e.Kind == TimerFired && now >= b.next:
		b.next = Never // until the action's event
		switch b.phase {
		case waiting:
			do(TryLock)
		case telling:
			do(NotifyModule)
		case emptying:
			sweep()
		}
	}
	return acts
}

// Ended says whether the book has nothing more to do.
func (b *Machine) Ended() bool { return b.phase == gone }

// Check says which invariant does not hold.
func (b *Machine) Check() error {
	switch {
	case b.accepts && !b.locked && !b.none:
		return fmt.Errorf("turn: accepts without the lock in phase %d", b.phase)
	case b.phase >= emptying && b.locked && b.told:
		return fmt.Errorf("next: the lock is kept in phase %d", b.phase)
	case b.phase >= emptying && b.accepts:
		return fmt.Errorf("once: accepts in phase %d", b.phase)
	case b.phase == gone && b.next != Never:
		return fmt.Errorf("empty: awaits %v and is gone", b.next)
	}
	return nil
}
