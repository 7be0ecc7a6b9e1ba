package core

import (
	"sync"
	"sync/atomic"
	"time"

	steps "wheatsaddle/internal/interleave/sync/atomic"
	"wheatsaddle/internal/progress"
	"wheatsaddle/policy"
)

// Attempt is one attempt to have a node serve a request.
type Attempt struct {
	Request       *Request
	Number        int // from 0 within the request
	Node          string
	Deadline      time.Time
	StartBy       time.Time // latest time at which the attempt may be claimed; zero means that it has no such limit beside Deadline
	sentAtMs      float64   // dispatch time in the decision module's time
	nodeStartTime float64   // start time of the node at the dispatch
	state         *requestState
	counts        *classCounts // nil if the class is not counted
	reportOnce    sync.Once
	client        NodeClient
	// drainCutoff is shared by all attempts at the node. A draining node accepts no new attempt after it.
	// dedupCutoff is shared by all attempts of the request. None of them may be claimed once the nodes would no longer
	// deduplicate a retry.
	drainCutoff, dedupCutoff *cutoff
	done                     func(Result)
	post                     func(message) // nil for an attempt outside of core
	// endedAtMs and status are written to the log. endedAtMs is in the decision module's time, and 0 until the attempt
	// has ended.
	endedAtMs    float64
	respondingMs float64 // time from the dispatch until core learned of an arriving response; 0: it has not
	slowTransfer bool    // the node took the request slowly, so the attempt's time is not the node's latency
	status       policy.Status
	reason       Reason
	phase        steps.Int32
	// transferPhase is the progress.Phase of a claimed attempt, for logs.
	transferPhase atomic.Int32
	transferring  atomic.Bool // its node is taking the request, or giving the response
	// mayBePassedOn is set once a long response has begun, which is passed on at the deadline at the latest.
	mayBePassedOn atomic.Bool
}

// The phases of an attempt. An attempt leaves phaseWaiting at most once: either a node client claims it for writing, or it
// is abandoned because its request has ended or it is too late to claim it.
const (
	phaseWaiting int32 = iota
	phaseClaimed
	phaseAbandoned
)

// NewAttempt returns an attempt that passes its result to done.
func NewAttempt(r *Request, deadline time.Time, done func(Result)) *Attempt {
	return &Attempt{Request: r, Deadline: deadline, done: done}
}

// Result is the outcome of an attempt.
type Result struct {
	Status               policy.Status
	PlanUsage, PeerUsage float64
	Load                 *policy.Load
	Payload              any
	Reason               Reason // why the attempt ended without an answer, for logs; may be empty
	// NotPerformed reports that the node says that it did not perform the request, and would not at another attempt either. The
	// request is not retried, and what the node says does not count against its health. A Payload is then the answer that says so.
	NotPerformed bool
}

// Claim claims the attempt for writing. A node client calls it right before it writes the first byte. It returns false if
// the request was answered, its client disconnected, the deduplication window ended or the cutoff of the draining node
// passed while the attempt waited for a connection or in a mailbox. In that case the node client must write nothing of
// the attempt and reports policy.Abandoned. Later calls return the same result.
func (a *Attempt) Claim() bool {
	if a.expired() || a.Request.clientDisconnected() {
		a.phase.CompareAndSwap(phaseWaiting, phaseAbandoned)
	}
	return a.phase.CompareAndSwap(phaseWaiting, phaseClaimed) || a.phase.Load() == phaseClaimed
}

// Abandoned reports whether the attempt can no longer be claimed. No connection needs to be opened for it then.
func (a *Attempt) Abandoned() bool {
	return a.phase.Load() == phaseAbandoned || a.phase.Load() == phaseWaiting && a.expired()
}

// expired reports whether it is too late to claim the attempt.
func (a *Attempt) expired() bool {
	now := time.Now()
	return !a.StartBy.IsZero() && now.After(a.StartBy) || a.drainCutoff.passed(now) || a.dedupCutoff.passed(now)
}

// MarkWritten counts the attempt as written. It is called when the last byte was handed to the connection.
func (a *Attempt) MarkWritten() {
	if a.counts != nil {
		a.counts.attempts.Add(1)
	}
}

// SetTransferring records whether the node is taking the request or giving the response, though core is not told yet. Meanwhile the
// attempt is not cancelled for its age.
func (a *Attempt) SetTransferring(transferring bool) { a.transferring.Store(transferring) }

