package main

import (
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wheatsaddle/internal/config"
	"wheatsaddle/internal/core"
	"wheatsaddle/internal/gossip"
	"wheatsaddle/internal/metrics"
	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/operr"
	"wheatsaddle/policy"
)

// nodeStatusTimeout is the maximum time that a gossip round waits for the node statuses of the core.
const nodeStatusTimeout = 20 * time.Millisecond

// fleet exchanges node statistics with the other scheduler processes. A nil fleet means that the site's file has no section
// peers.
type fleet struct {
	cluster       *gossip.Cluster
	starter       *starter // nil: the section start of the site's file is missing or off
	slowStartMs   float64  // duration of the slow start of a node
	hardwareTypes config.NodeTypes
	maxNodes      int // maximum number of nodes whose statuses are requested

	mu         sync.Mutex // guards the fields up to core
	nodes      map[string]listedNode
	listIndex  int64 // version of the list; 0: none yet
	listSpread nodestats.ListSpread
	core       *core.Core                 // nil: not started yet
	statuses   map[string]core.NodeStatus // of the core, by node; used only by the goroutine of the gossip rounds
}

// listedNode is a node of the endpoint list, with the hardware type that the site's file gives it.
type listedNode struct {
	policy.Node
	hardware string
}

// checkPeers returns an error if the site's file has the section peers and the platform forbids it.
func checkPeers(siteSettings *config.Site, set policy.Settings) error {
	if siteSettings.Peers != nil && !set.MayGossip {
		return &gossip.ForbiddenError{}
	}
	return nil
}

// startFleet starts the gossip. It returns nil if the site's file has no section peers.
func startFleet(siteSettings *config.Site, conf *config.Config, starter *starter, log logrus.FieldLogger) (*fleet, error) {
	if err := checkPeers(siteSettings, conf.Settings); err != nil {
		log.WithFields(operr.Fields(err)).Error("gossip is not allowed by the platform")
		return nil, err
	}
	set := siteSettings.Peers
	if set == nil {
		return nil, nil
	}
	key, err := peerKey(set.KeyFile)
	if err != nil {
		return nil, err
	}
	f := &fleet{starter: starter, slowStartMs: conf.Settings.SlowStartDuration, maxNodes: set.State.MaxNodes, nodes: map[string]listedNode{}}
	if siteSettings.Estimate != nil {
		f.hardwareTypes = siteSettings.Estimate.Types
	}
	f.mu.Lock() // a round may call addReports before f.cluster is set
	defer f.mu.Unlock()
	f.cluster, err = gossip.Start(gossip.Options{
		Name:             conf.Name,
		Incarnation:      uint64(time.Now().UnixMilli()),
		Listen:           set.Listen,
		Advertise:        set.Advertise,
		Seeds:            set.Seeds,
		AddressOverrides: set.Via,
		Interval:         set.Interval,
		Burst:            set.Burst,
		Key:              key,
		State:            set.State,
		Seed:             uint64(conf.Seed),
		Log:              log,
		BeforeRound:      f.addReports,
		MakeSnapshot:     starter.snapshotProvider(),
	})
	if err != nil {
		return nil, err
	}
	log.WithFields(logrus.Fields{"address": f.cluster.Address(), "seeds": len(set.Seeds)}).Info("gossip listening")
	return f, nil
}

// views returns the source of merged node statistics; nil: nothing is shared.
func (f *fleet) views() viewSource {
	if f == nil {
		return nil
	}
	return f.cluster.Views
}

// members returns the source of the names of the processes that are known to be up; nil: nothing is shared.
func (f *fleet) members() func() []string {
	if f == nil {
		return nil
	}
	return f.cluster.Members
}

// registerMetrics registers the metrics of the gossip.
func (f *fleet) registerMetrics(m *metrics.Registry) {
	if f == nil {
		return
	}
	gauges(m, f.cluster.Counts, map[string]func(gossip.Counts) int64{
		"peers_members":               func(c gossip.Counts) int64 { return c.Members },
		"peers_received_bytes":        func(c gossip.Counts) int64 { return c.BytesReceived },
		"peers_sent_bytes":            func(c gossip.Counts) int64 { return c.BytesSent },
		"peers_overrun_messages":      func(c gossip.Counts) int64 { return c.QueueOverflows },
		"peers_outcomes":              func(c gossip.Counts) int64 { return c.Outcomes },
		"peers_outcomes_lost":         func(c gossip.Counts) int64 { return c.DroppedOutcomes },
		"peers_given_snapshots":       func(c gossip.Counts) int64 { return c.SnapshotsSent },
		"peers_taken_snapshots":       func(c gossip.Counts) int64 { return c.SnapshotsReceived },
		"peers_unusable_snapshots":    func(c gossip.Counts) int64 { return c.SnapshotsInvalid },
		"observations_messages":       func(c gossip.Counts) int64 { return c.State.Messages },
		"observations_unreadable":     func(c gossip.Counts) int64 { return c.State.Unreadable },
		"observations_later_versions": func(c gossip.Counts) int64 { return c.State.LaterVersion },
		"observations_older_cells":    func(c gossip.Counts) int64 { return c.State.OutdatedCells },
		"observations_beyond_bounds":  func(c gossip.Counts) int64 { return c.State.OverLimit },
		"observations_refuted":        func(c gossip.Counts) int64 { return c.State.IdentityConflicts },
		"observations_origins":        func(c gossip.Counts) int64 { return c.State.Origins },
		"observations_cells":          func(c gossip.Counts) int64 { return c.State.StoredCells },
	})
	gauges(m, f.currentListSpread, map[string]func(nodestats.ListSpread) int64{
		"peers_list_oldest_version":   func(l nodestats.ListSpread) int64 { return l.Oldest },
		"peers_list_newest_version":   func(l nodestats.ListSpread) int64 { return l.Newest },
		"peers_list_processes":        func(l nodestats.ListSpread) int64 { return int64(l.Processes) },
		"peers_list_processes_behind": func(l nodestats.ListSpread) int64 { return int64(l.Behind) },
	})
}

