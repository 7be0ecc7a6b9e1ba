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
	At   time.Duration `json:"at"` // since the start of the run
	Took time.Duration `json:"took"`
	Why  string        `json:"why"` // "gc": garbage collection; "process": the process was stopped or not scheduled
}

const maxPauses = 64 // the longest pauses are kept

// Notes are the statistics that a load generator records about itself. New creates them; the zero value is only for decoding.
type Notes struct {
	Sent     uint64            `json:"sent"`
	Late     uint64            `json:"late"`
	Lag      []uint64          `json:"lag"`   // number of requests by bucket
	Worst    time.Duration     `json:"worst"` // longest lag
	TotalLag time.Duration     `json:"sum"`
	Kept     map[string]uint64 `json:"kept"` // requests not sent, by the name of the limit that prevented them
	Pauses   []Pause           `json:"pauses"`
	Paused   time.Duration     `json:"paused"` // sum of all pauses, including those dropped from Pauses
	Bounds   Bounds            `json:"bounds"`
}

// New returns empty statistics that are judged by the given bounds.
func New(b Bounds) (*Notes, error) {
	if err := b.Validate(); err != nil {
		return nil, err
	}
	return &Notes{Bounds: b, Lag: make([]uint64, bucketCount), Kept: map[string]uint64{}}, nil
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

// Send records a request with its due time and the time at which it was sent. A request sent early has no lag.
func (n *Notes) Send(due, sent time.Duration) {
	lag := max(0, sent-due)
	n.Sent++
	n.Lag[bucketIndex(lag)]++
	n.TotalLag += lag
	n.Worst = max(n.Worst, lag)
	if lag >= n.Bounds.Late {
		n.Late++
	}
}

// Keep records a request that was not sent, by the name of the limit that prevented it.
func (n *Notes) Keep(by string) { n.Kept[by]++ }

// Pause records a pause.
func (n *Notes) Pause(p Pause) {
	n.Paused += p.Took
	n.Pauses = append(n.Pauses, p)
	if len(n.Pauses) > 2*maxPauses {
		n.dropShortPauses()
	}
}

// dropShortPauses drops all but the longest pauses and sorts the others by time.
func (n *Notes) dropShortPauses() {
	sort.SliceStable(n.Pauses, func(i, j int) bool { return n.Pauses[i].Took > n.Pauses[j].Took })
	n.Pauses = n.Pauses[:min(len(n.Pauses), maxPauses)]
	sort.SliceStable(n.Pauses, func(i, j int) bool { return n.Pauses[i].At < n.Pauses[j].At })
}

// Merge adds the statistics of another worker of the same run. Both must have the same bounds.
func (n *Notes) Merge(o *Notes) error {
	if o.Bounds != n.Bounds || len(o.Lag) != len(n.Lag) {
		return fmt.Errorf("cannot merge statistics with different bounds: %+v and %+v", n.Bounds, o.Bounds)
	}
	n.Sent, n.Late, n.TotalLag, n.Worst, n.Paused = n.Sent+o.Sent, n.Late+o.Late, n.TotalLag+o.TotalLag, max(n.Worst, o.Worst), n.Paused+o.Paused
	for i, c := range o.Lag {
		n.Lag[i] += c
	}
	for k, c := range o.Kept {
		n.Kept[k] += c
	}
	n.Pauses = append(n.Pauses, o.Pauses...)
	n.dropShortPauses()
	return nil
}

// Quantile returns the lag that the share q of the requests sent did not exceed, correct to a tenth.
func (n *Notes) Quantile(q float64) time.Duration {
	wanted := uint64(math.Ceil(q * float64(n.Sent)))
	seen := uint64(0)
	for i, c := range n.Lag {
		if seen += c; seen >= wanted && seen > 0 {
			return min(bucketUpperBound(i), n.Worst)
		}
	}
	return n.Worst
}

// unsentCount returns the number of requests that were not sent.
func (n *Notes) unsentCount() (count uint64) {
	for _, c := range n.Kept {
		count += c
	}
	return count
}

// LateShare returns the share of late requests among those sent.
func (n *Notes) LateShare() float64 { return float64(n.Late) / math.Max(1, float64(n.Sent)) }

// Verdict says whether the results of a run are valid.
type Verdict struct {
	Valid   bool     `json:"valid"`
	Reasons []string `json:"reasons"` // why the run is invalid, each with the measured value and the bound
}

// Judge compares the statistics with the bounds.
func (n *Notes) Judge() Verdict {
	bounds := n.Bounds
	verdict := Verdict{Reasons: []string{}}
	addReason := func(form string, args ...any) { verdict.Reasons = append(verdict.Reasons, fmt.Sprintf(form, args...)) }
	if n.Sent == 0 {
		addReason("no request was sent")
	}
	if p := n.longestPause(); p.Took > bounds.Pause {
		addReason("the generator was paused for %v at %v (%s), bound %v", round(p.Took), round(p.At), p.Why, bounds.Pause)
	}
	if lag := n.Quantile(0.99); lag > bounds.LagP99 {
		addReason("requests were sent late: 99%% within %v, worst %v, bound %v", round(lag), round(n.Worst), bounds.LagP99)
	}
	if s := n.LateShare(); s > bounds.LateShare {
		addReason("%.2f%% of the requests were sent %v late or more, bound %.2f%%", 100*s, bounds.Late, 100*bounds.LateShare)
	}
	if unsent := n.unsentCount(); unsent > 0 {
		if s := float64(unsent) / float64(unsent+n.Sent); s > bounds.Kept {
			names := make([]string, 0, len(n.Kept))
			for k := range n.Kept {
				names = append(names, k)
			}
			slices.Sort(names)
			for _, k := range names {
				addReason("%d of %d requests were not sent (%s), bound %.2f%%", n.Kept[k], unsent+n.Sent, k, 100*bounds.Kept)
			}
		}
	}
	verdict.Valid = len(verdict.Reasons) == 0
	return verdict
}

func (n *Notes) longestPause() (p Pause) {
	for _, x := range n.Pauses {
		if x.Took > p.Took {
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

// Watch detects pauses of the process by the times of a periodic tick. A tick that is late by more than Slack means that the
// process did not run in the meantime.
type Watch struct {
	Period, Slack time.Duration
	lastTick      time.Duration
	ticked        bool
}

// Tick takes the time of a tick and the duration for which the garbage collector stopped the program since the previous tick.
// It returns the pause before this tick, if there was one. The cause is "gc" if the collector made up half of it or more.
func (w *Watch) Tick(at, collector time.Duration) (Pause, bool) {
	previous, hasPrevious := w.lastTick, w.ticked
	w.lastTick, w.ticked = at, true
	gap := at - previous - w.Period
	if !hasPrevious || gap <= w.Slack {
		return Pause{}, false
	}
	p := Pause{At: previous + w.Period, Took: gap, Why: "process"}
	if collector >= gap/2 {
		p.Why = "gc"
	}
	return p, true
}
