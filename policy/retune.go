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

// replacePlans takes new plans. What the stores of limits hold is carried over: they have filled by the old plan until now, and
// fill by the new one from now on, so that no change gives units that neither plan does.
func (s *Scheduler) replacePlans(plans []Plan) {
	planOf, filled := map[string]*Plan{}, map[string]timedUnits{}
	for i := range plans {
		p := &plans[i]
		planOf[p.Name] = p
		switch old := s.planByName[p.Name]; {
		case math.IsInf(s.firstRequestAt, 1): // no store fills yet
		case old == nil || old.RateLimit == 0:
			filled[p.Name] = timedUnits{at: s.now}
		default:
			filled[p.Name] = timedUnits{s.now, math.Min(s.unusedLimitTokens(old), p.LimitBurst)}
		}
	}
	s.planByName, s.limitCarryover = planOf, filled
	for _, v := range s.volumes {
		if p := s.planByName[v.plan.Name]; p != nil {
			s.changePlan(v, p)
		}
	}
}

// unusedLimitTokens is what the limit of a volume holds, over all hosts, that this instance has not heard of: since the first
// request of all, or the last change of its plan, only this host has drawn on its part, and not for this volume.
func (s *Scheduler) unusedLimitTokens(plan *Plan) float64 {
	from, ok := s.limitCarryover[plan.Name]
	if !ok {
		from.at = s.firstRequestAt
	}
	return math.Min(from.units+plan.RateLimit*(s.now-from.at)/1000, plan.LimitBurst)
}

// changePlan gives a volume another plan, or another definition of its plan.
func (s *Scheduler) changePlan(v *volume, plan *Plan) {
	if s.now-v.refilledAt >= usageWindowMs {
		v.usageLevel = 0 // it counted no more, and must not again for the refill
	}
	s.refill(v)
	if v.plan.RateLimit == 0 { // its store was not kept
		v.limitTokens = 0
	}
	v.plan = plan
	if plan.RateLimit > 0 {
		v.limitTokens = math.Min(v.limitTokens, plan.LimitBurst/float64(v.schedulers))
	}
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

// HandOver tells the instance that another process of its host serves from now on, with stores of
// limits that start empty. This one's are no longer refilled; what they hold may be spent, and a request
// that would wait for more is refused: its client finds it at the other process. Together the two
// never hold more than one instance would.
func (s *Scheduler) HandOver() { s.handedOver = true }
