package nodestats

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wheatsaddle/internal/interleave/mutant"
	"wheatsaddle/internal/operr"
)

// mergeInAnyOrder merges the same messages in three ways: in order, shuffled with repetitions, and through two other
// states that relay them. The resulting states must be equal.
func mergeInAnyOrder(t *testing.T, seed uint64) error {
	r := rand.New(rand.NewPCG(seed, 1))
	messages, now := randomMessages(t, r)
	ordered := newState(t, smallSettings(), "me", 1)
	merge(ordered, now, messages...)
	repeated := slices.Clone(messages)
	for range len(messages) / 2 {
		repeated = append(repeated, messages[r.IntN(len(messages))])
	}
	r.Shuffle(len(repeated), func(i, j int) { repeated[i], repeated[j] = repeated[j], repeated[i] })
	shuffled := newState(t, smallSettings(), "me", 1)
	merge(shuffled, now, repeated...)
	relayed := newState(t, smallSettings(), "me", 1)
	for half := range 2 {
		relay := newState(t, smallSettings(), "me", 1)
		for i, m := range repeated {
			if i%2 == half {
				merge(relay, now, m)
			}
		}
		merge(relayed, now, allMessages(t, relay, now)...)
	}
	for _, s := range []*State{ordered, shuffled, relayed} {
		if err := s.Check(); err != nil {
			return fmt.Errorf("invariant: %w", err)
		}
	}
	if a, b, c := remoteText(ordered), remoteText(shuffled), remoteText(relayed); a != b || a != c {
		return fmt.Errorf("the states differ; in order:\n%sshuffled:\n%srelayed:\n%s", a, b, c)
	}
	return nil
}

// The merged state does not depend on the order of messages, on relays, or on repeated messages.
func TestMergeIsIndependentOfOrderRelaysAndRepetition(t *testing.T) {
	property := func(seed uint64) error { return mergeInAnyOrder(t, seed) }
	checkSeeds(t, 20, property)
	checkRandomSeeds(t, property)
	mutant.AssertDetected(t,
		mutant.Mutant{File: "merge.go", Old: "case incarnation < o.incarnation:", New: "case false:", Want: "the states differ"},
		mutant.Mutant{File: "merge.go", Old: "stored != nil && received.seq < stored.seq:", New: "false:", Want: "the states differ"},
		mutant.Mutant{File: "cells.go", Old: "	if excess <= 0 {", New: "	if true {", Want: "invariant: origin "},
		mutant.Mutant{File: "merge.go", Old: "	if len(s.remote) >= s.settings.MaxOrigins {\n		last", New: "	if false {\n		last", Want: "invariant: "},
	)
}

// mergeOutdated merges outdated cells after newer ones: a cell of an earlier incarnation, one of an earlier sequence,
// two bodies with the same sequence, a late copy whose successor has expired, and a cell that is too old on arrival.
func mergeOutdated(t *testing.T) error {
	body := func(n float64) []byte {
		stats := classStats{long: decayedCounts{sums: Sums{n, n, n, n, n, n}}}
		return stats.encode()
	}
	id, set := cellID{"n", "c"}, smallSettings()
	message := func(incarnation, seq uint64, n float64) []byte {
		return encodeMessage("p", incarnation, wireCell{id, seq, 0, body(n)})
	}
	for _, c := range []struct {
		name        string
		now         time.Duration // of the second message
		first, then []byte
		want        float64 // requests in the view
	}{
		{"earlier incarnation", 0, message(2, 1, 10), message(1, 9, 20), 10},
		{"earlier sequence", 0, message(1, 2, 10), message(1, 1, 20), 10},
		{"same sequence", 0, message(1, 1, 20), message(1, 1, 10), 20},
		{"expired successor", set.ExpireAfter, message(1, 2, 10), message(1, 1, 20), 0},
		{"too old on arrival", 0, encodeMessage("p", 1, wireCell{cellID{"m", ""}, 1, 0, Health{}.encode(1)}),
			encodeMessage("q", 1, wireCell{id, 1, set.ExpireAfter, body(20)}), 0},
		{"later incarnation", 0, message(1, 9, 10), message(2, 1, 20), 20},
	} {
		s := newState(t, set, "me", 1)
		merge(s, 0, c.first)
		s.Views(c.now)
		merge(s, c.now, c.then)
		got := 0.0
		if views := s.Views(c.now); len(views) > 0 {
			got = math.Round(views[0].Sums.N)
		}
		if got != c.want {
			return fmt.Errorf("%s: %v requests, want %v", c.name, got, c.want)
		}
	}
	return nil
}

