package costs

import (
	"context"
	"io"
	"reflect"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"wheatsaddle/internal/testkit/cluster"
)

// Guards the bounds of the estimate with two of the ten seeds, that a seed always gives the same result, and that a missed
// bound is reported: if answers practically never lose weight, the order stays wrong.
func TestBounds(t *testing.T) {
	runSeeds := func(halfLife, length time.Duration, seeds ...uint64) *Report {
		rep, err := Run(Options{Seeds: seeds, Duration: length, HalfLife: halfLife, RoundInterval: 500 * time.Millisecond, SlowFactor: 5})
		if err != nil {
			t.Fatal(err)
		}
		return rep
	}
	rep := runSeeds(1500*time.Millisecond, 30*time.Second, 1, 2)
	if len(rep.Missed) > 0 || rep.Rows[2].Decisions < 590 {
		t.Errorf("missed bounds or too few decisions: %+v", rep)
	}
	first := runSeeds(1500*time.Millisecond, 12*time.Second, 3)
	if second := runSeeds(1500*time.Millisecond, 12*time.Second, 3); !reflect.DeepEqual(first, second) {
		t.Error("the same seed gave different results")
	}
	if undecayed := runSeeds(10*time.Minute, 12*time.Second, 1); len(undecayed.Missed) == 0 || undecayed.Rows[0].OrderRightAfter < 5 {
		t.Errorf("answers that practically never lose weight: want a wrong order and missed bounds, got %+v", undecayed.Missed)
	}
}

// Guards that estimates of daemon processes use what other processes report. Each of three processes gets requests only for
// its own third of the nodes, so it depends on the others for the rest. After a node slows down, the order becomes right
// at all processes; if the processes exchange nothing, it does not.
func TestProcessesExchangeObservations(t *testing.T) {
	if testing.Short() {
		t.Skip("several processes")
	}
	t.Cleanup(func() {
		goleak.VerifyNone(t, goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
	})
	ctx, stop := context.WithTimeout(t.Context(), 2*time.Minute)
	defer stop()
	daemon, err := cluster.Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, alone := range []bool{false, true} {
		opt := RealDefaults()
		opt.Seeds, opt.Daemon, opt.Processes, opt.Groups, opt.HomeShare, opt.Decisions = []uint64{1}, daemon, 3, 3, 1, 1
		opt.HalfLife, opt.RoundInterval = time.Second, 100*time.Millisecond // fast exchange and fast forgetting, to keep the test short
		opt.WarmAnswers, opt.SettledChecks, opt.WatchDuration, opt.Alone = 100, 5, time.Minute, alone
		if alone {
			opt.WatchDuration = 3 * time.Second
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		opt.Log = log
		rep, err := RunReal(ctx, opt)
		if err != nil {
			t.Fatal(err)
		}
		r := rep.Rows[0]
		if alone != (r.OrderRightAfter > opt.WatchDuration.Seconds()/2) {
			t.Errorf("alone %v: the order was wrong until %.1f s, of %v watched", alone, r.OrderRightAfter, opt.WatchDuration)
		}
		if r.Decisions != 3 || r.outcomes != 3*plansPerDecision*runsByProcess || r.Requests < 300 || r.Refused > r.Requests/10 || len(r.slept) == 0 || len(r.added) == 0 {
			t.Errorf("wrong counts or no noise measurements: %+v", r)
		}
	}
}

// A bound that is not met counts as missed, but as not shown if the machine's noise can explain it: noise is the excess
// of an estimator with true service times, and the time added to requests at p90.
func TestBoundsHiddenByNoise(t *testing.T) {
	for _, x := range []struct {
		covered               int
		chosenCost, knownCost float64
		added                 float64
		missed, hidden        int
	}{
		{90, 100, 100, 1, 0, 0},
		{80, 100, 100, 1, 1, 0},
		{80, 100, 100, 20, 0, 1},
		{99, 100, 100, 20, 0, 1},
		{90, 107, 100, 1, 1, 0},
		{90, 107, 103, 1, 0, 1},
		{90, 107, 101, 20, 1, 0},
		{80, 107, 103, 1, 1, 1},
	} {
		r := RealRow{Row: Row{Seed: 1, outcomes: 100, bestCost: [2]float64{100}}, knownCost: x.knownCost, added: []float64{x.added}}
		r.covered[pooled], r.chosenCost[0] = x.covered, [estimatorCount]float64{x.chosenCost, 200, 200}
		rep := &RealReport{Rows: []RealRow{r}}
		rep.judge()
		if len(rep.Missed) != x.missed || len(rep.Unshown) != x.hidden {
			t.Errorf("case %+v: missed bounds %q, bounds not shown %q", x, rep.Missed, rep.Unshown)
		}
	}
}
