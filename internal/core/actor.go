package core

import (
	"fmt"
	"runtime/debug"
	"time"

	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

const (
	mailboxSize = 4096      // messages; when it is full arrivals are refused
	controlSize = 64        // news of the list and operators' calls
	maxBatch    = 1024      // messages handled in one turn
	idleWait    = time.Hour // while no timer is set
	// timerRounding is added to a timer's time, which is rounded: otherwise the loop would spin for the last microsecond.
	timerRounding = 2 * time.Microsecond
)

// message is one message to the actor; the fields of one kind are set.
type message struct {
	arrival    *Request
	cancel     *Request
	attempt    *Attempt
	result     Result
	news       *ListUpdate
	probedNode string
	latency    time.Duration
	call       func()
}

// post sends a message to the actor, and waits while the mailbox is full; after the actor's end it is dropped. It must not
// be called in the actor.
func (c *Core) post(m message) {
	select {
	case c.mailbox <- m:
	case <-c.ended:
	}
}

// run is the actor's loop: it waits for a message or a timer, gathers the messages that are there, and handles them in one
// turn. At the end it fails the open requests.
func (c *Core) run() {
	defer close(c.ended)
	wake := time.NewTimer(0)
	for {
		wake.Reset(c.idleDuration())
		c.batch = c.batch[:0]
		select {
		case m := <-c.control:
			c.batch = append(c.batch, m)
		case m := <-c.mailbox:
			c.batch = append(c.batch, m)
		case <-wake.C:
		case <-c.stop:
			for _, e := range c.requests {
				c.answer(e, Answer{Kind: Failed, Cause: CauseInternal})
			}
			return
		}
		c.collectBatch()
		c.iterate(c.moduleTime(time.Now()))
	}
}

// idleDuration is how long the loop may wait for a message: until the first timer, and not at all while events are left for
// the module.
func (c *Core) idleDuration() time.Duration {
	if len(c.events) > 0 {
		return 0
	}
	if len(c.timers) == 0 {
		return idleWait
	}
	at := c.wallTime(c.timers[0].atMs).Add(timerRounding)
	return max(0, time.Until(at))
}

// collectBatch adds the messages that wait to the batch, those of control first, up to maxBatch.
func (c *Core) collectBatch() {
	for len(c.batch) < maxBatch {
		select {
		case m := <-c.control:
			c.batch = append(c.batch, m)
			continue
		default:
		}
		select {
		case m := <-c.mailbox:
			c.batch = append(c.batch, m)
		default:
			return
		}
	}
}

// iterate handles one batch in one step of the module. News of the list come first, so that nothing in the batch is decided by an
// older list; the due timers fire after the messages, so that results that have come count before a timeout.
func (c *Core) iterate(now float64) {
	defer c.applyPendingRestore()
	for _, m := range c.batch {
		if m.news != nil {
			c.applyListUpdate(m.news, now)
		}
	}
	for _, m := range c.batch {
		c.handle(m, now)
	}
	c.fireTimers(now)
	if now-c.lastCountMs >= countInterval {
		c.lastCountMs = now
		c.countNodes(now)
	}
	c.advance(now)
}

// handle handles one message, except news of the list, which turn has applied before.
func (c *Core) handle(m message, now float64) {
	switch {
	case m.arrival != nil:
		c.admit(m.arrival, now)
	case m.cancel != nil:
		if e := c.requests[m.cancel.ID]; e != nil && e.request == m.cancel {
			c.cancelRequest(e)
		}
	case m.attempt != nil:
		c.attemptEnded(m.attempt, m.result, now)
	case m.probedNode != "":
		c.events = append(c.events, policy.Event{
			Kind:    policy.HealthCheckEnded,
			Node:    m.probedNode,
			Status:  m.result.Status,
			Latency: float64(m.latency.Microseconds()) / 1000,
			Load:    m.result.Load,
		})
	case m.call != nil:
		m.call()
	}
}

// advance runs the module on the events gathered so far, then on the deferred arrivals.
func (c *Core) advance(now float64) {
	if events := c.events; len(events) > 0 {
		c.events = nil
		if c.stepAndExecute(now, events) && c.events == nil {
			c.events = events[:0]
		}
	}
	for _, e := range c.deferred {
		c.admitAvoiding(e, now)
	}
	c.deferred = c.deferred[:0]
}

// stepAndExecute runs the module and executes its actions; false: it panicked.
func (c *Core) stepAndExecute(now float64, events []policy.Event) bool {
	if !c.step(now, events) {
		return false
	}
	for i := range c.actions {
		c.execute(&c.actions[i], now)
	}
	return true
}

// step runs the module; false: it panicked and was replaced. A fault in a decision must not end the process.
func (c *Core) step(now float64, events []policy.Event) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			c.restart(now, p)
		}
	}()
	c.actions = c.scheduler.Step(now, events, c.actions[:0])
	return true
}

// restart fails the open requests and replaces the module by a new one, which starts with the present list as a stale one.
func (c *Core) restart(now float64, p any) {
	c.options.Log.WithFields(operr.Fields(&PanicError{fmt.Sprint(p)})).WithField("stack", string(debug.Stack())).Error("the decisions start anew")
	for id, e := range c.requests {
		c.answer(e, Answer{Kind: Failed, Cause: CauseInternal})
		delete(c.requests, id)
	}
	c.timers = c.timers[:0]
	for id, n := range c.nodes { // the drains' timers are gone with the others
		c.peers[id].Drain(c.exclusions.View(now, n.Node).State != policy.NodeUp)
	}
	mod, err := policy.New(c.options.Settings, c.options.Seed+1)
	if err != nil {
		panic(fmt.Sprintf("settings that were good no longer are: %v", err))
	}
	c.scheduler = mod
	if c.handedOver {
		mod.HandOver()
	}
	stale := policy.Event{Kind: policy.CachedListLoaded}
	for _, n := range c.nodes {
		stale.Nodes = append(stale.Nodes, c.exclusions.View(now, n.Node))
	}
	c.events = []policy.Event{stale}
}
