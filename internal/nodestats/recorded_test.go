package nodestats

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"wheatsaddle/internal/testkit/recorded"
)

// recordedFleet consists of several states that exchange messages. The events are generated from a seed.
type recordedFleet struct {
	t      *testing.T
	script recorded.Script
	rand   *rand.Rand
	set    Settings
	names  []string
	states map[string]*State
	now    time.Duration
	recent [][]byte // recent messages with cells, which may be delivered late, repeatedly or damaged
}

// restart starts a process with the given incarnation.
func (f *recordedFleet) restart(name string, incarnation uint64) {
	s, err := New(f.set, name, incarnation)
	if err != nil {
		f.t.Fatal(err)
	}
	f.states[name] = s
	f.script.Add("start", name, incarnation)
}

func (f *recordedFleet) pick() *State { return f.states[f.names[f.rand.IntN(len(f.names))]] }

// observe records outcomes, some of which are invalid or of nodes and classes beyond the limits. Service times change
// over time, so that recorders are reset.
func (f *recordedFleet) observe(s *State) {
	level := 4.0
	if f.now/(20*time.Second)%2 == 1 {
		level = 40
	}
	for range f.rand.IntN(80) {
		k := Key{"n0", 1, "c0"}
		if f.rand.IntN(2) == 0 {
			k = Key{fmt.Sprint("n", f.rand.IntN(4)), 1 + int64(f.rand.IntN(20)/19), fmt.Sprint("c", f.rand.IntN(3))}
		}
		units := float64(f.rand.IntN(32))
		if f.rand.IntN(200) == 0 {
			units = -1
		}
		outcome := Served
		if f.rand.IntN(4) == 0 {
			outcome = Outcome(f.rand.IntN(5))
		}
		s.Recorder(f.now, k).Record(f.now, units, level*(1+f.rand.Float64()), outcome)
	}
}

func (f *recordedFleet) setHealth(s *State) {
	health := Health{Type: []string{"", "hdd", "ssd"}[f.rand.IntN(3)], Shard: f.rand.IntN(3), WarmingUp: f.rand.IntN(3) == 0,
		Window: f.rand.Float64() * 20, Queue: float64(f.rand.IntN(4))}
	s.SetNodeHealth(f.now, fmt.Sprint("n", f.rand.IntN(5)), 1+int64(f.rand.IntN(6)/5), health)
	s.SetListVersion(f.now, int64(1+f.now/(15*time.Second)))
}

// exchange sends the digest of one process to another, and the cells of the reply back.
func (f *recordedFleet) exchange(from, to *State) {
	digest := from.Digest(f.now)
	sender, err := DigestSender(digest)
	if err != nil {
		f.t.Fatal(err)
	}
	messages, err := to.Diff(f.now, digest)
	f.script.Add("digest", sender, len(digest), xxhash.Sum64(digest), err == nil, to.MatchesDigest(f.now, digest))
	for _, m := range messages {
		f.script.Add("cells", len(m), xxhash.Sum64(m), from.Merge(f.now, m) == nil)
	}
	f.recent = append(f.recent, messages...)
	f.recent = f.recent[max(0, len(f.recent)-64):]
}

// deliverFaulty delivers an earlier message again, unchanged or damaged.
func (f *recordedFleet) deliverFaulty(to *State) {
	if len(f.recent) == 0 {
		return
	}
	m := slices.Clone(f.recent[f.rand.IntN(len(f.recent))])
	switch f.rand.IntN(5) {
	case 0:
		m[2]++ // a later version
	case 2:
		m = m[:f.rand.IntN(len(m))]
	case 1:
		m[f.rand.IntN(len(m))] ^= 1 << f.rand.IntN(8)
	}
	err := to.Merge(f.now, m)
	_, diffErr := to.Diff(f.now, m)
	f.script.Add("late", len(m), err == nil, diffErr == nil)
}

