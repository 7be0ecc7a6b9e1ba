package policy

import "math"

type timedUnits struct{ at, units float64 }

// sumUnitsSince drops the flows before a time and sums the rest.
func sumUnitsSince(fs *[]timedUnits, from float64) (sum float64) {
	for len(*fs) > 0 && (*fs)[0].at < from {
		*fs = (*fs)[1:]
	}
	for _, f := range *fs {
		sum += f.units
	}
	return sum
}

// slowStartAllows keeps nodes in slow start under what they bear from all hosts, none of which knows what
// another sends. For each OverloadWindow a host draws its part of what all cold nodes bear, rounded by chance; what
// is left is lost, or an idle fleet would send all it saved at once. A node gets its own part of it, or
// one request in turn. An answer in good time and a part of the answers let more go, bounded by what the
// node serves. Harm: too much goes to one of many cold nodes if all hosts ask for it at once.
func (s *Scheduler) slowStartAllows(n *node, units float64) bool {
	if s.now-n.startedAt > s.settings.SlowStartDuration || s.mayFollowAnswer(n) {
		return true
	}
	if s.now >= s.slowStartDueAt {
		s.drawSlowStartAllowance(units)
	}
	sent, served := sumUnitsSince(&n.recentSent, s.now-s.settings.OverloadWindow), sumUnitsSince(&n.recentServed, s.now-s.settings.OverloadWindow)
	shown, part := slowStartOverloadShare*s.settings.OverloadMultiple*served, s.slowStartShare(n)
	slot := s.settings.OverloadWindow * units * s.schedulersPerNode / s.slowStartCapacity(n, (n.slotStartAt+s.now)/2) * (1 - part/s.slowStartQuota)
	return sent+units <= shown || units <= s.slowStartLeft &&
		(sent == 0 && s.now-n.slotStartAt >= n.slotFactor*slot || sent+units <= part+shown)
}

// mayFollowAnswer says that a request may go to a cold node by its last answer alone.
func (s *Scheduler) mayFollowAnswer(n *node) bool {
	return n.lastAnswerTimely && len(n.inFlight) == 0 && s.now-n.lastHeardAt < s.settings.OverloadWindow
}

// drawSlowStartAllowance draws the allowance, the first one late where it is below a request: hosts would begin at once.
func (s *Scheduler) drawSlowStartAllowance(units float64) {
	s.slowStartQuota = s.totalSlowStartShare()
	s.slowStartDueAt += s.slowStartFirstDelay * math.Max(0, 1-s.slowStartQuota/s.settings.MeanUnits) / 2
	if s.slowStartFirstDelay, s.slowStartLeft = 0, 0; s.now >= s.slowStartDueAt {
		s.slowStartDueAt, s.slowStartLeft = s.now+s.settings.OverloadWindow, units*math.Floor(s.slowStartQuota/units+s.rng.Float64())
	}
}

// slowStartShare is this host's part of what a cold node bears within OverloadWindow: of all hosts if its reads of the
// shard began within that span, else of its like, as far as known, or of what the shard answered it.
func (s *Scheduler) slowStartShare(n *node) float64 {
	bears, mean, hosts := s.slowStartCapacity(n, s.now), s.settings.MeanUnits, float64(s.settings.Schedulers)
	slack := math.Sqrt(bears * mean)
	if hosts < smallFleet {
		slack = smallFleetSlackFactor * (slack + mean)
	}
	part := math.Max(newShardFleetShare*bears/hosts, math.Min((newShardFleetShare*bears+slack)/hosts, mean))
	l := s.queueByShard[n.Shard]
	if l == nil || s.now-l.readingSince < s.settings.OverloadWindow || s.now-l.lastReadAt > shardReadWindowMs {
		return part
	}
	part = math.Max(part, bears/math.Max(s.schedulersPerNode, hosts/popularShardDivisor))
	return math.Max(part, answeredGrowthFactor*s.warmShare(n, s.now)*l.recentAnsweredUnits(s.now)*s.settings.OverloadWindow/shardReadWindowMs)
}

// totalSlowStartShare is this host's part of what all nodes in slow start bear.
func (s *Scheduler) totalSlowStartShare() (sum float64) {
	for _, n := range s.listedNodes {
		if n.State == NodeUp && s.now-n.startedAt <= s.settings.SlowStartDuration {
			sum += s.slowStartShare(n)
		}
	}
	return sum
}

func (s *Scheduler) beginSlowStart(n *node, at float64) {
	n.startedAt, n.window, n.lastAnswerTimely = at, math.Min(minWindow, n.window), false
	n.slotStartAt, n.slotFactor = math.Max(at, s.now), s.rng.Float64()
	n.epochLatency, n.epochUnits, n.epochAnswers = 0, 0, 0
	if s.now >= s.slowStartDueAt {
		s.slowStartDueAt, s.slowStartFirstDelay = s.now, s.rng.Float64()*s.settings.OverloadWindow
	}
}

// warmShare is the part of its capacity that a node has at least at a time, by its age.
func (s *Scheduler) warmShare(n *node, at float64) float64 {
	from, age := math.Max(s.settings.SlowStartShare, minSlowStartShare), math.Max(0, at-n.startedAt)/s.settings.SlowStartDuration
	return from + (1-from)*age
}

// slowStartCapacity is the units that a cold node bears at a time from all hosts within OverloadWindow, by its age.
func (s *Scheduler) slowStartCapacity(n *node, at float64) float64 {
	return s.settings.SlowStartUnits * s.warmShare(n, at) / math.Max(s.settings.SlowStartShare, minSlowStartShare)
}

// countReadShards counts the shards with a node, and those of them named since a time.
func (s *Scheduler) countReadShards(from float64) (named, all float64) {
	for _, l := range s.shardQueues {
		if len(l.nodes) > 0 {
			all++
			if l.lastReadAt > from {
				named++
			}
		}
	}
	return named, all
}

// recordLatency is the units that the shard's nodes answered of late.
func (l *shardQueue) recentAnsweredUnits(now float64) float64 {
	return l.answeredUnits * math.Exp((l.answeredUnitsAt-now)/shardReadWindowMs)
}

// recordServed takes an answer into what the node has served.
func (s *Scheduler) recordServed(n *node, r *request) {
	n.answerCount++
	if l := s.queueByShard[n.Shard]; l != nil {
		l.answeredUnits, l.answeredUnitsAt = l.recentAnsweredUnits(s.now)+r.units, s.now
	}
	n.recentServed = append(n.recentServed, timedUnits{s.now, r.units})
	if s.now-n.startedAt > s.settings.SlowStartDuration {
		n.recentServed = n.recentServed[:0]
	}
}
