package cluster

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/coldstart"
	"wheatsaddle/internal/coldstart/snapshot"
	"wheatsaddle/internal/testkit/fake/discovery"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
)

// startupFixture is a fleet whose daemons have the site section start and are not started yet. Nodes 0 and 2, one of each
// shard, have just restarted, which the configured list does not show.
type startupFixture struct {
	*gossipFixture
	startSection map[string]any
	mu           sync.Mutex
	launchedAt   map[int]time.Duration // launch of the current incarnation
	listeningAt  map[int]time.Duration // when the current incarnation began to listen; 0: not yet
	listenCounts map[int]int           // incarnations that have listened
	listCalls    map[string][]time.Duration
}

// coldCapacity describes how much load a node can take after a restart: what it can serve within 3 s. Once warmed up it serves
// 200 units per second.
var coldCapacity = node.SlowStart{InitialSpeed: 0.24, Duration: 17 * time.Second, InitialUnits: 130, MeanUnits: 1, Window: 3 * time.Second, RestartDelay: 2 * time.Second}

// newStartupFixture creates the fleet. start overrides the site section start. snapshotFor returns the stored snapshot of
// daemon i; if it is nil, there is none. gossip makes the daemons gossip.
func newStartupFixture(t *testing.T, opt Options, start map[string]any, snapshotFor func(f *Fleet, i int) []byte, gossip bool) *startupFixture {
	t.Helper()
	s := &startupFixture{gossipFixture: &gossipFixture{}, launchedAt: map[int]time.Duration{}, listeningAt: map[int]time.Duration{}, listenCounts: map[int]int{},
		listCalls: map[string][]time.Duration{}}
	s.startSection = mergeSettings(map[string]any{"list_priced": true}, start)
	opt.DeferStart = true
	opt.Settings = mergeSettings(map[string]any{"membership-mode": "ask", "ceilings": map[string]any{"probes": true, "peers": gossip},
		"rules": map[string]any{"ask-within": 6000}, "extra": map[string]any{"young-limit": coldCapacity.InitialUnits}}, opt.Settings)
	serviceTime := func(*fasthttp.Request) time.Duration { return 5 * time.Millisecond }
	for j := range 4 {
		opt.Nodes = append(opt.Nodes, StorageNode{Name: fmt.Sprint("s", j), Shard: j / 2, Workers: 1, ServiceTime: serviceTime, Configure: func(o *node.Options) { o.SlowStart = &coldCapacity }})
	}
	opt.List.OnCall = func(caller, _ string) {
		s.mu.Lock()
		s.listCalls[caller] = append(s.listCalls[caller], s.now())
		s.mu.Unlock()
	}
	opt.OnLogLine = func(i int, line []byte) {
		if bytes.Contains(line, []byte("msg=serving")) {
			s.Fleet.mu.Lock()
			s.markUp(i)
			s.Fleet.mu.Unlock()
			s.mu.Lock()
			s.listeningAt[i] = s.now()
			s.listenCounts[i]++
			s.mu.Unlock()
		}
	}
	opt.Args = func(f *Fleet, i int) []string {
		section := maps.Clone(s.startSection)
		section["snapshot"] = filepath.Join(f.Dir(i), "learned")
		err := writeSite(f, i, map[string]any{"start": section})
		if snapshotOf := snapshotFor; err == nil && snapshotOf != nil {
			err = os.WriteFile(filepath.Join(f.Dir(i), "learned"), snapshotOf(f, i), 0o600)
		}
		if err != nil {
			t.Error(err)
		}
		return []string{"--site", filepath.Join(f.Dir(i), "site.json")}
	}
	if gossip {
		s.fixture, s.metrics = newGossipFixture(t, opt)
	} else {
		s.fixture = newFixture(t, opt)
	}
	return s
}

// restartNodes makes the nodes cold, as after a restart, and lists them as just started.
func (s *startupFixture) restartNodes(nodes ...int) {
	s.t.Helper()
	for _, j := range nodes {
		s.Node(j).BeginSlowStart()
		s.must(s.ReplaceNode(j))
	}
}

// launchDaemons starts the daemons and records when. It does not wait until they are ready.
func (s *startupFixture) launchDaemons(which ...int) {
	s.t.Helper()
	for _, i := range which {
		s.mu.Lock()
		s.launchedAt[i] = s.now()
		s.mu.Unlock()
		s.must(s.Launch(i))
	}
}

func (s *startupFixture) listens(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listeningAt[i] > 0
}

// killDaemon kills a daemon. The load skips it until it listens again.
func (s *startupFixture) killDaemon(i int) {
	s.t.Helper()
	s.mu.Lock()
	s.listeningAt[i] = 0
	s.mu.Unlock()
	s.must(s.Kill(i))
}

