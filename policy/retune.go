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
	if err := check(&set); err != nil {
		return err
	}
	s.replan(set.Plans)
	s.set = set
	held := map[*class]bool{}
	for _, r := range s.reqs {
		held[r.class] = true
	}
	live := map[*class]bool{}
	s.classOf = map[string]*class{}
	var fresh []*class
	for _, k := range set.Classes {
		i := slices.IndexFunc(s.classes, func(c *class) bool { return c.Class == k && !live[c] })
		if i < 0 {
			c := &class{Class: k}
			fresh = append(fresh, c)
			s.classOf[k.Name], live[c] = c, true
			continue
		}
		s.classOf[k.Name], live[s.classes[i]] = s.classes[i], true
	}
	// The old objects that no request holds go; those held stay, as retired: their delay no
	// longer asks for weight.
	kept := slices.DeleteFunc(slices.Clone(s.classes), func(c *class) bool { return !live[c] && !held[c] })
	for _, c := range kept {
		if !live[c] {
			c.delay, c.sum, c.count, c.changed = 0, 0, 0, false
		}
	}
	kept = append(kept, fresh...)
	s.renumber(kept)
	s.retired = len(kept) - len(live)
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
	s.meanWorth, s.tightest = 0, 0
	for _, c := range kept {
		if !live[c] {
			continue
		}
		c.weight = math.Max(c.weight/total, weightFloor)
		s.meanWorth += c.PriorityWeight / n
		if s.tightest == 0 || c.LatencyObjective < s.tightest {
			s.tightest = c.LatencyObjective
		}
	}
	return nil
}

// replan takes new plans. What the stores of limits hold is carried over: they have filled by the old plan until now, and
// fill by the new one from now on, so that no change gives units that neither plan does.
func (s *Scheduler) replan(plans []Plan) {
	planOf, filled := map[string]*Plan{}, map[string]flow{}
	for i := range plans {
		p := &plans[i]
		planOf[p.Name] = p
		switch old := s.planOf[p.Name]; {
		case math.IsInf(s.firstAt, 1): // no store fills yet
		case old == nil || old.RateLimit == 0:
			filled[p.Name] = flow{at: s.now}
		default:
			filled[p.Name] = flow{s.now, math.Min(s.unspent(old), p.LimitBurst)}
		}
	}
	s.planOf, s.filled = planOf, filled
	for _, v := range s.volumes {
		if p := s.planOf[v.plan.Name]; p != nil {
			s.adopt(v, p)
		}
	}
}

// unspent is what the limit of a volume holds, over all hosts, that this instance has not heard of: since the first
// request of all, or the last change of its plan, only this host has drawn on its part, and not for this volume.
func (s *Scheduler) unspent(plan *Plan) float64 {
	from, ok := s.filled[plan.Name]
	if !ok {
		from.at = s.firstAt
	}
	return math.Min(from.units+plan.RateLimit*(s.now-from.at)/1000, plan.LimitBurst)
}

// adopt gives a volume another plan, or another definition of its plan.
func (s *Scheduler) adopt(v *volume, plan *Plan) {
	if s.now-v.at >= usageSpan {
		v.level = 0 // it counted no more, and must not again for the refill
	}
	s.refill(v)
	if v.plan.RateLimit == 0 { // its store was not kept
		v.limit = 0
	}
	v.plan = plan
	if plan.RateLimit > 0 {
		v.limit = math.Min(v.limit, plan.LimitBurst/float64(v.hosts))
	}
}

// renumber makes the classes those given, in that order, and moves each shard queue's queues with
// them.
func (s *Scheduler) renumber(classes []*class) {
	old := make([]int, len(classes))
	for i, c := range classes {
		old[i] = -1
		if slices.Contains(s.classes, c) {
			old[i] = c.ix
		}
	}
	for _, l := range s.lanes {
		queues, finish := make([][]*request, len(classes)), make([]float64, len(classes))
		for i := range classes {
			if o := old[i]; o >= 0 {
				queues[i], finish[i] = l.queues[o], l.finish[o]
			} else {
				finish[i] = l.virtual
			}
		}
		l.queues, l.finish = queues, finish
	}
	for i, c := range classes {
		c.ix = i
	}
	s.classes = classes
}

// Classes names the classes that take new requests.
func (s *Scheduler) Classes() []string {
	names := make([]string, 0, len(s.classOf))
	for _, c := range s.classes {
		if s.classOf[c.Name] == c {
			names = append(names, c.Name)
		}
	}
	return names
}

// compact drops the retired classes that no request holds any more.
func (s *Scheduler) compact() {
	if s.retired == 0 {
		return
	}
	for _, c := range s.classes { // what ends of a retired class asks for no weight
		if s.classOf[c.Name] != c {
			c.delay, c.sum, c.count, c.changed = 0, 0, 0, false
		}
	}
	held := map[*class]bool{}
	for _, r := range s.reqs {
		held[r.class] = true
	}
	kept := slices.DeleteFunc(slices.Clone(s.classes), func(c *class) bool { return s.classOf[c.Name] != c && !held[c] })
	if len(kept) < len(s.classes) {
		s.renumber(kept)
		s.retired = len(kept) - len(s.classOf)
	}
}

// HandOver tells the instance that another process of its host serves from now on, with stores of
// limits that start empty. This one's are no longer refilled; what they hold may be spent, and a request
// that would wait for more is refused: its client finds it at the other process. Together the two
// never hold more than one instance would.
func (s *Scheduler) HandOver() { s.handed = true }
