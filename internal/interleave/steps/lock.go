// Package steps has the types of sync and sync/atomic, and a channel's operations, whose uses are
// steps under the checker. On a goroutine that is no thread of a walk they are the real ones.
// Code takes them by internal/interleave/sync, and has the real ones in an ordinary build.
package steps

import (
	"sync"
	"time"

	il "wheatsaddle/internal/interleave"
)

// Mutex is a sync.Mutex.
type Mutex struct {
	mu   sync.Mutex
	held bool
}

// Lock implements sync.Locker.
func (m *Mutex) Lock() {
	if !il.On() {
		m.mu.Lock()
		return
	}
	il.Step(il.Op{Kind: "lock", On: m, Ready: func() bool { return !m.held }})
	m.held = true
}

// TryLock is sync.Mutex's.
func (m *Mutex) TryLock() bool {
	if !il.On() {
		return m.mu.TryLock()
	}
	il.Step(il.Op{Kind: "trylock", On: m})
	was := m.held
	m.held = true
	return !was
}

// Unlock implements sync.Locker.
func (m *Mutex) Unlock() {
	if !il.On() {
		m.mu.Unlock()
		return
	}
	il.Step(il.Op{Kind: "unlock", On: m})
	if !m.held {
		il.Fail("unlock of an unlocked mutex")
	}
	m.held = false
}

// RWMutex is a sync.RWMutex: a writer that waits holds off the readers that come after it, and when
// it has gone those go before the next writer.
type RWMutex struct {
	mu      sync.RWMutex
	writer  bool // one writes or waits for the readers
	readers int
	waits   []*bool
}

// RLock is sync.RWMutex's.
func (m *RWMutex) RLock() {
	if !il.On() {
		m.mu.RLock()
		return
	}
	il.Step(il.Op{Kind: "rlock", On: m, Mode: il.Read})
	if !m.writer {
		m.readers++
		return
	}
	in := new(bool)
	m.waits = append(m.waits, in)
	il.Step(il.Op{Kind: "rlock waits", On: m, Mode: il.Read, Ready: func() bool { return *in }})
}

// RUnlock is sync.RWMutex's.
func (m *RWMutex) RUnlock() {
	if !il.On() {
		m.mu.RUnlock()
		return
	}
	il.Step(il.Op{Kind: "runlock", On: m, Mode: il.Release})
	if m.readers == 0 {
		il.Fail("runlock of an unlocked mutex")
	}
	m.readers--
}

// Lock implements sync.Locker.
func (m *RWMutex) Lock() {
	if !il.On() {
		m.mu.Lock()
		return
	}
	il.Step(il.Op{Kind: "lock", On: m, Ready: func() bool { return !m.writer }})
	m.writer = true
	if m.readers > 0 {
		il.Step(il.Op{Kind: "lock waits", On: m, Ready: func() bool { return m.readers == 0 }})
	}
}

// Unlock implements sync.Locker.
func (m *RWMutex) Unlock() {
	if !il.On() {
		m.mu.Unlock()
		return
	}
	il.Step(il.Op{Kind: "unlock", On: m})
	if !m.writer {
		il.Fail("unlock of an unlocked mutex")
	}
	m.writer = false
	for _, in := range m.waits {
		*in = true
		m.readers++
	}
	m.waits = nil
}

// Once is a sync.Once.
type Once struct {
	once          sync.Once
	begun, walked bool
}

// Do is sync.Once's.
func (o *Once) Do(f func()) {
	if !il.On() {
		o.once.Do(f)
		return
	}
	il.Step(il.Op{Kind: "once", On: o, Ready: func() bool { return !o.begun || o.walked }})
	if o.walked {
		return
	}
	o.begun = true
	defer func() {
		o.walked = true
		o.once.Do(func() {})
	}()
	f()
	il.Step(il.Op{Kind: "once done", On: o})
}

// Go is a go statement.
func Go(f func()) { il.Go(f) }

// Reads says that a plain variable is read here, under a lock or alone.
func Reads[T any](p *T) { il.Access(p, false) }

// Writes says that a plain variable is written here.
func Writes[T any](p *T) { il.Access(p, true) }

// Point is a step on something outside the process: a file, by its path.
func Point(kind, on string) {
	if il.On() {
		il.Step(il.Op{Kind: kind, On: on})
		*count(kind, on)++
	}
}

func count(kind, on string) *int {
	return il.Local([2]string{kind, on}, func() any { return new(int) }).(*int)
}

// PauseFor is a wait before trying again; under the checker it ends when another thread has made the
// point: two that only pause would wake each other for ever.
func PauseFor(kind, on string, d time.Duration) {
	if !il.On() {
		time.Sleep(d)
		return
	}
	n := count(kind, on)
	from := *n
	il.Step(il.Op{Kind: "pause", On: on, Ready: func() bool { return *n > from }})
}

// Pause is a wait before trying again; true: the channel closed first. Under the checker it ends
// when another thread has made a step: it must not be the only thing that ends somebody's wait.
func Pause(done <-chan struct{}, d time.Duration) (ended bool) {
	if !il.On() {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-done:
			return true
		case <-timer.C:
			return false
		}
	}
	moved := il.Moved()
	il.Step(il.Op{Kind: "pause", Ready: func() bool { return moved() || closed(done) }})
	return closed(done)
}

func closed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
