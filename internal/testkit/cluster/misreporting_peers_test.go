package cluster

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/historycheck"
)

const (
	misreportingPeers   = 3 // against one honest word, a daemon's own: they are the median of every vote
	reportIntervalMS    = 50
	reportedListVersion = 1 << 40 // a version of the list that no service has
)

// startMisreporting has every peer of each daemon lie, the other daemons being cut off: of each node that it is no longer cold, has all its
// windows open, nothing waits and it serves in so many milliseconds, and that the list is of a far later version.
func (w *gossipFixture) startMisreporting(latencyMS float64) {
	w.t.Helper()
	w.setPeerFault(link.Fault{Cut: true}, allPairs...)
	w.waitPeerFault(func(c link.Counts) int { return c.Cut }, allPairs...)
	stop, senders := make(chan struct{}), &sync.WaitGroup{}
	for k := range misreportingPeers {
		name := fmt.Sprint("liar", k)
		peer := w.newTestPeer(name, w.allDaemons()...)
		reported, err := nodestats.New(nodestats.Defaults(), name, 1)
		w.must(err)
		empty, err := nodestats.New(nodestats.Defaults(), "none", 1)
		w.must(err)
		tick := time.NewTicker(reportIntervalMS * time.Millisecond)
		senders.Go(func() {
			defer tick.Stop()
			for {
				now := time.Since(peer.start)
				reported.SetListVersion(now, reportedListVersion)
				for j, n := range w.opt.Nodes {
					w.mu.Lock()
					since := w.startTimes[j]
					w.mu.Unlock()
					reported.SetNodeHealth(now, n.Name, since, nodestats.Health{Shard: n.Shard, Window: 1000})
					for _, class := range []string{"read", "write"} {
						for range 20 {
							reported.Recorder(now, nodestats.Key{Node: n.Name, StartTime: since, Class: class}).Record(now, 1, latencyMS, nodestats.Served)
						}
					}
				}
				messages, err := reported.Diff(now, empty.Digest(0))
				if err != nil {
					w.t.Error(err)
				}
				for _, m := range messages {
					for _, d := range w.daemonNames() {
						peer.send(d, tagCells, m)
					}
				}
				select {
				case <-stop:
					return
				case <-tick.C:
				}
			}
		})
	}
	w.t.Cleanup(func() { close(stop); senders.Wait() })
	w.waitReportsReceived()
}

// waitReportsReceived waits until each daemon holds the lies, of each liar, as they are now.
func (w *gossipFixture) waitReportsReceived() {
	w.t.Helper()
	var before []float64
	for i := range w.opt.Daemons {
		before = append(before, w.metric(i, "observations_messages"))
	}
	w.waitMetric("observations_messages", func(i int, v float64) bool { return v > before[i]+2*misreportingPeers })
	w.waitMetric("peers_list_newest_version", func(_ int, v float64) bool { return v == reportedListVersion })
	for i := range w.opt.Daemons {
		for _, n := range w.opt.Nodes[:2] { // of the shard that estimates are asked for
			w.waitUntil("the lies of "+n.Name+" are held", func() bool { return w.estimate(i, n.Name).Get("rests_on.origins").Num >= misreportingPeers })
		}
	}
}

// requestsAt is how much has come to a node.
func (w *gossipFixture) requestsAt(j int) int { return w.Node(j).Counts().Requests }

// checkNoRequests waits until nothing comes to a node any more, and looks that it stays so.
func (w *gossipFixture) checkNoRequests(j int) {
	w.t.Helper()
	w.waitUntil("nothing comes to the node", func() bool {
		base := w.requestsAt(j)
		w.waitServed(serveCount)
		return w.requestsAt(j) == base
	})
	base := w.requestsAt(j)
	w.waitReportsReceived()
	w.waitServed(2 * serveCount)
	if n := w.requestsAt(j); n != base {
		w.t.Errorf("%d more came to node %d", n-base, j)
	}
}

