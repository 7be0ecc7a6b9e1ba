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

// tree draws a step.
func tree(t *rapid.T, depth int) Step {
	kind := rapid.IntRange(0, 4).Draw(t, "kind")
	if depth == 0 || kind == 0 {
		i := rapid.IntRange(0, 11).Draw(t, "node")
		node := fmt.Sprintf("n-%02d", i)
		if rapid.Bool().Draw(t, "anywhere") {
			node = ""
		}
		return read(node, i/3, rapid.Float64Range(0.1, 50).Draw(t, "units"))
	}
	n := rapid.IntRange(1, 5).Draw(t, "steps")
	var s []Step
	for range n {
		s = append(s, tree(t, depth-1))
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

// lawsOfTime holds merges of distributions to the invariants on all, any, of and then.
func lawsOfTime(ds []dist, merge func([]dist, int) dist, then func(a, b *dist)) error {
	sum := zero()
	mean := 0.0
	low, high := ds[0].q, ds[0].q
	for i := range ds {
		mean += ds[i].mean
		then(&sum, &ds[i])
		for j, q := range ds[i].q {
			low[j], high[j] = min(low[j], q), max(high[j], q)
		}
	}
	if math.Abs(sum.mean-mean) > 1e-9*mean {
		return fmt.Errorf("then: mean %g, of the steps %g", sum.mean, mean)
	}
	n := len(ds)
	first, last := merge(slices.Clone(ds), 1), merge(slices.Clone(ds), n)
	for k := 1; k <= n; k++ {
		d := merge(slices.Clone(ds), k)
		for j, q := range d.q {
			if q < first.q[j] || q > last.q[j] || k == n && q < high[j] || k == 1 && q > low[j] || j > 0 && q < d.q[j-1] {
				return fmt.Errorf("%d of %d: %g at level %d of %g to %g", k, n, q, j, low[j], high[j])
			}
		}
		for i := range ds {
			if k == n && (d.mean < ds[i].mean || d.served > ds[i].served+1e-12) || k == 1 && (d.mean > ds[i].mean || d.served < ds[i].served-1e-12) {
				return fmt.Errorf("%d of %d: mean %g served %g, a step has %g and %g", k, n, d.mean, d.served, ds[i].mean, ds[i].served)
			}
		}
	}
	return nil
}

// The invariants on time, and mutations that they catch: each stands for one line of dist.go.
func TestLawsOfTime(t *testing.T) {
	e := learned(t, fleet())
	draw := func(t *rapid.T) []dist {
		var ds []dist
		for range rapid.IntRange(1, 6).Draw(t, "n") {
			s := tree(t, 2)
			e.sum, e.stack = tally{}, e.stack[:0]
			var d dist
			if err := e.step(&s, &trail{}, 1, &d); err != nil {
				t.Fatal(err)
			}
			d.draw()
			ds = append(ds, d)
		}
		return ds
	}
	add := func(a, b *dist) { a.add(b) }
	rapid.Check(t, func(t *rapid.T) {
		if err := lawsOfTime(draw(t), kth, add); err != nil {
			t.Fatal(err)
		}
	})
	for name, mutant := range map[string]func([]dist) error{
		"extreme: products of the wrong table": func(ds []dist) error {
			return lawsOfTime(ds, func(ds []dist, k int) dist { return kth(ds, len(ds)+1-k) }, add)
		},
		"kth: counts one too few": func(ds []dist) error {
			return lawsOfTime(ds, func(ds []dist, k int) dist { return kth(ds, max(k-1, 1)) }, add)
		},
		"extreme: mean of the steps in place of the edge": func(ds []dist) error {
			return lawsOfTime(ds, func(ds []dist, k int) dist {
				d := kth(ds, k)
				for j := range d.q {
					d.q[j] = (ds[0].q[j] + ds[len(ds)-1].q[j]) / 2
				}
				return d
			}, add)
		},
		"add: the larger in place of the sum": func(ds []dist) error {
			return lawsOfTime(ds, kth, func(a, b *dist) { a.mean = max(a.mean, b.mean) })
		},
	} {
		found := false
		for seed := range 50 {
			found = found || mutant(rapid.Custom(draw).Example(seed)) != nil
		}
		if !found {
			t.Errorf("not found: %s", name)
		}
	}
}

func scale(s *nodestats.Sums, f float64) {
	s.N, s.X, s.Y, s.XX, s.XY, s.YY = s.N*f, s.X*f, s.Y*f, s.XX*f, s.XY*f, s.YY*f
}

// More evidence moves an estimate from the fleet and the type towards the node's own mean.
func TestEvidenceMovesTowardsTheNode(t *testing.T) {
	law := func(at func(p *pooled, c cell) (float64, float64, float64)) func(t *rapid.T) error {
		return func(t *rapid.T) error {
			var cells []cell
			for range rapid.IntRange(2, 20).Draw(t, "cells") {
				cells = append(cells, cell{rapid.IntRange(0, 2).Draw(t, "type"), rapid.Float64Range(0.1, 100).Draw(t, "w"), rapid.Float64Range(1, 100).Draw(t, "mean")})
			}
			p := pool(cells, 4, rapid.Float64Range(0, 100).Draw(t, "within"), 0.02, 0.5)
			own, was, wasZ, wasErr := rapid.Float64Range(1, 100).Draw(t, "own"), math.Inf(1), -1.0, math.Inf(1)
			typ := rapid.IntRange(0, 3).Draw(t, "of type")
			for w := 0.0; w < 1e9; w = 4*w + 0.01 {
				est, z, err := at(&p, cell{typ, w, own})
				if d := math.Abs(est - own); d > was+1e-9 || z < wasZ || err > wasErr+1e-9 || z < 0 || z > 1 {
					return fmt.Errorf("weight %g: %g of own %g, z %g, variance %g; before %g away, %g, %g", w, est, own, z, err, was, wasZ, wasErr)
				}
				was, wasZ, wasErr = math.Abs(est-own), z, err
			}
			if was > 0.01*own {
				return fmt.Errorf("%g away from its own %g after all", was, own)
			}
			return nil
		}
	}
	good, bad := law((*pooled).at), law(func(p *pooled, c cell) (float64, float64, float64) {
		est, z, err := p.at(cell{c.typ, 1 / (c.w + 0.01), c.mean}) // weight: w and k the wrong way about
		return est, z, err
	})
	rapid.Check(t, func(t *rapid.T) {
		if err := good(t); err != nil {
			t.Fatal(err)
		}
	})
	found := false
	for seed := range 20 {
		found = found || rapid.Custom(bad).Example(seed) != nil
	}
	if !found {
		t.Error("not found: weight's w and k the wrong way about")
	}
	// A type that was never heard of has the fleet's line; a silent node of a known type nearly its type's.
	e := learned(t, append(fleet(), told("silent", "t2", 0, 0, 0, 1), told("new", "t9", 0, 0, 0, 1)))
	silent, _ := e.Node("silent", class, 4)
	other, _ := e.Node("new", class, 4)
	if math.Abs(silent-26) > 4 || math.Abs(other-17) > 4 {
		t.Errorf("silent %g, of no known type %g", silent, other)
	}
}

// wild is a view of any figures.
func wild(t *rapid.T) nodestats.View {
	f := rapid.OneOf(rapid.Float64(), rapid.Float64Range(0, 1e3), rapid.SampledFrom([]float64{0, 1e-300, 1e12, math.NaN(), math.Inf(1), -1}))
	i := rapid.IntRange(0, 11).Draw(t, "n")
	return nodestats.View{Key: nodestats.Key{Node: fmt.Sprintf("n-%02d", i), StartTime: int64(rapid.IntRange(0, 2).Draw(t, "since")), Class: class},
		Type: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "type"), Shard: i / 3,
		Sums:     nodestats.Sums{N: f.Draw(t, "N"), X: f.Draw(t, "X"), Y: f.Draw(t, "Y"), XX: f.Draw(t, "XX"), XY: f.Draw(t, "XY"), YY: f.Draw(t, "YY")},
		Rejected: f.Draw(t, "turned"), Failed: f.Draw(t, "failed"), Window: f.Draw(t, "window"), Queue: f.Draw(t, "queue"),
		Origins: rapid.IntRange(-1, 9).Draw(t, "origins"), Age: time.Duration(rapid.Int64().Draw(t, "age"))}
}

// broken says whether a value holds a NaN or an infinity.
func broken(v reflect.Value) bool {
	switch v.Kind() {
	case reflect.Float64:
		return math.IsNaN(v.Float()) || math.IsInf(v.Float(), 0)
	case reflect.Struct:
		for i := range v.NumField() {
			if broken(v.Field(i)) {
				return true
			}
		}
	case reflect.Slice:
		for i := range v.Len() {
			if broken(v.Index(i)) {
				return true
			}
		}
	}
	return false
}

// lawsOfAnswers holds an estimator to what is true of any views and plans: no figure is NaN or infinite; the
// order of the views decides nothing; the order of the plans is total and alike is symmetric.
func lawsOfAnswers(t *rapid.T, change func(e *Estimator)) error {
	views := fleet()
	for range rapid.IntRange(0, 12).Draw(t, "views") {
		views = append(views, wild(t))
	}
	only := rapid.Bool().Draw(t, "only wild")
	if only {
		views = views[12:]
	}
	set := Defaults(class)
	set.Shards = 4
	var plans []Plan
	for i := range rapid.IntRange(1, 5).Draw(t, "plans") {
		s := tree(t, 2)
		if only { // nodes may be unknown then
			s = Step{Work: &Work{Shard: i % 4, Class: class, Units: 3}}
		}
		plans = append(plans, Plan{Name: fmt.Sprint(i), Root: s})
	}
	e, err := New(set)
	if err != nil {
		return err
	}
	change(e)
	ask := func(views []nodestats.View) (Ranking, error) {
		e.Learn(views)
		return e.Estimate(plans, time.Second)
	}
	r, err := ask(views)
	other, err2 := ask(rapid.Permutation(views).Draw(t, "shuffled"))
	switch {
	case err != nil || err2 != nil:
		return errors.Join(err, err2)
	case broken(reflect.ValueOf(r)):
		return fmt.Errorf("not finite: %+v", r)
	case !reflect.DeepEqual(r, other):
		return fmt.Errorf("in another order:\n%+v\n%+v", r, other)
	}
	for i, a := range r.Plans {
		if i > 0 && a.Cost < r.Plans[i-1].Cost || a.Chance > a.Served || a.Served > 1 || a.Chance < 0 {
			return fmt.Errorf("place %d: %+v after %+v", i, a, r.Plans[max(i-1, 0)])
		}
		for _, j := range a.Alike {
			if i == j || !slices.Contains(r.Plans[j].Alike, i) {
				return fmt.Errorf("%d is like %d and not the other way about", i, j)
			}
		}
	}
	return nil
}

// The laws of answers, and the loss of each line that keeps them, by the complaint that it brings.
func TestLawsOfAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := lawsOfAnswers(t, func(*Estimator) {}); err != nil {
			t.Fatal(err)
		}
	})
	for name, m := range map[string]struct {
		change    func(e *Estimator)
		complaint string
	}{
		"latest: the sort": {func(e *Estimator) {
			e.take = func(views []nodestats.View, _ int) (kept []nodestats.View, dropped int) {
				for i := range views {
					if sound(&views[i]) {
						kept = append(kept, views[i])
					}
				}
				return kept, 0
			}
		}, "in another order"},
		"latest: sound": {func(e *Estimator) {
			e.take = func(views []nodestats.View, _ int) ([]nodestats.View, int) {
				kept := slices.Clone(views)
				slices.SortStableFunc(kept, before)
				return kept, 0
			}
		}, "not finite"},
		"apart: the other's doubt": {func(e *Estimator) {
			e.apart = func(a, b *Answer) float64 { return math.Abs(a.Cost-b.Cost) / max(a.Doubt, 1e-9) }
		}, "not the other way about"},
	} {
		found := false
		for seed := 0; seed < 200 && !found; seed++ {
			err := rapid.Custom(func(t *rapid.T) error { return lawsOfAnswers(t, m.change) }).Example(seed)
			found = err != nil && strings.Contains(err.Error(), m.complaint)
		}
		if !found {
			t.Errorf("not found: %s", name)
		}
	}
}

// Any text is either a question whose answer is finite or an error with a code: nothing else comes of it.
func FuzzQuestion(f *testing.F) {
	w := `{"work":{"shard":1,"class":"read","units":2,"node":"n-03"}}`
	for _, s := range []string{w, `{"ref":"x"}`, `{"of":{"k":1,"steps":[` + w + `,` + w + `]}}`, `{"then":[` + w + `,{"any":[` + w + `]}]}`} {
		f.Add([]byte(`{"deadline_ms":9,"steps":{"x":` + w + `},"plans":[{"name":"a","left":1,"root":` + s + `}]}`))
	}
	e, err := New(Defaults(class))
	if err != nil {
		f.Fatal(err)
	}
	e.Learn(fleet())
	f.Fuzz(func(t *testing.T, text []byte) {
		plans, deadline, err := ParsePlans(text)
		var r Ranking
		if err == nil {
			r, err = e.Estimate(plans, deadline)
		}
		var coded operr.Coded
		if err != nil && !errors.As(err, &coded) || err == nil && broken(reflect.ValueOf(r)) {
			t.Fatalf("%v %+v", err, r)
		}
	})
}
