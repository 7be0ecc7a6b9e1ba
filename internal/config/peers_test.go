package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/nodestats"
)

func TestSitePeers(t *testing.T) {
	file := filepath.Join(t.TempDir(), "seeds")
	if err := os.WriteFile(file, []byte("# others\n127.0.0.1:3\n\n[::1]:4 # four\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := `{"peers":{"listen":"127.0.0.1:1","seeds":["127.0.0.1:2"],"via":{"127.0.0.1:2":"127.0.0.1:9"},"seeds_file":"` + file + `"`
	for k, v := range gjson.GetBytes(SiteSchema, "properties.peers.properties").Map() {
		if d := v.Get("default"); d.Exists() {
			text += `,"` + k + `":` + d.Raw
		}
	}
	told, err := ParseSite([]byte(text + "}}"))
	if err != nil {
		t.Fatal(err)
	}
	plain, err := ParseSite([]byte(`{"peers":{"listen":"127.0.0.1:1"}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(told.Peers.Seeds, " "); got != "127.0.0.1:2 127.0.0.1:3 [::1]:4" || told.Peers.Via["127.0.0.1:2"] != "127.0.0.1:9" {
		t.Errorf("%+v", told.Peers)
	}
	told.Peers.Seeds, told.Peers.Via, plain.Peers.Via = nil, nil, nil
	if !reflect.DeepEqual(told.Peers, plain.Peers) || plain.Peers.State != nodestats.Defaults() {
		t.Errorf("the schema's defaults are not those that hold: %+v, %+v", told.Peers, plain.Peers)
	}
	for text, want := range map[string]string{
		`{}`:                       "missing property 'listen'",
		`{"listen":"localhost:1"}`: "peers.listen",
		`{"listen":"127.0.0.1:1","seeds":["127.0.0.1:99999"]}`:            "seeds.0",
		`{"listen":"127.0.0.1:1","seeds_file":"/nowhere"}`:                "seeds_file",
		`{"listen":"127.0.0.1:1","half_life_ms":20000,"expire_ms":10000}`: "expire_ms",
		`{"listen":"127.0.0.1:1","via":{"x":"127.0.0.1:2"}}`:              "via",
		`{"listen":"127.0.0.1:1","clip":0}`:                               "peers.clip",
	} {
		if _, err := ParseSite([]byte(`{"peers":` + text + `}`)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v; want %q", text, err, want)
		}
	}
}

// A node's type is that of its name, else of the longest pattern; invalid patterns and types are errors with their key.
func TestNodeTypes(t *testing.T) {
	s, err := ParseSite([]byte(`{"estimate":{"types":{"n-*":"disk","n-1[0-9]?":"flash","n-[0-9]*":"mixed","n-12":"tape","n.x":"odd"}}}`))
	if err != nil {
		t.Fatal(err)
	}
	for node, want := range map[string]string{"n-12": "tape", "n-13": "mixed", "n-1": "mixed", "n-135": "flash", "n-a": "disk", "n.x": "odd", "m": ""} {
		if got := s.Estimate.Types.Of(node); got != want {
			t.Errorf("%s: %q, want %q", node, got, want)
		}
	}
	for types, want := range map[string]string{
		`{"n-[":"disk"}`: `site: estimate.types.n-[: "n-[" is not a node's name or a pattern`,
		`{"n":""}`:       "estimate.types.n", `{"n":3}`: "estimate.types.n",
		`{"n":"` + strings.Repeat("é", 40) + `"}`: "at most 64 bytes",
	} {
		var key *KeyError
		if _, err := ParseSite([]byte(`{"estimate":{"types":` + types + `}}`)); !errors.As(err, &key) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v; want %q", types, err, want)
		}
	}
}
