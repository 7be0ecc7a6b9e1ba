// Package workload is the model of the load: when requests are due and what each asks for. It is
// pure: a Schedule draws from a seed (PCG), reads no clock and knows no answers, so the same shape
// and seed give the same requests whatever the server does. Requests are made one by one, as they
// are asked for.
//
// Invariants: times never fall; a request's every field comes from the seed and the shape; the
// mean rate over a long span is the integral of the shape's rate; a Schedule's memory does not
// grow with the requests it has given.
package workload

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"wheatsaddle/internal/testkit/exampleconfig"
)

// Shape is the traffic. Times are milliseconds in its JSON.
type Shape struct {
	Process  string    `json:"process"` // poisson or constant
	Rate     float64   `json:"rate"`    // requests a second, before steps and surges
	Classes  []Class   `json:"classes"`
	Plans    []Plan    `json:"plans"`
	Volumes  int       `json:"volumes"`
	Skew     float64   `json:"skew"`     // Zipf's exponent of the volumes' shares; 0: even
	Hosts    int       `json:"hosts"`    // schedulers a volume's requests come through
	Uneven   float64   `json:"uneven"`   // share of a volume's requests by its busiest host; 0: even
	SwapLow  float64   `json:"swap_low"` // the busiest host changes every so often, ms
	SwapHigh float64   `json:"swap_high"`
	Units    []float64 `json:"units"` // weights of sizes 1, 2, ...
	Shards   int       `json:"shards"`
	Runs     int       `json:"runs"`     // most requests in a row on one piece of data
	NewShare float64   `json:"new"`      // share of writes that make a new object
	ReadNew  float64   `json:"read_new"` // share of reads that go to an object made lately
	Steps    []Step    `json:"steps"`
	Surges   *Surges   `json:"surges"`
	Extents  int       `json:"extents"` // pieces of data of a volume
}

// Class is one class of requests and its part of them.
type Class struct {
	Name      string  `json:"name"`
	Share     float64 `json:"share"`
	Deadline  float64 `json:"deadline"` // ms
	Aim       float64 `json:"aim"`      // ms
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"`
	Write     bool    `json:"write"`
	Keyed     bool    `json:"keyed"`
}

// Plan is a plan and its part of the volumes.
type Plan struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Step sets the rate from a time on, as a multiple of the shape's; over a span it gets there in a
// straight line (a ramp).
type Step struct {
	At    float64 `json:"at"` // ms
	Times float64 `json:"times"`
	Over  float64 `json:"over"` // ms
}

// Surges are spells in which a few volumes ask for much more.
type Surges struct {
	Every   float64 `json:"every"` // mean time from the end of one to the next, ms
	First   float64 `json:"first"` // start of the first, ms; 0: drawn
	Least   float64 `json:"least"` // length, ms
	Most    float64 `json:"most"`
	Times   float64 `json:"times"` // the whole rate, as a multiple
	Volumes int     `json:"volumes"`
}

// Default is the traffic of the examples, with surges.
func Default() (s Shape) {
	d := json.NewDecoder(bytes.NewReader(exampleconfig.Shape))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		panic("the example shape: " + err.Error()) // it is part of the program
	}
	return s
}

// MaxClasses and the others bound a shape.
const (
	MaxClasses = 16
	MaxPlans   = 16
	maxVolumes = 1 << 20
	maxSizes   = 64
)

// Schema is the JSON Schema of a shape (draft 2020-12).
//
//go:embed shape.schema.json
var Schema []byte

// Parse reads a shape over the defaults; what it names takes their place. The text has been
// checked against the schema by the caller, Check says the rest.
func Parse(text []byte) (Shape, error) {
	s := Default()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("shape: %w", err)
	}
	err := s.Check()
	return s, err
}

// Check names the first key that is out of bounds.
func (s *Shape) Check() error {
	bad := func(key, form string, args ...any) error {
		return fmt.Errorf("shape: %s: %s", key, fmt.Sprintf(form, args...))
	}
	if s.Process != "poisson" && s.Process != "constant" {
		return bad("process", "%q is neither poisson nor constant", s.Process)
	}
	for _, x := range []struct {
		key             string
		is, least, most float64
	}{
		{"rate", s.Rate, 0.001, 1e6}, {"volumes", float64(s.Volumes), 1, maxVolumes}, {"skew", s.Skew, 0, 5},
		{"hosts", float64(s.Hosts), 1, 1024}, {"uneven", s.Uneven, 0, 1}, {"units", float64(len(s.Units)), 1, maxSizes},
		{"shards", float64(s.Shards), 1, 1e6}, {"runs", float64(s.Runs), 1, 1000}, {"new", s.NewShare, 0, 1},
		{"read_new", s.ReadNew, 0, 1}, {"extents", float64(s.Extents), 1, 1e6}, {"classes", float64(len(s.Classes)), 1, MaxClasses},
		{"plans", float64(len(s.Plans)), 1, MaxPlans}, {"steps", float64(len(s.Steps)), 0, 1000},
	} {
		if !(x.is >= x.least && x.is <= x.most) {
			return bad(x.key, "%v is not from %v to %v", x.is, x.least, x.most)
		}
	}
	if s.Uneven > 0 && s.Hosts > 1 && !(s.SwapLow >= 1 && s.SwapHigh >= s.SwapLow) {
		return bad("swap_low", "%v to %v is no span of time", s.SwapLow, s.SwapHigh)
	}
	names := map[string]bool{}
	sum := 0.0
	for i, c := range s.Classes {
		if c.Name == "" || names[c.Name] || !(c.Share >= 0) || !(c.Deadline >= 1) || !(c.Aim > 0 && c.Aim <= c.Deadline) {
			return bad(fmt.Sprintf("classes.%d", i), "%+v: a name of its own, a share, a deadline and an aim up to it are needed", c)
		}
		names[c.Name] = true
		sum += c.Share
	}
	if !(sum > 0) {
		return bad("classes", "their shares are 0")
	}
	if sum = 0; len(s.Plans) > 0 {
		for i, p := range s.Plans {
			if p.Name == "" || names["plan "+p.Name] || !(p.Share >= 0) {
				return bad(fmt.Sprintf("plans.%d", i), "%+v: a name of its own and a share are needed", p)
			}
			names["plan "+p.Name] = true
			sum += p.Share
		}
		if !(sum > 0) {
			return bad("plans", "their shares are 0")
		}
	}
	sum = 0
	for i, w := range s.Units {
		if !(w >= 0) {
			return bad(fmt.Sprintf("units.%d", i), "%v is no weight", w)
		}
		sum += w
	}
	if !(sum > 0) {
		return bad("units", "the weights are 0")
	}
	last := 0.0
	for i, t := range s.Steps {
		if !(t.At >= last) || !(t.Times >= 0 && t.Times <= 1e6) || !(t.Over >= 0) {
			return bad(fmt.Sprintf("steps.%d", i), "%+v: times must not fall, and be from 0 to 1e6", t)
		}
		last = t.At + t.Over
	}
	if u := s.Surges; u != nil {
		if !(u.Every >= 1) || !(u.Least >= 1 && u.Most >= u.Least) || !(u.Times >= 1 && u.Times <= 1000) || u.Volumes < 1 {
			return bad("surges", "%+v: every, least up to most, times from 1, volumes from 1 are needed", *u)
		}
	}
	return nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
