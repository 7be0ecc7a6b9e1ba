package core

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Counters are the counters for operators, from 0 in each process. Each is incremented once, where the
// outcome is decided. They are read without the actor, so that a busy actor delays no reading.
type Counters struct {
	mu           sync.RWMutex
	classes      map[string]*classCounts // every class that the settings ever named
	inProgress   atomic.Int64            // requests accepted and not yet ended
	nodes        atomic.Int64            // nodes in the list
	avoidedNodes atomic.Int64            // of these, the avoided ones
	reloads      atomic.Int64            // settings files accepted at SIGHUP
	reloadErrors atomic.Int64            // settings files rejected at SIGHUP
}

// classCounts are the counters of one class: answers by kind, and attempts written.
type classCounts struct {
	served, rejected, failed, attempts atomic.Int64
}

// CounterSnapshot is one reading of the counters.
type CounterSnapshot struct {
	Served, Rejected, Failed, Attempts map[string]int64 // answers by kind and attempts written, by class
	InProgress                         int64            // requests accepted and not yet ended
	Nodes, AvoidedNodes                int64            // nodes in the list, and of these the avoided ones
	Reloads, ReloadErrors              int64            // settings files accepted and rejected at SIGHUP
}

// newCounters makes counters for these classes.
func newCounters(classes []string) *Counters {
	c := &Counters{classes: map[string]*classCounts{}}
	c.addClasses(classes)
	return c
}

// addClasses adds classes; one that the settings no longer name keeps its counts.
func (c *Counters) addClasses(classes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range classes {
		if c.classes[k] == nil {
			c.classes[k] = &classCounts{}
		}
	}
}

// of returns a class's counters; nil for a name that no settings ever had. Such names are not counted, so that
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
		cc.served.Add(1)
	case Rejected:
		cc.rejected.Add(1)
	default:
		cc.failed.Add(1)
	}
}

// CountReload counts a settings file read at SIGHUP: accepted, or rejected.
func (c *Counters) CountReload(accepted bool) {
	if accepted {
		c.reloads.Add(1)
	} else {
		c.reloadErrors.Add(1)
	}
}

// Snapshot returns the present figures.
func (c *Counters) Snapshot() CounterSnapshot {
	f := CounterSnapshot{Served: map[string]int64{}, Rejected: map[string]int64{}, Failed: map[string]int64{},
		Attempts: map[string]int64{}, InProgress: max(0, c.inProgress.Load()), Nodes: c.nodes.Load(),
		AvoidedNodes: c.avoidedNodes.Load(), Reloads: c.reloads.Load(), ReloadErrors: c.reloadErrors.Load()}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for k, cc := range c.classes {
		f.Served[k], f.Rejected[k], f.Failed[k] = cc.served.Load(), cc.rejected.Load(), cc.failed.Load()
		f.Attempts[k] = cc.attempts.Load()
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
