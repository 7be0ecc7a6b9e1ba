package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"wheatsaddle/internal/testkit/fake/link"
	"wheatsaddle/internal/testkit/fake/node"
	"wheatsaddle/internal/testkit/historycheck"
)

// delegationFixture is a fleet whose last daemon coordinates gathered reads. It delegates groups of parts to each other daemon,
// its peers, over a link.
type delegationFixture struct {
	*fixture
	coordinator     int
	delegationLinks []*link.Link // from the coordinator to each of its peers
	nodeRows        *node.Rows
	reads           []historycheck.Request
	answers         []historycheck.Outcome
	gossip          gossipFixture // has metrics addresses only if the daemons gossip
}

const limitedPlan = "small" // a plan with a limit

// newDelegationFixture starts four daemons over shards of one node each. tree is the JSON value of that key in the coordinator's
// site section gather; "" disables delegation. rules override those of the classes read and read-once. With the argument
// withGossip the daemons gossip.
func newDelegationFixture(t *testing.T, shards, rows int, tree, rules string, withGossip ...bool) *delegationFixture {
	t.Helper()
	if testing.Short() {
		t.Skip("starts several processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	t.Cleanup(cancel)
	g := &delegationFixture{coordinator: 3, nodeRows: &node.Rows{Seed: 9, RowsPerShard: rows, SharedKeys: 0.2, SameVersion: 0.5, PaddingBytes: 24}}
	opt := Options{Daemon: daemonPath, Seed: 7, Daemons: 4, Peers: len(withGossip) > 0, Settings: map[string]any{"ceilings": map[string]any{"peers": true},
		"profiles": append(Defaults(1, 0, 1)["profiles"].([]map[string]any),
			map[string]any{"name": "read-once", "goal-time": 200, "deadline": 1000, "worth": 2., "late-worth": 1., "repeat": "unsafe"})}}
	for j := range shards {
		opt.Nodes = append(opt.Nodes, StorageNode{Name: fmt.Sprint("s", j), Shard: j, Rows: g.nodeRows})
	}
	opt.Args = func(f *Fleet, i int) []string {
		class := map[string]any{"order": []map[string]any{{"key": "k", "type": "integer"}}, "memory": map[string]any{"bytes": 1 << 20},
			"records": map[string]any{"max_bytes": 4096}}
		if rules != "" {
			if err := json.Unmarshal([]byte(rules), &class); err != nil {
				t.Fatal(err)
			}
		}
		section := map[string]any{"reads_at_once": 2, "parts_most": 24, "share": 0.1, "rules": map[string]any{"classes": map[string]any{"read": class, "read-once": class}}}
		if i == g.coordinator && tree != "" {
			var peers []map[string]any
			for j := range i {
				l, err := link.New(link.Options{Seed: uint64(j), Network: "tcp", To: f.Proc(j).Listen})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(l.Close)
				g.delegationLinks = append(g.delegationLinks, l)
				peers = append(peers, map[string]any{"name": fmt.Sprint("n", j), "address": l.Addr()})
			}
			peers = append(peers, map[string]any{"name": fmt.Sprint("n", i), "address": "127.0.0.1:1"}) // the coordinator itself, which it skips
			section["peers"], section["tree"] = peers, json.RawMessage(tree)
		}
		site := map[string]any{}
		if opt.Peers {
			var metricsAddress string
			site, metricsAddress = gossipSite(t, f, i)
			g.gossip.metrics = append(g.gossip.metrics, metricsAddress)
		}
		site["gather"] = section
		text, err := json.Marshal(site)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(f.Dir(i), "site.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		return []string{"--site", file}
	}
	f, err := Start(ctx, opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	g.fixture = &fixture{Fleet: f, t: t, ctx: ctx}
	g.gossip.fixture = g.fixture
	for i := range opt.Daemons { // the coordinator is last, as its peers must have the list by then
		g.must(g.Wait(ctx, fmt.Sprint("daemon ", i, " gathers from all shards"), func() error {
			if r := g.readAt(i, "read", defaultPlan, 8*time.Second); r.err != nil || !r.result.Get("whole").Bool() || !g.sawAllShards(shards) {
				return fmt.Errorf("%w, code %d, %d rows, %s", r.err, r.code, len(r.rows), r.result.Raw)
			}
			return nil
		}))
	}
	return g
}

// readResult is the result of a gathered read for its client.
type readResult struct {
	httpResponse
	rows [][]byte
	took time.Duration
}

// read sends a gathered read of all shards to the coordinator and waits for its end.
func (g *delegationFixture) read(class, plan string, deadline time.Duration) readResult {
	return g.readAt(g.coordinator, class, plan, deadline)
}

func (g *delegationFixture) readAt(i int, class, plan string, deadline time.Duration) (r readResult) {
	f := g.Fleet
	request, text := f.newGatheredRead(i, class, plan, deadline)
	defer func() {
		outcome := historycheck.Complete
		if r.err != nil {
			outcome = historycheck.Truncated
		}
		g.reads, g.answers = append(g.reads, request), append(g.answers, historycheck.Outcome{ID: request.ID, At: f.now(), Kind: outcome})
		r.took = f.now() - request.At
	}()
	nc, err := net.Dial("tcp", f.ClientLink(i).Addr())
	if err != nil {
		r.err = err
		return r
	}
	defer nc.Close()
	if r.err = nc.SetDeadline(time.Now().Add(deadline + 2*time.Second)); r.err != nil {
		return r
	}
	if r.httpResponse = exchangeRaw(nc, text); r.code == http.StatusOK {
		r.rows = bytes.Split(bytes.TrimSuffix(r.body, []byte("\n")), []byte("\n"))
	}
	return r
}

// checkComplete checks that the answer to a read came in time with the merged rows of all shards.
func (g *delegationFixture) checkComplete(what string, r readResult, deadline time.Duration) {
	g.t.Helper()
	var shards []int
	for j := range g.opt.Nodes {
		shards = append(shards, j)
	}
	// Rows with equal keys are ordered by the names of their parts.
	slices.SortFunc(shards, func(a, b int) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	want := g.nodeRows.Merge(shards, node.MergeOptions{Keep: "all"})
	if r.err != nil || r.code != http.StatusOK || !r.result.Get("whole").Bool() || !slices.EqualFunc(r.rows, want, bytes.Equal) {
		g.t.Errorf("%s is not the complete merge: error %v, code %d, %d rows of %d, result %s", what, r.err, r.code, len(r.rows), len(want), r.result.Raw)
	}
	if r.took > deadline {
		g.t.Errorf("%s took %v, longer than its deadline of %v", what, r.took, deadline)
	}
}

// sawAllShards reports whether the last read had at least this many parts, as a daemon may not know all shards yet.
func (g *delegationFixture) sawAllShards(shards int) bool {
	return g.countParts(true)+g.countParts(false) >= shards
}

// countParts counts the parts of the last read that reached nodes: those of delegated groups, whose request IDs contain /g, or
// the others.
func (g *delegationFixture) countParts(groups bool) (n int) {
	last := g.reads[len(g.reads)-1].ID
	for _, s := range g.History().Attempts {
		if strings.HasPrefix(s.ID, last+"/") && strings.HasPrefix(s.ID, last+"/g") == groups {
			n++
		}
	}
	return n
}

// audit checks the history against the rules. It adds each part as a request that ends with its read. A part sent by a peer,
// which learns of the end over the network, may last until the deadline of its read.
func (g *delegationFixture) audit() {
	g.t.Helper()
	h := g.History()
	seen := map[string]bool{}
	for _, s := range h.Attempts {
		read, part, ok := strings.Cut(s.ID, "/")
		readIndex := slices.IndexFunc(g.reads, func(r historycheck.Request) bool { return r.ID == read })
		if !ok || readIndex < 0 || seen[s.ID] {
			continue
		}
		seen[s.ID] = true
		request, outcome := g.reads[readIndex], g.answers[readIndex]
		if strings.HasPrefix(part, "g") {
			outcome.At = max(outcome.At, request.Deadline)
		}
		request.ID, outcome.ID, outcome.Kind, outcome.ResponseID = s.ID, s.ID, historycheck.Complete, ""
		request.Deadline = max(request.Deadline, outcome.At)
		h.Requests, h.Outcomes = append(h.Requests, request), append(h.Outcomes, outcome)
	}
	h.Requests, h.Outcomes = append(h.Requests, g.reads...), append(h.Outcomes, g.answers...)
	for i, v := range historycheck.Check(g.Rules(), h) {
		if i < 5 {
			g.t.Error(v)
		}
	}
	if len(seen) == 0 || g.t.Failed() {
		g.t.Errorf("%d parts sent to nodes\n%s", len(seen), g.Logs())
	}
}

// startRead starts a read at the coordinator and returns a channel for its result.
func (g *delegationFixture) startRead(deadline time.Duration) <-chan readResult {
	end := make(chan readResult, 1)
	go func() { end <- g.read("read", defaultPlan, deadline) }()
	return end
}

// Peers fail before or during a gathered read of 12 parts over four daemons. The read must be complete in every scenario.
func TestDelegatedGatherPeerFaults(t *testing.T) {
	const shards, rows, defaultDeadline = 12, 500, 8 * time.Second
	slow := link.Fault{BytesPerSecond: 16 << 10} // the answer with a group then takes some seconds
	waitAnswerStarted := func(g *delegationFixture, j int) {
		g.waitUntil("the peer's answer has begun", func() bool { return g.delegationLinks[j].Counts(link.Backward).Bytes > 2000 })
	}
	for _, x := range []struct {
		fault, expected string
		deadline        time.Duration
		before, during  func(*delegationFixture)
		occurred        func(*delegationFixture) bool
		failedPeers     []int // peers whose failures the coordinator logs
		retaken         bool  // the coordinator itself gathers at least one part of a delegated group
		either          bool  // either the coordinator or another peer gathers the parts of a failed peer
	}{
		{fault: "no fault", expected: "each peer gathers a group, each part is sent once"},
		{fault: "a peer is killed during the read", expected: "another peer takes over its group", failedPeers: []int{0},
			before: func(g *delegationFixture) { g.must(g.delegationLinks[0].SetFault(link.Backward, slow)) },
			during: func(g *delegationFixture) { waitAnswerStarted(g, 0); g.must(g.Kill(0)) }},
		{fault: "a peer is suspended", expected: "another peer takes over its group", failedPeers: []int{1},
			before: func(g *delegationFixture) { g.must(g.Suspend(1)) }},
		{fault: "a peer's link is slow", expected: "another peer takes over its group", deadline: 6 * time.Second, failedPeers: []int{2},
			before: func(g *delegationFixture) {
				g.must(g.delegationLinks[2].SetFault(link.Backward, link.Fault{BytesPerSecond: 1000}))
			},
			occurred: func(g *delegationFixture) bool { return g.delegationLinks[2].Counts(link.Backward).RateLimited > 0 }},
		{fault: "a peer's answer is cut", expected: "another peer takes over its group", failedPeers: []int{0},
			before: func(g *delegationFixture) {
				g.must(g.delegationLinks[0].SetFault(link.Backward, link.Fault{ResetAfter: 9000}))
			},
			occurred: func(g *delegationFixture) bool { return g.delegationLinks[0].Counts(link.Backward).Reset > 0 }},
		{fault: "two peers are down", expected: "the third or the coordinator takes over their groups", failedPeers: []int{0, 1}, either: true,
			before: func(g *delegationFixture) { g.must(g.Kill(0)); g.must(g.Kill(1)) }},
		{fault: "all peers are down", expected: "the coordinator gathers every part itself", failedPeers: []int{0, 1, 2}, retaken: true,
			before: func(g *delegationFixture) { g.must(g.Kill(0)); g.must(g.Kill(1)); g.must(g.Kill(2)) }},
		{fault: "all peers are killed during the read", expected: "the coordinator gathers every part itself", failedPeers: []int{0, 1, 2}, retaken: true,
			before: func(g *delegationFixture) {
				for _, l := range g.delegationLinks {
					g.must(l.SetFault(link.Backward, slow))
				}
			},
			during: func(g *delegationFixture) {
				for j := range g.delegationLinks {
					waitAnswerStarted(g, j)
				}
				for j := range g.delegationLinks {
					g.must(g.Kill(j))
				}
			}},
		{fault: "a peer does not reach its nodes", expected: "the coordinator gathers that group itself", failedPeers: []int{1}, retaken: true,
			before: func(g *delegationFixture) {
				for j := range shards {
					g.must(g.StorageLink(1, j).SetFault(link.Forward, link.Fault{ResetAfter: 1}))
				}
			},
			occurred: func(g *delegationFixture) bool { // at one or more nodes
				resets := 0
				for j := range shards {
					resets += g.StorageLink(1, j).Counts(link.Forward).Reset
				}
				return resets > 0
			}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			t.Parallel()
			inScenarioSlot(func() {
				deadline := defaultDeadline
				if x.deadline > 0 {
					deadline = x.deadline
				}
				g := newDelegationFixture(t, shards, rows, `{"least_parts":4,"silent_ms":400,"rest_ms":60000,"rest_most_ms":60000,"copies":2}`, "")
				if x.before != nil {
					x.before(g)
				}
				end := g.startRead(deadline)
				if x.during != nil {
					x.during(g)
				}
				g.checkComplete("the read", <-end, deadline)
				if x.occurred != nil && !x.occurred(g) {
					t.Error("the fault did not occur")
				}
				for j := range g.delegationLinks {
					logged := strings.Contains(g.Proc(g.coordinator).Log(), fmt.Sprintf("peer \\\"n%d\\\"", j))
					if logged != slices.Contains(x.failedPeers, j) {
						t.Errorf("the coordinator's log names peer %d: %v, expected the opposite\n%s", j, logged, g.Proc(g.coordinator).Log())
					}
				}
				if n := g.countParts(true); x.fault == "no fault" && (n != shards*3/4 || g.countParts(false) != shards/4) {
					t.Errorf("%d parts were sent by groups and %d by the coordinator itself, expected three quarters and a quarter", n, g.countParts(false))
				}
				if retaken := g.partsRetakenByCoordinator(); !x.either && (retaken > 0) != x.retaken {
					t.Errorf("the coordinator itself requested %d parts of delegated groups, contrary to what the scenario expects", retaken)
				}
				before := make([]int, len(g.delegationLinks))
				for j, l := range g.delegationLinks {
					before[j] = l.Counts(link.Forward).Conns
				}
				g.checkComplete("the next read", g.read("read", defaultPlan, deadline), deadline)
				for _, j := range x.failedPeers {
					if now := g.delegationLinks[j].Counts(link.Forward).Conns; now != before[j] {
						t.Errorf("the coordinator connected to peer %d while that was in backoff", j)
					}
				}
				g.audit()
			})
		})
	}
}

// With gossip, a daemon that has left the membership gets no group even at the first read afterwards, and one that has rejoined
// gets groups again.
func TestDelegationFollowsMembership(t *testing.T) {
	t.Parallel()
	inScenarioSlot(func() {
		const deadline = 8 * time.Second
		g := newDelegationFixture(t, 12, 50, `{"least_parts":4,"rest_ms":60000,"rest_most_ms":60000}`, "", true)
		waitMembers := func(n float64) {
			g.waitUntil("the coordinator has the expected number of members", func() bool { return g.gossip.metric(g.coordinator, "peers_members") == n })
		}
		conns := func() int { return g.delegationLinks[1].Counts(link.Forward).Conns }
		readWithGroups := func(groups float64) {
			was := g.gossip.metric(g.coordinator, "gather_tree_groups")
			g.checkComplete("a read", g.read("read", defaultPlan, deadline), deadline)
			if n := g.gossip.metric(g.coordinator, "gather_tree_groups") - was; n != groups {
				t.Errorf("the coordinator delegated %v groups, expected %v", n, groups)
			}
		}
		waitMembers(4)
		readWithGroups(3)
		before := conns()
		g.must(g.Terminate(1))
		g.must(g.Proc(1).Wait(g.ctx))
		waitMembers(3)
		if readWithGroups(2); conns() != before {
			t.Error("the coordinator connected to a peer that had left")
		}
		g.must(g.Restart(g.ctx, 1))
		waitMembers(4)
		if readWithGroups(3); conns() == before {
			t.Error("the coordinator did not connect to a peer that had rejoined")
		}
		if n := g.gossip.metric(g.coordinator, "gather_tree_rows"); n < 3*100 || g.gossip.metric(g.coordinator, `gather_tree_failures{code="scatter-peer-failed"}`) != 0 {
			t.Errorf("%v rows came from peers, fewer than 300, or a peer has failed\n%s", n, g.Proc(g.coordinator).Log())
		}
		g.audit()
	})
}

// inScenarioSlot runs a scenario once one of the scenario slots is free.
func inScenarioSlot(run func()) {
	scenarioSlots <- struct{}{}
	defer func() { <-scenarioSlots }()
	run()
}

// partsRetakenByCoordinator counts the parts of groups that the coordinator itself requested from nodes.
func (g *delegationFixture) partsRetakenByCoordinator() (n int) {
	last := g.reads[len(g.reads)-1].ID
	for j := range g.opt.Nodes {
		conns := map[string]bool{}
		for _, c := range g.StorageLink(g.coordinator, j).Conns() {
			conns[c.OutboundAddr] = true
		}
		for _, a := range g.Node(j).Attempts() {
			if conns[a.From] && strings.HasPrefix(a.ID, last+"/g") {
				n++
			}
		}
	}
	return n
}

// Reads of a non-idempotent class and reads of a plan with a limit are not delegated.
func TestReadsThatAreNotDelegated(t *testing.T) {
	t.Parallel()
	inScenarioSlot(func() {
		g := newDelegationFixture(t, 6, 50, `{"least_parts":4}`, "")
		for _, c := range []struct {
			class, plan string
			groups      bool
		}{{"read-once", defaultPlan, false}, {"read", limitedPlan, false}, {"read", defaultPlan, true}} {
			g.checkComplete(c.class+" "+c.plan, g.read(c.class, c.plan, 8*time.Second), 8*time.Second)
			if got := g.countParts(true); (got > 0) != c.groups || got+g.countParts(false) != 6 {
				t.Errorf("%+v: %d parts were sent by groups and %d by the coordinator itself; expected 6 in all, by groups only if groups is true", c, got, g.countParts(false))
			}
		}
		g.audit()
	})
}

var measureCost = flag.Bool("measure", false, "measure gathered reads of 24 parts with and without delegation to peers")

// Measures gathered reads of 24 parts over four processes, with and without delegation: parts that the coordinator sends itself,
// bytes that it receives per read, the median, shortest and longest duration, and its processor time.
func TestDelegationCost(t *testing.T) {
	if !*measureCost {
		t.Skip("-measure is not given")
	}
	const shards, rows, reads = 24, 2000, 21
	for _, kind := range []struct{ name, rules string }{{"all rows, delegated: ", ""}, {"highest version of each key, delegated: ", `{"duplicates":{"keep":"highest","version":{"key":"v","type":"integer"}}}`}, {"top 100 rows, delegated: ", `{"truncate":{"top":100}}`}} {
		for _, tree := range []string{"", `{"least_parts":4,"silent_ms":2000}`} {
			t.Run(fmt.Sprint(kind.name, tree != ""), func(t *testing.T) {
				g := newDelegationFixture(t, shards, rows, tree, kind.rules)
				bytesReceived := func() (n int) {
					for j := range shards {
						n += g.StorageLink(g.coordinator, j).Counts(link.Backward).Bytes
					}
					for _, l := range g.delegationLinks {
						n += l.Counts(link.Backward).Bytes
					}
					return n
				}
				before, parts := bytesReceived(), 0
				var durations []time.Duration
				for range reads {
					r := g.read("read", defaultPlan, 20*time.Second)
					if r.err != nil || r.code != http.StatusOK || !r.result.Get("whole").Bool() && r.result.Get("truncated").Str == "" {
						t.Fatalf("gathered read failed: error %v, code %d, result %s", r.err, r.code, r.result.Raw)
					}
					durations = append(durations, r.took)
					parts = g.countParts(false)
				}
				slices.Sort(durations)
				bytes := (bytesReceived() - before) / reads
				g.must(g.Terminate(g.coordinator))
				g.must(g.Proc(g.coordinator).Wait(g.ctx))
				t.Logf("| %s | %v | %d | %d KB | %v (%v to %v) | %v |", kind.name, tree != "", parts, bytes>>10, durations[reads/2].Round(100*time.Microsecond),
					durations[0].Round(100*time.Microsecond), durations[reads-1].Round(100*time.Microsecond), g.Proc(g.coordinator).CPU().Round(10*time.Millisecond))
			})
		}
	}
}
