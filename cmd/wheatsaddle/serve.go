package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"
	"golang.org/x/sync/semaphore"

	"wheatsaddle/internal/admin"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// maxListWait is how long readiness waits for discovery's first answer.
const maxListWait = time.Second

// service is one run of the daemon, from its arguments to its exit.
//
// The steps of start and open fill the fields from top to bottom, each from those above it. After that only
// listed and serving change. What a step acquires it registers with onClose; close releases it in
// reverse order on every way out.
type service struct {
	flags       *cli.Context
	log         logrus.FieldLogger
	hangup      chan os.Signal // SIGHUP: the files are read again
	termination *termination   // SIGTERM, interrupt
	closers     []func()

	conf       *config.Config // as at the start; reloadOnHangup has the current one
	cachedList discovery.List // the configuration's node list, until discovery answers
	site       *site
	iscsi      *iscsiFront // nil: no iSCSI front

	clientConns int // most connections of clients
	nodeConns   int // most connections to storage nodes

	starter    *starter // nil: the site's file has no section start
	fleet      *fleet   // nil: the site's file has no section peers
	core       *core.Core
	exclusions *exclusionKeeper

	ctx          context.Context // of the goroutines that end with the service
	watcher      *discovery.Watcher
	watchStarted time.Time   // when the watch began
	listReceived atomic.Bool // discovery has answered

	front      *httpfront.Server
	socket     *passedSocket // nil: the clients' socket was bound by this process
	gather     *gatherer
	frontEnded chan error  // the front's, if it ends by itself
	serving    atomic.Bool // the clients' listener is served
}

// serve is the command serve: it returns nil once the daemon has shut down by a signal.
func serve(flags *cli.Context) error {
	s := newService(flags)
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	if s.termination.wasReceived() { // no client's connection was accepted
		s.log.Info("stopped before serving")
		return nil
	}
	if err := s.open(); err != nil {
		return err
	}
	go s.reloadOnHangup()
	select {
	case err := <-s.frontEnded:
		return &transport.EndedError{Front: "http", Address: s.conf.Listen, Err: err}
	case <-s.termination.received:
	}
	s.terminate()
	return nil
}

// newService takes the signals before anything else: a SIGHUP without a handler ends the program.
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

// close releases what the steps acquired, the last first.
func (s *service) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// start does all that comes before the clients' socket: files, core, discovery, the admin endpoint.
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

// readConfig loads the configuration. A bad known list is no reason to stay down: discovery brings another.
func (s *service) readConfig() (err error) {
	if s.conf, err = loadConfig(s.flags); err != nil {
		return err
	}
	s.cachedList, err = decodeCachedList(s.conf)
	if err != nil {
		s.log.WithFields(operr.Fields(err)).Warn("cached endpoint list not readable, starting without it")
	}
	for _, bad := range s.cachedList.BadEntries {
		s.log.WithFields(operr.Fields(bad)).Warn("entry of the cached endpoint list ignored")
	}
	for _, bad := range s.cachedList.BadAddresses {
		s.log.WithFields(operr.Fields(bad)).Warn("address of the cached endpoint list ignored")
	}
	return nil
}

// openSite reads the site's file, serves its metrics and applies the runtime's limits.
func (s *service) openSite() (err error) {
	if s.site, err = openSite(s.flags, s.conf.Seed, s.log); err != nil {
		return err
	}
	s.onClose(func() { s.site.meter.Close() })
	applyLimits(s.conf)
	return nil
}

// startISCSI starts the iSCSI front, if its file is named, and divides the other descriptors between clients and nodes.
func (s *service) startISCSI() (err error) {
	all := descriptorLimit(s.conf.Sockets)
	unreserved := max(all-reservedDescriptors, 2)
	if file := s.flags.String("iscsi"); file != "" {
		if s.iscsi, err = startISCSI(file, s.conf, s.site, s.log); err != nil {
			return err
		}
		s.onClose(s.iscsi.core.Stop)
		unreserved -= s.iscsi.sockets
	}
	s.clientConns = clientConns(unreserved, all)
	s.nodeConns = max(1, unreserved-s.clientConns)
	return nil
}

