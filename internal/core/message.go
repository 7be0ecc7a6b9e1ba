package core

import (
	"time"

	"wheatsaddle/policy"
)

// message is a message to the actor. handle is called in the actor.
type message interface {
	handle(c *Core, now float64)
}

// requestArrived carries a new request.
type requestArrived struct{ request *Request }

func (m requestArrived) handle(c *Core, now float64) { c.admit(m.request, now) }

// requestCancelled reports that the client of a request has disconnected.
type requestCancelled struct{ request *Request }

func (m requestCancelled) handle(c *Core, _ float64) {
	if e := c.requests[m.request.ID]; e != nil && e.request == m.request {
		c.cancelRequest(e)
	}
}

// attemptResult carries the result of an attempt.
type attemptResult struct {
	attempt *Attempt
	result  Result
}

func (m attemptResult) handle(c *Core, now float64) { c.attemptEnded(m.attempt, m.result, now) }

// responseArriving reports that a long response has begun to arrive.
type responseArriving struct{ attempt *Attempt }

func (m responseArriving) handle(c *Core, now float64) { c.responseArriving(m.attempt, now) }

// attemptTransferring reports that a node takes a request slowly.
type attemptTransferring struct{ attempt *Attempt }

func (m attemptTransferring) handle(c *Core, _ float64) { c.attemptTransferring(m.attempt) }

// transferPaused reports that a slow transfer has paused for long.
type transferPaused struct{ attempt *Attempt }

func (m transferPaused) handle(c *Core, _ float64) { c.transferPaused(m.attempt) }

// healthCheckResult carries the result of a node's health check.
type healthCheckResult struct {
	node    string
	result  Result
	latency time.Duration
}

func (m healthCheckResult) handle(c *Core, _ float64) {
	c.events = append(c.events, policy.Event{
		Kind:    policy.HealthCheckEnded,
		Node:    m.node,
		Status:  m.result.Status,
		Latency: float64(m.latency.Microseconds()) / 1000,
		Load:    m.result.Load,
	})
}

// listUpdated carries a list update. iterate applies it before it handles the other messages of the batch, so handle does
// nothing.
type listUpdated struct{ update *ListUpdate }

func (listUpdated) handle(*Core, float64) {}

// call is a function that is called in the actor.
type call func()

func (f call) handle(*Core, float64) { f() }

// query calls f in the actor and returns its result. It returns false if the actor has ended. It may block while the mailbox
// is full, and must not be called in the actor.
func query[T any](c *Core, f func() T) (T, bool) {
	got := make(chan T, 1)
	c.post(call(func() { got <- f() }))
	select {
	case result := <-got:
		return result, true
	case <-c.ended:
		var none T
		return none, false
	}
}
