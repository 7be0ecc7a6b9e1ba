package core

import "time"

// HandOver tells the module that another process of this scheduler has taken over and fills the limits' stores. It waits
// at most wait for the actor; false: the module may not have been told, and the caller is to try again.
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
		return true // the module fills no store any more
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
