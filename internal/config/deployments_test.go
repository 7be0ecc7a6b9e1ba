package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"wheatsaddle/policy"
)

const (
	deploymentsDir = "../../deploy/sites"
	minDeployments = 2 // minimum number of deployments in the directory
)

// deployment is a scheduler's configuration in deploy/sites, read by this package and, independently of it, as plain JSON.
type deployment struct {
	name     string
	text     []byte
	conf     *Config
	platform platformSettings
}

// platformSettings are the settings under the platform's keys, read without the code under test.
type platformSettings struct {
	Zones      []string         `json:"zones"`
	Profiles   []platformClass  `json:"profiles"`
	Contracts  []platformPlan   `json:"contracts"`
	Mode       string           `json:"membership-mode"`
	Schedulers int              `json:"fleet-size"`
	Instance   int              `json:"me"`
	Zone       string           `json:"my-zone"`
	Ceilings   platformCeilings `json:"ceilings"`
	Rules      platformRules    `json:"rules"`
	Extra      platformExtra    `json:"extra"`
}

type platformClass struct {
	Name               string  `json:"name"`
	LatencyObjective   float64 `json:"goal-time"`
	Deadline           float64 `json:"deadline"`
	Effect             string  `json:"repeat"`
	DedupScope         string  `json:"key-scope"`
	DedupWindow        float64 `json:"memory-span"`
	PriorityWeight     float64 `json:"worth"`
	LatePriorityWeight float64 `json:"late-worth"`
}

type platformPlan struct {
	Name    string  `json:"name"`
	Cap     float64 `json:"cap"`
	Burst   float64 `json:"burst"`
	Reserve float64 `json:"reservation"`
	Shares  float64 `json:"shares"`
	Price   float64 `json:"price"`
	Rate    float64 `json:"usual-rate"`
}

type platformCeilings struct {
	Attempts       int     `json:"max-attempts"`
	MayHedge       bool    `json:"second-copies"`
	MayCancel      bool    `json:"may-cancel"`
	MayCheckHealth bool    `json:"probes"`
	MayGossip      bool    `json:"peers"`
	RetryAfter     bool    `json:"retry-after"`
	MaxRetryAfter  float64 `json:"max-retry-after"`
	ConnIdle       float64 `json:"conn-idle"`
	Connect        float64 `json:"connect-timeout"`
	MaxOpen        int     `json:"max-open"`
}

type platformRules struct {
	AnswerSlack       float64 `json:"answer-slack"`
	PollWithin        float64 `json:"ask-within"`
	SlowStartDuration float64 `json:"cold"`
	SlowStartShare    float64 `json:"cold-from"`
	OverloadMultiple  float64 `json:"tip-multiple"`
	OverloadWindow    float64 `json:"overload-for"`
	DrainGrace        float64 `json:"stop-sending-within"`
	RetryBudgetMin    float64 `json:"extra-floor"`
	RetryBudgetShare  float64 `json:"further-ratio"`
	RetryBudgetWindow float64 `json:"counted-over"`
}

type platformExtra struct {
	MaxUnits         float64 `json:"largest"`
	MeanUnits        float64 `json:"usual-units"`
	SlowStartUnits   float64 `json:"young-limit"`
	Shards           int     `json:"slots-total"`
	UsageMeterPeriod float64 `json:"metering"`
	ReportsPeerUsage bool    `json:"says-others"`
}

// deployments reads every deployment.
func deployments(t *testing.T) []deployment {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(deploymentsDir, "*", "config.json"))
	if err != nil || len(paths) < minDeployments {
		t.Fatalf("%d deployments in %s, error %v", len(paths), deploymentsDir, err)
	}
	var all []deployment
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, readDeployment(t, filepath.Base(filepath.Dir(path)), text))
	}
	return all
}

func readDeployment(t *testing.T, name string, text []byte) deployment {
	t.Helper()
	conf, err := Parse(text, noEnv)
	if err != nil {
		t.Fatalf("%s: the configuration was rejected: %v", name, err)
	}
	var file struct{ Settings platformSettings }
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatalf("%s: the settings cannot be read as JSON: %v", name, err)
	}
	return deployment{name, text, conf, file.Settings}
}

