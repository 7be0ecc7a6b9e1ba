package main

import (
	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/metrics"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/scattergather"
)

// gatherer provides the front with its service for gathered reads, and replaces it when the site's file or the settings
// change.
type gatherer struct {
	core               *core.Core
	front              *httpfront.Server
	views              viewSource      // nil: nothing is shared
	members            func() []string // names of the processes that are up; nil: nothing is shared
	log                logrus.FieldLogger
	readLimiter        scattergather.Limiter            // limits the number of concurrent gathered reads
	delegationCounters scattergather.DelegationCounters // of all delegators

	delegator         scattergather.Delegator // nil: this process requests each part itself
	delegatorSettings *config.SiteTree        // the settings of delegator
}

// gatherRules returns the section's rules by class, checked against the configuration.
func gatherRules(set *config.SiteGather, conf *config.Config) (map[string]scattergather.Rules, error) {
	if err := set.Check(conf.Settings, conf.MemoryMB); err != nil {
		return nil, err
	}
	idempotent, rules := idempotentClasses(conf.Settings), map[string]scattergather.Rules{}
	for class, merge := range set.Rules {
		rules[class] = scattergather.Rules{
			Merge:              merge,
			MergeTimeShare:     set.MergeTimeShare,
			MaxConcurrentParts: set.MaxConcurrentParts,
			MaxRetries:         set.MaxRetries,
			SilenceTimeout:     set.SilenceTimeout,
			Idempotent:         idempotent[class],
		}
	}
	return rules, nil
}

// apply enables gathered reads with the section's settings, or disables them if there is no section. On an error nothing
// changes.
func (g *gatherer) apply(siteSettings *config.Site, conf *config.Config) error {
	set := siteSettings.Gather
	if set == nil {
		g.front.SetScatterGather(nil)
		return nil
	}
	classes, err := gatherRules(set, conf)
	if err != nil {
		return err
	}
	delegator, err := g.openDelegator(set.Tree, conf)
	if err != nil {
		return err
	}
	g.delegator, g.delegatorSettings = delegator, set.Tree
	service := &scattergather.Service{
		Core:         g.core,
		Classes:      classes,
		Shards:       g.core.Shards,
		Delegator:    g.delegator,
		PartUnits:    set.PartUnits,
		MaxPartBytes: set.MaxPartBytes,
		MaxParts:     set.MaxParts,
		ReadLimiter:  &g.readLimiter,
		TokenKey:     set.TokenKey,
		Payload:      httpfront.PartPayload,
		Body:         httpfront.PartBody,
		Memory:       g.front.Memory,
		ReadBytes:    set.ReadBytes,
	}
	if siteSettings.Estimate != nil && g.views != nil {
		service.ExpectedDurations = newPartDurationEstimator(siteSettings.Estimate, conf, g.views).expectedMillis
	}
	g.readLimiter.SetLimit(set.MaxConcurrentReads)
	g.front.SetScatterGather(service)
	return nil
}

// reload applies a section that was read again. If it is invalid, the error is logged and the previous one remains in effect.
func (g *gatherer) reload(siteSettings *config.Site, conf *config.Config) {
	if err := g.apply(siteSettings, conf); err != nil {
		g.log.WithFields(operr.Fields(err)).Error("reload of section gather failed, the previous one remains in effect")
	}
}

// checkGather returns an error if the section is invalid, for check-config.
func checkGather(siteSettings *config.Site, conf *config.Config) error {
	if siteSettings.Gather == nil {
		return nil
	}
	if err := checkGatherPeers(siteSettings.Gather.Tree, conf); err != nil {
		return err
	}
	_, err := gatherRules(siteSettings.Gather, conf)
	return err
}

// startGather registers the metrics of gathered reads, and enables them if the site's file has the section gather.
func startGather(siteFile *site, conf *config.Config, co *core.Core, front *httpfront.Server, peers *fleet) (*gatherer, error) {
	g := &gatherer{core: co, front: front, views: peers.views(), members: peers.members(), log: siteFile.log}
	g.registerMetrics(siteFile.registry)
	if err := g.apply(siteFile.current, conf); err != nil {
		return nil, err
	}
	return g, nil
}

// registerMetrics registers the metrics of gathered reads.
func (g *gatherer) registerMetrics(m *metrics.Registry) {
	m.Gauge(func() float64 { return float64(g.readLimiter.InFlight()) }, "gather_reads")
	gauges(m, g.delegationCounters.Counts, map[string]func(scattergather.DelegationCounts) int{
		"gather_tree_reads":       func(c scattergather.DelegationCounts) int { return c.DelegatedReads },
		"gather_tree_groups":      func(c scattergather.DelegationCounts) int { return c.Groups },
		"gather_tree_taken_over":  func(c scattergather.DelegationCounts) int { return c.Takeovers },
		"gather_tree_copies":      func(c scattergather.DelegationCounts) int { return c.PeerAttempts },
		"gather_tree_own_copies":  func(c scattergather.DelegationCounts) int { return c.LocalAttempts },
		"gather_tree_good_copies": func(c scattergather.DelegationCounts) int { return c.Succeeded },
		"gather_tree_rows":        func(c scattergather.DelegationCounts) int { return c.Rows },
		"gather_tree_set_aside":   func(c scattergather.DelegationCounts) int { return c.BackoffsStarted },
		"gather_tree_connections": func(c scattergather.DelegationCounts) int { return c.Connections },
	})
	for _, code := range scattergather.FailureCodes {
		m.Gauge(func() float64 { return float64(g.delegationCounters.Failures(code)) }, "gather_tree_failures", "code", code)
	}
}
