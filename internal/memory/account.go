// Package memory accounts for the memory that clients, storage nodes and initiators can make the process hold. There is one
// account for all of it, so that no combination of peers exceeds the process's limit. Whoever is about to hold memory for a peer
// acquires it first, and admits less if there is none: a connection is not accepted, a request is rejected, an idle connection is
// closed, a buffer does not grow.
//
// Invariants:
//   - The acquired memory exceeds the size only by what Acquire adds, whose callers have a bound of their own.
//   - A kind acquires no memory beyond its share of the size while others use the rest (Kind.ceiling). Long bodies and buffers
//     have lower shares than requests, so that they never take the room of small requests.
//   - Each acquired byte is released once.
//
// The package knows no connections and does no I/O, except MappedFiles, which reads the process's mappings. budget.go derives the
// account's size from the platform's limit.
package memory

import "sync/atomic"

// Kind is what memory is held for.
type Kind int

// The kinds.
const (
	ClientConnection Kind = iota // an accepted connection without a request
	Request                      // a request from its first byte to its answer, without its body
	RequestBody                  // the body of a request
	Response                     // the buffered part of a response
	NodeConnection               // a connection to a storage node
	GatheredRead                 // merges and parts of gathered reads
	BlockSession                 // a session of the iSCSI front
	BlockData                    // data of commands of the iSCSI front
	RequestID                    // the record of a request id
	Table                        // an entry of a table that clients' names create
	KindCount
)

var kindNames = [KindCount]string{"client_connection", "request", "request_body", "response", "node_connection", "gathered_read",
	"block_session", "block_data", "request_id", "table"}

func (k Kind) String() string { return kindNames[k] }

// ceilings are the shares of the account up to which TryAcquire succeeds, by kind.
var ceilings = [KindCount]float64{
	ClientConnection: 1, Request: 0.95, RequestBody: 0.75, Response: 0.75, NodeConnection: 1,
	GatheredRead: 1, BlockSession: 0.95, BlockData: 0.75, RequestID: 1, Table: 0.9,
}

// Account is the account. Any goroutine may call its methods. A nil Account has no limit.
type Account struct {
	size   atomic.Int64
	used   atomic.Int64
	byKind [KindCount]atomic.Int64
	denied [KindCount]atomic.Int64
}

// NewAccount returns an account of size bytes.
func NewAccount(size int64) *Account {
	a := &Account{}
	a.size.Store(size)
	return a
}

// Resize changes the size. What is acquired beyond a smaller size stays so until it is released.
func (a *Account) Resize(size int64) {
	if a != nil {
		a.size.Store(size)
	}
}

// TryAcquire acquires n bytes if they are free within the kind's share. Otherwise it counts a denial and returns false.
func (a *Account) TryAcquire(kind Kind, n int64) bool {
	return a.TryAcquireWithin(kind, n, ceilings[kind])
}

// TryAcquireWithin is TryAcquire with another share of the size, for a holder that has used part of its memory well.
func (a *Account) TryAcquireWithin(kind Kind, n int64, share float64) bool {
	if a == nil {
		return true
	}
	if a.used.Add(n) > int64(share*float64(a.size.Load())) {
		a.used.Add(-n)
		a.denied[kind].Add(1)
		return false
	}
	a.byKind[kind].Add(n)
	return true
}

// HasRoom reports whether TryAcquire of n bytes would succeed now.
func (a *Account) HasRoom(kind Kind, n int64) bool {
	return a == nil || a.used.Load()+n <= int64(ceilings[kind]*float64(a.size.Load()))
}

// Acquire acquires n bytes in any case, for what cannot be turned away. The caller bounds how much that is.
func (a *Account) Acquire(kind Kind, n int64) {
	if a != nil {
		a.used.Add(n)
		a.byKind[kind].Add(n)
	}
}

// Release returns n bytes.
func (a *Account) Release(kind Kind, n int64) {
	if a != nil {
		a.used.Add(-n)
		a.byKind[kind].Add(-n)
	}
}

// Size returns the size in bytes; 0 for a nil Account.
func (a *Account) Size() int64 {
	if a == nil {
		return 0
	}
	return a.size.Load()
}

// Used returns the acquired bytes of all kinds.
func (a *Account) Used() int64 {
	if a == nil {
		return 0
	}
	return a.used.Load()
}

// InUse returns the acquired bytes of a kind.
func (a *Account) InUse(kind Kind) int64 {
	if a == nil {
		return 0
	}
	return a.byKind[kind].Load()
}

// Denied returns how often TryAcquire of a kind has failed.
func (a *Account) Denied(kind Kind) int64 {
	if a == nil {
		return 0
	}
	return a.denied[kind].Load()
}

// Limit returns how many bytes a kind could acquire if it were alone.
func (a *Account) Limit(kind Kind) int64 { return int64(ceilings[kind] * float64(a.Size())) }

// Share is what one holder has acquired of a kind. One goroutine at a time may use it.
type Share struct {
	account *Account
	kind    Kind
	held    int64
}

// NewShare returns an empty share.
func (a *Account) NewShare(kind Kind) Share { return Share{account: a, kind: kind} }

// Grow acquires memory until the share has size bytes. It reports whether it has them.
func (s *Share) Grow(size int64) bool { return s.GrowWithin(size, ceilings[s.kind]) }

// GrowWithin is Grow with another share of the account's size.
func (s *Share) GrowWithin(size int64, share float64) bool {
	if size <= s.held {
		return true
	}
	if !s.account.TryAcquireWithin(s.kind, size-s.held, share) {
		return false
	}
	s.held = size
	return true
}

// Shrink returns what the share has beyond size bytes.
func (s *Share) Shrink(size int64) {
	if size < s.held {
		s.account.Release(s.kind, s.held-size)
		s.held = size
	}
}

// Held returns the acquired bytes.
func (s *Share) Held() int64 { return s.held }

// Release returns all of the share. Further calls do nothing.
func (s *Share) Release() {
	s.account.Release(s.kind, s.held)
	s.held = 0
}
