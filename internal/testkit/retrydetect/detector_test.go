package retrydetect

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const ms = time.Millisecond

// Each rule on its own, and requests that look like retries but are not.
func TestRules(t *testing.T) {
	read := Entry{Client: "c", Target: "/a", Size: 10}
	at := func(e Entry, at time.Duration) Entry { e.At = at; return e }
	ended := func(e Entry, end End, took, after time.Duration) Entry {
		e.End, e.Duration, e.RetryAfter = end, took, after
		return e
	}
	mark := func(e Entry) Entry { e.RetryHeader = true; return e }
	key := func(e Entry, k string) Entry { e.Key = k; return e }
	for name, x := range map[string]struct {
		first, second                Entry
		rule                         Rule
		orphan                       bool
		minConfidence, maxConfidence float64
	}{
		"retry header, same key":                {key(read, "k"), mark(key(at(read, 2*time.Second), "k")), RetryHeader, false, 1, 1},
		"retry header, similar":                 {read, mark(at(read, ms)), RetryHeader, false, 1, 1},
		"retry header, first attempt expired":   {read, mark(at(read, time.Minute)), RetryHeader, true, 1, 1},
		"retry header, another key":             {key(read, "k"), mark(key(at(read, ms), "l")), RetryHeader, true, 1, 1},
		"same key":                              {key(ended(read, Rejected, ms, 0), "k"), key(at(read, ms), "k"), SameKey, false, 0.95, 0.95},
		"same key, served":                      {key(ended(read, Served, ms, 0), "k"), key(at(read, ms), "k"), SameKey, false, 0.7, 0.7},
		"similar after a rejection":             {ended(read, Rejected, 10*ms, 0), at(read, 10*ms), Similar, false, 0.9, 0.9},
		"similar, at the end of the time limit": {ended(read, Rejected, 10*ms, 0), at(read, 1010*ms), Similar, false, 0.5, 0.5},
		"similar, after the time limit":         {ended(read, Rejected, 10*ms, 0), at(read, 1011*ms), None, false, 0, 0},
		"similar after Retry-After":             {ended(read, Rejected, 10*ms, 250*ms), at(read, 270*ms), Similar, false, 0.8, 0.85},
		"similar before Retry-After":            {ended(read, Rejected, 10*ms, 250*ms), at(read, 100*ms), None, false, 0, 0},
		"similar after a timeout":               {ended(read, TimedOut, 100*ms, 0), at(read, 200*ms), Similar, false, 0.8, 0.9},
		"similar, end not recorded":             {ended(read, Rejected, 0, 0), at(read, ms), Similar, false, 0.6, 0.6},
		"same request after success":            {ended(read, Served, ms, 0), at(read, 2*ms), None, false, 0, 0},
		"similar before the first ended":        {ended(read, Rejected, 10*ms, 0), at(read, 5*ms), None, false, 0, 0},
		"similar but another size":              {ended(read, Rejected, ms, 0), Entry{At: 2 * ms, Client: "c", Target: "/a", Size: 11}, None, false, 0, 0},
		"similar but with a new key":            {ended(read, Rejected, ms, 0), key(at(read, 2*ms), "k"), None, false, 0, 0},
	} {
		d, err := New(Defaults())
		if err != nil {
			t.Fatal(err)
		}
		d.Add(x.first)
		if v := d.Add(x.second); v.Rule != x.rule || v.Orphan != x.orphan || v.FirstAttempt != 0 || v.Confidence < x.minConfidence || v.Confidence > x.maxConfidence {
			t.Errorf("%s: wrong verdict %+v", name, v)
		}
	}
}

// For any sequence of entries, a first attempt is earlier, is not a retry itself and has at most one retry by
// similarity. The number of entries kept is bounded. In a replay, each retry is sent or skipped once, depending on how
// its first attempt ended.
func TestDetectorAndGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Defaults()
		settings.MaxEntries = rapid.IntRange(1, 8).Draw(t, "max entries")
		d, err := New(settings)
		if err != nil {
			t.Fatal(err)
		}
		retry, similarRetries, now := map[uint64]bool{}, map[uint64]int{}, time.Duration(0)
		g, retries, decided, retryCounts := NewGate(1000), map[uint64]uint64{}, map[uint64]Decision{}, map[uint64]int{}
		n := uint64(rapid.IntRange(1, 60).Draw(t, "entries"))
		for i := range n {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * ms
			v := d.Add(Entry{At: now, Duration: ms, RetryHeader: rapid.IntRange(0, 9).Draw(t, "retry header") == 0, Client: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "client"),
				Key: rapid.SampledFrom([]string{"", "", "k", "l"}).Draw(t, "key"), End: End(rapid.IntRange(0, 4).Draw(t, "end"))})
			if retry[i] = v.Rule != None; retry[i] && !v.Orphan {
				if v.FirstAttempt >= i || retry[v.FirstAttempt] {
					t.Fatalf("entry %d was assigned to first attempt %d, which is later or itself a retry", i, v.FirstAttempt)
				}
				retries[i] = v.FirstAttempt
				retryCounts[v.FirstAttempt]++
			}
			if v.Rule == Similar {
				if similarRetries[v.FirstAttempt]++; similarRetries[v.FirstAttempt] > 1 {
					t.Fatalf("entry %d has two retries by similarity", v.FirstAttempt)
				}
			}
			if d.Len() > settings.MaxEntries {
				t.Fatalf("%d entries kept, more than MaxEntries", d.Len())
			}
		}
		served := map[uint64]bool{}
		end := func(f uint64) {
			served[f] = rapid.Bool().Draw(t, "served")
			for _, e := range g.End(f, served[f], nil) {
				decided[e.Retry] = e.Decision
			}
		}
		inFlight := map[uint64]bool{}
		for i := range n {
			if f, isRetry := retries[i]; isRetry {
				if d := g.Due(f, i); d != Wait {
					decided[i] = d
				}
				continue
			}
			if err := g.Begin(i, retryCounts[i]); err != nil {
				t.Fatal(err)
			}
			if inFlight[i] = true; rapid.Bool().Draw(t, "at once") {
				end(i)
				delete(inFlight, i)
			}
		}
		for i := range n {
			if inFlight[i] {
				end(i)
			}
		}
		for i, f := range retries {
			if d, ok := decided[i]; !ok || (d == Skip) != served[f] {
				t.Fatalf("retry %d of first attempt %d, served %v: decision %v, decided %v", i, f, served[f], d, ok)
			}
		}
		if g.Tracked() != 0 {
			t.Fatalf("%d first attempts still tracked at the end", g.Tracked())
		}
	})
}
