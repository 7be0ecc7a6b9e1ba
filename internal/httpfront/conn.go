package httpfront

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/interleave/sync"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

const (
	probeTimeout   = time.Second
	readBufferSize = 4096 // also the maximum length of a response head
)

// job is the work of a connection: an attempt with its context, or a probe.
type job struct {
	attempt *core.Attempt
	ctx     context.Context
	probe   func(core.Result, time.Duration)
}

// conn is one connection, which carries one attempt at a time. The fields attempt, idleAt, ctx and stop belong to the node's
// actor. The connection's goroutine sets socket once, and owns the other fields while it has a job.
type conn struct {
	node        *node
	address     address.Addr
	host        string
	jobs        chan job
	attempt     *core.Attempt
	idleAt      time.Time
	dialID      int           // id of its dial in node.waiting
	dialStarted time.Duration // start of its dial
	slowDial    bool          // its dial took long
	closeReason closeReason   // why it is or will be closed
	used        bool          // a request was written on it
	unrequested bool          // bytes arrived on it that no request asked for, until that is recorded
	restUntil   time.Time     // no request before this time; zero: it has not rested
	restChecked bool          // its input was checked at the end of its rest
	capacity    capacityHint  // what it showed about the node's capacity, until that is recorded
	idleElement *list.Element // its element of the dialer's idle set, guarded by that set's lock
	ctx         context.Context
	stop        context.CancelFunc
	socket      transport.Stream
	reader      *bufio.Reader
	timedReader *timedReader
	buffer      []byte
	response    fasthttp.Response
	// identity is the header field in which a node names itself, and answeredBy its value in the last response.
	identity, answeredBy string
}

// capacityHint is what a new connection shows about the node's capacity for more connections.
type capacityHint uint8

const (
	capacityUnknown   capacityHint = iota
	capacityFree                   // its first request was answered
	capacityUncertain              // its dial timed out, or it ended without a response
	capacityNone                   // the node refused or closed the connection, or rejected its first request and closes it
)

// cancel cancels the attempt that the connection carries. The connection is closed and not reused.
func (c *conn) cancel() { c.stop() }

// run executes jobs until the job channel is closed or the connection cannot be reused.
func (c *conn) run() {
	defer func() {
		if c.socket != nil {
			c.socket.Close()
		}
	}()
	for {
		j, ok := sync.Recv(c.jobs)
		if !ok || !c.doJob(j) {
			return
		}
	}
}

// doJob executes one job and returns the connection to the actor. The result is false if the connection cannot be reused. The
// actor is notified before the core gets the result, so that the core's next send finds the connection free.
func (c *conn) doJob(j job) (reuse bool) {
	if j.probe != nil {
		start := time.Now()
		r, reuse := c.probe()
		c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: !reuse})
		j.probe(r, time.Since(start))
		return reuse
	}
	if c.isUnusable() {
		c.unrequested = transport.HasInput(c.socket)
		c.closeReason.set(unusableReason(c))
		c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: true, resend: j.attempt})
		return false
	}
	end := c.carryAttempt(j)
	c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: !end.reuse})
	if !end.passedOn {
		j.attempt.Done(end.result)
	}
	return end.reuse
}

// isUnusable reports, right before an attempt is written, whether the node has closed a used connection or sent unexpected
// bytes on it, which would be taken for the response to this attempt.
func (c *conn) isUnusable() bool { return c.used && !transport.IsReusable(c.socket) }

// ensureConnected dials if the connection is not established yet, and records what the dial shows about the node's capacity.
func (c *conn) ensureConnected(ctx context.Context) error {
	if c.socket != nil {
		return nil
	}
	reason, err := c.connect(ctx)
	switch {
	case err == nil && !transport.IsReusable(c.socket): // the node closed it before a request was written, so nothing has run
		c.socket.Close()
		c.capacity, err = capacityNone, errMalformedResponse
		c.closeReason.set(reasonNodeClosed)
	case err == nil:
	case reason == address.ReasonRefused && ctx.Err() == nil:
		c.capacity = capacityNone
	case reason == address.ReasonTimedOut:
		c.capacity = capacityUncertain
	}
	return err
}

// connect dials the address. The reason classifies an error.
func (c *conn) connect(ctx context.Context) (reason address.Reason, err error) {
	d := c.node.dialer
	dial := d.dial
	if dial == nil {
		dial = transport.Dial
	}
	nc, reason, err := dial(ctx, c.address, d.ConnectTimeout)
	if err != nil {
		c.closeReason.set(dialReason(reason))
		return reason, err
	}
	c.setSocket(nc)
	return reason, nil
}

// setSocket sets the socket of the connection and creates its readers.
func (c *conn) setSocket(nc transport.Stream) {
	c.socket = nc
	c.timedReader = &timedReader{socket: c.socket}
	c.reader = bufio.NewReaderSize(c.timedReader, readBufferSize)
}

// unsentResult returns the result of an attempt whose last byte was not written: Cancelled if its context was cancelled,
// otherwise ConnectFailed.
func unsentResult(ctx context.Context) core.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return core.Result{Status: policy.Cancelled}
	}
	return core.Result{Status: policy.ConnectFailed}
}

// carryAttempt carries one attempt.
func (c *conn) carryAttempt(j job) exchangeEnd {
	a := j.attempt
	if !time.Now().Before(a.Deadline) {
		return exchangeEnd{result: core.Result{Status: policy.Abandoned}, reuse: c.socket != nil}
	}
	if err := c.ensureConnected(j.ctx); err != nil {
		r := unsentResult(j.ctx)
		r.Reason = c.closeReason.get()
		return exchangeEnd{result: r}
	}
	if !a.Claim() { // its request has been answered, or its deadline has passed
		return exchangeEnd{result: core.Result{Status: policy.Abandoned}, reuse: j.ctx.Err() == nil}
	}
	if c.node.draining.Load() { // the node began to drain while the attempt waited
		return exchangeEnd{result: unsentResult(j.ctx), reuse: j.ctx.Err() == nil}
	}
	return c.exchange(j)
}

// probe requests the node's load.
func (c *conn) probe() (core.Result, bool) {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	if err := c.ensureConnected(ctx); err != nil {
		return core.Result{Status: policy.ConnectFailed}, false
	}
	first := !c.used
	c.used = true
	unwatch := context.AfterFunc(ctx, func() { c.socket.Close() })
	c.buffer = append(append(append(c.buffer[:0], "GET /stats HTTP/1.1\r\nHost: "...), c.host...), "\r\n\r\n"...)
	if _, err := c.socket.Write(c.buffer); err != nil {
		unwatch()
		return core.Result{Status: policy.ConnectFailed}, false
	}
	defer c.response.Reset()
	rep, reusable, err := c.readResponse(first, nil)
	if rep != nil {
		defer rep.Release()
	}
	if connOpen := unwatch(); err != nil || !connOpen {
		return core.Result{Status: policy.ConnectionReset}, false
	}
	r := core.Result{Status: policy.Errored, Load: decodeLoad(string(rep.body))}
	switch {
	case c.response.StatusCode() == fasthttp.StatusOK:
		r.Status = policy.OK
	case isCapacityRejection(&c.response):
		r.Status = policy.NodeFull
	}
	return r, reusable
}
