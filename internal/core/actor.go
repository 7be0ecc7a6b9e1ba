package core

import (
	"fmt"
	"runtime/debug"
	"time"

	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

const (
	mailboxSize = 4096      // messages; arrivals at a full mailbox are rejected
	controlSize = 64        // updates of the list and calls of operators
	maxBatch    = 1024      // messages handled in one iteration
	idleWait    = time.Hour // maximum wait while no timer is set
	// timerRounding is added to a timer's time, which is rounded to microseconds, so that it is past when the loop wakes.
	timerRounding = 2 * time.Microsecond
)

// post sends a message to the actor, and waits while the mailbox is full; after the actor's end it is dropped. It must not
// be called in the actor.
func (c *Core) post(m message) {
	select {
	case c.mailbox <- m:
	case <-c.ended:
	}
}

// run is the actor's loop: it waits for a message or a timer, collects the messages that wait, and handles them in one
// iteration. At the end it fails the open requests.
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

// idleDuration is how long the loop may wait for a message: until the first timer, and not at all while events wait for the
// module.
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

// iterate handles one batch in one step of the module. Updates of the list come first, so that nothing in the batch is decided
// by an older list; the due timers fire after the messages, so that results that have arrived precede a timeout.
func (c *Core) iterate(now float64) {
	defer c.applyPendingRestore()
	for _, m := range c.batch {
		if m, ok := m.(listUpdated); ok {
			c.applyListUpdate(m.update, now)
		}
	}
	for _, m := range c.batch {
		m.handle(c, now)
	}
	c.fireTimers(now)
	if now-c.lastCountMs >= countInterval {
		c.lastCountMs = now
		c.countNodes(now)
	}
	c.advance(now)
}

// advance runs the module on the events collected so far, then on the deferred arrivals.
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

// restart fails the open requests and replaces the module by a new one, which starts with the current list as a cached one.
func (c *Core) restart(now float64, p any) {
	c.options.Log.WithFields(operr.Fields(&PanicError{fmt.Sprint(p)})).WithField("stack", string(debug.Stack())).Error("decision module panicked, replaced by a new one")
	for id, e := range c.requests {
		c.answer(e, Answer{Kind: Failed, Cause: CauseInternal})
		delete(c.requests, id)
	}
	c.timers = c.timers[:0]
	for id, n := range c.nodes { // the timers of draining nodes were dropped with the others
		c.clients[id].Drain(c.exclusions.View(now, n.Node).State != policy.NodeUp)
	}
	mod, err := policy.New(c.options.Settings, c.options.Seed+1)
	if err != nil {
		panic(fmt.Sprintf("settings that were valid are rejected: %v", err))
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
