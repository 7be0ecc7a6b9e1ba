package policy

import "math"

const (
	slowStartOverloadShare = 0.5    // units sent may reach this share of OverloadMultiple times the units served
	minSlowStartShare      = 0.1    // minimum for the capacity share of a node at its start
	shardReadWindowMs      = 20e3   // this scheduler counts as a reader of a shard for this time after a request named it
	newShardFleetShare     = 0.75   // share of a node's capacity that all schedulers new to its shard may use together
	smallFleet             = 30     // schedulers; smaller fleets get more slack for random variation
	smallFleetSlackFactor  = 2.5    // slack of small fleets relative to large ones
	answeredShareFactor    = 2.0    // multiple of the rate of answered units that is allowed at a warmed up node
	minReadersDivisor      = 1.5    // the fleet size divided by this is the assumed minimum number of schedulers that read a shard
	restartSuspectMs       = 3000.0 // a node that answers after a silence of this length may have restarted
)

// timedUnits are units with the time at which they were sent, served or counted.
type timedUnits struct{ at, units float64 }

// sumUnitsSince removes the entries before a time and returns the sum of the others.
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
	startedAt      float64 // start of the slow start; negative infinity: there was none
	slotStartAt    float64 // time from which the wait for the next slot counts
	slotFactor     float64 // random multiple of slotDuration after which the next slot is due
	answeredInTime bool    // the last answer was fast enough, and nothing was sent since
	recentSent     []timedUnits
	recentServed   []timedUnits
}

// slowStartAllowance holds the units that this scheduler may send to all nodes in slow start within one
// OverloadWindow. Units that remain at the end of the window expire.
type slowStartAllowance struct {
	quota         float64 // this scheduler's share of the capacity of all nodes in slow start, at the last renewal
	remaining     float64 // units
	renewAt       float64 // time of the next renewal
	maxFirstDelay float64 // upper bound for the delay of the first renewal
}

// spend subtracts sent units from the allowance.
func (a *slowStartAllowance) spend(units float64) { a.remaining = math.Max(0, a.remaining-units) }

// renew replaces the remaining units by those of the next window. The first renewal is delayed if the
// quota is below one mean request. Otherwise all schedulers would start to send at the same time.
func (a *slowStartAllowance) renew(now, quota, units float64, s *Scheduler) {
	a.quota = quota
	a.renewAt += a.maxFirstDelay * math.Max(0, 1-quota/s.settings.MeanUnits) / 2
	a.maxFirstDelay, a.remaining = 0, 0
	if now >= a.renewAt {
		a.renewAt = now + s.settings.OverloadWindow
		a.remaining = units * math.Floor(quota/units+s.rng.Float64())
	}
}

// inSlowStart reports whether the node is still in slow start.
func (s *Scheduler) inSlowStart(n *node) bool {
	return s.now-n.slowStart.startedAt <= s.settings.SlowStartDuration
}

// slowStartAllows reports whether units may be sent to a node. It keeps the load that a node in slow
// start gets from all schedulers below its capacity, although no scheduler knows what the others send.
//
// For each OverloadWindow a scheduler gets an allowance: its share of the capacity of all nodes in slow
// start, rounded up or down at random to whole requests. Unused allowance expires. Otherwise a fleet
// that was idle would send all the units that it had saved at the same time. Out of the allowance, a
// node gets this scheduler's share of the node's own capacity, or one request per slot. Recently served
// units and a last answer that was in time allow more units, even if the allowance is used up. Both are
// limited by the rate at which the node serves.
// Trade-off: if all schedulers send their whole allowance to one of many nodes, the node gets too much.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	if !s.inSlowStart(n) || s.mayFollowAnswer(n) {
		return true
	}
	if s.now >= s.slowStart.renewAt {
		s.slowStart.renew(s.now, s.totalSlowStartShare(), units, s)
	}
	from := s.now - s.settings.OverloadWindow
	sent, served := sumUnitsSince(&n.slowStart.recentSent, from), sumUnitsSince(&n.slowStart.recentServed, from)
	provenUnits := slowStartOverloadShare * s.settings.OverloadMultiple * served
	if sent+units <= provenUnits {
		return true
	}
	if units > s.slowStart.remaining {
		return false
	}
	share := s.slowStartShare(n)
	slotDue := sent == 0 && s.now-n.slowStart.slotStartAt >= n.slowStart.slotFactor*s.slotDuration(n, units, share)
	return slotDue || sent+units <= share+provenUnits
}

