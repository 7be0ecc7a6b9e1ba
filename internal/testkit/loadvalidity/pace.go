// Package loadvalidity decides whether a run of load may be believed. It takes what a generator noted of
// itself, in time order or not: how late each request was sent, the pauses that a watcher saw, and
// what a bound kept back. It reads no clock.
//
// Invariants: every request is counted once, as sent in time, sent late, or kept back by name; a
// run that exceeds any bound is not valid, and the reasons name each bound, the figure and the
// limit; merging the notes of two workers gives the verdict of one that did the work of both.
// Source: coordinated omission, as G. Tene named it: what a generator does not send in time, or at
// all, is missing from its own figures first.
package loadvalidity

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Bounds are those of a run.
type Bounds struct {
	Late      time.Duration // a request sent this long after it was due is late
	LateShare float64       // of the requests
	LagP99    time.Duration
	Pause     time.Duration // longest pause of the generator
	Kept      float64       // share of the requests that a bound kept back
}

// Defaults are bounds under which a late send changes no percentile worth reading.
func Defaults() Bounds {
	return Bounds{Late: 2 * time.Millisecond, LateShare: 0.01, LagP99: 2 * time.Millisecond, Pause: 100 * time.Millisecond, Kept: 0}
}

// Check names the bound that is none.
func (b Bounds) Check() error {
	switch {
	case b.Late <= 0:
		return fmt.Errorf("late: %v is no time", b.Late)
	case !(b.LateShare >= 0 && b.LateShare <= 1):
		return fmt.Errorf("late_share: %v is not from 0 to 1", b.LateShare)
	case b.LagP99 <= 0:
		return fmt.Errorf("lag_p99: %v is no time", b.LagP99)
	case b.Pause <= 0:
		return fmt.Errorf("pause: %v is no time", b.Pause)
	case !(b.Kept >= 0 && b.Kept <= 1):
		return fmt.Errorf("kept: %v is not from 0 to 1", b.Kept)
	}
	return nil
}

// The lag's buckets: powers of the eighth root of two microseconds, so that a percentile is within
// a twentieth, and one second's worth of them adds up across workers.
const (
	bucketsOctave = 8
	bucketsMost   = 32 * bucketsOctave
)

// Pause is a spell in which the generator did nothing.
type Pause struct {
	At   time.Duration `json:"at"` // after the start
	Took time.Duration `json:"took"`
	Why  string        `json:"why"` // gc, or process: stopped or not scheduled
}

const pausesKept = 64 // the longest

// Notes are what a generator noted; the zero value is ready.
type Notes struct {
	Sent   uint64            `json:"sent"`
	Late   uint64            `json:"late"`
	Lag    []uint64          `json:"lag"` // counts by bucket
	Worst  time.Duration     `json:"worst"`
	Sum    time.Duration     `json:"sum"`
	Kept   map[string]uint64 `json:"kept"` // not sent, by the name of what kept it back
	Pauses []Pause           `json:"pauses"`
	Paused time.Duration     `json:"paused"` // in all, also of those not kept
	Under  Bounds            `json:"bounds"`
}

// New makes notes under bounds.
func New(b Bounds) (*Notes, error) {
	if err := b.Check(); err != nil {
		return nil, err
	}
	return &Notes{Under: b, Lag: make([]uint64, bucketsMost), Kept: map[string]uint64{}}, nil
}

func bucket(lag time.Duration) int {
	us := float64(lag) / float64(time.Microsecond)
	if us <= 1 {
		return 0
	}
	return min(int(math.Ceil(math.Log2(us)*bucketsOctave)), bucketsMost-1)
}

// upper is the greatest lag of a bucket.
func upper(i int) time.Duration {
	return time.Duration(math.Exp2(float64(i)/bucketsOctave) * float64(time.Microsecond))
}

// Send notes a request that was due at one time and sent at another. One sent early is in time.
func (n *Notes) Send(due, sent time.Duration) {
	lag := max(0, sent-due)
	n.Sent++
	n.Lag[bucket(lag)]++
	n.Sum += lag
	n.Worst = max(n.Worst, lag)
	if lag >= n.Under.Late {
		n.Late++
	}
}

// Keep notes a request that was not sent, by the name of what kept it back.
func (n *Notes) Keep(by string) { n.Kept[by]++ }

// Pause notes a pause.
func (n *Notes) Pause(p Pause) {
	n.Paused += p.Took
	n.Pauses = append(n.Pauses, p)
	if len(n.Pauses) > 2*pausesKept {
		n.trim()
	}
}