// RecordPhase records the phase of the transfer, for logs, and whether the node takes or gives bytes in it.
func (a *Attempt) RecordPhase(phase progress.Phase, transferring bool) {
	a.transferPhase.Store(int32(phase))
	a.transferring.Store(transferring)
}

// SetMayBePassedOn records that a long response has begun, which is passed on at the deadline at the latest.
func (a *Attempt) SetMayBePassedOn() { a.mayBePassedOn.Store(true) }

// RequestTransferring reports that the node takes the request slowly. Until the attempt is done it is then not cancelled for its age.
// Like Done it may block.
func (a *Attempt) RequestTransferring() {
	if a.post != nil {
		a.post(attemptTransferring{a})
	}
}

// ResponseArriving reports that a response has begun to arrive that is long or comes slowly. Until the attempt is done it is then not
// cancelled for its age. Like Done it may block.
func (a *Attempt) ResponseArriving() {
	if a.post != nil {
		a.post(responseArriving{a})
	}
}

// TransferPaused reports that such a transfer has paused for long, so that another attempt may be made beside this one. Like Done it
// may block.
func (a *Attempt) TransferPaused() {
	if a.post != nil {
		a.post(transferPaused{a})
	}
}

// Done reports the attempt's result. Only the first call has an effect. It may block while the core's mailbox is full, so
// it must not be called in the core's actor or from a NodeClient method.
func (a *Attempt) Done(r Result) {
	a.reportOnce.Do(func() { a.done(r) })
}

// send creates an attempt and passes it to the node's client. If the request is already answered, the attempt ends as
// abandoned without being dispatched.
func (c *Core) send(a *policy.Action, now float64) {
	state := c.requests[a.ID]
	if state == nil {
		return
	}
	deadline := state.request.Deadline
	if a.Deadline > 0 && a.Deadline < deadline {
		deadline = a.Deadline
	}
	attempt := c.newAttempt(state, a, deadline, now)
	state.attempts = append(state.attempts, attempt)
	state.outstanding++
	if state.request.AttemptedNodes != nil {
		state.request.AttemptedNodes.nodes = append(state.request.AttemptedNodes.nodes, a.Node)
	}
	c.publishID(state)
	client, ok := c.clients[a.Node]
	if ok {
		attempt.client = client
		c.recordUse(a.Node, now)
	}
	if !ok || state.answered || !client.Send(attempt) {
		c.failUnsent(attempt)
	}
}

// newAttempt returns the next attempt of a request.
func (c *Core) newAttempt(state *requestState, a *policy.Action, deadline, now float64) *Attempt {
	attempt := NewAttempt(state.request, c.wallTime(deadline), nil)
	attempt.Number = len(state.attempts)
	attempt.Node = a.Node
	attempt.sentAtMs = now
	attempt.nodeStartTime = c.nodes[a.Node].StartTime
	attempt.state = state
	attempt.counts = c.counters.of(state.request.Class)
	attempt.drainCutoff = c.cutoffs[a.Node]
	attempt.dedupCutoff = &state.dedupCutoff
	if a.StartBy > 0 {
		attempt.StartBy = c.wallTime(a.StartBy)
		state.dedupCutoff.set(attempt.StartBy) // also bounds an earlier unclaimed attempt, which would be the retry if it were written after this one
	}
	attempt.post = c.post
	attempt.done = func(r Result) { c.post(attemptResult{attempt, r}) }
	return attempt
}

// failUnsent ends an attempt that no node client accepted. It queues the event for the next step of the decision module
// instead of posting a message, because the actor must not block on its own mailbox.
func (c *Core) failUnsent(attempt *Attempt) {
	state := attempt.state
	attempt.reportOnce.Do(func() {}) // makes later calls of Done no-ops, as the result is reported below
	state.outstanding--
	status := policy.ConnectFailed
	if state.answered {
		status = policy.Abandoned
	}
	c.events = append(c.events, policy.Event{
		Kind:     policy.AttemptEnded,
		ID:       state.request.ID,
		Attempt:  attempt.Number,
		Node:     attempt.Node,
		Status:   status,
		Finished: state.answered,
	})
	c.forgetEnded(state)
}

