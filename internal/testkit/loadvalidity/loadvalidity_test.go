package loadvalidity

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

func newStats(t interface{ Fatal(...any) }) *GeneratorStats {
	n, err := New(Defaults())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// A run that exceeds a bound is invalid and the reason names that bound. A run within all bounds is valid.
func TestEachBoundInvalidatesRun(t *testing.T) {
	for name, test := range map[string]struct {
		record     func(*GeneratorStats)
		wantReason string
	}{
		"in time":     {func(*GeneratorStats) {}, ""},
		"long pause":  {func(n *GeneratorStats) { n.RecordPause(Pause{At: time.Second, Duration: 500 * ms, Cause: "process"}) }, "was paused for 500ms at 1s (process), bound 100ms"},
		"short pause": {func(n *GeneratorStats) { n.RecordPause(Pause{Duration: 100 * ms}) }, ""},
		"not sent":    {func(n *GeneratorStats) { n.RecordUnsent("open requests") }, "1 of 1001 requests were not sent (open requests)"},
		"one late":    {func(n *GeneratorStats) { n.RecordSend(0, time.Second) }, ""},
		"late share":  {func(n *GeneratorStats) { sendLate(n, 12, 2*ms) }, "1.19% of the requests were sent 2ms late"},
		"lag p99":     {func(n *GeneratorStats) { sendLate(n, 20, 5*ms) }, "99% within 5ms"},
		"sent early":  {func(n *GeneratorStats) { n.RecordSend(time.Second, 0) }, ""},
	} {
		n := newStats(t)
		for range 1000 {
			n.RecordSend(time.Second, time.Second+100*time.Microsecond)
		}
		test.record(n)
		v := n.Evaluate()
		if all := strings.Join(v.Reasons, "; "); v.Valid != (test.wantReason == "") || !strings.Contains(all, test.wantReason) {
			t.Errorf("%s: valid %v, reasons %q, want reason %q", name, v.Valid, all, test.wantReason)
		}
	}
	if v := newStats(t).Evaluate(); v.Valid {
		t.Error("a run that sent no request is valid")
	}
}

// sendLate records a number of requests that were all late by the same time.
func sendLate(n *GeneratorStats, times int, by time.Duration) {
	for range times {
		n.RecordSend(0, by)
	}
}

// The quantiles of the lag are correct to a tenth. Merging the statistics of two workers gives those of a single worker that
// sent the requests of both.
func TestQuantilesAndMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lags := rapid.SliceOfN(rapid.Int64Range(0, 3e9), 1, 300).Draw(t, "lags")
		whole, a, b := newStats(t), newStats(t), newStats(t)
		for i, x := range lags {
			part := []*GeneratorStats{a, b}[i%2]
			for _, n := range []*GeneratorStats{whole, part} {
				n.RecordSend(time.Second, time.Second+time.Duration(x))
				if x%7 == 0 {
					n.RecordUnsent("x")
					n.RecordPause(Pause{At: time.Duration(i), Duration: time.Duration(x)})
				}
			}
		}
		slices.Sort(lags)
		for _, q := range []float64{0.5, 0.9, 0.99, 1} {
			want := float64(lags[max(0, int(q*float64(len(lags))+0.999999)-1)])
			if got := float64(whole.Quantile(q)); got > 1.1*want+1e3 || got < want/1.1-1e3 {
				t.Fatalf("quantile %v of the lag: got %v ns, want %v ns", q, got, want)
			}
		}
		// Worker processes send their statistics as JSON.
		text, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		decoded := &GeneratorStats{}
		if err := json.Unmarshal(text, decoded); err != nil {
			t.Fatal(err)
		}
		if err := a.Merge(decoded); err != nil {
			t.Fatal(err)
		}
		whole.dropShortPauses()
		if len(lags) <= maxPauses && !reflect.DeepEqual(a, whole) || !reflect.DeepEqual(a.Evaluate(), whole.Evaluate()) {
			t.Fatalf("merged statistics %+v, those of a single worker %+v", a, whole)
		}
	})
	otherBounds := newStats(t)
	otherBounds.Bounds.Pause++
	if newStats(t).Merge(otherBounds) == nil {
		t.Error("Merge accepted statistics with different bounds")
	}
}

func TestPauseDetection(t *testing.T) {
	detector := PauseDetector{Period: ms, Slack: 5 * ms}
	for _, test := range []struct {
		at, gc time.Duration
		want   Pause
	}{{0, 0, Pause{}}, {ms, 0, Pause{}}, {7 * ms, 0, Pause{}}, {507 * ms, 0, Pause{8 * ms, 499 * ms, "process"}},
		{508 * ms, 0, Pause{}}, {520 * ms, 10 * ms, Pause{509 * ms, 11 * ms, "gc"}}} {
		if pause, found := detector.Tick(test.at, test.gc); pause != test.want || found != (test.want.Duration > 0) {
			t.Errorf("tick at %v: got pause %+v, want %+v", test.at, pause, test.want)
		}
	}
}
