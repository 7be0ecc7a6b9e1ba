package httpfront

import (
	"context"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// addressConn is a connection to a node with several addresses, or the dial of one.
type addressConn struct {
	conn
	id        address.Conn
	cancelRun context.CancelFunc // ends the dial, or the wait for a job
	ready     bool               // the dial has succeeded and the selector may use the connection
	request   *connRequest       // request that the connection carries
	lastUsed  time.Time          // end of its last request; zero before the first
}

// addressMessage is one message from a goroutine of the pool to the node's actor; only the fields of one kind are set.
type addressMessage struct {
	addresses []address.Addr // the node's new addresses
	connected *addressConn   // its dial has succeeded
	failed    *addressConn   // its dial has failed, for reason
	reason    address.Reason
	expired   *connRequest // its context has ended while it may still wait for a connection
	returned  *addressConn // its request has ended with event
	unsent    *addressConn // found unusable before a byte of its request was written
	event     address.Event
	rejected  *core.Result // result of an attempt rejected for lack of capacity; the actor decides whether this node or another one rejected it
}

// run dials the connection and carries requests until ctx ends or the connection cannot be reused.
func (t *addressConn) run(ctx context.Context) {
	reason, err := t.connect(ctx)
	if err != nil {
		t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{failed: t, reason: reason}})
		return
	}
	defer t.socket.Close()
	t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{connected: t}})
	for {
		var j job
		select {
		case j = <-t.jobs:
		case <-ctx.Done():
			return
		}
		if j.attempt != nil && t.isUnusable() {
			t.unrequested = transport.HasInput(t.socket)
			t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{unsent: t}})
			return
		}
		start := time.Now()
		r, event, passedOn := t.serve(j)
		// The actor is notified first, so that the core's next send finds the connection free.
		m := &addressMessage{returned: t, event: event}
		if j.attempt != nil && r.Status == policy.NodeFull {
			m.rejected = &r
		}
		t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: m})
		switch {
		case j.probe != nil:
			j.probe(r, time.Since(start))
		case m.rejected == nil && !passedOn:
			j.attempt.Done(r)
		}
		if event.Kind != address.ResponseReceived || !event.KeepAlive {
			return
		}
	}
}

// serve carries one request and returns its result and the event for the selector. If passedOn is set, core has the result.
func (t *addressConn) serve(j job) (r core.Result, event address.Event, passedOn bool) {
	cancelled := address.Event{Kind: address.RequestCancelled}
	if j.probe != nil {
		r, reuse := t.conn.probe()
		event = address.Event{Kind: address.ResponseReceived, Verdict: address.VerdictOther, KeepAlive: reuse}
		if r.Status == policy.ConnectFailed || r.Status == policy.ConnectionReset {
			event = address.Event{Kind: address.ConnBroken, Reason: address.ReasonReset}
		}
		return r, event, false
	}
	switch {
	case !time.Now().Before(j.attempt.Deadline):
		return core.Result{Status: policy.Abandoned}, cancelled, false
	case t.node.draining.Load() || j.ctx.Err() != nil: // the node began to drain while the attempt waited
		return unsentResult(j.ctx), cancelled, false
	case !j.attempt.Claim(): // its request was answered while the attempt waited
		return core.Result{Status: policy.Abandoned}, cancelled, false
	}
	end := t.exchange(j)
	r = end.result
	switch {
	case end.unsent && j.ctx.Err() == nil && r.Status != policy.Abandoned:
		return r, address.Event{Kind: address.ConnBroken, Reason: address.ReasonCutOff}, false
	case end.unsent || r.Status == policy.Cancelled || r.Status == policy.TimedOut:
		return r, cancelled, false
	case r.Status == policy.ConnectionReset:
		return r, address.Event{Kind: address.ConnBroken, Reason: address.ReasonReset}, false
	}
	event = address.Event{Kind: address.ResponseReceived, KeepAlive: end.reuse}
	switch {
	case t.answeredBy != "" && t.answeredBy != t.node.name:
		event.Verdict, event.KeepAlive = address.VerdictWrongNode, false
	case end.passedOn || r.Status == policy.OK:
		event.Verdict = address.VerdictServed
	case r.Status == policy.NodeFull:
		event.Verdict = address.VerdictRejected
	default:
		event.Verdict = address.VerdictOther
	}
	return r, event, end.passedOn
}
