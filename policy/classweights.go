package policy

import "math"

// Constants of the adaptation. The paper named in the package documentation uses the names alpha, beta
// and epsilon.
const (
	ticksPerAdaptation      = 2      // ticks between adaptations
	maxAdaptIntervalMs      = 4000.0 // maximum interval after a committed donation
	alpha                   = 0.5    // weight of the previous value in a class's smoothed delay
	beta                    = 0.8    // share of a donation that is committed
	epsilon                 = 0.1    // a class is balanced if its delay is within this share of its objective
	minSlope                = 1.0    // ms per unit of weight; with a slope of 0 a class could give away any weight
	minClassWeight          = 0.05   // a class with less weight would yield too few delay samples
	minPriorityWeight       = 1e-9
	minRefitChange          = 1e-6 // the slope is not refitted after smaller changes of weight or delay
	rejectedDelayObjectives = 2.0  // minimum delay sample of a rejected request, in objectives
)

// class is a request class with its weight and with the dependence of its delay on the weight.
type class struct {
	Class
	index           int     // in the scheduler's classes and in the shard queues
	longestTimeout  float64 // longest time until the deadline of any request so far
	weight          float64
	delay           float64 // smoothed delay from arrival to answer
	slope           float64 // change of delay per change of weight
	sampleSum       float64 // sum of the delays since the last adaptation
	sampleCount     float64
	committedWeight float64 // weight before the last commit
	committedDelay  float64 // delay at the last commit
	weightChanged   bool    // by the last adaptation
}

// sampleDelay adds the delay of a request, from arrival to answer, to the samples of its class. The
// sample of an unserved request is its age plus the wait that the rejection avoided. Otherwise early
// rejections would hide that a class gets too little weight. Requests beyond the quota are not sampled,
// so that they do not influence the weights. Requests that waited for a node or for a rate limit are not
// sampled, because more weight would not shorten that wait. Retries by a client are not sampled, because
// all attempts of a client count as one request.
func (s *Scheduler) sampleDelay(r *request, avoidedWaitMs float64) {
	if r.chargedBand == bandBurst || r.isClientRetry || r.waitedForAdmission {
		return
	}
	r.class.sampleSum += math.Min(s.now-r.startedAt+avoidedWaitMs, r.class.Deadline)
	r.class.sampleCount++
}

// adaptAndReschedule adapts the weights and sets the time of the next adaptation. The interval doubles
// after a commit, so that the delays can settle, and otherwise returns to its initial value. The time is
// half a tick early, so that the tick at the end of the interval finds the adaptation due.
func (s *Scheduler) adaptAndReschedule() {
	if !s.adapt() {
		s.adaptInterval = ticksPerAdaptation * tickIntervalMs / 2
	}
	s.adaptInterval = math.Min(2*s.adaptInterval, maxAdaptIntervalMs)
	s.nextAdaptAt, s.nodeStalled = s.now+s.adaptInterval-tickIntervalMs/2, false
}

// adapt moves weight from the overweight classes to the underweight class that misses its objective by
// the largest ratio. It reports whether a donation was committed.
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

// updateDelay merges the samples since the last adaptation into the smoothed delay.
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

// donation returns the weight that the class gives of a requested amount. Its predicted delay stays
// within the objective.
func (c *class) donation(requested float64) float64 {
	amount := math.Min(requested, ((1-epsilon)*c.LatencyObjective-c.delay)/c.slope)
	return math.Min(beta*amount, c.weight-minClassWeight)
}

// commit changes the weight, and stores the previous weight and delay for the next refit of the slope.
func (c *class) commit(change float64) {
	c.committedWeight, c.committedDelay, c.weightChanged = c.weight, c.delay, true
	c.weight += change
}

// clearDelay resets the delay, so that the class requests no weight.
func (c *class) clearDelay() { c.delay, c.sampleSum, c.sampleCount, c.weightChanged = 0, 0, 0, false }
