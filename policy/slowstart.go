package policy

import "math"

const (
	slowStartOverloadShare = 0.5    // share of the overload multiple used over what a cold node has served
	minSlowStartShare      = 0.1    // least share of capacity assumed of a cold node
	shardReadWindowMs      = 20e3   // a shard that no request named for this long is not this scheduler's work
	newShardFleetShare     = 0.75   // share of a cold node's capacity that all schedulers new to its shard may use
	smallFleet             = 30     // schedulers; smaller fleets get more slack for chance
	smallFleetSlackFactor  = 2.5    // slack of small fleets relative to large ones
	answeredGrowthFactor   = 2.0    // of what the shard answered: allowed by its node's present capacity
	popularShardDivisor    = 1.5    // at least the fleet divided by this is assumed to read a shard
	restartSuspectMs       = 3000.0 // a node back from this much silence may have restarted
)

// timedUnits are units sent or served at one time.
type timedUnits struct{ at, units float64 }

// sumUnitsSince drops the entries before a time and sums the rest.
func sumUnitsSince(entries *[]timedUnits, from float64) (sum float64) {
	for len(*entries) > 0 && (*entries)[0].at < from {
		*entries = (*entries)[1:]
	}
	for _, e := range *entries {
		sum += e.units
	}
	return sum
}

// nodeSlowStart is the slow-start state of one node.
type nodeSlowStart struct {
	startedAt      float64 // the node is warming up from this time; negative infinity: warm
	slotStartAt    float64 // the node's next slot is counted from here
	slotFactor     float64 // and comes after this part of the time that a slot of each scheduler takes
	answeredInTime bool    // its last answer came in time, and nothing was sent since
	recentSent     []timedUnits
	recentServed   []timedUnits
}

// slowStartAllowance is what this scheduler may send to all nodes in slow start within one
// OverloadWindow. What is left at the end of the window expires.
type slowStartAllowance struct {
	quota      float64 // this scheduler's share of what all nodes in slow start bear, at the last draw
	left       float64 // units
	dueAt      float64 // time of the next draw
	firstDelay float64 // the first draw is delayed by a part of this
}

// spend takes sent units out of the allowance.
func (a *slowStartAllowance) spend(units float64) { a.left = math.Max(0, a.left-units) }

// draw renews the allowance. The first draw is delayed where the quota is below a request, because
// all schedulers would begin at once.
func (a *slowStartAllowance) draw(now, quota, units float64, s *Scheduler) {
	a.quota = quota
	a.dueAt += a.firstDelay * math.Max(0, 1-quota/s.settings.MeanUnits) / 2
	a.firstDelay, a.left = 0, 0
	if now >= a.dueAt {
		a.dueAt = now + s.settings.OverloadWindow
		a.left = units * math.Floor(quota/units+s.rng.Float64())
	}
}

// inSlowStart reports whether the node may still be warming up.
func (s *Scheduler) inSlowStart(n *node) bool {
	return s.now-n.slowStart.startedAt <= s.settings.SlowStartDuration
}

// slowStartAllows keeps nodes in slow start under what they bear from all schedulers, none of which
// knows what another sends. For each OverloadWindow a scheduler draws its share of what all cold
// nodes bear, rounded by chance; the rest expires, or an idle fleet would send all it saved at
// once. A node gets its own share of it, or one request per slot. An answer in time and a part of
// the answers allow more, bounded by what the node serves.
// Trade-off: one of many cold nodes gets too much if all schedulers ask for it at once.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	if !s.inSlowStart(n) || s.mayFollowAnswer(n) {
		return true
	}
	if s.now >= s.slowStart.dueAt {
		s.slowStart.draw(s.now, s.totalSlowStartShare(), units, s)
	}
	from := s.now - s.settings.OverloadWindow
	sent, served := sumUnitsSince(&n.slowStart.recentSent, from), sumUnitsSince(&n.slowStart.recentServed, from)
	shown := slowStartOverloadShare * s.settings.OverloadMultiple * served
	if sent+units <= shown {
		return true
	}
	if units > s.slowStart.left {
		return false
	}
	share := s.slowStartShare(n)
	slotDue := sent == 0 && s.now-n.slowStart.slotStartAt >= n.slowStart.slotFactor*s.slotDuration(n, units, share)
	return slotDue || sent+units <= share+shown
}

// slotDuration is the time in which each scheduler may send one request of a size to a cold node.
func (s *Scheduler) slotDuration(n *node, units, share float64) float64 {
	capacity := s.slowStartCapacity(n, (n.slowStart.slotStartAt+s.now)/2)
	return s.settings.OverloadWindow * units * s.schedulersPerNode / capacity * (1 - share/s.slowStart.quota)
}

