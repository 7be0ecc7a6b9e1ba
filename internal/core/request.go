package core

import (
	"container/heap"
	"time"

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

// Cause is the reason of a failure, in words that a client may read. A front may map it to its own codes.
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

// Answer is a request's one final answer.
type Answer struct {
	Kind       AnswerKind
	Payload    any           // Served: the payload of the attempt's result
	RetryAfter time.Duration // Rejected
	Cause      Cause         // Failed
}

// Request is a client's request as a front hands it over.
type Request struct {
	policy.Request                   // core sets Deadline
	ReceivedAt     time.Time         // when its last byte arrived
	Timeout        time.Duration     // how long the client waits after ReceivedAt
	Payload        any               // opaque to core: from the front to its node clients
	Answer         func(Answer)      // called exactly once unless the request is cancelled first; must not block
	AttemptedNodes *AttemptedNodes   // filled with the nodes that its attempts go to; nil: not wanted
	Settings       *Settings         // version it was decoded under; nil: the current one at its arrival
	AvoidNodes     []*AttemptedNodes // of earlier requests for the same data, the newest first: other nodes are preferred
	// ClientDisconnected reports whether the client's connection is closed now; nil: unknown. It must not block.
	// Attempts call it when they are claimed, because a Cancel may still be in the mailbox then.
	ClientDisconnected func() bool
}

// clientDisconnected reports whether the client has disconnected, also before Cancel is called. Any goroutine may call it.
func (r *Request) clientDisconnected() bool {
	return r != nil && r.ClientDisconnected != nil && r.ClientDisconnected()
}

// Releaser is a payload with resources that must be released if it is not served.
type Releaser interface{ Release() }

// requestState is a request in the core's table, until it is answered and none of its attempts is outstanding.
type requestState struct {
	request      *Request
	attempts     []*Attempt
	outstanding  int // attempts without a result
	answered     bool
	repeatWindow cutoff // for all its attempts, once one is a retry that the nodes deduplicate only until then
}

// Submit hands over a request without waiting. It is rejected at once if the mailbox is full or the actor has ended.
func (c *Core) Submit(r *Request) {
	select {
	case c.mailbox <- requestArrived{r}:
	default:
		c.Reject(r, rejectionRetryAfter)
		return
	}
	select {
	case <-c.ended:
		c.rejectRemaining() // the actor may have ended without taking it
	default:
	}
}

// Reject answers a request as rejected without the module, and counts it like the module's rejections. Fronts call it
// when they lack resources; any goroutine may call it.
func (c *Core) Reject(r *Request, wait time.Duration) {
	c.counters.ended(r.Class, Rejected)
	r.Answer(Answer{Kind: Rejected, RetryAfter: wait})
}

// Cancel ends a request whose client has disconnected. Its Answer may still be called until the actor has handled
// this. It may wait for the mailbox.
func (c *Core) Cancel(r *Request) { c.post(requestCancelled{r}) }

// admit adds a request to the table, unless it can be answered at once.
func (c *Core) admit(r *Request, now float64) {
	if c.rejectsArrivals {
		c.Reject(r, rejectionRetryAfter)
		return
	}
	if cause := c.failureCause(r); cause != "" {
		c.counters.ended(r.Class, Failed)
		r.Answer(Answer{Kind: Failed, Cause: cause})
		return
	}
	if st := c.startLimiter(); st != nil {
		if retry, refuse := st.Admit(c.nodeOfShard(r.Shard)); refuse {
			c.Reject(r, retry)
			return
		}
	}
	c.counters.inProgress.Add(1)
	timeout := r.Timeout - c.timerLag.Margin(c.sinceOrigin(now), r.Timeout)
	r.Deadline = c.moduleTime(r.ReceivedAt.Add(timeout))
	e := &requestState{request: r}
	c.requests[r.ID] = e
	heap.Push(&c.timers, pendingTimer{atMs: r.Deadline + float64(guardDelay.Milliseconds()), guarded: e})
	if len(r.AvoidNodes) > 0 {
		c.deferred = append(c.deferred, e)
		return
	}
	c.events = append(c.events, policy.Event{Kind: policy.RequestArrived, Request: r.Request})
}

// failureCause returns why a request cannot be accepted under the current settings; "": it can.
func (c *Core) failureCause(r *Request) Cause {
	set := c.settings.Load()
	switch {
	case !set.knows(&r.Request):
		return CauseUnknownClass
	case r.Settings != nil && r.Settings != set && !set.agrees(r.Settings, &r.Request):
		return CauseSettingsChanged
	case c.requests[r.ID] != nil:
		return CauseDuplicateID // the table holds one request for an id
	}
	return ""
}

// cancelRequest ends a request whose client has disconnected; it gets no answer.
func (c *Core) cancelRequest(e *requestState) {
	if e.answered {
		return
	}
	e.markAnswered()
	c.counters.inProgress.Add(-1)
	c.dropFromModule(e)
}

// abort answers a request that the module still has, and ends it there.
func (c *Core) abort(e *requestState, a Answer) {
	if e.answered {
		return
	}
	c.answer(e, a)
	c.dropFromModule(e)
}

// dropFromModule ends an answered request in the module.
func (c *Core) dropFromModule(e *requestState) {
	c.events = append(c.events, policy.Event{Kind: policy.ClientDisconnected, ID: e.request.ID})
	c.forgetEnded(e)
}

// answer gives a request its final answer; a second one is ignored.
func (c *Core) answer(e *requestState, a Answer) {
	if e.answered {
		return
	}
	e.markAnswered()
	c.counters.inProgress.Add(-1)
	c.counters.ended(e.request.Class, a.Kind)
	e.request.Answer(a)
	c.logLate(e, a, time.Now())
}

// markAnswered marks a request as answered and abandons its attempts that are not claimed yet. One may still wait for
// a connection after another was served or the deadline has passed, and must not be written.
func (e *requestState) markAnswered() {
	e.answered = true
	for _, t := range e.attempts {
		t.phase.CompareAndSwap(phaseWaiting, phaseAbandoned)
	}
}

// forgetEnded removes a request from the table once it is answered and none of its attempts is outstanding.
func (c *Core) forgetEnded(e *requestState) {
	if e.answered && e.outstanding == 0 && c.requests[e.request.ID] == e {
		delete(c.requests, e.request.ID)
	}
}
