package config

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"wheatsaddle/internal/address"
)

// The sections addresses, listen and start are read into their fields, with defaults for absent keys.
func TestSite(t *testing.T) {
	s, err := ParseSite([]byte(`{"addresses":{"preference":["ipv4","unix"],"delay_ms":120,"return_after":5,"identity_header":"X-Node"},
		"listen":{"http":[{"address":"unix:/run/x","mode":"0660"},{"address":"[::1]:80"}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	selector := s.Addresses.Selector
	if selector.Preference[0] != address.IPv4 || selector.ConnectDelay != 120*time.Millisecond || selector.MinReturnConns != 5 || selector.Backoff != address.Defaults().Backoff ||
		s.Addresses.Identity != "X-Node" {
		t.Errorf("section addresses: %+v", s.Addresses)
	}
	if l := s.Listen["http"]; len(l) != 2 || l[0].Mode != 0o660 || l[1].Address.String() != "[::1]:80" {
		t.Errorf("section listen: %+v", l)
	}
	s, err = ParseSite([]byte(`{"start":{"snapshot":"/tmp/x","list_priced":true}}`))
	if err != nil || *s.Start != (SiteStart{Enabled: true, Snapshot: "/tmp/x", ListPriced: true, ListCallsPerSecond: 40, PreconnectNodes: 8}) {
		t.Errorf("section start: %+v, error %v", s, err)
	}
	if s, err := ParseSite([]byte(`{}`)); err != nil || s.Addresses != nil || s.Start != nil || len(s.Listen) != 0 {
		t.Errorf("empty file: %+v, error %v", s, err)
	}
}

// Every error names the key and the expected value.
func TestSiteErrorsNameKey(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                                    "not valid JSON",
		`[]`:                                   "the file: got array, want object",
		`{"adresses":{}}`:                      "additional properties 'adresses' not allowed",
		`{"addresses":{"delay_ms":"x"}}`:       "addresses.delay_ms: got string, want number",
		`{"addresses":{"delay_ms":9}}`:         "addresses.delay_ms: minimum: got 9, want 10",
		`{"addresses":{"preference":["tcp"]}}`: "addresses.preference.0: value must be one of 'unix', 'ipv6', 'ipv4', 'name'",
		`{"addresses":{"preference":["unix","unix"]}}`:                                  "addresses.preference",
		`{"addresses":{"delay_least_ms":500,"delay_ms":300}}`:                           "addresses.delay_ms: 300 is not from 500 to 2000",
		`{"addresses":{"identity_header":"a b"}}`:                                       "addresses.identity_header",
		`{"listen":{"http":[{"address":"localhost:1"}]}}`:                               "listen.http.0.address: \"localhost:1\": host: not an IP address",
		`{"listen":{"http":[{"address":"unix:x"}]}}`:                                    "listen.http.0.address",
		`{"listen":{"http":[{"address":"[::1]:1","mode":"0600"}]}}`:                     "listen.http.0.mode: only a socket file",
		`{"listen":{"http":[{"address":"unix:/x","mode":"rw"}]}}`:                       "listen.http.0.mode",
		`{"listen":{"http":[{"address":"unix:/x"}],"iscsi":[{"address":"unix:/./x"}]}}`: "listen.iscsi.0.address: \"unix:/./x\": the same as listen.http.0",
		`{"start":{"snapshot":"x"}}`:                                                    "start.snapshot",
		`{"listen":{"ftp":[]}}`:                                                         "listen: additional properties 'ftp' not allowed",
	} {
		if s, err := ParseSite([]byte(text)); err == nil || !strings.HasPrefix(err.Error(), "site: ") || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: read as %+v, error %v, want one with %q", text, s, err, want)
		}
	}
}

// The defaults in the schema are those of the program, and the site's file in deploy is valid.
func TestSiteSchemaHasProgramDefaults(t *testing.T) {
	keys := gjson.GetBytes(SiteSchema, "properties.addresses.properties").Map()
	text := `{"addresses":{`
	for k, v := range keys {
		if d := v.Get("default"); d.Exists() {
			text += `"` + k + `":` + d.Raw + ","
		}
	}
	s, err := ParseSite([]byte(strings.TrimSuffix(text, ",") + "}}"))
	if err != nil {
		t.Fatal(err)
	}
	got, want := s.Addresses.Selector, address.Defaults()
	if got.Preference = nil; len(keys) != 24 {
		t.Errorf("the schema has %d keys in section addresses, want 24", len(keys))
	}
	want.Preference = nil
	if !reflect.DeepEqual(got, want) {
		t.Errorf("addresses: the schema's defaults are\n%+v, the program's\n%+v", got, want)
	}
	text = ""
	for k, v := range gjson.GetBytes(SiteSchema, "properties.estimate.properties").Map() {
		text += `,"` + k + `":` + v.Get("default").Raw
	}
	explicit, err := ParseSite([]byte(`{"estimate":{` + text[1:] + `}}`))
	byDefault, err2 := ParseSite([]byte(`{"estimate":{}}`))
	if err != nil || err2 != nil || !reflect.DeepEqual(explicit.Estimate, byDefault.Estimate) || byDefault.Estimate.MaxConcurrent != 1 {
		t.Errorf("estimate: errors %v and %v, the schema's defaults %+v, the program's %+v", err, err2, explicit, byDefault)
	}
	if _, err := LoadSite("../../deploy/site.json"); err != nil {
		t.Error(err)
	}
	if _, err := LoadSite(t.TempDir() + "/none"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
}
