package core

import (
	"fmt"
	"runtime/debug"
	"time"

	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

const (
	mailboxSize = 4096      // messages; requests that arrive while the mailbox is full are rejected
	controlSize = 64        // list updates and operators' calls
	maxBatch    = 1024      // messages handled in one iteration of the event loop
	idleWait    = time.Hour // maximum wait while no timer is set
	// timerRounding is added to the wake-up time of the event loop. Timer times are rounded to microseconds, and without
	// the addition the loop could wake up just before the timer is due.
	timerRounding = 2 * time.Microsecond
)

// post sends a message to the actor. It blocks while the mailbox is full. If the actor has ended, the message is dropped.
// It must not be called in the actor.
func (c *Core) post(m message) {
	select {
	case c.mailbox <- m:
	case <-c.ended:
	}
}

// run is the actor's event loop. It waits for a message or a timer, collects the queued messages and handles them in one
// iteration. When the actor is stopped, run fails the open requests.
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
			for _, state := range c.requests {
				c.answer(state, Answer{Kind: Failed, Cause: CauseInternal, Reason: ReasonInternal})
			}
			return
		}
		c.collectBatch()
		c.iterate(c.moduleTime(time.Now()))
		clear(c.batch) // the array must not refer to requests that have ended
	}
}

// idleDuration returns how long the event loop may wait for a message. That is until the first timer is due, or 0 while
// events are queued for the decision module.
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

// collectBatch adds the queued messages to the batch, up to maxBatch. Messages of the control channel come first.
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

// iterate handles one batch of messages and the timers that are due in one step of the decision module. List updates are
// applied first, so that no decision of the batch uses an older list. Timers fire after the messages, so that a result
// that has already arrived is handled before the timeout of its attempt.
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
	if now-c.lastCountMs >= countIntervalMs {
		c.lastCountMs = now
		c.countNodes(now)
	}
	c.advance(now)
}

// advance runs the decision module on the events collected so far, and then on the deferred arrivals.
func (c *Core) advance(now float64) {
	if events := c.events; len(events) > 0 {
		c.events = nil
		if c.stepAndExecute(now, events) && c.events == nil {
			c.events = events[:0]
		}
	}
	for _, state := range c.deferred {
		c.admitAvoiding(state, now)
	}
	clear(c.deferred)
	c.deferred = c.deferred[:0]
}

// stepAndExecute runs one step of the decision module and carries out its actions. It returns false if the module
// panicked.
func (c *Core) stepAndExecute(now float64, events []policy.Event) bool {
	if !c.step(now, events) {
		return false
	}
	for i := range c.actions {
		c.execute(&c.actions[i], now)
	}
	c.accountTables()
	return true
}

// step runs one step of the decision module. If the module panics, step replaces it and returns false, because a fault in
// a decision must not end the process.
func (c *Core) step(now float64, events []policy.Event) (ok bool) {
	defer func() {
		if p := recover(); p != nil {
			c.restart(now, p)
		}
	}()
	c.actions = c.scheduler.Step(now, events, c.actions[:0])
	return true
}

// restart fails the open requests and replaces the decision module by a new one. The new module receives the current
// endpoint list as a cached list.
func (c *Core) restart(now float64, p any) {
	c.options.Log.WithFields(operr.Fields(&PanicError{fmt.Sprint(p)})).WithField("stack", string(debug.Stack())).Error("decision module panicked, replaced by a new one")
	for id, state := range c.requests {
		c.answer(state, Answer{Kind: Failed, Cause: CauseInternal, Reason: ReasonInternal})
		delete(c.requests, id)
		c.releaseID(state)
	}
	c.dropTimers()
	for id, n := range c.nodes { // the cutoff timers of draining nodes were just dropped, so their clients are closed now
		c.clients[id].Drain(c.exclusions.View(now, n.Node).State != policy.NodeUp)
	}
	earlierRuns := c.earlierRunsAfterPanic(now)
	scheduler, err := policy.New(c.options.Settings, c.options.Seed+1)
	if err != nil {
		panic(fmt.Sprintf("create decision module with settings that were valid before: %v", err))
	}
	c.scheduler = scheduler
	scheduler.AddEarlierRuns(now, earlierRuns)
	if c.handedOver {
		scheduler.HandOver()
	}
	cachedList := policy.Event{Kind: policy.CachedListLoaded}
	for _, n := range c.nodes {
		cachedList.Nodes = append(cachedList.Nodes, c.exclusions.View(now, n.Node))
	}
	c.events = []policy.Event{cachedList}
}

// earlierRunsAfterPanic returns the possible runs that a decision module knows which has panicked; none, if it panics again.
func (c *Core) earlierRunsAfterPanic(now float64) (runs []policy.EarlierRun) {
	defer func() {
		if p := recover(); p != nil {
			c.options.Log.WithFields(operr.Fields(&PanicError{fmt.Sprint(p)})).Error("possible runs of the decision module are lost")
			runs = nil
		}
	}()
	return c.scheduler.EarlierRuns(now)
}
