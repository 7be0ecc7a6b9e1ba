// Package workload models the load: when requests are due and what each requests. It is
// deterministic: a Schedule draws from a seed (PCG), reads no clock and sees no responses, so the same
// shape and seed give the same requests whatever the server does. Requests are generated one at a
// time, on each call of Next.
//
// Invariants: times never decrease; every field of a request is determined by the seed and the shape;
// the number of requests over a long span approaches the integral of the shape's rate; a Schedule's
// memory does not grow with the number of requests generated.
package workload

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"time"

	"wheatsaddle/internal/testkit/exampleconfig"
)

// Shape describes the traffic. Times are milliseconds, in JSON and in Go.
type Shape struct {
	Process  string    `json:"process"` // poisson or constant
	Rate     float64   `json:"rate"`    // requests per second, before steps and surges
	Classes  []Class   `json:"classes"`
	Plans    []Plan    `json:"plans"`
	Volumes  int       `json:"volumes"`
	Skew     float64   `json:"skew"`      // Zipf exponent of the volumes' shares; 0: equal shares
	Hosts    int       `json:"hosts"`     // schedulers that a volume's requests go through
	Uneven   float64   `json:"uneven"`    // share of a volume's requests that its busiest host sends; 0: equal shares
	SwapLow  float64   `json:"swap_low"`  // shortest time between changes of the busiest host, ms
	SwapHigh float64   `json:"swap_high"` // longest time between changes, ms
	Units    []float64 `json:"units"`     // weights of the sizes 1, 2, ... units
	Shards   int       `json:"shards"`
	Runs     int       `json:"runs"`     // longest run of successive requests for one extent
	NewShare float64   `json:"new"`      // share of writes that create a new object
	ReadNew  float64   `json:"read_new"` // share of reads of a recently created object
	Steps    []Step    `json:"steps"`
	Surges   *Surges   `json:"surges"`
	Extents  int       `json:"extents"` // extents per volume
}

// Class is one class of requests and its share of them.
type Class struct {
	Name      string  `json:"name"`
	Share     float64 `json:"share"`
	Deadline  float64 `json:"deadline"`   // ms
	Aim       float64 `json:"aim"`        // latency objective, ms
	Worth     float64 `json:"worth"`      // worth of a request that is served within Aim
	LateWorth float64 `json:"late_worth"` // worth of a request that is served later
	Write     bool    `json:"write"`
	Keyed     bool    `json:"keyed"` // each request has its own key, by which nodes drop repeats
}

// Plan is a plan and its share of the volumes.
type Plan struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Step changes the rate at a time to a multiple of the shape's rate. If Over is above 0, the rate
// changes linearly over that span (a ramp).
type Step struct {
	At    float64 `json:"at"` // ms
	Times float64 `json:"times"`
	Over  float64 `json:"over"` // ms
}

// Surges are periods in which a few volumes send many more requests.
type Surges struct {
	Every   float64 `json:"every"`   // mean time from the end of one surge to the start of the next, ms
	First   float64 `json:"first"`   // start of the first surge, ms; 0: drawn
	Least   float64 `json:"least"`   // shortest length, ms
	Most    float64 `json:"most"`    // longest length, ms
	Times   float64 `json:"times"`   // total rate during a surge, as a multiple
	Volumes int     `json:"volumes"` // number of volumes drawn for a surge; one may be drawn repeatedly
}

// Default returns the traffic of the example configuration, with surges.
func Default() (s Shape) {
	d := json.NewDecoder(bytes.NewReader(exampleconfig.Shape))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		panic("embedded example shape: " + err.Error()) // cannot happen: the shape is embedded in the program
	}
	return s
}

// Limits of a shape.
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

// Parse decodes a shape; keys that are absent keep their default values. The caller has validated the
// text against Schema; Parse runs Check for the remaining rules.
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

// Check returns an error that names the first invalid key.
func (s *Shape) Check() error {
	keyError := func(key, form string, args ...any) error {
		return fmt.Errorf("shape: %s: %s", key, fmt.Sprintf(form, args...))
	}
	if s.Process != "poisson" && s.Process != "constant" {
		return keyError("process", "%q must be poisson or constant", s.Process)
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
			return keyError(x.key, "%v must be between %v and %v", x.is, x.least, x.most)
		}
	}
	if s.Uneven > 0 && s.Hosts > 1 && !(s.SwapLow >= 1 && s.SwapHigh >= s.SwapLow) {
		return keyError("swap_low", "%v to %v must be a range that starts at 1 ms or more", s.SwapLow, s.SwapHigh)
	}
	names := map[string]bool{}
	sum := 0.0
	for i, c := range s.Classes {
		if c.Name == "" || names[c.Name] || !(c.Share >= 0) || !(c.Deadline >= 1) || !(c.Aim > 0 && c.Aim <= c.Deadline) {
			return keyError(fmt.Sprintf("classes.%d", i), "%+v: needs a unique name, a share of 0 or more, a deadline of 1 ms or more, and an aim above 0 and up to the deadline", c)
		}
		names[c.Name] = true
		sum += c.Share
	}
	if !(sum > 0) {
		return keyError("classes", "the sum of the shares must be above 0")
	}
	if sum = 0; len(s.Plans) > 0 {
		for i, p := range s.Plans {
			if p.Name == "" || names["plan "+p.Name] || !(p.Share >= 0) {
				return keyError(fmt.Sprintf("plans.%d", i), "%+v: needs a unique name and a share of 0 or more", p)
			}
			names["plan "+p.Name] = true
			sum += p.Share
		}
		if !(sum > 0) {
			return keyError("plans", "the sum of the shares must be above 0")
		}
	}
	sum = 0
	for i, w := range s.Units {
		if !(w >= 0) {
			return keyError(fmt.Sprintf("units.%d", i), "weight %v must be 0 or more", w)
		}
		sum += w
	}
	if !(sum > 0) {
		return keyError("units", "the sum of the weights must be above 0")
	}
	last := 0.0
	for i, t := range s.Steps {
		if !(t.At >= last) || !(t.Times >= 0 && t.Times <= 1e6) || !(t.Over >= 0) {
			return keyError(fmt.Sprintf("steps.%d", i), "%+v: must not start before the end of the step before; times must be between 0 and 1e6 and over must be 0 or more", t)
		}
		last = t.At + t.Over
	}
	if u := s.Surges; u != nil {
		if !(u.Every >= 1) || !(u.Least >= 1 && u.Most >= u.Least) || !(u.Times >= 1 && u.Times <= 1000) || u.Volumes < 1 {
			return keyError("surges", "%+v: every, least and volumes must be 1 or more, most must be least or more, times must be between 1 and 1000", *u)
		}
	}
	return nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }
