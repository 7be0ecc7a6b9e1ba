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
	for _, n := range s.listedNodes {
		if n.State != NodeRemoved && !math.IsInf(n.latencyLearnedAt, 0) {
			l.Nodes = append(l.Nodes, LearnedNode{ID: n.ID, StartTime: n.StartTime, Window: n.window, Latency: n.typicalLatency, BestLatencyPerUnit: n.bestLatencyPerUnit, FailureRate: n.failureRate})
		}
	}
	for _, c := range s.classes {
		if s.classByName[c.Name] == c {
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
		n := s.nodeByID[k.ID]
		if n == nil || n.StartTime != k.StartTime {
			continue
		}
		if k.AssumedStart != 0 && n.startedAt == k.AssumedStart {
			if n.startedAt = n.StartTime; n.StartTime <= 0 {
				n.startedAt = math.Inf(-1)
			}
			if math.IsInf(n.latencyLearnedAt, 0) { // nothing heard: as a node new to this instance
				n.window = initialWindow
			}
		}
		if !between(k.Window, 1e-9, maxWindow) || !between(k.Latency, 1e-9, 1e9) || !math.IsInf(n.latencyLearnedAt, 0) {
			continue
		}
		n.window = math.Max(k.Window, math.Min(minFleetWindow/float64(s.settings.Schedulers), minWindow))
		if s.now-n.startedAt <= s.settings.SlowStartDuration {
			n.window = math.Min(n.window, minWindow)
		}
		n.typicalLatency, n.latencyLearnedAt = k.Latency, s.now
		if between(k.BestLatencyPerUnit, 0, 1e9) {
			n.bestLatencyPerUnit = k.BestLatencyPerUnit
		}
		if between(k.FailureRate, 0, 1) {
			n.failureRate = k.FailureRate
		}
		sum += k.Latency
		taken++
	}
	if taken > 0 && math.IsInf(s.poolLatencyAt, 0) {
		s.poolLatency, s.poolLatencyAt = sum/float64(taken), s.now
	}
	s.restoreClasses(l.Classes)
	return taken
}

func (s *Scheduler) restoreClasses(ks []LearnedClass) {
	for _, k := range ks {
		c := s.classByName[k.Name]
		if c == nil || c.delay != 0 || !between(k.Weight, minClassWeight, 1) || !between(k.Delay, 0, c.Deadline) {
			continue
		}
		c.weight, c.delay = k.Weight, k.Delay
		if between(k.Slope, minSlope, 1e9) {
			c.slope = k.Slope
		}
	}
	total := 0.0
	for _, c := range s.classes {
		if s.classByName[c.Name] == c {
			total += c.weight
		}
	}
	for _, c := range s.classes {
		if s.classByName[c.Name] == c {
			c.weight = math.Max(c.weight/total, minClassWeight)
		}
	}
}

func between(v, least, most float64) bool { return v >= least && v <= most }
