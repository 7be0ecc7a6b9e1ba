package policy

import (
	"math"
	"slices"
)

const (
	deadlineMarginMs    = 4.0 // a waiting request is answered this long before its client disconnects
	minLatencyShareLeft = 0.6 // share of the expected latency that must be left until the objective
)

// admit takes a request. One of an unknown class or plan, without time left or without a valid size
// is rejected.
func (s *Scheduler) admit(q *Request) {
	if s.requests[q.ID] != nil {
		return
	}
	s.firstRequestAt = math.Min(s.firstRequestAt, s.now)
	if s.settings.RetryBudgetWindow > 0 {
		s.retries.noteRequest(s.now)
	}
	c, plan := s.classByName[q.Class], s.planByName[q.Plan]
	hasTime, hasSize := q.Deadline > s.now+deadlineMarginMs, q.Units > 0 && !math.IsInf(q.Units, 0)
	if c == nil || plan == nil || !hasTime || !hasSize {
		s.emit(Action{Kind: Reject, ID: q.ID})
		return
	}
	r := s.newRequest(q, c)
	r.volume = s.volume(q.Volume, plan, q.Schedulers)
	s.chargeQuota(r)
	if r.isClientRetry {
		r.usageLevel += clientRetryLevel
	}
	s.requests[r.id] = r
	s.joinOrderedKey(r)
	if r.isNewObject {
		r.queue = s.placeNewObject(r)
	} else {
		r.queue = s.shardQueue(q.Shard)
		r.queue.noteRead(s.now)
	}
	s.enqueue(r)
}

func (s *Scheduler) newRequest(q *Request, c *class) *request {
	s.lastSequence++
	c.longestTimeout = math.Min(math.Max(c.longestTimeout, q.Deadline-s.now), c.Deadline)
	startedAt := s.firstAttemptTime(q, c.longestTimeout)
	return &request{
		id: q.ID, class: c, key: q.Key, origin: requestKey{q.Class, q.Volume, q.Key}, units: q.Units,
		isNewObject: q.Shard < 0, sequence: s.lastSequence, maxAttempts: s.settings.MaxAttempts,
		startedAt: startedAt, isClientRetry: startedAt < s.now && !s.stall.resumed,
		objectiveAt: math.Min(startedAt+c.LatencyObjective, q.Deadline-deadlineMarginMs),
		deadline:    q.Deadline,
	}
}

// firstAttemptTime is the time of a client's first attempt. A retry is marked as such, or has the key
// of a request that went unserved and a deadline that is no later. Where no such request is
// remembered, the time left tells the age.
// Trade-off: where retries are not marked, another client's request may pass for one.
func (s *Scheduler) firstAttemptTime(q *Request, timeout float64) float64 {
	u, isKnown := s.unserved[requestKey{q.Class, q.Volume, q.Key}]
	isRecent := isKnown && s.now-u.startedAt < s.classByName[q.Class].Deadline
	if isRecent && (q.ClientRetry || q.Deadline <= u.endsAt+1) {
		return u.startedAt
	}
	if q.ClientRetry || q.Key == "" || s.stall.resumed {
		return math.Min(q.Deadline-timeout, s.now)
	}
	return s.now
}

// clientDisconnected ends a request whose client disconnected, and cancels its open attempts. The
// request counts at the objective at least, so that a class whose clients give up does not look
// healthy.
func (s *Scheduler) clientDisconnected(r *request) {
	s.sampleDelay(r, math.Max(0, r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	for i, a := range r.attempts {
		if !a.open {
			continue
		}
		if age := s.now - a.sentAt; !r.attemptLost && age > s.expectedLatency(a.node) {
			s.recordLatency(a.node, age, r.units)
		}
		if s.settings.MayCancel && !r.streaming {
			s.emit(Action{Kind: Cancel, ID: r.id, Attempt: i})
		}
	}
	s.rememberUnserved(r)
	s.finish(r)
}

// queueOutlook is what a request that waits for a shard can expect.
type queueOutlook struct {
	serviceEstimate
	hasNode          bool    // a node may be used and is not silent
	latencyLearnedAt float64 // newest latency of its nodes
	totalWeight      float64 // of the classes that wait
}

func (s *Scheduler) outlook(q *shardQueue) queueOutlook {
	o := queueOutlook{serviceEstimate: s.estimateService(q), latencyLearnedAt: math.Inf(-1)}
	o.hasNode = slices.ContainsFunc(q.nodes, func(n *node) bool { return s.usable(n) && !n.silent })
	for _, n := range q.nodes {
		o.latencyLearnedAt = math.Max(o.latencyLearnedAt, n.latency.learnedAt)
	}
	for i, waiting := range q.byClass {
		if len(waiting) > 0 {
			o.totalWeight += s.classes[i].weight
		}
	}
	return o
}

// shedLoad rejects at once the requests that gain nothing by waiting: their clients may retry later.
func (s *Scheduler) shedLoad(q *shardQueue) {
	o := s.outlook(q)
	for i, c := range s.classes {
		unitsAhead := 0.0
		for _, r := range slices.Clone(q.byClass[i]) {
			unitsAhead += r.units
			r.waitedForAdmission = r.waitedForAdmission || !o.hasNode || !s.ready(r)
			wait := math.Max(0, unitsAhead-r.units)*o.totalWeight/c.weight/o.unitsPerMs + o.nextFreeMs
			if !s.shouldShed(r, &o, wait) {
				continue
			}
			s.dequeue(r)
			unitsAhead -= r.units
			if r.openAttempts == 0 { // otherwise an open attempt may still serve it
				s.rejectOrFail(r, wait)
			}
		}
	}
}

// shouldShed reports whether a waiting request should be given up, after an estimated wait.
func (s *Scheduler) shouldShed(r *request, o *queueOutlook, wait float64) bool {
	isLast := s.now+sweepIntervalMs > r.deadline // its last review
	wouldBeLate := r.band != bandReserved && s.now+wait+o.latencyMs > r.objectiveAt
	isLateAtOverload := r.band == bandLate && r.queue.overloaded()
	isTooSlow := o.latencyMs > s.latencyLimit(r, o.latencyLearnedAt) || s.now+minLatencyShareLeft*o.latencyMs > r.objectiveAt
	return isLast || wouldBeLate || isLateAtOverload || isTooSlow || s.now >= r.objectiveAt || s.lacksTokensForever(r)
}

// rejectOrFail answers for a request: rejected if it never ran or may run again anywhere, else failed.
func (s *Scheduler) rejectOrFail(r *request, wait float64) {
	s.sampleDelay(r, math.Max(wait, rejectedDelayObjectives*r.class.LatencyObjective-(s.now-r.startedAt)))
	s.refund(r)
	s.rememberUnserved(r)
	if r.mayRetryAnywhere() {
		s.emit(Action{Kind: Reject, ID: r.id, Wait: s.retryAfter(wait)})
	} else {
		s.emit(Action{Kind: Fail, ID: r.id})
	}
	s.finish(r)
}

func (s *Scheduler) retryAfter(wait float64) float64 {
	if !s.settings.SendsRetryAfter {
		return 0
	}
	return math.Min(math.Max(wait, sweepIntervalMs), s.settings.MaxRetryAfter)
}

func (r *request) mayRetryAnywhere() bool {
	return r.mayHaveRunOn == nil || r.class.Effect == Idempotent ||
		r.class.Effect == IdempotentByKey && r.class.DedupScope == DedupAll
}
