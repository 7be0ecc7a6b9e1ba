package iscsi

import (
	"sync"
	"time"

	"wheatsaddle/internal/taskset"
)

const (
	// functionLimit is how long a task management function, a logout or a login waits for the outcomes of writes. Initiators wait 10 s at
	// least.
	functionLimit = 5 * time.Second
	// lostPeriod is how long a write may still run at a storage target whose connection was lost, or which has confirmed its abort.
	lostPeriod = 30 * time.Second
	// expiryInterval is the minimum time between two checks of the functions' limits.
	expiryInterval = 50 * time.Millisecond
)

// effectTracker keeps the writes of all sessions that may still have an effect, and passes on the decisions about functions that wait for
// them. Any goroutine may call its methods.
type effectTracker struct {
	origin time.Time
	limit  time.Duration // of a function

	mu         sync.Mutex // guards the fields below
	set        *taskset.Set
	lastID     taskset.FunctionID
	decided    map[taskset.FunctionID]func(taskset.Outcome) // called without the mutex
	lastExpiry time.Duration
}

func newEffectTracker() *effectTracker {
	return &effectTracker{origin: time.Now(), limit: functionLimit, set: taskset.New(lostPeriod), decided: map[taskset.FunctionID]func(taskset.Outcome){}}
}

// update calls change with the set and the time, and then passes on the decisions that follow from it.
func (t *effectTracker) update(change func(s *taskset.Set, now time.Duration)) {
	for _, pass := range t.apply(change) {
		pass()
	}
}

// apply returns the calls that pass on the decisions.
func (t *effectTracker) apply(change func(s *taskset.Set, now time.Duration)) (calls []func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t.set, time.Since(t.origin))
	for _, d := range t.set.Decisions() {
		decided := t.decided[d.Function]
		delete(t.decided, d.Function)
		calls = append(calls, func() { decided(d.Outcome) })
	}
	return calls
}

// begin adds a write.
func (t *effectTracker) begin(c taskset.Command) *writeEffect {
	e := &writeEffect{tracker: t}
	t.update(func(s *taskset.Set, now time.Duration) { e.id = s.Begin(now, c) })
	return e
}

// await calls decided once with the outcome of a function over a scope. It may do so before it returns. It returns the function's id.
func (t *effectTracker) await(scope taskset.Scope, decided func(taskset.Outcome)) (id taskset.FunctionID) {
	t.update(func(s *taskset.Set, now time.Duration) {
		t.lastID++
		id = t.lastID
		t.decided[id] = decided
		s.Await(now, id, scope, now+t.limit)
	})
	return id
}

// forget removes a function that nobody waits for any more.
func (t *effectTracker) forget(id taskset.FunctionID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.set.Forget(id)
	delete(t.decided, id)
}

// expire decides the functions whose limit has passed. It is called often.
func (t *effectTracker) expire() {
	t.update(func(s *taskset.Set, now time.Duration) {
		if now-t.lastExpiry < expiryInterval {
			return
		}
		t.lastExpiry = now
		s.Expire(now)
	})
}

// expireAll decides all functions.
func (t *effectTracker) expireAll() {
	t.update(func(s *taskset.Set, now time.Duration) { s.ExpireAll(now) })
}

// sessionEnded records the end of a session.
func (t *effectTracker) sessionEnded(session uint64) {
	t.update(func(s *taskset.Set, _ time.Duration) { s.SessionEnded(session) })
}

// FormerWrites returns the writes that may still have an effect, for the process that replaces this one. It is called when this one ends.
func (t *Target) FormerWrites() (writes []taskset.FormerWrites) {
	t.effects.update(func(s *taskset.Set, now time.Duration) { writes = s.FormerWrites(now) })
	return writes
}

// AddFormerWrites adds the writes of the process that this one replaces. It is called before Serve.
func (t *Target) AddFormerWrites(writes []taskset.FormerWrites) {
	t.effects.update(func(s *taskset.Set, now time.Duration) { s.AddFormerWrites(now, writes) })
}

// writeEffect is what one write may do at the storage targets. Any goroutine may call its methods. A nil writeEffect is that of a command
// that has no effect.
type writeEffect struct {
	tracker *effectTracker
	id      taskset.ID
}

// ended records that no further attempt begins.
func (e *writeEffect) ended() {
	if e != nil {
		e.tracker.update(func(s *taskset.Set, now time.Duration) { s.End(now, e.id) })
	}
}

// attemptBegan records that an attempt is about to be claimed and written.
func (e *writeEffect) attemptBegan() {
	if e != nil {
		e.tracker.update(func(s *taskset.Set, _ time.Duration) { s.AttemptBegan(e.id) })
	}
}

// attemptFinished records that an attempt was not written, or that the storage target has responded to it.
func (e *writeEffect) attemptFinished() {
	if e != nil {
		e.tracker.update(func(s *taskset.Set, now time.Duration) { s.AttemptFinished(now, e.id) })
	}
}

// attemptLost records that the response to an attempt cannot come any more.
func (e *writeEffect) attemptLost() {
	if e != nil {
		e.tracker.update(func(s *taskset.Set, now time.Duration) { s.AttemptLost(now, e.id) })
	}
}

// attemptAborted records that the storage target has confirmed the abort of an attempt.
func (e *writeEffect) attemptAborted() {
	if e != nil {
		e.tracker.update(func(s *taskset.Set, now time.Duration) { s.AttemptAborted(now, e.id) })
	}
}

// abortedAttemptFinished records that the response to an aborted attempt has come.
func (e *writeEffect) abortedAttemptFinished() {
	if e != nil {
		e.tracker.update(func(s *taskset.Set, now time.Duration) { s.AbortedAttemptFinished(now, e.id) })
	}
}

// abortedAttemptLost records that the response to an aborted attempt cannot come any more.
func (e *writeEffect) abortedAttemptLost() {
	if e != nil {
		e.tracker.update(func(s *taskset.Set, now time.Duration) { s.AbortedAttemptLost(now, e.id) })
	}
}
