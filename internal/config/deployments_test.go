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
	sitesFolder = "../../deploy/sites"
	sitesLeast  = 2 // variants that the folder has
)

// deployment is one deployment of deploy/sites: what a scheduler there is told, read by config and, beside it, as
// plain JSON.
type deployment struct {
	name string
	text []byte
	conf *Config
	told toldSettings
}

// toldSettings are the settings in the platform's words, read without the package under test.
type toldSettings struct {
	Zones     []string        `json:"zones"`
	Profiles  []toldClass     `json:"profiles"`
	Contracts []toldPlan      `json:"contracts"`
	Mode      string          `json:"membership-mode"`
	Hosts     int             `json:"fleet-size"`
	Me        int             `json:"me"`
	MyZone    string          `json:"my-zone"`
	Ceilings  toldCeilings    `json:"ceilings"`
	Rules     toldRules       `json:"rules"`
	Extra     toldVolumeFacts `json:"extra"`
}

type toldClass struct {
	Name      string  `json:"name"`
	Aim       float64 `json:"goal-time"`
	Deadline  float64 `json:"deadline"`
	Repeat    string  `json:"repeat"`
	Scope     string  `json:"key-scope"`
	Window    float64 `json:"memory-span"`
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late-worth"`
}

type toldPlan struct {
	Name    string  `json:"name"`
	Cap     float64 `json:"cap"`
	Burst   float64 `json:"burst"`
	Reserve float64 `json:"reservation"`
	Shares  float64 `json:"shares"`
	Price   float64 `json:"price"`
	Rate    float64 `json:"usual-rate"`
}

type toldCeilings struct {
	Attempts     int     `json:"max-attempts"`
	SecondCopies bool    `json:"second-copies"`
	Cancel       bool    `json:"may-cancel"`
	Probes       bool    `json:"probes"`
	Peers        bool    `json:"peers"`
	RetryAfter   bool    `json:"retry-after"`
	RetryMost    float64 `json:"max-retry-after"`
	ConnIdle     float64 `json:"conn-idle"`
	Connect      float64 `json:"connect-timeout"`
	MaxOpen      int     `json:"max-open"`
}

type toldRules struct {
	AnswerSlack float64 `json:"answer-slack"`
	AskWithin   float64 `json:"ask-within"`
	Cold        float64 `json:"cold"`
	ColdFrom    float64 `json:"cold-from"`
	TipMultiple float64 `json:"tip-multiple"`
	TipSpan     float64 `json:"overload-for"`
	Grace       float64 `json:"stop-sending-within"`
	Floor       float64 `json:"extra-floor"`
	Ratio       float64 `json:"further-ratio"`
	Counted     float64 `json:"counted-over"`
}

type toldVolumeFacts struct {
	Largest   float64 `json:"largest"`
	Usual     float64 `json:"usual-units"`
	Young     float64 `json:"young-limit"`
	Shards    int     `json:"slots-total"`
	Meter     float64 `json:"metering"`
	SaysOther bool    `json:"says-others"`
}

// deployments reads every variant.
func deployments(t *testing.T) []deployment {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(sitesFolder, "*", "config.json"))
	if err != nil || len(paths) < sitesLeast {
		t.Fatalf("%d variants in %s, %v", len(paths), sitesFolder, err)
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
	conf, err := Parse(text, none)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	var file struct{ Settings toldSettings }
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return deployment{name, text, conf, file.Settings}
}

