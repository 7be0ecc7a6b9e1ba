// Package config reads, checks and defaults every setting of the program; its errors name
// the key at fault.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/tidwall/gjson"

	"wheatsaddle/policy"
)

// Config is what one scheduler is told at its start.
type Config struct {
	Name, Listen, Discovery string
	AdminListen             string // the operators' address; "": none
	InheritedSocket         string // ROUTER_PASSED_SOCKET: the clients' socket is inherited; "": it is bound
	Seed                    int64
	Cores                   float64
	MemoryMB, Sockets       int
	CachedList              []byte // the list as last held, in discovery's form
	Settings                policy.Settings
	ConnIdle                float64 // ms after which a node closes an idle connection
	ConnectTimeout          float64 // ms
	MaxOpenRequests         int
	HandshakePrice          float64 // price of a new connection, in worths of a request
	ListMode                string  // push or ask: how the node list comes
	ListPrice               float64 // of what the list's service sends
	raw                     []byte  // the file as read
}

const (
	defaultCores          = 1.0
	defaultMemoryMB       = 192
	defaultSockets        = 1024
	defaultConnIdle       = 15000.0
	defaultConnectTimeout = 250.0
	defaultMaxOpen        = 20000

	hostPort = "host:port"
)

// Load reads the file that ROUTER_CONFIG names; the other variables stand in for its keys.
func Load(env func(string) string) (*Config, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, &UnsetError{"ROUTER_CONFIG"}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{"ROUTER_CONFIG", err}
	}
	return Parse(text, env)
}

// Reload reads the file again. Its discovery counts now: ROUTER_DISCOVERY tells only where
// that was at the start, and stands in where the file names none.
func Reload(env func(string) string) (*Config, error) {
	c, err := Load(func(key string) string {
		if key == "ROUTER_DISCOVERY" {
			return ""
		}
		return env(key)
	})
	if errors.Is(err, errNoDiscovery) {
		return Load(env)
	}
	return c, err
}

var errNoDiscovery = errors.New("not set")

// Parse reads a configuration.
func Parse(text []byte, env func(string) string) (*Config, error) {
	if !gjson.ValidBytes(text) {
		return nil, &JSONError{File: "configuration"}
	}
	r := &reader{root: gjson.ParseBytes(text)}
	fileOrEnv := func(key, name string) string {
		if v := env(name); v != "" {
			return v
		}
		return r.text(key, "")
	}
	c := &Config{
		raw:  text,
		Name: fileOrEnv("name", "ROUTER_NAME"), Listen: fileOrEnv("listen", "ROUTER_LISTEN"),
		Discovery: fileOrEnv("discovery", "ROUTER_DISCOVERY"), AdminListen: fileOrEnv("operator", "ROUTER_OPERATOR"),
		InheritedSocket: env("ROUTER_PASSED_SOCKET"),
		Cores:           r.number("limits.cores", defaultCores, 0.01), MemoryMB: int(r.number("limits.memory_mb", defaultMemoryMB, 16)),
		Sockets: int(r.number("limits.sockets", defaultSockets, 64)),
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		r.failValue("listen", strconv.Quote(c.Listen), hostPort)
	}
	if c.AdminListen != "" {
		if _, _, err := net.SplitHostPort(c.AdminListen); err != nil {
			r.failValue("operator", strconv.Quote(c.AdminListen), hostPort)
		}
	}
	if c.Discovery == "" {
		r.fail(KeyError{Key: "discovery", Expected: hostPort, Err: errNoDiscovery})
	} else if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		r.failValue("discovery", strconv.Quote(c.Discovery), hostPort)
	}
	if seed := r.root.Get("seed"); seed.Exists() {
		n, err := strconv.ParseUint(seed.String(), 16, 64)
		if err != nil {
			r.failValue("seed", strconv.Quote(seed.String()), "a hex number")
		}
		c.Seed = int64(n)
	}
	if cached := r.root.Get("known"); cached.Exists() {
		if !cached.IsObject() {
			r.fail(KeyError{Key: "known", Expected: "an object", Problem: "not an object"})
		}
		c.CachedList = []byte(cached.Raw)
	}
	set := r.root.Get("settings")
	if !set.IsObject() {
		r.fail(KeyError{Key: "settings", Expected: "an object", Problem: "missing or not an object"})
	}
	if r.err != nil {
		return nil, r.err
	}
	sr := &reader{root: set, prefix: "settings."}
	c.ConnIdle = sr.number("ceilings.conn-idle", defaultConnIdle, 1)
	c.ConnectTimeout = sr.number("ceilings.connect-timeout", defaultConnectTimeout, 1)
	c.MaxOpenRequests = int(sr.number("ceilings.max-open", defaultMaxOpen, 1))
	c.HandshakePrice = sr.number("prices.handshake", 0, 0)
	c.ListMode, c.ListPrice = sr.text("membership-mode", "push"), sr.number("prices.membership-mode", 0, 0)
	if sr.err != nil {
		return nil, sr.err
	}
	var err error
	c.Settings, err = Settings(set)
	return c, err
}

// reader reads keys of one object and keeps the first fault.
type reader struct {
	root   gjson.Result
	prefix string
	file   string // "": configuration
	err    error
}

// fail keeps a fault of a key of this object.
func (r *reader) fail(e KeyError) {
	if r.err == nil {
		e.File, e.Key = cmp.Or(r.file, "configuration"), r.prefix+e.Key
		r.err = &e
	}
}

// failValue keeps a value that is not what it must be.
func (r *reader) failValue(key, value, expected string) {
	r.fail(KeyError{Key: key, Value: value, Expected: expected})
}