// recordState adds the counts, views and list versions of a state to the script.
func (f *recordedFleet) recordState(s *State) {
	c := s.Counts()
	f.script.Add("counts", c.Messages, c.Bytes, c.NewCells, c.DuplicateCells, c.OutdatedCells, c.ExpiredCells, c.Unreadable,
		c.LaterVersion, c.OverLimit, c.Resets, c.Invalid, c.IdentityConflicts, c.Origins, c.StoredCells)
	for _, v := range s.Views(f.now) {
		f.script.Add("view", v.Node, v.StartTime, v.Class, v.Type, v.Shard, v.Sums.N, v.Sums.X, v.Sums.Y, v.Sums.XX, v.Sums.XY, v.Sums.YY,
			v.Rejected, v.Failed, v.TimedOut, v.WarmingUp, v.Window, v.Queue, v.Origins, int64(v.Age), xxhash.Sum64(v.Sketch))
		if q, ok := Quantiles(v.Sketch, 0.5, 0.99); ok {
			f.script.Add("quantiles", q[0], q[1])
		}
	}
	for _, l := range s.ListVersions(f.now) {
		f.script.Add("list", l.Origin, l.Version, int64(l.Age))
	}
	spread := s.ListSpread(f.now, f.names)
	f.script.Add("lists", spread.Oldest, spread.Newest, spread.Processes, spread.Behind)
	if err := s.Check(); err != nil {
		f.t.Fatal(err)
	}
}

func (f *recordedFleet) step() {
	f.now += time.Duration(f.rand.IntN(2000)) * time.Millisecond
	if f.rand.IntN(100) == 0 {
		f.now += f.set.ExpireAfter * 3 / 4 // some of the cells expire
	}
	first, second := f.pick(), f.pick()
	switch f.rand.IntN(12) {
	case 0:
		f.recordState(first)
	case 1, 2, 3:
		f.exchange(first, second)
	case 4:
		f.deliverFaulty(first)
	case 5:
		f.setHealth(first)
	case 6:
		if f.rand.IntN(10) == 0 { // the incarnation may be lower than the previous one
			f.restart(f.names[f.rand.IntN(len(f.names))], uint64(f.rand.IntN(1+int(f.now/time.Second))))
		}
	default:
		f.observe(first)
	}
}

// The messages, merged states and views of a fleet with seeded events are equal to the recorded ones.
func TestRecordedFleetStates(t *testing.T) {
	var sum Counts
	for seed := range 8 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := &recordedFleet{t: t, rand: rand.New(rand.NewPCG(uint64(seed), 11)), set: Defaults(), states: map[string]*State{}}
			f.set.MaxOrigins, f.set.MaxNodes, f.set.MaxClasses = 4, 4, 2
			f.set.HalfLife, f.set.ExpireAfter = time.Duration(5+seed)*time.Second, 2*time.Minute
			for i := range 6 {
				name := fmt.Sprint("p", i)
				f.names = append(f.names, name)
				f.restart(name, uint64(1+i))
			}
			for range 1200 {
				f.step()
			}
			for _, name := range f.names {
				c := f.states[name].Counts()
				sum.Resets += c.Resets
				sum.Invalid += c.Invalid
				sum.OverLimit += c.OverLimit
				sum.Unreadable += c.Unreadable
				sum.LaterVersion += c.LaterVersion
				sum.OutdatedCells += c.OutdatedCells
				sum.DuplicateCells += c.DuplicateCells
				f.recordState(f.states[name])
			}
			f.script.Check(t, fmt.Sprintf("fleet-%02d", seed))
		})
	}
	if sum.Resets == 0 || sum.Invalid == 0 || sum.OverLimit == 0 || sum.Unreadable == 0 || sum.LaterVersion == 0 ||
		sum.OutdatedCells == 0 || sum.DuplicateCells == 0 {
		t.Errorf("a kind of event did not occur: %+v", sum)
	}
}
