package retrydetect

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

// Each rule on its own, and what looks like a retry and is none.
func TestRules(t *testing.T) {
	read := Entry{Client: "c", Target: "/a", Size: 10}
	at := func(e Entry, at time.Duration) Entry { e.At = at; return e }
	ended := func(e Entry, end End, took, after time.Duration) Entry {
		e.End, e.Took, e.RetryAfter = end, took, after
		return e
	}
	mark := func(e Entry) Entry { e.Mark = true; return e }
	key := func(e Entry, k string) Entry { e.Key = k; return e }
	for name, x := range map[string]struct {
		first, second Entry
		rule          Rule
		orphan        bool
		least, most   float64
	}{
		"marked, same key":             {key(read, "k"), mark(key(at(read, 2*time.Second), "k")), Mark, false, 1, 1},
		"marked, alike":                {read, mark(at(read, ms)), Mark, false, 1, 1},
		"marked, its first is gone":    {read, mark(at(read, time.Minute)), Mark, true, 1, 1},
		"marked, another key":          {key(read, "k"), mark(key(at(read, ms), "l")), Mark, true, 1, 1},
		"same key":                     {key(ended(read, Refused, ms, 0), "k"), key(at(read, ms), "k"), Key, false, 0.95, 0.95},
		"same key, served":             {key(ended(read, Served, ms, 0), "k"), key(at(read, ms), "k"), Key, false, 0.7, 0.7},
		"alike after a refusal":        {ended(read, Refused, 10*ms, 0), at(read, 10*ms), Alike, false, 0.9, 0.9},
		"alike, late":                  {ended(read, Refused, 10*ms, 0), at(read, 1010*ms), Alike, false, 0.5, 0.5},
		"alike, too late":              {ended(read, Refused, 10*ms, 0), at(read, 1011*ms), None, false, 0, 0},
		"alike after its wait":         {ended(read, Refused, 10*ms, 250*ms), at(read, 270*ms), Alike, false, 0.8, 0.85},
		"alike before its wait":        {ended(read, Refused, 10*ms, 250*ms), at(read, 100*ms), None, false, 0, 0},
		"alike after a time-out":       {ended(read, TimedOut, 100*ms, 0), at(read, 200*ms), Alike, false, 0.8, 0.9},
		"alike, an end not recorded":   {ended(read, Refused, 0, 0), at(read, ms), Alike, false, 0.6, 0.6},
		"the same again after service": {ended(read, Served, ms, 0), at(read, 2*ms), None, false, 0, 0},
		"before the first had ended":   {ended(read, Refused, 10*ms, 0), at(read, 5*ms), None, false, 0, 0},
		"another size":                 {ended(read, Refused, ms, 0), Entry{At: 2 * ms, Client: "c", Target: "/a", Size: 11}, None, false, 0, 0},
		"a key of its own":             {ended(read, Refused, ms, 0), key(at(read, 2*ms), "k"), None, false, 0, 0},
	} {
		r, err := New(Defaults())
		if err != nil {
			t.Fatal(err)
		}
		r.Take(x.first)
		if v := r.Take(x.second); v.Rule != x.rule || v.Orphan != x.orphan || v.Of != 0 || v.Confidence < x.least || v.Confidence > x.most {
			t.Errorf("%s: %+v", name, v)
		}
	}
}

// Whatever comes: a first try is earlier, no retry, and has one by likeness at most; what is held
// is bounded; and in a replay each retry is sent or skipped once, as its first try ended.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Defaults()
		set.Most = rapid.IntRange(1, 8).Draw(t, "most")
		r, err := New(set)
		if err != nil {
			t.Fatal(err)
		}
		retry, alikes, now := map[uint64]bool{}, map[uint64]int{}, time.Duration(0)
		g, retries, decided, firsts := NewGate(1000), map[uint64]uint64{}, map[uint64]Decision{}, map[uint64]int{}
		n := uint64(rapid.IntRange(1, 60).Draw(t, "n"))
		for i := range n {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * ms
			v := r.Take(Entry{At: now, Took: ms, Mark: rapid.IntRange(0, 9).Draw(t, "mark") == 0, Client: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "client"),
				Key: rapid.SampledFrom([]string{"", "", "k", "l"}).Draw(t, "key"), End: End(rapid.IntRange(0, 4).Draw(t, "end"))})
			if retry[i] = v.Rule != None; retry[i] && !v.Orphan {
				if v.Of >= i || retry[v.Of] {
					t.Fatalf("%d is a retry of %d", i, v.Of)
				}
				retries[i] = v.Of
				firsts[v.Of]++
			}
			if v.Rule == Alike {
				if alikes[v.Of]++; alikes[v.Of] > 1 {
					t.Fatalf("%d has two by likeness", v.Of)
				}
			}
			if r.Held() > set.Most {
				t.Fatalf("%d held", r.Held())
			}
		}
		served := map[uint64]bool{}
		end := func(f uint64) {
			served[f] = rapid.Bool().Draw(t, "served")
			for _, e := range g.End(f, served[f], nil) {
				decided[e.Retry] = e.Decision
			}
		}
		out := map[uint64]bool{}
		for i := range n {
			if f, is := retries[i]; is {
				if d := g.Due(f, i); d != Wait {
					decided[i] = d
				}
				continue
			}
			if err := g.Begin(i, firsts[i]); err != nil {
				t.Fatal(err)
			}
			if out[i] = true; rapid.Bool().Draw(t, "at once") {
				end(i)
				delete(out, i)
			}
		}
		for i := range n {
			if out[i] {
				end(i)
			}
		}
		for i, f := range retries {
			if d, ok := decided[i]; !ok || (d == Skip) != served[f] {
				t.Fatalf("retry %d of %d, served %v: %v %v", i, f, served[f], d, ok)
			}
		}
		if g.Followed() != 0 {
			t.Fatalf("%d first tries are followed for nothing", g.Followed())
		}
	})
}
