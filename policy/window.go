package policy

import "math"

const (
	initialWindow       = 4.0    // requests in flight per node: the design's start
	minWindow           = 2.0    // requests in flight per node, unless the node is overloaded
	maxWindow           = 32.0   // requests in flight per node: the design's ceiling
	minFleetWindow      = 4.0    // requests in flight at an overloaded node, over all schedulers
	nodeLatencyShare    = 0.5    // a node's latency may take this share of the tightest objective
	maxEpochMs          = 1000.0 // an epoch ends after this time even with few answers
	minEpochAnswers     = 6      // answers between changes of the window
	maxSendGapMs        = 1000.0 // longest gap between sends with a window under one
	widenRatio          = 1.5    // latency per unit within this multiple of the best widens the window
	halveRatio          = 2.0    // latency per unit past this multiple of the best halves it
	bestLatencyFallGain = 0.3    // how fast the best latency per unit follows a lower figure
	bestLatencyRiseGain = 0.02   // how fast it follows a higher one: slowly, or load would pass for normal
)

// concurrencyWindow bounds the requests in flight at one node. Below one it stands for a rate:
// one request at a time, with a gap before the next.
type concurrencyWindow struct {
	size               float64
	peakInFlight       int  // most in flight in this epoch
	filled             bool // a request found the window full in this epoch
	bestLatencyPerUnit float64
	epoch              windowEpoch
}

// windowEpoch collects latencies between two changes of the window.
type windowEpoch struct {
	startAt float64
	latency float64 // sum
	units   float64 // sum
	answers int
}

// lowerToMin lowers the window to the minimum; a smaller one stays.
func (w *concurrencyWindow) lowerToMin() { w.size = math.Min(minWindow, w.size) }

// isFractional reports whether the window stands for a rate.
func (w *concurrencyWindow) isFractional() bool { return w.size < 1 }

// addSample takes a latency into the epoch and reports whether the epoch is over, and whether it
// has enough answers to judge latency per unit.
func (w *concurrencyWindow) addSample(latency, units, now float64) (over, enough bool) {
	e := &w.epoch
	if e.answers == 0 {
		e.startAt = now
	}
	e.latency, e.units, e.answers = e.latency+latency, e.units+units, e.answers+1
	enough = e.answers >= max(minEpochAnswers, int(w.size))
	return enough || now-e.startAt >= maxEpochMs, enough
}

// endEpoch returns the epoch's latency per unit and its mean latency, and updates the best figure.
func (w *concurrencyWindow) endEpoch() (perUnit, mean float64) {
	perUnit, mean = w.epoch.latency/w.epoch.units, w.epoch.latency/float64(w.epoch.answers)
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

// recordLatency takes a latency into the window's signal: that of served work, or the age of work
// that went unanswered. Errors and rejections are quick without the node being so. An epoch ends
// by count, or by time where a node answers a scheduler seldom.
func (s *Scheduler) recordLatency(n *node, latency, units float64) {
	if s.stall.resumed {
		return
	}
	s.learnLatency(n, latency)
	w := &n.window
	over, enough := w.addSample(latency, units, s.now)
	if !over {
		return
	}
	perUnit, mean := w.endEpoch()
	switch {
	case mean > nodeLatencyShare*s.minObjective:
		s.narrow(n)
	case perUnit > halveRatio*w.bestLatencyPerUnit && enough:
		w.size = math.Max(math.Min(minWindow, w.size), math.Floor(w.size/2))
	case w.size < minWindow:
		w.size = math.Min(minWindow, w.size*2)
	case perUnit <= widenRatio*w.bestLatencyPerUnit && w.filled:
		w.size = math.Min(maxWindow, w.size+1)
	}
	w.filled, w.peakInFlight = false, len(n.inFlight)
}

// narrow halves what this scheduler has in flight at an overloaded node. The peak in flight, not
// the window, is halved, so that the window of a light user becomes a rate as well.
func (s *Scheduler) narrow(n *node) {
	minSize := math.Min(minFleetWindow/s.schedulersPerNode, minWindow)
	n.window.size = math.Max(minSize, math.Min(n.window.size, float64(max(1, n.window.peakInFlight)))/2)
	n.window.peakInFlight = len(n.inFlight)
}

// sendGap is the randomized, bounded time between sends with a window under one.
func (s *Scheduler) sendGap(n *node) float64 {
	gap := s.expectedLatency(n) * math.Max(0, 1/n.window.size-1)
	return math.Min(gap, maxSendGapMs) * (0.5 + s.rng.Float64())
}

// hasCapacity reports whether the window admits another request. A silent node gets one at a time.
// Reserved work keeps the design's minimum window: narrowed windows and their gaps ration what may
// exceed the node's capacity, and reserved rates do not.
// Trade-off: reserved rates may add up to more than the node serves.
func (n *node) hasCapacity(now float64, band int) bool {
	if band == bandReserved && !n.silent && n.backoff == 0 {
		return len(n.inFlight) < max(int(n.window.size), minWindow)
	}
	if n.silent || n.window.isFractional() {
		return len(n.inFlight) == 0 && now >= n.nextSendAt
	}
	return len(n.inFlight) < int(n.window.size) && now >= n.nextSendAt
}
