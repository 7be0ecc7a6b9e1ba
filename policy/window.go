package policy

import "math"

const (
	initialWindow       = 4.0    // requests in flight at a newly listed node
	minWindow           = 2.0    // minimum requests in flight at a node that is not overloaded
	maxWindow           = 32.0   // maximum requests in flight at a node
	minFleetWindow      = 4.0    // minimum requests in flight at an overloaded node, over all schedulers
	nodeLatencyShare    = 0.5    // the window shrinks if the mean latency exceeds this share of the tightest objective
	maxEpochMs          = 1000.0 // an epoch ends after this time even with few answers
	minEpochAnswers     = 6      // an epoch ends after this many answers, or as many as the window has if that is more
	maxSendGapMs        = 1000.0 // maximum gap between sends with a window below one, before randomization
	widenRatio          = 1.5    // the window widens if latency per unit is within this multiple of the best
	halveRatio          = 2.0    // the window halves if latency per unit exceeds this multiple of the best
	bestLatencyFallGain = 0.3    // gain with which the best latency per unit follows a lower value
	bestLatencyRiseGain = 0.02   // gain for a higher value; it is low so that latency under load does not become the best
)

// concurrencyWindow limits the requests in flight at one node. A size below one stands for a rate: one
// request at a time, with a gap before the next.
type concurrencyWindow struct {
	size               float64
	peakInFlight       int  // maximum in flight in this epoch
	wasFull            bool // a request had to wait for capacity in this epoch
	bestLatencyPerUnit float64
	epoch              windowEpoch
}

// windowEpoch collects latencies between two changes of the window.
type windowEpoch struct {
	startAt    float64
	latencySum float64
	unitsSum   float64
	answers    int
}

// lowerToMin lowers the window to minWindow. A smaller window stays unchanged.
func (w *concurrencyWindow) lowerToMin() { w.size = math.Min(minWindow, w.size) }

// isFractional reports whether the window is below one and so stands for a rate.
func (w *concurrencyWindow) isFractional() bool { return w.size < 1 }

// addSample adds a latency to the epoch. It reports whether the epoch is over, and whether it has
// enough answers to judge the latency per unit.
func (w *concurrencyWindow) addSample(latency, units, now float64) (epochOver, enoughAnswers bool) {
	e := &w.epoch
	if e.answers == 0 {
		e.startAt = now
	}
	e.latencySum, e.unitsSum, e.answers = e.latencySum+latency, e.unitsSum+units, e.answers+1
	enoughAnswers = e.answers >= max(minEpochAnswers, int(w.size))
	return enoughAnswers || now-e.startAt >= maxEpochMs, enoughAnswers
}

// endEpoch ends the epoch. It returns the epoch's latency per unit and mean latency, and updates the best
// latency per unit.
func (w *concurrencyWindow) endEpoch() (perUnit, mean float64) {
	perUnit, mean = w.epoch.latencySum/w.epoch.unitsSum, w.epoch.latencySum/float64(w.epoch.answers)
	w.epoch = windowEpoch{startAt: w.epoch.startAt}
	if w.bestLatencyPerUnit == 0 {
		w.bestLatencyPerUnit = perUnit
	}
	gain := bestLatencyRiseGain
	if perUnit < w.bestLatencyPerUnit {
		gain = bestLatencyFallGain
	}
	w.bestLatencyPerUnit += (perUnit - w.bestLatencyPerUnit) * gain
	return perUnit, mean
}

// recordLatency updates the latency estimates and the window with the latency of an answered attempt,
// or with the age of an unanswered one. It is not called for errors and rejections, because a slow node
// may send them fast. An epoch ends after a number of answers, or after a time if a node answers this
// scheduler rarely.
func (s *Scheduler) recordLatency(n *node, latency, units float64) {
	if s.stall.resumed {
		return
	}
	s.learnLatency(n, latency)
	w := &n.window
	epochOver, enoughAnswers := w.addSample(latency, units, s.now)
	if !epochOver {
		return
	}
	perUnit, mean := w.endEpoch()
	switch {
	case mean > nodeLatencyShare*s.minObjective:
		s.narrowWindow(n)
	case perUnit > halveRatio*w.bestLatencyPerUnit && enoughAnswers:
		w.size = math.Max(math.Min(minWindow, w.size), math.Floor(w.size/2))
	case w.size < minWindow:
		w.size = math.Min(minWindow, w.size*2)
	case perUnit <= widenRatio*w.bestLatencyPerUnit && w.wasFull:
		w.size = math.Min(maxWindow, w.size+1)
	}
	w.wasFull, w.peakInFlight = false, len(n.inFlight)
}

// narrowWindow halves the window of an overloaded node. If fewer requests than the window were in
// flight, it halves their peak number instead. So the window also falls below one at a scheduler that
// sends few requests to the node.
func (s *Scheduler) narrowWindow(n *node) {
	minSize := math.Min(minFleetWindow/s.schedulersPerNode, minWindow)
	n.window.size = math.Max(minSize, math.Min(n.window.size, float64(max(1, n.window.peakInFlight)))/2)
	n.window.peakInFlight = len(n.inFlight)
}

// sendGap returns the randomized time between sends with a window below one.
func (s *Scheduler) sendGap(n *node) float64 {
	gap := s.expectedLatency(n) * math.Max(0, 1/n.window.size-1)
	return math.Min(gap, maxSendGapMs) * (0.5 + s.rng.Float64())
}

// hasCapacity reports whether the window admits another request. A silent node gets one request at a
// time. Requests of the reserved band have at least minWindow and no send gap, unless the node is silent
// or this scheduler is backing off from it. Smaller windows and send gaps are meant for load beyond the
// node's capacity, and the reserved rates should be within it.
// Trade-off: the reserved rates may add up to more than the node can serve.
func (n *node) hasCapacity(now float64, band int) bool {
	if band == bandReserved && !n.silent && n.backoff == 0 {
		return len(n.inFlight) < max(int(n.window.size), minWindow)
	}
	if n.silent || n.window.isFractional() {
		return len(n.inFlight) == 0 && now >= n.nextSendAt
	}
	return len(n.inFlight) < int(n.window.size) && now >= n.nextSendAt
}
