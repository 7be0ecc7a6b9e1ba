package httpfront

import (
	"context"
	"sync"
	"time"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/forwarding"
	"wheatsaddle/policy"
)

const (
	// passOnMargin is how long before an attempt's deadline a long response that is still arriving is passed on.
	passOnMargin = 5 * time.Millisecond
	// pauseReported is the silence of an arriving response after which core may make another attempt beside it.
	pauseReported = 500 * time.Millisecond
)

// delivery passes the result of one attempt to core: when the attempt has ended, or earlier if its response is long and still
// arriving. In that case the response has a relay, and the goroutine of the connection goes on to fill it.
type delivery struct {
	attempt *core.Attempt
	node    *node
	started time.Time   // origin of the times passed to response
	detach  func() bool // detaches the attempt's context from the connection; false: it ended before, and the connection is closed

	mu       sync.Mutex // guards the fields below
	response forwarding.Response
	result   core.Result
	passedOn bool
	ended    bool // no longer passed on early

	deadlineTimer, pauseTimer *time.Timer // nil: the response is short
}

// newDelivery returns the delivery of a job whose message was written.
func newDelivery(n *node, j job, detach func() bool) *delivery {
	return &delivery{attempt: j.attempt, node: n, started: time.Now(), detach: detach}
}

// begin is called when the head of a response has arrived that may be long. result is that of the attempt if the response is
// passed on.
func (d *delivery) begin(length int64, result core.Result) {
	d.mu.Lock()
	d.response = forwarding.NewResponse(length, time.Since(d.started))
	d.result = result
	d.mu.Unlock()
	if result.Status != policy.OK {
		return // it is never passed on
	}
	d.attempt.ResponseArriving()
	d.deadlineTimer = time.AfterFunc(time.Until(d.attempt.Deadline)-passOnMargin, d.deadlineNear)
	d.pauseTimer = time.AfterFunc(pauseReported, d.attempt.ResponsePaused)
}

// heard is called when bytes have arrived after the head.
func (d *delivery) heard() {
	if d.pauseTimer != nil {
		d.pauseTimer.Reset(pauseReported)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.response.Heard(time.Since(d.started))
}

// received is called with the size of each piece of the body.
func (d *delivery) received(size int) {
	d.mu.Lock()
	passOn := d.response.Received(time.Since(d.started), size)
	d.mu.Unlock()
	if passOn {
		d.passOn()
	}
}

// deadlineNear is called shortly before the attempt's deadline.
func (d *delivery) deadlineNear() {
	d.mu.Lock()
	passOn := d.response.AtDeadline(time.Since(d.started))
	d.mu.Unlock()
	if passOn {
		d.passOn()
	}
}

// passOn passes the response on, unless the attempt has ended or its context has closed the connection. It reports whether the
// response is passed on.
func (d *delivery) passOn() bool {
	d.mu.Lock()
	if d.passedOn {
		d.mu.Unlock()
		return true
	}
	if d.ended || d.result.Status != policy.OK || !d.detach() {
		d.mu.Unlock()
		return false
	}
	d.passedOn = true
	d.node.passingOn.Add(1)
	d.result.Payload.(*nodeResponse).relay.markPassedOn()
	result := d.result
	d.mu.Unlock()
	d.stopTimers()
	d.attempt.Done(result)
	return true
}

// end is called when the response is complete or has failed. It reports whether it was passed on before; if not, it no longer
// will be.
func (d *delivery) end() (passedOn bool) {
	d.stopTimers()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passedOn && !d.ended {
		d.node.passingOn.Add(-1)
	}
	d.ended = true
	return d.passedOn
}

func (d *delivery) stopTimers() {
	if d.deadlineTimer != nil {
		d.deadlineTimer.Stop()
		d.pauseTimer.Stop()
	}
}

// detachOnce returns a function that stops an AfterFunc of a context and remembers the result.
func detachOnce(stop func() bool) func() bool {
	var once sync.Once
	detached := false
	return func() bool {
		once.Do(func() { detached = stop() })
		return detached
	}
}

// closeWithContext closes the connection when a job's context ends, until the returned function is called. That function
// returns false if the context has ended before.
func (c *conn) closeWithContext(ctx context.Context) func() bool {
	socket := c.socket
	return detachOnce(context.AfterFunc(ctx, func() { socket.Close() }))
}
