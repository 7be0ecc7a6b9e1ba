package policy

// openAttempt returns the request and the open attempt of an event, or nil if that attempt has ended.
func (s *Scheduler) openAttempt(ev *Event) (*request, *attempt) {
	r := s.requests[ev.ID]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || !r.attempts[ev.Attempt].open {
		return nil, nil
	}
	return r, &r.attempts[ev.Attempt]
}

// attemptTransferring records that a node takes a request slowly, but makes progress. It begins its work once it has the whole request,
// so the attempt does not count as in flight, and its time says nothing about the latency of other requests. A cancel for the attempt's
// age is void, and so is what it taught.
func (s *Scheduler) attemptTransferring(ev *Event) {
	r, a := s.openAttempt(ev)
	if r == nil {
		return
	}
	s.beginTransfer(r, a)
	a.slowRequest = true
	if r.attemptCancelled && ev.Attempt == len(r.attempts)-1 {
		r.attemptCancelled = false
		s.restoreLatency(a.node, &r.beforeCancel)
	}
}

// responseArriving records that a node has begun a response that is long or comes slowly. The node has done its work and only sends, so
// the attempt no longer counts as in flight, its latency ends here, and it is neither cancelled nor hedged because of its age. The time
// of the transfer says nothing about the latency of other requests.
func (s *Scheduler) responseArriving(ev *Event) {
	r, a := s.openAttempt(ev)
	if r == nil || a.transferring {
		return
	}
	if !a.writtenOff {
		s.recordLatency(a.node, ev.Latency, r.units)
	}
	s.beginTransfer(r, a)
}

// beginTransfer marks an attempt as one whose node makes progress.
func (s *Scheduler) beginTransfer(r *request, a *attempt) {
	a.transferring = true
	n := a.node
	n.lastReceivedAt, n.silent, n.backoff = s.now, false, 0
	if !a.writtenOff {
		n.removeInFlight(r)
		a.writtenOff = true
	}
}

// transferPaused hedges a request whose transfer has paused for long, if hedges are allowed. The first attempt stays open: its transfer
// may go on, and whichever response is complete or passed on first serves the request.
func (s *Scheduler) transferPaused(ev *Event) {
	r, a := s.openAttempt(ev)
	if r == nil || !a.transferring || r.done || r.queued || r.openAttempts != 1 || !s.settings.MayHedge {
		return
	}
	if r.mayHaveRunOn == nil {
		r.mayHaveRunOn, r.mayHaveRunSince = a.node, a.sentAt
	}
	r.attemptWrittenOff = true
	if s.mayRetry(r) {
		s.enqueue(r)
	}
}
