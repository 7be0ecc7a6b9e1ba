// Package loadvalidity decides whether the results of a load test are valid. Its input is what the load generator recorded
// about itself, in any order: how late each request was sent, the pauses of its process, and the requests that a limit of the
// generator prevented. It does not read a clock.
//
// Invariants:
//   - Every request is counted once: as sent in time, as sent late, or as not sent, by the name of the limit.
//   - A run that exceeds any bound is invalid. The reasons name each bound exceeded, the measured value and the limit.
//   - The merged statistics of two workers give the same verdict as those of one worker that sent the requests of both.
//
// The checks guard against coordinated omission, a term of G. Tene: requests that a generator sends late, or not at all, are
// missing from its own latency statistics.
package loadvalidity

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Bounds are the limits within which a run is valid.
type Bounds struct {
	Late      time.Duration // a request sent this long after it was due, or longer, is late
	LateShare float64       // largest share of late requests among those sent
	LagP99    time.Duration // largest 99th percentile of the lag, the time from due to sent
	Pause     time.Duration // longest pause of the generator
	Kept      float64       // largest share of requests that were not sent because of a limit of the generator
}

// Defaults returns bounds under which late requests don't change the reported percentiles noticeably.
func Defaults() Bounds {
	return Bounds{Late: 2 * time.Millisecond, LateShare: 0.01, LagP99: 2 * time.Millisecond, Pause: 100 * time.Millisecond, Kept: 0}
}

// Validate returns an error that names the first invalid bound.
func (b Bounds) Validate() error {
	switch {
	case b.Late <= 0:
		return fmt.Errorf("late: %v is not positive", b.Late)
	case !(b.LateShare >= 0 && b.LateShare <= 1):
		return fmt.Errorf("late_share: %v is not from 0 to 1", b.LateShare)
	case b.LagP99 <= 0:
		return fmt.Errorf("lag_p99: %v is not positive", b.LagP99)
	case b.Pause <= 0:
		return fmt.Errorf("pause: %v is not positive", b.Pause)
	case !(b.Kept >= 0 && b.Kept <= 1):
		return fmt.Errorf("kept: %v is not from 0 to 1", b.Kept)
	}
	return nil
}

// Histogram of the lag. The upper bounds of the buckets are powers of the eighth root of two, in microseconds. A bucket is 9%
// wide, so that a quantile is correct to a tenth. All workers have the same buckets, so that their counts can be added.
const (
	bucketsPerOctave = 8
	bucketCount      = 32 * bucketsPerOctave // up to 2^32 µs
)

// Pause is a period in which the generator did not run.
type Pause struct {
	At       time.Duration `json:"at"` // since the start of the run
	Duration time.Duration `json:"took"`
	Cause    string        `json:"why"` // "gc": garbage collection; "process": the process was stopped or not scheduled
}

const maxPauses = 64 // the longest pauses are kept

// GeneratorStats are the statistics that a load generator records about itself. New creates them; the zero value is only for
// decoding.
type GeneratorStats struct {
	Sent       uint64            `json:"sent"`
	Late       uint64            `json:"late"`
	Lag        []uint64          `json:"lag"`   // number of requests by bucket
	MaxLag     time.Duration     `json:"worst"` // longest lag
	TotalLag   time.Duration     `json:"sum"`
	Unsent     map[string]uint64 `json:"kept"` // requests not sent, by the name of the limit that prevented them
	Pauses     []Pause           `json:"pauses"`
	TotalPause time.Duration     `json:"paused"` // sum of all pauses, including those dropped from Pauses
	Bounds     Bounds            `json:"bounds"`
}

// New returns empty statistics that are judged by the given bounds.
func New(b Bounds) (*GeneratorStats, error) {
	if err := b.Validate(); err != nil {
		return nil, err
	}
	return &GeneratorStats{Bounds: b, Lag: make([]uint64, bucketCount), Unsent: map[string]uint64{}}, nil
}

// bucketIndex returns the bucket that counts a lag.
func bucketIndex(lag time.Duration) int {
	us := float64(lag) / float64(time.Microsecond)
	if us <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(us)*bucketsPerOctave)), bucketCount-1)
}

// bucketUpperBound returns the longest lag that a bucket counts.
func bucketUpperBound(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i)/bucketsPerOctave) * float64(time.Microsecond))
}

// RecordSend records a request with its due time and the time at which it was sent. A request sent early has no lag.
func (n *GeneratorStats) RecordSend(due, sent time.Duration) {
	lag := max(0, sent-due)
	n.Sent++
	n.Lag[bucketIndex(lag)]++
	n.TotalLag += lag
	n.MaxLag = max(n.MaxLag, lag)
	if lag >= n.Bounds.Late {
		n.Late++
	}
}

// RecordUnsent records a request that was not sent, by the name of the limit that prevented it.
func (n *GeneratorStats) RecordUnsent(by string) { n.Unsent[by]++ }

// RecordPause records a pause.
func (n *GeneratorStats) RecordPause(p Pause) {
	n.TotalPause += p.Duration
	n.Pauses = append(n.Pauses, p)
	if len(n.Pauses) > 2*maxPauses {
		n.dropShortPauses()
	}
}

