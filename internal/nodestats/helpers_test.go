package nodestats

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wheatsaddle/internal/interleave"
	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/testkit/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func smallSettings() Settings {
	settings := Defaults()
	settings.MaxOrigins, settings.MaxNodes, settings.MaxClasses = 4, 3, 2
	settings.HalfLife, settings.ExpireAfter = 30*time.Second, 5*time.Minute
	return settings
}

func newState(t rapid.TB, settings Settings, self string, incarnation uint64) *State {
	s, err := New(settings, self, incarnation)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// checkSeeds checks a property with the seeds from 0, or with the seed that interleave.ReplayEnv specifies. It prints the
// first seed that fails as the schedule, which internal/interleave/mutant replays.
func checkSeeds(t *testing.T, seeds uint64, property func(seed uint64) error) {
	t.Helper()
	firstSeed := uint64(0)
	if text := os.Getenv(interleave.ReplayEnv); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		firstSeed, seeds = seed, 1
	}
	for seed := firstSeed; seed < firstSeed+seeds; seed++ {
		if err := property(seed); err != nil {
			t.Fatalf("%v\nschedule: %d", err, seed)
		}
	}
}

// checkRandomSeeds checks a property with random seeds. It does nothing in a mutant, whose failure must be reproducible.
func checkRandomSeeds(t *testing.T, property func(seed uint64) error) {
	if mutant.Inside() {
		return
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := property(rapid.Uint64().Draw(t, "seed")); err != nil {
			t.Fatal(err)
		}
	})
}

// allMessages returns the messages that contain a complete state.
func allMessages(t rapid.TB, s *State, now time.Duration) [][]byte {
	emptyDigest := sealMessage(appendName(beginMessage(kindDigest), "nobody"))
	m, err := s.Diff(now, emptyDigest)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// merge merges messages, of which some may be invalid.
func merge(s *State, now time.Duration, messages ...[]byte) {
	for _, m := range messages {
		_ = s.Merge(now, m) // the state counts invalid messages
	}
}

// recordRandom records random outcomes of random nodes.
func recordRandom(s *State, r *rand.Rand, now time.Duration, n int) {
	for range n {
		k := Key{fmt.Sprintf("n%d", r.IntN(5)), 1 + int64(r.IntN(2)), fmt.Sprintf("c%d", r.IntN(3))}
		s.Recorder(now, k).Record(now, float64(r.IntN(64)), r.ExpFloat64()*20, Outcome(r.IntN(4)))
	}
	s.SetNodeHealth(now, fmt.Sprintf("n%d", r.IntN(5)), 1, Health{Type: "hdd", Shard: r.IntN(3), Window: float64(r.IntN(9))})
	s.SetListVersion(now, int64(r.IntN(4)))
}

// randomMessages returns messages that 6 processes, more than MaxOrigins, create over 40 s. Some restart with a new
// incarnation.
func randomMessages(t rapid.TB, r *rand.Rand) (messages [][]byte, end time.Duration) {
	states := map[string]*State{}
	for i := range 40 {
		end = time.Duration(i) * time.Second
		name := fmt.Sprintf("p%d", r.IntN(6))
		if states[name] == nil || r.IntN(12) == 0 {
			states[name] = newState(t, smallSettings(), name, uint64(i+1))
		}
		recordRandom(states[name], r, end, 20)
		messages = append(messages, allMessages(t, states[name], end)...)
	}
	return messages, end
}

// remoteText describes a state's cells of other origins, apart from ages.
func remoteText(s *State) string {
	var b bytes.Buffer
	for _, name := range s.originNames() {
		if o := s.origin(name); name != s.self {
			fmt.Fprintln(&b, name, o.incarnation, len(o.cells), o.summary().buckets)
		}
	}
	return b.String()
}

// encodeMessage returns a message with the given cells.
func encodeMessage(name string, incarnation uint64, cells ...wireCell) []byte {
	b := binary.AppendUvarint(appendName(beginMessage(kindCells), name), incarnation)
	for _, c := range cells {
		b = c.append(b)
	}
	return sealMessage(b)
}
