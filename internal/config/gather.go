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

// SiteGather is the section gather: reads that span shards, by class.
type SiteGather struct {
	Rules              map[string]*gather.Rules
	MergeTimeShare     float64
	MaxConcurrentParts int
	MaxRetries         int
	SilenceTimeout     time.Duration
	MaxPartBytes       int
	MaxParts           int
	MaxConcurrentReads int
	PartUnits          float64 // of a part; 0: the client's
	TokenKey           []byte
	Tree               *SiteTree // nil: parts are not handed on
	fromFile           bool
}

const (
	gatherMemory = 4            // one part of the memory is for gathered reads
	partMemory   = 2 * 96 << 10 // of a part: two copies of the longest piece and what is read next
)

func siteGather(r *reader) (*SiteGather, error) {
	num := func(key string, fallback float64) float64 { return r.num("gather."+key, fallback, 0) }
	g := &SiteGather{MergeTimeShare: num("share", 0.1), MaxConcurrentParts: int(num("at_once", 16)), MaxRetries: int(num("again", 1)),
		SilenceTimeout: time.Duration(num("silent_ms", 0) * float64(time.Millisecond)), MaxPartBytes: int(num("part_bytes_most", 8<<20)),
		MaxParts: int(num("parts_most", 64)), MaxConcurrentReads: int(num("reads_at_once", 4)), PartUnits: num("part_units", 0)}
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
		var bad *gather.RulesBad
		if !errors.As(err, &bad) {
			return nil, &KeyError{File: "site", Key: key, Err: err}
		}
		return nil, &KeyError{File: "site", Key: key + "." + bad.Key, Problem: bad.Why, Err: bad}
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

// Check holds the section against the configuration: its classes, the largest request and the memory.
func (g *SiteGather) Check(set policy.Settings, memoryMB int) error {
	known := map[string]bool{}
	for _, k := range set.Classes {
		known[k.Name] = true
	}
	at := "gather.rules."
	if g.fromFile {
		at = "gather.rules_file."
	}
	for name, r := range g.Rules {
		if !known[name] {
			return &KeyError{File: "site", Key: at + "classes." + name, Problem: "the configuration has no such class"}
		}
		if why := g.Tree.fits(r, g.MaxParts); why != "" {
			return &KeyError{File: "site", Key: at + "classes." + name + ".memory.bytes", Problem: why}
		}
		if most := memoryMB << 20 / gatherMemory; g.MaxConcurrentReads*(g.Tree.merges()*r.Memory.Bytes+g.MaxParts*partMemory) > most {
			return &KeyError{File: "site", Key: "gather.reads_at_once", Problem: fmt.Sprintf(
				"%d reads of %d merges (tree.fan_out and one) of %d bytes (%sclasses.%s.memory.bytes) and %d parts of %d are over the %d bytes kept for them, a quarter of limits.memory_mb",
				g.MaxConcurrentReads, g.Tree.merges(), r.Memory.Bytes, at, name, g.MaxParts, partMemory, most)}
		}
	}
	if set.MaxUnits > 0 && g.PartUnits > set.MaxUnits {
		return &KeyError{File: "site", Key: "gather.part_units", Problem: fmt.Sprintf("%v is over the largest request, %v", g.PartUnits, set.MaxUnits)}
	}
	return nil
}