// trim keeps the longest pauses, in the order of time.
func (n *Notes) trim() {
	sort.SliceStable(n.Pauses, func(i, j int) bool { return n.Pauses[i].Took > n.Pauses[j].Took })
	n.Pauses = n.Pauses[:min(len(n.Pauses), pausesKept)]
	sort.SliceStable(n.Pauses, func(i, j int) bool { return n.Pauses[i].At < n.Pauses[j].At })
}

// Merge adds the notes of another worker of the same run.
func (n *Notes) Merge(o *Notes) error {
	if o.Under != n.Under || len(o.Lag) != len(n.Lag) {
		return fmt.Errorf("notes of runs under other bounds: %+v and %+v", n.Under, o.Under)
	}
	n.Sent, n.Late, n.Sum, n.Worst, n.Paused = n.Sent+o.Sent, n.Late+o.Late, n.Sum+o.Sum, max(n.Worst, o.Worst), n.Paused+o.Paused
	for i, c := range o.Lag {
		n.Lag[i] += c
	}
	for k, c := range o.Kept {
		n.Kept[k] += c
	}
	n.Pauses = append(n.Pauses, o.Pauses...)
	n.trim()
	return nil
}

// Quantile is the lag that a share of the requests stayed under, to a tenth of it.
func (n *Notes) Quantile(q float64) time.Duration {
	need := uint64(math.Ceil(q * float64(n.Sent)))
	seen := uint64(0)
	for i, c := range n.Lag {
		if seen += c; seen >= need && seen > 0 {
			return min(upper(i), n.Worst)
		}
	}
	return n.Worst
}

// kept is how many requests were not sent.
func (n *Notes) kept() (all uint64) {
	for _, c := range n.Kept {
		all += c
	}
	return all
}

// LateShare is the part of the requests sent that was late.
func (n *Notes) LateShare() float64 { return float64(n.Late) / math.Max(1, float64(n.Sent)) }

// Verdict says whether a run may be believed.
type Verdict struct {
	Valid   bool     `json:"valid"`
	Reasons []string `json:"reasons"` // why not, each with its figure and bound
}

// Judge holds the notes against the bounds.
func (n *Notes) Judge() Verdict {
	b := n.Under
	v := Verdict{Reasons: []string{}}
	no := func(form string, args ...any) { v.Reasons = append(v.Reasons, fmt.Sprintf(form, args...)) }
	if n.Sent == 0 {
		no("nothing was sent")
	}
	if p := n.longest(); p.Took > b.Pause {
		no("the generator stood still for %v at %v (%s), bound %v", round(p.Took), round(p.At), p.Why, b.Pause)
	}
	if lag := n.Quantile(0.99); lag > b.LagP99 {
		no("requests were sent late: 99%% within %v, worst %v, bound %v", round(lag), round(n.Worst), b.LagP99)
	}
	if s := n.LateShare(); s > b.LateShare {
		no("%.2f%% of the requests were sent %v late or more, bound %.2f%%", 100*s, b.Late, 100*b.LateShare)
	}
	if kept := n.kept(); kept > 0 {
		if s := float64(kept) / float64(kept+n.Sent); s > b.Kept {
			names := make([]string, 0, len(n.Kept))
			for k := range n.Kept {
				names = append(names, k)
			}
			slices.Sort(names)
			for _, k := range names {
				no("%d of %d requests were not sent (%s), bound %.2f%%", n.Kept[k], kept+n.Sent, k, 100*b.Kept)
			}
		}
	}
	v.Valid = len(v.Reasons) == 0
	return v
}

func (n *Notes) longest() (p Pause) {
	for _, x := range n.Pauses {
		if x.Took > p.Took {
			p = x
		}
	}
	return p
}

func round(d time.Duration) time.Duration {
	if d > 10*time.Millisecond {
		return d.Round(time.Millisecond)
	}
	return d.Round(time.Microsecond)
}

// Watch finds pauses from the times of a tick: one that comes later than its period and a slack
// tells that nothing ran meanwhile.
type Watch struct {
	Period, Slack time.Duration
	last          time.Duration
	on            bool
}

// Tick takes the time of a tick, and the time that the collector stopped the program for since
// the one before; it returns the pause, if there was one.
func (w *Watch) Tick(at, collector time.Duration) (Pause, bool) {
	was, on := w.last, w.on
	w.last, w.on = at, true
	gap := at - was - w.Period
	if !on || gap <= w.Slack {
		return Pause{}, false
	}
	p := Pause{At: was + w.Period, Took: gap, Why: "process"}
	if collector >= gap/2 {
		p.Why = "gc"
	}
	return p, true
}
