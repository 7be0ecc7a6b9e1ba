package policy

import (
	"math"
	"slices"
)

const (
	deadlineMarginMs    = 4.0 // a waiting request is rejected this long before its client disconnects
	minLatencyShareLeft = 0.6 // the time until the objective must be at least this share of the expected latency
)

// admit queues an arriving request. It rejects a request of an unknown class or plan, without enough
// time before its deadline, or without a valid size. It fails one that an attempt would run a second time, because
// the client repeats a request that may have run and nodes discard the repeat no more.
func (s *Scheduler) admit(req *Request) {
	if s.requests[req.ID] != nil {
		return
	}
	s.firstRequestAt = math.Min(s.firstRequestAt, s.now)
	if s.settings.RetryBudgetWindow > 0 {
		s.retries.recordRequest(s.now)
	}
	c, plan := s.classByName[req.Class], s.planByName[req.Plan]
	hasTime, hasSize := req.Deadline > s.now+deadlineMarginMs, req.Units > 0 && !math.IsInf(req.Units, 0)
	if c == nil || plan == nil || !hasTime || !hasSize || s.isShardTableFull(req.Shard) {
		reason := ReasonInvalid
		if !hasTime {
			reason = ReasonNoTime
		}
		s.emit(Action{Kind: Reject, ID: req.ID, Reason: reason})
		return
	}
	r := s.newRequest(req, c)
	s.inheritPossibleRun(r)
	if !s.effectAllowsAttempt(r) {
		s.emit(Action{Kind: Fail, ID: req.ID, Reason: ReasonMayHaveRun})
		return
	}
	r.volume = s.volume(req.Volume, plan, req.Schedulers)
	s.chargeQuota(r)
	if r.isClientRetry {
		r.usageRank += clientRetryUsageRank
	}
	s.requests[r.id] = r
	s.addToOrderedKey(r)
	s.addToKey(r)
	if r.isNewObject {
		r.queue = s.placeNewObject(r)
	} else {
		r.queue = s.shardQueue(req.Shard)
		r.queue.recordRead(s.now)
	}
	s.enqueue(r)
}

func (s *Scheduler) newRequest(req *Request, c *class) *request {
	s.lastSequence++
	c.longestTimeout = math.Min(math.Max(c.longestTimeout, req.Deadline-s.now), c.Deadline)
	startedAt := s.firstAttemptTime(req, c.longestTimeout)
	idempotencyKey, hasIdempotencyKey := req.idempotencyKey()
	return &request{
		id: req.ID, class: c, key: req.Key, clientKey: requestKey{req.Class, req.Volume, req.Key}, units: req.Units,
		idempotencyKey: idempotencyKey, hasIdempotencyKey: hasIdempotencyKey,
		isNewObject: req.Shard < 0, sequence: s.lastSequence, maxAttempts: s.settings.MaxAttempts,
		startedAt: startedAt, isClientRetry: startedAt < s.now && !s.stall.resumed,
		objectiveAt: math.Min(startedAt+c.LatencyObjective, req.Deadline-deadlineMarginMs),
		deadline:    req.Deadline,
	}
}

// firstAttemptTime estimates the time of a client's first attempt. A request is a retry if it is marked
// as one, or if it has the key of a request that ended unserved and a deadline that is no later.
// Without a record of the unserved request, the age of a marked retry and of a request without a key
// is estimated from the time left until the deadline. The same holds for every request that arrives
// right after a stall of this scheduler.
// Trade-off: where clients do not mark retries, another client's request may be taken for a retry.
func (s *Scheduler) firstAttemptTime(req *Request, timeout float64) float64 {
	u, isKnown := s.unserved.get(requestKey{req.Class, req.Volume, req.Key})
	isRecent := isKnown && s.now-u.startedAt < s.classByName[req.Class].Deadline
	if isRecent && (req.ClientRetry || req.Deadline <= u.deadline+1) {
		return u.startedAt
	}
	if req.ClientRetry || req.Key == "" || s.stall.resumed {
		return math.Min(req.Deadline-timeout, s.now)
	}
	return s.now
}

