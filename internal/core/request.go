package core

import (
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/eventlog"
	"wheatsaddle/policy"
)

// AnswerKind is the outcome of a request.
type AnswerKind int

// The kinds of final answers.
const (
	Served AnswerKind = iota
	Rejected
	Failed
)

// Cause is the reason why a request failed, as text for the client. A front may map it to its own codes.
type Cause string

// The causes of failed requests.
const (
	CauseNotServed        Cause = "given up"
	CauseUnknownClass     Cause = "unknown class or plan"
	CauseSettingsChanged  Cause = "the settings have changed since it was read"
	CauseDuplicateID      Cause = "request id in use"
	CauseDeadlineExceeded Cause = "out of time"
	CauseInvalidRequest   Cause = "the storage node cannot use it"
	CauseInternal         Cause = "internal error"
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       AnswerKind
	Payload    any           // if Served: the payload of the attempt's result
	RetryAfter time.Duration // if Rejected
	Cause      Cause         // if Failed
	Reason     Reason        // for logs and metrics
	MayHaveRun bool          // an attempt has run or may have, or may yet; set by core
}

// Request is a client's request as a front submits it.
type Request struct {
	policy.Request               // core sets Deadline
	ReceivedAt     time.Time     // when the last byte arrived
	Timeout        time.Duration // how long the client waits after ReceivedAt
	// Payload is passed from the front to its node clients. Core does not interpret it, but calls Release if it implements
	// Releaser, once no attempt can use it any more and before the answer. Core then drops its reference. If the actor ends
	// first, Release is not called for a request with an outstanding attempt.
	Payload any
	Answer  func(Answer) // called exactly once unless the request is cancelled before; must not block
	// Ended is called exactly once, when no further attempt of the request will begin: after Answer, or when the request is cancelled.
	// Attempts that were claimed before may go on. It must not block, and may be nil.
	Ended          func()
	AttemptedNodes *AttemptedNodes   // core adds the nodes that the attempts are dispatched to; may be nil
	Settings       *Settings         // version that the request was decoded with; nil means the current one at its arrival
	AvoidNodes     []*AttemptedNodes // nodes of earlier requests for the same data, newest first; other nodes are preferred
	// ClientDisconnected reports whether the client's connection is closed now. It is nil if this is unknown, and must not
	// block. It is called when an attempt is claimed, because the Cancel may still be in the mailbox at that time.
	ClientDisconnected func() bool
}

// clientDisconnected reports whether the client has disconnected, even before Cancel is called. Any goroutine may call it.
func (r *Request) clientDisconnected() bool {
	return r != nil && r.ClientDisconnected != nil && r.ClientDisconnected()
}

// ended calls Ended.
func (r *Request) ended() {
	if r.Ended != nil {
		r.Ended()
	}
}

// releasePayload releases the payload, which nothing may use any more. A second call does nothing.
func (r *Request) releasePayload() {
	payload, ok := r.Payload.(Releaser)
	r.Payload = nil
	if ok {
		payload.Release()
	}
}

// Releaser is a payload with resources. That of a response must be released if it is not used for an answer, that of a
// request when the request and its attempts have ended.
type Releaser interface{ Release() }

// requestState is a request in the core's table, until it is answered and none of its attempts is outstanding.
type requestState struct {
	request       *Request
	attempts      []*Attempt
	outstanding   int // attempts without a result
	answered      bool
	rejected      bool          // the answer is a rejection
	aborted       bool          // no further attempt is made; the outstanding ones are awaited
	published     bool          // other processes see that this one owns the id
	mayHaveRun    bool          // an attempt has run or may have
	guardExtended bool          // the guard waits for a long response to be passed on
	guard         *pendingTimer // nil once the request is answered
	dedupCutoff   cutoff        // applies to all attempts; set once one of them is a retry that the nodes deduplicate only until then
}

// Submit passes a request to the actor without blocking. The request is rejected at once if the mailbox is full or the
// actor has ended.
func (c *Core) Submit(r *Request) {
	select {
	case c.mailbox <- requestArrived{r}:
	default:
		c.Reject(r, rejectionRetryAfter, ReasonMailboxFull)
		return
	}
	select {
	case <-c.ended:
		c.rejectRemaining() // the actor may have ended before it read the request from the mailbox
	default:
	}
}

// Reject rejects a request without the decision module, and counts it like the module's rejections. Fronts call it when
// they lack resources. A request whose id is that of an earlier one, which may have run, fails. Any goroutine may call it.
func (c *Core) Reject(r *Request, wait time.Duration, reason Reason) {
	a := Answer{Kind: Rejected, RetryAfter: wait, Reason: reason}
	if !c.MayReject(r) {
		a = Answer{Kind: Failed, Cause: CauseDuplicateID, Reason: reasonOfCause[CauseDuplicateID]}
	}
	c.refuse(r, a)
}

// refuse answers a request that is not admitted. Any goroutine may call it.
func (c *Core) refuse(r *Request, a Answer) {
	c.counters.ended(r.Class, a.Kind)
	r.releasePayload()
	r.Answer(a)
	r.ended()
	c.options.Events.Record(eventlog.RequestEnded, a.Reason, func() logrus.Fields { return requestFields(r, a) })
}

