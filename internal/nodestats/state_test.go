package nodestats

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/operr"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func small() Settings {
	set := Defaults()
	set.MaxOrigins, set.MaxNodes, set.MaxClasses = 4, 3, 2
	set.HalfLife, set.ExpireAfter = 30*time.Second, 5*time.Minute
	return set
}

func state(t rapid.TB, set Settings, self string, incarnation uint64, lost string) *State {
	s, err := New(set, self, incarnation)
	if err != nil {
		t.Fatal(err)
	}
	s.lost = lost
	return s
}

// fields are the messages that hold the whole of a state.
func all(t rapid.TB, s *State, now time.Duration) [][]byte {
	nobody := sealMessage(appendName(beginMessage(kindDigest), "nobody"))
	m, err := s.Diff(now, nobody)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func feed(s *State, now time.Duration, messages ...[]byte) {
	for _, m := range messages {
		_ = s.Merge(now, m)
	}
}

// record counts random outcomes on random nodes.
func record(s *State, r *rand.Rand, now time.Duration, n int) {
	for range n {
		k := Key{fmt.Sprintf("n%d", r.IntN(5)), 1 + int64(r.IntN(2)), fmt.Sprintf("c%d", r.IntN(3))}
		s.Recorder(now, k).Record(now, float64(r.IntN(64)), r.ExpFloat64()*20, Outcome(r.IntN(4)))
	}
	s.SetNodeHealth(now, fmt.Sprintf("n%d", r.IntN(5)), 1, Health{Type: "hdd", Shard: r.IntN(3), Window: float64(r.IntN(9))})
	s.SetListVersion(now, int64(r.IntN(4)))
}

// history is messages of several processes over some time, some of two lives: 6 names for a bound of 4.
func history(t rapid.TB, r *rand.Rand) (messages [][]byte, end time.Duration) {
	states := map[string]*State{}
	for i := range 40 {
		end = time.Duration(i) * time.Second
		name := fmt.Sprintf("p%d", r.IntN(6))
		if states[name] == nil || r.IntN(12) == 0 {
			states[name] = state(t, small(), name, uint64(i+1), "")
		}
		record(states[name], r, end, 20)
		messages = append(messages, all(t, states[name], end)...)
	}
	return messages, end
}

// held is what a state holds of others, ages apart.
func held(s *State) string {
	var b bytes.Buffer
	for _, name := range s.originNames() {
		if o := s.origin(name); name != s.self {
			sum := s.origin(name).summary()
			fmt.Fprintln(&b, name, o.incarnation, len(o.cells), sum.buckets)
		}
	}
	return b.String()
}

// mergeAnyWay: the messages in any order, some twice, and through other states as between processes, give
// what one merge of all gives.
func mergeAnyWay(t rapid.TB, seed uint64, lost string) error {
	r := rand.New(rand.NewPCG(seed, 1))
	messages, now := history(t, r)
	plain := state(t, small(), "me", 1, lost)
	feed(plain, now, messages...)
	any := slices.Clone(messages)
	for range len(messages) / 2 {
		any = append(any, messages[r.IntN(len(messages))])
	}
	r.Shuffle(len(any), func(i, j int) { any[i], any[j] = any[j], any[i] })
	shuffled := state(t, small(), "me", 1, lost)
	feed(shuffled, now, any...)
	tree := state(t, small(), "me", 1, lost)
	for half := range 2 { // a tree: two others that pass on what they hold
		between := state(t, small(), "me", 1, lost)
		for i, m := range any {
			if i%2 == half {
				feed(between, now, m)
			}
		}
		feed(tree, now, all(t, between, now)...)
	}
	for _, s := range []*State{plain, shuffled, tree} {
		if err := s.Check(); err != nil {
			return err
		}
	}
	if a, b, c := held(plain), held(shuffled), held(tree); a != b || a != c {
		return fmt.Errorf("in order:\n%sshuffled:\n%sover a tree:\n%s", a, b, c)
	}
	return nil
}

func TestMergeIsTheSameInAnyOrderTreeAndNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := mergeAnyWay(t, rapid.Uint64().Draw(t, "seed"), ""); err != nil {
			t.Fatal(err)
		}
	})
	for _, lost := range []string{"incarnation", "sequence", "cells", "origins"} {
		caught := false
		for seed := uint64(0); seed < 20 && !caught; seed++ {
			caught = mergeAnyWay(t, seed, lost) != nil
		}
		if !caught {
			t.Errorf("without the rule %q nothing is noticed", lost)
		}
	}
}

