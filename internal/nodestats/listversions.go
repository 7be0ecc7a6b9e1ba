package nodestats

import (
	"slices"
	"time"
)

// ListSpread summarizes the versions of the endpoint list that processes use.
type ListSpread struct {
	Oldest, Newest int64
	Processes      int // that report their version
	Behind         int // those of them that do not have the newest version
}

// ListSpread compares the versions of this process and of the given members. It ignores other processes, since one that
// has left the fleet would count as behind until its cells expire.
func (s *State) ListSpread(now time.Duration, members []string) ListSpread {
	var versions []int64
	if s.hasList {
		versions = append(versions, s.listVersion)
	}
	for _, name := range members {
		o := s.remote[name]
		if o == nil || name == s.self {
			continue
		}
		if c := o.cells[cellID{}]; c != nil && now-c.createdAt < s.settings.ExpireAfter {
			versions = append(versions, c.listVersion())
		}
	}
	if len(versions) == 0 {
		return ListSpread{}
	}
	spread := ListSpread{Oldest: slices.Min(versions), Newest: slices.Max(versions), Processes: len(versions)}
	for _, v := range versions {
		if v < spread.Newest {
			spread.Behind++
		}
	}
	return spread
}

// ListVersions returns the versions of the endpoint list that this and other processes use, ordered by name.
func (s *State) ListVersions(now time.Duration) []ListVersion {
	s.expireCells(now)
	var versions []ListVersion
	for _, name := range s.originNames() {
		if name == s.self {
			if s.hasList {
				versions = append(versions, ListVersion{name, s.listVersion, now - s.listSetAt})
			}
		} else if c := s.remote[name].cells[cellID{}]; c != nil {
			versions = append(versions, ListVersion{name, c.listVersion(), now - c.createdAt})
		}
	}
	return versions
}

// listVersion decodes the cell of an origin's list version.
func (c *cell) listVersion() int64 { return (&decoder{rest: c.body}).int() }
