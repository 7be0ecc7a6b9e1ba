package policy

import (
	"math"
	"slices"
)

// Reconfigure takes new settings into the running instance: bookkeeping, no decision. A class whose
// definition is unchanged keeps its object with its weight and delay; a new or changed class
// gets an object of its own, and an old one stays with the requests that hold it until none
// does. A class that vanished takes no new requests. Plans are taken by name; a volume of a
// vanished plan keeps the plan it had until it is forgotten, or the plan comes back.
func (s *Scheduler) Reconfigure(set Settings) error {
	if err := checkSettings(&set); err != nil {
		return err
	}
	s.replacePlans(set.Plans)
	s.settings = set
	held := map[*class]bool{}
	for _, r := range s.requests {
		held[r.class] = true
	}
	live := map[*class]bool{}
	s.classByName = map[string]*class{}
	var fresh []*class
	for _, k := range set.Classes {
		i := slices.IndexFunc(s.classes, func(c *class) bool { return c.Class == k && !live[c] })
		if i < 0 {
			c := &class{Class: k}
			fresh = append(fresh, c)
			s.classByName[k.Name], live[c] = c, true
			continue
		}
		s.classByName[k.Name], live[s.classes[i]] = s.classes[i], true
	}
	// The old objects that no request holds go; those held stay, as retired: their delay no
	// longer asks for weight.
	kept := slices.DeleteFunc(slices.Clone(s.classes), func(c *class) bool { return !live[c] && !held[c] })
	for _, c := range kept {
		if !live[c] {
			c.delay, c.sampleSum, c.sampleCount, c.weightChanged = 0, 0, 0, false
		}
	}
	kept = append(kept, fresh...)
	s.replaceClasses(kept)
	s.retiredClasses = len(kept) - len(live)
	// Shares: a new class starts at the mean of the live ones, and the live ones sum to one.
	n := float64(len(set.Classes))
	total := 0.0
	for _, c := range kept {
		if live[c] {
			if slices.Contains(fresh, c) {
				c.weight = 1 / n
			}
			total += c.weight
		}
	}
	s.meanPriorityWeight, s.minObjective = 0, 0
	for _, c := range kept {
		if !live[c] {
			continue
		}
		c.weight = math.Max(c.weight/total, minClassWeight)
		s.meanPriorityWeight += c.PriorityWeight / n
		if s.minObjective == 0 || c.LatencyObjective < s.minObjective {
			s.minObjective = c.LatencyObjective
		}
	}
	return nil
}

// replaceClasses makes the classes those given, in that order, and moves each shard queue's queues with
// them.
func (s *Scheduler) replaceClasses(classes []*class) {
	old := make([]int, len(classes))
	for i, c := range classes {
		old[i] = -1
		if slices.Contains(s.classes, c) {
			old[i] = c.index
		}
	}
	for _, l := range s.queueByShard {
		queues, finish := make([][]*request, len(classes)), make([]float64, len(classes))
		for i := range classes {
			if o := old[i]; o >= 0 {
				queues[i], finish[i] = l.byClass[o], l.nextStart[o]
			} else {
				finish[i] = l.virtualTime
			}
		}
		l.byClass, l.nextStart = queues, finish
	}
	for i, c := range classes {
		c.index = i
	}
	s.classes = classes
}

// Classes names the classes that take new requests.
func (s *Scheduler) Classes() []string {
	names := make([]string, 0, len(s.classByName))
	for _, c := range s.classes {
		if s.classByName[c.Name] == c {
			names = append(names, c.Name)
		}
	}
	return names
}

// dropRetiredClasses drops the retired classes that no request holds any more.
func (s *Scheduler) dropRetiredClasses() {
	if s.retiredClasses == 0 {
		return
	}
	for _, c := range s.classes { // what ends of a retired class asks for no weight
		if s.classByName[c.Name] != c {
			c.delay, c.sampleSum, c.sampleCount, c.weightChanged = 0, 0, 0, false
		}
	}
	held := map[*class]bool{}
	for _, r := range s.requests {
		held[r.class] = true
	}
	kept := slices.DeleteFunc(slices.Clone(s.classes), func(c *class) bool { return s.classByName[c.Name] != c && !held[c] })
	if len(kept) < len(s.classes) {
		s.replaceClasses(kept)
		s.retiredClasses = len(kept) - len(s.classByName)
	}
}
