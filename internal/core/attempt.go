package core

import (
	"sync"
	"time"

	"wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/policy"
)

// Attempt is one attempt of a request at one node.
type Attempt struct {
	Request       *Request
	Number        int // from 0 within the request
	Node          string
	Deadline      time.Time
	StartBy       time.Time // latest time of its claim; zero: no bound but Deadline
	sentAtMs      float64   // time of the module
	nodeStartTime float64   // start time that the node had at the dispatch
	state         *requestState
	counts        *classCounts // nil: a class that is not counted
	reportOnce    sync.Once
	client        NodeClient
	// drainCutoff belongs to the node: a draining node accepts no new attempt after it. repeatWindow belongs to the
	// request: none of its attempts may be claimed once the nodes would no longer deduplicate a retry.
	drainCutoff, repeatWindow *cutoff
	done                      func(Result)
	// endedAtMs (time of the module; 0: not yet) and status are for the log.
	endedAtMs float64
	status    policy.Status
	phase     atomic.Int32
}

// An attempt's phases. It leaves phaseWaiting once. That decides between its write and the end of its request.
const (
	phaseWaiting int32 = iota
	phaseClaimed
	phaseAbandoned
)

// NewAttempt makes an attempt whose one result goes to done.
func NewAttempt(r *Request, deadline time.Time, done func(Result)) *Attempt {
	return &Attempt{Request: r, Deadline: deadline, done: done}
}

// Result is the outcome of an attempt.
type Result struct {
	Status               policy.Status
	PlanUsage, PeerUsage float64
	Load                 *policy.Load
	Payload              any
	// InvalidRequest reports that the node rejected the request itself as invalid. That is final: another attempt
	// would end the same, and it does not count against the node's health.
	InvalidRequest bool
}

// Claim claims the attempt for writing; a node client calls it right before the first byte. It returns false if, while
// the attempt waited for a connection or in a mailbox, its request was answered, its client disconnected, its
// deduplication window ended, or the cutoff of its draining node passed. Nothing of it may be written then, and the
// node client reports it as policy.Abandoned. Further calls return the same.
func (a *Attempt) Claim() bool {
	if a.expired() || a.Request.clientDisconnected() {
		a.phase.CompareAndSwap(phaseWaiting, phaseAbandoned)
	}
	return a.phase.CompareAndSwap(phaseWaiting, phaseClaimed) || a.phase.Load() == phaseClaimed
}

// Abandoned reports whether the attempt can no longer be claimed, so that no connection need be opened for it.
func (a *Attempt) Abandoned() bool {
	return a.phase.Load() == phaseAbandoned || a.phase.Load() == phaseWaiting && a.expired()
}

// expired reports whether a time bound of the claim has passed.
func (a *Attempt) expired() bool {
	now := time.Now()
	return !a.StartBy.IsZero() && now.After(a.StartBy) || a.drainCutoff.passed(now) || a.repeatWindow.passed(now)
}

// MarkWritten counts the attempt as written: its last byte was handed to the connection.
func (a *Attempt) MarkWritten() {
	if a.counts != nil {
		a.counts.attempts.Add(1)
	}
}

// Done reports the attempt's result; only the first report counts. It may wait for the core's mailbox, so
// it must not be called in the core's actor or from a NodeClient method.
func (a *Attempt) Done(r Result) {
	a.reportOnce.Do(func() { a.done(r) })
}

// send starts an attempt and hands it to the node's client. A request that is answered is not dispatched again.
func (c *Core) send(a *policy.Action, now float64) {
	e := c.requests[a.ID]
	if e == nil {
		return
	}
	until := e.request.Deadline
	if a.Deadline > 0 && a.Deadline < until {
		until = a.Deadline
	}
	t := c.attempt(e, a, until, now)
	e.attempts = append(e.attempts, t)
	e.outstanding++
	if e.request.AttemptedNodes != nil {
		e.request.AttemptedNodes.nodes = append(e.request.AttemptedNodes.nodes, a.Node)
	}
	p, ok := c.clients[a.Node]
	if ok {
		t.client = p
		c.recordUse(a.Node, now)
	}
	if !ok || e.answered || !p.Send(t) {
		c.failUnsent(t)
	}
}

// attempt makes the next attempt of a request.
func (c *Core) attempt(e *requestState, a *policy.Action, until, now float64) *Attempt {
	t := NewAttempt(e.request, c.wallTime(until), nil)
	t.Number = len(e.attempts)
	t.Node = a.Node
	t.sentAtMs = now
	t.nodeStartTime = c.nodes[a.Node].StartTime
	t.state = e
	t.counts = c.counters.of(e.request.Class)
	t.drainCutoff = c.cutoffs[a.Node]
	t.repeatWindow = &e.repeatWindow
	if a.StartBy > 0 {
		t.StartBy = c.wallTime(a.StartBy)
		e.repeatWindow.set(t.StartBy) // also for an earlier attempt that still waits, which would be the retry then
	}
	t.done = func(r Result) { c.post(attemptResult{t, r}) }
	return t
}

// failUnsent ends an attempt that no node client accepted. The next step reports it to the module, and not a message,
// because the actor must not wait for its own mailbox.
func (c *Core) failUnsent(t *Attempt) {
	e := t.state
	t.reportOnce.Do(func() {}) // its result is reported here
	e.outstanding--
	status := policy.ConnectFailed
	if e.answered {
		status = policy.Abandoned
	}
	c.events = append(c.events, policy.Event{
		Kind:     policy.AttemptEnded,
		ID:       e.request.ID,
		Attempt:  t.Number,
		Node:     t.Node,
		Status:   status,
		Finished: e.answered,
	})
	c.forgetEnded(e)
}

// attemptEnded handles the result of an attempt; the first served one answers the request.
func (c *Core) attemptEnded(a *Attempt, r Result, now float64) {
	e := a.state
	if r.Status == policy.Abandoned && e.request.clientDisconnected() {
		c.cancelRequest(e) // otherwise the module would dispatch it again
	}
	e.outstanding--
	a.endedAtMs, a.status = now, r.Status
	if c.options.OnAttemptEnded != nil {
		c.options.OnAttemptEnded(a.Node, int64(a.nodeStartTime), e.request.Class, e.request.Units, now-a.sentAtMs, r.Status)
	}
	if st := c.startLimiter(); st != nil {
		st.AttemptEnded(a.Node, r.Status)
	}
	if r.Status == policy.OK && !e.answered {
		c.answer(e, Answer{Kind: Served, Payload: r.Payload})
	} else if r.InvalidRequest {
		c.answer(e, Answer{Kind: Failed, Cause: CauseInvalidRequest})
	} else if payload, ok := r.Payload.(Releaser); ok {
		payload.Release() // the request is answered already
	}
	if c.requests[e.request.ID] != e {
		return // its request is from before a restart of the module
	}
	c.events = append(c.events, policy.Event{
		Kind:      policy.AttemptEnded,
		ID:        e.request.ID,
		Attempt:   a.Number,
		Node:      a.Node,
		Status:    r.Status,
		Latency:   now - a.sentAtMs,
		Finished:  e.answered,
		PlanUsage: r.PlanUsage,
		PeerUsage: r.PeerUsage,
		Load:      r.Load,
	})
	c.forgetEnded(e)
}
