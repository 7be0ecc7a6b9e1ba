// Package exclusion decides which storage nodes are out by an operator's hand: it turns each
// listed entry into the one that the module and the peers see. It does no I/O and reads no
// clock; times are the module's milliseconds, which are Unix milliseconds.
//
// Invariants, as the tests word them:
//  1. An excluded id is never shown as up, whatever the list says, until it is included.
//  2. A no changes nothing: an id never listed, or an exclude past the bound.
//  3. Excluding twice is excluding once; one include ends it.
//  4. An included node is shown as started no earlier than its include, for as long as it may
//     be cold.
//  5. Every container is bounded: ids listed, excluded and included.
//  6. What is stored and loaded again is the same book.
//
// It does not decide what a draining node is spared: that is the rule on drains, kept by the
// peers and the module for every node that the view shows as draining.
package exclusion

import (
	"fmt"
	"maps"
	"slices"

	"wheatsaddle/policy"
)

// Settings bound the book.
type Settings struct {
	MaxListed         int     // ids remembered as listed
	MaxExcluded       int     // ids out at once
	SlowStartDuration float64 // ms after an include for which the node may be cold
}

// Defaults are the bounds used where the settings give none.
var Defaults = Settings{MaxListed: 4096, MaxExcluded: 1024, SlowStartDuration: 20000}

// State is what is kept of a book over a process's end: the excluded ids with the time of their
// exclude, and those included of late with the time of their include.
type State struct {
	Excluded map[string]float64 `json:"excluded"`
	Included map[string]float64 `json:"included"`
}

// Set is the set of nodes out by hand.
type Set struct {
	settings    Settings
	listed      map[string]bool
	listedOrder []string // ids listed, the oldest first
	excluded    map[string]float64
	included    map[string]float64
}

// New makes an empty book.
func New(s Settings) (*Set, error) {
	switch {
	case s.MaxListed < 1:
		return nil, &SettingError{"ListedMost", fmt.Sprint(s.MaxListed), "not a positive number"}
	case s.MaxExcluded < 1:
		return nil, &SettingError{"ExcludedMost", fmt.Sprint(s.MaxExcluded), "not a positive number"}
	case s.SlowStartDuration < 0:
		return nil, &SettingError{"ColdSpan", fmt.Sprint(s.SlowStartDuration), "negative"}
	}
	return &Set{settings: s, listed: map[string]bool{}, excluded: map[string]float64{}, included: map[string]float64{}}, nil
}

// AddListed remembers ids as listed: an operator may name them from now on.
func (b *Set) AddListed(ids ...string) {
	for _, id := range ids {
		if !b.listed[id] {
			b.listed[id] = true
			b.listedOrder = append(b.listedOrder, id)
		}
	}
	// The oldest that are not out go first; an excluded id stays named, as it must be included.
	for len(b.listed) > b.settings.MaxListed {
		old := ""
		for _, id := range b.listedOrder {
			if _, out := b.excluded[id]; !out {
				old = id
				break
			}
		}
		if old == "" {
			break
		}
		b.listedOrder = slices.DeleteFunc(b.listedOrder, func(id string) bool { return id == old })
		delete(b.listed, old)
		delete(b.included, old)
	}
}

// IsListed says whether an id was ever listed.
func (b *Set) IsListed(id string) bool {
	return b.listed[id]
}

// Exclude takes a node out at now; changed says that it was in.
func (b *Set) Exclude(now float64, id string) (changed bool, err error) {
	if !b.IsListed(id) {
		return false, &UnknownNodeError{id}
	}
	if _, out := b.excluded[id]; out {
		return false, nil
	}
	if len(b.excluded) >= b.settings.MaxExcluded {
		return false, &FullError{id, b.settings.MaxExcluded}
	}
	b.excluded[id] = now
	delete(b.included, id)
	return true, nil
}

// Include puts a node back at now; changed says that it was out.
func (b *Set) Include(now float64, id string) (changed bool, err error) {
	if !b.IsListed(id) {
		return false, &UnknownNodeError{id}
	}
	if _, out := b.excluded[id]; !out {
		return false, nil
	}
	delete(b.excluded, id)
	b.included[id] = now
	b.dropExpiredIncludes(now)
	return true, nil
}

// Excluded says whether an id is out.
func (b *Set) Excluded(id string) bool {
	_, out := b.excluded[id]
	return out
}

// dropExpiredIncludes drops the includes that are past the cold span.
func (b *Set) dropExpiredIncludes(now float64) {
	for id, at := range b.included {
		if now-at > b.settings.SlowStartDuration {
			delete(b.included, id)
		}
	}
}

// View is the entry that the module and the peers see of a listed one at now.
func (b *Set) View(now float64, n policy.Node) policy.Node {
	if n.State == policy.NodeRemoved {
		return n
	}
	if _, out := b.excluded[n.ID]; out {
		n.State = policy.NodeExcluded
		return n
	}
	if at, ok := b.included[n.ID]; ok && now-at <= b.settings.SlowStartDuration && n.StartTime < at {
		n.StartTime = at
	}
	return n
}

// State is what is to be kept at now: includes past the cold span are forgotten.
func (b *Set) State(now float64) State {
	b.dropExpiredIncludes(now)
	return State{Excluded: maps.Clone(b.excluded), Included: maps.Clone(b.included)}
}

// Load takes a kept state in place of the book's own: that of the scheduler's other process,
// or of the one before. Its ids count as listed. It returns the ids whose view may change.
func (b *Set) Load(now float64, s State) (changed []string) {
	for id := range b.excluded {
		if _, out := s.Excluded[id]; !out {
			changed = append(changed, id)
		}
	}
	for id := range s.Excluded {
		if _, out := b.excluded[id]; !out {
			changed = append(changed, id)
		}
	}
	for id, at := range s.Included {
		if b.included[id] != at {
			changed = append(changed, id)
		}
	}
	ids := slices.Sorted(maps.Keys(s.Excluded))
	if len(ids) > b.settings.MaxExcluded {
		ids = ids[:b.settings.MaxExcluded]
	}
	b.excluded = map[string]float64{}
	for _, id := range ids {
		b.excluded[id] = s.Excluded[id]
	}
	b.included = map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(s.Included)) {
		if _, out := b.excluded[id]; !out && now-s.Included[id] <= b.settings.SlowStartDuration && len(b.included) < b.settings.MaxListed {
			b.included[id] = s.Included[id]
		}
	}
	b.AddListed(ids...)
	b.AddListed(slices.Sorted(maps.Keys(b.included))...)
	slices.Sort(changed)
	return slices.Compact(changed)
}

// Check tests the invariants that the state itself can show.
func (b *Set) Check() error {
	switch {
	case len(b.excluded) > b.settings.MaxExcluded:
		return fmt.Errorf("%d excluded, the bound is %d", len(b.excluded), b.settings.MaxExcluded)
	case len(b.listed) > max(b.settings.MaxListed, len(b.excluded)):
		return fmt.Errorf("%d listed, the bound is %d", len(b.listed), b.settings.MaxListed)
	case len(b.listedOrder) != len(b.listed):
		return fmt.Errorf("%d in the order of listing, %d listed", len(b.listedOrder), len(b.listed))
	}
	for id := range b.excluded {
		if !b.IsListed(id) {
			return fmt.Errorf("%s is excluded and not known as listed", id)
		}
		if _, ok := b.included[id]; ok {
			return fmt.Errorf("%s is excluded and included", id)
		}
	}
	for id := range b.included {
		if !b.IsListed(id) {
			return fmt.Errorf("%s is included and not known as listed", id)
		}
	}
	return nil
}
