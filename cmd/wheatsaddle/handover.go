package main

import (
	"net"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/handover"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
)

// handoverTimes are the intervals of a process whose clients' socket was passed to it.
var handoverTimes = handover.Settings{
	LockPollInterval: 5 * time.Millisecond,   // between tries for the lock
	SweepInterval:    stopPoll,               // between sweeps of the connections
	IdleTimeout:      500 * time.Millisecond, // idle time after which a sweep closes a connection
	WarnAfter:        10 * time.Second,       // a wait for the lock that lasts so long is logged, once
}

const moduleWait = 200 * time.Millisecond // for the decision module's confirmation of the handover

// passedSocket drives the handover of a passed clients' socket between processes: it feeds events to the state machine
// handover.Book and carries out its actions. It has no rule of its own. nil: this process has bound the socket.
type passedSocket struct {
	gate        *transport.AcceptGate // holds accepts back
	lock        *transport.AcceptLock // held by the process that accepts
	machine     *handover.Machine
	core        *core.Core
	front       *httpfront.Server
	log         logrus.FieldLogger
	began       time.Time
	open        int                // connections at the last sweep
	termination chan time.Duration // the time by which this process must be done, since began
	done        chan struct{}
}

// newPassedSocket prepares the handover on the clients' listener.
func newPassedSocket(conf *config.Config, ln net.Listener, log logrus.FieldLogger) *passedSocket {
	if conf.Passed == "" {
		return nil
	}
	return &passedSocket{
		gate:        transport.NewAcceptGate(),
		lock:        transport.NewAcceptLock(os.TempDir(), ln.Addr()),
		machine:     handover.New(handoverTimes),
		log:         log,
		began:       time.Now(),
		termination: make(chan time.Duration),
		done:        make(chan struct{}),
	}
}

// acceptGate holds accepts back; nil: nothing does.
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

// leave hands the socket to the next process, and returns when no connection is left or the time has come.
func (s *passedSocket) leave(by time.Time) {
	if s != nil {
		s.termination <- by.Sub(s.began)
		<-s.done
	}
}

// loop ends when the state machine does.
func (s *passedSocket) loop() {
	defer close(s.done)
	s.feed(handover.Event{Kind: handover.Started})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !s.machine.Ended() {
		timer.Reset(min(s.machine.Next()-s.now(), time.Hour))
		select {
		case by := <-s.termination:
			s.feed(handover.Event{Kind: handover.TermReceived, Deadline: by})
		case <-timer.C:
			s.feed(handover.Event{Kind: handover.TimerFired})
		}
	}
}

func (s *passedSocket) now() time.Duration { return time.Since(s.began) }

// feed gives the state machine an event, and then those that its actions cause.
func (s *passedSocket) feed(e handover.Event) {
	for events := []handover.Event{e}; len(events) > 0; events = events[1:] {
		for _, a := range s.machine.Step(s.now(), events[0]) {
			events = append(events, s.do(a)...)
		}
	}
}

// do carries out an action and returns the events that it causes.
func (s *passedSocket) do(a handover.Action) []handover.Event {
	event := func(k handover.EventKind, n int) []handover.Event {
		return []handover.Event{{Kind: k, OpenConnections: n}}
	}
	switch a.Kind {
	case handover.TryLock:
		had, err := s.lock.TryLock()
		switch {
		case err != nil:
			s.log.WithFields(operr.Fields(&handover.NoLockError{Path: s.lock.Path, Err: err})).Error("accepting without a lock")
			return event(handover.LockUnavailable, 0)
		case !had:
			return event(handover.LockBusy, 0)
		}
		return event(handover.LockAcquired, 0)
	case handover.Accept:
		s.log.WithField("lock", s.lock.Path).Info("accepting on the passed socket")
		s.gate.Open()
	case handover.WarnLongWait:
		s.log.WithFields(operr.Fields(&handover.WaitsError{Path: s.lock.Path, Since: s.now().Round(time.Second)})).Warn("waiting for the passed socket")
	case handover.NotifyModule:
		if !s.core.HandOver(moduleWait) {
			return event(handover.ModuleBusy, 0)
		}
		return event(handover.ModuleNotified, 0)
	case handover.CloseListener:
		s.front.CloseAfterResponses()
		s.front.StopAccepting()
		return event(handover.ListenerClosed, 0)
	case handover.ReleaseLock:
		s.lock.Unlock()
		s.log.Info("stopping: the passed socket is the next process's")
	case handover.CloseIdle:
		s.open = s.front.CloseIdle(a.IdleFor)
		return event(handover.ConnectionsCounted, s.open)
	case handover.Finish:
		s.log.WithField("open", s.open).Info("stopping: made way")
	}
	return nil
}