// Cancel ends a request whose client has disconnected. Its Answer may still be called until the actor has handled the
// cancellation. Cancel may block while the mailbox is full.
func (c *Core) Cancel(r *Request) { c.post(requestCancelled{r}) }

// admit adds a request to the table and queues its arrival for the decision module, unless the request is rejected or
// failed at once.
func (c *Core) admit(r *Request, now float64) {
	if c.rejectsArrivals {
		c.rejectStopping(r, now)
		return
	}
	if cause := c.failureCause(r); cause != "" {
		c.refuse(r, Answer{Kind: Failed, Cause: cause, Reason: reasonOfCause[cause]})
		return
	}
	if limiter := c.startLimiter(); limiter != nil {
		if retryAfter, rejected := limiter.Admit(c.nodeOfShard(r.Shard)); rejected {
			c.options.IDs.End(r.ID, 0)
			c.Reject(r, retryAfter, ReasonStarting)
			return
		}
	}
	c.counters.inProgress.Add(1)
	timeout := r.Timeout - c.timerLag.Margin(c.sinceOrigin(now), r.Timeout)
	r.Deadline = c.moduleTime(r.ReceivedAt.Add(timeout))
	state := &requestState{request: r}
	c.requests[r.ID] = state
	c.setGuard(state)
	if len(r.AvoidNodes) > 0 {
		c.deferred = append(c.deferred, state)
		return
	}
	c.events = append(c.events, policy.Event{Kind: policy.RequestArrived, Request: r.Request})
}

// failureCause returns the reason why a request cannot be accepted under the current settings, or "" if it can. In that case the
// request owns its id.
func (c *Core) failureCause(r *Request) Cause {
	settings := c.settings.Load()
	switch {
	case !settings.hasClassAndPlan(&r.Request):
		return CauseUnknownClass
	case r.Settings != nil && r.Settings != settings && !settings.equivalentFor(r.Settings, &r.Request):
		return CauseSettingsChanged
	case c.requests[r.ID] != nil || !c.options.IDs.Claim(r.ID):
		return CauseDuplicateID // the table holds at most one request for an id
	}
	return ""
}

// cancelRequest ends a request whose client has disconnected, without an answer.
func (c *Core) cancelRequest(state *requestState) {
	if state.answered {
		return
	}
	c.end(state)
	state.request.ended()
	c.recordDisconnect(state)
	c.dropFromModule(state)
}

// abort answers a request and removes it from the decision module.
func (c *Core) abort(state *requestState, a Answer) {
	if state.answered {
		return
	}
	c.answer(state, a)
	c.dropFromModule(state)
}

// dropFromModule removes an answered request from the decision module.
func (c *Core) dropFromModule(state *requestState) {
	c.events = append(c.events, policy.Event{Kind: policy.ClientDisconnected, ID: state.request.ID})
	c.forgetEnded(state)
}

// answer gives a request its final answer. It does nothing if the request is already answered.
func (c *Core) answer(state *requestState, a Answer) {
	if state.answered {
		return
	}
	state.rejected = a.Kind == Rejected
	a.MayHaveRun = state.mayStillRun() || state.mayHaveRun
	c.end(state)
	c.counters.ended(state.request.Class, a.Kind)
	state.request.Answer(a)
	state.request.ended()
	c.recordEnd(state, a)
	c.logLate(state, a, time.Now())
}

// markAnswered marks a request as answered and abandons its attempts that are not claimed yet. Such an attempt may still
// wait for a connection after another one was served or the deadline has passed, and must not be written.
func (s *requestState) markAnswered() {
	s.answered = true
	s.mayStillRun()
}

// mayStillRun abandons the attempts that are not claimed yet, and reports whether one is outstanding that is claimed: its node may have
// run it, or may yet.
func (s *requestState) mayStillRun() bool {
	claimed := false
	for _, attempt := range s.attempts {
		abandoned := attempt.phase.CompareAndSwap(phaseWaiting, phaseAbandoned) || attempt.phase.Load() == phaseAbandoned
		claimed = claimed || !abandoned && attempt.endedAtMs <= 0
	}
	return claimed
}

// end marks a request as answered and releases what only an open request needs. The caller then passes on the answer.
func (c *Core) end(state *requestState) {
	state.markAnswered()
	c.counters.inProgress.Add(-1)
	c.removeGuard(state)
	state.releaseEnded()
}

// releaseEnded releases the payload once the request is answered and none of its attempts is outstanding.
func (s *requestState) releaseEnded() {
	if s.answered && s.outstanding == 0 {
		s.request.releasePayload()
	}
}

// forgetEnded removes a request from the table once it is answered and none of its attempts is outstanding.
func (c *Core) forgetEnded(state *requestState) {
	state.releaseEnded()
	if state.answered && state.outstanding == 0 && c.requests[state.request.ID] == state {
		delete(c.requests, state.request.ID)
		c.releaseID(state)
	}
}
