package httpfront

import (
	"context"
	"time"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/policy"
)

// addressConn is one connection of a node with several addresses, or the dial of one.
type addressConn struct {
	conn
	id        address.Conn
	cancelRun context.CancelFunc // ends its dial, or its wait for a job
	ready     bool               // the dial has succeeded and the selector uses the connection
	request   *connRequest       // request that it carries
	lastUsed  time.Time          // end of its last request; zero: it had none
}

// addressMessage is one message from a goroutine of the pool to the node's actor; the fields of one kind are set.
type addressMessage struct {
	addresses []address.Addr // the node's new addresses
	connected *addressConn   // its dial has succeeded
	failed    *addressConn   // its dial has failed, for why
	reason    address.Reason
	expired   *connRequest // its context has ended; it may still wait
	returned  *addressConn // its request has ended; event is the result for the selector
	unsent    *addressConn // found unusable before a byte of its request was written
	event     address.Event
	rejected  *core.Result // result of an attempt that was rejected as full: the actor decides whether by its own node
}

// run dials the connection and carries its requests until ctx ends or the connection cannot be used again.
func (t *addressConn) run(ctx context.Context) {
	why, err := t.connect(ctx)
	if err != nil {
		t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{failed: t, reason: why}})
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
		if j.attempt != nil && t.unusable() {
			t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{unsent: t}})
			return
		}
		start := time.Now()
		r, e := t.serve(j)
		if rep, ok := r.Payload.(*nodeResponse); ok && rep.relay != nil && j.attempt != nil {
			// A long answer: the connection is the relay's until its last byte has passed.
			rep.relay.handOut()
			j.attempt.Done(r)
			e.KeepAlive = rep.relay.wait() && e.KeepAlive
			t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: &addressMessage{returned: t, event: e}})
			rep.relay.connReturned()
			if !e.KeepAlive {
				return
			}
			continue
		}
		// The actor is notified first, so that the module's next send finds the connection free.
		m := &addressMessage{returned: t, event: e}
		if j.attempt != nil && r.Status == policy.NodeFull {
			m.rejected = &r
		}
		t.node.mailbox.PutUnbounded(nodeMessage{addressMessage: m})
		switch {
		case j.probe != nil:
			j.probe(r, time.Since(start))
		case m.rejected == nil:
			j.attempt.Done(r)
		}
		if e.Kind != address.ResponseReceived || !e.KeepAlive {
			return
		}
	}
}

// serve carries one request, and returns its result and the event for the selector.
func (t *addressConn) serve(j job) (r core.Result, e address.Event) {
	dropped := address.Event{Kind: address.RequestDropped}
	if j.probe != nil {
		r, reuse := t.conn.probe()
		e = address.Event{Kind: address.ResponseReceived, Verdict: address.VerdictOther, KeepAlive: reuse}
		if r.Status == policy.ConnectFailed || r.Status == policy.ConnectionReset {
			e = address.Event{Kind: address.ConnBroken, Reason: address.ReasonReset}
		}
		return r, e
	}
	switch {
	case !time.Now().Before(j.attempt.Deadline):
		return core.Result{Status: policy.Abandoned}, dropped
	case t.node.draining.Load() || j.ctx.Err() != nil: // the node began to drain while it waited
		return unsentResult(j.ctx), dropped
	case !j.attempt.Claim(): // its request was answered while it waited
		return core.Result{Status: policy.Abandoned}, dropped
	}
	r, reuse, cut := t.exchange(j)
	switch {
	case cut && j.ctx.Err() == nil && r.Status != policy.Abandoned:
		return r, address.Event{Kind: address.ConnBroken, Reason: address.ReasonCutOff}
	case cut || r.Status == policy.Cancelled || r.Status == policy.TimedOut:
		return r, dropped
	case r.Status == policy.ConnectionReset:
		return r, address.Event{Kind: address.ConnBroken, Reason: address.ReasonReset}
	}
	e = address.Event{Kind: address.ResponseReceived, KeepAlive: reuse}
	switch {
	case t.answeredBy != "" && t.answeredBy != t.node.name:
		e.Verdict, e.KeepAlive = address.VerdictWrongNode, false
	case r.Status == policy.OK:
		e.Verdict = address.VerdictServed
	case r.Status == policy.NodeFull:
		e.Verdict = address.VerdictRejected
	default:
		e.Verdict = address.VerdictOther
	}
	return r, e
}
