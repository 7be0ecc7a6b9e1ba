package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"wheatsaddle/gather"
	"wheatsaddle/policy"
)

// SiteGather is the section gather: scatter-gather reads, by class.
type SiteGather struct {
	Rules              map[string]*gather.Rules
	MergeTimeShare     float64
	MaxConcurrentParts int
	MaxRetries         int
	SilenceTimeout     time.Duration
	MaxPartBytes       int
	MaxParts           int
	MaxConcurrentReads int
	PartUnits          float64 // units of a part; 0: the client's
	TokenKey           []byte
	Tree               *SiteTree // nil: parts are not delegated to peers
	fromFile           bool
}

const (
	gatherMemory = 4            // a quarter of the memory is for scatter-gather reads
	partMemory   = 2 * 96 << 10 // bytes of a part: two copies of the longest piece and the next read
)

// siteGather reads the section gather.
func siteGather(r *reader) (*SiteGather, error) {
	number := func(key string, fallback float64) float64 { return r.number("gather."+key, fallback, 0) }
	g := &SiteGather{MergeTimeShare: number("share", 0.1), MaxConcurrentParts: int(number("at_once", 16)), MaxRetries: int(number("again", 1)),
		SilenceTimeout: time.Duration(number("silent_ms", 0) * float64(time.Millisecond)), MaxPartBytes: int(number("part_bytes_most", 8<<20)),
		MaxParts: int(number("parts_most", 64)), MaxConcurrentReads: int(number("reads_at_once", 4)), PartUnits: number("part_units", 0)}
	if r.err != nil {
		return nil, r.err
	}
	var err error
	if g.Tree, err = siteTree(r); err != nil {
		return nil, err
	}
	text, key := []byte(r.root.Get("gather.rules").Raw), "gather.rules"
	if file := r.text("gather.rules_file", ""); file != "" {
		if text, err = os.ReadFile(file); err != nil {
			return nil, &KeyError{File: "site", Key: "gather.rules_file", Err: err}
		}
		key, g.fromFile = "gather.rules_file", true
	}
	if g.Rules, err = gather.ParseClasses(text); err != nil {
		var rulesError *gather.RulesBad
		if !errors.As(err, &rulesError) {
			return nil, &KeyError{File: "site", Key: key, Err: err}
		}
		return nil, &KeyError{File: "site", Key: key + "." + rulesError.Key, Problem: rulesError.Why, Err: rulesError}
	}
	if file := r.text("gather.token_key_file", ""); file != "" {
		hexed, err := os.ReadFile(file)
		if err == nil {
			g.TokenKey, err = hex.DecodeString(strings.TrimSpace(string(hexed)))
		}
		if err == nil && len(g.TokenKey) < 16 {
			err = fmt.Errorf("%d bytes, 16 are the least", len(g.TokenKey))
		}
		if err != nil {
			return nil, &KeyError{File: "site", Key: "gather.token_key_file", Err: err}
		}
	}
	return g, nil
}

// Check checks the section against the configuration: its classes, the largest request and the memory.
func (g *SiteGather) Check(set policy.Settings, memoryMB int) error {
	classes := map[string]bool{}
	for _, k := range set.Classes {
		classes[k.Name] = true
	}
	at := "gather.rules."
	if g.fromFile {
		at = "gather.rules_file."
	}
	for name, r := range g.Rules {
		if !classes[name] {
			return &KeyError{File: "site", Key: at + "classes." + name, Problem: "the configuration has no such class"}
		}
		if why := g.Tree.memoryProblem(r, g.MaxParts); why != "" {
			return &KeyError{File: "site", Key: at + "classes." + name + ".memory.bytes", Problem: why}
		}
		if maxBytes := memoryMB << 20 / gatherMemory; g.MaxConcurrentReads*(g.Tree.maxMerges()*r.Memory.Bytes+g.MaxParts*partMemory) > maxBytes {
			return &KeyError{File: "site", Key: "gather.reads_at_once", Problem: fmt.Sprintf(
				"%d reads of %d merges (tree.fan_out and one) of %d bytes (%sclasses.%s.memory.bytes) and %d parts of %d are over the %d bytes kept for them, a quarter of limits.memory_mb",
				g.MaxConcurrentReads, g.Tree.maxMerges(), r.Memory.Bytes, at, name, g.MaxParts, partMemory, maxBytes)}
		}
	}
	if set.MaxUnits > 0 && g.PartUnits > set.MaxUnits {
		return &KeyError{File: "site", Key: "gather.part_units", Problem: fmt.Sprintf("%v is over the largest request, %v", g.PartUnits, set.MaxUnits)}
	}
	return nil
}
