package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/admin"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/connqueue"
	"wheatsaddle/internal/connreuse"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery"
	"wheatsaddle/internal/discovery/watchtimer"
	"wheatsaddle/internal/eventlog"
	"wheatsaddle/internal/exclusion"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/requestid"
	"wheatsaddle/internal/transport"
	"wheatsaddle/policy"
)

// readConfig loads the configuration. An invalid cached list does not prevent the start: discovery sends another.
func (s *service) readConfig() (err error) {
	if s.conf, err = loadConfig(s.flags); err != nil {
		return err
	}
	s.cachedList, err = decodeCachedList(s.conf)
	if err != nil {
		s.log.WithFields(operr.Fields(err)).Warn("cached endpoint list not readable, starting without it")
	}
	for _, invalid := range s.cachedList.InvalidEntries {
		s.log.WithFields(operr.Fields(invalid)).Warn("entry of the cached endpoint list ignored")
	}
	for _, invalid := range s.cachedList.InvalidAddresses {
		s.log.WithFields(operr.Fields(invalid)).Warn("address of the cached endpoint list ignored")
	}
	return nil
}

// openSite reads the site's file, serves its metrics and applies the runtime's limits.
func (s *service) openSite() (err error) {
	if s.site, err = openSite(s.flags, s.conf.Seed, s.log); err != nil {
		return err
	}
	s.onClose(func() { s.site.registry.Close() })
	s.events = eventlog.New(s.log, func(kind eventlog.Kind, reason eventlog.Reason) eventlog.Counter {
		return s.site.registry.Counter(string(kind), "reason", string(reason))
	})
	s.limits = newProcessLimits(s.conf, s.log)
	s.memory = s.limits.account
	s.onClose(s.limits.stop)
	s.limits.registerMetrics(s.site.registry)
	registerMemoryMetrics(s.site.registry, s.memory)
	s.ids = requestid.NewRegistry(s.memory)
	s.onClose(s.ids.Close)
	registerIDMetrics(s.site.registry, s.ids)
	return nil
}

// startISCSI starts the iSCSI front, if its file is named, and divides the other descriptors between clients and nodes.
func (s *service) startISCSI() (err error) {
	all := descriptorLimit(s.conf.Sockets)
	unreserved := max(all-reservedDescriptors, 2)
	if file := s.flags.String("iscsi"); file != "" {
		if s.iscsi, err = startISCSI(iscsiOptions{file: file, conf: s.conf, site: s.site, events: s.events, memory: s.memory, ids: s.ids, log: s.log}); err != nil {
			return err
		}
		s.onClose(s.iscsi.core.Stop)
		unreserved -= s.iscsi.sockets
	}
	s.clientConns = clientConns(unreserved, all)
	s.nodeConns = max(1, unreserved-s.clientConns)
	s.limits.setWholeConns(s.clientConns, s.nodeConns, s.iscsi.maxSockets())
	return nil
}

// startCore starts the core, the starter and the fleet that it reports to, and passes the core the cached list.
func (s *service) startCore() (err error) {
	exclusions, excluded := loadExclusions(s.conf.Name, s.log)
	if s.starter, err = newStarter(s.site.current.Start, s.conf, s.cachedList.Nodes, s.log); err != nil {
		return err
	}
	if s.fleet, err = startFleet(s.site.current, s.conf, s.starter, s.log); err != nil {
		return err
	}
	s.onClose(s.fleet.stop)
	s.fleet.registerMetrics(s.site.registry)
	if s.core, err = core.New(s.coreOptions(excluded)); err != nil {
		return config.Rejected(err)
	}
	s.onClose(s.core.Stop)
	s.exclusions = &exclusionSyncer{store: exclusions, core: s.core, log: s.log}
	s.fleet.setCore(s.core)
	if !s.starter.run(s.core) {
		s.core.UpdateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: s.cachedList.Nodes})
	}
	s.fleet.updateList(core.ListUpdate{Kind: policy.CachedListLoaded, Nodes: s.cachedList.Nodes, Version: s.cachedList.Version})
	s.onClose(s.starter.stop) // before the core stops, because the core provides the last snapshot
	s.starter.requestSnapshot(s.fleet)
	return nil
}

func (s *service) coreOptions(excluded exclusion.State) core.Options {
	s.dialer = &httpfront.Dialer{
		ConnectTimeout: milliseconds(s.conf.ConnectTimeout),
		ConnIdle:       milliseconds(s.conf.ConnIdle),
		MaxConns:       int64(s.nodeConns),
		Memory:         s.memory,
		FreeConnWait:   connqueue.MaxFreeConnWait(s.conf.HandshakePrice, minLatencyObjective(s.conf.Settings)),
		Idempotent:     idempotentClasses(s.conf.Settings),
		Reuse:          connreuse.Defaults(),
		Addresses:      s.site.addressConfig,
		Log:            s.log,
		Events:         s.events,
	}
	return core.Options{
		Settings:       s.starter.reduceSlowStart(s.conf.Settings),
		Seed:           s.conf.Seed,
		NewNodeClient:  s.dialer.Connect,
		Log:            s.log,
		Events:         s.events,
		IDs:            s.ids,
		Memory:         s.memory,
		Excluded:       excluded,
		OnAttemptEnded: s.fleet.observer(),
		StartLimiter:   s.starter.limiter(),
	}
}

