package cost

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"wheatsaddle/internal/nodestats"
	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const class = "read"

// told is the view of a node after n answers of level ms at 4 units, 1 ms a unit, with half as much scatter.
func told(node, typ string, shard int, n, level float64, seed uint64) nodestats.View {
	rng := rand.New(rand.NewPCG(seed, 1))
	v := nodestats.View{Key: nodestats.Key{Node: node, StartTime: 1, Class: class}, Type: typ, Shard: shard, Window: 4, Origins: 3, Age: time.Second}
	for range int(n) {
		x := 1 + float64(rng.IntN(8))
		y := (level + x - 4) * math.Exp(0.4*rng.NormFloat64()-0.08)
		add(&v.Sums, x, y)
	}
	return v
}

func add(s *nodestats.Sums, x, y float64) {
	s.N++
	s.X, s.Y = s.X+x, s.Y+y
	s.XX, s.XY, s.YY = s.XX+x*x, s.XY+x*y, s.YY+y*y
}

func fleet() (views []nodestats.View) {
	for i := range 12 {
		typ := i % 3
		views = append(views, told(fmt.Sprintf("n-%02d", i), fmt.Sprintf("t%d", typ), i/3, 40, 8*float64(1+typ)*(1+0.05*float64(i%4)), uint64(i)))
	}
	return views
}

func learned(t testing.TB, views []nodestats.View) *Estimator {
	t.Helper()
	e, err := New(Defaults(class, "write"))
	if err != nil {
		t.Fatal(err)
	}
	e.Learn(views)
	return e
}

func read(node string, shard int, units float64) Step {
	return Step{Work: &Work{Shard: shard, Class: class, Units: units, Node: node}}
}

