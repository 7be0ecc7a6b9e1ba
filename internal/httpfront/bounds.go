package httpfront

import (
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// bounds limit what a request may contain under one version of the settings.
type bounds struct {
	set         *core.Settings
	keyed       map[string]bool // by class
	units       float64         // of the largest request; 0: no bound
	shards      int             // number of shards; 0: unknown
	schedulers  int             // number of hosts; 0: unknown
	maxDeadline time.Duration   // longest deadline of a class: an answer that the client has not read by then is of no use
}

// newBounds derives the bounds from a version of the settings.
func newBounds(set *core.Settings) *bounds {
	b := &bounds{set: set, keyed: map[string]bool{}, units: set.MaxUnits, shards: set.Shards, schedulers: set.Schedulers, maxDeadline: maxDeadline(set.Settings)}
	for _, k := range set.Classes {
		b.keyed[k.Name] = k.Effect == policy.IdempotentByKey
	}
	return b
}

// apply checks a request against the bounds, and lowers its number of hosts to the bound.
func (b *bounds) apply(r *policy.Request) error {
	if b.units > 0 && r.Units > b.units { // a larger request would block all requests behind it in its queue
		return malformed("IO-Info: units: over the largest request")
	}
	if b.shards > 0 && r.Shard >= b.shards { // invented shards must not each get a queue
		return malformed("IO-Info: shard: there is none")
	}
	if b.schedulers > 0 {
		r.Schedulers = min(r.Schedulers, b.schedulers)
	}
	return nil
}

// maxDeadline is the longest deadline of a class.
func maxDeadline(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, k := range set.Classes {
		longest = max(longest, time.Duration(k.Deadline*float64(time.Millisecond)))
	}
	return longest
}

// bounds returns the bounds of the current settings.
func (s *Server) bounds() *bounds {
	set, b := s.Core.Settings(), s.lastBounds.Load()
	if b == nil || b.set != set {
		b = newBounds(set)
		s.lastBounds.Store(b)
	}
	return b
}
