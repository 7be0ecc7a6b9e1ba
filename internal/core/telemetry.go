package core

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Counters are the counters for operators, from 0 in each process. Each is incremented once, where the
// outcome is decided. They are read without the actor, so that a busy actor delays no reading.
type Counters struct {
	mu       sync.RWMutex
	classes  map[string]*classCounts // every class that the settings ever named
	progress atomic.Int64            // requests accepted and not yet ended
	known    atomic.Int64            // nodes in the list
	skipped  atomic.Int64            // of these, the avoided ones
	loads    atomic.Int64            // settings files accepted at SIGHUP
	refused  atomic.Int64            // settings files rejected at SIGHUP
}

// classCounts are the counters of one class: answers by kind, and attempts written.
type classCounts struct {
	passed, dropped, badGateway, tries atomic.Int64
}

// CounterSnapshot is one reading of the counters.
type CounterSnapshot struct {
	Served, Rejected, Failed, Attempts map[string]int64 // by class
	InProgress, Nodes, AvoidedNodes    int64
	Reloads, ReloadErrors              int64
}

// newCounts makes counters for these classes.
func newCounts(classes []string) *Counters {
	c := &Counters{classes: map[string]*classCounts{}}
	c.name(classes)
	return c
}

// name adds classes; one that the settings no longer name keeps its counts.
func (c *Counters) name(classes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range classes {
		if c.classes[k] == nil {
			c.classes[k] = &classCounts{}
		}
	}
}

// of returns a class's counters; nil for a name that no settings had. Such names are not counted, so that
// clients cannot grow the table.
func (c *Counters) of(class string) *classCounts {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.classes[class]
}

// ended counts a final answer.
func (c *Counters) ended(class string, k AnswerKind) {
	cc := c.of(class)
	if cc == nil {
		return
	}
	switch k {
	case Served:
		cc.passed.Add(1)
	case Rejected:
		cc.dropped.Add(1)
	default:
		cc.badGateway.Add(1)
	}
}

// CountReload counts a settings file read at SIGHUP: accepted, or rejected.
func (c *Counters) CountReload(taken bool) {
	if taken {
		c.loads.Add(1)
	} else {
		c.refused.Add(1)
	}
}

// Snapshot returns the present figures.
func (c *Counters) Snapshot() CounterSnapshot {
	f := CounterSnapshot{Served: map[string]int64{}, Rejected: map[string]int64{}, Failed: map[string]int64{},
		Attempts: map[string]int64{}, InProgress: max(0, c.progress.Load()), Nodes: c.known.Load(),
		AvoidedNodes: c.skipped.Load(), Reloads: c.loads.Load(), ReloadErrors: c.refused.Load()}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for k, cc := range c.classes {
		f.Served[k], f.Rejected[k], f.Failed[k] = cc.passed.Load(), cc.dropped.Load(), cc.badGateway.Load()
		f.Attempts[k] = cc.tries.Load()
	}
	return f
}

// Classes returns the names of the counted classes, in order.
func (f CounterSnapshot) Classes() []string {
	names := make([]string, 0, len(f.Served))
	for k := range f.Served {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}
