package main

import (
	"context"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/memory"
	"wheatsaddle/internal/requestid"
	"wheatsaddle/internal/transport"
)

// maxListWait is how long readiness waits for the first answer of discovery.
const maxListWait = time.Second

// service is one run of the daemon, from its arguments to its exit.
//
// The steps of start, and then serveClients, set the fields from top to bottom, each from those above it. Afterwards only
// listReceived and serving change. Each step registers the resources that it acquires with onClose; close releases them in
// reverse order whenever serve returns.
type service struct {
	flags       *cli.Context
	log         logrus.FieldLogger
	hangup      chan os.Signal // SIGHUP: the files are reloaded
	termination *termination   // SIGTERM or interrupt
	closers     []func()

	conf       *config.Config // as of the start; reloadOnHangup has the current one
	cachedList discovery.List // the configuration's endpoint list, until discovery answers
	site       *site
	events     *eventlog.Log
	ids        *requestid.Registry
	memory     *memory.Account // of all that peers make the process hold
	limits     *processLimits  // divides the limits between the processes that replace each other
	iscsi      *iscsiFront     // nil: no iSCSI front

	clientConns int // maximum number of clients' connections
	nodeConns   int // maximum number of connections to storage nodes

	starter    *starter // nil: the section start of the site's file is missing or off
	fleet      *fleet   // nil: the site's file has no section peers
	core       *core.Core
	dialer     *httpfront.Dialer // of the HTTP front's connections to storage nodes
	exclusions *exclusionSyncer

	ctx          context.Context // cancelled when the service ends
	watcher      *discovery.Watcher
	watchStarted time.Time
	listReceived atomic.Bool // discovery has answered

	front      *httpfront.Server
	socket     *passedSocket // nil: the clients' socket was bound by this process
	gather     *gatherer
	frontEnded chan error  // receives the front's error if it fails
	serving    atomic.Bool // the clients' listener is being served
}

// serve is the command serve. It returns nil after a shutdown by a signal.
func serve(flags *cli.Context) error {
	s := newService(flags)
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	if s.termination.wasReceived() { // no client connection has been accepted yet
		s.log.Info("stopped before serving")
		return nil
	}
	if err := s.serveClients(); err != nil {
		return err
	}
	go s.reloadOnHangup()
	select {
	case err := <-s.frontEnded:
		return &transport.ListenerEndedError{Front: "http", Address: s.conf.Listen, Err: err}
	case <-s.termination.received:
	}
	s.terminate()
	return nil
}

// newService handles the signals before anything else: a SIGHUP without a handler would end the program.
func newService(flags *cli.Context) *service {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	s := &service{flags: flags, log: log, hangup: make(chan os.Signal, 1), frontEnded: make(chan error, 1)}
	terminate := make(chan os.Signal, 1)
	signal.Notify(s.hangup, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	s.termination = awaitTermination(terminate, time.Now(), log)
	return s
}

func (s *service) onClose(release func()) { s.closers = append(s.closers, release) }

// close releases the resources that the steps acquired, the last one first.
func (s *service) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// start runs every step that precedes opening the clients' socket.
func (s *service) start() error {
	for _, step := range []func() error{
		s.readConfig,
		s.openSite,
		s.startISCSI,
		s.startCore,
		s.watchList,
		s.openAdmin,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// ready reports readiness: the clients' socket is being served, and discovery has answered or maxListWait has passed. With
// the section start of the site's file, the starter decides in place of the second condition.
func (s *service) ready() bool {
	return s.serving.Load() && s.starter.isReady(s.listReceived.Load() || time.Since(s.watchStarted) > maxListWait)
}

// reloadOnHangup reloads the files at each SIGHUP until the service ends. It continues during the shutdown, because open
// requests still need the current endpoint list.
func (s *service) reloadOnHangup() {
	configuration := &reloader{
		env:                 os.Getenv,
		setDiscoveryAddress: s.watcher.SetAddress,
		reconfigure:         reconfigureCores(s.starter.reconfigure(s.core), s.iscsi),
		limits:              s.limits,
		log:                 s.log,
	}
	for current := s.conf; ; {
		select {
		case <-s.hangup:
			next, accepted := configuration.reload(s.ctx, current)
			s.core.Counters().CountReload(accepted)
			current = next
			s.site.reload(current)
			s.gather.reload(s.site.current, current)
			s.iscsi.reload(current.Settings, s.log)
		case <-s.ctx.Done():
			return
		}
	}
}

// terminate shuts the service down gracefully, from the signal to the last response. The process reports that it is not
// ready, so that clients use another one.
func (s *service) terminate() {
	s.serving.Store(false)
	shutdown := newShutdown(s.termination.sentAt, s.core.Settings().Settings)
	shutdown.core = s.core
	shutdown.front = s.front
	shutdown.iscsi = s.iscsi
	shutdown.socket = s.socket
	shutdown.fleet = s.fleet
	shutdown.log = s.log
	shutdown.run()
}