// forge makes a message of cells with given versions.
func forge(name string, incarnation uint64, cells ...wireCell) []byte {
	b := binary.AppendUvarint(appendName(beginMessage(kindCells), name), incarnation)
	for _, c := range cells {
		b = c.append(b)
	}
	return sealMessage(b)
}

// oldOverNew gives old news after new: of an earlier life, of an earlier sequence, two bodies of one
// sequence, and a late copy of something whose successor has expired.
func oldOverNew(t rapid.TB, lost string) error {
	figure := func(n float64) []byte {
		f := classStats{long: decayedCounts{sums: Sums{n, n, n, n, n, n}}}
		return f.append(nil)
	}
	id, set := cellID{"n", "c"}, small()
	count := func(now time.Duration, messages ...[]byte) float64 {
		s := state(t, set, "me", 1, lost)
		feed(s, 0, messages[0])
		s.Views(now)
		feed(s, now, messages[1:]...)
		for _, v := range s.Views(now) {
			return math.Round(v.Sums.N)
		}
		return 0
	}
	for what, c := range map[string]struct{ got, want float64 }{
		"earlier life": {count(0, forge("p", 2, wireCell{id, 1, 0, figure(10)}), forge("p", 1, wireCell{id, 9, 0, figure(20)})), 10},
		"earlier":      {count(0, forge("p", 1, wireCell{id, 2, 0, figure(10)}), forge("p", 1, wireCell{id, 1, 0, figure(20)})), 10},
		"one sequence": {count(0, forge("p", 1, wireCell{id, 1, 0, figure(20)}), forge("p", 1, wireCell{id, 1, 0, figure(10)})), 20},
		"expired":      {count(set.ExpireAfter, forge("p", 1, wireCell{id, 2, 0, figure(10)}), forge("p", 1, wireCell{id, 1, 0, figure(20)})), 0},
		"too old":      {count(0, forge("p", 1, wireCell{cellID{"m", ""}, 1, 0, Health{}.append(nil, 1)}), forge("q", 1, wireCell{id, 1, set.ExpireAfter, figure(20)})), 0},
		"later life":   {count(0, forge("p", 1, wireCell{id, 9, 0, figure(10)}), forge("p", 2, wireCell{id, 1, 0, figure(20)})), 20},
	} {
		if c.got != c.want {
			return fmt.Errorf("%s: %v, want %v", what, c.got, c.want)
		}
	}
	return nil
}

func TestOldNewsNeverGoesOverNew(t *testing.T) {
	if err := oldOverNew(t, ""); err != nil {
		t.Fatal(err)
	}
	for _, lost := range []string{"incarnation", "sequence", "floor", "tie"} {
		if oldOverNew(t, lost) == nil {
			t.Errorf("without the rule %q nothing is noticed", lost)
		}
	}
}

// bent: four honest processes and one that says anything at all. Its weight is at most the clip of the median,
// and the fleet's mean and 99th percentile stay within the clip of what the honest say.
func bent(t rapid.TB, seed uint64, lost string) error {
	r := rand.New(rand.NewPCG(seed, 2))
	set := small()
	set.MaxOrigins = 8
	s := state(t, set, "me", 1, lost)
	k := Key{"n0", 1, "c0"}
	most, total := 0.0, 0.0
	end := 6 * time.Second // so that memories can differ
	for i := range 2 + r.IntN(3) {
		p := state(t, set, fmt.Sprintf("p%d", i), 1, "")
		slot, n := p.Recorder(0, k), 20+r.IntN(200)
		for j := range n {
			slot.Record(end*time.Duration(j)/time.Duration(n), 1+r.Float64(), 10+r.Float64(), Served)
		}
		most, total = max(most, float64(n)), total+float64(n)
		feed(s, end, all(t, p, end)...)
	}
	bad := state(t, set, "bad", 1, "")
	slot := bad.Recorder(0, k)
	for range 1 + r.IntN(3) {
		scale := math.Pow(10, r.Float64()*10-3)
		at := time.Duration(r.Int64N(int64(end)))
		for range 1 + r.IntN(3000) {
			slot.Record(at, r.Float64()*scale, min(r.Float64()*scale, maxLatencyMs), []Outcome{Served, Served, Failed}[r.IntN(3)])
		}
	}
	feed(s, end, all(t, bad, end)...)
	views := s.Views(end)
	if len(views) != 1 {
		return fmt.Errorf("%d views of one key", len(views))
	}
	v := views[0]
	p99, _ := Quantile(v.Sketch, 0.99)
	switch c := set.ClipFactor; {
	case v.Sums.N+v.Failed > total+c*max(most, minReferenceWeight)+1:
		return fmt.Errorf("weight %v over %v of the honest, each at most %v", v.Sums.N, total, most)
	case v.Sums.Y/v.Sums.N > 11*c || math.Sqrt(v.Sums.YY/v.Sums.N) > 11*c+1 || v.Sums.X/v.Sums.N > 2*c:
		return fmt.Errorf("bent to %+v", v.Sums)
	case p99 > 11*c*25: // a bucket of a bad one's spread: root mean square, not the largest
		return fmt.Errorf("99th percentile %v", p99)
	case !v.Sums.plausible():
		return fmt.Errorf("sums of no observations: %+v", v.Sums)
	}
	return nil
}

