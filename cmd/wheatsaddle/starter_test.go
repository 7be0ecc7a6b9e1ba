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

// instantNode is a node that serves immediately, and reports connections and health checks that precede requests.
type instantNode struct {
	core.NodeClient
	id        string
	inAdvance chan string
}

func (instantNode) Send(a *core.Attempt) bool {
	go a.Done(core.Result{Status: policy.OK})
	return true
}
func (n instantNode) Connect(func(policy.Status)) bool { n.inAdvance <- "connect " + n.id; return true }
func (n instantNode) CheckHealth(func(core.Result, time.Duration)) (accepted bool) {
	n.inAdvance <- "check " + n.id
	return true
}
func (instantNode) Drain(bool) {}
func (instantNode) Close()     {}

// starterConfig returns the configuration of a single scheduler, whose node is starterNode.
func starterConfig() *config.Config {
	return &config.Config{Name: "n0", Settings: policy.Settings{Schedulers: 1, MaxAttempts: 1, MeanUnits: 1, MaxUnits: 9, MaxRetryAfter: 1000, MayCheckHealth: true,
		PollsEndpointList: true, Classes: []policy.Class{{Name: "read", LatencyObjective: 30000, Deadline: 60000, PriorityWeight: 1}}, Plans: []policy.Plan{{Name: "basic", ReservedRate: 1000}}}}
}

var starterNode = core.Node{Node: policy.Node{ID: "s", StartTime: 5, Weight: 1}}

// newRunningStarter returns a running starter, its core, and a channel on which the core's nodes report connections and
// health checks that precede requests. Both end with the test.
func newRunningStarter(t *testing.T, set *config.SiteStart, log logrus.FieldLogger, cachedNodes ...core.Node) (*starter, *core.Core, chan string) {
	t.Helper()
	conf, inAdvance := starterConfig(), make(chan string, 8)
	st, err := newStarter(set, conf, cachedNodes, log)
	if err != nil {
		t.Fatal(err)
	}
	co, err := core.New(core.Options{Settings: conf.Settings, Log: log, StartLimiter: st.limiter(),
		NewNodeClient: func(id string, _ []address.Addr) core.NodeClient { return instantNode{id: id, inAdvance: inAdvance} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(co.Stop)
	t.Cleanup(st.stop)
	st.run(co)
	return st, co, inAdvance
}

// serveRequest submits a request for the node's shard and waits until it is served.
func serveRequest(t *testing.T, co *core.Core) {
	t.Helper()
	answered := make(chan core.Answer, 1)
	co.Submit(&core.Request{Request: policy.Request{ID: "r", Class: "read", Plan: "basic", Volume: "v", Units: 1, Schedulers: 1},
		ReceivedAt: time.Now(), Timeout: time.Minute, Answer: func(a core.Answer) { answered <- a }})
	if a := <-answered; a.Kind != core.Served {
		t.Fatalf("the request was not served: %+v", a)
	}
}

// With the section start, a process requests the list, serves with it and stores a snapshot, which the next process restores.
// Without the section there is no starter.
func TestStarterRestoresSnapshot(t *testing.T) {
	log, hook := logtest.NewNullLogger()
	set := &config.SiteStart{Enabled: true, Snapshot: filepath.Join(t.TempDir(), "learned"), ListCallsPerSecond: 40, PreconnectNodes: 1}
	if st, err := newStarter(nil, starterConfig(), nil, log); st != nil || err != nil || st.limiter() != nil || st.run(nil) || !st.isReady(true) || st.watchPacer() != nil {
		t.Fatal("without the section there is a starter")
	}
	runProcess := func(do func(*starter, *core.Core, chan string)) {
		t.Helper()
		t.Run("process", func(t *testing.T) {
			st, co, inAdvance := newRunningStarter(t, set, log, starterNode)
			<-st.CallDue() // the list may be requested
			if st.isReady(true) {
				t.Error("ready before the list was received")
			}
			if !st.updateList(core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{starterNode}}) || !st.isReady(false) {
				t.Error("the list was not accepted, or the starter is not ready although it was received")
			}
			do(st, co, inAdvance)
		})
	}
	runProcess(func(st *starter, co *core.Core, _ chan string) {
		serveRequest(t, co)
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
		}
		st.writeSnapshot()
	})
	if s, err := snapshot.Read(set.Snapshot, time.Now()); err != nil || len(s.Nodes) != 1 || s.Nodes[0].ID != "s" || len(s.Classes) != 1 {
		t.Fatalf("stored snapshot %+v, error %v, want the node s and one class", s, err)
	}
	runProcess(func(_ *starter, co *core.Core, inAdvance chan string) { // no request is sent, so the core has learned only from the snapshot
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
		}
		if c, p := <-inAdvance, <-inAdvance; c != "connect s" || p != "check s" {
			t.Errorf("before any request: %s, %s, want a connection to s and a health check of it", c, p)
		}
	})
	for _, e := range hook.AllEntries() {
		t.Error(e.String())
	}
}

