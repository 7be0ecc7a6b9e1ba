package main

import (
	"fmt"
	"net"
	"reflect"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v2"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/iscsi"
	"wheatsaddle/internal/metrics"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/transport"
)

// site is the site's file while the daemon runs: what the installation has beyond the platform. Without the file all of
// it is off.
type site struct {
	file   string
	held   *config.Site // as last read
	routes *httpfront.AddressConfig
	blocks *iscsi.Dialer  // nil: no iSCSI front
	meter  *metrics.Meter // nil: no counts but the admin endpoint's
	log    logrus.FieldLogger
}

func openSite(c *cli.Context, seed int64, log logrus.FieldLogger) (*site, error) {
	s := &site{file: c.String("site"), held: &config.Site{}, log: log, routes: &httpfront.AddressConfig{Seed: uint64(seed)}}
	if s.file == "" {
		return s, nil
	}
	held, err := config.LoadSite(s.file)
	if err != nil {
		return nil, err
	}
	s.held = held
	s.apply()
	return s, s.serveMetrics()
}

// serveMetrics serves the section metrics. Other parts register their counts at s.meter, which may be nil.
func (s *site) serveMetrics() error {
	set := s.held.Metrics
	if set == nil {
		return nil
	}
	ln, err := transport.Listen(set.Address, set.Mode)
	if err != nil {
		return fmt.Errorf("site: metrics: %w", err)
	}
	s.meter = metrics.Serve(ln, s.log)
	s.meter.Gauge(func() float64 { return 1 }, "info", "version", version)
	s.log.WithField("address", ln.Addr().String()).Info("counts are served")
	return nil
}

// apply sets the nodes' address rules of the file as read.
func (s *site) apply() {
	set := s.held.Addresses
	if set == nil {
		set = config.DefaultAddresses()
	}
	s.routes.Set(httpfront.AddressSettings{Selector: set.Book, IdentityHeader: set.Identity})
	if s.blocks != nil {
		s.blocks.Addresses(set.Book)
	}
}

// keepUntilRestart restores the value of a section that only a restart applies, and adds its key to changed if the file has
// another value.
func keepUntilRestart[T any](next *T, held T, key string, changed []string) []string {
	if !reflect.DeepEqual(*next, held) {
		changed = append(changed, key)
	}
	*next = held
	return changed
}

// reload reads the file again and checks it whole before any of it applies. A bad file changes nothing.
func (s *site) reload() {
	if s.file == "" {
		return
	}
	next, err := config.LoadSite(s.file)
	if err != nil {
		s.log.WithFields(operr.Fields(err)).Error("the site's file counts as it was")
		return
	}
	changed := keepUntilRestart(&next.Listen, s.held.Listen, "listen", nil)
	changed = keepUntilRestart(&next.Metrics, s.held.Metrics, "metrics", changed)
	changed = keepUntilRestart(&next.Peers, s.held.Peers, "peers", changed)
	changed = keepUntilRestart(&next.Estimate, s.held.Estimate, "estimate", changed)
	changed = keepUntilRestart(&next.Start, s.held.Start, "start", changed)
	for _, key := range changed {
		s.log.WithFields(operr.Fields(&config.RestartError{Keys: key})).WithField("keys", key).Warn("changed, and need a restart")
	}
	s.held = next
	s.apply()
	s.log.Info("site's file read again")
}

// listen merges a front's first listener with those for its further addresses, all behind the gate, if there is one.
func (s *site) listen(front string, first net.Listener, gate *transport.AcceptGate) (net.Listener, error) {
	all := []net.Listener{gate.Wrap(first)}
	for i, l := range s.held.Listen[front] {
		ln, err := transport.Listen(l.Address, l.Mode)
		if err != nil {
			for _, open := range all {
				open.Close()
			}
			return nil, fmt.Errorf("site: listen.%s.%d: %w", front, i, err)
		}
		s.log.WithFields(logrus.Fields{"front": front, "address": ln.Addr().String()}).Info("listening")
		all = append(all, gate.Wrap(ln))
	}
	return transport.Merge(all...), nil
}
