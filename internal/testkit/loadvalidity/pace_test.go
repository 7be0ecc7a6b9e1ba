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

func notes(t interface{ Fatal(...any) }) *Notes {
	n, err := New(Defaults())
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Each bound, and only it, makes a run invalid, and is named.
func TestJudge(t *testing.T) {
	for what, x := range map[string]struct {
		do   func(*Notes)
		want string
	}{
		"":               {func(*Notes) {}, ""},
		"stopped":        {func(n *Notes) { n.Pause(Pause{At: time.Second, Took: 500 * ms, Why: "process"}) }, "stood still for 500ms at 1s (process), bound 100ms"},
		"a short pause":  {func(n *Notes) { n.Pause(Pause{Took: 100 * ms}) }, ""},
		"kept back":      {func(n *Notes) { n.Keep("open requests") }, "1 of 1001 requests were not sent (open requests)"},
		"one late":       {func(n *Notes) { n.Send(0, time.Second) }, ""},
		"late beyond":    {func(n *Notes) { late(n, 12, 2*ms) }, "1.19% of the requests were sent 2ms late"},
		"lag beyond":     {func(n *Notes) { late(n, 20, 5*ms) }, "99% within 5ms"},
		"sent too early": {func(n *Notes) { n.Send(time.Second, 0) }, ""},
	} {
		n := notes(t)
		for range 1000 {
			n.Send(time.Second, time.Second+100*time.Microsecond)
		}
		x.do(n)
		v := n.Judge()
		if all := strings.Join(v.Reasons, "; "); v.Valid != (x.want == "") || !strings.Contains(all, x.want) {
			t.Errorf("%s: %v %q, want %q", what, v.Valid, all, x.want)
		}
	}
	if v := notes(t).Judge(); v.Valid {
		t.Error("a run that sent nothing is valid")
	}
}

func late(n *Notes, times int, by time.Duration) {
	for range times {
		n.Send(0, by)
	}
}

// The lag's quantiles are right to a tenth, and two workers' notes are one's of the union.
func TestQuantilesAndMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lags := rapid.SliceOfN(rapid.Int64Range(0, 3e9), 1, 300).Draw(t, "lags")
		one, a, b := notes(t), notes(t), notes(t)
		for i, x := range lags {
			part := []*Notes{a, b}[i%2]
			for _, n := range []*Notes{one, part} {
				n.Send(time.Second, time.Second+time.Duration(x))
				if x%7 == 0 {
					n.Keep("x")
					n.Pause(Pause{At: time.Duration(i), Took: time.Duration(x)})
				}
			}
		}
		slices.Sort(lags)
		for _, q := range []float64{0.5, 0.9, 0.99, 1} {
			want := float64(lags[max(0, int(q*float64(len(lags))+0.999999)-1)])
			if got := float64(one.Quantile(q)); got > 1.1*want+1e3 || got < want/1.1-1e3 {
				t.Fatalf("%v: %v, want %v", q, got, want)
			}
		}
		// Through JSON, as workers send theirs.
		text, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		got := &Notes{}
		if err := json.Unmarshal(text, got); err != nil {
			t.Fatal(err)
		}
		if err := a.Merge(got); err != nil {
			t.Fatal(err)
		}
		one.trim()
		if len(lags) <= pausesKept && !reflect.DeepEqual(a, one) || !reflect.DeepEqual(a.Judge(), one.Judge()) {
			t.Fatalf("merged %+v, one %+v", a, one)
		}
	})
	o := notes(t)
	o.Under.Pause++
	if notes(t).Merge(o) == nil {
		t.Error("notes under other bounds are merged")
	}
}

func TestWatch(t *testing.T) {
	w := Watch{Period: ms, Slack: 5 * ms}
	for _, x := range []struct {
		at, gc time.Duration
		want   Pause
	}{{0, 0, Pause{}}, {ms, 0, Pause{}}, {7 * ms, 0, Pause{}}, {507 * ms, 0, Pause{8 * ms, 499 * ms, "process"}},
		{508 * ms, 0, Pause{}}, {520 * ms, 10 * ms, Pause{509 * ms, 11 * ms, "gc"}}} {
		if p, found := w.Tick(x.at, x.gc); p != x.want || found != (x.want.Took > 0) {
			t.Errorf("%v: %+v, want %+v", x.at, p, x.want)
		}
	}
}
