package iscsi

import (
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
)

const (
	maxRetainedBuffer    = 8 << 10                // a longer write buffer is released after the write
	sessionCheckInterval = 100 * time.Millisecond // between two checks of a session's timeouts
	pingAfterSilence     = 30 * time.Second       // without a PDU, until a NOP-In requests one
	deadAfterSilence     = 60 * time.Second       // without a PDU, until the session is closed
	portalGroupTag       = "1"
	// A status qualifier counts in units of 100 ms (SAM-5, 5.3.2).
	statusQualifierUnit = 100 * time.Millisecond
	maxStatusQualifier  = 0x3fef
)

// unit is one logical unit as configured.
type unit struct{ config.Unit }

// mapping is one version of the mapping of commands to requests, with the settings that it belongs to. It is immutable.
type mapping struct {
	settings *core.Settings
	units    map[string]map[uint16]*unit // by target name and LUN
}

// newMapping returns the mapping of a configuration.
func newMapping(conf *config.ISCSI, settings *core.Settings) *mapping {
	m := &mapping{settings: settings, units: map[string]map[uint16]*unit{}}
	for _, x := range conf.Targets {
		m.units[x.Name] = map[uint16]*unit{}
		for _, u := range x.Units {
			m.units[x.Name][u.LUN] = &unit{u}
		}
	}
	return m
}

// adopt replaces the units' rules and numbers of schedulers by those of a newer configuration. Everything else about a unit,
// as its size, stays until the next start.
func (m *mapping) adopt(next *mapping) {
	for name, units := range next.units {
		for lun, u := range units {
			old := m.units[name][lun]
			if old == nil {
				continue
			}
			adopted := *old
			adopted.Rules, adopted.Schedulers = u.Rules, u.Schedulers
			m.units[name][lun] = &adopted
		}
	}
}

// Target serves iSCSI initiators. It turns their commands into requests for the core and the core's answers into
// SCSI responses; all scheduling decisions are the core's.
type Target struct {
	conf              *config.ISCSI
	core              *core.Core
	storage           *Dialer // whose initiators the core uses
	log               logrus.FieldLogger
	mapping           atomic.Pointer[mapping]
	startedAt         int64 // makes request ids differ from those of earlier processes
	lastRequestNumber atomic.Uint64
	buffers           bufferBudget // of all tasks
	effects           *effectTracker
	lastSession       atomic.Uint64
	// Events records aborts, resets and logouts; nil: they are not recorded. It is set before Serve.
	Events *eventlog.Log

	mu       sync.Mutex // guards the fields below and each session's nexus
	listener net.Listener
	sessions map[*session]bool
	lastTSIH uint16
	stopping bool
}

// NewTarget returns a target that serves the configured units and submits to the core, whose initiators are those of the dialer.
func NewTarget(conf *config.ISCSI, c *core.Core, storage *Dialer, log logrus.FieldLogger) *Target {
	t := &Target{conf: conf, core: c, storage: storage, log: log, startedAt: time.Now().UnixNano(), sessions: map[*session]bool{}, effects: newEffectTracker()}
	t.mapping.Store(newMapping(conf, c.Settings()))
	return t
}

// Reconfigure applies the rules of a configuration that was read again, after the core has received the settings that it
// belongs to. A command that was decoded before keeps the old version; if that means something else under the core's settings,
// the core rejects it. Units that are new need a restart. One goroutine at a time may call it.
func (t *Target) Reconfigure(conf *config.ISCSI) {
	next := newMapping(t.conf, t.core.Settings())
	next.adopt(t.mapping.Load())
	next.adopt(newMapping(conf, next.settings))
	t.mapping.Store(next)
}

// unit returns a logical unit and the settings of its mapping. The unit is nil if there is none.
func (t *Target) unit(name string, lun uint16) (*unit, *core.Settings) {
	m := t.mapping.Load()
	return m.units[name][lun], m.settings
}

// hasUnits reports whether a target is configured.
func (t *Target) hasUnits(name string) bool { return t.mapping.Load().units[name] != nil }

// LimitMemory makes the sessions and the data of their commands share an account. It is called before Serve.
func (t *Target) LimitMemory(account *memory.Account) { t.buffers.account = account }

// Serve accepts sessions until StopAccepting.
func (t *Target) Serve(ln net.Listener) error {
	limited := transport.Limit(ln, t.conf.Sessions)
	if account := t.buffers.account; account != nil {
		limited.LimitMemory(account, transport.ConnMemory{Kind: memory.BlockSession, Open: sessionBytes})
	}
	ln = limited
	t.mu.Lock()
	t.listener = ln
	t.mu.Unlock()
	for {
		nc, err := ln.Accept()
		if err != nil {
			t.mu.Lock()
			stopping := t.stopping
			t.mu.Unlock()
			if stopping {
				return nil
			}
			return err
		}
		s := newSession(t, nc)
		t.mu.Lock()
		t.sessions[s] = true
		t.mu.Unlock()
		go func() {
			defer func() {
				if p := recover(); p != nil { // a panic in one session must not end the others
					t.log.WithField("stack", string(debug.Stack())).WithFields(operr.Fields(&SessionPanicError{fmt.Sprint(p)})).Error("iscsi session ended")
				}
				t.mu.Lock()
				delete(t.sessions, s)
				t.mu.Unlock()
			}()
			if err := s.run(); err != nil {
				t.log.WithError(err).Debug("iscsi session ended")
			}
		}()
	}
}

// StopAccepting closes the listener and asks the initiators to log out. Sessions end once their commands have responses. It
// does not block.
func (t *Target) StopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
	if t.listener != nil {
		t.listener.Close()
	}
	for s := range t.sessions {
		s.draining.Store(true)
	}
}

// Finish rejects the commands whose write data are still arriving, and those that arrive from now on: none of them has run. The
// caller ends the others through the core. Functions that wait for a write are answered with a failure. It does not block.
func (t *Target) Finish() {
	t.finishSessions()
	t.effects.expireAll()
}

func (t *Target) finishSessions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for s := range t.sessions {
		s.finishing.Store(true)
		s.signal()
	}
}

// OpenSessions returns the number of sessions. Any goroutine may call it.
func (t *Target) OpenSessions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.sessions)
}
