package policy

import "math"

// recordLatency takes a latency into the window's signal: of served work, or the age of work
// that went unanswered; errors and refusals are quick without the node being so. An
// epoch ends by count, or by time where a host hears little of a node.
func (s *Scheduler) recordLatency(n *node, latency, units float64) {
	if s.resumedFromStall {
		return
	}
	s.learnLatency(n, latency)
	if n.epochAnswers == 0 {
		n.epochStartAt = s.now
	}
	n.epochLatency, n.epochUnits, n.epochAnswers = n.epochLatency+latency, n.epochUnits+units, n.epochAnswers+1
	enough := n.epochAnswers >= max(minEpochAnswers, int(n.window))
	if !enough && s.now-n.epochStartAt < maxEpochMs {
		return
	}
	ratio, mean := n.epochLatency/n.epochUnits, n.epochLatency/float64(n.epochAnswers)
	n.epochLatency, n.epochUnits, n.epochAnswers = 0, 0, 0
	if n.bestLatencyPerUnit == 0 {
		n.bestLatencyPerUnit = ratio
	}
	memory := bestLatencyRiseGain
	if ratio < n.bestLatencyPerUnit {
		memory = bestLatencyFallGain
	}
	n.bestLatencyPerUnit += (ratio - n.bestLatencyPerUnit) * memory
	switch {
	case mean > nodeLatencyShare*s.minObjective:
		s.narrow(n)
	case ratio > halveRatio*n.bestLatencyPerUnit && enough:
		n.window = math.Max(math.Min(minWindow, n.window), math.Floor(n.window/2))
	case n.window < minWindow:
		n.window = math.Min(minWindow, n.window*2)
	case ratio <= widenRatio*n.bestLatencyPerUnit && n.windowFilled:
		n.window = math.Min(maxWindow, n.window+1)
	}
	n.windowFilled, n.peakInFlight = false, len(n.inFlight)
}

// narrow halves what this host has out at a crowded node: from there a light user's
// window turns into a rate as well as a heavy one's.
func (s *Scheduler) narrow(n *node) {
	least := math.Min(minFleetWindow/s.schedulersPerNode, minWindow)
	n.window = math.Max(least, math.Min(n.window, float64(max(1, n.peakInFlight)))/2)
	n.peakInFlight = len(n.inFlight)
}

// sendGap is the time between sends with a window under one, bounded and spread.
func (s *Scheduler) sendGap(n *node) float64 {
	return math.Min(s.expectedLatency(n)*math.Max(0, 1/n.window-1), maxSendGapMs) * (0.5 + s.rng.Float64())
}

// hasCapacity says whether the window takes another request: a trickle while it is silent. What is
// due to a volume keeps the design's least window: narrowed windows and their rests ration
// what may be more than the node can do, and reserves are not. Else one slow answer holds
// them at an idle node till they are late. Harm: reserves that add up to more than a node.
func (n *node) hasCapacity(now float64, band int) bool {
	if band == bandReserved && !n.silent && n.backoff == 0 {
		return len(n.inFlight) < max(int(n.window), minWindow)
	}
	if n.silent || n.window < 1 {
		return len(n.inFlight) == 0 && now >= n.nextSendAt
	}
	return len(n.inFlight) < int(n.window) && now >= n.nextSendAt
}
