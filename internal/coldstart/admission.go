package coldstart

import "time"

// admit lets a request pass to the policy, or rejects it at once if it would wait for too long.
func (s *Startup) admit(now time.Duration, id string) {
	if s.phase == Serving || !s.started {
		return
	}
	if s.phase < ListKnown && !s.usesCachedList {
		s.rejectLongWait(s.expectedListWait(now))
		return
	}
	if x := s.nodes[id]; x != nil && x.backoffUntil > now {
		s.rejectLongWait(x.backoffUntil - now)
	}
}

// rejectLongWait rejects a request whose wait would take over half of its latency objective.
func (s *Startup) rejectLongWait(wait time.Duration) {
	if wait > s.settings.LatencyObjective/2 {
		s.reject(wait)
	}
}

// requestRejected gives the Retry-After of a request that the policy rejected: the policy knows its queues, and not that a
// node can hardly serve yet. The Retry-After grows while the node serves no request.
func (s *Startup) requestRejected(now time.Duration, id string) {
	if s.phase == Serving {
		return
	}
	x := s.nodes[id]
	if x == nil {
		x = &s.unknownNode
	}
	if now >= x.retryAfterGrowsAt {
		x.retryAfter = min(max(2*x.retryAfter, minBackoff), s.settings.MaxRetryAfter)
		x.retryAfterGrowsAt = now + x.retryAfter
	}
	s.reject(max(x.retryAfter, minBackoff))
}

// reject rejects the request of this step. The Retry-After has a random part, so that clients do not return together.
func (s *Startup) reject(wait time.Duration) {
	wait += time.Duration(s.rng.Int64N(int64(wait)/2 + 1))
	if limit := s.settings.MaxRetryAfter; wait > limit {
		wait = limit - time.Duration(s.rng.Int64N(int64(limit)/4+1))
	}
	s.emit(Reject{max(wait, s.settings.MinRetryAfter)})
}
