package policy

import "math"

// Constants of the adaptation; alpha, beta and epsilon are the source's names.
const (
	ticksPerAdaptation      = 2      // ticks between adaptations
	maxAdaptIntervalMs      = 4000.0 // longest interval after a donation was committed
	alpha                   = 0.5    // weight of the past in a class's delay
	beta                    = 0.8    // share of a donation that is committed
	epsilon                 = 0.1    // a class within this of its objective is balanced
	minSlope                = 1.0    // ms per unit of weight: delay that does not move with weight is not free
	minClassWeight          = 0.05   // a class must keep a flow of samples
	minPriorityWeight       = 1e-9
	minRefitChange          = 1e-6 // changes of weight or delay below this refit no slope
	rejectedDelayObjectives = 2.0  // a rejected request counts with a delay of this many objectives at least
)

// class is a request class with its weight, and how its delay moves with it.
type class struct {
	Class
	index           int     // in the scheduler's classes and the shard queues
	longestTimeout  float64 // longest time that a client has given
	weight          float64
	delay           float64 // smoothed, from arrival to answer
	slope           float64 // change of delay over change of weight
	sampleSum       float64 // of the delays since the last adaptation
	sampleCount     float64
	committedWeight float64 // before the last commit
	committedDelay  float64 // at the last commit
	weightChanged   bool    // by the last adaptation
}

// sampleDelay takes a delay from arrival to answer into the request's class. What went unserved
// counts at its age plus the wait it was spared, or early rejections would make a starved class look
// healthy. Demand beyond the quota steers nothing, nor does a wait for a node or for a rate limit:
// no weight shortens it. A client's attempts count as one request.
func (s *Scheduler) sampleDelay(r *request, sparedMs float64) {
	if r.chargedBand == bandBurst || r.isClientRetry || r.waitedForAdmission {
		return
	}
	r.class.sampleSum += math.Min(s.now-r.startedAt+sparedMs, r.class.Deadline)
	r.class.sampleCount++
}

// adaptAndReschedule adapts the weights. The interval doubles after a commit, so that delays settle.
func (s *Scheduler) adaptAndReschedule() {
	if !s.adapt() {
		s.adaptInterval = ticksPerAdaptation * tickIntervalMs / 2
	}
	s.adaptInterval = math.Min(2*s.adaptInterval, maxAdaptIntervalMs)
	s.nextAdaptAt, s.nodeStalled = s.now+s.adaptInterval-tickIntervalMs/2, false
}

// adapt lets the worst underweight class borrow weight from the overweight ones, and reports whether
// a donation was committed.
func (s *Scheduler) adapt() bool {
	var worst *class
	for _, c := range s.classes {
		c.updateDelay()
		c.updateSlope(!s.nodeStalled)
		if c.isUnderweight() && (worst == nil || c.delay/c.LatencyObjective > worst.delay/worst.LatencyObjective) {
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	surplus, total := make([]float64, len(s.classes)), 0.0
	for i, c := range s.classes {
		if c.isOverweight() {
			surplus[i] = (c.LatencyObjective - c.delay) / c.slope
			total += surplus[i]
		}
	}
	need, received := (worst.delay-worst.LatencyObjective)/worst.slope, 0.0
	for i, c := range s.classes {
		if surplus[i] == 0 {
			continue
		}
		if donation := c.donation(need * surplus[i] / total); donation > 0 {
			c.commit(-donation)
			received += donation
		}
	}
	if received == 0 {
		return false
	}
	worst.commit(received)
	return true
}

// updateDelay takes the samples since the last adaptation into the smoothed delay.
func (c *class) updateDelay() {
	if c.sampleCount > 0 {
		mean := c.sampleSum / c.sampleCount
		if c.delay == 0 {
			c.delay = mean
		}
		c.delay = alpha*c.delay + (1-alpha)*mean
	}
	c.sampleSum, c.sampleCount = 0, 0
}

// updateSlope refits the slope after a change of weight, unless a stall distorted the delay.
func (c *class) updateSlope(mayRefit bool) {
	if c.slope == 0 && c.delay > 0 {
		c.slope = math.Max(c.delay/c.weight, minSlope)
	}
	weightChange, delayChange := math.Abs(c.weight-c.committedWeight), math.Abs(c.delay-c.committedDelay)
	if c.weightChanged && mayRefit && weightChange > minRefitChange && delayChange > minRefitChange {
		c.slope = math.Max(delayChange/weightChange, minSlope)
	}
	c.weightChanged = false
}

func (c *class) isUnderweight() bool { return c.delay >= (1+epsilon)*c.LatencyObjective }

func (c *class) isOverweight() bool { return c.delay > 0 && c.delay <= (1-epsilon)*c.LatencyObjective }

// donation is what the class gives of an amount asked: its predicted delay stays within the objective.
func (c *class) donation(asked float64) float64 {
	amount := math.Min(asked, ((1-epsilon)*c.LatencyObjective-c.delay)/c.slope)
	return math.Min(beta*amount, c.weight-minClassWeight)
}

// commit changes the weight, and keeps what it was for the next refit of the slope.
func (c *class) commit(change float64) {
	c.committedWeight, c.committedDelay, c.weightChanged = c.weight, c.delay, true
	c.weight += change
}

// dropDelay forgets the delay, so that the class asks for no weight.
func (c *class) dropDelay() { c.delay, c.sampleSum, c.sampleCount, c.weightChanged = 0, 0, 0, false }
