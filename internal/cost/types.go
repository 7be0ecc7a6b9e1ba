// Package cost estimates and ranks query plans. A plan is a tree of reads and writes on shards. Its estimate
// contains the work at the nodes, the completion time, the delay by the volume's rate limit, the units on nodes in
// slow start, the probability that the plan is served by the deadline, and how much data the estimate is based on.
//
// The package does no I/O, reads no clock, and starts no goroutine. An Estimator is not safe for concurrent use.
//
// Invariants, which the tests check:
//   - An "all" step never ends before any of its steps, an "any" step never after any of them, and an "of" step ends
//     between the two.
//   - The mean of a "then" step is the sum of the means of its steps.
//   - The more answers a node has, the closer its estimate is to the node's own mean, and the farther from the means
//     of its type and of the fleet.
//   - An estimate does not depend on the order of the views.
//   - No value is NaN or infinite, whatever the views and plans are.
//   - The order of the plans is total, and the relation "cannot be distinguished" is symmetric.
//   - A plan that contains a cycle or exceeds a limit is rejected with an error that names the step.
//
// Sources: the credibility weights are from Bühlmann and Straub, Glaubwürdigkeit für Schadensätze (1970); the hierarchy
// of node, type and fleet from Jewell, The use of collateral data in credibility theory (1975); the estimators and the
// regression centred at the mean of the units (the barycentre) from Bühlmann and Gisler, A Course in Credibility Theory
// (2005), 4.8, 6 and 8.4. "All" and "any" use products of distribution functions (Hoeffding). See docs/design/cost.md.
package cost

import (
	"encoding/json"
	"math"
	"time"

	"wheatsaddle/internal/operr"
)

// Limits of the input of one estimate.
const (
	MaxPlans         = 256
	MaxSteps         = 1024 // in one plan; a named step counts at each reference
	MaxDepth         = 64
	MaxQuorumSteps   = 16 // steps of one "of"
	MaxNodesPerShard = 8  // nodes of a shard, those with the largest windows, over which a step without a node is distributed
	maxUnits         = 1e9
	maxValue         = 1e12 // of any number in a view
)

// Settings configure an Estimator.
type Settings struct {
	Classes           []string
	Shards            int             // 0: the shards that appear in the views
	Limits            map[string]Rate // rate limits of volumes, by the name that plans use
	MaxViews          int             // views above this number are dropped
	Prior             Prior
	Prices            Prices
	MinStandardErrors float64 // plans that differ by at most this many standard errors cannot be distinguished
}

// Rate is a token bucket in units of work: its refill rate and its capacity.
type Rate struct{ PerSecond, Burst float64 }

// Prior is assumed of a class in which no node has answers. While there are few answers, it still has a part in the
// estimates of the variances and of the failure rate.
type Prior struct {
	BaseMillis, MillisPerUnit float64 // service time at 0 units, and its increase per unit
	CV                        float64 // coefficient of variation (standard deviation over mean) of single answers, and of the means of nodes
	MinCV                     float64 // least coefficient of variation between the nodes of a type, and between types
	FailureRate               float64 // probability that a step is not served
}

// Prices are the weights that combine the parts of an estimate into one cost, in milliseconds.
type Prices struct {
	Work float64 // of a millisecond of work at a node
	End  float64 // of a millisecond until completion
	Late float64 // of a plan that is not served by the deadline, in deadlines
}

// Defaults returns settings for the given classes.
func Defaults(classes ...string) Settings {
	return Settings{Classes: classes, MaxViews: 1 << 16, MinStandardErrors: 1.64,
		Prior:  Prior{BaseMillis: 5, MillisPerUnit: 1, CV: 0.5, MinCV: 0.02, FailureRate: 0.01},
		Prices: Prices{Work: 1, End: 1, Late: 1}}
}

// Check returns a SettingError for the first invalid setting.
func (s Settings) Check() error {
	checkRange := func(key string, v, minValue, maxValue float64) error {
		if !(v >= minValue && v <= maxValue) {
			return &SettingError{Key: key, Value: v, Expected: formatRange(minValue, maxValue)}
		}
		return nil
	}
	if len(s.Classes) == 0 {
		return &SettingError{Key: "classes", Expected: "one or more"}
	}
	errs := []error{checkRange("shards", float64(s.Shards), 0, 1<<20), checkRange("views", float64(s.MaxViews), 1, 1<<22),
		checkRange("doubt", s.MinStandardErrors, 0, 100), checkRange("prior.millis", s.Prior.BaseMillis, 0, 1e6), checkRange("prior.per_unit", s.Prior.MillisPerUnit, 0, 1e6),
		checkRange("prior.spread", s.Prior.CV, 0.01, 10), checkRange("prior.least", s.Prior.MinCV, 1e-4, 1), checkRange("prior.refused", s.Prior.FailureRate, 0, 1),
		checkRange("prices.work", s.Prices.Work, 0, 1e6), checkRange("prices.end", s.Prices.End, 0, 1e6), checkRange("prices.late", s.Prices.Late, 0, 1e6)}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(s.Limits) {
		if l := s.Limits[name]; !(l.PerSecond > 0 && l.PerSecond <= maxUnits && l.Burst >= 0 && l.Burst <= maxUnits) {
			return &SettingError{Key: "limits." + name, Value: l.PerSecond, Expected: "a rate above 0 and a burst of 0 or more"}
		}
	}
	return nil
}

