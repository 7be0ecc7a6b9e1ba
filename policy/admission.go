package policy

import (
	"math"
	"slices"
)

// admit takes a request; one of an unknown class or plan or with no time left is refused.
func (s *Scheduler) admit(q *Request) {
	if s.requests[q.ID] != nil {
		return
	}
	if s.firstRequestAt = math.Min(s.firstRequestAt, s.now); s.settings.RetryBudgetWindow > 0 {
		s.arrivalTimes = append(s.arrivalTimes, s.now)
	}
	c, plan := s.classByName[q.Class], s.planByName[q.Plan]
	timely, sized := q.Deadline > s.now+deadlineMarginMs, q.Units > 0 && !math.IsInf(q.Units, 0)
	if c == nil || plan == nil || !timely || !sized {
		s.emit(Action{Kind: Reject, ID: q.ID})
		return
	}
	s.lastSequence++
	r := &request{id: q.ID, class: c, key: q.Key, units: q.Units, deadline: q.Deadline, sequence: s.lastSequence,
		isNewObject: q.Shard < 0, origin: requestKey{q.Class, q.Volume, q.Key}, maxAttempts: s.settings.MaxAttempts}
	c.longestTimeout = math.Min(math.Max(c.longestTimeout, q.Deadline-s.now), c.Deadline)
	r.startedAt = s.firstAttemptTime(q, c.longestTimeout)
	r.isClientRetry = r.startedAt < s.now && !s.resumedFromStall
	r.objectiveAt = math.Min(r.startedAt+c.LatencyObjective, q.Deadline-deadlineMarginMs)
	r.volume = s.volume(q.Volume, plan, q.Schedulers)
	if s.chargeQuota(r); r.isClientRetry {
		r.usageLevel += clientRetryLevel
	}
	s.requests[r.id] = r
	s.joinOrderedKey(r)
	if r.isNewObject {
		r.queue = s.placeNewObject(r)
	} else {
		r.queue = s.shardQueue(q.Shard)
		if s.now-r.queue.lastReadAt > shardReadWindowMs {
			r.queue.readingSince = s.now
		}
		r.queue.lastReadAt = s.now
	}
	s.enqueue(r)
}

// firstAttemptTime is the time of a client's first try. A further try is marked, or has the key of
// one that went unserved and ends no later; without that memory the time left tells the
// age. Harm: where none are marked, another client's request may pass for a repeat.
func (s *Scheduler) firstAttemptTime(q *Request, span float64) float64 {
	m, known := s.unserved[requestKey{q.Class, q.Volume, q.Key}]
	switch {
	case known && s.now-m.startedAt < s.classByName[q.Class].Deadline && (q.ClientRetry || q.Deadline <= m.endsAt+1):
		return m.startedAt
	case q.ClientRetry || q.Key == "" || s.resumedFromStall:
		return math.Min(q.Deadline-span, s.now)
	}
	return s.now
}

// clientDisconnected takes a client's departure: work still out is called off, as a node may drop it.
// A class whose clients lose patience must not look healthy: it counts at the aim.
func (s *Scheduler) clientDisconnected(r *request) {
	s.sampleDelay(r, math.Max(0, r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	for i, t := range r.attempts {
		if age := s.now - t.sentAt; t.open && !r.attemptLost && age > s.expectedLatency(t.node) {
			s.recordLatency(t.node, age, r.units)
		}
		if t.open && s.settings.MayCancel && !r.streaming {
			s.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
	s.rememberUnserved(r)
	s.finish(r)
}

// shedLoad refuses at once what has no use in waiting: the client may come back later.
func (s *Scheduler) shedLoad(l *shardQueue) {
	rate, base, next := s.serviceRate(l)
	up := slices.ContainsFunc(l.nodes, func(n *node) bool { return s.usable(n) && !n.silent })
	sum, heard := 0.0, math.Inf(-1)
	for _, n := range l.nodes {
		heard = math.Max(heard, n.latencyLearnedAt)
	}
	for i, q := range l.byClass {
		if len(q) > 0 {
			sum += s.classes[i].weight
		}
	}
	for i := range l.byClass {
		c := s.classes[i]
		mine := 0.0
		for _, r := range slices.Clone(l.byClass[i]) {
			mine += r.units
			r.waitedForAdmission = r.waitedForAdmission || !up || !s.ready(r)
			wait := math.Max(0, mine-r.units)*sum/c.weight/rate + next
			early := r.band != bandReserved && s.now+wait+base > r.objectiveAt
			late := r.band == bandLate && l.overloaded()
			spent := s.handedOver && r.volume.plan.RateLimit > 0 && !r.limitCharged && r.volume.limitTokens < r.units
			if early || late || spent || s.now >= r.objectiveAt || base > s.latencyLimit(r, heard) ||
				s.now+minLatencyShareLeft*base > r.objectiveAt || s.now+sweepIntervalMs > r.deadline { // its last review
				s.dequeue(r)
				mine -= r.units
				if r.openAttempts == 0 { // else its first attempt may still serve it
					s.rejectOrFail(r, wait)
				}
			}
		}
	}
}

// rejectOrFail answers for a request: refused if it never ran or may run again anywhere, else failed.
func (s *Scheduler) rejectOrFail(r *request, wait float64) {
	s.sampleDelay(r, math.Max(wait, rejectedDelayObjectives*r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	s.rememberUnserved(r)
	if r.mayHaveRunOn == nil || r.class.Effect == Idempotent || r.class.Effect == IdempotentByKey && r.class.DedupScope == DedupAll {
		hold := 0.0
		if s.settings.SendsRetryAfter {
			hold = math.Min(math.Max(wait, sweepIntervalMs), s.settings.MaxRetryAfter)
		}
		s.emit(Action{Kind: Reject, ID: r.id, Wait: hold})
	} else {
		s.emit(Action{Kind: Fail, ID: r.id})
	}
	s.finish(r)
}
