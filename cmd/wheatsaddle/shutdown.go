package main

import (
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/core"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/policy"
)

const (
	// Times after SIGTERM.
	minAcceptDuration  = 200 * time.Millisecond // until then connections are accepted without restriction
	maxAcceptDuration  = 450 * time.Millisecond // until then connections are accepted, but requests rejected while few connections are idle
	killDelay          = 700 * time.Millisecond // until SIGKILL, to which the longest deadline is added
	maxCountedDeadline = 3 * time.Second        // a longer deadline counts as this

	// Times before SIGKILL at which a step begins at the latest.
	closeMargin  = 400 * time.Millisecond // connections are closed between requests
	answerMargin = 200 * time.Millisecond // open requests get their final responses
	exitMargin   = 100 * time.Millisecond // the process exits

	connectionPollInterval = 20 * time.Millisecond // between checks of the open connections
)

// gracePeriod returns the minimum time from SIGTERM to SIGKILL, which depends on the deadlines of the classes.
func gracePeriod(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range set.Classes {
		longest = max(longest, milliseconds(class.Deadline))
	}
	return min(longest, maxCountedDeadline) + killDelay
}

// shutdown shuts the process down after SIGTERM, in the steps of run. All times count from the signal.
type shutdown struct {
	signalSentAt time.Time // the earliest time at which the signal can have been sent
	killAt       time.Time // the earliest time at which SIGKILL can be sent
	core         *core.Core
	front        *httpfront.Server
	iscsi        *iscsiFront
	socket       *passedSocket // nil: the clients' socket was bound by this process
	fleet        *fleet
	log          logrus.FieldLogger
}

// newShutdown computes the grace period from the settings at the time of the signal, which a reload may have changed.
func newShutdown(signalSentAt time.Time, set policy.Settings) *shutdown {
	return &shutdown{signalSentAt: signalSentAt, killAt: signalSentAt.Add(gracePeriod(set))}
}

func (s *shutdown) run() {
	s.log.WithField("grace_ms", s.killAt.Sub(s.signalSentAt).Milliseconds()).Info("stopping")
	go s.fleet.stop() // concurrently, because it may take longer than the rest of the shutdown
	s.acceptLonger()
	s.iscsi.stopAccepting()
	s.serve()
	s.drain()
	s.finish()
	s.iscsi.passWritesOn(s.log)
	s.log.Info("stopped")
}

// acceptLonger keeps accepting connections for a while, since clients learn of the shutdown late. A passed socket is not
// kept: it is released to the next process at once.
func (s *shutdown) acceptLonger() {
	if s.socket != nil {
		return
	}
	s.log.WithField("duration_ms", maxAcceptDuration.Milliseconds()).Info("stopping: still accepting connections")
	time.Sleep(time.Until(s.signalSentAt.Add(minAcceptDuration)))
	s.front.ReserveIdleConns()
	time.Sleep(time.Until(s.signalSentAt.Add(maxAcceptDuration)))
}

// serve keeps serving the open connections. Clients use a connection as long as it is open, and until another process has
// started no other process serves these clients.
func (s *shutdown) serve() {
	s.socket.handOver(s.killAt.Add(-closeMargin))
	s.pollUntil(closeMargin, s.front.StopAccepting)
}

// drain closes each connection after its next response, and connections without a request at once. Sessions of the iSCSI
// front end in the same way.
func (s *shutdown) drain() {
	s.front.CloseAfterResponses()
	s.pollUntil(answerMargin, s.closeIdle)
}

// finish answers the open requests of both fronts, rejects new ones, and waits until the responses are written.
func (s *shutdown) finish() {
	if s.closeIdle() == 0 {
		return
	}
	s.core.Finish()
	s.iscsi.finish()
	s.iscsi.passWritesOn(s.log) // the process may be killed before its end
	s.pollUntil(exitMargin, func() int {
		s.front.RejectIncoming()
		return s.closeIdle()
	})
}

// closeIdle closes the connections without a request, and returns how many connections and iSCSI sessions remain open.
func (s *shutdown) closeIdle() int { return s.front.CloseIdle(0) + s.iscsi.openSessions() }

// pollUntil polls until no connection is open or the time to SIGKILL is at most margin. It polls at least once.
func (s *shutdown) pollUntil(margin time.Duration, openConnections func() int) {
	for openConnections() > 0 && time.Until(s.killAt) > margin {
		time.Sleep(connectionPollInterval)
	}
}
