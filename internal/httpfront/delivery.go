package httpfront

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/progress"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// passOnMargin is how long before an attempt's deadline a long response that is still arriving is passed on.
const passOnMargin = 5 * time.Millisecond

// delivery follows one attempt from the first byte of its request on, and passes its result to core: when the attempt has ended, or
// earlier if its response is long and still arriving. In that case the response has a relay, and the goroutine of the connection goes
// on to fill it.
type delivery struct {
	attempt *core.Attempt
	node    *node
	started time.Time // origin of the times passed to progress
	socket  transport.Stream
	closer  *contextCloser

	mu       sync.Mutex // guards the fields below; it is acquired before the closer's
	progress progress.Attempt
	result   core.Result
	passedOn bool
	ended    bool // no longer passed on early

	deadlineTimer *time.Timer // nil: the response is not known to be long
	pauseTimer    *time.Timer // nil: core does not know of a transfer
}

// newDelivery returns the delivery of a job whose message of a size in bytes begins to be written.
func newDelivery(n *node, j job, closer *contextCloser, socket transport.Stream, requestSize int) *delivery {
	return &delivery{attempt: j.attempt, node: n, started: time.Now(), closer: closer, socket: socket, progress: progress.NewAttempt(int64(requestSize))}
}

// elapsed returns the time since the attempt began to be written.
func (d *delivery) elapsed() time.Duration { return time.Since(d.started) }

// headEnded is called when the head of a response has arrived whose body is read as a whole or not served.
func (d *delivery) headEnded() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress.HeadEnded(d.elapsed(), 0)
	d.recordPhase()
}

// begin is called when the head of a response has arrived that may be long. result is that of the attempt if the response is
// passed on.
func (d *delivery) begin(length int64, result core.Result) {
	d.mu.Lock()
	d.progress.HeadEnded(d.elapsed(), length)
	d.recordPhase()
	d.result = result
	servable := result.Status == policy.OK // otherwise it is never passed on
	if servable {
		d.progress.SetNoticed()
		d.attempt.SetMayBePassedOn()
	}
	d.mu.Unlock()
	if !servable {
		return
	}
	d.attempt.ResponseArriving()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passedOn {
		return
	}
	d.deadlineTimer = time.AfterFunc(time.Until(d.attempt.Deadline)-passOnMargin, d.deadlineNear)
	d.watchPauses()
}

// watchPauses makes core learn of pauses. The caller holds the mutex.
func (d *delivery) watchPauses() {
	if d.pauseTimer == nil && !d.ended {
		d.pauseTimer = time.AfterFunc(progress.PauseAfter, d.attempt.TransferPaused)
	}
}

// recordPhase shows the phase in the attempt's log lines. The caller holds the mutex.
func (d *delivery) recordPhase() {
	d.attempt.RecordPhase(d.progress.Phase(), d.progress.Transferring())
}

// taken is called when the system has accepted bytes of the request.
func (d *delivery) taken() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress.Taken(d.elapsed())
	d.restartPause()
}

// written is called when the system has accepted the last byte of the request.
func (d *delivery) written() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress.Written(d.elapsed())
	d.recordPhase()
	d.attempt.MarkWritten()
}

// heard is called when bytes of the response have arrived.
func (d *delivery) heard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	began := d.progress.Phase() < progress.Head
	d.progress.Heard(d.elapsed())
	if began {
		d.recordPhase()
	}
	d.restartPause()
}

// restartPause makes the time until a pause begin anew. The caller holds the mutex.
func (d *delivery) restartPause() {
	if d.pauseTimer != nil && !d.passedOn {
		d.pauseTimer.Reset(progress.PauseAfter)
	}
}

// wait returns how long a read or write may wait until mayRest is to be called, or progress.Unlimited.
func (d *delivery) wait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.progress.Wait(d.elapsed())
}

// mayRest is called when the node has neither taken nor given a byte for the time of wait. It tells core of a slow transfer, and reports
// whether the node may rest longer.
func (d *delivery) mayRest() bool {
	undelivered := transport.HasUndelivered(d.socket)
	d.mu.Lock()
	now := d.elapsed()
	notice := d.progress.Notice(now, undelivered)
	phase := d.progress.Phase()
	allowed := d.progress.Allowance(now) > 0
	if notice {
		d.watchPauses()
	}
	d.mu.Unlock()
	if notice {
		d.reportTransfer(phase)
	}
	return allowed
}

// reportTransfer tells core, and the log, that the node transfers slowly in a phase.
func (d *delivery) reportTransfer(phase progress.Phase) {
	if phase >= progress.Head {
		d.attempt.ResponseArriving()
	} else {
		d.attempt.RequestTransferring()
	}
	d.node.dialer.Events.Record(eventlog.SlowTransfer, eventlog.Reason(phase.String()), func() logrus.Fields {
		return logrus.Fields{"id": attemptID(d.attempt), "node": d.node.name}
	})
}

// received is called with the size of each piece of the body.
func (d *delivery) received(size int) {
	d.mu.Lock()
	passOn := d.progress.Received(d.elapsed(), size)
	d.mu.Unlock()
	if passOn {
		d.passOn()
	}
}

// deadlineNear is called shortly before the attempt's deadline, and at the deadline, as the timer may be late.
func (d *delivery) deadlineNear() {
	d.mu.Lock()
	passOn := d.progress.PassOnAtDeadline()
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
	d.progress.PassedOn()
	d.recordPhase()
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
	}
	if d.pauseTimer != nil {
		d.pauseTimer.Stop()
	}
}
