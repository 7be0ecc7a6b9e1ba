// Package requestid decides which request owns an id, so that no id runs twice: not on another connection, at the other front, or
// after its client has left. An id is owned from the admission of its request until the end of its window, which is set when the
// request has ended. A request that has never run leaves its id free.
//
// Invariants:
//   - At most one request owns an id at a time.
//   - An id whose window lasts is not granted again, unless it was evicted.
//   - Kept ids use at most the memory that the account grants. Where there is none for another, the one whose window ends first is
//     evicted and counted. Ids of open requests are never evicted.
//
// A Ledger has no clock and no I/O: the caller passes the time. Journal shares ids with the other process of a handover.
package requestid

import (
	"container/heap"
	"time"

	"github.com/cespare/xxhash/v2"

	"wheatsaddle/internal/memory"
)

// accountDivisor bounds kept ids to 1/accountDivisor of the account, so that they take no room of requests.
const accountDivisor = 8

// entryBytes is the memory of an id: its entry in the map and in the heap.
const entryBytes = 160

// Key stands for an id. Two ids have the same key with a probability of about 2^-128.
type Key struct{ high, low uint64 }

// KeyOf returns the key of an id.
func KeyOf(id string) Key {
	const secondSeed = 0x9e3779b97f4a7c15
	second := xxhash.NewWithSeed(secondSeed)
	_, _ = second.WriteString(id) // never fails
	return Key{xxhash.Sum64String(id), second.Sum64()}
}

// entry is an owned id.
type entry struct {
	key   Key
	until time.Duration // end of its window; only once it is kept
	index int           // in the heap of kept entries; negative: its request is open
}

// Ledger holds the owned ids. It is not safe for concurrent use.
type Ledger struct {
	account *memory.Account // nil: no limit
	entries map[Key]*entry
	kept    entryHeap
	evicted int64
}

// NewLedger returns a ledger without ids.
func NewLedger(account *memory.Account) *Ledger {
	return &Ledger{account: account, entries: map[Key]*entry{}}
}

// Claim makes the caller the owner of an id. It returns false if the id is owned.
func (l *Ledger) Claim(now time.Duration, key Key) bool {
	l.expire(now)
	if l.entries[key] != nil {
		return false
	}
	l.acquire()
	l.entries[key] = &entry{key: key, index: -1}
	return true
}

// Owns reports whether an id is owned.
func (l *Ledger) Owns(now time.Duration, key Key) bool {
	l.expire(now)
	return l.entries[key] != nil
}

// acquire acquires the memory of an entry, and evicts a kept one if there is none.
func (l *Ledger) acquire() {
	isWithinShare := l.account == nil || l.account.InUse(memory.RequestID)+entryBytes <= l.account.Size()/accountDivisor
	if isWithinShare && l.account.TryAcquire(memory.RequestID, entryBytes) {
		return
	}
	if len(l.kept) > 0 {
		l.remove(l.kept[0])
		l.evicted++
	}
	l.account.Acquire(memory.RequestID, entryBytes) // of an open request, whose number is bounded
}

// Release frees an id whose request has never run.
func (l *Ledger) Release(key Key) {
	if e := l.entries[key]; e != nil {
		l.remove(e)
	}
}

// Keep keeps an id whose request has ended and may have run, until the end of its window.
func (l *Ledger) Keep(now time.Duration, key Key, until time.Duration) {
	e := l.entries[key]
	switch {
	case e == nil:
		return
	case until <= now:
		l.remove(e)
		return
	}
	e.until = until
	if e.index < 0 {
		heap.Push(&l.kept, e)
	} else {
		heap.Fix(&l.kept, e.index)
	}
}

// expire frees the ids whose window has ended.
func (l *Ledger) expire(now time.Duration) {
	for len(l.kept) > 0 && l.kept[0].until <= now {
		l.remove(l.kept[0])
	}
}

// remove frees an id.
func (l *Ledger) remove(e *entry) {
	if e.index >= 0 {
		heap.Remove(&l.kept, e.index)
	}
	delete(l.entries, e.key)
	l.account.Release(memory.RequestID, entryBytes)
}

// Counts are the ids of a ledger.
type Counts struct {
	Owned   int   // of open requests, and kept
	Kept    int   // of ended requests
	Evicted int64 // so far
}

// Counts returns the current numbers.
func (l *Ledger) Counts() Counts {
	return Counts{Owned: len(l.entries), Kept: len(l.kept), Evicted: l.evicted}
}

// entryHeap implements heap.Interface. The entry whose window ends first comes first.
type entryHeap []*entry

// Len implements heap.Interface.
func (h entryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h entryHeap) Less(i, j int) bool { return h[i].until < h[j].until }

// Swap implements heap.Interface.
func (h entryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *entryHeap) Push(x any) {
	e := x.(*entry)
	e.index = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	last.index = -1
	return last
}
