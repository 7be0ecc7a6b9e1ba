// Package cost owns the estimate of what each way of doing a piece of work would cost: a plan is a
// tree of reads and writes on shards, and the answer says the work at the nodes, when it would end,
// what it takes of the volume's limit and of the cold budget, the chance that it is served in time,
// what all this rests on, and the order of the plans.
//
// It is a decision module: no I/O, clock, goroutine or lock; one caller at a time.
//
// Invariants, in the words of the tests:
//   - all never ends before any of its steps, and any never after; the k-th of lies between them
//   - then adds: the mean of a chain is the sum of the means
//   - more evidence moves a node's line from its type and the fleet towards the node's own
//   - an estimate does not depend on the order of the views
//   - no figure is NaN or infinite, whatever the views and plans
//   - the order is total, and what cannot be told apart is symmetric
//   - a plan without end (a cycle) or over a bound is an error that names the step
//
// Sources: Bühlmann and Straub, Glaubwürdigkeit für Schadensätze (1970), for the weights; Jewell, The use
// of collateral data in credibility theory (1975), for node, type, fleet; Bühlmann and Gisler, A Course in
// Credibility Theory (2005), 4.8, 6 and 8.4, for the estimators and the line about the barycentre;
// Hoeffding's products of distribution functions for all and any; see docs/design/cost.md.
package cost

import (
	"encoding/json"
	"math"
	"time"

	"wheatsaddle/internal/operr"
)

// The bounds of a question.
const (
	PlansMost  = 256
	StepsMost  = 1024 // of one plan, references counted as often as they are used
	DepthMost  = 64
	QuorumMost = 16 // steps of one "of"
	SpreadMost = 8  // nodes of a shard that a step without a node is shared out over: those of the widest windows
	unitsMost  = 1e9
	figureMost = 1e12 // of anything in a view
)

// Settings are the estimate's.
type Settings struct {
	Classes []string
	Shards  int             // 0: as the views name them
	Limits  map[string]Rate // limits of volumes, by the name that plans use
	Views   int             // most views that are kept
	Prior   Prior
	Prices  Prices
	Doubt   float64 // plans closer than so many standard errors cannot be told apart
}

// Rate is a limit in units: so many a second, and at most Burst saved up.
type Rate struct{ PerSecond, Burst float64 }

// Prior is what is supposed before any answer.
type Prior struct {
	Millis, PerUnit float64 // a line of service time
	Spread          float64 // standard deviation over mean: of one answer, and between nodes
	Least           float64 // nodes of one type, and types, differ by this part at least
	Refused         float64 // chance that a step is not served
}

// Prices make one figure of a plan, in milliseconds.
type Prices struct {
	Work float64 // of a millisecond at a node
	End  float64 // of a millisecond until the end
	Late float64 // of a plan that is refused or late, in deadlines
}

// Defaults are settings for the given classes.
func Defaults(classes ...string) Settings {
	return Settings{Classes: classes, Views: 1 << 16, Doubt: 1.64,
		Prior:  Prior{Millis: 5, PerUnit: 1, Spread: 0.5, Least: 0.02, Refused: 0.01},
		Prices: Prices{Work: 1, End: 1, Late: 1}}
}

// Check names the first setting that cannot be.
func (s Settings) Check() error {
	num := func(key string, v, least, most float64) error {
		if !(v >= least && v <= most) {
			return &BadSetting{Key: key, Value: v, Want: wantRange(least, most)}
		}
		return nil
	}
	if len(s.Classes) == 0 {
		return &BadSetting{Key: "classes", Want: "one or more"}
	}
	errs := []error{num("shards", float64(s.Shards), 0, 1<<20), num("views", float64(s.Views), 1, 1<<22),
		num("doubt", s.Doubt, 0, 100), num("prior.millis", s.Prior.Millis, 0, 1e6), num("prior.per_unit", s.Prior.PerUnit, 0, 1e6),
		num("prior.spread", s.Prior.Spread, 0.01, 10), num("prior.least", s.Prior.Least, 1e-4, 1), num("prior.refused", s.Prior.Refused, 0, 1),
		num("prices.work", s.Prices.Work, 0, 1e6), num("prices.end", s.Prices.End, 0, 1e6), num("prices.late", s.Prices.Late, 0, 1e6)}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	for _, name := range sortedKeys(s.Limits) {
		if l := s.Limits[name]; !(l.PerSecond > 0 && l.PerSecond <= unitsMost && l.Burst >= 0 && l.Burst <= unitsMost) {
			return &BadSetting{Key: "limits." + name, Value: l.PerSecond, Want: "a rate above 0 and a burst of 0 or more"}
		}
	}
	return nil
}

