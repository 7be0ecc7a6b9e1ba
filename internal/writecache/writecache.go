// Package writecache decides which storage targets a SYNCHRONIZE CACHE has to reach, and whether an initiator has to be told that writes may
// have been lost. A storage target may hold an acknowledged write in a volatile cache until it has confirmed a SYNCHRONIZE CACHE (SBC-3).
// The package has no I/O, and a Tracker is not safe for concurrent use.
package writecache

import "math"

// EndOfUnit ends a range that reaches to the end of the unit.
const EndOfUnit = math.MaxUint64

// maxWriters is the maximum number of initiators whose unsynchronized writes at one unit are told apart.
const maxWriters = 1024

// anyWriter stands for the initiators beyond maxWriters. The first initiator that asks is told of their losses.
const anyWriter = ""

// Unit is a logical unit at one storage target.
type Unit struct {
	Target string // name of the storage target
	LUN    uint16
}

// Range is a range of blocks, from From up to but not including To.
type Range struct{ From, To uint64 }

var wholeUnit = Range{0, EndOfUnit}

func (r Range) empty() bool { return r.From >= r.To }

func (r Range) overlaps(other Range) bool { return r.From < other.To && other.From < r.To }

func (r Range) covers(other Range) bool { return r.From <= other.From && other.To <= r.To }

// without returns the smallest range that covers what is left of r without another range.
func (r Range) without(other Range) Range {
	switch {
	case other.covers(r):
		return Range{}
	case other.From <= r.From && other.To > r.From:
		return Range{other.To, r.To}
	case other.To >= r.To && other.From < r.To:
		return Range{r.From, other.From}
	}
	return r
}

// cover returns the smallest range that covers both ranges.
func (r Range) cover(other Range) Range {
	if r.empty() {
		return other
	}
	return Range{min(r.From, other.From), max(r.To, other.To)}
}

// Step is what a SYNCHRONIZE CACHE has to do at one storage target.
type Step struct {
	Unit     Unit
	Required bool   // the command fails if the storage target cannot be reached
	version  uint64 // of the unit's writes when the step began
	losses   uint64 // of the unit when the step began
}

// unitCache is what the cache of a storage target may hold of one unit.
type unitCache struct {
	unsynchronized Range // covers all acknowledged writes that may be in the cache only
	writers        map[string]bool
	lost           map[string]Range // by the initiator that has to be told
	version        uint64           // counts the writes
	losses         uint64           // counts the restarts that may have lost writes
	reached        bool             // a command for the whole unit has had a step for it
}

// Tracker tracks the acknowledged writes that may be in a cache only. Its memory is bounded by the units and their writers.
type Tracker struct{ units map[Unit]*unitCache }

// New returns a tracker that knows of no writes.
func New() *Tracker { return &Tracker{units: map[Unit]*unitCache{}} }

func (t *Tracker) unit(u Unit) *unitCache {
	c := t.units[u]
	if c == nil {
		c = &unitCache{writers: map[string]bool{}, lost: map[string]Range{}}
		t.units[u] = c
	}
	return c
}

// Written records that a storage target has acknowledged a write without having to put it on the medium.
func (t *Tracker) Written(u Unit, r Range, initiator string) {
	c := t.unit(u)
	c.version++
	c.unsynchronized = c.unsynchronized.cover(r)
	if len(c.writers) >= maxWriters && !c.writers[initiator] {
		initiator = anyWriter
	}
	c.writers[initiator] = true
}

// Lost records that a write which was recorded as written may have been lost with the cache of a storage target, although the unit's storage
// target has acknowledged it: it has dropped it as a repeat.
func (t *Tracker) Lost(u Unit, r Range, initiator string) {
	c := t.unit(u)
	if !c.writers[initiator] {
		initiator = anyWriter
	}
	c.lost[initiator] = c.lost[initiator].cover(r)
	c.losses++
}

// Restarted records that a storage target may have restarted, and so may have lost what was in its cache only.
// It reports whether there was such a write.
func (t *Tracker) Restarted(target string) (mayHaveLost bool) {
	for u, c := range t.units {
		if u.Target != target || c.unsynchronized.empty() {
			continue
		}
		mayHaveLost = true
		for initiator := range c.writers {
			c.lost[initiator] = c.lost[initiator].cover(c.unsynchronized)
		}
		c.losses++
		c.unsynchronized = Range{}
		clear(c.writers)
	}
	return mayHaveLost
}

// Begin starts a SYNCHRONIZE CACHE of an initiator for a range of the units, which are those of the storage targets that may hold the
// range. It returns the steps, all of which have to be confirmed. Until a command for the whole unit, a storage target may hold writes that
// the tracker does not know of, such as those of an earlier process; their step is not required. If writes of the initiator in the range may have been lost, Begin reports
// that instead, once for each loss, and the command has to fail.
func (t *Tracker) Begin(initiator string, units []Unit, r Range) (steps []Step, mayHaveLost bool) {
	for _, u := range units {
		if c := t.units[u]; c != nil && c.reportLoss(initiator, r) {
			mayHaveLost = true
		}
	}
	if mayHaveLost {
		return nil, true
	}
	for _, u := range units {
		c := t.unit(u)
		if required := c.unsynchronized.overlaps(r); required || !c.reached {
			steps = append(steps, Step{u, required, c.version, c.losses})
		}
		c.reached = c.reached || r.covers(wholeUnit)
	}
	return steps, false
}

// reportLoss reports whether an initiator has to be told of a loss in a range, and forgets the loss of that range.
func (c *unitCache) reportLoss(initiator string, r Range) (lost bool) {
	for _, writer := range []string{initiator, anyWriter} {
		if !c.lost[writer].overlaps(r) {
			continue
		}
		lost = true
		if rest := c.lost[writer].without(r); rest.empty() {
			delete(c.lost, writer)
		} else {
			c.lost[writer] = rest
		}
	}
	return lost
}

// Synchronized records that a storage target has confirmed a step for a range. Writes that were acknowledged after the step began may
// still be in the cache only. It reports whether the confirmation counts: it does not if writes may have been lost since the step began.
func (t *Tracker) Synchronized(s Step, r Range) bool {
	c := t.unit(s.Unit)
	if c.losses != s.losses {
		return false
	}
	if c.version == s.version && r.covers(c.unsynchronized) {
		c.unsynchronized = Range{}
		clear(c.writers)
	}
	return true
}
