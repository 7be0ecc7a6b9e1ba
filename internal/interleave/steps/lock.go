// Package steps provides the types of sync and sync/atomic, and channel operations, as steps of the
// checker. On a goroutine that is not a thread of the checker they behave like the real ones. Code uses
// them through internal/interleave/sync, which has the real ones in an ordinary build.
package steps

import (
	"sync"
	"time"

	il "wheatsaddle/internal/interleave"
)

// Mutex is a sync.Mutex whose operations are steps.
type Mutex struct {
	mu   sync.Mutex
	held bool
}

// Lock implements sync.Locker.
func (m *Mutex) Lock() {
	if !il.Active() {
		m.mu.Lock()
		return
	}
	il.Step(il.Op{Kind: "lock", Object: m, Ready: func() bool { return !m.held }})
	m.held = true
}

// TryLock is a step of the checker, then TryLock of sync.Mutex.
func (m *Mutex) TryLock() bool {
	if !il.Active() {
		return m.mu.TryLock()
	}
	il.Step(il.Op{Kind: "trylock", Object: m})
	was := m.held
	m.held = true
	return !was
}

// Unlock implements sync.Locker.
func (m *Mutex) Unlock() {
	if !il.Active() {
		m.mu.Unlock()
		return
	}
	il.Step(il.Op{Kind: "unlock", Object: m})
	if !m.held {
		il.Fail("unlock of an unlocked mutex")
	}
	m.held = false
}

// RWMutex is a sync.RWMutex whose operations are steps. As in sync.RWMutex, a waiting writer blocks the
// readers that arrive after it, and when it unlocks, those readers go before the next writer.
type RWMutex struct {
	mu             sync.RWMutex
	writer         bool // a writer holds the lock or waits for the readers
	readers        int
	waitingReaders []*bool // set to true when the reader may proceed
}

// RLock is RLock of sync.RWMutex, with one step, or two if it has to wait.
func (m *RWMutex) RLock() {
	if !il.Active() {
		m.mu.RLock()
		return
	}
	il.Step(il.Op{Kind: "rlock", Object: m, Mode: il.Read})
	if !m.writer {
		m.readers++
		return
	}
	admitted := new(bool)
	m.waitingReaders = append(m.waitingReaders, admitted)
	il.Step(il.Op{Kind: "rlock waits", Object: m, Mode: il.Read, Ready: func() bool { return *admitted }})
}

// RUnlock is a step of the checker, then RUnlock of sync.RWMutex.
func (m *RWMutex) RUnlock() {
	if !il.Active() {
		m.mu.RUnlock()
		return
	}
	il.Step(il.Op{Kind: "runlock", Object: m, Mode: il.Release})
	if m.readers == 0 {
		il.Fail("runlock of an unlocked mutex")
	}
	m.readers--
}

// Lock implements sync.Locker.
func (m *RWMutex) Lock() {
	if !il.Active() {
		m.mu.Lock()
		return
	}
	il.Step(il.Op{Kind: "lock", Object: m, Ready: func() bool { return !m.writer }})
	m.writer = true
	if m.readers > 0 {
		il.Step(il.Op{Kind: "lock waits", Object: m, Ready: func() bool { return m.readers == 0 }})
	}
}

// Unlock implements sync.Locker.
func (m *RWMutex) Unlock() {
	if !il.Active() {
		m.mu.Unlock()
		return
	}
	il.Step(il.Op{Kind: "unlock", Object: m})
	if !m.writer {
		il.Fail("unlock of an unlocked mutex")
	}
	m.writer = false
	for _, admitted := range m.waitingReaders {
		*admitted = true
		m.readers++
	}
	m.waitingReaders = nil
}

// Once is a sync.Once whose operations are steps.
type Once struct {
	once              sync.Once
	started, finished bool
}

// Do is Do of sync.Once, with a step before the call of f and one after it.
func (o *Once) Do(f func()) {
	if !il.Active() {
		o.once.Do(f)
		return
	}
	il.Step(il.Op{Kind: "once", Object: o, Ready: func() bool { return !o.started || o.finished }})
	if o.finished {
		return
	}
	o.started = true
	defer func() {
		o.finished = true
		o.once.Do(func() {})
	}()
	f()
	il.Step(il.Op{Kind: "once done", Object: o})
}

// Go is a go statement; under the checker it starts a thread.
func Go(f func()) { il.Go(f) }

// Reads declares that the caller reads a plain variable, which a lock or a happens-before relation guards.
func Reads[T any](p *T) { il.Access(p, false) }

// Writes declares that the caller writes a plain variable.
func Writes[T any](p *T) { il.Access(p, true) }

// Step is a step on an object outside the process, for example on a file, which is named by its path.
func Step(kind, on string) {
	if il.Active() {
		il.Step(il.Op{Kind: kind, Object: on})
		*stepCount(kind, on)++
	}
}

// stepCount returns the run's counter of calls of Step with a kind and an object.
func stepCount(kind, on string) *int {
	return il.PerRun([2]string{kind, on}, func() any { return new(int) }).(*int)
}

// PauseFor waits before a retry. Under the checker it ends when another thread has made the step Step(kind, on)
// since: if it ended with any step, two threads that only pause would wake each other forever.
func PauseFor(kind, on string, d time.Duration) {
	if !il.Active() {
		time.Sleep(d)
		return
	}
	steps := stepCount(kind, on)
	stepsBefore := *steps
	il.Step(il.Op{Kind: "pause", Object: on, Ready: func() bool { return *steps > stepsBefore }})
}

// Pause waits before a retry; true: the channel was closed first. Under the checker it ends when another
// thread has made a step, so the end of a Pause must not be the only event that ends another thread's wait.
func Pause(done <-chan struct{}, d time.Duration) (ended bool) {
	if !il.Active() {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-done:
			return true
		case <-timer.C:
			return false
		}
	}
	stepMade := il.StepMadeSince()
	il.Step(il.Op{Kind: "pause", Ready: func() bool { return stepMade() || doneClosed(done) }})
	return doneClosed(done)
}

func doneClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
