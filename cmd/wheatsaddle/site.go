package main

import (
	"cmp"
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

// site holds the settings of the site's file, which configures features that the platform's configuration does not cover.
// Without the file all of them are off.
type site struct {
	file          string
	current       *config.Site // as of the last valid read
	addressConfig *httpfront.AddressConfig
	iscsi         *iscsi.Dialer     // nil: no iSCSI front
	registry      *metrics.Registry // nil: counters are available only from the admin endpoint
	log           logrus.FieldLogger
}

// openSite reads the site's file, if one is named, applies its addresses and serves its metrics.
func openSite(c *cli.Context, seed int64, log logrus.FieldLogger) (*site, error) {
	s := &site{file: c.String("site"), current: &config.Site{}, log: log, addressConfig: &httpfront.AddressConfig{Seed: uint64(seed)}}
	if s.file == "" {
		return s, nil
	}
	current, err := config.LoadSite(s.file)
	if err != nil {
		return nil, err
	}
	s.current = current
	s.apply()
	if err := s.serveMetrics(); err != nil {
		return nil, err
	}
	return s, nil
}

// serveMetrics starts the endpoint of the section metrics. Other parts register their metrics with s.meter, which may be nil.
func (s *site) serveMetrics() error {
	set := s.current.Metrics
	if set == nil {
		return nil
	}
	ln, err := transport.Listen(set.Address, set.Mode)
	if err != nil {
		return fmt.Errorf("site: metrics: %w", err)
	}
	s.registry = metrics.Serve(transport.RetryAccept(ln), s.log)
	s.registry.Gauge(func() float64 { return 1 }, "info", "version", version)
	s.log.WithField("address", ln.Addr().String()).Info("metrics endpoint listening")
	return nil
}

// apply applies the section addresses to the connections to nodes.
func (s *site) apply() {
	set := s.current.Addresses
	if set == nil {
		set = config.DefaultAddresses()
	}
	s.addressConfig.Set(httpfront.AddressSettings{Selector: set.Selector, IdentityHeader: set.Identity})
	if s.iscsi != nil {
		s.iscsi.SetAddressSettings(set.Selector)
	}
}

// keepUntilRestart restores the value of a section that only a restart applies. If the file has another value, it adds the
// section's key to changed.
func keepUntilRestart[T any](next *T, current T, key string, changed []string) []string {
	if !reflect.DeepEqual(*next, current) {
		changed = append(changed, key)
	}
	*next = current
	return changed
}

// reload reads the file again and checks it completely, also against the configuration, before applying any of it. An invalid
// file changes nothing.
func (s *site) reload(conf *config.Config) {
	if s.file == "" {
		return
	}
	next, err := config.ReloadSite(s.file, s.current)
	if err != nil {
		s.log.WithFields(operr.Fields(err)).Error("reload of the site's file failed, the previous one remains in effect")
		return
	}
	if err := cmp.Or(checkGather(next, conf), config.CheckRemovedRules(s.current, next, conf.Settings)); err != nil {
		s.log.WithFields(operr.Fields(err)).Error("reload of section gather failed, the previous site's file remains in effect")
		return
	}
	changed := keepUntilRestart(&next.Listen, s.current.Listen, "listen", nil)
	changed = keepUntilRestart(&next.Metrics, s.current.Metrics, "metrics", changed)
	changed = keepUntilRestart(&next.Peers, s.current.Peers, "peers", changed)
	changed = keepUntilRestart(&next.Estimate, s.current.Estimate, "estimate", changed)
	changed = keepUntilRestart(&next.Start, s.current.Start, "start", changed)
	for _, key := range changed {
		s.log.WithFields(operr.Fields(&config.RestartError{Keys: key})).WithField("keys", key).Warn("changed keys need a restart")
	}
	s.current = next
	s.apply()
	s.log.Info("site's file reloaded")
}

// listen merges a front's first listener with those for its further addresses, all behind the gate if there is one.
func (s *site) listen(front string, first net.Listener, gate *transport.AcceptGate) (net.Listener, error) {
	all := []net.Listener{gate.Wrap(first)}
	for i, l := range s.current.Listen[front] {
		ln, err := transport.Listen(l.Address, l.Mode)
		if err != nil {
			for _, open := range all {
				_ = open.Close() // the listen error is the one to report
			}
			return nil, fmt.Errorf("site: listen.%s.%d: %w", front, i, err)
		}
		s.log.WithFields(logrus.Fields{"front": front, "address": ln.Addr().String()}).Info("listening")
		all = append(all, gate.Wrap(ln))
	}
	return transport.Merge(all...), nil
}
