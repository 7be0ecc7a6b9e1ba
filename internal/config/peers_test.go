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

// The section peers has the seeds of the key and of the file, and the schema's defaults are those of the program. Each error
// names its key.
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
	explicit, err := ParseSite([]byte(text + "}}"))
	if err != nil {
		t.Fatal(err)
	}
	byDefault, err := ParseSite([]byte(`{"peers":{"listen":"127.0.0.1:1"}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got := strings.Join(explicit.Peers.Seeds, " "); got != "127.0.0.1:2 127.0.0.1:3 [::1]:4" || explicit.Peers.Via["127.0.0.1:2"] != "127.0.0.1:9" {
		t.Errorf("seeds or addresses of via: %+v", explicit.Peers)
	}
	explicit.Peers.Seeds, explicit.Peers.Via, byDefault.Peers.Via = nil, nil, nil
	if !reflect.DeepEqual(explicit.Peers, byDefault.Peers) || byDefault.Peers.State != nodestats.Defaults() {
		t.Errorf("the schema's defaults differ from those of the program: %+v, %+v", explicit.Peers, byDefault.Peers)
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
			t.Errorf("%s: error %v, want one with %q", text, err, want)
		}
	}
}

// A node's hardware type is that of its exact name, else that of the longest matching pattern. Errors in patterns and types
// name their key.
func TestNodeTypes(t *testing.T) {
	s, err := ParseSite([]byte(`{"estimate":{"types":{"n-*":"disk","n-1[0-9]?":"flash","n-[0-9]*":"mixed","n-12":"tape","n.x":"odd"}}}`))
	if err != nil {
		t.Fatal(err)
	}
	for node, want := range map[string]string{"n-12": "tape", "n-13": "mixed", "n-1": "mixed", "n-135": "flash", "n-a": "disk", "n.x": "odd", "m": ""} {
		if got := s.Estimate.Types.Of(node); got != want {
			t.Errorf("node %s: type %q, want %q", node, got, want)
		}
	}
	for types, want := range map[string]string{
		`{"n-[":"disk"}`: `site: estimate.types.n-[: "n-[" is not a node's name or a pattern`,
		`{"n":""}`:       "estimate.types.n", `{"n":3}`: "estimate.types.n",
		`{"n":"` + strings.Repeat("é", 40) + `"}`: "at most 64 bytes",
	} {
		var key *KeyError
		if _, err := ParseSite([]byte(`{"estimate":{"types":` + types + `}}`)); !errors.As(err, &key) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want one with %q", types, err, want)
		}
	}
}
