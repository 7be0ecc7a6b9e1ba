// Package exclusion records which storage nodes an operator has excluded, and converts each entry of the endpoint list to
// the entry that the decision module and the peers see. It has no I/O and no clock. Times are in Unix milliseconds, as in
// the module.
//
// Invariants:
//
//  1. An excluded node is not shown as up until it is included again, even if the list shows it as up.
//  2. A rejected call has no effect. Calls for a node that was never listed and excludes beyond the bound are rejected.
//  3. Excluding a node twice has the same effect as excluding it once, and one include ends it.
//  4. During slow start, an included node is shown with a start time no earlier than its include.
//  5. The numbers of listed, excluded and included nodes are bounded.
//  6. Storing a state and loading it again does not change it.
//
// The package does not decide how a draining node is treated. The peers and the module apply the same rule to every node
// that is shown as draining or excluded.
package exclusion

import (
	"fmt"
	"maps"
	"slices"

	"wheatsaddle/policy"
)

// Settings are the bounds of a Set.
type Settings struct {
	MaxListed         int     // ids stored as listed
	MaxExcluded       int     // nodes excluded at the same time
	SlowStartDuration float64 // duration of slow start after an include, in milliseconds
}

// Defaults are the bounds that apply if none are set.
var Defaults = Settings{MaxListed: 4096, MaxExcluded: 1024, SlowStartDuration: 20000}

// State is the part of a Set that is stored: the excluded nodes with the time of their exclude, and the included nodes in
// slow start with the time of their include.
type State struct {
	Excluded map[string]float64 `json:"excluded"`
	Included map[string]float64 `json:"included"`
}

// Set is the set of excluded nodes of one scheduler. It must be used by one goroutine at a time.
type Set struct {
	settings    Settings
	listed      map[string]bool
	listedOrder []string           // ids in listed, the oldest first
	excluded    map[string]float64 // times of the excludes
	included    map[string]float64 // times of the includes of nodes in slow start
}

// New returns an empty set. The error is a *SettingError.
func New(settings Settings) (*Set, error) {
	switch {
	case settings.MaxListed < 1:
		return nil, &SettingError{"ListedMost", fmt.Sprint(settings.MaxListed), "not a positive number"}
	case settings.MaxExcluded < 1:
		return nil, &SettingError{"ExcludedMost", fmt.Sprint(settings.MaxExcluded), "not a positive number"}
	case settings.SlowStartDuration < 0:
		return nil, &SettingError{"ColdSpan", fmt.Sprint(settings.SlowStartDuration), "negative"}
	}
	return &Set{settings: settings, listed: map[string]bool{}, excluded: map[string]float64{}, included: map[string]float64{}}, nil
}

// AddListed stores nodes as listed, so that an operator may exclude them. Beyond the bound, the oldest ids that are not
// excluded are dropped. Excluded nodes remain, so that they can be included again.
func (s *Set) AddListed(ids ...string) {
	for _, id := range ids {
		if !s.listed[id] {
			s.listed[id] = true
			s.listedOrder = append(s.listedOrder, id)
		}
	}
	for len(s.listed) > s.settings.MaxListed {
		i := slices.IndexFunc(s.listedOrder, func(id string) bool { return !s.Excluded(id) })
		if i < 0 {
			break
		}
		id := s.listedOrder[i]
		s.listedOrder = slices.Delete(s.listedOrder, i, i+1)
		delete(s.listed, id)
		delete(s.included, id)
	}
}

// IsListed reports whether a node is stored as listed.
func (s *Set) IsListed(id string) bool {
	return s.listed[id]
}

// Exclude excludes a node at now, and reports whether that changed the state. The error is an *UnknownNodeError or a
// *FullError.
func (s *Set) Exclude(now float64, id string) (changed bool, err error) {
	if !s.IsListed(id) {
		return false, &UnknownNodeError{id}
	}
	if s.Excluded(id) {
		return false, nil
	}
	if len(s.excluded) >= s.settings.MaxExcluded {
		return false, &FullError{id, s.settings.MaxExcluded}
	}
	s.excluded[id] = now
	delete(s.included, id)
	return true, nil
}

