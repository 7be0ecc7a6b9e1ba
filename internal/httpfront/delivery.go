package httpfront

import (
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
	started time.Time // origin of the times passed to response
	closer  *contextCloser

	mu       sync.Mutex // guards the fields below; it is acquired before the closer's
	response forwarding.Response
	result   core.Result
	passedOn bool
	ended    bool // no longer passed on early

	deadlineTimer, pauseTimer *time.Timer // nil: the response is short
}

// newDelivery returns the delivery of a job whose message was written.
func newDelivery(n *node, j job, closer *contextCloser) *delivery {
	return &delivery{attempt: j.attempt, node: n, started: time.Now(), closer: closer}
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
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passedOn {
		return
	}
	d.deadlineTimer = time.AfterFunc(time.Until(d.attempt.Deadline)-passOnMargin, d.deadlineNear)
	d.pauseTimer = time.AfterFunc(pauseReported, d.attempt.ResponsePaused)
}

// heard is called when bytes have arrived after the head.
func (d *delivery) heard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pauseTimer != nil && !d.passedOn {
		d.pauseTimer.Reset(pauseReported)
	}
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

// deadlineNear is called shortly before the attempt's deadline, and at the deadline, as the timer may be late.
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
	if d.ended || d.result.Status != policy.OK || !d.closer.detachForPassOn() {
		d.mu.Unlock()
		return false
	}
	d.passedOn = true
	d.node.passingOn.Add(1)
	d.result.Payload.(*nodeResponse).relay.markPassedOn()
	result := d.result
	d.stopTimers()
	d.mu.Unlock()
	d.attempt.Done(result)
	return true
}

// end is called when the response is complete or has failed. It reports whether it was passed on before; if not, it no longer
// will be.
func (d *delivery) end() (passedOn bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopTimers()
	if d.passedOn && !d.ended {
		d.node.passingOn.Add(-1)
	}
	d.ended = true
	return d.passedOn
}

// stopTimers stops the timers. The caller holds the mutex.
func (d *delivery) stopTimers() {
	if d.deadlineTimer != nil {
		d.deadlineTimer.Stop()
		d.pauseTimer.Stop()
	}
}