// slotDuration returns the time in which each scheduler may send one request of a size to a node in
// slow start.
func (s *Scheduler) slotDuration(n *node, units, share float64) float64 {
	capacity := s.slowStartCapacity(n, (n.slowStart.slotStartAt+s.now)/2)
	return s.settings.OverloadWindow * units * s.schedulersPerNode / capacity * (1 - share/s.slowStart.quota)
}

// mayFollowAnswer reports whether the last answer of a node in slow start alone allows another request:
// it was in time and recent, and nothing is in flight.
func (s *Scheduler) mayFollowAnswer(n *node) bool {
	return n.slowStart.answeredInTime && len(n.inFlight) == 0 && s.now-n.lastReceivedAt < s.settings.OverloadWindow
}

// slowStartShare returns this scheduler's share, in units, of the capacity of a node in slow start
// within OverloadWindow. If this scheduler began to read the shard within that time, the capacity is
// divided among all schedulers. Otherwise it is divided among the estimated number of schedulers that
// read the shard. The share is larger if this scheduler recently got many answers from the shard.
func (s *Scheduler) slowStartShare(n *node) float64 {
	capacity, mean, fleet := s.slowStartCapacity(n, s.now), s.settings.MeanUnits, float64(s.settings.Schedulers)
	slack := math.Sqrt(capacity * mean)
	if fleet < smallFleet {
		slack = smallFleetSlackFactor * (slack + mean)
	}
	share := math.Max(newShardFleetShare*capacity/fleet, math.Min((newShardFleetShare*capacity+slack)/fleet, mean))
	q := s.queueByShard[n.Shard]
	if q == nil || s.now-q.readsStartedAt < s.settings.OverloadWindow || s.now-q.lastReadAt > shardReadWindowMs {
		return share
	}
	share = math.Max(share, capacity/math.Max(s.schedulersPerNode, fleet/minReadersDivisor))
	answered := answeredShareFactor * s.capacityShare(n, s.now) * q.recentAnsweredUnits(s.now)
	return math.Max(share, answered*s.settings.OverloadWindow/shardReadWindowMs)
}

// totalSlowStartShare returns this scheduler's share of the capacity of all nodes in slow start.
func (s *Scheduler) totalSlowStartShare() (sum float64) {
	for _, n := range s.listedNodes {
		if n.State == NodeUp && s.inSlowStart(n) {
			sum += s.slowStartShare(n)
		}
	}
	return sum
}

// beginSlowStart puts a node into slow start from a time on.
func (s *Scheduler) beginSlowStart(n *node, startedAt float64) {
	n.window.lowerToMin()
	n.window.epoch = windowEpoch{startAt: n.window.epoch.startAt}
	n.slowStart.startedAt, n.slowStart.answeredInTime = startedAt, false
	n.slowStart.slotStartAt, n.slowStart.slotFactor = math.Max(startedAt, s.now), s.rng.Float64()
	if s.now >= s.slowStart.renewAt {
		s.slowStart.renewAt, s.slowStart.maxFirstDelay = s.now, s.rng.Float64()*s.settings.OverloadWindow
	}
}

// capacityShare returns the minimum share of its full capacity that a node has at a time. It grows linearly
// with the node's age.
func (s *Scheduler) capacityShare(n *node, at float64) float64 {
	initialShare := math.Max(s.settings.SlowStartShare, minSlowStartShare)
	age := math.Max(0, at-n.slowStart.startedAt) / s.settings.SlowStartDuration
	return initialShare + (1-initialShare)*age
}

// slowStartCapacity returns the units that a node in slow start can take within OverloadWindow from all
// schedulers, given its age at a time.
func (s *Scheduler) slowStartCapacity(n *node, at float64) float64 {
	return s.settings.SlowStartUnits * s.capacityShare(n, at) / math.Max(s.settings.SlowStartShare, minSlowStartShare)
}

// countReadShards returns the number of shards that have a node, and how many of them requests have named
// since a time.
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

// recentAnsweredUnits returns the units that the shard's nodes answered, with a decay over
// shardReadWindowMs.
func (q *shardQueue) recentAnsweredUnits(now float64) float64 {
	return q.answeredUnits * math.Exp((q.answeredUnitsUpdatedAt-now)/shardReadWindowMs)
}

// recordServed adds an answered request to the units that the node and its shard have served.
func (s *Scheduler) recordServed(n *node, r *request) {
	n.answersReceived++
	if q := s.queueByShard[n.Shard]; q != nil {
		q.answeredUnits, q.answeredUnitsUpdatedAt = q.recentAnsweredUnits(s.now)+r.units, s.now
	}
	n.slowStart.recentServed = append(n.slowStart.recentServed, timedUnits{s.now, r.units})
	if !s.inSlowStart(n) {
		n.slowStart.recentServed = n.slowStart.recentServed[:0]
	}
}
