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
	// Times after SIGTERM.
	minAcceptDuration  = 200 * time.Millisecond // clients may still open connections, at least
	maxAcceptDuration  = 450 * time.Millisecond // clients may still open connections, at most
	killDelay          = 700 * time.Millisecond // until SIGKILL, to which the longest deadline is added
	maxCountedDeadline = 3 * time.Second        // a longer deadline counts as this

	// Times before SIGKILL.
	closeMargin  = 400 * time.Millisecond // connections close between requests
	answerMargin = 200 * time.Millisecond // open requests get their final answers
	exitMargin   = 100 * time.Millisecond // the process exits

	connectionPollInterval = 20 * time.Millisecond // between checks of the open connections
)

// gracePeriod is the least time from SIGTERM to SIGKILL, which follows from the deadlines of the classes.
func gracePeriod(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range set.Classes {
		longest = max(longest, milliseconds(class.Deadline))
	}
	return min(longest, maxCountedDeadline) + killDelay
}

// shutdown takes the process from SIGTERM to its exit, in the steps of run. All times count from the signal.
type shutdown struct {
	signalSentAt time.Time // at the earliest
	killAt       time.Time // when SIGKILL comes, at the earliest
	core         *core.Core
	front        *httpfront.Server
	iscsi        *iscsiFront
	socket       *passedSocket // nil: the clients' socket was bound by this process
	fleet        *fleet
	log          logrus.FieldLogger
}

// newShutdown computes the grace period from the settings at the signal, which may not be those of the start.
func newShutdown(signalSentAt time.Time, set policy.Settings) *shutdown {
	return &shutdown{signalSentAt: signalSentAt, killAt: signalSentAt.Add(gracePeriod(set))}
}

func (s *shutdown) run() {
	s.log.WithField("grace_ms", s.killAt.Sub(s.signalSentAt).Milliseconds()).Info("stopping")
	go s.fleet.stop() // in parallel: it may take longer than the end of the shutdown has
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

// acceptLonger still accepts connections for a while, since clients learn of the shutdown late. A passed socket is released
// to the next process at once.
func (s *shutdown) acceptLonger() {
	if s.socket != nil {
		return
	}
	s.log.WithField("duration_ms", maxAcceptDuration.Milliseconds()).Info("stopping: still accepting connections")
	time.Sleep(time.Until(s.signalSentAt.Add(minAcceptDuration)))
	s.front.ReserveIdleConns()
	time.Sleep(time.Until(s.signalSentAt.Add(maxAcceptDuration)))
}

// serve serves the open connections: clients use them while they are open, and until another process has started nobody
// else serves these clients.
func (s *shutdown) serve() {
	s.socket.handOver(s.killAt.Add(-closeMargin))
	s.pollUntil(closeMargin, s.front.StopAccepting)
}

// drain closes each connection with its next answer, and those without a request at once.
func (s *shutdown) drain() {
	s.front.CloseAfterResponses()
	s.pollUntil(answerMargin, s.closeIdle)
}

// finish answers the open requests, rejects new ones, and waits until the answers are written.
func (s *shutdown) finish() {
	if s.closeIdle() == 0 {
		return
	}
	s.core.Finish()
	s.pollUntil(exitMargin, func() int {
		s.front.RejectIncoming()
		return s.closeIdle()
	})
}

// closeIdle closes the connections without a request, and returns how many remain open.
func (s *shutdown) closeIdle() int { return s.front.CloseIdle(0) }

// pollUntil polls until no connection is open or the time to SIGKILL is at most margin. It polls at least once.
func (s *shutdown) pollUntil(margin time.Duration, openConnections func() int) {
	for openConnections() > 0 && time.Until(s.killAt) > margin {
		time.Sleep(connectionPollInterval)
	}
}