// Plan is one of several equivalent ways to execute a query.
type Plan struct {
	Name  string
	Limit string  // the rate limit of Settings.Limits that applies to the plan; empty: none
	Left  float64 // units available in the limit's token bucket; below 0: the bucket is full
	Root  Step
}

// Step is exactly one of: Work; Then (sequential steps); All, Any and Of (parallel steps, until all, the first or the
// k-th of them have ended). Every parallel step counts as work at its nodes, also if another one ends the step first.
type Step struct {
	Work           *Work
	Then, All, Any []Step
	Of             *Quorum
}

// Work is one read or write.
type Work struct {
	Shard int
	Class string
	Units float64
	Node  string // empty: distributed over the shard's nodes in proportion to their windows
}

// Quorum runs its steps in parallel and ends when K of them have ended.
type Quorum struct {
	K     int
	Steps []Step
}

// Level is the level of the hierarchy (node, type, fleet, settings) that most of an estimate comes from.
type Level int

// The levels, from the most to the least specific.
const (
	FromNode Level = iota
	FromType
	FromFleet
	FromSettings
)

var levelNames = [...]string{"node", "type", "fleet", "settings"}

func (l Level) String() string { return levelNames[l] }

// MarshalText implements encoding.TextMarshaler.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// TypeWork is the work at nodes of one type.
type TypeWork struct {
	Type   string  `json:"type"`
	Millis float64 `json:"node_ms"`
}

// Basis describes the data behind an estimate. All but Trust are those of the step with the least data.
type Basis struct {
	Level   Level   `json:"level"`   // least specific level of a step
	Origins int     `json:"origins"` // least number of processes that reported a node
	Answers float64 `json:"answers"` // least decayed number of answers
	AgeMs   float64 `json:"age_ms"`  // greatest age of a node's newest answer
	Trust   float64 `json:"trust"`   // share of the estimate that is based on the nodes' own answers, 0 to 1
}

// Answer is the estimate for one plan.
type Answer struct {
	Name   string     `json:"name"`
	Cost   float64    `json:"cost"`     // by which the plans are ordered
	Doubt  float64    `json:"doubt"`    // standard error of Cost
	Work   []TypeWork `json:"work"`     // by type
	Mean   float64    `json:"mean_ms"`  // of the completion time
	Low    float64    `json:"p5_ms"`    // with High the 90% interval of the completion time
	P50    float64    `json:"p50_ms"`   //
	P90    float64    `json:"p90_ms"`   //
	High   float64    `json:"p95_ms"`   //
	P99    float64    `json:"p99_ms"`   //
	Chance float64    `json:"in_time"`  // probability that it is served by the deadline
	Served float64    `json:"served"`   // probability that it is served
	Units  float64    `json:"units"`    //
	Held   float64    `json:"held_ms"`  // delay by the volume's rate limit before it can start
	Cold   float64    `json:"cold"`     // units on nodes that are warming up
	Basis  Basis      `json:"rests_on"` //
	Alike  []int      `json:"alike"`    // positions in the ranking of the plans that cannot be distinguished from it
}

// Ranking holds the estimates in order of their cost, the cheapest first.
type Ranking struct {
	DeadlineMs float64  `json:"deadline_ms"`
	Plans      []Answer `json:"plans"`
	Views      int      `json:"views"`   // number of views used
	Dropped    int      `json:"dropped"` // number of views that were invalid, outdated or over the limit
}

// JSON encodes the ranking.
func (r Ranking) JSON() ([]byte, error) { return json.Marshal(r) }

func finite(v float64) bool { return !math.IsNaN(v) && math.Abs(v) <= maxValue }

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func init() {
	operr.Register(&SettingError{}, &MalformedPlansError{}, &UnknownNameError{}, &CycleError{}, &ValueError{}, &LimitError{}, &TimeoutError{})
}
