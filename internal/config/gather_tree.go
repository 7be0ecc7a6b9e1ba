package config

import (
	"fmt"
	"time"

	"wheatsaddle/gather"
)

// SiteTree has the settings of the section gather for the delegation of parts of a read to peers.
type SiteTree struct {
	Peers                                            []GatherPeer
	MinParts, MaxGroupParts, FanOut, MaxPeerAttempts int
	SilenceTimeout, Backoff, MaxBackoff              time.Duration
	MaxConnsPerPeer                                  int
	MaxGroupBytes                                    int64
}

// GatherPeer is another scheduler, with the address that its clients use.
type GatherPeer struct{ Name, Address string }

// siteTree reads the settings of the delegation; nil: nothing is delegated.
func siteTree(r *reader) (*SiteTree, error) {
	tree, peers := r.root.Get("gather.tree"), r.root.Get("gather.peers").Array()
	if len(peers) == 0 {
		if tree.Exists() {
			return nil, &KeyError{File: "site", Key: "gather.tree", Problem: "there are no gather.peers to which parts can be delegated"}
		}
		return nil, nil
	}
	number := func(key string, fallback, minimum float64) float64 {
		return r.number("gather.tree."+key, fallback, minimum)
	}
	duration := func(key string, fallback float64) time.Duration {
		return time.Duration(number(key, fallback, 1) * float64(time.Millisecond))
	}
	t := &SiteTree{MinParts: int(number("least_parts", 8, 4)), MaxGroupParts: int(number("group_parts_most", 16, 2)), FanOut: int(number("fan_out", 3, 1)),
		MaxPeerAttempts: int(number("copies", 1, 1)), SilenceTimeout: duration("silent_ms", 100), Backoff: duration("rest_ms", 1000), MaxBackoff: duration("rest_most_ms", 30000),
		MaxConnsPerPeer: int(number("connections", 8, 1)), MaxGroupBytes: int64(number("group_bytes_most", 64<<20, 1024))}
	if r.err != nil {
		return nil, r.err
	}
	if t.MaxBackoff < t.Backoff {
		return nil, &KeyError{File: "site", Key: "gather.tree.rest_most_ms", Problem: fmt.Sprintf("%v is less than rest_ms, %v", t.MaxBackoff, t.Backoff)}
	}
	seen := map[string]bool{}
	for i, e := range peers {
		p := GatherPeer{e.Get("name").Str, e.Get("address").Str}
		key := fmt.Sprintf("gather.peers.%d", i)
		if err := checkEndpoint("address", p.Address); err != nil {
			return nil, &KeyError{File: "site", Key: key + ".address", Value: p.Address, Expected: "IP:port", Err: err}
		}
		if seen[p.Name] {
			return nil, &KeyError{File: "site", Key: key + ".name", Problem: fmt.Sprintf("duplicate name %q", p.Name)}
		}
		seen[p.Name] = true
		t.Peers = append(t.Peers, p)
	}
	return t, nil
}

// maxMerges returns the maximum number of merges of one read: its own and, if its peers fail, one for each group.
func (t *SiteTree) maxMerges() int {
	if t == nil {
		return 1
	}
	return 1 + t.FanOut
}

// memoryProblem returns what is wrong with a class's memory; "": nothing. While all peers are backing off, a single merge
// has all parts of a read.
func (t *SiteTree) memoryProblem(r *gather.Rules, parts int) (problem string) {
	if minimum := 2 * r.Records.MaxBytes * (parts + 1); t != nil && r.Memory.Bytes < minimum {
		problem = fmt.Sprintf("is less than %d, which %d parts (parts_most) need if no peer accepts any: two records (records.max_bytes) each", minimum, parts)
	}
	return problem
}
