package config

import (
	"bytes"
	_ "embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/tidwall/gjson"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"wheatsaddle/internal/address"
	"wheatsaddle/internal/cost"
)

// SiteSchema is the JSON Schema of the site's file (draft 2020-12).
//
//go:embed site.schema.json
var SiteSchema []byte

// Site is the site's file: features that the platform's configuration does not cover. Without the file or a section its
// feature is off.
type Site struct {
	Addresses *SiteAddresses
	Estimate  *SiteEstimate
	Gather    *SiteGather
	Listen    map[string][]Listener // by front: http, iscsi
	Metrics   *Listener             // of the metrics endpoint; nil: metrics are not served
	Peers     *SitePeers
	Start     *SiteStart
	raw       []byte // text of the file
}

// SiteStart is the section start, the settings of a process that starts together with a large fleet.
type SiteStart struct {
	Enabled            bool
	Snapshot           string  // file of the learned state; "": none
	ListPriced         bool    // the fleet's requests for the list are spread over time
	ListCallsPerSecond float64 // maximum for the whole fleet
	PreconnectNodes    int     // nodes to which a connection is opened in advance
}

// SiteAddresses is the section addresses.
type SiteAddresses struct {
	Selector address.Settings
	Identity string // response header with the node's name; "": none
}

// SiteEstimate is the section estimate, the settings of the admin endpoint's estimates.
type SiteEstimate struct {
	MaxBytes, MaxConcurrent int
	Prices                  cost.Prices
	MinStandardErrors       float64
	Types                   NodeTypes
}

// siteEstimate reads the section estimate.
func siteEstimate(r *reader) (*SiteEstimate, error) {
	d := cost.Defaults()
	types, err := nodeTypes(r)
	return &SiteEstimate{Types: types,
		MaxBytes: int(r.number("estimate.bytes_most", 262144, 1024)), MaxConcurrent: int(r.number("estimate.at_once", 1, 1)),
		Prices: cost.Prices{Work: r.number("estimate.price_work", d.Prices.Work, 0), End: r.number("estimate.price_end", d.Prices.End, 0),
			Late: r.number("estimate.price_late", d.Prices.Late, 0)},
		MinStandardErrors: r.number("estimate.doubt", d.MinStandardErrors, 0),
	}, err
}

// Listener is an address on which a front or the metrics endpoint listens.
type Listener struct {
	Address address.Addr
	Mode    fs.FileMode // of a socket file
}

const socketMode = 0o600 // default of a socket file

// CheckSchema checks a JSON text against a schema. The error names the kind of file, the key and the expected value.
func CheckSchema(kind string, schema, text []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &JSONError{kind, err}
	}
	schemaDoc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return &KeyError{File: kind, Key: "schema", Err: err}
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("wheatsaddle:"+kind, schemaDoc); err != nil {
		return &KeyError{File: kind, Key: "schema", Err: err}
	}
	s, err := c.Compile("wheatsaddle:" + kind)
	if err != nil {
		return &KeyError{File: kind, Key: "schema", Err: err}
	}
	if err := s.Validate(doc); err != nil {
		return schemaError(kind, err)
	}
	return nil
}

// ReadSite reads the text of the site's file.
func ReadSite(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{siteFile, err}
	}
	return text, nil
}

// LoadSite reads the site's file. The error names the key and the expected value.
func LoadSite(path string) (*Site, error) {
	text, err := ReadSite(path)
	if err != nil {
		return nil, err
	}
	return ParseSite(text)
}

// ReloadSite reads the site's file again, and checks that it has every key of the file in effect. The gather rules are not
// compared. The error names the first invalid key and the first missing one.
func ReloadSite(path string, inEffect *Site) (*Site, error) {
	text, err := ReadSite(path)
	if err != nil {
		return nil, err
	}
	next, err := ParseSite(text)
	if err := errors.Join(err, CheckRemovedSiteKeys(inEffect, text)); err != nil {
		return nil, err
	}
	return next, nil
}

// ParseSite reads the text of a site's file, and checks it against the schema and the rules that a schema cannot express.
func ParseSite(text []byte) (*Site, error) {
	err := CheckSchema(siteFile, SiteSchema, text)
	if err != nil {
		return nil, err
	}
	if err := validate(siteFile, "", text); err != nil {
		return nil, err
	}
	r := &reader{root: gjson.ParseBytes(text), file: siteFile}
	s := &Site{Listen: map[string][]Listener{}, raw: text}
	if r.root.Get("addresses").Exists() {
		if s.Addresses, err = siteAddresses(r); err != nil {
			return nil, err
		}
	}
	if r.root.Get("peers").Exists() {
		if s.Peers, err = sitePeers(r); err != nil {
			return nil, fmt.Errorf("site: peers.%w", err)
		}
	}
	if r.root.Get("estimate").Exists() {
		if s.Estimate, err = siteEstimate(r); err != nil {
			return nil, err
		}
	}
	if r.root.Get("gather").Exists() {
		if s.Gather, err = siteGather(r); err != nil {
			return nil, err
		}
	}
	if v := r.root.Get("start"); v.Exists() {
		s.Start = &SiteStart{Enabled: !v.Get("on").Exists() || v.Get("on").Bool(), Snapshot: r.text("start.snapshot", ""),
			ListPriced: v.Get("list_priced").Bool(), ListCallsPerSecond: r.number("start.list_calls_per_second", 40, 0),
			PreconnectNodes: int(r.number("start.connections_ahead", 8, 0))}
	}
	if err := s.listeners(r); err != nil {
		return nil, err
	}
	return s, r.err
}