// isOpen reports whether the decision module knows an attempt and not its end.
func (c *Core) isOpen(attempt *Attempt) bool {
	return attempt.endedAtMs <= 0 && c.requests[attempt.state.request.ID] == attempt.state
}

// attemptTransferring handles the notice that a node takes a request slowly.
func (c *Core) attemptTransferring(attempt *Attempt) {
	if !c.isOpen(attempt) {
		return
	}
	attempt.slowTransfer = true
	c.events = append(c.events, policy.Event{
		Kind:    policy.AttemptTransferring,
		ID:      attempt.state.request.ID,
		Attempt: attempt.Number,
	})
}

// responseArriving handles the begin of a response that is long or comes slowly.
func (c *Core) responseArriving(attempt *Attempt, now float64) {
	if !c.isOpen(attempt) {
		return
	}
	attempt.respondingMs = now - attempt.sentAtMs
	c.events = append(c.events, policy.Event{
		Kind:    policy.ResponseArriving,
		ID:      attempt.state.request.ID,
		Attempt: attempt.Number,
		Latency: attempt.respondingMs,
	})
}

// transferPaused handles the pause of a transfer.
func (c *Core) transferPaused(attempt *Attempt) {
	if !c.isOpen(attempt) {
		return
	}
	c.events = append(c.events, policy.Event{
		Kind:    policy.TransferPaused,
		ID:      attempt.state.request.ID,
		Attempt: attempt.Number,
	})
}

// attemptEnded handles the result of an attempt. The first attempt that is served answers the request.
func (c *Core) attemptEnded(attempt *Attempt, result Result, now float64) {
	state := attempt.state
	if result.Status == policy.Abandoned && state.request.clientDisconnected() {
		c.cancelRequest(state) // otherwise the decision module would retry the request
	}
	state.outstanding--
	state.mayHaveRun = state.mayHaveRun || mayHaveRun(result.Status) && !result.NotPerformed
	attempt.endedAtMs, attempt.status, attempt.reason = now, result.Status, result.Reason
	latency := now - attempt.sentAtMs
	if attempt.respondingMs > 0 {
		latency = attempt.respondingMs
	}
	if c.options.OnAttemptEnded != nil && !attempt.slowTransfer {
		c.options.OnAttemptEnded(attempt.Node, int64(attempt.nodeStartTime), state.request.Class, state.request.Units, latency, result.Status)
	}
	if limiter := c.startLimiter(); limiter != nil {
		limiter.AttemptEnded(attempt.Node, result.Status)
	}
	c.answerFromResult(state, &result)
	if state.aborted {
		c.answerAborted(state)
	}
	state.releaseEnded()
	if c.requests[state.request.ID] != state {
		return // the request was failed by a restart of the decision module
	}
	c.events = append(c.events, policy.Event{
		Kind:      policy.AttemptEnded,
		ID:        state.request.ID,
		Attempt:   attempt.Number,
		Node:      attempt.Node,
		Status:    result.Status,
		Latency:   latency,
		Finished:  state.answered,
		PlanUsage: result.PlanUsage,
		PeerUsage: result.PeerUsage,
		Load:      result.Load,
	})
	c.forgetEnded(state)
}

// answerFromResult answers a request with the result of one of its attempts, if the result decides the request. The first attempt that
// is served does. That a node did not perform the request says nothing about the other attempts: while one of them may have run, the
// result is not passed on.
func (c *Core) answerFromResult(state *requestState, result *Result) {
	switch {
	case state.answered:
		result.releasePayload()
	case result.NotPerformed && state.mayStillRun():
		result.releasePayload()
		result.Status = policy.Abandoned // the outstanding attempt may serve the request
	case result.NotPerformed && state.mayHaveRun:
		result.releasePayload()
		result.Status = policy.Abandoned
		c.answer(state, Answer{Kind: Failed, Cause: CauseNotServed, Reason: ReasonNotPerformed})
	case result.Status == policy.OK:
		c.answer(state, Answer{Kind: Served, Payload: result.Payload})
	case result.NotPerformed:
		c.answer(state, Answer{Kind: Failed, Cause: CauseInvalidRequest, Reason: ReasonInvalidRequest})
	default:
		result.releasePayload()
	}
}

// releasePayload releases the payload of a result that is not used for an answer.
func (r *Result) releasePayload() {
	if payload, ok := r.Payload.(Releaser); ok {
		payload.Release()
	}
	r.Payload = nil
}