func TestOneOriginCannotBendThePicture(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := bent(t, rapid.Uint64().Draw(t, "seed"), ""); err != nil {
			t.Fatal(err)
		}
	})
	caught := false
	for seed := uint64(0); seed < 20; seed++ {
		caught = caught || bent(t, seed, "clip") != nil
	}
	if !caught {
		t.Error("without the clip nothing is noticed")
	}
}

// One that was killed and starts under its name with a lower incarnation, and one whose name another took, begin
// a life that all holders take.
func TestItsOwnNameFromOthersMakesALaterLife(t *testing.T) {
	ask := func(lost string) float64 {
		before, other := state(t, small(), "p", 9, ""), state(t, small(), "q", 1, "")
		before.Recorder(0, Key{"n", 1, "c"}).Record(0, 1, 1, Failed)
		feed(other, 0, all(t, before, 0)...)
		now := state(t, small(), "p", 3, lost)
		now.Recorder(0, Key{"n", 1, "c"}).Record(0, 1, 1, Rejected)
		feed(other, 0, all(t, now, 0)...)
		feed(now, 0, all(t, other, 0)...)
		feed(other, 0, all(t, now, 0)...)
		if n := now.Counts().IdentityConflicts; n != 1 {
			t.Errorf("refuted %d times", n)
		}
		return other.Views(0)[0].Rejected
	}
	if ask("") != 1 || ask("refute") != 0 {
		t.Error("the later life was not taken, or the rule's loss is not noticed")
	}
}

// A node replaced under its name starts as unknown: of another life nothing is in the views, here or from
// others.
func TestANodeReplacedStartsAsUnknown(t *testing.T) {
	count := func(lost string) (n float64) {
		s, p := state(t, small(), "me", 1, lost), state(t, small(), "p", 1, "")
		old, of := s.Recorder(0, Key{"n", 1, "c"}), p.Recorder(0, Key{"n", 1, "c"})
		old.Record(0, 1, 1, Served)
		of.Record(0, 1, 1, Served)
		feed(s, 0, all(t, p, 0)...)
		s.SetNodeHealth(0, "n", 2, Health{Type: "ssd"})
		old.Record(0, 1, 1, Served)
		for _, v := range s.Views(0) {
			n += v.Sums.N
		}
		if s.Counts().OverLimit != 1 {
			t.Error("what the earlier life still records is not counted")
		}
		return n
	}
	if n := count(""); n != 0 {
		t.Errorf("%v of an earlier life", n)
	}
	if count("since") == 0 {
		t.Error("the rule's loss is not noticed")
	}
}

// Decay: what a receiver holds is what the origin would say now, by an age that no clock is compared for; what
// nobody told anew goes.
func TestAgesAreTheReceivers(t *testing.T) {
	set := small()
	p, q := state(t, set, "p", 1, ""), state(t, set, "q", 1, "")
	p.Recorder(time.Hour, Key{"n", 1, "c"}).Record(time.Hour, 2, 8, Served)
	relay := state(t, set, "r", 1, "")
	feed(relay, 0, all(t, p, time.Hour+set.HalfLife)...) // clocks an hour apart
	feed(q, time.Minute, all(t, relay, set.HalfLife)...)
	v := q.Views(time.Minute)[0]
	if want := math.Exp2(-2.0 / longHalfLives); math.Abs(v.Sums.N-want) > 1e-6 || math.Abs(v.Sums.XY-16*want) > 1e-4 || v.Age != 2*set.HalfLife-set.HalfLife {
		t.Errorf("%+v, age %v", v.Sums, v.Age)
	}
	if n := len(q.Views(time.Minute + set.ExpireAfter)); n != 0 {
		t.Errorf("%d views after the expiry", n)
	}
	if got, ok := Quantile(v.Sketch, 0.5); !ok || math.Abs(got-8) > 8*accuracy {
		t.Errorf("median %v", got)
	}
}

