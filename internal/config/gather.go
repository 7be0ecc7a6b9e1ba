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

// SiteGather is the section gather, the settings of gathered reads by class.
type SiteGather struct {
	Rules              map[string]*gather.Rules
	MergeTimeShare     float64
	MaxConcurrentParts int
	MaxRetries         int
	SilenceTimeout     time.Duration
	MaxPartBytes       int
	MaxParts           int
	MaxConcurrentReads int
	PartUnits          float64 // units of a part; 0: those of the client's request
	TokenKey           []byte
	Tree               *SiteTree // nil: parts are not delegated to peers
	fromFile           bool      // the rules are in a file of their own
	rulesText          []byte    // text of the rules
	tokenKeyFile       string    // file of TokenKey; "": none
}

const (
	gatherMemoryDivisor = 4            // gathered reads use at most 1/gatherMemoryDivisor of the memory
	bytesPerPart        = 2 * 96 << 10 // memory of a part: two copies of the longest piece, and the next read
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
	if err := validate(siteFile, key, text); err != nil {
		return nil, err
	}
	g.rulesText = text
	if g.Rules, err = gather.ParseClasses(text); err != nil {
		var rulesError *gather.RulesBad
		if !errors.As(err, &rulesError) {
			return nil, &KeyError{File: "site", Key: key, Err: err}
		}
		return nil, &KeyError{File: "site", Key: key + "." + rulesError.Key, Problem: rulesError.Why, Err: rulesError}
	}
	g.tokenKeyFile = r.text("gather.token_key_file", "")
	if g.tokenKeyFile == "" {
		return g, nil
	}
	if g.TokenKey, err = readTokenKey(g.tokenKeyFile); err != nil {
		return nil, &KeyError{File: siteFile, Key: "gather.token_key_file", Err: err}
	}
	return g, nil
}

const minTokenKeyBytes = 16

// readTokenKey reads a key in hexadecimal digits.
func readTokenKey(file string) ([]byte, error) {
	hexText, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(hexText)))
	if err == nil && len(key) < minTokenKeyBytes {
		err = fmt.Errorf("key has %d bytes, want at least %d", len(key), minTokenKeyBytes)
	}
	return key, err
}

// checkTokenKey returns an error if the key's file is the one in effect and now has fewer bytes, as a truncated file has.
func (g *SiteGather) checkTokenKey(inEffect *SiteGather) error {
	if g.tokenKeyFile != inEffect.tokenKeyFile || len(g.TokenKey) >= len(inEffect.TokenKey) {
		return nil
	}
	return &MissingKeyError{File: siteFile, Key: "gather.token_key_file",
		Problem: fmt.Sprintf("the key has %d bytes; the one in effect has %d", len(g.TokenKey), len(inEffect.TokenKey))}
}

// rulesSource returns the file and the key of the rules, for error texts.
func (g *SiteGather) rulesSource() string {
	if g.fromFile {
		return "site: gather.rules_file"
	}
	return "site: gather.rules"
}

// Check checks the section against the configuration's classes, largest request and memory.
func (g *SiteGather) Check(set policy.Settings, memoryMB int) error {
	classes := map[string]bool{}
	for _, k := range set.Classes {
		classes[k.Name] = true
	}
	keyPrefix := "gather.rules."
	if g.fromFile {
		keyPrefix = "gather.rules_file."
	}
	for name, r := range g.Rules {
		if !classes[name] {
			return &KeyError{File: "site", Key: keyPrefix + "classes." + name, Problem: "the configuration has no such class"}
		}
		if problem := g.Tree.memoryProblem(r, g.MaxParts); problem != "" {
			return &KeyError{File: "site", Key: keyPrefix + "classes." + name + ".memory.bytes", Problem: problem}
		}
		if maxBytes := memoryMB << 20 / gatherMemoryDivisor; int64(g.MaxConcurrentReads)*g.ReadBytes(name, g.MaxParts) > int64(maxBytes) {
			return &KeyError{File: "site", Key: "gather.reads_at_once", Problem: fmt.Sprintf(
				"%d reads of %d merges (tree.fan_out and one) of %d bytes (%sclasses.%s.memory.bytes) and %d parts of %d bytes exceed the %d bytes reserved for them, a quarter of limits.memory_mb",
				g.MaxConcurrentReads, g.Tree.maxMerges(), r.Memory.Bytes, keyPrefix, name, g.MaxParts, bytesPerPart, maxBytes)}
		}
	}
	if set.MaxUnits > 0 && g.PartUnits > set.MaxUnits {
		return &KeyError{File: "site", Key: "gather.part_units", Problem: fmt.Sprintf("%v is larger than the largest request, %v", g.PartUnits, set.MaxUnits)}
	}
	return nil
}

// ReadBytes returns the memory of a gathered read of a class with a number of parts, in bytes. The class has rules.
func (g *SiteGather) ReadBytes(class string, parts int) int64 {
	return int64(g.Tree.maxMerges())*int64(g.Rules[class].Memory.Bytes) + int64(parts)*bytesPerPart
}
