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
	misreportingPeerCount = 3 // so that the median of every vote is false; the only correct report is the daemon's own
	reportIntervalMS      = 50
	reportedListVersion   = 1 << 40 // a list version that no discovery service has
)

// startMisreporting cuts the daemons off from each other, so that all peers of each daemon misreport. They report that each
// node is warmed up, has its full window open and no queue, and serves in latencyMS, and that the list has a far later version.
func (w *gossipFixture) startMisreporting(latencyMS float64) {
	w.t.Helper()
	w.setPeerFault(link.Fault{Cut: true}, allPairs...)
	w.waitPeerFault(func(c link.Counts) int { return c.Cut }, allPairs...)
	stop, senders := make(chan struct{}), &sync.WaitGroup{}
	for k := range misreportingPeerCount {
		name := fmt.Sprint("misreporting", k)
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

// waitReportsReceived waits until each daemon has received the current false reports of each peer.
func (w *gossipFixture) waitReportsReceived() {
	w.t.Helper()
	var before []float64
	for i := range w.opt.Daemons {
		before = append(before, w.metric(i, "observations_messages"))
	}
	w.waitMetric("observations_messages", func(i int, v float64) bool { return v > before[i]+2*misreportingPeerCount })
	w.waitMetric("peers_list_newest_version", func(_ int, v float64) bool { return v == reportedListVersion })
	for i := range w.opt.Daemons {
		for _, n := range w.opt.Nodes[:2] { // of the shard that estimate requests
			w.waitUntil("the false reports on "+n.Name+" are received", func() bool { return w.estimate(i, n.Name).Get("rests_on.origins").Num >= misreportingPeerCount })
		}
	}
}

// requestsAt returns the number of requests that node j has received.
func (w *gossipFixture) requestsAt(j int) int { return w.Node(j).Counts().Requests }

// checkNoRequests waits until node j receives no more requests, and checks that it receives none afterwards.
func (w *gossipFixture) checkNoRequests(j int) {
	w.t.Helper()
	w.waitUntil("the node receives no more requests", func() bool {
		base := w.requestsAt(j)
		w.waitServed(minServed)
		return w.requestsAt(j) == base
	})
	base := w.requestsAt(j)
	w.waitReportsReceived()
	w.waitServed(2 * minServed)
	if n := w.requestsAt(j); n != base {
		w.t.Errorf("%d more requests were sent to node %d, which may get none", n-base, j)
	}
}

// False reports from all peers of a daemon must not break a rule of the data path. The reports are received throughout each
// scenario and change the estimates, and the audit checks the rules, above all the one that the report concerns.
func TestMisreportingPeersBreakNoRule(t *testing.T) {
	const fast, slow = 0.01, 400.0
	for _, x := range []struct {
		report, expected string
		latencyMS        float64
		opt              Options
		run              func(*gossipFixture)
	}{
		{report: "all nodes are idle and fast, while a limited volume requests more", expected: "the volume's limit holds over all daemons", latencyMS: fast, run: func(w *gossipFixture) {
			stop := w.Run(w.ctx, Load{Clients: 2, Pause: 5 * time.Millisecond, Request: func(_, _, n int) ClientRequest {
				return ClientRequest{Plan: "small", Volume: 9, Shard: n % 2}
			}})
			w.waitUntil("the volume has requested far more than its limit", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				requested := 0
				for _, t := range w.history.Requests {
					if t.Plan == "small" {
						requested++
					}
				}
				return requested > 600
			})
			stop()
		}},
		{report: "a draining node is up and idle", expected: "no requests after the grace period; a later status in the list applies", latencyMS: fast, run: func(w *gossipFixture) {
			w.must(w.SetNodeStatus(0, "leaving"))
			w.waitDrainNotified()
			w.checkNoRequests(0)
			w.must(w.SetNodeStatus(0, "active"))
			base := w.requestsAt(0)
			w.waitUntil("the node serves again", func() bool { return w.requestsAt(0) > base+minServed })
		}},
		{report: "an excluded node is up and idle", expected: "it receives no requests", latencyMS: fast, run: func(w *gossipFixture) {
			for i := range w.opt.Daemons {
				w.excludeNode(i, "s2")
			}
			w.checkNoRequests(2)
		}},
		{report: "a cold node is warmed up and fast", expected: "no more load than its slow start allows", latencyMS: fast, opt: Options{Settings: map[string]any{
			"extra": map[string]any{"young-limit": 10}}}, run: func(w *gossipFixture) {
			w.must(w.ReplaceNode(0))
			w.waitReportsReceived()
			defer w.startOverlappingTraffic()()
			servedBefore := w.requestsAt(1)
			w.waitUntil("the other node of its shard has served far more than the slow start allows", func() bool { return w.requestsAt(1) > servedBefore+400 })
			if len(w.History().SlowStarts) != 1 {
				w.t.Error("the history does not hold exactly one cold start, so the audit did not check the slow start")
			}
		}},
		{report: "an old list with a node that has left is the newest", expected: "each daemon keeps its own list", latencyMS: fast, run: func(w *gossipFixture) {
			w.must(w.SetNodeStatus(0, "left"))
			w.waitUntil("each daemon is notified", func() bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				notified := map[int]bool{}
				for _, x := range w.history.Notifications {
					if x.Node == "s0" && x.Status == historycheck.Removed {
						notified[x.Scheduler] = true
					}
				}
				return len(notified) == w.opt.Daemons
			})
			w.checkNoRequests(0)
			for i := range w.opt.Daemons {
				if version := w.metric(i, "peers_list_oldest_version"); version >= reportedListVersion || version < initialListVersion {
					w.t.Errorf("daemon %d reports list version %v, which is not one of its own discovery service", i, version)
				}
			}
		}},
		{report: "all nodes are slow", expected: "the estimate changes, but no request is affected", latencyMS: slow, run: func(w *gossipFixture) {
			for i := range w.opt.Daemons {
				w.waitUntil("the estimate changes", func() bool { return w.estimate(i, "s1").Get("mean_ms").Num > slow/4 })
			}
			w.waitServed(minServed)
		}},
	} {
		t.Run(x.report, func(t *testing.T) {
			w := &gossipFixture{}
			w.fixture, w.metrics = newGossipFixture(t, x.opt)
			w.startTraffic()
			w.waitServed(minServed)
			w.startMisreporting(x.latencyMS)
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
	request, err := http.NewRequestWithContext(w.ctx, http.MethodPut, "http://"+w.AdminAddress(i)+"/api/exclude?who="+node, nil)
	w.must(err)
	response, err := noKeepAliveClient.Do(request)
	w.must(err)
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		w.t.Fatalf("exclude request answered with code %d", response.StatusCode)
	}
}
