package cluster

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/testkit/fake/link"
)

// gossipSite returns the site sections that enable gossip and metrics of daemon i, and the metrics address.
func gossipSite(t *testing.T, f *Fleet, i int) (site map[string]any, metrics string) {
	t.Helper()
	metricsAddress, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	seeds, via := []string{}, map[string]string{}
	for j := range f.opt.Daemons {
		if j != i {
			seeds = append(seeds, f.PeerAddr(j))
			via[f.PeerAddr(j)] = f.PeerAddrFrom(i, j)
		}
	}
	// The half-life is scenarioTimeout, so observations keep most of their weight during a scenario.
	return map[string]any{"metrics": map[string]any{"address": metricsAddress},
		"peers": map[string]any{"listen": f.PeerAddr(i), "seeds": seeds, "via": via, "every_ms": 50, "half_life_ms": 60000}}, metricsAddress
}

// newGossipFixture starts daemons that gossip with each other, except those in withoutPeers, which have no site section peers.
// It returns the metrics addresses of all daemons.
func newGossipFixture(t *testing.T, opt Options, withoutPeers ...int) (*fixture, []string) {
	t.Helper()
	var metrics []string
	opt.Peers, opt.Admin = true, true
	settings := map[string]any{"ceilings": map[string]any{"peers": true}}
	for k, v := range opt.Settings {
		settings[k] = v
	}
	opt.Settings = settings
	extraArgs := opt.Args
	opt.Args = func(f *Fleet, i int) []string {
		site, metricsAddress := gossipSite(t, f, i)
		metrics = append(metrics, metricsAddress)
		site["estimate"] = map[string]any{}
		for _, s := range withoutPeers {
			if s == i {
				delete(site, "peers")
			}
		}
		text, err := json.Marshal(site)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(f.Dir(i), "site.json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		args := []string{"--site", file}
		if extraArgs != nil {
			args = append(args, extraArgs(f, i)...)
		}
		return args
	}
	w := newFixture(t, opt)
	return w, metrics
}

// gossipFixture is a fleet of daemons that gossip with each other.
type gossipFixture struct {
	*fixture
	metrics []string
}

// noKeepAliveClient opens a connection for each request.
var noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (w *gossipFixture) metric(i int, name string) float64 {
	w.t.Helper()
	resp, err := noKeepAliveClient.Get("http://" + w.metrics[i] + "/metrics")
	w.must(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	w.must(err)
	for line := range strings.Lines(string(body)) {
		if v, ok := strings.CutPrefix(line, "wheatsaddle_"+name+" "); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
			w.must(err)
			return n
		}
	}
	w.t.Fatalf("daemon %d has no metric %s", i, name)
	return 0
}

// waitMetric waits until a metric of each daemon meets a condition, one daemon after the other.
func (w *gossipFixture) waitMetric(name string, accept func(i int, v float64) bool) {
	w.t.Helper()
	for i := range w.opt.Daemons {
		last := 0.0
		err := w.Wait(w.ctx, fmt.Sprint("daemon ", i, " reports the expected value of metric ", name), func() error {
			if last = w.metric(i, name); accept(i, last) {
				return nil
			}
			return fmt.Errorf("its value is %v", last)
		})
		w.must(err)
	}
}

func (w *gossipFixture) daemonNames() (all []string) {
	for i := range w.opt.Daemons {
		all = append(all, fmt.Sprint("n", i))
	}
	return all
}

func (w *gossipFixture) allDaemons() (all []int) {
	for i := range w.opt.Daemons {
		all = append(all, i)
	}
	return all
}

// estimate requests the estimated cost of a read at a node from daemon i's admin endpoint.
func (w *gossipFixture) estimate(i int, node string) gjson.Result {
	w.t.Helper()
	body := `{"plans":[{"name":"a","root":{"work":{"shard":0,"class":"read","units":1,"node":"` + node + `"}}}]}`
	response, err := noKeepAliveClient.Post("http://"+w.AdminAddress(i)+"/api/estimate", "application/json", strings.NewReader(body))
	w.must(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	w.must(err)
	if gjson.GetBytes(text, "code").Str == "cost-unknown-name" { // no observation of this incarnation of the node yet
		return gjson.Result{}
	}
	if response.StatusCode != http.StatusOK {
		w.t.Fatalf("estimate answered with code %d: %s", response.StatusCode, text)
	}
	return gjson.GetBytes(text, "plans.0")
}

func (w *gossipFixture) setPeerFault(f link.Fault, pairs ...[2]int) {
	w.t.Helper()
	for _, p := range pairs {
		w.must(w.PeerLink(p[0], p[1]).SetFault(link.Both, f))
	}
}

func (w *gossipFixture) waitPeerFault(count func(link.Counts) int, pairs ...[2]int) {
	w.t.Helper()
	for _, p := range pairs {
		w.waitUntil(fmt.Sprint("the fault occurs on the link between daemons ", p), func() bool { return count(w.PeerLink(p[0], p[1]).Counts(link.Both)) > 0 })
	}
}

var allPairs = [][2]int{{0, 1}, {0, 2}, {1, 2}}

// stopAndConverge stops the traffic and waits until all daemons have the same state, that of one merge of all their states.
func (w *gossipFixture) stopAndConverge(s *testPeer) {
	w.t.Helper()
	w.stopAndAudit()
	w.waitConverged(s, w.daemonNames()...)
}

// mergeAll returns one state into which all messages are merged.
func mergeAll(t *testing.T, all ...[][]byte) *nodestats.State {
	t.Helper()
	s, err := nodestats.New(nodestats.Defaults(), "one", 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, messages := range all {
		for _, m := range messages {
			if err := s.Merge(0, m); err != nil {
				t.Fatal(err)
			}
		}
	}
	return s
}

// Faults of the gossip between three daemons under traffic. The daemons' states must converge, and the rules of the
// audit must hold in each scenario.
func TestGossipFaults(t *testing.T) {
	for _, x := range []struct {
		fault, expected string
		opt             Options
		run             func(*gossipFixture)
	}{
		{fault: "a partition that heals", expected: "separate states during the partition, then the merge of both", run: func(w *gossipFixture) {
			partitioned := allPairs[:2]
			w.setPeerFault(link.Fault{Cut: true}, partitioned...)
			w.waitPeerFault(func(c link.Counts) int { return c.Cut }, partitioned...)
			w.waitMetric("peers_members", func(i int, v float64) bool { return i == 0 && v == 1 || i > 0 && v == 2 })
			w.waitServed(minServed)
			w.stopAndAudit()
			a, b := w.newTestPeer("a", 0), w.newTestPeer("b", 1, 2)
			w.waitConverged(a, "n0")
			w.waitConverged(b, "n1", "n2")
			merged := mergeAll(w.t, a.messages(w.t), b.messages(w.t))
			if merged.MatchesDigest(0, a.digests["n0"]) || merged.MatchesDigest(0, b.digests["n1"]) {
				w.t.Error("a daemon had the merge of both sides' states during the partition, so the states did not diverge")
			}
			a.close()
			b.close()
			w.setPeerFault(link.Fault{}, partitioned...)
			c := w.newTestPeer("c", w.allDaemons()...)
			w.waitConverged(c, w.daemonNames()...)
			for _, n := range w.daemonNames() {
				if !merged.MatchesDigest(0, c.digests[n]) {
					w.t.Errorf("the state of %s is not the merge of both sides", n)
				}
			}
		}},
		{fault: "a daemon is suspended for 5 s and resumes with old observations", expected: "its observations of others replace no newer ones; all states are equal", run: func(w *gossipFixture) {
			s := w.newTestPeer("s", w.allDaemons()...)
			w.must(w.Suspend(0))
			w.waitServed(minServed, 0)
			time.Sleep(5 * time.Second) // the daemon stays suspended this long
			olderCells := []float64{0, w.metric(1, "observations_older_cells"), w.metric(2, "observations_older_cells")}
			w.must(w.Resume(0))
			w.waitMetric("observations_older_cells", func(i int, v float64) bool { return i == 0 || v > olderCells[i] })
			w.waitServed(minServed)
			w.stopAndConverge(s)
		}},
		{fault: "a daemon is killed and restarted under its name", expected: "known again at once; messages of its previous incarnation change nothing", run: func(w *gossipFixture) {
			s := w.newTestPeer("s", w.allDaemons()...)
			w.waitAllOrigins(s)
			w.must(w.Kill(0))
			previousCells := s.messages(w.t)
			w.waitServed(minServed, 0)
			w.must(w.Restart(w.ctx, 0))
			w.waitMetric("observations_origins", func(_ int, v float64) bool { return v == 2 })
			w.waitServed(minServed)
			w.stopAndConverge(s)
			olderCells := []float64{w.metric(0, "observations_older_cells"), w.metric(1, "observations_older_cells"), w.metric(2, "observations_older_cells")}
			for _, n := range w.daemonNames() {
				for _, m := range previousCells {
					s.send(n, tagCells, m)
				}
			}
			w.waitMetric("observations_older_cells", func(i int, v float64) bool { return v > olderCells[i] })
			w.waitConverged(s, w.daemonNames()...)
		}},
		{fault: "messages lost, duplicated, reordered, truncated or of a later version", expected: "counted, and all states are equal", run: func(w *gossipFixture) {
			s := w.newTestPeer("s", w.allDaemons()...)
			w.setPeerFault(link.Fault{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2}, allPairs...)
			w.waitPeerFault(func(c link.Counts) int { return min(c.Lost, c.Duplicated, c.Reordered) }, allPairs...)
			w.waitAllOrigins(s)
			valid := s.messages(w.t)[0]
			for _, n := range w.daemonNames() {
				for k := range 10 {
					s.send(n, tagCells, valid[:len(valid)*k/10])
				}
				newerVersion := append([]byte(nil), valid...)
				newerVersion[2]++
				s.send(n, tagCells, newerVersion)
			}
			w.waitMetric("observations_unreadable", func(_ int, v float64) bool { return v == 10 })
			w.waitMetric("observations_later_versions", func(_ int, v float64) bool { return v == 1 })
			w.waitServed(minServed)
			w.stopAndConverge(s)
		}},
		{fault: "a node is replaced under its name", expected: "unknown at once to each daemon, known again from new answers", opt: Options{Settings: map[string]any{
			"extra": map[string]any{"young-limit": 300}}}, run: func(w *gossipFixture) {
			known := func(i int) bool {
				e := w.estimate(i, "s0").Get("rests_on")
				return e.Get("level").Str == "node" && e.Get("origins").Num == 3
			}
			w.must(w.SetNodeStatus(1, "leaving")) // while the other node of its shard serves, node 0 might get no requests
			for i := range w.opt.Daemons {
				w.waitUntil("all daemons have observations of the node", func() bool { return known(i) })
			}
			w.stopTraffic()
			w.must(w.ReplaceNode(0))
			for i := range w.opt.Daemons {
				w.waitUntil("the node is unknown", func() bool { return w.estimate(i, "s0").Get("rests_on.level").Str != "node" })
			}
			w.startTraffic()
			for i := range w.opt.Daemons {
				w.waitUntil("the node is known again", func() bool { return known(i) })
			}
			w.stopAndConverge(w.newTestPeer("s", w.allDaemons()...))
		}},
		{fault: "a peer that sends random bytes", expected: "counted; no member, state or answer is lost", run: func(w *gossipFixture) {
			s := w.newTestPeer("s", w.allDaemons()...)
			w.waitAllOrigins(s)
			r := rand.New(rand.NewPCG(1, 2))
			randomBytes := func(n int) (b []byte) {
				for range n {
					b = append(b, byte(r.Uint32()))
				}
				return b
			}
			valid := s.messages(w.t)[0]
			for i, n := range w.daemonNames() {
				for k := range 40 {
					s.send(n, byte(k), randomBytes(1+r.IntN(2000)))
					m := append([]byte(nil), valid[:len(valid)-4]...) // a valid frame with corrupted contents
					for range 20 {
						m[4+r.IntN(len(m)-4)] = byte(r.Uint32())
					}
					s.send(n, tagCells, binary.LittleEndian.AppendUint32(m, crc32.Checksum(m, crc32.MakeTable(crc32.Castagnoli))))
				}
				for _, network := range []string{"udp", "tcp"} {
					nc, err := net.Dial(network, w.PeerAddr(i))
					w.must(err)
					for range 20 {
						_, _ = nc.Write(randomBytes(1000)) // the daemon may close the connection
					}
					nc.Close()
				}
			}
			w.waitMetric("observations_unreadable", func(_ int, v float64) bool { return v >= 50 })
			w.waitServed(minServed)
			w.waitMetric("peers_members", func(_ int, v float64) bool { return v == 4 })
			w.stopAndAudit()
		}},
	} {
		t.Run(x.fault, func(t *testing.T) {
			w := &gossipFixture{}
			w.fixture, w.metrics = newGossipFixture(t, x.opt)
			w.startTraffic()
			w.waitServed(minServed)
			w.waitMetric("observations_origins", func(_ int, v float64) bool { return v == 2 })
			x.run(w)
			for i := range w.opt.Daemons {
				if err := w.Proc(i).Signal(syscall.Signal(0)); err != nil {
					t.Errorf("daemon %d is not running at the end of the scenario", i)
				}
			}
		})
	}
}

// waitAllOrigins requests the daemons' cells until the test peer has observations from each of them. It needs traffic.
func (w *gossipFixture) waitAllOrigins(s *testPeer) {
	w.t.Helper()
	w.waitUntil("the test peer has observations of all daemons", func() bool {
		s.mu.Lock()
		digest := s.state.Digest(time.Since(s.start))
		n := s.state.Counts().Origins
		s.mu.Unlock()
		for _, d := range w.daemonNames() {
			s.send(d, tagDigestRequest, digest)
		}
		return int(n) == w.opt.Daemons
	})
}

// udpSockets counts the UDP sockets of daemon i.
func (w *gossipFixture) udpSockets(i int) (n int) {
	w.t.Helper()
	pid := w.Proc(i).cmd.Process.Pid
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	w.must(err)
	if len(links) < 5 {
		w.t.Fatalf("daemon %d has only %d open files, fewer than expected of a running daemon", i, len(links))
	}
	inodes := map[string]bool{}
	for _, l := range links {
		to, _ := os.Readlink(l) // the descriptor may be closed by now
		if inode, ok := strings.CutPrefix(to, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	for _, table := range []string{"udp", "udp6"} {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/%s", pid, table))
		w.must(err)
		for line := range strings.Lines(string(text)) {
			if f := strings.Fields(line); len(f) > 9 && inodes[f[9]] {
				n++
			}
		}
	}
	return n
}

// Without the section peers a daemon has no UDP socket and runs no goroutine of internal/gossip or memberlist, as the
// stack dump on SIGQUIT shows. The other daemons have both.
func TestNoGossipWithoutPeersSection(t *testing.T) {
	w := &gossipFixture{}
	w.fixture, w.metrics = newGossipFixture(t, Options{}, 0)
	w.startTraffic()
	w.waitServed(minServed)
	for i := range w.opt.Daemons {
		if i > 0 {
			w.waitUntil("each daemon with the section peers has two members", func() bool { return w.metric(i, "peers_members") == 2 })
		}
		if n := w.udpSockets(i); (n > 0) != (i > 0) {
			t.Errorf("daemon %d has %d UDP sockets; only daemons other than 0 may have any, and must", i, n)
		}
	}
	w.stopAndAudit()
	for i := range w.opt.Daemons {
		w.markDown(i, true)
		w.must(w.Proc(i).Signal(syscall.SIGQUIT))
		if err := w.Proc(i).Wait(w.ctx); err == nil {
			t.Error("the daemon exited with 0 on SIGQUIT")
		}
		text := w.Proc(i).Log()
		if !strings.Contains(text, "wheatsaddle/internal/core.") {
			t.Fatalf("daemon %d has not printed its stack dump", i)
		}
		for _, part := range []string{"wheatsaddle/internal/gossip.", "hashicorp/memberlist."} {
			if strings.Contains(text, part) != (i > 0) {
				t.Errorf("the stack dump of daemon %d contains %s: %v, expected the opposite", i, part, i == 0)
			}
		}
	}
}
