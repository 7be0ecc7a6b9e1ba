package cost

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/operr"
)

// drawStep draws a step with at most depth levels of nested steps.
func drawStep(t *rapid.T, depth int) Step {
	kind := rapid.IntRange(0, 4).Draw(t, "kind")
	if depth == 0 || kind == 0 {
		i := rapid.IntRange(0, 11).Draw(t, "node")
		node := fmt.Sprintf("n-%02d", i)
		if rapid.Bool().Draw(t, "anywhere") {
			node = ""
		}
		return readStep(node, i/3, rapid.Float64Range(0.1, 50).Draw(t, "units"))
	}
	n := rapid.IntRange(1, 5).Draw(t, "steps")
	var s []Step
	for range n {
		s = append(s, drawStep(t, depth-1))
	}
	switch kind {
	case 1:
		return Step{Then: s}
	case 2:
		return Step{All: s}
	case 3:
		return Step{Any: s}
	}
	return Step{Of: &Quorum{rapid.IntRange(1, n).Draw(t, "k"), s}}
}

// checkMergeInvariants checks the package's invariants on "all", "any", "of" and "then" for functions that combine
// distributions.
func checkMergeInvariants(times []distribution, merge func([]distribution, int) distribution, then func(a, b *distribution)) error {
	sum := zeroTime()
	mean := 0.0
	low, high := times[0].quantiles, times[0].quantiles
	for i := range times {
		mean += times[i].mean
		then(&sum, &times[i])
		for j, q := range times[i].quantiles {
			low[j], high[j] = min(low[j], q), max(high[j], q)
		}
	}
	if math.Abs(sum.mean-mean) > 1e-9*mean {
		return fmt.Errorf("then: mean %g, sum of the steps' means %g", sum.mean, mean)
	}
	n := len(times)
	first, last := merge(slices.Clone(times), 1), merge(slices.Clone(times), n)
	for k := 1; k <= n; k++ {
		d := merge(slices.Clone(times), k)
		for j, q := range d.quantiles {
			if q < first.quantiles[j] || q > last.quantiles[j] || k == n && q < high[j] || k == 1 && q > low[j] || j > 0 && q < d.quantiles[j-1] {
				return fmt.Errorf("%d of %d: quantile %g at level %d, expected %g to %g", k, n, q, j, low[j], high[j])
			}
		}
		for i := range times {
			if k == n && (d.mean < times[i].mean || d.served > times[i].served+1e-12) || k == 1 && (d.mean > times[i].mean || d.served < times[i].served-1e-12) {
				return fmt.Errorf("%d of %d: mean %g served %g, a step has %g and %g", k, n, d.mean, d.served, times[i].mean, times[i].served)
			}
		}
	}
	return nil
}

// Combined distributions keep the invariants. Mutants show that the invariants detect faults in distribution.go.
func TestMergesOfDistributionsKeepInvariants(t *testing.T) {
	e := newEstimator(t, fleetViews())
	draw := func(t *rapid.T) []distribution {
		var times []distribution
		for range rapid.IntRange(1, 6).Draw(t, "n") {
			s := drawStep(t, 2)
			e.totals, e.stack = planTotals{}, e.stack[:0]
			var d distribution
			if err := e.estimateStep(&s, &stepPath{}, 1, &d); err != nil {
				t.Fatal(err)
			}
			d.computeQuantiles()
			times = append(times, d)
		}
		return times
	}
	add := func(a, b *distribution) { a.add(b) }
	rapid.Check(t, func(t *rapid.T) {
		if err := checkMergeInvariants(draw(t), kthFastest, add); err != nil {
			t.Fatal(err)
		}
	})
	for name, mutant := range map[string]func([]distribution) error{
		"kthFastest: counts from the slowest step": func(times []distribution) error {
			return checkMergeInvariants(times, func(times []distribution, k int) distribution { return kthFastest(times, len(times)+1-k) }, add)
		},
		"kthFastest: k is one too low": func(times []distribution) error {
			return checkMergeInvariants(times, func(times []distribution, k int) distribution { return kthFastest(times, max(k-1, 1)) }, add)
		},
		"kthFastest: mean of the first and last steps' quantiles": func(times []distribution) error {
			return checkMergeInvariants(times, func(times []distribution, k int) distribution {
				d := kthFastest(times, k)
				for j := range d.quantiles {
					d.quantiles[j] = (times[0].quantiles[j] + times[len(times)-1].quantiles[j]) / 2
				}
				return d
			}, add)
		},
		"add: maximum instead of the sum": func(times []distribution) error {
			return checkMergeInvariants(times, kthFastest, func(a, b *distribution) { a.mean = max(a.mean, b.mean) })
		},
	} {
		found := false
		for seed := range 50 {
			found = found || mutant(rapid.Custom(draw).Example(seed)) != nil
		}
		if !found {
			t.Errorf("mutant not detected: %s", name)
		}
	}
}

// scaleSums multiplies sums by a factor, as if there were that many times as many answers.
func scaleSums(s *nodestats.Sums, f float64) {
	s.N, s.X, s.Y, s.XX, s.XY, s.YY = s.N*f, s.X*f, s.Y*f, s.XX*f, s.XY*f, s.YY*f
}

