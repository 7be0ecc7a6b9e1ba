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
	newcomersFor = 200 * time.Millisecond // clients may still open connections, at the least
	acceptFor    = 450 * time.Millisecond // ... and at the most
	killAfter    = 700 * time.Millisecond // SIGKILL comes, with the longest deadline added
	deadlineMost = 3 * time.Second        // that deadline counts as this at the most

	// Before SIGKILL.
	closeMargin  = 400 * time.Millisecond // connections close between requests
	answerMargin = 200 * time.Millisecond // open requests are answered
	exitMargin   = 100 * time.Millisecond // the process exits

	stopPoll = 20 * time.Millisecond // between looks at the open connections
)

// graceOf is the least time from SIGTERM to SIGKILL, by the classes' deadlines.
func graceOf(set policy.Settings) time.Duration {
	longest := time.Duration(0)
	for _, class := range set.Classes {
		longest = max(longest, milliseconds(class.Deadline))
	}
	return min(longest, deadlineMost) + killAfter
}

// shutdown takes the process from SIGTERM to its exit: accept, serve, drain, finish. All times count from the signal.
type shutdown struct {
	sent   time.Time // the signal, at the earliest
	kill   time.Time // SIGKILL, at the earliest
	core   *core.Core
	front  *httpfront.Server
	blocks *blockFront
	socket *passedSocket // nil: the clients' socket was bound by this process
	fleet  *fleet
	log    logrus.FieldLogger
}

// newShutdown takes the grace from the settings that count when the signal is taken, which may not be those of the start.
func newShutdown(sent time.Time, set policy.Settings) *shutdown {
	return &shutdown{sent: sent, kill: sent.Add(graceOf(set))}
}

func (s *shutdown) run() {
	s.log.WithField("grace", s.kill.Sub(s.sent)).Info("stopping")
	go s.fleet.stop() // beside the rest: it takes time that the end does not have
	s.accept()
	end, stop := context.WithDeadline(context.Background(), s.kill.Add(-exitMargin))
	defer stop()
	blocksDone := make(chan struct{})
	go func() {
		defer close(blocksDone)
		s.blocks.shutdown(end)
	}()
	s.serve()
	s.drain()
	s.finish()
	<-blocksDone
	s.log.Info("stopped")
}

// accept accepts connections a little longer. A passed socket is the next process's at once.
func (s *shutdown) accept() {
	if s.socket != nil {
		return
	}
	s.log.Info("stopping: accepting a little longer")
	time.Sleep(time.Until(s.sent.Add(newcomersFor)))
	s.front.ReserveIdleConns()
	time.Sleep(time.Until(s.sent.Add(acceptFor)))
}

// serve serves on the open connections: clients use them while they are open, and until the process is back nobody
// else serves these clients.
func (s *shutdown) serve() {
	s.socket.leave(s.kill.Add(-closeMargin))
	s.until(closeMargin, s.front.StopAccepting)
}

// drain closes each connection with its next answer, and those without a request at once.
func (s *shutdown) drain() {
	s.front.CloseAfterResponses()
	s.until(answerMargin, s.sweep)
}

// finish answers the open requests, refuses new ones, and waits until the answers are written.
func (s *shutdown) finish() {
	if s.sweep() == 0 {
		return
	}
	s.core.Finish()
	s.until(exitMargin, func() int {
		s.front.RejectIncoming()
		return s.sweep()
	})
}

// sweep closes the connections between requests, and returns how many are open.
func (s *shutdown) sweep() int { return s.front.CloseIdle(0) }

// until polls until no connection is open or SIGKILL is as near as before. It polls once at least.
func (s *shutdown) until(before time.Duration, open func() int) {
	for open() > 0 && time.Until(s.kill) > before {
		time.Sleep(stopPoll)
	}
}
