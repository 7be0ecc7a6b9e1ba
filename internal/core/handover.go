package core

import "time"

// HandOver notifies the module that another process of this scheduler has taken over and fills the token buckets. It
// waits at most timeout for the actor; false: the module may not have been notified, and the caller should try again.
func (c *Core) HandOver(timeout time.Duration) bool {
	done := make(chan struct{})
	m := call(func() {
		c.handedOver = true
		c.scheduler.HandOver()
		close(done)
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c.control <- m: // handled before the mailbox
	case <-c.ended:
		return true // the module fills no token bucket any more
	case <-timer.C:
		return false
	}
	select {
	case <-done:
		return true
	case <-c.ended:
		return true
	case <-timer.C:
		return false
	}
}
