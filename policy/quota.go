package policy

import "math"

const (
	usageWindowMs     = 1000.0 // use beyond the reserved rate decays over this time
	clientRetryLevel  = 1e9    // added to the usage level of a client's retries: they go after others
	maxFairUsageRatio = 2.0    // use past this multiple of the mean volume's is burst
	minPlanWeight     = 1e-9
)

// tokenBucket holds units that may be used. It may be overdrawn.
type tokenBucket struct{ tokens float64 }

func (b *tokenBucket) add(units, capacity float64) { b.tokens = math.Min(b.tokens+units, capacity) }

// volume tracks the quota of a volume on a plan at this scheduler.
type volume struct {
	plan       *Plan
	schedulers int         // through which its requests come; each has an equal share of the quota
	reserved   tokenBucket // of the reserved rate
	limit      tokenBucket // of the rate limit
	refilledAt float64
	usageLevel float64 // use beyond the reserved rate, units over usageWindowMs
}

// volumeKey identifies a volume on a plan. A volume that is named with another plan has that plan's
// quota, and none of the first's.
type volumeKey struct{ volume, plan string }

// volume finds or makes the state of a volume on a plan. A restarted scheduler cannot know what it
// used: the rate limit's bucket counts as empty at the first request of all. Since then only this
// scheduler has used its share, and not for this volume.
func (s *Scheduler) volume(id string, plan *Plan, schedulers int) *volume {
	schedulers = max(schedulers, 1)
	key := volumeKey{id, plan.Name}
	v := s.volumes[key]
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

// refill brings the buckets and the usage of a volume up to date.
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

// isLimitFull reports whether the rate limit's bucket is as that of a volume not seen before.
func (v *volume) isLimitFull(now float64) bool {
	filled := v.limit.tokens + v.plan.RateLimit/float64(v.schedulers)*(now-v.refilledAt)/1000
	return v.plan.RateLimit == 0 || filled >= v.plan.LimitBurst/float64(v.schedulers)
}

// fairWeight is the volume's weight at this scheduler.
func (v *volume) fairWeight() float64 {
	return math.Max(v.plan.Weight, minPlanWeight) / float64(v.schedulers)
}

// chargeQuota ranks a request on arrival by the quota of its volume, and charges it.
func (s *Scheduler) chargeQuota(r *request) {
	v := r.volume
	s.refill(v)
	if v.reserved.tokens >= r.units {
		v.reserved.tokens -= r.units
		r.band, r.chargedBand = bandReserved, bandReserved
		return
	}
	sum, count := 0.0, 1e-9
	for _, other := range s.volumeOrder {
		if other.usageLevel > 0 && s.now-other.refilledAt < usageWindowMs {
			sum, count = sum+other.usageLevel/other.fairWeight(), count+1
		}
	}
	r.band, r.usageLevel = bandBurst, v.usageLevel/v.fairWeight()
	if r.usageLevel <= maxFairUsageRatio*sum/count || v.usageLevel < r.units {
		v.usageLevel += r.units
		r.band = bandFairShare
	}
	r.chargedBand = r.band
}

// refund returns what a request that was not served had been charged.
func (s *Scheduler) refund(r *request) {
	switch r.chargedBand {
	case bandReserved:
		r.volume.reserved.tokens += r.units
	case bandFairShare:
		r.volume.usageLevel = math.Max(0, r.volume.usageLevel-r.units)
	}
}

// lacksTokensForever reports whether the rate limit's bucket has too little for a request and is no
// longer refilled.
func (s *Scheduler) lacksTokensForever(r *request) bool {
	return s.handedOver && r.volume.plan.RateLimit > 0 && !r.limitCharged && r.volume.limit.tokens < r.units
}

// HandOver tells the instance that another process of the same instance serves from now on, with
// empty buckets of rate limits. This one's are no longer refilled: what they hold may be used, and a
// request that would wait for more is rejected, as its client finds the other process. Together the
// two never hold more tokens than one instance would.
func (s *Scheduler) HandOver() { s.handedOver = true }

// unusedLimitTokens is what the rate limit of a volume unknown to this instance holds, over all
// schedulers, since the first request of all or the last change of its plan.
func (s *Scheduler) unusedLimitTokens(plan *Plan) float64 {
	from, ok := s.limitCarryover[plan.Name]
	if !ok {
		from.at = s.firstRequestAt
	}
	return math.Min(from.units+plan.RateLimit*(s.now-from.at)/1000, plan.LimitBurst)
}

// replacePlans takes new plans. The buckets of rate limits keep what they hold: they were filled by
// the old plan until now, and are filled by the new one from now on, so that no change gives tokens
// that neither plan does.
func (s *Scheduler) replacePlans(plans []Plan) {
	planByName, carryover := map[string]*Plan{}, map[string]timedUnits{}
	for i := range plans {
		p := &plans[i]
		planByName[p.Name] = p
		switch old := s.planByName[p.Name]; {
		case math.IsInf(s.firstRequestAt, 1): // no bucket is filled yet
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

// changePlan gives a volume another definition of its plan.
func (s *Scheduler) changePlan(v *volume, plan *Plan) {
	if s.now-v.refilledAt >= usageWindowMs {
		v.usageLevel = 0 // it no longer counted, and must not count again because of the refill
	}
	s.refill(v)
	if v.plan.RateLimit == 0 { // its bucket was not maintained
		v.limit.tokens = 0
	}
	v.plan = plan
	if plan.RateLimit > 0 {
		v.limit.tokens = math.Min(v.limit.tokens, plan.LimitBurst/float64(v.schedulers))
	}
}
