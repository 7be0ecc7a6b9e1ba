package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// Bounds of the tables whose keys clients choose. At a bound the scheduler goes on with less precise state; no request is rejected
// for it, except one for a shard without nodes.
const (
	maxVolumes          = 8192
	evictedVolumesShare = 4       // at maxVolumes, 1/evictedVolumesShare of them are evicted at once
	volumeEvictionMs    = 100.0   // between two evictions that found hardly any volume to evict
	maxUnservedRequests = 8192    // records, in two generations
	maxCountedRequests  = 1 << 16 // of the retry budget's window
	maxEmptyShards      = 1024    // shards that requests have named and that have no node

	// With more volumes than maxFreshUsageVolumes, the mean usage of the active ones is computed every usageRefreshMs only.
	maxFreshUsageVolumes = 512
	usageRefreshMs       = 10.0
)

// sharedVolume is the id of the volume that stands for those without room in the table. Clients' volumes have no empty id.
const sharedVolume = ""

// TableEntries returns the number of volumes and records that the instance keeps. It is bounded.
func (s *Scheduler) TableEntries() int {
	return len(s.volumes) + s.unserved.len() + len(s.possibleRuns)
}

// hasRoomForVolume reports whether the table takes another volume, and evicts volumes if it is full.
func (s *Scheduler) hasRoomForVolume() bool {
	if len(s.volumes) < maxVolumes {
		return true
	}
	if s.now < s.nextVolumeEvictionAt {
		return false
	}
	evicted := s.evictOldVolumes(maxVolumes / evictedVolumesShare)
	if evicted < maxVolumes/evictedVolumesShare/2 {
		s.nextVolumeEvictionAt = s.now + volumeEvictionMs
	}
	return evicted > 0
}

// evictOldVolumes evicts up to count volumes, those first that were not used for longest, and returns how many it evicted. A volume
// whose rate limit would be fuller without its state stays.
func (s *Scheduler) evictOldVolumes(count int) (evicted int) {
	byAge := slices.Clone(s.volumeOrder)
	slices.SortStableFunc(byAge, func(a, b *volume) int { return cmp.Compare(a.refilledAt, b.refilledAt) })
	for _, v := range byAge {
		if evicted == count {
			break
		}
		if v.isLimitFull(s.now) {
			v.evicted = true
			evicted++
		}
	}
	s.removeVolumes(func(v *volume) bool { return v.evicted })
	return evicted
}

// removeVolumes removes the volumes for which remove returns true.
func (s *Scheduler) removeVolumes(remove func(*volume) bool) {
	s.volumeOrder = slices.DeleteFunc(s.volumeOrder, remove)
	maps.DeleteFunc(s.volumes, func(_ volumeKey, v *volume) bool { return remove(v) })
}

// meanUsage returns the sum of the usage of the active volumes by their weights, and the number of these volumes.
func (s *Scheduler) meanUsage() (sum, count float64) {
	isFresh := s.now-s.usage.at < usageRefreshMs
	if len(s.volumeOrder) > maxFreshUsageVolumes && isFresh {
		return s.usage.sum, s.usage.count
	}
	sum, count = 0.0, 1e-9 // the count is never 0, because it is a divisor
	for _, v := range s.volumeOrder {
		if v.usageLevel > 0 && s.now-v.refilledAt < usageWindowMs {
			sum, count = sum+v.usageLevel/v.fairWeight(), count+1
		}
	}
	s.usage = usageSummary{at: s.now, sum: sum, count: count}
	return sum, count
}

// usageSummary is the usage of the active volumes at a time.
type usageSummary struct{ at, sum, count float64 }

// isShardTableFull reports whether requests have named so many shards without nodes that no further one is taken.
func (s *Scheduler) isShardTableFull(shard int) bool {
	if s.queueByShard[shard] != nil || len(s.shardQueues) < maxEmptyShards {
		return false
	}
	empty := 0
	for _, q := range s.shardQueues {
		if len(q.nodes) == 0 {
			empty++
		}
	}
	return empty >= maxEmptyShards
}

// unservedTable holds the records of requests that ended unserved, the newest maxUnservedRequests/2 of them at least.
type unservedTable struct {
	current, previous map[requestKey]unservedRequest
}

func newUnservedTable() unservedTable {
	return unservedTable{current: map[requestKey]unservedRequest{}}
}

func (t *unservedTable) len() int { return len(t.current) + len(t.previous) }

// get returns the record of a key.
func (t *unservedTable) get(key requestKey) (unservedRequest, bool) {
	u, ok := t.current[key]
	if !ok {
		u, ok = t.previous[key]
	}
	return u, ok
}

// record keeps the time of a client's first attempt, and the latest deadline of the request's attempts.
func (t *unservedTable) record(key requestKey, startedAt, deadline float64) {
	if len(t.current) >= maxUnservedRequests/2 {
		t.current, t.previous = map[requestKey]unservedRequest{}, t.current
	}
	known, _ := t.get(key)
	t.current[key] = unservedRequest{startedAt, math.Max(deadline, known.deadline)}
}

// remove removes the records for which remove returns true.
func (t *unservedTable) remove(remove func(requestKey, unservedRequest) bool) {
	maps.DeleteFunc(t.current, remove)
	maps.DeleteFunc(t.previous, remove)
}