// startTraffic starts the same traffic as in other fixtures, but only to daemons that listen.
func (s *startupFixture) startTraffic() {
	s.stopTraffic = s.Run(s.ctx, Load{Clients: 3, Pause: 30 * time.Millisecond, Request: mixedRequest, Skip: func(i int) bool { return !s.listens(i) }})
}

// startOverload starts a load that exceeds the nodes' capacity.
func (s *startupFixture) startOverload() (stop func()) {
	return s.Run(s.ctx, Load{Clients: 12, Pause: 5 * time.Millisecond, Skip: func(i int) bool { return !s.listens(i) },
		Request: func(i, client, n int) ClientRequest {
			request := mixedRequest(i, client, n)
			request.Units = 4
			return request
		}})
}

// waitEach waits until a condition holds for each daemon, one after the other.
func (s *startupFixture) waitEach(description string, cond func(i int) bool) {
	s.t.Helper()
	for i := range s.opt.Daemons {
		s.waitUntil(fmt.Sprint("daemon ", i, ": ", description), func() bool { return cond(i) })
	}
}

// waitFailedListCalls waits until each daemon has tried to connect to its list this many times.
func (s *startupFixture) waitFailedListCalls(times int) {
	s.t.Helper()
	s.waitEach("its list calls fail", func(i int) bool { return s.ListLink(i).Counts(link.Forward).Conns >= times })
}

// connsOpened returns how many connections daemon i has opened to node j.
func (s *startupFixture) connsOpened(i, j int) int {
	return s.StorageLink(i, j).Counts(link.Forward).Conns
}

// checkNodeLoad fails the test if a node got more load than its slow start allows. It returns the largest load of a node as a
// share of the allowed load.
func (s *startupFixture) checkNodeLoad() (maxShare float64) {
	s.t.Helper()
	for j := range 4 {
		overloads, share := s.Node(j).Crashes()
		if maxShare = max(maxShare, share); overloads > 0 {
			s.t.Errorf("node %d was overloaded: it got %.2f times its capacity", j, share)
		}
	}
	return maxShare
}

// learnedSnapshot returns a snapshot of the nodes' learned state, with windows that overload a node that has just restarted.
func learnedSnapshot(f *Fleet, order ...int) *snapshot.Snapshot {
	s := &snapshot.Snapshot{Made: time.Now()}
	for _, j := range order {
		s.Nodes = append(s.Nodes, snapshot.NodeState{ID: f.opt.Nodes[j].Name, StartTime: float64(f.startTimes[j]), Window: 64, Latency: 2, BestLatencyPerUnit: 1})
	}
	return s
}

func mustEncode(s *snapshot.Snapshot) []byte {
	text, err := snapshot.Encode(s)
	if err != nil {
		panic(err) // the test's own snapshot is always valid
	}
	return text
}

// unusableSnapshots are snapshot files that are rejected, each with the suffix of the logged error code.
var unusableSnapshots = []struct {
	why  string
	text func(f *Fleet) []byte
}{
	{"torn", func(f *Fleet) []byte { b := mustEncode(learnedSnapshot(f, 0, 1, 2, 3)); return b[:len(b)*2/3] }},
	{"foreign", func(*Fleet) []byte { return []byte(`{"version":1,"nodes":[]}`) }},
	{"old", func(f *Fleet) []byte {
		s := learnedSnapshot(f, 0, 1, 2, 3)
		s.Made = s.Made.Add(-time.Hour)
		return mustEncode(s)
	}},
}