func TestDigestsFirstThenWhatDiffers(t *testing.T) {
	set := small()
	p, q := state(t, set, "p", 1, ""), state(t, set, "q", 1, "")
	record(p, rand.New(rand.NewPCG(1, 1)), 0, 100)
	exchange := func() (n int) {
		m, err := p.Diff(0, q.Digest(0))
		if err != nil {
			t.Fatal(err)
		}
		feed(q, 0, m...)
		for _, one := range m {
			if n++; len(one) > set.MaxMessageBytes {
				t.Errorf("a message of %d bytes", len(one))
			}
		}
		return n
	}
	if exchange() == 0 || exchange() != 0 {
		t.Error("nothing was sent at first, or something that is held")
	}
	huge := decayedCounts{sums: Sums{1e30, 1e30, 1e30, 1e30, 1e30, 1e30}}
	largest := classStats{startTime: math.MinInt64, long: huge, short: huge}
	for i := range largest.bins {
		largest.bins[i] = 1e12
	}
	name := strings.Repeat("n", maxNameBytes)
	if m := forge(name, maxSequence, wireCell{cellID{name, name}, maxSequence, 1 << 60, largest.append(nil)}); len(m) > minMessageLimit {
		t.Errorf("a cell of %d bytes", len(m))
	}
	p.Recorder(0, Key{"n0", 1, "c0"}).Record(0, 1, 1, Served)
	if exchange() != 1 || exchange() != 0 {
		t.Error("one change is not one message")
	}
}

// Windows and queues that move by little are not told again, however often; what was told stays near what is, and a
// node that may have nothing out is told at once.
func TestLittleMovesAreNoNews(t *testing.T) {
	p, q := state(t, small(), "p", 1, ""), state(t, small(), "q", 1, "")
	cells := func(h Health) int64 {
		before := q.Counts().NewCells
		p.SetNodeHealth(0, "n", 1, h)
		feed(q, 0, all(t, p, 0)...)
		return q.Counts().NewCells - before
	}
	told := int64(0)
	for i := range 400 { // from 16 to 8 and back, in steps of a fortieth
		w := 12 + 4*math.Cos(float64(i)*math.Pi/200)
		told += cells(Health{Window: w, Queue: 0.2})
		if v := q.Views(0)[0]; math.Abs(v.Window-w) > max(v.Window, w)/8 {
			t.Fatalf("window %v, told %v", w, v.Window)
		}
	}
	if told < 8 || told > 20 {
		t.Errorf("told %d times of 400", told)
	}
	if cells(Health{}) != 1 || cells(Health{Window: 0.3}) != 1 || cells(Health{Window: 0.3, Type: "ssd"}) != 1 {
		t.Error("a window of none, one that opens or a type is not told")
	}
}

// List versions merge by origin like all else: the later word of each counts, in any order. Who is gone is not behind,
// nor who has said nothing for the expiry.
func TestListVersionsByProcess(t *testing.T) {
	set := small()
	s := state(t, set, "me", 1, "")
	var messages [][]byte
	for i := range 3 {
		p := state(t, set, fmt.Sprint("p", i), 1, "")
		p.SetListVersion(0, 4)
		messages = append(messages, all(t, p, 0)...)
		p.SetListVersion(time.Second, int64(5+i))
		messages = append(messages, all(t, p, time.Second)...)
	}
	slices.Reverse(messages)
	feed(s, time.Second, messages...)
	if got := fmt.Sprint(s.ListVersions(time.Second)); got != "[{p0 5 0s} {p1 6 0s} {p2 7 0s}]" {
		t.Error(got)
	}
	if got := s.ListSpread(time.Second, []string{"me", "p0", "p1", "p2", "p9"}); got != (ListSpread{5, 7, 3, 2}) {
		t.Errorf("%+v", got)
	}
	s.SetListVersion(time.Second, 6)
	if got := s.ListSpread(time.Second, []string{"p1", "p2"}); got != (ListSpread{6, 7, 3, 2}) {
		t.Errorf("without p0: %+v", got)
	}
	if got := s.ListSpread(time.Second+set.ExpireAfter, []string{"p0", "p1", "p2"}); got != (ListSpread{6, 6, 1, 0}) {
		t.Errorf("expired: %+v", got)
	}
}

func TestALaterVersionIsCountedAndDropped(t *testing.T) {
	s := state(t, small(), "me", 1, "")
	m := forge("p", 1, wireCell{cellID{}, 1, 0, []byte{2}})
	m = m[:len(m)-crcSize]
	m[2]++
	err := s.Merge(0, sealMessage(m))
	var later *VersionError
	if !errors.As(err, &later) || s.Counts().LaterVersion != 1 || held(s) != "" {
		t.Errorf("%v, %+v", err, s.Counts())
	}
	if err := operr.Check(operr.All()); err != nil {
		t.Error(err)
	}
}

