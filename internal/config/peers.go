package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"wheatsaddle/internal/nodestats"
)

// SitePeers is the section peers, the settings of the gossip between schedulers.
type SitePeers struct {
	Listen, Advertise string
	Seeds             []string
	Via               map[string]string // address overrides, by the address of a peer
	Interval          time.Duration
	Burst             int
	KeyFile           string
	State             nodestats.Settings
}

// sitePeers reads the section peers.
func sitePeers(r *reader) (*SitePeers, error) {
	defaults := nodestats.Defaults()
	number := func(key string, fallback float64) float64 { return r.number("peers."+key, fallback, 0) }
	duration := func(key string, fallback time.Duration) time.Duration {
		return time.Duration(number(key, float64(fallback)/float64(time.Millisecond)) * float64(time.Millisecond))
	}
	p := &SitePeers{Listen: r.text("peers.listen", ""), Advertise: r.text("peers.advertise", ""), Via: map[string]string{},
		Interval: duration("every_ms", 500*time.Millisecond), Burst: int(number("burst", 64)), KeyFile: r.text("peers.key_file", "")}
	p.State = nodestats.Settings{MaxOrigins: int(number("origins", float64(defaults.MaxOrigins))), MaxNodes: int(number("nodes", float64(defaults.MaxNodes))),
		MaxClasses: int(number("classes", float64(defaults.MaxClasses))), MaxMessageBytes: defaults.MaxMessageBytes, HalfLife: duration("half_life_ms", defaults.HalfLife),
		ExpireAfter: duration("expire_ms", defaults.ExpireAfter), ClipFactor: number("clip", defaults.ClipFactor)}
	if r.err != nil {
		return nil, r.err
	}
	for key, text := range map[string]string{"listen": p.Listen, "advertise": p.Advertise} {
		if text != "" {
			if err := checkEndpoint(key, text); err != nil {
				return nil, err
			}
		}
	}
	for i, e := range r.root.Get("peers.seeds").Array() {
		if err := checkEndpoint(fmt.Sprintf("seeds.%d", i), e.Str); err != nil {
			return nil, err
		}
		p.Seeds = append(p.Seeds, e.Str)
	}
	for to, override := range r.root.Get("peers.via").Map() {
		if err := checkEndpoint("via", to); err != nil {
			return nil, err
		}
		if err := checkEndpoint("via", override.Str); err != nil {
			return nil, err
		}
		p.Via[to] = override.Str
	}
	if file := r.text("peers.seeds_file", ""); file != "" {
		fileSeeds, err := seedsFile(file)
		if err != nil {
			return nil, err
		}
		p.Seeds = append(p.Seeds, fileSeeds...)
	}
	return p, p.State.Check()
}

// checkEndpoint checks an IP:port.
func checkEndpoint(key, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%s: %q is not IP:port", key, text)
	}
	return nil
}

// seedsFile reads addresses, one per line; # begins a comment.
func seedsFile(file string) ([]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("seeds_file: %w", err)
	}
	var seeds []string
	for i, line := range strings.Split(string(text), "\n") {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		if err := checkEndpoint(fmt.Sprintf("seeds_file: %s:%d", file, i+1), line); err != nil {
			return nil, err
		}
		seeds = append(seeds, line)
	}
	return seeds, nil
}
