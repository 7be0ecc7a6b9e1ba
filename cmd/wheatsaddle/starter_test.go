package main

import (
	"fmt"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/discovery"
	"wheatsaddle/internal/gossip"
	"wheatsaddle/internal/nodestats"
	fakediscovery "wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/policy"
)

// fastNode is a node that serves at once, and counts connections and health checks ahead of requests.
type fastNode struct {
	core.NodeClient
	id    string
	ahead chan string
}

func (fastNode) Send(a *core.Attempt) bool {
	go a.Done(core.Result{Status: policy.OK})
	return true
}
func (q fastNode) Connect(func(policy.Status)) bool { q.ahead <- "connect " + q.id; return true }
func (q fastNode) CheckHealth(func(core.Result, time.Duration)) (taken bool) {
	q.ahead <- "probe " + q.id
	return true
}
func (fastNode) Drain(bool) {}
func (fastNode) Close()     {}

// startConf is the configuration of a single scheduler, and startNode its node.
func startConf() *config.Config {
	return &config.Config{Name: "n0", Settings: policy.Settings{Schedulers: 1, MaxAttempts: 1, MeanUnits: 1, MaxUnits: 9, MaxRetryAfter: 1000, MayCheckHealth: true,
		PollsEndpointList: true, Classes: []policy.Class{{Name: "read", LatencyObjective: 30000, Deadline: 60000, PriorityWeight: 1}}, Plans: []policy.Plan{{Name: "basic", ReservedRate: 1000}}}}
}

var startNode = core.Node{Node: policy.Node{ID: "s", StartTime: 5, Weight: 1}}

// newRunningStarter returns a running starter, with a core whose nodes count connections ahead of requests; both end with the
// test.
func newRunningStarter(t *testing.T, set *config.SiteStart, log logrus.FieldLogger, held ...core.Node) (*starter, *core.Core, chan string) {
	t.Helper()
	conf, ahead := startConf(), make(chan string, 8)
	b, err := newStarter(set, conf, held, log)
	if err != nil {
		t.Fatal(err)
	}
	co, err := core.New(core.Options{Settings: conf.Settings, Log: log, StartLimiter: b.limiter(),
		NewNodeClient: func(id string, _ []address.Addr) core.NodeClient { return fastNode{id: id, ahead: ahead} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(co.Stop)
	t.Cleanup(b.stop)
	b.run(co)
	return b, co, ahead
}

// served sends a request of the node's shard and waits until it is served.
func served(t *testing.T, co *core.Core) {
	t.Helper()
	got := make(chan core.Answer, 1)
	co.Submit(&core.Request{Request: policy.Request{ID: "r", Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a core.Answer) { got <- a }})
	if a := <-got; a.Kind != core.Served {
		t.Fatalf("%+v", a)
	}
}

// With the section a start requests the list, serves it and stores what it learned, and the next start restores that.
// Without the section it does none of this.
func TestStartRestoresTheSnapshot(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	set := &config.SiteStart{Enabled: true, Snapshot: filepath.Join(t.TempDir(), "learned"), ListCallsPerSecond: 40, PreconnectNodes: 1}
	if b, err := newStarter(nil, startConf(), nil, log); b != nil || err != nil || b.limiter() != nil || b.run(nil) || !b.isReady(true) || b.watchPacer() != nil {
		t.Fatal("without the section there is a start")
	}
	life := func(do func(*starter, *core.Core, chan string)) {
		t.Helper()
		t.Run("life", func(t *testing.T) {
			b, co, ahead := newRunningStarter(t, set, log, startNode)
			<-b.CallDue() // the list may be asked for
			if b.isReady(true) {
				t.Error("ready before the list")
			}
			if !b.updateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{startNode}}) || !b.isReady(false) {
				t.Error("not ready with the list")
			}
			do(b, co, ahead)
		})
	}
	life(func(b *starter, co *core.Core, _ chan string) {
		served(t, co)
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
		}
		b.writeSnapshot()
	})
	if s, err := snapshot.Read(set.Snapshot, time.Now()); err != nil || len(s.Nodes) != 1 || s.Nodes[0].ID != "s" || len(s.Classes) != 1 {
		t.Fatalf("%+v, %v", s, err)
	}
	life(func(_ *starter, co *core.Core, ahead chan string) { // nothing is sent: what it knows is the snapshot's
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
		}
		if c, p := <-ahead, <-ahead; c != "connect s" || p != "probe s" {
			t.Errorf("ahead of need: %s, %s", c, p)
		}
	})
	for _, e := range hook.AllEntries() {
		t.Error(e.String())
	}
}

