// Package discovery is a fake of the discovery service that gives schedulers the endpoint list. It
// supports plain calls, calls that wait for a change and watches, limits its capacity, injects faults
// that can be switched while it runs, counts calls, and records what was sent to which caller and when.
//
// VersionedList and Queue are its core, without I/O, clock, goroutines or locks. Simulations in virtual
// time use them without the sockets. Their invariants, which the tests check:
//
//   - an earlier version of the list with the later changes applied equals the current list;
//   - a list that was returned never changes;
//   - the history holds at most maxHistory entries and reports the versions that it no longer covers;
//   - calls are processed one at a time in order of arrival, each for its full processing time;
//   - no call is served that waited longer than the patience, and no call waits when the queue is full;
//   - a call that fails because it waited too long still takes its processing time.
//
// Not supported: more than one server, TLS, paginated lists.
package discovery

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
)

// Status is an entry's state as the protocol writes it.
type Status string

// The states. Left occurs only in changes.
const (
	Active  Status = "active"
	Leaving Status = "leaving"
	Left    Status = "left"
)

// Entry is one node in the list. Entries are not validated, so that tests can send invalid ones.
type Entry struct {
	Name      string   `json:"name"`
	Address   string   `json:"address"`
	Addresses []string `json:"addresses,omitempty"`
	Zone      string   `json:"zone"`
	Type      string   `json:"type"`
	Group     int      `json:"group"`
	Status    Status   `json:"status"`
	Weight    float64  `json:"weight"`
	SinceMS   int64    `json:"since_ms"`
}

// List is one message: the complete list or a set of changes.
type List struct {
	Index   int64   `json:"index"`
	Full    bool    `json:"snapshot"`
	Entries []Entry `json:"endpoints"`
}

// Text returns the message's JSON, on one line or indented, without a line end.
func (l List) Text(indent bool) []byte {
	if l.Entries == nil {
		l.Entries = []Entry{}
	}
	encode := json.Marshal
	if indent {
		encode = func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
	}
	text, err := encode(l)
	if err != nil { // a weight that is NaN or infinite
		return []byte("null")
	}
	return text
}

// Apply applies a message to the entries that a caller holds.
func (l List) Apply(held map[string]Entry) {
	if l.Full {
		clear(held)
	}
	for _, e := range l.Entries {
		if e.Status == Left {
			delete(held, e.Name)
		} else {
			held[e.Name] = e
		}
	}
}

// change is the change of one entry from one version to the next.
type change struct {
	index    int64
	current  Entry
	previous *Entry // nil: not listed before
}

// VersionedList holds the list, its version and a bounded history of changes.
type VersionedList struct {
	index      int64
	oldest     int64 // the history holds all changes after this version
	maxHistory int
	entries    map[string]Entry
	history    []change
	snapshot   *List // complete list of the current version, cached by List
}

// NewVersionedList creates an empty list at a version. maxHistory bounds the history in changed entries.
func NewVersionedList(index int64, maxHistory int) *VersionedList {
	return &VersionedList{index: index, oldest: index, maxHistory: maxHistory, entries: map[string]Entry{}}
}

// Index returns the current version.
func (b *VersionedList) Index() int64 { return b.index }

// Oldest returns the earliest version whose later changes are all in the history.
func (b *VersionedList) Oldest() int64 { return b.oldest }

// Put applies entries as the next version.
func (b *VersionedList) Put(entries ...Entry) int64 {
	b.index++
	b.snapshot = nil
	for _, e := range entries {
		c := change{index: b.index, current: e}
		if previous, ok := b.entries[e.Name]; ok {
			c.previous = &previous
		}
		if e.Status == Left {
			delete(b.entries, e.Name)
		} else {
			b.entries[e.Name] = e
		}
		b.history = append(b.history, c)
	}
	if excess := len(b.history) - b.maxHistory; excess > 0 {
		b.oldest = b.history[excess-1].index
		b.history = slices.Clone(b.history[b.indexAfter(b.oldest):])
	}
	return b.index
}

// indexAfter returns the position in the history of the first change after a version.
func (b *VersionedList) indexAfter(index int64) int {
	return sort.Search(len(b.history), func(i int) bool { return b.history[i].index > index })
}

// List returns the complete list. Its entries are shared and must not be modified.
func (b *VersionedList) List() List {
	if b.snapshot == nil {
		b.snapshot = &List{Index: b.index, Full: true, Entries: byName(b.entries)}
	}
	return *b.snapshot
}

// At returns the complete list at a version, or false if the history does not cover it.
func (b *VersionedList) At(index int64) (List, bool) {
	if index == b.index {
		return b.List(), true
	}
	if index < b.oldest || index > b.index {
		return List{}, false
	}
	held := maps.Clone(b.entries)
	for _, c := range slices.Backward(b.history[b.indexAfter(index):]) {
		if c.previous == nil {
			delete(held, c.current.Name)
		} else {
			held[c.current.Name] = *c.previous
		}
	}
	return List{Index: index, Full: true, Entries: byName(held)}, true
}

// Changes returns the changes after one version up to another, each entry once in its last state, or
// false if the history does not cover them.
func (b *VersionedList) Changes(from, to int64) (List, bool) {
	if from < b.oldest || from > to || to > b.index {
		return List{}, false
	}
	l, changes := List{Index: to}, b.history[b.indexAfter(from):b.indexAfter(to)]
	seen := make(map[string]bool, len(changes))
	for _, c := range slices.Backward(changes) {
		if !seen[c.current.Name] {
			seen[c.current.Name] = true
			l.Entries = append(l.Entries, c.current)
		}
	}
	slices.Reverse(l.Entries)
	return l, true
}

// After returns what to send to a caller that holds a version: the changes since, or the complete list if the
// history does not cover them.
func (b *VersionedList) After(index int64) List {
	if l, ok := b.Changes(index, b.index); ok {
		return l
	}
	return b.List()
}

func byName(held map[string]Entry) []Entry {
	list := make([]Entry, 0, len(held))
	for _, name := range slices.Sorted(maps.Keys(held)) {
		list = append(list, held[name])
	}
	return list
}