// The more answers a node has, the closer its estimate is to its own mean, the higher is its credibility, and the lower
// is the variance of the estimate.
func TestMoreAnswersMoveEstimateToNodeMean(t *testing.T) {
	property := func(estimate func(p *credibilityModel, c nodeMean) (float64, float64, float64)) func(t *rapid.T) error {
		return func(t *rapid.T) error {
			var nodeMeans []nodeMean
			for range rapid.IntRange(2, 20).Draw(t, "nodes") {
				nodeMeans = append(nodeMeans, nodeMean{rapid.IntRange(0, 2).Draw(t, "type"), rapid.Float64Range(0.1, 100).Draw(t, "weight"), rapid.Float64Range(1, 100).Draw(t, "mean")})
			}
			p := fitCredibility(nodeMeans, 4, rapid.Float64Range(0, 100).Draw(t, "answer variance"), 0.02, 0.5)
			own, lastDistance, lastCredibility, lastVariance := rapid.Float64Range(1, 100).Draw(t, "own"), math.Inf(1), -1.0, math.Inf(1)
			typ := rapid.IntRange(0, 3).Draw(t, "of type")
			for w := 0.0; w < 1e9; w = 4*w + 0.01 {
				mean, credibility, variance := estimate(&p, nodeMean{typ, w, own})
				if d := math.Abs(mean - own); d > lastDistance+1e-9 || credibility < lastCredibility || variance > lastVariance+1e-9 || credibility < 0 || credibility > 1 {
					return fmt.Errorf("weight %g: estimate %g, own mean %g, credibility %g, variance %g; with less weight: distance %g, credibility %g, variance %g", w, mean, own, credibility, variance, lastDistance, lastCredibility, lastVariance)
				}
				lastDistance, lastCredibility, lastVariance = math.Abs(mean-own), credibility, variance
			}
			if lastDistance > 0.01*own {
				return fmt.Errorf("the estimate is still %g from the own mean %g", lastDistance, own)
			}
			return nil
		}
	}
	correct, mutated := property((*credibilityModel).estimate), property(func(p *credibilityModel, c nodeMean) (float64, float64, float64) {
		mean, credibility, variance := p.estimate(nodeMean{c.typ, 1 / (c.weight + 0.01), c.mean}) // credibilityFactor with inverted evidence
		return mean, credibility, variance
	})
	rapid.Check(t, func(t *rapid.T) {
		if err := correct(t); err != nil {
			t.Fatal(err)
		}
	})
	found := false
	for seed := range 20 {
		found = found || rapid.Custom(mutated).Example(seed) != nil
	}
	if !found {
		t.Error("mutant not detected: credibilityFactor with inverted evidence")
	}
	// A node without answers has nearly the estimate of its type, or that of the fleet if no node of its type has answers.
	e := newEstimator(t, append(fleetViews(), viewOfNode("silent", "t2", 0, 0, 0, 1), viewOfNode("new", "t9", 0, 0, 0, 1)))
	silent, _ := e.MeanMillis("silent", class, 4)
	unknownType, _ := e.MeanMillis("new", class, 4)
	if math.Abs(silent-26) > 4 || math.Abs(unknownType-17) > 4 {
		t.Errorf("node without answers: estimate %g, want 26 as for its type; of an unknown type: %g, want 17 as for the fleet", silent, unknownType)
	}
}

// drawView draws a view with arbitrary values, which may be invalid.
func drawView(t *rapid.T) nodestats.View {
	f := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1e3), rapid.SampledFrom([]float64{0, 1e-300, 1e12, math.NaN(), math.Inf(1), -1}))
	i := rapid.IntRange(0, 11).Draw(t, "n")
	return nodestats.View{Key: nodestats.Key{Node: fmt.Sprintf("n-%02d", i), StartTime: int64(rapid.IntRange(0, 2).Draw(t, "start time")), Class: class},
		Type: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "type"), Shard: i / 3,
		Sums:     nodestats.Sums{N: f.Draw(t, "N"), X: f.Draw(t, "X"), Y: f.Draw(t, "Y"), XX: f.Draw(t, "XX"), XY: f.Draw(t, "XY"), YY: f.Draw(t, "YY")},
		Rejected: f.Draw(t, "rejected"), Failed: f.Draw(t, "failed"), Window: f.Draw(t, "window"), Queue: f.Draw(t, "queue"),
		Origins: rapid.IntRange(-1, 9).Draw(t, "origins"), Age: time.Duration(rapid.Int64().Draw(t, "age"))}
}

// hasNonFinite reports whether a value contains a NaN or an infinity.
func hasNonFinite(value reflect.Value) bool {
	switch value.Kind() {
	case reflect.Float64:
		return math.IsNaN(value.Float()) || math.IsInf(value.Float(), 0)
	case reflect.Struct:
		for i := range value.NumField() {
			if hasNonFinite(value.Field(i)) {
				return true
			}
		}
	case reflect.Slice:
		for i := range value.Len() {
			if hasNonFinite(value.Index(i)) {
				return true
			}
		}
	}
	return false
}

