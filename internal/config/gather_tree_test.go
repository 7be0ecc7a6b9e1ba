package config

import (
	"errors"
	"strings"
	"testing"
	"time"

	"wheatsaddle/policy"
)

// The section gather.tree has defaults for absent keys, is checked against the memory limit, and each error names its key.
func TestGatherDelegation(t *testing.T) {
	const rules = `"rules":{"classes":{"c":{"order":[{"key":"k","type":"integer"}],"memory":{"bytes":1048576},"records":{"max_bytes":4096}}}}`
	read := func(more string) (*Site, error) { return ParseSite([]byte(`{"gather":{` + rules + more + `}}`)) }
	s, err := read("")
	if err != nil || s.Gather.Tree != nil || s.Gather.Tree.maxMerges() != 1 {
		t.Fatal(err)
	}
	s, err = read(`,"peers":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","address":"[::1]:2"}],"tree":{"silent_ms":70,"rest_ms":5,"fan_out":2}`)
	if err != nil {
		t.Fatal(err)
	}
	tree := s.Gather.Tree
	if tree.Peers[1] != (GatherPeer{"b", "[::1]:2"}) || tree.SilenceTimeout != 70*time.Millisecond || tree.Backoff != 5*time.Millisecond || tree.MaxBackoff != 30*time.Second ||
		tree.MinParts != 8 || tree.MaxGroupParts != 16 || tree.MaxPeerAttempts != 1 || tree.MaxConnsPerPeer != 8 || tree.MaxGroupBytes != 64<<20 || tree.maxMerges() != 3 {
		t.Errorf("section gather.tree: %+v", tree)
	}
	set := policy.Settings{Classes: []policy.Class{{Name: "c"}}}
	var key *KeyError
	if err = s.Gather.Check(set, 256); err != nil { // a read may have a merge for each group
		t.Error(err)
	}
	if err = s.Gather.Check(set, 230); !errors.As(err, &key) || !strings.Contains(err.Error(), "fan_out") {
		t.Error(err)
	}
	s.Gather.MaxParts = 128
	if err = s.Gather.Check(set, 1024); !errors.As(err, &key) || key.Key != "gather.rules.classes.c.memory.bytes" {
		t.Error(err)
	}
	onePeer := `,"peers":[{"name":"a","address":"127.0.0.1:1"}]`
	for text, want := range map[string]string{
		`,"tree":{}`:                                          "gather.tree",
		`,"peers":[]`:                                         "gather.peers",
		`,"peers":[{"name":"a"}]`:                             "gather.peers.0",
		onePeer + `,"tree":{"copies":9}`:                      "gather.tree.copies",
		onePeer + `,"tree":{"depth":2}`:                       "gather.tree",
		onePeer + `,"tree":{"rest_ms":9,"rest_most_ms":8}`:    "gather.tree.rest_most_ms",
		`,"peers":[{"name":"a","address":"127.0.0.1:99999"}]`: "gather.peers.0.address",
		`,"peers":[{"name":"a","address":"127.0.0.1:1"},{"name":"a","address":"127.0.0.1:2"}]`: "gather.peers.1.name",
	} {
		if _, err := read(text); !errors.As(err, &key) || !strings.HasPrefix(key.Key, want) {
			t.Errorf("%s: error %v, want one with the invalid key", text, err)
		}
	}
}