func (d deployment) siteFile(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(deploymentsDir, d.name, d.name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

var siteBudget = regexp.MustCompile(`(?m)^budget_share = ([0-9.]+)\nbudget_free = ([0-9.]+)\nbudget_ms = ([0-9.]+)$`)

// withBudget returns the deployment with the retry budget of its site file, if there is one, added to its settings.
func (d deployment) withBudget(t *testing.T) deployment {
	t.Helper()
	m := siteBudget.FindSubmatch(d.siteFile(t))
	if m == nil {
		return d
	}
	budget := fmt.Sprintf(`"rules":{"further-ratio":%s,"extra-floor":%s,"counted-over":%s,`, m[1], m[2], m[3])
	text := regexp.MustCompile(`"rules": *\{`).ReplaceAll(d.text, []byte(budget))
	return readDeployment(t, d.name, text)
}

// Every key of a deployment's settings is read into its field.
func TestDeploymentSettings(t *testing.T) {
	for _, s := range deployments(t) {
		s = s.withBudget(t)
		want, platform := policy.Settings{
			Instance: s.platform.Instance, Schedulers: s.platform.Schedulers, Zone: s.platform.Zone, PollsEndpointList: s.platform.Mode == "ask",
			MeanUnits: s.platform.Extra.MeanUnits, MaxUnits: s.platform.Extra.MaxUnits, Shards: s.platform.Extra.Shards,
			SlowStartUnits: s.platform.Extra.SlowStartUnits, UsageMeterPeriod: s.platform.Extra.UsageMeterPeriod, ReportsPeerUsage: s.platform.Extra.ReportsPeerUsage,
			MaxAttempts: s.platform.Ceilings.Attempts, MayHedge: s.platform.Ceilings.MayHedge,
			MayCancel: s.platform.Ceilings.MayCancel, MayCheckHealth: s.platform.Ceilings.MayCheckHealth, MayGossip: s.platform.Ceilings.MayGossip,
			SendsRetryAfter: s.platform.Ceilings.RetryAfter, MaxRetryAfter: s.platform.Ceilings.MaxRetryAfter,
			DrainGrace: s.platform.Rules.DrainGrace, ListStalenessBound: s.platform.Rules.PollWithin,
			SlowStartShare: s.platform.Rules.SlowStartShare, SlowStartDuration: s.platform.Rules.SlowStartDuration,
			OverloadMultiple: s.platform.Rules.OverloadMultiple, OverloadWindow: s.platform.Rules.OverloadWindow,
			RetryBudgetShare: s.platform.Rules.RetryBudgetShare, RetryBudgetMin: s.platform.Rules.RetryBudgetMin, RetryBudgetWindow: s.platform.Rules.RetryBudgetWindow,
			ClientsKeepKeys: true,
		}, s.platform
		for _, c := range platform.Profiles {
			want.Classes = append(want.Classes, expectedClass(t, c))
		}
		for _, p := range platform.Contracts {
			want.Plans = append(want.Plans, policy.Plan{Name: p.Name, Rate: p.Rate, ReservedRate: p.Reserve,
				Weight: p.Shares, Price: p.Price, RateLimit: p.Cap, LimitBurst: p.Burst})
		}
		if !reflect.DeepEqual(s.conf.Settings, want) {
			t.Errorf("%s: read %+v\nwant %+v", s.name, s.conf.Settings, want)
		}
		if s.conf.ConnIdle != platform.Ceilings.ConnIdle || s.conf.ConnectTimeout != platform.Ceilings.Connect ||
			s.conf.MaxOpenRequests != platform.Ceilings.MaxOpen || s.conf.ListMode != platform.Mode {
			t.Errorf("%s: read %+v, ceilings %+v", s.name, s.conf, platform.Ceilings)
		}
	}
}

func expectedClass(t *testing.T, c platformClass) policy.Class {
	want := policy.Class{Name: c.Name, LatencyObjective: c.LatencyObjective, Deadline: c.Deadline, PriorityWeight: c.PriorityWeight, LatePriorityWeight: c.LatePriorityWeight, DedupWindow: c.DedupWindow}
	switch c.Effect {
	case "safe":
	case "unsafe":
		want.Effect = policy.NonIdempotent
	case "keyed":
		want.Effect = policy.IdempotentByKey
		switch c.DedupScope {
		case "all":
		case "zone":
			want.DedupScope = policy.DedupZone
		case "cell":
			want.DedupScope = policy.DedupShard
		default:
			t.Fatalf("class %s: unknown key-scope %q", c.Name, c.DedupScope)
		}
	default:
		t.Fatalf("class %s: unknown repeat %q", c.Name, c.Effect)
	}
	return want
}

// ignoredKeys maps the keys that affect no decision to the reason.
var ignoredKeys = map[string]string{
	"ceilings.cpu-us-per-request": "the program's CPU usage is measured from outside",
	"ceilings.cpu-us-per-s":       "as above; limits.cores configures the runtime",
	"ceilings.streams-per-conn":   "HTTP/1.1 connections have one request at a time",
	"clients.marks-retry":         "a retry mark is used whenever it is present",
	"contracts.#.cap-slack":       "limits are enforced without slack",
	"domain-type":                 "the program supports only storage",
	"extra.changes-data.#":        "the method identifies writes",
	"extra.spare-worth":           "the order of the priority bands is the same for any weight",
	"extra.within-share":          "as above",
	"goal.whole":                  "used only to score a run",
	"goal.worst-class":            "used only to score a run",
	"goal.worst-tenant":           "used only to score a run",
	"goal.worst-window":           "used only to score a run",
	"kinds.#":                     "a node's kind affects no decision",
	"prices.connection":           "the number of connections follows the load",
	"prices.cross-zone":           "a shard is on one node in one zone",
	"prices.late-fail":            "not used",
	"prices.moves":                "no data is migrated",
	"prices.origin":               "there is no origin",
	"prices.peer":                 "no messages are sent to peers on the platform",
	"prices.probe":                "no load probes are sent",
	"prices.waste":                "not used",
	"report.how":                  "load reports affect no decision",
	"report.names.#":              "load reports affect no decision",
	"rules.answer-slack":          "responses are sent before the client's deadline",
	"tick":                        "used only by the simulator",
	"tier":                        "there is only one tier",
	"tiers.#":                     "there is only one tier",
	"weight-kind":                 "a node's weight affects no decision",
	"zones.#":                     "zones are compared by the names in the endpoint list",
}

// Each key of the settings is either read or listed as ignored. The test changes each value in turn and checks whether the
// parsed configuration changes.
func TestDeploymentKeysAreReadOrIgnored(t *testing.T) {
	read, unread := map[string]bool{}, map[string]bool{}
	for _, s := range deployments(t) {
		s = s.withBudget(t)
		var file map[string]any
		if err := json.Unmarshal(s.text, &file); err != nil {
			t.Fatal(err)
		}
		before := *s.conf
		before.raw = nil
		changeEach(file["settings"], "", func(key string) {
			text, err := json.Marshal(file)
			if err != nil {
				t.Fatal(err)
			}
			after, err := Parse(text, noEnv)
			if err != nil {
				t.Fatalf("%s: rejected after the value of %s was changed: %v", s.name, key, err)
			}
			after.raw, after.CachedList = nil, before.CachedList
			if reflect.DeepEqual(*after, before) {
				unread[key] = true
			} else {
				read[key] = true
			}
		})
	}
	for _, key := range slices.Sorted(maps.Keys(unread)) {
		if !read[key] && ignoredKeys[key] == "" {
			t.Errorf("%s: neither read nor listed as ignored", key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(ignoredKeys)) {
		if read[key] {
			t.Errorf("%s: read, although it is listed as ignored", key)
		} else if !unread[key] {
			t.Errorf("%s: listed as ignored, but no deployment has this key", key)
		}
	}
	if len(read) < 40 {
		t.Errorf("only %d keys are read, want at least 40: %v", len(read), slices.Sorted(maps.Keys(read)))
	}
}

// alternativeWords maps each word to another valid word.
var alternativeWords = map[string]string{"safe": "unsafe", "keyed": "safe", "unsafe": "safe", "push": "ask", "ask": "push",
	"all": "zone", "zone": "cell", "cell": "all"}

// changeEach changes every value in turn, calls changed with its key and restores it. Entries of a list share a key.
func changeEach(v any, key string, changed func(key string)) {
	at := func(value any, set func(any), key string) {
		switch old := value.(type) {
		case map[string]any, []any:
			changeEach(value, key, changed)
			return
		case float64:
			set(2*old + 1)
		case bool:
			set(!old)
		case string:
			if other := alternativeWords[old]; other != "" {
				set(other)
			} else {
				set(old + "x")
			}
		}
		changed(key)
		set(value)
	}
	switch v := v.(type) {
	case map[string]any:
		for _, k := range slices.Sorted(maps.Keys(v)) {
			at(v[k], func(x any) { v[k] = x }, strings.TrimPrefix(key+"."+k, "."))
		}
	case []any:
		for i := range v {
			at(v[i], func(x any) { v[i] = x }, key+".#")
		}
	}
}

var (
	siteClassName = regexp.MustCompile(`(?m)^\[\[class\]\]\nname = "([^"]+)"`)
	sitePlanName  = regexp.MustCompile(`(?m)^\[\[tenant\]\]\nname = "([^"]+)"`)
	siteEffect    = regexp.MustCompile(`(?m)^effect = "([^"]+)"`)
)

// A deployment's configuration has the classes, effects and plans of its site file, in order.
func TestDeploymentConfigMatchesSiteFile(t *testing.T) {
	counts := map[string]bool{}
	for _, s := range deployments(t) {
		text := s.siteFile(t)
		all := func(re *regexp.Regexp) (found []string) {
			for _, m := range re.FindAllSubmatch(text, -1) {
				found = append(found, string(m[1]))
			}
			return found
		}
		var classes, effects, plans []string
		for _, c := range s.platform.Profiles {
			classes, effects = append(classes, c.Name), append(effects, c.Effect)
		}
		for _, p := range s.platform.Contracts {
			plans = append(plans, p.Name)
		}
		for _, x := range [][2][]string{{classes, all(siteClassName)}, {effects, all(siteEffect)}, {plans, all(sitePlanName)}} {
			if len(x[0]) == 0 || !slices.Equal(x[0], x[1]) {
				t.Errorf("%s: configuration %v, site file %v", s.name, x[0], x[1])
			}
		}
		counts[fmt.Sprint(len(classes), " classes, ", len(plans), " plans")] = true
	}
	if counts["3 classes, 3 plans"] || len(counts) < minDeployments {
		t.Errorf("the numbers of classes and plans must differ between deployments, and from 3 classes, 3 plans: %v", counts)
	}
}