func rank(t testing.TB, e *Estimator, deadline time.Duration, roots ...Step) Ranking {
	t.Helper()
	var plans []Plan
	for i, r := range roots {
		plans = append(plans, Plan{Name: fmt.Sprint(i), Root: r})
	}
	r, err := e.Estimate(plans, deadline)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func byName(r Ranking, name string) Answer {
	return r.Plans[slices.IndexFunc(r.Plans, func(a Answer) bool { return a.Name == name })]
}

// The ordinary way: what an answer holds.
func TestAnswer(t *testing.T) {
	set := Defaults(class, "write")
	set.Limits = map[string]Rate{"gold": {PerSecond: 100, Burst: 10}}
	e, err := New(set)
	if err != nil {
		t.Fatal(err)
	}
	views := fleet()
	views[0].WarmingUp = true
	views[4].Rejected = 40
	views[5].Queue = 8
	e.Learn(views)
	plans := []Plan{
		{Name: "slow", Root: read("n-02", 0, 4)},
		{Name: "fast", Limit: "gold", Left: -1, Root: Step{Then: []Step{read("n-00", 0, 10), read("n-00", 0, 10)}}},
		{Name: "turned", Root: read("n-04", 1, 4)},
		{Name: "queued", Root: read("n-05", 1, 4)},
		{Name: "anywhere", Root: Step{Work: &Work{Shard: 1, Class: class, Units: 4}}},
		{Name: "unheard", Root: Step{Work: &Work{Shard: 1, Class: "write", Units: 4, Node: "n-05"}}},
	}
	r, err := e.Estimate(plans, 400*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	fast, slow, queued := byName(r, "fast"), byName(r, "slow"), byName(r, "queued")
	if fast.Units != 20 || fast.Held != 100 || fast.Cold != 20 || fast.P50 < 100 || len(fast.Work) != 1 || fast.Work[0].Type != "t0" {
		t.Errorf("fast: %+v", fast)
	}
	if !(slow.Low < slow.P50 && slow.P50 < slow.P90 && slow.P90 < slow.High && slow.High < slow.P99) || math.Abs(slow.Mean-24) > 4 ||
		slow.Basis.Level > FromType || slow.Basis.Origins != 3 || slow.Basis.AgeMs != 1000 || slow.Basis.Trust < 0.4 || slow.Chance < 0.9 {
		t.Errorf("slow: %+v", slow)
	}
	if c := byName(r, "turned"); c.Served > 0.8 || c.Chance > c.Served {
		t.Errorf("turned: %+v", c)
	}
	if queued.Mean < 2.5*slow.Mean { // 8 wait before it for 4 places: two more answers' time
		t.Errorf("queued: %+v", queued)
	}
	if c := byName(r, "anywhere"); len(c.Work) != 3 || c.P50 > queued.P50 {
		t.Errorf("anywhere: %+v", c)
	}
	if c := byName(r, "unheard"); c.Basis.Level != FromSettings || c.Mean < 15 || c.Basis.Trust != 0 || c.Basis.Answers != 0 {
		t.Errorf("unheard: %+v", c)
	}
	if text, err := r.JSON(); err != nil || !strings.Contains(string(text), `"level":"settings"`) {
		t.Errorf("%s %v", text, err)
	}
}

// sampled draws a tree's end from its leaves' own lognormals.
func sampled(e *Estimator, s *Step, rng *rand.Rand) float64 {
	if s.Work != nil {
		e.sum = tally{}
		var d dist
		_ = e.leaf(s.Work, &trail{}, &d)
		d.variance += d.err * d.err
		sd := math.Sqrt(d.variance)
		c := spreadOfSkew(d.third / (d.variance * sd))
		g := math.Sqrt(math.Log1p(c * c))
		return max(d.mean+sd*math.Expm1(g*rng.NormFloat64()-g*g/2)/c, 0)
	}
	steps, k := s.Then, 0
	switch {
	case s.All != nil:
		steps, k = s.All, len(s.All)
	case s.Any != nil:
		steps, k = s.Any, 1
	case s.Of != nil:
		steps, k = s.Of.Steps, s.Of.K
	}
	var ends []float64
	sum := 0.0
	for i := range steps {
		v := sampled(e, &steps[i], rng)
		ends, sum = append(ends, v), sum+v
	}
	if s.Then != nil {
		return sum
	}
	slices.Sort(ends)
	return ends[k-1]
}

// The arithmetic against 40,000 draws of the same tree: the errors of docs/design/cost.md.
func TestArithmeticAgainstDraws(t *testing.T) {
	views := fleet()
	for i := range views { // enough answers that a line's own error, which adds up along a chain, is small
		scale(&views[i].Sums, 1000)
	}
	e := learned(t, views)
	many := func(n int) (s []Step) {
		for i := range n {
			s = append(s, read(fmt.Sprintf("n-%02d", i%12), i%12/3, float64(1+i%7)))
		}
		return s
	}
	for name, root := range map[string]Step{
		"one": read("n-01", 0, 4), "then 16": {Then: many(16)}, "all 2": {All: many(2)}, "all 64": {All: many(64)}, "any 2": {Any: many(2)},
		"any 12": {Any: many(12)}, "2 of 3": {Of: &Quorum{2, many(3)}}, "8 of 12": {Of: &Quorum{8, many(12)}},
		"all of thens": {All: []Step{{Then: many(4)}, {Then: many(6)}, {Any: many(5)}}},
		"then of alls": {Then: []Step{{All: many(8)}, {Any: many(3)}, {All: many(20)}}},
	} {
		a := rank(t, e, 0, root).Plans[0]
		rng := rand.New(rand.NewPCG(7, 7))
		ends := make([]float64, 40000)
		mean := 0.0
		for i := range ends {
			ends[i] = sampled(e, &root, rng)
			mean += ends[i] / float64(len(ends))
		}
		slices.Sort(ends)
		worst := math.Abs(a.Mean/mean - 1)
		for p, got := range map[float64]float64{0.05: a.Low, 0.5: a.P50, 0.9: a.P90, 0.95: a.High, 0.99: a.P99} {
			worst = max(worst, math.Abs(got/ends[int(p*float64(len(ends)))]-1))
		}
		t.Logf("%-14s worst of mean, p5, p50, p90, p95, p99: %.1f%%", name, 100*worst)
		if worst > 0.06 {
			t.Errorf("%s: off by %.1f%%: %+v, drawn mean %.2f p5 %.2f p50 %.2f p99 %.2f", name, 100*worst, a, mean,
				ends[2000], ends[20000], ends[39600])
		}
	}
}

// Two nodes with one answer each cannot be told apart; with many they can.
func TestAlike(t *testing.T) {
	for n, want := range map[float64]int{3: 1, 4000: 0} {
		e := learned(t, []nodestats.View{told("a", "t", 0, n, 10, 1), told("b", "t", 0, n, 12, 2), told("c", "t", 0, n, 11, 2)})
		r := rank(t, e, 0, read("a", 0, 4), read("b", 0, 4))
		if len(r.Plans[0].Alike) != want || n > 1000 && r.Plans[0].Name != "0" {
			t.Errorf("%g answers: %+v", n, r)
		}
	}
}

// Each hard case of a question: the type of the error, and the step it names.
func TestQuestions(t *testing.T) {
	var root any
	if err := func() (err error) {
		root, err = jsonschema.UnmarshalJSON(strings.NewReader(string(Schema)))
		return err
	}(); err != nil {
		t.Fatal(err)
	}
	c := jsonschema.NewCompiler()
	_ = c.AddResource("wheatsaddle:plans", root)
	schema := c.MustCompile("wheatsaddle:plans")
	w := `{"work":{"shard":1,"class":"read","units":2}}`
	deep := strings.Repeat(`{"then":[`, 70) + w + strings.Repeat(`]}`, 70)
	double := `"s0":` + w
	for i := range 12 {
		double += fmt.Sprintf(`,"s%d":{"all":[{"ref":"s%d"},{"ref":"s%d"}]}`, i+1, i, i)
	}
	e := learned(t, fleet())
	for _, q := range []struct {
		text, code, names string
		form              bool // the schema finds it too
	}{
		{`{"plans":[{"name":"a","root":` + w + `},{"name":"b","root":{"of":{"k":1,"steps":[` + w + `,{"ref":"x"}]}}}],"steps":{"x":{"any":[` + w + `]}},"deadline_ms":90}`, "", "", true},
		{`{"plans":`, "cost-bad-plans", "JSON", true},
		{strings.Repeat(`[`, 1<<20), "cost-bad-plans", "JSON", true},
		{`{"plans":[]}`, "cost-bad-plans", "plans", true},
		{`{"plans":[{"name":"a"}]}`, "cost-bad-plans", "plans.0", true},
		{`{"plans":[{"name":"a","root":{"then":[` + w + `,{"all":[]}]}}]}`, "cost-bad-plans", "plans.0.root.then.1.all", true},
		{`{"plans":[{"name":"a","root":{"wait":3}}]}`, "cost-bad-plans", "plans.0.root", true},
		{`{"plans":[{"name":"a","root":` + strings.Replace(w, "}}", `},"all":[`+w+`]}`, 1) + `}]}`, "cost-bad-plans", "plans.0.root", true},
		{`{"plans":[{"name":"a","root":{"all":[` + strings.Replace(w, `"units":2`, `"units":-2`, 1) + `]}}]}`, "cost-bad-figure", "plans.0.root.all.0.work", true},
		{`{"plans":[{"name":"a","root":` + strings.Replace(w, `"units":2`, `"units":1e999`, 1) + `}]}`, "cost-bad-figure", "plans.0.root.work", true},
		{`{"plans":[{"name":"a","root":{"of":{"k":3,"steps":[` + w + `]}}}]}`, "cost-bad-figure", "plans.0.root", false},
		{`{"deadline_ms":-1,"plans":[{"name":"a","root":` + w + `}]}`, "cost-bad-figure", "deadline_ms", true},
		{`{"plans":[{"name":"a","root":` + strings.Replace(w, `"shard":1`, `"shard":9`, 1) + `}]}`, "cost-unknown-name", `plans.0.root.work: no shard "9"`, false},
		{`{"plans":[{"name":"a","root":` + strings.Replace(w, "read", "erase", 1) + `}]}`, "cost-unknown-name", `plans.0.root.work: no class "erase"`, false},
		{`{"plans":[{"name":"a","root":` + strings.Replace(w, "{\"shard\"", `{"node":"n-00","shard"`, 1) + `}]}`, "cost-unknown-name", "n-00", false},
		{`{"plans":[{"name":"a","limit":"gold","root":` + w + `}]}`, "cost-unknown-name", "gold", false},
		{`{"plans":[{"name":"a","root":{"then":[{"ref":"none"}]}}]}`, "cost-unknown-name", `plans.0.root.then.0: no step "none"`, false},
		{`{"steps":{"x":{"all":[` + w + `,{"ref":"y"}]},"y":{"then":[{"ref":"x"}]}},"plans":[{"name":"a","root":{"ref":"x"}}]}`, "cost-cycle", `steps.y.then.0: "x"`, false},
		{`{"steps":{"x":{"ref":"x"}},"plans":[{"name":"a","root":` + w + `}]}`, "cost-cycle", "steps.x", false},
		{`{"steps":{"x":{"then":[{"ref":"y"}]},"y":{"ref":"x"},"z":` + w + `},"plans":[{"name":"a","root":{"ref":"z"}}]}`, "cost-cycle", "leads back", false},
		{`{"steps":{"x":` + deep[9*20:len(deep)-2*20] + `},"plans":[{"name":"a","root":` + strings.Repeat(`{"then":[`, 20) + `{"ref":"x"}` + strings.Repeat(`]}`, 20) + `}]}`, "cost-too-much", "one inside the other", false},
		{`{"plans":[{"name":"a","root":` + deep + `}]}`, "cost-too-much", "one inside the other", false},
		{`{"steps":{` + double + `},"plans":[{"name":"a","root":{"ref":"s12"}}]}`, "cost-too-much", "1024 steps", false},
		{`{"plans":[` + strings.TrimSuffix(strings.Repeat(`{"name":"a","root":`+w+`},`, 257), ",") + `]}`, "cost-too-much", "256 plans", true},
	} {
		plans, deadline, err := ParsePlans([]byte(q.text))
		if err == nil {
			_, err = e.Estimate(plans, deadline)
		}
		var coded operr.Coded
		switch {
		case q.code == "" && (err != nil || len(plans) != 2 || deadline != 90*time.Millisecond):
			t.Errorf("%.200s: %v %v", q.text, deadline, err)
		case q.code != "" && (!errors.As(err, &coded) || coded.Code() != q.code || !strings.Contains(err.Error(), q.names)):
			t.Errorf("%.200s: %v, want %s naming %q", q.text, err, q.code, q.names)
		}
		if len(q.text) > 1<<16 || strings.Contains(q.text, "1e999") {
			continue // no validator reads those
		}
		doc, err := jsonschema.UnmarshalJSON(strings.NewReader(q.text))
		if err == nil {
			err = schema.Validate(doc)
		}
		if form := q.code != "" && err != nil; form != (q.form && q.code != "") {
			t.Errorf("%.200s: the schema says %v", q.text, err)
		}
	}
	e.Between = func() bool { return false }
	var late *OutOfTime
	if _, err := e.Estimate(sixtyFour(), 0); !errors.As(err, &late) || late.Made != 1 {
		t.Errorf("out of time: %v", err)
	}
	loop := make([]Step, 1)
	loop[0].Then = loop
	var much *TooMuch
	if _, err := e.Estimate([]Plan{{Root: loop[0]}}, 0); !errors.As(err, &much) {
		t.Errorf("a Go cycle: %v", err)
	}
	if err := operr.Check(operr.All()); err != nil {
		t.Error(err)
	}
	bad := Defaults(class)
	bad.Prices.End = math.NaN()
	if _, err := New(bad); err == nil || !strings.Contains(err.Error(), "prices.end") {
		t.Errorf("settings: %v", err)
	}
}

// A list may say a start before 1970, or none: its views count like others, and the last start counts alone.
func TestAnyStartOfANodeCounts(t *testing.T) {
	old, now := told("n", "", 0, 40, 50, 1), told("n", "", 0, 40, 5, 2)
	old.StartTime, now.StartTime = -2, -1
	for _, views := range [][]nodestats.View{{old, now}, {now, old}} {
		r, err := learned(t, views).Estimate([]Plan{{Name: "a", Root: read("n", 0, 4)}}, 0)
		if err != nil || r.Views != 1 || r.Dropped != 1 || r.Plans[0].Mean > 20 {
			t.Errorf("%v %+v", err, r)
		}
	}
}