// dropShortPauses drops all but the longest pauses and sorts the others by time.
func (n *GeneratorStats) dropShortPauses() {
	sort.SliceStable(n.Pauses, func(i, j int) bool { return n.Pauses[i].Duration > n.Pauses[j].Duration })
	n.Pauses = n.Pauses[:min(len(n.Pauses), maxPauses)]
	sort.SliceStable(n.Pauses, func(i, j int) bool { return n.Pauses[i].At < n.Pauses[j].At })
}

// Merge adds the statistics of another worker of the same run. Both must have the same bounds.
func (n *GeneratorStats) Merge(o *GeneratorStats) error {
	if o.Bounds != n.Bounds || len(o.Lag) != len(n.Lag) {
		return fmt.Errorf("cannot merge statistics with different bounds: %+v and %+v", n.Bounds, o.Bounds)
	}
	n.Sent, n.Late, n.TotalLag, n.MaxLag, n.TotalPause = n.Sent+o.Sent, n.Late+o.Late, n.TotalLag+o.TotalLag, max(n.MaxLag, o.MaxLag), n.TotalPause+o.TotalPause
	for i, c := range o.Lag {
		n.Lag[i] += c
	}
	for k, c := range o.Unsent {
		n.Unsent[k] += c
	}
	n.Pauses = append(n.Pauses, o.Pauses...)
	n.dropShortPauses()
	return nil
}

// Quantile returns the lag that the share q of the requests sent did not exceed, correct to a tenth.
func (n *GeneratorStats) Quantile(q float64) time.Duration {
	wanted := uint64(math.Ceil(q * float64(n.Sent)))
	seen := uint64(0)
	for i, c := range n.Lag {
		if seen += c; seen >= wanted && seen > 0 {
			return min(bucketUpperBound(i), n.MaxLag)
		}
	}
	return n.MaxLag
}

// unsentCount returns the number of requests that were not sent.
func (n *GeneratorStats) unsentCount() (count uint64) {
	for _, c := range n.Unsent {
		count += c
	}
	return count
}

// LateShare returns the share of late requests among those sent.
func (n *GeneratorStats) LateShare() float64 { return float64(n.Late) / math.Max(1, float64(n.Sent)) }

// Verdict says whether the results of a run are valid.
type Verdict struct {
	Valid   bool     `json:"valid"`
	Reasons []string `json:"reasons"` // why the run is invalid, each with the measured value and the bound
}

// Evaluate compares the statistics with the bounds.
func (n *GeneratorStats) Evaluate() Verdict {
	bounds := n.Bounds
	verdict := Verdict{Reasons: []string{}}
	addReason := func(form string, args ...any) { verdict.Reasons = append(verdict.Reasons, fmt.Sprintf(form, args...)) }
	if n.Sent == 0 {
		addReason("no request was sent")
	}
	if p := n.longestPause(); p.Duration > bounds.Pause {
		addReason("the generator was paused for %v at %v (%s), bound %v", round(p.Duration), round(p.At), p.Cause, bounds.Pause)
	}
	if lag := n.Quantile(0.99); lag > bounds.LagP99 {
		addReason("requests were sent late: 99%% within %v, worst %v, bound %v", round(lag), round(n.MaxLag), bounds.LagP99)
	}
	if s := n.LateShare(); s > bounds.LateShare {
		addReason("%.2f%% of the requests were sent %v late or more, bound %.2f%%", 100*s, bounds.Late, 100*bounds.LateShare)
	}
	if unsent := n.unsentCount(); unsent > 0 {
		if s := float64(unsent) / float64(unsent+n.Sent); s > bounds.Kept {
			names := make([]string, 0, len(n.Unsent))
			for k := range n.Unsent {
				names = append(names, k)
			}
			slices.Sort(names)
			for _, k := range names {
				addReason("%d of %d requests were not sent (%s), bound %.2f%%", n.Unsent[k], unsent+n.Sent, k, 100*bounds.Kept)
			}
		}
	}
	verdict.Valid = len(verdict.Reasons) == 0
	return verdict
}

func (n *GeneratorStats) longestPause() (p Pause) {
	for _, x := range n.Pauses {
		if x.Duration > p.Duration {
			p = x
		}
	}
	return p
}

// round rounds a duration for a message.
func round(d time.Duration) time.Duration {
	if d > 10*time.Millisecond {
		return d.Round(time.Millisecond)
	}
	return d.Round(time.Microsecond)
}

// PauseDetector detects pauses of the process by the times of a periodic tick. A tick that is late by more than Slack means
// that the process did not run in the meantime.
type PauseDetector struct {
	Period, Slack time.Duration
	lastTick      time.Duration
	ticked        bool
}

// Tick takes the time of a tick and the duration for which the garbage collector stopped the program since the previous tick.
// It returns the pause before this tick, if there was one. The cause is "gc" if the collector made up half of it or more.
func (d *PauseDetector) Tick(at, collector time.Duration) (Pause, bool) {
	previous, hasPrevious := d.lastTick, d.ticked
	d.lastTick, d.ticked = at, true
	gap := at - previous - d.Period
	if !hasPrevious || gap <= d.Slack {
		return Pause{}, false
	}
	p := Pause{At: previous + d.Period, Duration: gap, Cause: "process"}
	if collector >= gap/2 {
		p.Cause = "gc"
	}
	return p, true
}
