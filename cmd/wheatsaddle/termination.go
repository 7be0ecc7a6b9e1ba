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

// stallGauge tells when a signal was sent, at the earliest. The system delivers no signal to a stalled process (stopped,
// or without a processor): one that arrives right after a stall may have been sent at its start.
//
// It reads no clock: the caller passes the time.
type stallGauge struct {
	beat          time.Time // when the process last noted that it runs
	stalled, woke time.Time // start and end of the last stall
}

// ran notes that the process runs; it is called each heartbeatInterval.
func (g *stallGauge) ran(now time.Time) {
	if now.Sub(g.beat) > heartbeatInterval+heartbeatSlack {
		if !g.justWoke(g.beat) { // two stalls in a row count as one
			g.stalled = g.beat
		}
		g.woke = now
	}
	g.beat = now
}

// justWoke says whether a stall ended within a heartbeatInterval before at.
func (g *stallGauge) justWoke(at time.Time) bool {
	return !g.woke.IsZero() && at.Sub(g.woke) < heartbeatInterval
}

// sent is the earliest time at which a signal that arrives now was sent.
func (g *stallGauge) sent(now time.Time) time.Time {
	g.ran(now)
	if g.justWoke(now) {
		return g.stalled
	}
	return now
}

// termination is the signal to end, noted when it arrives whatever the process does then.
type termination struct {
	asked chan struct{} // closed when the signal has arrived
	sent  time.Time     // at the earliest; valid once asked is closed
}

// awaitTermination notes the first of the signals. Further ones have no effect, and must not end the process: they stay in
// the channel or are dropped.
//
// Stalls count from started on, not from when the goroutine first runs: one may come before.
func awaitTermination(signals <-chan os.Signal, started time.Time, log logrus.FieldLogger) *termination {
	t := &termination{asked: make(chan struct{})}
	gauge := stallGauge{beat: started}
	go func() {
		defer close(t.asked)
		beat := time.NewTicker(heartbeatInterval)
		defer beat.Stop()
		for {
			select {
			case <-beat.C:
				gauge.ran(time.Now())
			case <-signals:
				now := time.Now()
				t.sent = gauge.sent(now)
				log.WithField("delay_ms", now.Sub(t.sent).Round(time.Millisecond).Milliseconds()).Info("termination signal received")
				return
			}
		}
	}()
	return t
}

// came says whether the signal has arrived.
func (t *termination) came() bool {
	select {
	case <-t.asked:
		return true
	default:
		return false
	}
}
