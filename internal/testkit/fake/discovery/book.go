// Package discovery is the stand-in of the service that tells schedulers the list of nodes: plain
// calls, calls that wait for a change, watches; a capacity; faults that are switched while it runs;
// counts, and what was told to whom and when.
//
// Book and Queue are its core: no I/O, no clock, no goroutine, no lock. Virtual-time users take them
// without the sockets. Their invariants, in the words of the tests:
//
//   - a list as it stood, with the changes after it, is the list as it stands;
//   - a list that was handed out does not change any more;
//   - the history holds no more than Keep changes, and says what it does not reach back to;
//   - calls are worked on one at a time, in the order they came, each for its whole time;
//   - no call is served that waited longer than Patience, and none waits behind a full queue;
//   - a call that fails by waiting is worked on all the same, for nobody.
//
// Not done: more than one server, TLS, a list in parts.
package discovery

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
)

// Status is an entry's state in the protocol's words.
type Status string

// The states. Left is only among changes.
const (
	Active  Status = "active"
	Leaving Status = "leaving"
	Left    Status = "left"
)

// Entry is one node as the list has it. Nothing of it is checked: bad entries are for tests.
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

// List is one message: the whole list, or what changed.
type List struct {
	Index   int64   `json:"index"`
	Full    bool    `json:"snapshot"`
	Entries []Entry `json:"endpoints"`
}

// Text is the message's JSON, on one line or indented, without a line end.
func (l List) Text(indent bool) []byte {
	if l.Entries == nil {
		l.Entries = []Entry{}
	}
	encode := json.Marshal
	if indent {
		encode = func(v any) ([]byte, error) { return json.MarshalIndent(v, "", "  ") }
	}
	text, err := encode(l)
	if err != nil { // a weight that is no number
		return []byte("null")
	}
	return text
}

// Apply takes a message into what a caller holds.
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

// change is one entry's step from a version to the next.
type change struct {
	index int64
	now   Entry
	was   *Entry // nil: not listed before
}

// Book holds the list, its version and a bounded history.
type Book struct {
	index  int64
	oldest int64 // the history holds all changes after this version
	keep   int
	listed map[string]Entry
	log    []change
	whole  *List // of the present version, once it was asked for
}

// NewBook begins an empty list at a version; keep bounds the history, in changed entries.
func NewBook(index int64, keep int) *Book {
	return &Book{index: index, oldest: index, keep: keep, listed: map[string]Entry{}}
}

// Index is the present version.
func (b *Book) Index() int64 { return b.index }

// Oldest is the version from which on changes can be told.
func (b *Book) Oldest() int64 { return b.oldest }

// Put takes entries as the next version.
func (b *Book) Put(entries ...Entry) int64 {
	b.index++
	b.whole = nil
	for _, e := range entries {
		c := change{index: b.index, now: e}
		if was, ok := b.listed[e.Name]; ok {
			c.was = &was
		}
		if e.Status == Left {
			delete(b.listed, e.Name)
		} else {
			b.listed[e.Name] = e
		}
		b.log = append(b.log, c)
	}
	if over := len(b.log) - b.keep; over > 0 {
		b.oldest = b.log[over-1].index
		b.log = slices.Clone(b.log[b.since(b.oldest):])
	}
	return b.index
}

// since is the place in the history of the first change after a version.
func (b *Book) since(index int64) int {
	return sort.Search(len(b.log), func(i int) bool { return b.log[i].index > index })
}

// List is the whole list. Its entries are shared: not to be written.
func (b *Book) List() List {
	if b.whole == nil {
		b.whole = &List{Index: b.index, Full: true, Entries: byName(b.listed)}
	}
	return *b.whole
}

// At is the whole list as it stood at a version; false where the history does not reach it.
func (b *Book) At(index int64) (List, bool) {
	if index == b.index {
		return b.List(), true
	}
	if index < b.oldest || index > b.index {
		return List{}, false
	}
	held := maps.Clone(b.listed)
	for _, c := range slices.Backward(b.log[b.since(index):]) {
		if c.was == nil {
			delete(held, c.now.Name)
		} else {
			held[c.now.Name] = *c.was
		}
	}
	return List{Index: index, Full: true, Entries: byName(held)}, true
}

// Changes is what changed after one version up to another, each entry once, as it stood last; false
// where the history does not reach.
func (b *Book) Changes(from, to int64) (List, bool) {
	if from < b.oldest || from > to || to > b.index {
		return List{}, false
	}
	l, part := List{Index: to}, b.log[b.since(from):b.since(to)]
	seen := make(map[string]bool, len(part))
	for _, c := range slices.Backward(part) {
		if !seen[c.now.Name] {
			seen[c.now.Name] = true
			l.Entries = append(l.Entries, c.now)
		}
	}
	slices.Reverse(l.Entries)
	return l, true
}

// After is what a caller that holds a version is told: what changed, or else the whole list.
func (b *Book) After(index int64) List {
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
