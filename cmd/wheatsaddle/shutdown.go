package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/policy"
)

const (
	// After SIGTERM.
	minAcceptDuration  = 200 * time.Millisecond // clients may still open connections, at the least
	maxAcceptDuration  = 450 * time.Millisecond // ... and at the most
	killDelay          = 700 * time.Millisecond // SIGKILL comes, with the longest deadline added
	maxCountedDeadline = 3 * time.Second        // that deadline counts as this at the most

	// Before SIGKILL.
	closeMargin  = 400 * time.Millisecond // connections close between requests
	answerMargin = 200 * time.Millisecond // open requests are answered
	exitMargin   = 100 * time.Millisecond // the process exits

	connectionPollInterval = 20 * time.Millisecond // between looks at the open connections
)

// gracePeriod is the least time from SIGTERM to SIGKILL, by the classes' deadlines.
func gracePeriod(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range set.Classes {
		longest = max(longest, milliseconds(class.Deadline))
	}
	return min(longest, maxCountedDeadline) + killDelay
}

// shutdown takes the process from SIGTERM to its exit: accept, serve, drain, finish. All times count from the signal.
type shutdown struct {
	signalSentAt time.Time // the signal, at the earliest
	killAt       time.Time // SIGKILL, at the earliest
	core         *core.Core
	front        *httpfront.Server
	iscsi        *iscsiFront
	socket       *passedSocket // nil: the clients' socket was bound by this process
	fleet        *fleet
	log          logrus.FieldLogger
}

// newShutdown takes the grace from the settings that count when the signal is taken, which may not be those of the start.
func newShutdown(sent time.Time, set policy.Settings) *shutdown {
	return &shutdown{signalSentAt: sent, killAt: sent.Add(gracePeriod(set))}
}

func (s *shutdown) run() {
	s.log.WithField("grace_ms", s.killAt.Sub(s.signalSentAt).Milliseconds()).Info("stopping")
	go s.fleet.stop() // beside the rest: it takes time that the end does not have
	s.acceptLonger()
	end, stop := context.WithDeadline(context.Background(), s.killAt.Add(-exitMargin))
	defer stop()
	blocksDone := make(chan struct{})
	go func() {
		defer close(blocksDone)
		s.iscsi.shutdown(end)
	}()
	s.serve()
	s.drain()
	s.finish()
	<-blocksDone
	s.log.Info("stopped")
}

// acceptLonger accepts connections a little longer. A passed socket is the next process's at once.
func (s *shutdown) acceptLonger() {
	if s.socket != nil {
		return
	}
	s.log.WithField("duration_ms", maxAcceptDuration.Milliseconds()).Info("stopping: still accepting connections")
	time.Sleep(time.Until(s.signalSentAt.Add(minAcceptDuration)))
	s.front.KeepFree()
	time.Sleep(time.Until(s.signalSentAt.Add(maxAcceptDuration)))
}

// serve serves on the open connections: clients use them while they are open, and until the process is back nobody
// else serves these clients.
func (s *shutdown) serve() {
	s.socket.handOver(s.killAt.Add(-closeMargin))
	s.pollUntil(closeMargin, s.front.StopAccepting)
}

// drain closes each connection with its next answer, and those without a request at once.
func (s *shutdown) drain() {
	s.front.Leave()
	s.pollUntil(answerMargin, s.closeIdle)
}

// finish answers the open requests, refuses new ones, and waits until the answers are written.
func (s *shutdown) finish() {
	if s.closeIdle() == 0 {
		return
	}
	s.core.Finish()
	s.pollUntil(exitMargin, func() int {
		s.front.Interrupt()
		return s.closeIdle()
	})
}

// closeIdle closes the connections between requests, and returns how many are open.
func (s *shutdown) closeIdle() int { return s.front.Sweep(0) }

// pollUntil polls until no connection is open or SIGKILL is as near as before. It polls once at least.
func (s *shutdown) pollUntil(before time.Duration, open func() int) {
	for open() > 0 && time.Until(s.killAt) > before {
		time.Sleep(connectionPollInterval)
	}
}
