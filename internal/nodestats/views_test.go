package nodestats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/interleave/mutant"
)

// mergeFaultyOrigin merges the reports of two to four correct processes and of one that reports arbitrary values. Its
// weight must be clipped, and the means and the 99th percentile must stay near those of the correct processes.
func mergeFaultyOrigin(t *testing.T, seed uint64) error {
	r := rand.New(rand.NewPCG(seed, 2))
	set := smallSettings()
	set.MaxOrigins = 8
	s := newState(t, set, "me", 1)
	k := Key{"n0", 1, "c0"}
	largest, total := 0.0, 0.0
	end := 6 * time.Second // long enough that the statistics of two half-lives differ
	for i := range 2 + r.IntN(3) {
		p := newState(t, set, fmt.Sprintf("p%d", i), 1)
		recorder, n := p.Recorder(0, k), 20+r.IntN(200)
		for j := range n {
			recorder.Record(end*time.Duration(j)/time.Duration(n), 1+r.Float64(), 10+r.Float64(), Served)
		}
		largest, total = max(largest, float64(n)), total+float64(n)
		merge(s, end, allMessages(t, p, end)...)
	}
	merge(s, end, faultyMessages(t, r, set, k, end)...)
	views := s.Views(end)
	if len(views) != 1 {
		return fmt.Errorf("%d views of one key", len(views))
	}
	v := views[0]
	p99, _ := Quantile(v.Sketch, 0.99)
	switch c := set.ClipFactor; {
	case v.Sums.N+v.Failed > total+c*max(largest, minReferenceWeight)+1:
		return fmt.Errorf("not clipped: weight %v over %v of the correct ones, each at most %v", v.Sums.N, total, largest)
	case v.Sums.Y/v.Sums.N > 11*c || math.Sqrt(v.Sums.YY/v.Sums.N) > 11*c+1 || v.Sums.X/v.Sums.N > 2*c:
		return fmt.Errorf("not clipped: sums %+v", v.Sums)
	case p99 > 11*c*25: // clipping limits the root mean square of a faulty origin, not its largest value
		return fmt.Errorf("not clipped: 99th percentile %v", p99)
	case !v.Sums.plausible():
		return fmt.Errorf("sums are inconsistent: %+v", v.Sums)
	}
	return nil
}

// faultyMessages returns the messages of a process that reports random weights, units and times.
func faultyMessages(t *testing.T, r *rand.Rand, set Settings, k Key, end time.Duration) [][]byte {
	faulty := newState(t, set, "bad", 1)
	recorder := faulty.Recorder(0, k)
	for range 1 + r.IntN(3) {
		scale := math.Pow(10, r.Float64()*10-3)
		at := time.Duration(r.Int64N(int64(end)))
		for range 1 + r.IntN(3000) {
			recorder.Record(at, r.Float64()*scale, min(r.Float64()*scale, maxLatencyMs), []Outcome{Served, Served, Failed}[r.IntN(3)])
		}
	}
	return allMessages(t, faulty, end)
}

// A faulty process among correct ones distorts views only within the bounds of clipping.
func TestOneOriginCannotDistortAView(t *testing.T) {
	property := func(seed uint64) error { return mergeFaultyOrigin(t, seed) }
	checkSeeds(t, 20, property)
	checkRandomSeeds(t, property)
	mutant.AssertDetected(t, mutant.Mutant{File: "clip.go", Old: "	if len(weights) < minOriginsToClip {", New: "	if true {", Want: "not clipped: "})
}

