package policy

import (
	"math"
	"slices"
)

// retryBudget bounds retries and hedges to a share of the requests of a time window.
type retryBudget struct {
	requestTimes []float64
	retryTimes   []float64
}

func (b *retryBudget) noteRequest(now float64) { b.requestTimes = append(b.requestTimes, now) }

func (b *retryBudget) noteRetry(now float64) { b.retryTimes = append(b.retryTimes, now) }

// expireRequests drops the requests that are as old as the window.
func (b *retryBudget) expireRequests(now, window float64) {
	for len(b.requestTimes) > 0 && b.requestTimes[0] <= now-window {
		b.requestTimes = b.requestTimes[1:]
	}
}

// allows reports whether one more retry fits the budget of the settings.
func (b *retryBudget) allows(now float64, set *Settings) bool {
	for len(b.retryTimes) > 0 && b.retryTimes[0] < now-set.RetryBudgetWindow {
		b.retryTimes = b.retryTimes[1:]
	}
	b.expireRequests(now, set.RetryBudgetWindow)
	return float64(len(b.retryTimes)+1) <= set.RetryBudgetMin+set.RetryBudgetShare*float64(len(b.requestTimes))
}

// ready reports whether a request may be sent now: its ordered key, rate limit and attempts allow it.
func (s *Scheduler) ready(r *request) bool {
	if r.class.Ordered && r.key != "" {
		key := s.orderedKeys[r.key]
		if key.waiting[0] != r || s.now < key.backoffUntil {
			return false
		}
	}
	if r.volume.plan.RateLimit > 0 && !r.limitCharged {
		s.refill(r.volume)
		if r.volume.limit.tokens < r.units {
			return false
		}
	}
	return len(r.attempts) == 0 || s.mayRetry(r)
}

// mayRetry reports whether a further attempt is allowed by count, effect and budget.
func (s *Scheduler) mayRetry(r *request) bool {
	isHedge := r.openAttempts == 1 && r.attemptLost && s.settings.MayHedge
	if r.openAttempts > 0 && !isHedge {
		return false
	}
	if len(r.attempts) >= min(r.maxAttempts, s.settings.MaxAttempts) {
		return false
	}
	if r.mayHaveRunOn != nil {
		if r.class.Effect == NonIdempotent {
			return false
		}
		if r.class.Effect == IdempotentByKey && s.now >= r.mayHaveRunSince+r.class.DedupWindow {
			return false
		}
	}
	return s.settings.RetryBudgetWindow <= 0 || s.retries.allows(s.now, &s.settings)
}

// send sends a request to a node.
func (s *Scheduler) send(r *request, n *node) {
	if len(r.attempts) > 0 && s.settings.RetryBudgetWindow > 0 {
		s.retries.noteRetry(s.now)
	}
	if !r.limitCharged {
		r.limitCharged = true
		r.volume.limit.tokens -= r.units
	}
	startBy := 0.0 // a retry may wait for a connection, and nodes remember a key only for the window
	if r.class.Effect == IdempotentByKey && r.mayHaveRunOn != nil {
		startBy = r.mayHaveRunSince + r.class.DedupWindow
	}
	s.addInFlight(r, n)
	s.emit(Action{Kind: Send, ID: r.id, Node: n.ID, Deadline: r.deadline, StartBy: startBy})
}

// attemptEnded takes the end of an attempt: what it tells of the node, and what follows for the
// request.
func (s *Scheduler) attemptEnded(ev *Event) {
	r := s.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	a := &r.attempts[ev.Attempt]
	a.open = false
	r.openAttempts--
	n := a.node
	if !a.lost {
		n.removeInFlight(r)
	}
	n.nextSendAt = math.Max(n.nextSendAt, s.now+s.sendGap(n))
	s.learnFromOutcome(r, a, ev)
	s.noteMayHaveRun(r, a, ev.Status)
	if ev.Finished && !r.done {
		s.settle(r, ev.Status)
	}
	if r.done || ev.Finished {
		s.finish(r)
		return
	}
	if r.openAttempts == 0 && !r.queued { // otherwise a hedge is in flight or waits
		s.retryOrReject(r, n)
	}
}

// noteMayHaveRun remembers an attempt that may have run though its answer does not tell.
func (s *Scheduler) noteMayHaveRun(r *request, a *attempt, status Status) {
	if !slices.Contains([]Status{Errored, TimedOut, ConnectionReset, Cancelled}, status) {
		return
	}
	r.mayHaveRunOn = a.node
	if r.mayHaveRunSince == 0 {
		r.mayHaveRunSince = a.sentAt
	}
	if key := s.orderedKeys[r.key]; key != nil && r.class.Ordered && status != Errored {
		key.backoffUntil = math.Max(key.backoffUntil, s.now+s.settings.OrderedKeyBackoff)
	}
}

// settle accounts for a request whose client received its response.
func (s *Scheduler) settle(r *request, status Status) {
	if status != OK {
		s.refund(r)
		s.rememberUnserved(r)
	}
	r.isClientRetry = r.isClientRetry && status != OK // a served retry counts with its whole age
	s.sampleDelay(r, 0)
}

// retryOrReject queues a request again if the rules allow it and its deadline can be met.
func (s *Scheduler) retryOrReject(r *request, n *node) {
	hasTime := s.now+math.Max(s.expectedLatency(n), deadlineMarginMs) < r.deadline
	if !r.attemptCancelled && !r.streaming && hasTime && s.mayRetry(r) {
		s.enqueue(r)
		return
	}
	s.rejectOrFail(r, 0)
}
