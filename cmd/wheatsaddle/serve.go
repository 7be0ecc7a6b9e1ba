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

// listWait is how long readiness waits for discovery's first answer.
const listWait = time.Second

// service is one run of the daemon, from its arguments to its exit.
//
// The steps of start and open fill the fields from top to bottom, each from those above it. After that only
// listed and serving change. What a step acquires it registers with onClose; close releases it in
// reverse order on every way out.
type service struct {
	flags   *cli.Context
	log     logrus.FieldLogger
	hangup  chan os.Signal // SIGHUP: the files are read again
	order   *termination   // SIGTERM, interrupt
	closers []func()

	conf   *config.Config // as at the start; reloadOnHangup has the current one
	known  discovery.List // the configuration's node list, until discovery answers
	site   *site
	blocks *blockFront // nil: no iSCSI front

	clientConns int // most connections of clients
	nodeConns   int // most connections to storage nodes

	starter    *starter // nil: the site's file has no section start
	fleet      *fleet   // nil: the site's file has no section peers
	core       *core.Core
	exclusions *exclusionKeeper

	ctx       context.Context // of the goroutines that end with the service
	watcher   *discovery.Watcher
	listAsked time.Time   // when the watch began
	listed    atomic.Bool // discovery has answered

	front    *httpfront.Server
	socket   *passedSocket // nil: the clients' socket was bound by this process
	gathered *gatherer
	ended    chan error  // the front's, if it ends by itself
	serving  atomic.Bool // the clients' listener is served
}

// serve is the command serve: it returns nil once the daemon has shut down by a signal.
func serve(flags *cli.Context) error {
	s := newService(flags)
	defer s.close()
	if err := s.start(); err != nil {
		return err
	}
	if s.order.came() { // no client's connection was accepted
		s.log.Info("stopped before serving")
		return nil
	}
	if err := s.open(); err != nil {
		return err
	}
	go s.reloadOnHangup()
	select {
	case err := <-s.ended:
		return &transport.ListenerEndedError{Front: "http", Address: s.conf.Listen, Err: err}
	case <-s.order.asked:
	}
	s.shutDown()
	return nil
}

// newService takes the signals before anything else: a SIGHUP without a handler ends the program.
func newService(flags *cli.Context) *service {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	s := &service{flags: flags, log: log, hangup: make(chan os.Signal, 1), ended: make(chan error, 1)}
	terminate := make(chan os.Signal, 1)
	signal.Notify(s.hangup, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	s.order = awaitTermination(terminate, time.Now(), log)
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
		s.startBlocks,
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
	s.known, err = knownList(s.conf)
	if err != nil {
		s.log.WithFields(operr.Fields(err)).Warn("starting without a known list")
	}
	for _, bad := range s.known.BadEntries {
		s.log.WithFields(operr.Fields(bad)).Warn("known entry left out")
	}
	for _, bad := range s.known.BadAddresses {
		s.log.WithFields(operr.Fields(bad)).Warn("known address left out")
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

// startBlocks starts the iSCSI front, if its file is named, and divides the other descriptors between clients and nodes.
func (s *service) startBlocks() (err error) {
	all := descriptorLimit(s.conf.Sockets)
	unreserved := max(all-reservedDescriptors, 2)
	if file := s.flags.String("iscsi"); file != "" {
		if s.blocks, err = startBlocks(file, s.conf, s.site, s.log); err != nil {
			return err
		}
		s.onClose(s.blocks.core.Stop)
		unreserved -= s.blocks.sockets
	}
	s.clientConns = clientConns(unreserved, all)
	s.nodeConns = max(1, unreserved-s.clientConns)
	return nil
}

// startCore starts the core with what it asks and reports to, and gives it the known list.
func (s *service) startCore() (err error) {
	kept, excluded := keptExclusions(s.conf.Name, s.log)
	if s.starter, err = newStarter(s.site.held.Start, s.conf, s.known.Nodes, s.log); err != nil {
		return err
	}
	if s.fleet, err = startFleet(s.site.held, s.conf, s.starter, s.log); err != nil {
		return err
	}
	s.onClose(s.fleet.stop)
	s.fleet.count(s.site.meter)
	if s.core, err = core.New(s.coreOptions(excluded)); err != nil {
		return config.Refused(err)
	}
	s.onClose(s.core.Stop)
	s.exclusions = &exclusionKeeper{store: kept, core: s.core, log: s.log}
	s.fleet.setCore(s.core)
	if !s.starter.run(s.core) {
		s.core.List(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: s.known.Nodes})
	}
	s.fleet.takeNews(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: s.known.Nodes, Index: s.known.Index})
	s.onClose(s.starter.stop) // before the core's: it asks the core for a last snapshot
	s.starter.askPeers(s.fleet)
	return nil
}

func (s *service) coreOptions(excluded exclusion.State) core.Options {
	dialer := &httpfront.Dialer{
		ConnectTimeout: milliseconds(s.conf.ConnectTimeout),
		ConnIdle:       milliseconds(s.conf.ConnIdle),
		MaxConns:      int64(s.nodeConns),
		FreeConnWait:           connqueue.Wait(s.conf.Handshake, shortestAim(s.conf.Settings)),
		Idempotent:           safeClasses(s.conf.Settings),
		Addresses:         s.site.routes,
		Log:            s.log,
	}
	return core.Options{
		Settings: s.starter.settings(s.conf.Settings),
		Seed:     s.conf.Seed,
		Connect:  dialer.Connect,
		Log:      s.log,
		Excluded: excluded,
		Observe:  s.fleet.observe(),
		Start:    s.starter.gate(),
	}
}

// watchList starts the watch of the node list and that of the exclusions' file. Both end before the core does.
func (s *service) watchList() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.onClose(cancel)
	s.ctx = ctx
	s.listAsked = time.Now()
	s.watcher = &discovery.Watcher{
		Address:     s.conf.Discovery,
		Index:       s.known.Index,
		Known:       s.known.Nodes,
		OnNews:      s.takeNews,
		Log:         s.log,
		Clock:       listClock(s.conf),
		Pace:        s.starter.pace(),
		OnUnchanged: s.starter.quiet,
	}
	go s.watcher.Run(ctx)
	go s.exclusions.watch(ctx)
	return nil
}

