package core

import (
	"time"

	"wheatsaddle/internal/interleave/sync/atomic"
)

// cutoff is a time after which none of the attempts that share it may be claimed. The actor sets it, and node clients
// read it right before an attempt's first byte, so that it holds also while the actor is late, for instance after
// the process was suspended. Nil and the zero value set no bound.
type cutoff struct{ at atomic.Pointer[time.Time] }

// set sets or moves the cutoff.
func (c *cutoff) set(at time.Time) { c.at.Store(&at) }

// clear removes the cutoff.
func (c *cutoff) clear() { c.at.Store(nil) }

// passed reports whether the cutoff is at or before now.
func (c *cutoff) passed(now time.Time) bool {
	if c == nil {
		return false
	}
	at := c.at.Load()
	return at != nil && !now.Before(*at)
}
