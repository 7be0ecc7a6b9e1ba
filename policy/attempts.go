package policy

import (
	"math"
	"slices"
)

// ready says whether the rules let a request go out now.
func (s *Scheduler) ready(r *request) bool {
	if r.class.Ordered && r.key != "" {
		t := s.orderedKeys[r.key]
		if t.waiting[0] != r || s.now < t.backoffUntil {
			return false
		}
	}
	if r.volume.plan.RateLimit > 0 && !r.limitCharged {
		s.refill(r.volume)
		if r.volume.limitTokens < r.units {
			return false
		}
	}
	return len(r.attempts) == 0 || s.mayRetry(r)
}

// mayRetry says whether a further attempt is allowed: count, effect and budget.
func (s *Scheduler) mayRetry(r *request) bool {
	if copied := r.openAttempts == 1 && r.attemptLost && s.settings.MayHedge; r.openAttempts > 0 && !copied {
		return false
	}
	if len(r.attempts) >= min(r.maxAttempts, s.settings.MaxAttempts) || r.class.Effect == NonIdempotent && r.mayHaveRunOn != nil {
		return false
	}
	if r.class.Effect == IdempotentByKey && r.mayHaveRunOn != nil && s.now >= r.mayHaveRunSince+r.class.DedupWindow {
		return false
	}
	if s.settings.RetryBudgetWindow <= 0 {
		return true
	}
	for len(s.retryTimes) > 0 && s.retryTimes[0] < s.now-s.settings.RetryBudgetWindow {
		s.retryTimes = s.retryTimes[1:]
	}
	for len(s.arrivalTimes) > 0 && s.arrivalTimes[0] <= s.now-s.settings.RetryBudgetWindow {
		s.arrivalTimes = s.arrivalTimes[1:]
	}
	return float64(len(s.retryTimes)+1) <= s.settings.RetryBudgetMin+s.settings.RetryBudgetShare*float64(len(s.arrivalTimes))
}

func (s *Scheduler) send(r *request, n *node) {
	if len(r.attempts) > 0 && s.settings.RetryBudgetWindow > 0 {
		s.retryTimes = append(s.retryTimes, s.now)
	}
	if !r.limitCharged {
		r.limitCharged = true
		r.volume.limitTokens -= r.units
	}
	by := 0.0 // a repeat may wait for a connection, and nodes know a key for so long
	if r.class.Effect == IdempotentByKey && r.mayHaveRunOn != nil {
		by = r.mayHaveRunSince + r.class.DedupWindow
	}
	s.addOut(r, n)
	s.emit(Action{Kind: Send, ID: r.id, Node: n.ID, Deadline: r.deadline, StartBy: by})
}

// attemptEnded takes the end of an attempt: what it says of the node, and what the
// request may still do.
func (s *Scheduler) attemptEnded(ev *Event) {
	r := s.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return
	}
	t := &r.attempts[ev.Attempt]
	t.open = false
	r.openAttempts--
	n := t.node
	if !t.lost {
		n.removeOut(r)
	}
	n.nextSendAt = math.Max(n.nextSendAt, s.now+s.sendGap(n))
	s.learnFromOutcome(n, r, t, ev)
	if slices.Contains([]Status{Errored, TimedOut, ConnectionReset, Cancelled}, ev.Status) {
		r.mayHaveRunOn = n
		if r.mayHaveRunSince == 0 {
			r.mayHaveRunSince = t.sentAt
		}
		if k := s.orderedKeys[r.key]; k != nil && r.class.Ordered && ev.Status != Errored {
			k.backoffUntil = math.Max(k.backoffUntil, s.now+s.settings.OrderedKeyBackoff)
		}
	}
	if ev.Finished && !r.done {
		if ev.Status != OK {
			s.refund(r)
			s.rememberUnserved(r)
		}
		r.isClientRetry = r.isClientRetry && ev.Status != OK // served: its whole age counts
		s.sampleDelay(r, 0)
	}
	if r.done || ev.Finished {
		s.finish(r)
		return
	}
	switch {
	case r.openAttempts > 0 || r.queued: // a copy is out or waits
	case !r.attemptCancelled && !r.streaming && s.now+math.Max(s.expectedLatency(n), deadlineMarginMs) < r.deadline && s.mayRetry(r):
		s.enqueue(r) // it can meet its end, and the rules allow it
	default:
		s.rejectOrFail(r, 0)
	}
}

// addOut counts a request as out at the node.
func (s *Scheduler) addOut(r *request, n *node) {
	if s.now-n.startedAt <= s.settings.SlowStartDuration && !s.mayFollowAnswer(n) {
		s.slowStartLeft = math.Max(0, s.slowStartLeft-r.units)
	}
	n.slotStartAt, n.slotFactor, n.lastAnswerTimely = s.now, 0.5+s.rng.Float64(), false
	r.attempts = append(r.attempts, attempt{n, s.now, true, false})
	r.openAttempts++
	r.attemptCancelled, r.attemptLost, r.nodeAnswersAtSend, r.inFlightAtSend = false, false, n.answerCount, float64(len(n.inFlight))
	n.inFlight = append(n.inFlight, r)
	n.peakInFlight = max(n.peakInFlight, len(n.inFlight))
	n.inFlightUnits += r.units
	n.recentSent = append(n.recentSent, timedUnits{s.now, r.units})
	if s.now-n.startedAt > s.settings.SlowStartDuration {
		n.recentSent = n.recentSent[:0]
	}
}

// removeOut counts a request as no longer out at the node.
func (n *node) removeOut(r *request) {
	if at := slices.Index(n.inFlight, r); at >= 0 {
		n.inFlight = slices.Delete(n.inFlight, at, at+1)
		n.inFlightUnits -= r.units
	}
}
