package core

import "time"

// HandOver notifies the decision module that another process of this scheduler has taken over and fills the token buckets.
// It waits at most timeout for the actor. If it returns false, the module may not have been notified and the caller should
// retry.
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
	case c.control <- m:
	case <-c.ended:
		return true // the decision module no longer runs, so it fills no token bucket
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
