package config

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"wheatsaddle/internal/nodestats"
)

// SitePeers is the section peers.
type SitePeers struct {
	Listen, Advertise string
	Seeds             []string
	Via               map[string]string
	Interval          time.Duration
	Burst             int
	KeyFile           string
	State             nodestats.Settings
}

func sitePeers(r *reader) (*SitePeers, error) {
	def := nodestats.Defaults()
	num := func(key string, fallback float64) float64 { return r.num("peers."+key, fallback, 0) }
	span := func(key string, fallback time.Duration) time.Duration {
		return time.Duration(num(key, float64(fallback)/float64(time.Millisecond)) * float64(time.Millisecond))
	}
	p := &SitePeers{Listen: r.text("peers.listen", ""), Advertise: r.text("peers.advertise", ""), Via: map[string]string{},
		Interval: span("every_ms", 500*time.Millisecond), Burst: int(num("burst", 64)), KeyFile: r.text("peers.key_file", "")}
	p.State = nodestats.Settings{MaxOrigins: int(num("origins", float64(def.MaxOrigins))), MaxNodes: int(num("nodes", float64(def.MaxNodes))),
		MaxClasses: int(num("classes", float64(def.MaxClasses))), MaxMessageBytes: def.MaxMessageBytes, HalfLife: span("half_life_ms", def.HalfLife),
		ExpireAfter: span("expire_ms", def.ExpireAfter), ClipFactor: num("clip", def.ClipFactor)}
	if r.err != nil {
		return nil, r.err
	}
	for key, text := range map[string]string{"listen": p.Listen, "advertise": p.Advertise} {
		if text != "" {
			if err := endpoint(key, text); err != nil {
				return nil, err
			}
		}
	}
	for i, e := range r.root.Get("peers.seeds").Array() {
		if err := endpoint(fmt.Sprintf("seeds.%d", i), e.Str); err != nil {
			return nil, err
		}
		p.Seeds = append(p.Seeds, e.Str)
	}
	for to, way := range r.root.Get("peers.via").Map() {
		if err := endpoint("via", to); err != nil {
			return nil, err
		}
		if err := endpoint("via", way.Str); err != nil {
			return nil, err
		}
		p.Via[to] = way.Str
	}
	if file := r.text("peers.seeds_file", ""); file != "" {
		more, err := seedsFile(file)
		if err != nil {
			return nil, err
		}
		p.Seeds = append(p.Seeds, more...)
	}
	return p, p.State.Check()
}

func endpoint(key, text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%s: %q is not IP:port", key, text)
	}
	return nil
}

// seedsFile reads addresses, one a line.
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
		if err := endpoint(fmt.Sprintf("seeds_file: %s:%d", file, i+1), line); err != nil {
			return nil, err
		}
		seeds = append(seeds, line)
	}
	return seeds, nil
}