// checkAnswerInvariants estimates drawn plans with drawn views and checks that no value is NaN or infinite, that the
// order of the views does not matter, that the order of the plans is total, and that Alike is symmetric.
func checkAnswerInvariants(t *rapid.T, mutate func(e *Estimator)) error {
	views := fleetViews()
	for range rapid.IntRange(0, 12).Draw(t, "views") {
		views = append(views, drawView(t))
	}
	onlyDrawn := rapid.Bool().Draw(t, "only drawn views")
	if onlyDrawn {
		views = views[12:]
	}
	settings := Defaults(class)
	settings.Shards = 4
	var plans []Plan
	for i := range rapid.IntRange(1, 5).Draw(t, "plans") {
		s := drawStep(t, 2)
		if onlyDrawn { // nodes may be unknown then
			s = Step{Work: &Work{Shard: i % 4, Class: class, Units: 3}}
		}
		plans = append(plans, Plan{Name: fmt.Sprint(i), Root: s})
	}
	e, err := New(settings)
	if err != nil {
		return err
	}
	mutate(e)
	estimate := func(views []nodestats.View) (Ranking, error) {
		e.SetViews(views)
		return e.Estimate(plans, time.Second)
	}
	ranking, err := estimate(views)
	shuffled, err2 := estimate(rapid.Permutation(views).Draw(t, "shuffled"))
	switch {
	case err != nil || err2 != nil:
		return errors.Join(err, err2)
	case hasNonFinite(reflect.ValueOf(ranking)):
		return fmt.Errorf("a value is not finite: %+v", ranking)
	case !reflect.DeepEqual(ranking, shuffled):
		return fmt.Errorf("the ranking differs with the views in another order:\n%+v\n%+v", ranking, shuffled)
	}
	for i, a := range ranking.Plans {
		if i > 0 && a.Cost < ranking.Plans[i-1].Cost || a.Chance > a.Served || a.Served > 1 || a.Chance < 0 {
			return fmt.Errorf("position %d: probabilities out of bounds or wrong order: %+v after %+v", i, a, ranking.Plans[max(i-1, 0)])
		}
		for _, j := range a.Alike {
			if i == j || !slices.Contains(ranking.Plans[j].Alike, i) {
				return fmt.Errorf("plan %d cannot be distinguished from %d, but not vice versa", i, j)
			}
		}
	}
	return nil
}

// Estimates keep the invariants for any views. Each mutant breaks one rule and must be detected with the named error.
func TestAnswersKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := checkAnswerInvariants(t, func(*Estimator) {}); err != nil {
			t.Fatal(err)
		}
	})
	for name, mutant := range map[string]struct {
		mutate func(e *Estimator)
		want   string
	}{
		"latestViews does not sort": {func(e *Estimator) {
			e.selectViews = func(views []nodestats.View, _ int) (selected []nodestats.View, dropped int) {
				for i := range views {
					if plausible(&views[i]) {
						selected = append(selected, views[i])
					}
				}
				return selected, 0
			}
		}, "in another order"},
		"latestViews accepts implausible views": {func(e *Estimator) {
			e.selectViews = func(views []nodestats.View, _ int) ([]nodestats.View, int) {
				selected := slices.Clone(views)
				slices.SortStableFunc(selected, compareViews)
				return selected, 0
			}
		}, "not finite"},
		"standardErrorsBetween ignores one standard error": {func(e *Estimator) {
			e.separation = func(a, b *Answer) float64 { return math.Abs(a.Cost-b.Cost) / max(a.Doubt, 1e-9) }
		}, "not vice versa"},
	} {
		found := false
		for seed := 0; seed < 200 && !found; seed++ {
			err := rapid.Custom(func(t *rapid.T) error { return checkAnswerInvariants(t, mutant.mutate) }).Example(seed)
			found = err != nil && strings.Contains(err.Error(), mutant.want)
		}
		if !found {
			t.Errorf("mutant not detected: %s", name)
		}
	}
}

// Any input yields either a ranking of finite numbers or an error with a code.
func FuzzPlans(f *testing.F) {
	w := `{"work":{"shard":1,"class":"read","units":2,"node":"n-03"}}`
	for _, s := range []string{w, `{"ref":"x"}`, `{"of":{"k":1,"steps":[` + w + `,` + w + `]}}`, `{"then":[` + w + `,{"any":[` + w + `]}]}`} {
		f.Add([]byte(`{"deadline_ms":9,"steps":{"x":` + w + `},"plans":[{"name":"a","left":1,"root":` + s + `}]}`))
	}
	e, err := New(Defaults(class))
	if err != nil {
		f.Fatal(err)
	}
	e.SetViews(fleetViews())
	f.Fuzz(func(t *testing.T, text []byte) {
		plans, deadline, err := ParsePlans(text)
		var r Ranking
		if err == nil {
			r, err = e.Estimate(plans, deadline)
		}
		var coded operr.Coded
		if err != nil && !errors.As(err, &coded) || err == nil && hasNonFinite(reflect.ValueOf(r)) {
			t.Fatalf("error %v without a code, or a value is not finite: %+v", err, r)
		}
	})
}
