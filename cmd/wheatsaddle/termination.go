package main

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// heartbeatInterval is the time between heartbeats, until the termination signal.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatSlack is the timer lag above which the process counts as having been stalled.
	heartbeatSlack = 25 * time.Millisecond
)

// stallDetector computes the earliest time at which a signal can have been sent. A process that is stalled (stopped, or not
// scheduled on a processor) receives no signals, so one that arrives right after a stall may have been sent at its start.
//
// It reads no clock: the caller passes the time.
type stallDetector struct {
	lastHeartbeat        time.Time
	stallStart, stallEnd time.Time // of the last stall
}

// heartbeat records that the process is running. It is called every heartbeatInterval.
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

// signalSentAt returns the earliest time at which a signal that arrives now can have been sent.
func (d *stallDetector) signalSentAt(now time.Time) time.Time {
	d.heartbeat(now)
	if d.isRightAfterStall(now) {
		return d.stallStart
	}
	return now
}

// termination records the termination signal as soon as it arrives, whatever the process is doing.
type termination struct {
	received chan struct{} // closed when the signal arrives
	sentAt   time.Time     // the earliest possible time; valid once received is closed
}

// awaitTermination records the first of the signals. Further signals must not end the process and have no effect: they
// remain in the channel or are dropped.
//
// Stalls are detected from startedAt on, since the process may stall before the goroutine first runs.
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
