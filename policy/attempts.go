package policy

import (
	"math"
	"slices"
)

// retryBudget limits retries and hedges to a share of the requests within a time window.
type retryBudget struct {
	requestTimes []float64
	retryTimes   []float64
}

// recordRequest counts an arriving request. At most maxCountedRequests of the window count.
func (b *retryBudget) recordRequest(now float64) {
	if len(b.requestTimes) < maxCountedRequests {
		b.requestTimes = append(b.requestTimes, now)
	}
}

func (b *retryBudget) recordRetry(now float64) { b.retryTimes = append(b.retryTimes, now) }

// expireRequests removes the requests that are at least as old as the window.
func (b *retryBudget) expireRequests(now, window float64) {
	for len(b.requestTimes) > 0 && b.requestTimes[0] <= now-window {
		b.requestTimes = b.requestTimes[1:]
	}
}

// allows reports whether the budget allows one more retry.
func (b *retryBudget) allows(now float64, settings *Settings) bool {
	for len(b.retryTimes) > 0 && b.retryTimes[0] < now-settings.RetryBudgetWindow {
		b.retryTimes = b.retryTimes[1:]
	}
	b.expireRequests(now, settings.RetryBudgetWindow)
	return float64(len(b.retryTimes)+1) <= settings.RetryBudgetMin+settings.RetryBudgetShare*float64(len(b.requestTimes))
}

// isReady reports whether the ordered key, the rate limit and the previous attempts of a request allow
// it to be sent now.
func (s *Scheduler) isReady(r *request) bool {
	if r.class.Ordered && r.key != "" {
		key := s.orderedKeys[r.key]
		if key.requests[0] != r || s.now < key.backoffUntil {
			return false
		}
	}
	if r.volume.plan.RateLimit > 0 && !r.limitCharged {
		s.refill(r.volume)
		if r.volume.limit.tokens < r.units {
			return false
		}
	}
	if len(r.attempts) == 0 {
		return s.effectAllowsAttempt(r)
	}
	return s.mayRetry(r)
}

// mayRetry reports whether the number of attempts, the effect of the class and the retry budget allow
// another attempt.
func (s *Scheduler) mayRetry(r *request) bool {
	isHedge := r.openAttempts == 1 && r.attemptWrittenOff && s.settings.MayHedge
	if r.openAttempts > 0 && !isHedge {
		return false
	}
	if len(r.attempts) >= min(r.maxAttempts, s.settings.MaxAttempts) {
		return false
	}
	if !s.effectAllowsAttempt(r) {
		return false
	}
	return s.settings.RetryBudgetWindow <= 0 || s.retries.allows(s.now, &s.settings)
}

// send sends a request to a node.
func (s *Scheduler) send(r *request, n *node) {
	if len(r.attempts) > 0 && s.settings.RetryBudgetWindow > 0 {
		s.retries.recordRetry(s.now)
	}
	if !r.limitCharged {
		r.limitCharged = true
		r.volume.limit.tokens -= r.units
	}
	startBy := 0.0 // a retry may wait for a connection, but nodes remember a key only within the deduplication window
	if r.class.Effect == IdempotentByKey && r.mayHaveRunOn != nil {
		startBy = r.mayHaveRunSince + r.class.DedupWindow
	}
	s.addInFlight(r, n)
	s.emit(Action{Kind: Send, ID: r.id, Node: n.ID, Deadline: r.deadline, StartBy: startBy})
}

// attemptEnded handles the end of an attempt. It updates what is known of the node, and then finishes,
// retries or rejects the request.
func (s *Scheduler) attemptEnded(ev *Event) {
	r := s.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.open = false
	r.openAttempts--
	n := a.node
	if !a.writtenOff {
		n.removeInFlight(r)
	}
	n.nextSendAt = math.Max(n.nextSendAt, s.now+s.sendGap(n))
	s.learnFromOutcome(r, a, ev)
	s.recordPossibleRun(r, a, ev.Status)
	if ev.Finished && !r.done {
		s.recordResponse(r, ev.Status)
	}
	if r.done || ev.Finished {
		s.finish(r)
		return
	}
	if r.openAttempts == 0 && !r.queued { // no hedge is in flight or queued
		s.retryOrReject(r, n)
	}
}

// recordPossibleRun records an attempt that may have run, judging by its status.
func (s *Scheduler) recordPossibleRun(r *request, a *attempt, status Status) {
	if !slices.Contains([]Status{Errored, TimedOut, ConnectionReset, Cancelled}, status) {
		return
	}
	if r.mayHaveRunOn == nil {
		r.mayHaveRunSince = a.sentAt
	}
	r.mayHaveRunOn = a.node
	if key := s.orderedKeys[r.key]; key != nil && r.class.Ordered && status != Errored {
		key.backoffUntil = math.Max(key.backoffUntil, s.now+s.settings.OrderedKeyBackoff)
	}
}

// recordResponse updates the quota and the delay statistics after a client received its response.
func (s *Scheduler) recordResponse(r *request, status Status) {
	if status != OK {
		s.refund(r)
		s.recordUnserved(r)
		s.rememberPossibleRun(r)
	}
	r.isClientRetry = r.isClientRetry && status != OK // a served retry is a delay sample, measured from the client's first attempt
	s.sampleDelay(r, 0)
}

// retryOrReject queues a request again if another attempt is allowed and can meet the deadline.
// Otherwise it rejects or fails the request.
func (s *Scheduler) retryOrReject(r *request, n *node) {
	hasTime := s.now+math.Max(s.expectedLatency(n), deadlineMarginMs) < r.deadline
	if !r.attemptCancelled && !r.streaming && hasTime && s.mayRetry(r) {
		s.enqueue(r)
		return
	}
	s.rejectOrFail(r, 0, ReasonAttemptFailed)
}