// Merged in any order, the newer of two cells counts.
func TestOutdatedCellsNeverReplaceNewerOnes(t *testing.T) {
	checkSeeds(t, 1, func(uint64) error { return mergeOutdated(t) })
	mutant.AssertDetected(t,
		mutant.Mutant{File: "merge.go", Old: "case incarnation < o.incarnation:", New: "case false:", Want: "earlier incarnation: 20 requests"},
		mutant.Mutant{File: "merge.go", Old: "stored != nil && received.seq < stored.seq:", New: "false:", Want: "earlier sequence: 20 requests"},
		mutant.Mutant{File: "merge.go", Old: "case stored == nil && received.seq <= o.expiredSeq,", New: "case false,", Want: "expired successor: 20 requests"},
		mutant.Mutant{File: "merge.go", Old: "case stored != nil && received.seq == stored.seq && bytes.Compare(received.body, stored.body) <= 0:", New: "case false:",
			Want: "same sequence: 10 requests"},
	)
}

// A process that restarts with a lower incarnation, or whose name another process has used, starts a later incarnation,
// which all other processes accept.
func TestOwnNameFromOthersStartsALaterIncarnation(t *testing.T) {
	checkSeeds(t, 1, func(uint64) error {
		before, other := newState(t, smallSettings(), "p", 9), newState(t, smallSettings(), "q", 1)
		before.Recorder(0, Key{"n", 1, "c"}).Record(0, 1, 1, Failed)
		merge(other, 0, allMessages(t, before, 0)...)
		restarted := newState(t, smallSettings(), "p", 3)
		restarted.Recorder(0, Key{"n", 1, "c"}).Record(0, 1, 1, Rejected)
		merge(other, 0, allMessages(t, restarted, 0)...)
		merge(restarted, 0, allMessages(t, other, 0)...)
		merge(other, 0, allMessages(t, restarted, 0)...)
		if n := restarted.Counts().IdentityConflicts; n != 1 {
			return fmt.Errorf("%d identity conflicts, want 1", n)
		}
		if n := other.Views(0)[0].Rejected; n != 1 {
			return fmt.Errorf("%v rejections of the later incarnation, want 1", n)
		}
		return nil
	})
	mutant.AssertDetected(t, mutant.Mutant{File: "merge.go", Old: "case incarnation >= maxSequence:", New: "case true:",
		Want: "0 rejections of the later incarnation"})
}

// A message of a later version of the format is an error of its own, is counted, and does not change the state.
func TestLaterVersionIsCountedAndDropped(t *testing.T) {
	s := newState(t, smallSettings(), "me", 1)
	m := encodeMessage("p", 1, wireCell{cellID{}, 1, 0, []byte{2}})
	m = m[:len(m)-crcBytes]
	m[2]++
	err := s.Merge(0, sealMessage(m))
	var later *VersionError
	if !errors.As(err, &later) || s.Counts().LaterVersion != 1 || remoteText(s) != "" {
		t.Errorf("message of a later version: error %v, counts %+v", err, s.Counts())
	}
	if err := operr.Check(operr.All()); err != nil {
		t.Error(err)
	}
}

// FuzzMessages checks that no input causes a panic, and that a rejected message does not change the state. The seeds are
// valid and truncated messages.
func FuzzMessages(f *testing.F) {
	messages, now := randomMessages(f, rand.New(rand.NewPCG(3, 3)))
	for _, m := range messages[:20] {
		f.Add(m)
		f.Add(m[:len(m)/2])
	}
	p := newState(f, smallSettings(), "p", 1)
	recordRandom(p, rand.New(rand.NewPCG(4, 4)), 0, 50)
	f.Add(p.Digest(0))
	f.Fuzz(func(t *testing.T, m []byte) {
		s := newState(t, smallSettings(), "me", 1)
		merge(s, now, messages...)
		before, views := remoteText(s), fmt.Sprint(s.Views(now))
		for _, m := range [][]byte{m, sealMessage(slices.Clone(m)), sealMessage(append(beginMessage(kindCells), m...)), sealMessage(append(beginMessage(kindDigest), m...))} {
			if _, err := s.Diff(now, m); err == nil {
				if _, err := DigestSender(m); err != nil {
					t.Error(err)
				}
			}
			if err := s.Merge(now, m); err != nil && (remoteText(s) != before || fmt.Sprint(s.Views(now)) != views) {
				t.Fatalf("a rejected message changed the state: %v", err)
			}
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
			before, views = remoteText(s), fmt.Sprint(s.Views(now))
			for _, v := range s.Views(now) {
				if !finite(v.Sums.N) || !finite(v.Sums.XX) || !finite(v.Sums.XY) || !finite(v.Window) {
					t.Fatalf("view with a value that is not finite: %+v", v)
				}
			}
		}
	})
}
