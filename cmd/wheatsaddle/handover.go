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
	"wheatsaddle/internal/sock"
)

// shareTimes are of a process that shares the clients' socket with others.
var shareTimes = handover.Settings{Try: 5 * time.Millisecond, Sweep: stopPoll, Quiet: 500 * time.Millisecond, Tell: 10 * time.Second}

const tellWait = 200 * time.Millisecond // for the module's word

// shared drives the book of a process whose clients' socket was passed to it; nil: it has bound its own. It decides
// nothing.
type shared struct {
	gate  *sock.Gate
	lock  *sock.Lock
	book  *handover.Book
	core  *core.Core
	srv   *httpfront.Server
	log   logrus.FieldLogger
	begin time.Time
	left  int // connections open at the last sweep
	term  chan time.Duration
	done  chan struct{}
}

// share makes it of the clients' listener.
func share(conf *config.Config, ln net.Listener, log logrus.FieldLogger) *shared {
	if conf.Passed == "" {
		return nil
	}
	return &shared{gate: sock.NewGate(), lock: sock.LockOf(os.TempDir(), ln.Addr()), book: handover.New(shareTimes), log: log,
		begin: time.Now(), term: make(chan time.Duration), done: make(chan struct{})}
}

// door is what holds accepts back; nil: nothing does.
func (s *shared) door() *sock.Gate {
	if s == nil {
		return nil
	}
	return s.gate
}

// run begins to wait for the turn.
func (s *shared) run(co *core.Core, srv *httpfront.Server) {
	if s != nil {
		s.core, s.srv = co, srv
		go s.loop()
	}
}

// leave makes way for the next process, and returns when this one is empty or the time has come.
func (s *shared) leave(by time.Time) {
	if s != nil {
		s.term <- by.Sub(s.begin)
		<-s.done
	}
}

func (s *shared) loop() {
	defer close(s.done)
	s.feed(handover.Event{Kind: handover.Begun})
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !s.book.Ended() {
		timer.Reset(min(s.book.Next()-s.now(), time.Hour))
		select {
		case by := <-s.term:
			s.feed(handover.Event{Kind: handover.Term, By: by})
		case <-timer.C:
			s.feed(handover.Event{Kind: handover.Tick})
		}
	}
}

func (s *shared) now() time.Duration { return time.Since(s.begin) }

// feed gives the book an event, and then what comes of its actions.
func (s *shared) feed(e handover.Event) {
	for events := []handover.Event{e}; len(events) > 0; events = events[1:] {
		for _, a := range s.book.Step(s.now(), events[0]) {
			events = append(events, s.do(a)...)
		}
	}
}

func (s *shared) do(a handover.Action) []handover.Event {
	came := func(k handover.Kind, n int) []handover.Event { return []handover.Event{{Kind: k, N: n}} }
	switch a.Do {
	case handover.Try:
		had, err := s.lock.Try()
		switch {
		case err != nil:
			s.log.WithFields(operr.Fields(&handover.NoLockError{Path: s.lock.Path, Err: err})).Error("accepting without a lock")
			return came(handover.NoLock, 0)
		case !had:
			return came(handover.Held, 0)
		}
		return came(handover.Had, 0)
	case handover.Accept:
		s.log.WithField("lock", s.lock.Path).Info("accepting on the passed socket")
		s.gate.Open()
	case handover.Warn:
		s.log.WithFields(operr.Fields(&handover.WaitsError{Path: s.lock.Path, Since: s.now().Round(time.Second)})).Warn("waiting for the passed socket")
	case handover.TellModule:
		if !s.core.HandOver(tellWait) {
			return came(handover.Untold, 0)
		}
		return came(handover.Told, 0)
	case handover.ShutDoor:
		s.srv.Leave()
		s.srv.StopAccepting()
		return came(handover.Shut, 0)
	case handover.Release:
		s.lock.Release()
		s.log.Info("stopping: the passed socket is the next process's")
	case handover.Sweep:
		s.left = s.srv.Sweep(a.Quiet)
		return came(handover.Open, s.left)
	case handover.End:
		s.log.WithField("open", s.left).Info("stopping: made way")
	}
	return nil
}
