package policy

import "math"

// Learned is what an instance learned of nodes and classes, in plain values: what a restart loses.
type Learned struct {
	Nodes   []LearnedNode
	Classes []LearnedClass
}

// LearnedNode is what it learned of one life of a node.
type LearnedNode struct {
	ID      string
	Since   float64 // its start, as the list gave it: of another life nothing is recalled
	Window  float64
	Usual   float64 // latency
	Best    float64 // latency per unit
	Failing float64 // share of attempts that fail
	// Guessed is the start it was listed with while its own was not known, 0: none. The list's
	// word takes that cold mark away, also with nothing learned (Window 0).
	Guessed float64
}

// LearnedClass is the share of one class and how its delay moved with it.
type LearnedClass struct {
	Name                 string
	Weight, Slope, Delay float64
}

// Learned tells what this instance learned: of the nodes that it heard, in the order of their ids.
func (s *Scheduler) Learned() Learned {
	var l Learned
	for _, n := range s.listed {
		if n.State != NodeGone && !math.IsInf(n.latencyAt, 0) {
			l.Nodes = append(l.Nodes, LearnedNode{ID: n.ID, Since: n.Since, Window: n.window, Usual: n.usual, Best: n.best, Failing: n.failing})
		}
	}
	for _, c := range s.classes {
		if s.classOf[c.Name] == c {
			l.Classes = append(l.Classes, LearnedClass{c.Name, c.weight, c.slope, c.delay})
		}
	}
	return l
}

// Recall takes what an earlier life learned, where it still holds: a node of the same start, of
// which nothing was heard yet, and classes by name. It returns how many nodes were taken.
// Figures that cannot be are passed over.
func (s *Scheduler) Recall(l Learned) (taken int) {
	if math.IsNaN(s.now) {
		return 0
	}
	sum := 0.0
	for _, k := range l.Nodes {
		n := s.nodes[k.ID]
		if n == nil || n.Since != k.Since {
			continue
		}
		if k.Guessed != 0 && n.coldAt == k.Guessed {
			if n.coldAt = n.Since; n.Since <= 0 {
				n.coldAt = math.Inf(-1)
			}
			if math.IsInf(n.latencyAt, 0) { // nothing heard: as a node new to this instance
				n.window = windowStart
			}
		}
		if !between(k.Window, 1e-9, windowMost) || !between(k.Usual, 1e-9, 1e9) || !math.IsInf(n.latencyAt, 0) {
			continue
		}
		n.window = math.Max(k.Window, math.Min(windowFleet/float64(s.set.Hosts), windowLeast))
		if s.now-n.coldAt <= s.set.ColdSpan {
			n.window = math.Min(n.window, windowLeast)
		}
		n.usual, n.latencyAt = k.Usual, s.now
		if between(k.Best, 0, 1e9) {
			n.best = k.Best
		}
		if between(k.Failing, 0, 1) {
			n.failing = k.Failing
		}
		sum += k.Usual
		taken++
	}
	if taken > 0 && math.IsInf(s.poolAt, 0) {
		s.pool, s.poolAt = sum/float64(taken), s.now
	}
	s.recallClasses(l.Classes)
	return taken
}

func (s *Scheduler) recallClasses(ks []LearnedClass) {
	for _, k := range ks {
		c := s.classOf[k.Name]
		if c == nil || c.delay != 0 || !between(k.Weight, weightFloor, 1) || !between(k.Delay, 0, c.Deadline) {
			continue
		}
		c.weight, c.delay = k.Weight, k.Delay
		if between(k.Slope, slopeFloor, 1e9) {
			c.slope = k.Slope
		}
	}
	total := 0.0
	for _, c := range s.classes {
		if s.classOf[c.Name] == c {
			total += c.weight
		}
	}
	for _, c := range s.classes {
		if s.classOf[c.Name] == c {
			c.weight = math.Max(c.weight/total, weightFloor)
		}
	}
}

func between(v, least, most float64) bool { return v >= least && v <= most }
