package policy

import "math"

// Learned is what an instance learned of nodes and classes, in plain values, for a restart.
type Learned struct {
	Nodes   []LearnedNode
	Classes []LearnedClass
}

// LearnedNode is what an instance learned of one incarnation of a node.
type LearnedNode struct {
	ID                 string
	StartTime          float64 // as the list gave it: nothing is restored for another incarnation
	Window             float64
	Latency            float64 // ms
	BestLatencyPerUnit float64 // ms per unit
	FailureRate        float64 // share of attempts that fail
	// AssumedStart is the start time that the node was listed with while its own was not known; 0:
	// none. A slow start from that time is taken back, also with nothing learned (Window 0).
	AssumedStart float64
}

// LearnedClass is the weight of one class and how its delay moved with it.
type LearnedClass struct {
	Name                 string
	Weight, Slope, Delay float64
}

const maxLearnedFigure = 1e9 // of latencies and slopes; a larger one cannot be

// Learned returns what this instance learned: of the nodes that answered it, in the order of their ids.
func (s *Scheduler) Learned() Learned {
	var l Learned
	for _, n := range s.listedNodes {
		if n.State != NodeRemoved && n.latency.hasSample() {
			l.Nodes = append(l.Nodes, LearnedNode{ID: n.ID, StartTime: n.StartTime, Window: n.window.size,
				Latency: n.latency.ms, BestLatencyPerUnit: n.window.bestLatencyPerUnit, FailureRate: n.failureRate})
		}
	}
	for _, c := range s.classes {
		if s.isLive(c) {
			l.Classes = append(l.Classes, LearnedClass{c.Name, c.weight, c.slope, c.delay})
		}
	}
	return l
}

// Restore takes what an earlier process learned, where it still holds: nodes of the same incarnation
// that have not answered this one yet, and classes by name. Figures that cannot be are ignored. It
// returns how many nodes were restored. Before the first step it does nothing.
func (s *Scheduler) Restore(l Learned) (restored int) {
	if math.IsNaN(s.now) {
		return 0
	}
	sum := 0.0
	for _, learned := range l.Nodes {
		n := s.nodeByID[learned.ID]
		if n == nil || n.StartTime != learned.StartTime {
			continue
		}
		n.dropAssumedStart(learned.AssumedStart)
		if s.restoreNode(n, learned) {
			sum += learned.Latency
			restored++
		}
	}
	if restored > 0 && !s.poolLatency.hasSample() {
		s.poolLatency.set(sum/float64(restored), s.now)
	}
	s.restoreClasses(l.Classes)
	return restored
}

// dropAssumedStart takes back a slow start that began at an assumed start time; 0: there was none.
func (n *node) dropAssumedStart(assumed float64) {
	if assumed == 0 || n.slowStart.startedAt != assumed {
		return
	}
	n.slowStart.startedAt = n.StartTime
	if n.StartTime <= 0 {
		n.slowStart.startedAt = math.Inf(-1)
	}
	if !n.latency.hasSample() { // as a node new to this instance
		n.window.size = initialWindow
	}
}

func (s *Scheduler) restoreNode(n *node, learned LearnedNode) bool {
	isValid := between(learned.Window, 1e-9, maxWindow) && between(learned.Latency, 1e-9, maxLearnedFigure)
	if !isValid || n.latency.hasSample() {
		return false
	}
	n.window.size = math.Max(learned.Window, math.Min(minFleetWindow/float64(s.settings.Schedulers), minWindow))
	if s.inSlowStart(n) {
		n.window.lowerToMin()
	}
	n.latency.set(learned.Latency, s.now)
	if between(learned.BestLatencyPerUnit, 0, maxLearnedFigure) {
		n.window.bestLatencyPerUnit = learned.BestLatencyPerUnit
	}
	if between(learned.FailureRate, 0, 1) {
		n.failureRate = learned.FailureRate
	}
	return true
}

func (s *Scheduler) restoreClasses(learned []LearnedClass) {
	for _, k := range learned {
		c := s.classByName[k.Name]
		if c == nil || c.delay != 0 || !between(k.Weight, minClassWeight, 1) || !between(k.Delay, 0, c.Deadline) {
			continue
		}
		c.weight, c.delay = k.Weight, k.Delay
		if between(k.Slope, minSlope, maxLearnedFigure) {
			c.slope = k.Slope
		}
	}
	s.scaleLiveWeights()
}

// between reports whether a value is within bounds; NaN is not.
func between(v, low, high float64) bool { return v >= low && v <= high }
