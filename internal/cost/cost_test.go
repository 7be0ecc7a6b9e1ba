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

// viewOfNode returns the view of a node after n answers. Their mean service time is level milliseconds at 4 units, plus
// 1 ms for each further unit, with a coefficient of variation of about 0.4.
func viewOfNode(node, typ string, shard int, n, level float64, seed uint64) nodestats.View {
	random := rand.New(rand.NewPCG(seed, 1))
	v := nodestats.View{Key: nodestats.Key{Node: node, StartTime: 1, Class: class}, Type: typ, Shard: shard, Window: 4, Origins: 3, Age: time.Second}
	for range int(n) {
		units := 1 + float64(random.IntN(8))
		millis := (level + units - 4) * math.Exp(0.4*random.NormFloat64()-0.08)
		addAnswer(&v.Sums, units, millis)
	}
	return v
}

// addAnswer adds one answer to sums.
func addAnswer(s *nodestats.Sums, units, millis float64) {
	s.N++
	s.X, s.Y = s.X+units, s.Y+millis
	s.XX, s.XY, s.YY = s.XX+units*units, s.XY+units*millis, s.YY+millis*millis
}

// fleetViews returns the views of 12 nodes on 4 shards, of 3 hardware types with mean service times from 8, 16 and
// 24 ms at 4 units.
func fleetViews() (views []nodestats.View) {
	for i := range 12 {
		typ := i % 3
		views = append(views, viewOfNode(fmt.Sprintf("n-%02d", i), fmt.Sprintf("t%d", typ), i/3, 40, 8*float64(1+typ)*(1+0.05*float64(i%4)), uint64(i)))
	}
	return views
}

func newEstimator(t testing.TB, views []nodestats.View) *Estimator {
	t.Helper()
	e, err := New(Defaults(class, "write"))
	if err != nil {
		t.Fatal(err)
	}
	e.SetViews(views)
	return e
}

func readStep(node string, shard int, units float64) Step {
	return Step{Work: &Work{Shard: shard, Class: class, Units: units, Node: node}}
}

func estimateRoots(t testing.TB, e *Estimator, deadline time.Duration, roots ...Step) Ranking {
	t.Helper()
	var plans []Plan
	for i, root := range roots {
		plans = append(plans, Plan{Name: fmt.Sprint(i), Root: root})
	}
	ranking, err := e.Estimate(plans, deadline)
	if err != nil {
		t.Fatal(err)
	}
	return ranking
}

func answerFor(r Ranking, name string) Answer {
	return r.Plans[slices.IndexFunc(r.Plans, func(a Answer) bool { return a.Name == name })]
}

