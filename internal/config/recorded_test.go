package config

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"wheatsaddle/gather"
	"wheatsaddle/internal/address"
	"wheatsaddle/internal/testkit/recorded"
	"wheatsaddle/policy"
)

// stateWords and the tables below map values of enumerations to the words that the files and the recordings have for them.
var (
	stateWords  = map[policy.NodeState]string{policy.NodeUp: "active", policy.NodeDraining: "leaving", policy.NodeRemoved: "left"}
	effectWords = map[policy.Effect]string{policy.Idempotent: "safe", policy.IdempotentByKey: "keyed", policy.NonIdempotent: "unsafe"}
	familyWords = map[address.Family]string{address.Unix: "unix", address.IPv6: "ipv6", address.IPv4: "ipv4", address.HostName: "name"}
	scopeWords  = map[policy.DedupScope]string{policy.DedupAll: "all", policy.DedupZone: "zone", policy.DedupShard: "cell"}
)

// settingsScript records the settings of one file as lines of "key value...".
type settingsScript struct{ recorded.Script }

func (s *settingsScript) addresses(key string, list []address.Addr) {
	for _, a := range list {
		s.Add(key, a.String())
	}
}

func (s *settingsScript) addressSettings(a *SiteAddresses) {
	selector := a.Selector
	for _, family := range selector.Preference {
		s.Add("addresses.preference", familyWords[family])
	}
	s.Add("addresses", int64(selector.ConnectDelay), int64(selector.MinConnectDelay), int64(selector.MaxConnectDelay), int64(selector.Backoff), int64(selector.MaxBackoff),
		int64(selector.WrongNodeBackoff), int64(selector.UnsupportedBackoff), int64(selector.DownTrialInterval), int64(selector.MinSuspectAfter),
		int64(selector.MaxSuspectAfter), int64(selector.CrossCheckAfter), int64(selector.TrialInterval), int64(selector.TrialPatience),
		int64(selector.MinReturnDelay), int64(selector.MaxReturnDelay), int64(selector.RejectionWindow), selector.Jitter, selector.SuspectLatencyFactor,
		selector.MinReturnConns, selector.MaxRejections, selector.ConnectRate, selector.ConnectBurst, a.Identity)
}

func (s *settingsScript) gatherRules(rules map[string]*gather.Rules) {
	for _, class := range slices.Sorted(maps.Keys(rules)) {
		s.Add("gather.rules", class, rules[class].Records.MaxBytes, rules[class].Memory.Bytes)
	}
}

func (s *settingsScript) site(site *Site) {
	for _, front := range slices.Sorted(maps.Keys(site.Listen)) {
		for _, l := range site.Listen[front] {
			s.Add("listen", front, l.Address.String(), int(l.Mode))
		}
	}
	s.Add("metrics", site.Metrics.Address.String(), int(site.Metrics.Mode))
	start := site.Start
	s.Add("start", start.Enabled, start.Snapshot, start.ListPriced, start.ListCallsPerSecond, start.PreconnectNodes)
	s.addressSettings(site.Addresses)
	e := site.Estimate
	s.Add("estimate", e.MaxBytes, e.MaxConcurrent, e.Prices.Work, e.Prices.End, e.Prices.Late, e.MinStandardErrors)
	for _, node := range []string{"s-1", "s-2", "s-20", "other", ""} {
		s.Add("estimate.types", node, e.Types.Of(node))
	}
	g := site.Gather
	s.Add("gather", g.MergeTimeShare, g.MaxConcurrentParts, g.MaxRetries, int64(g.SilenceTimeout), g.MaxPartBytes, g.MaxParts, g.MaxConcurrentReads, g.PartUnits, fmt.Sprintf("%x", g.TokenKey))
	s.gatherRules(g.Rules)
	t := g.Tree
	s.Add("gather.tree", t.MinParts, t.MaxGroupParts, t.FanOut, t.MaxPeerAttempts, int64(t.SilenceTimeout), int64(t.Backoff), int64(t.MaxBackoff), t.MaxConnsPerPeer, t.MaxGroupBytes)
	for _, p := range t.Peers {
		s.Add("gather.peers", p.Name, p.Address)
	}
	p := site.Peers
	s.Add("peers", p.Listen, p.Advertise, int64(p.Interval), p.Burst, p.KeyFile)
	n := p.State
	s.Add("peers.state", n.MaxOrigins, n.MaxNodes, n.MaxClasses, n.MaxMessageBytes, int64(n.HalfLife), int64(n.ExpireAfter), n.ClipFactor)
	for _, seed := range p.Seeds {
		s.Add("peers.seeds", seed)
	}
	for _, to := range slices.Sorted(maps.Keys(p.Via)) {
		s.Add("peers.via", to, p.Via[to])
	}
}

