// Package discovery is a fake of the discovery service that gives schedulers the endpoint list. It
// supports plain calls, calls that wait for a change and watches, limits its capacity, injects faults
// that can be switched while it runs, counts calls, and records what was sent to which caller and when.
//
// VersionedList and Queue are its core, without I/O, clock, goroutines or locks. Simulations in virtual
// time use them without the sockets. A version is the number that the protocol calls index. The invariants
// of the core, which the tests check:
//
//   - an earlier version of the list with the later changes applied equals the current list;
//   - a list that was returned never changes;
//   - the history holds at most maxHistory changed entries, and a version that it no longer covers is reported as such;
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
func (l List) Apply(entries map[string]Entry) {
	if l.Full {
		clear(entries)
	}
	for _, e := range l.Entries {
		if e.Status == Left {
			delete(entries, e.Name)
		} else {
			entries[e.Name] = e
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
func (v *VersionedList) Index() int64 { return v.index }

// Oldest returns the earliest version whose later changes are all in the history.
func (v *VersionedList) Oldest() int64 { return v.oldest }

// Put applies entries as the next version and returns its number.
func (v *VersionedList) Put(entries ...Entry) int64 {
	v.index++
	v.snapshot = nil
	for _, e := range entries {
		c := change{index: v.index, current: e}
		if previous, ok := v.entries[e.Name]; ok {
			c.previous = &previous
		}
		if e.Status == Left {
			delete(v.entries, e.Name)
		} else {
			v.entries[e.Name] = e
		}
		v.history = append(v.history, c)
	}
	if excess := len(v.history) - v.maxHistory; excess > 0 {
		v.oldest = v.history[excess-1].index
		v.history = slices.Clone(v.history[v.indexAfter(v.oldest):])
	}
	return v.index
}

// indexAfter returns the position in the history of the first change after a version.
func (v *VersionedList) indexAfter(index int64) int {
	return sort.Search(len(v.history), func(i int) bool { return v.history[i].index > index })
}

// List returns the complete list. Its entries are shared and must not be modified.
func (v *VersionedList) List() List {
	if v.snapshot == nil {
		v.snapshot = &List{Index: v.index, Full: true, Entries: sortedByName(v.entries)}
	}
	return *v.snapshot
}

// At returns the complete list at a version, or false if the history does not cover it.
func (v *VersionedList) At(index int64) (List, bool) {
	if index == v.index {
		return v.List(), true
	}
	if index < v.oldest || index > v.index {
		return List{}, false
	}
	entries := maps.Clone(v.entries)
	for _, c := range slices.Backward(v.history[v.indexAfter(index):]) {
		if c.previous == nil {
			delete(entries, c.current.Name)
		} else {
			entries[c.current.Name] = *c.previous
		}
	}
	return List{Index: index, Full: true, Entries: sortedByName(entries)}, true
}

// Changes returns the changes after one version up to another, each entry once in its last state, or
// false if the history does not cover them.
func (v *VersionedList) Changes(from, to int64) (List, bool) {
	if from < v.oldest || from > to || to > v.index {
		return List{}, false
	}
	l, changes := List{Index: to}, v.history[v.indexAfter(from):v.indexAfter(to)]
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
func (v *VersionedList) After(index int64) List {
	if l, ok := v.Changes(index, v.index); ok {
		return l
	}
	return v.List()
}

func sortedByName(entries map[string]Entry) []Entry {
	list := make([]Entry, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		list = append(list, entries[name])
	}
	return list
}