// Plan is one way of doing a piece of work.
type Plan struct {
	Name  string
	Limit string  // the limit it counts against, of Settings.Limits; "": none
	Left  float64 // units the limit has saved up; below 0: its burst
	Root  Step
}

// Step is one of: Work, Then (one after the other), All (at once, to the last), Any (at once, to the
// first), Of (at once, to the k-th). What is begun at once is work at the nodes, also where another ends first.
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
	Node  string // "": as the windows of the shard's nodes share it out
}

// Quorum waits for the k-th of its steps.
type Quorum struct {
	K     int
	Steps []Step
}

// Level is how far up an estimate had to look.
type Level int

// The levels, from the firmest.
const (
	FromNode Level = iota
	FromType
	FromFleet
	FromSettings
)

var levels = [...]string{"node", "type", "fleet", "settings"}

func (l Level) String() string { return levels[l] }

// MarshalText implements encoding.TextMarshaler.
func (l Level) MarshalText() ([]byte, error) { return []byte(l.String()), nil }

// TypeWork is the work at nodes of one type.
type TypeWork struct {
	Type   string  `json:"type"`
	Millis float64 `json:"node_ms"`
}

// Basis is what an estimate rests on: the weakest of the plan's steps.
type Basis struct {
	Level   Level   `json:"level"`   // most of the weakest step's estimate comes from here
	Origins int     `json:"origins"` // processes that told, at least
	Answers float64 `json:"answers"` // decayed count, at least
	AgeMs   float64 `json:"age_ms"`  // of the newest answer, at most
	Trust   float64 `json:"trust"`   // share of the estimate that the nodes' own answers carry, 0 to 1
}

// Answer is the estimate for one plan.
type Answer struct {
	Name   string     `json:"name"`
	Cost   float64    `json:"cost"`     // what the order goes by
	Doubt  float64    `json:"doubt"`    // its standard error
	Work   []TypeWork `json:"work"`     // by type
	Mean   float64    `json:"mean_ms"`  // of the end
	Low    float64    `json:"p5_ms"`    // with High the 90% interval of the end
	P50    float64    `json:"p50_ms"`   //
	P90    float64    `json:"p90_ms"`   //
	High   float64    `json:"p95_ms"`   //
	P99    float64    `json:"p99_ms"`   //
	Chance float64    `json:"in_time"`  // served, and by the deadline
	Served float64    `json:"served"`   // served at all
	Units  float64    `json:"units"`    //
	Held   float64    `json:"held_ms"`  // by the volume's limit, before it may begin
	Cold   float64    `json:"cold"`     // units on cold nodes
	Basis  Basis      `json:"rests_on"` //
	Alike  []int      `json:"alike"`    // places in the order of the plans that cannot be told apart from it
}

// Ranking is the plans in order, the cheapest first.
type Ranking struct {
	DeadlineMs float64  `json:"deadline_ms"`
	Plans      []Answer `json:"plans"`
	Views      int      `json:"views"`   // that the estimates rest on
	Dropped    int      `json:"dropped"` // views that could not be
}

// JSON is the ranking's text.
func (r Ranking) JSON() ([]byte, error) { return json.Marshal(r) }

func finite(v float64) bool { return !math.IsNaN(v) && math.Abs(v) <= figureMost }

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func init() {
	operr.Register(&BadSetting{}, &BadPlans{}, &UnknownName{}, &Cycle{}, &BadFigure{}, &TooMuch{}, &OutOfTime{})
}
