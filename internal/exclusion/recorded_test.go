package exclusion

import (
	"errors"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"

	"wheatsaddle/internal/testkit/recorded"
	"wheatsaddle/policy"
)

// recordedState returns the fields of a state in the order of the ids.
func recordedState(s State) (fields []any) {
	for _, ids := range []map[string]float64{s.Excluded, s.Included} {
		fields = append(fields, len(ids))
		for _, id := range slices.Sorted(maps.Keys(ids)) {
			fields = append(fields, id, ids[id])
		}
	}
	return fields
}

// resultWord is the recording's word for the result of a change.
func resultWord(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrUnknownNode):
		return "unknown"
	case errors.Is(err, ErrFull):
		return "full"
	}
	return "other"
}

// randomState draws a state that another process may have stored. It may exceed the bounds.
func randomState(rng *rand.Rand, now float64, id func() string) State {
	s := State{Excluded: map[string]float64{}, Included: map[string]float64{}}
	for range rng.Intn(7) {
		s.Excluded[id()] = now - float64(rng.Intn(100))
	}
	for range rng.Intn(7) {
		s.Included[id()] = now - float64(rng.Intn(100))
	}
	return s
}

// The decisions under random calls equal those of the recording.
func TestRecordedDecisions(t *testing.T) {
	for i := range 12 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			rng := rand.New(rand.NewSource(int64(70 + i)))
			var script recorded.Script
			set := newSet(t, Settings{MaxListed: 2 + i, MaxExcluded: 1 + i/3, SlowStartDuration: 50})
			now := 0.0
			ids := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
			id := func() string { return ids[rng.Intn(len(ids))] }
			var stored State
			for range 600 {
				now += 20 * rng.Float64()
				first := id()
				fields := []any{now}
				switch n := rng.Intn(20); {
				case n < 6:
					set.AddListed(first, id())
					fields = append(fields, "list")
				case n < 11:
					changed, err := set.Exclude(now, first)
					fields = append(fields, "exclude", first, changed, resultWord(err))
				case n < 16:
					changed, err := set.Include(now, first)
					fields = append(fields, "include", first, changed, resultWord(err))
				case n == 16:
					stored = set.State(now)
					fields = append(append(fields, "state"), recordedState(stored)...)
				case n == 17:
					fields = append(fields, "load", fmt.Sprint(set.Load(now, stored)))
				case n == 18:
					fields = append(fields, "load", fmt.Sprint(set.Load(now, randomState(rng, now, id))))
				}
				for _, x := range ids {
					n := policy.Node{ID: x, State: []policy.NodeState{policy.NodeUp, policy.NodeRemoved}[rng.Intn(2)], Weight: 1, StartTime: now - float64(rng.Intn(90))}
					v := set.View(now, n)
					word := map[policy.NodeState]string{policy.NodeUp: "up", policy.NodeRemoved: "gone", policy.NodeExcluded: "out"}[v.State]
					fields = append(fields, set.IsListed(x), set.Excluded(x), word, v.StartTime)
				}
				script.Add(fields...)
			}
			script.Check(t, fmt.Sprintf("calls-%02d", i))
		})
	}
}
