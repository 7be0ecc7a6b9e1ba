package core

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Counters holds the counters for operators. They start at 0 in each process, and each is incremented where the outcome is
// decided. They are read without the actor, so that a busy actor does not delay a reading.
type Counters struct {
	mu           sync.RWMutex
	classes      map[string]*classCounts // every class that any version of the settings had
	inProgress   atomic.Int64            // requests that are accepted and not answered yet
	nodes        atomic.Int64            // nodes in the endpoint list
	avoidedNodes atomic.Int64            // nodes in the list that are avoided, as counted by countNodes
	reloads      atomic.Int64            // settings files accepted at SIGHUP
	reloadErrors atomic.Int64            // settings files rejected at SIGHUP
}

// classCounts holds the counters of one class: answers by kind, and written attempts.
type classCounts struct {
	served, rejected, failed, attempts atomic.Int64
}

// CounterSnapshot is one reading of the counters.
type CounterSnapshot struct {
	Served, Rejected, Failed, Attempts map[string]int64 // answers by kind, and written attempts, each by class
	InProgress                         int64            // requests that are accepted and not answered yet
	Nodes, AvoidedNodes                int64            // nodes in the endpoint list, and those that are avoided
	Reloads, ReloadErrors              int64            // settings files accepted and rejected at SIGHUP
}

// newCounters returns counters for the classes.
func newCounters(classes []string) *Counters {
	c := &Counters{classes: map[string]*classCounts{}}
	c.addClasses(classes)
	return c
}

// addClasses adds classes. A class that is no longer in the settings keeps its counts.
func (c *Counters) addClasses(classes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, class := range classes {
		if c.classes[class] == nil {
			c.classes[class] = &classCounts{}
		}
	}
}

// of returns the counters of a class, or nil if no version of the settings had a class of this name. Unknown names are not
// counted, so that clients cannot make the table grow.
func (c *Counters) of(class string) *classCounts {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.classes[class]
}

// ended counts a final answer.
func (c *Counters) ended(class string, kind AnswerKind) {
	counts := c.of(class)
	if counts == nil {
		return
	}
	switch kind {
	case Served:
		counts.served.Add(1)
	case Rejected:
		counts.rejected.Add(1)
	default:
		counts.failed.Add(1)
	}
}

// CountReload counts a settings file that was read at SIGHUP and accepted or rejected.
func (c *Counters) CountReload(accepted bool) {
	if accepted {
		c.reloads.Add(1)
	} else {
		c.reloadErrors.Add(1)
	}
}

// Snapshot returns the current values.
func (c *Counters) Snapshot() CounterSnapshot {
	snapshot := CounterSnapshot{Served: map[string]int64{}, Rejected: map[string]int64{}, Failed: map[string]int64{},
		Attempts: map[string]int64{}, InProgress: max(0, c.inProgress.Load()), Nodes: c.nodes.Load(),
		AvoidedNodes: c.avoidedNodes.Load(), Reloads: c.reloads.Load(), ReloadErrors: c.reloadErrors.Load()}
	c.mu.RLock()
	defer c.mu.RUnlock()
	for class, counts := range c.classes {
		snapshot.Served[class], snapshot.Rejected[class], snapshot.Failed[class] = counts.served.Load(), counts.rejected.Load(), counts.failed.Load()
		snapshot.Attempts[class] = counts.attempts.Load()
	}
	return snapshot
}

// Classes returns the sorted names of the counted classes.
func (s CounterSnapshot) Classes() []string {
	names := make([]string, 0, len(s.Served))
	for class := range s.Served {
		names = append(names, class)
	}
	slices.Sort(names)
	return names
}
