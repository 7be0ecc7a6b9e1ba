package policy

import "math"

// volume tracks what a volume is due through this host.
type volume struct {
	plan           *Plan
	schedulers     int
	reservedTokens float64 // reserve, units
	limitTokens    float64 // limit, units
	refilledAt     float64
	usageLevel     float64 // use beyond the reserve, units over usageWindowMs
}

// volumeKey is a volume on a plan: a volume that is asked for on another plan has that plan's figures, and none of the first's.
type volumeKey struct{ volume, plan string }

func (s *Scheduler) volume(id string, plan *Plan, hosts int) *volume {
	v := s.volumes[volumeKey{id, plan.Name}]
	if v == nil {
		// A restarted host cannot know what it spent: the limit's store was empty at its first
		// request of all. Since then only this host has drawn on its part, and not for this volume.
		v = &volume{plan: plan, refilledAt: s.now}
		if !s.handedOver {
			v.limitTokens = s.unusedLimitTokens(plan) / float64(max(hosts, 1))
		}
		s.volumes[volumeKey{id, plan.Name}] = v
		s.volumeOrder = append(s.volumeOrder, v)
		v.schedulers = max(hosts, 1)
		v.reservedTokens = (plan.ReservedRate + s.settings.MaxUnits) / float64(v.schedulers)
	}
	v.schedulers = max(hosts, 1)
	return v
}

func (s *Scheduler) refill(v *volume) {
	gone := s.now - v.refilledAt
	v.refilledAt = s.now
	part := 1 / float64(v.schedulers)
	v.reservedTokens = math.Min(v.reservedTokens+v.plan.ReservedRate*part*gone/1000, v.plan.ReservedRate*part+s.settings.MaxUnits)
	if !s.handedOver {
		v.limitTokens = math.Min(v.limitTokens+v.plan.RateLimit*part*gone/1000, v.plan.LimitBurst*part)
	}
	v.usageLevel *= math.Exp(-gone / usageWindowMs)
}

// chargeQuota ranks a request on arrival, as worth is due by second of arrival.
func (s *Scheduler) chargeQuota(r *request) {
	v := r.volume
	s.refill(v)
	if v.reservedTokens >= r.units {
		v.reservedTokens -= r.units
		r.band, r.chargedBand = bandReserved, bandReserved
		return
	}
	sum, n := 0.0, 1e-9
	for _, o := range s.volumeOrder {
		if o.usageLevel > 0 && s.now-o.refilledAt < usageWindowMs {
			sum, n = sum+o.usageLevel/o.fairWeight(), n+1
		}
	}
	r.band, r.usageLevel = bandBurst, v.usageLevel/v.fairWeight()
	if r.usageLevel <= maxFairUsageRatio*sum/n || v.usageLevel < r.units {
		v.usageLevel += r.units
		r.band = bandFairShare
	}
	r.chargedBand = r.band
}

// fairWeight is the volume's weight at this host.
func (v *volume) fairWeight() float64 { return math.Max(v.plan.Weight, 1e-9) / float64(v.schedulers) }

// refund gives back what a request that was not served had been charged.
func (s *Scheduler) refund(r *request) {
	switch r.chargedBand {
	case bandReserved:
		r.volume.reservedTokens += r.units
	case bandFairShare:
		r.volume.usageLevel = math.Max(0, r.volume.usageLevel-r.units)
	}
}

// replacePlans takes new plans. What the stores of limits hold is carried over: they have filled by the old plan until now, and
// fill by the new one from now on, so that no change gives units that neither plan does.
func (s *Scheduler) replacePlans(plans []Plan) {
	planOf, filled := map[string]*Plan{}, map[string]timedUnits{}
	for i := range plans {
		p := &plans[i]
		planOf[p.Name] = p
		switch old := s.planByName[p.Name]; {
		case math.IsInf(s.firstRequestAt, 1): // no store fills yet
		case old == nil || old.RateLimit == 0:
			filled[p.Name] = timedUnits{at: s.now}
		default:
			filled[p.Name] = timedUnits{s.now, math.Min(s.unusedLimitTokens(old), p.LimitBurst)}
		}
	}
	s.planByName, s.limitCarryover = planOf, filled
	for _, v := range s.volumes {
		if p := s.planByName[v.plan.Name]; p != nil {
			s.changePlan(v, p)
		}
	}
}

// unusedLimitTokens is what the limit of a volume holds, over all hosts, that this instance has not heard of: since the first
// request of all, or the last change of its plan, only this host has drawn on its part, and not for this volume.
func (s *Scheduler) unusedLimitTokens(plan *Plan) float64 {
	from, ok := s.limitCarryover[plan.Name]
	if !ok {
		from.at = s.firstRequestAt
	}
	return math.Min(from.units+plan.RateLimit*(s.now-from.at)/1000, plan.LimitBurst)
}

// changePlan gives a volume another plan, or another definition of its plan.
func (s *Scheduler) changePlan(v *volume, plan *Plan) {
	if s.now-v.refilledAt >= usageWindowMs {
		v.usageLevel = 0 // it counted no more, and must not again for the refill
	}
	s.refill(v)
	if v.plan.RateLimit == 0 { // its store was not kept
		v.limitTokens = 0
	}
	v.plan = plan
	if plan.RateLimit > 0 {
		v.limitTokens = math.Min(v.limitTokens, plan.LimitBurst/float64(v.schedulers))
	}
}

// HandOver tells the instance that another process of its host serves from now on, with stores of
// limits that start empty. This one's are no longer refilled; what they hold may be spent, and a request
// that would wait for more is refused: its client finds it at the other process. Together the two
// never hold more than one instance would.
func (s *Scheduler) HandOver() { s.handedOver = true }
