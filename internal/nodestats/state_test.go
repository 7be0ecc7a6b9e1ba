package nodestats

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The error of an invalid setting has the key under which the site's file sets it.
func TestSettingErrorNamesTheKey(t *testing.T) {
	for key, invalidate := range map[string]func(*Settings){
		"origins":   func(s *Settings) { s.MaxOrigins = 0 },
		"bytes":     func(s *Settings) { s.MaxMessageBytes = 100 },
		"expire_ms": func(s *Settings) { s.ExpireAfter = time.Second },
		"clip":      func(s *Settings) { s.ClipFactor = math.NaN() },
	} {
		set := Defaults()
		invalidate(&set)
		var invalid *SettingError
		if _, err := New(set, "p", 1); !errors.As(err, &invalid) || invalid.Key != key {
			t.Errorf("invalid %s: error %v", key, err)
		}
	}
	if _, err := New(Defaults(), "", 1); err == nil {
		t.Error("an empty process name was accepted")
	}
}

// Record, which is called for each attempt, does not allocate.
func TestRecordDoesNotAllocate(t *testing.T) {
	s := newState(t, Defaults(), "me", 1)
	r, now := s.Recorder(0, Key{"n", 1, "c"}), time.Duration(0)
	if n := testing.AllocsPerRun(1000, func() {
		now += time.Second
		r.Record(now, 3, 7, Served)
	}); n != 0 {
		t.Errorf("%v allocations per call of Record, want none", n)
	}
}

// BenchmarkRecord measures one call of Record, at 20,000 outcomes a second.
func BenchmarkRecord(b *testing.B) {
	s := newState(b, Defaults(), "me", 1)
	r, now := s.Recorder(0, Key{"n", 1, "c"}), time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 50 * time.Microsecond
		r.Record(now, float64(i&63), float64(i&1023)/10, Served)
	}
}

// BenchmarkFleet measures a state with the 10,240 cells of a fleet of 32 processes: statistics of 4 classes and the health
// of 64 nodes from each process.
func BenchmarkFleet(b *testing.B) {
	set := Defaults()
	s, r := newState(b, set, "me", 1), rand.New(rand.NewPCG(5, 5))
	var messages [][]byte
	for i := range 32 {
		p := newState(b, set, fmt.Sprintf("p%d", i), 1)
		for n := range 64 {
			for c := range 4 {
				recorder := p.Recorder(0, Key{fmt.Sprintf("n%d", n), 1, fmt.Sprintf("c%d", c)})
				for range 50 {
					recorder.Record(0, float64(r.IntN(64)), r.ExpFloat64()*20, Served)
				}
			}
			p.SetNodeHealth(0, fmt.Sprintf("n%d", n), 1, Health{})
		}
		messages = append(messages, allMessages(b, p, 0)...)
	}
	merge(s, 0, messages...)
	digest, i := s.Digest(0), 0
	for name, f := range map[string]func(){
		"views":  func() { s.Views(0) },
		"digest": func() { s.Digest(0) },
		"diff":   func() { _, _ = s.Diff(0, digest) },
		"merge":  func() { i++; merge(s, 0, messages[i%len(messages)]) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
	}
	b.Logf("%d messages, digest of %d bytes", len(messages), len(digest))
}
