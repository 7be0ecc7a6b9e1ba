package policy

import (
	"math"
	"slices"
)

// Reconfigure applies new settings to the running instance. A class whose definition is unchanged keeps
// its weight and delay. A new or changed class starts with the mean weight. The old definition of a
// changed or removed class is retired: it takes no new requests, and remains only for the requests that
// still use it. Plans are matched by name. A volume of a removed plan keeps the old definition until the
// volume is evicted or a plan of that name is added again.
func (s *Scheduler) Reconfigure(settings Settings) error {
	if err := checkSettings(&settings); err != nil {
		return err
	}
	s.replacePlans(settings.Plans)
	s.settings = settings
	added := s.matchClasses(settings.Classes)
	remaining := append(s.collectClassesInUse(), added...)
	s.replaceClasses(remaining)
	s.normalizeWeights(added, float64(len(settings.Classes)))
	return nil
}

// matchClasses rebuilds classByName from the new definitions, and returns the classes that it created.
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

// collectClassesInUse returns the live classes and the retired ones that a request still uses. It clears the
// delay of retired classes, so that they request no weight.
func (s *Scheduler) collectClassesInUse() []*class {
	inUse := map[*class]bool{}
	for _, r := range s.requests {
		inUse[r.class] = true
	}
	remaining := make([]*class, 0, len(s.classes))
	for _, c := range s.classes {
		if s.isLive(c) {
			remaining = append(remaining, c)
			continue
		}
		c.clearDelay()
		if inUse[c] {
			remaining = append(remaining, c)
		}
	}
	return remaining
}

// removeRetiredClasses removes the retired classes that no request uses any more.
func (s *Scheduler) removeRetiredClasses() {
	if s.retiredClasses == 0 {
		return
	}
	if remaining := s.collectClassesInUse(); len(remaining) < len(s.classes) {
		s.replaceClasses(remaining)
	}
}

// replaceClasses replaces the list of classes, and reorders the class queues of each shard accordingly.
func (s *Scheduler) replaceClasses(classes []*class) {
	const noOldIndex = -1
	oldIndex := make([]int, len(classes))
	for i, c := range classes {
		oldIndex[i] = noOldIndex
		if slices.Contains(s.classes, c) {
			oldIndex[i] = c.index
		}
	}
	for _, q := range s.queueByShard {
		byClass, nextStart := make([][]*request, len(classes)), make([]float64, len(classes))
		for i, old := range oldIndex {
			if old == noOldIndex {
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

// normalizeWeights sets the weight of added classes to the mean, and scales the weights of the live
// classes to a sum of one.
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

// summarizeClasses computes the mean priority weight and the tightest objective of the live classes.
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

// Classes returns the names of the classes that take new requests.
func (s *Scheduler) Classes() []string {
	names := make([]string, 0, len(s.classByName))
	for _, c := range s.classes {
		if s.isLive(c) {
			names = append(names, c.Name)
		}
	}
	return names
}