// Part 3: nothing that is told breaks a rule of the data path. Every peer of each daemon lies, for as long as a row runs; the
// lies have come, and move the estimate; the auditor holds its rules, in each row the one that is lied about.
func TestMisreportingPeersBreakNoRule(t *testing.T) {
	const fast, slow = 0.01, 400.0
	for _, x := range []struct {
		lie, expected string
		millis        float64
		opt           Options
		run           func(*gossipFixture)
	}{
		{lie: "all is idle and fast, while a limited volume asks for more", expected: "it keeps its limit over all daemons", millis: fast, run: func(w *gossipFixture) {
			stop := w.StartLoad(w.ctx, Load{Clients: 2, Pause: 5 * time.Millisecond, Request: func(_, _, n int) ClientRequest {
				return ClientRequest{Plan: "small", Volume: 9, Shard: n % 2}
			}})
			w.waitUntil("the volume has asked for far more than its limit", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				asked := 0
				for _, t := range w.history.Taken {
					if t.Plan == "small" {
						asked++
					}
				}
				return asked > 600
			})
			stop()
		}},
		{lie: "a node that drains is up and idle", expected: "nothing after the grace; the list's later word counts", millis: fast, run: func(w *gossipFixture) {
			w.must(w.SetNodeStatus(0, "leaving"))
			w.waitDrainNotified()
			w.checkNoRequests(0)
			w.must(w.SetNodeStatus(0, "active"))
			base := w.requestsAt(0)
			w.waitUntil("it serves again", func() bool { return w.requestsAt(0) > base+serveCount })
		}},
		{lie: "a node that operators exclude is up and idle", expected: "nothing comes to it", millis: fast, run: func(w *gossipFixture) {
			for i := range w.opt.Daemons {
				w.excludeNode(i, "s2")
			}
			w.checkNoRequests(2)
		}},
		{lie: "a cold node is warm and fast", expected: "no more than it bears", millis: fast, opt: Options{Settings: map[string]any{
			"extra": map[string]any{"young-limit": 10}}}, run: func(w *gossipFixture) {
			w.must(w.Replace(0))
			w.waitReportsReceived()
			servedBefore := w.requestsAt(1)
			w.waitUntil("its shard has served far more than it bears", func() bool { return w.requestsAt(1) > servedBefore+400 })
			if len(w.History().Cold) != 1 {
				w.t.Error("no cold start")
			}
		}},
		{lie: "an old list, with a node that has left, is the newest", expected: "each holds its own", millis: fast, run: func(w *gossipFixture) {
			w.must(w.SetNodeStatus(0, "left"))
			w.waitUntil("each is told", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				notified := map[int]bool{}
				for _, x := range w.history.Told {
					if x.Node == "s0" && x.Word == historycheck.Gone {
						notified[x.Scheduler] = true
					}
				}
				return len(notified) == w.opt.Daemons
			})
			w.checkNoRequests(0)
			for i := range w.opt.Daemons {
				if own := w.metric(i, "peers_list_oldest_version"); own >= reportedListVersion || own < firstIndex {
					w.t.Errorf("daemon %d holds version %v", i, own)
				}
			}
		}},
		{lie: "all is slow", expected: "the estimate is moved, and no request", millis: slow, run: func(w *gossipFixture) {
			for i := range w.opt.Daemons {
				w.waitUntil("the estimate is moved", func() bool { return w.estimate(i, "s1").Get("mean_ms").Num > slow/4 })
			}
			w.waitServed(serveCount)
		}},
	} {
		t.Run(x.lie, func(t *testing.T) {
			w := &gossipFixture{}
			w.fixture, w.metrics = newGossipFixture(t, x.opt)
			w.startTraffic()
			w.waitServed(serveCount)
			w.startMisreporting(x.millis)
			x.run(w)
			w.waitReportsReceived()
			w.stopAndAudit()
			t.Log(x.expected)
		})
	}
}

// excludeNode excludes a node at a daemon's admin endpoint.
func (w *gossipFixture) excludeNode(i int, node string) {
	w.t.Helper()
	q, err := http.NewRequestWithContext(w.ctx, http.MethodPut, "http://"+w.AdminAddress(i)+"/api/exclude?who="+node, nil)
	w.must(err)
	r, err := uncachedClient.Do(q)
	w.must(err)
	r.Body.Close()
	if r.StatusCode != http.StatusOK {
		w.t.Fatalf("exclude: %d", r.StatusCode)
	}
}