// Faults while several daemons start together and some nodes are cold. In each scenario the audit must find no violation,
// no node may be overloaded, and each rejection must have a Retry-After.
func TestStartupFaults(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		opt             Options
		start           map[string]any
		snapshot        func(f *Fleet, i int) []byte
		noTraffic       bool // no traffic before the end of the scenario, so all connections are opened in advance
		before, run     func(*startupFixture)
	}{
		{fault: "list down at first, a drain meanwhile", expected: "serving and ready from the configured list; requested again; notified once the service is up", opt: Options{ListInConfig: true, ListDown: true},
			run: func(s *startupFixture) {
				s.waitFailedListCalls(2)
				s.waitServed(minServed)
				s.waitEach("ready", func(i int) bool { return s.Proc(i).Ready() == nil })
				s.must(s.SetNodeStatus(0, "leaving"))
				s.setListFaults(ListHealthy)
				s.waitDrainNotified()
			}},
		{fault: "list down at first, none configured", expected: "all requests rejected at once with Retry-After; served once the service is up", opt: Options{ListDown: true},
			run: func(s *startupFixture) {
				s.waitFailedListCalls(2)
				s.waitEach("it rejects requests", func(i int) bool {
					return slices.ContainsFunc(s.Rejections(), func(r Rejection) bool { return r.Scheduler == i })
				})
				s.waitUntil("the daemons have rejected enough requests", func() bool { return len(s.Rejections()) >= 3*minServed })
				var durations []time.Duration
				for _, r := range s.Rejections() {
					durations = append(durations, r.At-r.SentAt)
				}
				slices.Sort(durations)
				if median := durations[len(durations)/2]; median > 500*time.Millisecond || s.Served(0)+s.Served(1)+s.Served(2) > 0 {
					s.t.Errorf("the median rejection took %v, more than 500 ms, or a request was served without a list", median)
				}
				s.setListFaults(ListHealthy)
			}},
		{fault: "list of small capacity, six daemons start at once", expected: "first calls spread by name, rejected ones retried with growing backoff; all receive the list", opt: Options{ListInConfig: true, Daemons: 6, List: discovery.Options{Capacity: 4, Patience: 200 * time.Millisecond}},
			start: map[string]any{"list_calls_per_second": 8}, run: func(s *startupFixture) {
				s.waitEach("it has received the list", func(i int) bool { return s.fakeListOf(i).Service.Counts().Watches > 0 })
				if s.ListLoad().Rejected == 0 {
					s.t.Error("no list call was rejected")
				}
				const spread = 750 * time.Millisecond // six daemons at eight calls per second
				s.mu.Lock()
				defer s.mu.Unlock()
				for i := range s.opt.Daemons {
					name := fmt.Sprint("n", i)
					calls := s.listCalls[name]
					if slot := coldstart.Slot(spread, "list", name); calls[0]-s.launchedAt[i] < slot {
						s.t.Errorf("%s requested the list %v after its start, before its slot at %v", name, calls[0]-s.launchedAt[i], slot)
					}
					for k := 1; k < len(calls); k++ {
						if minBackoff := min(spread<<(k-1), 6*time.Second) / 2; calls[k]-calls[k-1] < minBackoff {
							s.t.Errorf("%s requested the list again after %v, less than %v", name, calls[k]-calls[k-1], minBackoff)
						}
					}
				}
			}},
		{fault: "list resets each call at first", expected: "requested again; requests served meanwhile; notified once the list answers", opt: Options{ListInConfig: true},
			before: func(s *startupFixture) { s.setListFaults(ListReset) }, run: func(s *startupFixture) {
				s.waitWatchRequests(1)
				s.must(s.SetNodeStatus(0, "leaving"))
				s.setListFaults(ListHealthy)
				s.waitDrainNotified()
			}},
		{fault: "list cut halfway, then an old list after a new one", expected: "requested again after the cut; the old list reinstates no draining node", opt: Options{},
			before: func(s *startupFixture) {
				for i := range s.opt.Daemons {
					s.fakeListOf(i).TruncateNextList()
				}
			}, run: func(s *startupFixture) {
				s.waitEach("its list is cut", func(i int) bool { return s.fakeListOf(i).Service.Counts().Truncated == 1 })
				s.must(s.SetNodeStatus(0, "leaving"))
				s.waitDrainNotified()
				for i := range s.opt.Daemons {
					s.fakeListOf(i).SendOldList(1)
				}
				s.waitEach("it receives an old list", func(i int) bool { return s.fakeListOf(i).Service.Counts().OldLists == 1 })
			}},
		{fault: "half of the daemons are killed while they start, and restarted", expected: "the others keep serving; all serve; both incarnations overload no cold node", opt: Options{ListInConfig: true, Daemons: 4, ListDown: true},
			run: func(s *startupFixture) {
				s.waitEach("it listens", s.listens)
				s.waitFailedListCalls(1)
				for _, i := range []int{0, 2} {
					s.killDaemon(i)
				}
				s.launchDaemons(0, 2)
				s.waitEach("it listens", s.listens)
				s.waitServed(minServed)
				s.setListFaults(ListHealthy)
				s.mu.Lock()
				defer s.mu.Unlock()
				for i := range s.opt.Daemons {
					if want := 2 - i%2; s.listenCounts[i] != want {
						s.t.Errorf("daemon %d: %d incarnations have listened, expected one for each start", i, s.listenCounts[i])
					}
				}
			}},
		{fault: "the cold nodes are silent", expected: "the others serve; the cold ones once they answer", opt: Options{ListInConfig: true}, before: func(s *startupFixture) {
			for i := range s.opt.Daemons {
				for j := 0; j < 4; j += 2 {
					s.must(s.StorageLink(i, j).SetFault(link.Both, link.Fault{Hold: true, Silent: true}))
				}
			}
		}, run: func(s *startupFixture) {
			s.waitEach("a connection to a cold node is pending", func(i int) bool {
				return s.StorageLink(i, 0).PendingConnects()+s.StorageLink(i, 2).PendingConnects() > 0
			})
			s.waitServed(minServed)
			for i := range s.opt.Daemons {
				for j := 0; j < 4; j += 2 {
					s.must(s.StorageLink(i, j).SetFault(link.Both, link.Fault{}))
				}
			}
			s.waitUntil("a cold node serves", func() bool { return s.Node(0).Counts().Executions+s.Node(2).Counts().Executions > 0 })
		}},
		{fault: "a node accepts connections and answers nothing", expected: "ready, with connections opened in advance to the other nodes all the same", opt: Options{ListInConfig: true},
			snapshot: func(f *Fleet, _ int) []byte { return mustEncode(learnedSnapshot(f, 1, 3)) }, noTraffic: true, before: func(s *startupFixture) { s.must(s.SetNodeFault(1, node.Hang)) },
			run: func(s *startupFixture) {
				s.waitEach("it has opened connections in advance", func(i int) bool { return s.connsOpened(i, 1) > 0 && s.connsOpened(i, 3) > 0 })
				s.waitEach("ready", func(i int) bool { return s.Proc(i).Ready() == nil })
			}},
		{fault: "nodes restarted after the snapshot was made", expected: "connections opened in advance only to the other nodes; nothing learned of the restarted ones is used",
			snapshot: func(f *Fleet, _ int) []byte { return mustEncode(learnedSnapshot(f, 0, 2, 1, 3)) }, noTraffic: true, run: func(s *startupFixture) {
				s.waitEach("it has opened connections in advance", func(i int) bool { return s.connsOpened(i, 1) > 0 && s.connsOpened(i, 3) > 0 })
				slotsPassed := 0 // pairs with restarted nodes whose slot came before the last opened connection
				for i := range s.opt.Daemons {
					slot := func(j int) time.Duration {
						return coldstart.Slot(time.Second, "connect", fmt.Sprint("n", i), fmt.Sprint("s", j))
					}
					for j := 0; j < 4; j += 2 {
						if slot(j) < max(slot(1), slot(3)) {
							slotsPassed++
						}
						if n := s.connsOpened(i, j); n > 0 {
							s.t.Errorf("daemon %d opened %d connections in advance to node %d", i, n, j)
						}
					}
				}
				if slotsPassed == 0 {
					s.t.Error("no slot of a restarted node came before the last opened connection, so the scenario checked nothing")
				}
			}},
		{fault: "snapshot truncated, foreign or old", expected: "one log line with an error code each; the start proceeds as without a snapshot", opt: Options{ListInConfig: true},
			snapshot: func(f *Fleet, i int) []byte { return unusableSnapshots[i].text(f) }, run: func(s *startupFixture) {
				s.waitServed(minServed)
				for i := range s.opt.Daemons {
					if n := strings.Count(s.Proc(i).Log(), "code=snapshot-"); n != 1 || !strings.Contains(s.Proc(i).Log(), "code=snapshot-"+unusableSnapshots[i].why) {
						s.t.Errorf("%s snapshot: %d log lines with a snapshot error code, expected one with its own code", unusableSnapshots[i].why, n)
					}
				}
			}},
		{fault: "six daemons start at once with cold nodes under load, the list down at first", expected: "no cold node is overloaded", opt: Options{ListInConfig: true, Daemons: 6, ListDown: true},
			run: func(s *startupFixture) {
				stop := s.startOverload()
				s.waitFailedListCalls(2)
				s.waitServed(minServed)
				s.setListFaults(ListHealthy)
				s.waitServed(minServed)
				stop()
				if maxShare := s.checkNodeLoad(); maxShare < 0.3 {
					s.t.Errorf("cold nodes got at most %.2f of their capacity, too little to test their limit", maxShare)
				}
			}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			s := newStartupFixture(t, x.opt, x.start, x.snapshot, false)
			s.restartNodes(0, 2)
			if x.before != nil {
				x.before(s)
			}
			s.launchDaemons(s.allDaemons()...)
			if !x.noTraffic {
				s.startTraffic()
			}
			x.run(s)
			s.finishAndAudit()
			t.Log(x.expected)
		})
	}
}