// startCore starts the core with what it asks and reports to, and gives it the known list.
func (s *service) startCore() (err error) {
	kept, excluded := loadExclusions(s.conf.Name, s.log)
	if s.starter, err = newStarter(s.site.current.Start, s.conf, s.cachedList.Nodes, s.log); err != nil {
		return err
	}
	if s.fleet, err = startFleet(s.site.current, s.conf, s.starter, s.log); err != nil {
		return err
	}
	s.onClose(s.fleet.stop)
	s.fleet.registerMetrics(s.site.meter)
	if s.core, err = core.New(s.coreOptions(excluded)); err != nil {
		return config.Refused(err)
	}
	s.onClose(s.core.Stop)
	s.exclusions = &exclusionKeeper{store: kept, core: s.core, log: s.log}
	s.fleet.setCore(s.core)
	if !s.starter.run(s.core) {
		s.core.List(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: s.cachedList.Nodes})
	}
	s.fleet.updateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: s.cachedList.Nodes, Index: s.cachedList.Index})
	s.onClose(s.starter.stop) // before the core's: it asks the core for a last snapshot
	s.starter.requestSnapshot(s.fleet)
	return nil
}

func (s *service) coreOptions(excluded exclusion.State) core.Options {
	dialer := &httpfront.Dialer{
		ConnectTimeout: milliseconds(s.conf.ConnectTimeout),
		ConnIdle:       milliseconds(s.conf.ConnIdle),
		ConnsMost:      int64(s.nodeConns),
		Wait:           connqueue.Wait(s.conf.Handshake, minLatencyObjective(s.conf.Settings)),
		Safe:           idempotentClasses(s.conf.Settings),
		Routes:         s.site.routes,
		Log:            s.log,
	}
	return core.Options{
		Settings: s.starter.settings(s.conf.Settings),
		Seed:     s.conf.Seed,
		Connect:  dialer.Connect,
		Log:      s.log,
		Excluded: excluded,
		Observe:  s.fleet.observer(),
		Start:    s.starter.limiter(),
	}
}

// watchList starts the watch of the node list and that of the exclusions' file. Both end before the core does.
func (s *service) watchList() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.onClose(cancel)
	s.ctx = ctx
	s.watchStarted = time.Now()
	s.watcher = &discovery.Watcher{
		Address:     s.conf.Discovery,
		Index:       s.cachedList.Index,
		Known:       s.cachedList.Nodes,
		OnNews:      s.updateList,
		Log:         s.log,
		Clock:       watchTimerSettings(s.conf),
		Pace:        s.starter.watchPace(),
		OnUnchanged: s.starter.listUnchanged,
	}
	go s.watcher.Run(ctx)
	go s.exclusions.watch(ctx)
	return nil
}

// updateList passes the watcher's news of the node list on. It returns once the core has them.
func (s *service) updateList(news core.ListUpdate) {
	if !s.starter.updateList(news) {
		s.core.List(news)
	}
	s.fleet.updateList(news)
	if news.Kind == policy.ListReceived || news.Kind == policy.ListChanged {
		s.listReceived.Store(true)
	}
}

// isReady is the readiness probe: the clients' socket is served, and discovery has answered or was waited for
// long enough. With the section start the starter decides instead of the second condition.
func (s *service) ready() bool {
	return s.serving.Load() && s.starter.isReady(s.listReceived.Load() || time.Since(s.watchStarted) > maxListWait)
}