// Include ends the exclusion of a node at now, and reports whether the node was excluded. The error is an *UnknownNodeError.
func (s *Set) Include(now float64, id string) (changed bool, err error) {
	if !s.IsListed(id) {
		return false, &UnknownNodeError{id}
	}
	if !s.Excluded(id) {
		return false, nil
	}
	delete(s.excluded, id)
	s.included[id] = now
	s.dropExpiredIncludes(now)
	return true, nil
}

// Excluded reports whether a node is excluded.
func (s *Set) Excluded(id string) bool {
	_, excluded := s.excluded[id]
	return excluded
}

// dropExpiredIncludes removes the includes whose slow start has ended.
func (s *Set) dropExpiredIncludes(now float64) {
	for id, at := range s.included {
		if now-at > s.settings.SlowStartDuration {
			delete(s.included, id)
		}
	}
}

// View converts an entry of the list to the entry that the module and the peers see at now.
func (s *Set) View(now float64, n policy.Node) policy.Node {
	if n.State == policy.NodeRemoved {
		return n
	}
	if s.Excluded(n.ID) {
		n.State = policy.NodeExcluded
		return n
	}
	if at, ok := s.included[n.ID]; ok && now-at <= s.settings.SlowStartDuration && n.StartTime < at {
		n.StartTime = at
	}
	return n
}

// State returns the state to be stored at now.
func (s *Set) State(now float64) State {
	s.dropExpiredIncludes(now)
	return State{Excluded: maps.Clone(s.excluded), Included: maps.Clone(s.included)}
}

// Load replaces the state by one that another process of this scheduler, or a previous one, has stored. The nodes of that
// state count as listed. Load returns the nodes whose View may change, sorted.
func (s *Set) Load(now float64, state State) (changed []string) {
	changed = s.differences(state)
	excluded := slices.Sorted(maps.Keys(state.Excluded))
	excluded = excluded[:min(len(excluded), s.settings.MaxExcluded)]
	s.excluded = map[string]float64{}
	for _, id := range excluded {
		s.excluded[id] = state.Excluded[id]
	}
	s.included = map[string]float64{}
	for _, id := range slices.Sorted(maps.Keys(state.Included)) {
		inSlowStart := now-state.Included[id] <= s.settings.SlowStartDuration
		if !s.Excluded(id) && inSlowStart && len(s.included) < s.settings.MaxListed {
			s.included[id] = state.Included[id]
		}
	}
	s.AddListed(excluded...)
	s.AddListed(slices.Sorted(maps.Keys(s.included))...)
	return changed
}

// differences returns the nodes that differ between the given state and the present one, sorted.
func (s *Set) differences(state State) (ids []string) {
	for id := range s.excluded {
		if _, excluded := state.Excluded[id]; !excluded {
			ids = append(ids, id)
		}
	}
	for id := range state.Excluded {
		if !s.Excluded(id) {
			ids = append(ids, id)
		}
	}
	for id, at := range state.Included {
		if s.included[id] != at {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// Check returns an error if the state violates an invariant. It is used by tests.
func (s *Set) Check() error {
	switch {
	case len(s.excluded) > s.settings.MaxExcluded:
		return fmt.Errorf("%d excluded, the bound is %d", len(s.excluded), s.settings.MaxExcluded)
	case len(s.listed) > max(s.settings.MaxListed, len(s.excluded)):
		return fmt.Errorf("%d listed, the bound is %d", len(s.listed), s.settings.MaxListed)
	case len(s.listedOrder) != len(s.listed):
		return fmt.Errorf("%d ids in listedOrder, %d listed", len(s.listedOrder), len(s.listed))
	}
	for id := range s.excluded {
		if !s.IsListed(id) {
			return fmt.Errorf("%s is excluded but not listed", id)
		}
		if _, ok := s.included[id]; ok {
			return fmt.Errorf("%s is both excluded and included", id)
		}
	}
	for id := range s.included {
		if !s.IsListed(id) {
			return fmt.Errorf("%s is included but not listed", id)
		}
	}
	return nil
}