// listeners reads the listeners of the metrics endpoint and of the fronts, whose addresses must all differ.
func (s *Site) listeners(r *reader) error {
	seen := map[address.Addr]string{}
	if e := r.root.Get("metrics"); e.Exists() {
		l, err := siteListener("metrics", e, seen)
		if err != nil {
			return err
		}
		s.Metrics = &l
	}
	for _, front := range []string{"http", "iscsi"} {
		for i, e := range r.root.Get("listen." + front).Array() {
			l, err := siteListener(fmt.Sprintf("listen.%s.%d", front, i), e, seen)
			if err != nil {
				return err
			}
			s.Listen[front] = append(s.Listen[front], l)
		}
	}
	return nil
}

// siteListener reads one listener; seen has the keys of the previous listeners by address.
func siteListener(key string, e gjson.Result, seen map[address.Addr]string) (l Listener, err error) {
	fail := func(e KeyError) (Listener, error) {
		e.File, e.Key = "site", key+e.Key
		return l, &e
	}
	l.Mode = socketMode
	text := e.Get("address").Str
	if l.Address, err = address.ParseListen(text); err != nil {
		return fail(KeyError{Key: ".address", Value: strconv.Quote(text), Expected: "IP:port, [IPv6]:port or unix:PATH", Err: err})
	}
	if first, duplicate := seen[l.Address]; duplicate {
		return fail(KeyError{Key: ".address", Value: text, Expected: "a unique address", Problem: fmt.Sprintf("%q: the same as %s", text, first)})
	}
	seen[l.Address] = key
	if m := e.Get("mode"); m.Exists() {
		if l.Address.Path() == "" {
			return fail(KeyError{Key: ".mode", Value: m.Str, Problem: "only a socket file has a mode"})
		}
		n, err := strconv.ParseUint(m.Str, 8, 12)
		if err != nil {
			return fail(KeyError{Key: ".mode", Value: strconv.Quote(m.Str), Expected: "octal"})
		}
		l.Mode = fs.FileMode(n)
	}
	return l, nil
}

// DefaultAddresses returns the settings of a site without the section addresses.
func DefaultAddresses() *SiteAddresses { return &SiteAddresses{Selector: address.Defaults()} }

// siteAddresses reads the section addresses.
func siteAddresses(r *reader) (*SiteAddresses, error) {
	s := address.Defaults()
	duration := func(key string, to *time.Duration) {
		*to = time.Duration(r.number("addresses."+key, float64(*to)/float64(time.Millisecond), 0) * float64(time.Millisecond))
	}
	if p := r.root.Get("addresses.preference"); p.Exists() {
		s.Preference = nil
		for _, w := range p.Array() {
			k, err := address.ParseFamily(w.Str)
			if err != nil {
				return nil, &KeyError{File: "site", Key: "addresses.preference", Err: err}
			}
			s.Preference = append(s.Preference, k)
		}
	}
	for key, to := range map[string]*time.Duration{
		"delay_ms": &s.ConnectDelay, "delay_least_ms": &s.MinConnectDelay, "delay_most_ms": &s.MaxConnectDelay,
		"backoff_ms": &s.Backoff, "backoff_most_ms": &s.MaxBackoff, "wrong_ms": &s.WrongNodeBackoff, "absent_ms": &s.UnsupportedBackoff,
		"down_every_ms": &s.DownTrialInterval, "suspect_least_ms": &s.MinSuspectAfter, "suspect_most_ms": &s.MaxSuspectAfter, "doubt_ms": &s.CrossCheckAfter,
		"trial_gap_ms": &s.TrialInterval, "trial_patience_ms": &s.TrialPatience, "return_span_ms": &s.MinReturnDelay,
		"return_most_ms": &s.MaxReturnDelay, "wrong_span_ms": &s.RejectionWindow,
	} {
		duration(key, to)
	}
	s.Jitter, s.SuspectLatencyFactor = r.number("addresses.jitter", s.Jitter, 0), r.number("addresses.suspect_times", s.SuspectLatencyFactor, 1)
	s.MinReturnConns = int(r.number("addresses.return_after", float64(s.MinReturnConns), 1))
	s.MaxRejections = int(r.number("addresses.wrong_after", float64(s.MaxRejections), 1))
	s.ConnectRate = r.number("addresses.connects_per_second", s.ConnectRate, 0)
	s.ConnectBurst = int(r.number("addresses.connects_at_once", float64(s.ConnectBurst), 1))
	if r.err != nil {
		return nil, r.err
	}
	a := &SiteAddresses{Selector: s, Identity: r.text("addresses.identity_header", "")}
	var settingError *address.SettingError
	if errors.As(s.Check(), &settingError) {
		return nil, &KeyError{File: "site", Key: "addresses." + settingError.Key, Problem: settingError.Problem, Err: settingError}
	}
	return a, nil
}

// schemaError converts the innermost error of a schema validation to a KeyError.
func schemaError(file string, err error) error {
	var v *jsonschema.ValidationError
	if !errors.As(err, &v) {
		return &KeyError{File: file, Key: "schema", Err: err}
	}
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	key := strings.Join(v.InstanceLocation, ".")
	if key == "" {
		key = "the file"
	}
	return &KeyError{File: file, Key: key, Problem: v.ErrorKind.LocalizedString(message.NewPrinter(language.English))}
}
