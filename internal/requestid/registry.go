package requestid

import (
	"errors"
	"sync"
	"time"

	"wheatsaddle/internal/memory"
)

// Registry is the ledger of a process, which the cores of both fronts share, with the journal if there is one. Any goroutine may
// call its methods. A nil Registry grants every id.
type Registry struct {
	mu      sync.Mutex // guards the fields below
	ledger  *Ledger
	journal *Journal // nil: no other process of the scheduler takes clients while this one runs
	origin  time.Time

	publishErrors int64
	firstError    error // of the publications that failed, until TakeError
}

// NewRegistry returns a registry whose ids share the account.
func NewRegistry(account *memory.Account) *Registry {
	return &Registry{ledger: NewLedger(account), origin: time.Now()}
}

// SetJournal shares the ids with the other processes of a handover. It is called before the first Publish.
func (r *Registry) SetJournal(j *Journal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.journal = j
}

// Claim makes a request the owner of its id. It returns false if the id is owned.
func (r *Registry) Claim(id string) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Claim(time.Since(r.origin), KeyOf(id))
}

// Owned reports whether an id is owned, by a request of this process or, as far as this process has read, of another one.
func (r *Registry) Owned(id string) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := KeyOf(id)
	return r.ledger.Owns(time.Since(r.origin), key) || r.journal != nil && r.journal.OwnedByOther(key)
}

// Publication is the result of Publish.
type Publication int

// The results.
const (
	Published   Publication = iota // no other process owns the id, and others see that this one does
	OwnedByPeer                    // another process owns the id
	Unpublished                    // another process may not see that this one owns the id, and is there
	Unread                         // another process is there and may own the id
)

// Publish shows the other processes that this one owns an id for a window, before the first attempt of its request. Requests that may
// not be repeated have more room.
func (r *Registry) Publish(id string, window time.Duration, mayRepeat bool) Publication {
	if r == nil {
		return Published
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.journal == nil {
		return Published
	}
	owned, err := r.journal.Publish(KeyOf(id), window, mayRepeat)
	r.recordError(err)
	switch {
	case owned:
		return OwnedByPeer
	case err == nil || !r.journal.OthersActive():
		return Published
	case errors.Is(err, errOthersUnread):
		return Unread
	}
	return Unpublished
}

// recordError counts a failed publication. The caller holds the mutex.
func (r *Registry) recordError(err error) {
	if err == nil {
		return
	}
	r.publishErrors++
	if r.firstError == nil {
		r.firstError = err
	}
}

// End ends a claim. The id stays owned for a window, or is free at once if that is 0: its request has never run.
func (r *Registry) End(id string, window time.Duration) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := KeyOf(id)
	if window > 0 {
		now := time.Since(r.origin)
		r.ledger.Keep(now, key, now+window)
		return
	}
	r.ledger.Release(key)
}

// Withdraw shows the other processes that a published id is not owned any more.
func (r *Registry) Withdraw(id string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.journal != nil {
		r.recordError(r.journal.Free(KeyOf(id)))
	}
}

// Counts returns the numbers of the ledger, and of failed publications.
func (r *Registry) Counts() (Counts, int64) {
	if r == nil {
		return Counts{}, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Counts(), r.publishErrors
}

// TakeError returns the first error of the publications since the last call, nil if all succeeded.
func (r *Registry) TakeError() error {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	err := r.firstError
	r.firstError = nil
	return err
}

// Close closes the journal.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.journal != nil {
		_ = r.journal.Close() // nothing more is written
		r.journal = nil
	}
}
