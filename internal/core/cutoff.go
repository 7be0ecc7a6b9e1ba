package core

import (
	"time"

	"wheatsaddle/internal/interleave/sync/atomic"
)

// cutoff is a time from which none of the attempts that share it may be claimed. The actor sets it, and node clients read
// it right before they write the first byte of an attempt. It therefore takes effect on time even if the actor is stalled,
// for example after the process was suspended. A nil cutoff and the zero value set no bound.
type cutoff struct{ at atomic.Pointer[time.Time] }

// set sets or moves the cutoff.
func (c *cutoff) set(at time.Time) { c.at.Store(&at) }

// clear removes the cutoff.
func (c *cutoff) clear() { c.at.Store(nil) }

// passed reports whether the cutoff is set and at or before now.
func (c *cutoff) passed(now time.Time) bool {
	if c == nil {
		return false
	}
	at := c.at.Load()
	return at != nil && !now.Before(*at)
}