func TestSettingsNameWhatIsWrong(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"origins": func(s *Settings) { s.MaxOrigins = 0 }, "bytes": func(s *Settings) { s.MaxMessageBytes = 100 },
		"expire_ms": func(s *Settings) { s.ExpireAfter = time.Second }, "clip": func(s *Settings) { s.ClipFactor = math.NaN() },
	} {
		set := Defaults()
		spoil(&set)
		var bad *SettingError
		if _, err := New(set, "p", 1); !errors.As(err, &bad) || bad.Key != key {
			t.Errorf("%s: %v", key, err)
		}
	}
	if _, err := New(Defaults(), "", 1); err == nil {
		t.Error("a process without a name")
	}
}

// FuzzMessages: bytes of any kind never panic; what is refused changes nothing; the largest message is within
// Bytes. The seeds are good messages, of which the fuzzer also sees every cut.
func FuzzMessages(f *testing.F) {
	messages, now := history(f, rand.New(rand.NewPCG(3, 3)))
	for _, m := range messages[:20] {
		f.Add(m)
		f.Add(m[:len(m)/2])
	}
	p := state(f, small(), "p", 1, "")
	record(p, rand.New(rand.NewPCG(4, 4)), 0, 50)
	f.Add(p.Digest(0))
	f.Fuzz(func(t *testing.T, m []byte) {
		s := state(t, small(), "me", 1, "")
		feed(s, now, messages...)
		before, views := held(s), fmt.Sprint(s.Views(now))
		for _, m := range [][]byte{m, sealMessage(slices.Clone(m)), sealMessage(append(beginMessage(kindCells), m...)), sealMessage(append(beginMessage(kindDigest), m...))} {
			if _, err := s.Diff(now, m); err == nil {
				if _, err := DigestSender(m); err != nil {
					t.Error(err)
				}
			}
			if err := s.Merge(now, m); err != nil && (held(s) != before || fmt.Sprint(s.Views(now)) != views) {
				t.Fatalf("changed by a message that was refused: %v", err)
			}
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
			before, views = held(s), fmt.Sprint(s.Views(now))
			for _, v := range s.Views(now) {
				if !finite(v.Sums.N) || !finite(v.Sums.XX) || !finite(v.Sums.XY) || !finite(v.Window) {
					t.Fatalf("%+v", v)
				}
			}
		}
	})
}

func BenchmarkRecord(b *testing.B) {
	s := state(b, Defaults(), "me", 1, "")
	l, now := s.Recorder(0, Key{"n", 1, "c"}), time.Duration(0)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += 50 * time.Microsecond
		l.Record(now, float64(i&63), float64(i&1023)/10, Served)
	}
}

// A fleet of 32 processes with 64 nodes and 4 classes: 8448 cells.
func BenchmarkFleet(b *testing.B) {
	set := Defaults()
	s, r := state(b, set, "me", 1, ""), rand.New(rand.NewPCG(5, 5))
	var messages [][]byte
	for i := range 32 {
		p := state(b, set, fmt.Sprintf("p%d", i), 1, "")
		for n := range 64 {
			for c := range 4 {
				l := p.Recorder(0, Key{fmt.Sprintf("n%d", n), 1, fmt.Sprintf("c%d", c)})
				for range 50 {
					l.Record(0, float64(r.IntN(64)), r.ExpFloat64()*20, Served)
				}
			}
			p.SetNodeHealth(0, fmt.Sprintf("n%d", n), 1, Health{})
		}
		messages = append(messages, all(b, p, 0)...)
	}
	feed(s, 0, messages...)
	digest, i := s.Digest(0), 0
	for name, f := range map[string]func(){
		"views":  func() { s.Views(0) },
		"digest": func() { s.Digest(0) },
		"diff":   func() { _, _ = s.Diff(0, digest) },
		"merge":  func() { i++; feed(s, 0, messages[i%len(messages)]) },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				f()
			}
		})
	}
	b.Logf("%d messages, digest of %d bytes", len(messages), len(digest))
}

func TestRecordAllocatesNothing(t *testing.T) {
	s := state(t, Defaults(), "me", 1, "")
	l, now := s.Recorder(0, Key{"n", 1, "c"}), time.Duration(0)
	if n := testing.AllocsPerRun(1000, func() {
		now += time.Second
		l.Record(now, 3, 7, Served)
	}); n != 0 {
		t.Errorf("%v allocations", n)
	}
}
