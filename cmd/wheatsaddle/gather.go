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

// gatherer sets the front's service of gathered reads, and a new one when the site's file or the settings change.
type gatherer struct {
	core    *core.Core
	front   *httpfront.Server
	views   viewSource      // nil: nothing is shared
	members func() []string // names of the processes that are up; nil: nothing is shared
	log     logrus.FieldLogger
	reads   scattergather.Gate  // limits concurrent gathered reads
	tally   scattergather.Tally // counts of all trees

	tree         scattergather.Grouper // nil: this process requests each part itself
	treeSettings *config.SiteTree      // the settings of tree
}

// gatherRules returns the section's rules by class, checked against the configuration.
func gatherRules(set *config.SiteGather, conf *config.Config) (map[string]scattergather.Rules, error) {
	if err := set.Check(conf.Settings, conf.MemoryMB); err != nil {
		return nil, err
	}
	safe, rules := idempotentClasses(conf.Settings), map[string]scattergather.Rules{}
	for class, merge := range set.Rules {
		rules[class] = scattergather.Rules{
			Merge:  merge,
			Share:  set.MergeTimeShare,
			AtOnce: set.MaxConcurrentParts,
			Again:  set.MaxRetries,
			Silent: set.SilenceTimeout,
			Safe:   safe[class],
		}
	}
	return rules, nil
}

// apply turns gathered reads on according to the section, or off without it. An error changes nothing.
func (g *gatherer) apply(at *config.Site, conf *config.Config) error {
	set := at.Gather
	if set == nil {
		g.front.SetScatterGather(nil)
		return nil
	}
	classes, err := gatherRules(set, conf)
	if err != nil {
		return err
	}
	tree, err := g.openTree(set.Tree, conf)
	if err != nil {
		return err
	}
	g.tree, g.treeSettings = tree, set.Tree
	service := &scattergather.Service{
		Core:      g.core,
		Classes:   classes,
		Shards:    g.core.Shards,
		Tree:      g.tree,
		Units:     set.PartUnits,
		PartMost:  set.MaxPartBytes,
		PartsMost: set.MaxParts,
		Reads:     &g.reads,
		TokenKey:  set.TokenKey,
		Payload:   httpfront.PartPayload,
		Body:      httpfront.PartBody,
	}
	if at.Estimate != nil && g.views != nil {
		service.Expect = newExpectation(at.Estimate, conf, g.views).of
	}
	g.reads.Set(set.MaxConcurrentReads)
	g.front.SetScatterGather(service)
	return nil
}

// reload applies a section that was read again. If it is invalid, the error is logged and the previous one remains.
func (g *gatherer) reload(at *config.Site, conf *config.Config) {
	if err := g.apply(at, conf); err != nil {
		g.log.WithFields(operr.Fields(err)).Error("reload of section gather failed, the previous one remains in effect")
	}
}

// checkGather returns an error if the section is invalid, for check-config.
func checkGather(at *config.Site, conf *config.Config) error {
	if at.Gather == nil {
		return nil
	}
	if err := checkGatherPeers(at.Gather.Tree, conf); err != nil {
		return err
	}
	_, err := gatherRules(at.Gather, conf)
	return err
}

func startGather(at *site, conf *config.Config, co *core.Core, front *httpfront.Server, peers *fleet) (*gatherer, error) {
	g := &gatherer{core: co, front: front, views: peers.views(), members: peers.members(), log: at.log}
	g.registerMetrics(at.meter)
	if err := g.apply(at.current, conf); err != nil {
		return nil, err
	}
	return g, nil
}

// registerMetrics registers the counts of gathered reads.
func (g *gatherer) registerMetrics(m *metrics.Registry) {
	m.Gauge(func() float64 { return float64(g.reads.In()) }, "gather_reads")
	gauges(m, g.tally.Counts, map[string]func(scattergather.TreeCounts) int{
		"gather_tree_reads":       func(c scattergather.TreeCounts) int { return c.Handed },
		"gather_tree_groups":      func(c scattergather.TreeCounts) int { return c.Groups },
		"gather_tree_taken_over":  func(c scattergather.TreeCounts) int { return c.TakenOver },
		"gather_tree_copies":      func(c scattergather.TreeCounts) int { return c.Asked },
		"gather_tree_own_copies":  func(c scattergather.TreeCounts) int { return c.Own },
		"gather_tree_good_copies": func(c scattergather.TreeCounts) int { return c.Good },
		"gather_tree_rows":        func(c scattergather.TreeCounts) int { return c.Rows },
		"gather_tree_set_aside":   func(c scattergather.TreeCounts) int { return c.SetAside },
		"gather_tree_connections": func(c scattergather.TreeCounts) int { return c.Connected },
	})
	for _, code := range scattergather.Codes {
		m.Gauge(func() float64 { return float64(g.tally.Failures(code)) }, "gather_tree_failures", "code", code)
	}
}
