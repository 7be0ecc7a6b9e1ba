package main

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/handover"
	"wheatsaddle/internal/handover/runfile"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/limitshare"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// handoverTimes are the intervals of a process whose clients' socket was passed to it.
var handoverTimes = handover.Settings{
	LockPollInterval: 5 * time.Millisecond,   // between attempts to lock
	SweepInterval:    connectionPollInterval, // between sweeps of the connections
	IdleTimeout:      500 * time.Millisecond, // after which a sweep closes a connection
	WarnAfter:        10 * time.Second,       // waiting time for the lock after which one warning is logged
}

const notifyTimeout = 200 * time.Millisecond // for the core to confirm the handover

// passedSocket drives the handover of a passed clients' socket between processes: it feeds events to handover.Machine and
// executes its actions. All decisions are made by handover. A nil passedSocket means that this process bound the socket.
type passedSocket struct {
	gate            *transport.AcceptGate // blocks accepts until it is opened
	lock            *transport.AcceptLock // held by the process that accepts
	socket          string                // its address, the same for all processes
	machine         *handover.Machine
	core            *core.Core
	front           *httpfront.Server
	limits          *processLimits // follows the phases of the handover
	log             logrus.FieldLogger
	startedAt       time.Time
	openConnections int                // connections at the last sweep
	termination     chan time.Duration // the deadline of the handover, since startedAt
	done            chan struct{}
}

// newPassedSocket prepares the handover on the clients' listener.
func newPassedSocket(conf *config.Config, ln net.Listener, log logrus.FieldLogger) *passedSocket {
	if conf.InheritedSocket == "" {
		return nil
	}
	return &passedSocket{
		gate:        transport.NewAcceptGate(),
		lock:        transport.NewAcceptLock(os.TempDir(), ln.Addr()),
		socket:      ln.Addr().String(),
		machine:     handover.New(handoverTimes),
		log:         log,
		startedAt:   time.Now(),
		termination: make(chan time.Duration),
		done:        make(chan struct{}),
	}
}

// acceptGate returns the gate that blocks accepts; nil: there is none.
func (s *passedSocket) acceptGate() *transport.AcceptGate {
	if s == nil {
		return nil
	}
	return s.gate
}

// run starts the goroutine that waits for the lock.
func (s *passedSocket) run(co *core.Core, front *httpfront.Server) {
	if s != nil {
		s.core, s.front = co, front
		go s.loop()
	}
}

// handOver hands the socket over to the next process. It returns when no connection is open or the deadline has passed.
func (s *passedSocket) handOver(deadline time.Time) {
	if s != nil {
		s.limits.setPhase(limitshare.Draining)
		s.termination <- deadline.Sub(s.startedAt)
		<-s.done
	}
}

// loop feeds events to the state machine until it has ended.
func (s *passedSocket) loop() {
	defer close(s.done)
	s.feed(handover.Event{Kind: handover.Started})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !s.machine.Ended() {
		timer.Reset(min(s.machine.Next()-s.now(), time.Hour))
		select {
		case deadline := <-s.termination:
			s.feed(handover.Event{Kind: handover.TermReceived, Deadline: deadline})
		case <-timer.C:
			s.feed(handover.Event{Kind: handover.TimerFired})
		}
	}
}

func (s *passedSocket) now() time.Duration { return time.Since(s.startedAt) }

// feed passes an event to the state machine, and then the events that its actions cause.
func (s *passedSocket) feed(e handover.Event) {
	for events := []handover.Event{e}; len(events) > 0; events = events[1:] {
		for _, a := range s.machine.Step(s.now(), events[0]) {
			events = append(events, s.execute(a)...)
		}
	}
}

// execute executes an action and returns the events that it causes.
func (s *passedSocket) execute(a handover.Action) []handover.Event {
	event := func(k handover.EventKind, n int) []handover.Event {
		return []handover.Event{{Kind: k, OpenConnections: n}}
	}
	switch a.Kind {
	case handover.TryLock:
		acquired, err := s.lock.TryLock()
		switch {
		case err != nil:
			s.log.WithFields(operr.Fields(&handover.NoLockError{Path: s.lock.Path, Err: err})).Error("passed socket not locked, accepting connections without the lock")
			return event(handover.LockUnavailable, 0)
		case !acquired:
			return event(handover.LockBusy, 0)
		}
		return event(handover.LockAcquired, 0)
	case handover.Accept:
		s.log.WithField("lock", s.lock.Path).Info("accepting connections on the passed socket")
		s.limits.setPhase(limitshare.Serving)
		s.inheritRuns()
		s.gate.Open()
	case handover.WarnLongWait:
		s.log.WithFields(operr.Fields(&handover.LongWaitError{Path: s.lock.Path, Since: s.now().Round(time.Second)})).Warn("still waiting for the lock of the passed socket")
	case handover.NotifyModule:
		if !s.core.HandOver(notifyTimeout) {
			return event(handover.ModuleBusy, 0)
		}
		s.passRunsOn()
		return event(handover.ModuleNotified, 0)
	case handover.CloseListener:
		s.front.CloseAfterResponses()
		s.front.StopAccepting()
		return event(handover.ListenerClosed, 0)
	case handover.ReleaseLock:
		s.lock.Unlock()
		s.log.Info("passed socket released to the next process")
	case handover.CloseIdle:
		s.openConnections = s.front.CloseIdle(a.IdleFor)
		return event(handover.ConnectionsCounted, s.openConnections)
	case handover.Finish:
		s.log.WithField("open_connections", s.openConnections).Info("handover complete")
	}
	return nil
}

var errCoreBusy = errors.New("the decision module did not answer in time")

// inheritRuns tells the core the possible runs of the process that this one replaces.
func (s *passedSocket) inheritRuns() {
	runs, err := s.readRuns()
	if err == nil && len(runs) > 0 && !s.core.AddEarlierRuns(runs, notifyTimeout) {
		err = &runfile.Error{Path: os.TempDir(), Err: errCoreBusy}
	}
	if err != nil {
		s.log.WithFields(operr.Fields(err)).Error("possible runs of the other process are not known")
		return
	}
	s.log.WithField("runs", len(runs)).Info("possible runs of the other process are known")
}

func (s *passedSocket) readRuns() ([]policy.EarlierRun, error) {
	file, err := runfile.NewRuns(os.TempDir(), s.socket)
	if err != nil {
		return nil, err
	}
	return file.Read()
}

// passRunsOn writes the possible runs for the process that replaces this one.
func (s *passedSocket) passRunsOn() {
	runs, ok := s.core.EarlierRuns(notifyTimeout)
	err := error(&runfile.Error{Path: os.TempDir(), Err: errCoreBusy})
	if ok {
		err = s.writeRuns(runs)
	}
	if err != nil {
		s.log.WithFields(operr.Fields(err)).Error("possible runs are not passed on")
	}
}

func (s *passedSocket) writeRuns(runs []policy.EarlierRun) error {
	file, err := runfile.NewRuns(os.TempDir(), s.socket)
	if err != nil {
		return err
	}
	return file.Write(runs)
}
