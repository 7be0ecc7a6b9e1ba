package main

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/choice"
	"wheatsaddle/internal/address"
	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
)

// quick is a node that serves at once, and notes what is opened or asked ahead of need.
type quick struct {
	core.Peer
	ahead chan string
}

func (quick) Send(a *core.Attempt) bool {
	go a.Done(core.Result{Status: choice.OK})
	return true
}
func (q quick) Connect(func(choice.Status)) bool                    { q.ahead <- "connect"; return true }
func (q quick) Probe(func(core.Result, time.Duration)) (taken bool) { q.ahead <- "probe"; return true }
func (quick) Drain(bool)                                            {}
func (quick) Close()                                                {}

// A start with the section on asks the list, serves what it has heard, keeps what it learned, and the
// next start has it again; off, there is none of it.
func TestStartKeepsWhatItLearned(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	conf := &config.Config{Name: "n0", Settings: choice.Settings{Hosts: 1, MaxAttempts: 1, MeanUnits: 1, MostUnits: 9, MaxHoldOff: 1000, MayProbe: true,
		Classes: []choice.Class{{Name: "read", Aim: 30000, Deadline: 60000, Worth: 1}}, Plans: []choice.Plan{{Name: "basic", Reserve: 1000}}}}
	node := core.Node{Node: choice.Node{ID: "s", Since: 5, Weight: 1}}
	set := &config.SiteStart{On: true, Snapshot: filepath.Join(t.TempDir(), "learned"), ListMost: 40, Ahead: 1}
	ahead := make(chan string, 8)
	if b, err := newStarter(nil, conf, nil, log); b != nil || err != nil || b.gate() != nil || b.run(nil) || !b.ready(true) {
		t.Fatal("without the section there is a start")
	}
	life := func(do func(*starter, *core.Core)) {
		t.Helper()
		b, err := newStarter(set, conf, []core.Node{node}, log)
		if err != nil {
			t.Fatal(err)
		}
		co, err := core.New(core.Options{Settings: conf.Settings, Log: log, Start: b.gate(),
			Connect: func(string, []address.Addr) core.Peer { return quick{ahead: ahead} }})
		if err != nil {
			t.Fatal(err)
		}
		defer co.Stop()
		defer b.stop()
		b.run(co)
		b.watch(t.Context(), func(context.Context) {}) // comes back once the list may be asked
		if b.ready(true) {
			t.Error("ready before the list")
		}
		if !b.list(core.News{Kind: choice.ListFull, Nodes: []core.Node{node}}) || !b.ready(false) {
			t.Error("not ready with the list")
		}
		do(b, co)
	}
	life(func(b *starter, co *core.Core) {
		served := make(chan core.Answer, 1)
		co.Submit(&core.Request{Request: choice.Request{ID: "r", Class: "read", Plan: "basic", Volume: "v", Units: 1, Hosts: 1},
			Arrived: time.Now(), Patience: time.Minute, Answer: func(a core.Answer) { served <- a }})
		if a := <-served; a.Kind != core.Served {
			t.Fatalf("%+v", a)
		}
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
		}
		b.write()
	})
	if s, err := snapshot.Read(set.Snapshot, time.Now()); err != nil || len(s.Nodes) != 1 || s.Nodes[0].ID != "s" || len(s.Classes) != 1 {
		t.Fatalf("%+v, %v", s, err)
	}
	life(func(_ *starter, co *core.Core) { // nothing is sent: what it knows is the snapshot's
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
		}
		if c, p := <-ahead, <-ahead; c != "connect" || p != "probe" {
			t.Errorf("ahead of need: %s, %s", c, p)
		}
	})
	for _, e := range hook.AllEntries() {
		t.Error(e.String())
	}
}