// Daemons start together without a snapshot and request one from the only peer, with some nodes cold and the list down
// until the peer has acted. Whatever the peer does, the start must proceed and no rule of the audit may be broken.
func TestStartupFromPeerSnapshot(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		run             func(*startupFixture, *testPeer)
		taken, unusable float64 // snapshots of each daemon, at the end
	}{
		{fault: "the peer is silent", expected: "no snapshot is taken", run: func(s *startupFixture, p *testPeer) {
			s.waitUntil("all daemons have requested a snapshot", func() bool { return p.snapshotRequestCount() == s.opt.Daemons })
		}},
		{fault: "the peer is killed before it answers", expected: "no snapshot is taken", run: func(s *startupFixture, p *testPeer) {
			s.waitUntil("a daemon has requested a snapshot", func() bool { return p.snapshotRequestCount() > 0 })
			p.closeOnce.Do(func() { _ = p.list.Shutdown() }) // without leaving the membership
		}},
		{fault: "the peer sends an invalid snapshot and unrequested ones", expected: "dropped and counted", unusable: 2, run: func(s *startupFixture, p *testPeer) {
			p.answerSnapshotRequests([]byte("nonsense"))
			for _, n := range s.daemonNames() {
				p.send(n, tagSnapshot, append(make([]byte, 8), mustEncode(learnedSnapshot(s.Fleet, 0, 1, 2, 3))...))
			}
		}},
		{fault: "the peer misreports cold nodes", expected: "snapshot taken; no daemon treats a cold node as warmed up", taken: 1, run: func(s *startupFixture, p *testPeer) {
			misreported := learnedSnapshot(s.Fleet, 0, 2, 1, 3) // with the start times that the list will have
			misreported.Nodes = append(misreported.Nodes, snapshot.NodeState{ID: "none", Window: 1e9, Latency: -1, BestLatencyPerUnit: -1, FailureRate: -1})
			misreported.Classes = []snapshot.ClassState{{Name: "read", Weight: 1e9, Slope: -1e9, Delay: -1}, {Name: "none"}}
			p.answerSnapshotRequests(mustEncode(misreported))
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			s := newStartupFixture(t, Options{ListInConfig: true, ListDown: true}, nil, nil, true)
			s.restartNodes(0, 2)
			s.launchDaemons(s.allDaemons()...)
			s.waitEach("it listens", s.listens)
			p := s.newTestPeer("s", s.allDaemons()...)
			x.run(s, p)
			s.waitMetric("peers_unusable_snapshots", func(_ int, v float64) bool { return v >= x.unusable })
			s.waitMetric("peers_taken_snapshots", func(_ int, v float64) bool { return v == x.taken })
			stop := s.startOverload()
			s.waitServed(minServed)
			s.setListFaults(ListHealthy)
			s.waitServed(2 * minServed)
			stop()
			s.finishAndAudit()
			t.Log(x.expected)
		})
	}
}

