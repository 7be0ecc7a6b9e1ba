package policy

import "math"

// Learned is what an instance learned of nodes and classes, in plain values: what a restart loses.
type Learned struct {
	Nodes   []LearnedNode
	Classes []LearnedClass
}

// LearnedNode is what it learned of one life of a node.
type LearnedNode struct {
	ID                 string
	StartTime          float64 // its start, as the list gave it: of another life nothing is recalled
	Window             float64
	Latency            float64 // latency
	BestLatencyPerUnit float64 // latency per unit
	FailureRate        float64 // share of attempts that fail
	// AssumedStart is the start it was listed with while its own was not known, 0: none. The list's
	// word takes that cold mark away, also with nothing learned (Window 0).
	AssumedStart float64
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
		if n.State != NodeRemoved && !math.IsInf(n.latencyAt, 0) {
			l.Nodes = append(l.Nodes, LearnedNode{ID: n.ID, StartTime: n.StartTime, Window: n.window, Latency: n.usual, BestLatencyPerUnit: n.best, FailureRate: n.failing})
		}
	}
	for _, c := range s.classes {
		if s.classOf[c.Name] == c {
			l.Classes = append(l.Classes, LearnedClass{c.Name, c.weight, c.slope, c.delay})
		}
	}
	return l
}

// Restore takes what an earlier life learned, where it still holds: a node of the same start, of
// which nothing was heard yet, and classes by name. It returns how many nodes were taken.
// Figures that cannot be are passed over.
func (s *Scheduler) Restore(l Learned) (taken int) {
	if math.IsNaN(s.now) {
		return 0
	}
	sum := 0.0
	for _, k := range l.Nodes {
		n := s.nodes[k.ID]
		if n == nil || n.StartTime != k.StartTime {
			continue
		}
		if k.AssumedStart != 0 && n.coldAt == k.AssumedStart {
			if n.coldAt = n.StartTime; n.StartTime <= 0 {
				n.coldAt = math.Inf(-1)
			}
			if math.IsInf(n.latencyAt, 0) { // nothing heard: as a node new to this instance
				n.window = windowStart
			}
		}
		if !between(k.Window, 1e-9, windowMost) || !between(k.Latency, 1e-9, 1e9) || !math.IsInf(n.latencyAt, 0) {
			continue
		}
		n.window = math.Max(k.Window, math.Min(windowFleet/float64(s.set.Schedulers), windowLeast))
		if s.now-n.coldAt <= s.set.SlowStartDuration {
			n.window = math.Min(n.window, windowLeast)
		}
		n.usual, n.latencyAt = k.Latency, s.now
		if between(k.BestLatencyPerUnit, 0, 1e9) {
			n.best = k.BestLatencyPerUnit
		}
		if between(k.FailureRate, 0, 1) {
			n.failing = k.FailureRate
		}
		sum += k.Latency
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