// watchList starts the watches of the endpoint list and of the exclusions file. Both end before the core stops.
func (s *service) watchList() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.onClose(cancel)
	s.ctx = ctx
	s.watchStarted = time.Now()
	s.watcher = &discovery.Watcher{
		Address:     s.conf.Discovery,
		Version:     s.cachedList.Version,
		CachedNodes: s.cachedList.Nodes,
		OnUpdate:    s.updateList,
		Log:         s.log,
		Timer:       watchTimerSettings(s.conf),
		Pacer:       s.starter.watchPacer(),
		OnUnchanged: s.starter.confirmCachedList,
	}
	go s.watcher.Run(ctx)
	go s.exclusions.watch(ctx)
	return nil
}

// updateList passes an update of the endpoint list to the core and the fleet. It returns once the core has received it.
func (s *service) updateList(update core.ListUpdate) {
	if !s.starter.updateList(update) {
		s.core.UpdateList(update)
	}
	s.fleet.updateList(update)
	if update.Kind == policy.ListReceived || update.Kind == policy.ListChanged {
		s.listReceived.Store(true)
	}
}

// openAdmin starts the admin endpoint, if the configuration names its address.
func (s *service) openAdmin() error {
	endpoint := &admin.Endpoint{
		Estimate: newEstimateHandler(s.site.current.Estimate, s.conf, s.fleet.views()),
		Ready:    s.ready,
		Counters: s.core.Counters().Snapshot,
		Log:      s.log,
		Exclude:  s.exclusions.exclude,
		Include:  s.exclusions.include,
	}
	if s.conf.AdminListen != "" {
		ln, err := transport.ListenTCP(s.conf.AdminListen)
		if err != nil {
			return fmt.Errorf("listen for the admin endpoint (key operator): %w", err)
		}
		go s.serveAdmin(endpoint, transport.RetryAccept(ln))
		s.log.WithField("address", s.conf.AdminListen).Info("admin endpoint listening")
	}
	s.onClose(func() { _ = endpoint.Close() }) // the process is exiting, so an error has no consequence
	return nil
}

func (s *service) serveAdmin(endpoint *admin.Endpoint, ln net.Listener) {
	if err := endpoint.Serve(ln); err != nil {
		ended := &transport.ListenerEndedError{Front: "admin endpoint", Address: s.conf.AdminListen, Err: err}
		s.log.WithFields(operr.Fields(ended)).Error("admin endpoint failed")
	}
}

// serveClients opens the clients' socket and serves it.
func (s *service) serveClients() error {
	ln, err := clientListener(s.conf, s.log)
	if err != nil {
		return err
	}
	s.socket = newPassedSocket(s.conf, ln, s.log)
	if s.socket != nil {
		s.socket.limits = s.limits
		s.shareIDs(ln.Addr().String())
	}
	if ln, err = s.site.listen("http", ln, s.socket.acceptGate()); err != nil {
		return err
	}
	s.front = httpfront.NewServer(s.core, s.conf.Settings, s.clientConns, s.log)
	s.front.Memory = s.memory
	s.front.Events = s.events
	registerFrontMetrics(s.site.registry, s.front, s.dialer)
	if s.gather, err = startGather(s.site, s.conf, s.core, s.front, s.fleet); err != nil {
		return err
	}
	go func() { s.frontEnded <- s.front.Serve(ln, s.clientConns) }()
	s.limits.watch(s.front, s.dialer)
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

// watchTimerSettings returns the settings for when the endpoint list is requested.
func watchTimerSettings(conf *config.Config) watchtimer.Settings {
	set := conf.Settings
	return watchtimer.Settings{
		Pushed:         !set.PollsEndpointList,
		Schedulers:     set.Schedulers,
		StalenessBound: milliseconds(set.ListStalenessBound),
		DrainGrace:     milliseconds(set.DrainGrace),
		Seed:           uint64(conf.Seed),
	}
}

// clientListener returns the listener for clients: the socket that the platform passes, if any, else one that is bound here.
func clientListener(conf *config.Config, log logrus.FieldLogger) (net.Listener, error) {
	if conf.InheritedSocket == "" {
		ln, err := transport.ListenTCP(conf.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen for clients: %w", err)
		}
		return ln, nil
	}
	ln, err := transport.ListenInherited(conf.InheritedSocket)
	if err != nil {
		return nil, fmt.Errorf("listen on the passed socket: %w", err)
	}
	log.WithFields(logrus.Fields{"socket": conf.InheritedSocket, "address": ln.Addr().String()}).Info("listening on the passed socket")
	return ln, nil
}