// A restarted daemon gets its snapshot from one peer while the other peer, which it may ask first, is suspended.
func TestStartupFromSecondPeer(t *testing.T) {
	s := newStartupFixture(t, Options{ListInConfig: true}, nil, nil, true)
	s.launchDaemons(s.allDaemons()...)
	s.startTraffic()
	file := func(i int) string { return filepath.Join(s.Dir(i), "learned") }
	s.waitEach("its startup is complete", func(i int) bool { _, err := os.Stat(file(i)); return err == nil })
	s.killDaemon(0)
	s.must(os.Remove(file(0)))
	s.must(s.Suspend(1))
	s.restartNodes(0, 2)
	s.launchDaemons(0)
	s.waitUntil("it takes the other daemon's snapshot", func() bool { return s.listens(0) && s.metric(0, "peers_taken_snapshots") == 1 })
	if n := s.metric(2, "peers_given_snapshots"); n != 1 {
		t.Errorf("daemon 2 has sent %v snapshots, expected 1", n)
	}
	s.waitServed(minServed, 1)
	s.must(s.Resume(1))
	s.finishAndAudit()
}

// finishAndAudit waits until each daemon serves and is ready, then runs the audit and checks the nodes' load.
func (s *startupFixture) finishAndAudit() {
	s.t.Helper()
	if s.stopTraffic == nil {
		s.startTraffic()
	}
	s.waitServed(minServed)
	s.waitEach("ready", func(i int) bool { return s.Proc(i).Ready() == nil })
	s.stopAndAudit()
	s.checkNodeLoad()
	for _, r := range s.Rejections() {
		if r.RetryAfter <= 0 {
			s.t.Errorf("rejection without Retry-After: %+v", r)
		}
	}
}

// fakeListOf returns daemon i's fake discovery service.
func (w *fixture) fakeListOf(i int) *fakeList { return w.List(i).(*fakeList) }
