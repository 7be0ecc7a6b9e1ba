package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/cost"
	"wheatsaddle/internal/httpfront"
	"wheatsaddle/internal/meter"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/scatter"
)

// gatherer gives the front its service of gathered reads, anew with each change of the site's file or the settings.
type gatherer struct {
	core  *core.Core
	srv   *httpfront.Server
	know  views // nil: nothing is shared
	log   logrus.FieldLogger
	reads scatter.Gate
	tree  scatter.Grouper // nil: each part is asked here
	alive func() []string // names of the processes that are; nil: nobody knows
	tally scatter.Tally   // of all trees

	treeSet *config.SiteTree // that it was opened by
}

// gatherRules are the section's rules by class, held against the configuration.
func gatherRules(set *config.SiteGather, conf *config.Config) (map[string]scatter.Rules, error) {
	if err := set.Check(conf.Settings, conf.MemoryMB); err != nil {
		return nil, err
	}
	safe, all := safeClasses(conf.Settings), map[string]scatter.Rules{}
	for name, r := range set.Rules {
		all[name] = scatter.Rules{Merge: r, Share: set.Share, AtOnce: set.AtOnce, Again: set.Again, Silent: set.Silent, Safe: safe[name]}
	}
	return all, nil
}

// take turns gathered reads on as the section says, or off without it. An error changes nothing.
func (g *gatherer) take(at *config.Site, conf *config.Config) error {
	set := at.Gather
	if set == nil {
		g.srv.Gather(nil)
		return nil
	}
	classes, err := gatherRules(set, conf)
	if err != nil {
		return err
	}
	tree, err := g.handOn(set.Tree, conf)
	if err != nil {
		return err
	}
	g.tree, g.treeSet = tree, set.Tree
	s := &scatter.Service{Core: g.core, Classes: classes, Shards: g.core.Shards, Tree: g.tree, Units: set.Units, PartMost: set.PartMost,
		PartsMost: set.PartsMost, Reads: &g.reads, TokenKey: set.TokenKey, Payload: httpfront.GatherPart, Body: httpfront.GatherBody}
	if at.Estimate != nil && g.know != nil {
		s.Expect = newExpectation(at.Estimate, conf, g.know).of
	}
	g.reads.Set(set.Reads)
	g.srv.Gather(s)
	return nil
}

// reload takes what was read anew; what is bad is logged, and the rules before count on.
func (g *gatherer) reload(at *config.Site, conf *config.Config) {
	if err := g.take(at, conf); err != nil {
		g.log.WithFields(operr.Fields(err)).Error("reads are gathered as before")
	}
}

const expectEvery = time.Second // an expectation counts so long

// expectation is how long a part of a shard is expected to take, by part 3's estimate; asked for at most once a second for
// each class.
type expectation struct {
	know  views
	set   cost.Settings
	units float64

	mu   sync.Mutex
	made map[string]expected
}

type expected struct {
	at    time.Time
	takes map[int]float64 // milliseconds, by shard
}

func newExpectation(est *config.SiteEstimate, conf *config.Config, know views) *expectation {
	return &expectation{know: know, set: costSettings(est, conf), units: max(conf.Settings.MeanUnits, 1), made: map[string]expected{}}
}

// of is scatter.Service's Expect: nil where nothing is known.
func (x *expectation) of(class string, shards []int) []float64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.made[class]
	if !ok || time.Since(e.at) > expectEvery {
		e = expected{time.Now(), x.ask(class)}
		x.made[class] = e
	}
	if len(e.takes) == 0 {
		return nil
	}
	all := make([]float64, len(shards))
	for i, s := range shards {
		all[i] = e.takes[s]
	}
	return all
}

// ask estimates a read of each shard that the processes know of.
func (x *expectation) ask(class string) map[int]float64 {
	e, err := cost.New(x.set)
	if err != nil {
		return nil
	}
	known := x.know()
	e.Learn(known)
	takes, asked := map[int]float64{}, map[int]bool{}
	var plans []cost.Plan
	for _, v := range known {
		if v.Shard < 0 || asked[v.Shard] || len(plans) == cost.PlansMost {
			continue
		}
		asked[v.Shard] = true
		plans = append(plans, cost.Plan{Name: fmt.Sprint(v.Shard), Root: cost.Step{Work: &cost.Work{Shard: v.Shard, Class: class, Units: x.units}}})
	}
	r, err := e.Estimate(plans, 0)
	if err != nil {
		return nil
	}
	for _, p := range r.Plans {
		var shard int
		if _, err := fmt.Sscan(p.Name, &shard); err == nil {
			takes[shard] = p.P90
		}
	}
	return takes
}

// mayGather says what is wrong with the section for check-config.
func mayGather(at *config.Site, conf *config.Config) error {
	if at.Gather == nil {
		return nil
	}
	if err := mayHandOn(at.Gather.Tree, conf); err != nil {
		return err
	}
	_, err := gatherRules(at.Gather, conf)
	return err
}

func startGather(at *site, conf *config.Config, co *core.Core, srv *httpfront.Server, others *fleet) (*gatherer, error) {
	g := &gatherer{core: co, srv: srv, know: others.views(), alive: others.members(), log: at.log}
	g.count(at.meter)
	return g, g.take(at.held, conf)
}

// count puts the counts of gathered reads where counts are served.
func (g *gatherer) count(m *meter.Meter) {
	m.Gauge(func() float64 { return float64(g.reads.In()) }, "gather_reads")
	for name, of := range map[string]func(scatter.TreeCounts) int{
		"gather_tree_reads":       func(c scatter.TreeCounts) int { return c.Handed },
		"gather_tree_groups":      func(c scatter.TreeCounts) int { return c.Groups },
		"gather_tree_taken_over":  func(c scatter.TreeCounts) int { return c.TakenOver },
		"gather_tree_copies":      func(c scatter.TreeCounts) int { return c.Asked },
		"gather_tree_own_copies":  func(c scatter.TreeCounts) int { return c.Own },
		"gather_tree_good_copies": func(c scatter.TreeCounts) int { return c.Good },
		"gather_tree_rows":        func(c scatter.TreeCounts) int { return c.Rows },
		"gather_tree_set_aside":   func(c scatter.TreeCounts) int { return c.SetAside },
		"gather_tree_connections": func(c scatter.TreeCounts) int { return c.Connected },
	} {
		m.Gauge(func() float64 { return float64(of(g.tally.Counts())) }, name)
	}
	for _, code := range scatter.Codes {
		m.Gauge(func() float64 { return float64(g.tally.Failures(code)) }, "gather_tree_failures", "code", code)
	}
}
