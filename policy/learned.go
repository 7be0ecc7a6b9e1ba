package policy

import "math"

// Learned is the state of nodes and classes that an instance passes on over a restart.
type Learned struct {
	Nodes   []LearnedNode
	Classes []LearnedClass
}

// LearnedNode is the learned state of one incarnation of a node.
type LearnedNode struct {
	ID                 string
	StartTime          float64 // from the endpoint list; nothing is restored for another incarnation
	Window             float64
	Latency            float64 // ms
	BestLatencyPerUnit float64 // ms per unit
	FailureRate        float64 // share of attempts that fail
	// AssumedStartTime is the start time with which the node was listed before its real start time was
	// known; 0: none. Restore cancels a slow start from that time even if nothing else was learned
	// (Window 0).
	AssumedStartTime float64
}

// LearnedClass is the learned state of one class.
type LearnedClass struct {
	Name                 string
	Weight, Slope, Delay float64
}

const maxLearnedValue = 1e9 // larger latencies and slopes are invalid

// Learned returns the learned state. It holds the nodes with a latency sample, in order of their ids,
// and the classes that take new requests.
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

// Restore applies the learned state of an earlier process where it is still valid. This is so for nodes
// of the same incarnation that have no latency sample yet, and for classes of the same name that have
// no delay yet. Invalid values are ignored. Restore returns the number of restored nodes. Before the
// first step it does nothing.
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
		n.cancelAssumedStart(learned.AssumedStartTime)
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

// cancelAssumedStart cancels a slow start that began at an assumed start time. With 0 it does nothing.
func (n *node) cancelAssumedStart(assumed float64) {
	if assumed == 0 || n.slowStart.startedAt != assumed {
		return
	}
	n.slowStart.startedAt = n.StartTime
	if n.StartTime <= 0 {
		n.slowStart.startedAt = math.Inf(-1)
	}
	if !n.latency.hasSample() { // start like a newly listed node
		n.window.size = initialWindow
	}
}

func (s *Scheduler) restoreNode(n *node, learned LearnedNode) bool {
	isValid := inRange(learned.Window, 1e-9, maxWindow) && inRange(learned.Latency, 1e-9, maxLearnedValue)
	if !isValid || n.latency.hasSample() {
		return false
	}
	n.window.size = math.Max(learned.Window, math.Min(minFleetWindow/float64(s.settings.Schedulers), minWindow))
	if s.inSlowStart(n) {
		n.window.lowerToMin()
	}
	n.latency.set(learned.Latency, s.now)
	if inRange(learned.BestLatencyPerUnit, 0, maxLearnedValue) {
		n.window.bestLatencyPerUnit = learned.BestLatencyPerUnit
	}
	if inRange(learned.FailureRate, 0, 1) {
		n.failureRate = learned.FailureRate
	}
	return true
}

func (s *Scheduler) restoreClasses(learned []LearnedClass) {
	for _, k := range learned {
		c := s.classByName[k.Name]
		if c == nil || c.delay != 0 || !inRange(k.Weight, minClassWeight, 1) || !inRange(k.Delay, 0, c.Deadline) {
			continue
		}
		c.weight, c.delay = k.Weight, k.Delay
		if inRange(k.Slope, minSlope, maxLearnedValue) {
			c.slope = k.Slope
		}
	}
	s.scaleLiveWeights()
}

// inRange reports whether a value is within inclusive bounds. NaN is not.
func inRange(v, low, high float64) bool { return v >= low && v <= high }