func (r *reader) text(key, fallback string) string {
	v := r.root.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return fallback
	}
	if v.Type != gjson.String {
		r.failValue(key, truncate(v.Raw), "text")
	}
	return v.Str
}

func (r *reader) number(key string, fallback, minimum float64) float64 {
	v := r.root.Get(key)
	if !v.Exists() || v.Type == gjson.Null {
		return fallback
	}
	if v.Type != gjson.Number || math.IsNaN(v.Num) || math.IsInf(v.Num, 0) || v.Num < minimum || v.Num > 1e12 {
		r.failValue(key, truncate(v.Raw), fmt.Sprintf("a number of at least %v", minimum))
		return fallback
	}
	return v.Num
}

func (r *reader) flag(key string) bool {
	v := r.root.Get(key)
	if v.Exists() && v.Type != gjson.Null && !v.IsBool() {
		r.failValue(key, truncate(v.Raw), "true or false")
	}
	return v.Bool()
}

func (r *reader) each(key string, f func(*reader)) {
	v := r.root.Get(key)
	if !v.IsArray() || len(v.Array()) == 0 {
		r.fail(KeyError{Key: key, Expected: "a list that is not empty", Problem: "missing, empty or not a list"})
		return
	}
	for i, e := range v.Array() {
		sub := &reader{root: e, prefix: fmt.Sprintf("%s%s.%d.", r.prefix, key, i), file: r.file, err: r.err}
		f(sub)
		r.err = sub.err
	}
}

func truncate(raw string) string {
	if len(raw) > 40 {
		return raw[:40] + "..."
	}
	return raw
}

var effectsByWord = map[string]policy.Effect{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NonIdempotent}
var dedupScopesByWord = map[string]policy.DedupScope{"all": policy.DedupAll, "zone": policy.DedupZone, "cell": policy.DedupShard}

// enum finds a key's word in a table.
func enum[T any](r *reader, key, fallback string, table map[string]T) T {
	v, ok := table[r.text(key, fallback)]
	if !ok {
		raw := truncate(r.root.Get(key).Raw)
		names := strings.Join(slices.Sorted(maps.Keys(table)), ", ")
		r.fail(KeyError{Key: key, Value: raw, Expected: "one of " + names, Problem: "unknown word " + raw})
	}
	return v
}

// Settings reads the settings object of the module.
func Settings(set gjson.Result) (policy.Settings, error) {
	r := &reader{root: set, prefix: "settings."}
	s := policy.Settings{
		Instance: int(r.number("me", 0, 0)), Schedulers: int(r.number("fleet-size", 1, 1)), Zone: r.text("my-zone", ""),
		PollsEndpointList: r.text("membership-mode", "push") == "ask",
		MeanUnits:         r.number("extra.usual-units", 1, 0), MaxUnits: r.number("extra.largest", 0, 0),
		Shards: int(r.number("extra.slots-total", 0, 0)), SlowStartUnits: r.number("extra.young-limit", 0, 0), UsageMeterPeriod: r.number("extra.metering", 0, 0),
		ReportsPeerUsage: r.flag("extra.says-others"),
		MaxAttempts:      int(r.number("ceilings.max-attempts", 1, 1)), MayHedge: r.flag("ceilings.second-copies"),
		MayCancel: r.flag("ceilings.may-cancel"), MayCheckHealth: r.flag("ceilings.probes"), MayGossip: r.flag("ceilings.peers"),
		SendsRetryAfter: r.flag("ceilings.retry-after"), MaxRetryAfter: r.number("ceilings.max-retry-after", 0, 0),
		DrainGrace: r.number("rules.stop-sending-within", 0, 0), PollWithin: r.number("rules.ask-within", 0, 0),
		SlowStartShare: r.number("rules.cold-from", 0, 0), SlowStartDuration: r.number("rules.cold", 0, 0),
		OverloadMultiple: r.number("rules.tip-multiple", 0, 0), OverloadWindow: r.number("rules.overload-for", 0, 0),
		OrderedKeyBackoff: r.number("rules.order-pause", 0, 0), RetryBudgetShare: r.number("rules.further-ratio", 0, 0),
		RetryBudgetMin: r.number("rules.extra-floor", 0, 0), RetryBudgetWindow: r.number("rules.counted-over", 0, 0),
	}
	r.each("profiles", func(p *reader) {
		c := policy.Class{Name: p.text("name", ""), LatencyObjective: p.number("goal-time", 0, 1e-3), ObjectiveStretch: p.number("aim-stretch", 0, 0),
			Deadline: p.number("deadline", 0, 1e-3), PriorityWeight: p.number("worth", 1, 0), LatePriorityWeight: p.number("late-worth", 0, 0),
			Effect: enum(p, "repeat", "", effectsByWord), DedupWindow: p.number("memory-span", 0, 0),
			Ordered: p.flag("by-arrival"), Stream: p.flag("stream")}
		if c.Effect == policy.IdempotentByKey {
			c.DedupScope = enum(p, "key-scope", "", dedupScopesByWord)
		}
		s.Classes = append(s.Classes, c)
	})
	r.each("contracts", func(p *reader) {
		s.Plans = append(s.Plans, policy.Plan{Name: p.text("name", ""), Rate: p.number("usual-rate", 0, 0),
			ReservedRate: p.number("reservation", 0, 0), Weight: p.number("shares", 1, 0), Price: p.number("price", 1, 0),
			RateLimit: p.number("cap", 0, 0), LimitBurst: p.number("burst", 0, 0)})
	})
	return s, r.err
}
