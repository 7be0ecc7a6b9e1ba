package main

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"wheatsaddle/choice"
	"wheatsaddle/internal/config"
	"wheatsaddle/internal/peers"
)

// Where the platform forbids it, naming the section is an error: at the check and at the start.
func TestPeersForbidden(t *testing.T) {
	file, _ := configure(t, freeAddress(t))
	at := filepath.Join(t.TempDir(), "site.json")
	if err := os.WriteFile(at, []byte(`{"peers":{"listen":"`+freeAddress(t)+`"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{"check-config", "--site", at, file}, {"serve", "--site", at}} {
		out, err := program([]string{"ROUTER_CONFIG=" + file}, args...).CombinedOutput()
		if err == nil || !strings.Contains(string(out), "ceilings.peers") {
			t.Errorf("%v: %v %s", args, err, out)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	text = []byte(strings.Replace(string(text), `"may-cancel":true`, `"may-cancel":true,"peers":true`, 1))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := program(nil, "check-config", "--site", at, file).CombinedOutput(); err != nil {
		t.Errorf("allowed: %v %s", err, out)
	}
	var forbidden *peers.Forbidden
	if err := mayPeer(&config.Site{Peers: &config.SitePeers{}}, choice.Settings{}); !errors.As(err, &forbidden) {
		t.Error(err)
	}
}

func TestPeerKey(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	for text, good := range map[string]bool{strings.Repeat("0a", 16) + "\n": true, strings.Repeat("0a", 15): false, "xyz": false} {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		key, err := peerKey(file)
		var bad *peers.BadKey
		if good != (err == nil && len(key) == 16) || !good && !errors.As(err, &bad) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
