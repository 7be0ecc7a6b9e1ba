package httpfront

import (
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// bounds limit what a request may contain under one version of the settings.
type bounds struct {
	settings        *core.Settings
	idempotentByKey map[string]bool // by class
	maxUnits        float64         // units of the largest request; 0: no limit
	shards          int             // number of shards; 0: unknown
	schedulers      int             // number of hosts; 0: unknown
	maxDeadline     time.Duration   // longest deadline of a class; a response that the client has not read by then is useless
}

// newBounds derives the bounds from a version of the settings.
func newBounds(settings *core.Settings) *bounds {
	b := &bounds{settings: settings, idempotentByKey: map[string]bool{}, maxUnits: settings.MaxUnits, shards: settings.Shards, schedulers: settings.Schedulers, maxDeadline: maxDeadline(settings.Settings)}
	for _, k := range settings.Classes {
		b.idempotentByKey[k.Name] = k.Effect == policy.IdempotentByKey
	}
	return b
}

// apply checks a request against the bounds, and reduces its number of hosts to the configured one.
func (b *bounds) apply(r *policy.Request) error {
	if b.maxUnits > 0 && r.Units > b.maxUnits { // a larger request would block all requests behind it in its queue
		return malformed("IO-Info: units: over the largest request")
	}
	if b.shards > 0 && r.Shard >= b.shards { // otherwise requests with invalid shards could create any number of queues
		return malformed("IO-Info: shard: there is none")
	}
	if b.schedulers > 0 {
		r.Schedulers = min(r.Schedulers, b.schedulers)
	}
	return nil
}

// maxDeadline returns the longest deadline of a class.
func maxDeadline(settings policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, k := range settings.Classes {
		longest = max(longest, time.Duration(k.Deadline*float64(time.Millisecond)))
	}
	return longest
}

// bounds returns the bounds of the current settings.
func (s *Server) bounds() *bounds {
	settings, b := s.Core.Settings(), s.lastBounds.Load()
	if b == nil || b.settings != settings {
		b = newBounds(settings)
		s.lastBounds.Store(b)
	}
	return b
}
