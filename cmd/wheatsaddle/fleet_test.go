package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/valyala/fasthttp"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/gossip"
	"wheatsaddle/internal/metrics"
	"wheatsaddle/internal/nodestats"
	"wheatsaddle/policy"
)

// If the platform forbids communication between processes, sections that need it are errors, in check-config and at the start.
func TestPeersForbidden(t *testing.T) {
	file, _ := writeConfig(t, freeAddress(t))
	siteFile := filepath.Join(t.TempDir(), "site.json")
	// Sections that communicate with other processes, and the codes of their errors.
	sites := map[string]string{`{"peers":{"listen":"` + freeAddress(t) + `"}}`: (&gossip.ForbiddenError{}).Code(),
		strings.Replace(fmt.Sprintf(gatherSiteFormat, ""), `"parts_most":8`, `"parts_most":4,"peers":[{"name":"other","address":"127.0.0.1:1"}]`, 1): (&config.KeyError{}).Code()}
	writeSite := func(site string) {
		if err := os.WriteFile(siteFile, []byte(site), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for site, code := range sites {
		writeSite(site)
		for _, args := range [][]string{{"check-config", "--site", siteFile, file}, {"serve", "--site", siteFile}} {
			out, err := programCommand([]string{"ROUTER_CONFIG=" + file}, args...).CombinedOutput()
			if err == nil || !strings.Contains(string(out), "ceilings.peers") || !strings.Contains(string(out), code) {
				t.Errorf("site's file %s, command %v: want an error with ceilings.peers and the code, got %v %s", site, args, err, out)
			}
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text = []byte(strings.Replace(string(text), `"may-cancel":true`, `"may-cancel":true,"peers":true`, 1))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for site := range sites {
		writeSite(site)
		if out, err := programCommand(nil, "check-config", "--site", siteFile, file).CombinedOutput(); err != nil {
			t.Errorf("with communication between processes allowed: %v %s", err, out)
		}
	}
	var forbidden *gossip.ForbiddenError
	if err := checkPeers(&config.Site{Peers: &config.SitePeers{}}, policy.Settings{}); !errors.As(err, &forbidden) {
		t.Error(err)
	}
}

// idleNode is a node that gets no requests.
type idleNode struct{}

func (idleNode) Send(*core.Attempt) bool                           { return false }
func (idleNode) Cancel(*core.Attempt)                              {}
func (idleNode) Connect(func(policy.Status)) bool                  { return false }
func (idleNode) CheckHealth(func(core.Result, time.Duration)) bool { return false }
func (idleNode) Drain(bool)                                        {}
func (idleNode) SetAddresses([]address.Addr)                       {}
func (idleNode) Close()                                            {}

// A process receives what another one observes of a listed node, except for cancelled attempts.
func TestFleetExchangesObservations(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	state := nodestats.Defaults()
	state.HalfLife, state.ExpireAfter = time.Hour, 24*time.Hour // nothing expires while the test runs
	site, err := config.ParseSite([]byte(`{"estimate":{"types":{"n*":"disk"}}}`))
	if err != nil {
		t.Fatal(err)
	}
	start := func(name string, seeds ...string) *fleet {
		site.Peers = &config.SitePeers{Listen: "127.0.0.1:0", Seeds: seeds, Interval: 20 * time.Millisecond, Burst: 8, State: state}
		f, err := startFleet(site, &config.Config{Name: name, Settings: policy.Settings{MayGossip: true, SlowStartDuration: 1e9}}, nil, log)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(f.stop)
		return f
	}
	a := start("a")
	b := start("b", a.cluster.Address())
	startTime := time.Now().UnixMilli()
	update := core.ListUpdate{Kind: policy.ListReceived, Version: 5, Nodes: []core.Node{{Node: policy.Node{ID: "n", Shard: 3, StartTime: float64(startTime)}}}}
	co, err := core.New(core.Options{Settings: policy.Settings{Schedulers: 1, MeanUnits: 1, MaxUnits: 1, MaxAttempts: 1, SlowStartUnits: 1, OverloadWindow: 1, OverloadMultiple: 1,
		SlowStartShare: 0.5, SlowStartDuration: 1, Classes: []policy.Class{{Name: "c", LatencyObjective: 1, Deadline: 1, PriorityWeight: 1}},
		Plans: []policy.Plan{{Name: "p", Rate: 1, ReservedRate: 1, Weight: 1, Price: 1}}}, Log: log,
		NewNodeClient: func(string, []address.Addr) core.NodeClient { return idleNode{} }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(co.Stop)
	co.UpdateList(update)
	a.setCore(co)
	a.updateList(update)
	observe := a.observer()
	for _, s := range []policy.Status{policy.OK, policy.NodeFull, policy.TimedOut, policy.ConnectionReset, policy.Cancelled, policy.Abandoned} {
		observe("n", startTime, "c", 2, 5, s)
	}
	var views []nodestats.View
	for end := time.Now().Add(time.Minute); len(views) < 2 || views[0].Window == 0; time.Sleep(5 * time.Millisecond) {
		if views = b.cluster.Views(); time.Now().After(end) {
			t.Fatalf("observations were not received: %+v", views)
		}
	}
	near := func(x float64) bool { return x > 0.9 && x <= 1 }
	if n := views[0]; n.Type != "disk" || n.Window <= 0 || n.Queue != 0 {
		t.Errorf("view of the node's health: %+v", n)
	}
	if c := views[1]; c.Key != (nodestats.Key{Node: "n", StartTime: startTime, Class: "c"}) || c.Shard != 3 || !c.WarmingUp ||
		!near(c.Sums.N) || !near(c.Rejected) || !near(c.TimedOut) || !near(c.Failed) {
		t.Errorf("view of the class: %+v", c)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := metrics.Serve(ln, log)
	defer m.Close()
	b.registerMetrics(m)
	metricsHave := func(lines ...string) bool {
		_, body, err := fasthttp.Get(nil, "http://"+ln.Addr().String()+"/metrics")
		return err == nil && !slices.ContainsFunc(lines, func(l string) bool { return !strings.Contains(string(body), "wheatsaddle_"+l+"\n") })
	}
	if !metricsHave("observations_origins 1") {
		t.Error("process b does not count the observations of process a")
	}
	b.updateList(core.ListUpdate{Kind: policy.ListChanged, Version: 7})
	b.updateList(core.ListUpdate{Kind: policy.ListFailed}) // has no list version
	for end := time.Now().Add(time.Minute); !metricsHave("peers_list_oldest_version 5", "peers_list_newest_version 7", "peers_list_processes 2", "peers_list_processes_behind 1"); {
		if time.Sleep(5 * time.Millisecond); time.Now().After(end) {
			t.Fatal("the metrics do not have the list versions")
		}
	}
	var disabled *fleet
	disabled.registerMetrics(m)
	if disabled.observer() != nil {
		t.Error("a disabled fleet observes attempts")
	}
	disabled.updateList(core.ListUpdate{})
	disabled.setCore(co)
	disabled.stop()
}

// A key file must contain a key of 16, 24 or 32 bytes in hexadecimal.
func TestPeerKey(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	for text, valid := range map[string]bool{strings.Repeat("0a", 16) + "\n": true, strings.Repeat("0a", 15): false, "xyz": false} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		key, err := peerKey(file)
		var keyError *gossip.KeyError
		if valid != (err == nil && len(key) == 16) || !valid && !errors.As(err, &keyError) {
			t.Errorf("key file with %q: error %v", text, err)
		}
	}
}
