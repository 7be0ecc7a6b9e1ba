package coldstart

import "time"

// admit rejects a request at once if it would wait for too long. Otherwise it emits no action, and the policy decides.
func (s *Startup) admit(now time.Duration, id string) {
	if s.phase == Serving || !s.started {
		return
	}
	if s.phase < ListKnown && !s.usesCachedList {
		s.rejectLongWait(s.expectedListWait(now))
		return
	}
	if state := s.nodes[id]; state != nil && state.backoffUntil > now {
		s.rejectLongWait(state.backoffUntil - now)
	}
}

// rejectLongWait rejects a request whose wait would take over half of its latency objective.
func (s *Startup) rejectLongWait(wait time.Duration) {
	if wait > s.settings.LatencyObjective/2 {
		s.reject(wait)
	}
}

// handleRequestRejected emits the Retry-After of a request that the policy rejected. The policy derives its own from its
// queues and does not take into account that a node has just started. The Retry-After grows while the node serves no
// request.
func (s *Startup) handleRequestRejected(now time.Duration, id string) {
	if s.phase == Serving {
		return
	}
	state := s.nodes[id]
	if state == nil {
		state = &s.unknownNode
	}
	if now >= state.retryAfterGrowsAt {
		state.retryAfter = min(max(2*state.retryAfter, minBackoff), s.settings.MaxRetryAfter)
		state.retryAfterGrowsAt = now + state.retryAfter
	}
	s.reject(max(state.retryAfter, minBackoff))
}

// reject rejects the request of this step. The Retry-After has a random part, so that clients do not all retry at the same
// time.
func (s *Startup) reject(wait time.Duration) {
	wait += time.Duration(s.rng.Int64N(int64(wait)/2 + 1))
	if limit := s.settings.MaxRetryAfter; wait > limit {
		wait = limit - time.Duration(s.rng.Int64N(int64(limit)/4+1))
	}
	s.emit(Reject{max(wait, s.settings.MinRetryAfter)})
}