// An estimate contains the units, the delay by the rate limit, the units in slow start, the quantiles, the probability
// of being served, the queueing time, and the basis.
func TestEstimateReportsLimitsLoadAndBasis(t *testing.T) {
	settings := Defaults(class, "write")
	settings.Limits = map[string]Rate{"gold": {PerSecond: 100, Burst: 10}}
	e, err := New(settings)
	if err != nil {
		t.Fatal(err)
	}
	views := fleetViews()
	views[0].WarmingUp = true
	views[4].Rejected = 40
	views[5].Queue = 8
	e.SetViews(views)
	plans := []Plan{
		{Name: "slow", Root: readStep("n-02", 0, 4)},
		{Name: "fast", Limit: "gold", Left: -1, Root: Step{Then: []Step{readStep("n-00", 0, 10), readStep("n-00", 0, 10)}}},
		{Name: "rejecting", Root: readStep("n-04", 1, 4)},
		{Name: "queued", Root: readStep("n-05", 1, 4)},
		{Name: "anywhere", Root: Step{Work: &Work{Shard: 1, Class: class, Units: 4}}},
		{Name: "without answers", Root: Step{Work: &Work{Shard: 1, Class: "write", Units: 4, Node: "n-05"}}},
	}
	r, err := e.Estimate(plans, 400*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	fast, slow, queued := answerFor(r, "fast"), answerFor(r, "slow"), answerFor(r, "queued")
	if fast.Units != 20 || fast.Held != 100 || fast.Cold != 20 || fast.P50 < 100 || len(fast.Work) != 1 || fast.Work[0].Type != "t0" {
		t.Errorf("units, delay by the limit, slow start or quantiles of the plan fast: %+v", fast)
	}
	if !(slow.Low < slow.P50 && slow.P50 < slow.P90 && slow.P90 < slow.High && slow.High < slow.P99) || math.Abs(slow.Mean-24) > 4 ||
		slow.Basis.Level > FromType || slow.Basis.Origins != 3 || slow.Basis.AgeMs != 1000 || slow.Basis.Trust < 0.4 || slow.Chance < 0.9 {
		t.Errorf("quantiles, mean or basis of the plan slow: %+v", slow)
	}
	if c := answerFor(r, "rejecting"); c.Served > 0.8 || c.Chance > c.Served {
		t.Errorf("probability of the plan on a rejecting node: %+v", c)
	}
	if queued.Mean < 2.5*slow.Mean { // 8 requests are queued for a window of 4: two more service times
		t.Errorf("mean of the plan on a node with a queue: %+v", queued)
	}
	if c := answerFor(r, "anywhere"); len(c.Work) != 3 || c.P50 > queued.P50 {
		t.Errorf("plan for any node of the shard: %+v", c)
	}
	if c := answerFor(r, "without answers"); c.Basis.Level != FromSettings || c.Mean < 15 || c.Basis.Trust != 0 || c.Basis.Answers != 0 {
		t.Errorf("plan of a class without answers: %+v", c)
	}
	if text, err := r.JSON(); err != nil || !strings.Contains(string(text), `"level":"settings"`) {
		t.Errorf("JSON of the ranking: %s, error %v", text, err)
	}
}

// sampleEnd draws a completion time of a step from the lognormal distributions of its reads.
func sampleEnd(e *Estimator, s *Step, random *rand.Rand) float64 {
	if s.Work != nil {
		e.totals = planTotals{}
		var d distribution
		_ = e.estimateWork(s.Work, &stepPath{}, &d)
		d.variance += d.standardErr * d.standardErr
		deviation := math.Sqrt(d.variance)
		cv := cvOfSkewness(d.thirdCumulant / (d.variance * deviation))
		sigma := math.Sqrt(math.Log1p(cv * cv))
		return max(d.mean+deviation*math.Expm1(sigma*random.NormFloat64()-sigma*sigma/2)/cv, 0)
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
		v := sampleEnd(e, &steps[i], random)
		ends, sum = append(ends, v), sum+v
	}
	if s.Then != nil {
		return sum
	}
	slices.Sort(ends)
	return ends[k-1]
}

// Means and quantiles of plans agree with 40,000 simulated completion times of the same plan. docs/design/cost.md states
// the errors.
func TestEstimatesMatchSimulatedPlans(t *testing.T) {
	views := fleetViews()
	for i := range views { // so many answers that the models' standard errors, which add up in a chain, are small
		scaleSums(&views[i].Sums, 1000)
	}
	e := newEstimator(t, views)
	reads := func(n int) (s []Step) {
		for i := range n {
			s = append(s, readStep(fmt.Sprintf("n-%02d", i%12), i%12/3, float64(1+i%7)))
		}
		return s
	}
	for name, root := range map[string]Step{
		"one": readStep("n-01", 0, 4), "then 16": {Then: reads(16)}, "all 2": {All: reads(2)}, "all 64": {All: reads(64)}, "any 2": {Any: reads(2)},
		"any 12": {Any: reads(12)}, "2 of 3": {Of: &Quorum{2, reads(3)}}, "8 of 12": {Of: &Quorum{8, reads(12)}},
		"all of thens": {All: []Step{{Then: reads(4)}, {Then: reads(6)}, {Any: reads(5)}}},
		"then of alls": {Then: []Step{{All: reads(8)}, {Any: reads(3)}, {All: reads(20)}}},
	} {
		a := estimateRoots(t, e, 0, root).Plans[0]
		random := rand.New(rand.NewPCG(7, 7))
		ends := make([]float64, 40000)
		mean := 0.0
		for i := range ends {
			ends[i] = sampleEnd(e, &root, random)
			mean += ends[i] / float64(len(ends))
		}
		slices.Sort(ends)
		maxError := math.Abs(a.Mean/mean - 1)
		for p, got := range map[float64]float64{0.05: a.Low, 0.5: a.P50, 0.9: a.P90, 0.95: a.High, 0.99: a.P99} {
			maxError = max(maxError, math.Abs(got/ends[int(p*float64(len(ends)))]-1))
		}
		t.Logf("%-14s largest error of mean, p5, p50, p90, p95, p99: %.1f%%", name, 100*maxError)
		if maxError > 0.06 {
			t.Errorf("%s: error of %.1f%%: %+v, simulated mean %.2f p5 %.2f p50 %.2f p99 %.2f", name, 100*maxError, a, mean,
				ends[2000], ends[20000], ends[39600])
		}
	}
}

// Plans on two similar nodes cannot be distinguished after a few answers; after many they can.
func TestSimilarNodesAreDistinguishedOnlyWithEnoughAnswers(t *testing.T) {
	for n, want := range map[float64]int{3: 1, 4000: 0} {
		e := newEstimator(t, []nodestats.View{viewOfNode("a", "t", 0, n, 10, 1), viewOfNode("b", "t", 0, n, 12, 2), viewOfNode("c", "t", 0, n, 11, 2)})
		r := estimateRoots(t, e, 0, readStep("a", 0, 4), readStep("b", 0, 4))
		if len(r.Plans[0].Alike) != want || n > 1000 && r.Plans[0].Name != "0" {
			t.Errorf("%g answers: wrong plans are reported as alike, or the cheaper one is not first: %+v", n, r)
		}
	}
}

// Each kind of invalid input yields an error with the expected code, which names the invalid step. The JSON Schema
// rejects those inputs whose error it can express.
func TestInvalidInputsNameTheStep(t *testing.T) {
	var root any
	if err := func() (err error) {
		root, err = jsonschema.UnmarshalJSON(strings.NewReader(string(Schema)))
		return err
	}(); err != nil {
		t.Fatal(err)
	}
	compiler := jsonschema.NewCompiler()
	_ = compiler.AddResource("wheatsaddle:plans", root)
	schema := compiler.MustCompile("wheatsaddle:plans")
	step := `{"work":{"shard":1,"class":"read","units":2}}`
	tooDeep := strings.Repeat(`{"then":[`, 70) + step + strings.Repeat(`]}`, 70)
	doubling := `"s0":` + step
	for i := range 12 {
		doubling += fmt.Sprintf(`,"s%d":{"all":[{"ref":"s%d"},{"ref":"s%d"}]}`, i+1, i, i)
	}
	e := newEstimator(t, fleetViews())
	for _, input := range []struct {
		text, code, contains string
		schemaRejects        bool // of invalid inputs: the schema rejects it too
	}{
		{`{"plans":[{"name":"a","root":` + step + `},{"name":"b","root":{"of":{"k":1,"steps":[` + step + `,{"ref":"x"}]}}}],"steps":{"x":{"any":[` + step + `]}},"deadline_ms":90}`, "", "", true},
		{`{"plans":`, "cost-bad-plans", "JSON", true},
		{strings.Repeat(`[`, 1<<20), "cost-bad-plans", "JSON", true},
		{`{"plans":[]}`, "cost-bad-plans", "plans", true},
		{`{"plans":[{"name":"a"}]}`, "cost-bad-plans", "plans.0", true},
		{`{"plans":[{"name":"a","root":{"then":[` + step + `,{"all":[]}]}}]}`, "cost-bad-plans", "plans.0.root.then.1.all", true},
		{`{"plans":[{"name":"a","root":{"wait":3}}]}`, "cost-bad-plans", "plans.0.root", true},
		{`{"plans":[{"name":"a","root":` + strings.Replace(step, "}}", `},"all":[`+step+`]}`, 1) + `}]}`, "cost-bad-plans", "plans.0.root", true},
		{`{"plans":[{"name":"a","root":{"all":[` + strings.Replace(step, `"units":2`, `"units":-2`, 1) + `]}}]}`, "cost-bad-figure", "plans.0.root.all.0.work", true},
		{`{"plans":[{"name":"a","root":` + strings.Replace(step, `"units":2`, `"units":1e999`, 1) + `}]}`, "cost-bad-figure", "plans.0.root.work", true},
		{`{"plans":[{"name":"a","root":{"of":{"k":3,"steps":[` + step + `]}}}]}`, "cost-bad-figure", "plans.0.root", false},
		{`{"deadline_ms":-1,"plans":[{"name":"a","root":` + step + `}]}`, "cost-bad-figure", "deadline_ms", true},
		{`{"plans":[{"name":"a","root":` + strings.Replace(step, `"shard":1`, `"shard":9`, 1) + `}]}`, "cost-unknown-name", `plans.0.root.work: no shard "9"`, false},
		{`{"plans":[{"name":"a","root":` + strings.Replace(step, "read", "erase", 1) + `}]}`, "cost-unknown-name", `plans.0.root.work: no class "erase"`, false},
		{`{"plans":[{"name":"a","root":` + strings.Replace(step, "{\"shard\"", `{"node":"n-00","shard"`, 1) + `}]}`, "cost-unknown-name", "n-00", false},
		{`{"plans":[{"name":"a","limit":"gold","root":` + step + `}]}`, "cost-unknown-name", "gold", false},
		{`{"plans":[{"name":"a","root":{"then":[{"ref":"none"}]}}]}`, "cost-unknown-name", `plans.0.root.then.0: no step "none"`, false},
		{`{"steps":{"x":{"all":[` + step + `,{"ref":"y"}]},"y":{"then":[{"ref":"x"}]}},"plans":[{"name":"a","root":{"ref":"x"}}]}`, "cost-cycle", `steps.y.then.0: "x"`, false},
		{`{"steps":{"x":{"ref":"x"}},"plans":[{"name":"a","root":` + step + `}]}`, "cost-cycle", "steps.x", false},
		{`{"steps":{"x":{"then":[{"ref":"y"}]},"y":{"ref":"x"},"z":` + step + `},"plans":[{"name":"a","root":{"ref":"z"}}]}`, "cost-cycle", "leads back to itself", false},
		{`{"steps":{"x":` + tooDeep[9*20:len(tooDeep)-2*20] + `},"plans":[{"name":"a","root":` + strings.Repeat(`{"then":[`, 20) + `{"ref":"x"}` + strings.Repeat(`]}`, 20) + `}]}`, "cost-too-much", "steps one inside the other", false},
		{`{"plans":[{"name":"a","root":` + tooDeep + `}]}`, "cost-too-much", "steps one inside the other", false},
		{`{"steps":{` + doubling + `},"plans":[{"name":"a","root":{"ref":"s12"}}]}`, "cost-too-much", "1024 steps", false},
		{`{"plans":[` + strings.TrimSuffix(strings.Repeat(`{"name":"a","root":`+step+`},`, 257), ",") + `]}`, "cost-too-much", "256 plans", true},
	} {
		plans, deadline, err := ParsePlans([]byte(input.text))
		if err == nil {
			_, err = e.Estimate(plans, deadline)
		}
		var coded operr.Coded
		switch {
		case input.code == "" && (err != nil || len(plans) != 2 || deadline != 90*time.Millisecond):
			t.Errorf("%.200s: valid input, deadline %v, error %v", input.text, deadline, err)
		case input.code != "" && (!errors.As(err, &coded) || coded.Code() != input.code || !strings.Contains(err.Error(), input.contains)):
			t.Errorf("%.200s: error %v, want code %s and text %q", input.text, err, input.code, input.contains)
		}
		if len(input.text) > 1<<16 || strings.Contains(input.text, "1e999") {
			continue // the validator's parser does not accept these
		}
		doc, err := jsonschema.UnmarshalJSON(strings.NewReader(input.text))
		if err == nil {
			err = schema.Validate(doc)
		}
		if schemaRejects := input.code != "" && err != nil; schemaRejects != (input.schemaRejects && input.code != "") {
			t.Errorf("%.200s: unexpected result of the schema's validation: %v", input.text, err)
		}
	}
	e.ShouldContinue = func() bool { return false }
	var timeout *TimeoutError
	if _, err := e.Estimate(plansOf64Steps(), 0); !errors.As(err, &timeout) || timeout.Estimated != 1 {
		t.Errorf("time limit after the first plan: error %v", err)
	}
	cyclic := make([]Step, 1)
	cyclic[0].Then = cyclic
	var limit *LimitError
	if _, err := e.Estimate([]Plan{{Root: cyclic[0]}}, 0); !errors.As(err, &limit) {
		t.Errorf("steps that contain themselves: error %v, want a LimitError", err)
	}
	if err := operr.Check(operr.All()); err != nil {
		t.Error(err)
	}
	invalid := Defaults(class)
	invalid.Prices.End = math.NaN()
	if _, err := New(invalid); err == nil || !strings.Contains(err.Error(), "prices.end") {
		t.Errorf("invalid settings: error %v, want one with prices.end", err)
	}
}

// Start times of nodes may be before 1970 or missing. Their views count like others, and of several start times of a node
// only the latest counts.
func TestOnlyTheLatestStartTimeOfANodeCounts(t *testing.T) {
	old, now := viewOfNode("n", "", 0, 40, 50, 1), viewOfNode("n", "", 0, 40, 5, 2)
	old.StartTime, now.StartTime = -2, -1
	for _, views := range [][]nodestats.View{{old, now}, {now, old}} {
		r, err := newEstimator(t, views).Estimate([]Plan{{Name: "a", Root: readStep("n", 0, 4)}}, 0)
		if err != nil || r.Views != 1 || r.Dropped != 1 || r.Plans[0].Mean > 20 {
			t.Errorf("error %v, or the earlier start time counts: %+v", err, r)
		}
	}
}