// openAdmin starts the admin endpoint, if the configuration names its address.
func (s *service) openAdmin() error {
	admin := &admin.AdminEndpoint{
		Estimate: estimates(s.site.current.Estimate, s.conf, s.fleet.views()),
		Ready:    s.ready,
		Counts:   s.core.Counts().Read,
		Log:      s.log,
		Exclude:  s.exclusions.exclude,
		Include:  s.exclusions.include,
	}
	if s.conf.Operator != "" {
		ln, err := transport.ListenTCP(s.conf.Operator)
		if err != nil {
			return fmt.Errorf("operator: %w", err)
		}
		go s.serveAdmin(admin, ln)
		s.log.WithField("address", s.conf.Operator).Info("admin endpoint listening")
	}
	s.onClose(func() { admin.Close() })
	return nil
}

func (s *service) serveAdmin(admin *admin.AdminEndpoint, ln net.Listener) {
	if err := admin.Serve(ln); err != nil {
		ended := &transport.EndedError{Front: "admin endpoint", Address: s.conf.Operator, Err: err}
		s.log.WithFields(operr.Fields(ended)).Error("admin endpoint failed")
	}
}

// openConnections serves the clients' socket.
func (s *service) open() error {
	ln, err := clientListener(s.conf, s.log)
	if err != nil {
		return err
	}
	s.socket = newPassedSocket(s.conf, ln, s.log)
	if ln, err = s.site.listen("http", ln, s.socket.acceptGate()); err != nil {
		return err
	}
	s.front = httpfront.NewServer(s.core, s.conf.Settings, s.clientConns, s.log)
	s.front.Bodies = semaphore.NewWeighted(bodyMemory(s.conf))
	if s.gather, err = startGather(s.site, s.conf, s.core, s.front, s.fleet); err != nil {
		return err
	}
	go func() { s.frontEnded <- s.front.Serve(ln, s.clientConns) }()
	s.socket.run(s.core, s.front)
	s.serving.Store(true)
	s.log.WithFields(logrus.Fields{
		"name":       s.conf.Name,
		"address":    s.conf.Listen,
		"nodes":      len(s.cachedList.Nodes),
		"version":    version,
		"list_mode":  s.conf.ListMode,
		"list_price": s.conf.ListPrice,
	}).Info("serving")
	return nil
}

// reloadOnHangup reads the files again at each SIGHUP until the service ends. It goes on during the shutdown: open
// requests still need the node list.
func (s *service) reloadOnHangup() {
	retune := s.starter.reconfigure(s.core)
	for current := s.conf; ; {
		select {
		case <-s.hangup:
			next, taken := reload(s.ctx, current, os.Getenv, s.watcher.Move, s.log, retune)
			s.core.Counts().CountReload(taken)
			current = next
			s.site.reload()
			s.gather.reload(s.site.current, current)
			s.iscsi.reload(s.conf, s.log)
		case <-s.ctx.Done():
			return
		}
	}
}

// terminate goes from the signal to the last answer. The process is not ready any more: another is to serve.
func (s *service) terminate() {
	s.serving.Store(false)
	stop := newShutdown(s.termination.sentAt, s.core.Settings().Settings)
	stop.core = s.core
	stop.front = s.front
	stop.iscsi = s.iscsi
	stop.socket = s.socket
	stop.fleet = s.fleet
	stop.log = s.log
	stop.run()
}

// watchTimerSettings is how the list is asked for, by the settings.
func watchTimerSettings(conf *config.Config) watchtimer.Settings {
	set := conf.Settings
	return watchtimer.Settings{
		Pushed:         !set.PollsEndpointList,
		Hosts:          set.Schedulers,
		StalenessBound: milliseconds(set.PollWithin),
		DrainGrace:     milliseconds(set.DrainGrace),
		Seed:           uint64(conf.Seed),
	}
}

// clientListener is the clients' socket: the platform's, where it passes one, else bound here.
func clientListener(conf *config.Config, log logrus.FieldLogger) (net.Listener, error) {
	if conf.Passed == "" {
		ln, err := transport.ListenTCP(conf.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return ln, nil
	}
	ln, err := transport.Passed(conf.Passed)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	log.WithFields(logrus.Fields{"socket": conf.Passed, "address": ln.Addr().String()}).Info("listening on the passed socket")
	return ln, nil
}
