package main

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// heartbeatInterval is the time between heartbeats, until the termination signal.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatSlack is the lag of a heartbeat from which on the process counts as having been stalled.
	heartbeatSlack = 25 * time.Millisecond
)

// stallDetector computes the earliest time at which a signal was sent. The system delivers no signal to a stalled process
// (stopped, or without a processor): one that arrives right after a stall may have been sent at its start.
//
// It reads no clock: the caller passes the time.
type stallDetector struct {
	lastHeartbeat        time.Time
	stallStart, stallEnd time.Time // of the last stall
}

// heartbeat notes that the process runs; it is called each heartbeatInterval.
func (d *stallDetector) heartbeat(now time.Time) {
	if now.Sub(d.lastHeartbeat) > heartbeatInterval+heartbeatSlack {
		if !d.isRightAfterStall(d.lastHeartbeat) { // two stalls in a row count as one
			d.stallStart = d.lastHeartbeat
		}
		d.stallEnd = now
	}
	d.lastHeartbeat = now
}

// isRightAfterStall reports whether a stall ended within a heartbeatInterval before at.
func (d *stallDetector) isRightAfterStall(at time.Time) bool {
	return !d.stallEnd.IsZero() && at.Sub(d.stallEnd) < heartbeatInterval
}

// signalSentAt returns the earliest time at which a signal that arrives now was sent.
func (d *stallDetector) signalSentAt(now time.Time) time.Time {
	d.heartbeat(now)
	if d.isRightAfterStall(now) {
		return d.stallStart
	}
	return now
}

// termination is the signal to terminate, noted when it arrives whatever the process does then.
type termination struct {
	received chan struct{} // closed when the signal arrives
	sentAt   time.Time     // at the earliest; valid once received is closed
}

// awaitTermination notes the first of the signals. Further ones have no effect, and must not end the process: they stay in
// the channel or are dropped.
//
// Stalls count from startedAt, not from when the goroutine first runs: the process may stall before that.
func awaitTermination(signals <-chan os.Signal, startedAt time.Time, log logrus.FieldLogger) *termination {
	t := &termination{received: make(chan struct{})}
	stalls := stallDetector{lastHeartbeat: startedAt}
	go func() {
		defer close(t.received)
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				stalls.heartbeat(time.Now())
			case <-signals:
				now := time.Now()
				t.sentAt = stalls.signalSentAt(now)
				log.WithField("delay_ms", now.Sub(t.sentAt).Round(time.Millisecond).Milliseconds()).Info("termination signal received")
				return
			}
		}
	}()
	return t
}

// wasReceived reports whether the signal has arrived.
func (t *termination) wasReceived() bool {
	select {
	case <-t.received:
		return true
	default:
		return false
	}
}
