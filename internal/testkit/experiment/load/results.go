package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheatsaddle/internal/testkit/client"
	"wheatsaddle/internal/testkit/loadvalidity"
	"wheatsaddle/internal/testkit/workload"
)

// Histogram is a histogram of times in microseconds.
type Histogram struct{ *hdrhistogram.Histogram }

const (
	maxMicros                 = int64(10 * time.Minute / time.Microsecond)
	significantDigits         = 3
	significantDigitsBySecond = 2 // fewer digits, because there is a histogram for each class and second
)

func newHistogram(digits int) Histogram { return Histogram{hdrhistogram.New(1, maxMicros, digits)} }

// Record adds a time without allocating.
func (t Histogram) Record(d time.Duration) {
	_ = t.RecordValue(min(max(1, d.Microseconds()), maxMicros)) // the value is clamped to the histogram's range, so this cannot fail
}

// Quantile returns the quantile q, from 0 to 1.
func (t Histogram) Quantile(q float64) time.Duration {
	return time.Duration(t.ValueAtQuantile(100*q)) * time.Microsecond
}

// MarshalJSON encodes the histogram in HdrHistogram's compressed format, in base64.
func (t Histogram) MarshalJSON() ([]byte, error) {
	b, err := t.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(b))
}

// UnmarshalJSON decodes the format of MarshalJSON.
func (t *Histogram) UnmarshalJSON(text []byte) error {
	var s string
	if err := json.Unmarshal(text, &s); err != nil {
		return err
	}
	h, err := hdrhistogram.Decode([]byte(s))
	if err != nil {
		return fmt.Errorf("histogram: %w", err)
	}
	t.Histogram = h
	return nil
}

// Outcomes counts the outcomes of a subset of the requests: those of a class, of a plan, or of a class in one second.
type Outcomes struct {
	Arrivals    uint64                      `json:"asked"` // including those not sent
	Unsent      uint64                      `json:"kept"`  // arrivals that were not sent
	ByOutcome   [client.OutcomeCount]uint64 `json:"ends"`
	InAim       uint64                      `json:"in_aim"`       // served within the class's Aim, from the due time
	Retried     uint64                      `json:"retried"`      // retried once by the client
	Reopened    uint64                      `json:"reopened"`     // sent again after the server closed a reused connection
	WorthDue    float64                     `json:"worth_due"`    // sum of the classes' Worth, over all arrivals
	WorthEarned float64                     `json:"worth_earned"` // sum of Worth or LateWorth, over the served requests
	Latency     Histogram                   `json:"latency"`      // of served requests, from the due time
	Service     Histogram                   `json:"service"`      // of served requests, from the actual send time
}

func newOutcomes(digits int) *Outcomes {
	return &Outcomes{Latency: newHistogram(digits), Service: newHistogram(digits)}
}

func (p *Outcomes) merge(o *Outcomes) {
	p.Arrivals, p.Unsent, p.InAim, p.Retried, p.Reopened = p.Arrivals+o.Arrivals, p.Unsent+o.Unsent, p.InAim+o.InAim, p.Retried+o.Retried, p.Reopened+o.Reopened
	for i, n := range o.ByOutcome {
		p.ByOutcome[i] += n
	}
	p.WorthDue, p.WorthEarned = p.WorthDue+o.WorthDue, p.WorthEarned+o.WorthEarned
	p.Latency.Merge(o.Latency.Histogram)
	p.Service.Merge(o.Service.Histogram)
}

// ServedShare is the share of the worth due that was earned.
func (p *Outcomes) ServedShare() float64 {
	if p.WorthDue == 0 {
		return 0
	}
	return p.WorthEarned / p.WorthDue
}

// Results are the results of a run, or of one worker of it.
type Results struct {
	Shape     workload.Shape               `json:"shape"`
	Took      time.Duration                `json:"took"`
	Generator *loadvalidity.GeneratorStats `json:"notes"` // what the load generator recorded about itself
	Classes   map[string]*Outcomes         `json:"classes"`
	Plans     map[string]*Outcomes         `json:"plans"`
	Seconds   []map[string]*Outcomes       `json:"seconds"`  // by second, then by class
	Unplaced  uint64                       `json:"unplaced"` // reads of a new object whose shard was not known when they were sent
}

