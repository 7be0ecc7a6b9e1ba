package main

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// heartbeatInterval is how often the process notes that it runs, until the termination signal.
	heartbeatInterval = 100 * time.Millisecond
	// heartbeatSlack is how late a heartbeat may be before the process counts as having been stalled.
	heartbeatSlack = 25 * time.Millisecond
)

// stallDetector tells when a signal was sent, at the earliest. The system delivers no signal to a stalled process (stopped,
// or without a processor): one that arrives right after a stall may have been sent at its start.
//
// It reads no clock: the caller passes the time.
type stallDetector struct {
	lastHeartbeat        time.Time // when the process last noted that it runs
	stallStart, stallEnd time.Time // start and end of the last stall
}

// heartbeat notes that the process runs; it is called each heartbeatInterval.
func (g *stallDetector) heartbeat(now time.Time) {
	if now.Sub(g.lastHeartbeat) > heartbeatInterval+heartbeatSlack {
		if !g.isRightAfterStall(g.lastHeartbeat) { // two stalls in a row count as one
			g.stallStart = g.lastHeartbeat
		}
		g.stallEnd = now
	}
	g.lastHeartbeat = now
}

// isRightAfterStall says whether a stall ended within a heartbeatInterval before at.
func (g *stallDetector) isRightAfterStall(at time.Time) bool {
	return !g.stallEnd.IsZero() && at.Sub(g.stallEnd) < heartbeatInterval
}

// signalSentAt is the earliest time at which a signal that arrives now was sent.
func (g *stallDetector) signalSentAt(now time.Time) time.Time {
	g.heartbeat(now)
	if g.isRightAfterStall(now) {
		return g.stallStart
	}
	return now
}

// termination is the signal to end, noted when it arrives whatever the process does then.
type termination struct {
	received chan struct{} // closed when the signal has arrived
	sentAt   time.Time     // at the earliest; valid once asked is closed
}

// awaitTermination notes the first of the signals. Further ones have no effect, and must not end the process: they stay in
// the channel or are dropped.
//
// Stalls count from started on, not from when the goroutine first runs: one may come before.
func awaitTermination(signals <-chan os.Signal, started time.Time, log logrus.FieldLogger) *termination {
	t := &termination{received: make(chan struct{})}
	gauge := stallDetector{lastHeartbeat: started}
	go func() {
		defer close(t.received)
		beat := time.NewTicker(heartbeatInterval)
		defer beat.Stop()
		for {
			select {
			case <-beat.C:
				gauge.heartbeat(time.Now())
			case <-signals:
				now := time.Now()
				t.sentAt = gauge.signalSentAt(now)
				log.WithField("delay_ms", now.Sub(t.sentAt).Round(time.Millisecond).Milliseconds()).Info("termination signal received")
				return
			}
		}
	}()
	return t
}

// wasReceived says whether the signal has arrived.
func (t *termination) wasReceived() bool {
	select {
	case <-t.received:
		return true
	default:
		return false
	}
}
