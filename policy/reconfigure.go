package policy

import (
	"math"
	"slices"
)

// Reconfigure takes new settings into the running instance. A class whose definition is unchanged
// keeps its weight and delay. A new or changed class starts with the mean weight; the old definition
// is retired: it takes no new requests and stays with those that hold it. Plans are taken by name; a
// volume of a plan that vanished keeps it until the volume is evicted or the plan comes back.
func (s *Scheduler) Reconfigure(set Settings) error {
	if err := checkSettings(&set); err != nil {
		return err
	}
	s.replacePlans(set.Plans)
	s.settings = set
	added := s.matchClasses(set.Classes)
	kept := append(s.keptClasses(), added...)
	s.replaceClasses(kept)
	s.normalizeWeights(added, float64(len(set.Classes)))
	return nil
}

// matchClasses makes classByName that of the new definitions, and returns the classes it had to make.
func (s *Scheduler) matchClasses(definitions []Class) (added []*class) {
	matched := map[*class]bool{}
	s.classByName = map[string]*class{}
	for _, definition := range definitions {
		i := slices.IndexFunc(s.classes, func(c *class) bool { return c.Class == definition && !matched[c] })
		var c *class
		if i >= 0 {
			c = s.classes[i]
		} else {
			c = &class{Class: definition}
			added = append(added, c)
		}
		s.classByName[definition.Name], matched[c] = c, true
	}
	return added
}

// isLive reports whether a class takes new requests.
func (s *Scheduler) isLive(c *class) bool { return s.classByName[c.Name] == c }

// keptClasses are the live classes and the retired ones that a request holds. The retired ones lose
// their delay, so that they ask for no weight.
func (s *Scheduler) keptClasses() []*class {
	inUse := map[*class]bool{}
	for _, r := range s.requests {
		inUse[r.class] = true
	}
	kept := make([]*class, 0, len(s.classes))
	for _, c := range s.classes {
		if s.isLive(c) {
			kept = append(kept, c)
			continue
		}
		c.dropDelay()
		if inUse[c] {
			kept = append(kept, c)
		}
	}
	return kept
}

// dropRetiredClasses drops the retired classes that no request holds any more.
func (s *Scheduler) dropRetiredClasses() {
	if s.retiredClasses == 0 {
		return
	}
	if kept := s.keptClasses(); len(kept) < len(s.classes) {
		s.replaceClasses(kept)
	}
}

// replaceClasses makes the classes those given, in that order, and moves the class queues of each
// shard with them.
func (s *Scheduler) replaceClasses(classes []*class) {
	const isNew = -1
	oldIndex := make([]int, len(classes))
	for i, c := range classes {
		oldIndex[i] = isNew
		if slices.Contains(s.classes, c) {
			oldIndex[i] = c.index
		}
	}
	for _, q := range s.queueByShard {
		byClass, nextStart := make([][]*request, len(classes)), make([]float64, len(classes))
		for i, old := range oldIndex {
			if old == isNew {
				nextStart[i] = q.virtualTime
				continue
			}
			byClass[i], nextStart[i] = q.byClass[old], q.nextStart[old]
		}
		q.byClass, q.nextStart = byClass, nextStart
	}
	for i, c := range classes {
		c.index = i
	}
	s.classes = classes
	s.retiredClasses = len(classes) - len(s.classByName)
}

// normalizeWeights gives added classes the mean weight, and scales the live ones to a sum of one.
func (s *Scheduler) normalizeWeights(added []*class, count float64) {
	for _, c := range added {
		c.weight = 1 / count
	}
	s.scaleLiveWeights()
	s.summarizeClasses(count)
}

// scaleLiveWeights scales the weights of the live classes to a sum of one.
func (s *Scheduler) scaleLiveWeights() {
	total := 0.0
	for _, c := range s.classes {
		if s.isLive(c) {
			total += c.weight
		}
	}
	for _, c := range s.classes {
		if s.isLive(c) {
			c.weight = math.Max(c.weight/total, minClassWeight)
		}
	}
}

// summarizeClasses takes the mean priority weight and the tightest objective of the live classes.
func (s *Scheduler) summarizeClasses(count float64) {
	s.meanPriorityWeight, s.minObjective = 0, 0
	for _, c := range s.classes {
		if !s.isLive(c) {
			continue
		}
		s.meanPriorityWeight += c.PriorityWeight / count
		if s.minObjective == 0 || c.LatencyObjective < s.minObjective {
			s.minObjective = c.LatencyObjective
		}
	}
}

// Classes names the classes that take new requests.
func (s *Scheduler) Classes() []string {
	names := make([]string, 0, len(s.classByName))
	for _, c := range s.classes {
		if s.isLive(c) {
			names = append(names, c.Name)
		}
	}
	return names
}