// NewResults returns empty results.
func NewResults(s workload.Shape, n *loadvalidity.GeneratorStats) *Results {
	r := &Results{Shape: s, Generator: n, Classes: map[string]*Outcomes{}, Plans: map[string]*Outcomes{}}
	for _, c := range s.Classes {
		r.Classes[c.Name] = newOutcomes(significantDigits)
	}
	for _, p := range s.Plans {
		r.Plans[p.Name] = newOutcomes(significantDigits)
	}
	return r
}

// outcomesOf returns the counters that a request belongs to.
func (r *Results) outcomesOf(q *workload.Request) [3]*Outcomes {
	second, class := int(q.At/time.Second), r.Shape.Classes[q.Class].Name
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, map[string]*Outcomes{})
	}
	if r.Seconds[second][class] == nil {
		r.Seconds[second][class] = newOutcomes(significantDigitsBySecond)
	}
	return [3]*Outcomes{r.Classes[class], r.Plans[r.Shape.Plans[q.Plan].Name], r.Seconds[second][class]}
}

// recordUnsent counts a request that was not sent.
func (r *Results) recordUnsent(q *workload.Request) {
	for _, p := range r.outcomesOf(q) {
		p.Arrivals++
		p.Unsent++
		p.WorthDue += r.Shape.Classes[q.Class].Worth
	}
}

// recordAnswer counts a request that has ended.
func (r *Results) recordAnswer(q *workload.Request, a *client.Answer, due time.Time, attempts int) {
	c := &r.Shape.Classes[q.Class]
	latency := a.Ended.Sub(due)
	inAim := a.Outcome == client.Served && float64(latency) <= c.Aim*float64(time.Millisecond)
	for _, p := range r.outcomesOf(q) {
		p.Arrivals++
		p.ByOutcome[a.Outcome]++
		p.WorthDue += c.Worth
		if attempts > 1 {
			p.Retried++
		}
		if a.RetriedOnNewConn {
			p.Reopened++
		}
		if a.Outcome != client.Served {
			continue
		}
		if inAim {
			p.InAim++
			p.WorthEarned += c.Worth
		} else {
			p.WorthEarned += c.LateWorth
		}
		p.Latency.Record(latency)
		p.Service.Record(a.Ended.Sub(a.Sent))
	}
}

// Merge adds the results of another worker of the same run.
func (r *Results) Merge(o *Results) error {
	if err := r.Generator.Merge(o.Generator); err != nil {
		return err
	}
	r.Took, r.Unplaced = max(r.Took, o.Took), r.Unplaced+o.Unplaced
	for _, x := range []struct{ to, from map[string]*Outcomes }{{r.Classes, o.Classes}, {r.Plans, o.Plans}} {
		for k, p := range x.from {
			if x.to[k] == nil {
				return fmt.Errorf("load: cannot merge results of another shape: unknown class or plan %q", k)
			}
			x.to[k].merge(p)
		}
	}
	for i, m := range o.Seconds {
		for len(r.Seconds) <= i {
			r.Seconds = append(r.Seconds, map[string]*Outcomes{})
		}
		for k, p := range m {
			if r.Seconds[i][k] == nil {
				r.Seconds[i][k] = newOutcomes(significantDigitsBySecond)
			}
			r.Seconds[i][k].merge(p)
		}
	}
	return nil
}

// All returns the outcomes of the whole run.
func (r *Results) All() *Outcomes {
	all := newOutcomes(significantDigits)
	for _, c := range r.Shape.Classes {
		all.merge(r.Classes[c.Name])
	}
	return all
}

// parseShard reads the shard of a new object from the body of a simulated node's answer, "... shard=3"; -1: the body
// names no shard.
func parseShard(body []byte) int {
	i := bytes.LastIndex(body, []byte("shard="))
	if i < 0 {
		return -1
	}
	n, err := strconv.Atoi(string(body[i+len("shard="):]))
	if err != nil {
		return -1
	}
	return n
}
