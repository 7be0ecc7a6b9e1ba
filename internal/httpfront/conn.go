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
	readBufferSize = 4096 // also the bound of a head's length
)

// job is what a connection is to carry: an attempt with its context, or a probe.
type job struct {
	attempt *core.Attempt
	ctx     context.Context
	probe   func(core.Result, time.Duration)
}

// conn is one connection, which carries one attempt at a time. attempt, idleAt, ctx and stop are the node
// actor's; the connection's goroutine sets socket once, and owns the rest while it has a job.
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
	used        bool          // a request was written on it
	capacity    capacityHint  // what it showed of the node's capacity, until that is recorded
	idleElement *list.Element // in the dialer's idle set, whose lock guards it
	ctx         context.Context
	stop        context.CancelFunc
	socket      transport.Stream
	reader      *bufio.Reader
	timed       *timedReader
	buffer      []byte
	response    fasthttp.Response
	// identity is the header field in which a node names itself, and answeredBy its value in the last answer.
	identity, answeredBy string
}

// capacityHint is what a new connection shows of the node's capacity for more connections.
type capacityHint uint8

const (
	capacityUnknown  capacityHint = iota
	capacityFree                  // its first request was answered
	capacityDoubtful              // its dial timed out, or it ended without an answer
	capacityNone                  // it was refused
)

// cancel cancels the attempt that it carries: the connection is closed and not used again.
func (c *conn) cancel() { c.stop() }

// run does the connection's jobs until there are no more or it cannot be used again.
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

// doJob does one job and gives the connection back to the actor; false: it cannot be used again. The actor learns of the
// connection before the core learns of the result, so that the module's next send finds it free.
func (c *conn) doJob(j job) (reuse bool) {
	if j.probe != nil {
		start := time.Now()
		r, reuse := c.probe()
		c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: !reuse})
		j.probe(r, time.Since(start))
		return reuse
	}
	if c.unusable() {
		c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: true, resend: j.attempt})
		return false
	}
	r, reuse := c.carryAttempt(j)
	if rep, ok := r.Payload.(*nodeResponse); ok && rep.relay != nil {
		// A long answer: the connection is the relay's until its last byte has passed.
		rep.relay.handOut()
		j.attempt.Done(r)
		reuse = rep.relay.wait() && reuse
		c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: !reuse})
		rep.relay.connReturned()
		return reuse
	}
	c.node.mailbox.PutUnbounded(nodeMessage{returned: c, broken: !reuse})
	j.attempt.Done(r)
	return reuse
}

// unusable says, right before an attempt is written, whether a used connection has been closed by the node or has
// unexpected bytes to read: they would pass for the answer to this attempt.
func (c *conn) unusable() bool { return c.used && !transport.IsReusable(c.socket) }

// ensureUp dials where the connection is not up yet, and records what that shows of the node's capacity.
func (c *conn) ensureUp(ctx context.Context) error {
	if c.socket != nil {
		return nil
	}
	why, err := c.connect(ctx)
	switch {
	case err == nil && !transport.IsReusable(c.socket): // closed before a request was written: nothing has run
		c.socket.Close()
		c.capacity, err = capacityNone, errMalformedAnswer
	case err == nil:
	case why == address.ReasonRefused && ctx.Err() == nil:
		c.capacity = capacityNone
	case why == address.ReasonTimedOut:
		c.capacity = capacityDoubtful
	}
	return err
}

// connect dials the address; why classifies an error.
func (c *conn) connect(ctx context.Context) (why address.Reason, err error) {
	d := c.node.dialer
	dial := d.dial
	if dial == nil {
		dial = transport.Dial
	}
	nc, why, err := dial(ctx, c.address, d.ConnectTimeout)
	if err == nil {
		c.attach(nc)
	}
	return why, err
}

// attach sets the socket of the connection and its readers.
func (c *conn) attach(nc transport.Stream) {
	c.socket = nc
	c.timed = &timedReader{socket: c.socket}
	c.reader = bufio.NewReaderSize(c.timed, readBufferSize)
}

// unsentResult is the result of an attempt that was not written, or not to its last byte: Cancelled if its context was
// cancelled, else ConnectFailed.
func unsentResult(ctx context.Context) core.Result {
	if errors.Is(ctx.Err(), context.Canceled) {
		return core.Result{Status: policy.Cancelled}
	}
	return core.Result{Status: policy.ConnectFailed}
}

// carryAttempt carries one attempt; reuse reports whether the connection may carry another.
func (c *conn) carryAttempt(j job) (r core.Result, reuse bool) {
	a := j.attempt
	if !time.Now().Before(a.Deadline) {
		return core.Result{Status: policy.Abandoned}, c.socket != nil
	}
	if err := c.ensureUp(j.ctx); err != nil {
		return unsentResult(j.ctx), false
	}
	if !a.Claim() { // its request was answered meanwhile, or its time is over
		return core.Result{Status: policy.Abandoned}, j.ctx.Err() == nil
	}
	if c.node.draining.Load() { // the node began to drain while it waited
		return unsentResult(j.ctx), j.ctx.Err() == nil
	}
	r, reuse, _ = c.exchange(j)
	return r, reuse
}

// probe asks the node for its load.
func (c *conn) probe() (core.Result, bool) {
	ctx, stop := context.WithTimeout(context.Background(), probeTimeout)
	defer stop()
	if err := c.ensureUp(ctx); err != nil {
		return core.Result{Status: policy.ConnectFailed}, false
	}
	unwatch := context.AfterFunc(ctx, func() { c.socket.Close() })
	c.buffer = append(append(append(c.buffer[:0], "GET /stats HTTP/1.1\r\nHost: "...), c.host...), "\r\n\r\n"...)
	if _, err := c.socket.Write(c.buffer); err != nil {
		unwatch()
		return core.Result{Status: policy.ConnectFailed}, false
	}
	defer c.response.Reset()
	rep, clean, err := c.readAnswer()
	if whole := unwatch(); err != nil || !whole {
		return core.Result{Status: policy.ConnectionReset}, false
	}
	rep.Release()
	r := core.Result{Status: policy.Errored, Load: decodeLoad(string(rep.body))}
	switch {
	case c.response.StatusCode() == fasthttp.StatusOK:
		r.Status = policy.OK
	case isCapacityRejection(&c.response):
		r.Status = policy.NodeFull
	}
	return r, clean
}
