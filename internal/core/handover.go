package core

import (
	"time"

	"wheatsaddle/policy"
)

// HandOver notifies the decision module that another process of this scheduler has taken over and fills the token buckets.
// It waits at most timeout for the actor. If it returns false, the module may not have been notified and the caller should
// retry.
func (c *Core) HandOver(timeout time.Duration) bool {
	return c.await(timeout, func() {
		c.handedOver = true
		c.scheduler.HandOver()
	})
}

// await has the actor call a function, and waits at most timeout for that. It returns true if the function was called, or if the actor has
// ended.
func (c *Core) await(timeout time.Duration, function func()) bool {
	done := make(chan struct{})
	m := call(func() {
		function()
		close(done)
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c.control <- m:
	case <-c.ended:
		return true
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

// EarlierRuns returns the possible runs under clients' keys that the process which replaces this one has to know. It is called after HandOver,
// and waits at most timeout for the actor; ok is false if it did not answer.
func (c *Core) EarlierRuns(timeout time.Duration) (runs []policy.EarlierRun, ok bool) {
	answer := make(chan []policy.EarlierRun, 1)
	ok = c.await(timeout, func() { answer <- c.scheduler.EarlierRuns(c.moduleTime(time.Now())) })
	if !ok {
		return nil, false
	}
	select {
	case runs = <-answer:
	default: // the actor has ended
	}
	return runs, true
}

// AddEarlierRuns tells the decision module the possible runs of the process that this one replaces. It is called before the first request,
// and waits at most timeout for the actor; it returns false if that did not answer.
func (c *Core) AddEarlierRuns(runs []policy.EarlierRun, timeout time.Duration) bool {
	return c.await(timeout, func() { c.scheduler.AddEarlierRuns(c.moduleTime(time.Now()), runs) })
}