// clientDisconnected ends a request whose client disconnected, and cancels its open attempts. The
// delay sample of the request is at least the objective. Otherwise a class whose clients give up early
// would appear to meet its objective.
func (s *Scheduler) clientDisconnected(r *request) {
	s.sampleDelay(r, math.Max(0, r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	for i, a := range r.attempts {
		if !a.open {
			continue
		}
		if age := s.now - a.sentAt; !a.transferring && !r.attemptWrittenOff && age > s.expectedLatency(a.node) {
			s.recordLatency(a.node, age, r.units)
		}
		if s.settings.MayCancel && !r.streaming {
			s.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
	s.recordUnserved(r)
	s.rememberPossibleRun(r)
	s.finish(r)
}

// queueEstimate is the expected service of the requests that wait for a shard.
type queueEstimate struct {
	serviceEstimate
	hasNode          bool    // the shard has a usable node that is not silent
	latencyLearnedAt float64 // time of the newest latency sample of its nodes
	totalWeight      float64 // of the classes with waiting requests
}

func (s *Scheduler) estimateQueue(q *shardQueue) queueEstimate {
	estimate := queueEstimate{serviceEstimate: s.estimateService(q), latencyLearnedAt: math.Inf(-1)}
	estimate.hasNode = slices.ContainsFunc(q.nodes, func(n *node) bool { return s.isUsable(n) && !n.silent })
	for _, n := range q.nodes {
		estimate.latencyLearnedAt = math.Max(estimate.latencyLearnedAt, n.latency.learnedAt)
	}
	for i, waiting := range q.byClass {
		if len(waiting) > 0 {
			estimate.totalWeight += s.classes[i].weight
		}
	}
	return estimate
}

// shedLoad rejects the requests that would gain nothing by waiting longer, so that their clients can
// retry elsewhere or later.
func (s *Scheduler) shedLoad(q *shardQueue) {
	estimate := s.estimateQueue(q)
	for i, c := range s.classes {
		unitsAhead := 0.0
		for _, r := range slices.Clone(q.byClass[i]) {
			unitsAhead += r.units
			r.waitedForAdmission = r.waitedForAdmission || !estimate.hasNode || !s.isReady(r)
			wait := math.Max(0, unitsAhead-r.units)*estimate.totalWeight/c.weight/estimate.unitsPerMs + estimate.nextFreeMs
			reason, shed := s.shouldShed(r, &estimate, wait)
			if !shed {
				continue
			}
			s.dequeue(r)
			unitsAhead -= r.units
			if r.openAttempts == 0 { // an open attempt may still serve the request
				s.rejectOrFail(r, wait, reason)
			}
		}
	}
}

// shouldShed reports whether a waiting request should be rejected, given its estimated wait, and why.
func (s *Scheduler) shouldShed(r *request, estimate *queueEstimate, wait float64) (reason Reason, shed bool) {
	isLast := s.now+sweepIntervalMs > r.deadline // the next review would be past the deadline
	wouldBeLate := r.band != bandReserved && s.now+wait+estimate.maxLatencyMs > r.objectiveAt
	isLateAtOverload := r.band == bandLate && r.queue.isOverloaded()
	isTooSlow := estimate.maxLatencyMs > s.latencyLimit(r, estimate.latencyLearnedAt) || s.now+minLatencyShareLeft*estimate.maxLatencyMs > r.objectiveAt
	switch {
	case isLast || s.now >= r.objectiveAt:
		return ReasonNoTime, true
	case isLateAtOverload:
		return ReasonOverloaded, true
	case isTooSlow:
		return ReasonNodeTooSlow, true
	case wouldBeLate:
		return ReasonQueueTooLong, true
	}
	return ReasonRateLimit, s.cannotGetTokens(r)
}

// rejectOrFail ends a request. It is rejected if its client may repeat it, and failed otherwise.
func (s *Scheduler) rejectOrFail(r *request, wait float64, reason Reason) {
	s.sampleDelay(r, math.Max(wait, rejectedDelayObjectives*r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	s.recordUnserved(r)
	isRemembered := s.rememberPossibleRun(r)
	if by := s.repeatBy(r); by > s.now && isRemembered {
		s.reject(r, wait, by, reason)
	} else {
		s.emit(Action{Kind: Fail, ID: r.id, Reason: reason})
	}
	s.finish(r)
}

// reject rejects a request whose client may repeat it until a time.
func (s *Scheduler) reject(r *request, wait, repeatBy float64, reason Reason) {
	a := Action{Kind: Reject, ID: r.id, Wait: s.retryAfter(wait), Reason: reason}
	if !math.IsInf(repeatBy, 1) {
		a.RepeatBy = repeatBy
		a.Wait = math.Min(a.Wait, repeatBy-s.now)
	}
	s.emit(a)
}

func (s *Scheduler) retryAfter(wait float64) float64 {
	if !s.settings.SendsRetryAfter {
		return 0
	}
	return math.Min(math.Max(wait, sweepIntervalMs), s.settings.MaxRetryAfter)
}