func (s *settingsScript) iscsi(f *ISCSI) {
	s.Add("iscsi", f.Listen, f.Initiator, f.Vendor, f.QueueDepth, f.Sessions, int64(f.MaxTransfer), f.DeduplicatesWrites, f.LoginTimeout)
	for _, t := range f.Targets {
		s.Add("target", t.Name)
		for _, u := range t.Units {
			s.Add("unit", int(u.LUN), int(u.StorageLUN), u.Shard, u.Schedulers, u.Volume, u.Plan, int64(u.BlockSize), int64(u.MaxTransfer),
				fmt.Sprint(u.Blocks), u.UnitBytes, u.ReadOnly, u.Vendor)
			for _, r := range u.Rules {
				s.Add("rule", r.Write, r.MaxBytes, r.Class, r.Deadline)
			}
		}
	}
	for _, t := range f.Storage {
		s.Add("storage", t.Name, t.Target, t.Shard, stateWords[t.State])
		s.addresses("storage.addresses", t.Addresses)
	}
}

func (s *settingsScript) config(c *Config) {
	s.Add("config", c.Name, c.Listen, c.Discovery, c.AdminListen, c.InheritedSocket, c.Seed, c.Cores, c.MemoryMB, c.Sockets, string(c.CachedList))
	s.Add("ceilings", c.ConnIdle, c.ConnectTimeout, c.MaxOpenRequests, c.HandshakePrice, c.ListMode, c.ListPrice)
	set := c.Settings
	s.Add("settings", set.Instance, set.Schedulers, set.Zone, set.PollsEndpointList, set.MeanUnits, set.MaxUnits, set.Shards, set.SlowStartUnits,
		set.UsageMeterPeriod, set.ReportsPeerUsage, set.MaxAttempts, set.MayHedge, set.MayCancel, set.MayCheckHealth, set.MayGossip,
		set.SendsRetryAfter, set.MaxRetryAfter, set.DrainGrace, set.ListStalenessBound, set.SlowStartShare, set.SlowStartDuration,
		set.OverloadMultiple, set.OverloadWindow, set.OrderedKeyBackoff, set.RetryBudgetShare, set.RetryBudgetMin, set.RetryBudgetWindow)
	for _, k := range set.Classes {
		s.Add("profiles", k.Name, k.LatencyObjective, k.ObjectiveStretch, k.Deadline, k.PriorityWeight, k.LatePriorityWeight,
			effectWords[k.Effect], k.DedupWindow, k.Ordered, k.Stream, scopeWords[k.DedupScope])
	}
	for _, p := range set.Plans {
		s.Add("contracts", p.Name, p.Rate, p.ReservedRate, p.Weight, p.Price, p.RateLimit, p.LimitBurst)
	}
}

// Files with every section result in the recorded settings, and files with only the required keys in the recorded defaults.
func TestRecordedSettings(t *testing.T) {
	t.Run("config", func(t *testing.T) {
		var s settingsScript
		s.config(parseRecordedConfig(t, "config.json"))
		s.Check(t, "config")
	})
	t.Run("config defaults", func(t *testing.T) {
		var s settingsScript
		s.config(parseRecordedConfig(t, "config-least.json"))
		s.Check(t, "config-defaults")
	})
	for _, name := range []string{"site", "site-least"} {
		t.Run(name, func(t *testing.T) {
			site, err := ParseSite(readRecordedFile(t, name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			var s settingsScript
			s.site(site)
			s.Check(t, name)
		})
	}
	for _, name := range []string{"iscsi", "iscsi-least"} {
		t.Run(name, func(t *testing.T) {
			f, err := ParseISCSI(readRecordedFile(t, name+".json"), parseRecordedConfig(t, "config.json").Settings)
			if err != nil {
				t.Fatal(err)
			}
			var s settingsScript
			s.iscsi(f)
			s.Check(t, name)
		})
	}
}

func readRecordedFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "recorded-files", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func parseRecordedConfig(t *testing.T, name string) *Config {
	t.Helper()
	c, err := Parse(readRecordedFile(t, name), noEnv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}
