package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/observations"
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
	if !reflect.DeepEqual(told.Peers, plain.Peers) || plain.Peers.State != observations.Defaults() {
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
