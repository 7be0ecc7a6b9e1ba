package policy

import "math"

const (
	usageWindowMs        = 1000.0 // time constant with which usage beyond the reserved rate decays
	clientRetryUsageRank = 1e9    // added to the usage rank of a client's retries, so that they come after others of equal band and price
	maxFairUsageRatio    = 2.0    // usage above this multiple of the mean usage of the active volumes is burst
	minPlanWeight        = 1e-9
)

// tokenBucket holds units that may be used. Its level may become negative.
type tokenBucket struct{ tokens float64 }

func (b *tokenBucket) add(units, capacity float64) { b.tokens = math.Min(b.tokens+units, capacity) }

// volume tracks the quota of a volume on a plan at this scheduler.
type volume struct {
	plan       *Plan
	schedulers int         // number of schedulers that get its requests; each has an equal share of the quota
	reserved   tokenBucket // of the reserved rate
	limit      tokenBucket // of the rate limit
	refilledAt float64
	usageLevel float64 // units used beyond the reserved rate, decaying over usageWindowMs
	evicted    bool    // to be removed from the table
}

// volumeKey identifies a volume on a plan. If requests name one volume with two plans, each pair has a
// quota of its own.
type volumeKey struct{ volume, plan string }

// volume returns the state of a volume on a plan, and creates it at the volume's first request. A
// scheduler cannot know how much of the rate limit was used before its restart. So the bucket of the
// rate limit counts as empty at the time of the scheduler's first request of any volume, and as filled
// since then: nobody else uses this scheduler's share, and this volume has not used it. Volumes for which
// the table has no room share one state for each plan.
func (s *Scheduler) volume(id string, plan *Plan, schedulers int) *volume {
	schedulers = max(schedulers, 1)
	key := volumeKey{id, plan.Name}
	v := s.volumes[key]
	if v == nil && !s.hasRoomForVolume() {
		key.volume = sharedVolume
		v = s.volumes[key]
	}
	if v == nil {
		v = &volume{plan: plan, refilledAt: s.now}
		if !s.handedOver {
			v.limit.tokens = s.unusedLimitTokens(plan) / float64(schedulers)
		}
		v.reserved.tokens = (plan.ReservedRate + s.settings.MaxUnits) / float64(schedulers)
		s.volumes[key] = v
		s.volumeOrder = append(s.volumeOrder, v)
	}
	v.schedulers = schedulers
	return v
}

// refill adds the tokens for the elapsed time to the buckets of a volume, and decays its usage.
func (s *Scheduler) refill(v *volume) {
	elapsed := s.now - v.refilledAt
	v.refilledAt = s.now
	share := 1 / float64(v.schedulers)
	v.reserved.add(v.plan.ReservedRate*share*elapsed/1000, v.plan.ReservedRate*share+s.settings.MaxUnits)
	if !s.handedOver {
		v.limit.add(v.plan.RateLimit*share*elapsed/1000, v.plan.LimitBurst*share)
	}
	v.usageLevel *= math.Exp(-elapsed / usageWindowMs)
}

// isLimitFull reports whether the bucket of the rate limit is full, as that of a volume without state
// would be. Such a volume can be evicted without a change of its limit.
func (v *volume) isLimitFull(now float64) bool {
	filled := v.limit.tokens + v.plan.RateLimit/float64(v.schedulers)*(now-v.refilledAt)/1000
	return v.plan.RateLimit == 0 || filled >= v.plan.LimitBurst/float64(v.schedulers)
}

// fairWeight returns the volume's weight in the fair sharing at this scheduler.
func (v *volume) fairWeight() float64 {
	return math.Max(v.plan.Weight, minPlanWeight) / float64(v.schedulers)
}

// chargeQuota sets the band of an arriving request by the quota of its volume, and charges the quota.
func (s *Scheduler) chargeQuota(r *request) {
	v := r.volume
	s.refill(v)
	if v.reserved.tokens >= r.units {
		v.reserved.tokens -= r.units
		r.band, r.chargedBand = bandReserved, bandReserved
		return
	}
	sum, count := s.meanUsage()
	r.band, r.usageRank = bandBurst, v.usageLevel/v.fairWeight()
	if r.usageRank <= maxFairUsageRatio*sum/count || v.usageLevel < r.units {
		v.usageLevel += r.units
		r.band = bandFairShare
	}
	r.chargedBand = r.band
}

// refund returns the quota that an unserved request was charged.
func (s *Scheduler) refund(r *request) {
	switch r.chargedBand {
	case bandReserved:
		r.volume.reserved.tokens += r.units
	case bandFairShare:
		r.volume.usageLevel = math.Max(0, r.volume.usageLevel-r.units)
	}
}

// cannotGetTokens reports whether the bucket of the rate limit has too few tokens for a request and is
// no longer refilled.
func (s *Scheduler) cannotGetTokens(r *request) bool {
	return s.handedOver && r.volume.plan.RateLimit > 0 && !r.limitCharged && r.volume.limit.tokens < r.units
}

// HandOver notifies the instance that another process of the same instance has taken over, with empty
// buckets of the rate limits. The buckets of this process are no longer refilled. Their remaining tokens
// may be used, and a request that would have to wait for more is rejected, because its client can reach
// the other process. Together the two processes never have more tokens than one instance would. A request
// that may have run is rejected no more if its class limits its repeats.
func (s *Scheduler) HandOver() { s.handedOver = true }

// unusedLimitTokens returns the tokens, over all schedulers, in the rate limit of a volume that has no
// state at this instance. They accumulate from the first request of any volume, or on top of the
// carryover from the last change of the plan.
func (s *Scheduler) unusedLimitTokens(plan *Plan) float64 {
	carryover, ok := s.limitCarryover[plan.Name]
	if !ok {
		carryover.at = s.firstRequestAt
	}
	return math.Min(carryover.units+plan.RateLimit*(s.now-carryover.at)/1000, plan.LimitBurst)
}

// replacePlans installs new plans. The buckets of rate limits are filled by the old plan until now and
// by the new plan from now on. So a change never adds tokens that neither plan allows.
func (s *Scheduler) replacePlans(plans []Plan) {
	planByName, carryover := map[string]*Plan{}, map[string]timedUnits{}
	for i := range plans {
		p := &plans[i]
		planByName[p.Name] = p
		switch old := s.planByName[p.Name]; {
		case math.IsInf(s.firstRequestAt, 1): // no bucket has been filled yet
		case old == nil || old.RateLimit == 0:
			carryover[p.Name] = timedUnits{at: s.now}
		default:
			carryover[p.Name] = timedUnits{s.now, math.Min(s.unusedLimitTokens(old), p.LimitBurst)}
		}
	}
	s.planByName, s.limitCarryover = planByName, carryover
	for _, v := range s.volumes {
		if p := s.planByName[v.plan.Name]; p != nil {
			s.changePlan(v, p)
		}
	}
}

// changePlan sets the new definition of a volume's plan.
func (s *Scheduler) changePlan(v *volume, plan *Plan) {
	if s.now-v.refilledAt >= usageWindowMs {
		v.usageLevel = 0 // too old to count as active; the refill below must not make it count again
	}
	s.refill(v)
	if v.plan.RateLimit == 0 { // the bucket was not maintained without a limit
		v.limit.tokens = 0
	}
	v.plan = plan
	if plan.RateLimit > 0 {
		v.limit.tokens = math.Min(v.limit.tokens, plan.LimitBurst/float64(v.schedulers))
	}
}