// mayFollowAnswer reports whether a request may go to a cold node because of its last answer alone.
func (s *Scheduler) mayFollowAnswer(n *node) bool {
	return n.slowStart.answeredInTime && len(n.inFlight) == 0 && s.now-n.lastReceivedAt < s.settings.OverloadWindow
}

// slowStartShare is this scheduler's share, in units, of what a cold node bears within
// OverloadWindow: of all schedulers if its reads of the shard began within that time, else of those
// that read the shard, as far as known, or of what the shard answered it.
func (s *Scheduler) slowStartShare(n *node) float64 {
	capacity, mean, fleet := s.slowStartCapacity(n, s.now), s.settings.MeanUnits, float64(s.settings.Schedulers)
	slack := math.Sqrt(capacity * mean)
	if fleet < smallFleet {
		slack = smallFleetSlackFactor * (slack + mean)
	}
	share := math.Max(newShardFleetShare*capacity/fleet, math.Min((newShardFleetShare*capacity+slack)/fleet, mean))
	q := s.queueByShard[n.Shard]
	if q == nil || s.now-q.readingSince < s.settings.OverloadWindow || s.now-q.lastReadAt > shardReadWindowMs {
		return share
	}
	share = math.Max(share, capacity/math.Max(s.schedulersPerNode, fleet/popularShardDivisor))
	answered := answeredGrowthFactor * s.warmShare(n, s.now) * q.recentAnsweredUnits(s.now)
	return math.Max(share, answered*s.settings.OverloadWindow/shardReadWindowMs)
}

// totalSlowStartShare is this scheduler's share of what all nodes in slow start bear.
func (s *Scheduler) totalSlowStartShare() (sum float64) {
	for _, n := range s.listedNodes {
		if n.State == NodeUp && s.inSlowStart(n) {
			sum += s.slowStartShare(n)
		}
	}
	return sum
}

// beginSlowStart marks a node as warming up from a time.
func (s *Scheduler) beginSlowStart(n *node, startedAt float64) {
	n.window.lowerToMin()
	n.window.epoch = windowEpoch{startAt: n.window.epoch.startAt}
	n.slowStart.startedAt, n.slowStart.answeredInTime = startedAt, false
	n.slowStart.slotStartAt, n.slowStart.slotFactor = math.Max(startedAt, s.now), s.rng.Float64()
	if s.now >= s.slowStart.dueAt {
		s.slowStart.dueAt, s.slowStart.firstDelay = s.now, s.rng.Float64()*s.settings.OverloadWindow
	}
}

// warmShare is the share of its capacity that a node has at least at a time, by its age.
func (s *Scheduler) warmShare(n *node, at float64) float64 {
	from := math.Max(s.settings.SlowStartShare, minSlowStartShare)
	age := math.Max(0, at-n.slowStart.startedAt) / s.settings.SlowStartDuration
	return from + (1-from)*age
}

// slowStartCapacity is the units that a cold node bears at a time from all schedulers within
// OverloadWindow, by its age.
func (s *Scheduler) slowStartCapacity(n *node, at float64) float64 {
	return s.settings.SlowStartUnits * s.warmShare(n, at) / math.Max(s.settings.SlowStartShare, minSlowStartShare)
}

// countReadShards counts the shards with a node, and those of them that were read since a time.
func (s *Scheduler) countReadShards(from float64) (read, all float64) {
	for _, q := range s.shardQueues {
		if len(q.nodes) == 0 {
			continue
		}
		all++
		if q.lastReadAt > from {
			read++
		}
	}
	return read, all
}

// recentAnsweredUnits is the units that the shard's nodes answered, decaying over shardReadWindowMs.
func (q *shardQueue) recentAnsweredUnits(now float64) float64 {
	return q.answeredUnits * math.Exp((q.answeredUnitsAt-now)/shardReadWindowMs)
}

// recordServed takes an answer into what the node and its shard have served.
func (s *Scheduler) recordServed(n *node, r *request) {
	n.answerCount++
	if q := s.queueByShard[n.Shard]; q != nil {
		q.answeredUnits, q.answeredUnitsAt = q.recentAnsweredUnits(s.now)+r.units, s.now
	}
	n.slowStart.recentServed = append(n.slowStart.recentServed, timedUnits{s.now, r.units})
	if !s.inSlowStart(n) {
		n.slowStart.recentServed = n.slowStart.recentServed[:0]
	}
}
