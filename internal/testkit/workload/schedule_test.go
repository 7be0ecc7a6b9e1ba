package workload

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func generate(t interface{ Fatal(...any) }, s Shape, seed uint64, length time.Duration) ([]Request, uint64) {
	a, err := New(s, seed, length)
	if err != nil {
		t.Fatal(err)
	}
	var out []Request
	for {
		r, ok := a.Next()
		if !ok {
			return out, a.Hash()
		}
		out = append(out, r)
	}
}

// The same seed gives the same schedule, a different seed a different one.
func TestSeedDeterminesSchedule(t *testing.T) {
	one, h1 := generate(t, Default(), 7, 30*time.Second)
	two, h2 := generate(t, Default(), 7, 30*time.Second)
	_, h3 := generate(t, Default(), 8, 30*time.Second)
	if h1 != h2 || len(one) != len(two) || h1 == h3 {
		t.Errorf("hashes: seed 7: %x and %x, seed 8: %x", h1, h2, h3)
	}
}

// The default shape has the shares, rates and sizes that the operators specified.
func TestDefaultShape(t *testing.T) {
	s := Default()
	length := 20 * time.Minute
	out, _ := generate(t, s, 3, length)
	classes, hosts, units := map[int]int{}, map[[2]int]int{}, 0.0
	surge, newObjects, readsOfNew, reads := 0, 0, 0, 0
	writes := map[uint64]Request{}
	runLengths, lastExtents := map[int]int{}, map[int]uint64{}
	for i, r := range out {
		if i > 0 && r.At < out[i-1].At || r.Seq != uint64(i) {
			t.Fatalf("request %d is out of order: %+v", i, r)
		}
		classes[r.Class]++
		hosts[[2]int{r.Volume, r.Host}]++
		units += float64(r.Units)
		if r.Surge {
			surge++
		}
		write := s.Classes[r.Class].Write
		if !write {
			reads++
		}
		switch {
		case write && r.Shard < 0:
			newObjects++
			writes[r.Seq+1] = r
		case r.CreatedBy != 0:
			readsOfNew++
			m, ok := writes[r.CreatedBy]
			if !ok || write || m.Extent != r.Extent || m.Volume != r.Volume || r.At-m.At < 300*time.Millisecond || r.At-m.At > 8*time.Second {
				t.Fatalf("read %+v does not match write %+v", r, m)
			}
		default:
			if r.Shard < 0 || r.Shard >= s.Shards {
				t.Fatalf("shard is out of range: %+v", r)
			}
			if lastExtents[r.Volume] == r.Extent {
				runLengths[r.Volume]++
			} else {
				runLengths[r.Volume] = 1
			}
			lastExtents[r.Volume] = r.Extent
			if runLengths[r.Volume] > 2*s.Runs { // two successive runs may draw the same extent
				t.Fatalf("%d successive requests for one extent", runLengths[r.Volume])
			}
		}
	}
	n := float64(len(out))
	for i, c := range s.Classes {
		if share := float64(classes[i]) / n; math.Abs(share-c.Share) > 0.01 {
			t.Errorf("share of class %s: %v", c.Name, share)
		}
	}
	mean := n / length.Seconds() / s.Rate // surges take about 10.85 s of every 30.85 s
	if mean < 1.3 || mean > 1.55 {
		t.Errorf("mean rate is %v times the base rate", mean)
	}
	if share := float64(surge) / n; share < 0.15 || share > 0.35 {
		t.Errorf("share of requests in surges: %v", share)
	}
	if share := float64(readsOfNew) / float64(reads); share < 0.2 || share > 0.54 {
		t.Errorf("share of reads of new objects: %v", share)
	}
	if m := units / n; m < 2 || m > 3 || newObjects == 0 {
		t.Errorf("mean units of a request: %v, want 2 to 3; new objects: %d, want some", m, newObjects)
	}
}

// The number of arrivals equals the integral of the rate, for any steps and ramps.
func TestRateIntegral(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Default()
		s.Process, s.Surges, s.Rate = "constant", nil, rapid.Float64Range(1, 2000).Draw(t, "rate")
		at, now, want, span := 0.0, 1.0, 0.0, 10000.0
		for range rapid.IntRange(0, 4).Draw(t, "steps") {
			st := Step{At: at + rapid.Float64Range(1, 1500).Draw(t, "gap"), Times: rapid.Float64Range(0, 3).Draw(t, "times"),
				Over: rapid.Float64Range(0, 800).Draw(t, "over")}
			want += (st.At-at)*now + st.Over*(now+st.Times)/2
			at, now = st.At+st.Over, st.Times
			s.Steps = append(s.Steps, st)
		}
		want = (want + (span-at)*now) * s.Rate / 1000
		out, _ := generate(t, s, 1, ms(span))
		if math.Abs(float64(len(out))-want) > 2+want*0.005 {
			t.Fatalf("%d arrivals, want %.1f", len(out), want)
		}
	})
}

func TestParse(t *testing.T) {
	if s, err := Parse([]byte(`{"rate":50,"surges":null}`)); err != nil || s.Rate != 50 || s.Surges != nil || len(s.Classes) != 3 {
		t.Errorf("%+v %v", s, err)
	}
	for text, want := range map[string]string{
		`{"rate":0}`: "rate", `{"process":"x"}`: "process", `{"what":1}`: "what", `{"steps":[{"at":5,"times":1},{"at":1,"times":1}]}`: "steps.1",
		`{"classes":[{"name":"a","share":1,"deadline":10,"aim":20}]}`: "classes.0", `{"units":[0]}`: "units", `{"surges":{"times":0.5}}`: "surges",
	} {
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("shape %s: the error does not name the invalid key: %v", text, err)
		}
	}
	text, err := json.Marshal(Default())
	if err != nil {
		t.Fatal(err)
	}
	if s, err := Parse(text); err != nil || s.Surges.Times != 2.2 {
		t.Errorf("%+v %v", s, err)
	}
}

func BenchmarkNext(b *testing.B) {
	a, err := New(Default(), 1, 1<<60)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Next()
	}
}
