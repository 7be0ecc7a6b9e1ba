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

// Times is a histogram of microseconds.
type Times struct{ *hdrhistogram.Histogram }

const (
	longest    = int64(10 * time.Minute / time.Microsecond)
	digits     = 3 // significant
	digitsFine = 2 // of the many small ones, by second
)

func newTimes(significant int) Times { return Times{hdrhistogram.New(1, longest, significant)} }

// Record notes a time without allocating.
func (t Times) Record(d time.Duration) {
	_ = t.RecordValue(min(max(1, d.Microseconds()), longest)) // within bounds, so it cannot fail
}

// Quantile is a time that a share, from 0 to 1, stayed within.
func (t Times) Quantile(q float64) time.Duration {
	return time.Duration(t.ValueAtQuantile(100*q)) * time.Microsecond
}

// MarshalJSON gives the compressed form of HdrHistogram in base64.
func (t Times) MarshalJSON() ([]byte, error) {
	b, err := t.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, err
	}
	return json.Marshal(string(b))
}

// UnmarshalJSON reads that form.
func (t *Times) UnmarshalJSON(text []byte) error {
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

// Part is what came of some of the requests: those of a class, a plan or a second.
type Part struct {
	Asked    uint64                      `json:"asked"` // arrivals, with those kept back
	Kept     uint64                      `json:"kept"`
	Ends     [client.OutcomeCount]uint64 `json:"ends"`
	InAim    uint64                      `json:"in_aim"`
	Retried  uint64                      `json:"retried"`
	Reopened uint64                      `json:"reopened"`
	Due      float64                     `json:"worth_due"`
	Earned   float64                     `json:"worth_earned"`
	Latency  Times                       `json:"latency"` // of those served, from when they were due
	Service  Times                       `json:"service"` // ... from their real send
}

func newPart(significant int) *Part {
	return &Part{Latency: newTimes(significant), Service: newTimes(significant)}
}

func (p *Part) merge(o *Part) {
	p.Asked, p.Kept, p.InAim, p.Retried, p.Reopened = p.Asked+o.Asked, p.Kept+o.Kept, p.InAim+o.InAim, p.Retried+o.Retried, p.Reopened+o.Reopened
	for i, n := range o.Ends {
		p.Ends[i] += n
	}
	p.Due, p.Earned = p.Due+o.Due, p.Earned+o.Earned
	p.Latency.Merge(o.Latency.Histogram)
	p.Service.Merge(o.Service.Histogram)
}

// Served is the part of the worth due that was earned.
func (p *Part) Served() float64 {
	if p.Due == 0 {
		return 0
	}
	return p.Earned / p.Due
}

// Results are a run's, or a worker's part of it.
type Results struct {
	Shape    workload.Shape      `json:"shape"`
	Took     time.Duration       `json:"took"`
	Notes    *loadvalidity.Notes `json:"notes"`
	Classes  map[string]*Part    `json:"classes"`
	Plans    map[string]*Part    `json:"plans"`
	Seconds  []map[string]*Part  `json:"seconds"` // by class
	Unplaced uint64              `json:"unplaced"`
}

// NewResults makes empty ones.
func NewResults(s workload.Shape, n *loadvalidity.Notes) *Results {
	r := &Results{Shape: s, Notes: n, Classes: map[string]*Part{}, Plans: map[string]*Part{}}
	for _, c := range s.Classes {
		r.Classes[c.Name] = newPart(digits)
	}
	for _, p := range s.Plans {
		r.Plans[p.Name] = newPart(digits)
	}
	return r
}

// parts are those that a request counts in.
func (r *Results) parts(q *workload.Request) [3]*Part {
	second, class := int(q.At/time.Second), r.Shape.Classes[q.Class].Name
	for len(r.Seconds) <= second {
		r.Seconds = append(r.Seconds, map[string]*Part{})
	}
	if r.Seconds[second][class] == nil {
		r.Seconds[second][class] = newPart(digitsFine)
	}
	return [3]*Part{r.Classes[class], r.Plans[r.Shape.Plans[q.Plan].Name], r.Seconds[second][class]}
}

// keep counts a request that was not sent.
func (r *Results) keep(q *workload.Request) {
	for _, p := range r.parts(q) {
		p.Asked++
		p.Kept++
		p.Due += r.Shape.Classes[q.Class].Worth
	}
}

// take counts a request that has ended.
func (r *Results) take(q *workload.Request, a *client.Answer, due time.Time, tries int) {
	c := &r.Shape.Classes[q.Class]
	latency := a.Ended.Sub(due)
	inAim := a.Outcome == client.Served && float64(latency) <= c.Aim*float64(time.Millisecond)
	for _, p := range r.parts(q) {
		p.Asked++
		p.Ends[a.Outcome]++
		p.Due += c.Worth
		if tries > 1 {
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
			p.Earned += c.Worth
		} else {
			p.Earned += c.LateWorth
		}
		p.Latency.Record(latency)
		p.Service.Record(a.Ended.Sub(a.Sent))
	}
}

// Merge adds another worker's results of the same run.
func (r *Results) Merge(o *Results) error {
	if err := r.Notes.Merge(o.Notes); err != nil {
		return err
	}
	r.Took, r.Unplaced = max(r.Took, o.Took), r.Unplaced+o.Unplaced
	for _, x := range []struct{ to, from map[string]*Part }{{r.Classes, o.Classes}, {r.Plans, o.Plans}} {
		for k, p := range x.from {
			if x.to[k] == nil {
				return fmt.Errorf("load: merging another shape's results: %q", k)
			}
			x.to[k].merge(p)
		}
	}
	for i, m := range o.Seconds {
		for len(r.Seconds) <= i {
			r.Seconds = append(r.Seconds, map[string]*Part{})
		}
		for k, p := range m {
			if r.Seconds[i][k] == nil {
				r.Seconds[i][k] = newPart(digitsFine)
			}
			r.Seconds[i][k].merge(p)
		}
	}
	return nil
}

// All is the whole run.
func (r *Results) All() *Part {
	all := newPart(digits)
	for _, c := range r.Shape.Classes {
		all.merge(r.Classes[c.Name])
	}
	return all
}

// shardOf reads where a new object was put, as the stand-in nodes say it: "... shard=3"; -1: it
// does not say.
func shardOf(body []byte) int {
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