func (d deployment) siteFile(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(sitesFolder, d.name, d.name+".toml"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

var siteBudget = regexp.MustCompile(`(?m)^budget_share = ([0-9.]+)\nbudget_free = ([0-9.]+)\nbudget_ms = ([0-9.]+)$`)

// withBudget is the deployment with the budget of its site file, if that has one, in its settings.
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

// Every figure of a variant's settings that decides something arrives where it belongs.
func TestDeploymentSettingsArriveWhereTheyBelong(t *testing.T) {
	for _, s := range deployments(t) {
		s = s.withBudget(t)
		want, told := policy.Settings{
			Instance: s.told.Me, Schedulers: s.told.Hosts, Zone: s.told.MyZone, PollsEndpointList: s.told.Mode == "ask",
			MeanUnits: s.told.Extra.Usual, MaxUnits: s.told.Extra.Largest, Shards: s.told.Extra.Shards,
			SlowStartUnits: s.told.Extra.Young, UsageMeterPeriod: s.told.Extra.Meter, ReportsPeerUsage: s.told.Extra.SaysOther,
			MaxAttempts: s.told.Ceilings.Attempts, MayHedge: s.told.Ceilings.SecondCopies,
			MayCancel: s.told.Ceilings.Cancel, MayCheckHealth: s.told.Ceilings.Probes, MayGossip: s.told.Ceilings.Peers,
			SendsRetryAfter: s.told.Ceilings.RetryAfter, MaxRetryAfter: s.told.Ceilings.RetryMost,
			DrainGrace: s.told.Rules.Grace, PollWithin: s.told.Rules.AskWithin,
			SlowStartShare: s.told.Rules.ColdFrom, SlowStartDuration: s.told.Rules.Cold,
			OverloadMultiple: s.told.Rules.TipMultiple, OverloadWindow: s.told.Rules.TipSpan,
			RetryBudgetShare: s.told.Rules.Ratio, RetryBudgetMin: s.told.Rules.Floor, RetryBudgetWindow: s.told.Rules.Counted,
		}, s.told
		for _, c := range told.Profiles {
			want.Classes = append(want.Classes, wantedClass(t, c))
		}
		for _, p := range told.Contracts {
			want.Plans = append(want.Plans, policy.Plan{Name: p.Name, Rate: p.Rate, ReservedRate: p.Reserve,
				Weight: p.Shares, Price: p.Price, RateLimit: p.Cap, LimitBurst: p.Burst})
		}
		if !reflect.DeepEqual(s.conf.Settings, want) {
			t.Errorf("%s: read %+v\nwant %+v", s.name, s.conf.Settings, want)
		}
		if s.conf.ConnIdle != told.Ceilings.ConnIdle || s.conf.ConnectTimeout != told.Ceilings.Connect ||
			s.conf.MaxOpenRequests != told.Ceilings.MaxOpen || s.conf.ListMode != told.Mode {
			t.Errorf("%s: %+v of %+v", s.name, s.conf, told.Ceilings)
		}
	}
}

func wantedClass(t *testing.T, c toldClass) policy.Class {
	want := policy.Class{Name: c.Name, LatencyObjective: c.Aim, Deadline: c.Deadline, PriorityWeight: c.Worth, LatePriorityWeight: c.LateWorth, DedupWindow: c.Window}
	switch c.Repeat {
	case "safe":
	case "unsafe":
		want.Effect = policy.NonIdempotent
	case "keyed":
		want.Effect = policy.IdempotentByKey
		switch c.Scope {
		case "all":
		case "zone":
			want.DedupScope = policy.DedupZone
		case "cell":
			want.DedupScope = policy.DedupShard
		default:
			t.Fatalf("class %s: key-scope %q", c.Name, c.Scope)
		}
	default:
		t.Fatalf("class %s: repeat %q", c.Name, c.Repeat)
	}
	return want
}

// keysOfNoDecision are the keys that nothing is decided by, each with the reason.
var keysOfNoDecision = map[string]string{
	"ceilings.cpu-us-per-request": "what the program may use is measured, not told to it",
	"ceilings.cpu-us-per-s":       "as above; limits.cores sets the runtime",
	"ceilings.streams-per-conn":   "HTTP/1.1 has one request at a time on a connection",
	"clients.marks-retry":         "a mark counts where it is there",
	"contracts.#.cap-slack":       "limits are kept without their slack",
	"domain-type":                 "the program serves stores alone",
	"extra.changes-data.#":        "the method tells a write",
	"extra.spare-worth":           "the order of the bands holds for any worth",
	"extra.within-share":          "as above",
	"goal.whole":                  "how a day is judged",
	"goal.worst-class":            "how a day is judged",
	"goal.worst-tenant":           "how a day is judged",
	"goal.worst-window":           "how a day is judged",
	"kinds.#":                     "a node's kind decides nothing",
	"prices.connection":           "connections are kept to what is used",
	"prices.cross-zone":           "a shard is held by one node, whatever its zone",
	"prices.late-fail":            "not weighed",
	"prices.moves":                "nothing is moved",
	"prices.origin":               "there is no origin",
	"prices.peer":                 "no messages to peers on the platform",
	"prices.probe":                "no probes for load are sent",
	"prices.waste":                "not weighed",
	"report.how":                  "load reports decide nothing",
	"report.names.#":              "load reports decide nothing",
	"rules.answer-slack":          "answers are due before the client goes",
	"tick":                        "the simulator's alone",
	"tier":                        "one tier",
	"tiers.#":                     "one tier",
	"weight-kind":                 "a node's weight decides nothing",
	"zones.#":                     "zones are compared by the names that nodes have",
}

// A key of the settings is read, or stands among those that decide nothing: each figure, word and flag is
// changed in turn, and either what is read changes with it or the key is one of those.
func TestDeploymentKeysAreReadOrOfNoDecision(t *testing.T) {
	read, unread := map[string]bool{}, map[string]bool{}
	for _, s := range deployments(t) {
		s = s.withBudget(t)
		var file map[string]any
		if err := json.Unmarshal(s.text, &file); err != nil {
			t.Fatal(err)
		}
		was := *s.conf
		was.raw = nil
		changeEach(file["settings"], "", func(key string) {
			text, err := json.Marshal(file)
			if err != nil {
				t.Fatal(err)
			}
			is, err := Parse(text, none)
			if err != nil {
				t.Fatalf("%s: %s changed: %v", s.name, key, err)
			}
			is.raw, is.CachedList = nil, was.CachedList
			if reflect.DeepEqual(*is, was) {
				unread[key] = true
			} else {
				read[key] = true
			}
		})
	}
	for _, key := range slices.Sorted(maps.Keys(unread)) {
		if !read[key] && keysOfNoDecision[key] == "" {
			t.Errorf("%s: not read", key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keysOfNoDecision)) {
		if read[key] {
			t.Errorf("%s: read, though it is said to decide nothing", key)
		} else if !unread[key] {
			t.Errorf("%s: no variant has it", key)
		}
	}
	if len(read) < 40 {
		t.Errorf("%d keys read: %v", len(read), slices.Sorted(maps.Keys(read)))
	}
}

// otherWord is a word that a key of words may have instead.
var otherWord = map[string]string{"safe": "unsafe", "keyed": "safe", "unsafe": "safe", "push": "ask", "ask": "push",
	"all": "zone", "zone": "cell", "cell": "all"}

// changeEach changes every value in turn, tells its key and puts it back. Entries of a list share a key.
func changeEach(v any, key string, changed func(key string)) {
	at := func(value any, set func(any), key string) {
		switch was := value.(type) {
		case map[string]any, []any:
			changeEach(value, key, changed)
			return
		case float64:
			set(2*was + 1)
		case bool:
			set(!was)
		case string:
			if other := otherWord[was]; other != "" {
				set(other)
			} else {
				set(was + "x")
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

// A variant's configuration is that of the site file beside it: its classes, effects and plans, in order.
func TestDeploymentConfigurationIsOfItsSite(t *testing.T) {
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
		for _, c := range s.told.Profiles {
			classes, effects = append(classes, c.Name), append(effects, c.Repeat)
		}
		for _, p := range s.told.Contracts {
			plans = append(plans, p.Name)
		}
		for _, x := range [][2][]string{{classes, all(siteClassName)}, {effects, all(siteEffect)}, {plans, all(sitePlanName)}} {
			if len(x[0]) == 0 || !slices.Equal(x[0], x[1]) {
				t.Errorf("%s: configuration %v, site file %v", s.name, x[0], x[1])
			}
		}
		counts[fmt.Sprint(len(classes), " classes, ", len(plans), " plans")] = true
	}
	if counts["3 classes, 3 plans"] || len(counts) < sitesLeast {
		t.Errorf("the variants are to differ from the first site and from each other: %v", counts)
	}
}