// The starter paces the list requests while the list's service rejects them, until the first response. A cached list is used
// once the watch reports that it is unchanged; without a cached list such a report has no effect.
func TestStarterPacesListRequests(t *testing.T) {
	s, err := fakediscovery.New(fakediscovery.Options{Index: 40})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.SetFault(fakediscovery.Fault{RejectCalls: true}); err != nil {
		t.Fatal(err)
	}
	log, _ := logtest.NewNullLogger()
	set := &config.SiteStart{Enabled: true, ListPriced: true, ListCallsPerSecond: 40}
	st, co, _ := newRunningStarter(t, set, log)
	var failedCalls atomic.Int64
	w := &discovery.Watcher{Address: s.Addr(), Log: log, Timer: watchTimerSettings(starterConfig()), Pacer: countingPacer{st.watchPacer(), &failedCalls}, OnUnchanged: st.confirmCachedList,
		OnUpdate: func(n core.ListUpdate) { st.updateList(n) }}
	watchEnded := make(chan bool)
	go func() { w.Run(t.Context()); close(watchEnded) }()
	t.Cleanup(func() { <-watchEnded })
	for failedCalls.Load() < 2 { // less than a second apart, whereas the watch's own timer would wait longer
		runtime.Gosched()
	}
	st.confirmCachedList()
	if st.isReady(true) {
		t.Error("ready without a list")
	}
	s.Put(fakediscovery.Entry{Name: "s", Address: "127.0.0.1:1", Status: fakediscovery.Active, Weight: 1})
	if err := s.SetFault(fakediscovery.Fault{}); err != nil {
		t.Fatal(err)
	}
	for !st.isReady(false) {
		runtime.Gosched()
	}
	serveRequest(t, co)

	withCachedList, co, _ := newRunningStarter(t, set, log, starterNode)
	if withCachedList.confirmCachedList(); !withCachedList.isReady(false) {
		t.Error("the cached list is not used")
	}
	serveRequest(t, co)
	for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() {
	}
	if l, _ := co.Learned(); l.Nodes[0].StartTime != starterNode.StartTime {
		t.Errorf("the node's start time is not that of the list: %+v", l.Nodes)
	}
}

type countingPacer struct {
	discovery.StartPacer
	failedCalls *atomic.Int64
}

func (c countingPacer) CallFailed() { c.failedCalls.Add(1); c.StartPacer.CallFailed() }

// A process that starts without a snapshot restores that of a peer, once the list confirms the node's start time. An
// unreadable snapshot is counted and the next peer is asked. A process that is still starting sends no snapshot.
func TestSnapshotFromPeer(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	set := &config.SiteStart{Enabled: true, ListCallsPerSecond: 40, PreconnectNodes: 1}
	site := &config.Site{Peers: &config.SitePeers{Listen: "127.0.0.1:0", Interval: 20 * time.Millisecond, Burst: 8, State: nodestats.Defaults()}}
	joinFleet := func(name string, st *starter) *fleet {
		f, err := startFleet(site, &config.Config{Name: name, Settings: policy.Settings{MayGossip: true}}, st, log)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.stop)
		site.Peers.Seeds = append(site.Peers.Seeds, f.cluster.Address())
		return f
	}
	list := core.ListUpdate{Kind: policy.ListReceived, Nodes: []core.Node{starterNode}}
	source, co, _ := newRunningStarter(t, set, log)
	source.updateList(list)
	serveRequest(t, co)
	for source.snapshot() == nil {
		runtime.Gosched()
	}
	if len(source.snapshotProvider()(gossip.LearnedSnapshot)) > 0 {
		t.Error("a snapshot was sent during the start")
	}
	source.finished.Store(true)
	joinFleet("old", source)
	faulty, err := gossip.Start(gossip.Options{Name: "faulty", Listen: "127.0.0.1:0", Seeds: site.Peers.Seeds, Interval: 20 * time.Millisecond, Burst: 8,
		State: nodestats.Defaults(), Log: log, MakeSnapshot: func(gossip.SnapshotKind) []byte { return []byte("wslearn\x01 but torn") }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(faulty.Stop)
	site.Peers.Seeds = append(site.Peers.Seeds, faulty.Address())
	for run, faultyAsked := 0, false; !faultyAsked; run++ { // until one of them asked the faulty peer first
		st, co, inAdvance := newRunningStarter(t, set, log)
		f := joinFleet(fmt.Sprint("new-", run), st)
		for f.cluster.Counts().Members < 3 {
			runtime.Gosched()
		}
		st.requestSnapshot(f)
		st.updateList(list)
		if s := <-inAdvance; s != "connect s" {
			t.Errorf("before any request: %s, want a connection to s", s)
		}
		for l, _ := co.Learned(); len(l.Nodes) == 0; l, _ = co.Learned() { // no request was sent
		}
		n := f.cluster.Counts()
		if faultyAsked = n.SnapshotsInvalid > 0; n.SnapshotsReceived != 1 {
			t.Fatalf("want one received snapshot: %+v", n)
		}
		f.stop()
		site.Peers.Seeds = site.Peers.Seeds[:2]
	}
}

// The starter receives the start times of nodes that other processes report: no connection is opened in advance to a node
// that has restarted since the snapshot.
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
	st, _, inAdvance := newRunningStarter(t, set, log, node("a", 0), node("b", 1))
	st.addPeerReports(0, s)
	if got := <-inAdvance; got != "connect "+last {
		t.Errorf("before any request: %s, want only a connection to %s", got, last)
	}
}