// takeNews passes the watcher's news of the node list on. It returns once the core has them.
func (s *service) takeNews(news core.ListUpdate) {
	if !s.starter.list(news) {
		s.core.List(news)
	}
	s.fleet.takeNews(news)
	if news.Kind == policy.ListReceived || news.Kind == policy.ListChanged {
		s.listed.Store(true)
	}
}

// ready is the readiness probe: the clients' socket is served, and discovery has answered or was waited for
// long enough. With the section start the starter decides instead of the second condition.
func (s *service) ready() bool {
	return s.serving.Load() && s.starter.ready(s.listed.Load() || time.Since(s.listAsked) > listWait)
}

// openAdmin starts the admin endpoint, if the configuration names its address.
func (s *service) openAdmin() error {
	admin := &admin.AdminEndpoint{
		Estimate: estimates(s.site.held.Estimate, s.conf, s.fleet.views()),
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
		s.log.WithField("operator", s.conf.Operator).Info("the operators' door is open")
	}
	s.onClose(func() { admin.Close() })
	return nil
}

func (s *service) serveAdmin(admin *admin.AdminEndpoint, ln net.Listener) {
	if err := admin.Serve(ln); err != nil {
		ended := &transport.ListenerEndedError{Front: "operators' door", Address: s.conf.Operator, Err: err}
		s.log.WithFields(operr.Fields(ended)).Error("the operators' door has closed")
	}
}

// open serves the clients' socket.
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
	s.front.BodyMemory = semaphore.NewWeighted(bodyMemory(s.conf))
	if s.gathered, err = startGather(s.site, s.conf, s.core, s.front, s.fleet); err != nil {
		return err
	}
	go func() { s.ended <- s.front.Serve(ln, s.clientConns) }()
	s.socket.run(s.core, s.front)
	s.serving.Store(true)
	s.log.WithFields(logrus.Fields{
		"name":       s.conf.Name,
		"listen":     s.conf.Listen,
		"nodes":      len(s.known.Nodes),
		"version":    version,
		"list":       s.conf.ListMode,
		"list_price": s.conf.ListPrice,
	}).Info("serving")
	return nil
}

// reloadOnHangup reads the files again at each SIGHUP until the service ends. It goes on during the shutdown: open
// requests still need the node list.
func (s *service) reloadOnHangup() {
	retune := s.starter.retune(s.core)
	for current := s.conf; ; {
		select {
		case <-s.hangup:
			next, taken := reload(s.ctx, current, os.Getenv, s.watcher.Move, s.log, retune)
			s.core.Counts().CountReload(taken)
			current = next
			s.site.reload()
			s.gathered.reload(s.site.held, current)
			s.blocks.reload(s.conf, s.log)
		case <-s.ctx.Done():
			return
		}
	}
}

// shutDown goes from the signal to the last answer. The process is not ready any more: another is to serve.
func (s *service) shutDown() {
	s.serving.Store(false)
	stop := newShutdown(s.order.sent, s.core.Settings().Settings)
	stop.core = s.core
	stop.front = s.front
	stop.blocks = s.blocks
	stop.socket = s.socket
	stop.fleet = s.fleet
	stop.log = s.log
	stop.run()
}

// listClock is how the list is asked for, by the settings.
func listClock(conf *config.Config) watchtimer.Settings {
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
	ln, err := transport.ListenInherited(conf.Passed)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	log.WithFields(logrus.Fields{"passed": conf.Passed, "address": ln.Addr().String()}).Info("listening on the passed socket")
	return ln, nil
}