// The starter paces the requests that the list's service rejects, and the first answer ends it. A cached list is used once
// the watch reports that nothing changed since; without a cached list such a report has no effect.
func TestStartPacesTheList(t *testing.T) {
	s, err := fakediscovery.New(fakediscovery.Options{Index: 40})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.Set(fakediscovery.Fault{Refuse: true}); err != nil {
		t.Fatal(err)
	}
	log, _ := logtest.NewNullLogger()
	set := &config.SiteStart{Enabled: true, ListPriced: true, ListCallsPerSecond: 40}
	b, co, _ := newRunningStarter(t, set, log)
	var missed atomic.Int64
	w := &discovery.Watcher{Address: s.Addr(), Log: log, Timer: watchTimerSettings(startConf()), Pacer: countingPace{b.watchPacer(), &missed}, OnUnchanged: b.confirmCachedList,
		OnUpdate: func(n core.ListUpdate) { b.updateList(n) }}
	ended := make(chan bool)
	go func() { w.Run(t.Context()); close(ended) }()
	t.Cleanup(func() { <-ended })
	for missed.Load() < 2 { // less than a second apart, where the clock alone would wait for longer
		runtime.Gosched()
	}
	b.confirmCachedList()
	if b.isReady(true) {
		t.Error("ready with no list")
	}
	s.Put(fakediscovery.Entry{Name: "s", Address: "127.0.0.1:1", Status: fakediscovery.Active, Weight: 1})
	if err := s.Set(fakediscovery.Fault{}); err != nil {
		t.Fatal(err)
	}
	for !b.isReady(false) {
		runtime.Gosched()
	}
	served(t, co)

	next, co, _ := newRunningStarter(t, set, log, startNode)
	if next.confirmCachedList(); !next.isReady(false) {
		t.Error("the cached list is not used")
	}
	served(t, co)
	for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
	}
	if l, _ := co.Learned(); l.Nodes[0].StartTime != startNode.StartTime {
		t.Errorf("the node's start is guessed: %+v", l.Nodes)
	}
}

type countingPace struct {
	discovery.StartPacer
	missed *atomic.Int64
}

func (c countingPace) CallFailed() { c.missed.Add(1); c.StartPacer.CallFailed() }

// A process that starts without a snapshot gets what another learned, once the list confirms the node's start time. An
// unreadable snapshot is counted and the next member is asked. A process that is starting itself sends none.
func TestSnapshotFromAPeer(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	set := &config.SiteStart{Enabled: true, ListCallsPerSecond: 40, PreconnectNodes: 1}
	site := &config.Site{Peers: &config.SitePeers{Listen: "127.0.0.1:0", Interval: 20 * time.Millisecond, Burst: 8, State: nodestats.Defaults()}}
	join := func(name string, b *starter) *fleet {
		f, err := startFleet(site, &config.Config{Name: name, Settings: policy.Settings{MayGossip: true}}, b, log)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.stop)
		site.Peers.Seeds = append(site.Peers.Seeds, f.cluster.Address())
		return f
	}
	list := core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{startNode}}
	old, co, _ := newRunningStarter(t, set, log)
	old.updateList(list)
	served(t, co)
	for old.snapshot() == nil {
		runtime.Gosched()
	}
	if len(old.snapshotProvider()(gossip.LearnedSnapshot)) > 0 {
		t.Error("a snapshot was sent during the start")
	}
	old.finished.Store(true)
	join("old", old)
	liar, err := gossip.Start(gossip.Options{Name: "liar", Listen: "127.0.0.1:0", Seeds: site.Peers.Seeds, Interval: 20 * time.Millisecond, Burst: 8,
		State: nodestats.Defaults(), Log: log, MakeSnapshot: func(gossip.SnapshotKind) []byte { return []byte("wslearn\x01 but torn") }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(liar.Stop)
	site.Peers.Seeds = append(site.Peers.Seeds, liar.Address())
	for life, met := 0, false; !met; life++ { // until one of them asked the liar first
		b, co, ahead := newRunningStarter(t, set, log)
		f := join(fmt.Sprint("new-", life), b)
		for f.cluster.Counts().Members < 3 {
			runtime.Gosched()
		}
		b.requestSnapshot(f)
		b.updateList(list)
		if s := <-ahead; s != "connect s" {
			t.Errorf("ahead of need: %s", s)
		}
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() { // nothing was sent
		}
		n := f.cluster.Counts()
		if met = n.SnapshotsInvalid > 0; n.SnapshotsReceived != 1 {
			t.Fatalf("%+v", n)
		}
		f.stop()
		site.Peers.Seeds = site.Peers.Seeds[:2]
	}
}

// A node's start time that other processes report reaches the starter: of a later one no connection is opened ahead.
func TestNodeStartsReportedByPeers(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	set := &config.SiteStart{Enabled: true, ListPriced: true, ListCallsPerSecond: 0.1, PreconnectNodes: 2, Snapshot: filepath.Join(t.TempDir(), "learned")}
	slot := func(id string) time.Duration { return coldstart.Slot(time.Second, "connect", "n0", id) }
	first, last := "a", "b"
	if slot(first) > slot(last) {
		first, last = last, first
	}
	node := func(id string, shard int) core.Node {
		return core.Node{Node: policy.Node{ID: id, Shard: shard, StartTime: 5, Weight: 1}}
	}
	if err := snapshot.Write(set.Snapshot, &snapshot.Snapshot{Made: time.Now(), Nodes: []snapshot.NodeState{{ID: first, StartTime: 5}, {ID: last, StartTime: 5}}}); err != nil {
		t.Fatal(err)
	}
	s, err := nodestats.New(nodestats.Defaults(), "other", 1)
	if err != nil {
		t.Fatal(err)
	}
	s.SetNodeHealth(0, first, 6, nodestats.Health{})
	s.SetNodeHealth(0, last, 5, nodestats.Health{})
	b, _, ahead := newRunningStarter(t, set, log, node("a", 0), node("b", 1))
	b.addPeerReports(0, s)
	if got := <-ahead; got != "connect "+last {
		t.Errorf("ahead of need: %s, want %s alone", got, last)
	}
}