// currentListSpread returns how the list versions of the processes differed in the last gossip round.
func (f *fleet) currentListSpread() nodestats.ListSpread {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listSpread
}

// peerKey reads the encryption key of the gossip protocol: 16, 24 or 32 bytes in hexadecimal. Without a file there is no key.
func peerKey(file string) ([]byte, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &gossip.KeyError{File: file, Err: err}
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if n := len(key); err == nil && n != 16 && n != 24 && n != 32 {
		err = fmt.Errorf("key has %d bytes, want 16, 24 or 32", n)
	}
	if err != nil {
		return nil, &gossip.KeyError{File: file, Err: err}
	}
	return key, nil
}

// outcomeOf maps the status of an attempt to its outcome at the node; false: there is none, for example because the attempt
// was cancelled.
func outcomeOf(s policy.Status) (nodestats.Outcome, bool) {
	switch s {
	case policy.OK:
		return nodestats.Served, true
	case policy.NodeFull:
		return nodestats.Rejected, true
	case policy.TimedOut:
		return nodestats.TimedOut, true
	case policy.Errored, policy.ConnectionReset, policy.ConnectFailed:
		return nodestats.Failed, true
	}
	return 0, false
}

// observer returns the function that the core calls at the end of each attempt; nil: nothing is shared.
func (f *fleet) observer() func(string, int64, string, float64, float64, policy.Status) {
	if f == nil {
		return nil
	}
	return func(node string, startTime int64, class string, units, latencyMs float64, status policy.Status) {
		if outcome, ok := outcomeOf(status); ok {
			f.cluster.Observe(nodestats.Key{Node: node, StartTime: startTime, Class: class}, units, latencyMs, outcome)
		}
	}
}

// updateList stores an update of the endpoint list for the next round.
func (f *fleet) updateList(update core.ListUpdate) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if update.Kind == policy.ListReceived || update.Kind == policy.CachedListLoaded {
		clear(f.nodes)
	}
	if update.Version != 0 {
		f.listIndex = update.Version
	}
	for _, n := range update.Nodes {
		if n.State == policy.NodeRemoved {
			delete(f.nodes, n.ID)
		} else {
			f.nodes[n.ID] = listedNode{n.Node, f.hardwareTypes.Of(n.ID)}
		}
	}
}

// setCore sets the core whose node statuses are shared.
func (f *fleet) setCore(co *core.Core) {
	if f != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.core = co
	}
}

// addReports adds the listed nodes and their health to the shared state before each gossip round. If the core does not
// answer in time, its last known statuses are used. A status from before a node's current start is ignored.
func (f *fleet) addReports(now time.Duration, state *nodestats.State) {
	f.starter.addPeerReports(now, state)
	f.mu.Lock()
	co, cluster := f.core, f.cluster
	f.mu.Unlock()
	f.refreshStatuses(co)
	members := cluster.Members()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listIndex != 0 {
		state.SetListVersion(now, f.listIndex)
	}
	f.listSpread = state.ListSpread(now, members)
	for _, id := range slices.Sorted(maps.Keys(f.nodes)) {
		n := f.nodes[id]
		warmingUp := n.StartTime > 0 && float64(time.Now().UnixMilli())-n.StartTime < f.slowStartMs
		health := nodestats.Health{Type: n.hardware, Shard: n.Shard, WarmingUp: warmingUp}
		if status, ok := f.statuses[id]; ok && status.StartTime >= int64(n.StartTime) {
			health.Window, health.Queue = status.Window, status.Queue
		}
		state.SetNodeHealth(now, n.ID, int64(n.StartTime), health)
	}
}

// refreshStatuses requests the node statuses of the core.
func (f *fleet) refreshStatuses(co *core.Core) {
	if co == nil {
		return
	}
	all, ok := co.NodeStatuses(f.maxNodes, nodeStatusTimeout)
	if !ok {
		return
	}
	f.statuses = make(map[string]core.NodeStatus, len(all))
	for _, n := range all {
		f.statuses[n.Node] = n
	}
}

func (f *fleet) stop() {
	if f != nil {
		f.cluster.Stop()
	}
}
