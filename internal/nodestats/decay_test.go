package nodestats

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/interleave/mutant"
)

// changeReaction contains ratios of the mean service time in a view to the true one, at and after a change.
type changeReaction struct {
	atChange float64
	after5s  float64
	after60s float64
	weight   float64 // of the requests in the view at the change
}

// reactToChange simulates a node whose service time is multiplied by a factor after half a minute. Six processes observe
// it, two of them often. The views are those of a seventh process without observations of its own.
func reactToChange(t *testing.T, seed uint64, factor float64) changeReaction {
	random := rand.New(rand.NewPCG(seed, 6))
	settings := Defaults()
	const change, step = 30 * time.Second, 50 * time.Millisecond
	observer := newState(t, settings, "me", 1)
	var processes []*State
	for i := range 6 {
		processes = append(processes, newState(t, settings, fmt.Sprint("p", i), 1))
	}
	key := Key{"n", 1, "c"}
	trueMean := 4.0
	view := func(now time.Duration) View {
		for _, p := range processes {
			merge(observer, now, allMessages(t, p, now)...)
		}
		return observer.Views(now)[0]
	}
	mean := func(v View) float64 { return v.Sums.Y / v.Sums.N / trueMean }
	var reaction changeReaction
	for now := time.Duration(0); now <= change+60*time.Second; now += step {
		if now == change {
			v := view(now)
			reaction.atChange, reaction.weight = mean(v), v.Sums.N
			trueMean *= factor
		}
		for i, p := range processes {
			rate := 1.25
			if i < 2 {
				rate = 13
			}
			if random.Float64() < rate*step.Seconds() {
				p.Recorder(now, key).Record(now, 1+2*random.Float64(), trueMean*math.Exp(0.47*random.NormFloat64()-0.11), Served)
			}
			if (now/step)%10 == time.Duration(i) {
				p.publishChanges(now)
			}
		}
		if now == change+5*time.Second {
			reaction.after5s = mean(view(now))
		}
	}
	reaction.after60s = mean(view(change + 60*time.Second))
	return reaction
}

// Views vary little while a node does not change, and follow a change in either direction within 5 s. Without one of the
// two rules that choose between long-term and short-term statistics, views follow the change too late.
func TestViewsFollowAChangeWithinFiveSeconds(t *testing.T) {
	checkSeeds(t, 1, func(uint64) error {
		var errorAfter5s, steadyError, weight float64
		for seed := range uint64(20) {
			for _, factor := range []float64{5, 0.2} {
				reaction := reactToChange(t, seed, factor)
				errorAfter5s = max(errorAfter5s, math.Abs(math.Log(reaction.after5s)))
				steadyError = max(steadyError, math.Abs(math.Log(reaction.atChange)), math.Abs(math.Log(reaction.after60s)))
				weight += reaction.weight / 40
			}
		}
		t.Logf("largest error of 40 runs: %.3f 5 s after a change, %.3f without a recent change; mean weight %.0f", errorAfter5s, steadyError, weight)
		switch {
		case errorAfter5s > 0.25:
			return fmt.Errorf("views follow the change too late: error of %.3f after 5 s", errorAfter5s)
		case steadyError > 0.15:
			return fmt.Errorf("error of %.3f without a recent change", steadyError)
		case weight < 90: // about 108 remain after clipping; short-term statistics alone have 43
			return fmt.Errorf("mean weight of only %.0f", weight)
		}
		return nil
	})
	mutant.AssertDetected(t,
		mutant.Mutant{File: "recorder.go", Old: "	if now-r.lastReset < resetInterval*r.state.settings.HalfLife {", New: "	if true {", Want: "views follow the change too late"},
		mutant.Mutant{File: "views.go", Old: "		if deviation(&counts, &recent, false) > maxLongTermDeviation {", New: "		if false {", Want: "views follow the change too late"},
	)
}

// Rejections reset a recorder as a change of service times does. A single very long service time does not.
func TestRejectionsResetARecorderButOneSlowRequestDoesNot(t *testing.T) {
	run := func(after time.Duration, outcomeAt func(now time.Duration) (float64, Outcome)) *State {
		s := newState(t, Defaults(), "me", 1)
		for now := time.Duration(0); now < 30*time.Second+after; now += 50 * time.Millisecond {
			millis, outcome := 4.0+float64(now/(50*time.Millisecond)%3), Served
			if now >= 30*time.Second {
				millis, outcome = outcomeAt(now - 30*time.Second)
			}
			s.Recorder(now, Key{"n", 1, "c"}).Record(now, 1, millis, outcome)
			s.publishChanges(now)
		}
		return s
	}
	rejecting := run(3*time.Second, func(now time.Duration) (float64, Outcome) {
		return 5, []Outcome{Served, Rejected}[now/(50*time.Millisecond)%2]
	})
	v := rejecting.Views(33 * time.Second)[0]
	if p := v.Rejected / (v.Rejected + v.Sums.N); p < 0.4 || rejecting.Counts().Resets != 1 {
		t.Errorf("%.2f rejected, %d resets, want about half rejected and one reset", p, rejecting.Counts().Resets)
	}
	oneSlow := run(3*time.Second, func(now time.Duration) (float64, Outcome) {
		if now == 0 {
			return 3000, Served
		}
		return 5, Served
	})
	if n := oneSlow.Counts().Resets; n != 0 {
		t.Errorf("%d resets after one long service time", n)
	}
}

// Short-term weights never exceed long-term weights, whatever is recorded at whatever times. A message in which they do
// is rejected.
func TestShortTermStatisticsNeverExceedLongTerm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 7))
		s, now := newState(t, Defaults(), "p", 1), time.Duration(0)
		recorder := s.Recorder(0, Key{"n", 1, "c"})
		for range r.IntN(200) {
			now += time.Duration(r.ExpFloat64() * r.Float64() * float64(20*time.Second))
			recorder.Record(now, r.Float64()*9, r.ExpFloat64()*20, Outcome(r.IntN(4)))
			if r.IntN(4) == 0 {
				s.publishChanges(now)
			}
		}
		receiver := newState(t, Defaults(), "me", 1)
		for _, m := range allMessages(t, s, now) {
			if err := receiver.Merge(now, m); err != nil {
				t.Fatal(err)
			}
		}
	})
	stats := classStats{long: decayedCounts{sums: Sums{10, 10, 10, 10, 10, 10}}, short: decayedCounts{sums: Sums{11, 11, 11, 11, 11, 11}}}
	s := newState(t, Defaults(), "me", 1)
	if err := s.Merge(0, encodeMessage("p", 1, wireCell{cellID{"n", "c"}, 1, 0, stats.encode()})); err == nil || s.Counts().Unreadable != 1 {
		t.Error("a message whose short-term weights exceed the long-term ones was accepted")
	}
}