// After a node was replaced by another one of the same name, the views contain no statistics of the earlier run, neither
// from this process nor from others.
func TestReplacedNodeStartsAsUnknown(t *testing.T) {
	checkSeeds(t, 1, func(uint64) error {
		s, p := newState(t, smallSettings(), "me", 1), newState(t, smallSettings(), "p", 1)
		earlier, remote := s.Recorder(0, Key{"n", 1, "c"}), p.Recorder(0, Key{"n", 1, "c"})
		earlier.Record(0, 1, 1, Served)
		remote.Record(0, 1, 1, Served)
		merge(s, 0, allMessages(t, p, 0)...)
		s.SetNodeHealth(0, "n", 2, Health{Type: "ssd"})
		earlier.Record(0, 1, 1, Served)
		if n := s.Counts().OverLimit; n != 1 {
			return fmt.Errorf("%d outcomes over the limit, want the 1 of the earlier run", n)
		}
		n := 0.0
		for _, v := range s.Views(0) {
			n += v.Sums.N
		}
		if n != 0 {
			return fmt.Errorf("%v requests of an earlier run in the views", n)
		}
		return nil
	})
	mutant.AssertDetected(t, mutant.Mutant{File: "views.go", Old: "n != nil && n.startTime != startTime {", New: "n != nil && false {",
		Want: "requests of an earlier run in the views"})
}

// A receiver decays statistics by the age in the message, also if the processes' clocks differ, and drops cells that are
// not updated.
func TestReceiverAgesCellsWithoutComparingClocks(t *testing.T) {
	set := smallSettings()
	p, q := newState(t, set, "p", 1), newState(t, set, "q", 1)
	p.Recorder(time.Hour, Key{"n", 1, "c"}).Record(time.Hour, 2, 8, Served)
	relay := newState(t, set, "r", 1)
	merge(relay, 0, allMessages(t, p, time.Hour+set.HalfLife)...) // clocks an hour apart
	merge(q, time.Minute, allMessages(t, relay, set.HalfLife)...)
	v := q.Views(time.Minute)[0]
	if want := math.Exp2(-2.0 / longHalfLives); math.Abs(v.Sums.N-want) > 1e-6 || math.Abs(v.Sums.XY-16*want) > 1e-4 || v.Age != 2*set.HalfLife-set.HalfLife {
		t.Errorf("two half-lives after the outcome, the sums or the age are wrong: %+v, age %v", v.Sums, v.Age)
	}
	if n := len(q.Views(time.Minute + set.ExpireAfter)); n != 0 {
		t.Errorf("%d views after ExpireAfter without an update, want none", n)
	}
	if got, ok := Quantile(v.Sketch, 0.5); !ok || math.Abs(got-8) > 8*accuracy {
		t.Errorf("median service time %v, want 8 within the sketch's accuracy", got)
	}
}

// The latest list version of each origin is used, in whatever order the messages arrive. Processes that have left, and
// those that reported nothing for ExpireAfter, do not count as behind.
func TestListVersionsByProcess(t *testing.T) {
	set := smallSettings()
	s := newState(t, set, "me", 1)
	var messages [][]byte
	for i := range 3 {
		p := newState(t, set, fmt.Sprint("p", i), 1)
		p.SetListVersion(0, 4)
		messages = append(messages, allMessages(t, p, 0)...)
		p.SetListVersion(time.Second, int64(5+i))
		messages = append(messages, allMessages(t, p, time.Second)...)
	}
	slices.Reverse(messages)
	merge(s, time.Second, messages...)
	if got := fmt.Sprint(s.ListVersions(time.Second)); got != "[{p0 5 0s} {p1 6 0s} {p2 7 0s}]" {
		t.Error(got)
	}
	if got := s.ListSpread(time.Second, []string{"me", "p0", "p1", "p2", "p9"}); got != (ListSpread{5, 7, 3, 2}) {
		t.Errorf("list versions of all processes: %+v", got)
	}
	s.SetListVersion(time.Second, 6)
	if got := s.ListSpread(time.Second, []string{"p1", "p2"}); got != (ListSpread{6, 7, 3, 2}) {
		t.Errorf("list versions after p0 has left: %+v", got)
	}
	if got := s.ListSpread(time.Second+set.ExpireAfter, []string{"p0", "p1", "p2"}); got != (ListSpread{6, 6, 1, 0}) {
		t.Errorf("list versions after those of the others have expired: %+v", got)
	}
}
