package policy

import "math"

type class struct {
	Class
	index           int
	longestTimeout  float64 // longest time a client has given
	weight          float64
	delay           float64
	slope           float64
	sampleSum       float64 // of samples since the last adaptation
	sampleCount     float64
	committedWeight float64 // share and delay at the last commit
	committedDelay  float64
	weightChanged   bool
}

// adapt lets the worst underweight class borrow from the overweight ones.
func (s *Scheduler) adapt() bool {
	var worst *class
	for _, c := range s.classes {
		if c.sampleCount > 0 {
			mean := c.sampleSum / c.sampleCount
			if c.delay == 0 {
				c.delay = mean
			}
			c.delay = alpha*c.delay + (1-alpha)*mean
		}
		c.sampleSum, c.sampleCount = 0, 0
		if c.slope == 0 && c.delay > 0 {
			c.slope = math.Max(c.delay/c.weight, minSlope)
		}
		dw, dd := math.Abs(c.weight-c.committedWeight), math.Abs(c.delay-c.committedDelay)
		if c.weightChanged && !s.stallSeen && dw > 1e-6 && dd > 1e-6 {
			c.slope = math.Max(dd/dw, minSlope)
		}
		c.weightChanged = false
		if c.delay >= (1+epsilon)*c.LatencyObjective && (worst == nil || c.delay/c.LatencyObjective > worst.delay/worst.LatencyObjective) {
			worst = c
		}
	}
	if worst == nil {
		return false
	}
	surplus, total := make([]float64, len(s.classes)), 0.0
	for i, c := range s.classes {
		if c.delay > 0 && c.delay <= (1-epsilon)*c.LatencyObjective {
			surplus[i] = (c.LatencyObjective - c.delay) / c.slope
			total += surplus[i]
		}
	}
	need, got := (worst.delay-worst.LatencyObjective)/worst.slope, 0.0
	for i, c := range s.classes {
		if surplus[i] == 0 {
			continue
		}
		give := math.Min(need*surplus[i]/total, ((1-epsilon)*c.LatencyObjective-c.delay)/c.slope)
		give = math.Min(beta*give, c.weight-minClassWeight)
		if give > 0 {
			c.committedWeight, c.committedDelay, c.weightChanged = c.weight, c.delay, true
			c.weight -= give
			got += give
		}
	}
	if got == 0 {
		return false
	}
	worst.committedWeight, worst.committedDelay, worst.weightChanged = worst.weight, worst.delay, true
	worst.weight += got
	return true
}

// sampleDelay takes a delay from arrival to answer; what went unserved counts at its age with
// the wait it was spared, or early refusals make a starved class look healthy. Demand
// beyond entitlement steers nothing, nor does a wait for a node to come or for a limit: no
// share shortens it. Harm: a shard without a node for long is no reason to borrow.
func (s *Scheduler) sampleDelay(r *request, spared float64) {
	if r.chargedBand != bandBurst && !r.isClientRetry && !r.waitedForAdmission { // a client's tries are one request
		r.class.sampleSum += math.Min(s.now-r.startedAt+spared, r.class.Deadline)
		r.class.sampleCount++
	}
}
